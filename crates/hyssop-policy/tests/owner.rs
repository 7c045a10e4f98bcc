//! What an owner does in single situations, over the model's workers and store.

mod model;

use hyssop_model::work::{Phase, Submission};
use hyssop_policy::owner::{retry_after, Admission};
use model::{job, lasting, Faults, World};

const ID: &str = "00000000000000aa";

#[test]
fn a_job_is_told_as_accepted_only_once_it_is_stored() {
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
fn steps_run_in_their_order_and_done_is_told_at_the_end() {
    let mut world = World::new(2, 2, 8);
    world.run(200);
    world.submit(ID, job(3, 4, 400));
    world.run(700);
    assert_eq!(world.phase(ID), Some(Phase::Running));
    world.run(1_500);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.promises.starts, 12);
}

#[test]
fn a_withdrawn_job_never_runs() {
    let mut world = World::new(3, 2, 8);
    world.run(200);
    world.is_store_up = false;
    world.submit("00000000000000ab", job(1, 1, 100));
    world.run(50);
    world.submit(ID, job(1, 2, 300));
    assert!(world.withdraw(ID), "no batch holds the job yet");
    world.is_store_up = true;
    world.run(2_000);
    assert_eq!(world.phase(ID), None);
    assert_eq!(world.promises.starts, 1);
}

#[test]
fn a_job_that_the_store_may_have_is_not_taken_back() {
    let mut world = World::new(4, 2, 8);
    world.run(200);
    world.is_store_up = false;
    world.submit(ID, job(1, 2, 300));
    world.run(50);
    assert!(!world.withdraw(ID), "its batch is on its way");
}

/// Seen on nyp-lahore with deploy/days/rolling-with-cancels.toml --vary --seed 629769409784 (REFUSED):
/// an owner was deposed while a job's batch was under way, and its caller was told that the job had
/// not run.
#[test]
fn a_deposed_owner_is_certain_only_of_what_was_never_sent() {
    let mut world = World::new(21, 2, 8);
    world.run(200);
    world.is_store_up = false;
    world.submit(ID, job(1, 2, 300));
    world.run(50);
    world.submit("0000000000000002", job(1, 1, 100));
    world.owner().depose();
    assert!(!world.owner().withdraw(ID), "its batch is on its way");
    assert!(world.owner().withdraw("0000000000000002"));
}

