//! Seeded simulations of chains of planned stops of the pool's owner.

mod model;

use model::{job, long_running_job, play_seeds, Faults, PlannedStop, Takeover, World};
use std::time::Duration;

const SEEDS: u64 = 200;
const WORKERS: u64 = 8;
/// How long a previous owner may go on; see `Settings::authority`.
const AUTHORITY_MS: u64 = 2_000;

/// Draws a duration that is often short and at most `max_ms`.
fn draw_ms(world: &mut World, max_ms: u64) -> i64 {
    match world.pick(0..3) {
        0 => 0,
        1 => world.pick(0..max_ms / 10 + 1) as i64,
        _ => world.pick(0..max_ms) as i64,
    }
}

fn draw_takeover(world: &mut World) -> Takeover {
    let is_cut = world.pick(0..4) == 0;
    Takeover {
        commit_ms: draw_ms(world, 300),
        read_ms: draw_ms(world, 1_000),
        registry_ms: draw_ms(world, 1_000),
        authority_ms: world.pick(0..AUTHORITY_MS) as i64,
        cut_worker: is_cut.then(|| world.pick(0..WORKERS) as usize),
        passed_on: (world.pick(0..4) / 2) as u32,
        ..Takeover::default()
    }
}

fn draw_stop(world: &mut World) -> PlannedStop {
    PlannedStop {
        release_ms: draw_ms(world, 300),
        is_release_lost: world.pick(0..6) == 0,
        pause_ms: draw_ms(world, 1_000),
        late_ms: world.pick(0..600),
        freezes: world.pick(0..4) == 0,
        takeover: draw_takeover(world),
    }
}

/// Changes a worker in one of the ways in which workers end, fall silent or leave.
fn disturb_worker(world: &mut World, number: usize) {
    let id = world.workers[number].listing.id.clone();
    match world.pick(0..7) {
        0 => world.crash(number),
        1 => world.replace_worker(number),
        2 | 3 => world.workers[number].is_reachable = !world.workers[number].is_reachable,
        4 => {
            world.workers[number].listing.is_draining = !world.workers[number].listing.is_draining;
            world.register(number);
        }
        5 => {
            let ms = world.pick(100..4_000) as i64;
            world.hide(number, ms);
        }
        _ if world.has_owner() => {
            let until = Duration::from_millis(world.now_ms as u64 + 3_000);
            world.scheduler().evacuate(&id, until);
        }
        _ => {}
    }
}

/// Lets the fleet's owner maintain released workers.
fn maintain_released(world: &mut World) {
    if !world.has_owner() {
        return;
    }
    for number in 0..WORKERS as usize {
        if world.is_released(number) && world.pick(0..4) == 0 {
            let delay = world.pick(0..2_000) as i64;
            world.order_maintenance(number, delay);
        }
    }
}

fn submit(world: &mut World, number: u64) {
    if !world.has_owner() {
        return;
    }
    let id = format!("{number:016x}");
    if number < 3 {
        let count = world.pick(2..6) as u32;
        let mut submission = long_running_job(count);
        submission.steps[0].max_unavailable = Some(world.pick(1..3) as u32);
        world.submit(&id, submission);
    } else {
        let steps = world.pick(1..4) as usize;
        let count = world.pick(1..8) as u32;
        let ms = world.pick(50..3_000);
        world.submit(&id, job(steps, count, ms));
    }
}

/// Runs the simulation of `seed`: every 0.3 s on average something is done to the owner, a worker, the
/// store or the calls.
fn simulate(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS as usize, 8);
    world.run(500);
    for round in 0..80 {
        if round < 40 {
            submit(&mut world, round);
        }
        let number = world.pick(0..WORKERS) as usize;
        match world.pick(0..16) {
            0..=5 => {
                let stop = draw_stop(&mut world);
                world.stop_owner(stop);
            }
            6 => {
                let takeover = draw_takeover(&mut world);
                if world.has_owner() {
                    world.kill_owner();
                }
                world.take_over(takeover);
            }
            7 => {
                world.pause_owner(true);
                let takeover = draw_takeover(&mut world);
                world.take_over(takeover);
            }
            8 => world.pause_owner(false),
            9..=11 => disturb_worker(&mut world, number),
            12 => {
                world.faults = Faults {
                    lost_answers: 0.1,
                    delayed_starts: 0.1,
                    slow_commits: 0.3,
                };
            }
            13 => world.faults = Faults::default(),
            14 => world.is_store_up = !world.is_store_up && world.pick(0..3) > 0,
            _ if round > 3 && world.has_owner() => {
                let job = world.pick(3..round.max(4));
                world.cancel(&format!("{job:016x}"));
            }
            _ => {}
        }
        for _ in 0..3 {
            maintain_released(&mut world);
            let ms = world.pick(10..200) as i64;
            world.run(ms);
        }
    }
    world
}

