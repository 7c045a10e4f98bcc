//! The quota of an account over several pools, whose owners share only the table with the grants.

mod model;

use hyssop_model::work::{Account, Phase, Report, Resources, Submission};
use hyssop_policy::account::ledger::{Ledger, Outcome, Row, Usage, WHOLE};
use hyssop_policy::owner::{Action, Admission, Scheduler, Settings, TaskKey, WorkerKey};
use model::{job, Faults, Pools, Shared, Table};
use std::collections::BTreeMap;
use std::time::Duration;

const ACCOUNT: &str = "acme";

/// Returns a job of `count` tasks that take `ms` milliseconds and one core each.
fn tasks(count: u32, ms: u64) -> Submission {
    job(1, count, ms)
}

fn id(number: usize) -> String {
    format!("{number:016x}")
}

/// Returns what the account holds, in cores.
fn held(pools: &Pools) -> u64 {
    pools.shared.borrow().held(ACCOUNT) / 1_000
}

#[test]
fn two_owners_at_the_edge_of_one_quota_start_no_more_than_it() {
    for seed in 0..20 {
        let mut pools = Pools::new(seed, 2, 8, &[(ACCOUNT, 5_000)]);
        pools.run(300);
        pools.submit(0, ACCOUNT, &id(0), tasks(8, 3_000));
        pools.submit(1, ACCOUNT, &id(1), tasks(8, 3_000));
        pools.run(1_000);
        assert_eq!(held(&pools), 5);
        assert_eq!(pools.shared.borrow().exceeding_starts, 0);
        pools.run(12_000);
        for pool in 0..2 {
            assert_eq!(pools.worlds[pool].phase(&id(pool)), Some(Phase::Done));
        }
    }
}

#[test]
fn unused_share_returns_to_a_pool_in_need_by_two_writes() {
    let mut pools = Pools::new(1, 2, 8, &[(ACCOUNT, 8_000)]);
    pools.run(300);
    pools.submit(0, ACCOUNT, &id(0), tasks(8, 300));
    pools.run(2_000);
    assert_eq!(held(&pools), 0);
    let before = pools.shared.borrow().table.transactions;
    pools.run(5_000);
    let after = pools.shared.borrow().table.transactions;
    assert_eq!(after, before, "a quiet system writes nothing");
    pools.submit(1, ACCOUNT, &id(1), tasks(8, 3_000));
    pools.run(200);
    assert_eq!(held(&pools), 8);
    assert_eq!(pools.shared.borrow().table.transactions, before + 2);
}

/// The grant belongs to the pool: its next owner uses it, and no other does meanwhile.
#[test]
fn grant_of_an_owner_lost_before_its_starts_is_neither_exceeded_nor_lost() {
    for pause_ms in [5, 15, 25, 35, 60, 100] {
        let mut pools = Pools::new(pause_ms as u64, 2, 8, &[(ACCOUNT, 4_000)]);
        pools.run(300);
        pools.submit(0, ACCOUNT, &id(0), tasks(4, 2_000));
        pools.run(pause_ms);
        pools.worlds[0].kill_owner();
        pools.submit(1, ACCOUNT, &id(1), tasks(4, 2_000));
        pools.run(900);
        pools.worlds[0].start_owner();
        // Unless the job was stored, its caller submits it again.
        pools.run(400);
        pools.submit(0, ACCOUNT, &id(0), tasks(4, 2_000));
        pools.run(20_000);
        assert_eq!(pools.shared.borrow().exceeding_starts, 0);
        for pool in 0..2 {
            assert_eq!(pools.worlds[pool].phase(&id(pool)), Some(Phase::Done));
        }
    }
}

#[test]
fn quota_lowered_below_use_stops_starts_and_no_task() {
    let mut pools = Pools::new(3, 2, 8, &[(ACCOUNT, 8_000)]);
    pools.run(300);
    for pool in 0..2 {
        pools.submit(pool, ACCOUNT, &id(pool), tasks(4, 6_000));
    }
    pools.run(800);
    for pool in 0..2 {
        pools.submit(pool, ACCOUNT, &id(10 + pool), tasks(4, 500));
    }
    assert_eq!(held(&pools), 8);
    pools.configure(&[(ACCOUNT, 2_000)], 200);
    pools.run(4_500);
    assert_eq!(held(&pools), 8, "running tasks go on, and none starts");
    pools.run(9_000);
    assert!(held(&pools) <= 2);
    pools.run(4_000);
    for pool in 0..2 {
        assert_eq!(pools.worlds[pool].phase(&id(10 + pool)), Some(Phase::Done));
    }
    assert_eq!(pools.shared.borrow().exceeding_starts, 0);
}

