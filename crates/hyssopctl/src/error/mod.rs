//! Errors of commands.

use snafu::Snafu;

/// A failed command, with the remedy where there is one.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// The entry can't be reached.
    #[snafu(display("{url} can't be reached: {source}; name another entry with --entry"))]
    Unreachable { url: String, source: minreq::Error },
    /// The entry rejected the request.
    #[snafu(display("{message}"))]
    Refused { status: i32, message: String },
    /// The entry's response can't be parsed.
    #[snafu(display(
        "the entry's response can't be parsed: {reason}; use the same version of hyssopctl as the entry's"
    ))]
    Malformed { reason: String },
    /// A file can't be read.
    #[snafu(display("{path} can't be read: {source}; check the path"))]
    File {
        path: String,
        source: std::io::Error,
    },
    /// The configuration is invalid.
    #[snafu(display("{source}"))]
    Config { source: hyssop_config::Error },
    /// The command's arguments are invalid.
    #[snafu(display("{message}"))]
    Usage { message: String },
    /// The operation was started and continues, but did not end in time.
    #[snafu(display("{message}"))]
    Unfinished { message: String },
}

impl Error {
    /// Returns the exit code: 2 for invalid arguments or files, 3 for a conflict, 4 for an operation that
    /// is still in progress, and 1 for all other errors.
    pub(crate) fn exit_code(&self) -> u8 {
        const STATUS_CONFLICT: i32 = 409;
        match self {
            Self::Usage { .. } | Self::File { .. } | Self::Config { .. } => 2,
            Self::Refused { status, .. } if *status == STATUS_CONFLICT => 3,
            Self::Unfinished { .. } => 4,
            _ => 1,
        }
    }
}
