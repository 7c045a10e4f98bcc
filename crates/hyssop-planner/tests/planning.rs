//! Planners, operators and a faulty store: budgets hold, no lapsed planner writes, all settles.

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

/// Is the platform's list of instances, which the test changes.
#[derive(Default)]
struct Machines {
    boots: Mutex<BTreeMap<u32, u64>>,
    gone: Mutex<BTreeSet<u32>>,
}

impl Roster for Machines {
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

/// Is a platform without workers.
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

/// Is an entry that always knows the newest rows and has nothing in progress.
#[derive(Default)]
struct IdleEntry;

impl Source for IdleEntry {
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

/// Passes calls on, and checks that a planner's write holds the lease at its commit.
struct Watched {
    store: Arc<Store>,
    incarnation: u64,
}

impl Table for Watched {
    fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, Error> {
        self.store.read(keys)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.store.scan(prefix)
    }

    fn commit(&self, transaction: &Transaction) -> Result<(), Error> {
        let lease_key = keys::planner(REGION);
        let holder = read_one(self.store.as_ref(), &lease_key).ok().flatten();
        let holder = holder.map(|row| row.parse::<lease::Record>().unwrap().incarnation);
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
                "a planner without the lease wrote a row"
            );
        }
        result
    }
}

struct Group {
    clock: Arc<Manual>,
    store: Arc<Store>,
    machines: Arc<Machines>,
    planners: Vec<Region>,
}

impl Group {
    fn new() -> Self {
        let clock = Arc::new(Manual::default());
        let store = Arc::new(Store::default());
        let machines = Arc::new(Machines::default());
        fill(&store);
        let planners = (1..=2).map(|number| {
            let name = format!("planner-{number}");
            let platform = Platform {
                table: Arc::new(Watched {
                    store: store.clone(),
                    incarnation: number,
                }),
                objects: store.clone(),
                roster: machines.clone(),
                workers: Arc::new(NoWorkers),
            };
            let recorder = Recorder::new(&name, clock.clone());
            let metrics = Arc::new(Metrics::new());
            let reports = Box::new(IdleEntry);
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
        let mut group = Self {
            planners: planners.collect(),
            clock,
            store,
            machines,
        };
        for _ in 0..5 {
            group.step(0);
            group.pass(1100);
        }
        group
    }

    fn step(&mut self, planner: usize) {
        self.planners[planner].run_once();
    }

    fn pass(&mut self, ms: u64) {
        self.clock.advance(Duration::from_millis(ms));
    }

    fn instances(&self) -> Vec<instance::Record> {
        let rows = self.store.scan(&keys::instances(REGION)).unwrap();
        rows.iter().map(|row| row.parse().unwrap()).collect()
    }

    /// Runs an operator's command against the rows, as an entry does.
    fn operate(&self, build: impl FnOnce(Transaction) -> Transaction) {
        // It may fail while the store is down; the operator would repeat it.
        let _ = self.store.commit(&build(Transaction::new("operator")));
    }

    fn drain(&self, number: u32) {
        let name = format!("i-{number:04}");
        let drain = Drain {
            instance: name.clone(),
            author: "test".to_owned(),
            asked_ms: 0,
        };
        self.operate(|transaction| transaction.put(&keys::drain(REGION, &name), &drain));
    }

    fn undrain(&self, number: u32) {
        let key = keys::drain(REGION, &format!("i-{number:04}"));
        self.operate(|transaction| transaction.delete(&key));
    }

    fn start_wave(&self) {
        let wave = Wave {
            scope: Scope::All,
            phase: WavePhase::Running,
            author: "test".to_owned(),
            started_ms: self.clock.wall_ms(),
            deadline_ms: u64::MAX,
        };
        self.operate(|transaction| transaction.put(&keys::wave(REGION), &wave));
    }

    fn assert_promises(&self) {
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
                "pool {name} has {serving} serving instances"
            );
            let row = read_one(self.store.as_ref(), &keys::pool(REGION, name)).unwrap();
            let tickets = row
                .map_or(pool::Record::default(), |row| row.parse().unwrap())
                .tickets;
            for record in instances.iter().filter(|record| record.pool == name) {
                let has_ticket = tickets.contains_key(&record.name);
                let is_disturbed = record.state != State::Serving;
                assert_eq!(
                    has_ticket, is_disturbed,
                    "{} is {}",
                    record.name, record.state
                );
            }
        }
    }
}

/// Writes an entry that serves and a configuration in force.
fn fill(store: &Store) {
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
    Pass(u64),
    Drain(u32),
    Undrain(u32),
    Wave,
    Fault(Fault),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..2usize).prop_map(Op::Step),
        6 => prop_oneof![50..1000u64, 5000..9000u64].prop_map(Op::Pass),
        3 => (0..INSTANCES).prop_map(Op::Drain),
        2 => (0..INSTANCES).prop_map(Op::Undrain),
        1 => Just(Op::Wave),
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
    fn budgets_hold_and_everything_settles(ops in proptest::collection::vec(op(), 1..120)) {
        let mut group = Group::new();
        for op in ops {
            match op {
                Op::Step(planner) => group.step(planner),
                Op::Pass(ms) => group.pass(ms),
                Op::Drain(number) => group.drain(number),
                Op::Undrain(number) => group.undrain(number),
                Op::Wave => group.start_wave(),
                Op::Fault(fault) => group.store.set_fault(fault),
            }
            group.assert_promises();
        }
        group.store.set_fault(Fault::None);
        for number in 0..INSTANCES {
            group.undrain(number);
        }
        group.start_wave();
        let wave_started_ms = group.clock.wall_ms();
        for _ in 0..120 {
            group.step(0);
            group.step(1);
            group.pass(1100);
            group.assert_promises();
        }
        for record in group.instances() {
            prop_assert_eq!(record.state, State::Serving, "{} is stuck", record.name);
            prop_assert!(record.maintained_ms >= wave_started_ms, "{} was not maintained", record.name);
        }
    }
}

#[test]
fn new_instances_are_spread_over_the_pools() {
    let group = Group::new();
    let instances = group.instances();
    assert_eq!(instances.len(), INSTANCES as usize);
    let permits = instances.iter().filter(|record| record.pool == "permits");
    assert_eq!(permits.count(), 5);
}

#[test]
fn failures_stop_maintenance_by_themselves() {
    let mut group = Group::new();
    let names: Vec<instance::Record> = group.instances();
    let permits = names.iter().filter(|record| record.pool == "permits");
    // Two of five are gone, so three are left: the budget.
    let gone: Vec<u32> = permits.take(2).map(|record| record.key.0).collect();
    group
        .machines
        .gone
        .lock()
        .unwrap()
        .extend(gone.iter().copied());
    group.pass(1100);
    group.start_wave();
    for _ in 0..10 {
        group.step(0);
        group.pass(1100);
    }
    let disturbed = group.instances().into_iter().filter(|record| {
        let is_live = !gone.contains(&record.key.0);
        record.pool == "permits" && is_live && record.state != State::Serving
    });
    assert_eq!(disturbed.count(), 0, "maintenance went on below the budget");
}

#[test]
fn a_paused_planner_is_followed_by_the_other_and_writes_nothing() {
    let mut group = Group::new();
    group.drain(0);
    group.pass(7000);
    group.step(1);
    for _ in 0..4 {
        group.step(1);
        group.step(0);
        group.pass(300);
    }
    let drained = group
        .instances()
        .into_iter()
        .find(|record| record.key.0 == 0)
        .unwrap();
    assert_eq!(drained.state, State::Out);
}