#[test]
fn a_cancelled_job_ends_and_its_runs_are_stopped() {
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
fn a_successor_goes_on_with_what_runs() {
    let mut world = World::new(6, 2, 8);
    world.run(200);
    world.submit(ID, job(2, 4, 3_000));
    world.run(500);
    world.kill_owner();
    world.run(700);
    world.take_over();
    world.run(7_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.promises.starts, 8, "nothing is started twice");
}

#[test]
fn tasks_of_a_silent_worker_run_elsewhere_after_its_lease() {
    let mut world = World::new(7, 2, 8);
    world.run(200);
    world.submit(ID, job(1, 8, 2_000));
    world.run(300);
    world.workers[0].is_reachable = false;
    world.run(9_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
}

#[test]
fn an_unanswered_start_is_never_given_to_two_workers() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 4);
        world.faults = Faults {
            lost_answers: 0.3,
            late_orders: 0.3,
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
fn hanging_tasks_are_stopped_and_run_elsewhere() {
    let mut world = World::new(8, 2, 8);
    world.run(200);
    world.workers[0].hangs = true;
    world.submit(ID, job(1, 8, 1_000));
    world.run(8_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
}

#[test]
fn a_job_that_fails_on_sound_workers_fails_after_its_attempts() {
    let mut world = World::new(9, 2, 8);
    world.run(200);
    world
        .workers
        .iter_mut()
        .for_each(|worker| worker.fails_all = true);
    world.submit(ID, job(1, 1, 200));
    world.run(3_000);
    assert_eq!(world.phase(ID), Some(Phase::Failed));
    assert_eq!(world.promises.starts, 2);
}

#[test]
fn a_worker_that_fails_everything_loses_no_job() {
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

/// Counts the lasting tasks that are at work.
fn serving(world: &World) -> usize {
    let at = world.now_ms;
    world.workers.iter().map(|w| w.serving(at)).sum()
}

/// Makes a world of `workers` of `cores` in which the lasting tasks of a job are at work.
fn at_work(seed: u64, workers: usize, cores: u64, submission: Submission) -> World {
    let mut world = World::new(seed, workers, cores);
    world.run(200);
    world.submit(ID, submission);
    world.run(2_000);
    world
}

/// Returns the workers that run something.
fn busy(world: &World) -> Vec<usize> {
    (0..world.workers.len())
        .filter(|&w| world.workers[w].running().count() > 0)
        .collect()
}

fn empty(world: &mut World, worker: usize) {
    let id = world.workers[worker].listing.id.clone();
    let until = std::time::Duration::from_secs(3_600);
    world.owner().evacuate(&id, until);
}

/// Lets time pass, ends each of `workers` once that is allowed, and returns the fewest tasks that
/// were at work at any moment of it, and the workers that were not ended.
fn fewest_while_maintained(
    world: &mut World,
    mut workers: Vec<usize>,
    ms: i64,
) -> (usize, Vec<usize>) {
    let mut fewest = usize::MAX;
    for _ in 0..ms / 5 {
        world.run(5);
        if let Some(at) = workers.iter().position(|&w| world.is_cleared(w)) {
            world.maintain(workers.remove(at));
        }
        fewest = fewest.min(serving(world));
    }
    (fewest, workers)
}

#[test]
fn emptied_workers_are_cleared_within_the_budget_of_their_lasting_tasks() {
    let mut world = at_work(11, 8, 8, lasting(5));
    let busy = busy(&world);
    for &worker in &busy[..3] {
        empty(&mut world, worker);
    }
    let (fewest, left) = fewest_while_maintained(&mut world, busy[..3].to_vec(), 8_000);
    assert_eq!(fewest, 4, "one at a time is away");
    assert!(left.is_empty(), "all were ended");
}

/// Seen on kwp-skips with deploy/days/store-away-rack-dark.toml: two of a step with a budget of one
/// stood on a worker, which was never cleared, so its wave never ended.
#[test]
fn two_tasks_of_a_step_on_one_worker_leave_it_one_after_the_other() {
    let mut submission = lasting(4);
    submission.steps[0].max_per_worker = 4;
    let mut world = at_work(15, 2, 8, submission);
    let busy = (0..2).find(|&w| world.workers[w].running().count() >= 2);
    let busy = busy.expect("four tasks on two workers");
    empty(&mut world, busy);
    let (fewest, left) = fewest_while_maintained(&mut world, vec![busy], 12_000);
    assert_eq!(fewest, 3, "one at a time is away");
    assert!(left.is_empty(), "it was ended");
}

#[test]
fn a_lasting_task_that_can_not_move_counts_as_waiting() {
    let mut world = at_work(20, 2, 8, lasting(2));
    let now = std::time::Duration::from_millis(2_200);
    assert_eq!(world.owner().demand(now).waiting.cpu, 0);
    empty(&mut world, 0);
    assert_eq!(world.owner().demand(now).waiting.cpu, 1_000);
}

#[test]
fn a_worker_with_other_tasks_is_not_cleared() {
    let mut world = World::new(16, 1, 8);
    world.run(200);
    world.submit(ID, lasting(1));
    world.submit("0000000000000002", job(1, 1, 3_000));
    world.run(1_500);
    empty(&mut world, 0);
    world.run(500);
    assert!(!world.is_cleared(0));
}

#[test]
fn nothing_new_is_placed_on_a_cleared_worker() {
    let mut world = at_work(17, 2, 1, lasting(1));
    let busy = busy(&world)[0];
    empty(&mut world, busy);
    world.run(200);
    assert!(world.is_cleared(busy));
    let id = world.workers[busy].listing.id.clone();
    world.owner().cancel_evacuation(&id);
    world.submit("0000000000000002", job(1, 2, 100));
    world.run(300);
    assert_eq!(world.workers[busy].running().count(), 1);
}

#[test]
fn lasting_tasks_stay_away_from_workers_that_are_due_for_maintenance() {
    let mut world = World::new(19, 4, 8);
    world.run(200);
    let due: Vec<String> = (0..2)
        .map(|w| world.workers[w].listing.id.clone())
        .collect();
    let until = std::time::Duration::from_secs(3_600);
    world.owner().set_maintenance_due(&due, until);
    world.submit(ID, lasting(2));
    world.run(1_000);
    let running = |w: usize| world.workers[w].running().count();
    assert_eq!([0, 1, 2, 3].map(running), [0, 0, 1, 1]);
}

/// Seen on nyp-lahore trouble-3 --seed 908621662100 (AVAIL), when workers were emptied by stops: the
/// earlier owner had ordered one and the successor another. Now the holder may end a worker that the
/// predecessor cleared for as long as the clearance lasts.
#[test]
fn a_successor_waits_for_the_clearances_of_its_predecessor() {
    let mut world = at_work(18, 8, 8, lasting(5));
    let busy = busy(&world);
    empty(&mut world, busy[0]);
    world.run(60);
    assert!(world.is_cleared(busy[0]));
    world.kill_owner();
    world.take_over();
    empty(&mut world, busy[1]);
    let (before, _) = fewest_while_maintained(&mut world, vec![busy[1]], 1_800);
    world.maintain(busy[0]);
    let (after, left) = fewest_while_maintained(&mut world, vec![busy[1]], 6_000);
    assert!(before.min(after) >= 4, "two of the step are away");
    assert!(left.is_empty(), "it is ended in the end");
}

#[test]
fn callers_come_back_after_an_outages_likely_end_and_not_all_at_once() {
    let after = |outage_ms: u64, id: &str| {
        retry_after(std::time::Duration::from_millis(outage_ms), id).as_millis()
    };
    let first: Vec<u128> = (0..50).map(|n| after(700, &format!("{n:016x}"))).collect();
    assert!(first.iter().all(|ms| (800..1_800).contains(ms)));
    assert!(first.iter().max() > first.iter().min(), "they are spread");
    assert!(after(2_500, ID) >= 2_500, "as long again as it has lasted");
    assert!(after(600_000, ID) < 5_000, "but its end is noticed");
}

#[test]
fn ended_jobs_are_told_for_their_time_and_then_forgotten() {
    let mut world = World::new(13, 2, 8);
    world.run(200);
    world.submit(ID, job(1, 1, 100));
    world.run(2_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    world.run(120_000);
    assert_eq!(world.phase(ID), Some(Phase::Done), "for two minutes");
    world.run(12_000);
    assert_eq!(world.phase(ID), None);
}

#[test]
fn a_successor_forgets_ended_jobs_too() {
    let mut world = World::new(14, 2, 8);
    world.run(200);
    world.submit(ID, job(1, 1, 100));
    world.run(2_000);
    world.kill_owner();
    world.take_over();
    world.run(1_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    world.run(132_000);
    assert_eq!(world.phase(ID), None);
}
