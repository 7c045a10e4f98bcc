//! What is sent, and when.

mod shape;
mod spec;

pub use shape::Shape;
pub use spec::{Keys, Stream};
