//! What callers that are not trusted may hold: connections, and bytes of heads, bodies and responses.
//!
//! A [`Gate`] issues permits for both within a [`Capacity`]. When they run short it names the connections
//! to close: those without progress first, and among these the ones that have never been served. The last
//! part of the bytes is kept for ordinary requests, which are small.

mod capacity;
mod connection;
mod gate;
mod listener;
mod pace;
mod reason;
mod weight;

pub use capacity::Capacity;
pub use connection::{Timeouts, BODY_TIMEOUT};
pub use gate::{Gate, Key, Shortage};
pub use listener::Listener;
pub use pace::Pace;
pub use reason::Reason;
pub use weight::decoded_bytes;
pub(crate) use weight::submission_bytes;
