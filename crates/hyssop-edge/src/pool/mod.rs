//! A pool's owner at work: its calls to workers and its transactions.

mod calls;
mod questions;
mod runner;
mod writer;

pub(crate) use runner::Runner;
use runner::Waiters;
