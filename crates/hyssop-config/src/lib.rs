//! INI settings and fleet configuration, parsed and checked as a whole.
//!
//! Every refusal names the file, the line and the remedy. A key that nobody reads is refused too,
//! so that a misspelt key never passes for a default.

pub mod document;
pub mod error;
pub mod fleet;
pub mod settings;
pub mod unit;

pub use document::{Document, Section};
pub use error::Error;
