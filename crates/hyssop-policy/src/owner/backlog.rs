use super::admission::Admission;
use super::job::{Job, Occurrence, Stage, Task};
use super::{JobKey, Scheduler};
use crate::intake::submission_bytes;
use hyssop_model::work::{Phase, Step, Submission};
use std::collections::{BTreeMap, VecDeque};
use std::mem::size_of;
use std::time::Duration;

/// What is kept of an ended job until it is forgotten: its entry, and its identifier in three collections.
const ENDED_JOB_BYTES: usize = 256;
/// What an open job takes besides what it brings. The nodes of ordered maps that grow at their end are half
/// full, the map of its occurrences allocates room for 11, and its caller waits for the store.
const OPEN_JOB_BYTES: usize = 2 * size_of::<Job>() + 11 * size_of::<(u32, Occurrence)>() + 450;
/// A task, with the set of its failed runs, which allocates room for 11, or a checkpoint.
const TASK_BYTES: usize = size_of::<Task>() + 112;
/// Above half of a limit a job is accepted only if this many of its size fit into the rest, so that
/// a few large jobs never take the place of many ordinary ones.
const PLACES_LEFT: usize = 64;
/// The part of the limits that only jobs of the most urgent priority may use is one in this many.
const URGENT_PART: usize = 8;
/// The part of a pool's limit that the jobs of one client account may use is one in this many.
const ACCOUNT_PART: usize = 2;
/// The priority of urgent queues.
const URGENT: u32 = 0;
/// The time over which it is measured how many bytes become free.
const RATE_TIME: Duration = Duration::from_secs(10);
/// Releases within this time are added up.
const RATE_RESOLUTION: Duration = Duration::from_millis(250);
/// The shortest and the longest time until a refused caller's retry.
const MIN_WAIT: Duration = Duration::from_secs(1);
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Bounds the forecast for a backlog of tasks that take for ever.
const MAX_BACKLOG_TIME: Duration = Duration::from_secs(86_400);
/// The interval of log lines about refused jobs.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// How many bytes of jobs an owner may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most that the jobs of one pool may hold: every process that may take the pool over has
    /// room for them.
    pub pool: usize,
    /// The most that the jobs of all pools of one process may hold.
    pub process: usize,
    /// What the other pools of this process hold.
    pub others: usize,
}

impl Default for Limits {
    /// Returns limits that no job exceeds.
    fn default() -> Self {
        Self {
            pool: usize::MAX,
            process: usize::MAX,
            others: 0,
        }
    }
}

/// The bytes that the jobs of a pool hold.
///
/// The load is callers that hand in more jobs than the pool can run soon. What was accepted is stored,
/// and each owner of the pool keeps it, so a job that doesn't fit is refused before it is accepted.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    limits: Limits,
    held: usize,
    /// The bytes of the jobs of each client account.
    accounts: BTreeMap<String, usize>,
    /// The bytes that ended jobs have released lately, by time.
    released: VecDeque<(Duration, usize)>,
    /// The number of jobs refused since the last log line.
    refused: u64,
    refusals_logged_at: Option<Duration>,
}

impl Backlog {
    fn add(&mut self, account: Option<&str>, bytes: usize) {
        self.held += bytes;
        if let Some(account) = account {
            *self.accounts.entry(account.to_owned()).or_default() += bytes;
        }
    }

