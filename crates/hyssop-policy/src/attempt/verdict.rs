use super::End;
use hyssop_model::outcome::Outcome;

/// The decision after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is finished, with this outcome for the caller.
    Finish(Outcome),
    /// The request may be retried.
    Retry,
}

impl Verdict {
    /// Decides whether a request may be retried after an attempt.
    ///
    /// By RFC 9110, section 9.2.2, a request is retried only if it is idempotent or certainly wasn't
    /// applied.
    pub fn decide(end: End, is_idempotent: bool) -> Self {
        match end {
            End::Answered { .. } => Self::Finish(Outcome::Answered),
            _ if end.is_certainly_not_run() || is_idempotent => Self::Retry,
            _ => Self::Finish(Outcome::Unknown),
        }
    }

    /// Returns the outcome for the caller when no retry follows, given whether any attempt so far
    /// may have run.
    pub fn outcome_without_retry(may_have_run: bool) -> Outcome {
        if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
