use hyssop_model::prelude::*;
use hyssop_wire::slot::{Lend, Return, Status};

/// An input of an allocator other than acquiring and releasing slots.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The membership changed.
    Epoch(epoch::Record),
    /// Instance records changed.
    Instances(Vec<instance::Record>),
    /// An instance became usable or unusable.
    Usable {
        /// The instance.
        instance: instance::Key,
        /// Whether requests may be sent to it.
        is_usable: bool,
    },
    /// A peer reported the slots and loans that it holds.
    Status {
        /// The peer.
        from: entry::Id,
        /// The report.
        status: Status,
    },
    /// A peer lent slots to this entry.
    Lend {
        /// The peer.
        from: entry::Id,
        /// The slots.
        lend: Lend,
    },
    /// A peer returned loans.
    Return {
        /// The peer.
        from: entry::Id,
        /// The returned loans.
        returned: Return,
    },
    /// A pool's current need for slots at this entry and at a peer.
    Need {
        /// The pool.
        pool: String,
        /// The number of slots that this entry does not lend.
        keep: u32,
        /// A peer and the number of additional slots it can use, if that changed.
        wanted: Option<(entry::Id, u32)>,
    },
    /// The connection to a peer was established or re-established.
    PeerUp(entry::Id),
    /// Periodic timer.
    Tick,
    /// This entry is leaving: it starts no more requests and returns its loans.
    Leave,
}
