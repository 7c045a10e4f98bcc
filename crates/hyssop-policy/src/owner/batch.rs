use super::addresses::ADDRESSES;
use super::job::Rule;
use super::progress::{JobRow, Progress};
use super::rules::row_key;
use super::{Job, JobKey, Notification, Scheduler, WorkerKey};
use crate::directory::Entry;
use hyssop_model::work::Phase;
use hyssop_platform::rows::encode;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Table of accepted jobs as submitted.
pub(super) const JOBS: &str = "job";
/// Table of job progress.
pub(super) const PROGRESS: &str = "progress";
/// Table of the workers that may run tasks of this pool.
pub(super) const WORKERS: &str = "crew";

/// Table of the rules of queues that have jobs.
pub(super) const RULES: &str = "rule";

/// The most rows that the changes of one job take: its submission and its progress.
const MAX_JOB_ROWS: usize = 2;

/// Interval between checks whether the rules of removed queues are still needed.
const RULES_INTERVAL: Duration = Duration::from_secs(1);

/// A row to write: table, key and value.
pub(super) type RowWrite = (&'static str, String, Vec<u8>);

fn row_bytes((_, key, value): &RowWrite) -> usize {
    key.len() + value.len()
}

/// Changes to rows of the pool's shard, to be committed in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Rows to write: table, key and value.
    pub writes: Vec<RowWrite>,
    /// Rows to delete: table and key.
    pub removes: Vec<(&'static str, String)>,
}

impl Batch {
    /// Returns the size of the keys and values.
    fn bytes(&self) -> usize {
        let removed: usize = self.removes.iter().map(|(_, key)| key.len()).sum();
        removed + self.writes.iter().map(row_bytes).sum::<usize>()
    }

    /// Returns the number of rows that the batch writes or deletes.
    fn len(&self) -> usize {
        self.writes.len() + self.removes.len()
    }
}

/// The effects of the batch in flight, applied once it is committed.
#[derive(Clone, Debug, Default)]
pub(super) struct Pending {
    /// Jobs in the batch, with the phases written and the occurrences that the rows name.
    jobs: BTreeMap<JobKey, (Phase, u32)>,
    /// Highest completion number of each worker that this batch or an earlier one covers.
    applied: Vec<(WorkerKey, u64)>,
    recorded_workers: Vec<WorkerKey>,
    removed_workers: Vec<String>,
    removed_submissions: Vec<String>,
    expired_jobs: Vec<Arc<str>>,
    rules: Vec<(String, Rule)>,
    addresses: Vec<Entry>,
}

/// How urgent it is to store the changes of a job; the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// A final phase, which callers see only once it is stored.
    Final,
    /// A new job, whose caller waits for its acceptance.
    New,
    /// An occurrence, which starts once it is stored.
    Occurrence,
    /// The progress of a job that goes on.
    Progress,
}

impl Urgency {
    fn of(job: &Job) -> Self {
        if !job.is_stored {
            Self::New
        } else if job.phase.is_final() {
            Self::Final
        } else if job.stored_occurrences < job.next_occurrence {
            Self::Occurrence
        } else {
            Self::Progress
        }
    }
}

impl Pending {
    pub(super) fn contains_job(&self, key: JobKey) -> bool {
        self.jobs.contains_key(&key)
    }
}

