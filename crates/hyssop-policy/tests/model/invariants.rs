use hyssop_model::work::{Outcome, Submission, Task};
use std::collections::{BTreeMap, BTreeSet};

/// The invariants of the scheduler, checked against what workers and callers observe.
#[derive(Debug, Default)]
pub struct Invariants {
    jobs: BTreeMap<String, Submission>,
    done: BTreeSet<String>,
    /// Runs that ended as done and are not acknowledged yet, by worker and incarnation.
    unacknowledged: BTreeMap<(String, i64), Vec<DoneRun>>,
    acknowledged_done: BTreeSet<String>,
    /// The latest start of each task.
    started_ms: BTreeMap<String, i64>,
    withdrawn: BTreeSet<String>,
    cancelled: BTreeMap<String, i64>,
    pub starts: usize,
}

/// The completion number of a run that ended as done, its task, and the time of its end.
type DoneRun = (u64, String, i64);

/// How long before it is due an occurrence may start.
const EARLY_MS: i64 = 250;

/// How long after an acknowledged cancellation a task of the job may still start.
const CANCEL_GRACE_MS: i64 = 3_000;

impl Invariants {
    pub fn on_submission(&mut self, id: &str, submission: &Submission) {
        self.jobs.insert(id.to_owned(), submission.clone());
        self.withdrawn.remove(id);
    }

    pub fn on_withdrawal(&mut self, id: &str) {
        self.withdrawn.insert(id.to_owned());
    }

    pub fn on_cancellation(&mut self, id: &str, now_ms: i64) {
        self.cancelled.entry(id.to_owned()).or_insert(now_ms);
    }

    /// Returns whether a job's cancellation was acknowledged.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.contains_key(id)
    }

    /// # Panics
    ///
    /// Panics if the start violates an invariant.
    pub fn on_run_start(&mut self, task: &str, elsewhere: bool, is_delayed: bool, now_ms: i64) {
        self.starts += 1;
        assert!(!elsewhere, "{task} runs twice at {now_ms} ms");
        let named: Task = task.parse().expect("a task name");
        let submission = self.jobs.get(&named.job).expect("a submitted job");
        assert!(
            !self.withdrawn.contains(&named.job),
            "{task} of a withdrawn job started"
        );
        for earlier in &submission.steps[named.step as usize].after {
            for index in 0..submission.steps[*earlier].count {
                let before = format!("{}.{}.{earlier}.{index}", named.job, named.occurrence);
                assert!(
                    self.done.contains(&before),
                    "{task} started before {before} was done"
                );
            }
        }
        if let Some(schedule) = submission.schedule {
            let due_ms = schedule.due_ms(named.occurrence);
            assert!(
                due_ms <= now_ms + EARLY_MS,
                "{task} started at {now_ms} ms, due at {due_ms} ms"
            );
        }
        if let Some(at) = self.cancelled.get(&named.job) {
            assert!(
                is_delayed || now_ms <= at + CANCEL_GRACE_MS,
                "{task} started at {now_ms} ms, cancelled at {at} ms"
            );
        }
        if self.acknowledged_done.contains(task) {
            panic!("{task} started again at {now_ms} ms after its completion was acknowledged");
        }
        self.started_ms.insert(task.to_owned(), now_ms);
    }

    pub fn on_run_end(
        &mut self,
        (worker, incarnation): (&str, i64),
        task: &str,
        outcome: Outcome,
        number: u64,
        now_ms: i64,
    ) {
        if outcome == Outcome::Done {
            self.done.insert(task.to_owned());
            // The members of a gang do one piece of work together, which is done with the first of them.
            let named: Task = task.parse().expect("a task name");
            let gang = self
                .jobs
                .get(&named.job)
                .map(|job| &job.steps[named.step as usize]);
            for index in 0..gang.filter(|step| step.gang).map_or(0, |step| step.count) {
                let member = Task {
                    index,
                    ..named.clone()
                };
                self.done.insert(member.to_string());
            }
            self.unacknowledged
                .entry((worker.to_owned(), incarnation))
                .or_default()
                .push((number, task.to_owned(), now_ms));
        }
    }

    /// # Panics
    ///
    /// Panics if the acknowledged completion belongs to a task that was started again after it.
    ///
    /// A completion is not checked if the worker's lease expired between it and the
    /// acknowledgement, at `expired_ms` (RULES, TWICE).
    pub fn on_acknowledged(&mut self, worker: &str, incarnation: i64, up_to: u64, expired_ms: i64) {
        let Some(runs) = self
            .unacknowledged
            .get_mut(&(worker.to_owned(), incarnation))
        else {
            return;
        };
        let (seen, rest) = runs.drain(..).partition(|(number, ..)| *number <= up_to);
        *runs = rest;
        let seen: Vec<DoneRun> = seen;
        for (_, task, ended_ms) in seen {
            if expired_ms >= ended_ms {
                continue;
            }
            assert!(
                self.started_ms[&task] <= ended_ms,
                "{task} was started again before its completion was acknowledged"
            );
            self.acknowledged_done.insert(task);
        }
    }

    /// Returns whether every task of a job is done.
    pub fn is_done(&self, id: &str) -> bool {
        let submission = &self.jobs[id];
        let count = submission.schedule.map_or(1, |schedule| schedule.count);
        (0..count).all(|occurrence| {
            submission.steps.iter().enumerate().all(|(step, shape)| {
                let name = |index| format!("{id}.{occurrence}.{step}.{index}");
                (0..shape.count).all(|index| self.done.contains(&name(index)))
            })
        })
    }
}
