//! Seeded simulations of failovers that take up to nine seconds, with previous owners that go on,
//! entries of workers that are missing for a while, and reports that are late.

mod model;

use model::{job, play_seeds, Faults, Takeover, World};

const SEEDS: u64 = 200;
const WORKERS: u64 = 5;
const JOBS: u64 = 30;
/// How long a previous owner may go on; see `Settings::authority`.
const AUTHORITY_MS: u64 = 2_000;

/// Begins a takeover whose parts take up to three seconds each.
fn take_over(world: &mut World) {
    let mut duration_ms = || match world.pick(0..3) {
        0 => 0,
        1 => world.pick(0..300) as i64,
        _ => world.pick(300..3_000) as i64,
    };
    let (commit_ms, read_ms, registry_ms) = (duration_ms(), duration_ms(), duration_ms());
    let is_cut = world.pick(0..2) == 0;
    let cut_worker = is_cut.then(|| world.pick(0..WORKERS) as usize);
    let authority_ms = world.pick(0..AUTHORITY_MS) as i64;
    world.take_over(Takeover {
        commit_ms,
        read_ms,
        registry_ms,
        authority_ms,
        cut_worker,
        ..Takeover::default()
    });
}

/// Restores the store, after which entries that expired meanwhile return within two seconds.
fn restore_store(world: &mut World) {
    world.is_store_up = true;
    for number in 0..WORKERS as usize {
        if world.pick(0..3) == 0 {
            let ms = world.pick(10..2_000) as i64;
            world.hide(number, ms);
        }
    }
}

/// Ends each fault of the store and of the workers with a chance of one in three.
fn heal(world: &mut World) {
    if !world.is_store_up && world.pick(0..3) == 0 {
        restore_store(world);
    }
    for number in 0..WORKERS as usize {
        if !world.workers[number].is_reachable {
            world.workers[number].is_reachable = world.pick(0..3) == 0;
        }
    }
}

/// Runs the simulation of `seed`: every half second a job may arrive and a fault may begin or end.
fn simulate(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS as usize, 6);
    world.run(500);
    let mut submitted = 0;
    for _ in 0..60 {
        if submitted < JOBS && world.has_owner() {
            let steps = world.pick(1..4) as usize;
            let count = world.pick(1..8) as u32;
            let ms = world.pick(100..8_000);
            world.submit(&format!("{submitted:016x}"), job(steps, count, ms));
            submitted += 1;
        }
        heal(&mut world);
        let number = world.pick(0..WORKERS) as usize;
        match world.pick(0..18) {
            0 | 1 => take_over(&mut world),
            2 => {
                if world.has_owner() {
                    world.kill_owner();
                }
                take_over(&mut world);
            }
            3 => {
                world.pause_owner(true);
                take_over(&mut world);
            }
            4 => world.pause_owner(false),
            5 => world.cut_owner_from_store(true),
            6 => world.cut_owner_from_store(false),
            7 | 8 => world.workers[number].is_reachable = false,
            9 => {
                let now_ms = world.now_ms;
                world.workers[number].restart(now_ms);
                world.register(number);
            }
            10 => {
                world.faults = Faults {
                    lost_answers: 0.1,
                    delayed_starts: 0.1,
                    slow_commits: 0.3,
                };
            }
            11 => world.faults = Faults::default(),
            12 => world.is_store_up = false,
            13 | 14 => {
                let ms = world.pick(100..4_000) as i64;
                world.hide(number, ms);
            }
            15 => world.workers[number].report_ms = world.pick(0..400) as i64,
            16 if submitted > 0 && world.has_owner() => {
                let job = world.pick(0..submitted);
                world.cancel(&format!("{job:016x}"));
            }
            _ => {}
        }
        world.run(500);
    }
    world.is_store_up = true;
    if !world.has_owner() {
        world.start_owner();
    }
    world.finish();
    world
}

#[test]
fn invariants_hold_over_slow_takeovers() {
    let starts = play_seeds(SEEDS, |seed| simulate(seed).invariants.starts);
    assert!(starts > 1_000, "only {starts} tasks were started");
}
