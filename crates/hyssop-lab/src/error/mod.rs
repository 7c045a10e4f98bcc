//! Why a run could not be made.

use snafu::Snafu;

/// Says what failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// A program can't be started.
    #[snafu(display(
        "{program} can't be started: {source}; build it with `cargo build --release --workspace`"
    ))]
    Spawn {
        program: String,
        source: std::io::Error,
    },
    /// A program ended before it was ready.
    #[snafu(display("{program} was not ready in time; its log is {log}"))]
    NotReady { program: String, log: String },
    /// A file can't be written or read.
    #[snafu(display("{path} can't be used: {source}"))]
    File {
        path: String,
        source: std::io::Error,
    },
    /// A call failed.
    #[snafu(display("call of {url} failed: {reason}"))]
    Call { url: String, reason: String },
    /// Settings are refused.
    #[snafu(display("{source}"))]
    Config { source: hyssop_config::Error },
    /// The operating system refused something.
    #[snafu(display("the operating system refused: {source}"))]
    System { source: std::io::Error },
    /// The cluster did not come up.
    #[snafu(display("{what} did not happen within {seconds} s"))]
    TimedOut { what: String, seconds: u64 },
    /// The arguments can't be used.
    #[snafu(display("{message}"))]
    Usage { message: String },
}
