use super::Parameters;
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

/// The cost of one policy for sizing the pools over a simulated day.
#[derive(Debug, Default, Serialize)]
struct Cost {
    deployment: String,
    policy: String,
    instances: u32,
    buffer_instance_hours: f64,
    #[serde(rename = "buffer_part")]
    buffer_fraction: f64,
    moves: u32,
    /// The work of requests that waited longer than [`MAX_WAIT_MS`], in slot hours.
    unmet_slot_hours: f64,
    #[serde(skip)]
    backlogs: BTreeMap<usize, Backlog>,
    below_budget_steps: u32,
}

/// The waiting work of one pool: pairs of arrival time in milliseconds and remaining slot seconds.
#[derive(Debug, Default)]
struct Backlog(VecDeque<(u64, f64)>);

/// The longest time that a caller waits for a slot, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
const STEP_MS: u64 = 10_000;
const DAY_MS: u64 = 24 * 3_600_000;
const HOUR_MS: u64 = 3_600_000;
const START_MS: u64 = 1_800_000_000_000;
const SLOTS: u32 = 8;

/// Compares the planner with two baselines over a simulated day of demand and failures: pools sized
/// for their own peaks, and a policy that follows demand immediately.
pub(crate) fn capacity(_parameters: &Parameters) -> Result<bool, Error> {
    let mut costs = Vec::new();
    let mut has_passed = true;
    for name in ["kilwa", "noor-e-yaad"] {
        let path = format!("settings/{name}.ini");
        let text = std::fs::read_to_string(&path).context(FileSnafu { path: &path })?;
        let fleet = Fleet::parse(&path, &text).context(ConfigSnafu)?;
        let machines =
            Machines::read(&format!("settings/{name}.fleet.ini")).context(ConfigSnafu)?;
        let shared = run_planner(name, &fleet, &machines);
        let peak = run_peak(name, &fleet);
        let follower = run_follower(name, &fleet, machines.instances);
        has_passed &= shared.buffer_instance_hours <= peak.buffer_instance_hours / 2.0;
        has_passed &= f64::from(shared.moves) <= f64::from(follower.moves) / 10.0;
        has_passed &= shared.unmet_slot_hours <= peak.unmet_slot_hours + 1e-9;
        has_passed &= shared.below_budget_steps == 0;
        costs.extend([shared, peak, follower]);
    }
    let header = [
        "deployment",
        "policy",
        "instances",
        "buffer h",
        "buffer fraction",
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
            format!("{:.1}%", cost.buffer_fraction * 100.0),
            cost.moves.to_string(),
            format!("{:.2}", cost.unmet_slot_hours),
            cost.below_budget_steps.to_string(),
        ]
    });
    print_rows(&header, rows);
    write_json("capacity", &costs)?;
    Ok(has_passed)
}

/// Returns a pool's demand at a time, in slots: the pools take turns with bursts of ten seconds, on
/// top of a mean that stays raised for hours.
fn demand_at(pools: &[Pool], index: usize, at_ms: u64) -> f64 {
    const MEAN_UTILIZATION: f64 = 0.24;
    const BURST_FACTOR: f64 = 5.0;
    const IDLE_FACTOR: f64 = 0.05;
    let pool = &pools[index];
    let bursting = (at_ms / STEP_MS) as usize % pools.len();
    let factor = if bursting == index {
        BURST_FACTOR
    } else {
        IDLE_FACTOR
    };
    f64::from(pool.size * SLOTS) * MEAN_UTILIZATION * factor * busy_factor(pools, index, at_ms)
}

/// Returns the factor on a pool's mean demand. Each pool in turn has three busy hours a day, in
/// which it needs more than its configured size; the spare pool, which borrows from no other pool,
/// only uses up its own.
fn busy_factor(pools: &[Pool], index: usize, at_ms: u64) -> f64 {
    const SPARE_BUSY_FACTOR: f64 = 3.0;
    const POOL_BUSY_FACTOR: f64 = 4.0;
    let is_spare = index + 1 == pools.len();
    let busy = if is_spare {
        SPARE_BUSY_FACTOR
    } else {
        POOL_BUSY_FACTOR
    };
    const BUSY_HOURS: u64 = 3;
    let hour = at_ms / HOUR_MS;
    let from = 2 + 4 * index as u64;
    if (from..from + BUSY_HOURS).contains(&hour) {
        busy
    } else {
        1.0
    }
}

