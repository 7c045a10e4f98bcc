use super::key::home_among;
use super::Settings;
use hyssop_model::prelude::*;
use hyssop_wire::claim;

/// The hand-over of a leaving home, whose parts are resent until each successor has confirmed.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingHandover {
    parts: BTreeMap<entry::Id, Vec<claim::Handover>>,
    send_at: Instant,
    is_done: bool,
}

const CLAIMS_PER_PART: usize = 64;

impl OutgoingHandover {
    /// Divides `claims` between the other members.
    pub(crate) fn new(
        now: Instant,
        own: entry::Id,
        members: &[entry::Id],
        claims: Vec<claim::Record>,
    ) -> Self {
        let successors: Vec<entry::Id> = members.iter().copied().filter(|id| *id != own).collect();
        let mut by_successor: BTreeMap<entry::Id, Vec<claim::Record>> = successors
            .iter()
            .map(|successor| (*successor, Vec::new()))
            .collect();
        for claim in claims {
            if let Some(successor) = home_among(&claim.key, successors.iter().copied()) {
                by_successor.entry(successor).or_default().push(claim);
            }
        }
        let parts = by_successor
            .into_iter()
            .map(|(successor, claims)| (successor, split(&successors, claims)));
        Self {
            parts: parts.collect(),
            send_at: now,
            is_done: false,
        }
    }

    /// Returns the parts due for sending, with their receivers.
    pub(crate) fn due_parts(
        &mut self,
        now: Instant,
        settings: &Settings,
    ) -> Vec<(entry::Id, claim::Handover)> {
        if now < self.send_at {
            return Vec::new();
        }
        self.send_at = now + settings.resend_interval;
        let parts = self
            .parts
            .iter()
            .flat_map(|(successor, parts)| parts.iter().map(|part| (*successor, part.clone())));
        parts.collect()
    }

    /// Handles a successor's confirmation; returns whether it was the last one.
    pub(crate) fn acknowledge(&mut self, successor: entry::Id, parts: u32) -> bool {
        let is_complete = self
            .parts
            .get(&successor)
            .is_some_and(|own| own.len() as u32 == parts);
        if is_complete {
            self.parts.remove(&successor);
        }
        self.poll_completion()
    }

    /// Returns `true` the first time that every successor has confirmed, and `false` otherwise.
    pub(crate) fn poll_completion(&mut self) -> bool {
        self.parts.is_empty() && !std::mem::replace(&mut self.is_done, self.parts.is_empty())
    }
}

fn split(successors: &[entry::Id], claims: Vec<claim::Record>) -> Vec<claim::Handover> {
    let mut chunks: Vec<Vec<claim::Record>> =
        claims.chunks(CLAIMS_PER_PART).map(<[_]>::to_vec).collect();
    if chunks.is_empty() {
        chunks.push(Vec::new());
    }
    let parts = chunks.len() as u32;
    let part = |(index, claims): (usize, Vec<claim::Record>)| claim::Handover {
        part: index as u32,
        parts,
        successors: successors.to_vec(),
        claims,
    };
    chunks.into_iter().enumerate().map(part).collect()
}

/// The parts that a successor has received of a home's hand-over.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncomingHandover {
    received: BTreeSet<u32>,
    successors: Vec<entry::Id>,
    is_complete: bool,
}

impl IncomingHandover {
    /// Records a part; returns whether all parts have arrived.
    pub(crate) fn receive(&mut self, part: &claim::Handover) -> bool {
        self.received.insert(part.part);
        self.successors.clone_from(&part.successors);
        self.is_complete |= self.received.len() as u32 == part.parts;
        self.is_complete
    }

    /// Returns whether `own` is the successor for a key and has received all claims.
    pub(crate) fn covers(&self, own: entry::Id, key: &str) -> bool {
        self.is_complete && home_among(key, self.successors.iter().copied()) == Some(own)
    }
}
