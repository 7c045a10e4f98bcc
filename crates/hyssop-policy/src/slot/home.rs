use super::{
    Action, Allocator, Avoid, Board, Borrowed, Clearance, Event, Grant, Ledger, Settings, Site,
};
use hyssop_model::hash;
use hyssop_model::prelude::*;
use hyssop_wire::slot::{Held, Lend, Loan, Mask, Return, Status};
use hyssop_wire::Body;

/// Divides slots by their home entry and lends idle ones to peers.
///
/// At any moment a slot is usable by at most one entry: its home, when no earlier home holds it,
/// or the one borrower that the home lent it to. Nothing here depends on the table service.
pub struct Home {
    id: entry::Id,
    settings: Settings,
    epoch: epoch::Record,
    board: Board,
    ledger: Ledger,
    clearance: Clearance,
    needs: BTreeMap<String, Need>,
    /// Whether some slot of a present home is not clear yet.
    has_pending: bool,
    /// Whether the peers must be told anew what is held here.
    is_dirty: bool,
    is_leaving: bool,
    next_heartbeat: Option<Instant>,
}

/// Is a pool's need of slots.
#[derive(Debug, Default)]
struct Need {
    keep: u32,
    wanted: BTreeMap<entry::Id, u32>,
}

/// How much more likely an entry is the home of a slot in its own data centre.
const LOCAL_WEIGHT: f64 = 3.0;

impl Home {
    /// Makes the allocator of entry `id`, which belongs to no epoch yet.
    pub fn new(id: entry::Id, settings: Settings) -> Self {
        Self {
            id,
            settings,
            epoch: epoch::Record::default(),
            board: Board::default(),
            ledger: Ledger::default(),
            clearance: Clearance::default(),
            needs: BTreeMap::new(),
            has_pending: false,
            is_dirty: false,
            is_leaving: false,
            next_heartbeat: None,
        }
    }

    /// Returns the slots of `instance` that this entry may have in use or lent: tests add them up.
    pub fn holds(&self, instance: instance::Key) -> Mask {
        let Some(site) = self.board.get(instance) else {
            return Mask::EMPTY;
        };
        let mut held = (site.clear & !site.lent) | site.busy;
        for borrowed in self.ledger.borrowed.values() {
            if borrowed.instance == instance {
                held.insert(borrowed.index);
            }
        }
        held
    }

    /// Returns the number of slots on loan to peers.
    pub fn lent(&self) -> usize {
        self.ledger.lent.len()
    }

    /// Returns the members and the former members that may still hold loans of theirs or ours.
    fn peers(&self) -> Vec<entry::Id> {
        let members = self.epoch.members.iter().map(|member| member.id);
        let retired = self.epoch.retired.iter().map(|retired| retired.id);
        members.chain(retired).filter(|id| *id != self.id).collect()
    }

    fn adopt(&mut self, now: Instant, epoch: epoch::Record) {
        if epoch.number <= self.epoch.number {
            return;
        }
        self.clearance
            .adopt(self.id, &epoch, now + self.settings.quarantine);
        self.epoch = epoch;
        let epoch = &self.epoch;
        for need in self.needs.values_mut() {
            need.wanted.retain(|id, _| epoch.contains(*id));
        }
        for key in self.board.keys() {
            self.rehome(key);
        }
        self.has_pending = true;
        self.is_dirty = true;
        self.clear_pending(now);
    }

    /// Works out the slots of an instance that are at home here.
    fn rehome(&mut self, key: instance::Key) {
        let Some(site) = self.board.get(key) else {
            return;
        };
        let home = home_slots(self.id, &self.epoch, &site.record);
        self.board.update(key, |site| {
            site.home = home;
            site.clear = site.clear & home;
        });
    }

    /// Takes up the gained slots that nobody else holds any more.
    fn clear_pending(&mut self, now: Instant) {
        if !self.has_pending {
            return;
        }
        self.has_pending = false;
        for key in self.board.keys() {
            let blocked = self.clearance.blocked(now, key);
            let is_pending = self.board.update(key, |site| {
                site.clear = site.clear | (site.home & !blocked);
                site.clear != site.home
            });
            self.has_pending |= is_pending.unwrap_or(false);
        }
    }