    fn remove(&mut self, account: Option<&str>, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        let Some(account) = account else {
            return;
        };
        if let Some(held) = self.accounts.get_mut(account) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.accounts.remove(account);
            }
        }
    }

    /// Records bytes that became free because a job ended.
    fn record_release(&mut self, bytes: usize, now: Duration) {
        match self.released.back_mut() {
            Some((at, sum)) if now.saturating_sub(*at) < RATE_RESOLUTION => *sum += bytes,
            _ => self.released.push_back((now, bytes)),
        }
        self.forget_releases(now);
    }

    fn forget_releases(&mut self, now: Duration) {
        let is_old = |(at, _): &(Duration, usize)| now.saturating_sub(*at) > RATE_TIME;
        while self.released.front().is_some_and(is_old) {
            self.released.pop_front();
        }
    }

    /// Returns how many bytes must become free before a job of this size is accepted, 0 if it is
    /// accepted now, `None` if it never is.
    fn shortage(&self, account: Option<&str>, bytes: usize, is_urgent: bool) -> Option<usize> {
        let usable = |limit: usize| match is_urgent {
            true => limit,
            false => limit - limit / URGENT_PART,
        };
        let pool = shortage(usable(self.limits.pool), self.held, bytes)?;
        let held = self.held.saturating_add(self.limits.others);
        let process = shortage(usable(self.limits.process), held, bytes)?;
        let of_account = account.and_then(|name| self.accounts.get(name));
        let limit = self.limits.pool / ACCOUNT_PART;
        let beyond = of_account.map_or(0, |held| held.saturating_add(bytes).saturating_sub(limit));
        Some(pool.max(process).max(beyond))
    }

    /// Returns the time until `bytes` more are free if they become free as fast as lately, `None` if
    /// none have.
    fn wait(&mut self, bytes: usize, now: Duration) -> Option<Duration> {
        self.forget_releases(now);
        let sum: usize = self.released.iter().map(|(_, bytes)| bytes).sum();
        let parts = bytes as f64 / sum as f64;
        Duration::try_from_secs_f64(RATE_TIME.as_secs_f64() * parts).ok()
    }
}

/// Returns by how much `held` must fall before a job of `bytes` is accepted under `limit`, `None` if it
/// is not accepted even if nothing is held.
fn shortage(limit: usize, held: usize, bytes: usize) -> Option<usize> {
    let half = (limit / 2).checked_sub(bytes);
    let rest = limit.checked_sub(bytes.saturating_mul(PLACES_LEFT));
    let allowed = half.max(rest)?;
    Some(held.saturating_sub(allowed))
}

/// Returns the delay after which a caller should submit a refused job again that has no place for `wait`:
/// simultaneous callers return within half of the wait after it.
pub(super) fn spread_wait(id: &str, wait: Duration) -> Duration {
    let wait = wait.clamp(MIN_WAIT, MAX_WAIT);
    let part = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) % 1_000;
    wait + wait.mul_f64(part as f64 / 2_000.0)
}

/// Returns the most bytes that a job takes in its owner's memory until it ends.
pub(super) fn open_bytes(submission: &Submission, max_open_occurrences: usize) -> usize {
    let occurrence =
        |step: &Step| size_of::<Stage>() + (step.count as usize).saturating_mul(TASK_BYTES);
    let occurrences = submission.schedule.map_or(1, |schedule| {
        max_open_occurrences.min(schedule.count as usize).max(1)
    });
    let stages: usize = submission.steps.iter().map(occurrence).sum();
    OPEN_JOB_BYTES + submission_bytes(submission) + stages.saturating_mul(occurrences)
}

impl Scheduler {
    /// Returns the bytes that the jobs of this pool hold, as an upper estimate.
    pub fn held_bytes(&self) -> usize {
        self.backlog.held
    }

    /// Sets the limits on the bytes of jobs that are accepted from now on.
    pub fn limit_backlog(&mut self, limits: Limits) {
        self.backlog.limits = limits;
    }

    /// Returns the refusal of a job for which there is no room, `None` if there is.
    pub(super) fn backlog_refusal(
        &mut self,
        id: &str,
        queue: &str,
        submission: &Submission,
        bytes: usize,
        now: Duration,
    ) -> Option<Admission> {
        let is_urgent = self.rules.get(queue).map_or(1, |rule| rule.priority) == URGENT;
        let account = submission.account.as_deref();
        let Some(shortage) = self.backlog.shortage(account, bytes, is_urgent) else {
            let reason = format!(
                "the job takes {bytes} bytes of memory, more than an instance has for one; split it into \
                 jobs with fewer steps or tasks"
            );
            return Some(Admission::Refused(reason));
        };
        if shortage == 0 {
            return None;
        }
        let wait = match self.backlog.wait(shortage, now) {
            Some(wait) => wait,
            None => {
                let part = shortage as f64 / self.backlog.held.max(shortage) as f64;
                self.backlog_time(now).min(MAX_BACKLOG_TIME).mul_f64(part)
            }
        };
        self.backlog.refused += 1;
        self.log_refusals(wait.clamp(MIN_WAIT, MAX_WAIT), now);
        let reason = "too many jobs wait in the pool; the job has not run".to_owned();
        Some(Admission::Deferred(reason, spread_wait(id, wait)))
    }

