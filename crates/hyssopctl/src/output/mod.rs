//! Output as tables for terminals or as JSON for scripts.

use crate::error::{Error, MalformedSnafu};
use comfy_table::{presets, Table};
use serde::Serialize;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// A table with a header.
    Table,
    /// Pretty-printed JSON.
    Json,
}

/// Prints the rows below a header, or `value` as JSON, depending on `format`.
pub(crate) fn print<T: Serialize>(
    format: Format,
    value: &T,
    header: &[&str],
    rows: impl Iterator<Item = Vec<String>>,
) -> Result<(), Error> {
    match format {
        Format::Json => print_json(value),
        Format::Table => {
            let mut table = Table::new();
            table.load_preset(presets::NOTHING);
            table.set_header(header.iter().map(|title| title.to_uppercase()));
            for row in rows {
                table.add_row(row);
            }
            println!("{table}");
            Ok(())
        }
    }
}

/// Prints a value as JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value).map_err(|error| {
        MalformedSnafu {
            reason: error.to_string(),
        }
        .build()
    })?;
    println!("{text}");
    Ok(())
}

/// Formats a duration in milliseconds with its one or two largest units, such as `3m20s`.
pub(crate) fn format_duration(ms: u64) -> String {
    const SECOND: u64 = 1_000;
    const MINUTE: u64 = 60 * SECOND;
    const HOUR: u64 = 60 * MINUTE;
    const DAY: u64 = 24 * HOUR;
    match ms {
        0..SECOND => format!("{ms}ms"),
        SECOND..MINUTE => format!("{}s", ms / SECOND),
        MINUTE..HOUR => format!("{}m{}s", ms / MINUTE, ms % MINUTE / SECOND),
        HOUR..DAY => format!("{}h{}m", ms / HOUR, ms % HOUR / MINUTE),
        _ => format!("{}d{}h", ms / DAY, ms % DAY / HOUR),
    }
}
