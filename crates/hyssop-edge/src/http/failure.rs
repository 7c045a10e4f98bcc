use strum::Display;

/// Says why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Failure {
    /// No connection came about, so nothing was sent.
    Unsent,
    /// The call may have taken effect, now or later.
    Lost,
}
