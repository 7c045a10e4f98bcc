//! Moves of instances between pools, and their maintenance.

use hyssop_model::work::{Condition, Instance, Resources, Wave};
use hyssop_platform::dialect::Transfer;
use hyssop_platform::rows::{decode, encode};
use hyssop_policy::fleet::{Decision, ExpectedStop, Fleet, Progress, Settings, StoppedWorker};
use hyssop_policy::owner::{Demand, Load};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const CORE: u64 = 1_000;
/// The incarnation of every worker.
const BORN: i64 = 1_000;

fn instance(name: &str, pool: &str, condition: Condition) -> Instance {
    Instance {
        name: name.to_owned(),
        pool: pool.to_owned(),
        condition,
        data_centre: "a".to_owned(),
        labels: Vec::new(),
        capacity: Resources {
            cpu: 16 * CORE,
            memory: 1,
            accelerators: 0,
        },
        worker: (pool != "spare").then(|| format!("w-{name}")),
    }
}

/// A fleet of two pools of four instances each and two spare instances.
struct Fixture {
    fleet: Fleet,
    instances: Vec<Instance>,
    now: Duration,
    /// The cores that the runs of each reported pool reserve.
    running_cores: u64,
    /// The number of workers over which a pool's long-running tasks have to be spread.
    spread: u32,
    /// The number of long-running tasks on each instance.
    long_running_per_instance: u32,
    /// Whether the owners release every worker for disruption with its long-running tasks.
    is_every_worker_released: bool,
}

impl Fixture {
    fn new() -> Self {
        let mut instances = Vec::new();
        for pool in ["a", "b"] {
            for number in 0..4 {
                instances.push(instance(&format!("{pool}{number}"), pool, Condition::Up));
            }
        }
        instances.push(instance("s0", "spare", Condition::Up));
        instances.push(instance("s1", "spare", Condition::Up));
        let mut fleet = Fleet::new(Settings::default(), BTreeMap::new(), BTreeMap::new());
        fleet.set_spare_pools(BTreeSet::from(["spare".to_owned()]));
        let mut fixture = Self {
            fleet,
            instances,
            now: Duration::from_secs(10),
            running_cores: 0,
            spread: 0,
            long_running_per_instance: 0,
            is_every_worker_released: false,
        };
        fixture.refresh_list();
        fixture
    }

    fn refresh_list(&mut self) {
        self.fleet
            .on_instance_list(self.instances.clone(), self.now);
    }

    /// Reports the demand of a pool: `waiting` cores of waiting tasks, runs on the `busy` instances,
    /// and the instances whose workers are evacuating.
    fn report_demand(&mut self, pool: &str, waiting: u64, busy: &[&str], evacuating: &[&str]) {
        let loads = self
            .instances
            .iter()
            .filter(|instance| instance.pool == pool && instance.condition == Condition::Up)
            .map(|instance| Load {
                worker: format!("w-{}", instance.name),
                incarnation: Some(BORN),
                instance: instance.name.clone(),
                runs: u32::from(busy.contains(&instance.name.as_str())),
                long_running: self.long_running_per_instance,
                cpu: 0,
                is_responsive: true,
                has_unknown_runs: false,
                is_released_for_disruption: self.is_every_worker_released,
                is_evacuating: evacuating.contains(&instance.name.as_str()),
            })
            .collect();
        let demand = Demand {
            pool: pool.to_owned(),
            waiting: Resources {
                cpu: waiting * CORE,
                ..Resources::default()
            },
            running: Resources {
                cpu: self.running_cores * CORE,
                ..Resources::default()
            },
            min_workers: self.spread,
            loads,
            ..Demand::default()
        };
        self.fleet.on_demand_report(demand, self.now);
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn decide(&mut self) -> Decision {
        self.fleet.decide(self.now)
    }

    /// Decides, and applies the changes to the instances at once.
    fn decide_and_apply(&mut self) -> Decision {
        let decision = self.decide();
        for change in &decision.changes {
            self.fleet.on_ordered(change.clone(), self.now);
            let found = self
                .instances
                .iter_mut()
                .find(|i| i.name == change.instance());
            let found = found.expect("the change names a listed instance");
            match change {
                Transfer::Move { pool, .. } => *found = instance(&found.name, pool, Condition::Up),
                Transfer::Maintain { wave, .. } => {
                    found.condition = Condition::Maintained;
                    self.fleet.on_maintenance_started(*wave, change.instance());
                }
            }
        }
        decision
    }

    /// Announces wave 1 with a deadline in 30 s.
    fn start_wave(&mut self, instances: &[&str], cap: u32) {
        let wave = Wave {
            number: 1,
            instances: instances.iter().map(|&name| name.to_owned()).collect(),
            duration_ms: 30_000,
            cap,
        };
        self.fleet
            .on_wave(&wave, Some(self.now + Duration::from_secs(30)));
    }
}

fn moved_to<'a>(decision: &'a Decision, target: &str) -> Vec<&'a str> {
    let into = |change: &'a Transfer| match change {
        Transfer::Move { instance, pool } if pool == target => Some(instance.as_str()),
        _ => None,
    };
    decision.changes.iter().filter_map(into).collect()
}

