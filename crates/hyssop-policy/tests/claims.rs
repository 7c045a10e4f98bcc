//! No key ever runs twice, whatever the network, the clocks, the membership and the store do.

#![allow(clippy::unwrap_used)]

mod support;

use hyssop_model::entry::Id;
use hyssop_model::epoch::Retired;
use hyssop_model::request;
use hyssop_policy::claim::{Action, Coordinator, Event, Settings};
use hyssop_wire::claim::{Answer, End, Verdict};
use hyssop_wire::slot::Status;
use hyssop_wire::Body;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use support::{cases, member};

const FIRST_MEMBERS: usize = 3;
const MOST_NODES: usize = 6;
const LEASE: Duration = Duration::from_secs(6);
const LEASE_MARGIN: Duration = Duration::from_secs(1);
const WALL_START_MS: u64 = 1_800_000_000_000;

#[derive(Clone, Debug)]
enum Op {
    MintUnbound(usize),
    MintBound(usize),
    Claim(usize, usize),
    Run(usize, bool),
    Withdraw(usize),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Pass(u64),
    Pause(usize),
    Resume(usize),
    Renew,
    ChangeEpoch,
    TellEpoch(usize),
    Kill(usize),
    Join,
    HandOver(usize),
    Store(bool),
    /// Lets leases, epochs and frames take their course for some rounds.
    Settle(u32),
    /// Claims a key at every node.
    ClaimEverywhere(usize),
    DeliverAll,
}

fn op() -> impl Strategy<Value = Op> {
    let index = any::<usize>;
    prop_oneof![
        2 => index().prop_map(Op::MintUnbound),
        1 => index().prop_map(Op::MintBound),
        10 => (index(), index()).prop_map(|(a, b)| Op::Claim(a, b)),
        10 => (index(), any::<bool>()).prop_map(|(a, b)| Op::Run(a, b)),
        1 => index().prop_map(Op::Withdraw),
        20 => index().prop_map(Op::Deliver),
        1 => index().prop_map(Op::Lose),
        3 => index().prop_map(Op::Repeat),
        6 => prop_oneof![1..200u64, 200..4000u64, 4000..20_000u64].prop_map(Op::Pass),
        1 => index().prop_map(Op::Pause),
        1 => index().prop_map(Op::Resume),
        4 => Just(Op::Renew),
        3 => Just(Op::ChangeEpoch),
        6 => index().prop_map(Op::TellEpoch),
        1 => index().prop_map(Op::Kill),
        1 => Just(Op::Join),
        1 => index().prop_map(Op::HandOver),
        1 => any::<bool>().prop_map(Op::Store),
        3 => (1..5u32).prop_map(Op::Settle),
        6 => index().prop_map(Op::ClaimEverywhere),
        8 => Just(Op::DeliverAll),
    ]
}

/// Is one entry: its claims, its clock's offset and its lease in the table service.
struct Node {
    coordinator: Coordinator,
    offset_ms: i64,
    epoch: u64,
    members: Vec<u64>,
    lease_until: Instant,
    is_paused: bool,
    is_handed_over: bool,
    /// The requests that were granted and not sent yet.
    granted: Vec<(request::Key, String)>,
}

struct Group {
    start: Instant,
    now: Instant,
    nodes: BTreeMap<u64, Node>,
    frames: Vec<(u64, u64, Body)>,
    keys: Vec<String>,
    asked: BTreeMap<request::Key, String>,
    runs: BTreeMap<String, u32>,
    epoch: hyssop_model::epoch::Record,
    is_store_up: bool,
    next_node: u64,
    next_request: u64,
}

impl Group {
    fn new() -> Self {
        let now = Instant::now();
        let mut group = Self {
            start: now,
            now,
            nodes: BTreeMap::new(),
            frames: Vec::new(),
            keys: Vec::new(),
            asked: BTreeMap::new(),
            runs: BTreeMap::new(),
            epoch: hyssop_model::epoch::Record::default(),
            is_store_up: true,
            next_node: 1,
            next_request: 0,
        };
        for _ in 0..FIRST_MEMBERS {
            group.join();
        }
        group.change_epoch();
        for id in group.ids() {
            group.tell_epoch(id);
        }
        for _ in 0..3 {
            group.pass(1000);
            group.deliver_all();
        }
        group
    }

    fn ids(&self) -> Vec<u64> {
        self.nodes.keys().copied().collect()
    }

    fn pick(&self, index: usize) -> Option<u64> {
        let ids = self.ids();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }

    fn wall_ms(&self, offset_ms: i64) -> u64 {
        let elapsed_ms = self.now.duration_since(self.start).as_millis() as u64;
        (WALL_START_MS + elapsed_ms).saturating_add_signed(offset_ms)
    }

