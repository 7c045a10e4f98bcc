//! Parser and validation of INI settings and of the fleet configuration.
//!
//! Every error names the file, the line and the remedy. Unknown keys are rejected as well, so that a
//! misspelt key isn't silently replaced by its default.

pub mod document;
pub mod error;
pub mod fleet;
pub mod settings;
pub mod unit;

pub use document::{Document, Section};
pub use error::Error;
