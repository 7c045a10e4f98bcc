use super::Arrival;
use crate::attempt::End;
use crate::health::Sample;
use hyssop_config::fleet::Fleet;
use hyssop_model::prelude::*;
use hyssop_wire::Body;
use std::sync::Arc;

/// Is what happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrive(Arrival),
    /// An attempt ended.
    End {
        /// The request.
        key: request::Key,
        /// How the attempt ended.
        end: End,
    },
    /// A caller went away before its request started.
    Cancel(request::Key),
    /// A probe of an instance ended.
    Probe {
        /// The instance.
        instance: instance::Key,
        /// What it showed.
        sample: Sample,
    },
    /// A frame came from a peer.
    Frame {
        /// The peer.
        from: entry::Id,
        /// The message.
        body: Body,
    },
    /// The link to a peer was opened or restored.
    PeerUp(entry::Id),
    /// The membership changed.
    Epoch(epoch::Record),
    /// Instance rows changed.
    Instances(Vec<instance::Record>),
    /// A configuration came into force.
    Fleet(Arc<Fleet>),
    /// No request is taken from now on; those that wait or run go on.
    Close,
    /// All slots are given up.
    Leave,
    /// The entry may start requests until then, or not at all.
    Authority(Option<Instant>),
    /// Time passed.
    Tick,
}
