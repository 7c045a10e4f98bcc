use super::load::Load;
use super::Call;
use crate::check::Promises;
use crate::cluster::{Cluster, Options};
use crate::error::Error;
use crate::report::{print_promises, print_rows, write_json};
use hyssop_load::{Record, Shape, Stream, Told};
use serde::Serialize;
use std::time::Duration;

/// Is what one faulty instance cost.
#[derive(Debug, Serialize)]
struct Outlier {
    fault: String,
    requests_after: usize,
    on_faulty_after: usize,
    part_after: f64,
    not_answered: usize,
    not_answered_after: usize,
}

const LENGTH: Duration = Duration::from_secs(32);
const FAULT_AT: Duration = Duration::from_secs(2);
/// How long the system has to keep requests away.
const GRACE: Duration = Duration::from_secs(5);
const POOL: &str = "permits";

/// Measures what one instance of ten costs its pool when it fails, hangs, refuses or slows down.
pub(crate) fn outliers(call: &Call) -> Result<bool, Error> {
    let mut results = Vec::new();
    let mut is_good = true;
    for fault in ["fail", "hang", "refuse", "slow"] {
        let (result, promises) = run_once(call, fault)?;
        const PART_TARGET: f64 = 0.005;
        is_good &= promises.are_kept(u64::MAX);
        is_good &= fault == "slow" || result.part_after < PART_TARGET;
        if !promises.are_kept(u64::MAX) {
            print_promises(&promises);
        }
        results.push(result);
    }
    let header = [
        "fault",
        "requests after 5 s",
        "on the faulty one",
        "part",
        "not answered",
        "of them after 5 s",
    ];
    let rows = results.iter().map(|result| {
        vec![
            result.fault.clone(),
            result.requests_after.to_string(),
            result.on_faulty_after.to_string(),
            format!("{:.2}%", result.part_after * 100.0),
            result.not_answered.to_string(),
            result.not_answered_after.to_string(),
        ]
    });
    print_rows(&header, rows);
    write_json("outliers", &results)?;
    Ok(is_good)
}

fn run_once(call: &Call, fault: &str) -> Result<(Outlier, Promises), Error> {
    let cluster = Cluster::start(Options {
        config: call.config.clone(),
        ..Options::default()
    })?;
    let instances = cluster.instances()?;
    let faulty = instances.iter().find(|record| record.pool == POOL);
    let faulty = faulty.map(|record| record.name.clone()).unwrap_or_default();
    let mut stream = Stream::new(POOL, "default", "/work?ms=50", Shape::constant(500.0));
    stream.deadline = Duration::from_secs(2);
    let load = Load::start(&[stream], &cluster.balancer(), LENGTH, call.seed)?;
    std::thread::sleep(FAULT_AT);
    cluster.instance_fault(&faulty, fault)?;
    std::thread::sleep(GRACE);
    let starts_before = starts(&cluster, &faulty)?;
    let records = load.finish();
    let on_faulty = starts(&cluster, &faulty)? - starts_before;
    let after = FAULT_AT + GRACE;
    let is_after = |record: &&Record| record.due >= after;
    let is_missed = |record: &&Record| record.told != Told::Answered || record.status >= 400;
    let requests_after = records.iter().filter(is_after).count();
    let result = Outlier {
        fault: fault.to_owned(),
        requests_after,
        on_faulty_after: on_faulty as usize,
        part_after: on_faulty as f64 / requests_after.max(1) as f64,
        not_answered: records.iter().filter(is_missed).count(),
        not_answered_after: records.iter().filter(is_after).filter(is_missed).count(),
    };
    let promises = Promises::check(&cluster, &records)?;
    cluster.stop();
    Ok((result, promises))
}

fn starts(cluster: &Cluster, name: &str) -> Result<u64, Error> {
    let views = cluster.views()?;
    Ok(views
        .iter()
        .find(|view| view.name == name)
        .map_or(0, |view| view.starts))
}
