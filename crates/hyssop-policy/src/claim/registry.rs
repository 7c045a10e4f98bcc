use super::Settings;
use hyssop_model::prelude::*;
use hyssop_wire::claim::{Answer, End, Held, State, Verdict};

/// Is a claim at its home.
#[derive(Clone, Debug)]
struct Claim {
    fingerprint: u64,
    state: State,
}

/// Keeps the claims of the keys that are at home here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registry {
    claims: BTreeMap<String, Claim>,
    /// The settled claims by the time of their forgetting.
    settled: BTreeSet<(Instant, String)>,
    /// The questions that were settled before they came, because frames overtook each other.
    cancelled: BTreeMap<(entry::Id, u64), Instant>,
    bytes: u64,
}

impl Registry {
    /// Returns what is known of a key, or `None` for a new one.
    ///
    /// The question that was granted is granted again: its frame may have been doubled, and the
    /// asker takes up one answer only.
    pub(crate) fn find(
        &self,
        key: &str,
        fingerprint: u64,
        asker: entry::Id,
        ask: u64,
    ) -> Option<Verdict> {
        let claim = self.claims.get(key)?;
        if claim.fingerprint != fingerprint {
            return Some(Verdict::Mismatch);
        }
        Some(match &claim.state {
            State::Running {
                owner,
                ask: granted,
            } if (*owner, *granted) == (asker, ask) => Verdict::Granted,
            State::Running { .. } => Verdict::InProgress,
            State::Answered(answer) => Verdict::Repeated(answer.clone()),
            State::Unknown => Verdict::Unknown,
        })
    }

    /// Tells whether the registry has room for another claim.
    pub(crate) fn has_room(&self, settings: &Settings) -> bool {
        const CLAIM_BYTES: u64 = 256;
        self.bytes + self.claims.len() as u64 * CLAIM_BYTES < settings.memory
    }

    /// Grants a new key to `owner`, unless its question was settled before it came.
    pub(crate) fn grant(
        &mut self,
        key: &str,
        fingerprint: u64,
        owner: entry::Id,
        ask: u64,
    ) -> bool {
        if self.cancelled.remove(&(owner, ask)).is_some() {
            return false;
        }
        let claim = Claim {
            fingerprint,
            state: State::Running { owner, ask },
        };
        self.claims.insert(key.to_owned(), claim);
        true
    }

    /// Takes in how a granted request ended; only the grant's own question settles it, once.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        key: &str,
        owner: entry::Id,
        ask: u64,
        end: End,
        settings: &Settings,
    ) {
        let is_own = self
            .claims
            .get(key)
            .is_some_and(|claim| claim.state == State::Running { owner, ask });
        if !is_own {
            if end == End::NotRun && !self.claims.contains_key(key) {
                self.cancelled
                    .insert((owner, ask), now + settings.retention);
            }
            return;
        }
        let state = match end {
            End::NotRun => {
                self.claims.remove(key);
                return;
            }
            End::Answered(answer) if answer.body.len() <= settings.largest_answer => {
                State::Answered(answer)
            }
            End::Answered(_) | End::Unknown => State::Unknown,
        };
        self.close(now, key, state, settings);
    }

    /// Closes the claims whose owner is gone: what it was granted may have run.
    pub(crate) fn close_orphans(
        &mut self,
        now: Instant,
        is_gone: impl Fn(entry::Id) -> bool,
        settings: &Settings,
    ) {
        let is_orphan =
            |claim: &Claim| matches!(claim.state, State::Running { owner, .. } if is_gone(owner));
        let orphans: Vec<String> = self
            .claims
            .iter()
            .filter(|(_, claim)| is_orphan(claim))
            .map(|(key, _)| key.clone())
            .collect();
        for key in orphans {
            self.close(now, &key, State::Unknown, settings);
        }
    }

    /// Takes in a claim of a home that left, unless the key is known here.
    pub(crate) fn import(&mut self, now: Instant, held: Held, settings: &Settings) {
        if self.claims.contains_key(&held.key) {
            return;
        }
        let is_settled = !matches!(held.state, State::Running { .. });
        let claim = Claim {
            fingerprint: held.fingerprint,
            state: held.state.clone(),
        };
        self.claims.insert(held.key.clone(), claim);
        if is_settled {
            self.close(now, &held.key, held.state, settings);
        }
    }

    /// Forgets the claims whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.settled.first().cloned() {
            if at > now {
                break;
            }
            self.settled.pop_first();
            if let Some(claim) = self.claims.remove(&key) {
                self.bytes -= size(&claim.state);
            }
        }
        self.cancelled.retain(|_, until| *until > now);
    }

    /// Returns all claims, for a hand-over.
    pub(crate) fn held(&self) -> Vec<Held> {
        let claims = self.claims.iter().map(|(key, claim)| Held {
            key: key.clone(),
            fingerprint: claim.fingerprint,
            state: claim.state.clone(),
        });
        claims.collect()
    }

    fn close(&mut self, now: Instant, key: &str, state: State, settings: &Settings) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let forget_at = now + settings.retention + settings.clock_bound * 2;
        self.bytes += size(&state);
        claim.state = state;
        self.settled.insert((forget_at, key.to_owned()));
    }
}

fn size(state: &State) -> u64 {
    match state {
        State::Answered(Answer { body, .. }) => body.len() as u64,
        State::Running { .. } | State::Unknown => 0,
    }
}
