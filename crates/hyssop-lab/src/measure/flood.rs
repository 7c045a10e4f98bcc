use super::load::Load;
use super::Parameters;
use crate::check::Violations;
use crate::cluster::{Cluster, Options};
use crate::error::{ConfigSnafu, Error, FileSnafu, SystemSnafu};
use crate::process::Usage;
use crate::report::{print_rows, print_violations, write_json};
use hyssop_config::fleet::{Fleet, Pool};
use hyssop_config::settings::Admission;
use hyssop_load::{Outcome, Record, Shape, Stream, Summary};
use hyssop_model::class::Class;
use serde::Serialize;
use snafu::ResultExt;
use std::time::{Duration, Instant};

/// One run of the base load, with or without a flood.
#[derive(Debug, Serialize)]
struct Run {
    admission: String,
    flood: String,
    summaries: Vec<Summary>,
    #[serde(rename = "busy_part")]
    busy_fraction: f64,
    /// The processor time of all entries beyond their idle usage, in seconds.
    entry_cpu_s: f64,
    #[serde(rename = "promises")]
    violations: Violations,
}

/// The effect of a flood on the other queues.
#[derive(Debug, Serialize)]
struct FloodResult {
    admission: String,
    flood: String,
    worst_kept: f64,
    worst_queue: String,
    #[serde(rename = "busy_part")]
    busy_fraction: f64,
    #[serde(rename = "refused_cpu_part")]
    refused_cpu_ratio: f64,
    lag_p99_ms: f64,
    #[serde(rename = "are_promises_kept")]
    are_guarantees_kept: bool,
}

const REQUEST_S: f64 = 1.0;
const PATH: &str = "/work?ms=1000";
const BURST_DURATION: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_secs(8);
const FLOOD_DELAY: Duration = Duration::from_secs(5);
const FLOOD_DURATION: Duration = Duration::from_secs(30);
const LOAD_DURATION: Duration = Duration::from_secs(40);
/// The rate of a flood, as a multiple of the capacity of the flooded pools.
const FLOOD_FACTOR: f64 = 10.0;

/// Measures the throughput that the other queues keep while the main queue of every pool is
/// flooded.
pub(crate) fn flood(parameters: &Parameters) -> Result<bool, Error> {
    let text = std::fs::read_to_string(&parameters.config).context(FileSnafu {
        path: &parameters.config,
    })?;
    let fleet = Fleet::parse(&parameters.config, &text).context(ConfigSnafu)?;
    let mut results = Vec::new();
    let baselines = [Admission::Fifo, Admission::Priority];
    let baselines = baselines
        .into_iter()
        .filter(|_| !parameters.is_without_baselines);
    for admission in std::iter::once(Admission::Fair).chain(baselines) {
        let quiet = run_once(parameters, &fleet, admission, None)?;
        for class in [Class::Deferrable, Class::Urgent] {
            let flooded = run_once(parameters, &fleet, admission, Some(class))?;
            results.push(compare(&quiet, &flooded));
            write_json(&format!("flood-{admission}-{class}"), &flooded)?;
        }
        if admission == Admission::Fair {
            print_violations(&quiet.violations);
        }
    }
    print(&results);
    write_json("flood", &results)?;
    const KEPT_TARGET: f64 = 0.98;
    const BUSY_TARGET: f64 = 0.95;
    const REFUSED_TARGET: f64 = 0.1;
    let fair = results
        .iter()
        .filter(|result| result.admission == Admission::Fair.to_string());
    let meets_targets = |result: &FloodResult| {
        result.worst_kept >= KEPT_TARGET
            && result.busy_fraction >= BUSY_TARGET
            && result.refused_cpu_ratio < REFUSED_TARGET
            && result.are_guarantees_kept
    };
    Ok(fair.filter(|result| !meets_targets(result)).count() == 0)
}

