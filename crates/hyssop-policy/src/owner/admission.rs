use super::backlog::open_bytes;
use super::job::{Job, Occurrence, State};
use super::progress::{JobRow, Progress};
use super::share::Entitlement;
use super::{Action, JobKey, Scheduler};
use hyssop_model::work::{Phase, Submission};
use hyssop_platform::rows::encode;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of open occurrences of a job, which bounds the memory and the row of one with
/// many past occurrences. More than that rarely overlap.
const MAX_OPEN_OCCURRENCES: usize = 128;

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is already accepted.
    Accepted,
    /// The job is accepted once the store has confirmed its row.
    Pending,
    /// The job is rejected, for the given reason, and never runs.
    Refused(String),
    /// The job is rejected, for the given reason, and may be submitted again after the given time.
    Deferred(String, Duration),
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The cancellation is stored, or the job had already finished.
    Done,
    /// The cancellation takes effect once the store has confirmed it.
    Pending,
    /// There is no such job.
    Unknown,
}

/// The reason for which a job is refused whose identifier another account has used. The job's caller
/// has to choose another one, so there is no time for a retry.
pub const IDENTIFIER_IN_USE: &str = "the identifier is in use; the job has not run";

/// Returns the delay after which a caller should retry a submission that was rejected because the
/// store has not answered for `outage`.
///
/// An outage is expected to go on for as long as it has lasted, so the delay grows with it and
/// callers with few retries don't spend all of them during the outage. The job's identifier adds
/// jitter that spreads simultaneous callers.
pub fn retry_after(outage: Duration, id: &str) -> Duration {
    const MIN_DELAY: Duration = Duration::from_millis(800);
    /// Limits the delay in longer outages, so that callers notice the end of the outage.
    const MAX_DELAY: Duration = Duration::from_millis(3_500);
    const MAX_JITTER_MS: u64 = 1_000;
    let jitter_ms = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) % MAX_JITTER_MS;
    outage.clamp(MIN_DELAY, MAX_DELAY) + Duration::from_millis(jitter_ms)
}

/// How fast the store takes the batches of a pool at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StorePace {
    /// The time that a batch takes.
    pub commit_time: Duration,
    /// The time since the batch in flight was sent, zero if there is none.
    pub elapsed: Duration,
}

impl Scheduler {
    /// Returns the expected wait for the store of a job whose result would come too late because of
    /// that wait; `None` if the job may be accepted.
    ///
    /// While the store is slow and a queue asks several times its mean, jobs arrive faster than
    /// they can be stored. Each accepted beyond that would delay all others past their objective.
    pub fn excessive_store_wait(
        &self,
        queue: &str,
        submission: &Submission,
        age: Duration,
        pace: StorePace,
    ) -> Option<Duration> {
        if submission.is_long_running() || submission.schedule.is_some() {
            return None;
        }
        let wait = self.store_wait(pace);
        let slack = self.slack(queue, submission);
        // The result has to be stored too.
        (age + wait + pace.commit_time > slack && wait > pace.commit_time * 2).then_some(wait)
    }

    /// Returns how long a job submitted now would wait until it is stored.
    fn store_wait(&self, pace: StorePace) -> Duration {
        let batches = self.urgent_changes() / self.settings.max_batch_rows + 1;
        let in_flight = match self.pending {
            Some(_) => pace.commit_time.saturating_sub(pace.elapsed),
            None => Duration::ZERO,
        };
        in_flight + pace.commit_time * batches as u32
    }

    /// Submits a job that its caller first requested `age` ago.
    ///
    /// Submitting a known job again has no effect and returns its current state, unless it belongs to
    /// another account.
    pub fn submit(
        &mut self,
        id: &str,
        queue: &str,
        submission: Submission,
        age: Duration,
        now: Duration,
        wall_ms: i64,
    ) -> Admission {
        if !self.is_visible(id, submission.account.as_deref()) {
            return Admission::Refused(IDENTIFIER_IN_USE.to_owned());
        }
        if self.ended.contains(id) {
            return Admission::Accepted;
        }
        if let Some(job) = self.job_keys.get(id).and_then(|key| self.jobs.get(key)) {
            return if job.is_stored {
                Admission::Accepted
            } else {
                Admission::Pending
            };
        }
        let submitted_wall_ms = wall_ms.saturating_sub(age.as_millis() as i64);
        let row = JobRow {
            queue: queue.to_owned(),
            submitted_wall_ms,
            submission,
            rule: None,
        };
        let row_bytes = encode(&row).len();
        let submission = row.submission;
        let max_open_occurrences = self.max_open_occurrences(queue, &submission);
        if let Some(reason) = self.size_refusal(row_bytes, max_open_occurrences) {
            log::info!("event=job-too-large job={id} queue={queue} bytes={row_bytes}");
            return Admission::Refused(reason);
        }
        if let Some(reason) = self.quota_refusal(&submission) {
            return Admission::Refused(reason);
        }
        let held_bytes = open_bytes(&submission, max_open_occurrences);
        if let Some(refusal) = self.backlog_refusal(id, queue, &submission, held_bytes, now) {
            return refusal;
        }
        if let Some(refusal) = self.advice_refusal(id, queue, &submission, now) {
            return refusal;
        }
        let submitted_at = self.shares.first_request(id, now.saturating_sub(age));
        let entitlement = self.entitle(id, queue, &submission, submitted_at, now);
        if let Some(wait) = self.deferral(id, queue, &submission, entitlement, submitted_at, now) {
            let account = submission.account.unwrap_or_default();
            log::info!(
                "event=job-deferred job={id} queue={queue} account={account} wait_ms={}",
                wait.as_millis()
            );
            let reason =
                "the account exceeds its weight while the pool is full; the job has not run";
            return Admission::Deferred(reason.to_owned(), wait);
        }
        self.shares.on_accepted(id);
        let key = self.allocate_key(id);
        let mut occurrences = BTreeMap::new();
        if submission.schedule.is_none() {
            occurrences.insert(
                0,
                Occurrence::new(&submission, submitted_at, State::Waiting),
            );
        }
        let job = Job {
            id: id.to_owned(),
            queue: queue.to_owned(),
            next_occurrence: u32::from(submission.schedule.is_none()),
            max_open_occurrences,
            stored_occurrences: u32::from(submission.schedule.is_none()),
            is_excess: entitlement != Entitlement::Within,
            submission,
            submitted_at,
            submitted_wall_ms,
            phase: Phase::Queued,
            stored_phase: None,
            is_stored: false,
            first_started_at: None,
            has_started: false,
            occurrences,
            finished_occurrences: 0,
            held_bytes: 0,
            is_oversized: false,
            finished_at: None,
        };
        if !self.accounts.is_empty() && !job.submission.is_long_running() {
            let work = self.remaining_work(&job);
            self.shares.add_to_backlog(work);
            if entitlement == Entitlement::Within {
                self.shares.record_owed_work(work, now);
            }
        }
        self.jobs.insert(key, job);
        self.hold_job(key, held_bytes);
        self.open_jobs.insert(key);
        self.dirty.insert(key);
        self.rules.require(queue);
        self.count_job_for_advice(queue);
        self.open_occurrences(key, now, wall_ms);
        Admission::Pending
    }

