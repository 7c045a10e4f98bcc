use hyssop_model::{entry, request};
use hyssop_wire::claim::Verdict;
use hyssop_wire::Body;

/// A side effect that a claim coordinator requests from its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Delivers the decision on a request.
    Decide {
        /// The request.
        request: request::Key,
        /// The decision.
        verdict: Verdict,
    },
    /// Sends a frame to a peer.
    Send {
        /// The receiving peer.
        to: entry::Id,
        /// The message.
        body: Body,
    },
    /// Every successor has confirmed the hand-over of its claims.
    HandedOver,
}
