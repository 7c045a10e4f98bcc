use strum::Display;

/// The reason why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Failure {
    /// The connection failed, so nothing was sent.
    Unsent,
    /// The call was sent; it may have taken effect or still do so.
    Lost,
}
