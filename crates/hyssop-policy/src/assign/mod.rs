//! Assignment of instances to pools.

mod assigner;
mod demand;
mod need;
mod placement;
mod relocation;

pub use assigner::Assigner;
pub use demand::SustainedDemand;
pub use need::Need;
pub use placement::pool_for_new;
pub use relocation::Relocation;
