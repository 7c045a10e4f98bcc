//! The fleet's instances: which pool each is in, and when each is maintained.
//!
//! A [`Fleet`] is fed the platform's list of instances, the pools' demands and the operators'
//! waves, each with the time; it returns the workers to empty and the changes to order. It makes
//! no call and reads no clock.

mod heard;
mod maintain;
mod need;
mod settings;
mod supply;
mod tracking;

pub use settings::Settings;
pub use tracking::Campaign;

use crate::owner::{Demand, Load};
use hyssop_model::work::{Condition, Instance, Wave};
use hyssop_platform::dialect::Transfer;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Is a worker whose instance is said to change.
#[derive(Clone, Debug)]
struct Ending {
    pool: String,
    worker: String,
    ordered_at: Duration,
}

/// Decides for the fleet's instances during one term.
#[derive(Clone, Debug)]
pub struct Fleet {
    settings: Settings,
    /// The pools whose instances are switched off.
    spare: BTreeSet<String>,
    instances: BTreeMap<String, Instance>,
    /// The size that each pool has by itself.
    base: BTreeMap<String, usize>,
    heard: BTreeMap<String, heard::Heard>,
    needs: BTreeMap<String, need::Need>,
    campaigns: BTreeMap<u64, Campaign>,
    /// Changes that were ordered and do not show in the list yet, with the time of the order.
    ordered: BTreeMap<String, (Duration, Transfer)>,
    /// Instances of waves that the platform's list does not name, and since when.
    absent: BTreeMap<String, Duration>,
    /// Until when instances are not ordered again whose changes the platform refused.
    refused: BTreeMap<String, Duration>,
    /// Workers whose instances are said to change, by instance.
    ending: BTreeMap<String, Ending>,
    /// The pools and workers that have ended by that.
    ended: Vec<(String, String)>,
    /// Instances that an earlier holder may have ordered to change lately, with the time until when
    /// they are left alone.
    barred: BTreeMap<String, Duration>,
    /// Instances without work, with the time since when.
    idle_since: BTreeMap<String, Duration>,
}

impl Fleet {
    /// Makes the decisions' state, with the sizes and campaigns that an earlier holder stored.
    pub fn new(
        settings: Settings,
        base: BTreeMap<String, usize>,
        campaigns: BTreeMap<u64, Campaign>,
    ) -> Self {
        Self {
            settings,
            spare: BTreeSet::new(),
            instances: BTreeMap::new(),
            base,
            heard: BTreeMap::new(),
            needs: BTreeMap::new(),
            campaigns,
            ordered: BTreeMap::new(),
            absent: BTreeMap::new(),
            refused: BTreeMap::new(),
            ending: BTreeMap::new(),
            ended: Vec::new(),
            barred: BTreeMap::new(),
            idle_since: BTreeMap::new(),
        }
    }

    /// Returns the size that each pool has by itself, for a next holder.
    pub fn base(&self) -> &BTreeMap<String, usize> {
        &self.base
    }

    /// Returns the campaigns, for a next holder and for the operators.
    pub fn campaigns(&self) -> &BTreeMap<u64, Campaign> {
        &self.campaigns
    }

    /// Leaves instances alone until `until`: the orders of two holders to one instance keep the
    /// platform's distance.
    pub fn bar(&mut self, instances: impl IntoIterator<Item = String>, until: Duration) {
        let barred = instances.into_iter().map(|instance| (instance, until));
        self.barred.extend(barred);
    }

    /// Names the spare pools.
    pub fn set_spare(&mut self, spare: BTreeSet<String>) {
        self.spare = spare;
    }

    /// Takes the platform's list, asked for at `asked_at`.
    pub fn list(&mut self, instances: Vec<Instance>, asked_at: Duration) {
        self.instances = instances
            .into_iter()
            .map(|instance| (instance.name.clone(), instance))
            .collect();
        if self.base.is_empty() {
            for instance in self.instances.values() {
                *self.base.entry(instance.pool.clone()).or_insert(0) += 1;
            }
        }
        self.settle_endings(asked_at);
        for name in self.campaigns.values().flat_map(|wave| &wave.instances) {
            if self.instances.contains_key(name) {
                self.absent.remove(name);
            } else {
                self.absent.entry(name.clone()).or_insert(asked_at);
            }
        }
        // An order shows in a list that was asked for well after it.
        let show = self.settings.show;
        let instances = &self.instances;
        self.ordered.retain(|name, (ordered_at, _)| {
            let is_up = instances
                .get(name)
                .is_some_and(|instance| instance.condition == Condition::Up);
            !(is_up && asked_at >= *ordered_at + show)
        });
    }

    /// Takes a pool's demand.
    pub fn take_demand(&mut self, demand: Demand, now: Duration) {
        for load in &demand.loads {
            if load.runs == 0 {
                self.idle_since.entry(load.instance.clone()).or_insert(now);
            } else {
                self.idle_since.remove(&load.instance);
            }
        }
        self.needs
            .entry(demand.pool.clone())
            .or_default()
            .note(now, demand.waiting.cpu + demand.running.cpu);
        self.heard
            .insert(demand.pool.clone(), heard::Heard::new(demand, now));
    }

    /// Takes a wave, with the time by which the maintenance of all must have begun, where it is
    /// known.
    pub fn take_wave(&mut self, wave: &Wave, deadline: Option<Duration>) {
        let campaign = self
            .campaigns
            .entry(wave.number)
            .or_insert_with(|| Campaign::new(wave));
        campaign.cap = wave.cap;
        campaign.deadline = deadline.or(campaign.deadline);
    }

