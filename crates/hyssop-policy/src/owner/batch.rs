use super::progress::{Accepted, Progress};
use super::{JobKey, Owner, Told, WorkerKey};
use hyssop_model::work::Phase;
use hyssop_platform::rows::encode;
use std::collections::BTreeMap;
use std::time::Duration;

/// Names the table of jobs as handed in.
pub(super) const JOBS: &str = "job";
/// Names the table of jobs' progress.
pub(super) const PROGRESS: &str = "progress";
/// Names the table of workers that may run tasks.
pub(super) const WORKERS: &str = "crew";

/// Holds rows of the pool's part to write in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Table, key and value.
    pub writes: Vec<(&'static str, String, Vec<u8>)>,
    /// Table and key.
    pub removes: Vec<(&'static str, String)>,
}

/// Holds what a batch under way makes certain once it is committed.
#[derive(Clone, Debug, Default)]
pub(super) struct Pending {
    /// Jobs, with their phases as written.
    jobs: BTreeMap<JobKey, Phase>,
    /// For each worker the number up to which its endings are in the batch or before it.
    applied: Vec<(WorkerKey, u64)>,
    recorded: Vec<WorkerKey>,
    departed: Vec<String>,
    forgotten: Vec<JobKey>,
}

impl Pending {
    pub(super) fn holds(&self, key: JobKey) -> bool {
        self.jobs.contains_key(&key)
    }
}

impl Owner {
    /// Takes what is to be stored, `None` while a batch is under way or there is nothing.
    ///
    /// The same batch must be committed, however often that is tried, before the next is taken.
    pub fn take_batch(&mut self, now: Duration) -> Option<Batch> {
        if self.pending.is_some() || self.is_deposed {
            return None;
        }
        let mut batch = Batch::default();
        let mut pending = Pending::default();
        self.batch_workers(&mut batch, &mut pending);
        self.batch_forgotten(now, &mut batch, &mut pending);
        let mut is_whole = true;
        let dirty: Vec<JobKey> = self.dirty.iter().copied().collect();
        for key in dirty {
            if batch.writes.len() + batch.removes.len() + 2 > self.settings.batch_rows {
                is_whole = false;
                break;
            }
            self.dirty.remove(&key);
            self.batch_job(key, &mut batch, &mut pending);
        }
        if is_whole {
            pending.applied = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.stored < worker.applied)
                .map(|(key, worker)| (*key, worker.applied))
                .collect();
        }
        if batch.writes.is_empty() && batch.removes.is_empty() {
            // Endings that changed no job need no row to be acknowledged.
            for (key, applied) in pending.applied {
                if let Some(worker) = self.workers.get_mut(&key) {
                    worker.stored = applied;
                }
            }
            return None;
        }
        self.pending = Some(pending);
        Some(batch)
    }

    fn batch_workers(&mut self, batch: &mut Batch, pending: &mut Pending) {
        /// Leaves room for jobs beside a crowd of new workers.
        const MOST: usize = 40;
        for (key, worker) in &self.workers {
            if !worker.is_recorded && batch.writes.len() < MOST {
                batch.writes.push((WORKERS, worker.row_name(), vec![0]));
                pending.recorded.push(*key);
            }
        }
        for name in self.departed.iter().take(MOST / 2) {
            batch.removes.push((WORKERS, name.clone()));
            pending.departed.push(name.clone());
        }
    }

    fn batch_forgotten(&self, now: Duration, batch: &mut Batch, pending: &mut Pending) {
        /// Few at a time: nothing waits for them.
        const MOST: usize = 10;
        for (ended_at, key) in self.remembered.iter().take(MOST) {
            if now.saturating_sub(*ended_at) < self.settings.remember {
                return;
            }
            if let Some(job) = self.jobs.get(key) {
                batch.removes.push((PROGRESS, job.id.clone()));
            }
            pending.forgotten.push(*key);
        }
    }

    fn batch_job(&mut self, key: JobKey, batch: &mut Batch, pending: &mut Pending) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let is_new = !job.is_stored;
        if is_new {
            let accepted = Accepted {
                queue: job.queue.clone(),
                asked_wall_ms: job.asked_wall_ms,
                submission: job.submission.clone(),
            };
            batch.writes.push((JOBS, job.id.clone(), encode(&accepted)));
        }
        let is_fresh = is_new && !job.phase.is_final() && !job.has_started;
        if !is_fresh {
            let progress = Progress::of(job);
            batch
                .writes
                .push((PROGRESS, job.id.clone(), encode(&progress)));
        }
        if job.phase.is_final() && !is_new {
            batch.removes.push((JOBS, job.id.clone()));
        }
        pending.jobs.insert(key, job.phase);
    }

    /// Notes that the batch under way is committed, and says what may be told now.
    pub fn committed(&mut self, now: Duration) -> Vec<Told> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        let mut told = Vec::new();
        for (key, phase) in pending.jobs {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            if !job.is_stored {
                job.is_stored = true;
                self.is_placing_due = true;
                self.is_ranking_stale = true;
                told.push(Told::Accepted(job.id.clone()));
            }
            if phase.is_final() && job.stored_phase.is_none() {
                job.stored_phase = Some(phase);
                let ended_at = *job.ended_at.get_or_insert(now);
                let age = |at: Duration| at.saturating_sub(job.asked_at).as_millis();
                log::info!(
                    "event=job-ended job={} queue={} phase={phase} first_start_ms={} ended_ms={} \
                     stored_ms={} term={}",
                    job.id,
                    job.queue,
                    job.begun_at.map_or(-1, |at| age(at) as i64),
                    age(ended_at),
                    age(now),
                    self.term
                );
                if phase == Phase::Cancelled {
                    told.push(Told::Cancelled(job.id.clone()));
                }
                self.stop_job(key, now);
                self.close(key);
            }
        }
        for (key, applied) in pending.applied {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.stored = worker.stored.max(applied);
            }
        }
        for key in pending.recorded {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.is_recorded = true;
                self.is_placing_due = true;
            }
        }
        for name in pending.departed {
            self.departed.remove(&name);
        }
        self.remembered.drain(..pending.forgotten.len());
        for key in pending.forgotten {
            if let Some(job) = self.jobs.remove(&key) {
                self.names.remove(&job.id);
            }
        }
        told
    }

    /// Keeps of an ended job only what callers may ask, and what tells runs of it apart.
    fn close(&mut self, key: JobKey) {
        self.open.remove(&key);
        if let Some(ended_at) = self.jobs.get(&key).and_then(|job| job.ended_at) {
            self.remembered.push_back((ended_at, key));
        }
        self.permits.retain(|step, _| step.job != key);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.submission.specification = String::new();
        }
    }

    /// Tells whether anything waits to be stored.
    pub fn has_unstored(&self) -> bool {
        self.pending.is_some() || !self.dirty.is_empty()
    }
}
