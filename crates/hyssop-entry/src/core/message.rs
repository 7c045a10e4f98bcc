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

/// Sends messages to the core.
pub(crate) type Inbox = flume::Sender<Message>;

/// Tells a request's task what to do next.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// Sends the request.
    Start {
        /// The name of the instance.
        instance: String,
        /// Where the instance listens.
        address: SocketAddr,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// How long the attempt may take.
        timeout: Duration,
        /// When it is too late to send it.
        send_by: Instant,
    },
    /// Ends the request.
    Finish(Failure),
}

/// Is a configuration version that the entry holds.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) number: u64,
    pub(crate) text: String,
    pub(crate) fleet: Arc<fleet::Fleet>,
}

/// Is what the planner and operators ask of an entry.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Snapshot {
    /// The highest revision of an instance row that is in use here.
    pub(crate) revision: u64,
    /// The demand by pool.
    pub(crate) demand: Option<demand::Report>,
    /// The instances with requests of this entry in progress, and their number.
    pub(crate) in_flight: BTreeMap<String, u32>,
    /// The instances that requests are kept away from.
    pub(crate) ejected: Vec<String>,
    /// The requests that wait or are in progress.
    pub(crate) load: usize,
}

/// Is what other threads tell the core.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request arrived; decisions go to the sender.
    Arrive(Arrival, flume::Sender<Decision>),
    /// An attempt ended.
    End { key: request::Key, end: End },
    /// A caller went away.
    Cancel(request::Key),
    /// A probe ended.
    Probe {
        instance: instance::Key,
        sample: Sample,
    },
    /// Asks for the instances to probe.
    ListProbes(flume::Sender<Vec<(instance::Key, SocketAddr)>>),
    /// A frame came from a peer.
    Frame { from: entry::Id, body: Body },
    /// A link to a peer was opened.
    PeerUp(entry::Id),
    /// The table service told the membership epoch.
    Epoch(epoch::Record),
    /// The table service told instance rows.
    Instances(Vec<instance::Record>),
    /// The table service told a configuration that is in force.
    Fleet(Fleet),
    /// A keyed request wants to run; the verdict goes to the sender.
    Claim {
        request: request::Key,
        key: String,
        fingerprint: u64,
        reply: flume::Sender<Verdict>,
    },
    /// A request that was granted ended.
    Settle {
        request: request::Key,
        end: claim::End,
    },
    /// Asks for a new bound key.
    Mint(flume::Sender<Option<String>>),
    /// The own lease may be used until then.
    Lease(Instant),
    /// No claim is granted from now on; the sender learns when all are handed over.
    HandOver(flume::Sender<()>),
    /// The table service told a configuration that is proposed.
    Proposed { number: u64, text: String },
    /// Asks for a snapshot.
    Report(flume::Sender<Snapshot>),
    /// No request is taken from now on.
    Close,
    /// All slots are given up.
    Leave,
    /// The core stops.
    Stop,
}
