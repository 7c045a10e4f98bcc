//! The bytes that a pool's jobs hold: which jobs are refused when they reach a limit, what callers are
//! told, and when the bytes are free again.

mod model;

use hyssop_model::work::{Account, Configuration, Queue, Report, Submission};
use hyssop_policy::intake::{Capacity, Gate, Listener};
use hyssop_policy::owner::{Action, Admission, Limits, Scheduler, Settings};
use model::{configuration, job, FakeStore};
use std::collections::BTreeMap;
use std::time::Duration;

/// The limit on the pool; some 1,200 ordinary jobs fit.
const LIMIT: usize = 4_000_000;
const NOW: Duration = Duration::from_millis(1_000);
/// The queue of jobs that are not urgent.
const BULK: &str = "bulk";
const URGENT: &str = "queue";

fn limits() -> Limits {
    Limits {
        pool: LIMIT,
        process: 2 * LIMIT,
        others: 0,
    }
}

/// Returns a configuration with an urgent queue and another one, and two accounts.
fn two_queues() -> Configuration {
    let mut configuration = configuration(None);
    let bulk = Queue {
        name: BULK.to_owned(),
        prefix: "/bulk/".to_owned(),
        priority: 1,
        ..configuration.queues[URGENT].clone()
    };
    configuration.queues.insert(BULK.to_owned(), bulk);
    configuration
}

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new("pool", 1, Settings::default());
    scheduler.configure(&two_queues());
    scheduler.limit_backlog(limits());
    scheduler
}

fn submit(scheduler: &mut Scheduler, number: u32, queue: &str, job: Submission) -> Admission {
    let id = format!("{number:016x}");
    scheduler.submit(&id, queue, job, Duration::ZERO, NOW, 1_000)
}

/// Submits the same job again and again until one is refused; returns the refusal and the number of
/// accepted ones.
fn flood(scheduler: &mut Scheduler, first: u32, queue: &str, job: &Submission) -> (Admission, u32) {
    const MOST: u32 = 100_000;
    for number in 0..MOST {
        let admission = submit(scheduler, first + number, queue, job.clone());
        if admission != Admission::Pending {
            return (admission, number);
        }
    }
    panic!("{MOST} jobs were accepted");
}

fn wait(admission: &Admission) -> Duration {
    match admission {
        Admission::Deferred(_, wait) => *wait,
        other => panic!("{other:?} tells no time"),
    }
}

#[test]
fn ordinary_job_is_accepted_after_a_flood_of_large_ones() {
    let mut scheduler = scheduler();
    let (_, accepted) = flood(&mut scheduler, 0, URGENT, &job(1, 2_000, 900));
    assert!(accepted > 0, "a large job is accepted in calm");
    assert!(scheduler.held_bytes() <= LIMIT / 2);
    let ordinary = submit(&mut scheduler, u32::MAX, URGENT, job(2, 8, 900));
    assert_eq!(ordinary, Admission::Pending);
}

#[test]
fn urgent_job_is_accepted_after_a_flood_of_others() {
    let mut scheduler = scheduler();
    flood(&mut scheduler, 0, BULK, &job(1, 1, 900));
    let urgent = submit(&mut scheduler, u32::MAX, URGENT, job(2, 8, 900));
    assert_eq!(urgent, Admission::Pending);
    flood(&mut scheduler, 1_000_000, URGENT, &job(1, 1, 900));
    assert!(scheduler.held_bytes() <= LIMIT);
}

#[test]
fn account_leaves_room_for_others() {
    let account = |name: &str| Account {
        name: name.to_owned(),
        weight: 1e6,
        ..Account::default()
    };
    let accounts = ["one", "two"].map(|name| (name.to_owned(), account(name)));
    let mut scheduler = scheduler();
    scheduler.configure(&Configuration {
        version: 2,
        accounts: Some(BTreeMap::from(accounts)),
        ..two_queues()
    });
    let of = |name: &str| Submission {
        account: Some(name.to_owned()),
        ..job(1, 1, 900)
    };
    flood(&mut scheduler, 0, URGENT, &of("one"));
    assert!(scheduler.held_bytes() <= LIMIT / 2);
    let (_, accepted) = flood(&mut scheduler, 1_000_000, URGENT, &of("two"));
    assert!(accepted > 100, "{accepted} jobs of the other account");
}

#[test]
fn other_pools_of_the_process_count() {
    let mut scheduler = scheduler();
    scheduler.limit_backlog(Limits {
        others: 2 * LIMIT - 10_000,
        ..limits()
    });
    let refusal = submit(&mut scheduler, 0, URGENT, job(1, 1, 900));
    assert!(wait(&refusal) >= Duration::from_secs(1));
}

#[test]
fn job_larger_than_any_room_is_told_no_time() {
    let mut scheduler = scheduler();
    let refusal = submit(&mut scheduler, 0, URGENT, job(1, 10_000, 900));
    assert!(matches!(refusal, Admission::Refused(_)), "{refusal:?}");
}

#[test]
fn accepted_job_is_known_when_it_is_submitted_again_at_the_limit() {
    let mut scheduler = scheduler();
    flood(&mut scheduler, 0, URGENT, &job(1, 1, 900));
    let again = submit(&mut scheduler, 0, URGENT, job(1, 1, 900));
    assert_eq!(again, Admission::Pending);
}

