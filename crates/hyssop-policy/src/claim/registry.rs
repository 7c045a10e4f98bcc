use super::Settings;
use hyssop_model::prelude::*;
use hyssop_wire::claim::{Answer, End, Record, State, Verdict};

/// A claim and the fingerprint of its request.
#[derive(Clone, Debug)]
struct Claim {
    fingerprint: u64,
    state: State,
}

/// The claims of the keys whose home is this entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registry {
    claims: BTreeMap<String, Claim>,
    /// The settled claims by their expiry time.
    settled: BTreeSet<(Instant, String)>,
    /// The claim requests whose settlement arrived first, because frames were reordered, and the
    /// time until which they are rejected.
    cancelled: BTreeMap<(entry::Id, u64), Instant>,
    answer_bytes: u64,
}

impl Registry {
    /// Returns the verdict for a claimed key, or `None` for a new one.
    ///
    /// The claim request that was granted is granted again: its frame may have been duplicated,
    /// and the requester uses one reply only.
    pub(crate) fn lookup(
        &self,
        key: &str,
        fingerprint: u64,
        requester: entry::Id,
        claim_id: u64,
    ) -> Option<Verdict> {
        let claim = self.claims.get(key)?;
        if claim.fingerprint != fingerprint {
            return Some(Verdict::Mismatch);
        }
        Some(match &claim.state {
            State::Running {
                owner,
                ask: granted,
            } if (*owner, *granted) == (requester, claim_id) => Verdict::Granted,
            State::Running { .. } => Verdict::InProgress,
            State::Answered(answer) => Verdict::Repeated(answer.clone()),
            State::Unknown => Verdict::Unknown,
        })
    }

    /// Returns whether the memory limit allows another claim.
    pub(crate) fn has_capacity(&self, settings: &Settings) -> bool {
        const CLAIM_BYTES: u64 = 256;
        self.answer_bytes + self.claims.len() as u64 * CLAIM_BYTES < settings.memory
    }

    /// Grants a new key to `owner`, unless the settlement arrived before the claim request.
    pub(crate) fn grant(
        &mut self,
        key: &str,
        fingerprint: u64,
        owner: entry::Id,
        claim_id: u64,
    ) -> bool {
        if self.cancelled.remove(&(owner, claim_id)).is_some() {
            return false;
        }
        let claim = Claim {
            fingerprint,
            state: State::Running {
                owner,
                ask: claim_id,
            },
        };
        self.claims.insert(key.to_owned(), claim);
        true
    }

    /// Settles a granted request; only the claim request that was granted can do so, and once.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        key: &str,
        owner: entry::Id,
        claim_id: u64,
        end: End,
        settings: &Settings,
    ) {
        let is_granted = self.claims.get(key).is_some_and(|claim| {
            claim.state
                == State::Running {
                    owner,
                    ask: claim_id,
                }
        });
        if !is_granted {
            if end == End::NotRun && !self.claims.contains_key(key) {
                self.cancelled
                    .insert((owner, claim_id), now + settings.retention);
            }
            return;
        }
        let state = match end {
            End::NotRun => {
                self.claims.remove(key);
                return;
            }
            End::Answered(answer) if answer.body.len() <= settings.max_answer_bytes => {
                State::Answered(answer)
            }
            End::Answered(_) | End::Unknown => State::Unknown,
        };
        self.close(now, key, state, settings);
    }

    /// Closes the running claims of removed owners as unknown: the requests may have run.
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

    /// Imports a claim from a hand-over, unless the key is already known.
    pub(crate) fn import(&mut self, now: Instant, record: Record, settings: &Settings) {
        if self.claims.contains_key(&record.key) {
            return;
        }
        let is_settled = !matches!(record.state, State::Running { .. });
        let claim = Claim {
            fingerprint: record.fingerprint,
            state: record.state.clone(),
        };
        self.claims.insert(record.key.clone(), claim);
        if is_settled {
            self.close(now, &record.key, record.state, settings);
        }
    }

    /// Deletes the expired claims.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.settled.first().cloned() {
            if at > now {
                break;
            }
            self.settled.pop_first();
            if let Some(claim) = self.claims.remove(&key) {
                self.answer_bytes -= answer_size(&claim.state);
            }
        }
        self.cancelled.retain(|_, until| *until > now);
    }

    /// Returns all claims for a hand-over.
    pub(crate) fn export(&self) -> Vec<Record> {
        let claims = self.claims.iter().map(|(key, claim)| Record {
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
        let expires_at = now + settings.retention + settings.clock_bound * 2;
        self.answer_bytes += answer_size(&state);
        claim.state = state;
        self.settled.insert((expires_at, key.to_owned()));
    }
}

fn answer_size(state: &State) -> u64 {
    match state {
        State::Answered(Answer { body, .. }) => body.len() as u64,
        State::Running { .. } | State::Unknown => 0,
    }
}
