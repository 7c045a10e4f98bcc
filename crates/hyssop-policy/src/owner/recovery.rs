use super::addresses::ADDRESSES;
use super::backlog::open_bytes;
use super::batch::{JOBS, PROGRESS, RULES, WORKERS};
use super::job::{Job, Occurrence, State};
use super::learning::LEARNING;
use super::progress::{JobRow, Progress};
use super::share::Entitlement;
use super::unreported::Unreported;
use super::worker::Stretch;
use super::{JobKey, Scheduler};
use hyssop_model::work::Phase;
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

/// The recovery of a pool whose rows are still being read.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The progress of the jobs that have not been restored, by identifier.
    progress: BTreeMap<String, Progress>,
    /// When the jobs were submitted whose rows told the rules of their queues, in Unix milliseconds.
    rules_as_of: BTreeMap<String, i64>,
    /// The workers that may run tasks: identifier, incarnation and how late orders may reach them.
    workers: Vec<(String, i64, Stretch)>,
    /// The number of rows.
    rows: usize,
}

impl Recovery {
    /// Returns the number of rows that were read.
    pub fn rows(&self) -> usize {
        self.rows
    }
}

impl Scheduler {
    /// Returns the tables read during recovery, in the order in which to read them. The jobs come last, so
    /// that each of their rows is decoded and dropped at once.
    pub fn tables() -> [&'static str; 6] {
        [RULES, ADDRESSES, LEARNING, WORKERS, PROGRESS, JOBS]
    }

    /// Restores the jobs of an earlier term from all of its rows; see [`Scheduler::finish_reading`].
    pub fn recover(
        &mut self,
        records: &[Record],
        authority_end: Duration,
        now: Duration,
        wall_ms: i64,
    ) {
        let mut recovery = Recovery::default();
        for table in Self::tables() {
            let rows = records.iter().filter(|record| record.table == table);
            self.read_rows(&mut recovery, rows, now, wall_ms);
        }
        self.finish_reading(recovery, authority_end, now);
    }

    /// Restores what some rows of an earlier term tell, which were read at `now` at the latest.
    ///
    /// Whole tables may be many times larger than what is kept of them, so they are read in parts, in the
    /// order of [`Scheduler::tables`].
    pub fn read_rows<'a>(
        &mut self,
        recovery: &mut Recovery,
        records: impl IntoIterator<Item = &'a Record>,
        now: Duration,
        wall_ms: i64,
    ) {
        for record in records {
            recovery.rows += 1;
            match record.table.as_str() {
                RULES => self.recover_rules(record),
                ADDRESSES => self.recover_addresses(record),
                LEARNING => self.recover_learning(record),
                WORKERS => {
                    if let Some((id, incarnation)) = record.key.rsplit_once('@') {
                        let incarnation = incarnation.parse().unwrap_or(0);
                        let stretch = Stretch::read(&record.value);
                        recovery.workers.push((id.to_owned(), incarnation, stretch));
                    }
                }
                PROGRESS => {
                    if let Some(decoded) = decode(&record.value) {
                        recovery.progress.insert(record.key.clone(), decoded);
                    }
                }
                JOBS => {
                    if let Some(row) = self.read_job(record) {
                        self.learn_stored_rule(recovery, &row);
                        let stored = recovery.progress.remove(&record.key);
                        self.recover_job(&record.key, row, stored, now, wall_ms);
                    }
                }
                _ => {}
            }
        }
    }

    /// Ends the reading of an earlier term's rows; `now` is the time after which they were read.
    ///
    /// Workers of that term may run tasks until they report or their leases expire. The previous
    /// owner may have extended leases until `authority_end`, and each extension lasts for a full
    /// lease.
    pub fn finish_reading(&mut self, recovery: Recovery, authority_end: Duration, now: Duration) {
        let lease_end = authority_end + self.settings.lease_span();
        self.is_recount_due = true;
        for (id, incarnation, stretch) in recovery.workers {
            let lease_end = authority_end + self.settings.stretched_lease_span(stretch);
            let unreported = Unreported::unknown(lease_end, stretch != Stretch::None);
            self.unreported_workers
                .insert((id, incarnation), unreported);
        }
        for (id, stored) in recovery.progress {
            let Some(phase) = stored.phase else {
                log::warn!("event=progress-without-job pool={} job={id}", self.pool);
                continue;
            };
            self.finished_jobs.push_back((now, id.as_str().into()));
            self.insert_ended_job(&id, &stored.queue, stored.account.as_deref(), phase);
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

    /// Decodes the row of a submitted job.
    fn read_job(&self, record: &Record) -> Option<JobRow> {
        let row = decode(&record.value);
        if row.is_none() {
            log::error!(
                "event=job-unreadable pool={} job={} bytes={}",
                self.pool,
                record.key,
                record.value.len()
            );
        }
        row
    }

    /// Restores the rules of a queue, which the configuration may no longer have.
    fn recover_rules(&mut self, record: &Record) {
        if self.rules.recover(&record.value).is_none() {
            log::error!(
                "event=rule-unreadable pool={} queue={} bytes={}",
                self.pool,
                record.key,
                record.value.len()
            );
        }
    }

    /// Restores the rules that earlier versions stored with each job, unless there is a row of them: the
    /// newest job has the newest ones.
    fn learn_stored_rule(&mut self, recovery: &mut Recovery, row: &JobRow) {
        let Some(rule) = row.rule else {
            return;
        };
        let as_of = recovery.rules_as_of.get(&row.queue);
        if as_of.is_some_and(|as_of| *as_of < row.submitted_wall_ms) {
            self.rules.forget(&row.queue);
        }
        if self.rules.learn(&row.queue, rule) {
            let as_of = row.submitted_wall_ms;
            recovery.rules_as_of.insert(row.queue.clone(), as_of);
        }
    }

    /// Restores the address at which jobs were submitted.
    fn recover_addresses(&mut self, record: &Record) {
        if self.addresses.recover(&record.value).is_none() {
            log::error!(
                "event=address-unreadable pool={} queue={} bytes={}",
                self.pool,
                record.key,
                record.value.len()
            );
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
        if let Some(phase) = stored.as_ref().and_then(|stored| stored.phase) {
            let account = accepted.submission.account.as_deref();
            self.insert_ended_job(id, &accepted.queue, account, phase);
            self.finished_submissions.insert(id.to_owned());
            self.finished_jobs.push_back((now, id.into()));
            return;
        }
        let key = self.allocate_key(id);
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
        let held_bytes = open_bytes(&submission, max_open_occurrences);
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
            held_bytes: 0,
            is_oversized: false,
            finished_at: None,
        };
        self.jobs.insert(key, job);
        self.hold_job(key, held_bytes);
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
