use hyssop_config::fleet::Team;
use hyssop_model::job::{Record, Worker};
use hyssop_platform::worker::Usage;

/// Is what happens to a scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform's workers, all of them.
    Workers(Vec<Worker>),
    /// The teams' quotas.
    Teams(Vec<Team>),
    /// A job's row, new or changed by somebody else.
    Job(Record),
    /// A job is withdrawn.
    Cancel(String),
    /// The platform's usage report.
    Usage(Vec<Usage>),
    /// A start was refused: it certainly did not run.
    NotStarted {
        /// The job.
        job: String,
        /// The fence of the start.
        fence: u64,
    },
    /// Time passed: places what waits.
    Tick,
}
