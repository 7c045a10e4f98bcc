//! Seeded simulations of several pools with accounts, whose quotas change while owners change, answers are
//! lost, and the store is down or cut off.

mod model;

use model::{job, play_seeds, Faults, PlannedStop, Pools, Takeover};

const SEEDS: u64 = 60;
const ACCOUNTS: [&str; 3] = ["acme", "bolt", "corp"];
/// The highest quota, in cores; each pool has twice as many.
const MAX_QUOTA: u64 = 8;

/// Returns random quotas, in thousandths of a core.
fn quotas(pools: &mut Pools) -> Vec<(&'static str, u64)> {
    let mut pick = || pools.worlds[0].pick(2..MAX_QUOTA + 1) * 1_000;
    let quotas = ACCOUNTS.map(|name| (name, pick()));
    // One account may be left out, whose jobs go on. The first never is, and its quota is checked strictly.
    let left_out = pools.worlds[0].pick(1..12) as usize;
    let kept = quotas.into_iter().enumerate();
    let kept = kept.filter(|(number, _)| *number != left_out);
    kept.map(|(_, quota)| quota).collect()
}

fn takeover(pools: &mut Pools, pool: usize) -> Takeover {
    let world = &mut pools.worlds[pool];
    Takeover {
        commit_ms: world.pick(2..200) as i64,
        read_ms: world.pick(0..200) as i64,
        registry_ms: world.pick(0..300) as i64,
        authority_ms: world.pick(0..3_000) as i64,
        ..Takeover::default()
    }
}

/// Begins or ends a fault, or changes the quotas.
fn disturb(pools: &mut Pools, count: usize) {
    let pool = pools.worlds[0].pick(0..count as u64) as usize;
    let event = pools.worlds[0].pick(0..24);
    let takeover = takeover(pools, pool);
    let world = &mut pools.worlds[pool];
    let worker = world.pick(0..2) as usize;
    match event {
        0 if world.has_owner() => world.take_over(takeover),
        1 => {
            world.kill_owner();
            world.take_over(takeover);
        }
        2 => {
            world.pause_owner(true);
            world.take_over(takeover);
        }
        3 | 4 => world.pause_owner(false),
        5 => world.workers[worker].is_reachable = !world.workers[worker].is_reachable,
        6 => world.crash(worker),
        7 => world.is_store_up = !world.is_store_up,
        8 => world.is_store_up = true,
        9 => world.cut_owner_from_store(true),
        10 | 11 => world.cut_owner_from_store(false),
        12 => {
            world.faults = Faults {
                lost_answers: 0.15,
                delayed_starts: 0.0,
                slow_commits: 0.3,
            };
        }
        13 => world.faults = Faults::default(),
        14 | 15 => {
            let lag_ms = world.pick(1..1_500);
            let quotas = quotas(pools);
            pools.configure(&quotas, lag_ms);
        }
        16 => {
            let stop = PlannedStop {
                release_ms: world.pick(2..100) as i64,
                pause_ms: world.pick(0..200) as i64,
                late_ms: world.pick(0..300),
                takeover,
                ..PlannedStop::default()
            };
            world.stop_owner(stop);
        }
        _ => {}
    }
}

/// Runs the simulation of `seed` and returns the numbers of starts and of those that brought an account
/// above its quota.
fn simulate(seed: u64) -> (usize, usize) {
    let count = 2 + seed as usize % 4;
    let first: Vec<(&str, u64)> = ACCOUNTS.map(|name| (name, 4_000)).to_vec();
    let mut pools = Pools::new(seed, count, MAX_QUOTA, &first);
    pools.run(300);
    let mut number = 0;
    for _ in 0..60 {
        for pool in 0..count {
            let world = &mut pools.worlds[pool];
            if !world.has_owner() || world.pick(0..3) == 0 {
                continue;
            }
            let account = ACCOUNTS[world.pick(0..3) as usize];
            let steps = world.pick(1..3) as usize;
            let tasks = world.pick(1..4) as u32;
            let ms = world.pick(50..1_500);
            let mut submission = job(steps, tasks, ms);
            for step in &mut submission.steps {
                step.gang = tasks == 2 && ms.is_multiple_of(3);
            }
            number += 1;
            pools.submit(pool, account, &format!("{number:016x}"), submission);
        }
        disturb(&mut pools, count);
        let pause_ms = pools.worlds[0].pick(20..80) as i64 * 5;
        pools.run(pause_ms);
    }
    // The tasks that are left would take long under the lowest quotas.
    let highest: Vec<(&str, u64)> = ACCOUNTS.map(|name| (name, MAX_QUOTA * 1_000)).to_vec();
    pools.configure(&highest, 500);
    pools.finish();
    let shared = pools.shared.borrow();
    (shared.starts, shared.exceeding_starts)
}

#[test]
fn accounts_keep_their_quotas_and_all_jobs_end() {
    let starts = play_seeds(SEEDS, |seed| {
        let (starts, exceeding) = simulate(seed);
        assert_eq!(exceeding, 0, "starts above the quota, of {starts}");
        starts
    });
    assert!(starts > 0);
}
