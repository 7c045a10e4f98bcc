//! Keys, arenas and the shared types of every hyssopworks process.
//!
//! The crate has no I/O. It is the lowest layer of the workspace and defines the types that the
//! decision logic, the wire frames and the daemons share.

pub mod arena;
pub mod class;
pub mod clock;
pub mod config;
pub mod entry;
pub mod epoch;
pub mod flow;
pub mod hash;
pub mod instance;
pub mod intent;
pub mod job;
pub mod lease;
pub mod outcome;
pub mod pool;
pub mod prelude;
pub mod request;
pub mod work;
