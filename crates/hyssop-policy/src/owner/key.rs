/// Names a job within its owner's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey(pub u32);

/// Names one life of a worker within its owner's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerKey(pub u32);

/// Names a task within its owner's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The task's number within the step.
    pub index: u32,
}
