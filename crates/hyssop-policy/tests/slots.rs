//! Slot allocation under lost, duplicated and reordered frames and changes of membership: no slot
//! is ever held by two entries, and none is lost.

#![allow(clippy::unwrap_used)]

mod support;

use hyssop_model::entry::Id;
use hyssop_model::instance::Key;
use hyssop_policy::slot::{Action, Allocator, AntiAffinity, Event, Grant, HomeAllocator, Settings};
use hyssop_wire::Body;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use support::{cases, epoch, instance};

const POOL: &str = "permits";
const INSTANCES: u32 = 3;
const SLOTS: u32 = 4;
const INITIAL_MEMBERS: u64 = 4;

#[derive(Clone, Debug)]
enum Op {
    Acquire(usize),
    Release(usize),
    DeliverFrame(usize),
    DropFrame(usize),
    DuplicateFrame(usize),
    Need(usize, usize, u32),
    Advance(u64),
    Kill(usize),
    Leave(usize),
    Join,
    DeliverEpoch(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => any::<usize>().prop_map(Op::Acquire),
        5 => any::<usize>().prop_map(Op::Release),
        12 => any::<usize>().prop_map(Op::DeliverFrame),
        2 => any::<usize>().prop_map(Op::DropFrame),
        2 => any::<usize>().prop_map(Op::DuplicateFrame),
        4 => (any::<usize>(), any::<usize>(), 1..4u32).prop_map(|(a, b, count)| Op::Need(a, b, count)),
        3 => (1..2000u64).prop_map(Op::Advance),
        1 => any::<usize>().prop_map(Op::Kill),
        1 => any::<usize>().prop_map(Op::Leave),
        1 => Just(Op::Join),
        4 => any::<usize>().prop_map(Op::DeliverEpoch),
    ]
}

/// A cluster of entries whose frames can be delivered in any order.
struct Cluster {
    now: Instant,
    settings: Settings,
    homes: BTreeMap<u64, HomeAllocator>,
    grants: BTreeMap<u64, Vec<Grant>>,
    frames: Vec<(u64, u64, Body)>,
    members: Vec<u64>,
    retired: Vec<u64>,
    /// The slots that killed entries had in use, and the time until which their requests may run.
    orphaned_slots: Vec<(Instant, Key, u8)>,
    epoch: u64,
    next_id: u64,
}

impl Cluster {
    fn new() -> Self {
        let mut cluster = Self {
            now: Instant::now(),
            settings: Settings::default(),
            homes: BTreeMap::new(),
            grants: BTreeMap::new(),
            frames: Vec::new(),
            members: Vec::new(),
            retired: Vec::new(),
            orphaned_slots: Vec::new(),
            epoch: 0,
            next_id: 1,
        };
        for _ in 0..INITIAL_MEMBERS {
            cluster.join();
        }
        for id in cluster.ids() {
            cluster.deliver_epoch(id);
        }
        cluster
    }

    fn ids(&self) -> Vec<u64> {
        self.homes.keys().copied().collect()
    }

    fn pick(&self, index: usize) -> Option<u64> {
        let ids = self.ids();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }

    fn join(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        let mut home = HomeAllocator::new(Id(id), self.settings);
        let records = (0..INSTANCES)
            .map(|number| instance(number, POOL, SLOTS))
            .collect();
        home.step(self.now, Event::Instances(records), &mut Vec::new());
        self.homes.insert(id, home);
        self.members.push(id);
        self.epoch += 1;
    }

    fn step(&mut self, id: u64, event: Event) {
        let mut out = Vec::new();
        if let Some(home) = self.homes.get_mut(&id) {
            home.step(self.now, event, &mut out);
        }
        self.send(id, out);
    }

    fn send(&mut self, from: u64, out: Vec<Action>) {
        for Action::Send { to, body } in out {
            self.frames.push((from, to.0, body));
        }
    }

    fn deliver_epoch(&mut self, id: u64) {
        let record = epoch(self.epoch, &self.members, &self.retired);
        self.step(id, Event::Epoch(record));
    }

    fn deliver(&mut self, from: u64, to: u64, body: Body) {
        let from = Id(from);
        let event = match body {
            Body::Status(status) => Event::Status { from, status },
            Body::Lend(lend) => Event::Lend { from, lend },
            Body::Return(returned) => Event::Return { from, returned },
            _ => return,
        };
        self.step(to, event);
    }

    fn release(&mut self, id: u64, index: usize) {
        let Some(grants) = self.grants.get_mut(&id).filter(|grants| !grants.is_empty()) else {
            return;
        };
        let position = index % grants.len();
        let grant = grants.swap_remove(position);
        let mut out = Vec::new();
        if let Some(home) = self.homes.get_mut(&id) {
            home.release(self.now, grant, &mut out);
        }
        self.send(id, out);
    }

    /// Kills an entry; its lease has expired by the time that the others learn of its removal.
    fn kill(&mut self, id: u64) {
        self.homes.remove(&id);
        let running = self.grants.remove(&id).unwrap_or_default();
        let until = self.now + self.settings.quarantine;
        self.orphaned_slots.extend(
            running
                .iter()
                .map(|grant| (until, grant.instance, grant.index)),
        );
        self.remove_member(id);
    }

