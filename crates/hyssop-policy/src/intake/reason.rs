use strum::{Display, IntoStaticStr};

/// Why a request was refused, or a connection closed, before its request was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No bytes are left for the request.
    NoBytes,
    /// The connection made too little progress while connections ran short.
    SlowWhileConnectionsShort,
    /// The connection made too little progress while bytes ran short.
    SlowWhileBytesShort,
    /// An incomplete request held bytes for longest while bytes ran short.
    LongWhileBytesShort,
    /// The head, or a frame of a peer, did not end in time.
    HeadTimeout,
    /// No request came for too long.
    IdleTimeout,
    /// The body made too little progress.
    SlowBody,
    /// The body did not end by the caller's deadline.
    BodyTimeout,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body is malformed or ended early.
    BodyBroken,
    /// The caller does not take its responses.
    WriteTimeout,
    /// A connection waits to be accepted until others are closed.
    Paused,
    /// The system could not accept a connection.
    AcceptFailed,
}
