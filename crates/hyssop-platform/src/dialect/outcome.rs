use strum::Display;

/// The outcome of a start request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartOutcome {
    /// The run has started; contains the worker's clock in milliseconds, if reported.
    Done(Option<i64>),
    /// The worker has seen the fencing token of a newer owner.
    Fenced,
    /// The run's number is not newer than the last one on the worker.
    Stale,
    /// The requested lease had already expired; contains the worker's clock, if reported.
    Late(Option<i64>),
    /// The worker lacks free capacity.
    Full,
    /// The ticket is missing or invalid.
    NoTicket,
    /// The worker accepts no runs at present; the request had no effect.
    Unhealthy,
    /// Another incarnation of the worker responded.
    OtherIncarnation,
    /// The worker can't parse the request.
    Invalid,
}

/// The outcome of a change of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// The change is in progress or done.
    Done,
    /// The platform has seen the fencing token of a newer owner.
    Fenced,
    /// The instance is not up, or is leaving.
    Busy,
    /// The instance is not part of the wave, or the pool does not accept it.
    Invalid,
    /// The platform rejected the call, which had no effect and may be retried.
    Refused,
}
