//! Decisions as the home of keys.

use super::Coordinator;
use crate::claim::key::Key;
use crate::claim::{Action, Handover};
use hyssop_model::prelude::*;
use hyssop_wire::claim::{Accepted, Ask, Verdict};
use hyssop_wire::notice::Promise;
use hyssop_wire::{claim, Body};

impl Coordinator {
    /// Decides on a question as the home of its key.
    pub(super) fn judge(
        &mut self,
        now: Instant,
        wall_ms: u64,
        owner: entry::Id,
        ask: &Ask,
    ) -> Verdict {
        let Ok(parsed) = ask.key.parse::<Key>() else {
            return Verdict::Malformed;
        };
        if let Some(verdict) = self.registry.find(&ask.key, ask.fingerprint, owner, ask.id) {
            return verdict;
        }
        if let Some(verdict) = self.refuse_new(now, wall_ms, &ask.key, &parsed) {
            return verdict;
        }
        // An owner outside the epoch would never be missed, so its claim would never be closed.
        let is_known = owner == self.id || self.epoch.contains(owner);
        if self.is_frozen || !is_known || !self.registry.has_room(&self.settings) {
            return Verdict::NotNow;
        }
        if self
            .registry
            .grant(&ask.key, ask.fingerprint, owner, ask.id)
        {
            Verdict::Granted
        } else {
            Verdict::NotNow
        }
    }

    /// Returns why a key without a claim must not be granted, if it must not.
    pub(super) fn refuse_new(
        &self,
        now: Instant,
        wall_ms: u64,
        key: &str,
        parsed: &Key,
    ) -> Option<Verdict> {
        let bound_ms = self.settings.clock_bound.as_millis() as u64;
        let retention_ms = self.settings.retention.as_millis() as u64;
        let minted_ms = parsed.minted_ms();
        // The claim of an older key may have been forgotten.
        if minted_ms + retention_ms <= wall_ms {
            return Some(Verdict::Unknown);
        }
        match parsed {
            Key::Bound { .. } if minted_ms > wall_ms + 2 * bound_ms => Some(Verdict::Malformed),
            Key::Bound { home, .. } if *home == self.id => None,
            Key::Bound { home, .. } => {
                let is_successor = self
                    .transfers
                    .get(home)
                    .is_some_and(|transfer| transfer.covers(self.id, key));
                (!is_successor).then_some(Verdict::Unknown)
            }
            Key::Unbound { .. } => {
                if minted_ms > wall_ms + bound_ms {
                    return Some(Verdict::Ahead(wall_ms));
                }
                if !self.authority.is_held(now, &self.others(), &self.settings) {
                    return Some(Verdict::NotNow);
                }
                match self.history.home_since(self.id, key) {
                    None => Some(Verdict::NotNow),
                    // An earlier home may have granted a key minted before it stopped; its clock
                    // and the minter's each differ from this one by the bound.
                    Some(since_ms) if minted_ms < since_ms + 2 * bound_ms => Some(Verdict::Unknown),
                    Some(_) => None,
                }
            }
        }
    }

    pub(super) fn hear_promise(
        &mut self,
        from: entry::Id,
        promise: Promise,
        out: &mut Vec<Action>,
    ) {
        if promise.epoch != self.epoch.number {
            return;
        }
        match promise.lasts_ms {
            Some(lasts_ms) => {
                self.authority
                    .accept(from, promise.id, Duration::from_millis(lasts_ms))
            }
            None => out.push(Action::Send {
                to: from,
                body: Body::Promise(Promise {
                    lasts_ms: Some(self.settings.promise.as_millis() as u64),
                    ..promise
                }),
            }),
        }
    }

    pub(super) fn receive_transfer(
        &mut self,
        now: Instant,
        from: entry::Id,
        part: claim::Handover,
        out: &mut Vec<Action>,
    ) {
        let transfer = self.transfers.entry(from).or_default();
        let is_whole = transfer.receive(&part);
        for held in part.claims {
            self.registry.import(now, held, &self.settings);
        }
        if is_whole {
            let body = Body::Accepted(Accepted { parts: part.parts });
            out.push(Action::Send { to: from, body });
        }
    }

    pub(super) fn hand_over(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.is_frozen {
            return;
        }
        self.is_frozen = true;
        let members = self.history.members().to_vec();
        let mut handover = Handover::new(now, self.id, &members, self.registry.held());
        if handover.finish() {
            out.push(Action::HandedOver);
        }
        self.handover = Some(handover);
        self.send_handover(now, out);
    }

    pub(super) fn send_handover(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        for (to, part) in handover.due(now, &self.settings) {
            out.push(Action::Send {
                to,
                body: Body::Handover(part),
            });
        }
    }
}
