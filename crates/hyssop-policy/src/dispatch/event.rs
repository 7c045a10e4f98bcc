use super::Arrival;
use crate::attempt::End;
use crate::health::Sample;
use hyssop_config::fleet::Fleet;
use hyssop_model::prelude::*;
use hyssop_wire::Body;
use std::sync::Arc;

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrival(Arrival),
    /// An attempt ended.
    AttemptEnd {
        /// The request.
        key: request::Key,
        /// How the attempt ended.
        end: End,
    },
    /// A caller cancelled its request. Has no effect on an attempt in flight.
    Cancel(request::Key),
    /// A health probe of an instance ended.
    Probe {
        /// The instance.
        instance: instance::Key,
        /// The result of the probe.
        sample: Sample,
    },
    /// A frame arrived from a peer.
    Frame {
        /// The peer.
        from: entry::Id,
        /// The message.
        body: Body,
    },
    /// The connection to a peer was established or restored.
    PeerUp(entry::Id),
    /// The membership changed.
    Epoch(epoch::Record),
    /// Instance rows changed.
    Instances(Vec<instance::Record>),
    /// A configuration took effect.
    Fleet(Arc<Fleet>),
    /// The entry is shutting down: new requests are refused, and waiting and running ones continue.
    Close,
    /// The entry leaves the membership and gives up all its slots.
    Leave,
    /// The entry may start requests until the given time, or not at all if there is none.
    Authority(Option<Instant>),
    /// A periodic timer fired.
    Tick,
}
