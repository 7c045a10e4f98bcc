use super::load::Load;
use super::skew::control_bytes;
use super::Parameters;
use crate::cluster::{Cluster, Options};
use crate::error::{Error, FileSnafu};
use crate::process::Usage;
use crate::report::{print_rows, write_json};
use hyssop_config::fleet::Fleet;
use hyssop_load::{Shape, Stream};
use hyssop_model::entry::{Id, Member};
use hyssop_model::instance::{self, State};
use hyssop_policy::dispatch::{Dispatcher, Event, Settings};
use serde::Serialize;
use snafu::ResultExt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The values of a quantity at several sizes and the line fitted to them.
#[derive(Debug, Serialize)]
struct Slope {
    varied: String,
    measured: String,
    sizes: Vec<f64>,
    values: Vec<f64>,
    at_zero: f64,
    per_unit: f64,
    /// The root mean square error of the line, relative to the mean value.
    error: f64,
}

/// The resource usage of one run of the programs.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    entry_core_percent: f64,
    entry_mib: f64,
    planner_core_percent: f64,
    planner_mib: f64,
    peer_bytes_per_second: f64,
    row_reads_per_second: f64,
    row_writes_per_second: f64,
}

const WINDOW: Duration = Duration::from_secs(8);

/// Measures the resource usage of each process as one size after another grows.
pub(crate) fn slopes(parameters: &Parameters) -> Result<bool, Error> {
    let mut slopes = Vec::new();
    let by_entries = vary(&[2.0, 4.0, 6.0, 8.0], |size| {
        run(parameters, size as usize, 50, 0.0)
    })?;
    slopes.extend(fit_all("entries", &by_entries));
    let by_instances = vary(&[25.0, 50.0, 100.0, 200.0], |size| {
        run(parameters, 4, size as u32, 0.0)
    })?;
    slopes.extend(fit_all("instances", &by_instances));
    let by_requests = vary(&[100.0, 200.0, 400.0, 800.0], |n| run(parameters, 4, 50, n))?;
    slopes.extend(fit_all("requests a second", &by_requests));
    slopes.extend(fit_decisions());
    print(&slopes);
    write_json("slopes", &slopes)?;
    Ok(true)
}

fn vary(
    sizes: &[f64],
    mut run: impl FnMut(f64) -> Result<Cost, Error>,
) -> Result<Vec<(f64, Cost)>, Error> {
    sizes.iter().map(|size| Ok((*size, run(*size)?))).collect()
}

fn run(
    parameters: &Parameters,
    entries: usize,
    instances: u32,
    requests: f64,
) -> Result<Cost, Error> {
    let config = scaled_settings(instances)?;
    let cluster = Cluster::start(Options {
        config,
        entries,
        log: "warn".to_owned(),
        ..Options::default()
    })?;
    let mut streams = Vec::new();
    for pool in ["permits", "fees", "notices", "hauliers", "clerks"] {
        if requests > 0.0 {
            streams.push(Stream::new(
                pool,
                "default",
                "/work?ms=50",
                Shape::constant(requests / 5.0),
            ));
        }
    }
    let load = Load::start(
        &streams,
        &cluster.balancer(),
        WINDOW + Duration::from_secs(2),
        parameters.seed,
    )?;
    std::thread::sleep(Duration::from_secs(1));
    let cost = observe(&cluster)?;
    load.finish();
    cluster.stop();
    Ok(cost)
}

/// Measures an idle or loaded cluster over the window.
fn observe(cluster: &Cluster) -> Result<Cost, Error> {
    let usages =
        |pids: &[u32]| -> Vec<Usage> { pids.iter().filter_map(|pid| Usage::of(*pid)).collect() };
    let entry_pids: Vec<u32> = cluster.entries.iter().map(|entry| entry.pid).collect();
    let planner_pids: Vec<u32> = cluster.planners.iter().map(|planner| planner.pid).collect();
    let entries_before = usages(&entry_pids);
    let planners_before = usages(&planner_pids);
    let (bytes_before, stats_before) = (control_bytes(cluster), cluster.stats()?);
    std::thread::sleep(WINDOW);
    let entries = usages(&entry_pids);
    let planners = usages(&planner_pids);
    let (bytes, stats) = (control_bytes(cluster), cluster.stats()?);
    let seconds = WINDOW.as_secs_f64();
    let percent =
        |before: &Usage, after: &Usage| (after.cpu - before.cpu).as_secs_f64() / seconds * 100.0;
    const MIB: f64 = 1_048_576.0;
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let entry_percents = entries_before
        .iter()
        .zip(&entries)
        .map(|(before, after)| percent(before, after));
    let planner_percents = planners_before
        .iter()
        .zip(&planners)
        .map(|(before, after)| percent(before, after));
    Ok(Cost {
        entry_core_percent: mean(entry_percents.collect()),
        entry_mib: mean(
            entries
                .iter()
                .map(|usage| usage.resident as f64 / MIB)
                .collect(),
        ),
        // Only the planner that holds the lease is active.
        planner_core_percent: planner_percents.fold(0.0, f64::max),
        planner_mib: planners
            .iter()
            .map(|usage| usage.resident as f64 / MIB)
            .fold(0.0, f64::max),
        peer_bytes_per_second: (bytes - bytes_before) / seconds / cluster.entries.len() as f64,
        row_reads_per_second: (stats.row_reads - stats_before.row_reads) as f64 / seconds,
        row_writes_per_second: (stats.row_writes - stats_before.row_writes) as f64 / seconds,
    })
}

