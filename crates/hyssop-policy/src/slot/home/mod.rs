mod loan;
mod status;

use super::{
    Action, Allocator, AntiAffinity, Event, Grant, InstanceSlots, Inventory, Ledger, PeerHoldings,
    Settings,
};
use hyssop_model::hash;
use hyssop_model::prelude::*;
use hyssop_wire::slot::{Mask, Return};
use hyssop_wire::Body;

/// An allocator that assigns each slot to a home entry, which lends idle slots to peers.
///
/// At any time at most one entry may use a slot: its home, if no previous home still holds it, or
/// the one borrower that the home lent it to. Allocation doesn't depend on the table service.
pub struct HomeAllocator {
    id: entry::Id,
    settings: Settings,
    epoch: epoch::Record,
    inventory: Inventory,
    ledger: Ledger,
    peer_holdings: PeerHoldings,
    needs: BTreeMap<String, Need>,
    /// Whether a previous home may still hold a slot that has its home at this entry.
    has_unconfirmed: bool,
    /// Whether the held slots have changed since the last status to the peers.
    is_dirty: bool,
    is_leaving: bool,
    next_heartbeat: Option<Instant>,
}

/// A pool's need for slots: those that are not lent, and those that each peer requested.
#[derive(Debug, Default)]
struct Need {
    keep: u32,
    wanted: BTreeMap<entry::Id, u32>,
}

/// The weight of an entry as home of a slot in its own data centre, relative to 1 for the others.
const LOCAL_WEIGHT: f64 = 3.0;

impl HomeAllocator {
    /// Creates the allocator of entry `id`, which is not a member of any epoch yet.
    pub fn new(id: entry::Id, settings: Settings) -> Self {
        Self {
            id,
            settings,
            epoch: epoch::Record::default(),
            inventory: Inventory::default(),
            ledger: Ledger::default(),
            peer_holdings: PeerHoldings::default(),
            needs: BTreeMap::new(),
            has_unconfirmed: false,
            is_dirty: false,
            is_leaving: false,
            next_heartbeat: None,
        }
    }

    /// Returns the slots of `instance` that this entry may have in use; tests check that
    /// no two entries hold the same slot.
    pub fn held_slots(&self, instance: instance::Key) -> Mask {
        let Some(slots) = self.inventory.get(instance) else {
            return Mask::EMPTY;
        };
        let mut held = (slots.confirmed & !slots.on_loan) | slots.busy;
        for inbound in self.ledger.inbound.values() {
            if inbound.instance == instance {
                held.insert(inbound.index);
            }
        }
        held
    }

    /// Returns the number of slots on loan to peers.
    pub fn outbound_loans(&self) -> usize {
        self.ledger.outbound.len()
    }

    fn on_epoch(&mut self, now: Instant, epoch: epoch::Record) {
        if epoch.number <= self.epoch.number {
            return;
        }
        self.peer_holdings
            .begin_epoch(self.id, &epoch, now + self.settings.quarantine);
        self.epoch = epoch;
        let epoch = &self.epoch;
        for need in self.needs.values_mut() {
            need.wanted.retain(|id, _| epoch.contains(*id));
        }
        for key in self.inventory.keys() {
            self.update_home(key);
        }
        self.has_unconfirmed = true;
        self.is_dirty = true;
        self.confirm_slots(now);
    }

    /// Recomputes the slots of an instance that have their home at this entry.
    fn update_home(&mut self, key: instance::Key) {
        let Some(slots) = self.inventory.get(key) else {
            return;
        };
        let home = home_slots(self.id, &self.epoch, &slots.record);
        self.inventory.update(key, |slots| {
            slots.home = home;
            slots.confirmed = slots.confirmed & home;
        });
    }

