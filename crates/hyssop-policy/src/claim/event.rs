use hyssop_model::prelude::*;
use hyssop_wire::claim::End;
use hyssop_wire::Body;

/// Is what happens to a claim coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A keyed request wants to run.
    Claim {
        /// The request.
        request: request::Key,
        /// The key as the caller sent it.
        key: String,
        /// A hash of the request.
        fingerprint: u64,
    },
    /// A request that was granted ended.
    Settle {
        /// The request.
        request: request::Key,
        /// How it ended.
        end: End,
    },
    /// A frame came from a peer.
    Frame {
        /// The peer.
        from: entry::Id,
        /// The message.
        body: Body,
    },
    /// The membership changed.
    Epoch(epoch::Record),
    /// The own lease was renewed and may be used until then.
    Lease(Instant),
    /// No claim is granted from now on, and what is known goes to the successors.
    HandOver,
    /// Time passed.
    Tick,
}
