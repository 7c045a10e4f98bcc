use crate::admission::Refusal;
use crate::slot::Grant;
use hyssop_model::prelude::*;
use hyssop_wire::Body;

/// Reason why a request ended without an answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request did not run.
    NotRun(Refusal),
    /// The request may or may not have run.
    Unknown,
    /// The pool does not exist.
    UnknownPool,
    /// The queue does not exist in the pool.
    UnknownQueue,
}

/// An effect that the host carries out for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to an instance.
    Start {
        /// The request.
        key: request::Key,
        /// The slot that the attempt occupies.
        grant: Grant,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The timeout of the attempt.
        timeout: Duration,
        /// The latest time to send the request; from then on another entry may own the slot.
        send_by: Instant,
    },
    /// Ends a request without an answer of a backend server.
    Finish {
        /// The request.
        key: request::Key,
        /// Why the request ended.
        failure: Failure,
    },
    /// Sends a frame to a peer.
    Send {
        /// The peer.
        to: entry::Id,
        /// The message.
        body: Body,
    },
    /// Reports that an instance was ejected or readmitted.
    Health {
        /// The instance.
        instance: instance::Key,
        /// Whether requests may be sent to the instance.
        is_usable: bool,
    },
}
