//! Client accounts: the quota that an account's running tasks may hold over all pools.

pub mod ledger;
