use super::Call;
use crate::error::{ConfigSnafu, Error, FileSnafu};
use crate::report::{print_rows, write_json};
use hyssop_config::fleet::{Fleet, Pool};
use hyssop_config::settings::Machines;
use hyssop_model::instance::{self, State};
use hyssop_model::intent::{Phase, Scope, Wave};
use hyssop_platform::roster::{Listing, Presence};
use hyssop_policy::plan::{Draft, Planner, Report, View};
use hyssop_wire::demand;
use serde::Serialize;
use snafu::ResultExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Is what one way to staff pools costs over a day.
#[derive(Debug, Default, Serialize)]
struct Cost {
    deployment: String,
    policy: String,
    instances: u32,
    buffer_instance_hours: f64,
    buffer_part: f64,
    moves: u32,
    /// The work of callers who waited longer than their patience, in slot hours.
    unmet_slot_hours: f64,
    #[serde(skip)]
    backlogs: BTreeMap<usize, Backlog>,
    below_budget_steps: u32,
}

/// Is the work that waits at one pool: when it came, and how many slot seconds it takes.
#[derive(Debug, Default)]
struct Backlog(VecDeque<(u64, f64)>);

/// How long callers wait for their turn, in milliseconds.
const PATIENCE_MS: u64 = 60_000;
const STEP_MS: u64 = 10_000;
const DAY_MS: u64 = 24 * 3_600_000;
const HOUR_MS: u64 = 3_600_000;
const START_MS: u64 = 1_800_000_000_000;
const SLOTS: u32 = 8;

/// Compares the assignment with a buffer for each pool's own peak and with a planner that follows
/// demand at once, over a trace of demand and health.
pub(crate) fn capacity(_call: &Call) -> Result<bool, Error> {
    let mut costs = Vec::new();
    let mut is_good = true;
    for name in ["kilwa", "noor-e-yaad"] {
        let path = format!("settings/{name}.ini");
        let text = std::fs::read_to_string(&path).context(FileSnafu { path: &path })?;
        let fleet = Fleet::parse(&path, &text).context(ConfigSnafu)?;
        let machines =
            Machines::read(&format!("settings/{name}.fleet.ini")).context(ConfigSnafu)?;
        let ours = run_planner(name, &fleet, &machines);
        let peak = run_peak(name, &fleet);
        let follower = run_follower(name, &fleet, machines.instances);
        is_good &= ours.buffer_instance_hours <= peak.buffer_instance_hours / 2.0;
        is_good &= f64::from(ours.moves) <= f64::from(follower.moves) / 10.0;
        is_good &= ours.unmet_slot_hours <= peak.unmet_slot_hours + 1e-9;
        is_good &= ours.below_budget_steps == 0;
        costs.extend([ours, peak, follower]);
    }
    let header = [
        "deployment",
        "policy",
        "instances",
        "buffer h",
        "buffer part",
        "moves",
        "unmet slot h",
        "steps below budget",
    ];
    let rows = costs.iter().map(|cost| {
        vec![
            cost.deployment.clone(),
            cost.policy.clone(),
            cost.instances.to_string(),
            format!("{:.0}", cost.buffer_instance_hours),
            format!("{:.1}%", cost.buffer_part * 100.0),
            cost.moves.to_string(),
            format!("{:.2}", cost.unmet_slot_hours),
            cost.below_budget_steps.to_string(),
        ]
    });
    print_rows(&header, rows);
    write_json("capacity", &costs)?;
    Ok(is_good)
}

/// Returns the slots that a pool's requests ask for at a time: bursts of ten seconds in turn, on
/// top of a mean that shifts for hours.
fn demand_at(pools: &[Pool], index: usize, at_ms: u64) -> f64 {
    const MEAN_PART: f64 = 0.24;
    const PEAK: f64 = 5.0;
    const REST: f64 = 0.05;
    let pool = &pools[index];
    let turn = (at_ms / STEP_MS) as usize % pools.len();
    let factor = if turn == index { PEAK } else { REST };
    f64::from(pool.size * SLOTS) * MEAN_PART * factor * shift(pools, index, at_ms)
}

/// Returns how a pool's mean is shifted: each pool in turn has three busy hours a day, in which it
/// needs more than its quiet size; the spare pool, which nobody lends to, fills its own.
fn shift(pools: &[Pool], index: usize, at_ms: u64) -> f64 {
    const SPARE_BUSY: f64 = 3.0;
    const POOL_BUSY: f64 = 4.0;
    let is_spare = index + 1 == pools.len();
    let busy = if is_spare { SPARE_BUSY } else { POOL_BUSY };
    const BUSY_HOURS: u64 = 3;
    let hour = at_ms / HOUR_MS;
    let from = 2 + 4 * index as u64;
    if (from..from + BUSY_HOURS).contains(&hour) {
        busy
    } else {
        1.0
    }
}

