use strum::Display;

/// Says what became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Started {
    /// The run is there; the worker's clock in milliseconds, where told.
    Done(Option<i64>),
    /// A newer owner has spoken to the worker.
    Fenced,
    /// The run's number is used up there.
    Stale,
    /// The lease asked for had ended on the worker's clock, which is told.
    Late(Option<i64>),
    /// It does not fit.
    Full,
    /// The ticket is not valid.
    NoTicket,
    /// The worker takes nothing now; it has done nothing.
    Unhealthy,
    /// Another incarnation answered.
    OtherIncarnation,
    /// The worker can't read the order.
    Invalid,
}

/// Says what became of a change of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// It is under way or done.
    Done,
    /// A newer holder has spoken.
    Fenced,
    /// The instance is not up, or leaving.
    Busy,
    /// The instance is not of that wave, or the pool takes no such instance.
    Invalid,
    /// The platform did nothing; the same call may be made again.
    Refused,
}
