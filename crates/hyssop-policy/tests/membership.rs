//! Tests of leases, epochs and the acceptance of configurations.

#![allow(clippy::unwrap_used)]

mod support;

use hyssop_model::config::{Head, Version};
use hyssop_model::entry::{Id, Phase, Record};
use hyssop_policy::membership::{next_epoch, Lease, View};
use hyssop_policy::rollout::{accept, Verdict};
use proptest::prelude::*;
use std::time::{Duration, Instant};
use support::{cases, epoch, member};

const NOW_MS: u64 = 1_000_000;
const MAX_CLOCK_SKEW_MS: u64 = 500;

fn entry(id: u64, expires_ms: u64) -> Record {
    Record {
        member: member(id),
        phase: Phase::Serving,
        expires_ms,
        held_version: 0,
        config_version: 0,
        is_handed_over: false,
    }
}

fn observe<'a>(
    own: u64,
    entries: &'a [Record],
    epoch: &'a hyssop_model::epoch::Record,
) -> View<'a> {
    View {
        own: Id(own),
        entries,
        epoch: Some(epoch),
        wall_ms: NOW_MS,
        max_clock_skew_ms: MAX_CLOCK_SKEW_MS,
    }
}

fn ids(epoch: &hyssop_model::epoch::Record) -> Vec<u64> {
    epoch.members.iter().map(|member| member.id.0).collect()
}

#[test]
fn lease_expires_one_margin_before_term_from_sending_the_renewal() {
    let sent = Instant::now();
    let mut lease = Lease::default();
    lease.renew(sent, Duration::from_secs(6), Duration::from_secs(1));
    assert!(lease.is_held(sent + Duration::from_millis(4999)));
    assert!(!lease.is_held(sent + Duration::from_secs(5)));
}

#[test]
fn first_live_member_removes_member_with_expired_lease() {
    let old = epoch(7, &[1, 2, 3], &[]);
    let entries = [
        entry(1, NOW_MS - MAX_CLOCK_SKEW_MS - 1),
        entry(2, NOW_MS),
        entry(3, NOW_MS),
    ];
    assert_eq!(
        next_epoch(&observe(3, &entries, &old)),
        None,
        "a member other than the first wrote the epoch"
    );
    let next = next_epoch(&observe(2, &entries, &old)).unwrap();
    assert_eq!((next.number, ids(&next)), (8, vec![2, 3]));
    assert_eq!(next.retired[0].id, Id(1));
    assert!(!next.retired[0].is_clean);
    assert_eq!(next.cold_start_ms, 0);
}

#[test]
fn keeps_member_within_clock_skew_of_lease_end() {
    let old = epoch(7, &[1, 2], &[]);
    let entries = [entry(1, NOW_MS - MAX_CLOCK_SKEW_MS), entry(2, NOW_MS)];
    assert_eq!(next_epoch(&observe(2, &entries, &old)), None);
}

#[test]
fn entry_writes_its_own_joining_and_leaving() {
    let old = epoch(7, &[1, 2], &[]);
    let joining = [entry(1, NOW_MS), entry(2, NOW_MS), entry(9, NOW_MS)];
    assert_eq!(
        ids(&next_epoch(&observe(9, &joining, &old)).unwrap()),
        [1, 2, 9]
    );
    let mut leaving = [entry(1, NOW_MS), entry(2, NOW_MS)];
    leaving[1].phase = Phase::Leaving;
    leaving[1].is_handed_over = true;
    let next = next_epoch(&observe(2, &leaving, &old)).unwrap();
    assert_eq!(ids(&next), [1]);
    assert!(next.retired[0].is_clean);
}

#[test]
fn epoch_without_previous_members_is_cold_start() {
    let old = epoch(7, &[1, 2], &[]);
    let entries = [entry(9, NOW_MS)];
    let next = next_epoch(&observe(9, &entries, &old)).unwrap();
    assert_eq!(next.cold_start_ms, NOW_MS);
    let later = [entry(9, NOW_MS), entry(10, NOW_MS)];
    let after = next_epoch(&observe(10, &later, &next)).unwrap();
    assert_eq!(
        after.cold_start_ms, NOW_MS,
        "the time of the cold start was lost"
    );
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn accepts_version_only_if_all_serving_entries_hold_it(
        held in proptest::collection::vec(0..6u64, 0..8),
        proposed in proptest::option::of(1..6u64),
        accepted in 0..3u64,
    ) {
        let records: Vec<Record> = held
            .iter()
            .enumerate()
            .map(|(index, held)| Record { held_version: *held, ..entry(index as u64, NOW_MS) })
            .collect();
        let version = |number| Version { number, ..Version::default() };
        let head = Head {
            accepted: version(accepted),
            proposed: proposed.map(version),
            last_number: 9,
        };
        let may_serve: Vec<&Record> = records.iter().collect();
        match accept(&head, &may_serve) {
            Verdict::Idle => prop_assert!(proposed.is_none()),
            Verdict::Accept(next) => {
                let number = proposed.unwrap();
                prop_assert!(held.iter().all(|held| *held >= number));
                prop_assert_eq!(next.accepted.number, number);
                prop_assert!(next.proposed.is_none());
                prop_assert_eq!(next.last_number, 9, "a version number could be reused");
            }
            Verdict::Wait(lagging) => {
                let number = proposed.unwrap();
                let behind = held.iter().filter(|held| **held < number).count();
                prop_assert_eq!(lagging.len(), behind);
            }
        }
    }
}
