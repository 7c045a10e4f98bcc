use strum::{Display, EnumString};

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// With success.
    Done,
    /// Through its own fault or the worker's.
    Failed,
    /// By a request to stop.
    Stopped,
    /// Because its lease expired.
    #[strum(serialize = "lapsed")]
    Expired,
    /// Because another member of its gang ended.
    #[strum(serialize = "broken")]
    GangBroken,
    /// Because the other members of its gang did not start.
    #[strum(serialize = "alone")]
    GangIncomplete,
}
