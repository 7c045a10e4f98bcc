mod home;
mod outgoing;

use super::handover::IncomingHandover;
use super::key::Key;
use super::{
    Action, Authority, Event, History, OutgoingClaims, OutgoingHandover, Registry, Settings,
};
use hyssop_model::prelude::*;
use hyssop_wire::claim::{End, Reply, SettlementAck, Verdict};
use hyssop_wire::Body;

/// The coordinator of an entry's claims.
///
/// It decides on claims of the keys that have their home at this entry, and requests claims from
/// other homes.
#[derive(Clone, Debug)]
pub struct Coordinator {
    id: entry::Id,
    settings: Settings,
    registry: Registry,
    outgoing: OutgoingClaims,
    history: History,
    authority: Authority,
    epoch: epoch::Record,
    /// The members that have confirmed the current epoch by a status.
    confirmed_members: BTreeSet<entry::Id>,
    /// The delay between the last confirmation and becoming active.
    activation_delay: Duration,
    /// When the last member confirmed.
    all_confirmed_at: Option<Instant>,
    incoming_handovers: BTreeMap<entry::Id, IncomingHandover>,
    handover: Option<OutgoingHandover>,
    /// Whether the hand-over has started, after which no claims are granted.
    is_frozen: bool,
    last_random: u64,
}

impl Coordinator {
    /// Creates the coordinator of entry `id`.
    pub fn new(id: entry::Id, settings: Settings) -> Self {
        Self {
            id,
            settings,
            registry: Registry::default(),
            outgoing: OutgoingClaims::default(),
            history: History::default(),
            authority: Authority::default(),
            epoch: epoch::Record::default(),
            confirmed_members: BTreeSet::new(),
            activation_delay: Duration::ZERO,
            all_confirmed_at: None,
            incoming_handovers: BTreeMap::new(),
            handover: None,
            is_frozen: false,
            last_random: id.0,
        }
    }

    /// Mints a bound key, or returns `None` if the hand-over has started, after which no claims are
    /// granted.
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

    /// Returns the time until which this entry may use its slots without another lease or promise.
    pub fn slots_usable_until(&self, now: Instant) -> Option<Instant> {
        if !self.epoch.contains(self.id) {
            return None;
        }
        self.authority
            .slots_usable_until(now, &self.peers(), &self.settings)
    }

    fn peers(&self) -> Vec<entry::Id> {
        let members = self.history.members().iter().copied();
        members.filter(|id| *id != self.id).collect()
    }

    /// Returns whether a claim request, a grant or a settlement of this entry is outstanding.
    pub fn is_busy(&self) -> bool {
        self.outgoing.is_busy()
    }

