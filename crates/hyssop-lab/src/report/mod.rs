//! Results on the terminal and in files.

mod table;

pub(crate) use table::{print_promises, print_rows, print_summaries, write_json};
