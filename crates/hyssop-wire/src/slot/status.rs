use super::Mask;
use hyssop_model::instance;
use serde::{Deserialize, Serialize};

/// Slots of one instance that the sender holds without being their home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The instance.
    #[serde(rename = "n")]
    pub instance: instance::Key,
    /// The slots.
    #[serde(rename = "s")]
    pub slots: Mask,
}

/// The report of the slots and loans that the sender still holds, sent to one peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The sender's membership epoch.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The slots that are in use or lent and whose home in this epoch is another entry.
    #[serde(rename = "h")]
    pub held: Vec<HeldSlots>,
    /// The highest ID of the receiver's loans that the sender has received.
    #[serde(rename = "n")]
    pub seen: u64,
    /// The receiver's loans that the sender still holds.
    #[serde(rename = "b")]
    pub borrowed: Vec<u64>,
}
