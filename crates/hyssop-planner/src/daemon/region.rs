use crate::jobs::Controller;
use crate::lease::RegionLease;
use crate::reports::Source;
use crate::rows::{transaction, write_id, Snapshot};
use crate::status::Metrics;
use hyssop_config::fleet::Fleet;
use hyssop_config::settings::Process;
use hyssop_event::{Kind, Recorder};
use hyssop_model::prelude::*;
use hyssop_platform::object::Object;
use hyssop_platform::roster::{Listing, Roster};
use hyssop_platform::table::{Condition, Table, Transaction};
use hyssop_platform::worker::Worker;
use hyssop_platform::{keys, Error};
use hyssop_policy::plan::{Draft, Event, Planner, View};
use hyssop_policy::rollout::{self, Verdict};
use std::sync::Arc;

/// The platform's services that the planner uses.
#[derive(Clone)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store, which holds the configuration texts.
    pub objects: Arc<dyn Object>,
    /// The list of instances.
    pub roster: Arc<dyn Roster>,
    /// The workers.
    pub workers: Arc<dyn Worker>,
}

/// One region, planned by this process while it holds the region's lease.
pub struct Region {
    name: String,
    poll: Duration,
    clock: Arc<dyn Clock>,
    platform: Platform,
    reports: Box<dyn Source>,
    recorder: Recorder,
    metrics: Arc<Metrics>,
    lease: RegionLease,
    planner: Planner,
    /// The snapshot of the last step; `None` if the next step has to read all rows.
    last_snapshot: Option<Snapshot>,
    /// The configuration in force, with its version.
    fleet: Option<(u64, Fleet)>,
    roster: BTreeMap<String, Listing>,
    /// The names of the live instances that run entries; `None` until the first roster read.
    live_entries: Option<BTreeSet<String>>,
    next_roster_refresh: Instant,
    /// The reasons of the deferred disruptions, by instance.
    waiting: BTreeMap<String, String>,
    /// The number of consecutive failed steps.
    failures: u32,
    step_count: u32,
    /// The job controller; `None` without the lease and after a failed step of the jobs.
    jobs: Option<Controller>,
}

const ROSTER_INTERVAL: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

impl Region {
    /// Creates the planner of one region; `incarnation` identifies this start of the process.
    pub fn new(
        process: &Process,
        clock: Arc<dyn Clock>,
        platform: Platform,
        reports: Box<dyn Source>,
        recorder: Recorder,
        metrics: Arc<Metrics>,
        incarnation: u64,
    ) -> Self {
        let lease = RegionLease::new(
            process.clone(),
            incarnation,
            clock.clone(),
            recorder.clone(),
        );
        Self {
            name: process.region.clone(),
            poll: process.poll,
            next_roster_refresh: clock.now(),
            clock,
            platform,
            reports,
            recorder,
            metrics,
            lease,
            planner: Planner::default(),
            last_snapshot: None,
            fleet: None,
            roster: BTreeMap::new(),
            live_entries: None,
            waiting: BTreeMap::new(),
            failures: 0,
            step_count: 0,
            jobs: None,
        }
    }

    /// Runs one step and returns the pause before the next one.
    pub fn run_once(&mut self) -> Duration {
        match self.step() {
            Ok(()) => self.failures = 0,
            Err(Error::Conflict { key }) => {
                log::debug!("event=conflict row={key}");
                self.metrics.conflicts.inc();
                self.last_snapshot = None;
            }
            Err(error) => {
                log::warn!("event=step-failed reason={:?}", error.to_string());
                self.metrics.failures.inc();
                self.failures += 1;
                self.last_snapshot = None;
            }
        }
        // A planner without the lease polls less often: it only checks whether the lease is free.
        const FOLLOWER_FACTOR: u32 = 6;
        let factor = if self.lease.fence().is_some() {
            1
        } else {
            FOLLOWER_FACTOR
        };
        let backoff = (self.poll * factor).saturating_mul(1 << self.failures.min(6));
        backoff.min(MAX_BACKOFF.max(self.poll))
    }

    /// Releases the lease, so that another planner can acquire it at once.
    pub fn stop(&mut self) {
        if let Err(error) = self.lease.release(self.platform.table.as_ref()) {
            log::warn!("event=give-up-failed reason={:?}", error.to_string());
        }
    }

