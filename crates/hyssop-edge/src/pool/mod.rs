//! The driver of a pool's scheduler: its calls to workers, its transactions, and the operations of
//! callers and peers.

mod calls;
mod questions;
mod runner;
mod writer;

pub(crate) use runner::Runner;
use runner::Waiters;
