use crate::jobs::Controller;
use crate::lease::Holder;
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

/// Is the platform's services that the planner uses.
#[derive(Clone)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Object>,
    /// The list of instances.
    pub roster: Arc<dyn Roster>,
    /// The workers.
    pub workers: Arc<dyn Worker>,
}

/// Plans one region.
pub struct Region {
    name: String,
    poll: Duration,
    clock: Arc<dyn Clock>,
    platform: Platform,
    reports: Box<dyn Source>,
    recorder: Recorder,
    metrics: Arc<Metrics>,
    holder: Holder,
    planner: Planner,
    last: Option<Snapshot>,
    fleet: Option<(u64, Fleet)>,
    roster: BTreeMap<String, Listing>,
    own_live: Option<BTreeSet<String>>,
    next_roster: Instant,
    waiting: BTreeMap<String, String>,
    failures: u32,
    step_count: u32,
    /// The jobs, while the lease is held and no row surprised it.
    jobs: Option<Controller>,
}

const ROSTER_INTERVAL: Duration = Duration::from_secs(1);
const LONGEST_BACKOFF: Duration = Duration::from_secs(4);

impl Region {
    /// Makes the planner of one region; `incarnation` names this start of the process.
    pub fn new(
        process: &Process,
        clock: Arc<dyn Clock>,
        platform: Platform,
        reports: Box<dyn Source>,
        recorder: Recorder,
        metrics: Arc<Metrics>,
        incarnation: u64,
    ) -> Self {
        let holder = Holder::new(
            process.clone(),
            incarnation,
            clock.clone(),
            recorder.clone(),
        );
        Self {
            name: process.region.clone(),
            poll: process.poll,
            next_roster: clock.now(),
            clock,
            platform,
            reports,
            recorder,
            metrics,
            holder,
            planner: Planner::default(),
            last: None,
            fleet: None,
            roster: BTreeMap::new(),
            own_live: None,
            waiting: BTreeMap::new(),
            failures: 0,
            step_count: 0,
            jobs: None,
        }
    }

    /// Takes one step and returns the pause before the next one.
    pub fn run_once(&mut self) -> Duration {
        match self.step() {
            Ok(()) => self.failures = 0,
            Err(Error::Conflict { key }) => {
                log::debug!("event=conflict row={key}");
                self.metrics.conflicts.inc();
                self.last = None;
            }
            Err(error) => {
                log::warn!("event=step-failed reason={:?}", error.to_string());
                self.metrics.failures.inc();
                self.failures += 1;
                self.last = None;
            }
        }
        // A planner without the lease only looks whether it is free.
        const FOLLOWER_FACTOR: u32 = 6;
        let factor = if self.holder.fence().is_some() {
            1
        } else {
            FOLLOWER_FACTOR
        };
        let backoff = (self.poll * factor).saturating_mul(1 << self.failures.min(6));
        backoff.min(LONGEST_BACKOFF.max(self.poll))
    }

    /// Gives the lease up.
    pub fn stop(&mut self) {
        if let Err(error) = self.holder.give_up(self.platform.table.as_ref()) {
            log::warn!("event=give-up-failed reason={:?}", error.to_string());
        }
    }

    fn step(&mut self) -> Result<(), Error> {
        self.holder.keep(self.platform.table.as_ref())?;
        let is_leader = self.holder.fence().is_some();
        self.metrics.is_leader.set(i64::from(is_leader));
        if !is_leader {
            self.last = None;
            self.planner = Planner::default();
            self.jobs = None;
            return Ok(());
        }
        self.metrics.steps.inc();
        let is_full = self.is_full_read_due();
        let last = self.last.take();
        let snapshot = Snapshot::read(self.platform.table.as_ref(), &self.name, last, is_full)?;
        self.refresh_roster()?;
        self.load_fleet(&snapshot)?;
        self.roll_out(&snapshot)?;
        self.remove_dead_entries(&snapshot)?;
        let is_changed = self.plan(&snapshot)?;
        // After a change of its own every row is read anew.
        self.last = Some(snapshot).filter(|_| !is_changed);
        self.schedule_jobs()
    }

    /// Takes one step of the jobs; after a failure the next one starts over from the rows.
    fn schedule_jobs(&mut self) -> Result<(), Error> {
        let (Some((_, fleet)), Some(fence)) = (&self.fleet, self.holder.fence()) else {
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

    /// Tells whether the entries' rows are to be read: now and then, and always while something
    /// waits for what they say.
    fn is_full_read_due(&mut self) -> bool {
        const FULL_READ_STEPS: u32 = 4;
        self.step_count = self.step_count.wrapping_add(1);
        let is_awaited = self.last.as_ref().is_none_or(|last| {
            let is_draining = |record: &instance::Record| record.state == instance::State::Draining;
            last.config.proposed.is_some() || last.instances.values().any(is_draining)
        });
        is_awaited || self.step_count.is_multiple_of(FULL_READ_STEPS)
    }

    fn refresh_roster(&mut self) -> Result<(), Error> {
        let now = self.clock.now();
        if now < self.next_roster {
            return Ok(());
        }
        self.next_roster = now + ROSTER_INTERVAL;
        let list = self.platform.roster.list()?;
        self.roster = list
            .into_iter()
            .map(|listing| (listing.name.clone(), listing))
            .collect();
        self.own_live = Some(self.platform.roster.own_instances()?.into_iter().collect());
        Ok(())
    }

    fn load_fleet(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let accepted = &snapshot.config.accepted;
        let known = self.fleet.as_ref().map_or(0, |(number, _)| *number);
        if accepted.number == known {
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

    /// Accepts a proposal that every entry that may be serving holds.
    fn roll_out(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let may_serve: Vec<&entry::Record> = snapshot.entries.iter().collect();
        let head = match rollout::accept(&snapshot.config, &may_serve) {
            Verdict::Idle => return Ok(()),
            Verdict::Wait(laggards) => {
                for laggard in laggards {
                    log::debug!(
                        "event=roll-out-waits entry={} held={}",
                        laggard.entry,
                        laggard.held
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

    /// Deletes the rows of entries whose lease ran out and whose process the platform sees gone.
    fn remove_dead_entries(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let Some(live) = &self.own_live else {
            return Ok(());
        };
        let wall_ms = self.clock.wall_ms();
        let gone = snapshot.entries.iter().filter(|record| {
            let is_expired = record.expires_ms < wall_ms;
            is_expired
                && !live.contains(&record.member.name)
                && !snapshot.epoch.contains(record.member.id)
        });
        for record in gone {
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

    /// Decides and commits one step, and returns whether rows changed.
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
            // With a slow store the lease may have run low since the step began. What was read is
            // still a condition of the commit, so a fresh lease takes nothing away.
            self.holder.keep(self.platform.table.as_ref())?;
            let Some(fence) = self.holder.fence() else {
                return Ok(false);
            };
            let transaction = transaction(&self.name, snapshot, &draft, fence);
            self.platform.table.commit(&transaction)?;
            self.metrics.writes.inc_by(transaction.writes.len() as u64);
        }
        self.reboot(&draft)?;
        self.note(&draft);
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

    /// Starts a transaction that takes effect only while the lease is held.
    fn fenced(&self, build: impl FnOnce(Transaction) -> Transaction) -> Option<Transaction> {
        let fence = self.holder.fence()?;
        let transaction = Transaction::new(write_id()).require(fence);
        Some(build(transaction))
    }

    fn note(&mut self, draft: &Draft) {
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
