use super::Parameters;
use crate::error::Error;
use crate::report::{draw_bars, print_rows, write_json, Bar};
use serde::Serialize;
use std::time::Instant;

/// The result of one measurement.
#[derive(Debug, Serialize)]
struct Verdict {
    measure: String,
    #[serde(rename = "is_good")]
    has_passed: bool,
    seconds: u64,
    error: Option<String>,
}

type MeasureFn = fn(&Parameters) -> Result<bool, Error>;

/// Runs every measurement of one deployment, prints the results and draws the plots.
pub(crate) fn all(parameters: &Parameters) -> Result<bool, Error> {
    let measures: [(&str, MeasureFn); 10] = [
        ("capacity", super::capacity),
        ("jobs", super::jobs),
        ("overhead", |parameters| super::overhead(parameters.seed)),
        ("skew", super::skew),
        ("outliers", super::outliers),
        ("rollout", super::rollout),
        ("jobs-live", super::jobs_live),
        ("faults", super::faults),
        ("storm", super::storm),
        ("flood", super::flood),
    ];
    let mut verdicts = Vec::new();
    for (name, measure) in measures {
        println!("--- {name}");
        let started = Instant::now();
        let result = measure(parameters);
        verdicts.push(Verdict {
            measure: name.to_owned(),
            has_passed: matches!(result, Ok(true)),
            seconds: started.elapsed().as_secs(),
            error: result.err().map(|error| error.to_string()),
        });
    }
    let rows = verdicts.iter().map(|verdict| {
        vec![
            verdict.measure.clone(),
            if verdict.has_passed { "met" } else { "NOT MET" }.to_owned(),
            verdict.seconds.to_string(),
            verdict.error.clone().unwrap_or_default(),
        ]
    });
    print_rows(&["measure", "targets", "s", ""], rows);
    write_json("all", &verdicts)?;
    plots(parameters)?;
    Ok(verdicts.iter().all(|verdict| verdict.has_passed))
}

/// Draws the plots from the result files in `out/`.
pub(crate) fn plots(_parameters: &Parameters) -> Result<bool, Error> {
    let kept = read_bars("flood", |entry| {
        let name = format!(
            "{} {}",
            entry["admission"].as_str()?,
            entry["flood"].as_str()?
        );
        let percent = entry["worst_kept"].as_f64()? * 100.0;
        Some(Bar { name, percent })
    });
    draw_bars(
        "flood",
        "throughput that the worst-affected other queue keeps during a flood",
        &kept,
    )?;
    let skew = read_bars("skew", |entry| {
        let name = format!(
            "{} {}",
            entry["allocation"].as_str()?,
            entry["arrival"].as_str()?
        );
        let summary = &entry["summary"];
        let percent = summary["in_time"].as_f64()? * 100.0 / summary["requests"].as_f64()?;
        Some(Bar { name, percent })
    });
    draw_bars(
        "skew",
        "requests answered in time, by slot allocation and arrival of the callers",
        &skew,
    )?;
    Ok(true)
}

/// Reads a result file and returns its bars, or none if the file does not exist.
fn read_bars(name: &str, bar: impl Fn(&serde_json::Value) -> Option<Bar>) -> Vec<Bar> {
    let text = std::fs::read_to_string(format!("out/{name}.json")).unwrap_or_default();
    let entries: Vec<serde_json::Value> = serde_json::from_str(&text).unwrap_or_default();
    entries.iter().filter_map(bar).collect()
}