#[test]
fn backlog_gets_no_more_spare_instances_than_needed() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 10, &["a0"], &[]);
    fixture.report_demand("b", 0, &[], &[]);
    assert_eq!(moved_to(&fixture.decide(), "a").len(), 1);
}

#[test]
fn ordered_moves_count_towards_backlog() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 10, &["a0"], &[]);
    assert_eq!(fixture.decide_and_apply().changes.len(), 1);
    fixture.report_demand("a", 10, &["a0"], &[]);
    assert!(fixture.decide().changes.is_empty());
}

#[test]
fn idle_instances_beyond_base_size_return_to_spare_pool() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 30, &["a0", "a1", "a2", "a3"], &[]);
    assert_eq!(fixture.decide_and_apply().changes.len(), 2);
    fixture.advance(2_000);
    fixture.refresh_list();
    fixture.report_demand("a", 0, &["a0", "a1", "a2", "a3"], &[]);
    assert!(
        fixture.decide().evacuations.is_empty(),
        "idle for less than the timeout"
    );
    fixture.advance(1_100);
    fixture.report_demand("a", 0, &["a0", "a1", "a2", "a3"], &[]);
    let decision = fixture.decide();
    assert_eq!(
        decision.evacuations["a"].len(),
        2,
        "both are evacuated before they move"
    );
    assert!(decision.changes.is_empty());
    fixture.report_demand("a", 0, &["a0", "a1", "a2", "a3"], &["s0", "s1"]);
    assert_eq!(moved_to(&fixture.decide(), "spare"), ["s0", "s1"]);
}

#[test]
fn idle_pool_lends_at_most_half_of_base_size() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 0, &[], &[]);
    fixture.report_demand("b", 500, &["b0", "b1", "b2", "b3"], &[]);
    fixture.advance(900);
    let evacuated = ["a0", "a1", "a2", "a3"];
    fixture.report_demand("a", 0, &[], &evacuated);
    let decision = fixture.decide();
    assert_eq!(moved_to(&decision, "b"), ["s1", "s0", "a0", "a1"]);
    assert_eq!(
        decision.evacuations["a"].len(),
        2,
        "retained instances are not evacuated"
    );
}

#[test]
fn instance_is_not_lent_before_idle_timeout() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 0, &[], &[]);
    fixture.report_demand("b", 500, &["b0", "b1", "b2", "b3"], &[]);
    fixture.advance(400);
    fixture.report_demand("a", 0, &[], &["a0", "a1", "a2", "a3"]);
    assert_eq!(moved_to(&fixture.decide(), "b"), ["s1", "s0"]);
}

#[test]
fn pool_retains_spread_of_long_running_tasks_plus_one() {
    let mut fixture = Fixture::new();
    fixture.spread = 2;
    fixture.report_demand("a", 0, &[], &[]);
    fixture.report_demand("b", 500, &["b0", "b1", "b2", "b3"], &[]);
    fixture.advance(900);
    fixture.report_demand("a", 0, &[], &["a0", "a1", "a2", "a3"]);
    assert_eq!(moved_to(&fixture.decide(), "b"), ["s1", "s0", "a0"]);
}

