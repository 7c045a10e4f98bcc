use hyssop_model::work::{Outcome, Submission, Task};
use std::collections::{BTreeMap, BTreeSet};

/// Checks what must always hold, from what workers and callers see.
#[derive(Debug, Default)]
pub struct Promises {
    jobs: BTreeMap<String, Submission>,
    done: BTreeSet<String>,
    /// Done endings by worker life and number, until they are acknowledged.
    unacknowledged: BTreeMap<(String, i64), Vec<DoneEnd>>,
    acknowledged_done: BTreeSet<String>,
    /// The latest start of each task.
    started_ms: BTreeMap<String, i64>,
    refused: BTreeSet<String>,
    cancelled: BTreeMap<String, i64>,
    pub starts: usize,
}

/// The number of a done ending, its task, and when it came.
type DoneEnd = (u64, String, i64);

/// The bound on starts after an acknowledged cancellation, in milliseconds.
const CANCEL_MS: i64 = 3_000;

impl Promises {
    pub fn offered(&mut self, id: &str, submission: &Submission) {
        self.jobs.insert(id.to_owned(), submission.clone());
        self.refused.remove(id);
    }

    pub fn refuse(&mut self, id: &str) {
        self.refused.insert(id.to_owned());
    }

    pub fn cancel(&mut self, id: &str, now_ms: i64) {
        self.cancelled.entry(id.to_owned()).or_insert(now_ms);
    }

    /// # Panics
    ///
    /// Panics when the start breaks a promise.
    pub fn began(&mut self, task: &str, elsewhere: bool, is_late_order: bool, now_ms: i64) {
        self.starts += 1;
        assert!(!elsewhere, "{task} runs twice at {now_ms} ms");
        let named: Task = task.parse().expect("a task's name");
        let submission = self.jobs.get(&named.job).expect("a job that was handed in");
        assert!(
            !self.refused.contains(&named.job),
            "{task} of a refused job began"
        );
        for earlier in &submission.steps[named.step as usize].after {
            for index in 0..submission.steps[*earlier].count {
                let before = format!("{}.{}.{earlier}.{index}", named.job, named.occurrence);
                assert!(
                    self.done.contains(&before),
                    "{task} began before {before} was done"
                );
            }
        }
        if let Some(at) = self.cancelled.get(&named.job) {
            assert!(
                is_late_order || now_ms <= at + CANCEL_MS,
                "{task} began at {now_ms} ms, cancelled at {at} ms"
            );
        }
        if self.acknowledged_done.contains(task) {
            panic!("{task} began again at {now_ms} ms after its end was acknowledged");
        }
        self.started_ms.insert(task.to_owned(), now_ms);
    }

    pub fn ended(
        &mut self,
        (worker, life): (&str, i64),
        task: &str,
        outcome: Outcome,
        number: u64,
        now_ms: i64,
    ) {
        if outcome == Outcome::Done {
            self.done.insert(task.to_owned());
            self.unacknowledged
                .entry((worker.to_owned(), life))
                .or_default()
                .push((number, task.to_owned(), now_ms));
        }
    }

    /// # Panics
    ///
    /// Panics when an ending is acknowledged of a task that was started again after it.
    ///
    /// An ending doesn't count where the worker's lease was over between it and the
    /// acknowledgement, at `lapsed_ms` (RULES, TWICE).
    pub fn acknowledged(&mut self, worker: &str, life: i64, up_to: u64, lapsed_ms: i64) {
        let Some(endings) = self.unacknowledged.get_mut(&(worker.to_owned(), life)) else {
            return;
        };
        let (seen, rest) = endings.drain(..).partition(|(number, ..)| *number <= up_to);
        *endings = rest;
        let seen: Vec<DoneEnd> = seen;
        for (_, task, ended_ms) in seen {
            if lapsed_ms >= ended_ms {
                continue;
            }
            assert!(
                self.started_ms[&task] <= ended_ms,
                "{task} was started again although its end was acknowledged later"
            );
            self.acknowledged_done.insert(task);
        }
    }

    /// Tells whether every task of a job has ended well.
    pub fn is_done(&self, id: &str) -> bool {
        let submission = &self.jobs[id];
        submission.steps.iter().enumerate().all(|(step, shape)| {
            (0..shape.count).all(|index| self.done.contains(&format!("{id}.0.{step}.{index}")))
        })
    }
}
