use std::ops::RangeInclusive;

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

impl JobKey {
    /// Returns the range of all tasks of the job.
    pub(super) fn tasks(self) -> RangeInclusive<TaskKey> {
        let first = TaskKey {
            job: self,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let last = TaskKey {
            job: self,
            occurrence: u32::MAX,
            step: u32::MAX,
            index: u32::MAX,
        };
        first..=last
    }
}

impl TaskKey {
    /// Returns the range of all tasks of the same step and occurrence, this one among them.
    pub(super) fn siblings(self) -> RangeInclusive<Self> {
        let first = Self { index: 0, ..self };
        let last = Self {
            index: u32::MAX,
            ..self
        };
        first..=last
    }
}
