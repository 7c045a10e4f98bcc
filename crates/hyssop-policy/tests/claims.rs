//! At-most-once execution of keyed requests under lost, duplicated and reordered frames, clock
//! skew, paused entries, changes of membership and outages of the store.

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

const INITIAL_MEMBERS: usize = 3;
const MAX_NODES: usize = 6;
const LEASE: Duration = Duration::from_secs(6);
const LEASE_MARGIN: Duration = Duration::from_secs(1);
const WALL_START_MS: u64 = 1_800_000_000_000;

#[derive(Clone, Debug)]
enum Op {
    MintUnbound(usize),
    MintBound(usize),
    Claim(usize, usize),
    Execute(usize, bool),
    Cancel(usize),
    DeliverFrame(usize),
    DropFrame(usize),
    DuplicateFrame(usize),
    Advance(u64),
    Pause(usize),
    Resume(usize),
    Renew,
    ChangeEpoch,
    DeliverEpoch(usize),
    Kill(usize),
    Join,
    HandOver(usize),
    SetStoreUp(bool),
    /// Renews leases, distributes epochs and delivers frames for a number of rounds.
    Converge(u32),
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
        10 => (index(), any::<bool>()).prop_map(|(a, b)| Op::Execute(a, b)),
        1 => index().prop_map(Op::Cancel),
        20 => index().prop_map(Op::DeliverFrame),
        1 => index().prop_map(Op::DropFrame),
        3 => index().prop_map(Op::DuplicateFrame),
        6 => prop_oneof![1..200u64, 200..4000u64, 4000..20_000u64].prop_map(Op::Advance),
        1 => index().prop_map(Op::Pause),
        1 => index().prop_map(Op::Resume),
        4 => Just(Op::Renew),
        3 => Just(Op::ChangeEpoch),
        6 => index().prop_map(Op::DeliverEpoch),
        1 => index().prop_map(Op::Kill),
        1 => Just(Op::Join),
        1 => index().prop_map(Op::HandOver),
        1 => any::<bool>().prop_map(Op::SetStoreUp),
        3 => (1..5u32).prop_map(Op::Converge),
        6 => index().prop_map(Op::ClaimEverywhere),
        8 => Just(Op::DeliverAll),
    ]
}

/// An entry: its claims, its clock's offset and its lease in the table service.
struct Node {
    coordinator: Coordinator,
    offset_ms: i64,
    epoch: u64,
    members: Vec<u64>,
    lease_until: Instant,
    is_paused: bool,
    is_handed_over: bool,
    /// The requests that were granted and not executed yet.
    granted: Vec<(request::Key, String)>,
}

struct Cluster {
    start: Instant,
    now: Instant,
    nodes: BTreeMap<u64, Node>,
    frames: Vec<(u64, u64, Body)>,
    keys: Vec<String>,
    pending: BTreeMap<request::Key, String>,
    executions: BTreeMap<String, u32>,
    epoch: hyssop_model::epoch::Record,
    is_store_up: bool,
    next_node: u64,
    next_request: u64,
}

