use crate::admission::Refusal;
use crate::slot::Grant;
use hyssop_model::prelude::*;
use hyssop_wire::Body;

/// Says how a request that the dispatcher took in ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It did not run.
    NotRun(Refusal),
    /// Whether it ran can't be told.
    Unknown,
    /// There is no such pool.
    UnknownPool,
    /// The pool has no such queue.
    UnknownQueue,
}

/// Is what a dispatcher asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to an instance.
    Start {
        /// The request.
        key: request::Key,
        /// The slot that it holds.
        grant: Grant,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// How long the attempt may take.
        timeout: Duration,
        /// When it is too late to send it, because another entry may have the slot then.
        send_by: Instant,
    },
    /// Ends a request without an answer of a backend server.
    Finish {
        /// The request.
        key: request::Key,
        /// How it ends.
        fate: Fate,
    },
    /// Sends a frame to a peer.
    Send {
        /// The peer.
        to: entry::Id,
        /// The message.
        body: Body,
    },
    /// Tells that requests may now, or may no longer, reach an instance.
    Health {
        /// The instance.
        instance: instance::Key,
        /// Whether requests may go there.
        is_usable: bool,
    },
}
