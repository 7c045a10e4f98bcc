use super::End;
use hyssop_model::outcome::Outcome;

/// The decision after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is finished, with this outcome for the caller.
    Tell(Outcome),
    /// The request may be retried.
    Retry,
}

impl Verdict {
    /// Decides whether a request may be retried after an attempt.
    ///
    /// By RFC 9110, section 9.2.2, a request is retried only if it is idempotent or certainly wasn't
    /// applied.
    pub fn judge(end: End, is_idempotent: bool) -> Self {
        match end {
            End::Answered { .. } => Self::Tell(Outcome::Answered),
            _ if end.is_proof_of_not_run() || is_idempotent => Self::Retry,
            _ => Self::Tell(Outcome::Unknown),
        }
    }

    /// Returns the outcome for the caller when no retry follows, given whether any attempt so far
    /// may have run.
    pub fn without_retry(may_have_run: bool) -> Outcome {
        if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
