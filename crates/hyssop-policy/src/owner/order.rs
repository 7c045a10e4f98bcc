use super::job::Job;
use super::{JobKey, Owner, TaskKey, WorkerKey};
use hyssop_model::work;
use hyssop_platform::dialect;
use std::time::Duration;

/// Returns the name that workers know a task by.
pub(super) fn task_name(job: &Job, task: TaskKey) -> String {
    work::Task {
        job: job.id.clone(),
        occurrence: task.occurrence,
        step: task.step,
        index: task.index,
    }
    .to_string()
}

/// Ranks open jobs; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// 0 lasting jobs, 1 jobs that can end in time, 2 overdue ones.
    class: u32,
    priority: u32,
    /// Among jobs in time the deadline; among overdue ones the work that is left.
    key: f64,
}

impl Owner {
    /// Returns the open jobs in the order in which they get room.
    ///
    /// The load that this answers: a queue asks several times what its pool holds for some
    /// seconds. Worth is earned by whole jobs in time, so a job that can still end in time goes
    /// before one that can't, the earlier deadline first; overdue jobs fill what is left, the one
    /// with the least work first, so that the most of them end.
    pub(super) fn ranked(&mut self, now: Duration) -> Vec<JobKey> {
        /// Ranks change with time and progress, but little within this time.
        const FRESH: Duration = Duration::from_millis(50);
        if self.is_ranking_stale || now.saturating_sub(self.ranked_at) >= FRESH {
            self.ranking = self.rank_all(now);
            self.ranked_at = now;
            self.is_ranking_stale = false;
        }
        self.ranking.clone()
    }

    fn rank_all(&self, now: Duration) -> Vec<JobKey> {
        let mut ranked: Vec<(Rank, JobKey)> = self
            .open
            .iter()
            .filter_map(|&key| Some((self.rank(self.jobs.get(&key)?, now), key)))
            .collect();
        ranked.sort_by(|(a, ka), (b, kb)| {
            a.partial_cmp(b)
                .unwrap_or(std::cmp::Ordering::Equal)
                .then(ka.cmp(kb))
        });
        ranked.into_iter().map(|(_, key)| key).collect()
    }

    fn rank(&self, job: &Job, now: Duration) -> Rank {
        let rule = self.rules.get(&job.queue).copied().unwrap_or_default();
        if job.submission.lasts() {
            return Rank {
                class: 0,
                priority: rule.priority,
                key: job.asked_at.as_secs_f64(),
            };
        }
        let factor = self.learning.factor(&job.queue);
        let estimate = |step: usize| job.submission.steps[step].estimate_ms as f64 * factor;
        let whole_ms = job.submission.chain_ms(estimate);
        let occurrence = job
            .occurrences
            .values()
            .find(|occurrence| !occurrence.is_done());
        let begun_at = match (job.submission.schedule, occurrence) {
            (Some(_), Some(occurrence)) => occurrence.due_at,
            _ => job.asked_at,
        };
        let is_left =
            |step: usize| occurrence.is_none_or(|occurrence| !occurrence.stages[step].is_done());
        let left_ms = job
            .submission
            .chain_ms(|step| if is_left(step) { estimate(step) } else { 0.0 });
        let deadline_ms = begun_at.as_secs_f64() * 1_000.0
            + rule.stretch * whole_ms
            + rule.objective.as_secs_f64() * 1_000.0;
        let now_ms = now.as_secs_f64() * 1_000.0;
        if now_ms + left_ms <= deadline_ms {
            return Rank {
                class: 1,
                priority: rule.priority,
                key: deadline_ms,
            };
        }
        let work = |(number, step): (usize, &work::Step)| {
            let left = occurrence.map_or(step.count as usize, |occurrence| {
                let stage = &occurrence.stages[number];
                stage.tasks.len() - stage.done
            });
            left as f64 * step.need.cpu as f64 * step.estimate_ms as f64
        };
        Rank {
            class: 2,
            priority: rule.priority,
            key: job.submission.steps.iter().enumerate().map(work).sum(),
        }
    }

    /// Describes the start `run` of `task` on `worker`; `None` where it is no longer wanted.
    ///
    /// The lease is counted from `now`, the time of the sending, which the owner notes.
    pub fn order(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        run: u64,
        now: Duration,
    ) -> Option<dialect::Order> {
        if self.is_deposed {
            return None;
        }
        let lease = self.settings.lease;
        let span = self.settings.lease_span();
        let job = self.jobs.get(&task.job)?;
        let state = self.workers.get_mut(&worker)?;
        let is_wanted = !job.phase.is_final()
            && state
                .runs
                .get(&task)
                .is_some_and(|held| held.number == run && held.stopping_at.is_none());
        if !is_wanted {
            return None;
        }
        let until_ms = state.clock_ms(now)? + lease.as_millis() as i64;
        state.lease_end = state.lease_end.max(now + span);
        let stage = job.stage(task.occurrence, task.step)?;
        Some(dialect::Order {
            worker: state.listing.id.clone(),
            task: task_name(job, task),
            run,
            specification: job.submission.specification.clone(),
            until_ms,
            fence: self.term,
            checkpoint: stage.tasks.get(task.index as usize)?.checkpoint.clone(),
            ticket: self
                .permits
                .get(&super::permit::step_of(task))
                .and_then(|permit| permit.ticket(worker, now).cloned()),
        })
    }

    /// Describes an extension and a request for a report; `None` where the worker is gone.
    pub fn hold(
        &mut self,
        worker: WorkerKey,
        wait: Duration,
        extends: bool,
        now: Duration,
    ) -> Option<dialect::Hold> {
        if self.is_deposed {
            return None;
        }
        let lease = self.settings.lease;
        let span = self.settings.lease_span();
        let fence = self.term;
        let state = self.workers.get_mut(&worker)?;
        let until_ms = state
            .clock_ms(now)
            .filter(|_| extends)
            .map(|clock| clock + lease.as_millis() as i64);
        if until_ms.is_some() {
            state.lease_end = state.lease_end.max(now + span);
        }
        Some(dialect::Hold {
            worker: state.listing.id.clone(),
            until_ms,
            fence,
            acknowledged: state.stored,
            wait_ms: wait.as_millis() as u64,
        })
    }
}
