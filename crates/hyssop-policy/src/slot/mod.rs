//! Which entry may start a request on which slot of which instance.

mod action;
mod allocator;
mod borrowed;
mod choices;
mod clearance;
mod event;
mod grant;
mod home;
mod inventory;
mod ledger;
mod lent;
mod settings;
mod site;

pub use action::Action;
pub use allocator::{Allocator, Avoid};
pub use choices::Choices;
pub use event::Event;
pub use grant::Grant;
pub use home::Home;
pub use settings::Settings;

pub(crate) use borrowed::Borrowed;
pub(crate) use clearance::Clearance;
pub(crate) use inventory::Inventory;
pub(crate) use ledger::Ledger;
pub(crate) use lent::Lent;
pub(crate) use site::Site;
