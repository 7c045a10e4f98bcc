//! Jobs whose queue the configuration assigns to another pool.

mod model;

use hyssop_model::work::{Address, Configuration, Queue};
use hyssop_platform::rows::decode;
use hyssop_policy::directory::{Directory, Entry};
use hyssop_policy::owner::{Recall, Scheduler, Settings};
use model::{configuration, job, FakeStore};
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a version of the configuration in which a queue at the model's address belongs to `pool`.
fn assigned_to(pool: &str, name: &str, version: u64) -> Configuration {
    let mut configuration = configuration(None);
    let queue = configuration.queues.remove("queue").expect("the queue");
    let (name, pool) = (name.to_owned(), pool.to_owned());
    let queue = Queue {
        name,
        pool,
        ..queue
    };
    configuration.queues.insert(queue.name.clone(), queue);
    configuration.version = version;
    configuration
}

fn only_queue(configuration: &Configuration) -> &Queue {
    configuration.queues.values().next().expect("a queue")
}

/// Lets the owner of a pool accept a job of the configuration's queue.
fn accept(scheduler: &mut Scheduler, store: &mut FakeStore, queue: &Queue, ms: u64) {
    scheduler.learn_address(&queue.name, Address::of(queue));
    let (age, submission) = (Duration::ZERO, job(1, 1, 900));
    scheduler.submit(ID, &queue.name, submission, age, at(ms), ms as i64);
    store.commit_all(scheduler, at(ms));
}

/// Returns the directory of a process that has read the rows of the pool `pool`.
fn read(store: &FakeStore) -> Directory {
    let mut directory = Directory::default();
    let records = store.records().into_iter();
    for record in records.filter(|record| record.table == Scheduler::addresses_table()) {
        let entry: Option<Entry> = decode(&record.value);
        assert!(entry.is_some(), "a readable row");
        directory.apply("pool", &record.key, entry);
    }
    directory
}

#[test]
fn pool_with_jobs_of_an_address_is_found_after_the_queue_was_replaced_by_another() {
    let (before, after) = (assigned_to("pool", "q1", 1), assigned_to("other", "q2", 2));
    let mut store = FakeStore::default();
    let mut owner = Scheduler::new("pool", 1, Settings::default());
    owner.configure(&before);
    accept(&mut owner, &mut store, only_queue(&before), 1_000);
    let directory = read(&store);
    let queue = only_queue(&after);
    let pools: Vec<String> = directory
        .other_pools(queue, at(1_000))
        .into_iter()
        .collect();
    assert_eq!(pools, ["pool"]);
    let queues: Vec<_> = directory.queues_at(queue).into_iter().collect();
    let named = |pool: &str, queue: &str| (pool.to_owned(), queue.to_owned());
    assert_eq!(queues, [named("other", "q2"), named("pool", "q1")]);
    assert!(directory
        .other_pools(only_queue(&before), at(1_000))
        .is_empty());
}

/// A process with an earlier configuration may have the first job of an address accepted after another
/// process has applied the change.
#[test]
fn pool_whose_assignment_has_just_ended_may_have_jobs() {
    let (before, after) = (assigned_to("pool", "q1", 1), assigned_to("other", "q2", 2));
    let mut directory = Directory::default();
    directory.reconfigure(&before, &after, at(1_000));
    let queue = only_queue(&after);
    assert_eq!(directory.other_pools(queue, at(1_100)).len(), 1);
    let until = at(1_000) + Directory::CONFIGURATION_LAG;
    assert!(directory.other_pools(queue, until).is_empty());
}

#[test]
fn addresses_are_kept_with_the_last_job_and_survive_a_failover() {
    let before = assigned_to("pool", "q1", 1);
    let mut store = FakeStore::default();
    let mut first = Scheduler::new("pool", 1, Settings::default());
    first.configure(&before);
    accept(&mut first, &mut store, only_queue(&before), 1_000);
    let mut second = Scheduler::new("pool", 2, Settings::default());
    second.recover(&store.records(), at(2_000), at(2_000), 2_000);
    second.configure(&assigned_to("other", "q2", 2));
    second.cancel(ID, at(2_000));
    store.commit_all(&mut second, at(2_000));
    store.commit_all(&mut second, at(4_000));
    let has_entry = |store: &FakeStore| {
        let pools = read(store).other_pools(only_queue(&assigned_to("other", "q2", 2)), at(0));
        !pools.is_empty()
    };
    assert!(has_entry(&store), "callers may ask for the cancelled job");
    let expired = at(5_000) + Settings::default().job_retention;
    store.commit_all(&mut second, expired);
    store.commit_all(&mut second, expired + at(2_000));
    assert!(!has_entry(&store));
}

/// A request under way with an earlier configuration had a job accepted by the previous pool after the
/// next one had accepted it.
#[test]
fn recalled_job_is_not_accepted_from_a_process_with_an_earlier_configuration() {
    let before = assigned_to("pool", "q1", 3);
    let mut store = FakeStore::default();
    let mut owner = Scheduler::new("pool", 1, Settings::default());
    owner.configure(&before);
    assert!(!owner.is_barred(ID, 3));
    assert_eq!(owner.recall(ID, 5, at(1_000)), Recall::Unknown);
    assert!(owner.is_barred(ID, 3));
    assert!(owner.is_barred(ID, 5));
    assert!(!owner.is_barred(ID, 7), "the queue has been assigned back");
    accept(&mut owner, &mut store, only_queue(&before), 1_000);
    assert_eq!(owner.recall(ID, 9, at(1_100)), Recall::Accepted);
    let other = "00000000000000ab";
    let submission = job(1, 1, 900);
    owner.submit(other, "q1", submission, Duration::ZERO, at(1_200), 1_200);
    assert_eq!(owner.recall(other, 9, at(1_200)), Recall::Pending);
}
