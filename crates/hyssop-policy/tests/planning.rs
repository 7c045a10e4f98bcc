//! The planner: budgets, sustained demand and moves between pools.

#![allow(clippy::unwrap_used)]

mod support;

use hyssop_config::fleet::Fleet;
use hyssop_model::instance::{self, Cause, State};
use hyssop_model::intent::{Phase, Scope, Wave};
use hyssop_platform::roster::{Listing, Presence};
use hyssop_policy::plan::{Draft, Planner, Report, View};
use hyssop_wire::demand;
use std::collections::{BTreeMap, BTreeSet};
use support::instance;

const FLEET: &str = "[fleet]\nspare = clerks\n[pool permits]\nsize = 6\nbudget = 3\n[pool clerks]\nsize = 6\nbudget = 3\n";
const SLOTS: u32 = 8;
const STEP_MS: u64 = 10_000;

/// A simulated fleet of twelve instances, one per rack, with an entry that reports the demand that
/// the test sets.
struct Simulation {
    planner: Planner,
    draft: Draft,
    wall_ms: u64,
    demand_slots: u32,
    gone: BTreeSet<u32>,
    wave: Option<Wave>,
    moves: usize,
}

impl Simulation {
    fn new() -> Self {
        let record = |number: u32| {
            let pool = if number < 6 { "permits" } else { "clerks" };
            let mut record = instance(number, pool, SLOTS);
            record.rack = format!("rack-{number}");
            (record.name.clone(), record)
        };
        Self {
            planner: Planner::default(),
            draft: Draft::new((0..12).map(record).collect(), BTreeMap::new()),
            wall_ms: 1_800_000_000_000,
            demand_slots: 0,
            gone: BTreeSet::new(),
            wave: None,
            moves: 0,
        }
    }

    fn view(&self) -> View {
        let listing = |record: &instance::Record| Listing {
            key: record.key,
            name: record.name.clone(),
            address: record.address.clone(),
            rack: record.rack.clone(),
            data_centre: record.data_centre.clone(),
            slots: record.slots,
            connections: record.connections,
            presence: if self.gone.contains(&record.key.0) {
                Presence::Gone
            } else {
                Presence::Live
            },
            boots: 1,
        };
        let flow = demand::Flow {
            queue: "default".to_owned(),
            waiting: [0; 3],
            in_flight: self.demand_slots,
        };
        let report = Report {
            revision: u64::MAX,
            demand: Some(demand::Report {
                pools: vec![demand::Pool {
                    pool: "permits".to_owned(),
                    usable: 48,
                    oldest_ms: 0,
                    flows: vec![flow],
                }],
            }),
            ..Report::default()
        };
        let roster = self.draft.instances.values().map(listing);
        View {
            wall_ms: self.wall_ms,
            fleet: Fleet::parse("fleet.ini", FLEET).unwrap(),
            drains: BTreeMap::new(),
            wave: self.wave.clone(),
            roster: roster
                .map(|listing| (listing.name.clone(), listing))
                .collect(),
            reports: BTreeMap::from([("entry-1".to_owned(), report)]),
            may_serve: BTreeSet::from(["entry-1".to_owned()]),
        }
    }

    fn step(&mut self) {
        let view = self.view();
        let mut draft = Draft::new(self.draft.instances.clone(), self.draft.pools.clone());
        self.planner.step(&view, &mut draft);
        let moving = |draft: &Draft| {
            draft
                .instances
                .values()
                .filter(|record| record.moving_to.is_some())
                .count()
        };
        self.moves += moving(&draft).saturating_sub(moving(&self.draft));
        self.draft = draft;
        self.wall_ms += STEP_MS;
    }

    fn steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }

    fn start_wave(&mut self) {
        self.wave = Some(Wave {
            scope: Scope::All,
            phase: Phase::Running,
            author: "test".to_owned(),
            started_ms: self.wall_ms,
            deadline_ms: u64::MAX,
        });
    }

    fn serving(&self, pool: &str) -> usize {
        let serving = self
            .draft
            .of_pool(pool)
            .filter(|record| record.state == State::Serving);
        serving.count()
    }
}

#[test]
fn maintenance_waits_while_demand_needs_every_instance() {
    let mut simulation = Simulation::new();
    simulation.demand_slots = 47;
    simulation.steps(120);
    let before = simulation.serving("permits");
    simulation.start_wave();
    simulation.steps(3);
    let disrupted = simulation
        .draft
        .of_pool("permits")
        .filter(|record| record.cause == Some(Cause::Maintenance));
    assert!(
        simulation.serving("permits") * SLOTS as usize > 47,
        "too few instances serve; {before} served before the wave"
    );
    assert!(
        disrupted.count() <= before - 6,
        "maintenance drained instances that the demand needs"
    );
}

#[test]
fn bursts_of_seconds_cause_no_moves() {
    let mut simulation = Simulation::new();
    for _ in 0..200 {
        simulation.demand_slots = 100;
        simulation.step();
        simulation.demand_slots = 2;
        simulation.steps(5);
    }
    assert_eq!(simulation.moves, 0);
}

#[test]
fn sustained_demand_moves_an_instance_until_it_falls() {
    let mut simulation = Simulation::new();
    simulation.demand_slots = 45;
    simulation.steps(100);
    assert!(
        simulation.serving("permits") > 6,
        "no instance moved to the busy pool"
    );
    simulation.demand_slots = 2;
    simulation.steps(300);
    assert_eq!(
        simulation.serving("permits"),
        6,
        "the pool kept surplus instances"
    );
}

#[test]
fn backfills_lost_instances_without_delay() {
    let mut simulation = Simulation::new();
    simulation.step();
    simulation.gone.extend([0, 1, 2, 3]);
    simulation.steps(6);
    let view = simulation.view();
    let available = simulation
        .draft
        .of_pool("permits")
        .filter(|record| record.state == State::Serving && view.is_healthy(&record.name));
    assert!(
        available.count() >= 4,
        "the pool has fewer instances than its budget and one rack need"
    );
}
