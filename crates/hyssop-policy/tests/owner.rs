//! Single scenarios of the scheduler, run against the model's workers and store.

mod model;

use hyssop_model::work::{Phase, Submission};
use hyssop_policy::owner::{retry_after, Admission};
use model::{job, long_running_job, Faults, World};

const ID: &str = "00000000000000aa";

#[test]
fn accepts_job_only_after_commit() {
    let mut world = World::new(1, 2, 8);
    world.is_store_up = false;
    assert_eq!(world.submit(ID, job(1, 2, 300)), Admission::Pending);
    world.run(500);
    assert_eq!(world.phase(ID), None);
    world.is_store_up = true;
    world.run(300);
    assert!(world.accepted().contains(&ID.to_owned()));
}

#[test]
fn runs_steps_in_order_until_job_is_done() {
    let mut world = World::new(2, 2, 8);
    world.run(200);
    world.submit(ID, job(3, 4, 400));
    world.run(700);
    assert_eq!(world.phase(ID), Some(Phase::Running));
    world.run(1_500);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.invariants.starts, 12);
}

#[test]
fn withdrawn_job_never_runs() {
    let mut world = World::new(3, 2, 8);
    world.run(200);
    world.is_store_up = false;
    world.submit("00000000000000ab", job(1, 1, 100));
    world.run(50);
    world.submit(ID, job(1, 2, 300));
    assert!(world.withdraw(ID), "the job is in no batch yet");
    world.is_store_up = true;
    world.run(2_000);
    assert_eq!(world.phase(ID), None);
    assert_eq!(world.invariants.starts, 1);
}

#[test]
fn rejects_withdrawal_while_batch_is_in_flight() {
    let mut world = World::new(4, 2, 8);
    world.run(200);
    world.is_store_up = false;
    world.submit(ID, job(1, 2, 300));
    world.run(50);
    assert!(!world.withdraw(ID), "its batch is in flight");
}

/// An owner that was deposed while a job's batch was in flight answered that the job had not run,
/// although the store may have committed it (`nyp-lahore`, deploy/days/rolling-with-cancels.toml
/// --vary --seed 629769409784, REFUSED).
#[test]
fn deposed_owner_withdraws_only_unsent_jobs() {
    let mut world = World::new(21, 2, 8);
    world.run(200);
    world.is_store_up = false;
    world.submit(ID, job(1, 2, 300));
    world.run(50);
    world.submit("0000000000000002", job(1, 1, 100));
    world.scheduler().depose();
    assert!(!world.scheduler().withdraw(ID), "its batch is in flight");
    assert!(world.scheduler().withdraw("0000000000000002"));
}

#[test]
fn cancellation_stops_runs() {
    let mut world = World::new(5, 2, 8);
    world.run(200);
    world.submit(ID, job(1, 4, 20_000));
    world.run(500);
    world.cancel(ID);
    world.run(800);
    assert_eq!(world.phase(ID), Some(Phase::Cancelled));
    assert_eq!(
        world
            .workers
            .iter()
            .map(|w| w.running().count())
            .sum::<usize>(),
        0
    );
}

#[test]
fn new_owner_keeps_running_tasks() {
    let mut world = World::new(6, 2, 8);
    world.run(200);
    world.submit(ID, job(2, 4, 3_000));
    world.run(500);
    world.kill_owner();
    world.run(700);
    world.start_owner();
    world.run(7_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.invariants.starts, 8, "no task starts twice");
}

#[test]
fn expired_lease_of_unreachable_worker_requeues_tasks() {
    let mut world = World::new(7, 2, 8);
    world.run(200);
    world.submit(ID, job(1, 8, 2_000));
    world.run(300);
    world.workers[0].is_reachable = false;
    world.run(9_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
}

#[test]
fn unanswered_start_never_runs_on_two_workers() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 4);
        world.faults = Faults {
            lost_answers: 0.3,
            delayed_starts: 0.3,
            slow_commits: 0.0,
        };
        world.run(200);
        for number in 0..10 {
            world.submit(&format!("{number:016x}"), job(2, 3, 700));
        }
        world.run(20_000);
        world.finish();
    }
}

