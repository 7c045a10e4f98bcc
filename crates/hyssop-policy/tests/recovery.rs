//! Recovery of a pool's jobs after a failover, run against the model's workers and store.

#![allow(clippy::unwrap_used)]

mod model;

use hyssop_model::work::Phase;
use hyssop_platform::dialect::Start;
use hyssop_policy::owner::Settings;
use model::{job, FakeWorker, Takeover, World};
use std::time::Duration;

const ID: &str = "00000000000000aa";

const TASKS: usize = 6;

/// Returns a pool of three workers, of which two can run all tasks of the job that runs there.
fn busy_pool(seed: u64, task_ms: u64) -> World {
    let mut world = World::new(seed, 3, 4);
    world.run(200);
    world.submit(ID, job(1, TASKS as u32, task_ms));
    world.run(500);
    world
}

/// A takeover that had taken longer than the leases ended the recovery at once, before the registry
/// was read, and every task was started again on the first worker that reported.
#[test]
fn slow_takeover_starts_no_task_before_workers_could_report() {
    for registry_ms in [0, 20, 300, 3_000] {
        let mut world = busy_pool(31, 20_000);
        for worker in &mut world.workers {
            worker.report_ms = 100 * worker.running().count().min(1) as i64;
        }
        world.take_over(Takeover {
            commit_ms: 8_000,
            read_ms: 500,
            registry_ms,
            authority_ms: 2_000,
            counts_from_start: true,
            ..Takeover::default()
        });
        world.run(28_000);
        assert_eq!(world.phase(ID), Some(Phase::Done));
        assert_eq!(
            world.invariants.starts, TASKS,
            "tasks started, with the registry read after {registry_ms} ms"
        );
    }
}

/// The tasks of a worker whose entry was missing when the registry was read were started again.
#[test]
fn waits_for_entry_that_returns_soon_after_registry_was_read() {
    let mut world = busy_pool(32, 20_000);
    world.take_over(Takeover {
        commit_ms: 8_000,
        read_ms: 500,
        registry_ms: 100,
        authority_ms: 2_000,
        counts_from_start: true,
        ..Takeover::default()
    });
    world.run(8_000);
    world.set_listed(1, false);
    world.run(2_600);
    world.set_listed(1, true);
    world.run(18_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.invariants.starts, TASKS);
}

/// Returns how long after the start of a new owner all tasks of a job have been started again, with
/// one of three workers dead.
fn time_to_restart(is_listed: bool) -> i64 {
    let mut world = busy_pool(33, 15_000);
    world.kill_owner();
    let dead = busy_worker(&world);
    let orphans = world.workers[dead].running().count();
    world.workers[dead].is_up = false;
    world.set_listed(dead, is_listed);
    world.take_over(Takeover::default());
    let started_ms = world.now_ms;
    while world.invariants.starts < TASKS + orphans {
        world.run(50);
        assert!(world.now_ms < started_ms + 20_000, "the queue is held");
    }
    world.now_ms - started_ms
}

#[test]
fn dead_worker_holds_queue_no_longer_than_its_lease_and_two_polls() {
    let settings = Settings::default();
    let lease_end_ms = (settings.authority + settings.lease_span()).as_millis() as i64;
    for is_listed in [false, true] {
        let ms = time_to_restart(is_listed);
        assert!(ms >= lease_end_ms, "{ms} ms, listed: {is_listed}");
        assert!(ms <= lease_end_ms + 1_500, "{ms} ms, listed: {is_listed}");
    }
}

/// Returns the number of a worker that runs tasks.
fn busy_worker(world: &World) -> usize {
    let is_busy = |number: &usize| world.workers[*number].running().count() > 0;
    (0..world.workers.len()).find(is_busy).unwrap()
}

/// The wait for the previous owner's leases was taken for the end of the leases of workers that had
/// reported since.
#[test]
fn tasks_of_a_worker_that_ends_after_its_report_wait_for_its_own_lease_only() {
    let mut world = busy_pool(41, 20_000);
    world.kill_owner();
    world.start_owner();
    world.run(300);
    let ended = busy_worker(&world);
    world.workers[ended].is_up = false;
    world.set_listed(ended, false);
    let lease_ms = Settings::default().lease_span().as_millis() as i64;
    world.run(lease_ms + 700);
    assert!(world.invariants.starts > TASKS);
}

/// The row of a worker that was gone before a failover was kept, and each later failover waited for
/// the worker's leases again.
#[test]
fn gone_worker_delays_only_one_failover() {
    let mut world = busy_pool(34, 30_000);
    let gone = busy_worker(&world);
    world.workers[gone].is_up = false;
    world.set_listed(gone, false);
    world.kill_owner();
    world.start_owner();
    world.run(7_000);
    let starts = world.invariants.starts;
    assert!(starts > TASKS, "the tasks of the gone worker were started");
    world.kill_owner();
    world.start_owner();
    world.run(100);
    world.submit("00000000000000bb", job(1, 1, 100));
    world.run(500);
    assert_eq!(world.recorded_workers().len(), 2);
    assert_eq!(world.phase("00000000000000bb"), Some(Phase::Done));
}

