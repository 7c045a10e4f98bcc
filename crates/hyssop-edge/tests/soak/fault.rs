use platform_standin::{Access, Service};

/// A step of a plan.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// One process's way to the store, or all, get this access.
    Store(Option<usize>, Access),
    /// A pool's owner is cut off from the store, and all processes are from the moment at which the
    /// next owner of any shard was written, before it knows; until `Reopen`.
    FailOver(&'static str),
    /// The process that was written as this pool's owner last has the store back.
    Reopen(&'static str),
    /// All faults end.
    EndAll,
    /// The store forgets its history.
    Forget,
    /// All open connections to a service go silent for good; new ones work.
    Silence(Service),
    /// A process is killed.
    Kill(usize),
    /// A process is asked to stop.
    Terminate(usize),
    /// A process that has ended or is stopping is started anew.
    Restart(usize),
    /// A process is paused.
    Freeze(usize),
    /// A paused process continues.
    Thaw(usize),
    /// A worker can't be called.
    CutOff(usize),
    /// A worker can be called again.
    Reconnect(usize),
    /// A worker ends and starts again under its identifier, of this kind.
    Replace(usize, &'static str),
    /// The entries of all workers expire.
    Expire,
    /// A worker's entry is back.
    Restore(usize),
    /// A caller submits a job of this kind to a process.
    Submit(JobKind, usize),
    /// Callers submit many short jobs at once to the pool that requires advice.
    Burst(usize),
    /// Callers cancel the latest job of each pool while nothing disturbs it; it must be acknowledged in time.
    CancelInTime(usize),
    /// A caller cancels the nth latest job at a process.
    Cancel(usize, usize),
}

/// The kinds of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    /// One step of tasks that take this many milliseconds.
    Plain(u64),
    /// Two steps, the second after the first.
    Steps(u64),
    /// Three occurrences.
    Scheduled(u64),
    /// Tasks that run until the job is cancelled.
    Lasting,
    /// Tasks that need a worker of kind `kind-a`.
    Labelled(u64),
}
