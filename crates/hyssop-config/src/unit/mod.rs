//! Values with units, as they are written in settings.

mod bytes;
mod span;
mod value;

pub use bytes::Bytes;
pub use span::Span;
pub use value::{parse_variant, Value};
