use super::key::home_among;
use super::Settings;
use hyssop_model::prelude::*;
use hyssop_wire::claim;

/// Sends the claims of a leaving home to their heirs until each has confirmed its parts.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    parts: BTreeMap<entry::Id, Vec<claim::Handover>>,
    send_at: Instant,
    is_done: bool,
}

const CLAIMS_PER_PART: usize = 64;

impl Handover {
    /// Divides `claims` between the other members.
    pub(crate) fn new(
        now: Instant,
        own: entry::Id,
        members: &[entry::Id],
        claims: Vec<claim::Held>,
    ) -> Self {
        let heirs: Vec<entry::Id> = members.iter().copied().filter(|id| *id != own).collect();
        let mut by_heir: BTreeMap<entry::Id, Vec<claim::Held>> =
            heirs.iter().map(|heir| (*heir, Vec::new())).collect();
        for claim in claims {
            if let Some(heir) = home_among(&claim.key, heirs.iter().copied()) {
                by_heir.entry(heir).or_default().push(claim);
            }
        }
        let parts = by_heir
            .into_iter()
            .map(|(heir, claims)| (heir, split(&heirs, claims)));
        Self {
            parts: parts.collect(),
            send_at: now,
            is_done: false,
        }
    }

    /// Returns the parts that are to be sent now.
    pub(crate) fn due(
        &mut self,
        now: Instant,
        settings: &Settings,
    ) -> Vec<(entry::Id, claim::Handover)> {
        if now < self.send_at {
            return Vec::new();
        }
        self.send_at = now + settings.settle_interval;
        let parts = self
            .parts
            .iter()
            .flat_map(|(heir, parts)| parts.iter().map(|part| (*heir, part.clone())));
        parts.collect()
    }

    /// Takes in an heir's confirmation, and returns whether it was the last one.
    pub(crate) fn confirm(&mut self, heir: entry::Id, parts: u32) -> bool {
        let is_whole = self
            .parts
            .get(&heir)
            .is_some_and(|own| own.len() as u32 == parts);
        if is_whole {
            self.parts.remove(&heir);
        }
        self.finish()
    }

    /// Returns once whether every heir has confirmed.
    pub(crate) fn finish(&mut self) -> bool {
        self.parts.is_empty() && !std::mem::replace(&mut self.is_done, self.parts.is_empty())
    }
}

fn split(heirs: &[entry::Id], claims: Vec<claim::Held>) -> Vec<claim::Handover> {
    let mut chunks: Vec<Vec<claim::Held>> =
        claims.chunks(CLAIMS_PER_PART).map(<[_]>::to_vec).collect();
    if chunks.is_empty() {
        chunks.push(Vec::new());
    }
    let parts = chunks.len() as u32;
    let part = |(index, claims): (usize, Vec<claim::Held>)| claim::Handover {
        part: index as u32,
        parts,
        heirs: heirs.to_vec(),
        claims,
    };
    chunks.into_iter().enumerate().map(part).collect()
}

/// Is what an heir received of one home's claims.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estate {
    received: BTreeSet<u32>,
    heirs: Vec<entry::Id>,
    is_whole: bool,
}

impl Estate {
    /// Notes a part, and returns whether all parts are there.
    pub(crate) fn receive(&mut self, part: &claim::Handover) -> bool {
        self.received.insert(part.part);
        self.heirs.clone_from(&part.heirs);
        self.is_whole |= self.received.len() as u32 == part.parts;
        self.is_whole
    }

    /// Tells whether `own` is the heir of a key and knows every claim of it.
    pub(crate) fn covers(&self, own: entry::Id, key: &str) -> bool {
        self.is_whole && home_among(key, self.heirs.iter().copied()) == Some(own)
    }
}
