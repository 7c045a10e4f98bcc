//! Types of values in settings, some written with a unit.

mod bytes;
mod span;
mod value;

pub use bytes::Bytes;
pub use span::Span;
pub use value::{parse_variant, Value};