/// Returns the base load. The main queues take turns with bursts of five times their mean rate,
/// which exceeds the capacity of their pool. The side queues do the same at a smaller rate, two
/// turns later.
fn base_streams(fleet: &Fleet, slots: u32) -> Vec<Stream> {
    const MAIN_SHARE: f64 = 0.24;
    const SIDE_SHARE: f64 = 0.04;
    const BURST_FACTOR: f64 = 5.0;
    const IDLE_FACTOR: f64 = 0.05;
    const SIDE_TURN_OFFSET: usize = 2;
    let count = fleet.pools.len();
    let mut streams = Vec::new();
    for (index, pool) in fleet.pools.iter().enumerate() {
        let capacity = f64::from(pool.size * slots) / REQUEST_S;
        let main = Shape::rotating(
            capacity * MAIN_SHARE,
            BURST_FACTOR,
            IDLE_FACTOR,
            BURST_DURATION,
            index,
            count,
        );
        let turn = (index + SIDE_TURN_OFFSET) % count;
        let side = Shape::rotating(
            capacity * SIDE_SHARE,
            BURST_FACTOR,
            IDLE_FACTOR,
            BURST_DURATION,
            turn,
            count,
        );
        streams.push(Stream::new(&pool.name, main_queue(pool), PATH, main));
        streams.push(Stream::new(&pool.name, side_queue(pool), PATH, side));
    }
    for stream in &mut streams {
        stream.deadline = DEADLINE;
    }
    streams
}

/// Returns a flood stream for every pool's main queue.
fn floods(fleet: &Fleet, slots: u32, class: Class) -> Vec<Stream> {
    let flood = |pool: &Pool| {
        let capacity = f64::from(pool.size * slots) / REQUEST_S;
        let shape = Shape {
            steps: vec![
                (FLOOD_DELAY, 0.0),
                (FLOOD_DURATION, capacity * FLOOD_FACTOR),
            ],
            is_repeated: false,
        };
        let mut stream = Stream::new(&pool.name, main_queue(pool), PATH, shape);
        stream.name = format!("{}/flood", pool.name);
        stream.class = class;
        stream.deadline = DEADLINE;
        stream
    };
    fleet.pools.iter().map(flood).collect()
}

fn main_queue(pool: &Pool) -> &str {
    pool.queues
        .get(1)
        .map_or(Pool::DEFAULT_QUEUE, |queue| &queue.name)
}

fn side_queue(pool: &Pool) -> &str {
    pool.queues
        .get(2)
        .map_or(Pool::DEFAULT_QUEUE, |queue| &queue.name)
}

fn run_once(
    parameters: &Parameters,
    fleet: &Fleet,
    admission: Admission,
    class: Option<Class>,
) -> Result<Run, Error> {
    let cluster = Cluster::start(Options {
        config: parameters.config.clone(),
        admission,
        log: "warn".to_owned(),
        ..Options::default()
    })?;
    let mut streams = base_streams(fleet, cluster.machines.slots);
    if let Some(class) = class {
        streams.extend(floods(fleet, cluster.machines.slots, class));
    }
    let balancer = cluster.balancer();
    balancer.watch().context(SystemSnafu)?;
    let idle = idle_cpu_rate(&cluster);
    let (cpu_before, started) = (entry_cpu_seconds(&cluster), Instant::now());
    let load = Load::start(&streams, &balancer, LOAD_DURATION, parameters.seed)?;
    // The first second of the flood fills the queues, so the window starts after it.
    std::thread::sleep(FLOOD_DELAY + Duration::from_secs(2));
    let busy_before = busy_seconds(&cluster)?;
    let window = FLOOD_DURATION - Duration::from_secs(4);
    std::thread::sleep(window);
    let busy = busy_seconds(&cluster)? - busy_before;
    let records = load.finish();
    let cpu = entry_cpu_seconds(&cluster) - cpu_before - idle * started.elapsed().as_secs_f64();
    let slots = f64::from(cluster.machines.instances * cluster.machines.slots);
    let run = Run {
        admission: admission.to_string(),
        flood: class.map_or("none".to_owned(), |class| class.to_string()),
        summaries: Summary::by_stream(&streams, &records),
        busy_fraction: busy / (slots * window.as_secs_f64()),
        entry_cpu_s: cpu,
        violations: check(&cluster, &records)?,
    };
    cluster.stop();
    Ok(run)
}

