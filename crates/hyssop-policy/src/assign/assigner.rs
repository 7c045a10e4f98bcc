use super::placement::{destination, Occupancy};
use super::{Need, Relocation, SustainedDemand};
use crate::plan::{Budget, Draft, View};
use hyssop_config::fleet::{Pool, Share};
use hyssop_model::instance::State;
use hyssop_model::prelude::*;

/// Decides the moves of instances between pools: after a delay and at intervals for demand, at once
/// for failures.
#[derive(Debug, Default)]
pub struct Assigner {
    sustained: BTreeMap<String, SustainedDemand>,
    shortage_since: BTreeMap<String, u64>,
    surplus_since: BTreeMap<String, u64>,
    last_move_ms: Option<u64>,
}

/// How long a pool must have a shortage before an instance moves to it.
const SHORTAGE_MS: u64 = 60_000;

/// How long a pool must have a surplus before an instance moves back to the spare pool.
const SURPLUS_MS: u64 = 300_000;

/// The instances that one pool has and needs.
#[derive(Clone, Copy, Debug)]
struct Supply {
    /// The healthy instances that serve in the pool or move to it.
    available: u32,
    need: Need,
}

impl Assigner {
    /// Returns the number of instances that each pool's sustained demand keeps busy.
    pub fn busy(&self, view: &View, draft: &Draft) -> BTreeMap<String, u32> {
        let busy = view.fleet.pools.iter().map(|pool| {
            let slots = draft
                .of_pool(&pool.name)
                .next()
                .map_or(1, |record| record.slots);
            let sustained = self
                .sustained
                .get(&pool.name)
                .map_or(0.0, SustainedDemand::slots);
            (pool.name.clone(), Need::busy(sustained, slots))
        });
        busy.collect()
    }

    /// Returns the moves to begin now.
    pub fn step(&mut self, view: &View, draft: &Draft) -> Vec<Relocation> {
        let supplies = self.pool_supplies(view, draft);
        self.update_since(view, &supplies);
        if let Some(backfill) = self.backfill(view, draft, &supplies) {
            return vec![backfill];
        }
        let is_within_interval = self
            .last_move_ms
            .is_some_and(|at| view.wall_ms < at + view.fleet.move_interval.as_millis() as u64);
        if is_within_interval {
            return Vec::new();
        }
        let relocation = self
            .cover_shortage(view, draft, &supplies)
            .or_else(|| self.return_surplus(view, draft, &supplies));
        if relocation.is_some() {
            self.last_move_ms = Some(view.wall_ms);
        }
        relocation.into_iter().collect()
    }

    /// Updates the sustained demand from the entries' reports; called once per step, before any
    /// decision.
    pub fn observe(&mut self, view: &View) {
        let mut slots: BTreeMap<&str, f64> = BTreeMap::new();
        let reports = view
            .reports
            .values()
            .filter_map(|report| report.demand.as_ref());
        for pool in reports.flat_map(|report| &report.pools) {
            let total = pool
                .flows
                .iter()
                .map(|flow| flow.in_flight + flow.waiting.iter().sum::<u32>());
            *slots.entry(&pool.pool).or_default() += f64::from(total.sum::<u32>());
        }
        for pool in &view.fleet.pools {
            let demand = slots.get(pool.name.as_str()).copied().unwrap_or(0.0);
            let sustained = self.sustained.entry(pool.name.clone()).or_default();
            sustained.observe(view.wall_ms, demand);
        }
    }

    fn pool_supplies(&self, view: &View, draft: &Draft) -> BTreeMap<String, Supply> {
        let supplies = view
            .fleet
            .pools
            .iter()
            .map(|pool| (pool.name.clone(), self.supply(view, draft, pool)));
        supplies.collect()
    }

    fn supply(&self, view: &View, draft: &Draft, pool: &Pool) -> Supply {
        let members: Vec<&instance::Record> = draft
            .instances
            .values()
            .filter(|record| destination(record) == pool.name && view.is_healthy(&record.name))
            .collect();
        let is_available = |record: &&&instance::Record| {
            record.state == State::Serving || record.moving_to.is_some()
        };
        let available = members.iter().filter(is_available).count() as u32;
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        for record in &members {
            *racks.entry(&record.rack).or_default() += 1;
        }
        let largest_rack = racks.values().copied().max().unwrap_or(1);
        let slots = members.first().map_or(1, |record| record.slots);
        let sustained = self
            .sustained
            .get(&pool.name)
            .map_or(0.0, SustainedDemand::slots);
        Supply {
            available,
            need: Need::of(pool, sustained, slots, largest_rack),
        }
    }

    /// Updates since when pools have had a shortage or a surplus of instances.
    fn update_since(&mut self, view: &View, supplies: &BTreeMap<String, Supply>) {
        for pool in &view.fleet.pools {
            let Some(supply) = supplies.get(&pool.name) else {
                continue;
            };
            set_since(
                &mut self.shortage_since,
                &pool.name,
                supply.available < supply.need.target,
                view.wall_ms,
            );
            let upper_limit = supply.need.target.max(pool.size);
            set_since(
                &mut self.surplus_since,
                &pool.name,
                supply.available > upper_limit,
                view.wall_ms,
            );
        }
    }

