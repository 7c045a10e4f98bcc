use snafu::Snafu;

/// An error that prevents the entry from starting or makes it stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The log could not be set up.
    #[snafu(display("{source}"))]
    Log {
        /// The error of the log set-up.
        source: hyssop_event::log::Error,
    },
    /// A socket could not listen on an address.
    #[snafu(display(
        "cannot listen on {address}: {source}; choose a free address in the settings"
    ))]
    Listen {
        /// The address to listen on.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The operating system refused a thread or a signal handler.
    #[snafu(display("the operating system refused a thread or a signal handler: {source}"))]
    System {
        /// The error of the operating system.
        source: std::io::Error,
    },
}
