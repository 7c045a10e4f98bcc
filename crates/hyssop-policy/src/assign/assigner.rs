use super::placement::{destination, Crowd};
use super::{Need, Relocation, Sustained};
use crate::plan::{Budget, Draft, View};
use hyssop_config::fleet::{Pool, Share};
use hyssop_model::instance::State;
use hyssop_model::prelude::*;

/// Decides moves: few, late for demand, at once for failures.
#[derive(Debug, Default)]
pub struct Assigner {
    sustained: BTreeMap<String, Sustained>,
    short_since: BTreeMap<String, u64>,
    rich_since: BTreeMap<String, u64>,
    last_move_ms: Option<u64>,
}

/// How long a pool must lack instances for its demand before one moves to it.
const SHORT_MS: u64 = 60_000;

/// How long a pool must have too many before one goes back.
const RICH_MS: u64 = 300_000;

/// Is one pool as the assigner counts it.
#[derive(Clone, Copy, Debug)]
struct Staff {
    /// The instances in the pool or on their way to it that can serve.
    able: u32,
    need: Need,
}

impl Assigner {
    /// Returns the instances that each pool's sustained demand keeps busy.
    pub fn busy(&self, view: &View, draft: &Draft) -> BTreeMap<String, u32> {
        let busy = view.fleet.pools.iter().map(|pool| {
            let slots = draft
                .of_pool(&pool.name)
                .next()
                .map_or(1, |record| record.slots);
            let sustained = self.sustained.get(&pool.name).map_or(0.0, Sustained::slots);
            (pool.name.clone(), Need::busy(sustained, slots))
        });
        busy.collect()
    }

    /// Returns the moves to begin now.
    pub fn step(&mut self, view: &View, draft: &Draft) -> Vec<Relocation> {
        let staff = self.count(view, draft);
        self.note_since(view, &staff);
        if let Some(backfill) = self.backfill(view, draft, &staff) {
            return vec![backfill];
        }
        let is_early = self
            .last_move_ms
            .is_some_and(|at| view.wall_ms < at + view.fleet.move_interval.as_millis() as u64);
        if is_early {
            return Vec::new();
        }
        let relocation = self
            .relieve(view, draft, &staff)
            .or_else(|| self.give_back(view, draft, &staff));
        if relocation.is_some() {
            self.last_move_ms = Some(view.wall_ms);
        }
        relocation.into_iter().collect()
    }

    /// Takes in the demand that the entries report; once a step, before anything is decided.
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

    fn count(&self, view: &View, draft: &Draft) -> BTreeMap<String, Staff> {
        let staff = view
            .fleet
            .pools
            .iter()
            .map(|pool| (pool.name.clone(), self.staff(view, draft, pool)));
        staff.collect()
    }

    fn staff(&self, view: &View, draft: &Draft, pool: &Pool) -> Staff {
        let members: Vec<&instance::Record> = draft
            .instances
            .values()
            .filter(|record| destination(record) == pool.name && view.is_healthy(&record.name))
            .collect();
        let is_able = |record: &&&instance::Record| {
            record.state == State::Serving || record.moving_to.is_some()
        };
        let able = members.iter().filter(is_able).count() as u32;
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        for record in &members {
            *racks.entry(&record.rack).or_default() += 1;
        }
        let largest_rack = racks.values().copied().max().unwrap_or(1);
        let slots = members.first().map_or(1, |record| record.slots);
        let sustained = self.sustained.get(&pool.name).map_or(0.0, Sustained::slots);
        Staff {
            able,
            need: Need::of(pool, sustained, slots, largest_rack),
        }
    }

    /// Notes since when pools have too few or too many instances.
    fn note_since(&mut self, view: &View, staff: &BTreeMap<String, Staff>) {
        for pool in &view.fleet.pools {
            let Some(staff) = staff.get(&pool.name) else {
                continue;
            };
            note(
                &mut self.short_since,
                &pool.name,
                staff.able < staff.need.wanted,
                view.wall_ms,
            );
            let enough = staff.need.wanted.max(pool.size);
            note(
                &mut self.rich_since,
                &pool.name,
                staff.able > enough,
                view.wall_ms,
            );
        }
    }

