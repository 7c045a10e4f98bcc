//! Questions to other homes, and how granted requests ended.

use super::{decide, Coordinator};
use crate::claim::key::{home_among, Key};
use crate::claim::Action;
use hyssop_model::prelude::*;
use hyssop_wire::claim::{Ask, End, Reply, Verdict};
use hyssop_wire::Body;

impl Coordinator {
    pub(super) fn claim(
        &mut self,
        now: Instant,
        wall_ms: u64,
        request: request::Key,
        key: &str,
        fingerprint: u64,
        out: &mut Vec<Action>,
    ) {
        let Ok(parsed) = key.parse::<Key>() else {
            decide(request, Verdict::Malformed, out);
            return;
        };
        let Some(home) = self.home_of(key, &parsed) else {
            let verdict = match parsed {
                Key::Bound { .. } => Verdict::Unknown,
                Key::Unbound { .. } => Verdict::NotNow,
            };
            decide(request, verdict, out);
            return;
        };
        let id = self.asker.next_id();
        let ask = Ask {
            id,
            epoch: self.epoch.number,
            key: key.to_owned(),
            fingerprint,
        };
        if home != self.id {
            self.asker.ask(now, id, request, key, home, &self.settings);
            out.push(Action::Send {
                to: home,
                body: Body::Ask(ask),
            });
            return;
        }
        let verdict = self.judge(now, wall_ms, self.id, &ask);
        if verdict == Verdict::Granted {
            self.asker.grant(id, request, key, self.id);
        }
        decide(request, verdict, out);
    }

    /// Returns which entry decides on a key, or `None` when nobody does any more.
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

    pub(super) fn settle_own(
        &mut self,
        now: Instant,
        request: request::Key,
        end: End,
        out: &mut Vec<Action>,
    ) {
        let Some((id, key, home)) = self.asker.take_grant(request) else {
            return;
        };
        if home == self.id {
            self.registry
                .settle(now, &key, self.id, id, end, &self.settings);
            return;
        }
        self.asker.settle(now, id, &key, home, end, &self.settings);
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
        for (to, settle) in self.asker.due(now, &self.settings, successor) {
            if to == self.id {
                let id = settle.id;
                self.registry
                    .settle(now, &settle.key, self.id, id, settle.end, &self.settings);
                self.asker.confirm(id);
                continue;
            }
            out.push(Action::Send {
                to,
                body: Body::Settle(settle),
            });
        }
    }

    pub(super) fn hear_reply(
        &mut self,
        now: Instant,
        from: entry::Id,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let Some(question) = self.asker.take(reply.id, from) else {
            // A doubled question was granted after its first answer was used up.
            if reply.verdict == Verdict::Granted && !self.asker.knows(reply.id) {
                self.asker
                    .settle(now, reply.id, &reply.key, from, End::NotRun, &self.settings);
            }
            return;
        };
        if reply.verdict == Verdict::Granted {
            self.asker
                .grant(reply.id, question.request, &question.key, from);
        }
        decide(question.request, reply.verdict, out);
    }
}
