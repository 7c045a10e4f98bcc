//! Which job runs on which worker: shares of teams, placement, urgency and blame.

mod action;
mod blame;
mod catalogue;
mod event;
mod ledger;
mod scheduler;
mod settings;
mod slate;
mod task;

pub use action::Action;
pub use event::Event;
pub use scheduler::Scheduler;
pub use settings::Settings;

pub(crate) use blame::Blame;
pub(crate) use catalogue::Catalogue;
pub(crate) use ledger::Ledger;
pub(crate) use slate::Slate;
pub(crate) use task::Task;
