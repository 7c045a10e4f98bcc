//! What callers that are not trusted may hold.

mod support;

use hyssop_model::work::{Step, Submission};
use hyssop_policy::intake::{decoded_bytes, Capacity, Gate, Key, Listener, Pace, Reason, Timeouts};
use proptest::prelude::*;
use std::time::Duration;
use support::cases;

const CAPACITY: Capacity = Capacity {
    bytes: 400_000,
    peer_bytes: 200_000,
    callers: 40,
    probes: 8,
    peers: 8,
    jobs: 100_000,
};
const TIMEOUTS: Timeouts = Timeouts {
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
/// The limit on a body in these tests.
const BODY: usize = 65_536;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn open(gate: &mut Gate, now: Duration) -> Key {
    gate.open(Listener::Callers, now).expect("room")
}

/// Returns a connection whose head has arrived.
fn begun(gate: &mut Gate, now: Duration) -> Key {
    let key = open(gate, now);
    gate.receive(key, 200, now).expect("a permit");
    gate.begin(key, now);
    key
}

fn reason_of(closed: &[(Key, Reason)], key: Key) -> Option<Reason> {
    let found = closed.iter().find(|(other, _)| *other == key);
    found.map(|(_, reason)| *reason)
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn permits_stay_within_the_capacity_and_all_return(
        steps in proptest::collection::vec((0..9u8, any::<u8>(), 0..100_000usize), 1..300),
    ) {
        let mut gate = Gate::new(CAPACITY);
        let mut keys: Vec<Key> = Vec::new();
        for (number, (operation, chosen, amount)) in steps.into_iter().enumerate() {
            let now = at(number as u64 * 200);
            let listener = [Listener::Callers, Listener::Probes, Listener::Peers][usize::from(chosen) % 3];
            if operation == 0 || keys.is_empty() {
                let had_room = gate.has_room(listener);
                let key = gate.open(listener, now);
                prop_assert_eq!(key.is_some(), had_room);
                keys.extend(key);
                continue;
            }
            let index = usize::from(chosen) % keys.len();
            let key = keys[index];
            match operation {
                1 => gate.close(keys.swap_remove(index)),
                2 => { let _ = gate.receive(key, amount, now); }
                3 => gate.begin(key, now),
                4 => { let _ = gate.hold(key, amount); }
                5 => gate.release(key, amount),
                6 => { gate.serve(key, now); gate.answer(key, amount % 2 == 0, now); gate.flush(key, now); }
                7 => gate.set_blocked(key, amount % 2 == 0, now),
                _ => for (key, _) in gate.sweep(now, TIMEOUTS) {
                    gate.close(key);
                    keys.retain(|other| *other != key);
                },
            }
            gate.shortages(now);
            prop_assert!(gate.bytes() <= CAPACITY.bytes);
            prop_assert!(gate.peer_bytes() <= CAPACITY.peer_bytes);
            prop_assert!(gate.connections(Listener::Callers) <= CAPACITY.callers);
        }
        keys.into_iter().for_each(|key| gate.close(key));
        prop_assert_eq!((gate.bytes(), gate.peer_bytes()), (0, 0));
        for listener in [Listener::Callers, Listener::Probes, Listener::Peers] {
            prop_assert_eq!(gate.connections(listener), 0);
        }
    }
}

#[test]
fn large_bodies_leave_a_share_for_ordinary_requests() {
    let mut gate = Gate::new(CAPACITY);
    let held = (0..20).filter(|_| {
        let key = begun(&mut gate, at(0));
        gate.hold(key, BODY).is_ok()
    });
    assert_eq!(held.count(), 4);
    for _ in 0..10 {
        let key = begun(&mut gate, at(0));
        assert_eq!(gate.hold(key, 8_000), Ok(()));
    }
}

/// Connections that stop short of their end kept their memory until their callers closed them.
#[test]
fn shortage_of_bytes_closes_bodies_without_progress_only() {
    let mut gate = Gate::new(CAPACITY);
    let stopped: Vec<Key> = (0..4).map(|_| begun(&mut gate, at(0))).collect();
    for key in &stopped {
        gate.hold(*key, BODY).expect("a permit");
    }
    let ordinary = begun(&mut gate, at(0));
    gate.hold(ordinary, 16_000).expect("a permit");
    let served = begun(&mut gate, at(0));
    gate.hold(served, 16_000).expect("a permit");
    gate.serve(served, at(0));
    assert_eq!(gate.sweep(at(400), TIMEOUTS), []);
    gate.receive(ordinary, 1_000, at(600)).expect("a permit");
    let closed = gate.sweep(at(600), TIMEOUTS);
    let reason = Some(Reason::SlowWhileBytesShort);
    assert_eq!(reason_of(&closed, stopped[0]), reason);
    assert_eq!(reason_of(&closed, ordinary), None);
    assert_eq!(reason_of(&closed, served), None);
}

#[test]
fn shortage_of_connections_closes_those_that_were_never_served_first() {
    let mut gate = Gate::new(CAPACITY);
    let kept = begun(&mut gate, at(0));
    gate.serve(kept, at(0));
    gate.answer(kept, true, at(0));
    gate.flush(kept, at(0));
    while gate.has_room(Listener::Callers) {
        open(&mut gate, at(100));
    }
    let closed = gate.sweep(at(700), TIMEOUTS);
    assert_eq!(closed.len(), CAPACITY.callers / 2);
    assert_eq!(reason_of(&closed, kept), None);
    let [begun] = &gate.shortages(at(700))[..] else {
        panic!("one shortage has begun");
    };
    assert_eq!((begun.resource, begun.duration), ("callers", None));
    closed.into_iter().for_each(|(key, _)| gate.close(key));
    let [ended] = &gate.shortages(at(900))[..] else {
        panic!("the shortage has ended");
    };
    assert_eq!(ended.duration, Some(at(200)));
}

#[test]
fn calm_gate_closes_only_what_exceeds_its_time() {
    let mut gate = Gate::new(CAPACITY);
    let silent = open(&mut gate, at(0));
    let head = open(&mut gate, at(0));
    let slow = begun(&mut gate, at(0));
    let stopped = begun(&mut gate, at(0));
    let unread = begun(&mut gate, at(0));
    gate.serve(unread, at(0));
    for second in 0..67 {
        let now = at(second * 1_000);
        gate.receive(slow, 16, now).expect("a permit");
        if second == 2 {
            gate.receive(head, 1, now).expect("a permit");
            gate.set_blocked(unread, true, now);
        }
        let closed = gate.sweep(now, TIMEOUTS);
        let expected = [
            (silent, 15, Reason::IdleTimeout),
            (head, 5, Reason::HeadTimeout),
            (stopped, 65, Reason::SlowBody),
            (unread, 7, Reason::WriteTimeout),
        ];
        for (key, due, reason) in expected {
            let wanted = (second >= due).then_some(reason);
            assert_eq!(reason_of(&closed, key), wanted, "{reason} at {second} s");
        }
        assert_eq!(reason_of(&closed, slow), None);
    }
}

/// Without a shortage a body may stop for as long as its caller's deadline allows.
#[test]
fn body_without_progress_is_closed_after_5_s_in_a_shortage_only() {
    for is_short in [false, true] {
        let mut gate = Gate::new(CAPACITY);
        let stopped = begun(&mut gate, at(0));
        if is_short {
            let served = begun(&mut gate, at(0));
            gate.hold(served, CAPACITY.bytes / 2).expect("a permit");
            gate.serve(served, at(0));
        }
        assert_eq!(gate.sweep(at(4_999), TIMEOUTS), []);
        let expected = is_short.then_some(Reason::SlowBody);
        assert_eq!(
            reason_of(&gate.sweep(at(5_000), TIMEOUTS), stopped),
            expected
        );
    }
}

/// Callers that trickled just above the minimum progress held all bytes for as long as they liked.
#[test]
fn shortage_of_bytes_closes_the_requests_that_held_them_for_longest() {
    let mut gate = Gate::new(CAPACITY);
    let trickling: Vec<Key> = (0..4)
        .map(|second| begun(&mut gate, at(second * 1_000)))
        .collect();
    for key in &trickling {
        gate.hold(*key, BODY).expect("a permit");
    }
    let mut sweep = |ms| {
        for key in &trickling {
            gate.receive(*key, 512, at(ms)).expect("a permit");
        }
        let closed = gate.sweep(at(ms), TIMEOUTS);
        closed.into_iter().map(|(key, _)| key).collect::<Vec<_>>()
    };
    assert_eq!(sweep(2_900), []);
    assert_eq!(sweep(3_100), trickling[..1]);
    assert_eq!(sweep(6_000), trickling[..2]);
}

/// A refused request made its connection one that is closed last.
#[test]
fn connection_is_kept_in_a_shortage_only_after_a_request_with_success() {
    for (is_served, is_success) in [(true, false), (false, true), (true, true)] {
        let mut gate = Gate::new(CAPACITY);
        let first = begun(&mut gate, at(0));
        if is_served {
            gate.serve(first, at(0));
        }
        gate.answer(first, is_success, at(0));
        gate.flush(first, at(0));
        while gate.has_room(Listener::Callers) {
            open(&mut gate, at(100));
        }
        let is_closed = reason_of(&gate.sweep(at(700), TIMEOUTS), first).is_some();
        assert_eq!(is_closed, !(is_served && is_success));
    }
}

/// Callers that used up all bytes cut off every link from a peer, and with it leases and failover.
#[test]
fn peers_keep_their_bytes_and_links_while_callers_use_up_theirs() {
    let mut gate = Gate::new(CAPACITY);
    let peer = gate.open(Listener::Peers, at(0)).expect("room");
    gate.finish(peer, at(0));
    assert_eq!(gate.hold(peer, 4_000), Ok(()));
    for size in [BODY, 1_000] {
        while gate.has_room(Listener::Callers) {
            let key = begun(&mut gate, at(0));
            if gate.hold(key, size).is_err() {
                break;
            }
        }
    }
    assert_eq!(gate.hold(peer, 4_000), Ok(()));
    let closed = gate.sweep(at(600), TIMEOUTS);
    assert!(!closed.is_empty());
    assert_eq!(reason_of(&closed, peer), None);
}

/// A connection that is due must not be closed once its request may run.
#[test]
fn connection_whose_request_has_arrived_is_not_due_any_more() {
    let mut gate = Gate::new(CAPACITY);
    let key = open(&mut gate, at(0));
    let later = at(15_000);
    assert_eq!(gate.sweep(later, TIMEOUTS).len(), 1);
    assert!(gate.is_due(key, later, TIMEOUTS));
    gate.receive(key, 200, later).expect("a permit");
    gate.begin(key, later);
    gate.serve(key, later);
    assert!(!gate.is_due(key, later, TIMEOUTS));
}

/// A head of 380 KB was kept whole.
#[test]
fn heads_beyond_their_share_need_permits() {
    let mut gate = Gate::new(CAPACITY);
    let key = open(&mut gate, at(0));
    gate.receive(key, 16_384, at(0)).expect("covered");
    assert_eq!(gate.bytes(), 0);
    gate.receive(key, 16_384, at(0)).expect("a permit");
    assert_eq!(gate.bytes(), 16_384);
    assert_eq!(gate.receive(key, 380_000, at(0)), Err(Reason::NoBytes));
    gate.begin(key, at(0));
    assert_eq!(gate.bytes(), 0);
}

/// Ordinary load at the smallest instance is some 1,000 descriptors.
#[test]
fn smallest_instance_has_room_for_ordinary_load_within_half_of_its_memory() {
    let capacity = Capacity::new(Some(160), Some(4_100));
    assert!(capacity.callers > 1_500, "{capacity:?}");
    let descriptors = capacity.callers + capacity.probes + capacity.peers;
    assert!(descriptors < 4_100 - 200 - 1_000, "{capacity:?}");
    let memory = capacity.callers * 24 * 1_024 + capacity.bytes;
    assert!(memory <= 80_000_000, "{capacity:?}");
    assert!(capacity.bytes / 262_144 > 100, "{capacity:?}");
    let job = Submission {
        specification: "1".repeat(100),
        steps: vec![Step::default(); 3],
        schedule: None,
        account: None,
    };
    let request = 500 + decoded_bytes(&job);
    assert!(request < 3_500, "{request}");
    assert!(1_000 * request < capacity.bytes / 8, "{request}");
}

#[test]
fn pace_allows_a_burst_and_then_its_rate() {
    let mut pace = Pace::new(1_000, at(100));
    assert_eq!(pace.take(100, at(1_000)), Duration::ZERO);
    assert_eq!(pace.take(50, at(1_000)), at(50));
    assert_eq!(pace.take(50, at(1_100)), Duration::ZERO);
}

/// A body that waited for its turn was taken for one whose caller is slow.
#[test]
fn pause_that_the_caller_has_not_caused_is_no_lack_of_progress() {
    let mut gate = Gate::new(CAPACITY);
    let keys: Vec<Key> = (0..4).map(|_| begun(&mut gate, at(0))).collect();
    for key in &keys {
        gate.hold(*key, BODY).expect("a permit");
    }
    gate.resume(keys[0], at(600));
    let closed = gate.sweep(at(700), TIMEOUTS);
    assert_eq!(reason_of(&closed, keys[0]), None);
    assert!(!closed.is_empty());
}

/// Bodies that were given up left their units behind, so that others waited ever longer.
#[test]
fn pace_makes_nobody_wait_for_longer_than_a_second() {
    let mut pace = Pace::new(1_000, at(100));
    for _ in 0..100 {
        assert!(pace.take(100, at(1_000)) <= at(1_000));
    }
    assert_eq!(pace.take(100, at(2_100)), Duration::ZERO);
}
