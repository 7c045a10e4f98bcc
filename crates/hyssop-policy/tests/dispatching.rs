//! Tests of the dispatcher: admission, slots, retries and outcomes of requests.

#![allow(clippy::unwrap_used)]

mod support;

use hyssop_config::fleet::Fleet;
use hyssop_model::class::Class;
use hyssop_model::entry::Id;
use hyssop_model::instance::Key;
use hyssop_model::request;
use hyssop_policy::admission::Reason;
use hyssop_policy::attempt::End;
use hyssop_policy::dispatch::{Action, Arrival, Dispatcher, Event, Failure, Settings};
use hyssop_policy::slot::Grant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{epoch, instance};

const FLEET: &str = "[fleet]\nspare = clerks\n[pool clerks]\nsize = 3\nbudget = 1\n[queue clerks desk]\nweight = 1\n[queue \
                     clerks notices]\nweight = 1\n";
const LONG: Duration = Duration::from_secs(3600);

/// A single entry with three instances of two slots each.
struct Entry {
    now: Instant,
    dispatcher: Dispatcher,
    next: u64,
    started: BTreeMap<request::Key, Grant>,
    failures: BTreeMap<request::Key, Failure>,
}

impl Entry {
    fn new() -> Self {
        let now = Instant::now();
        let mut entry = Self {
            now,
            dispatcher: Dispatcher::new(Id(1), Settings::default()),
            next: 0,
            started: BTreeMap::new(),
            failures: BTreeMap::new(),
        };
        let fleet = Fleet::parse("fleet.ini", FLEET).unwrap();
        entry.step(Event::Authority(Some(now + LONG)));
        entry.step(Event::Fleet(Arc::new(fleet)));
        entry.step(Event::Epoch(epoch(1, &[1], &[])));
        let instances = (0..3)
            .map(|number| instance(number * 4, "clerks", 2))
            .collect();
        entry.step(Event::Instances(instances));
        entry
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.dispatcher.step(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Start { key, grant, .. } => {
                    self.started.insert(key, grant);
                }
                Action::Finish { key, failure } => {
                    self.failures.insert(key, failure);
                }
                Action::Send { .. } | Action::Health { .. } => {}
            }
        }
    }

    fn arrive(
        &mut self,
        queue: &str,
        class: Class,
        patience: Duration,
        is_idempotent: bool,
    ) -> request::Key {
        self.next += 1;
        let key = request::Key(self.next);
        self.step(Event::Arrival(Arrival {
            key,
            pool: "clerks".to_owned(),
            queue: queue.to_owned(),
            class,
            deadline: self.now + patience,
            bytes: 100,
            is_idempotent,
            is_retried_upstream: false,
        }));
        key
    }

    fn arrive_normal(&mut self) -> request::Key {
        self.arrive("desk", Class::Normal, Duration::from_secs(10), true)
    }

    fn end(&mut self, key: request::Key, end: End) {
        self.started.remove(&key);
        self.step(Event::AttemptEnd { key, end });
    }

    fn answer(&mut self, key: request::Key) {
        self.end(key, End::Answered { is_error: false });
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.step(Event::Tick);
    }

    fn started_on(&self, instance: Key) -> usize {
        self.started
            .values()
            .filter(|grant| grant.instance == instance)
            .count()
    }
}

#[test]
fn starts_requests_up_to_slot_count_and_queues_the_rest() {
    let mut entry = Entry::new();
    let keys: Vec<request::Key> = (0..7).map(|_| entry.arrive_normal()).collect();
    assert_eq!(entry.started.len(), 6);
    entry.answer(keys[0]);
    assert!(entry.started.contains_key(&keys[6]));
}

