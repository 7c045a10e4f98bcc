//! Decisions on claims, as the home of their keys.

use super::Coordinator;
use crate::claim::key::Key;
use crate::claim::{Action, OutgoingHandover};
use hyssop_model::prelude::*;
use hyssop_wire::claim::{HandoverAck, Request, Verdict};
use hyssop_wire::notice::Promise;
use hyssop_wire::{claim, Body};

impl Coordinator {
    /// Decides on a claim request as the home of its key.
    pub(super) fn evaluate(
        &mut self,
        now: Instant,
        wall_ms: u64,
        owner: entry::Id,
        claim_request: &Request,
    ) -> Verdict {
        let Ok(parsed) = claim_request.key.parse::<Key>() else {
            return Verdict::Malformed;
        };
        if let Some(verdict) = self.registry.lookup(
            &claim_request.key,
            claim_request.fingerprint,
            owner,
            claim_request.id,
        ) {
            return verdict;
        }
        if let Some(verdict) = self.check_new_key(now, wall_ms, &claim_request.key, &parsed) {
            return verdict;
        }
        // A change of epoch closes the claims of removed members only, so the claim of an owner
        // outside the epoch would never be closed.
        let is_known = owner == self.id || self.epoch.contains(owner);
        if self.is_frozen || !is_known || !self.registry.has_capacity(&self.settings) {
            return Verdict::NotNow;
        }
        if self.registry.grant(
            &claim_request.key,
            claim_request.fingerprint,
            owner,
            claim_request.id,
        ) {
            Verdict::Granted
        } else {
            Verdict::NotNow
        }
    }

    /// Returns the verdict that rejects a key without a claim, or `None` if it may be granted.
    pub(super) fn check_new_key(
        &self,
        now: Instant,
        wall_ms: u64,
        key: &str,
        parsed: &Key,
    ) -> Option<Verdict> {
        let bound_ms = self.settings.clock_bound.as_millis() as u64;
        let retention_ms = self.settings.retention.as_millis() as u64;
        let minted_ms = parsed.minted_ms();
        // The claim of an older key may have been deleted after the retention time.
        if minted_ms + retention_ms <= wall_ms {
            return Some(Verdict::Unknown);
        }
        match parsed {
            Key::Bound { .. } if minted_ms > wall_ms + 2 * bound_ms => Some(Verdict::Malformed),
            Key::Bound { home, .. } if *home == self.id => None,
            Key::Bound { home, .. } => {
                let is_successor = self
                    .incoming_handovers
                    .get(home)
                    .is_some_and(|handover| handover.covers(self.id, key));
                (!is_successor).then_some(Verdict::Unknown)
            }
            Key::Unbound { .. } => {
                if minted_ms > wall_ms + bound_ms {
                    return Some(Verdict::Ahead(wall_ms));
                }
                if !self.authority.is_valid(now, &self.peers(), &self.settings) {
                    return Some(Verdict::NotNow);
                }
                match self.history.home_since(self.id, key) {
                    None => Some(Verdict::NotNow),
                    // A previous home may have granted a key that was minted before it stopped.
                    // Its clock and the minter's may each differ from this one by the bound.
                    Some(since_ms) if minted_ms < since_ms + 2 * bound_ms => Some(Verdict::Unknown),
                    Some(_) => None,
                }
            }
        }
    }

    pub(super) fn on_promise(&mut self, from: entry::Id, promise: Promise, out: &mut Vec<Action>) {
        if promise.epoch != self.epoch.number {
            return;
        }
        match promise.duration_ms {
            Some(duration_ms) => {
                self.authority
                    .insert_promise(from, promise.id, Duration::from_millis(duration_ms))
            }
            None => out.push(Action::Send {
                to: from,
                body: Body::Promise(Promise {
                    duration_ms: Some(self.settings.promise_duration.as_millis() as u64),
                    ..promise
                }),
            }),
        }
    }

    pub(super) fn on_handover(
        &mut self,
        now: Instant,
        from: entry::Id,
        part: claim::Handover,
        out: &mut Vec<Action>,
    ) {
        let handover = self.incoming_handovers.entry(from).or_default();
        let is_complete = handover.receive(&part);
        for record in part.claims {
            self.registry.import(now, record, &self.settings);
        }
        if is_complete {
            let body = Body::HandoverAck(HandoverAck { parts: part.parts });
            out.push(Action::Send { to: from, body });
        }
    }

    pub(super) fn start_handover(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.is_frozen {
            return;
        }
        self.is_frozen = true;
        let members = self.history.members().to_vec();
        let mut handover = OutgoingHandover::new(now, self.id, &members, self.registry.export());
        if handover.poll_completion() {
            out.push(Action::HandedOver);
        }
        self.handover = Some(handover);
        self.send_handover(now, out);
    }

    pub(super) fn send_handover(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        for (to, part) in handover.due_parts(now, &self.settings) {
            out.push(Action::Send {
                to,
                body: Body::Handover(part),
            });
        }
    }
}