/// Returns the mean demand of the round of bursts around a time: what queues can't put off.
fn sustained_at(pools: &[Pool], index: usize, at_ms: u64) -> f64 {
    let round = pools.len() as u64;
    let from = at_ms / STEP_MS / round * round;
    let sum: f64 = (from..from + round)
        .map(|step| demand_at(pools, index, step * STEP_MS))
        .sum();
    sum / round as f64
}

/// Tells whether the rack that is lost in the morning is down.
fn is_rack_lost(at_ms: u64) -> bool {
    (8 * HOUR_MS..8 * HOUR_MS + HOUR_MS / 2).contains(&at_ms)
}

fn listings(
    machines: &Machines,
    at_ms: u64,
    boots: &BTreeMap<String, u64>,
) -> BTreeMap<String, Listing> {
    let count = machines.data_centres.len() as u32;
    let listing = |number: u32| {
        let rack = number / machines.per_rack;
        let name = format!("i-{number:04}");
        let is_down = rack == 1 && is_rack_lost(at_ms);
        Listing {
            key: instance::Key(number),
            address: String::new(),
            rack: format!("rack-{rack}"),
            data_centre: machines.data_centres[(rack % count) as usize].clone(),
            slots: machines.slots,
            connections: machines.connections,
            presence: if is_down {
                Presence::Gone
            } else {
                Presence::Live
            },
            boots: boots.get(&name).copied().unwrap_or(1),
            name,
        }
    };
    let all = (0..machines.instances).map(listing);
    all.map(|listing| (listing.name.clone(), listing)).collect()
}

/// Returns a report of an entry that sees all demand and holds no request back.
fn report(fleet: &Fleet, at_ms: u64) -> Report {
    let pool = |(index, pool): (usize, &Pool)| demand::Pool {
        pool: pool.name.clone(),
        usable: pool.size * SLOTS,
        oldest_ms: 0,
        flows: vec![demand::Flow {
            queue: "default".to_owned(),
            waiting: [0; 3],
            in_flight: demand_at(&fleet.pools, index, at_ms) as u32,
        }],
    };
    Report {
        revision: u64::MAX,
        demand: Some(demand::Report {
            pools: fleet.pools.iter().enumerate().map(pool).collect(),
        }),
        in_flight: BTreeMap::new(),
        ejected: BTreeSet::new(),
    }
}

fn run_planner(name: &str, fleet: &Fleet, machines: &Machines) -> Cost {
    const REBOOT_MS: u64 = 120_000;
    let mut planner = Planner::default();
    let mut draft = Draft::default();
    let mut boots: BTreeMap<String, u64> = BTreeMap::new();
    let mut rebooting: BTreeMap<String, u64> = BTreeMap::new();
    let mut pools_of: BTreeMap<String, String> = BTreeMap::new();
    let mut wave = None;
    let mut cost = Cost {
        deployment: name.to_owned(),
        policy: "shared buffer".to_owned(),
        instances: machines.instances,
        ..Cost::default()
    };
    for at_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
        let wall_ms = START_MS + at_ms;
        if at_ms == 12 * HOUR_MS {
            wave = Some(Wave {
                scope: Scope::All,
                phase: Phase::Running,
                author: "lab".to_owned(),
                started_ms: wall_ms,
                deadline_ms: wall_ms + 8 * HOUR_MS,
            });
        }
        rebooting.retain(|name, until| {
            if at_ms >= *until {
                *boots.entry(name.clone()).or_insert(1) += 1;
            }
            at_ms < *until
        });
        let view = View {
            wall_ms,
            fleet: fleet.clone(),
            drains: BTreeMap::new(),
            wave: wave.clone(),
            roster: listings(machines, at_ms, &boots),
            reports: BTreeMap::from([("entry-1".to_owned(), report(fleet, at_ms))]),
            may_serve: BTreeSet::from(["entry-1".to_owned()]),
        };
        let mut next = Draft::new(draft.instances.clone(), draft.pools.clone());
        planner.step(&view, &mut next);
        for name in &next.reboots {
            rebooting.entry(name.clone()).or_insert(at_ms + REBOOT_MS);
        }
        if let Some(changed) = next.changed_wave.take() {
            wave = Some(changed);
        }
        draft = next;
        for record in draft.instances.values() {
            let old = pools_of.insert(record.name.clone(), record.pool.clone());
            cost.moves += u32::from(old.is_some_and(|old| old != record.pool));
        }
        count_planner(&mut cost, fleet, &view, &draft, at_ms);
    }
    cost.buffer_part = cost.buffer_instance_hours / (f64::from(machines.instances) * 24.0);
    cost
}