    /// Handles an event; `wall_ms` is the wall clock in milliseconds.
    pub fn step(&mut self, now: Instant, wall_ms: u64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Claim {
                request,
                key,
                fingerprint,
            } => self.on_claim(now, wall_ms, request, &key, fingerprint, out),
            Event::Settle { request, end } => self.on_request_end(now, request, end, out),
            Event::Frame { from, body } => self.on_frame(now, wall_ms, from, body, out),
            Event::Epoch(epoch) => self.on_epoch(now, wall_ms, epoch),
            Event::Lease(ends) => self.authority.extend_lease(ends),
            Event::HandOver => self.start_handover(now, out),
            Event::Tick => self.tick(now, wall_ms, out),
        }
    }

    fn on_epoch(&mut self, now: Instant, wall_ms: u64, epoch: epoch::Record) {
        if epoch.number <= self.epoch.number {
            return;
        }
        let removed = self
            .epoch
            .members
            .iter()
            .any(|member| !epoch.contains(member.id));
        self.history.begin(&epoch);
        self.confirmed_members.clear();
        self.authority.clear_promises();
        // Only a removed member could remain active in an earlier epoch, by promises made before.
        let is_growth = !removed && epoch.retired.is_empty();
        self.activation_delay = if is_growth {
            Duration::ZERO
        } else {
            self.settings.promise_duration
        };
        self.all_confirmed_at = None;
        self.epoch = epoch;
        let epoch = &self.epoch;
        self.registry.close_orphans(
            now,
            |owner| !epoch.contains(owner) && owner != self.id,
            &self.settings,
        );
        self.try_activate(now, wall_ms);
    }

    /// Becomes active in the current epoch once every other member has confirmed it and all
    /// promises of earlier epochs have expired.
    fn try_activate(&mut self, now: Instant, wall_ms: u64) {
        let has_confirmed = |id: &entry::Id| *id == self.id || self.confirmed_members.contains(id);
        if !self.epoch.contains(self.id) || !self.history.members().iter().all(has_confirmed) {
            return;
        }
        let all_confirmed_at = *self.all_confirmed_at.get_or_insert(now);
        if now >= all_confirmed_at + self.activation_delay && wall_ms >= self.cold_start_end_ms() {
            self.history.activate(wall_ms);
        }
    }

    /// Returns the wall clock, in milliseconds, from which no member of a previous epoch can be
    /// active after a cold start, when the end of that epoch was not observed.
    fn cold_start_end_ms(&self) -> u64 {
        if self.epoch.cold_start_ms == 0 {
            return 0;
        }
        let wait = self.settings.max_outage
            + self.settings.promise_duration
            + 2 * self.settings.clock_bound;
        self.epoch.cold_start_ms + wait.as_millis() as u64
    }

    fn on_frame(
        &mut self,
        now: Instant,
        wall_ms: u64,
        from: entry::Id,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        match body {
            Body::ClaimRequest(claim_request) => {
                let verdict = self.evaluate(now, wall_ms, from, &claim_request);
                let body = Body::ClaimReply(Reply {
                    id: claim_request.id,
                    key: claim_request.key,
                    verdict,
                });
                out.push(Action::Send { to: from, body });
            }
            Body::ClaimReply(reply) => self.on_reply(now, from, reply, out),
            // The claims were handed over; the sender resends to a successor once this home left.
            Body::Settlement(_) if self.is_frozen => {}
            Body::Settlement(settlement) => {
                self.registry.settle(
                    now,
                    &settlement.key,
                    from,
                    settlement.id,
                    settlement.end,
                    &self.settings,
                );
                let body = Body::SettlementAck(SettlementAck { id: settlement.id });
                out.push(Action::Send { to: from, body });
            }
            Body::SettlementAck(ack) => self.outgoing.acknowledge_settlement(ack.id),
            Body::Status(status) if status.epoch == self.epoch.number => {
                self.confirmed_members.insert(from);
                self.try_activate(now, wall_ms);
            }
            Body::Promise(promise) => self.on_promise(from, promise, out),
            Body::Handover(part) => self.on_handover(now, from, part, out),
            Body::HandoverAck(ack) => {
                let is_last = self
                    .handover
                    .as_mut()
                    .is_some_and(|handover| handover.acknowledge(from, ack.parts));
                if is_last {
                    out.push(Action::HandedOver);
                }
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        self.registry.expire(now);
        self.try_activate(now, wall_ms);
        for (id, pending) in self.outgoing.remove_overdue(now) {
            // The home may have granted it, so it is notified that the request was not sent.
            self.outgoing.insert_settlement(
                now,
                id,
                &pending.key,
                pending.home,
                End::NotRun,
                &self.settings,
            );
            push_decision(pending.request, Verdict::NotNow, out);
        }
        self.send_settlements(now, out);
        self.send_handover(now, out);
        if let Some(promise) =
            self.authority
                .due_promise_request(now, self.epoch.number, &self.settings)
        {
            for peer in self.peers() {
                out.push(Action::Send {
                    to: peer,
                    body: Body::Promise(promise),
                });
            }
        }
    }
}

fn push_decision(request: request::Key, verdict: Verdict, out: &mut Vec<Action>) {
    out.push(Action::Decide { request, verdict });
}
