use super::Call;
use crate::error::Error;
use crate::report::{draw_bars, print_rows, write_json, Bar};
use serde::Serialize;
use std::time::Instant;

/// Is one measure's verdict.
#[derive(Debug, Serialize)]
struct Verdict {
    measure: String,
    is_good: bool,
    seconds: u64,
    error: Option<String>,
}

type Measure = fn(&Call) -> Result<bool, Error>;

/// Runs every measure of one deployment, prints the verdicts and draws the plots.
pub(crate) fn all(call: &Call) -> Result<bool, Error> {
    let measures: [(&str, Measure); 10] = [
        ("capacity", super::capacity),
        ("jobs", super::jobs),
        ("overhead", |call| super::overhead(call.seed)),
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
        let result = measure(call);
        verdicts.push(Verdict {
            measure: name.to_owned(),
            is_good: matches!(result, Ok(true)),
            seconds: started.elapsed().as_secs(),
            error: result.err().map(|error| error.to_string()),
        });
    }
    let rows = verdicts.iter().map(|verdict| {
        vec![
            verdict.measure.clone(),
            if verdict.is_good { "met" } else { "NOT MET" }.to_owned(),
            verdict.seconds.to_string(),
            verdict.error.clone().unwrap_or_default(),
        ]
    });
    print_rows(&["measure", "targets", "s", ""], rows);
    write_json("all", &verdicts)?;
    plots(call)?;
    Ok(verdicts.iter().all(|verdict| verdict.is_good))
}

/// Draws the plots from the results that were written.
pub(crate) fn plots(_call: &Call) -> Result<bool, Error> {
    let kept = bars("flood", |entry| {
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
        "what the worst other queue keeps in a flood",
        &kept,
    )?;
    let skew = bars("skew", |entry| {
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
        "answered in time, by the division of slots and the callers' arrival",
        &skew,
    )?;
    Ok(true)
}

/// Reads the bars of a result that was written, none where it was not.
fn bars(name: &str, bar: impl Fn(&serde_json::Value) -> Option<Bar>) -> Vec<Bar> {
    let text = std::fs::read_to_string(format!("out/{name}.json")).unwrap_or_default();
    let entries: Vec<serde_json::Value> = serde_json::from_str(&text).unwrap_or_default();
    entries.iter().filter_map(bar).collect()
}
