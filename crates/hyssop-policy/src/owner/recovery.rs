use super::addresses::ADDRESSES;
use super::batch::{JOBS, PROGRESS, RULES, WORKERS};
use super::job::{Job, Occurrence, Rule, State};
use super::learning::LEARNING;
use super::progress::{JobRow, Progress};
use super::share::Entitlement;
use super::unreported::Unreported;
use super::worker::Stretch;
use super::{JobKey, Scheduler};
use hyssop_model::work::{Phase, Submission};
use hyssop_platform::rows::decode;
use std::collections::BTreeMap;
use std::time::Duration;

/// A stored row of the pool's shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The table name.
    pub table: String,
    /// The row's key within the table.
    pub key: String,
    /// The encoded value.
    pub value: Vec<u8>,
}

impl Scheduler {
    /// Returns the tables read during recovery, in the order in which to read them.
    pub fn tables() -> [&'static str; 6] {
        [RULES, ADDRESSES, JOBS, PROGRESS, WORKERS, LEARNING]
    }

    /// Restores the jobs of an earlier term from its rows; `now` is the time after which they were read.
    ///
    /// Workers of that term may run tasks until they report or their leases expire. The previous
    /// owner may have extended leases until `authority_end`, and each extension lasts for a full
    /// lease.
    pub fn recover(
        &mut self,
        records: &[Record],
        authority_end: Duration,
        now: Duration,
        wall_ms: i64,
    ) {
        let mut progress: BTreeMap<&str, Progress> = BTreeMap::new();
        for record in records.iter().filter(|record| record.table == PROGRESS) {
            if let Some(decoded) = decode(&record.value) {
                progress.insert(&record.key, decoded);
            }
        }
        let lease_end = authority_end + self.settings.lease_span();
        let jobs = self.read_jobs(records);
        self.recover_rules(records, &jobs);
        self.recover_addresses(records);
        self.recover_learning(records);
        for (id, accepted) in jobs {
            let stored = progress.remove(id);
            self.recover_job(id, accepted, stored, now, wall_ms);
        }
        self.is_recount_due = true;
        for record in records.iter().filter(|record| record.table == WORKERS) {
            if let Some((id, incarnation)) = record.key.rsplit_once('@') {
                let incarnation = incarnation.parse().unwrap_or(0);
                let stretch = Stretch::read(&record.value);
                let lease_end = authority_end + self.settings.stretched_lease_span(stretch);
                let unreported = Unreported::unknown(lease_end, stretch != Stretch::None);
                self.unreported_workers
                    .insert((id.to_owned(), incarnation), unreported);
            }
        }
        for (id, stored) in progress {
            let Some(phase) = stored.phase else {
                log::warn!("event=progress-without-job pool={} job={id}", self.pool);
                continue;
            };
            let key = self.allocate_key(id);
            self.finished_jobs.push_back((now, key));
            let job = finished_job(id, &stored.queue, phase, stored.account, now);
            self.jobs.insert(key, job);
        }
        self.is_recovering = true;
        self.recovered_at = now;
        self.predecessor_end = authority_end;
        log::info!(
            "event=recovery-started pool={} term={} jobs={} workers={} wait_ms={}",
            self.pool,
            self.term,
            self.open_jobs.len(),
            self.unreported_workers.len(),
            lease_end.saturating_sub(now).as_millis()
        );
        if !self.open_jobs.is_empty() {
            self.interrupts_from = now + self.settings.interrupt_pause;
        }
    }

    /// Logs what recovery still waits for, if the term ends at `now` before it has finished.
    pub fn log_unfinished_recovery(&self, now: Duration) {
        if !self.is_recovering {
            return;
        }
        let wait_end = self.unreported_workers.values().map(|w| w.lease_end).max();
        let left = wait_end.map_or(Duration::ZERO, |end| end.saturating_sub(now));
        log::info!(
            "event=recovery-unfinished pool={} term={} unreported={} orphaned_tasks={} \
             after_ms={} left_ms={}",
            self.pool,
            self.term,
            self.unreported_workers.len(),
            self.orphaned_tasks(),
            now.saturating_sub(self.recovered_at).as_millis(),
            left.as_millis()
        );
    }

