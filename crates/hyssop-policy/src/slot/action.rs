use hyssop_model::entry;
use hyssop_wire::Body;

/// A side effect that an allocator requests from its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a frame to a peer.
    Send {
        /// The receiving peer.
        to: entry::Id,
        /// The message.
        body: Body,
    },
}
