mod ask;
mod home;

use super::handover::Transfer;
use super::key::Key;
use super::{Action, Asker, Authority, Event, Handover, History, Registry, Settings};
use hyssop_model::prelude::*;
use hyssop_wire::claim::{End, Reply, Settled, Verdict};
use hyssop_wire::Body;

/// Decides for one entry which keyed request may be sent: as the home of keys, and as asker.
#[derive(Clone, Debug)]
pub struct Coordinator {
    id: entry::Id,
    settings: Settings,
    registry: Registry,
    asker: Asker,
    history: History,
    authority: Authority,
    epoch: epoch::Record,
    /// The members that told, in the present epoch, that they act in it.
    told: BTreeSet<entry::Id>,
    /// How long after the last of them the entry begins to act.
    act_wait: Duration,
    /// When the last of them told so.
    all_told_at: Option<Instant>,
    transfers: BTreeMap<entry::Id, Transfer>,
    handover: Option<Handover>,
    is_frozen: bool,
    last_random: u64,
}

impl Coordinator {
    /// Makes the coordinator of entry `id`.
    pub fn new(id: entry::Id, settings: Settings) -> Self {
        Self {
            id,
            settings,
            registry: Registry::default(),
            asker: Asker::default(),
            history: History::default(),
            authority: Authority::default(),
            epoch: epoch::Record::default(),
            told: BTreeSet::new(),
            act_wait: Duration::ZERO,
            all_told_at: None,
            transfers: BTreeMap::new(),
            handover: None,
            is_frozen: false,
            last_random: id.0,
        }
    }

    /// Mints a bound key, or returns `None` when the entry grants nothing any more.
    pub fn mint(&mut self, wall_ms: u64) -> Option<Key> {
        if self.is_frozen {
            return None;
        }
        self.last_random = self.last_random.wrapping_add(1);
        Some(Key::Bound {
            home: self.id,
            minted_ms: wall_ms,
            random: self.last_random,
        })
    }

    /// Returns until when this entry may use its slots without hearing from anybody.
    pub fn vouched_until(&self, now: Instant) -> Option<Instant> {
        if !self.epoch.contains(self.id) {
            return None;
        }
        self.authority
            .vouched_until(now, &self.others(), &self.settings)
    }

    fn others(&self) -> Vec<entry::Id> {
        let members = self.history.members().iter().copied();
        members.filter(|id| *id != self.id).collect()
    }

    /// Tells whether a question, a grant or a settlement of this entry is open.
    pub fn is_busy(&self) -> bool {
        self.asker.is_busy()
    }

    /// Takes in one event, at `wall_ms` of the wall clock.
    pub fn step(&mut self, now: Instant, wall_ms: u64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Claim {
                request,
                key,
                fingerprint,
            } => self.claim(now, wall_ms, request, &key, fingerprint, out),
            Event::Settle { request, end } => self.settle_own(now, request, end, out),
            Event::Frame { from, body } => self.hear(now, wall_ms, from, body, out),
            Event::Epoch(epoch) => self.adopt(now, wall_ms, epoch),
            Event::Lease(ends) => self.authority.renew(ends),
            Event::HandOver => self.hand_over(now, out),
            Event::Tick => self.tick(now, wall_ms, out),
        }
    }

    fn adopt(&mut self, now: Instant, wall_ms: u64, epoch: epoch::Record) {
        if epoch.number <= self.epoch.number {
            return;
        }
        let removed = self
            .epoch
            .members
            .iter()
            .any(|member| !epoch.contains(member.id));
        self.history.begin(&epoch);
        self.told.clear();
        self.authority.forget();
        // Only a removed member could go on in an earlier epoch, by promises given before.
        let is_growth = !removed && epoch.retired.is_empty();
        self.act_wait = if is_growth {
            Duration::ZERO
        } else {
            self.settings.promise
        };
        self.all_told_at = None;
        self.epoch = epoch;
        let epoch = &self.epoch;
        self.registry.close_orphans(
            now,
            |owner| !epoch.contains(owner) && owner != self.id,
            &self.settings,
        );
        self.try_to_act(now, wall_ms);
    }

    /// Begins to act in the epoch once every other member has told that it is in it, and nobody
    /// can be promising an earlier one any more.
    fn try_to_act(&mut self, now: Instant, wall_ms: u64) {
        let is_told = |id: &entry::Id| *id == self.id || self.told.contains(id);
        if !self.epoch.contains(self.id) || !self.history.members().iter().all(is_told) {
            return;
        }
        let all_told_at = *self.all_told_at.get_or_insert(now);
        if now >= all_told_at + self.act_wait && wall_ms >= self.cold_end_ms() {
            self.history.act(wall_ms);
        }
    }

    /// Returns the wall clock at which no member of an epoch that ended unseen can be acting.
    fn cold_end_ms(&self) -> u64 {
        if self.epoch.cold_start_ms == 0 {
            return 0;
        }
        let wait =
            self.settings.longest_outage + self.settings.promise + 2 * self.settings.clock_bound;
        self.epoch.cold_start_ms + wait.as_millis() as u64
    }

    fn hear(
        &mut self,
        now: Instant,
        wall_ms: u64,
        from: entry::Id,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        match body {
            Body::Ask(ask) => {
                let verdict = self.judge(now, wall_ms, from, &ask);
                let body = Body::Reply(Reply {
                    id: ask.id,
                    key: ask.key,
                    verdict,
                });
                out.push(Action::Send { to: from, body });
            }
            Body::Reply(reply) => self.hear_reply(now, from, reply, out),
            // The claims went to the successors; the sender repeats it to them once the home has left.
            Body::Settle(_) if self.is_frozen => {}
            Body::Settle(settle) => {
                self.registry.settle(
                    now,
                    &settle.key,
                    from,
                    settle.id,
                    settle.end,
                    &self.settings,
                );
                let body = Body::Settled(Settled { id: settle.id });
                out.push(Action::Send { to: from, body });
            }
            Body::Settled(settled) => self.asker.confirm(settled.id),
            Body::Status(status) if status.epoch == self.epoch.number => {
                self.told.insert(from);
                self.try_to_act(now, wall_ms);
            }
            Body::Promise(promise) => self.hear_promise(from, promise, out),
            Body::Handover(part) => self.receive_transfer(now, from, part, out),
            Body::Accepted(accepted) => {
                let is_last = self
                    .handover
                    .as_mut()
                    .is_some_and(|handover| handover.confirm(from, accepted.parts));
                if is_last {
                    out.push(Action::HandedOver);
                }
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        self.registry.expire(now);
        self.try_to_act(now, wall_ms);
        for (id, question) in self.asker.take_overdue(now) {
            // The home may have granted it; it is told that nothing was sent.
            self.asker.settle(
                now,
                id,
                &question.key,
                question.home,
                End::NotRun,
                &self.settings,
            );
            decide(question.request, Verdict::NotNow, out);
        }
        self.send_settlements(now, out);
        self.send_handover(now, out);
        if let Some(promise) = self
            .authority
            .request(now, self.epoch.number, &self.settings)
        {
            for peer in self.others() {
                out.push(Action::Send {
                    to: peer,
                    body: Body::Promise(promise),
                });
            }
        }
    }
}

fn decide(request: request::Key, verdict: Verdict, out: &mut Vec<Action>) {
    out.push(Action::Decide { request, verdict });
}