    fn insert_instances(
        &mut self,
        now: Instant,
        records: Vec<instance::Record>,
        out: &mut Vec<Action>,
    ) {
        for record in records {
            let key = record.key;
            if self.inventory.insert(record) {
                self.update_home(key);
                self.has_unconfirmed = true;
            }
            self.return_unusable_loans(key, out);
        }
        self.confirm_slots(now);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.confirm_slots(now);
        self.reclaim_from_retired(now);
        self.return_idle_loans(now, out);
        let pools: Vec<String> = self.needs.keys().cloned().collect();
        for pool in pools {
            self.lend(&pool, out);
        }
    }
}

impl Allocator for HomeAllocator {
    fn acquire(&mut self, now: Instant, pool: &str, avoid: &AntiAffinity) -> Option<Grant> {
        if self.is_leaving {
            return None;
        }
        let instance = self.inventory.select(pool, avoid)?;
        let (own, loan) = self.inventory.update(instance, |slots| {
            let own = slots.free().first();
            match own {
                Some(index) => {
                    slots.busy.insert(index);
                    (own, None)
                }
                None => (None, slots.idle_loans.pop()),
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
        let inbound = self.ledger.inbound.get_mut(&(lender, id))?;
        if now >= inbound.start_by {
            inbound.idle_since = Some(now);
            self.inventory
                .update(instance, |slots| slots.idle_loans.push((lender, id)));
            return None;
        }
        inbound.idle_since = None;
        Some(Grant {
            instance,
            index: inbound.index,
            loan,
        })
    }

    fn release(&mut self, now: Instant, grant: Grant, out: &mut Vec<Action>) {
        if let Some((lender, id)) = grant.loan {
            self.release_loan(now, grant, lender, id, out);
            return;
        }
        let is_foreign = self.inventory.update(grant.instance, |slots| {
            slots.busy.remove(grant.index);
            !slots.home.contains(grant.index)
        });
        self.is_dirty |= is_foreign.unwrap_or(false);
        if self.is_dirty {
            self.publish_status(now, out);
        }
    }

    fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Epoch(epoch) => self.on_epoch(now, epoch),
            Event::Instances(records) => self.insert_instances(now, records, out),
            Event::Usable {
                instance,
                is_usable,
            } => {
                self.inventory
                    .update(instance, |slots| slots.is_healthy = is_usable);
                self.return_unusable_loans(instance, out);
            }
            Event::Status { from, status } => self.on_status(now, from, &status, out),
            Event::Lend { from, lend } => self.accept_loans(now, from, &lend, out),
            Event::Return { from, returned } => self.on_return(from, &returned, out),
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
                self.return_idle_loans(now, out);
            }
        }
        self.publish_status(now, out);
    }

    fn usable(&self, pool: &str) -> u32 {
        self.inventory
            .of_pool(pool)
            .map(InstanceSlots::usable)
            .sum()
    }

    fn unmet(&self, pool: &str) -> u32 {
        self.needs
            .get(pool)
            .map_or(0, |need| need.wanted.values().sum())
    }

    fn total(&self, pool: &str) -> u32 {
        let open = self.inventory.of_pool(pool).filter(|slots| slots.is_open());
        open.map(|slots| slots.record.slots).sum()
    }

    fn instance(&self, key: instance::Key) -> Option<&instance::Record> {
        self.inventory.get(key).map(|slots| &slots.record)
    }

    fn in_flight(&self, key: instance::Key) -> u32 {
        self.inventory.get(key).map_or(0, InstanceSlots::in_flight)
    }
}

/// Returns the number of own slots of an instance that are free or in use, without those on loan.
fn own_capacity(slots: &InstanceSlots) -> u32 {
    if slots.is_open() {
        (slots.confirmed & !slots.on_loan).len()
    } else {
        0
    }
}

/// Returns a free own slot of the open instance that has the most free capacity.
fn next_free(inventory: &Inventory, pool: &str) -> Option<(instance::Key, u8)> {
    inventory
        .sorted_by_free_capacity(pool)
        .into_iter()
        .find_map(|key| {
            let free = inventory.get(key)?.free().first()?;
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
