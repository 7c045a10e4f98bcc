//! Why a command was not done.

use snafu::Snafu;

/// Says what went wrong and how to mend it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// The entry can't be reached.
    #[snafu(display("{url} can't be reached: {source}; name another entry with --entry"))]
    Unreachable { url: String, source: minreq::Error },
    /// The entry did not do it.
    #[snafu(display("{message}"))]
    Refused { status: i32, message: String },
    /// The entry's answer can't be read.
    #[snafu(display(
        "the entry's answer can't be read: {reason}; use the hyssopctl of the entry's version"
    ))]
    Malformed { reason: String },
    /// A file can't be read.
    #[snafu(display("{path} can't be read: {source}; check the path"))]
    File {
        path: String,
        source: std::io::Error,
    },
    /// The configuration is refused.
    #[snafu(display("{source}"))]
    Config { source: hyssop_config::Error },
    /// The command's arguments can't be used.
    #[snafu(display("{message}"))]
    Usage { message: String },
    /// It was begun and did not end in time.
    #[snafu(display("{message}"))]
    Unfinished { message: String },
}

impl Error {
    /// Returns the exit code: 2 for arguments, 3 for a conflict, 4 for what goes on, 1 for the rest.
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
