//! Failure detection and selection of the processes that take over shards without an owner.

use hyssop_policy::failover::{rank, Candidate, Series, Turn, Verdict, Watch, WATCHER_COUNT};
use proptest::prelude::*;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

fn candidate(name: &str, owned: usize, share: u64) -> Candidate {
    Candidate {
        name: name.to_owned(),
        data_centre: "dc-a".to_owned(),
        owned,
        share,
        is_renewed: false,
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

/// An instance of the simulated series: its row, and what its process knows.
#[derive(Clone)]
struct Instance {
    version: u64,
    is_leaving: bool,
    announced: Option<u64>,
    series: Series,
    /// When its next process registers.
    returns_at: Option<u64>,
}

/// A simulated series of planned stops: every instance once, each with the rows that others see.
struct Restarts {
    instances: Vec<Instance>,
    owners: Vec<usize>,
    version: u64,
    /// The changes of owner for each pool.
    changes: Vec<usize>,
    /// The most pools that an instance owned at a time.
    most_owned: usize,
}

impl Restarts {
    /// The time from a stop to the registration of the next process.
    const DOWN_MS: u64 = 4_900;

    fn new(instances: usize, pools: usize) -> Self {
        let instance = |number: usize| Instance {
            version: 1 + number as u64,
            is_leaving: false,
            announced: None,
            series: Series::default(),
            returns_at: None,
        };
        Self {
            instances: (0..instances).map(instance).collect(),
            owners: (0..pools).collect(),
            version: instances as u64,
            changes: vec![0; pools],
            most_owned: 1,
        }
    }

    fn play(&mut self, order: &[usize], gap_ms: u64) {
        for (turn, stopped) in order.iter().enumerate() {
            let now = gap_ms * turn as u64;
            self.register_until(now);
            self.stop(*stopped, now);
            self.replace_owners(*stopped);
        }
        self.register_until(u64::MAX);
    }

    /// Registers the processes that have started by `now`; each reads the rows of all.
    fn register_until(&mut self, now: u64) {
        for number in 0..self.instances.len() {
            if let Some(at) = self.instances[number].returns_at.filter(|at| *at <= now) {
                let mut series = Series::default();
                for other in self.instances.iter().filter(|other| other.is_leaving) {
                    series.on_stop(other.version, other.announced, ms(at));
                }
                self.version += 1;
                self.instances[number] = Instance {
                    version: self.version,
                    is_leaving: false,
                    announced: None,
                    series,
                    returns_at: None,
                };
            }
        }
    }

    fn stop(&mut self, stopped: usize, now: u64) {
        // Pools write rows all the time.
        self.version += 17;
        let first = self.instances[stopped].series.first(ms(now));
        let instance = &mut self.instances[stopped];
        instance.version = self.version;
        instance.is_leaving = true;
        instance.announced = first;
        instance.returns_at = Some(now + Self::DOWN_MS);
        for other in self.instances.iter_mut().filter(|other| !other.is_leaving) {
            other.series.on_stop(self.version, first, ms(now));
        }
    }

    fn replace_owners(&mut self, stopped: usize) {
        let series = self.instances.iter().filter(|other| other.is_leaving);
        let first = series
            .map(|other| other.announced.unwrap_or(other.version))
            .min();
        let vacant: Vec<usize> = (0..self.owners.len())
            .filter(|pool| self.owners[*pool] == stopped)
            .collect();
        let owned = |number: usize| self.owners.iter().filter(|owner| **owner == number).count();
        let candidates: Vec<Candidate> = self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, instance)| !instance.is_leaving)
            .map(|(number, instance)| Candidate {
                data_centre: format!("dc-{}", number % 3),
                is_renewed: first.is_some_and(|first| instance.version > first),
                ..candidate(&number.to_string(), owned(number), 250)
            })
            .collect();
        let names: Vec<String> = vacant.iter().map(|pool| format!("pool-{pool}")).collect();
        let orders = rank(&names, &candidates);
        for (pool, name) in vacant.iter().zip(&names) {
            self.owners[*pool] = orders[name][0].parse().expect("a number");
            self.changes[*pool] += 1;
        }
        let most = (0..self.instances.len())
            .map(|number| self.owners.iter().filter(|owner| **owner == number).count());
        self.most_owned = self.most_owned.max(most.max().unwrap_or(0));
    }
}

/// Plays a series in 60 sequences; returns the changes of owner per pool and series, and the most
/// pools that one instance owned.
fn average_changes(instances: usize, pools: usize, gap_ms: u64) -> (f64, usize) {
    const SEQUENCES: u64 = 60;
    let mut changes = 0;
    let mut most_owned = 0;
    for seed in 0..SEQUENCES {
        let mut order: Vec<usize> = (0..instances).collect();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        let mut restarts = Restarts::new(instances, pools);
        restarts.play(&order, gap_ms);
        changes += restarts.changes.iter().sum::<usize>();
        most_owned = most_owned.max(restarts.most_owned);
    }
    (
        changes as f64 / (SEQUENCES * pools as u64) as f64,
        most_owned,
    )
}

/// Pools moved to instances that were about to be stopped although others had been restarted.
#[test]
fn pools_move_to_restarted_instances_during_a_series_of_planned_stops() {
    for gap_ms in [3_000, 5_500, 12_000] {
        let first_return = Restarts::DOWN_MS.div_ceil(gap_ms) as f64;
        let (changes, most_owned) = average_changes(12, 5, gap_ms);
        // One that is stopped before any has returned goes on to one of the old instances, some of
        // which are stopped later.
        let bound = 1.0 + first_return / 12.0 * 2.0;
        assert!(changes <= bound, "{changes} changes, {gap_ms} ms apart");
        assert!(most_owned <= 3, "{most_owned} pools, {gap_ms} ms apart");
    }
}

#[test]
fn restarted_instance_is_not_preferred_with_half_the_share_per_shard() {
    let renewed = |name: &str, owned, share| Candidate {
        is_renewed: true,
        ..candidate(name, owned, share)
    };
    let candidates = [
        candidate("old", 0, 500),
        renewed("restarted", 1, 500),
        renewed("restarted-loaded", 2, 500),
        renewed("restarted-weak", 0, 120),
    ];
    let orders = rank(&shards(1), &candidates);
    assert_eq!(
        orders["pool-0"],
        ["restarted", "old", "restarted-loaded", "restarted-weak"]
    );
}

#[test]
fn series_ends_when_no_stop_follows() {
    let mut series = Series::default();
    assert_eq!(series.first(ms(0)), None);
    series.on_stop(40, None, ms(1_000));
    series.on_stop(70, Some(30), ms(9_000));
    assert_eq!(series.first(ms(9_000) + Series::MAX_PAUSE), Some(30));
    assert_eq!(series.first(ms(9_001) + Series::MAX_PAUSE), None);
    series.on_stop(90, None, ms(60_000));
    assert_eq!(series.first(ms(60_000)), Some(90), "a new series");
}
