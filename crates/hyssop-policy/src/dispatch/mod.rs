//! Request path of an entry: a state machine that combines admission, slots, health and retries.

mod action;
mod arrival;
mod dispatcher;
mod event;
mod request;
mod service_time;
mod settings;
mod workload;

pub use action::{Action, Failure};
pub use arrival::Arrival;
pub use dispatcher::Dispatcher;
pub use event::Event;
pub use settings::Settings;

pub(crate) use request::Request;
pub(crate) use service_time::ServiceTime;
pub(crate) use workload::{ReportIntervals, Workload};