impl Scheduler {
    /// Returns the next changes to store, or `None` if a batch is in flight or nothing has changed.
    ///
    /// The returned batch must be committed, with as many retries as needed, before the next call
    /// returns another.
    pub fn next_batch(&mut self, now: Duration) -> Option<Batch> {
        if self.pending.is_some() || self.is_deposed {
            return None;
        }
        let mut batch = Batch::default();
        let mut pending = Pending::default();
        self.batch_workers(now, &mut batch, &mut pending);
        self.batch_queues(now, &mut batch, &mut pending);
        self.batch_expired_jobs(now, &mut batch, &mut pending);
        for key in self.dirty_by_urgency() {
            if batch.len() + MAX_JOB_ROWS > self.settings.max_batch_rows {
                break;
            }
            if self.lacks_queue(key, &pending) {
                continue;
            }
            let Some(rows) = self.job_rows(key) else {
                continue;
            };
            if batch.bytes() + rows.iter().map(row_bytes).sum::<usize>()
                > self.settings.max_batch_bytes
            {
                break;
            }
            self.dirty.remove(&key);
            batch.writes.extend(rows);
            if let Some(job) = self.jobs.get(&key) {
                let written = (job.phase, job.next_occurrence);
                pending.jobs.insert(key, written);
            }
        }
        self.batch_finished_submissions(&mut batch, &mut pending);
        pending.applied = self
            .workers
            .iter()
            .map(|(key, worker)| (*key, worker.storable(&self.dirty)))
            .filter(|(key, storable)| self.workers[key].stored < *storable)
            .collect();
        if batch.writes.is_empty() && batch.removes.is_empty() {
            // Completions that changed no job can be acknowledged without storing a row.
            self.acknowledge(pending.applied);
            return None;
        }
        if batch.len() < self.settings.max_batch_rows {
            let room = self.settings.max_batch_bytes.saturating_sub(batch.bytes());
            batch.writes.extend(self.due_learning_row(now, room));
        }
        self.pending = Some(pending);
        Some(batch)
    }

    fn batch_workers(&mut self, now: Duration, batch: &mut Batch, pending: &mut Pending) {
        /// Limits the rows of workers so that a surge of new ones does not displace jobs.
        const MAX_WORKER_ROWS: usize = 40;
        for (key, worker) in &self.workers {
            let is_due = !worker.is_recorded || worker.is_row_outdated;
            if is_due && batch.writes.len() < MAX_WORKER_ROWS {
                let value = worker.row_value(now);
                batch.writes.push((WORKERS, worker.row_name(), value));
                pending.recorded_workers.push(*key);
            }
        }
        for name in self.removed_workers.iter().take(MAX_WORKER_ROWS / 2) {
            batch.removes.push((WORKERS, name.clone()));
            pending.removed_workers.push(name.clone());
        }
    }

    /// Adds the rules and addresses that are to be stored, and deletes those of removed queues without
    /// jobs that need them.
    fn batch_queues(&mut self, now: Duration, batch: &mut Batch, pending: &mut Pending) {
        /// Limits the rows so that many changed queues do not displace jobs.
        const MAX_RULE_ROWS: usize = 20;
        const MAX_ADDRESS_ROWS: usize = 10;
        if now.saturating_sub(self.rules_checked_at) >= RULES_INTERVAL {
            self.rules_checked_at = now;
            for queue in self.unused_queues().into_iter().take(MAX_RULE_ROWS) {
                if self.rules.forget(&queue) {
                    batch.removes.push((RULES, row_key(&queue)));
                }
            }
            for queue in self.unused_addresses().into_iter().take(MAX_ADDRESS_ROWS) {
                if self.addresses.forget(&queue) {
                    batch.removes.push((ADDRESSES, row_key(&queue)));
                }
            }
        }
        for (queue, rule, value) in self.rules.unstored().take(MAX_RULE_ROWS) {
            batch.writes.push((RULES, row_key(queue), value));
            pending.rules.push((queue.clone(), rule));
        }
        for (entry, key, value) in self.addresses.unstored().take(MAX_ADDRESS_ROWS) {
            batch.writes.push((ADDRESSES, key, value));
            pending.addresses.push(entry);
        }
    }

    /// Returns the removed queues that have no open jobs.
    fn unused_queues(&self) -> BTreeSet<String> {
        let mut unused: BTreeSet<String> = self.rules.removed_queues().cloned().collect();
        if !unused.is_empty() {
            for job in self.open_jobs.iter().filter_map(|key| self.jobs.get(key)) {
                unused.remove(&job.queue);
            }
        }
        unused
    }