    fn insert_instances(
        &mut self,
        now: Instant,
        records: Vec<instance::Record>,
        out: &mut Vec<Action>,
    ) {
        for record in records {
            let key = record.key;
            if self.board.insert(record) {
                self.rehome(key);
                self.has_pending = true;
            }
            self.return_closed(key, out);
        }
        self.clear_pending(now);
    }

    /// Returns the idle loans of an instance that takes no requests.
    fn return_closed(&mut self, key: instance::Key, out: &mut Vec<Action>) {
        let Some(site) = self.board.get(key) else {
            return;
        };
        if site.is_open() {
            return;
        }
        for (lender, id) in site.idle_loans.clone() {
            self.give_back(lender, id, false, out);
        }
    }

    /// Ends a loan that stands idle here and tells the lender.
    fn give_back(&mut self, lender: entry::Id, id: u64, wants_more: bool, out: &mut Vec<Action>) {
        let Some(borrowed) = self.ledger.borrowed.remove(&(lender, id)) else {
            return;
        };
        self.board.update(borrowed.instance, |site| {
            site.idle_loans.retain(|loan| *loan != (lender, id));
            site.loans -= 1;
        });
        self.is_dirty |= borrowed.epoch != self.epoch.number;
        push_return(lender, vec![id], wants_more, out);
    }

    fn take_loans(&mut self, now: Instant, lender: entry::Id, lend: &Lend, out: &mut Vec<Action>) {
        let fresh = self.ledger.sift_unseen(lender, lend);
        let mut refused: Vec<u64> = lend.loans.iter().map(|loan| loan.id).collect();
        let held = self.ledger.borrowed_from(lender);
        refused.retain(|id| !held.contains(id));
        if lend.epoch == self.epoch.number && !self.is_leaving {
            for loan in &fresh {
                if self.take_loan(now, lender, lend, loan) {
                    refused.retain(|id| *id != loan.id);
                }
            }
        }
        if !refused.is_empty() {
            push_return(lender, refused, false, out);
        }
    }

    fn take_loan(&mut self, now: Instant, lender: entry::Id, lend: &Lend, loan: &Loan) -> bool {
        let is_open = self.board.get(loan.instance).is_some_and(Site::is_open);
        if !is_open {
            return false;
        }
        let borrowed = Borrowed {
            instance: loan.instance,
            index: loan.index,
            epoch: lend.epoch,
            start_by: now + Duration::from_millis(lend.tenure_ms),
            idle_since: Some(now),
        };
        self.ledger.borrowed.insert((lender, loan.id), borrowed);
        self.board.update(loan.instance, |site| {
            site.idle_loans.push((lender, loan.id));
            site.loans += 1;
        });
        true
    }

    fn take_back(&mut self, from: entry::Id, ids: &[u64]) {
        for id in ids {
            let Some(lent) = self.ledger.take_back(from, *id) else {
                continue;
            };
            let is_foreign = self.board.update(lent.instance, |site| {
                site.lent.remove(lent.index);
                !site.home.contains(lent.index)
            });
            self.is_dirty |= is_foreign.unwrap_or(false);
        }
    }

    fn hear_return(&mut self, from: entry::Id, returned: &Return, out: &mut Vec<Action>) {
        let lent = returned
            .loans
            .iter()
            .filter_map(|id| self.ledger.lent.get(id));
        let pools: Vec<String> = lent
            .filter(|lent| lent.to == from && self.epoch.contains(from))
            .filter_map(|lent| Some(self.board.get(lent.instance)?.record.pool.clone()))
            .collect();
        self.take_back(from, &returned.loans);
        if !returned.wants_more {
            return;
        }
        for pool in pools {
            let need = self.needs.entry(pool.clone()).or_default();
            *need.wanted.entry(from).or_default() += 1;
            self.lend(&pool, out);
        }
    }

