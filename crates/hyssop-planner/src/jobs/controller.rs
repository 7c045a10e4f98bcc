use crate::daemon::Platform;
use crate::rows::write_id;
use hyssop_config::fleet::Team;
use hyssop_event::{Kind, Recorder};
use hyssop_model::job::Record;
use hyssop_model::prelude::*;
use hyssop_platform::table::{Condition, Row, Transaction};
use hyssop_platform::worker::{Signal, Start};
use hyssop_platform::{keys, Error};
use hyssop_policy::job::{Action, Event, Scheduler, Settings};

/// Drives the job scheduler of one region while the lease is held.
pub(crate) struct Controller {
    region: String,
    settings: Settings,
    scheduler: Scheduler,
    rows: BTreeMap<String, Row>,
    teams: Vec<Team>,
    recorder: Recorder,
    /// The rows to write, by job ID: the newest record of each job from the scheduler.
    pending: BTreeMap<String, Record>,
    /// The IDs of the jobs to start once their row is written.
    pending_starts: BTreeSet<String>,
}

/// The maximum number of job rows written per step, because all clients of the platform share its
/// write rate. The remaining rows are written in later steps.
const MAX_JOB_ROWS_PER_STEP: usize = 40;

impl Controller {
    pub(crate) fn new(region: &str, recorder: Recorder) -> Self {
        let settings = Settings::default();
        Self {
            region: region.to_owned(),
            settings,
            scheduler: Scheduler::new(settings),
            rows: BTreeMap::new(),
            teams: Vec::new(),
            recorder,
            pending: BTreeMap::new(),
            pending_starts: BTreeSet::new(),
        }
    }

