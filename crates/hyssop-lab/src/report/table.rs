use crate::check::Violations;
use crate::error::{Error, FileSnafu};
use comfy_table::{presets, Table};
use hyssop_load::{Outcome, Summary};
use serde::Serialize;
use snafu::ResultExt;

const OUTPUT_DIRECTORY: &str = "out";

/// Prints a table with one row per stream.
pub(crate) fn print_summaries(summaries: &[Summary]) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    let header = [
        "stream", "requests", "in time", "answered", "not-run", "unknown", "nothing", "p50 ms",
        "p99 ms",
    ];
    table.set_header(header);
    for summary in summaries {
        let ms = |us: u64| format!("{:.2}", us as f64 / 1000.0);
        table.add_row([
            summary.name.clone(),
            summary.requests.to_string(),
            summary.in_time.to_string(),
            (summary.count(Outcome::Answered) + summary.count(Outcome::Repeated)).to_string(),
            summary.count(Outcome::NotRun).to_string(),
            (summary.count(Outcome::Unknown) + summary.count(Outcome::InProgress)).to_string(),
            (summary.count(Outcome::Nothing) + summary.count(Outcome::NoConnection)).to_string(),
            ms(summary.p50_us),
            ms(summary.p99_us),
        ]);
    }
    println!("{table}");
}

/// Prints a table with a header.
pub(crate) fn print_rows(header: &[&str], rows: impl Iterator<Item = Vec<String>>) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}

/// Prints the counts of violated guarantees.
pub(crate) fn print_violations(violations: &Violations) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["violated guarantee", "times"]);
    for (name, count) in violations.rows() {
        table.add_row([name.to_owned(), count.to_string()]);
    }
    println!("{table}");
    for example in &violations.examples {
        println!("  {example}");
    }
}

/// Writes a result to `out/NAME.json`.
pub(crate) fn write_json<T: Serialize>(name: &str, value: &T) -> Result<(), Error> {
    std::fs::create_dir_all(OUTPUT_DIRECTORY).context(FileSnafu {
        path: OUTPUT_DIRECTORY,
    })?;
    let path = format!("{OUTPUT_DIRECTORY}/{name}.json");
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    std::fs::write(&path, text).context(FileSnafu { path })
}
