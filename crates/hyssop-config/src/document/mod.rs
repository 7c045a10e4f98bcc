//! INI documents that keep the line number of each section and key.

mod section;
mod text;

pub use section::Section;
pub use text::Document;