    fn hear(&mut self, now: Instant, from: entry::Id, status: &Status, out: &mut Vec<Action>) {
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

    /// Takes back the loans of borrowers that left the membership and whose requests are over.
    fn reclaim_orphans(&mut self, now: Instant) {
        let orphans: Vec<(entry::Id, u64)> = self
            .ledger
            .lent
            .iter()
            .filter(|(_, lent)| self.clearance.is_gone(now, lent.to))
            .map(|(id, lent)| (lent.to, *id))
            .collect();
        for (borrower, id) in orphans {
            self.take_back(borrower, &[id]);
        }
    }

    fn return_idle(&mut self, now: Instant, out: &mut Vec<Action>) {
        let idle = self.settings.idle;
        let is_over = |borrowed: &Borrowed| match borrowed.idle_since {
            None => false,
            Some(since) => {
                now >= since + idle
                    || now >= borrowed.start_by
                    || borrowed.epoch != self.epoch.number
                    || self.is_leaving
            }
        };
        let over: Vec<(entry::Id, u64)> = self
            .ledger
            .borrowed
            .iter()
            .filter(|(_, borrowed)| is_over(borrowed))
            .map(|(key, _)| *key)
            .collect();
        for (lender, id) in over {
            self.give_back(lender, id, false, out);
        }
    }

    /// Lends free slots of `pool` above the own need to the peers that want them.
    fn lend(&mut self, pool: &str, out: &mut Vec<Action>) {
        if !self.settings.is_lending || self.is_leaving {
            return;
        }
        let own: u32 = self.board.of_pool(pool).map(own_capacity).sum();
        let Some(need) = self.needs.get_mut(pool) else {
            return;
        };
        let mut spare = own.saturating_sub(need.keep);
        let mut loans: BTreeMap<entry::Id, Vec<Loan>> = BTreeMap::new();
        while spare > 0 && !need.wanted.is_empty() {
            for (peer, count) in need.wanted.iter_mut() {
                let slot = if spare > 0 {
                    next_free(&self.board, pool)
                } else {
                    None
                };
                let Some((instance, index)) = slot else {
                    spare = 0;
                    break;
                };
                let loan = self.ledger.lend(*peer, self.epoch.number, instance, index);
                self.board.update(instance, |site| site.lent.insert(index));
                loans.entry(*peer).or_default().push(loan);
                *count -= 1;
                spare -= 1;
            }
            need.wanted.retain(|_, count| *count > 0);
        }
        for (peer, loans) in loans {
            self.push_lend(peer, self.epoch.number, loans, out);
        }
    }

    fn push_lend(&self, to: entry::Id, epoch: u64, loans: Vec<Loan>, out: &mut Vec<Action>) {
        let lend = Lend {
            epoch,
            tenure_ms: self.settings.tenure.as_millis() as u64,
            loans,
        };
        out.push(Action::Send {
            to,
            body: Body::Lend(lend),
        });
    }

    /// Returns the slots held here whose home under the present epoch is elsewhere.
    fn foreign_slots(&self) -> Vec<Held> {
        let mut foreign: BTreeMap<instance::Key, Mask> = BTreeMap::new();
        for (key, site) in self.board.iter() {
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

    fn push_status(&self, to: entry::Id, held: &[Held], out: &mut Vec<Action>) {
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
    fn tell_peers(&mut self, now: Instant, out: &mut Vec<Action>) {
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

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.clear_pending(now);
        self.reclaim_orphans(now);
        self.return_idle(now, out);
        let pools: Vec<String> = self.needs.keys().cloned().collect();
        for pool in pools {
            self.lend(&pool, out);
        }
    }

    fn release_borrowed(
        &mut self,
        now: Instant,
        grant: Grant,
        lender: entry::Id,
        id: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(borrowed) = self.ledger.borrowed.get_mut(&(lender, id)) else {
            return;
        };
        borrowed.idle_since = Some(now);
        let is_over =
            now >= borrowed.start_by || borrowed.epoch != self.epoch.number || self.is_leaving;
        let is_open = self.board.update(grant.instance, |site| {
            site.idle_loans.push((lender, id));
            site.is_open()
        });
        if is_over || is_open != Some(true) {
            // A loan that ends while it is in use is likely to be wanted again.
            let wants_more = is_open == Some(true) && !self.is_leaving;
            self.give_back(lender, id, wants_more, out);
        }
    }
}

impl Allocator for Home {
    fn acquire(&mut self, now: Instant, pool: &str, avoid: &Avoid) -> Option<Grant> {
        if self.is_leaving {
            return None;
        }
        let instance = self.board.best(pool, avoid)?;
        let (own, loan) = self.board.update(instance, |site| {
            let own = site.free().first();
            match own {
                Some(index) => {
                    site.busy.insert(index);
                    (own, None)
                }
                None => (None, site.idle_loans.pop()),
            }
        })?;
        if let Some(index) = own {
            return Some(Grant {
                instance,
                index,
                loan: None,
            });
        }
        let (lender, id) = loan?;
        let borrowed = self.ledger.borrowed.get_mut(&(lender, id))?;
        if now >= borrowed.start_by {
            borrowed.idle_since = Some(now);
            self.board
                .update(instance, |site| site.idle_loans.push((lender, id)));
            return None;
        }
        borrowed.idle_since = None;
        Some(Grant {
            instance,
            index: borrowed.index,
            loan,
        })
    }

    fn release(&mut self, now: Instant, grant: Grant, out: &mut Vec<Action>) {
        if let Some((lender, id)) = grant.loan {
            self.release_borrowed(now, grant, lender, id, out);
            return;
        }
        let is_foreign = self.board.update(grant.instance, |site| {
            site.busy.remove(grant.index);
            !site.home.contains(grant.index)
        });
        self.is_dirty |= is_foreign.unwrap_or(false);
        if self.is_dirty {
            self.tell_peers(now, out);
        }
    }

    fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Epoch(epoch) => self.adopt(now, epoch),
            Event::Instances(records) => self.insert_instances(now, records, out),
            Event::Usable {
                instance,
                is_usable,
            } => {
                self.board
                    .update(instance, |site| site.is_healthy = is_usable);
                self.return_closed(instance, out);
            }
            Event::Status { from, status } => self.hear(now, from, &status, out),
            Event::Lend { from, lend } => self.take_loans(now, from, &lend, out),
            Event::Return { from, returned } => self.hear_return(from, &returned, out),
            Event::Need { pool, keep, wanted } => {
                let need = self.needs.entry(pool.clone()).or_default();
                need.keep = keep;
                if let Some((peer, count)) = wanted {
                    need.wanted.insert(peer, count);
                    need.wanted.retain(|_, count| *count > 0);
                }
                self.lend(&pool, out);
            }
            Event::PeerUp(peer) => {
                let held = self.foreign_slots();
                self.push_status(peer, &held, out);
            }
            Event::Tick => self.tick(now, out),
            Event::Leave => {
                self.is_leaving = true;
                self.return_idle(now, out);
            }
        }
        self.tell_peers(now, out);
    }

    fn usable(&self, pool: &str) -> u32 {
        self.board.of_pool(pool).map(Site::usable).sum()
    }

    fn unmet(&self, pool: &str) -> u32 {
        self.needs
            .get(pool)
            .map_or(0, |need| need.wanted.values().sum())
    }

    fn total(&self, pool: &str) -> u32 {
        let open = self.board.of_pool(pool).filter(|site| site.is_open());
        open.map(|site| site.record.slots).sum()
    }

    fn instance(&self, key: instance::Key) -> Option<&instance::Record> {
        self.board.get(key).map(|site| &site.record)
    }

    fn in_flight(&self, key: instance::Key) -> u32 {
        self.board.get(key).map_or(0, Site::in_flight)
    }
}

/// Returns the number of a site's own slots that are free or in use, not counting the lent ones.
fn own_capacity(site: &Site) -> u32 {
    if site.is_open() {
        (site.clear & !site.lent).len()
    } else {
        0
    }
}

/// Returns a free slot of the freest open instance that has one of its own.
fn next_free(board: &Board, pool: &str) -> Option<(instance::Key, u8)> {
    board.freest(pool).into_iter().find_map(|key| {
        let free = board.get(key)?.free().first()?;
        Some((key, free))
    })
}

fn push_return(lender: entry::Id, loans: Vec<u64>, wants_more: bool, out: &mut Vec<Action>) {
    out.push(Action::Send {
        to: lender,
        body: Body::Return(Return { loans, wants_more }),
    });
}

/// Returns the slots of an instance whose home under `epoch` is `id`.
fn home_slots(id: entry::Id, epoch: &epoch::Record, record: &instance::Record) -> Mask {
    let mut slots = Mask::EMPTY;
    for index in 0..record.slots.min(u64::BITS) as u8 {
        let mut item = record.name.clone().into_bytes();
        item.push(index);
        let nodes = epoch.members.iter().map(|member| {
            let is_local = member.data_centre == record.data_centre;
            (member.id.0, if is_local { LOCAL_WEIGHT } else { 1.0 })
        });
        if hash::owner(&item, nodes) == Some(id.0) {
            slots.insert(index);
        }
    }
    slots
}