#[test]
fn slot_cools_down_after_timed_out_attempt() {
    let mut entry = Entry::new();
    let keys: Vec<request::Key> = (0..6)
        .map(|_| entry.arrive("desk", Class::Normal, LONG, false))
        .collect();
    let instance = entry.started[&keys[0]].instance;
    entry.end(keys[0], End::TimedOut);
    let next = entry.arrive_normal();
    assert!(
        !entry.started.contains_key(&next),
        "the slot was reused while its request may still run"
    );
    assert_eq!(entry.started_on(instance), 1);
    entry.advance(Duration::from_millis(1100));
    assert!(
        entry.started.contains_key(&next),
        "the slot was not released after the cool-down"
    );
}

#[test]
fn retries_unsent_and_idempotent_requests_on_another_instance() {
    let cases = [
        (End::NotConnected, false, true),
        (End::NotSent, false, true),
        (End::Busy, false, true),
        (End::Broken, false, false),
        (End::TimedOut, false, false),
        (End::Truncated, false, false),
        (End::Mismatched, false, false),
        (End::Broken, true, true),
        (End::TimedOut, true, true),
        (End::Truncated, true, true),
        (End::Mismatched, true, true),
    ];
    for (end, is_idempotent, is_retried) in cases {
        let mut entry = Entry::new();
        let key = entry.arrive("desk", Class::Normal, LONG, is_idempotent);
        let first = entry.started[&key];
        entry.end(key, end);
        assert_eq!(
            entry.started.contains_key(&key),
            is_retried,
            "{end} idempotent={is_idempotent}"
        );
        if is_retried {
            assert_ne!(
                entry.started[&key].instance, first.instance,
                "{end}: retried on the same instance"
            );
        } else {
            assert_eq!(entry.failures.get(&key), Some(&Failure::Unknown), "{end}");
        }
    }
}

#[test]
fn unsent_request_is_not_run_and_broken_request_is_unknown() {
    for (end, expected_not_run) in [(End::NotConnected, true), (End::Broken, false)] {
        let mut entry = Entry::new();
        let key = entry.arrive_normal();
        for _ in 0..50 {
            if entry.failures.contains_key(&key) {
                break;
            }
            if entry.started.contains_key(&key) {
                entry.end(key, end);
            }
            entry.advance(Duration::from_millis(500));
        }
        let is_not_run = matches!(entry.failures[&key], Failure::NotRun(_));
        assert_eq!(is_not_run, expected_not_run, "{end}");
    }
}

#[test]
fn request_is_unknown_if_any_attempt_may_have_run() {
    let mut entry = Entry::new();
    let key = entry.arrive_normal();
    entry.end(key, End::Broken);
    while entry.started.contains_key(&key) {
        entry.end(key, End::NotConnected);
        entry.advance(Duration::from_millis(500));
    }
    entry.advance(Duration::from_secs(11));
    assert_eq!(entry.failures[&key], Failure::Unknown);
}

#[test]
fn retries_add_at_most_ten_percent_load() {
    let mut entry = Entry::new();
    let mut attempts = 0;
    const REQUESTS: usize = 2000;
    for _ in 0..REQUESTS {
        let key = entry.arrive_normal();
        while entry.started.contains_key(&key) {
            attempts += 1;
            entry.end(key, End::Broken);
        }
        entry.advance(Duration::from_millis(1100));
    }
    let reserve = 10;
    assert!(
        attempts <= REQUESTS * 11 / 10 + reserve,
        "{attempts} attempts for {REQUESTS} requests"
    );
}