fn check(cluster: &Cluster, records: &[Record]) -> Result<Violations, Error> {
    Violations::check(cluster, records)
}

/// Returns the busy time summed over all slots, in seconds.
fn busy_seconds(cluster: &Cluster) -> Result<f64, Error> {
    const US_PER_S: f64 = 1e6;
    let busy_us: u64 = cluster.views()?.iter().map(|view| view.busy_us).sum();
    Ok(busy_us as f64 / US_PER_S)
}

fn entry_cpu_seconds(cluster: &Cluster) -> f64 {
    let usages = cluster
        .entries
        .iter()
        .filter_map(|entry| Usage::of(entry.pid));
    usages.map(|usage| usage.cpu.as_secs_f64()).sum()
}

/// Returns the processor time that the idle entries use per second, in seconds.
fn idle_cpu_rate(cluster: &Cluster) -> f64 {
    const WINDOW: Duration = Duration::from_secs(4);
    let before = entry_cpu_seconds(cluster);
    std::thread::sleep(WINDOW);
    (entry_cpu_seconds(cluster) - before) / WINDOW.as_secs_f64()
}

fn compare(quiet: &Run, flooded: &Run) -> FloodResult {
    let mut worst = (f64::INFINITY, String::new());
    for (before, after) in quiet.summaries.iter().zip(&flooded.summaries) {
        let is_main = flooded.summaries.iter().any(|summary| {
            let pool = before.name.split('/').next().unwrap_or("");
            summary.name == format!("{pool}/flood")
                && is_first_of_pool(&quiet.summaries, &before.name)
        });
        if is_main || before.in_time == 0 {
            continue;
        }
        let ratio = after.in_time as f64 / before.in_time as f64;
        if ratio < worst.0 {
            worst = (ratio, before.name.clone());
        }
    }
    let answered = |run: &Run| -> f64 {
        run.summaries
            .iter()
            .map(|summary| summary.count(Outcome::Answered) as f64)
            .sum()
    };
    let refused = |run: &Run| -> f64 {
        run.summaries
            .iter()
            .map(|summary| summary.count(Outcome::NotRun) as f64)
            .sum()
    };
    let cost = quiet.entry_cpu_s / answered(quiet).max(1.0);
    let refused_cost =
        (flooded.entry_cpu_s - cost * answered(flooded)).max(0.0) / refused(flooded).max(1.0);
    let lag = flooded
        .summaries
        .iter()
        .map(|summary| summary.lag_p99_us)
        .max()
        .unwrap_or(0);
    FloodResult {
        admission: flooded.admission.clone(),
        flood: flooded.flood.clone(),
        worst_kept: worst.0,
        worst_queue: worst.1,
        busy_fraction: flooded.busy_fraction,
        refused_cpu_ratio: refused_cost / cost,
        lag_p99_ms: lag as f64 / 1000.0,
        are_guarantees_kept: flooded.violations.is_acceptable(0),
    }
}

/// Returns whether a stream is the first of its pool, which belongs to the main queue.
fn is_first_of_pool(summaries: &[Summary], name: &str) -> bool {
    let pool = name.split('/').next().unwrap_or("");
    let prefix = format!("{pool}/");
    summaries
        .iter()
        .find(|summary| summary.name.starts_with(&prefix))
        .is_some_and(|first| first.name == name)
}

fn print(results: &[FloodResult]) {
    let header = [
        "admission",
        "flood",
        "worst kept",
        "queue",
        "slots busy",
        "refused/answered cpu",
        "lag p99 ms",
        "promises",
    ];
    let rows = results.iter().map(|result| {
        vec![
            result.admission.clone(),
            result.flood.clone(),
            format!("{:.1}%", result.worst_kept * 100.0),
            result.worst_queue.clone(),
            format!("{:.1}%", result.busy_fraction * 100.0),
            format!("{:.2}", result.refused_cpu_ratio),
            format!("{:.1}", result.lag_p99_ms),
            if result.are_guarantees_kept {
                "kept"
            } else {
                "BROKEN"
            }
            .to_owned(),
        ]
    });
    print_rows(&header, rows);
}