#[test]
fn pool_retains_capacity_for_recent_peak() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 45, &["a0", "a1", "a2"], &[]);
    fixture.report_demand("b", 500, &["b0", "b1", "b2", "b3"], &[]);
    fixture.advance(900);
    fixture.report_demand("a", 0, &[], &["a0", "a1", "a2", "a3"]);
    let decision = fixture.decide();
    assert!(
        !decision.evacuations.contains_key("a"),
        "45 cores with the margin take all four instances of 16 cores"
    );
}

#[test]
fn idle_base_instances_are_switched_off_after_timeout() {
    let mut fixture = Fixture::new();
    let evacuated = ["a0", "a1", "a2", "a3"];
    fixture.report_demand("a", 0, &[], &evacuated);
    fixture.advance(1_000);
    fixture.report_demand("a", 0, &[], &evacuated);
    assert!(
        fixture.decide().changes.is_empty(),
        "idle for less than the timeout"
    );
    fixture.advance(600);
    fixture.report_demand("a", 0, &[], &evacuated);
    assert_eq!(moved_to(&fixture.decide(), "spare"), ["a0", "a1"]);
}

#[test]
fn rising_demand_adds_instances_before_backlog() {
    let mut fixture = Fixture::new();
    fixture.running_cores = 20;
    fixture.report_demand("a", 0, &["a0", "a1"], &[]);
    fixture.advance(500);
    fixture.refresh_list();
    fixture.running_cores = 50;
    fixture.report_demand("a", 0, &["a0", "a1", "a2", "a3"], &[]);
    // A rise of 30 cores in 0.5 s is forecast to reach 110 cores in another 1 s; the pool has 64.
    assert_eq!(moved_to(&fixture.decide(), "a").len(), 2);
}

#[test]
fn falling_demand_adds_no_instances() {
    let mut fixture = Fixture::new();
    fixture.running_cores = 60;
    fixture.report_demand("a", 0, &["a0", "a1", "a2", "a3"], &[]);
    fixture.advance(500);
    fixture.refresh_list();
    fixture.running_cores = 30;
    fixture.report_demand("a", 0, &["a0", "a1"], &[]);
    assert!(fixture.decide().changes.is_empty());
}

#[test]
fn excluded_instance_is_not_moved_until_exclusion_ends() {
    let mut fixture = Fixture::new();
    let until = fixture.now + Duration::from_millis(3_500);
    fixture.fleet.exclude(["s0".to_owned()], until);
    fixture.report_demand("a", 30, &["a0", "a1", "a2", "a3"], &[]);
    assert_eq!(moved_to(&fixture.decide(), "a"), ["s1"]);
    fixture.advance(3_500);
    fixture.report_demand("a", 30, &["a0", "a1", "a2", "a3"], &[]);
    assert_eq!(moved_to(&fixture.decide(), "a"), ["s1", "s0"]);
}

#[test]
fn ignores_outdated_demand() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 100, &["a0"], &[]);
    fixture.advance(1_500);
    assert!(fixture.decide().changes.is_empty());
}

#[test]
fn wave_respects_cap_and_starts_with_switched_off_instances() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["a0", "a1", "b0", "s0", "s1"], 2);
    fixture.report_demand("a", 0, &[], &[]);
    fixture.report_demand("b", 0, &[], &[]);
    let decision = fixture.decide_and_apply();
    let names: Vec<&str> = decision.changes.iter().map(Transfer::instance).collect();
    assert_eq!(names, ["s0", "s1"]);
    fixture.report_demand("a", 0, &[], &["a0", "a1"]);
    assert!(fixture.decide().changes.is_empty(), "two are already down");
}

