use hyssop_model::config::Head;
use hyssop_model::prelude::*;

/// Is an entry that may be serving and does not hold the proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Laggard {
    /// The entry's name.
    pub entry: String,
    /// The version that it holds.
    pub held: u64,
}

/// Says whether a proposal may be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is proposed.
    Idle,
    /// Every entry that may be serving holds it: this is the new head.
    Accept(Head),
    /// It waits for these entries.
    Wait(Vec<Laggard>),
}

/// Decides on the proposal of `head`.
///
/// An entry may be serving while it is a member, and after its removal until its process is known
/// to be gone. The host commits the new head on condition that the membership did not change, so
/// that no entry can join between the reading and the commit.
pub fn accept(head: &Head, may_serve: &[&entry::Record]) -> Verdict {
    let Some(proposed) = &head.proposed else {
        return Verdict::Idle;
    };
    let lags = |record: &&&entry::Record| record.held_version < proposed.number;
    let laggards: Vec<Laggard> = may_serve
        .iter()
        .filter(lags)
        .map(|record| Laggard {
            entry: record.member.name.clone(),
            held: record.held_version,
        })
        .collect();
    if !laggards.is_empty() {
        return Verdict::Wait(laggards);
    }
    Verdict::Accept(Head {
        accepted: proposed.clone(),
        proposed: None,
        last_number: head.last_number,
    })
}
