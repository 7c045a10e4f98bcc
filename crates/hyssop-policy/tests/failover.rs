//! Failure detection and selection of the processes that take over shards without an owner.

use hyssop_policy::failover::{rank, Candidate, Turn, Verdict, Watch, WATCHER_COUNT};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn candidate(name: &str, owned: usize, share: u64) -> Candidate {
    Candidate {
        name: name.to_owned(),
        data_centre: "dc-a".to_owned(),
        owned,
        share,
    }
}

fn shards(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("pool-{number}")).collect()
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn spreads_vacant_shards_over_candidates() {
    let candidates: Vec<Candidate> = (0..7)
        .map(|n| candidate(&format!("e{n}"), 0, 250))
        .collect();
    let orders = rank(&shards(5), &candidates);
    let first: BTreeSet<&String> = orders.values().map(|order| &order[0]).collect();
    assert_eq!(first.len(), 5);
}

#[test]
fn prefers_largest_processor_share_per_shard() {
    let candidates = [
        candidate("weak", 0, 120),
        candidate("strong", 1, 500),
        candidate("loaded", 4, 500),
    ];
    let orders = rank(&shards(1), &candidates);
    assert_eq!(orders["pool-0"], ["strong", "weak", "loaded"]);
}

#[test]
fn first_candidates_of_similar_shares_are_in_different_data_centres() {
    let candidates: Vec<Candidate> = (0..24)
        .map(|n| Candidate {
            data_centre: format!("dc-{}", n % 4),
            ..candidate(&format!("e{n}"), 0, if n < 12 { 500 } else { 120 })
        })
        .collect();
    for order in rank(&shards(5), &candidates).values() {
        let named = |name: &String| candidates.iter().find(|known| known.name == *name);
        let first = order.iter().take(WATCHER_COUNT).filter_map(named);
        let data_centres: BTreeSet<&str> = first
            .clone()
            .map(|candidate| candidate.data_centre.as_str())
            .collect();
        assert_eq!(data_centres.len(), WATCHER_COUNT);
        assert!(
            first.clone().all(|candidate| candidate.share == 500),
            "a small instance does not rank before large ones: {order:?}"
        );
    }
}

#[test]
fn process_without_heartbeats_that_nobody_reaches_is_lost() {
    let mut watch = Watch::new(ms(0));
    watch.on_heard(ms(1_000));
    assert!(!watch.take_probe(ms(1_250)), "one heartbeat may be late");
    assert!(watch.take_probe(ms(1_300)));
    assert!(
        !watch.take_probe(ms(1_350)),
        "others are asked at an interval"
    );
    watch.on_probe_answer(false, ms(1_600));
    assert_eq!(watch.verdict(ms(1_690)), Verdict::Alive);
    assert_eq!(watch.verdict(ms(1_700)), Verdict::Lost);
}

#[test]
fn process_that_another_one_reaches_is_not_lost() {
    let mut watch = Watch::new(ms(0));
    for second in 0..20 {
        let now = ms(500 * second + 300);
        if watch.take_probe(now) {
            watch.on_probe_answer(false, now);
            watch.on_probe_answer(true, now);
        }
        assert_eq!(watch.verdict(now), Verdict::Alive, "at {now:?}");
    }
    assert!(
        watch.is_silent(ms(10_000)),
        "the watcher itself hears nothing"
    );
}

#[test]
fn watcher_that_nobody_answers_waits_since_it_may_be_isolated_itself() {
    let mut watch = Watch::new(ms(0));
    assert!(watch.take_probe(ms(300)));
    assert_eq!(watch.verdict(ms(3_600)), Verdict::Alive);
    assert_eq!(watch.verdict(ms(3_700)), Verdict::Lost);
}

#[test]
fn heartbeat_after_silence_ends_the_suspicion() {
    let mut watch = Watch::new(ms(0));
    watch.on_probe_answer(false, ms(400));
    assert_eq!(watch.verdict(ms(800)), Verdict::Lost);
    watch.on_heard(ms(850));
    assert_eq!(watch.verdict(ms(900)), Verdict::Alive);
    assert!(!watch.take_probe(ms(900)));
}

#[test]
fn report_of_another_process_shortens_the_watch() {
    let mut watch = Watch::reported(ms(0));
    assert!(watch.take_probe(ms(150)));
    assert_eq!(watch.verdict(ms(290)), Verdict::Alive);
    assert_eq!(watch.verdict(ms(300)), Verdict::Lost);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_order_contains_every_candidate(names in 1_usize..12, vacant in 1_usize..8) {
        let candidates: Vec<Candidate> =
            (0..names).map(|n| candidate(&format!("e{n}"), n % 3, 100 + n as u64)).collect();
        let orders = rank(&shards(vacant), &candidates);
        prop_assert_eq!(orders.len(), vacant);
        for order in orders.values() {
            let all: BTreeSet<&String> = order.iter().collect();
            prop_assert_eq!(all.len(), names);
        }
    }
}

/// Watches kept a reported process's short timeout after it was heard: its watchers asked four
/// others about it after each heartbeat, 2,136 times on one day of qarafa-bottling (trouble-3).
#[test]
fn reported_process_that_is_heard_is_watched_like_any_other() {
    let mut watch = Watch::reported(ms(0));
    watch.on_heard(ms(100));
    assert!(!watch.take_probe(ms(350)), "the next heartbeat is not due");
    watch.on_probe_answer(false, ms(450));
    assert_eq!(watch.verdict(ms(799)), Verdict::Alive);
    assert_eq!(watch.verdict(ms(800)), Verdict::Lost);
}

/// The process whose feed was late ranked itself first for every shard, and took them all in the
/// same moment (links.rs of hyssop-edge: process_with_a_late_feed_leaves_shards_to_others).
#[test]
fn first_shard_gives_others_time_to_take_the_rest() {
    let turn = |owner_for| Turn {
        position: 0,
        vacant_for: ms(40),
        had_owner: false,
        owner_for,
    };
    assert!(turn(None).has_come());
    assert!(!turn(Some(ms(0))).has_come());
    assert!(!turn(Some(ms(499))).has_come());
    assert!(turn(Some(ms(500))).has_come(), "others may all be lost");
    assert!(turn(Some(ms(60_000))).has_come());
}

/// A process that had just taken over one of three shards left the next to others, which did not
/// watch it: the fleet had no owner for 0.5 s longer (qarafa-bottling, incident d881).
#[test]
fn shard_of_a_lost_owner_is_not_left_to_others() {
    let turn = Turn {
        position: 0,
        vacant_for: ms(0),
        had_owner: true,
        owner_for: Some(ms(10)),
    };
    assert!(turn.has_come());
}

#[test]
fn candidates_with_lower_ranks_wait_for_their_turn() {
    let turn = |position, vacant_for| Turn {
        position,
        vacant_for: ms(vacant_for),
        had_owner: true,
        owner_for: None,
    };
    assert!(turn(0, 0).has_come());
    assert!(!turn(2, 499).has_come());
    assert!(turn(2, 500).has_come());
}
