//! The client account of a job, by which other accounts' callers don't see it.

mod model;

use hyssop_model::work::Submission;
use hyssop_policy::owner::{Admission, Record, Scheduler, Settings};
use model::{configuration, job, FakeStore};
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn scheduler(term: u64) -> Scheduler {
    let mut scheduler = Scheduler::new("pool", term, Settings::default());
    scheduler.configure(&configuration(None));
    scheduler
}

fn submit(scheduler: &mut Scheduler, account: Option<&str>) -> Admission {
    let submission = Submission {
        account: account.map(str::to_owned),
        ..job(1, 1, 900)
    };
    scheduler.submit(ID, "queue", submission, Duration::ZERO, at(1_000), 1_000)
}

/// Returns the rows of a job, open or cancelled.
fn rows_of_job(account: Option<&str>, is_cancelled: bool) -> Vec<Record> {
    let mut store = FakeStore::default();
    store.begin_term();
    let mut owner = scheduler(store.term);
    assert_eq!(submit(&mut owner, account), Admission::Pending);
    store.commit_all(&mut owner, at(1_000));
    if is_cancelled {
        owner.cancel(ID, at(1_100));
        store.commit_all(&mut owner, at(1_100));
    }
    store.records()
}

fn assert_visible_to_its_account_only(scheduler: &Scheduler) {
    assert!(scheduler.is_visible(ID, Some("one")));
    assert!(!scheduler.is_visible(ID, Some("two")));
    assert!(!scheduler.is_visible(ID, None));
}

#[test]
fn job_is_visible_to_its_account_only() {
    let mut owner = scheduler(1);
    submit(&mut owner, Some("one"));
    assert_visible_to_its_account_only(&owner);
    assert!(owner.is_visible("00000000000000ab", Some("two")), "no job");
    assert!(matches!(
        submit(&mut owner, Some("two")),
        Admission::Refused(_)
    ));
    assert!(matches!(submit(&mut owner, None), Admission::Refused(_)));
    assert_eq!(submit(&mut owner, Some("one")), Admission::Pending);
}

#[test]
fn job_without_account_is_visible_to_all() {
    let mut owner = scheduler(1);
    submit(&mut owner, None);
    for account in [None, Some("one")] {
        assert!(owner.is_visible(ID, account));
        assert_eq!(submit(&mut owner, account), Admission::Pending);
    }
}

/// The submission of a finished job is removed, and with it the account that it names.
#[test]
fn account_outlives_failovers_with_and_without_submission() {
    for is_cancelled in [false, true] {
        let mut rows = rows_of_job(Some("one"), is_cancelled);
        let mut successor = scheduler(2);
        successor.recover(&rows, at(1_500), at(2_000), 2_000);
        assert_visible_to_its_account_only(&successor);
        if is_cancelled {
            let count = rows.len();
            rows.retain(|row| row.table != "job");
            assert_eq!(rows.len(), count - 1, "the submission is removed");
            let mut successor = scheduler(2);
            successor.recover(&rows, at(1_500), at(2_000), 2_000);
            assert_visible_to_its_account_only(&successor);
        }
    }
}

/// Earlier versions and deployments without accounts share the store's rows.
#[test]
fn rows_of_job_without_account_name_none() {
    for is_cancelled in [false, true] {
        for row in rows_of_job(None, is_cancelled) {
            let text = String::from_utf8_lossy(&row.value).into_owned();
            assert!(!text.contains("account"), "{}", row.table);
        }
    }
}