    /// Notes that a change was ordered; its effect shows in the list later.
    pub fn note_ordered(&mut self, change: Transfer, now: Duration) {
        self.idle_since.remove(change.instance());
        self.ordered
            .insert(change.instance().to_owned(), (now, change));
    }

    /// Notes that the platform will not carry a change out now.
    pub fn note_refused(&mut self, instance: &str, now: Duration) {
        self.ordered.remove(instance);
        let until = now + self.settings.retry_pause;
        self.refused.insert(instance.to_owned(), until);
    }

    /// Tells whether a wave is over: the maintenance of each of its instances has begun, or the
    /// instance has left the fleet.
    pub fn is_over(&self, wave: u64, now: Duration) -> bool {
        let has_left = |name: &String| {
            self.absent
                .get(name)
                .is_some_and(|since| now.saturating_sub(*since) >= self.settings.left)
        };
        self.campaigns
            .get(&wave)
            .is_some_and(|campaign| campaign.due().all(has_left))
    }

    /// Notes that the platform says that a change is under way or was made before: which of the two
    /// shows in the next lists.
    pub fn note_done(&mut self, instance: &str, now: Duration) {
        let Some(held) = self.instances.get(instance) else {
            return;
        };
        if let (false, Some(worker)) = (self.spare.contains(&held.pool), &held.worker) {
            let ending = Ending {
                pool: held.pool.clone(),
                worker: worker.clone(),
                ordered_at: now,
            };
            self.ending.insert(instance.to_owned(), ending);
        }
    }

    /// Returns the pools and workers that changes of their instances have certainly ended.
    pub fn take_ended(&mut self) -> Vec<(String, String)> {
        std::mem::take(&mut self.ended)
    }

    /// Finds out from a list asked for at `asked_at` which workers have ended.
    ///
    /// A worker whose instance is up as before was not ended: the platform says yes to a change
    /// that was made earlier, too, and what runs there must not start elsewhere.
    fn settle_endings(&mut self, asked_at: Duration) {
        let show = self.settings.show;
        let instances = &self.instances;
        let ended = &mut self.ended;
        self.ending.retain(|name, ending| {
            let is_changed = instances
                .get(name)
                .is_some_and(|instance| match instance.condition {
                    Condition::Moving | Condition::Maintained => true,
                    Condition::Up => instance
                        .worker
                        .as_ref()
                        .is_some_and(|worker| *worker != ending.worker),
                    // Its tasks may go on unseen until their lease is over.
                    Condition::Down => false,
                });
            if is_changed && asked_at >= ending.ordered_at {
                ended.push((ending.pool.clone(), ending.worker.clone()));
                return false;
            }
            asked_at < ending.ordered_at + show
        });
    }

    /// Decides what to empty and what to change.
    pub fn decide(&mut self, now: Duration) -> Decision {
        let mut decision = Decision::default();
        self.maintain(now, &mut decision);
        self.supply(now, &mut decision);
        decision
    }

    /// Returns what a pool said last while it is fresh enough to act on.
    fn fresh(&self, pool: &str, now: Duration) -> Option<&heard::Heard> {
        self.heard
            .get(pool)
            .filter(|heard| now.saturating_sub(heard.at) <= self.settings.fresh)
    }

    fn demand(&self, pool: &str, now: Duration) -> Option<&Demand> {
        self.fresh(pool, now).map(|heard| &heard.demand)
    }

    /// Returns what the worker on an instance is doing.
    fn load(&self, instance: &Instance, now: Duration) -> Option<&Load> {
        self.fresh(&instance.pool, now)?.loads.get(&instance.name)
    }

    /// Tells whether this holder may order an instance to change.
    fn may_change(&self, instance: &Instance, now: Duration) -> bool {
        !is_held(&self.barred, &instance.name, now) && !is_held(&self.refused, &instance.name, now)
    }

    fn is_up(&self, instance: &Instance) -> bool {
        instance.condition == Condition::Up && !self.ordered.contains_key(&instance.name)
    }

    /// Counts the instances that are in a pool or on their way there.
    fn size(&self, pool: &str) -> usize {
        self.instances
            .values()
            .filter(|instance| match self.ordered.get(&instance.name) {
                Some((_, Transfer::Move { pool: target, .. })) => target == pool,
                _ => instance.pool == pool,
            })
            .count()
    }
}

/// Says what the fleet wants now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// The workers to empty, by pool.
    pub vacate: BTreeMap<String, BTreeSet<String>>,
    /// The workers on instances that are due for maintenance, by pool.
    pub due: BTreeMap<String, BTreeSet<String>>,
    /// The changes to order, in their order.
    pub changes: Vec<Transfer>,
}

impl Decision {
    fn empty(&mut self, instance: &Instance) {
        add(&mut self.vacate, instance);
    }

    fn note_due(&mut self, instance: &Instance) {
        add(&mut self.due, instance);
    }

    fn touches(&self, instance: &Instance) -> bool {
        self.changes
            .iter()
            .any(|change| change.instance() == instance.name)
            || instance.worker.as_ref().is_some_and(|worker| {
                self.vacate
                    .get(&instance.pool)
                    .is_some_and(|workers| workers.contains(worker))
            })
    }
}

/// Tells whether an instance is left alone at `now`.
fn is_held(held: &BTreeMap<String, Duration>, instance: &str, now: Duration) -> bool {
    held.get(instance).is_some_and(|until| now < *until)
}

fn add(workers: &mut BTreeMap<String, BTreeSet<String>>, instance: &Instance) {
    if let Some(worker) = &instance.worker {
        workers
            .entry(instance.pool.clone())
            .or_default()
            .insert(worker.clone());
    }
}