    fn remove_member(&mut self, id: u64) {
        self.members.retain(|member| *member != id);
        self.retired.push(id);
        self.epoch += 1;
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Acquire(index) => {
                let Some(id) = self.pick(index) else { return };
                let now = self.now;
                let grant = self
                    .homes
                    .get_mut(&id)
                    .and_then(|home| home.acquire(now, POOL, &AntiAffinity::default()));
                self.grants.entry(id).or_default().extend(grant);
            }
            Op::Release(index) => {
                let Some(id) = self.pick(index) else { return };
                self.release(id, index);
            }
            Op::DeliverFrame(index) if !self.frames.is_empty() => {
                let (from, to, body) = self.frames.remove(index % self.frames.len());
                self.deliver(from, to, body);
            }
            Op::DropFrame(index) if !self.frames.is_empty() => {
                self.frames.remove(index % self.frames.len());
            }
            Op::DuplicateFrame(index) if !self.frames.is_empty() => {
                let frame = self.frames[index % self.frames.len()].clone();
                self.frames.push(frame);
            }
            Op::Need(lender, borrower, count) => {
                let (Some(lender), Some(borrower)) = (self.pick(lender), self.pick(borrower))
                else {
                    return;
                };
                if lender != borrower {
                    let wanted = Some((Id(borrower), count));
                    let pool = POOL.to_owned();
                    self.step(
                        lender,
                        Event::Need {
                            pool,
                            keep: 0,
                            wanted,
                        },
                    );
                }
            }
            Op::Advance(ms) => {
                self.now += Duration::from_millis(ms);
                for id in self.ids() {
                    self.step(id, Event::Tick);
                }
            }
            Op::Kill(index) if self.members.len() > 1 => {
                let Some(id) = self.pick(index) else { return };
                self.kill(id);
            }
            Op::Leave(index) if self.members.len() > 1 => {
                let Some(id) = self.pick(index) else { return };
                if self.members.contains(&id) {
                    self.step(id, Event::Leave);
                    self.remove_member(id);
                    self.deliver_epoch(id);
                }
            }
            Op::Join if self.homes.len() < 6 => self.join(),
            Op::DeliverEpoch(index) => {
                if let Some(id) = self.pick(index) {
                    self.deliver_epoch(id);
                }
            }
            _ => {}
        }
    }

    fn assert_no_slot_held_twice(&self) {
        for number in 0..INSTANCES {
            let key = Key(number);
            let mut seen = BTreeMap::new();
            for (id, home) in &self.homes {
                let held = home.held_slots(key);
                for slot in (0..SLOTS as u8).filter(|slot| held.contains(*slot)) {
                    let other = seen.insert(slot, *id);
                    assert_eq!(
                        other, None,
                        "slot {slot} of instance {number} is held by entry {id} and another entry"
                    );
                }
            }
            for (until, instance, slot) in &self.orphaned_slots {
                if *instance == key && *until > self.now {
                    let holder = seen.get(slot);
                    assert_eq!(
                        holder, None,
                        "slot {slot} of {number} is in use by a killed entry"
                    );
                }
            }
        }
    }

    /// Finishes all requests, then delivers all frames and advances the clock to convergence.
    fn converge(&mut self) {
        for id in self.ids() {
            while self
                .grants
                .get(&id)
                .is_some_and(|grants| !grants.is_empty())
            {
                self.release(id, 0);
            }
            self.deliver_epoch(id);
        }
        for _ in 0..30 {
            self.now += Duration::from_millis(700);
            for id in self.ids() {
                self.step(id, Event::Tick);
            }
            for (from, to, body) in std::mem::take(&mut self.frames) {
                self.deliver(from, to, body);
            }
        }
    }
}

proptest! {
    #![proptest_config(cases(400))]

    #[test]
    fn no_slot_held_by_two_entries(ops in proptest::collection::vec(op(), 1..250)) {
        let mut cluster = Cluster::new();
        for op in ops {
            cluster.run(op);
            cluster.assert_no_slot_held_twice();
        }
    }

    #[test]
    fn no_loan_or_slot_lost_after_convergence(ops in proptest::collection::vec(op(), 1..250)) {
        let mut cluster = Cluster::new();
        for op in ops {
            cluster.run(op);
        }
        cluster.converge();
        cluster.assert_no_slot_held_twice();
        let outbound_loans: usize = cluster.homes.values().map(HomeAllocator::outbound_loans).sum();
        prop_assert_eq!(outbound_loans, 0, "outstanding loans after convergence");
        let usable: u32 = cluster.homes.values().map(|home| home.usable(POOL)).sum();
        prop_assert_eq!(usable, INSTANCES * SLOTS, "unusable slots after convergence");
    }
}

#[test]
fn idle_slots_lent_to_requesting_peer_in_one_exchange() {
    let mut cluster = Cluster::new();
    cluster.converge();
    let ids = cluster.ids();
    let borrower = ids[0];
    for lender in &ids[1..] {
        let wanted = Some((Id(borrower), 3));
        let pool = POOL.to_owned();
        cluster.step(
            *lender,
            Event::Need {
                pool,
                keep: 0,
                wanted,
            },
        );
    }
    for (from, to, body) in std::mem::take(&mut cluster.frames) {
        cluster.deliver(from, to, body);
    }
    let usable = cluster.homes[&borrower].usable(POOL);
    let outbound_loans: BTreeSet<usize> = ids[1..]
        .iter()
        .map(|id| cluster.homes[id].outbound_loans())
        .collect();
    assert!(
        outbound_loans.iter().sum::<usize>() > 0,
        "no peer lent a slot"
    );
    assert!(
        usable > SLOTS * INSTANCES / 4,
        "the borrower can use no more slots than its own"
    );
    cluster.assert_no_slot_held_twice();
}
