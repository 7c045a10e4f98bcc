use super::job::Job;
use super::worker::Permission;
use super::{JobKey, Scheduler, TaskKey, WorkerKey};
use hyssop_model::work;
use hyssop_platform::dialect;
use std::time::Duration;

/// The age of the last report up to which it shows which incarnation an acknowledgement reaches;
/// shorter than the time in which a worker starts again and ends a run. Reports come more often
/// while completions wait to be stored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(250);

/// Returns the name of a task as workers know it.
pub(super) fn task_name(job: &Job, task: TaskKey) -> String {
    work::Task {
        job: job.id.clone(),
        occurrence: task.occurrence,
        step: task.step,
        index: task.index,
    }
    .to_string()
}

/// The rank of an open job; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Whether the job is beyond the number of jobs a second that its account is owed.
    is_excess: bool,
    /// The weighted dominant share of its account; 0 for a job that is owed.
    share: f64,
    /// 0 for long-running jobs, 1 for jobs that can meet their deadline, 2 for overdue ones.
    class: u32,
    priority: u32,
    /// The time of submission of long-running jobs, the deadline of jobs that can meet it, the
    /// remaining work of overdue ones.
    key: f64,
}

/// Sorts jobs by their ranks.
fn sort(ranked: &mut [(Rank, JobKey)]) {
    ranked.sort_by(|(a, key_a), (b, key_b)| {
        a.partial_cmp(b)
            .unwrap_or(std::cmp::Ordering::Equal)
            .then(key_a.cmp(key_b))
    });
}

impl Scheduler {
    /// Returns the open jobs in the order in which they are given capacity.
    ///
    /// Demand may exceed the pool's capacity several times for some seconds, and only whole jobs
    /// completed in time count. Jobs that can still meet their deadline therefore come first, the
    /// earliest deadline first. Overdue jobs get the remaining capacity, the one with the least
    /// work first, so that as many of them as possible complete. Jobs beyond what their accounts are
    /// owed come last, by weighted dominant share: free capacity is lent to them.
    pub(super) fn ranked(&mut self, now: Duration) -> Vec<JobKey> {
        /// How long a ranking is reused: time and progress change it little within this time.
        const MAX_AGE: Duration = Duration::from_millis(50);
        if self.is_ranking_stale || now.saturating_sub(self.ranked_at) >= MAX_AGE {
            self.ranking = self.rank_all(now);
            self.ranked_at = now;
            self.is_ranking_stale = false;
        }
        self.ranking.clone()
    }

    fn rank_all(&self, now: Duration) -> Vec<JobKey> {
        let mut ranked: Vec<(Rank, JobKey)> = self
            .open_jobs
            .iter()
            .filter_map(|&key| Some((self.rank(self.jobs.get(&key)?, now), key)))
            .collect();
        sort(&mut ranked);
        let first = ranked.partition_point(|(rank, _)| !rank.is_excess);
        if first < ranked.len() {
            let excess: Vec<JobKey> = ranked[first..].iter().map(|(_, key)| *key).collect();
            let shares = self.excess_shares(&excess);
            for (rank, key) in &mut ranked[first..] {
                rank.share = shares.get(key).copied().unwrap_or(0.0);
            }
            sort(&mut ranked[first..]);
        }
        ranked.into_iter().map(|(_, key)| key).collect()
    }

    fn rank(&self, job: &Job, now: Duration) -> Rank {
        let rule = self.rules.get(&job.queue).copied().unwrap_or_default();
        if job.submission.is_long_running() {
            return Rank {
                is_excess: false,
                share: 0.0,
                class: 0,
                priority: rule.priority,
                key: job.submitted_at.as_secs_f64(),
            };
        }
        let estimate = |step: usize| self.expected_ms(&job.queue, &job.submission.steps[step]);
        let total_ms = job.submission.critical_path_ms(estimate);
        let occurrence = job
            .occurrences
            .values()
            .find(|occurrence| !occurrence.is_done());
        let ready_at = match (job.submission.schedule, occurrence) {
            (Some(_), Some(occurrence)) => occurrence.due_at,
            _ => job.submitted_at,
        };
        let is_open =
            |step: usize| occurrence.is_none_or(|occurrence| !occurrence.stages[step].is_done());
        let remaining_ms =
            job.submission
                .critical_path_ms(|step| if is_open(step) { estimate(step) } else { 0.0 });
        let deadline_ms = ready_at.as_secs_f64() * 1_000.0
            + rule.stretch * total_ms
            + rule.objective.as_secs_f64() * 1_000.0;
        let now_ms = now.as_secs_f64() * 1_000.0;
        if now_ms + remaining_ms <= deadline_ms {
            return Rank {
                is_excess: job.is_excess,
                share: 0.0,
                class: 1,
                priority: rule.priority,
                key: deadline_ms,
            };
        }
        let remaining_work = |(number, step): (usize, &work::Step)| {
            let remaining_tasks = occurrence.map_or(step.count as usize, |occurrence| {
                let stage = &occurrence.stages[number];
                stage.tasks.len() - stage.done
            });
            remaining_tasks as f64 * step.need.cpu as f64 * step.estimate_ms as f64
        };
        Rank {
            is_excess: job.is_excess,
            share: 0.0,
            class: 2,
            priority: rule.priority,
            key: job
                .submission
                .steps
                .iter()
                .enumerate()
                .map(remaining_work)
                .sum(),
        }
    }

