use hyssop_model::job::Record;
use hyssop_platform::worker::Signal;

/// A request of the scheduler to its host. The host writes rows before it makes calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Writes a job's row, before any call that depends on it.
    Write(Record),
    /// Writes a job's row, then starts it on the row's worker.
    Start(Record),
    /// Signals a running job.
    Signal {
        /// The worker.
        worker: String,
        /// The job.
        job: String,
        /// The signal.
        signal: Signal,
    },
    /// Reports that a worker is excluded from placement for a while, because jobs failed on it.
    Suspect {
        /// The worker.
        worker: String,
    },
}
