//! INI text with the line of each section and key.

mod section;
mod text;

pub use section::Section;
pub use text::Document;
