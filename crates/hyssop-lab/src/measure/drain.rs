use super::load::Load;
use super::Parameters;
use crate::check::Violations;
use crate::cluster::{Cluster, Options};
use crate::error::Error;
use crate::report::{print_violations, write_json};
use hyssop_load::{Shape, Stream};
use hyssop_model::instance::State;
use serde::Serialize;
use std::time::{Duration, SystemTime};

/// Times from the operator's drain request to the last new request, over many drains.
#[derive(Debug, Serialize)]
struct Drains {
    store: String,
    drains: usize,
    worst_ms: u64,
    median_ms: u64,
    complete_median_ms: u64,
    started_after_out: u64,
    cut_off: u64,
}

const DRAINS: usize = 100;
const SLOW_DRAINS: usize = 15;
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Drains instances one after another under load, with a healthy store and with a slow one.
pub(crate) fn drain(parameters: &Parameters) -> Result<bool, Error> {
    const UP_TARGET_MS: u64 = 3000;
    const SLOW_TARGET_MS: u64 = 5000;
    let normal = run_once(parameters, false)?;
    let slow = run_once(parameters, true)?;
    let meets_target = |drains: &Drains, target: u64| {
        drains.worst_ms <= target && drains.started_after_out == 0 && drains.cut_off == 0
    };
    let has_passed = meets_target(&normal, UP_TARGET_MS) && meets_target(&slow, SLOW_TARGET_MS);
    write_json("drain", &[normal, slow])?;
    Ok(has_passed)
}

fn run_once(parameters: &Parameters, is_slow: bool) -> Result<Drains, Error> {
    let cluster = Cluster::start(Options {
        config: parameters.config.clone(),
        ..Options::default()
    })?;
    let names: Vec<String> = cluster
        .instances()?
        .into_iter()
        .map(|record| record.name)
        .collect();
    let pools = ["permits", "fees", "notices", "hauliers", "clerks"];
    let stream = |pool: &&str| Stream::new(pool, "default", "/work?ms=50", Shape::constant(100.0));
    let streams: Vec<Stream> = pools.iter().map(stream).collect();
    const NORMAL_DURATION: Duration = Duration::from_secs(110);
    const SLOW_DURATION: Duration = Duration::from_secs(150);
    let duration = if is_slow {
        SLOW_DURATION
    } else {
        NORMAL_DURATION
    };
    let load = Load::start(&streams, &cluster.balancer(), duration, parameters.seed)?;
    if is_slow {
        cluster.platform_fault("kind=slow&ms=3600000")?;
    }
    let mut last_starts = Vec::new();
    let mut completion_times = Vec::new();
    let mut started_after_out = 0;
    for name in names
        .iter()
        .cycle()
        .take(if is_slow { SLOW_DRAINS } else { DRAINS })
    {
        let (last_start_ms, complete_ms, after_out) = drain_one(&cluster, name)?;
        last_starts.push(last_start_ms);
        completion_times.push(complete_ms);
        started_after_out += after_out;
    }
    cluster.platform_fault("kind=none")?;
    let records = load.finish();
    let violations = Violations::check(&cluster, &records)?;
    if !violations.is_acceptable(0) {
        print_violations(&violations);
    }
    last_starts.sort_unstable();
    completion_times.sort_unstable();
    let drains = Drains {
        store: if is_slow { "slow" } else { "up" }.to_owned(),
        drains: last_starts.len(),
        worst_ms: last_starts.last().copied().unwrap_or(0),
        median_ms: last_starts[last_starts.len() / 2],
        complete_median_ms: completion_times[completion_times.len() / 2],
        started_after_out,
        cut_off: violations.cut_off,
    };
    println!(
        "store {}: {} drains, last new request {} ms (median) and {} ms (worst) after the drain request, complete after {} ms \
         (median); {} requests after completion, {} cut off",
        drains.store,
        drains.drains,
        drains.median_ms,
        drains.worst_ms,
        drains.complete_median_ms,
        drains.started_after_out,
        drains.cut_off
    );
    cluster.stop();
    Ok(drains)
}

/// Drains one instance and returns it to service. Returns the times to the last started request and
/// to completion, in milliseconds, and the number of requests started after completion.
fn drain_one(cluster: &Cluster, name: &str) -> Result<(u64, u64, u64), Error> {
    let url = format!("{}/v1/operator/drains/{name}", cluster.entries[0].url);
    let requested_us = wall_clock_us();
    cluster.put(&url, "lab")?;
    wait_for_state(cluster, name, State::Out)?;
    let complete_us = wall_clock_us();
    let (last_start_us, starts) = last_start(cluster, name)?;
    std::thread::sleep(Duration::from_millis(100));
    let (_, later_starts) = last_start(cluster, name)?;
    cluster.delete(&url)?;
    wait_for_state(cluster, name, State::Serving)?;
    let since = |us: u64| us.saturating_sub(requested_us) / 1000;
    Ok((
        since(last_start_us),
        since(complete_us),
        later_starts - starts,
    ))
}

fn wait_for_state(cluster: &Cluster, name: &str, state: State) -> Result<(), Error> {
    cluster.wait_for(&format!("state {state} of {name}"), STATE_TIMEOUT, || {
        let instances = cluster.instances()?;
        Ok(instances
            .iter()
            .any(|record| record.name == name && record.state == state))
    })
}

fn last_start(cluster: &Cluster, name: &str) -> Result<(u64, u64), Error> {
    let views = cluster.views()?;
    let view = views.iter().find(|view| view.name == name);
    Ok(view.map_or((0, 0), |view| (view.last_start_us, view.starts)))
}

fn wall_clock_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
