use super::batch::{JOBS, PROGRESS, WORKERS};
use super::job::{Job, Occurrence, State};
use super::progress::{Accepted, Progress};
use super::{JobKey, Owner};
use hyssop_model::work::{Phase, Submission};
use hyssop_platform::rows::decode;
use std::collections::BTreeMap;
use std::time::Duration;

/// Holds one row of the pool's part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The table.
    pub table: String,
    /// The key.
    pub key: String,
    /// The bytes.
    pub value: Vec<u8>,
}

impl Owner {
    /// Returns the tables that a new owner reads, in their order.
    pub fn tables() -> [&'static str; 3] {
        [JOBS, PROGRESS, WORKERS]
    }

    /// Takes over the jobs of an earlier term from its rows, at the time of the take-over.
    ///
    /// Workers of that term may run tasks until they report, or until their leases are over: the
    /// earlier owner may go on extending them for its authority, and a lease is then as long as
    /// ever.
    pub fn recover(&mut self, records: &[Record], now: Duration, wall_ms: i64) {
        let mut progress: BTreeMap<&str, Progress> = BTreeMap::new();
        for record in records.iter().filter(|record| record.table == PROGRESS) {
            if let Some(decoded) = decode(&record.value) {
                progress.insert(&record.key, decoded);
            }
        }
        let end = now + self.settings.authority + self.settings.lease_span();
        for record in records {
            match record.table.as_str() {
                JOBS => {
                    let stored = progress.remove(record.key.as_str());
                    self.recover_job(record, stored, now, wall_ms);
                }
                WORKERS => {
                    if let Some((id, incarnation)) = record.key.rsplit_once('@') {
                        let incarnation = incarnation.parse().unwrap_or(0);
                        self.unaccounted.insert((id.to_owned(), incarnation), end);
                    }
                }
                _ => {}
            }
        }
        for (id, stored) in progress {
            let Some(phase) = stored.phase else {
                log::warn!("event=progress-without-job pool={} job={id}", self.pool);
                continue;
            };
            let key = self.next_key(id);
            self.remembered.push_back((now, key));
            self.jobs
                .insert(key, ended_job(id, &stored.queue, phase, now));
        }
        self.is_recovering = true;
        if !self.open.is_empty() {
            self.interrupts_from = now + self.settings.interrupt_pause;
        }
    }

    /// Takes the next key and names a job by it.
    pub(super) fn next_key(&mut self, id: &str) -> JobKey {
        let key = JobKey(self.next_job);
        self.next_job += 1;
        self.names.insert(id.to_owned(), key);
        key
    }

    fn recover_job(
        &mut self,
        record: &Record,
        stored: Option<Progress>,
        now: Duration,
        wall_ms: i64,
    ) {
        let Some(accepted) = decode::<Accepted>(&record.value) else {
            log::error!(
                "event=job-unreadable pool={} job={} bytes={}",
                self.pool,
                record.key,
                record.value.len()
            );
            return;
        };
        let key = self.next_key(&record.key);
        if let Some(phase) = stored.as_ref().and_then(|stored| stored.phase) {
            let job = ended_job(&record.key, &accepted.queue, phase, now);
            self.remembered.push_back((now, key));
            self.jobs.insert(key, job);
            return;
        }
        let age_ms = wall_ms.saturating_sub(accepted.asked_wall_ms).max(0);
        let asked_at = now.saturating_sub(Duration::from_millis(age_ms.unsigned_abs()));
        let submission = accepted.submission;
        let is_scheduled = submission.schedule.is_some();
        let occurrences = match &stored {
            Some(stored) => stored.occurrences(&submission).into_iter().collect(),
            None if is_scheduled => BTreeMap::new(),
            None => {
                let occurrence = Occurrence::new(&submission, asked_at, State::Unlocated);
                BTreeMap::from([(0, occurrence)])
            }
        };
        let job = Job {
            id: record.key.clone(),
            queue: accepted.queue,
            asked_at,
            asked_wall_ms: accepted.asked_wall_ms,
            phase: Phase::Queued,
            stored_phase: None,
            is_stored: true,
            begun_at: None,
            has_started: stored.as_ref().is_some_and(|stored| stored.has_started),
            next_occurrence: stored
                .as_ref()
                .map_or(u32::from(!is_scheduled), |stored| stored.next_occurrence),
            finished_occurrences: stored.map_or(0, |stored| stored.finished_occurrences),
            occurrences,
            submission,
            ended_at: None,
        };
        self.jobs.insert(key, job);
        self.open.insert(key);
    }

    /// Ends the recovery once every worker of an earlier term is accounted for.
    pub(super) fn settle_recovery(&mut self, now: Duration) {
        if !self.is_recovering {
            return;
        }
        self.unaccounted.retain(|_, end| now < *end);
        if !self.unaccounted.is_empty() {
            return;
        }
        self.is_recovering = false;
        self.is_placing_due = true;
        let mut freed = 0;
        for key in self.open.clone() {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            for occurrence in job.occurrences.values_mut() {
                for task in occurrence.stages.iter_mut().flat_map(|s| &mut s.tasks) {
                    if task.state == State::Unlocated {
                        task.state = State::Waiting;
                        freed += 1;
                    }
                }
            }
            self.settle(key, now);
        }
        log::info!(
            "event=recovered pool={} term={} jobs={} unlocated_tasks={freed}",
            self.pool,
            self.term,
            self.open.len()
        );
    }
}

/// Makes a job of which only the end is known.
fn ended_job(id: &str, queue: &str, phase: Phase, now: Duration) -> Job {
    Job {
        id: id.to_owned(),
        queue: queue.to_owned(),
        submission: Submission::default(),
        asked_at: now,
        asked_wall_ms: 0,
        phase,
        stored_phase: Some(phase),
        is_stored: true,
        begun_at: None,
        has_started: true,
        occurrences: BTreeMap::new(),
        next_occurrence: 0,
        finished_occurrences: 0,
        ended_at: Some(now),
    }
}