/// Without any end so far the forecast of the tasks that wait tells the time; later the rate of ends.
#[test]
fn refusal_tells_when_there_is_room() {
    let flooded = |ms: u64| {
        let mut scheduler = scheduler();
        for number in 0..100 {
            let listing = model::worker(&format!("w{number}"));
            scheduler.register_worker(listing, NOW);
        }
        wait(&flood(&mut scheduler, 0, URGENT, &job(1, 8, ms)).0)
    };
    // Twelve tasks a core wait; the first places are free long before the last task ends.
    assert!(flooded(500) < Duration::from_secs(2));
    // The longest wait, and half of it for callers that come later.
    assert!((30..=45).contains(&flooded(50_000_000).as_secs()));
    let mut scheduler = scheduler();
    let (_, accepted) = flood(&mut scheduler, 0, URGENT, &job(1, 8, 50_000_000));
    while scheduler.next_batch(NOW).is_some() {
        scheduler.on_commit(NOW);
    }
    for number in 0..accepted / 2 {
        scheduler.cancel(&format!("{number:016x}"), NOW);
    }
    while scheduler.next_batch(NOW).is_some() {
        scheduler.on_commit(NOW);
    }
    scheduler.advance(NOW, 1_000);
    let (refusal, _) = flood(&mut scheduler, 1_000_000, URGENT, &job(1, 8, 50_000_000));
    assert!(wait(&refusal) < Duration::from_secs(2), "{refusal:?}");
}

#[test]
fn withdrawn_job_holds_nothing() {
    let mut scheduler = scheduler();
    submit(&mut scheduler, 7, URGENT, job(1, 100, 900));
    assert!(scheduler.withdraw(&format!("{:016x}", 7)));
    assert_eq!(scheduler.held_bytes(), 0);
}

/// A successor that counted less than its predecessor would accept more than others have room for.
#[test]
fn recovered_jobs_hold_as_much_as_accepted_ones() {
    let mut store = FakeStore::default();
    store.begin_term();
    let mut owner = scheduler();
    for number in 0..10 {
        let of_job = match number % 2 {
            0 => job(3, 20, 900),
            _ => job(1, 500, 900),
        };
        submit(&mut owner, number, URGENT, of_job);
    }
    store.commit_all(&mut owner, NOW);
    owner.cancel(&format!("{:016x}", 3), NOW);
    store.commit_all(&mut owner, NOW);
    owner.advance(NOW, 1_000);
    let mut successor = Scheduler::new("pool", 2, Settings::default());
    successor.recover(&store.records(), NOW, NOW, 1_000);
    assert_eq!(successor.held_bytes(), owner.held_bytes());
}

/// A worker may list the run of a cancelled job until it has stopped.
#[test]
fn cancelled_job_holds_its_tasks_until_its_runs_have_ended() {
    let mut scheduler = scheduler();
    scheduler.register_worker(model::worker("w0"), NOW);
    let key = hyssop_policy::owner::WorkerKey(0);
    let report = Report {
        clock_ms: 1_000,
        ..Report::default()
    };
    scheduler.receive(key, report.clone(), NOW, 0, NOW);
    submit(&mut scheduler, 1, URGENT, job(1, 500, 900));
    let commit = |scheduler: &mut Scheduler| {
        while scheduler.next_batch(NOW).is_some() {
            scheduler.on_commit(NOW);
        }
    };
    commit(&mut scheduler);
    let open = scheduler.held_bytes();
    let later = NOW + Duration::from_millis(100);
    let actions = scheduler.advance(later, 1_100);
    let is_start = |action: &Action| matches!(action, Action::Start { .. });
    assert!(actions.iter().any(is_start));
    scheduler.cancel(&format!("{:016x}", 1), later);
    commit(&mut scheduler);
    scheduler.advance(later + Duration::from_millis(100), 1_200);
    assert_eq!(scheduler.held_bytes(), open);
    scheduler.deregister_worker("w0");
    scheduler.on_worker_terminated("w0", later, later);
    // Starts that got no answer may still be carried out for some seconds.
    let much_later = later + Duration::from_secs(60);
    scheduler.advance(much_later, 61_000);
    assert!(scheduler.held_bytes() < open / 10, "{open}");
}

#[test]
fn deposed_owner_holds_nothing() {
    let mut scheduler = scheduler();
    submit(&mut scheduler, 1, URGENT, job(1, 500, 900));
    scheduler.forget_jobs();
    assert_eq!(scheduler.held_bytes(), 0);
    assert!(scheduler.is_deposed());
}

/// A process that takes over several full pools keeps their jobs, and reads fewer requests at once.
#[test]
fn jobs_beyond_their_part_of_the_memory_take_that_of_requests() {
    let capacity = Capacity::new(Some(160), Some(4_100));
    let mut gate = Gate::new(capacity);
    let key = gate.open(Listener::Callers, NOW).expect("room");
    let most = capacity.bytes / 4 * 3;
    assert!(gate.hold(key, most).is_ok());
    gate.release(key, most);
    gate.set_job_bytes(capacity.jobs + capacity.bytes / 2);
    assert!(gate.hold(key, most).is_err());
    gate.set_job_bytes(5 * Capacity::pool_jobs(Some(160)));
    assert!(gate.hold(key, 4_096).is_ok(), "an ordinary request is read");
    gate.set_job_bytes(0);
    assert!(gate.hold(key, most / 2).is_ok());
}
