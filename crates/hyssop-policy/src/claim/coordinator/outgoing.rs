//! Claim requests to other homes, and the settlement of granted requests.

use super::{push_decision, Coordinator};
use crate::claim::key::{home_among, Key};
use crate::claim::Action;
use hyssop_model::prelude::*;
use hyssop_wire::claim::{End, Reply, Request, Verdict};
use hyssop_wire::Body;

impl Coordinator {
    pub(super) fn on_claim(
        &mut self,
        now: Instant,
        wall_ms: u64,
        request: request::Key,
        key: &str,
        fingerprint: u64,
        out: &mut Vec<Action>,
    ) {
        let Ok(parsed) = key.parse::<Key>() else {
            push_decision(request, Verdict::Malformed, out);
            return;
        };
        let Some(home) = self.home_of(key, &parsed) else {
            let verdict = match parsed {
                Key::Bound { .. } => Verdict::Unknown,
                Key::Unbound { .. } => Verdict::NotNow,
            };
            push_decision(request, verdict, out);
            return;
        };
        let id = self.outgoing.next_id();
        let claim_request = Request {
            id,
            epoch: self.epoch.number,
            key: key.to_owned(),
            fingerprint,
        };
        if home != self.id {
            self.outgoing
                .insert_pending(now, id, request, key, home, &self.settings);
            out.push(Action::Send {
                to: home,
                body: Body::ClaimRequest(claim_request),
            });
            return;
        }
        let verdict = self.evaluate(now, wall_ms, self.id, &claim_request);
        if verdict == Verdict::Granted {
            self.outgoing.add_grant(id, request, key, self.id);
        }
        push_decision(request, verdict, out);
    }

    /// Returns the home of a key, or `None` if it no longer has one.
    pub(super) fn home_of(&self, key: &str, parsed: &Key) -> Option<entry::Id> {
        match parsed {
            Key::Bound { home, .. } if *home == self.id || self.epoch.contains(*home) => {
                Some(*home)
            }
            Key::Bound { home, .. } => {
                let is_clean = self
                    .epoch
                    .retired
                    .iter()
                    .any(|retired| retired.id == *home && retired.is_clean);
                if !is_clean {
                    return None;
                }
                home_among(key, self.history.members().iter().copied())
            }
            Key::Unbound { .. } => home_among(key, self.history.members().iter().copied()),
        }
    }

    pub(super) fn on_request_end(
        &mut self,
        now: Instant,
        request: request::Key,
        end: End,
        out: &mut Vec<Action>,
    ) {
        let Some((id, key, home)) = self.outgoing.pop_grant(request) else {
            return;
        };
        if home == self.id {
            self.registry
                .settle(now, &key, self.id, id, end, &self.settings);
            return;
        }
        self.outgoing
            .insert_settlement(now, id, &key, home, end, &self.settings);
        self.send_settlements(now, out);
    }

    pub(super) fn send_settlements(&mut self, now: Instant, out: &mut Vec<Action>) {
        let epoch = &self.epoch;
        let members = self.history.members();
        let successor = |home: entry::Id, key: &str| {
            if epoch.contains(home) {
                return home;
            }
            home_among(key, members.iter().copied()).unwrap_or(home)
        };
        for (to, settlement) in self
            .outgoing
            .due_settlements(now, &self.settings, successor)
        {
            if to == self.id {
                let id = settlement.id;
                self.registry.settle(
                    now,
                    &settlement.key,
                    self.id,
                    id,
                    settlement.end,
                    &self.settings,
                );
                self.outgoing.acknowledge_settlement(id);
                continue;
            }
            out.push(Action::Send {
                to,
                body: Body::Settlement(settlement),
            });
        }
    }

    pub(super) fn on_reply(
        &mut self,
        now: Instant,
        from: entry::Id,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.outgoing.remove_pending(reply.id, from) else {
            // A duplicate of the claim request was granted after the first reply had been handled.
            if reply.verdict == Verdict::Granted && !self.outgoing.has_grant_or_settlement(reply.id)
            {
                self.outgoing.insert_settlement(
                    now,
                    reply.id,
                    &reply.key,
                    from,
                    End::NotRun,
                    &self.settings,
                );
            }
            return;
        };
        if reply.verdict == Verdict::Granted {
            self.outgoing
                .add_grant(reply.id, pending.request, &pending.key, from);
        }
        push_decision(pending.request, reply.verdict, out);
    }
}
