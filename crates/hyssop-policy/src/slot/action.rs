use hyssop_model::entry;
use hyssop_wire::Body;

/// Is what an allocator asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a frame to a peer.
    Send {
        /// The peer.
        to: entry::Id,
        /// The message.
        body: Body,
    },
}
