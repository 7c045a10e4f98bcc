use strum::{Display, EnumString};

/// The outcome of one run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Ending {
    /// The run succeeded.
    Done,
    /// The run failed, through the task or its worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}
