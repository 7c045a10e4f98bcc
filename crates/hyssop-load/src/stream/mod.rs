//! Streams of requests and their rates over time.

mod shape;
mod spec;

pub use shape::Shape;
pub use spec::{Keys, Stream};
