use crate::{claim, demand, health, notice, slot};
use hyssop_model::{entry, epoch, instance};
use serde::{Deserialize, Serialize};

/// The message that a frame carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The first message on a link, which identifies the sender.
    #[serde(rename = "h")]
    Hello(entry::Member),
    /// The slots and loans that the sender holds.
    #[serde(rename = "s")]
    Status(slot::Status),
    /// Slots lent to the receiver.
    #[serde(rename = "l")]
    Lend(slot::Lend),
    /// Loans returned to the receiver.
    #[serde(rename = "r")]
    Return(slot::Return),
    /// The sender's demand, by pool and queue.
    #[serde(rename = "d")]
    Demand(demand::Report),
    /// The sender's view of the instances' health.
    #[serde(rename = "o")]
    Health(health::Report),
    /// A request for the claim on a key, sent to the key's home.
    #[serde(rename = "a")]
    ClaimRequest(claim::Request),
    /// The reply to a [`claim::Request`].
    #[serde(rename = "c")]
    ClaimReply(claim::Reply),
    /// The result of a claimed request, sent to the key's home.
    #[serde(rename = "e")]
    Settlement(claim::Settlement),
    /// The acknowledgement of a [`claim::Settlement`].
    #[serde(rename = "k")]
    SettlementAck(claim::SettlementAck),
    /// Claims of a leaving entry, sent to their successor.
    #[serde(rename = "x")]
    Handover(claim::Handover),
    /// The acknowledgement of a complete hand-over.
    #[serde(rename = "y")]
    HandoverAck(claim::HandoverAck),
    /// A promise not to become active in a newer membership epoch, or a request for one.
    #[serde(rename = "p")]
    Promise(notice::Promise),
    /// The newest membership epoch.
    #[serde(rename = "m")]
    Epoch(epoch::Record),
    /// Changed instance records.
    #[serde(rename = "i")]
    Instances(Vec<instance::Record>),
    /// The configuration versions that the sender holds and has in force.
    #[serde(rename = "g")]
    Config(notice::Config),
}