/// Counts one step of the planner's day.
fn count_planner(cost: &mut Cost, fleet: &Fleet, view: &View, draft: &Draft, at_ms: u64) {
    for (index, pool) in fleet.pools.iter().enumerate() {
        let able = draft
            .of_pool(&pool.name)
            .filter(|record| record.state == State::Serving && view.is_healthy(&record.name));
        let able = able.count() as u32;
        count_pool(cost, &fleet.pools, index, at_ms, able);
        // A lost rack may take a pool below its budget until the spare pool has filled the gap.
        const BACKFILL_MS: u64 = 60_000;
        let is_grace = is_rack_lost(at_ms) && at_ms < 8 * HOUR_MS + BACKFILL_MS;
        cost.below_budget_steps += u32::from(able < pool.budget && !is_grace && at_ms > 0);
    }
}

impl Backlog {
    /// Adds the work of a step, serves what `slots` can, and returns the work whose callers gave up.
    fn serve(&mut self, at_ms: u64, work: f64, slots: f64) -> f64 {
        self.0.push_back((at_ms, work));
        let mut served = slots * STEP_MS as f64 / 1000.0;
        while let Some((_, left)) = self.0.front_mut() {
            if *left > served {
                *left -= served;
                break;
            }
            served -= *left;
            self.0.pop_front();
        }
        let mut lost = 0.0;
        while let Some((came_ms, left)) = self.0.front().copied() {
            if came_ms + PATIENCE_MS > at_ms {
                break;
            }
            lost += left;
            self.0.pop_front();
        }
        lost
    }
}

/// Counts what a pool with `able` instances holds back, and what it can't meet.
fn count_pool(cost: &mut Cost, pools: &[Pool], index: usize, at_ms: u64, able: u32) {
    const SECONDS_PER_HOUR: f64 = 3600.0;
    let step_h = STEP_MS as f64 / HOUR_MS as f64;
    let capacity = f64::from(able * SLOTS);
    let sustained = sustained_at(pools, index, at_ms);
    let needed = (sustained.min(capacity) / f64::from(SLOTS)).ceil();
    cost.buffer_instance_hours += (f64::from(able) - needed).max(0.0) * step_h;
    let work = demand_at(pools, index, at_ms) * STEP_MS as f64 / 1000.0;
    let lost = cost
        .backlogs
        .entry(index)
        .or_default()
        .serve(at_ms, work, capacity);
    cost.unmet_slot_hours += lost / SECONDS_PER_HOUR;
}

/// Gives each pool instances for its own peak, at all times.
fn run_peak(name: &str, fleet: &Fleet) -> Cost {
    let mut cost = Cost {
        deployment: name.to_owned(),
        policy: "own peaks".to_owned(),
        ..Cost::default()
    };
    let peaks: Vec<u32> = (0..fleet.pools.len())
        .map(|index| {
            let demands = (0..DAY_MS)
                .step_by(STEP_MS as usize)
                .map(|at_ms| demand_at(&fleet.pools, index, at_ms));
            (demands.fold(0.0, f64::max) / f64::from(SLOTS)).ceil() as u32
        })
        .collect();
    cost.instances = peaks.iter().sum();
    for at_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
        for (index, peak) in peaks.iter().enumerate() {
            count_pool(&mut cost, &fleet.pools, index, at_ms, *peak);
        }
    }
    cost.buffer_part = cost.buffer_instance_hours / (f64::from(cost.instances) * 24.0);
    cost
}

/// Moves instances at once to where the demand of the moment is.
fn run_follower(name: &str, fleet: &Fleet, instances: u32) -> Cost {
    let mut cost = Cost {
        deployment: name.to_owned(),
        policy: "follows demand".to_owned(),
        instances,
        ..Cost::default()
    };
    let mut sizes: Vec<u32> = fleet.pools.iter().map(|pool| pool.size).collect();
    for at_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
        let demands: Vec<f64> = (0..sizes.len())
            .map(|index| demand_at(&fleet.pools, index, at_ms))
            .collect();
        let total: f64 = demands.iter().sum::<f64>().max(1.0);
        let wanted: Vec<u32> = demands
            .iter()
            .map(|demand| ((demand / total * f64::from(instances)) as u32).max(1))
            .collect();
        let gained: u32 = sizes
            .iter()
            .zip(&wanted)
            .map(|(old, new)| new.saturating_sub(*old))
            .sum();
        cost.moves += gained;
        sizes = wanted;
        for (index, size) in sizes.iter().enumerate() {
            count_pool(&mut cost, &fleet.pools, index, at_ms, *size);
        }
    }
    cost.buffer_part = cost.buffer_instance_hours / (f64::from(instances) * 24.0);
    cost
}
