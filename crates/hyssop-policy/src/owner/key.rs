use std::ops::RangeInclusive;

/// Key of a job, unique within one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey(pub u32);

/// Key of one incarnation of a worker, unique within one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerKey(pub u32);

/// Key of a task, unique within one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// The number of the job's occurrence.
    pub occurrence: u32,
    /// The index of the step within the job.
    pub step: u32,
    /// The index of the task within the step.
    pub index: u32,
}

impl JobKey {
    /// Returns the key range of all tasks of the job.
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
    /// Returns the key range of all tasks of the same step and occurrence, including this one.
    pub(super) fn siblings(self) -> RangeInclusive<Self> {
        let first = Self { index: 0, ..self };
        let last = Self {
            index: u32::MAX,
            ..self
        };
        first..=last
    }
}
