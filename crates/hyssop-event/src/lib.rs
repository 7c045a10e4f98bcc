//! Time-line events, log lines and metrics.
//!
//! Every process keeps a bounded ring of events, stamped by a hybrid logical clock, and writes one
//! line of key=value pairs for each of them.

pub mod kind;
pub mod log;
pub mod record;
pub mod recorder;

pub use kind::Kind;
pub use record::Record;
pub use recorder::Recorder;