#[test]
fn refuses_request_expected_to_miss_its_deadline() {
    let mut entry = Entry::new();
    for _ in 0..20 {
        let key = entry.arrive_normal();
        entry.now += Duration::from_secs(1);
        entry.answer(key);
    }
    for _ in 0..30 {
        entry.arrive_normal();
    }
    let key = entry.arrive("desk", Class::Normal, Duration::from_secs(2), true);
    let Some(Failure::NotRun(refusal)) = entry.failures.get(&key) else {
        panic!("the request was queued");
    };
    assert_eq!(refusal.reason, Reason::WouldMissDeadline);
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[test]
fn flooded_queue_does_not_starve_other_queue() {
    let mut entry = Entry::new();
    for _ in 0..50 {
        entry.arrive_normal();
    }
    let other: Vec<request::Key> = (0..3)
        .map(|_| entry.arrive("notices", Class::Normal, LONG, true))
        .collect();
    for _ in 0..4 {
        let running = *entry
            .started
            .keys()
            .find(|key| !other.contains(key))
            .unwrap();
        entry.answer(running);
        entry.advance(Duration::from_millis(20));
    }
    let served = other
        .iter()
        .filter(|key| entry.started.contains_key(key))
        .count();
    assert_eq!(served, 3, "the other queue did not get the next free slots");
}

#[test]
fn deferrable_requests_leave_slots_free_for_urgent_ones() {
    let mut entry = Entry::new();
    for _ in 0..20 {
        entry.arrive("desk", Class::Deferrable, LONG, true);
    }
    entry.advance(Duration::from_millis(20));
    assert!(
        entry.started.len() < 6,
        "deferrable requests use every slot"
    );
    let urgent = entry.arrive("notices", Class::Urgent, LONG, true);
    assert!(entry.started.contains_key(&urgent));
}

#[test]
fn starts_nothing_without_authority() {
    let mut entry = Entry::new();
    entry.step(Event::Authority(None));
    let key = entry.arrive_normal();
    assert!(!entry.started.contains_key(&key));
    entry.step(Event::Authority(Some(entry.now + LONG)));
    entry.advance(Duration::from_millis(20));
    assert!(entry.started.contains_key(&key));
}

#[test]
fn ejects_instance_that_fails_every_request_fast() {
    let mut entry = Entry::new();
    let bad = Key(0);
    let mut on_bad = 0;
    for _ in 0..400 {
        let key = entry.arrive_normal();
        let is_bad = entry.started[&key].instance == bad;
        on_bad += usize::from(is_bad);
        entry.end(key, End::Answered { is_error: is_bad });
        entry.advance(Duration::from_millis(10));
    }
    assert!(
        on_bad <= 6,
        "{on_bad} of 400 requests went to the failing instance"
    );
}

#[test]
fn keeps_routing_when_all_instances_fail() {
    let mut entry = Entry::new();
    for _ in 0..100 {
        let key = entry.arrive_normal();
        assert!(
            entry.started.contains_key(&key),
            "every instance was ejected"
        );
        entry.end(key, End::Answered { is_error: true });
        entry.advance(Duration::from_millis(10));
    }
}

#[test]
fn draining_instance_receives_no_requests() {
    let mut entry = Entry::new();
    let mut record = instance(0, "clerks", 2);
    record.state = hyssop_model::instance::State::Draining;
    record.revision = 2;
    entry.step(Event::Instances(vec![record]));
    for _ in 0..6 {
        entry.arrive_normal();
    }
    assert_eq!(entry.started_on(Key(0)), 0);
    assert_eq!(entry.started.len(), 4);
}

#[test]
fn cancelled_request_leaves_the_queue() {
    let mut entry = Entry::new();
    let keys: Vec<request::Key> = (0..8).map(|_| entry.arrive_normal()).collect();
    entry.step(Event::Cancel(keys[6]));
    entry.answer(keys[0]);
    assert!(!entry.started.contains_key(&keys[6]));
    assert!(entry.started.contains_key(&keys[7]));
}

#[test]
fn closed_entry_refuses_new_requests_and_starts_waiting_ones() {
    let mut entry = Entry::new();
    let keys: Vec<request::Key> = (0..7).map(|_| entry.arrive_normal()).collect();
    entry.step(Event::Close);
    let late = entry.arrive_normal();
    assert!(
        matches!(entry.failures[&late], Failure::NotRun(refusal) if refusal.reason == Reason::Stopping)
    );
    entry.answer(keys[0]);
    assert!(entry.started.contains_key(&keys[6]));
}