/// The row of an incarnation that a later one had replaced was kept.
#[test]
fn row_of_replaced_incarnation_is_deleted() {
    let mut world = busy_pool(35, 10_000);
    let number = busy_worker(&world);
    world.kill_owner();
    let now_ms = world.now_ms;
    world.workers[number].restart(now_ms);
    world.start_owner();
    world.run(1_000);
    let rows = world.recorded_workers();
    assert_eq!(rows.len(), 3, "{rows:?}");
    assert!(rows.contains(&format!("w{number}@{now_ms}")), "{rows:?}");
}

/// A worker that became unreachable and left the registry lost its row while it still ran tasks, so
/// the next owner didn't wait for it.
#[test]
fn row_of_unlisted_worker_is_kept_until_its_leases_expire() {
    let mut world = busy_pool(36, 20_000);
    let cut = busy_worker(&world);
    world.workers[cut].is_reachable = false;
    world.kill_owner();
    world.start_owner();
    world.run(300);
    world.set_listed(cut, false);
    world.run(1_200);
    world.kill_owner();
    world.start_owner();
    world.run(20_000);
    assert!(world.invariants.starts > TASKS);
}

/// An outdated registry entry ended the wait for a later incarnation, which still ran tasks.
#[test]
fn outdated_entry_does_not_replace_later_incarnation() {
    let mut world = busy_pool(37, 20_000);
    let cut = busy_worker(&world);
    world.workers[cut].is_reachable = false;
    world.set_listed(cut, false);
    world.kill_owner();
    world.start_owner();
    let now = Duration::from_millis(world.now_ms as u64);
    let mut outdated = world.workers[cut].listing.clone();
    outdated.incarnation -= 500;
    world.scheduler().register_worker(outdated, now);
    world.run(1_000);
    let row = format!("w{cut}@1000");
    assert!(world.recorded_workers().contains(&row), "{row}");
    world.run(20_000);
    assert!(world.invariants.starts > TASKS);
}

/// Tasks whose success was among the completions that didn't fit into a worker's first report were
/// started again.
#[test]
fn waits_for_completions_beyond_first_report() {
    let mut world = World::new(38, 2, 12);
    world.run(200);
    world.submit(ID, job(1, 12, 500));
    world.run(300);
    let busy = busy_worker(&world);
    world.workers[busy].max_completions = 3;
    world.is_store_up = false;
    world.run(700);
    world.kill_owner();
    world.is_store_up = true;
    world.start_owner();
    world.run(2_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.invariants.starts, 12);
}

/// Lets a new owner take over in four seconds and not reach a worker whose leases the previous one
/// extends until shortly before its authority ends.
fn take_over_from_active_owner(counts_from_start: bool) {
    let mut world = busy_pool(39, 9_000);
    let cut_worker = Some(busy_worker(&world));
    world.take_over(Takeover {
        commit_ms: 4_000,
        authority_ms: 1_900,
        cut_worker,
        counts_from_start,
        ..Takeover::default()
    });
    world.run(20_000);
}

#[test]
fn authority_of_previous_owner_counts_from_confirmation() {
    take_over_from_active_owner(false);
}

/// Shows that the model notices leases that are taken for expired too early.
#[test]
#[should_panic(expected = "runs twice")]
fn authority_counted_from_start_of_takeover_runs_tasks_twice() {
    take_over_from_active_owner(true);
}

/// Returns the number of runs of a task after a failover, of which one was started by a late order of
/// the previous owner on the next incarnation of a worker. The new owner learns of that incarnation
/// before or after it has read the registry.
fn runs_after_late_order(is_read_before: bool) -> usize {
    let mut world = busy_pool(40, 20_000);
    let restarted = busy_worker(&world);
    let task = world.workers[restarted].running().next().unwrap().0.clone();
    world.kill_owner();
    if is_read_before {
        world.workers[restarted].is_reachable = false;
        world.start_owner();
        world.run(100);
    }
    let now_ms = world.now_ms;
    world.workers[restarted].restart(now_ms);
    let late = Start {
        worker: world.workers[restarted].listing.id.clone(),
        task: task.clone(),
        run: 2,
        specification: "20000".to_owned(),
        until_ms: now_ms + 5_000,
        fence: 1,
        checkpoint: String::new(),
        ticket: None,
    };
    world.workers[restarted].start(&late, now_ms);
    world.workers[restarted].report_ms = 200;
    if is_read_before {
        world.register(restarted);
    } else {
        world.start_owner();
    }
    world.run(2_000);
    let is_running = |worker: &&FakeWorker| worker.running().any(|(name, _)| *name == task);
    world.workers.iter().filter(is_running).count()
}

/// Recovery ended before the next incarnation of a worker, which has the same identifier, had
/// reported a run that a late order of the previous owner had started there.
#[test]
fn waits_for_report_of_replacing_incarnation() {
    assert_eq!(runs_after_late_order(false), 1);
}

#[test]
fn waits_for_report_of_incarnation_that_replaces_registered_one() {
    assert_eq!(runs_after_late_order(true), 1);
}
