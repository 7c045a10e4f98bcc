use snafu::Snafu;
use std::net::SocketAddr;

/// An error that prevents the process from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The async runtime or its signal handlers can't be set up.
    #[snafu(display("failed to set up the async runtime: {source}"))]
    Runtime {
        /// The system's error.
        source: std::io::Error,
    },
    /// A listener can't be bound to its address.
    #[snafu(display(
        "failed to listen on {address}: {source}; check that no other process uses it"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The log can't be set up.
    #[snafu(display("{source}"))]
    Log {
        /// The cause.
        source: hyssop_event::log::Error,
    },
}