#[test]
fn raised_quota_is_used_with_the_next_write() {
    let mut pools = Pools::new(4, 2, 8, &[(ACCOUNT, 2_000)]);
    pools.run(300);
    pools.submit(0, ACCOUNT, &id(0), tasks(8, 5_000));
    pools.run(500);
    assert_eq!(held(&pools), 2);
    pools.configure(&[(ACCOUNT, 6_000)], 1);
    pools.run(300);
    assert_eq!(held(&pools), 6);
}

/// A new owner counts the tasks of its predecessor, and the other pools don't take their share.
#[test]
fn takeover_with_running_tasks_keeps_their_share() {
    for seed in 0..10 {
        let mut pools = Pools::new(seed, 2, 8, &[(ACCOUNT, 6_000)]);
        pools.run(300);
        pools.submit(0, ACCOUNT, &id(0), tasks(6, 8_000));
        pools.run(500);
        assert_eq!(pools.running(0), 6);
        pools.worlds[0].kill_owner();
        // One worker is lost with the owner, so that it takes until its leases end to know its tasks.
        pools.worlds[0].workers[0].is_reachable = seed % 2 == 0;
        pools.submit(1, ACCOUNT, &id(1), tasks(6, 1_000));
        pools.run(800);
        pools.worlds[0].start_owner();
        pools.submit(0, ACCOUNT, &id(2), tasks(6, 1_000));
        for _ in 0..100 {
            pools.run(50);
            assert!(held(&pools) <= 6, "{}", held(&pools));
        }
        pools.worlds[0].workers[0].is_reachable = true;
        pools.run(25_000);
        for (pool, number) in [(0, 0), (1, 1), (0, 2)] {
            assert_eq!(pools.worlds[pool].phase(&id(number)), Some(Phase::Done));
        }
        assert_eq!(pools.shared.borrow().exceeding_starts, 0);
    }
}

/// Each pool would have waited for ever with a fraction of a task.
#[test]
fn four_pools_take_turns_with_a_quota_of_one_task() {
    let mut pools = Pools::new(5, 4, 8, &[(ACCOUNT, 1_000)]);
    pools.run(300);
    for pool in 0..4 {
        for number in 0..8 {
            pools.submit(pool, ACCOUNT, &id(pool * 10 + number), tasks(1, 300));
        }
    }
    let mut last_run = [0; 4];
    for round in 0..150 {
        pools.run(50);
        assert!(held(&pools) <= 1);
        for (pool, last_run) in last_run.iter_mut().enumerate() {
            if pools.running(pool) > 0 {
                *last_run = round;
            }
            let waited_ms = (round - *last_run) * 50;
            assert!(waited_ms < 3_000, "pool {pool} waited {waited_ms} ms");
        }
    }
}

#[test]
fn four_pools_share_a_quota_of_two_and_a_half_tasks() {
    let mut pools = Pools::new(6, 4, 8, &[(ACCOUNT, 2_500)]);
    pools.run(300);
    for pool in 0..4 {
        for number in 0..8 {
            pools.submit(pool, ACCOUNT, &id(pool * 10 + number), tasks(1, 400));
        }
    }
    pools.run(8_500);
    for pool in 0..4 {
        for number in 0..8 {
            let phase = pools.worlds[pool].phase(&id(pool * 10 + number));
            assert_eq!(phase, Some(Phase::Done), "pool {pool} job {number}");
        }
    }
}

#[test]
fn gang_wider_than_the_quota_is_refused_and_single_task_runs_alone() {
    let mut pools = Pools::new(7, 2, 8, &[(ACCOUNT, 3_000)]);
    pools.run(300);
    let mut gang = tasks(4, 500);
    gang.steps[0].gang = true;
    let refusal = pools.submit(0, ACCOUNT, &id(0), gang.clone());
    assert!(matches!(refusal, Admission::Refused(reason) if reason.contains("134 %")));
    gang.steps[0].count = 3;
    assert_eq!(pools.submit(0, ACCOUNT, &id(1), gang), Admission::Pending);
    let mut large = tasks(1, 500);
    large.steps[0].need.cpu = 5_000;
    pools.submit(1, ACCOUNT, &id(2), large);
    for _ in 0..60 {
        pools.run(50);
        let running = (pools.running(0), pools.running(1));
        assert!([(0, 0), (3, 0), (0, 1)].contains(&running), "{running:?}");
    }
    assert_eq!(pools.worlds[0].phase(&id(1)), Some(Phase::Done));
    assert_eq!(pools.worlds[1].phase(&id(2)), Some(Phase::Done));
}

