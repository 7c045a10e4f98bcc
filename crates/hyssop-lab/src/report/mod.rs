//! Results on the terminal and in files.

mod plot;
mod table;

pub(crate) use plot::{draw_bars, Bar};

pub(crate) use table::{print_rows, print_summaries, print_violations, write_json};
