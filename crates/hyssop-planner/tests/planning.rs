//! Two planners, an operator and a faulty store: no pool falls below its budget, only the planner
//! with the lease writes, and the fleet converges once the faults end.

#![allow(clippy::unwrap_used)]

use hyssop_config::settings::Process;
use hyssop_event::Recorder;
use hyssop_model::clock::{Clock, Manual};
use hyssop_model::config::{Head, Version};
use hyssop_model::entry::{Id, Member, Phase, Record};
use hyssop_model::instance::{self, State};
use hyssop_model::intent::{Drain, Phase as WavePhase, Scope, Wave};
use hyssop_model::{lease, pool};
use hyssop_planner::daemon::{Platform, Region};
use hyssop_planner::reports::Source;
use hyssop_planner::status::Metrics;
use hyssop_platform::fake::{Fault, Store};
use hyssop_platform::object::Object;
use hyssop_platform::roster::{Listing, Presence, Roster};
use hyssop_platform::table::{read_one, Condition, Row, Table, Transaction};
use hyssop_platform::worker::{Signal, Start, Usage, Worker};
use hyssop_platform::{keys, Error};
use hyssop_policy::plan::Report;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const REGION: &str = "test";
const FLEET: &str = "[fleet]\nspare = clerks\n[pool permits]\nsize = 5\nbudget = 3\n[pool clerks]\nsize = 5\nbudget = 3\n";
const INSTANCES: u32 = 10;
const BUDGET: usize = 3;
const ENTRY: &str = "entry-1";

fn process(name: &str) -> Process {
    Process {
        name: name.to_owned(),
        region: REGION.to_owned(),
        data_centre: "dc".to_owned(),
        platform: "http://127.0.0.1:1".to_owned(),
        platform_timeout: Duration::from_secs(1),
        lease: Duration::from_secs(6),
        lease_margin: Duration::from_secs(1),
        poll: Duration::from_millis(250),
        log: "warn".to_owned(),
    }
}

/// A roster whose instances the tests reboot and remove.
#[derive(Default)]
struct FakeRoster {
    boots: Mutex<BTreeMap<u32, u64>>,
    gone: Mutex<BTreeSet<u32>>,
}

impl Roster for FakeRoster {
    fn list(&self) -> Result<Vec<Listing>, Error> {
        let boots = self.boots.lock().unwrap();
        let gone = self.gone.lock().unwrap();
        let listing = |number: u32| Listing {
            key: instance::Key(number),
            name: format!("i-{number:04}"),
            address: format!("127.0.0.1:{number}"),
            rack: format!("rack-{number}"),
            data_centre: "dc".to_owned(),
            slots: 8,
            connections: 64,
            presence: if gone.contains(&number) {
                Presence::Gone
            } else {
                Presence::Live
            },
            boots: 1 + boots.get(&number).copied().unwrap_or(0),
        };
        Ok((0..INSTANCES).map(listing).collect())
    }

    fn own_instances(&self) -> Result<Vec<String>, Error> {
        Ok(vec![ENTRY.to_owned()])
    }

    fn reboot(&self, name: &str) -> Result<(), Error> {
        let number = name.trim_start_matches("i-").parse().unwrap();
        *self.boots.lock().unwrap().entry(number).or_default() += 1;
        Ok(())
    }
}

/// A platform without workers.
struct NoWorkers;

impl Worker for NoWorkers {
    fn list(&self) -> Result<Vec<hyssop_model::job::Worker>, Error> {
        Ok(Vec::new())
    }

    fn start(&self, _start: &Start) -> Result<(), Error> {
        Err(Error::Throttled)
    }

    fn signal(&self, _worker: &str, _task: &str, _signal: Signal) -> Result<(), Error> {
        Ok(())
    }

    fn usage(&self) -> Result<Vec<Usage>, Error> {
        Ok(Vec::new())
    }
}

/// Entries that always have the newest rows and no requests in progress.
#[derive(Default)]
struct IdleEntries;

impl Source for IdleEntries {
    fn fetch(&self, entries: &[Record]) -> BTreeMap<String, Report> {
        let report = Report {
            revision: u64::MAX,
            ..Report::default()
        };
        entries
            .iter()
            .map(|entry| (entry.member.name.clone(), report.clone()))
            .collect()
    }
}

/// A table that asserts that the planner holds the lease whenever it commits a write.
struct LeaseCheckedTable {
    store: Arc<Store>,
    incarnation: u64,
}

impl Table for LeaseCheckedTable {
    fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, Error> {
        self.store.read(keys)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.store.scan(prefix)
    }