    /// Returns a move to a pool that has fewer instances than its availability budget requires.
    fn backfill(
        &self,
        view: &View,
        draft: &Draft,
        supplies: &BTreeMap<String, Supply>,
    ) -> Option<Relocation> {
        let at_risk = view
            .fleet
            .pools
            .iter()
            .filter(|pool| can_receive(view, pool));
        let at_risk = at_risk.filter(|pool| {
            supplies
                .get(&pool.name)
                .is_some_and(|supply| supply.available < supply.need.minimum)
        });
        let mut at_risk: Vec<&Pool> = at_risk.collect();
        at_risk.sort_by_key(|pool| {
            supplies.get(&pool.name).map_or(0, |supply| {
                i64::from(supply.available) - i64::from(supply.need.minimum)
            })
        });
        at_risk
            .into_iter()
            .find_map(|pool| self.move_from_donor(view, draft, supplies, pool))
    }

    /// Returns a move to a pool that has had a shortage for [`SHORTAGE_MS`].
    fn cover_shortage(
        &self,
        view: &View,
        draft: &Draft,
        supplies: &BTreeMap<String, Supply>,
    ) -> Option<Relocation> {
        let receivers = view
            .fleet
            .pools
            .iter()
            .filter(|pool| can_receive(view, pool));
        let is_sustained = |pool: &&Pool| {
            let since = self.shortage_since.get(&pool.name);
            since.is_some_and(|since| view.wall_ms >= since + SHORTAGE_MS)
        };
        receivers
            .filter(is_sustained)
            .find_map(|pool| self.move_from_donor(view, draft, supplies, pool))
    }

    /// Returns a move back to the spare pool from a pool that has had a surplus for [`SURPLUS_MS`].
    fn return_surplus(
        &self,
        view: &View,
        draft: &Draft,
        supplies: &BTreeMap<String, Supply>,
    ) -> Option<Relocation> {
        let spare = view.fleet.pool(&view.fleet.spare)?;
        let pools = view
            .fleet
            .pools
            .iter()
            .filter(|pool| can_receive(view, pool));
        let is_sustained = |pool: &&Pool| {
            let since = self.surplus_since.get(&pool.name);
            since.is_some_and(|since| view.wall_ms >= since + SURPLUS_MS)
        };
        let _ = supplies;
        pools
            .filter(is_sustained)
            .find_map(|pool| select_move(view, draft, pool, spare))
    }

    fn move_from_donor(
        &self,
        view: &View,
        draft: &Draft,
        supplies: &BTreeMap<String, Supply>,
        receiver: &Pool,
    ) -> Option<Relocation> {
        let can_donate = |pool: &&Pool| {
            let is_donor = pool.name == view.fleet.spare || pool.share == Share::Lend;
            let has_surplus = supplies
                .get(&pool.name)
                .is_some_and(|supply| supply.available > supply.need.target);
            is_donor && has_surplus && pool.name != receiver.name
        };
        let mut donors: Vec<&Pool> = view.fleet.pools.iter().filter(can_donate).collect();
        donors.sort_by_key(|pool| pool.name != view.fleet.spare);
        donors
            .into_iter()
            .find_map(|donor| select_move(view, draft, donor, receiver))
    }
}

/// Returns whether a pool may receive instances of other pools.
fn can_receive(view: &View, pool: &Pool) -> bool {
    pool.name != view.fleet.spare && pool.share != Share::None
}

/// Sets when a condition of a pool began, or clears it if the condition does not apply.
fn set_since(since: &mut BTreeMap<String, u64>, pool: &str, applies: bool, wall_ms: u64) {
    if applies {
        since.entry(pool.to_owned()).or_insert(wall_ms);
    } else {
        since.remove(pool);
    }
}

/// Selects the donor's instance that best spreads the receiver over racks and data centres, among
/// those whose loss the donor's budget permits.
fn select_move(view: &View, draft: &Draft, donor: &Pool, receiver: &Pool) -> Option<Relocation> {
    let is_movable = |record: &&instance::Record| {
        record.state == State::Serving
            && view.is_healthy(&record.name)
            && !view.drains.contains_key(&record.name)
            && Budget::check(draft, view, record).is_ok()
    };
    let rank = |record: &&instance::Record| {
        let at_receiver =
            Occupancy::count(draft, &receiver.name, &record.rack, &record.data_centre);
        let at_donor = Occupancy::count(draft, &donor.name, &record.rack, &record.data_centre);
        (
            at_receiver.rack,
            at_receiver.data_centre,
            u32::MAX - at_donor.rack,
            record.name.clone(),
        )
    };
    let best = draft
        .of_pool(&donor.name)
        .filter(is_movable)
        .min_by_key(rank)?;
    Some(Relocation {
        instance: best.name.clone(),
        to: receiver.name.clone(),
    })
}