    fn join(&mut self) {
        let id = self.next_node;
        self.next_node += 1;
        // Any two clocks differ by the bound at most.
        let bound_ms = Settings::default().clock_bound.as_millis() as i64;
        let offset_ms = [-bound_ms / 2, bound_ms / 2, 0][id as usize % 3];
        let node = Node {
            coordinator: Coordinator::new(Id(id), Settings::default()),
            offset_ms,
            epoch: 0,
            members: Vec::new(),
            lease_until: self.now,
            is_paused: false,
            is_handed_over: false,
            granted: Vec::new(),
        };
        self.nodes.insert(id, node);
        self.renew(id);
    }

    fn renew(&mut self, id: u64) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id).filter(|node| !node.is_paused) else {
            return;
        };
        node.lease_until = now + LEASE;
        self.step(id, Event::Lease(now + LEASE - LEASE_MARGIN));
    }

    fn step(&mut self, id: u64, event: Event) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        let wall_ms = self.wall_ms(node.offset_ms);
        let now = self.now;
        let mut out = Vec::new();
        if let Some(node) = self.nodes.get_mut(&id) {
            node.coordinator.step(now, wall_ms, event, &mut out);
        }
        for action in out {
            self.carry_out(id, action);
        }
    }

    fn carry_out(&mut self, id: u64, action: Action) {
        match action {
            Action::Send { to, body } => self.frames.push((id, to.0, body)),
            Action::Decide { request, verdict } => {
                let key = self
                    .asked
                    .remove(&request)
                    .expect("each question is decided once");
                if verdict == Verdict::Granted {
                    let node = self.nodes.get_mut(&id).expect("the node decided");
                    node.granted.push((request, key));
                } else if let Verdict::Repeated(answer) = verdict {
                    assert_eq!(
                        answer.body,
                        key.as_bytes(),
                        "a repeat got the answer of another key"
                    );
                }
            }
            Action::HandedOver => {
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.is_handed_over = true;
                }
            }
        }
    }

    fn tell_epoch(&mut self, id: u64) {
        let epoch = self.epoch.clone();
        let Some(node) = self.nodes.get_mut(&id).filter(|node| !node.is_paused) else {
            return;
        };
        if node.epoch < epoch.number {
            node.epoch = epoch.number;
            node.members = epoch.members.iter().map(|member| member.id.0).collect();
        }
        self.step(id, Event::Epoch(epoch));
        self.send_status(id);
    }

    fn send_status(&mut self, id: u64) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        let status = Status {
            epoch: node.epoch,
            held: Vec::new(),
            seen: 0,
            borrowed: Vec::new(),
        };
        let peers: Vec<u64> = node
            .members
            .iter()
            .copied()
            .filter(|peer| *peer != id)
            .collect();
        for peer in peers {
            self.frames.push((id, peer, Body::Status(status.clone())));
        }
    }

    /// Writes the epoch that the living entries call for, if one of them could write it.
    fn change_epoch(&mut self) {
        if !self.is_store_up {
            return;
        }
        // The writer adds the clock bound to a lease's end before it counts it as over.
        let is_live = |id: u64| {
            self.nodes
                .get(&id)
                .is_some_and(|node| node.lease_until > self.now && !node.is_handed_over)
        };
        let old = self.epoch.clone();
        let staying: Vec<u64> = old
            .members
            .iter()
            .map(|member| member.id.0)
            .filter(|id| is_live(*id))
            .collect();
        let joining: Vec<u64> = self
            .ids()
            .into_iter()
            .filter(|id| !staying.contains(id) && is_live(*id))
            .collect();
        let has_writer = staying
            .iter()
            .chain(&joining)
            .any(|id| !self.nodes[id].is_paused);
        if !has_writer || (joining.is_empty() && staying.len() == old.members.len()) {
            return;
        }
        let elapsed_ms = self.now.duration_since(self.start).as_millis() as u64;
        let gone = old
            .members
            .iter()
            .filter(|member| !staying.contains(&member.id.0));
        let gone = gone.map(|member| Retired {
            id: member.id,
            removed_ms: elapsed_ms,
            is_clean: self
                .nodes
                .get(&member.id.0)
                .is_some_and(|node| node.is_handed_over),
        });
        let kept = old
            .retired
            .iter()
            .filter(|retired| retired.removed_ms + 120_000 > elapsed_ms);
        let is_cold = staying.is_empty() && old.number > 0;
        self.epoch = hyssop_model::epoch::Record {
            number: old.number + 1,
            retired: kept.copied().chain(gone).collect(),
            members: staying
                .iter()
                .chain(&joining)
                .map(|id| member(*id))
                .collect(),
            written_ms: 0,
            cold_start_ms: if is_cold {
                self.wall_ms(0)
            } else {
                old.cold_start_ms
            },
        };
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        for id in self.ids() {
            if !self.nodes[&id].is_paused {
                self.step(id, Event::Tick);
                self.send_status(id);
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let (from, to, body) = self.frames.remove(index);
        let is_paused = self.nodes.get(&to).is_none_or(|node| node.is_paused);
        if is_paused {
            if self.nodes.contains_key(&to) {
                self.frames.push((from, to, body));
            }
            return;
        }
        self.step(
            to,
            Event::Frame {
                from: Id(from),
                body,
            },
        );
    }

    fn deliver_all(&mut self) {
        for _ in 0..self.frames.len() {
            if !self.frames.is_empty() {
                self.deliver(0);
            }
        }
    }

    fn claim(&mut self, id: u64, key: String) {
        if self.nodes[&id].is_paused || self.nodes[&id].is_handed_over {
            return;
        }
        self.next_request += 1;
        let request = request::Key(self.next_request);
        self.asked.insert(request, key.clone());
        let fingerprint = 1;
        self.step(
            id,
            Event::Claim {
                request,
                key,
                fingerprint,
            },
        );
    }

    /// Lets a granted request run, however long ago it was granted.
    fn run_granted(&mut self, id: u64, is_answered: bool) {
        let Some(node) = self.nodes.get_mut(&id).filter(|node| !node.is_paused) else {
            return;
        };
        let Some((request, key)) = node.granted.pop() else {
            return;
        };
        *self.runs.entry(key.clone()).or_default() += 1;
        let end = match is_answered {
            true => End::Answered(Answer {
                status: 200,
                media_type: None,
                instance: "i-0001".to_owned(),
                body: key.into_bytes(),
            }),
            false => End::Unknown,
        };
        self.step(id, Event::Settle { request, end });
    }

    fn run(&mut self, op: Op) {
        let length = self.frames.len().max(1);
        match op {
            Op::MintUnbound(index) => {
                let wall_ms = self.wall_ms([0, 250, -250][index % 3]);
                let seconds = wall_ms / 1000;
                let nanos = (wall_ms % 1000) as u32 * 1_000_000;
                let stamp = uuid::Timestamp::from_unix(uuid::NoContext, seconds, nanos);
                let bits = uuid::Uuid::new_v7(stamp).as_u128() >> 80 << 80;
                let count = self.keys.len() as u128;
                let uuid = uuid::Uuid::from_u128(bits | 0x7000_8000_0000_0000_0000 | count);
                self.keys.push(uuid.to_string());
            }
            Op::MintBound(index) => {
                let Some(id) = self.pick(index) else { return };
                let wall_ms = self.wall_ms(self.nodes[&id].offset_ms);
                let key = self
                    .nodes
                    .get_mut(&id)
                    .and_then(|node| node.coordinator.mint(wall_ms));
                self.keys.extend(key.map(|key| key.to_string()));
            }
            Op::Claim(node, key) => {
                let Some(id) = self.pick(node) else { return };
                // Most repeats are of the newest keys.
                let newest = self.keys.len().saturating_sub(1 + key % 4);
                if let Some(key) = self.keys.get(newest).cloned() {
                    self.claim(id, key);
                }
            }
            Op::Run(index, is_answered) => {
                if let Some(id) = self.pick(index) {
                    self.run_granted(id, is_answered);
                }
            }
            Op::Withdraw(index) => {
                let Some(id) = self.pick(index) else { return };
                let granted = self.nodes.get_mut(&id).and_then(|node| node.granted.pop());
                if let Some((request, _)) = granted {
                    let end = End::NotRun;
                    self.step(id, Event::Settle { request, end });
                }
            }
            Op::Deliver(index) if !self.frames.is_empty() => self.deliver(index % length),
            Op::Lose(index) if !self.frames.is_empty() => {
                self.frames.remove(index % length);
            }
            Op::Repeat(index) if !self.frames.is_empty() => {
                let frame = self.frames[index % length].clone();
                self.frames.push(frame);
            }
            Op::Pass(ms) => self.pass(ms),
            Op::Pause(index) => self.set_paused(index, true),
            Op::Resume(index) => self.set_paused(index, false),
            Op::Renew if self.is_store_up => {
                for id in self.ids() {
                    self.renew(id);
                }
            }
            Op::ChangeEpoch => self.change_epoch(),
            Op::TellEpoch(index) => {
                if let Some(id) = self.pick(index) {
                    self.tell_epoch(id);
                }
            }
            Op::Kill(index) if self.nodes.len() > 2 => {
                let Some(id) = self.pick(index) else { return };
                self.nodes.remove(&id);
            }
            Op::Join if self.nodes.len() < MOST_NODES && self.is_store_up => self.join(),
            Op::HandOver(index) => {
                let Some(id) = self.pick(index) else { return };
                let node = &self.nodes[&id];
                let is_idle =
                    !node.is_paused && node.granted.is_empty() && !node.coordinator.is_busy();
                if is_idle && node.members.contains(&id) {
                    self.step(id, Event::HandOver);
                }
            }
            Op::Store(is_up) => self.is_store_up = is_up,
            Op::Settle(rounds) => self.settle(rounds),
            Op::ClaimEverywhere(key) => {
                let newest = self.keys.len().saturating_sub(1 + key % 4);
                if let Some(key) = self.keys.get(newest).cloned() {
                    for id in self.ids() {
                        self.claim(id, key.clone());
                    }
                }
            }
            Op::DeliverAll => self.deliver_all(),
            _ => {}
        }
    }

    fn settle(&mut self, rounds: u32) {
        for _ in 0..rounds {
            for id in self.ids() {
                if self.is_store_up {
                    self.renew(id);
                }
            }
            self.change_epoch();
            for id in self.ids() {
                self.tell_epoch(id);
            }
            self.pass(2000);
            self.deliver_all();
        }
    }

    fn set_paused(&mut self, index: usize, is_paused: bool) {
        let Some(id) = self.pick(index) else { return };
        if let Some(node) = self.nodes.get_mut(&id) {
            node.is_paused = is_paused;
        }
    }

    fn assert_no_key_ran_twice(&self) {
        for (key, runs) in &self.runs {
            assert!(*runs <= 1, "key {key} ran {runs} times");
        }
    }
}

proptest! {
    #![proptest_config(cases(1500))]

    #[test]
    fn no_key_runs_twice(ops in proptest::collection::vec(op(), 20..250)) {
        let mut group = Group::new();
        for op in ops {
            group.run(op);
            group.assert_no_key_ran_twice();
        }
    }
}

/// Claims a key at every node in turn, runs what is granted, and returns how often it ran.
fn claim_everywhere(group: &mut Group, key: &str) -> u32 {
    for id in group.ids() {
        group.claim(id, key.to_owned());
        for _ in 0..3 {
            group.deliver_all();
        }
        group.run_granted(id, true);
        group.deliver_all();
    }
    group.runs.get(key).copied().unwrap_or(0)
}

#[test]
fn a_key_runs_once_and_its_repeats_get_the_first_answer() {
    let mut group = Group::new();
    group.pass(5000);
    for id in group.ids() {
        group.renew(id);
    }
    group.run(Op::MintUnbound(0));
    group.run(Op::MintBound(1));
    for key in group.keys.clone() {
        assert_eq!(claim_everywhere(&mut group, &key), 1);
    }
}

#[test]
fn keys_go_on_through_a_store_outage_by_promises() {
    let mut group = Group::new();
    group.is_store_up = false;
    for _ in 0..30 {
        group.pass(700);
        for _ in 0..3 {
            group.deliver_all();
        }
    }
    group.run(Op::MintUnbound(0));
    let key = group.keys[0].clone();
    assert_eq!(
        claim_everywhere(&mut group, &key),
        1,
        "the outage stopped unbound keys"
    );
}

#[test]
fn a_bound_key_is_good_after_the_planned_stop_of_its_home() {
    let mut group = Group::new();
    group.run(Op::MintBound(0));
    let home = group.ids()[0];
    group.step(home, Event::HandOver);
    for _ in 0..3 {
        group.deliver_all();
    }
    assert!(
        group.nodes[&home].is_handed_over,
        "the hand-over was not confirmed"
    );
    group.change_epoch();
    group.nodes.remove(&home);
    for id in group.ids() {
        group.tell_epoch(id);
    }
    group.deliver_all();
    let key = group.keys[0].clone();
    assert_eq!(claim_everywhere(&mut group, &key), 1);
}

#[test]
fn a_bound_key_of_a_lost_home_never_runs() {
    let mut group = Group::new();
    group.run(Op::MintBound(0));
    let home = group.ids()[0];
    group.nodes.remove(&home);
    group.pass(7000);
    let living: BTreeSet<u64> = group.ids().into_iter().collect();
    for id in &living {
        group.renew(*id);
    }
    group.change_epoch();
    for id in living {
        group.tell_epoch(id);
    }
    group.deliver_all();
    let key = group.keys[0].clone();
    assert_eq!(claim_everywhere(&mut group, &key), 0);
}