    fn commit(&self, transaction: &Transaction) -> Result<(), Error> {
        let lease_key = keys::planner(REGION);
        let holder_row = read_one(self.store.as_ref(), &lease_key).ok().flatten();
        let holder = holder_row.map(|row| row.parse::<lease::Record>().unwrap().incarnation);
        let result = self.store.commit(transaction);
        let writes_lease = transaction
            .writes
            .iter()
            .any(|write| write.key == lease_key);
        let took_effect = matches!(result, Ok(()) | Err(Error::Lost { .. }));
        if took_effect && !writes_lease {
            assert_eq!(
                holder,
                Some(self.incarnation),
                "a planner wrote rows without holding the lease"
            );
        }
        result
    }
}

/// Two planners of one region, with their clock, store and roster.
struct Cluster {
    clock: Arc<Manual>,
    store: Arc<Store>,
    roster: Arc<FakeRoster>,
    planners: Vec<Region>,
}

impl Cluster {
    fn new() -> Self {
        let clock = Arc::new(Manual::default());
        let store = Arc::new(Store::default());
        let roster = Arc::new(FakeRoster::default());
        insert_initial_rows(&store);
        let planners = (1..=2).map(|number| {
            let name = format!("planner-{number}");
            let platform = Platform {
                table: Arc::new(LeaseCheckedTable {
                    store: store.clone(),
                    incarnation: number,
                }),
                objects: store.clone(),
                roster: roster.clone(),
                workers: Arc::new(NoWorkers),
            };
            let recorder = Recorder::new(&name, clock.clone());
            let metrics = Arc::new(Metrics::new());
            let reports = Box::new(IdleEntries);
            Region::new(
                &process(&name),
                clock.clone(),
                platform,
                reports,
                recorder,
                metrics,
                number,
            )
        });
        let mut cluster = Self {
            planners: planners.collect(),
            clock,
            store,
            roster,
        };
        for _ in 0..5 {
            cluster.step(0);
            cluster.advance(1100);
        }
        cluster
    }

    fn step(&mut self, planner: usize) {
        self.planners[planner].run_once();
    }

    fn advance(&mut self, ms: u64) {
        self.clock.advance(Duration::from_millis(ms));
    }

    fn instances(&self) -> Vec<instance::Record> {
        let rows = self.store.scan(&keys::instances(REGION)).unwrap();
        rows.iter().map(|row| row.parse().unwrap()).collect()
    }

    /// Commits an operator's command, as an entry does.
    fn commit_as_operator(&self, build: impl FnOnce(Transaction) -> Transaction) {
        // This may fail while the store is down; an operator would retry.
        let _ = self.store.commit(&build(Transaction::new("operator")));
    }

    fn drain(&self, number: u32) {
        let name = format!("i-{number:04}");
        let drain = Drain {
            instance: name.clone(),
            author: "test".to_owned(),
            asked_ms: 0,
        };
        self.commit_as_operator(|transaction| transaction.put(&keys::drain(REGION, &name), &drain));
    }

    fn undrain(&self, number: u32) {
        let key = keys::drain(REGION, &format!("i-{number:04}"));
        self.commit_as_operator(|transaction| transaction.delete(&key));
    }

    fn start_wave(&self) {
        let wave = Wave {
            scope: Scope::All,
            phase: WavePhase::Running,
            author: "test".to_owned(),
            started_ms: self.clock.wall_ms(),
            deadline_ms: u64::MAX,
        };
        self.commit_as_operator(|transaction| transaction.put(&keys::wave(REGION), &wave));
    }

    /// Asserts that each pool has enough serving instances for its budget, and that exactly the
    /// instances that aren't serving have a disruption ticket.
    fn assert_budgets_and_tickets(&self) {
        if self.store.scan("").is_err() {
            return;
        }
        let instances = self.instances();
        for name in ["permits", "clerks"] {
            let serving = instances
                .iter()
                .filter(|record| record.pool == name && record.state == State::Serving);
            let serving = serving.count();
            assert!(
                serving >= BUDGET,
                "pool {name} has only {serving} serving instances"
            );
            let row = read_one(self.store.as_ref(), &keys::pool(REGION, name)).unwrap();
            let tickets = row
                .map_or(pool::Record::default(), |row| row.parse().unwrap())
                .tickets;
            for record in instances.iter().filter(|record| record.pool == name) {
                let has_ticket = tickets.contains_key(&record.name);
                let is_disrupted = record.state != State::Serving;
                assert_eq!(
                    has_ticket, is_disrupted,
                    "ticket of {} doesn't match its state {}",
                    record.name, record.state
                );
            }
        }
    }
}

