//! An entry's request path: admission, slots, health and retries joined into one state machine.

mod action;
mod arrival;
mod dispatcher;
mod event;
mod running;
mod service;
mod settings;
mod workload;

pub use action::{Action, Fate};
pub use arrival::Arrival;
pub use dispatcher::Dispatcher;
pub use event::Event;
pub use settings::Settings;

pub(crate) use running::Running;
pub(crate) use service::Service;
pub(crate) use workload::{Pace, Workload};
