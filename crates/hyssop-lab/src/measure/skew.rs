use super::load::Load;
use super::Parameters;
use crate::check::Violations;
use crate::cluster::{Cluster, Options};
use crate::error::Error;
use crate::report::{print_rows, write_json};
use hyssop_config::settings::Allocation;
use hyssop_load::{Balancer, Outcome, Shape, Stream, Summary};
use serde::Serialize;
use std::time::Duration;

/// The result of one combination of slot allocation and arrival.
#[derive(Debug, Serialize)]
struct SkewResult {
    allocation: String,
    arrival: String,
    summary: Summary,
    control_bytes_per_node: f64,
    over_slots: u64,
    #[serde(rename = "are_promises_kept")]
    are_guarantees_kept: bool,
}

const LOAD_DURATION: Duration = Duration::from_secs(15);
const DEADLINE: Duration = Duration::from_millis(1000);

/// Compares the slot allocations, with callers spread evenly over the entries and all at one entry.
pub(crate) fn skew(parameters: &Parameters) -> Result<bool, Error> {
    let mut results = Vec::new();
    for allocation in [Allocation::Loans, Allocation::Fixed, Allocation::TwoChoices] {
        for arrival in ["even", "one-entry"] {
            results.push(run_once(parameters, allocation, arrival)?);
        }
    }
    print(&results);
    write_json("skew", &results)?;
    let loans = results
        .iter()
        .filter(|result| result.allocation == Allocation::Loans.to_string());
    Ok(loans.filter(|result| !result.are_guarantees_kept).count() == 0)
}

fn run_once(
    parameters: &Parameters,
    allocation: Allocation,
    arrival: &str,
) -> Result<SkewResult, Error> {
    let cluster = Cluster::start(Options {
        config: parameters.config.clone(),
        allocation,
        log: "warn".to_owned(),
        ..Options::default()
    })?;
    let addresses = cluster.addresses();
    let balancer = match arrival {
        "even" => Balancer::new(&addresses),
        _ => Balancer::new(&addresses[..1]),
    };
    // 90% of the pool's capacity, so that one entry's share of the slots is not enough.
    const RATE: f64 = 720.0;
    let mut stream = Stream::new("permits", "default", "/work?ms=100", Shape::constant(RATE));
    stream.deadline = DEADLINE;
    let bytes_before = control_bytes(&cluster);
    let records =
        Load::start(&[stream.clone()], &balancer, LOAD_DURATION, parameters.seed)?.finish();
    let bytes = control_bytes(&cluster) - bytes_before;
    let violations = Violations::check(&cluster, &records)?;
    let mut summaries = Summary::by_stream(&[stream], &records);
    let result = SkewResult {
        allocation: allocation.to_string(),
        arrival: arrival.to_owned(),
        summary: summaries.pop().unwrap_or_default(),
        control_bytes_per_node: bytes / cluster.entries.len() as f64 / LOAD_DURATION.as_secs_f64(),
        over_slots: violations.over_slots,
        are_guarantees_kept: violations.is_acceptable(0),
    };
    cluster.stop();
    Ok(result)
}

/// Returns the bytes of control frames that all entries have sent.
pub(super) fn control_bytes(cluster: &Cluster) -> f64 {
    let bytes = cluster
        .entries
        .iter()
        .filter_map(|entry| metric(&entry.url, "hyssop_control_bytes_total"));
    bytes.sum()
}

/// Reads a metric without labels.
fn metric(url: &str, name: &str) -> Option<f64> {
    let response = minreq::get(format!("{url}/metrics"))
        .with_timeout(2)
        .send()
        .ok()?;
    let text = response.as_str().ok()?;
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

fn print(results: &[SkewResult]) {
    let header = [
        "allocation",
        "arrival",
        "requests",
        "in time",
        "not-run",
        "p50 ms",
        "p99 ms",
        "bytes/s/node",
        "over slots",
    ];
    let rows = results.iter().map(|result| {
        let summary = &result.summary;
        vec![
            result.allocation.clone(),
            result.arrival.clone(),
            summary.requests.to_string(),
            format!(
                "{:.1}%",
                summary.in_time as f64 * 100.0 / summary.requests.max(1) as f64
            ),
            summary.count(Outcome::NotRun).to_string(),
            format!("{:.1}", summary.p50_us as f64 / 1000.0),
            format!("{:.1}", summary.p99_us as f64 / 1000.0),
            format!("{:.0}", result.control_bytes_per_node),
            result.over_slots.to_string(),
        ]
    });
    print_rows(&header, rows);
}
