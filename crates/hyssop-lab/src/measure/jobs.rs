use super::Parameters;
use crate::error::Error;
use crate::report::{print_rows, write_json};
use hyssop_config::fleet::Team;
use hyssop_model::class::Class;
use hyssop_model::job::{Record, Size, Spec, Worker};
use hyssop_platform::worker::{Phase, Usage};
use hyssop_policy::job::{Action, Event, Scheduler, Settings};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::time::{Duration, Instant};

/// The cost of placement for one number of workers.
#[derive(Debug, Serialize)]
struct Placement {
    workers: usize,
    jobs: usize,
    full_pass_ms: f64,
    placed: usize,
    placements_per_second: f64,
    incremental_median_us: f64,
    incremental_p99_us: f64,
    worst_share_error: f64,
}

const POOLS: usize = 72;
const TEAMS: usize = 620;
const JOBS_PER_WORKER: usize = 6;
const INCREMENTS: usize = 2000;

/// Measures the placement decision in isolation, for several fleet sizes, with a simulated clock.
pub(crate) fn jobs(parameters: &Parameters) -> Result<bool, Error> {
    let sizes = [500, 2000, 5600];
    let results: Vec<Placement> = sizes
        .iter()
        .map(|workers| measure_once(parameters.seed, *workers))
        .collect();
    let header = [
        "workers",
        "jobs",
        "full pass ms",
        "placed",
        "placements/s",
        "one job us (median)",
        "p99",
        "share error",
    ];
    let rows = results.iter().map(|result| {
        vec![
            result.workers.to_string(),
            result.jobs.to_string(),
            format!("{:.1}", result.full_pass_ms),
            result.placed.to_string(),
            format!("{:.0}", result.placements_per_second),
            format!("{:.1}", result.incremental_median_us),
            format!("{:.1}", result.incremental_p99_us),
            format!("{:.2}%", result.worst_share_error * 100.0),
        ]
    });
    print_rows(&header, rows);
    write_json("jobs", &results)?;
    const PASS_TARGET_MS: f64 = 100.0;
    const INCREMENT_TARGET_US: f64 = 1000.0;
    const SHARE_TARGET: f64 = 0.02;
    let meets_targets = |result: &Placement| {
        result.full_pass_ms < PASS_TARGET_MS
            && result.incremental_p99_us < INCREMENT_TARGET_US
            && result.worst_share_error < SHARE_TARGET
    };
    Ok(results.iter().all(meets_targets))
}

fn worker(number: usize) -> Worker {
    // About 8,000 accelerators on 5,600 workers: seven workers of ten have two.
    let accelerators = if number % 10 < 7 { 2 } else { 0 };
    Worker {
        name: format!("w-{number:05}"),
        pool: format!("pool-{:02}", number % POOLS),
        rack: format!("r-{}", number / 16),
        size: Size {
            cpu_millis: 64_000,
            memory_mib: 131_072,
            accelerators,
        },
    }
}

fn job(random: &mut ChaCha8Rng, number: usize) -> Record {
    Record::new(
        format!("j-{number:07}"),
        Spec {
            pool: format!("pool-{:02}", random.random_range(0..POOLS)),
            team: format!("team-{:03}", number % TEAMS),
            class: Class::Normal,
            command: format!("command-{}", number % 100),
            size: Size {
                cpu_millis: 16_000,
                memory_mib: 16_384,
                accelerators: 0,
            },
            is_idempotent: true,
        },
        0,
    )
}

fn measure_once(seed: u64, workers: usize) -> Placement {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut scheduler = Scheduler::new(Settings::default());
    let mut out = Vec::new();
    scheduler.step(
        start,
        0,
        Event::Workers((0..workers).map(worker).collect()),
        &mut out,
    );
    let team = |number: usize| Team {
        name: format!("team-{number:03}"),
        weight: 1 + (number % 2) as u32,
    };
    scheduler.step(
        start,
        0,
        Event::Teams((0..TEAMS).map(team).collect()),
        &mut out,
    );
    let jobs = workers * JOBS_PER_WORKER;
    for number in 0..jobs {
        scheduler.step(start, 0, Event::Job(job(&mut random, number)), &mut out);
    }
    out.clear();
    let begin = Instant::now();
    scheduler.step(start, 0, Event::Tick, &mut out);
    let full_pass = begin.elapsed();
    let mut running: Vec<Record> = out
        .drain(..)
        .filter_map(|action| match action {
            Action::Start(record) => Some(record),
            _ => None,
        })
        .collect();
    let placed = running.len();
    let mut times = measure_increments(&mut random, &mut scheduler, &mut running, start, jobs);
    times.sort_unstable();
    Placement {
        workers,
        jobs,
        full_pass_ms: full_pass.as_secs_f64() * 1e3,
        placed,
        placements_per_second: placed as f64 / full_pass.as_secs_f64(),
        incremental_median_us: times[times.len() / 2].as_secs_f64() * 1e6,
        incremental_p99_us: times[times.len() * 99 / 100].as_secs_f64() * 1e6,
        worst_share_error: share_error(&scheduler),
    }
}

/// Completes one job after another, submits a new job of the same team, and times each pass that
/// places it.
fn measure_increments(
    random: &mut ChaCha8Rng,
    scheduler: &mut Scheduler,
    running: &mut Vec<Record>,
    start: Instant,
    first: usize,
) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut out = Vec::new();
    for step in 0..INCREMENTS {
        let index = random.random_range(0..running.len());
        let finished = running.swap_remove(index);
        let usage = Usage {
            worker: finished.worker.clone().unwrap_or_default(),
            task: finished.id.clone(),
            fence: finished.fence,
            phase: Phase::Done,
            cpu_millis: finished.size.cpu_millis,
            memory_mib: finished.size.memory_mib,
            ran_ms: 1000,
        };
        let mut next = job(random, first + step);
        next.team = finished.team;
        let now = start + Duration::from_millis(step as u64);
        let begin = Instant::now();
        scheduler.step(now, step as u64, Event::Usage(vec![usage]), &mut out);
        scheduler.step(now, step as u64, Event::Job(next), &mut out);
        scheduler.step(now, step as u64, Event::Tick, &mut out);
        times.push(begin.elapsed());
        running.extend(out.drain(..).filter_map(|action| match action {
            Action::Start(record) => Some(record),
            _ => None,
        }));
    }
    times
}

/// Returns the deviation of the combined share of the teams of weight 1 from its fair value; the
/// other half of the teams has weight 2.
fn share_error(scheduler: &Scheduler) -> f64 {
    let mut shares = [0.0, 0.0];
    for number in 0..TEAMS {
        shares[number % 2] += scheduler.share(&format!("team-{number:03}"));
    }
    let total = shares[0] + shares[1];
    const EXPECTED_SHARE: f64 = 1.0 / 3.0;
    (shares[0] / total - EXPECTED_SHARE).abs()
}
