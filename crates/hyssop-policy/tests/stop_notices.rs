//! Notices to the pools' owners that workers were stopped.

use hyssop_policy::fleet::{StopNotices, StoppedWorker, MAX_STOPS, RETENTION};
use std::time::Duration;

fn stop(worker: &str, incarnation: Option<i64>, stopped_at: Duration) -> StoppedWorker {
    StoppedWorker {
        pool: "a".to_owned(),
        worker: worker.to_owned(),
        incarnation,
        stopped_at,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A notice that found no owner was lost, and each later owner waited for the worker's leases.
#[test]
fn unanswered_notice_is_repeated() {
    let mut notices = StopNotices::default();
    let stopped = stop("w0", Some(1), at(1_000));
    notices.add([stopped.clone()]);
    assert_eq!(notices.pools(), ["a"]);
    for _ in 0..3 {
        let due = notices.due("a", 1);
        assert_eq!(due, std::slice::from_ref(&stopped));
        notices.on_told(&due, 1, false);
    }
    notices.on_told(&[stopped], 1, true);
    assert!(notices.due("a", 1).is_empty());
}

/// The next owner did not learn of a stop that its predecessor had been told.
#[test]
fn every_later_owner_is_told() {
    let mut notices = StopNotices::default();
    let stopped = stop("w0", Some(1), at(1_000));
    notices.add([stopped.clone()]);
    for term in [1, 2, 3] {
        let due = notices.due("a", term);
        assert_eq!(due, std::slice::from_ref(&stopped));
        notices.on_told(&due, term, true);
        assert!(notices.due("a", term).is_empty());
    }
}

#[test]
fn acknowledgement_counts_for_the_stops_that_were_told() {
    let mut notices = StopNotices::default();
    notices.add([stop("w0", Some(1), at(1_000))]);
    let told = notices.due("a", 1);
    // The worker's next incarnation is stopped while the request is under way.
    let next = stop("w0", Some(2), at(4_000));
    let other = StoppedWorker {
        pool: "b".to_owned(),
        ..stop("w1", Some(1), at(4_000))
    };
    notices.add([next.clone(), other.clone()]);
    notices.on_told(&told, 1, true);
    assert_eq!(notices.due("a", 1), [next]);
    assert_eq!(notices.due("b", 1), [other]);
}

/// A later owner may know only the next incarnation of the worker.
#[test]
fn stop_of_an_unknown_incarnation_is_told_once() {
    let mut notices = StopNotices::default();
    notices.add([stop("w0", None, at(1_000))]);
    let due = notices.due("a", 1);
    assert_eq!(due.len(), 1);
    notices.on_told(&due, 1, false);
    assert!(notices.due("a", 1).is_empty());
    assert!(notices.due("a", 2).is_empty());
}

#[test]
fn stops_are_kept_for_a_bounded_time() {
    let mut notices = StopNotices::default();
    notices.add([stop("w0", Some(1), at(1_000))]);
    notices.expire(at(999) + RETENTION);
    assert_eq!(notices.due("a", 1).len(), 1);
    notices.expire(at(1_000) + RETENTION);
    assert!(notices.pools().is_empty());
}

#[test]
fn newest_stops_are_kept_if_there_are_too_many() {
    let mut notices = StopNotices::default();
    let count = MAX_STOPS as i64 + 5;
    notices.add((0..count).map(|number| stop("w0", Some(number), at(1_000))));
    let kept: Vec<Option<i64>> = notices.due("a", 1).iter().map(|s| s.incarnation).collect();
    assert_eq!(kept, (5..count).map(Some).collect::<Vec<_>>());
}
