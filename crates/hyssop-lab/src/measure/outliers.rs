use super::load::Load;
use super::Parameters;
use crate::check::Violations;
use crate::cluster::{Cluster, Options};
use crate::error::Error;
use crate::report::{print_rows, print_violations, write_json};
use hyssop_load::{Outcome, Record, Shape, Stream};
use serde::Serialize;
use std::time::Duration;

/// The effect of one faulty instance on the requests to its pool.
#[derive(Debug, Serialize)]
struct Outlier {
    fault: String,
    requests_after: usize,
    on_faulty_after: usize,
    #[serde(rename = "part_after")]
    fraction_after: f64,
    not_answered: usize,
    not_answered_after: usize,
}

const LOAD_DURATION: Duration = Duration::from_secs(32);
const FAULT_AT: Duration = Duration::from_secs(2);
/// The time within which the system has to stop sending requests to the faulty instance.
const EJECTION_TIMEOUT: Duration = Duration::from_secs(5);
const POOL: &str = "permits";

/// Measures the requests that a pool loses when one of its ten instances fails, hangs, refuses
/// connections or slows down.
pub(crate) fn outliers(parameters: &Parameters) -> Result<bool, Error> {
    let mut results = Vec::new();
    let mut has_passed = true;
    for fault in ["fail", "hang", "refuse", "slow"] {
        let (result, violations) = run_once(parameters, fault)?;
        const FRACTION_TARGET: f64 = 0.005;
        has_passed &= violations.is_acceptable(u64::MAX);
        has_passed &= fault == "slow" || result.fraction_after < FRACTION_TARGET;
        if !violations.is_acceptable(u64::MAX) {
            print_violations(&violations);
        }
        results.push(result);
    }
    let header = [
        "fault",
        "requests after 5 s",
        "on the faulty instance",
        "part",
        "not answered",
        "of them after 5 s",
    ];
    let rows = results.iter().map(|result| {
        vec![
            result.fault.clone(),
            result.requests_after.to_string(),
            result.on_faulty_after.to_string(),
            format!("{:.2}%", result.fraction_after * 100.0),
            result.not_answered.to_string(),
            result.not_answered_after.to_string(),
        ]
    });
    print_rows(&header, rows);
    write_json("outliers", &results)?;
    Ok(has_passed)
}

fn run_once(parameters: &Parameters, fault: &str) -> Result<(Outlier, Violations), Error> {
    let cluster = Cluster::start(Options {
        config: parameters.config.clone(),
        ..Options::default()
    })?;
    let instances = cluster.instances()?;
    let faulty = instances.iter().find(|record| record.pool == POOL);
    let faulty = faulty.map(|record| record.name.clone()).unwrap_or_default();
    let mut stream = Stream::new(POOL, "default", "/work?ms=50", Shape::constant(500.0));
    stream.deadline = Duration::from_secs(2);
    let load = Load::start(
        &[stream],
        &cluster.balancer(),
        LOAD_DURATION,
        parameters.seed,
    )?;
    std::thread::sleep(FAULT_AT);
    cluster.instance_fault(&faulty, fault)?;
    std::thread::sleep(EJECTION_TIMEOUT);
    let starts_before = starts(&cluster, &faulty)?;
    let records = load.finish();
    let on_faulty = starts(&cluster, &faulty)? - starts_before;
    let after = FAULT_AT + EJECTION_TIMEOUT;
    let is_after = |record: &&Record| record.due >= after;
    let has_failed = |record: &&Record| record.outcome != Outcome::Answered || record.status >= 400;
    let requests_after = records.iter().filter(is_after).count();
    let result = Outlier {
        fault: fault.to_owned(),
        requests_after,
        on_faulty_after: on_faulty as usize,
        fraction_after: on_faulty as f64 / requests_after.max(1) as f64,
        not_answered: records.iter().filter(has_failed).count(),
        not_answered_after: records.iter().filter(is_after).filter(has_failed).count(),
    };
    let violations = Violations::check(&cluster, &records)?;
    cluster.stop();
    Ok((result, violations))
}

fn starts(cluster: &Cluster, name: &str) -> Result<u64, Error> {
    let views = cluster.views()?;
    Ok(views
        .iter()
        .find(|view| view.name == name)
        .map_or(0, |view| view.starts))
}
