//! Assignment of the fleet's instances to pools, and their maintenance.
//!
//! A [`Fleet`] receives the platform's list of instances, the pools' demands and the operators'
//! waves, each with the time; it returns the workers to evacuate and the changes to order. It does
//! no I/O and reads no clock.

mod census;
mod history;
mod maintain;
mod notices;
mod progress;
mod recent;
mod report;
mod settings;
mod supply;

pub use notices::{StopNotices, MAX_STOPS, RETENTION};
pub use progress::Progress;
pub use recent::RecentOrders;
pub use settings::Settings;

use crate::owner::{Demand, Load};
use hyssop_model::work::{Condition, Instance, Wave};
use hyssop_platform::dialect::Transfer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A worker that a change of its instance stops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoppedWorker {
    /// The pool that it belonged to.
    pub pool: String,
    /// The worker.
    pub worker: String,
    /// The incarnation that its pool's owner knew before the change, `None` if it had told of none.
    /// No other one is known to have ended.
    pub incarnation: Option<i64>,
    /// When the platform had accepted the change, which ends the worker at once.
    pub stopped_at: Duration,
}

/// A worker that a change of its instance is to stop, as stored for the next fleet's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedStop {
    /// The instance.
    pub instance: String,
    /// The worker's pool.
    pub pool: String,
    /// The worker.
    pub worker: String,
    /// The incarnation that its pool's owner knew before the change.
    pub incarnation: i64,
}

/// A stop that no list has confirmed yet.
#[derive(Clone, Debug)]
struct PendingStop {
    stopped: StoppedWorker,
    /// The stop is taken for not made if no list requested before this time confirms it.
    until: Duration,
}

/// The state of the fleet's instances and the decisions on them, for one term.
#[derive(Clone, Debug)]
pub struct Fleet {
    settings: Settings,
    /// The pools whose instances are switched off.
    spare_pools: BTreeSet<String>,
    instances: BTreeMap<String, Instance>,
    /// The pools' instances as of the current round.
    census: census::Census,
    /// Each pool's size without moved instances.
    base_sizes: BTreeMap<String, usize>,
    reports: BTreeMap<String, report::Report>,
    histories: BTreeMap<String, history::History>,
    wave_progress: BTreeMap<u64, Progress>,
    /// Ordered changes that don't show in the list yet, with the time of the order.
    ordered: BTreeMap<String, (Duration, Transfer)>,
    /// When instances of waves were first missing from the platform's list.
    absent_since: BTreeMap<String, Duration>,
    /// Instances that the platform refused to change, with the time of the next attempt.
    refused_until: BTreeMap<String, Duration>,
    /// Workers to be stopped by a change of their instance, by instance.
    pending_stops: BTreeMap<String, PendingStop>,
    /// Confirmed stops that are not returned yet.
    stopped: Vec<StoppedWorker>,
    /// Instances with a possible recent order by the previous owner, with the time until which
    /// they are left unchanged.
    excluded_until: BTreeMap<String, Duration>,
    /// When each instance without runs became idle.
    idle_since: BTreeMap<String, Duration>,
}

impl Fleet {
    /// Creates the state for a term, with the base sizes and the waves' progress that the previous
    /// owner stored.
    pub fn new(
        settings: Settings,
        base_sizes: BTreeMap<String, usize>,
        wave_progress: BTreeMap<u64, Progress>,
    ) -> Self {
        Self {
            settings,
            spare_pools: BTreeSet::new(),
            instances: BTreeMap::new(),
            census: census::Census::new(),
            base_sizes,
            reports: BTreeMap::new(),
            histories: BTreeMap::new(),
            wave_progress,
            ordered: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            pending_stops: BTreeMap::new(),
            stopped: Vec::new(),
            excluded_until: BTreeMap::new(),
            idle_since: BTreeMap::new(),
        }
    }

    /// Returns each pool's size without moved instances, to be stored for the next owner.
    pub fn base_sizes(&self) -> &BTreeMap<String, usize> {
        &self.base_sizes
    }

    /// Returns the progress of each wave, to be stored for the next owner and reported to the
    /// operators.
    pub fn wave_progress(&self) -> &BTreeMap<u64, Progress> {
        &self.wave_progress
    }

    /// Excludes instances from changes until `until`, so that the orders of two owners to one
    /// instance keep the platform's minimum interval.
    pub fn exclude(&mut self, instances: impl IntoIterator<Item = String>, until: Duration) {
        let excluded = instances.into_iter().map(|instance| (instance, until));
        self.excluded_until.extend(excluded);
    }

    /// Sets the spare pools.
    pub fn set_spare_pools(&mut self, spare_pools: BTreeSet<String>) {
        self.spare_pools = spare_pools;
    }

