//! What peers are told, and what they tell.

use super::Home;
use crate::slot::Action;
use hyssop_model::prelude::*;
use hyssop_wire::slot::{Held, Mask, Status};
use hyssop_wire::Body;

impl Home {
    /// Returns the members and the former members that may still hold loans of theirs or ours.
    pub(super) fn peers(&self) -> Vec<entry::Id> {
        let members = self.epoch.members.iter().map(|member| member.id);
        let retired = self.epoch.retired.iter().map(|retired| retired.id);
        members.chain(retired).filter(|id| *id != self.id).collect()
    }

    /// Takes up the gained slots that nobody else holds any more.
    pub(super) fn clear_pending(&mut self, now: Instant) {
        if !self.has_pending {
            return;
        }
        self.has_pending = false;
        for key in self.inventory.keys() {
            let blocked = self.clearance.blocked(now, key);
            let is_pending = self.inventory.update(key, |site| {
                site.clear = site.clear | (site.home & !blocked);
                site.clear != site.home
            });
            self.has_pending |= is_pending.unwrap_or(false);
        }
    }

    pub(super) fn hear(
        &mut self,
        now: Instant,
        from: entry::Id,
        status: &Status,
        out: &mut Vec<Action>,
    ) {
        let dropped = self.ledger.dropped_by(from, status.seen, &status.borrowed);
        self.take_back(from, &dropped);
        for (epoch, loans) in self.ledger.unseen_by(from, status.seen) {
            self.push_lend(from, epoch, loans, out);
        }
        if status.epoch == self.epoch.number {
            self.clearance.tell(from, &status.held);
            self.clear_pending(now);
        }
    }

    /// Returns the slots held here whose home under the present epoch is elsewhere.
    pub(super) fn foreign_slots(&self) -> Vec<Held> {
        let mut foreign: BTreeMap<instance::Key, Mask> = BTreeMap::new();
        for (key, site) in self.inventory.iter() {
            if !site.foreign().is_empty() {
                foreign.insert(key, site.foreign());
            }
        }
        for borrowed in self.ledger.borrowed.values() {
            if borrowed.epoch != self.epoch.number {
                foreign
                    .entry(borrowed.instance)
                    .or_default()
                    .insert(borrowed.index);
            }
        }
        let held = foreign.into_iter();
        held.map(|(instance, slots)| Held { instance, slots })
            .collect()
    }

    pub(super) fn push_status(&self, to: entry::Id, held: &[Held], out: &mut Vec<Action>) {
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

    /// Tells the peers what is held, when that changed or the heartbeat is due.
    pub(super) fn tell_peers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let is_due = self.next_heartbeat.is_none_or(|due| now >= due);
        if !self.is_dirty && !is_due {
            return;
        }
        self.is_dirty = false;
        self.next_heartbeat = Some(now + self.settings.heartbeat);
        let held = self.foreign_slots();
        for peer in self.peers() {
            self.push_status(peer, &held, out);
        }
    }
}
