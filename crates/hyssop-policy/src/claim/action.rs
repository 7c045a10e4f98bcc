use hyssop_model::{entry, request};
use hyssop_wire::claim::Verdict;
use hyssop_wire::Body;

/// Is what a claim coordinator asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tells a request what was decided.
    Decide {
        /// The request.
        request: request::Key,
        /// The decision.
        verdict: Verdict,
    },
    /// Sends a frame to a peer.
    Send {
        /// The peer.
        to: entry::Id,
        /// The message.
        body: Body,
    },
    /// Every successor has taken its part of the claims in.
    HandedOver,
}