    fn step(&mut self) -> Result<(), Error> {
        self.lease.acquire_or_renew(self.platform.table.as_ref())?;
        let is_leader = self.lease.fence().is_some();
        self.metrics.is_leader.set(i64::from(is_leader));
        if !is_leader {
            self.last_snapshot = None;
            self.planner = Planner::default();
            self.jobs = None;
            return Ok(());
        }
        self.metrics.steps.inc();
        let is_full = self.is_full_read_due();
        let last = self.last_snapshot.take();
        let snapshot = Snapshot::read(self.platform.table.as_ref(), &self.name, last, is_full)?;
        self.refresh_roster()?;
        self.load_fleet(&snapshot)?;
        self.accept_proposal(&snapshot)?;
        self.delete_expired_entries(&snapshot)?;
        let is_changed = self.plan(&snapshot)?;
        // After its own changes the planner reads all rows again.
        self.last_snapshot = Some(snapshot).filter(|_| !is_changed);
        self.step_jobs()
    }

    /// Runs one step of the job controller. If it fails, the next step creates a new controller
    /// from the stored rows.
    fn step_jobs(&mut self) -> Result<(), Error> {
        let (Some((_, fleet)), Some(fence)) = (&self.fleet, self.lease.fence()) else {
            return Ok(());
        };
        let recorder = self.recorder.clone();
        let mut controller = self
            .jobs
            .take()
            .unwrap_or_else(|| Controller::new(&self.name, recorder));
        controller.step(
            self.clock.now(),
            self.clock.wall_ms(),
            &self.platform,
            &fence,
            &fleet.teams,
        )?;
        self.jobs = Some(controller);
        Ok(())
    }

    /// Returns whether to read the entries' rows in this step: periodically, and always while
    /// a proposed configuration or a draining instance waits for the entries.
    fn is_full_read_due(&mut self) -> bool {
        const FULL_READ_STEPS: u32 = 4;
        self.step_count = self.step_count.wrapping_add(1);
        let is_waiting_for_entries = self.last_snapshot.as_ref().is_none_or(|last| {
            let is_draining = |record: &instance::Record| record.state == instance::State::Draining;
            last.config.proposed.is_some() || last.instances.values().any(is_draining)
        });
        is_waiting_for_entries || self.step_count.is_multiple_of(FULL_READ_STEPS)
    }

    fn refresh_roster(&mut self) -> Result<(), Error> {
        let now = self.clock.now();
        if now < self.next_roster_refresh {
            return Ok(());
        }
        self.next_roster_refresh = now + ROSTER_INTERVAL;
        let list = self.platform.roster.list()?;
        self.roster = list
            .into_iter()
            .map(|listing| (listing.name.clone(), listing))
            .collect();
        self.live_entries = Some(self.platform.roster.own_instances()?.into_iter().collect());
        Ok(())
    }

    fn load_fleet(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let accepted = &snapshot.config.accepted;
        let loaded_number = self.fleet.as_ref().map_or(0, |(number, _)| *number);
        if accepted.number == loaded_number {
            return Ok(());
        }
        let Some(text) = self.platform.objects.get(&accepted.object)? else {
            return Ok(());
        };
        match Fleet::parse("configuration", &text) {
            Ok(fleet) => self.fleet = Some((accepted.number, fleet)),
            Err(error) => log::error!(
                "event=config-refused version={} reason={:?}",
                accepted.number,
                error.to_string()
            ),
        }
        Ok(())
    }

    /// Accepts the proposed configuration once every entry that may be serving holds it.
    fn accept_proposal(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let entries: Vec<&entry::Record> = snapshot.entries.iter().collect();
        let head = match rollout::accept(&snapshot.config, &entries) {
            Verdict::Idle => return Ok(()),
            Verdict::Wait(lagging) => {
                for entry in lagging {
                    log::debug!(
                        "event=roll-out-waits entry={} held={}",
                        entry.entry,
                        entry.held
                    );
                }
                return Ok(());
            }
            Verdict::Accept(head) => head,
        };
        let epoch_key = keys::epoch(&self.name);
        let Some(transaction) = self.fenced(|transaction| {
            transaction
                .require(Condition::as_read(
                    keys::CONFIG,
                    snapshot.rows.get(keys::CONFIG),
                ))
                .require(Condition::as_read(
                    &epoch_key,
                    snapshot.rows.get(&epoch_key),
                ))
                .put(keys::CONFIG, &head)
        }) else {
            return Ok(());
        };
        self.platform.table.commit(&transaction)?;
        self.recorder
            .record(Kind::ConfigAccepted, &[("version", &head.accepted.number)]);
        Ok(())
    }