/// Writes the settings of a fleet of `instances` instances, divided evenly among five pools, and
/// returns their path.
fn scaled_settings(instances: u32) -> Result<String, Error> {
    let path = std::env::temp_dir().join(format!(
        "hyssop-slopes-{}-{instances}.ini",
        std::process::id()
    ));
    let path = path.display().to_string();
    let size = instances / 5;
    let mut text = "[fleet]\nspare = clerks\n".to_owned();
    for pool in ["permits", "fees", "notices", "hauliers", "clerks"] {
        text.push_str(&format!(
            "[pool {pool}]\nsize = {size}\nbudget = {}\n",
            size / 2
        ));
    }
    let machines = format!(
        "[machines]\nregion = slopes\ndata_centres = dc-1, dc-2, dc-3, dc-4\ninstances = {instances}\nper_rack = 4\nslots \
         = 8\nconnections = 64\n"
    );
    std::fs::write(&path, text).context(FileSnafu { path: &path })?;
    let machines_path = path.replace(".ini", ".fleet.ini");
    std::fs::write(&machines_path, machines).context(FileSnafu {
        path: machines_path,
    })?;
    Ok(path)
}

fn fit_all(varied: &str, runs: &[(f64, Cost)]) -> Vec<Slope> {
    let quantities: [(&str, Quantity); 7] = [
        ("entry, % of a core", |cost| cost.entry_core_percent),
        ("entry, MiB", |cost| cost.entry_mib),
        ("planner with the lease, % of a core", |cost| {
            cost.planner_core_percent
        }),
        ("planner with the lease, MiB", |cost| cost.planner_mib),
        ("frames to peers, bytes/s an entry", |cost| {
            cost.peer_bytes_per_second
        }),
        ("row reads/s, all processes", |cost| {
            cost.row_reads_per_second
        }),
        ("row writes/s, all processes", |cost| {
            cost.row_writes_per_second
        }),
    ];
    let slopes = quantities.iter().map(|(measured, value)| {
        let sizes = runs.iter().map(|(size, _)| *size).collect();
        let values = runs.iter().map(|(_, cost)| value(cost)).collect();
        fit(varied, measured, sizes, values)
    });
    slopes.collect()
}

/// A function that returns one quantity of a run.
type Quantity = fn(&Cost) -> f64;

/// Fits a line by least squares.
fn fit(varied: &str, measured: &str, sizes: Vec<f64>, values: Vec<f64>) -> Slope {
    let count = sizes.len() as f64;
    let mean_size = sizes.iter().sum::<f64>() / count;
    let mean_value = values.iter().sum::<f64>() / count;
    let pairs = || sizes.iter().zip(&values);
    let covariance: f64 = pairs()
        .map(|(size, value)| (size - mean_size) * (value - mean_value))
        .sum();
    let variance: f64 = sizes.iter().map(|size| (size - mean_size).powi(2)).sum();
    let per_unit = covariance / variance;
    let at_zero = mean_value - per_unit * mean_size;
    let squared_error: f64 = pairs()
        .map(|(size, value)| (at_zero + per_unit * size - value).powi(2))
        .sum();
    let error = (squared_error / count).sqrt() / mean_value.abs().max(1e-9);
    Slope {
        varied: varied.to_owned(),
        measured: measured.to_owned(),
        sizes,
        values,
        at_zero,
        per_unit,
        error,
    }
}