    /// Returns the number of tasks that wait until it is known whether they run.
    pub(super) fn orphaned_tasks(&self) -> usize {
        let open = self.open_jobs.iter().filter_map(|key| self.jobs.get(key));
        let tasks = open
            .flat_map(|job| job.occurrences.values())
            .flat_map(|occurrence| &occurrence.stages)
            .flat_map(|stage| &stage.tasks);
        tasks.filter(|task| task.state == State::Orphaned).count()
    }

    /// Allocates a job key and registers it under the job's identifier.
    pub(super) fn allocate_key(&mut self, id: &str) -> JobKey {
        let key = JobKey(self.next_job);
        self.next_job += 1;
        self.job_keys.insert(id.to_owned(), key);
        key
    }

    /// Decodes the rows of submitted jobs.
    fn read_jobs<'a>(&self, records: &'a [Record]) -> Vec<(&'a str, JobRow)> {
        let rows = records.iter().filter(|record| record.table == JOBS);
        let decoded = rows.filter_map(|record| {
            let row = decode(&record.value);
            if row.is_none() {
                log::error!(
                    "event=job-unreadable pool={} job={} bytes={}",
                    self.pool,
                    record.key,
                    record.value.len()
                );
            }
            Some((record.key.as_str(), row?))
        });
        decoded.collect()
    }

    /// Restores the rules of queues, which the configuration may no longer have.
    fn recover_rules(&mut self, records: &[Record], jobs: &[(&str, JobRow)]) {
        for record in records.iter().filter(|record| record.table == RULES) {
            if self.rules.recover(&record.value).is_none() {
                log::error!(
                    "event=rule-unreadable pool={} queue={} bytes={}",
                    self.pool,
                    record.key,
                    record.value.len()
                );
            }
        }
        // Earlier versions stored the rules with each job: the newest job has the newest ones.
        let with_rules = jobs.iter().filter_map(|(_, row)| Some((row, row.rule?)));
        let mut newest: Vec<(&JobRow, Rule)> = with_rules.collect();
        newest.sort_by_key(|(row, _)| std::cmp::Reverse(row.submitted_wall_ms));
        for (row, rule) in newest {
            self.rules.learn(&row.queue, rule);
        }
    }

    /// Restores the addresses at which jobs were submitted.
    fn recover_addresses(&mut self, records: &[Record]) {
        for record in records.iter().filter(|record| record.table == ADDRESSES) {
            if self.addresses.recover(&record.value).is_none() {
                log::error!(
                    "event=address-unreadable pool={} queue={} bytes={}",
                    self.pool,
                    record.key,
                    record.value.len()
                );
            }
        }
    }

    /// Counts the recovered jobs against the weights of their accounts, the oldest first, as the
    /// previous owner has.
    pub(super) fn count_recovered_jobs(&mut self) {
        let mut recovered: Vec<(Duration, JobKey)> = self
            .open_jobs
            .iter()
            .filter_map(|key| Some((self.jobs.get(key)?.submitted_at, *key)))
            .collect();
        recovered.sort_unstable();
        for (submitted_at, key) in recovered {
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            let account = job.submission.account.as_ref();
            let Some(account) = account.and_then(|name| self.accounts.get(name)) else {
                continue;
            };
            let entitlement = self.shares.count(
                account,
                self.settings.account_window,
                &job.id,
                submitted_at,
                false,
                submitted_at,
            );
            if let Some(job) = self.jobs.get_mut(&key) {
                job.is_excess = entitlement != Entitlement::Within;
            }
        }
    }

    fn recover_job(
        &mut self,
        id: &str,
        accepted: JobRow,
        stored: Option<Progress>,
        now: Duration,
        wall_ms: i64,
    ) {
        let key = self.allocate_key(id);
        if let Some(phase) = stored.as_ref().and_then(|stored| stored.phase) {
            let account = accepted.submission.account;
            let job = finished_job(id, &accepted.queue, phase, account, now);
            self.finished_submissions.insert(id.to_owned());
            self.finished_jobs.push_back((now, key));
            self.jobs.insert(key, job);
            return;
        }
        let age_ms = wall_ms.saturating_sub(accepted.submitted_wall_ms).max(0);
        let submitted_at = now.saturating_sub(Duration::from_millis(age_ms.unsigned_abs()));
        let submission = accepted.submission;
        let is_scheduled = submission.schedule.is_some();
        let occurrences = match &stored {
            Some(stored) => stored.occurrences(&submission).into_iter().collect(),
            None if is_scheduled => BTreeMap::new(),
            None => {
                let occurrence = Occurrence::new(&submission, submitted_at, State::Orphaned);
                BTreeMap::from([(0, occurrence)])
            }
        };
        let next_occurrence = stored
            .as_ref()
            .map_or(u32::from(!is_scheduled), |stored| stored.next_occurrence);
        let max_open_occurrences = self
            .max_open_occurrences(&accepted.queue, &submission)
            .max(1);
        self.rules.require(&accepted.queue);
        let job = Job {
            id: id.to_owned(),
            queue: accepted.queue,
            submitted_at,
            submitted_wall_ms: accepted.submitted_wall_ms,
            phase: Phase::Queued,
            stored_phase: None,
            is_stored: true,
            first_started_at: None,
            has_started: stored.as_ref().is_some_and(|stored| stored.has_started),
            next_occurrence,
            max_open_occurrences,
            stored_occurrences: next_occurrence,
            finished_occurrences: stored.map_or(0, |stored| stored.finished_occurrences),
            occurrences,
            submission,
            is_excess: false,
            is_oversized: false,
            finished_at: None,
        };
        self.jobs.insert(key, job);
        self.open_jobs.insert(key);
    }

    /// Requeues the orphaned tasks of which it has become known that they don't run, and ends the
    /// recovery once every worker of an earlier term has reported or has certainly ended.
    pub(super) fn finish_recovery(&mut self, now: Duration) {
        if !self.is_recovering {
            return;
        }
        self.end_unreported_workers(now);
        self.is_requeue_due |= self.unreported_workers.is_empty();
        self.unlocated_tasks += self.requeue_unheld_tasks(now);
        if !self.unreported_workers.is_empty() {
            return;
        }
        self.is_recovering = false;
        self.is_placement_due = true;
        for key in self.open_jobs.clone() {
            self.finish_occurrences(key, now);
        }
        log::info!(
            "event=recovered pool={} term={} jobs={} unlocated_tasks={} after_ms={}",
            self.pool,
            self.term,
            self.open_jobs.len(),
            self.unlocated_tasks,
            now.saturating_sub(self.recovered_at).as_millis()
        );
    }
}

/// Creates a finished job of which only the final phase and the account are known.
fn finished_job(
    id: &str,
    queue: &str,
    phase: Phase,
    account: Option<String>,
    now: Duration,
) -> Job {
    Job {
        id: id.to_owned(),
        queue: queue.to_owned(),
        submission: Submission {
            account,
            ..Submission::default()
        },
        is_excess: false,
        submitted_at: now,
        submitted_wall_ms: 0,
        phase,
        stored_phase: Some(phase),
        is_stored: true,
        first_started_at: None,
        has_started: true,
        occurrences: BTreeMap::new(),
        next_occurrence: 0,
        max_open_occurrences: 0,
        stored_occurrences: 0,
        finished_occurrences: 0,
        is_oversized: false,
        finished_at: Some(now),
    }
}