    /// Returns the move of a spare instance to a pool whose promise is at risk.
    fn backfill(
        &self,
        view: &View,
        draft: &Draft,
        staff: &BTreeMap<String, Staff>,
    ) -> Option<Relocation> {
        let needy = view.fleet.pools.iter().filter(|pool| receives(view, pool));
        let needy = needy.filter(|pool| {
            staff
                .get(&pool.name)
                .is_some_and(|staff| staff.able < staff.need.least)
        });
        let mut needy: Vec<&Pool> = needy.collect();
        needy.sort_by_key(|pool| {
            staff.get(&pool.name).map_or(0, |staff| {
                i64::from(staff.able) - i64::from(staff.need.least)
            })
        });
        needy
            .into_iter()
            .find_map(|pool| self.take_from_donors(view, draft, staff, pool))
    }

    /// Returns a move to a pool whose sustained demand is above what it holds.
    fn relieve(
        &self,
        view: &View,
        draft: &Draft,
        staff: &BTreeMap<String, Staff>,
    ) -> Option<Relocation> {
        let short = view.fleet.pools.iter().filter(|pool| receives(view, pool));
        let is_long = |pool: &&Pool| {
            let since = self.short_since.get(&pool.name);
            since.is_some_and(|since| view.wall_ms >= since + SHORT_MS)
        };
        short
            .filter(is_long)
            .find_map(|pool| self.take_from_donors(view, draft, staff, pool))
    }

    /// Returns a move back to the spare pool.
    fn give_back(
        &self,
        view: &View,
        draft: &Draft,
        staff: &BTreeMap<String, Staff>,
    ) -> Option<Relocation> {
        let spare = view.fleet.pool(&view.fleet.spare)?;
        let rich = view.fleet.pools.iter().filter(|pool| receives(view, pool));
        let is_long = |pool: &&Pool| {
            let since = self.rich_since.get(&pool.name);
            since.is_some_and(|since| view.wall_ms >= since + RICH_MS)
        };
        let _ = staff;
        rich.filter(is_long)
            .find_map(|pool| pick(view, draft, pool, spare))
    }

    fn take_from_donors(
        &self,
        view: &View,
        draft: &Draft,
        staff: &BTreeMap<String, Staff>,
        receiver: &Pool,
    ) -> Option<Relocation> {
        let gives = |pool: &&Pool| {
            let is_donor = pool.name == view.fleet.spare || pool.share == Share::Lend;
            let is_rich = staff
                .get(&pool.name)
                .is_some_and(|staff| staff.able > staff.need.wanted);
            is_donor && is_rich && pool.name != receiver.name
        };
        let mut donors: Vec<&Pool> = view.fleet.pools.iter().filter(gives).collect();
        donors.sort_by_key(|pool| pool.name != view.fleet.spare);
        donors
            .into_iter()
            .find_map(|donor| pick(view, draft, donor, receiver))
    }
}

/// Tells whether a pool takes instances of others.
fn receives(view: &View, pool: &Pool) -> bool {
    pool.name != view.fleet.spare && pool.share != Share::None
}

fn note(since: &mut BTreeMap<String, u64>, pool: &str, holds: bool, wall_ms: u64) {
    if holds {
        since.entry(pool.to_owned()).or_insert(wall_ms);
    } else {
        since.remove(pool);
    }
}

/// Picks the donor's instance that spreads the receiver best and whose loss the donor's budget
/// permits.
fn pick(view: &View, draft: &Draft, donor: &Pool, receiver: &Pool) -> Option<Relocation> {
    let is_free = |record: &&instance::Record| {
        record.state == State::Serving
            && view.is_healthy(&record.name)
            && !view.drains.contains_key(&record.name)
            && Budget::check(draft, view, record).is_ok()
    };
    let rank = |record: &&instance::Record| {
        let at_receiver = Crowd::count(draft, &receiver.name, &record.rack, &record.data_centre);
        let at_donor = Crowd::count(draft, &donor.name, &record.rack, &record.data_centre);
        (
            at_receiver.rack,
            at_receiver.data_centre,
            u32::MAX - at_donor.rack,
            record.name.clone(),
        )
    };
    let best = draft
        .of_pool(&donor.name)
        .filter(is_free)
        .min_by_key(rank)?;
    Some(Relocation {
        instance: best.name.clone(),
        to: receiver.name.clone(),
    })
}
