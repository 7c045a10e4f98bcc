//! Client accounts: access of callers by their keys, and the quota that an account's running tasks may
//! hold over all pools.
//!
//! A key is known by its digest only. The decision depends on the configuration in force and on its
//! age, so a front repeats it right before it passes a request on.

mod access;
mod bounds;
mod credential;
mod digest;
mod keys;
pub mod ledger;

pub use access::{decide, Access, Cause};
pub use bounds::Bounds;
pub use credential::{Credential, MAX_HEADER_BYTES};
pub use digest::Digest;
pub use keys::Keys;
