use hyssop_model::prelude::*;
use hyssop_wire::slot::{Lend, Return, Status};

/// Is what happens to an allocator besides its own grants.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The membership changed.
    Epoch(epoch::Record),
    /// Instance rows changed.
    Instances(Vec<instance::Record>),
    /// An instance became usable, or is not to be used.
    Usable {
        /// The instance.
        instance: instance::Key,
        /// Whether requests may go there.
        is_usable: bool,
    },
    /// A peer told what it holds.
    Status {
        /// The peer.
        from: entry::Id,
        /// What it holds.
        status: Status,
    },
    /// A peer lends slots.
    Lend {
        /// The peer.
        from: entry::Id,
        /// The slots.
        lend: Lend,
    },
    /// A peer gives slots back.
    Return {
        /// The peer.
        from: entry::Id,
        /// The slots.
        returned: Return,
    },
    /// A pool's present need of slots here and at the peers.
    Need {
        /// The pool.
        pool: String,
        /// The slots that this entry keeps for itself.
        keep: u32,
        /// How many more slots a peer can use, when that changed.
        wanted: Option<(entry::Id, u32)>,
    },
    /// The link to a peer was opened or restored.
    PeerUp(entry::Id),
    /// Time passed.
    Tick,
    /// This entry starts no more requests and gives its slots up.
    Leave,
}