/// Returns the mean demand over the round of bursts around a time, which is the demand that
/// queueing cannot defer.
fn sustained_at(pools: &[Pool], index: usize, at_ms: u64) -> f64 {
    let round = pools.len() as u64;
    let from = at_ms / STEP_MS / round * round;
    let sum: f64 = (from..from + round)
        .map(|step| demand_at(pools, index, step * STEP_MS))
        .sum();
    sum / round as f64
}

/// Returns whether the rack that fails from 08:00 to 08:30 is down.
fn is_rack_down(at_ms: u64) -> bool {
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
        let is_down = rack == 1 && is_rack_down(at_ms);
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

/// Returns the report of an entry that receives all demand and queues no request.
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
    let mut pool_by_instance: BTreeMap<String, String> = BTreeMap::new();
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
            let old = pool_by_instance.insert(record.name.clone(), record.pool.clone());
            cost.moves += u32::from(old.is_some_and(|old| old != record.pool));
        }
        record_step(&mut cost, fleet, &view, &draft, at_ms);
    }
    cost.buffer_fraction = cost.buffer_instance_hours / (f64::from(machines.instances) * 24.0);
    cost
}

/// Adds one step of the planner's simulated day to the cost.
fn record_step(cost: &mut Cost, fleet: &Fleet, view: &View, draft: &Draft, at_ms: u64) {
    for (index, pool) in fleet.pools.iter().enumerate() {
        let available = draft
            .of_pool(&pool.name)
            .filter(|record| record.state == State::Serving && view.is_healthy(&record.name));
        let available = available.count() as u32;
        record_pool(cost, &fleet.pools, index, at_ms, available);
        // A failed rack may take a pool below its budget until the spare pool has backfilled it.
        const BACKFILL_MS: u64 = 60_000;
        let is_backfilling = is_rack_down(at_ms) && at_ms < 8 * HOUR_MS + BACKFILL_MS;
        cost.below_budget_steps +=
            u32::from(available < pool.budget && !is_backfilling && at_ms > 0);
    }
}

impl Backlog {
    /// Adds the work of a step, serves as much as `slots` slots can, and returns the work that
    /// expired.
    fn serve(&mut self, at_ms: u64, work: f64, slots: f64) -> f64 {
        self.0.push_back((at_ms, work));
        let mut served = slots * STEP_MS as f64 / 1000.0;
        while let Some((_, remaining)) = self.0.front_mut() {
            if *remaining > served {
                *remaining -= served;
                break;
            }
            served -= *remaining;
            self.0.pop_front();
        }
        let mut expired = 0.0;
        while let Some((arrived_ms, remaining)) = self.0.front().copied() {
            if arrived_ms + MAX_WAIT_MS > at_ms {
                break;
            }
            expired += remaining;
            self.0.pop_front();
        }
        expired
    }
}

/// Adds the unused instances and the unmet demand of a pool with `available` instances to the cost.
fn record_pool(cost: &mut Cost, pools: &[Pool], index: usize, at_ms: u64, available: u32) {
    const SECONDS_PER_HOUR: f64 = 3600.0;
    let step_h = STEP_MS as f64 / HOUR_MS as f64;
    let capacity = f64::from(available * SLOTS);
    let sustained = sustained_at(pools, index, at_ms);
    let required = (sustained.min(capacity) / f64::from(SLOTS)).ceil();
    cost.buffer_instance_hours += (f64::from(available) - required).max(0.0) * step_h;
    let work = demand_at(pools, index, at_ms) * STEP_MS as f64 / 1000.0;
    let expired = cost
        .backlogs
        .entry(index)
        .or_default()
        .serve(at_ms, work, capacity);
    cost.unmet_slot_hours += expired / SECONDS_PER_HOUR;
}

/// Runs the baseline in which each pool always has enough instances for its own peak.
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
            record_pool(&mut cost, &fleet.pools, index, at_ms, *peak);
        }
    }
    cost.buffer_fraction = cost.buffer_instance_hours / (f64::from(cost.instances) * 24.0);
    cost
}

/// Runs the baseline that moves instances immediately in proportion to the current demand.
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
            record_pool(&mut cost, &fleet.pools, index, at_ms, *size);
        }
    }
    cost.buffer_fraction = cost.buffer_instance_hours / (f64::from(instances) * 24.0);
    cost
}
