//! The tool's errors.

use snafu::Snafu;

/// An error that stops a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// A program cannot be started.
    #[snafu(display(
        "cannot start {program}: {source}; build it with `cargo build --release --workspace`"
    ))]
    Spawn {
        program: String,
        source: std::io::Error,
    },
    /// A program exited before it was ready, or did not become ready in time.
    #[snafu(display("{program} did not become ready in time; see its log at {log}"))]
    NotReady { program: String, log: String },
    /// A file cannot be read or written.
    #[snafu(display("cannot read or write {path}: {source}"))]
    File {
        path: String,
        source: std::io::Error,
    },
    /// An HTTP call failed, or a plot could not be drawn.
    #[snafu(display("{url}: {reason}"))]
    Call { url: String, reason: String },
    /// A configuration or settings file is invalid.
    #[snafu(display("{source}"))]
    Config { source: hyssop_config::Error },
    /// An operating system call failed.
    #[snafu(display("operating system error: {source}"))]
    System { source: std::io::Error },
    /// A condition was not met in time.
    #[snafu(display("timed out after {seconds} s waiting for {what}"))]
    TimedOut { what: String, seconds: u64 },
    /// The command-line arguments are invalid.
    #[snafu(display("{message}"))]
    Usage { message: String },
}
