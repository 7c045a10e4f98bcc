use super::End;
use hyssop_model::outcome::Outcome;

/// Says what follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller is told this.
    Tell(Outcome),
    /// The request may be sent again.
    Retry,
}

impl Verdict {
    /// Judges the end of an attempt of a request that may, or may not, be repeated.
    ///
    /// The rules are those of RFC 9110, section 9.2.2: a request is repeated only when it is
    /// idempotent or when there is proof that it was not applied.
    pub fn judge(end: End, is_idempotent: bool) -> Self {
        match end {
            End::Answered { .. } => Self::Tell(Outcome::Answered),
            _ if end.is_proof_of_not_run() || is_idempotent => Self::Retry,
            _ => Self::Tell(Outcome::Unknown),
        }
    }

    /// Returns what the caller is told when no retry follows, given whether any attempt so far
    /// may have run.
    pub fn without_retry(may_have_run: bool) -> Outcome {
        if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
