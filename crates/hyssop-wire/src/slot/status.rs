use super::Mask;
use hyssop_model::instance;
use serde::{Deserialize, Serialize};

/// Names slots of one instance that the sender holds without being their home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The instance.
    #[serde(rename = "n")]
    pub instance: instance::Key,
    /// The slots.
    #[serde(rename = "s")]
    pub slots: Mask,
}

/// Tells one peer what the sender still holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The epoch that the sender acts in.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The slots in use, or lent, whose home under this epoch is another entry.
    #[serde(rename = "h")]
    pub held: Vec<Held>,
    /// The highest loan id of the receiver that the sender has seen.
    #[serde(rename = "n")]
    pub seen: u64,
    /// The receiver's loans that the sender still holds.
    #[serde(rename = "b")]
    pub borrowed: Vec<u64>,
}
