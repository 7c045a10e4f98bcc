use super::job::{Job, Occurrence, State};
use super::{Action, JobKey, Owner};
use hyssop_model::work::{Phase, Submission};
use std::collections::BTreeMap;
use std::time::Duration;

/// Says what became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is already accepted.
    Accepted,
    /// The job is accepted once the store has confirmed it.
    Pending,
    /// The job is not accepted and never runs.
    Refused(String),
}

/// Says what became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// It is stored, or the job has ended otherwise.
    Done,
    /// It counts once the store has confirmed it.
    Pending,
    /// There is no such job.
    Unknown,
}

/// Says when a caller should come back whose job was refused because the store has not answered
/// for `outage`.
///
/// An outage that has lasted for some time is expected to last as long again, so callers with few
/// retries don't spend them all while it lasts; the identifier spreads those that come together.
pub fn return_after(outage: Duration, id: &str) -> Duration {
    const LEAST: Duration = Duration::from_millis(800);
    /// Longer outages are looked at again at this pace, so that their end is noticed.
    const MOST: Duration = Duration::from_millis(3_500);
    const SPREAD_MS: u64 = 1_000;
    let spread = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) % SPREAD_MS;
    outage.clamp(LEAST, MOST) + Duration::from_millis(spread)
}

impl Owner {
    /// Takes a job that its caller first asked for `age` ago.
    ///
    /// A job whose tasks exceed every worker that the pool could hold is refused at once.
    pub fn submit(
        &mut self,
        id: &str,
        queue: &str,
        submission: Submission,
        age: Duration,
        now: Duration,
        wall_ms: i64,
    ) -> Admission {
        if let Some(job) = self.names.get(id).and_then(|key| self.jobs.get(key)) {
            return if job.is_stored {
                Admission::Accepted
            } else {
                Admission::Pending
            };
        }
        let key = self.next_key(id);
        let asked_at = now.saturating_sub(age);
        let mut occurrences = BTreeMap::new();
        if submission.schedule.is_none() {
            occurrences.insert(0, Occurrence::new(&submission, asked_at, State::Waiting));
        }
        let job = Job {
            id: id.to_owned(),
            queue: queue.to_owned(),
            next_occurrence: u32::from(submission.schedule.is_none()),
            submission,
            asked_at,
            asked_wall_ms: wall_ms.saturating_sub(age.as_millis() as i64),
            phase: Phase::Queued,
            stored_phase: None,
            is_stored: false,
            begun_at: None,
            has_started: false,
            occurrences,
            finished_occurrences: 0,
            ended_at: None,
        };
        self.jobs.insert(key, job);
        self.open.insert(key);
        self.dirty.insert(key);
        Admission::Pending
    }

    /// Takes back a submission that the store has certainly not seen; the job never runs.
    ///
    /// Returns whether it was taken back: a job that may be stored stays.
    pub fn withdraw(&mut self, id: &str) -> bool {
        let Some(&key) = self.names.get(id) else {
            return true;
        };
        let is_sent = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.holds(key));
        if is_sent || self.jobs.get(&key).is_none_or(|job| job.is_stored) {
            return false;
        }
        self.names.remove(id);
        self.jobs.remove(&key);
        self.open.remove(&key);
        self.dirty.remove(&key);
        true
    }

    /// Returns what may be told about a job; `None` where there is no such job.
    pub fn phase(&self, id: &str) -> Option<Phase> {
        let job = self.jobs.get(self.names.get(id)?)?;
        job.is_stored.then(|| job.told_phase())
    }

    /// Cancels a job.
    ///
    /// Nothing of it is started from here on; its runs are stopped once the cancellation is
    /// stored, because until then a crash would bring the job back.
    pub fn cancel(&mut self, id: &str, now: Duration) -> Cancellation {
        let Some(&key) = self.names.get(id) else {
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
            job.ended_at = Some(now);
            self.dirty.insert(key);
        }
        Cancellation::Pending
    }

    /// Orders every run of a job to stop, also those whose start was never answered.
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