/// Writes the rows of a serving entry and of an accepted configuration.
fn insert_initial_rows(store: &Store) {
    store.put("first", FLEET).unwrap();
    let entry = Record {
        member: Member {
            id: Id(1),
            name: ENTRY.to_owned(),
            address: String::new(),
            peer_address: String::new(),
            data_centre: "dc".to_owned(),
        },
        phase: Phase::Serving,
        expires_ms: u64::MAX,
        held_version: 1,
        config_version: 1,
        is_handed_over: false,
    };
    let config = Head {
        accepted: Version {
            number: 1,
            object: "first".to_owned(),
            ..Version::default()
        },
        proposed: None,
        last_number: 1,
    };
    let transaction = Transaction::new("fill")
        .require(Condition::absent(keys::CONFIG))
        .put(&keys::entry(REGION, ENTRY), &entry)
        .put(keys::CONFIG, &config);
    store.commit(&transaction).unwrap();
}

#[derive(Clone, Debug)]
enum Op {
    Step(usize),
    Advance(u64),
    Drain(u32),
    Undrain(u32),
    StartWave,
    Fault(Fault),
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..2usize).prop_map(Op::Step),
        6 => prop_oneof![50..1000u64, 5000..9000u64].prop_map(Op::Advance),
        3 => (0..INSTANCES).prop_map(Op::Drain),
        2 => (0..INSTANCES).prop_map(Op::Undrain),
        1 => Just(Op::StartWave),
        2 => prop_oneof![
            Just(Fault::None),
            Just(Fault::Down),
            Just(Fault::LoseAnswers),
            Just(Fault::LoseSomeAnswers)
        ].prop_map(Op::Fault),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    #[test]
    fn budgets_hold_and_fleet_converges(ops in proptest::collection::vec(any_op(), 1..120)) {
        let mut cluster = Cluster::new();
        for op in ops {
            match op {
                Op::Step(planner) => cluster.step(planner),
                Op::Advance(ms) => cluster.advance(ms),
                Op::Drain(number) => cluster.drain(number),
                Op::Undrain(number) => cluster.undrain(number),
                Op::StartWave => cluster.start_wave(),
                Op::Fault(fault) => cluster.store.set_fault(fault),
            }
            cluster.assert_budgets_and_tickets();
        }
        cluster.store.set_fault(Fault::None);
        for number in 0..INSTANCES {
            cluster.undrain(number);
        }
        cluster.start_wave();
        let wave_started_ms = cluster.clock.wall_ms();
        for _ in 0..120 {
            cluster.step(0);
            cluster.step(1);
            cluster.advance(1100);
            cluster.assert_budgets_and_tickets();
        }
        for record in cluster.instances() {
            prop_assert_eq!(record.state, State::Serving, "{} did not return to service", record.name);
            prop_assert!(record.maintained_ms >= wave_started_ms, "{} was not maintained by the wave", record.name);
        }
    }
}

#[test]
fn new_instances_fill_the_pools_to_their_sizes() {
    let cluster = Cluster::new();
    let instances = cluster.instances();
    assert_eq!(instances.len(), INSTANCES as usize);
    let permits = instances.iter().filter(|record| record.pool == "permits");
    assert_eq!(permits.count(), 5);
}

#[test]
fn no_maintenance_while_failures_use_up_the_budget() {
    let mut cluster = Cluster::new();
    let instances: Vec<instance::Record> = cluster.instances();
    let permits = instances.iter().filter(|record| record.pool == "permits");
    // Two of five instances are gone, so the remaining three are the minimum of the budget.
    let gone: Vec<u32> = permits.take(2).map(|record| record.key.0).collect();
    cluster
        .roster
        .gone
        .lock()
        .unwrap()
        .extend(gone.iter().copied());
    cluster.advance(1100);
    cluster.start_wave();
    for _ in 0..10 {
        cluster.step(0);
        cluster.advance(1100);
    }
    let disrupted = cluster.instances().into_iter().filter(|record| {
        let is_live = !gone.contains(&record.key.0);
        record.pool == "permits" && is_live && record.state != State::Serving
    });
    assert_eq!(
        disrupted.count(),
        0,
        "instances were disrupted below the budget"
    );
}

#[test]
fn other_planner_acquires_expired_lease_and_paused_planner_writes_nothing() {
    let mut cluster = Cluster::new();
    cluster.drain(0);
    cluster.advance(7000);
    cluster.step(1);
    for _ in 0..4 {
        cluster.step(1);
        cluster.step(0);
        cluster.advance(300);
    }
    let drained = cluster
        .instances()
        .into_iter()
        .find(|record| record.key.0 == 0)
        .unwrap();
    assert_eq!(drained.state, State::Out);
}
