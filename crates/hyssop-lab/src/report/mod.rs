//! Output of results to the terminal and to files.

mod plot;
mod table;

pub(crate) use plot::{draw_bars, Bar};

pub(crate) use table::{print_rows, print_summaries, print_violations, write_json};