    /// Builds the order that starts `run` of `task` on `worker` and records the lease that it
    /// grants; returns `None` if the run is no longer wanted, or the worker may not be given it any more.
    ///
    /// The lease is counted from `now`, the time at which the order is sent.
    pub fn order(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        run: u64,
        now: Duration,
    ) -> Option<dialect::Start> {
        if self.is_deposed || self.is_handing_over {
            return None;
        }
        let is_allowed =
            self.is_start_covered(worker, task, run, now) && !self.lacks_ticket(worker, task, now);
        if !is_allowed {
            self.withdraw_start(worker, task, now);
            return None;
        }
        let lease = self.settings.lease;
        let span = self.settings.lease_span();
        let drift = self.settings.clock_drift;
        let job = self.jobs.get(&task.job)?;
        let state = self.workers.get_mut(&worker)?;
        let is_wanted = !job.phase.is_final()
            && state.runs.get(&task).is_some_and(|entry| {
                entry.number == run && entry.stopping_at.is_none() && !entry.is_stray
            });
        if !is_wanted {
            return None;
        }
        if state.permission(now) != Permission::Granted {
            if let Some(entry) = state.runs.get_mut(&task) {
                entry.defer_start(now);
            }
            return None;
        }
        let until_ms = state.clock_ms(now, drift)? + lease.as_millis() as i64;
        state.lease_end = state.lease_end.max(now + span);
        if let Some(entry) = state.runs.get_mut(&task) {
            entry.sent_at = Some(now);
        }
        Some(dialect::Start {
            worker: state.listing.id.clone(),
            task: task_name(job, task),
            run,
            specification: job.submission.specification.clone(),
            until_ms,
            fence: self.term,
            checkpoint: job.checkpoint(task)?.clone(),
            ticket: self.ticket(worker, task, now).cloned(),
        })
    }

    /// Builds a request for a report, which extends the worker's lease if `extends` is set, and
    /// records the extension; returns `None` if the worker is gone.
    pub fn lease_renewal(
        &mut self,
        worker: WorkerKey,
        wait: Duration,
        extends: bool,
        now: Duration,
    ) -> Option<dialect::Renewal> {
        if self.is_deposed || self.is_handing_over {
            return None;
        }
        let lease = self.settings.lease;
        let span = self.settings.lease_span();
        let fence = self.term;
        let state = self.workers.get_mut(&worker)?;
        let until_ms = state
            .clock_ms(now, self.settings.clock_drift)
            .filter(|_| extends)
            .map(|clock| clock + lease.as_millis() as i64);
        if until_ms.is_some() {
            state.lease_end = state.lease_end.max(now + span);
            state.extension_sent_at = Some(now);
        }
        // The next incarnation numbers its completions anew, and would forget those that nobody has
        // read. So completions are acknowledged once, while the incarnation is known to live.
        let is_report_recent = state.unreachable_since.is_none()
            && state.disputed_at.is_none()
            && now.saturating_sub(state.polled_at) <= MAX_REPORT_AGE;
        let has_unacknowledged = state.acknowledged < state.stored;
        let (acknowledged, wait) = match (has_unacknowledged, is_report_recent) {
            (false, _) => (0, wait),
            (true, true) => (state.stored, wait),
            (true, false) => (0, Duration::ZERO),
        };
        Some(dialect::Renewal {
            worker: state.listing.id.clone(),
            until_ms,
            fence,
            acknowledged,
            wait_ms: wait.as_millis() as u64,
        })
    }
}
