mod loan;
mod status;

use super::{Action, Allocator, Avoid, Clearance, Event, Grant, Inventory, Ledger, Settings, Site};
use hyssop_model::hash;
use hyssop_model::prelude::*;
use hyssop_wire::slot::{Mask, Return};
use hyssop_wire::Body;

/// Divides slots by their home entry and lends idle ones to peers.
///
/// At any moment a slot is usable by at most one entry: its home, when no earlier home holds it,
/// or the one borrower that the home lent it to. Nothing here depends on the table service.
pub struct Home {
    id: entry::Id,
    settings: Settings,
    epoch: epoch::Record,
    inventory: Inventory,
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
            inventory: Inventory::default(),
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
        let Some(site) = self.inventory.get(instance) else {
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
        for key in self.inventory.keys() {
            self.rehome(key);
        }
        self.has_pending = true;
        self.is_dirty = true;
        self.clear_pending(now);
    }

    /// Works out the slots of an instance that are at home here.
    fn rehome(&mut self, key: instance::Key) {
        let Some(site) = self.inventory.get(key) else {
            return;
        };
        let home = home_slots(self.id, &self.epoch, &site.record);
        self.inventory.update(key, |site| {
            site.home = home;
            site.clear = site.clear & home;
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
                self.rehome(key);
                self.has_pending = true;
            }
            self.return_closed(key, out);
        }
        self.clear_pending(now);
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
}

impl Allocator for Home {
    fn acquire(&mut self, now: Instant, pool: &str, avoid: &Avoid) -> Option<Grant> {
        if self.is_leaving {
            return None;
        }
        let instance = self.inventory.best(pool, avoid)?;
        let (own, loan) = self.inventory.update(instance, |site| {
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
            self.inventory
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
        let is_foreign = self.inventory.update(grant.instance, |site| {
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
                self.inventory
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
        self.inventory.of_pool(pool).map(Site::usable).sum()
    }

    fn unmet(&self, pool: &str) -> u32 {
        self.needs
            .get(pool)
            .map_or(0, |need| need.wanted.values().sum())
    }

    fn total(&self, pool: &str) -> u32 {
        let open = self.inventory.of_pool(pool).filter(|site| site.is_open());
        open.map(|site| site.record.slots).sum()
    }

    fn instance(&self, key: instance::Key) -> Option<&instance::Record> {
        self.inventory.get(key).map(|site| &site.record)
    }

    fn in_flight(&self, key: instance::Key) -> u32 {
        self.inventory.get(key).map_or(0, Site::in_flight)
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
fn next_free(inventory: &Inventory, pool: &str) -> Option<(instance::Key, u8)> {
    inventory.freest(pool).into_iter().find_map(|key| {
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
