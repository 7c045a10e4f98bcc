//! Which pool each instance belongs to.

mod assigner;
mod demand;
mod need;
mod placement;
mod relocation;

pub use assigner::Assigner;
pub use demand::Sustained;
pub use need::Need;
pub use placement::pool_for_new;
pub use relocation::Relocation;