    /// Returns whether a new job has to wait for a later batch, since the rules or the addresses of its
    /// queue are neither stored nor in this one.
    fn lacks_queue(&self, key: JobKey, pending: &Pending) -> bool {
        let Some(job) = self.jobs.get(&key).filter(|job| !job.is_stored) else {
            return false;
        };
        let has_rule = || pending.rules.iter().any(|(queue, _)| *queue == job.queue);
        let has_addresses = || {
            let mut entries = pending.addresses.iter();
            entries.any(|entry| entry.queue == job.queue)
        };
        (self.rules.is_unstored(&job.queue) && !has_rule())
            || (self.addresses.is_unstored(&job.queue) && !has_addresses())
    }

    fn batch_expired_jobs(&self, now: Duration, batch: &mut Batch, pending: &mut Pending) {
        /// Small because nothing waits for these deletions.
        const MAX_EXPIRED_JOBS: usize = 10;
        for (finished_at, id) in self.finished_jobs.iter().take(MAX_EXPIRED_JOBS) {
            if now.saturating_sub(*finished_at) < self.settings.job_retention {
                return;
            }
            // Without its final phase the submission would look like an open job.
            if self.finished_submissions.contains(&**id) {
                batch.removes.push((JOBS, id.to_string()));
                pending.removed_submissions.push(id.to_string());
            }
            batch.removes.push((PROGRESS, id.to_string()));
            pending.expired_jobs.push(id.clone());
        }
    }

    /// Returns the rows to write for a job, `None` if its progress can't be stored at present.
    ///
    /// That happens only to jobs that were accepted under other limits. They go on, the completions
    /// of their tasks stay unacknowledged, and their final phase is stored.
    fn job_rows(&mut self, key: JobKey) -> Option<Vec<RowWrite>> {
        let limit = self.settings.row_limit();
        let job = self.jobs.get_mut(&key)?;
        let is_new = !job.is_stored;
        let mut rows = Vec::new();
        if is_new {
            rows.push((JOBS, job.id.clone(), encode(&JobRow::of(job))));
        }
        let names_occurrences = job.submission.schedule.is_some() && job.next_occurrence > 0;
        let has_progress = job.phase.is_final() || job.has_started || names_occurrences;
        if !is_new || has_progress {
            rows.push((PROGRESS, job.id.clone(), Progress::row(job, limit)));
        }
        let largest = rows.iter().map(|(_, _, value)| value.len()).max()?;
        if largest > limit {
            if !std::mem::replace(&mut job.is_oversized, true) {
                log::error!(
                    "event=row-too-large pool={} job={} bytes={largest} max={limit}",
                    self.pool,
                    job.id
                );
            }
            return None;
        }
        Some(rows)
    }

    /// Adds the removal of submissions of finished jobs as far as there is room. Nothing waits for
    /// it: a stored final phase counts whether or not the submission is still there.
    fn batch_finished_submissions(&self, batch: &mut Batch, pending: &mut Pending) {
        /// Fewer than this wait for a batch that is sent anyway.
        const MIN_SUBMISSIONS: usize = 30;
        if batch.len() == 0 && self.finished_submissions.len() < MIN_SUBMISSIONS {
            return;
        }
        let room = self.settings.max_batch_rows.saturating_sub(batch.len());
        let expired: BTreeSet<String> = pending.removed_submissions.iter().cloned().collect();
        let removable = self.finished_submissions.difference(&expired);
        for id in removable.take(room) {
            batch.removes.push((JOBS, id.clone()));
            pending.removed_submissions.push(id.clone());
        }
    }

