use super::WorkerKey;
use hyssop_model::work::{Phase, Queue, Step, Submission};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Holds the rules of a queue that its jobs run under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rule {
    pub(super) priority: u32,
    pub(super) max_attempts: u32,
    pub(super) stretch: f64,
    pub(super) objective: Duration,
    pub(super) needs_advice: bool,
}

impl Rule {
    pub(super) fn new(queue: &Queue) -> Self {
        Self {
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            objective: queue.objective,
            needs_advice: queue.needs_advice,
        }
    }
}

impl Default for Rule {
    fn default() -> Self {
        Self {
            priority: 1,
            max_attempts: 1,
            stretch: 1.0,
            objective: Duration::from_secs(1),
            needs_advice: false,
        }
    }
}

/// Holds one job and how far it has come.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's identifier.
    pub id: String,
    /// The queue's name.
    pub queue: String,
    /// What the caller handed in; empty once the job has ended and that is stored.
    pub submission: Submission,
    /// When the caller first asked, on the owner's clock.
    pub(super) asked_at: Duration,
    /// The same in Unix milliseconds, for the next owner.
    pub(super) asked_wall_ms: i64,
    /// How far the job has come in memory.
    pub(super) phase: Phase,
    /// The final phase that is stored, which callers may be told.
    pub(super) stored_phase: Option<Phase>,
    /// Whether the submission is stored, so that the job is accepted.
    pub(super) is_stored: bool,
    /// When the first task of this term started, on the owner's clock.
    pub(super) begun_at: Option<Duration>,
    /// Whether any task has started.
    pub(super) has_started: bool,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    pub(super) next_occurrence: u32,
    /// Occurrences before `next_occurrence` that have ended.
    pub(super) finished_occurrences: u32,
    /// When the job ended, on the owner's clock.
    pub(super) ended_at: Option<Duration>,
}

impl Job {
    /// Tells whether the caller has asked to cancel, stored or not.
    pub(super) fn is_cancelled(&self) -> bool {
        self.phase == Phase::Cancelled
    }

    /// Returns what may be told to the caller.
    pub(super) fn told_phase(&self) -> Phase {
        match self.stored_phase {
            Some(phase) => phase,
            None if self.has_started => Phase::Running,
            None => Phase::Queued,
        }
    }

    /// Returns a step by its number.
    pub(super) fn step(&self, number: u32) -> Option<&Step> {
        self.submission.steps.get(number as usize)
    }

    pub(super) fn stage(&self, occurrence: u32, step: u32) -> Option<&Stage> {
        self.occurrences.get(&occurrence)?.stages.get(step as usize)
    }

    pub(super) fn stage_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Stage> {
        self.occurrences
            .get_mut(&occurrence)?
            .stages
            .get_mut(step as usize)
    }
}

/// Holds one occurrence of a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Occurrence {
    /// When it was due, on the owner's clock.
    pub(super) due_at: Duration,
    pub(super) stages: Vec<Stage>,
}

impl Occurrence {
    pub(super) fn new(submission: &Submission, due_at: Duration, initial: State) -> Self {
        let stage = |step: &Step| Stage {
            tasks: vec![
                Task {
                    state: initial,
                    ..Task::default()
                };
                step.count as usize
            ],
            done: 0,
        };
        Self {
            due_at,
            stages: submission.steps.iter().map(stage).collect(),
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.stages.iter().all(Stage::is_done)
    }

    /// Tells whether all earlier steps that `after` names are done.
    pub(super) fn is_open(&self, after: &[usize]) -> bool {
        after
            .iter()
            .all(|&step| self.stages.get(step).is_some_and(Stage::is_done))
    }
}

/// Holds the tasks of one step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(super) struct Stage {
    pub(super) tasks: Vec<Task>,
    pub(super) done: usize,
}

impl Stage {
    pub(super) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }
}

/// Holds one task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) state: State,
    /// The number of the newest start in this term, 0 for none.
    pub(super) run: u64,
    /// The runs that ended as failed; each counts once, however often it is reported.
    pub(super) failed_runs: BTreeSet<u64>,
    /// The newest checkpoint; empty for none.
    pub(super) checkpoint: String,
    /// The worker that failed it last, which is avoided.
    pub(super) avoided: Option<WorkerKey>,
}

/// Says where a task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State {
    /// Not running anywhere.
    #[default]
    Waiting,
    /// May run on a worker that an earlier owner gave it to.
    Unlocated,
    /// Ordered to, or running on, a worker.
    Placed(WorkerKey),
    /// Ended with success.
    Done,
}
