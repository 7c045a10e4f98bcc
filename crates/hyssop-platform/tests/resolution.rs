//! Transactions take effect exactly once even if responses are lost.

#![allow(clippy::unwrap_used)]

use hyssop_platform::fake::{Fault, Store};
use hyssop_platform::resolve::{commit, Commit};
use hyssop_platform::table::{read_one, Condition, Table, Transaction};
use hyssop_platform::Error;
use std::time::Duration;

const ATTEMPTS: u32 = 5;

fn no_pause(_attempt: u32) -> Duration {
    Duration::ZERO
}

fn increment(store: &Store, write_id: &str) -> Result<Commit, Error> {
    let row = read_one(store, "counter")?;
    let count: u64 = row.as_ref().map_or(Ok(0), |row| row.parse())?;
    let transaction = Transaction::new(write_id)
        .require(Condition::as_read("counter", row.as_ref()))
        .put("counter", &(count + 1));
    commit(store, &transaction, ATTEMPTS, no_pause)
}

#[test]
fn lost_response_is_resolved_by_reading_back() {
    let store = Store::default();
    store.set_fault(Fault::LoseAnswers);
    assert_eq!(increment(&store, "first").unwrap(), Commit::Done);
    store.set_fault(Fault::None);
    let row = read_one(&store, "counter").unwrap().unwrap();
    assert_eq!(row.parse::<u64>().unwrap(), 1);
    assert_eq!(store.commits(), 1, "the retry took effect as well");
}

#[test]
fn commits_take_effect_once_when_half_of_the_responses_are_lost() {
    let store = Store::default();
    store.set_fault(Fault::LoseSomeAnswers);
    for number in 0..100 {
        assert_eq!(
            increment(&store, &number.to_string()).unwrap(),
            Commit::Done
        );
    }
    let row = read_one(&store, "counter").unwrap().unwrap();
    assert_eq!(row.parse::<u64>().unwrap(), 100);
}

#[test]
fn stale_condition_returns_conflict() {
    let store = Store::default();
    increment(&store, "first").unwrap();
    let stale = Transaction::new("second")
        .require(Condition::absent("counter"))
        .put("counter", &7);
    let result = commit(&store, &stale, ATTEMPTS, no_pause).unwrap();
    assert_eq!(result, Commit::Conflict("counter".to_owned()));
}

#[test]
fn unavailable_service_returns_retryable_error() {
    let store = Store::default();
    store.set_fault(Fault::Down);
    let transaction = Transaction::new("first")
        .require(Condition::absent("counter"))
        .put("counter", &1);
    let error = commit(&store, &transaction, ATTEMPTS, no_pause).unwrap_err();
    assert!(error.is_retryable());
    store.set_fault(Fault::None);
    assert!(store.scan("").unwrap().is_empty());
}

#[test]
fn failed_condition_rejects_whole_transaction() {
    let store = Store::default();
    increment(&store, "first").unwrap();
    let transaction = Transaction::new("second")
        .require(Condition::absent("other"))
        .require(Condition::absent("counter"))
        .put("other", &1)
        .put("counter", &1);
    assert!(matches!(
        store.commit(&transaction),
        Err(Error::Conflict { .. })
    ));
    assert!(read_one(&store, "other").unwrap().is_none());
}