    /// Runs one step: reads the rows and the usage, writes the scheduler's decisions to the rows,
    /// then starts and signals jobs.
    ///
    /// # Errors
    ///
    /// Returns an error if a call to the platform fails or a row has changed. The caller then
    /// creates a new controller, which reads all rows again.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        wall_ms: u64,
        platform: &Platform,
        fence: &Condition,
        teams: &[Team],
    ) -> Result<(), Error> {
        let mut actions = Vec::new();
        let workers = platform.workers.list()?;
        if workers.is_empty() {
            return Ok(());
        }
        let scheduler = &mut self.scheduler;
        scheduler.step(now, wall_ms, Event::Workers(workers), &mut actions);
        if self.teams != teams {
            self.teams = teams.to_vec();
            scheduler.step(now, wall_ms, Event::Teams(teams.to_vec()), &mut actions);
        }
        self.read_rows(now, wall_ms, platform, &mut actions)?;
        let usage = platform.workers.usage()?;
        self.scheduler
            .step(now, wall_ms, Event::Usage(usage), &mut actions);
        self.scheduler.step(now, wall_ms, Event::Tick, &mut actions);
        let (signals, suspects) = self.apply(actions);
        let written = self.write(platform, fence)?;
        self.record_events(&written, &suspects);
        self.start(now, wall_ms, platform, &written);
        for (worker, job, signal) in signals {
            // A lost signal is repeated after the job's next usage report, or the job's lease expires.
            let _ = platform.workers.signal(&worker, &job, signal);
        }
        Ok(())
    }

    /// Passes new jobs and jobs cancelled by their callers to the scheduler.
    fn read_rows(
        &mut self,
        now: Instant,
        wall_ms: u64,
        platform: &Platform,
        actions: &mut Vec<Action>,
    ) -> Result<(), Error> {
        let rows = platform.table.scan(&keys::jobs(&self.region))?;
        for row in rows {
            let is_known = self
                .rows
                .get(&row.key)
                .is_some_and(|known| known.version == row.version);
            if is_known {
                continue;
            }
            let record: Record = row.parse()?;
            self.rows.insert(row.key.clone(), row);
            let event = match self.scheduler.job(&record.id) {
                None => Event::Job(record),
                Some(known) if record.is_cancelled && !known.is_cancelled => {
                    Event::Cancel(record.id)
                }
                Some(_) => continue,
            };
            self.scheduler.step(now, wall_ms, event, actions);
        }
        Ok(())
    }

    /// Queues the rows and starts that the scheduler requested, and returns the signals and the
    /// suspected workers.
    fn apply(&mut self, actions: Vec<Action>) -> (Vec<(String, String, Signal)>, Vec<String>) {
        let (mut signals, mut suspects) = (Vec::new(), Vec::new());
        for action in actions {
            match action {
                Action::Write(record) => {
                    self.pending_starts.remove(&record.id);
                    self.pending.insert(record.id.clone(), record);
                }
                Action::Start(record) => {
                    self.pending_starts.insert(record.id.clone());
                    self.pending.insert(record.id.clone(), record);
                }
                Action::Signal {
                    worker,
                    job,
                    signal,
                } => signals.push((worker, job, signal)),
                Action::Suspect { worker } => suspects.push(worker),
            }
        }
        (signals, suspects)
    }

    /// Writes the most urgent pending rows and returns their records.
    fn write(&mut self, platform: &Platform, fence: &Condition) -> Result<Vec<Record>, Error> {
        let mut order: Vec<&Record> = self.pending.values().collect();
        order.sort_by_key(|record| (record.class, record.submitted_ms));
        order.truncate(MAX_JOB_ROWS_PER_STEP);
        if order.is_empty() {
            return Ok(Vec::new());
        }
        let transaction = self.transaction(fence, &order);
        let written: Vec<Record> = order.into_iter().cloned().collect();
        platform.table.commit(&transaction)?;
        for record in &written {
            self.pending.remove(&record.id);
        }
        self.refresh_rows(platform, &written)?;
        Ok(written)
    }

    fn transaction(&self, fence: &Condition, records: &[&Record]) -> Transaction {
        let mut transaction = Transaction::new(write_id()).require(fence.clone());
        for record in records {
            let key = keys::job(&self.region, &record.id);
            transaction = transaction.require(Condition::as_read(&key, self.rows.get(&key)));
            transaction = if record.state.is_final() {
                let ended_key = keys::ended_job(&self.region, &record.id);
                transaction.delete(&key).put(&ended_key, record)
            } else {
                transaction.put(&key, record)
            };
        }
        transaction
    }

    /// Reads the written rows back for their new versions, which later conditions need.
    fn refresh_rows(&mut self, platform: &Platform, records: &[Record]) -> Result<(), Error> {
        let keys: Vec<String> = records
            .iter()
            .map(|record| keys::job(&self.region, &record.id))
            .collect();
        let rows = platform.table.read(&keys)?;
        for (key, row) in keys.into_iter().zip(rows) {
            match row {
                Some(row) => self.rows.insert(key, row),
                None => self.rows.remove(&key),
            };
        }
        Ok(())
    }

    fn record_events(&self, written: &[Record], suspects: &[String]) {
        for record in written {
            self.recorder.record_unlogged(
                Kind::JobChanged,
                &[
                    ("job", &record.id),
                    ("state", &record.state),
                    ("reason", &record.reason),
                ],
            );
        }
        for worker in suspects {
            self.recorder
                .record(Kind::WorkerSuspected, &[("worker", worker)]);
        }
    }

    /// Starts the jobs whose rows were written, and reports the starts that certainly had no effect
    /// to the scheduler.
    fn start(&mut self, now: Instant, wall_ms: u64, platform: &Platform, written: &[Record]) {
        for record in written {
            if !self.pending_starts.remove(&record.id) {
                continue;
            }
            let start = Start {
                worker: record.worker.clone().unwrap_or_default(),
                task: record.id.clone(),
                fence: record.fence,
                command: record.command.clone(),
                lease_ms: self.settings.lease.as_millis() as u64,
                resume: record.fence > 1,
            };
            let is_certainly_not_started = match platform.workers.start(&start) {
                Ok(()) | Err(Error::Lost { .. }) => false,
                Err(_) => true,
            };
            if is_certainly_not_started {
                let event = Event::NotStarted {
                    job: record.id.clone(),
                    fence: record.fence,
                };
                let mut actions = Vec::new();
                self.scheduler.step(now, wall_ms, event, &mut actions);
                self.apply(actions);
            }
        }
    }
}
