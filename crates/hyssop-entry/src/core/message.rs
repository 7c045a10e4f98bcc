use hyssop_config::fleet;
use hyssop_model::prelude::*;
use hyssop_policy::attempt::End;
use hyssop_policy::dispatch::{Arrival, Failure};
use hyssop_policy::health::Sample;
use hyssop_wire::claim::{self, Verdict};
use hyssop_wire::{demand, Body};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// The sending end of the core's message channel.
pub(crate) type Inbox = flume::Sender<Message>;

/// A step that the core assigns to the task of a request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// Send the request to an instance.
    Start {
        /// The name of the instance.
        instance: String,
        /// The address that the instance listens on.
        address: SocketAddr,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The time limit of the attempt.
        timeout: Duration,
        /// The time from which the request must no longer be sent.
        send_by: Instant,
    },
    /// Answer the caller: the request will not be sent, or not again.
    Finish(Failure),
}

/// A configuration version, as text and parsed.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) number: u64,
    pub(crate) text: String,
    pub(crate) fleet: Arc<fleet::Fleet>,
}

/// The state of an entry that the planner and operators query.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Snapshot {
    /// The highest revision among the instance rows that this entry uses.
    pub(crate) revision: u64,
    /// The demand by pool.
    pub(crate) demand: Option<demand::Report>,
    /// The number of in-flight requests of this entry by instance, without the instances that have
    /// none.
    pub(crate) in_flight: BTreeMap<String, u32>,
    /// The instances that receive no requests because they failed.
    pub(crate) ejected: Vec<String>,
    /// The number of requests that are queued or in flight.
    pub(crate) load: usize,
}

/// A message to the core.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request arrived; the decisions on it are sent to its task.
    Arrival(Arrival, flume::Sender<Decision>),
    /// An attempt ended.
    AttemptEnd { key: request::Key, end: End },
    /// A caller disconnected.
    Cancel(request::Key),
    /// A health probe ended.
    Probe {
        instance: instance::Key,
        sample: Sample,
    },
    /// Queries the instances to probe.
    ListProbeTargets(flume::Sender<Vec<(instance::Key, SocketAddr)>>),
    /// A frame arrived from a peer.
    Frame { from: entry::Id, body: Body },
    /// A link to a peer is connected.
    PeerUp(entry::Id),
    /// A newer membership epoch was read from the table service.
    Epoch(epoch::Record),
    /// Changed instance rows were read from the table service.
    Instances(Vec<instance::Record>),
    /// A newly accepted configuration was read from the table service.
    ConfigAccepted(Config),
    /// A request with an idempotency key asks to run; the verdict is sent to its task.
    Claim {
        request: request::Key,
        key: String,
        fingerprint: u64,
        reply: flume::Sender<Verdict>,
    },
    /// A request whose claim was granted ended.
    CompleteClaim {
        request: request::Key,
        end: claim::End,
    },
    /// Requests a new idempotency key that is bound to this entry.
    MintKey(flume::Sender<Option<String>>),
    /// The entry's lease was renewed and may be used until this time.
    LeaseRenewed(Instant),
    /// Stops granting claims and hands them over to the successors; the sender is notified when all
    /// have been confirmed.
    HandOver(flume::Sender<()>),
    /// A proposed configuration was read from the table service.
    ConfigProposed { number: u64, text: String },
    /// Queries a snapshot.
    TakeSnapshot(flume::Sender<Snapshot>),
    /// Stops admitting requests.
    Close,
    /// Releases all slots.
    Leave,
    /// Stops the core.
    Stop,
}