#[test]
fn hanging_tasks_are_stopped_and_requeued() {
    let mut world = World::new(8, 2, 8);
    world.run(200);
    world.workers[0].hangs = true;
    world.submit(ID, job(1, 8, 1_000));
    world.run(8_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
}

#[test]
fn job_fails_after_max_attempts() {
    let mut world = World::new(9, 2, 8);
    world.run(200);
    world
        .workers
        .iter_mut()
        .for_each(|worker| worker.fails_all = true);
    world.submit(ID, job(1, 1, 200));
    world.run(3_000);
    assert_eq!(world.phase(ID), Some(Phase::Failed));
    assert_eq!(world.invariants.starts, 2);
}

#[test]
fn worker_failing_every_task_fails_no_job() {
    let mut world = World::new(10, 4, 8);
    world.run(200);
    world.workers[0].fails_all = true;
    for number in 0..12 {
        world.submit(&format!("{number:016x}"), job(2, 3, 500));
        world.run(100);
    }
    world.finish();
    for id in world.accepted() {
        assert_eq!(world.phase(&id), Some(Phase::Done), "job {id}");
    }
}

/// Returns the number of long-running tasks that are serving.
fn serving(world: &World) -> usize {
    let at = world.now_ms;
    world.workers.iter().map(|w| w.serving(at)).sum()
}

/// Creates a world of `workers` with `cores` each, in which the long-running tasks of a job serve.
fn running_world(seed: u64, workers: usize, cores: u64, submission: Submission) -> World {
    let mut world = World::new(seed, workers, cores);
    world.run(200);
    world.submit(ID, submission);
    world.run(2_000);
    world
}

/// Returns the workers with at least one run.
fn busy(world: &World) -> Vec<usize> {
    (0..world.workers.len())
        .filter(|&w| world.workers[w].running().count() > 0)
        .collect()
}

fn evacuate(world: &mut World, worker: usize) {
    let id = world.workers[worker].listing.id.clone();
    let until = std::time::Duration::from_secs(3_600);
    world.scheduler().evacuate(&id, until);
}

/// Advances the time by `ms` and terminates each of `workers` once it is released. Returns the
/// minimum number of tasks that were serving meanwhile, and the workers that were not released.
fn min_serving_during_maintenance(
    world: &mut World,
    mut workers: Vec<usize>,
    ms: i64,
) -> (usize, Vec<usize>) {
    let mut min_serving = usize::MAX;
    for _ in 0..ms / 5 {
        world.run(5);
        if let Some(at) = workers.iter().position(|&w| world.is_released(w)) {
            world.perform_maintenance(workers.remove(at));
        }
        min_serving = min_serving.min(serving(world));
    }
    (min_serving, workers)
}

#[test]
fn releases_evacuating_workers_within_task_budget() {
    let mut world = running_world(11, 8, 8, long_running_job(5));
    let busy = busy(&world);
    for &worker in &busy[..3] {
        evacuate(&mut world, worker);
    }
    let (min_serving, remaining) =
        min_serving_during_maintenance(&mut world, busy[..3].to_vec(), 8_000);
    assert_eq!(min_serving, 4, "one task at a time is unavailable");
    assert!(remaining.is_empty(), "all workers were released");
}

/// A worker that ran two tasks of a step with a budget of one was never released, so its wave never
/// ended (`kwp-skips`, deploy/days/store-away-rack-dark.toml).
#[test]
fn tasks_over_budget_on_one_worker_move_one_at_a_time() {
    let mut submission = long_running_job(4);
    submission.steps[0].max_per_worker = 4;
    let mut world = running_world(15, 2, 8, submission);
    let busy = (0..2).find(|&w| world.workers[w].running().count() >= 2);
    let busy = busy.expect("four tasks on two workers");
    evacuate(&mut world, busy);
    let (min_serving, remaining) = min_serving_during_maintenance(&mut world, vec![busy], 12_000);
    assert_eq!(min_serving, 3, "one task at a time is unavailable");
    assert!(remaining.is_empty(), "the worker was released");
}

#[test]
fn unmovable_long_running_task_counts_as_waiting() {
    let mut world = running_world(20, 2, 8, long_running_job(2));
    let now = std::time::Duration::from_millis(2_200);
    assert_eq!(world.scheduler().demand(now).waiting.cpu, 0);
    evacuate(&mut world, 0);
    assert_eq!(world.scheduler().demand(now).waiting.cpu, 1_000);
}

#[test]
fn worker_with_short_tasks_is_not_released() {
    let mut world = World::new(16, 1, 8);
    world.run(200);
    world.submit(ID, long_running_job(1));
    world.submit("0000000000000002", job(1, 1, 3_000));
    world.run(1_500);
    evacuate(&mut world, 0);
    world.run(500);
    assert!(!world.is_released(0));
}

#[test]
fn places_no_task_on_released_worker() {
    let mut world = running_world(17, 2, 1, long_running_job(1));
    let busy = busy(&world)[0];
    evacuate(&mut world, busy);
    world.run(200);
    assert!(world.is_released(busy));
    let id = world.workers[busy].listing.id.clone();
    world.scheduler().cancel_evacuation(&id);
    world.submit("0000000000000002", job(1, 2, 100));
    world.run(300);
    assert_eq!(world.workers[busy].running().count(), 1);
}

#[test]
fn long_running_tasks_avoid_workers_due_for_maintenance() {
    let mut world = World::new(19, 4, 8);
    world.run(200);
    let due: Vec<String> = (0..2)
        .map(|w| world.workers[w].listing.id.clone())
        .collect();
    let until = std::time::Duration::from_secs(3_600);
    world.scheduler().set_maintenance_due(&due, until);
    world.submit(ID, long_running_job(2));
    world.run(1_000);
    let running = |w: usize| world.workers[w].running().count();
    assert_eq!([0, 1, 2, 3].map(running), [0, 0, 1, 1]);
}

/// Two tasks of a step with a budget of one were unavailable: the previous owner had ordered one to
/// stop and the next owner another (`nyp-lahore trouble-3 --seed 908621662100`, AVAIL; workers were
/// then evacuated by stops). The fleet's owner may shut down a released worker until the release
/// expires, so a new owner waits until then.
#[test]
fn new_owner_waits_for_releases_of_previous_owner() {
    let mut world = running_world(18, 8, 8, long_running_job(5));
    let busy = busy(&world);
    evacuate(&mut world, busy[0]);
    world.run(60);
    assert!(world.is_released(busy[0]));
    world.kill_owner();
    world.start_owner();
    evacuate(&mut world, busy[1]);
    let (before, _) = min_serving_during_maintenance(&mut world, vec![busy[1]], 1_800);
    world.perform_maintenance(busy[0]);
    let (after, remaining) = min_serving_during_maintenance(&mut world, vec![busy[1]], 6_000);
    assert!(
        before.min(after) >= 4,
        "two tasks of the step are unavailable"
    );
    assert!(
        remaining.is_empty(),
        "the worker is released after the wait"
    );
}

/// Maintenance that began at the end of a worker's release was not known yet, and a worker with
/// another task of the step was released.
#[test]
fn tasks_of_a_released_worker_count_as_unavailable_until_it_reports_again() {
    let mut world = running_world(18, 8, 8, long_running_job(5));
    let busy = busy(&world);
    evacuate(&mut world, busy[0]);
    while !world.is_released(busy[0]) {
        world.run(5);
    }
    let until = std::time::Duration::from_millis(world.now_ms as u64 + 60_000);
    let ids = [busy[0], busy[1]].map(|number| world.workers[number].listing.id.clone());
    world.scheduler().cancel_evacuation(&ids[0]);
    world.scheduler().evacuate(&ids[1], until);
    world.order_maintenance(busy[0], 2_490);
    world.run(2_490);
    // The first notice of the maintenance comes 50 ms after it.
    for _ in 0..10 {
        assert!(!world.is_released(busy[1]), "at {} ms", world.now_ms);
        world.run(5);
    }
    let mut is_released = false;
    for _ in 0..300 {
        world.run(10);
        is_released |= world.is_released(busy[1]);
    }
    assert!(is_released, "its turn comes once the other task serves");
}

#[test]
fn retry_delay_grows_with_outage_and_has_jitter() {
    let after = |outage_ms: u64, id: &str| {
        retry_after(std::time::Duration::from_millis(outage_ms), id).as_millis()
    };
    let first: Vec<u128> = (0..50).map(|n| after(700, &format!("{n:016x}"))).collect();
    assert!(first.iter().all(|ms| (800..1_800).contains(ms)));
    assert!(
        first.iter().max() > first.iter().min(),
        "retries are spread"
    );
    assert!(
        after(2_500, ID) >= 2_500,
        "the delay is at least the outage so far"
    );
    assert!(
        after(600_000, ID) < 5_000,
        "limited, so that callers notice its end"
    );
}

#[test]
fn ended_job_expires_after_retention() {
    let mut world = World::new(13, 2, 8);
    world.run(200);
    world.submit(ID, job(1, 1, 100));
    world.run(2_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    world.run(120_000);
    assert_eq!(world.phase(ID), Some(Phase::Done), "kept for two minutes");
    world.run(12_000);
    assert_eq!(world.phase(ID), None);
}

#[test]
fn new_owner_expires_ended_jobs() {
    let mut world = World::new(14, 2, 8);
    world.run(200);
    world.submit(ID, job(1, 1, 100));
    world.run(2_000);
    world.kill_owner();
    world.start_owner();
    world.run(1_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    world.run(132_000);
    assert_eq!(world.phase(ID), None);
}