    /// Applies the platform's list of instances, requested at `requested_at`.
    pub fn on_instance_list(&mut self, instances: Vec<Instance>, requested_at: Duration) {
        self.instances = instances
            .into_iter()
            .map(|instance| (instance.name.clone(), instance))
            .collect();
        if self.base_sizes.is_empty() {
            for instance in self.instances.values() {
                *self.base_sizes.entry(instance.pool.clone()).or_insert(0) += 1;
            }
        }
        self.confirm_stops(requested_at);
        for name in self.wave_progress.values().flat_map(|wave| &wave.instances) {
            if self.instances.contains_key(name) {
                self.absent_since.remove(name);
            } else {
                self.absent_since
                    .entry(name.clone())
                    .or_insert(requested_at);
            }
        }
        // A list requested within `list_delay` of an order may not show its effect.
        let list_delay = self.settings.list_delay;
        let instances = &self.instances;
        self.ordered.retain(|name, (ordered_at, _)| {
            let is_up = instances
                .get(name)
                .is_some_and(|instance| instance.condition == Condition::Up);
            !(is_up && requested_at >= *ordered_at + list_delay)
        });
    }

    /// Records a pool's demand.
    pub fn on_demand_report(&mut self, demand: Demand, now: Duration) {
        for load in &demand.loads {
            if load.is_idle() {
                self.idle_since.entry(load.instance.clone()).or_insert(now);
            } else {
                self.idle_since.remove(&load.instance);
            }
        }
        self.histories
            .entry(demand.pool.clone())
            .or_default()
            .record(now, demand.waiting.cpu.saturating_add(demand.running.cpu));
        self.reports
            .insert(demand.pool.clone(), report::Report::new(demand, now));
    }

    /// Adds or updates a wave. `deadline` is when the maintenance of all its instances must have
    /// started, if known.
    pub fn on_wave(&mut self, wave: &Wave, deadline: Option<Duration>) {
        let progress = self
            .wave_progress
            .entry(wave.number)
            .or_insert_with(|| Progress::new(wave));
        progress.cap = wave.cap;
        progress.deadline = deadline.or(progress.deadline);
    }

    /// Records an ordered change; its effect appears in a later list.
    pub fn on_ordered(&mut self, change: Transfer, now: Duration) {
        self.idle_since.remove(change.instance());
        self.ordered
            .insert(change.instance().to_owned(), (now, change));
    }

    /// Records that a change was not ordered after all.
    pub fn on_unsent(&mut self, instance: &str) {
        self.ordered.remove(instance);
    }

    /// Records that the platform refused a change; the instance is retried after a pause.
    pub fn on_refused(&mut self, instance: &str, now: Duration) {
        self.ordered.remove(instance);
        let until = now + self.settings.retry_pause;
        self.refused_until.insert(instance.to_owned(), until);
    }

    /// Returns whether the maintenance of each instance of a wave has started or the instance has
    /// left the fleet.
    pub fn is_wave_finished(&self, wave: u64, now: Duration) -> bool {
        let has_left = |name: &String| {
            self.absent_since
                .get(name)
                .is_some_and(|since| now.saturating_sub(*since) >= self.settings.departure_timeout)
        };
        self.wave_progress
            .get(&wave)
            .is_some_and(|progress| progress.due().all(has_left))
    }

    /// Records that the platform accepted a change.
    ///
    /// It gives the same answer for a change that was made before; the next lists show which of
    /// the two applies.
    pub fn on_accepted(&mut self, instance: &str, now: Duration) {
        let Some(listed) = self.instances.get(instance) else {
            return;
        };
        if let (false, Some(worker)) = (self.spare_pools.contains(&listed.pool), &listed.worker) {
            let stopped = StoppedWorker {
                pool: listed.pool.clone(),
                worker: worker.clone(),
                incarnation: self.incarnation(listed, worker),
                stopped_at: now,
            };
            let until = now + self.settings.list_delay;
            let pending_stop = PendingStop { stopped, until };
            self.pending_stops.insert(instance.to_owned(), pending_stop);
        }
    }

    /// Returns the worker that a change of an instance would stop, `None` if there is none or its
    /// incarnation is unknown.
    pub fn expected_stop(&self, instance: &str) -> Option<ExpectedStop> {
        let listed = self.instances.get(instance)?;
        let worker = listed.worker.as_ref()?;
        Some(ExpectedStop {
            instance: instance.to_owned(),
            pool: listed.pool.clone(),
            worker: worker.clone(),
            incarnation: self.incarnation(listed, worker)?,
        })
    }

    /// Adds the workers that the orders of the previous fleet's owner may have stopped before `now`
    /// or may still stop.
    ///
    /// They ran on their instances before the orders, so a list that shows an instance changed, by
    /// whichever order, confirms the stop. `until` is when the last order has taken effect.
    pub fn expect_stops(
        &mut self,
        stops: impl IntoIterator<Item = ExpectedStop>,
        now: Duration,
        until: Duration,
    ) {
        for stop in stops {
            let stopped = StoppedWorker {
                pool: stop.pool,
                worker: stop.worker,
                incarnation: Some(stop.incarnation),
                stopped_at: now,
            };
            let pending_stop = PendingStop { stopped, until };
            self.pending_stops.insert(stop.instance, pending_stop);
        }
    }

