//! The request path as a whole: admission, slots, retries and outcomes.

#![allow(clippy::unwrap_used)]

mod support;

use hyssop_config::fleet::Fleet;
use hyssop_model::class::Class;
use hyssop_model::entry::Id;
use hyssop_model::instance::Key;
use hyssop_model::request;
use hyssop_policy::admission::Reason;
use hyssop_policy::attempt::End;
use hyssop_policy::dispatch::{Action, Arrival, Dispatcher, Event, Fate, Settings};
use hyssop_policy::slot::Grant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{epoch, instance};

const FLEET: &str = "[fleet]\nspare = clerks\n[pool clerks]\nsize = 3\nbudget = 1\n[queue clerks desk]\nweight = 1\n[queue \
                     clerks notices]\nweight = 1\n";
const LONG: Duration = Duration::from_secs(3600);

/// Is one entry alone with three instances of two slots.
struct Entry {
    now: Instant,
    dispatcher: Dispatcher,
    next: u64,
    started: BTreeMap<request::Key, Grant>,
    fates: BTreeMap<request::Key, Fate>,
}

impl Entry {
    fn new() -> Self {
        let now = Instant::now();
        let mut entry = Self {
            now,
            dispatcher: Dispatcher::new(Id(1), Settings::default()),
            next: 0,
            started: BTreeMap::new(),
            fates: BTreeMap::new(),
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
                Action::Finish { key, fate } => {
                    self.fates.insert(key, fate);
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
        self.step(Event::Arrive(Arrival {
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

    fn get(&mut self) -> request::Key {
        self.arrive("desk", Class::Normal, Duration::from_secs(10), true)
    }

    fn end(&mut self, key: request::Key, end: End) {
        self.started.remove(&key);
        self.step(Event::End { key, end });
    }

    fn answer(&mut self, key: request::Key) {
        self.end(key, End::Answered { is_error: false });
    }

    fn pass(&mut self, span: Duration) {
        self.now += span;
        self.step(Event::Tick);
    }

    fn on(&self, instance: Key) -> usize {
        self.started
            .values()
            .filter(|grant| grant.instance == instance)
            .count()
    }
}

#[test]
fn requests_start_up_to_the_slots_and_then_wait() {
    let mut entry = Entry::new();
    let keys: Vec<request::Key> = (0..7).map(|_| entry.get()).collect();
    assert_eq!(entry.started.len(), 6);
    entry.answer(keys[0]);
    assert!(entry.started.contains_key(&keys[6]));
}

#[test]
fn a_slot_rests_after_an_attempt_that_may_still_run() {
    let mut entry = Entry::new();
    let keys: Vec<request::Key> = (0..6)
        .map(|_| entry.arrive("desk", Class::Normal, LONG, false))
        .collect();
    let instance = entry.started[&keys[0]].instance;
    entry.end(keys[0], End::TimedOut);
    let next = entry.get();
    assert!(
        !entry.started.contains_key(&next),
        "the slot was used while its request may run"
    );
    assert_eq!(entry.on(instance), 1);
    entry.pass(Duration::from_millis(1100));
    assert!(entry.started.contains_key(&next), "the slot rests for ever");
}

#[test]
fn each_end_of_an_attempt_has_its_outcome() {
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
                "{end}: the same instance again"
            );
        } else {
            assert_eq!(entry.fates.get(&key), Some(&Fate::Unknown), "{end}");
        }
    }
}

#[test]
fn what_was_never_sent_is_not_run_and_what_may_have_run_is_unknown() {
    for (end, expected_not_run) in [(End::NotConnected, true), (End::Broken, false)] {
        let mut entry = Entry::new();
        let key = entry.get();
        for _ in 0..50 {
            if entry.fates.contains_key(&key) {
                break;
            }
            if entry.started.contains_key(&key) {
                entry.end(key, end);
            }
            entry.pass(Duration::from_millis(500));
        }
        let is_not_run = matches!(entry.fates[&key], Fate::NotRun(_));
        assert_eq!(is_not_run, expected_not_run, "{end}");
    }
}

#[test]
fn one_attempt_that_may_have_run_makes_the_end_unknown() {
    let mut entry = Entry::new();
    let key = entry.get();
    entry.end(key, End::Broken);
    while entry.started.contains_key(&key) {
        entry.end(key, End::NotConnected);
        entry.pass(Duration::from_millis(500));
    }
    entry.pass(Duration::from_secs(11));
    assert_eq!(entry.fates[&key], Fate::Unknown);
}

#[test]
fn failing_instances_raise_the_offered_load_by_a_tenth_at_most() {
    let mut entry = Entry::new();
    let mut attempts = 0;
    const REQUESTS: usize = 2000;
    for _ in 0..REQUESTS {
        let key = entry.get();
        while entry.started.contains_key(&key) {
            attempts += 1;
            entry.end(key, End::Broken);
        }
        entry.pass(Duration::from_millis(1100));
    }
    let reserve = 10;
    assert!(
        attempts <= REQUESTS * 11 / 10 + reserve,
        "{attempts} attempts for {REQUESTS} requests"
    );
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut entry = Entry::new();
    for _ in 0..20 {
        let key = entry.get();
        entry.now += Duration::from_secs(1);
        entry.answer(key);
    }
    for _ in 0..30 {
        entry.get();
    }
    let key = entry.arrive("desk", Class::Normal, Duration::from_secs(2), true);
    let Some(Fate::NotRun(refusal)) = entry.fates.get(&key) else {
        panic!("it was queued");
    };
    assert_eq!(refusal.reason, Reason::WouldMissDeadline);
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[test]
fn a_flooded_queue_leaves_the_other_its_share() {
    let mut entry = Entry::new();
    for _ in 0..50 {
        entry.get();
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
        entry.pass(Duration::from_millis(20));
    }
    let served = other
        .iter()
        .filter(|key| entry.started.contains_key(key))
        .count();
    assert_eq!(served, 3, "the other queue did not get the next slots");
}

#[test]
fn deferrable_work_never_holds_every_slot() {
    let mut entry = Entry::new();
    for _ in 0..20 {
        entry.arrive("desk", Class::Deferrable, LONG, true);
    }
    entry.pass(Duration::from_millis(20));
    assert!(entry.started.len() < 6, "deferrable work holds every slot");
    let urgent = entry.arrive("notices", Class::Urgent, LONG, true);
    assert!(entry.started.contains_key(&urgent));
}

#[test]
fn an_entry_without_authority_starts_nothing() {
    let mut entry = Entry::new();
    entry.step(Event::Authority(None));
    let key = entry.get();
    assert!(!entry.started.contains_key(&key));
    entry.step(Event::Authority(Some(entry.now + LONG)));
    entry.pass(Duration::from_millis(20));
    assert!(entry.started.contains_key(&key));
}

#[test]
fn an_instance_that_fails_everything_fast_attracts_no_work() {
    let mut entry = Entry::new();
    let bad = Key(0);
    let mut on_bad = 0;
    for _ in 0..400 {
        let key = entry.get();
        let is_bad = entry.started[&key].instance == bad;
        on_bad += usize::from(is_bad);
        entry.end(key, End::Answered { is_error: is_bad });
        entry.pass(Duration::from_millis(10));
    }
    assert!(
        on_bad <= 6,
        "{on_bad} of 400 requests went to the failing instance"
    );
}

#[test]
fn an_entry_that_sees_everything_fail_keeps_routing() {
    let mut entry = Entry::new();
    for _ in 0..100 {
        let key = entry.get();
        assert!(entry.started.contains_key(&key), "no instance is left");
        entry.end(key, End::Answered { is_error: true });
        entry.pass(Duration::from_millis(10));
    }
}

#[test]
fn a_draining_instance_gets_nothing_more() {
    let mut entry = Entry::new();
    let mut record = instance(0, "clerks", 2);
    record.state = hyssop_model::instance::State::Draining;
    record.revision = 2;
    entry.step(Event::Instances(vec![record]));
    for _ in 0..6 {
        entry.get();
    }
    assert_eq!(entry.on(Key(0)), 0);
    assert_eq!(entry.started.len(), 4);
}

#[test]
fn a_caller_that_leaves_while_it_waits_is_forgotten() {
    let mut entry = Entry::new();
    let keys: Vec<request::Key> = (0..8).map(|_| entry.get()).collect();
    entry.step(Event::Cancel(keys[6]));
    entry.answer(keys[0]);
    assert!(!entry.started.contains_key(&keys[6]));
    assert!(entry.started.contains_key(&keys[7]));
}

#[test]
fn a_closing_entry_ends_what_waits_and_takes_nothing_new() {
    let mut entry = Entry::new();
    let keys: Vec<request::Key> = (0..7).map(|_| entry.get()).collect();
    entry.step(Event::Close);
    let late = entry.get();
    assert!(
        matches!(entry.fates[&late], Fate::NotRun(refusal) if refusal.reason == Reason::Stopping)
    );
    entry.answer(keys[0]);
    assert!(entry.started.contains_key(&keys[6]));
}
