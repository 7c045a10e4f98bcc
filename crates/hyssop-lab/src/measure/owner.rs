use super::Parameters;
use crate::error::Error;
use crate::report::{print_rows, write_json};
use hyssop_model::work::{
    Completion, Configuration, Outcome, Queue, Report, Resources, Step, Submission, Task, Worker,
};
use hyssop_platform::dialect::StartOutcome;
use hyssop_policy::owner::{Action, Scheduler, Settings, StartResult, WorkerKey};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The cost of scheduling for one number of workers.
#[derive(Debug, Serialize)]
struct Cost {
    workers: usize,
    starts: usize,
    us_per_start: f64,
    us_per_job: f64,
    #[serde(rename = "waiting_at_most")]
    max_waiting: usize,
}

const CORES: u64 = 16;
const TASKS: u32 = 6;
const TASK_MS: u64 = 200;
const STEP_MS: u64 = 5;
/// The fraction of the pool's capacity that the load requests.
const UTILIZATION: f64 = 0.8;
const SIMULATED_SECONDS: u64 = 10;
/// Targets of docs/MEASUREMENTS.md: the time per start and completion at 80 workers, and its growth
/// factor from 80 to 1,000 workers.
const TARGET_US: f64 = 15.0;
const TARGET_GROWTH: f64 = 2.0;

/// Measures the time that an owner's scheduler spends on decisions, with a simulated clock and
/// without sockets.
pub(crate) fn owner(parameters: &Parameters) -> Result<bool, Error> {
    let costs: Vec<Cost> = [10, 80, 400, 1_000]
        .iter()
        .map(|workers| measure_once(parameters.seed, *workers))
        .collect();
    let rows = costs.iter().map(|cost| {
        vec![
            cost.workers.to_string(),
            cost.starts.to_string(),
            format!("{:.1}", cost.us_per_start),
            format!("{:.1}", cost.us_per_job),
            cost.max_waiting.to_string(),
        ]
    });
    let header = [
        "workers",
        "starts",
        "us per start and completion",
        "us per job",
        "max waiting",
    ];
    print_rows(&header, rows);
    write_json("owner", &costs)?;
    let growth = costs[3].us_per_start / costs[1].us_per_start;
    println!("growth from 80 to 1,000 workers: {growth:.2}");
    Ok(costs[1].us_per_start <= TARGET_US && growth <= TARGET_GROWTH)
}

/// Accumulates the time spent inside the scheduler.
struct Stopwatch {
    total: Duration,
}

impl Stopwatch {
    fn run<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = work();
        self.total += start.elapsed();
        result
    }
}

fn new_worker(number: usize) -> Worker {
    Worker {
        id: format!("w{number}"),
        incarnation: 1,
        pool: "pool".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".to_owned(),
        labels: vec!["kind".to_owned(), format!("r-{}", number / 12)],
        capacity: Resources {
            cpu: CORES * 1_000,
            memory: 65_536,
            accelerators: 0,
        },
        is_draining: false,
        remaining_ms: None,
        instance: format!("m{number}"),
    }
}

fn new_scheduler(workers: usize) -> Scheduler {
    let mut scheduler = Scheduler::new("pool", 1, Settings::default());
    let queue = Queue {
        name: "queue".to_owned(),
        host: String::new(),
        prefix: "/".to_owned(),
        pool: "pool".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        objective: Duration::from_millis(600),
        advice: None,
        allows_anonymous: false,
    };
    scheduler.configure(&Configuration {
        version: 1,
        queues: BTreeMap::from([("queue".to_owned(), queue)]),
        ..Configuration::default()
    });
    let now = Duration::from_millis(STEP_MS);
    for number in 0..workers {
        scheduler.register_worker(new_worker(number), now);
        let report = Report::default();
        scheduler.receive(WorkerKey(number as u32), report, now, 0, now);
    }
    while scheduler.next_batch(now).is_some() {
        scheduler.on_commit(now);
    }
    scheduler
}

