use hyssop_model::job::Record;
use hyssop_platform::worker::Signal;

/// Is what a scheduler asks its host to do, in this order: rows first, then calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Writes a job's row, before anything that follows from it.
    Write(Record),
    /// Writes a job's row, then starts it on the row's worker.
    Start(Record),
    /// Signals a running job.
    Signal {
        /// The worker.
        worker: String,
        /// The job.
        job: String,
        /// What to do.
        signal: Signal,
    },
    /// Leaves a worker alone for a while.
    Suspect {
        /// The worker.
        worker: String,
    },
}
