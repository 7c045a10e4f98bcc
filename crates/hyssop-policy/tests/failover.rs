//! Selection of the processes that take over shards without an owner.

use hyssop_policy::failover::{rank, Candidate};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn candidate(name: &str, owned: usize, share: u64) -> Candidate {
    Candidate {
        name: name.to_owned(),
        owned,
        share,
    }
}

fn shards(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("pool-{number}")).collect()
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
