use hyssop_model::work::{Phase, Submission};
use hyssop_policy::owner::Demand;
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
    /// A question, with a number that its answer bears.
    Ask(u64, Ask),
    /// The answer to a question.
    Answer(u64, Answer),
    /// Asks for a sign of life.
    Ping,
    /// Is one.
    Pong(Standing),
}

/// The status of a process, for peers that may have to take over from it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Standing {
    /// The shards that it owns, with their terms.
    pub(crate) owned: Vec<(String, u64)>,
    /// How long every call to the store has failed, in milliseconds; 0 if the last call succeeded.
    pub(crate) store_failed_ms: u64,
}

/// Is a question to a part's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Takes a job.
    Submit {
        part: String,
        queue: String,
        id: String,
        age_ms: u64,
        patience_ms: u64,
        submission: Submission,
    },
    /// Tells a job's phase.
    Phase { part: String, id: String },
    /// Cancels a job.
    Cancel {
        part: String,
        id: String,
        patience_ms: u64,
    },
    /// Counts a queue's waiting jobs.
    Waiting { part: String, queue: String },
    /// Sums up what the pool's jobs ask for.
    Demand { part: String },
    /// Empties workers for the given time; all others take tasks again.
    Vacate {
        part: String,
        workers: Vec<String>,
        for_ms: u64,
    },
    /// Tells which workers are due for maintenance; no others are.
    Due { part: String, workers: Vec<String> },
    /// Tells that instances were moved or maintained, which ended the workers on them.
    Ended { part: String, workers: Vec<String> },
}

impl Ask {
    /// Returns the part that is asked.
    pub(crate) fn part(&self) -> &str {
        match self {
            Self::Submit { part, .. }
            | Self::Phase { part, .. }
            | Self::Cancel { part, .. }
            | Self::Waiting { part, .. }
            | Self::Demand { part }
            | Self::Vacate { part, .. }
            | Self::Due { part, .. }
            | Self::Ended { part, .. } => part,
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
    /// The number of waiting jobs.
    Waiting(usize),
    /// The total demand of the pool's jobs.
    Demand(Demand),
    /// This process does not own the shard.
    NotOwner,
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
