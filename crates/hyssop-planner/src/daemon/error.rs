use snafu::Snafu;

/// An error that prevents the planner from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The log can't be set up.
    #[snafu(display("{source}"))]
    Log {
        /// The cause.
        source: hyssop_event::log::Error,
    },
    /// The status server can't listen on its address.
    #[snafu(display(
        "failed to listen on {address}: {source}; choose a free address in the settings"
    ))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A thread can't be started or a signal handler can't be installed.
    #[snafu(display("failed to start a thread or to install a signal handler: {source}"))]
    System {
        /// The operating system's error.
        source: std::io::Error,
    },
}
