//! Keys, arenas and the shared types of every hyssopworks process.
//!
//! Nothing here does any work of its own: the crate sits at the bottom of the workspace, so that
//! decisions, wire frames and daemons agree on one vocabulary.

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
