//! Messages about instance slots: held, lent and returned ones.

mod lend;
mod loan;
mod mask;
mod status;

pub use lend::{Lend, Return};
pub use loan::Loan;
pub use mask::Mask;
pub use status::{HeldSlots, Status};