    /// Deletes the rows of entries whose lease has expired, whose process the platform no longer
    /// lists, and which aren't members of the epoch.
    fn delete_expired_entries(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let Some(live) = &self.live_entries else {
            return Ok(());
        };
        let wall_ms = self.clock.wall_ms();
        let expired = snapshot.entries.iter().filter(|record| {
            let is_expired = record.expires_ms < wall_ms;
            is_expired
                && !live.contains(&record.member.name)
                && !snapshot.epoch.contains(record.member.id)
        });
        for record in expired {
            let key = keys::entry(&self.name, &record.member.name);
            let Some(transaction) = self.fenced(|transaction| {
                transaction
                    .require(Condition::as_read(&key, snapshot.rows.get(&key)))
                    .delete(&key)
            }) else {
                return Ok(());
            };
            self.platform.table.commit(&transaction)?;
            self.recorder.record(
                Kind::LeaseLost,
                &[("entry", &record.member.name), ("cause", &"process-gone")],
            );
        }
        Ok(())
    }

    /// Plans and commits one step, and returns whether rows changed.
    fn plan(&mut self, snapshot: &Snapshot) -> Result<bool, Error> {
        let Some((_, fleet)) = &self.fleet else {
            return Ok(false);
        };
        let view = View {
            wall_ms: self.clock.wall_ms(),
            fleet: fleet.clone(),
            drains: snapshot.drains.clone(),
            wave: snapshot.wave.clone(),
            roster: self.roster.clone(),
            reports: self.reports.fetch(&snapshot.entries),
            may_serve: snapshot
                .entries
                .iter()
                .map(|record| record.member.name.clone())
                .collect(),
        };
        let mut draft = Draft::new(snapshot.instances.clone(), snapshot.pools.clone());
        self.planner.step(&view, &mut draft);
        if !draft.is_unchanged() {
            // With a slow store the lease may be close to expiry by now. The commit still requires
            // the rows to be as they were read, so renewing the lease here is safe.
            self.lease.acquire_or_renew(self.platform.table.as_ref())?;
            let Some(fence) = self.lease.fence() else {
                return Ok(false);
            };
            let transaction = transaction(&self.name, snapshot, &draft, fence);
            self.platform.table.commit(&transaction)?;
            self.metrics.writes.inc_by(transaction.writes.len() as u64);
        }
        self.reboot(&draft)?;
        self.record_events(&draft);
        Ok(!draft.is_unchanged())
    }

    fn reboot(&self, draft: &Draft) -> Result<(), Error> {
        for name in &draft.reboots {
            self.recorder
                .record(Kind::RebootAsked, &[("instance", name)]);
            self.platform.roster.reboot(name)?;
        }
        Ok(())
    }

    /// Returns a transaction that takes effect only while the lease is held, or `None` if it isn't.
    fn fenced(&self, build: impl FnOnce(Transaction) -> Transaction) -> Option<Transaction> {
        let fence = self.lease.fence()?;
        let transaction = Transaction::new(write_id()).require(fence);
        Some(build(transaction))
    }

    fn record_events(&mut self, draft: &Draft) {
        let mut waiting = BTreeMap::new();
        for event in &draft.events {
            match event {
                Event::Registered { instance, pool } | Event::Serving { instance, pool } => {
                    self.recorder.record(
                        Kind::InstanceChanged,
                        &[
                            ("instance", instance),
                            ("pool", pool),
                            ("state", &"serving"),
                        ],
                    )
                }
                Event::Draining { instance, cause } => self.recorder.record(
                    Kind::InstanceChanged,
                    &[
                        ("instance", instance),
                        ("state", &"draining"),
                        ("cause", cause),
                    ],
                ),
                Event::Drained { instance } => self
                    .recorder
                    .record(Kind::DrainComplete, &[("instance", instance)]),
                Event::Deferred { instance, reason } => {
                    if self.waiting.get(instance) != Some(reason) {
                        let fields: [(&str, &dyn std::fmt::Display); 2] =
                            [("instance", instance), ("reason", reason)];
                        self.recorder.record(Kind::DisruptionWaits, &fields);
                    }
                    waiting.insert(instance.clone(), reason.clone());
                }
                Event::WaveDone => self
                    .recorder
                    .record(Kind::WaveChanged, &[("phase", &"done")]),
            }
        }
        self.metrics.waiting.set(waiting.len() as i64);
        self.waiting = waiting;
    }
}
