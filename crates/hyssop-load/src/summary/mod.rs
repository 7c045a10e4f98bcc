//! Figures over many requests.

mod figures;

pub use figures::Summary;