fn submission(random: &mut ChaCha8Rng) -> Submission {
    let step = Step {
        count: TASKS,
        need: Resources {
            cpu: random.random_range(700..1_300),
            memory: 256,
            accelerators: 0,
        },
        estimate_ms: TASK_MS,
        ..Step::default()
    };
    Submission {
        specification: "x".repeat(200),
        steps: vec![step],
        schedule: None,
        account: None,
    }
}

fn measure_once(seed: u64, workers: usize) -> Cost {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut scheduler = new_scheduler(workers);
    let mut stopwatch = Stopwatch {
        total: Duration::ZERO,
    };
    let jobs_per_step = workers as f64 * CORES as f64 * UTILIZATION * STEP_MS as f64
        / (f64::from(TASKS) * TASK_MS as f64);
    let mut due_jobs = 0.0;
    let mut jobs = 0_usize;
    let mut starts = 0_usize;
    let mut max_waiting = 0;
    // The runs by end time and start number, and the number of completions of each worker.
    let mut running: BTreeMap<(u64, usize), (WorkerKey, String, u64)> = BTreeMap::new();
    let mut completion_counts: BTreeMap<WorkerKey, u64> = BTreeMap::new();
    for step in 2..SIMULATED_SECONDS * 1_000 / STEP_MS {
        let ms = step * STEP_MS;
        let now = Duration::from_millis(ms);
        due_jobs += jobs_per_step;
        while due_jobs >= 1.0 {
            due_jobs -= 1.0;
            jobs += 1;
            let id = format!("{jobs:016x}");
            let job = submission(&mut random);
            stopwatch.run(|| scheduler.submit(&id, "queue", job, Duration::ZERO, now, ms as i64));
        }
        // The store is not part of the measurement: every batch commits immediately.
        while stopwatch.run(|| scheduler.next_batch(now)).is_some() {
            stopwatch.run(|| scheduler.on_commit(now));
        }
        let mut completions: BTreeMap<WorkerKey, Vec<Completion>> = BTreeMap::new();
        while let Some(entry) = running.first_entry() {
            if entry.key().0 > ms {
                break;
            }
            let (worker, task, run) = entry.remove();
            let number = completion_counts.entry(worker).or_insert(0);
            *number += 1;
            let task: Task = task
                .parse()
                .unwrap_or_else(|()| unreachable!("invalid task name"));
            completions.entry(worker).or_default().push(Completion {
                number: *number,
                task,
                run,
                outcome: Outcome::Done,
                checkpoint: String::new(),
            });
        }
        for (worker, completions) in completions {
            let report = Report {
                clock_ms: ms as i64,
                incarnation: Some(1),
                running: Vec::new(),
                completions,
                has_more_completions: false,
            };
            let acknowledged = scheduler.worker(worker).map_or(0, |w| w.acknowledgeable());
            stopwatch.run(|| scheduler.receive(worker, report, now, acknowledged, now));
        }
        let actions = stopwatch.run(|| scheduler.advance(now, ms as i64));
        for action in actions {
            let Action::Start { worker, task, run } = action else {
                continue;
            };
            let order = stopwatch.run(|| scheduler.order(worker, task, run, now));
            let Some(order) = order else {
                continue;
            };
            let done = StartResult::Answered(StartOutcome::Done(Some(ms as i64)));
            stopwatch.run(|| scheduler.on_start_result(worker, task, run, done, now));
            let duration_ms = random.random_range(TASK_MS / 2..TASK_MS * 3 / 2);
            running.insert((ms + duration_ms, starts), (worker, order.task, run));
            starts += 1;
        }
        max_waiting = max_waiting.max(scheduler.waiting("queue"));
    }
    let total_us = stopwatch.total.as_secs_f64() * 1e6;
    Cost {
        workers,
        starts,
        us_per_start: total_us / starts.max(1) as f64,
        us_per_job: total_us / jobs.max(1) as f64,
        max_waiting,
    }
}
