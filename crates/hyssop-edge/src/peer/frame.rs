use hyssop_model::work::{Phase, Submission};
use hyssop_policy::owner::Demand;
use serde::{Deserialize, Serialize};

/// Is what peers send each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Frame {
    /// The version of the configuration that the sender has in force.
    pub(crate) version: u64,
    /// What it says.
    pub(crate) body: Body,
}

/// Is the content of a frame.
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

/// Says how a process stands, for peers that may have to take over from it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Standing {
    /// The parts that it owns, with their terms.
    pub(crate) owned: Vec<(String, u64)>,
    /// For how long every call to the store has failed, in milliseconds; 0 while it works.
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

/// Is an owner's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// The job is accepted and stored, or the cancellation is.
    Done,
    /// The job is not accepted and never runs; the reason, and when to come back.
    Refused(String, u64),
    /// It is not known whether the store took it.
    Uncertain,
    /// There is no such job.
    Unknown,
    /// A job's phase.
    Phase(Phase),
    /// The number of waiting jobs.
    Waiting(usize),
    /// What the pool's jobs ask for.
    Demand(Demand),
    /// The process asked does not own the part.
    NotOwner,
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Panics
    ///
    /// Panics when it can't be encoded, which no frame can cause.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a frame is plain data");
        bytes
    }

    /// Decodes a frame; `None` where it can't be read.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}