    /// Logs refused jobs, at most one line each [`LINE_INTERVAL`].
    fn log_refusals(&mut self, wait: Duration, now: Duration) {
        let logged_at = self.backlog.refusals_logged_at;
        if logged_at.is_some_and(|at| now.saturating_sub(at) < LINE_INTERVAL) {
            return;
        }
        log::warn!(
            "event=backlog-full pool={} held={} others={} pool_limit={} process_limit={} refused={} \
             wait_ms={}",
            self.pool,
            self.backlog.held,
            self.backlog.limits.others,
            self.backlog.limits.pool,
            self.backlog.limits.process,
            self.backlog.refused,
            wait.as_millis()
        );
        self.backlog.refusals_logged_at = Some(now);
        self.backlog.refused = 0;
    }

    /// Counts the bytes of a new or recovered job.
    pub(super) fn hold_job(&mut self, key: JobKey, bytes: usize) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.held_bytes = bytes;
            let account = job.submission.account.as_deref();
            self.backlog.add(account, bytes);
        }
    }

    /// Counts the bytes of a job that is removed as free.
    pub(super) fn release_job(&mut self, job: &Job) {
        let account = job.submission.account.as_deref();
        self.backlog.remove(account, job.held_bytes);
    }

    /// Adds a job whose final phase is stored and of which no worker runs a task.
    pub(super) fn insert_ended_job(
        &mut self,
        id: &str,
        queue: &str,
        account: Option<&str>,
        phase: Phase,
    ) {
        self.ended.insert(id.into(), queue, account, phase);
        self.backlog.add(account, ENDED_JOB_BYTES);
    }

    /// Keeps only the phase of each ended job of which no worker may run a task any more.
    pub(super) fn compact_ended_jobs(&mut self, now: Duration) {
        let ended = std::mem::take(&mut self.ended_jobs_with_runs);
        for key in ended {
            if self.may_have_runs(key, now) {
                self.ended_jobs_with_runs.insert(key);
            } else {
                self.compact_job(key, now);
            }
        }
    }

    fn compact_job(&mut self, key: JobKey, now: Duration) {
        let Some(job) = self.jobs.remove(&key) else {
            return;
        };
        self.job_keys.remove(&job.id);
        self.dirty.remove(&key);
        self.release_job(&job);
        let account = job.submission.account.as_deref();
        self.insert_ended_job(&job.id, &job.queue, account, job.visible_phase());
        let released = job.held_bytes.saturating_sub(ENDED_JOB_BYTES);
        self.backlog.record_release(released, now);
    }

    /// Forgets an ended job whose rows are deleted.
    pub(super) fn forget_ended_job(&mut self, id: &str, now: Duration) {
        let released = if let Some(ended) = self.ended.remove(id) {
            self.backlog
                .remove(ended.account.as_deref(), ENDED_JOB_BYTES);
            ENDED_JOB_BYTES
        } else {
            let key = self.job_keys.remove(id);
            let Some(job) = key.and_then(|key| self.jobs.remove(&key)) else {
                return;
            };
            self.release_job(&job);
            self.ended_jobs_with_runs
                .retain(|ended| Some(*ended) != key);
            job.held_bytes
        };
        self.backlog.record_release(released, now);
    }

    /// Returns whether a worker may run a task of a job, or may still be reached by the start of one.
    fn may_have_runs(&self, key: JobKey, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let prefix = format!("{}.", job.id);
        let mut workers = self.workers.values();
        workers.any(|worker| {
            worker.runs.range(key.tasks()).next().is_some()
                || worker.has_unanswered_start(&prefix, now)
        }) || self
            .late_orders
            .values()
            .any(|inheritance| inheritance.has_unanswered_start(&prefix, now))
    }
}