/// Ends all faults, cancels the long-running jobs, and lets the others finish.
fn finish(world: &mut World) {
    world.is_store_up = true;
    world.run(6_000);
    if !world.has_owner() {
        world.start_owner();
    }
    for number in 0..3 {
        world.cancel(&format!("{number:016x}"));
    }
    world.finish();
}

#[test]
fn invariants_hold_over_chains_of_planned_stops() {
    let starts = play_seeds(SEEDS, |seed| {
        let mut world = simulate(seed);
        finish(&mut world);
        world.invariants.starts
    });
    assert!(starts > 10_000, "only {starts} tasks were started");
}

/// Runs planned stops every 0.6 to 2.5 s while workers end and join, and no other faults; returns the
/// world and how many of its stops began.
fn play_planned_work(seed: u64, ignores_handover: bool) -> (World, usize) {
    const ENDED: usize = 3;
    let mut world = World::new(seed, WORKERS as usize, 8);
    world.run(500);
    for number in 0..2 {
        world.submit(&format!("{number:016x}"), long_running_job(4));
    }
    world.run(1_500);
    let (mut ended, mut stops) = (0, 0);
    for round in 0..16 {
        let number = world.pick(0..WORKERS) as usize;
        if world.pick(0..2) == 0 && ended < ENDED && world.workers[number].is_up {
            let listed_ms = world.pick(0..3_000) as i64;
            world.end_worker(number, listed_ms);
            ended += 1;
        } else if world.pick(0..4) == 0 && world.workers[number].is_up {
            world.replace_worker(number);
        }
        let before_ms = world.pick(0..300) as i64;
        run_checked(&mut world, before_ms);
        if world.has_owner() {
            let count = world.pick(1..4) as u32;
            let ms = world.pick(50..2_000);
            world.submit(&format!("{:016x}", 100 + round), job(1, count, ms));
            // Few of the job's tasks have been started when the owner stops.
            let ms = world.pick(0..30) as i64;
            run_checked(&mut world, ms);
        }
        let stop = PlannedStop {
            release_ms: world.pick(2..30) as i64,
            pause_ms: world.pick(0..100) as i64,
            late_ms: world.pick(0..100),
            takeover: Takeover {
                commit_ms: world.pick(2..40) as i64,
                read_ms: world.pick(0..100) as i64,
                registry_ms: world.pick(0..50) as i64,
                passed_on: (world.pick(0..4) / 3) as u32,
                ignores_handover,
                ..Takeover::default()
            },
            ..PlannedStop::default()
        };
        stops += usize::from(world.stop_owner(stop));
        let pause_ms = world.pick(600..2_500) as i64;
        run_checked(&mut world, pause_ms);
    }
    run_checked(&mut world, 8_000);
    (world, stops)
}

fn run_checked(world: &mut World, ms: i64) {
    let until_ms = world.now_ms + ms;
    while world.now_ms < until_ms {
        let step_ms = (until_ms - world.now_ms).min(20);
        world.run(step_ms);
        world.check_presence();
    }
}

/// A chain of owners waited anew for the leases of a worker that had ended.
#[test]
fn tasks_run_again_however_many_planned_stops_follow() {
    let first_starts = play_seeds(SEEDS, |seed| {
        let (world, stops) = play_planned_work(seed, false);
        let late = &world.presence.late;
        assert!(late.is_empty(), "{late:#?}");
        assert!(stops > 10, "only {stops} stops");
        world.presence.first_starts
    });
    assert!(first_starts > 1_000, "only {first_starts} first starts");
}

#[test]
fn tasks_are_late_without_the_handover() {
    let late = (0..SEEDS)
        .filter(|seed| !play_planned_work(*seed, true).0.presence.late.is_empty())
        .count();
    assert!(late as u64 > SEEDS * 9 / 10, "only {late} of {SEEDS} seeds");
}
