use super::{JobKey, TaskKey, WorkerKey};
use hyssop_model::work::{AdviceTime, Phase, Queue, Step, Submission};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The scheduling rules that a queue applies to its jobs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    pub(super) priority: u32,
    pub(super) max_attempts: u32,
    pub(super) stretch: f64,
    pub(super) objective: Duration,
    pub(super) needs_advice: bool,
    /// Zero in rows of earlier versions.
    #[serde(default)]
    pub(super) advice_time: AdviceTime,
}

impl Rule {
    /// Returns the rules of a configured queue.
    pub fn new(queue: &Queue) -> Self {
        Self {
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            objective: queue.objective,
            needs_advice: queue.advice.is_some(),
            advice_time: queue.advice.unwrap_or_default(),
        }
    }

    /// Returns how long the advice service takes for requests about the queue, `None` if it requires
    /// no tickets.
    pub(super) fn advice(&self) -> Option<AdviceTime> {
        self.needs_advice.then_some(self.advice_time)
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
            advice_time: AdviceTime::default(),
        }
    }
}

/// A job and its progress.
#[derive(Clone, Debug)]
pub struct Job {
    /// The identifier given by the caller.
    pub id: String,
    /// The queue's name.
    pub queue: String,
    /// The submitted work; its specification is dropped once the final phase is stored.
    pub submission: Submission,
    /// Whether the job is beyond the number of jobs a second that its account is owed.
    pub(super) is_excess: bool,
    /// When the caller first submitted the job, on the owner's clock.
    pub(super) submitted_at: Duration,
    /// The same time in Unix milliseconds, stored for the next owner.
    pub(super) submitted_wall_ms: i64,
    /// The phase in memory, which may be ahead of the store.
    pub(super) phase: Phase,
    /// The stored final phase, the only one that callers may see.
    pub(super) stored_phase: Option<Phase>,
    /// Whether the submission is stored, which makes the job accepted.
    pub(super) is_stored: bool,
    /// When the first task started in this term, on the owner's clock.
    pub(super) first_started_at: Option<Duration>,
    /// Whether any task has started.
    pub(super) has_started: bool,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    pub(super) next_occurrence: u32,
    /// The stored `next_occurrence`. A new owner takes all later occurrences for not started, so
    /// their tasks must not be.
    pub(super) stored_occurrences: u32,
    /// The maximum number of open occurrences, with which the progress row keeps within its size.
    pub(super) max_open_occurrences: usize,
    /// The number of finished occurrences before `next_occurrence`.
    pub(super) finished_occurrences: u32,
    /// The bytes that it counts for in the pool's backlog.
    pub(super) held_bytes: usize,
    /// Whether its progress was found too large to store.
    pub(super) is_oversized: bool,
    /// When the job finished, on the owner's clock.
    pub(super) finished_at: Option<Duration>,
}

impl Job {
    /// Returns whether the job has been cancelled, even if that is not yet stored.
    pub(super) fn is_cancelled(&self) -> bool {
        self.phase == Phase::Cancelled
    }

    /// Returns the phase that callers may see: a final phase only once it is stored.
    pub(super) fn visible_phase(&self) -> Phase {
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

    /// Returns the occurrences whose tasks may be started: those that are due and stored.
    pub(super) fn startable_occurrences(&self) -> impl Iterator<Item = (&u32, &Occurrence)> {
        self.occurrences
            .range(..self.stored_occurrences)
            .filter(|(_, occurrence)| occurrence.is_due)
    }

    /// Returns whether an occurrence is still to be opened.
    pub(super) fn will_open(&self, occurrence: u32) -> bool {
        let count = self
            .submission
            .schedule
            .map_or(0, |schedule| schedule.count);
        !self.phase.is_final() && (self.next_occurrence..count).contains(&occurrence)
    }

    /// Returns the checkpoint with which a task starts, empty if there is none.
    pub(super) fn checkpoint(&self, task: TaskKey) -> Option<&String> {
        let index = self.checkpoint_index(task)?;
        let stage = self.stage(task.occurrence, task.step)?;
        Some(&stage.tasks.get(index)?.checkpoint)
    }

    /// Keeps the newest checkpoint of a task.
    pub(super) fn save_checkpoint(&mut self, task: TaskKey, checkpoint: &str) {
        let index = self.checkpoint_index(task);
        let stage = self.stage_mut(task.occurrence, task.step);
        let entry = index.and_then(|index| stage?.tasks.get_mut(index));
        if let Some(entry) = entry {
            checkpoint.clone_into(&mut entry.checkpoint);
        }
    }

    /// Returns the index of the task that holds a task's checkpoint. All tasks of a gang start with
    /// the same one, which its first task holds.
    fn checkpoint_index(&self, task: TaskKey) -> Option<usize> {
        let is_gang = self.step(task.step)?.gang;
        Some(if is_gang { 0 } else { task.index as usize })
    }

    /// Returns the tasks of all open occurrences; `key` is the job's key.
    pub(super) fn tasks_mut(&mut self, key: JobKey) -> impl Iterator<Item = (TaskKey, &mut Task)> {
        let occurrences = self.occurrences.iter_mut();
        occurrences.flat_map(move |(&occurrence, state)| {
            let stages = state.stages.iter_mut().enumerate();
            stages.flat_map(move |(step, stage)| {
                let tasks = stage.tasks.iter_mut().enumerate();
                tasks.map(move |(index, task)| {
                    let key = TaskKey {
                        job: key,
                        occurrence,
                        step: step as u32,
                        index: index as u32,
                    };
                    (key, task)
                })
            })
        })
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

/// One occurrence of a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Occurrence {
    /// When the occurrence is due, on the owner's clock.
    pub(super) due_at: Duration,
    /// Whether the occurrence is due by the wall clock.
    pub(super) is_due: bool,
    pub(super) stages: Vec<Stage>,
}

impl Occurrence {
    /// Creates an occurrence without progress. Only that of a job without a schedule is due at once.
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
            is_due: submission.schedule.is_none(),
            stages: submission.steps.iter().map(stage).collect(),
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.stages.iter().all(Stage::is_done)
    }

    /// Returns whether all steps listed in `after` are done.
    pub(super) fn are_steps_done(&self, after: &[usize]) -> bool {
        after
            .iter()
            .all(|&step| self.stages.get(step).is_some_and(Stage::is_done))
    }
}

/// The tasks of one step in one occurrence.
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

/// The state of one task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) state: State,
    /// The number of the newest run started in this term, 0 if none.
    pub(super) run: u64,
    /// The runs that failed; a set, so that repeated reports of a run count once.
    pub(super) failed_runs: BTreeSet<u64>,
    /// The newest checkpoint, empty if there is none.
    pub(super) checkpoint: String,
    /// The worker on which the task failed last, and until when the task waits for another one that
    /// could take it.
    pub(super) avoided: Option<(WorkerKey, Duration)>,
}

/// Where a task is in its life cycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State {
    /// Not running on any worker.
    #[default]
    Waiting,
    /// May still run on the worker on which an owner of an earlier term started it.
    Orphaned,
    /// Assigned to a worker, where it is starting or running.
    Placed(WorkerKey),
    /// Completed successfully.
    Done,
}