    /// Returns the jobs with changes, the most urgent change first.
    ///
    /// When the store is slow, a batch takes only part of the changes. Final phases come first,
    /// since a job counts only once its result is stored; then new jobs, whose callers wait; then
    /// occurrences, which start only once they are stored; then the progress of running jobs, which
    /// only a new owner needs, and which workers report again until it is stored.
    fn dirty_by_urgency(&self) -> Vec<JobKey> {
        let mut keys: Vec<(Urgency, JobKey)> = self
            .dirty
            .iter()
            .filter_map(|key| Some((Urgency::of(self.jobs.get(key)?), *key)))
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the number of changes that are stored before a job submitted now: results, and jobs
    /// submitted earlier.
    pub(super) fn urgent_changes(&self) -> usize {
        self.dirty
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .filter(|job| Urgency::of(job) < Urgency::Progress)
            .count()
    }

    /// Records that completions up to the given numbers are stored, so that they may be
    /// acknowledged to their workers.
    fn acknowledge(&mut self, applied: Vec<(WorkerKey, u64)>) {
        for (key, number) in applied {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.stored = worker.stored.max(number);
                worker.unstored = worker.unstored.split_off(&(number + 1));
            }
        }
    }

    /// Applies the effects of the committed batch and returns the notifications for callers.
    pub fn on_commit(&mut self, now: Duration) -> Vec<Notification> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        let mut notifications = Vec::new();
        for (key, (phase, next_occurrence)) in pending.jobs {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            if job.stored_occurrences < next_occurrence {
                job.stored_occurrences = next_occurrence;
                self.is_placement_due = true;
            }
            if !job.is_stored {
                job.is_stored = true;
                self.is_placement_due = true;
                self.is_ranking_stale = true;
                notifications.push(Notification::Accepted(job.id.clone()));
            }
            if phase.is_final() && job.stored_phase.is_none() {
                job.stored_phase = Some(phase);
                let finished_at = *job.finished_at.get_or_insert(now);
                let age_ms = |at: Duration| at.saturating_sub(job.submitted_at).as_millis();
                log::info!(
                    "event=job-ended job={} queue={} phase={phase} first_start_ms={} ended_ms={} \
                     stored_ms={} term={}",
                    job.id,
                    job.queue,
                    job.first_started_at.map_or(-1, |at| age_ms(at) as i64),
                    age_ms(finished_at),
                    age_ms(now),
                    self.term
                );
                if phase == Phase::Cancelled {
                    notifications.push(Notification::Cancelled(job.id.clone()));
                }
                self.stop_job(key, now);
                self.close_job(key);
            }
        }
        self.acknowledge(pending.applied);
        for key in pending.recorded_workers {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.is_recorded = true;
                worker.is_row_outdated = false;
                self.is_placement_due = true;
            }
        }
        for (queue, rule) in pending.rules {
            self.rules.on_stored(queue, rule);
        }
        for entry in pending.addresses {
            self.addresses.on_stored(entry);
        }
        for name in pending.removed_workers {
            self.removed_workers.remove(&name);
        }
        for id in pending.removed_submissions {
            self.finished_submissions.remove(&id);
        }
        self.finished_jobs.drain(..pending.expired_jobs.len());
        for id in pending.expired_jobs {
            self.forget_ended_job(&id, now);
        }
        notifications
    }

    /// Closes a finished job, keeping only what status queries and late reports of its runs need.
    fn close_job(&mut self, key: JobKey) {
        self.open_jobs.remove(&key);
        self.permits.retain(|step, _| step.job != key);
        if let Some(job) = self.jobs.get_mut(&key) {
            if let Some(finished_at) = job.finished_at {
                self.finished_jobs
                    .push_back((finished_at, job.id.as_str().into()));
            }
            job.submission.specification = String::new();
            self.finished_submissions.insert(job.id.clone());
            self.ended_jobs_with_runs.insert(key);
        }
    }

    /// Returns whether a batch is in flight or there are changes that are not stored.
    pub fn has_uncommitted(&self) -> bool {
        self.pending.is_some()
            || !self.dirty.is_empty()
            || !self.removed_workers.is_empty()
            || self.rules.has_unstored()
            || self.addresses.has_unstored()
    }
}
