//! Status reports to and from peers.

use super::HomeAllocator;
use crate::slot::Action;
use hyssop_model::prelude::*;
use hyssop_wire::slot::{HeldSlots, Mask, Status};
use hyssop_wire::Body;

impl HomeAllocator {
    /// Returns the other members, and the retired members, which may still hold slots or loans.
    pub(super) fn peers(&self) -> Vec<entry::Id> {
        let members = self.epoch.members.iter().map(|member| member.id);
        let retired = self.epoch.retired.iter().map(|retired| retired.id);
        members.chain(retired).filter(|id| *id != self.id).collect()
    }

    /// Marks the gained slots that no other entry holds any more as confirmed, so that requests may
    /// use them.
    pub(super) fn confirm_slots(&mut self, now: Instant) {
        if !self.has_unconfirmed {
            return;
        }
        self.has_unconfirmed = false;
        for key in self.inventory.keys() {
            let blocked = self.peer_holdings.blocked(now, key);
            let is_unconfirmed = self.inventory.update(key, |slots| {
                slots.confirmed = slots.confirmed | (slots.home & !blocked);
                slots.confirmed != slots.home
            });
            self.has_unconfirmed |= is_unconfirmed.unwrap_or(false);
        }
    }

    pub(super) fn on_status(
        &mut self,
        now: Instant,
        from: entry::Id,
        status: &Status,
        out: &mut Vec<Action>,
    ) {
        let dropped = self.ledger.dropped_by(from, status.seen, &status.borrowed);
        self.reclaim(from, &dropped);
        for (epoch, loans) in self.ledger.unseen_by(from, status.seen) {
            self.push_lend(from, epoch, loans, out);
        }
        if status.epoch == self.epoch.number {
            self.peer_holdings.on_status(from, &status.held);
            self.confirm_slots(now);
        }
    }

    /// Returns the slots that this entry holds though another entry is their home in this epoch.
    pub(super) fn foreign_slots(&self) -> Vec<HeldSlots> {
        let mut foreign: BTreeMap<instance::Key, Mask> = BTreeMap::new();
        for (key, slots) in self.inventory.iter() {
            if !slots.foreign().is_empty() {
                foreign.insert(key, slots.foreign());
            }
        }
        for inbound in self.ledger.inbound.values() {
            if inbound.epoch != self.epoch.number {
                foreign
                    .entry(inbound.instance)
                    .or_default()
                    .insert(inbound.index);
            }
        }
        let held = foreign.into_iter();
        held.map(|(instance, slots)| HeldSlots { instance, slots })
            .collect()
    }

    pub(super) fn push_status(&self, to: entry::Id, held: &[HeldSlots], out: &mut Vec<Action>) {
        let status = Status {
            epoch: self.epoch.number,
            held: held.to_vec(),
            seen: self.ledger.seen(to),
            borrowed: self.ledger.borrowed_from(to),
        };
        out.push(Action::Send {
            to,
            body: Body::Status(status),
        });
    }

    /// Sends the held slots to the peers if they have changed or the heartbeat is due.
    pub(super) fn publish_status(&mut self, now: Instant, out: &mut Vec<Action>) {
        let is_due = self.next_heartbeat.is_none_or(|due| now >= due);
        if !self.is_dirty && !is_due {
            return;
        }
        self.is_dirty = false;
        self.next_heartbeat = Some(now + self.settings.heartbeat_interval);
        let held = self.foreign_slots();
        for peer in self.peers() {
            self.push_status(peer, &held, out);
        }
    }
}
