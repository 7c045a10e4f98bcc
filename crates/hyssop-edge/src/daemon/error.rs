use snafu::Snafu;
use std::net::SocketAddr;

/// Says why the process can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The runtime can't be made.
    #[snafu(display("the runtime can't be made: {source}"))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
    /// An address can't be listened on.
    #[snafu(display(
        "{address} can't be listened on: {source}; check that no other process has it"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The log can't be set up.
    #[snafu(display("{source}"))]
    Log {
        /// What is wrong with it.
        source: hyssop_event::log::Error,
    },
}