#[test]
fn grants_outlast_an_outage_of_the_store() {
    let mut pools = Pools::new(8, 2, 8, &[(ACCOUNT, 4_000)]);
    pools.run(300);
    pools.submit(0, ACCOUNT, &id(0), job(6, 4, 500));
    pools.run(600);
    for world in &mut pools.worlds {
        world.is_store_up = false;
    }
    pools.run(1_500);
    assert_eq!(pools.running(0), 4, "the next steps start within the grant");
    for world in &mut pools.worlds {
        world.is_store_up = true;
    }
    pools.submit(1, ACCOUNT, &id(1), tasks(4, 500));
    pools.run(6_000);
    assert_eq!(pools.worlds[0].phase(&id(0)), Some(Phase::Done));
    assert_eq!(pools.worlds[1].phase(&id(1)), Some(Phase::Done));
}

#[test]
fn frozen_owner_wakes_with_an_old_view_and_exceeds_nothing() {
    for seed in 0..10 {
        let mut pools = Pools::new(seed, 2, 8, &[(ACCOUNT, 4_000)]);
        for world in &mut pools.worlds {
            world.faults = Faults {
                lost_answers: 0.2,
                ..Faults::default()
            };
        }
        pools.run(300);
        for number in 0..6 {
            pools.submit(0, ACCOUNT, &id(number), tasks(4, 600));
        }
        pools.run(500);
        pools.worlds[0].pause_owner(true);
        pools.submit(1, ACCOUNT, &id(20), tasks(8, 900));
        pools.run(2_500);
        pools.worlds[0].start_owner();
        pools.run(1_000);
        pools.worlds[0].pause_owner(false);
        pools.run(15_000);
        assert_eq!(pools.shared.borrow().exceeding_starts, 0);
        assert_eq!(pools.worlds[1].phase(&id(20)), Some(Phase::Done));
    }
}

/// A start that waited for a connection was sent under the quota of its decision.
#[test]
fn quota_is_checked_again_when_a_start_is_first_sent() {
    let at = Duration::from_millis(1_000);
    let mut table = Table::default();
    let mut shared = Shared::with_quota(ACCOUNT, 4_000);
    let settings = Settings {
        enforces_quotas: true,
        ..Settings::default()
    };
    let mut scheduler = Scheduler::new("pool", 1, settings);
    scheduler.configure(&shared.configuration());
    scheduler.register_worker(model::worker("w0"), at);
    let report = Report {
        clock_ms: 1_000,
        ..Report::default()
    };
    scheduler.receive(WorkerKey(0), report, at, 0, at);
    let mut gang = tasks(4, 500);
    gang.steps[0].gang = true;
    gang.account = Some(ACCOUNT.to_owned());
    scheduler.submit(&id(0), "queue", gang, Duration::ZERO, at, 1_000);
    while scheduler.next_batch(at).is_some() {
        scheduler.on_commit(at);
    }
    assert!(
        starts_of(scheduler.advance(at, 1_000)).is_empty(),
        "no grant"
    );
    scheduler.on_grant_rows(table.rows(), true, at);
    scheduler.advance(at, 1_000);
    let writes = scheduler.next_grant_writes(at).expect("a write");
    scheduler.on_grant_outcome(table.commit(&writes), at);
    let starts = starts_of(scheduler.advance(at, 1_000));
    assert_eq!(starts.len(), 4);
    let (worker, task, run) = starts[0];
    assert!(scheduler.order(worker, task, run, at).is_some());
    scheduler.configure(&shared.lower(ACCOUNT, 3_000));
    for &(worker, task, run) in &starts[1..] {
        assert!(scheduler.order(worker, task, run, at).is_none());
    }
    let actions = scheduler.advance(at, 1_000);
    let stops = actions
        .iter()
        .filter(|action| matches!(action, Action::Stop { .. }));
    assert_eq!(stops.count(), 1, "the member that was sent is stopped");
}

