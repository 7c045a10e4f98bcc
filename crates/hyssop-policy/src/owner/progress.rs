use super::job::{Job, Occurrence, Rule, State};
use hyssop_model::work::{Phase, Step, Submission};
use hyssop_platform::rows::encode;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The largest encoded header of an array of occurrences, in bytes.
const MAX_ARRAY_HEADER: usize = 5;
/// The largest run number that the sizes of rows allow for. Terms of 10,000 runs reach it after
/// 400,000 failovers.
const MAX_RUN_NUMBER: u64 = u32::MAX as u64;

/// The stored row of a job's submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JobRow {
    pub(super) queue: String,
    #[serde(rename = "asked_wall_ms")]
    pub(super) submitted_wall_ms: i64,
    pub(super) submission: Submission,
    /// The queue's rules when the job was accepted, in rows of earlier versions, which had no rows of
    /// rules.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) rule: Option<Rule>,
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
    /// The client account of a finished job, whose submission may be removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) account: Option<String>,
}

/// The tasks of a step whose state differs from the initial one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct StageProgress {
    pub(super) done: Vec<u32>,
    pub(super) failed: Vec<(u32, Vec<u64>)>,
    pub(super) checkpoints: Vec<(u32, String)>,
}

impl JobRow {
    pub(super) fn of(job: &Job) -> Self {
        Self {
            queue: job.queue.clone(),
            submitted_wall_ms: job.submitted_wall_ms,
            submission: job.submission.clone(),
            rule: None,
        }
    }
}

impl Progress {
    /// Returns the encoded row of a job, without checkpoints that would make it larger than `limit`.
    ///
    /// A task whose checkpoint is missing starts from the beginning after a failover.
    pub(super) fn row(job: &Job, limit: usize) -> Vec<u8> {
        let mut progress = Self::of(job);
        let row = encode(&progress);
        if row.len() <= limit {
            return row;
        }
        progress.drop_checkpoints(row.len() - limit);
        encode(&progress)
    }

    /// Drops checkpoints until the encoded row is at least `excess` bytes smaller, or none is left.
    fn drop_checkpoints(&mut self, excess: usize) {
        let mut dropped = 0;
        let stages = self.occurrences.iter_mut().flat_map(|(_, stages)| stages);
        for stage in stages {
            while dropped < excess {
                let Some((_, checkpoint)) = stage.checkpoints.pop() else {
                    break;
                };
                dropped += checkpoint.len();
            }
        }
    }

    /// Returns how many occurrences of a job fit into a row of `limit` bytes whatever their
    /// progress, not counting checkpoints.
    pub(super) fn max_occurrences(
        queue: &str,
        submission: &Submission,
        max_attempts: u32,
        limit: usize,
    ) -> usize {
        let tasks: usize = submission.steps.iter().map(|s| s.count as usize).sum();
        if tasks > limit {
            // Each task takes at least a byte.
            return 0;
        }
        let empty = Self {
            phase: None,
            queue: queue.to_owned(),
            has_started: true,
            next_occurrence: u32::MAX,
            finished_occurrences: u32::MAX,
            occurrences: Vec::new(),
            account: None,
        };
        let largest_stage = |step: &Step| StageProgress::largest(step, max_attempts);
        let stages: Vec<StageProgress> = submission.steps.iter().map(largest_stage).collect();
        let occurrence = encode(&(u32::MAX, stages)).len();
        limit.saturating_sub(encode(&empty).len() + MAX_ARRAY_HEADER) / occurrence
    }

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
            account: phase.and(job.submission.account.clone()),
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
    /// Returns the progress of a step with the largest encoded size that it can have while its job
    /// goes on, without checkpoints.
    fn largest(step: &Step, max_attempts: u32) -> Self {
        let done = Self {
            done: (0..step.count).collect(),
            ..Self::default()
        };
        // The job fails with the last attempt, and the attempts of a gang count for its first task.
        let runs = vec![MAX_RUN_NUMBER; max_attempts.saturating_sub(1) as usize];
        if runs.is_empty() || step.is_long_running {
            return done;
        }
        let counters = if step.gang { 1 } else { step.count };
        let failed = Self {
            failed: (0..counters).map(|index| (index, runs.clone())).collect(),
            ..Self::default()
        };
        if encode(&failed).len() > encode(&done).len() {
            failed
        } else {
            done
        }
    }

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
