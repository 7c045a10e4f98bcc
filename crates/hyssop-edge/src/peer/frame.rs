use super::Inquiry;
use crate::node::Ownership;
use hyssop_model::work::{Address, Phase, Submission};
use hyssop_policy::owner::{Demand, Rule};
use serde::{Deserialize, Serialize};

/// A message between peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Frame {
    /// The version of the sender's configuration.
    pub(crate) version: u64,
    /// The content.
    pub(crate) body: Body,
}

/// The content of a frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Body {
    /// A request for an operation, with the number that its answer repeats.
    #[serde(rename = "Ask")]
    Request(u64, Operation),
    /// The answer to the request with this number.
    Answer(u64, Answer),
    /// A request for a heartbeat.
    Ping,
    /// A heartbeat.
    Pong(Status),
}

/// The status of a process, for peers that may have to take over from it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Status {
    /// The shards that it owns, with their terms.
    pub(crate) owned: Vec<(String, u64)>,
    /// How long every call to the store has failed, in milliseconds; 0 if the last call succeeded.
    pub(crate) store_failed_ms: u64,
}

/// An operation on a shard, performed by its owner, or an inquiry, answered by any process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Operation {
    /// Submits a job.
    Submit {
        /// The shard.
        part: String,
        queue: String,
        id: String,
        /// The time since the arrival of the caller's request.
        age_ms: u64,
        /// How long the owner may wait for the store.
        patience_ms: u64,
        submission: Submission,
        /// The queue's rules, which the owner may not know yet; earlier versions send none.
        #[serde(default)]
        rule: Option<Rule>,
        /// The address of the caller's request; earlier versions send none.
        #[serde(default)]
        address: Option<Address>,
        /// The version of the configuration by which the job belongs to this pool.
        #[serde(default)]
        version: u64,
    },
    /// Returns whether the pool has a job that is about to be submitted to another one; if not, the
    /// pool won't accept it.
    Recall {
        /// The shard.
        part: String,
        id: String,
        /// The version of the configuration by which the job belongs to another pool.
        version: u64,
        /// How long the owner may wait for the store.
        patience_ms: u64,
        /// The caller's client account, if it has one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        account: Option<String>,
    },
    /// Returns a job's phase.
    Phase {
        /// The shard.
        part: String,
        id: String,
        /// The caller's client account, if it has one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        account: Option<String>,
    },
    /// Cancels a job.
    Cancel {
        /// The shard.
        part: String,
        id: String,
        /// How long the owner may wait for the store.
        patience_ms: u64,
        /// The caller's client account, if it has one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        account: Option<String>,
    },
    /// Counts a queue's waiting jobs.
    Waiting {
        /// The shard.
        part: String,
        queue: String,
    },
    /// Returns the total demand of the pool's jobs.
    Demand {
        /// The shard.
        part: String,
    },
    /// Evacuates workers for the given time; all others are eligible for tasks again.
    #[serde(rename = "Vacate")]
    Evacuate {
        /// The shard.
        part: String,
        workers: Vec<String>,
        /// The duration of the evacuation.
        for_ms: u64,
    },
    /// Replaces the set of workers that are due for maintenance.
    #[serde(rename = "Due")]
    MaintenanceDue {
        /// The shard.
        part: String,
        workers: Vec<String>,
    },
    /// Reports workers that stopped because their instances were moved or maintained.
    #[serde(rename = "Ended")]
    WorkersStopped {
        /// The shard.
        part: String,
        workers: Vec<String>,
        /// The incarnation of each worker that stopped, as far as it is known. Earlier versions send
        /// none.
        #[serde(default)]
        incarnations: Vec<Option<i64>>,
        /// How long ago the first of them stopped.
        #[serde(default)]
        age_ms: u64,
    },
    /// An inquiry about the ownership of shards.
    Inquire(Inquiry),
}

impl Operation {
    /// Returns the shard of the operation, empty for an inquiry.
    pub(crate) fn shard(&self) -> &str {
        match self {
            Self::Submit { part, .. }
            | Self::Recall { part, .. }
            | Self::Phase { part, .. }
            | Self::Cancel { part, .. }
            | Self::Waiting { part, .. }
            | Self::Demand { part }
            | Self::Evacuate { part, .. }
            | Self::MaintenanceDue { part, .. }
            | Self::WorkersStopped { part, .. } => part,
            Self::Inquire(_) => "",
        }
    }
}

/// An owner's answer to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The operation is done; the job or the cancellation is stored.
    Done,
    /// The job is rejected and never runs; the reason, and the time until a retry in
    /// milliseconds.
    Refused(String, u64),
    /// It is unknown whether the change is stored.
    Uncertain,
    /// The job does not exist.
    Unknown,
    /// The job's phase.
    Phase(Phase),
    /// The job may belong to another pool: the sender's configuration is outdated.
    Reassigned,
    /// The number of waiting jobs.
    Waiting(usize),
    /// The total demand of the pool's jobs.
    Demand(Demand),
    /// This process does not own the shard.
    NotOwner,
    /// The shard's owner, if one is known.
    Owner(Option<Ownership>),
    /// Whether the other process was reached.
    Reached(bool),
    /// Whether the asked process can't have taken over any of the shards.
    Confirmed(bool),
    /// The newer owner of a shard.
    Superseded(String, Ownership),
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Panics
    ///
    /// Panics if the frame can't be encoded, which does not occur for plain data.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a frame is plain data");
        bytes
    }

    /// Decodes a frame; returns `None` for an invalid one.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}