impl Cluster {
    fn new() -> Self {
        let now = Instant::now();
        let mut cluster = Self {
            start: now,
            now,
            nodes: BTreeMap::new(),
            frames: Vec::new(),
            keys: Vec::new(),
            pending: BTreeMap::new(),
            executions: BTreeMap::new(),
            epoch: hyssop_model::epoch::Record::default(),
            is_store_up: true,
            next_node: 1,
            next_request: 0,
        };
        for _ in 0..INITIAL_MEMBERS {
            cluster.join();
        }
        cluster.change_epoch();
        for id in cluster.ids() {
            cluster.deliver_epoch(id);
        }
        for _ in 0..3 {
            cluster.advance(1000);
            cluster.deliver_all();
        }
        cluster
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
            self.apply(id, action);
        }
    }

    fn apply(&mut self, id: u64, action: Action) {
        match action {
            Action::Send { to, body } => self.frames.push((id, to.0, body)),
            Action::Decide { request, verdict } => {
                let key = self
                    .pending
                    .remove(&request)
                    .expect("each request is decided once");
                if verdict == Verdict::Granted {
                    let node = self.nodes.get_mut(&id).expect("the deciding node exists");
                    node.granted.push((request, key));
                } else if let Verdict::Repeated(answer) = verdict {
                    assert_eq!(
                        answer.body,
                        key.as_bytes(),
                        "a retry received the answer of another key"
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

    fn deliver_epoch(&mut self, id: u64) {
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

    /// Writes a new epoch if the live entries differ from the members and one of them can write it.
    fn change_epoch(&mut self) {
        if !self.is_store_up {
            return;
        }
        // The writer considers a lease expired only once the clock bound has passed after its end.
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
        let has_live_writer = staying
            .iter()
            .chain(&joining)
            .any(|id| !self.nodes[id].is_paused);
        if !has_live_writer || (joining.is_empty() && staying.len() == old.members.len()) {
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

    fn advance(&mut self, ms: u64) {
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
        self.pending.insert(request, key.clone());
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

    /// Executes a granted request, however long ago it was granted.
    fn execute_granted(&mut self, id: u64, is_answered: bool) {
        let Some(node) = self.nodes.get_mut(&id).filter(|node| !node.is_paused) else {
            return;
        };
        let Some((request, key)) = node.granted.pop() else {
            return;
        };
        *self.executions.entry(key.clone()).or_default() += 1;
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
                let timestamp = uuid::Timestamp::from_unix(uuid::NoContext, seconds, nanos);
                let bits = uuid::Uuid::new_v7(timestamp).as_u128() >> 80 << 80;
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
                // Most retries use one of the newest keys.
                let newest = self.keys.len().saturating_sub(1 + key % 4);
                if let Some(key) = self.keys.get(newest).cloned() {
                    self.claim(id, key);
                }
            }
            Op::Execute(index, is_answered) => {
                if let Some(id) = self.pick(index) {
                    self.execute_granted(id, is_answered);
                }
            }
            Op::Cancel(index) => {
                let Some(id) = self.pick(index) else { return };
                let granted = self.nodes.get_mut(&id).and_then(|node| node.granted.pop());
                if let Some((request, _)) = granted {
                    let end = End::NotRun;
                    self.step(id, Event::Settle { request, end });
                }
            }
            Op::DeliverFrame(index) if !self.frames.is_empty() => self.deliver(index % length),
            Op::DropFrame(index) if !self.frames.is_empty() => {
                self.frames.remove(index % length);
            }
            Op::DuplicateFrame(index) if !self.frames.is_empty() => {
                let frame = self.frames[index % length].clone();
                self.frames.push(frame);
            }
            Op::Advance(ms) => self.advance(ms),
            Op::Pause(index) => self.set_paused(index, true),
            Op::Resume(index) => self.set_paused(index, false),
            Op::Renew if self.is_store_up => {
                for id in self.ids() {
                    self.renew(id);
                }
            }
            Op::ChangeEpoch => self.change_epoch(),
            Op::DeliverEpoch(index) => {
                if let Some(id) = self.pick(index) {
                    self.deliver_epoch(id);
                }
            }
            Op::Kill(index) if self.nodes.len() > 2 => {
                let Some(id) = self.pick(index) else { return };
                self.nodes.remove(&id);
            }
            Op::Join if self.nodes.len() < MAX_NODES && self.is_store_up => self.join(),
            Op::HandOver(index) => {
                let Some(id) = self.pick(index) else { return };
                let node = &self.nodes[&id];
                let is_idle =
                    !node.is_paused && node.granted.is_empty() && !node.coordinator.is_busy();
                if is_idle && node.members.contains(&id) {
                    self.step(id, Event::HandOver);
                }
            }
            Op::SetStoreUp(is_up) => self.is_store_up = is_up,
            Op::Converge(rounds) => self.converge(rounds),
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

    fn converge(&mut self, rounds: u32) {
        for _ in 0..rounds {
            for id in self.ids() {
                if self.is_store_up {
                    self.renew(id);
                }
            }
            self.change_epoch();
            for id in self.ids() {
                self.deliver_epoch(id);
            }
            self.advance(2000);
            self.deliver_all();
        }
    }

    fn set_paused(&mut self, index: usize, is_paused: bool) {
        let Some(id) = self.pick(index) else { return };
        if let Some(node) = self.nodes.get_mut(&id) {
            node.is_paused = is_paused;
        }
    }

    fn assert_no_key_executed_twice(&self) {
        for (key, executions) in &self.executions {
            assert!(
                *executions <= 1,
                "key {key} was executed {executions} times"
            );
        }
    }
}

proptest! {
    #![proptest_config(cases(1500))]

    #[test]
    fn no_key_executed_twice(ops in proptest::collection::vec(op(), 20..250)) {
        let mut cluster = Cluster::new();
        for op in ops {
            cluster.run(op);
            cluster.assert_no_key_executed_twice();
        }
    }
}

/// Claims a key at every node in turn, executes granted requests, and returns their number.
fn claim_everywhere(cluster: &mut Cluster, key: &str) -> u32 {
    for id in cluster.ids() {
        cluster.claim(id, key.to_owned());
        for _ in 0..3 {
            cluster.deliver_all();
        }
        cluster.execute_granted(id, true);
        cluster.deliver_all();
    }
    cluster.executions.get(key).copied().unwrap_or(0)
}

#[test]
fn key_executed_once_and_retries_receive_first_answer() {
    let mut cluster = Cluster::new();
    cluster.advance(5000);
    for id in cluster.ids() {
        cluster.renew(id);
    }
    cluster.run(Op::MintUnbound(0));
    cluster.run(Op::MintBound(1));
    for key in cluster.keys.clone() {
        assert_eq!(claim_everywhere(&mut cluster, &key), 1);
    }
}

#[test]
fn promises_allow_unbound_keys_during_store_outage() {
    let mut cluster = Cluster::new();
    cluster.is_store_up = false;
    for _ in 0..30 {
        cluster.advance(700);
        for _ in 0..3 {
            cluster.deliver_all();
        }
    }
    cluster.run(Op::MintUnbound(0));
    let key = cluster.keys[0].clone();
    assert_eq!(
        claim_everywhere(&mut cluster, &key),
        1,
        "no unbound key was granted during the outage"
    );
}

#[test]
fn bound_key_remains_valid_after_handover_of_its_home() {
    let mut cluster = Cluster::new();
    cluster.run(Op::MintBound(0));
    let home = cluster.ids()[0];
    cluster.step(home, Event::HandOver);
    for _ in 0..3 {
        cluster.deliver_all();
    }
    assert!(
        cluster.nodes[&home].is_handed_over,
        "the hand-over was not confirmed"
    );
    cluster.change_epoch();
    cluster.nodes.remove(&home);
    for id in cluster.ids() {
        cluster.deliver_epoch(id);
    }
    cluster.deliver_all();
    let key = cluster.keys[0].clone();
    assert_eq!(claim_everywhere(&mut cluster, &key), 1);
}

#[test]
fn bound_key_of_lost_home_is_never_executed() {
    let mut cluster = Cluster::new();
    cluster.run(Op::MintBound(0));
    let home = cluster.ids()[0];
    cluster.nodes.remove(&home);
    cluster.advance(7000);
    let living: BTreeSet<u64> = cluster.ids().into_iter().collect();
    for id in &living {
        cluster.renew(*id);
    }
    cluster.change_epoch();
    for id in living {
        cluster.deliver_epoch(id);
    }
    cluster.deliver_all();
    let key = cluster.keys[0].clone();
    assert_eq!(claim_everywhere(&mut cluster, &key), 0);
}