#[test]
fn pool_with_backlog_is_maintained_only_when_wave_is_urgent() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["a0"], 1);
    fixture.report_demand("a", 50, &["a0", "a1", "a2", "a3"], &[]);
    assert!(!fixture.decide().evacuations.contains_key("a"));
    fixture.advance(25_000);
    fixture.refresh_list();
    fixture.report_demand("a", 50, &["a0", "a1", "a2", "a3"], &[]);
    assert!(fixture.decide().evacuations["a"].contains("w-a0"));
}

#[test]
fn instance_is_maintained_only_once_empty() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["a0"], 1);
    fixture.report_demand("a", 0, &["a0"], &[]);
    let decision = fixture.decide();
    assert!(decision.evacuations["a"].contains("w-a0"));
    assert!(decision.changes.is_empty());
    fixture.report_demand("a", 0, &["a0"], &["a0"]);
    assert!(
        fixture.decide().changes.is_empty(),
        "a task is still running"
    );
    fixture.report_demand("a", 0, &[], &["a0"]);
    assert_eq!(fixture.decide().changes.len(), 1);
}

#[test]
fn wave_finishes_once_last_due_instance_has_left_fleet() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["s0", "a0"], 2);
    fixture.report_demand("a", 0, &["a0"], &[]);
    fixture.decide_and_apply();
    fixture.instances.retain(|instance| instance.name != "a0");
    fixture.refresh_list();
    assert!(
        !fixture.fleet.is_wave_finished(1, fixture.now),
        "a single list without the instance is not enough"
    );
    fixture.advance(1_500);
    fixture.refresh_list();
    assert!(fixture.fleet.is_wave_finished(1, fixture.now));
    fixture.instances.push(instance("a0", "a", Condition::Down));
    fixture.refresh_list();
    assert!(
        !fixture.fleet.is_wave_finished(1, fixture.now),
        "the instance is back and due"
    );
}

#[test]
fn refused_change_is_retried_after_pause() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["a0"], 1);
    fixture.report_demand("a", 0, &[], &["a0"]);
    assert_eq!(fixture.decide().changes.len(), 1);
    fixture.fleet.on_refused("a0", fixture.now);
    fixture.advance(400);
    fixture.report_demand("a", 0, &[], &["a0"]);
    assert!(fixture.decide().changes.is_empty());
    fixture.advance(100);
    assert_eq!(fixture.decide().changes.len(), 1);
}

#[test]
fn near_deadline_interrupts_restartable_tasks_only() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["a0"], 1);
    fixture.advance(28_400);
    fixture.refresh_list();
    fixture.report_demand("a", 0, &["a0"], &["a0"]);
    assert!(
        fixture.decide().changes.is_empty(),
        "the deadline is not close enough"
    );
    fixture.advance(200);
    fixture.report_demand("a", 0, &["a0"], &["a0"]);
    assert_eq!(fixture.decide().changes.len(), 1);
    fixture.long_running_per_instance = 1;
    fixture.report_demand("a", 0, &["a0"], &["a0"]);
    assert!(
        fixture.decide().changes.is_empty(),
        "a long-running task must move first"
    );
}

/// Moves within budgets that started only 10 s before the wave's end took longer than that
/// (`kwp-skips-grown scale-1`).
#[test]
fn backlog_does_not_delay_evacuation_of_long_running_tasks() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["a0", "a1", "a2", "a3"], 4);
    fixture.long_running_per_instance = 1;
    fixture.report_demand("a", 50, &["a0", "a1", "a2", "a3"], &[]);
    assert_eq!(
        fixture.decide().evacuations["a"].len(),
        1,
        "a quarter of the pool"
    );
}

#[test]
fn released_instance_is_maintained_with_long_running_tasks() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["a0"], 1);
    fixture.long_running_per_instance = 1;
    fixture.report_demand("a", 0, &["a0"], &["a0"]);
    assert!(fixture.decide().changes.is_empty());
    fixture.is_every_worker_released = true;
    fixture.report_demand("a", 0, &["a0"], &["a0"]);
    assert_eq!(fixture.decide().changes.len(), 1);
}