/// The tasks of an account whose quota was unknown were not counted, so that the write that followed a row
/// with its quota lowered the grant below what they hold.
#[test]
fn row_that_makes_a_quota_known_lowers_no_grant_before_tasks_are_counted() {
    for is_conflict in [false, true] {
        let at = Duration::from_millis(1_000);
        let mut scheduler = scheduler_with_tasks_of_unknown_account(at);
        let at = Duration::from_millis(5_000);
        let report = Report {
            clock_ms: 5_000,
            ..Report::default()
        };
        scheduler.receive(WorkerKey(0), report, at, 0, at);
        assert_eq!(starts_of(scheduler.advance(at, 5_000)).len(), 4);
        let mut table = Table::default();
        for pool in ["pool", "other"] {
            grant_to(pool, &mut table, at);
        }
        if is_conflict {
            scheduler.on_grant_outcome(Outcome::Conflict(table.rows()), at);
        } else {
            scheduler.on_grant_rows(table.rows(), false, at);
        }
        let at = Duration::from_millis(6_000);
        assert_eq!(scheduler.next_grant_writes(at), None, "not counted yet");
        scheduler.advance(at, 6_000);
        let writes = scheduler.next_grant_writes(at).expect("the new term");
        let row = Row::read(&writes[0].value).expect("a row");
        assert_eq!(row.pools["pool"].grant, WHOLE);
    }
}

/// Tasks that no worker of the pool could run kept a part of the quota from the other pools.
#[test]
fn tasks_that_no_worker_could_run_claim_no_quota() {
    let at = Duration::from_millis(1_000);
    for (label, cpu, is_claim) in [
        (None, 1_000, true),
        (Some("gpu"), 1_000, false),
        (None, 9_000, false),
    ] {
        let settings = Settings {
            enforces_quotas: true,
            ..Settings::default()
        };
        let mut scheduler = Scheduler::new("pool", 1, settings);
        scheduler.configure(&Shared::with_quota(ACCOUNT, 20_000).configuration());
        scheduler.register_worker(model::worker("w0"), at);
        let report = Report {
            clock_ms: 1_000,
            ..Report::default()
        };
        scheduler.receive(WorkerKey(0), report, at, 0, at);
        scheduler.on_grant_rows(Vec::new(), true, at);
        let mut submission = tasks(2, 500);
        submission.account = Some(ACCOUNT.to_owned());
        submission.steps[0].label = label.map(str::to_owned);
        submission.steps[0].need.cpu = cpu;
        scheduler.submit(&id(0), "queue", submission, Duration::ZERO, at, 1_000);
        while scheduler.next_batch(at).is_some() {
            scheduler.on_commit(at);
        }
        scheduler.advance(at, 1_000);
        let has_claim = scheduler.next_grant_writes(at).is_some();
        assert_eq!(has_claim, is_claim, "label {label:?}, {cpu}");
    }
}

/// Returns a scheduler with a job of four tasks whose account is neither in the configuration nor in a row.
fn scheduler_with_tasks_of_unknown_account(at: Duration) -> Scheduler {
    let settings = Settings {
        enforces_quotas: true,
        ..Settings::default()
    };
    let mut scheduler = Scheduler::new("pool", 2, settings);
    scheduler.configure(&Shared::with_quota("configured", 4_000).configuration());
    scheduler.register_worker(model::worker("w0"), at);
    let report = Report {
        clock_ms: 1_000,
        ..Report::default()
    };
    scheduler.receive(WorkerKey(0), report, at, 0, at);
    scheduler.on_grant_rows(Vec::new(), true, at);
    let mut submission = tasks(4, 60_000);
    submission.account = Some(ACCOUNT.to_owned());
    scheduler.submit(&id(0), "queue", submission, Duration::ZERO, at, 1_000);
    while scheduler.next_batch(at).is_some() {
        scheduler.on_commit(at);
    }
    assert!(starts_of(scheduler.advance(at, 1_000)).is_empty());
    scheduler
}

/// Writes a pool's need of four cores and what it gets of a quota of as many.
fn grant_to(pool: &str, table: &mut Table, at: Duration) {
    let cpu = |cpu| Resources {
        cpu,
        ..Resources::default()
    };
    let account = Account {
        name: ACCOUNT.to_owned(),
        weight: 1.0,
        quota: cpu(4_000),
        ..Account::default()
    };
    let mut ledger = Ledger::new(pool, 1);
    ledger.configure(1, Some(&BTreeMap::from([(ACCOUNT.to_owned(), account)])));
    ledger.apply_all(table.rows(), at);
    let usage = Usage {
        waiting: cpu(4_000),
        unit: cpu(1_000),
        ..Usage::default()
    };
    let usage = BTreeMap::from([(ACCOUNT.to_owned(), usage)]);
    let writes = ledger.next_writes(&usage, at).expect("a write");
    assert!(matches!(table.commit(&writes), Outcome::Done(_)));
}

fn starts_of(actions: Vec<Action>) -> Vec<(WorkerKey, TaskKey, u64)> {
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Start { worker, task, run } => Some((worker, task, run)),
        _ => None,
    });
    starts.collect()
}
