use super::job::{Job, Occurrence, State};
use hyssop_model::work::{Phase, Submission};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The stored row of a job's submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JobRow {
    pub(super) queue: String,
    #[serde(rename = "asked_wall_ms")]
    pub(super) submitted_wall_ms: i64,
    pub(super) submission: Submission,
}

/// The stored row of a job's progress.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Progress {
    /// The final phase, once the job has one.
    pub(super) phase: Option<Phase>,
    pub(super) queue: String,
    pub(super) has_started: bool,
    pub(super) next_occurrence: u32,
    pub(super) finished_occurrences: u32,
    pub(super) occurrences: Vec<(u32, Vec<StageProgress>)>,
}

/// The tasks of a step whose state differs from the initial one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct StageProgress {
    pub(super) done: Vec<u32>,
    pub(super) failed: Vec<(u32, Vec<u64>)>,
    pub(super) checkpoints: Vec<(u32, String)>,
}

impl Progress {
    pub(super) fn of(job: &Job) -> Self {
        let phase = job.phase.is_final().then_some(job.phase);
        let stages =
            |occurrence: &Occurrence| occurrence.stages.iter().map(stage_progress).collect();
        Self {
            phase,
            queue: job.queue.clone(),
            has_started: job.has_started,
            next_occurrence: job.next_occurrence,
            finished_occurrences: job.finished_occurrences,
            occurrences: if phase.is_some() {
                Vec::new()
            } else {
                job.occurrences
                    .iter()
                    .map(|(number, occurrence)| (*number, stages(occurrence)))
                    .collect()
            },
        }
    }

    /// Restores the occurrences of `submission`. Tasks that are not done are orphaned, since a worker
    /// may still run them.
    pub(super) fn occurrences(&self, submission: &Submission) -> Vec<(u32, Occurrence)> {
        self.occurrences
            .iter()
            .map(|(number, stages)| {
                let mut occurrence = Occurrence::new(submission, Duration::ZERO, State::Orphaned);
                for (stage, stored) in occurrence.stages.iter_mut().zip(stages) {
                    stored.restore(stage);
                }
                (*number, occurrence)
            })
            .collect()
    }
}

impl StageProgress {
    fn restore(&self, stage: &mut super::job::Stage) {
        for &index in &self.done {
            if let Some(task) = stage.tasks.get_mut(index as usize) {
                task.state = State::Done;
                stage.done += 1;
            }
        }
        for (index, runs) in &self.failed {
            if let Some(task) = stage.tasks.get_mut(*index as usize) {
                task.failed_runs = runs.iter().copied().collect();
            }
        }
        for (index, checkpoint) in &self.checkpoints {
            if let Some(task) = stage.tasks.get_mut(*index as usize) {
                task.checkpoint.clone_from(checkpoint);
            }
        }
    }
}

fn stage_progress(stage: &super::job::Stage) -> StageProgress {
    let mut progress = StageProgress::default();
    for (index, task) in (0..).zip(&stage.tasks) {
        if task.state == State::Done {
            progress.done.push(index);
            continue;
        }
        if !task.failed_runs.is_empty() {
            let runs = task.failed_runs.iter().copied().collect();
            progress.failed.push((index, runs));
        }
        if !task.checkpoint.is_empty() {
            progress.checkpoints.push((index, task.checkpoint.clone()));
        }
    }
    progress
}
