//! Scheduling of jobs on workers: team quotas, placement, preemption and failure attribution.

mod action;
mod attribution;
mod event;
mod inventory;
mod profile;
mod quota;
mod scheduler;
mod settings;
mod task;

pub use action::Action;
pub use event::Event;
pub use scheduler::Scheduler;
pub use settings::Settings;

pub(crate) use attribution::Attribution;
pub(crate) use inventory::Inventory;
pub(crate) use profile::Profile;
pub(crate) use quota::Quota;
pub(crate) use task::Task;
