//! The planner: drains, maintenance waves and moves of instances within the pools' budgets.
//!
//! A step reads a [`View`] of the rows and reports, and changes a [`Draft`] of the rows. The host
//! commits the changes of a step in one transaction, which fails if any row read has changed.

mod budget;
mod draft;
mod lifecycle;
mod planner;
mod report;
mod view;
mod wave;

pub use budget::{Budget, Refusal};
pub use draft::{Draft, Event};
pub use planner::Planner;
pub use report::Report;
pub use view::View;
pub use wave::{Estimate, Progress};
