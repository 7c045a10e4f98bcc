use super::{Resources, Secret};

/// The operators' configuration of a client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// The account's name.
    pub name: String,
    /// The keys with which its callers authenticate.
    pub keys: Vec<Secret>,
    /// The number of jobs a second that the account is owed while there is contention.
    pub weight: f64,
    /// The resources that its running tasks may hold over all pools; 0 for no limit.
    pub quota: Resources,
}
