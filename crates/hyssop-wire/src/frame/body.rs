use crate::{claim, demand, health, notice, slot};
use hyssop_model::{entry, epoch, instance};
use serde::{Deserialize, Serialize};

/// Is the message of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Opens a link: says who the sender is.
    #[serde(rename = "h")]
    Hello(entry::Member),
    /// Carries the slots that the sender holds.
    #[serde(rename = "s")]
    Status(slot::Status),
    /// Lends slots to the receiver.
    #[serde(rename = "l")]
    Lend(slot::Lend),
    /// Gives slots back to the receiver.
    #[serde(rename = "r")]
    Return(slot::Return),
    /// Carries the sender's demand by flow.
    #[serde(rename = "d")]
    Demand(demand::Report),
    /// Carries the sender's opinions of instances.
    #[serde(rename = "o")]
    Health(health::Report),
    /// Asks the home of a key for a claim.
    #[serde(rename = "a")]
    Ask(claim::Ask),
    /// Answers an [`claim::Ask`].
    #[serde(rename = "c")]
    Reply(claim::Reply),
    /// Tells the home of a key how the claimed request ended.
    #[serde(rename = "e")]
    Settle(claim::Settle),
    /// Confirms a [`claim::Settle`].
    #[serde(rename = "k")]
    Settled(claim::Settled),
    /// Hands the claims of a leaving entry to their successors.
    #[serde(rename = "x")]
    Handover(claim::Handover),
    /// Confirms that a hand-over was taken in as a whole.
    #[serde(rename = "y")]
    Accepted(claim::Accepted),
    /// Promises not to act in a newer membership epoch for a while.
    #[serde(rename = "p")]
    Promise(notice::Promise),
    /// Tells the newest membership epoch.
    #[serde(rename = "m")]
    Epoch(epoch::Record),
    /// Tells changed instance rows.
    #[serde(rename = "i")]
    Instances(Vec<instance::Record>),
    /// Tells the configuration that the sender holds and has in force.
    #[serde(rename = "g")]
    Config(notice::Config),
}
