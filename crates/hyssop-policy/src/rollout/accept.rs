use hyssop_model::config::Head;
use hyssop_model::prelude::*;

/// An entry that may be serving and has not stored the proposed version yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingEntry {
    /// The entry's name.
    pub entry: String,
    /// The latest version that it has stored.
    pub held: u64,
}

/// Decision on a proposed configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is no proposal.
    Idle,
    /// Every entry that may be serving has stored the proposal. Carries the new head.
    Accept(Head),
    /// The proposal waits for the given entries.
    Wait(Vec<LaggingEntry>),
}

/// Decides whether the proposal of `head` can be accepted.
///
/// An entry may be serving while it is a member, and after its removal until its process is known
/// to have ended. The host commits the new head only if the membership has not changed, so that no
/// entry can join between the read and the commit.
pub fn accept(head: &Head, may_serve: &[&entry::Record]) -> Verdict {
    let Some(proposed) = &head.proposed else {
        return Verdict::Idle;
    };
    let is_lagging = |record: &&&entry::Record| record.held_version < proposed.number;
    let lagging: Vec<LaggingEntry> = may_serve
        .iter()
        .filter(is_lagging)
        .map(|record| LaggingEntry {
            entry: record.member.name.clone(),
            held: record.held_version,
        })
        .collect();
    if !lagging.is_empty() {
        return Verdict::Wait(lagging);
    }
    Verdict::Accept(Head {
        accepted: proposed.clone(),
        proposed: None,
        last_number: head.last_number,
    })
}