#[test]
fn decision_names_all_due_workers_regardless_of_evacuation() {
    let mut fixture = Fixture::new();
    fixture.start_wave(&["a0", "a1", "s0"], 1);
    fixture.report_demand("a", 50, &["a0", "a1", "a2", "a3"], &[]);
    let due = fixture.decide().due;
    assert_eq!(due["a"].len(), 2);
    assert!(!due.contains_key("spare"));
}

/// The previous owner's orders may take effect before the list shows it.
#[test]
fn excluded_instances_count_towards_wave_cap() {
    let mut fixture = Fixture::new();
    let until = fixture.now + Duration::from_millis(3_500);
    fixture.fleet.exclude(["a0".to_owned()], until);
    fixture.start_wave(&["a0", "s0", "s1"], 2);
    fixture.report_demand("a", 0, &[], &[]);
    assert_eq!(fixture.decide().changes.len(), 1, "a0 may already be down");
    fixture.advance(3_500);
    fixture.report_demand("a", 0, &[], &[]);
    assert_eq!(fixture.decide().changes.len(), 2);
}

#[test]
fn worker_is_stopped_once_list_shows_changed_instance() {
    let mut fixture = Fixture::new();
    let accepted_at = fixture.now;
    fixture.fleet.on_accepted("a0", accepted_at);
    fixture.advance(100);
    fixture.refresh_list();
    assert!(
        fixture.fleet.take_stopped_workers().is_empty(),
        "the instance is up with the same worker"
    );
    fixture.instances[0].condition = Condition::Maintained;
    fixture.advance(100);
    fixture.refresh_list();
    let stopped = StoppedWorker {
        pool: "a".to_owned(),
        worker: "w-a0".to_owned(),
        incarnation: None,
        stopped_at: accepted_at,
    };
    assert_eq!(fixture.fleet.take_stopped_workers(), [stopped]);
    fixture.refresh_list();
    assert!(
        fixture.fleet.take_stopped_workers().is_empty(),
        "each stop is returned once"
    );
}

#[test]
fn stop_names_the_incarnation_that_its_owner_reported() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 0, &["a0"], &[]);
    fixture.fleet.on_accepted("a0", fixture.now);
    fixture.instances[0].condition = Condition::Maintained;
    fixture.advance(100);
    fixture.refresh_list();
    let stops = fixture.fleet.take_stopped_workers();
    let incarnations: Vec<Option<i64>> = stops.iter().map(|stop| stop.incarnation).collect();
    assert_eq!(incarnations, [Some(BORN)]);
}

#[test]
fn stop_of_a_worker_that_its_owner_did_not_report_names_no_incarnation() {
    let mut fixture = Fixture::new();
    fixture.report_demand("a", 0, &[], &[]);
    fixture.instances[0].worker = Some("w-other".to_owned());
    fixture.refresh_list();
    fixture.fleet.on_accepted("a0", fixture.now);
    fixture.instances[0].condition = Condition::Maintained;
    fixture.advance(100);
    fixture.refresh_list();
    let stops = fixture.fleet.take_stopped_workers();
    let incarnations: Vec<Option<i64>> = stops.iter().map(|stop| stop.incarnation).collect();
    assert_eq!(incarnations, [None]);
}

/// Returns the stop of the worker on `a0` that the previous fleet's owner has announced.
fn announced_stop() -> ExpectedStop {
    let mut previous = Fixture::new();
    previous.report_demand("a", 0, &["a0"], &[]);
    assert_eq!(previous.fleet.expected_stop("s0"), None);
    assert_eq!(previous.fleet.expected_stop("b0"), None, "not reported");
    previous.fleet.expected_stop("a0").expect("a known worker")
}