    /// Returns why a job can't be stored, `None` if all of its rows fit whatever its progress.
    fn size_refusal(&self, row_bytes: usize, max_open_occurrences: usize) -> Option<String> {
        let limit = self.settings.row_limit();
        if row_bytes > limit {
            return Some(format!(
                "the job takes {row_bytes} bytes to store, the maximum is {limit}; \
                 submit it with fewer steps or a shorter specification"
            ));
        }
        (max_open_occurrences == 0).then(|| {
            format!(
                "the progress of the job may take more than {limit} bytes to store; \
                 split it into jobs with fewer tasks"
            )
        })
    }

    /// Returns the maximum number of open occurrences of a job, 0 if not even one can be stored.
    pub(super) fn max_open_occurrences(&self, queue: &str, submission: &Submission) -> usize {
        let max_attempts = self.rules.get(queue).map_or(1, |rule| rule.max_attempts);
        let limit = self.settings.row_limit();
        Progress::max_occurrences(queue, submission, max_attempts, limit).min(MAX_OPEN_OCCURRENCES)
    }

    /// Withdraws a submission that has certainly not reached the store, so that the job never runs.
    ///
    /// Returns whether the job is withdrawn; a job that may have been stored stays.
    pub fn withdraw(&mut self, id: &str) -> bool {
        if self.ended.contains(id) {
            return false;
        }
        let Some(&key) = self.job_keys.get(id) else {
            return true;
        };
        let is_batched = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.contains_job(key));
        if is_batched || self.jobs.get(&key).is_none_or(|job| job.is_stored) {
            return false;
        }
        self.job_keys.remove(id);
        if let Some(job) = self.jobs.remove(&key) {
            self.release_job(&job);
        }
        self.open_jobs.remove(&key);
        self.dirty.remove(&key);
        true
    }

    /// Returns whether callers of an account may see and cancel a job and submit it again; those
    /// without an account may do so only with jobs that have none.
    pub fn is_visible(&self, id: &str, account: Option<&str>) -> bool {
        let owner = match self.ended.get(id) {
            Some(ended) => ended.account.as_deref(),
            None => {
                let job = self.job_keys.get(id).and_then(|key| self.jobs.get(key));
                job.and_then(|job| job.submission.account.as_deref())
            }
        };
        owner.is_none() || owner == account
    }

    /// Returns whether a job is accepted or may be: it waits for the store, or is on its way there.
    pub fn has_job(&self, id: &str) -> bool {
        self.ended.contains(id) || self.job_keys.contains_key(id)
    }

    /// Returns the phase of a job that callers may see, `None` if no accepted job has that
    /// identifier.
    pub fn phase(&self, id: &str) -> Option<Phase> {
        if let Some(ended) = self.ended.get(id) {
            return Some(ended.phase);
        }
        let job = self.jobs.get(self.job_keys.get(id)?)?;
        job.is_stored.then(|| job.visible_phase())
    }

    /// Cancels a job.
    ///
    /// None of its tasks is started from here on. Its runs are stopped once the cancellation is
    /// stored, because a crash before that would revive the job.
    pub fn cancel(&mut self, id: &str, now: Duration) -> Cancellation {
        if self.ended.contains(id) {
            return Cancellation::Done;
        }
        let Some(&key) = self.job_keys.get(id) else {
            return Cancellation::Unknown;
        };
        let Some(job) = self.jobs.get_mut(&key) else {
            return Cancellation::Unknown;
        };
        if job.stored_phase.is_some() {
            return Cancellation::Done;
        }
        if !job.phase.is_final() {
            job.phase = Phase::Cancelled;
            job.finished_at = Some(now);
            self.dirty.insert(key);
        }
        Cancellation::Pending
    }

    /// Orders every run of a job to stop, including those whose start went unanswered.
    pub(super) fn stop_job(&mut self, key: JobKey, now: Duration) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        for (worker_key, worker) in &mut self.workers {
            for (task, run) in worker.runs.range_mut(key.tasks()) {
                if run.stopping_at.is_none() {
                    run.stopping_at = Some(now);
                    self.actions.push(Action::Stop {
                        worker: *worker_key,
                        task: super::order::task_name(job, *task),
                        run: run.number,
                    });
                }
            }
        }
    }
}
