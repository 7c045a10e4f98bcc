//! State shared by all tasks of the process.

mod clock;
mod context;
mod endpoint;
mod owner;
mod route;
mod stage;
mod wave;

pub(crate) use clock::Clock;
pub(crate) use context::{Node, Timing, FLEET, INQUIRY_TIMEOUT};
pub(crate) use endpoint::Endpoint;
pub(crate) use owner::{Member, Ownership};
pub(crate) use route::Route;
pub(crate) use stage::Stage;
pub(crate) use wave::TrackedWave;