/// What the previous fleet's owner had ordered and told nobody was lost with it.
#[test]
fn successor_learns_of_a_stop_that_its_predecessor_ordered() {
    let until = Duration::from_secs(12);
    for condition in [Condition::Maintained, Condition::Moving] {
        let mut fixture = Fixture::new();
        let began_at = fixture.now;
        fixture
            .fleet
            .expect_stops([announced_stop()], began_at, until);
        fixture.refresh_list();
        assert!(fixture.fleet.take_stopped_workers().is_empty());
        fixture.instances[0].condition = condition;
        fixture.instances[0].worker = None;
        fixture.advance(900);
        fixture.refresh_list();
        let stopped = StoppedWorker {
            pool: "a".to_owned(),
            worker: "w-a0".to_owned(),
            incarnation: Some(BORN),
            stopped_at: began_at,
        };
        assert_eq!(fixture.fleet.take_stopped_workers(), [stopped]);
    }
}

#[test]
fn successor_does_not_believe_a_stop_that_no_list_confirms() {
    let mut fixture = Fixture::new();
    let until = fixture.now + Duration::from_millis(2_000);
    fixture
        .fleet
        .expect_stops([announced_stop()], fixture.now, until);
    fixture.instances[0].condition = Condition::Down;
    fixture.advance(1_000);
    fixture.refresh_list();
    fixture.instances[0].condition = Condition::Up;
    fixture.advance(1_000);
    fixture.refresh_list();
    fixture.instances[0].condition = Condition::Maintained;
    fixture.advance(100);
    fixture.refresh_list();
    assert!(fixture.fleet.take_stopped_workers().is_empty());
}

/// The platform also accepts maintenance that was done before, while the instance's tasks run on.
#[test]
fn repeated_change_does_not_stop_worker() {
    let mut fixture = Fixture::new();
    fixture.fleet.on_accepted("a0", fixture.now);
    fixture.advance(500);
    fixture.refresh_list();
    fixture.instances[0].condition = Condition::Moving;
    fixture.advance(100);
    fixture.refresh_list();
    assert!(
        fixture.fleet.take_stopped_workers().is_empty(),
        "the list shows a later change"
    );
}

#[test]
fn down_instance_does_not_confirm_stop() {
    let mut fixture = Fixture::new();
    fixture.fleet.on_accepted("a0", fixture.now);
    fixture.instances[0].condition = Condition::Down;
    fixture.advance(100);
    fixture.refresh_list();
    assert!(
        fixture.fleet.take_stopped_workers().is_empty(),
        "the worker may run until its lease expires"
    );
}

/// The progress of a wave whose announcement filled over half a row outgrew the row once most of the
/// wave was done, which ended the term of the fleet's owner, and of each next one.
#[test]
fn progress_of_a_large_wave_takes_less_than_its_announcement() {
    for digits in [4, 20, 36, 100] {
        let instances: Vec<String> = (0..1_500).map(|n| format!("{n:0digits$}")).collect();
        let wave = Wave {
            number: 1,
            instances: instances.clone(),
            duration_ms: 60_000,
            cap: 40,
        };
        let names = instances.iter().map(|name| format!("\"{name}\",").len());
        let announced: usize = names.sum();
        let mut fleet = Fleet::new(Settings::default(), BTreeMap::new(), BTreeMap::new());
        fleet.on_wave(&wave, None);
        for (number, instance) in instances.iter().enumerate() {
            fleet.on_maintenance_started(1, instance);
            if number % 64 == 0 || number + 1 == instances.len() {
                let progress = &fleet.wave_progress()[&1];
                let row = encode(progress);
                assert!(row.len() < announced, "{} bytes of {announced}", row.len());
                assert_eq!(decode::<Progress>(&row).as_ref(), Some(progress));
            }
        }
    }
}

/// Rows written before the progress was stored as bits list the names twice.
#[test]
fn progress_of_a_wave_stored_by_an_earlier_version_is_read() {
    #[derive(serde::Serialize)]
    struct Earlier {
        instances: Vec<String>,
        cap: u32,
        begun: Vec<String>,
    }
    let row = encode(&Earlier {
        instances: vec!["a".to_owned(), "b".to_owned()],
        cap: 3,
        begun: vec!["b".to_owned()],
    });
    let progress = decode::<Progress>(&row).expect("a row of an earlier version");
    assert_eq!(progress.due().collect::<Vec<_>>(), ["a"]);
    assert_eq!(progress.cap, 3);
}
