//! Maintenance waves over a change of the fleet's owner, and its stored state.

mod support;

use platform_standin::{Access, Call, Doors, Operation, Platform, Shape};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU32, Ordering};
use support::{announce_wave, configure, job, platform, wait_for_wave, wait_until, Edge};

const PATH: &str = "/a/00000000000000a1";

/// A process that read the wave's row as part of a snapshot did not know the deadline, and waited
/// for running tasks beyond it (qarafa-bottling trouble-3: one of 25 instances late).
#[test]
fn successor_keeps_to_the_deadline_of_a_wave_from_before_its_start() {
    /// Much longer than the wave may take.
    const TASK_MS: u64 = 25_000;
    let platform = platform();
    let mut first = Edge::start(&platform, "e0");
    wait_until("all shards have owners", || first.owned_shards() == 3);
    let mut long_job: Value = job(1, 3, TASK_MS);
    // More than half of a machine, so that each of the pool's three has one task.
    long_job["steps"][0]["cpu"] = json!(9_000);
    first.submit_until_accepted(PATH, &long_job);
    wait_until("all tasks run", || platform.started_tasks().len() == 3);
    let machines: Vec<String> = platform
        .pools()
        .into_iter()
        .filter_map(|(machine, pool)| (pool == "alpha").then_some(machine))
        .collect();
    announce_wave(&platform, &machines, 6, 3);
    wait_for_wave(&platform, "running");
    let second = Edge::start(&platform, "e1");
    second.submit_until_accepted("/b/00000000000000b1", &job(1, 1, 10));
    first.kill();
    wait_for_wave(&platform, "done");
    assert_ne!(second.state(PATH), "done", "the wave waited for the tasks");
}

/// Malformed rows were taken for empty ones without a word, so that an instance might have got the
/// orders of two owners within the platform's minimum interval.
#[test]
fn malformed_rows_of_the_fleet_are_logged_and_written_anew() {
    let platform = platform();
    for key in ["base", "recent", "left", "stops", "campaign/1"] {
        platform.write_own_row("holder", "fleet/", key, b"\xff\x00 no row");
    }
    let edge = Edge::start(&platform, "e0");
    for key in ["base", "recent", "left", "stops", "campaign/1"] {
        let line = format!("event=row-unreadable part=fleet/ key={key}");
        wait_until("the malformed row is logged", || edge.has_logged(&line));
    }
    assert!(platform.orders().is_empty(), "ordered before the interval");
    let machines: Vec<String> = platform.pools().into_keys().collect();
    announce_wave(&platform, &machines, 20, 2);
    wait_for_wave(&platform, "done");
}

/// A refused write of a wave's state was taken for done, so that the wave was never shown as done.
#[test]
fn refused_wave_status_is_written_again() {
    const REFUSALS: u32 = 3;
    let platform = platform();
    let edge = Edge::start(&platform, "e0");
    edge.submit_until_accepted(PATH, &job(1, 1, 10));
    let refused = AtomicU32::new(0);
    platform.set_trigger(move |doors: &Doors, call: &Call| {
        let is_status = call.operation == Operation::Commit && call.concerns("status", "");
        let is_refused =
            is_status && !call.is_performed && refused.fetch_add(1, Ordering::SeqCst) < REFUSALS;
        doors.set(
            &call.process,
            if is_refused {
                Access::Busy
            } else {
                Access::Open
            },
        );
    });
    let machines: Vec<String> = platform.pools().into_keys().collect();
    announce_wave(&platform, &machines, 20, 2);
    wait_for_wave(&platform, "running");
    wait_for_wave(&platform, "done");
}

/// Orders that waited for a connection to a slow API were sent long after the checks that allowed
/// them: the term's confirmation, and the reports of which workers may be stopped.
#[test]
fn orders_that_waited_for_a_connection_are_not_sent() {
    const MACHINE_COUNT: usize = 40;
    /// The connections to an address.
    const MAX_CALLS: usize = 16;
    const LIST: &str = "/machines";
    let platform = Platform::start(&Shape {
        pools: vec![("alpha".to_owned(), 1), ("spare".to_owned(), MACHINE_COUNT)],
        spare: Some("spare".to_owned()),
    });
    configure(&platform, 1, &[("/a/", "alpha")]);
    let edge = Edge::start(&platform, "e0");
    edge.submit_until_accepted(PATH, &job(1, 1, 10));
    platform.hold_orders();
    let machines: Vec<String> = platform.pools().into_keys().collect();
    announce_wave(&platform, &machines, 60, MACHINE_COUNT as u32);
    // The list is read again once all orders of a decision have ended.
    let ordered = || {
        let calls = platform.machine_calls().into_iter();
        let mut from_orders = calls.skip_while(|path| path == LIST);
        let count = from_orders.by_ref().take_while(|path| path != LIST).count();
        (count, from_orders.next().is_some())
    };
    wait_until("the list is read after the orders", || ordered().1);
    assert!((1..=MAX_CALLS).contains(&ordered().0), "{:?}", ordered());
}

/// The notice that a worker was stopped by maintenance was lost when the process that had ordered it
/// was stopped just then, and the pool's next owners waited for the worker's leases.
#[test]
fn successor_notifies_a_pool_of_a_worker_that_its_predecessor_stopped() {
    let platform = platform();
    let mut first = Edge::start(&platform, "e0");
    wait_until("all shards have owners", || first.owned_shards() == 3);
    first.submit_until_accepted(PATH, &job(1, 1, 10));
    let second = Edge::start(&platform, "e1");
    second.submit_until_accepted("/b/00000000000000b1", &job(1, 1, 10));
    let mut pools = platform.pools().into_iter();
    let (machine, _) = pools.find(|(_, pool)| pool == "alpha").expect("a machine");
    let is_there = |id: &String| id.starts_with(&format!("i-{machine}-"));
    let workers = platform.worker_ids();
    let worker = workers.into_iter().find(is_there).expect("a worker");
    announce_wave(&platform, &[machine], 20, 1);
    wait_until("the maintenance is ordered", || {
        !platform.orders().is_empty()
    });
    first.terminate();
    wait_until("the successor notifies the pool's owner", || {
        let is_notice = |line: &String| {
            line.contains("event=worker-stop-notified pool=alpha")
                && line.contains(&worker)
                && line.contains("received=true")
        };
        !second.lines(is_notice).is_empty()
    });
    wait_for_wave(&platform, "done");
}
