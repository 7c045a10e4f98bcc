use crate::daemon::Platform;
use hyssop_config::fleet::Team;
use hyssop_event::{Kind, Recorder};
use hyssop_model::job::Record;
use hyssop_model::prelude::*;
use hyssop_platform::table::{Condition, Row, Transaction};
use hyssop_platform::worker::{Signal, Start};
use hyssop_platform::{keys, Error};
use hyssop_policy::job::{Action, Event, Scheduler, Settings};

/// Schedules the jobs of one region while the lease is held.
pub(crate) struct Controller {
    region: String,
    settings: Settings,
    scheduler: Scheduler,
    rows: BTreeMap<String, Row>,
    teams: Vec<Team>,
    recorder: Recorder,
}

/// Is what a step of the scheduler calls for.
#[derive(Default)]
struct Orders {
    records: BTreeMap<String, Record>,
    starts: Vec<Record>,
    signals: Vec<(String, String, Signal)>,
    suspects: Vec<String>,
}

/// How many rows one transaction writes.
const ROWS_PER_TRANSACTION: usize = 100;

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
        }
    }

    /// Takes one step: reads rows and usage, writes what the scheduler decides, then carries it out.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be used or a row changed; the caller then makes a new controller,
    /// which starts from the rows.
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
        let orders = sort(actions);
        self.write(platform, fence, &orders)?;
        self.carry_out(now, wall_ms, platform, orders)
    }

    /// Takes in jobs that are new, and those that their callers withdrew.
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

    fn write(
        &mut self,
        platform: &Platform,
        fence: &Condition,
        orders: &Orders,
    ) -> Result<(), Error> {
        let records: Vec<&Record> = orders.records.values().collect();
        for chunk in records.chunks(ROWS_PER_TRANSACTION) {
            let transaction = self.transaction(fence, chunk);
            platform.table.commit(&transaction)?;
            self.learn_versions(platform, chunk)?;
        }
        Ok(())
    }

    fn transaction(&self, fence: &Condition, records: &[&Record]) -> Transaction {
        let mut transaction =
            Transaction::new(uuid::Uuid::new_v4().to_string()).require(fence.clone());
        for record in records {
            let key = keys::job(&self.region, &record.id);
            transaction = transaction.require(Condition::as_read(&key, self.rows.get(&key)));
            transaction = if record.state.is_final() {
                let ended = keys::ended_job(&self.region, &record.id);
                transaction.delete(&key).put(&ended, record)
            } else {
                transaction.put(&key, record)
            };
        }
        transaction
    }

    fn learn_versions(&mut self, platform: &Platform, records: &[&Record]) -> Result<(), Error> {
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

    fn carry_out(
        &mut self,
        now: Instant,
        wall_ms: u64,
        platform: &Platform,
        orders: Orders,
    ) -> Result<(), Error> {
        for record in orders.records.values() {
            let fields: [(&str, &dyn std::fmt::Display); 3] = [
                ("job", &record.id),
                ("state", &record.state),
                ("reason", &record.reason),
            ];
            self.recorder.record_quietly(Kind::JobChanged, &fields);
        }
        for worker in &orders.suspects {
            self.recorder
                .record(Kind::WorkerSuspected, &[("worker", worker)]);
        }
        for record in orders.starts {
            let start = Start {
                worker: record.worker.clone().unwrap_or_default(),
                task: record.id.clone(),
                fence: record.fence,
                command: record.command,
                lease_ms: self.settings.lease.as_millis() as u64,
                resume: record.fence > 1,
            };
            let is_certain = match platform.workers.start(&start) {
                Ok(()) | Err(Error::Lost { .. }) => false,
                Err(_) => true,
            };
            if is_certain {
                let event = Event::NotStarted {
                    job: record.id,
                    fence: record.fence,
                };
                // What follows is written with the next step.
                self.scheduler.step(now, wall_ms, event, &mut Vec::new());
            }
        }
        for (worker, job, signal) in orders.signals {
            // A lost signal is repeated with the next report of the job, or its lease runs out.
            let _ = platform.workers.signal(&worker, &job, signal);
        }
        Ok(())
    }
}

fn sort(actions: Vec<Action>) -> Orders {
    let mut orders = Orders::default();
    for action in actions {
        match action {
            Action::Write(record) => {
                orders.records.insert(record.id.clone(), record);
            }
            Action::Start(record) => {
                orders.records.insert(record.id.clone(), record.clone());
                orders.starts.push(record);
            }
            Action::Signal {
                worker,
                job,
                signal,
            } => orders.signals.push((worker, job, signal)),
            Action::Suspect { worker } => orders.suspects.push(worker),
        }
    }
    orders
}
