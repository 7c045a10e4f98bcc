//! Timeline events and the log.
//!
//! Every process keeps a bounded ring buffer of events, timestamped by a hybrid logical clock, and
//! logs most of them as one line of key=value pairs each.

pub mod kind;
pub mod log;
pub mod record;
pub mod recorder;

pub use kind::Kind;
pub use record::Record;
pub use recorder::Recorder;