/// Measures the dispatcher's decisions in isolation: a tick and the adoption of an epoch.
fn fit_decisions() -> Vec<Slope> {
    let sizes = [100.0, 200.0, 400.0, 800.0];
    let by_instances = sizes.map(|size| time_decisions(size as u32, 8, 5));
    let members = [4.0, 8.0, 16.0, 32.0];
    let by_members = members.map(|size| time_decisions(100, size as u64, 5));
    let pools = [9.0, 18.0, 36.0, 72.0];
    let by_pools = pools.map(|size| time_decisions(360, 8, size as u32));
    let slope = |varied: &str, measured: &str, sizes: &[f64], values: Vec<f64>| {
        fit(varied, measured, sizes.to_vec(), values)
    };
    let ticks = |runs: &[(f64, f64)]| runs.iter().map(|run| run.0).collect();
    let epochs = |runs: &[(f64, f64)]| runs.iter().map(|run| run.1).collect();
    vec![
        slope(
            "instances",
            "tick of the request path, us",
            &sizes,
            ticks(&by_instances),
        ),
        slope("instances", "new epoch, us", &sizes, epochs(&by_instances)),
        slope(
            "members",
            "tick of the request path, us",
            &members,
            ticks(&by_members),
        ),
        slope("members", "new epoch, us", &members, epochs(&by_members)),
        slope(
            "pools",
            "tick of the request path, us",
            &pools,
            ticks(&by_pools),
        ),
    ]
}

/// Returns the time of a tick and of the adoption of an epoch, in microseconds.
fn time_decisions(instances: u32, members: u64, pools: u32) -> (f64, f64) {
    const TICKS: u32 = 200;
    let mut now = Instant::now();
    let mut dispatcher = Dispatcher::new(Id(1), Settings::default());
    let mut out = Vec::new();
    let mut text = "[fleet]\nspare = pool-0\n".to_owned();
    for pool in 0..pools {
        text.push_str(&format!("[pool pool-{pool}]\nsize = 10\nbudget = 5\n"));
    }
    if let Ok(fleet) = Fleet::parse("slopes", &text) {
        dispatcher.step(now, Event::Fleet(Arc::new(fleet)), &mut out);
    }
    let records = (0..instances).map(|number| record(number, pools)).collect();
    dispatcher.step(now, Event::Instances(records), &mut out);
    let before = Instant::now();
    dispatcher.step(now, Event::Epoch(epoch(1, members)), &mut out);
    let epoch_us = before.elapsed().as_secs_f64() * 1e6;
    let mut tick = Duration::ZERO;
    for _ in 0..TICKS {
        now += Duration::from_millis(20);
        out.clear();
        let before = Instant::now();
        dispatcher.step(now, Event::Tick, &mut out);
        tick += before.elapsed();
    }
    (tick.as_secs_f64() * 1e6 / f64::from(TICKS), epoch_us)
}

fn record(number: u32, pools: u32) -> instance::Record {
    instance::Record {
        key: instance::Key(number),
        name: format!("i-{number:04}"),
        address: "127.0.0.1:1".to_owned(),
        rack: format!("r-{}", number / 4),
        data_centre: format!("dc-{}", number % 4),
        slots: 8,
        connections: 64,
        pool: format!("pool-{}", number % pools),
        state: State::Serving,
        moving_to: None,
        cause: None,
        maintained_ms: 0,
        boots: 1,
        revision: 1,
    }
}

fn epoch(number: u64, members: u64) -> hyssop_model::epoch::Record {
    let member = |id: u64| Member {
        id: Id(id),
        name: format!("entry-{id}"),
        address: String::new(),
        peer_address: String::new(),
        data_centre: format!("dc-{}", id % 4),
    };
    hyssop_model::epoch::Record {
        number,
        members: (1..=members).map(member).collect(),
        ..hyssop_model::epoch::Record::default()
    }
}

fn print(slopes: &[Slope]) {
    let header = [
        "varied", "measured", "sizes", "values", "at zero", "per unit", "error",
    ];
    let list = |values: &[f64]| {
        let shown: Vec<String> = values
            .iter()
            .map(|value| {
                format!("{value:.4}")
                    .trim_end_matches('0')
                    .trim_end_matches('.')
                    .to_owned()
            })
            .collect();
        shown.join(" ")
    };
    let rows = slopes.iter().map(|slope| {
        vec![
            slope.varied.clone(),
            slope.measured.clone(),
            list(&slope.sizes),
            list(&slope.values),
            format!("{:.3}", slope.at_zero),
            format!("{:.5}", slope.per_unit),
            format!("{:.0}%", slope.error * 100.0),
        ]
    });
    print_rows(&header, rows);
}
