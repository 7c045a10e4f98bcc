//! The driver of a pool's scheduler: its calls to workers, its transactions, and the operations of
//! callers and peers.

mod calls;
mod driver;
mod grants;
mod operations;
mod waiters;
mod writer;

pub(crate) use driver::Driver;
