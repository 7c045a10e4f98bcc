use hyssop_config::fleet::Team;
use hyssop_model::job::{Record, Worker};
use hyssop_platform::worker::Usage;

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete list of the platform's workers.
    Workers(Vec<Worker>),
    /// The teams' quotas.
    Teams(Vec<Team>),
    /// A job's row that is new or was changed by another process.
    Job(Record),
    /// The cancellation of a job.
    Cancel(String),
    /// The platform's usage report.
    Usage(Vec<Usage>),
    /// A start was refused, so the job certainly did not run.
    NotStarted {
        /// The job.
        job: String,
        /// The fencing token of the start.
        fence: u64,
    },
    /// A periodic tick: expires leases and places waiting jobs.
    Tick,
}
