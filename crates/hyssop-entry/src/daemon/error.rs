use snafu::Snafu;

/// Says why the entry could not start or had to stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The log can't be set up.
    #[snafu(display("{source}"))]
    Log {
        /// What the set-up said.
        source: hyssop_event::log::Error,
    },
    /// An address can't be used.
    #[snafu(display(
        "{address} can't be listened on: {source}; choose a free address in the settings"
    ))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The operating system gave no thread or signal.
    #[snafu(display("the operating system refused a thread or a signal handler: {source}"))]
    System {
        /// What the operating system said.
        source: std::io::Error,
    },
}
