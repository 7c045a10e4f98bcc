//! Seeded simulations of one pool under faults. The model checks the invariants at each start and
//! acknowledgement.

mod model;

use model::{job, play_seeds, Faults, World};

const SEEDS: u64 = 200;
const JOBS: u64 = 30;

/// Runs the simulation of `seed`: every half second a job may arrive and a fault may begin or end.
fn simulate(seed: u64) -> World {
    // In every other simulation, small workers start whatever they are told to.
    let guards_capacity = seed.is_multiple_of(2);
    let cores = if guards_capacity { 6 } else { 3 };
    let mut world = World::new(seed, 5, cores);
    for worker in &mut world.workers {
        worker.guards_capacity = guards_capacity;
    }
    world.run(500);
    let mut submitted = 0;
    for _ in 0..40 {
        if submitted < JOBS {
            let steps = world.pick(1..4) as usize;
            let count = world.pick(1..8) as u32;
            let ms = world.pick(100..2_000);
            world.submit(&format!("{submitted:016x}"), job(steps, count, ms));
            submitted += 1;
        }
        match world.pick(0..17) {
            0 => world.start_owner(),
            1 => {
                world.kill_owner();
                world.run(400);
                world.start_owner();
            }
            2 => {
                world.pause_owner(true);
                world.run(700);
                world.start_owner();
            }
            3 => world.pause_owner(false),
            4 | 5 => {
                let number = world.pick(0..5) as usize;
                world.workers[number].is_reachable = !world.workers[number].is_reachable;
            }
            6 => {
                let number = world.pick(0..5) as usize;
                let now_ms = world.now_ms;
                world.workers[number].restart(now_ms);
                world.register(number);
            }
            7 => {
                world.faults = Faults {
                    lost_answers: 0.1,
                    delayed_starts: 0.1,
                    slow_commits: 0.3,
                };
            }
            8 => world.faults = Faults::default(),
            9 => world.is_store_up = !world.is_store_up,
            10 => {
                let number = world.pick(0..submitted);
                world.cancel(&format!("{number:016x}"));
            }
            11 => {
                let number = world.pick(0..5) as usize;
                world.workers[number].hangs = !world.workers[number].hangs;
            }
            12 => {
                world.withdraw(&format!("{:016x}", submitted - 1));
            }
            13 => world.cut_owner_from_store(true),
            14 => world.cut_owner_from_store(false),
            15 => {
                // The next owner finds the runs of a cancelled job that are being stopped.
                let number = world.pick(0..submitted);
                world.cancel(&format!("{number:016x}"));
                world.run(30);
                world.start_owner();
            }
            _ => {}
        }
        world.run(500);
    }
    world.finish();
    world
}

#[test]
fn invariants_hold_under_faults() {
    let starts = play_seeds(SEEDS, |seed| simulate(seed).invariants.starts);
    assert!(starts > 1_000, "only {starts} tasks were started");
}
