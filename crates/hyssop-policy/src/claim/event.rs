use hyssop_model::prelude::*;
use hyssop_wire::claim::End;
use hyssop_wire::Body;

/// An input of a claim coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A keyed request arrived and needs a claim.
    Claim {
        /// The request.
        request: request::Key,
        /// The key as the caller sent it.
        key: String,
        /// A hash of the request.
        fingerprint: u64,
    },
    /// A granted request ended.
    Settle {
        /// The request.
        request: request::Key,
        /// How it ended.
        end: End,
    },
    /// A frame arrived from a peer.
    Frame {
        /// The peer.
        from: entry::Id,
        /// The message.
        body: Body,
    },
    /// The membership changed.
    Epoch(epoch::Record),
    /// This entry's lease was renewed and is valid until this time.
    Lease(Instant),
    /// This entry is leaving: it grants no more claims and hands its claims over to successors.
    HandOver,
    /// Periodic timer.
    Tick,
}