    /// Returns the incarnation of an instance's worker that its pool's owner last told of.
    fn incarnation(&self, instance: &Instance, worker: &str) -> Option<i64> {
        let report = self.reports.get(&instance.pool)?;
        let load = report.loads.get(&instance.name)?;
        load.incarnation.filter(|_| load.worker == worker)
    }

    /// Removes and returns the workers that were certainly stopped by changes of their instances.
    pub fn take_stopped_workers(&mut self) -> Vec<StoppedWorker> {
        std::mem::take(&mut self.stopped)
    }

    /// Confirms pending stops by a list requested at `requested_at`.
    ///
    /// A worker whose instance is up as before wasn't stopped: the platform also accepts a change
    /// that was made earlier, and the worker's tasks must not start elsewhere.
    fn confirm_stops(&mut self, requested_at: Duration) {
        let instances = &self.instances;
        let confirmed = &mut self.stopped;
        self.pending_stops.retain(|name, pending_stop| {
            let stopped = &pending_stop.stopped;
            let is_changed = instances
                .get(name)
                .is_some_and(|instance| match instance.condition {
                    Condition::Moving | Condition::Maintained => true,
                    Condition::Up => instance
                        .worker
                        .as_ref()
                        .is_some_and(|worker| *worker != stopped.worker),
                    // Its tasks may run on, out of reach, until their leases expire.
                    Condition::Down => false,
                });
            if is_changed && requested_at >= stopped.stopped_at {
                confirmed.push(stopped.clone());
                return false;
            }
            requested_at < pending_stop.until
        });
    }

    /// Decides which workers to evacuate and which instances to change.
    pub fn decide(&mut self, now: Duration) -> Decision {
        let mut decision = Decision::default();
        self.census = self.take_census(now);
        self.plan_maintenance(now, &mut decision);
        self.plan_moves(now, &mut decision);
        decision
    }

    /// Returns a pool's latest report unless it is too old to act on.
    fn recent_report(&self, pool: &str, now: Duration) -> Option<&report::Report> {
        self.reports
            .get(pool)
            .filter(|report| now.saturating_sub(report.at) <= self.settings.max_report_age)
    }

    fn demand(&self, pool: &str, now: Duration) -> Option<&Demand> {
        self.recent_report(pool, now).map(|report| &report.demand)
    }

    /// Returns the load of the worker on an instance.
    fn load(&self, instance: &Instance, now: Duration) -> Option<&Load> {
        self.recent_report(&instance.pool, now)?
            .loads
            .get(&instance.name)
    }

    /// Returns whether a change of an instance may be ordered now.
    fn may_change(&self, instance: &Instance, now: Duration) -> bool {
        !is_blocked(&self.excluded_until, &instance.name, now)
            && !is_blocked(&self.refused_until, &instance.name, now)
    }

    fn is_up(&self, instance: &Instance) -> bool {
        instance.condition == Condition::Up && !self.ordered.contains_key(&instance.name)
    }

    /// Returns the number of instances in a pool, including those being moved there.
    fn size(&self, pool: &str) -> usize {
        self.census.get(pool).map_or(0, |count| count.size)
    }
}

/// The evacuations and changes wanted at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// The workers to evacuate, by pool.
    pub evacuations: BTreeMap<String, BTreeSet<String>>,
    /// The workers on instances that are due for maintenance, by pool.
    pub due: BTreeMap<String, BTreeSet<String>>,
    /// The changes, in the sequence to order them.
    pub changes: Vec<Transfer>,
}

impl Decision {
    fn add_evacuation(&mut self, instance: &Instance) {
        insert_worker(&mut self.evacuations, instance);
    }

    fn add_due(&mut self, instance: &Instance) {
        insert_worker(&mut self.due, instance);
    }

    /// Returns whether the decision changes or evacuates an instance.
    fn affects(&self, instance: &Instance) -> bool {
        self.changes
            .iter()
            .any(|change| change.instance() == instance.name)
            || instance.worker.as_ref().is_some_and(|worker| {
                self.evacuations
                    .get(&instance.pool)
                    .is_some_and(|workers| workers.contains(worker))
            })
    }
}

/// Returns whether changes of an instance are blocked at `now`.
fn is_blocked(blocked_until: &BTreeMap<String, Duration>, instance: &str, now: Duration) -> bool {
    blocked_until
        .get(instance)
        .is_some_and(|until| now < *until)
}

fn insert_worker(workers: &mut BTreeMap<String, BTreeSet<String>>, instance: &Instance) {
    if let Some(worker) = &instance.worker {
        workers
            .entry(instance.pool.clone())
            .or_default()
            .insert(worker.clone());
    }
}
