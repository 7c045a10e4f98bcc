//! Failovers of pools whose previous owner lives, while the store is silent for all processes.

mod support;

use platform_standin::{Access, Call, Doors, Operation, Platform, Run, Shape};
use serde_json::Value;
use std::sync::mpsc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::{configure, job, wait_until, Edge};

const FIRST_PATH: &str = "/a/00000000000000a0";
const PATHS: [&str; 2] = ["/a/00000000000000a1", "/a/00000000000000a2"];
const POOL: &str = "alpha";
/// The table of the shards' owners.
const OWNERS: &str = "owner";
/// A table of the pool that its new owner reads.
const JOBS: &str = "job";
/// The platform's table of workers.
const WORKERS: &str = "servers";
/// Longer than a successor waits for its predecessor's leases.
const SILENCE: Duration = Duration::from_secs(7);
/// How long after the store's return the entries of the workers are back, that of the least loaded one
/// first.
const ENTRY_RETURN: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(900),
    Duration::from_millis(1_600),
];
/// Longer than the cut, the failover and the silence take together.
const TASK_MS: u64 = 13_000;

/// The events that a failure's output lists.
const TAKEOVER_EVENTS: [&str; 6] = [
    "event=taken-over",
    "event=owner-started",
    "event=recovery-started",
    "event=recovered",
    "event=workers-unreported",
    "event=owner-deposed",
];

/// When the store falls silent.
#[derive(Clone, Copy)]
enum Moment {
    /// When the successor's ownership was written, before it gets the answer.
    Written,
    /// When the successor reads the pool's rows of this table.
    Reading(&'static str, &'static str),
}

/// What the pool's workers do while the store is silent.
#[derive(Clone, Copy)]
enum Workers {
    /// Their entries expire and are back shortly after the store's return.
    Expired,
    /// The one that runs the most tasks answers this late.
    Slow(Duration),
}

/// Longer than an answer takes usually, and shorter than callers of workers wait.
const WORKER_DELAY: Duration = Duration::from_millis(400);
const SLOW: Workers = Workers::Slow(WORKER_DELAY);

/// Runs tasks on all workers of a pool, cuts its owner off from the store, lets the store be silent
/// for all processes from `moment` on, and checks that no task has two runs at once and none starts
/// after it was done.
fn assert_no_task_is_repeated(process_count: usize, moment: Moment, workers: Workers) {
    let platform = pool_of_three();
    let names: Vec<String> = (0..process_count).map(|n| format!("e{n}")).collect();
    let edges: Vec<Edge> = names
        .iter()
        .map(|name| Edge::start(&platform, name))
        .collect();
    // The first job shows that the pool has an owner; its end is stored before the faults.
    edges[0].submit_until_accepted(FIRST_PATH, &job(1, 1, 10));
    wait_until("the first job is done", || {
        edges[0].state(FIRST_PATH) == "done"
    });
    // Each worker runs one of the large tasks and has room for two of the small ones.
    submit_long(&edges[0], PATHS[0], 9_000);
    wait_until("the large tasks run", || {
        platform.started_tasks().len() == 4
    });
    submit_long(&edges[0], PATHS[1], 3_000);
    wait_until("all tasks run", || platform.started_tasks().len() == 7);
    let owns_pool = |edge: &Edge| edge.owns(POOL);
    let owner = edges.iter().position(owns_pool).expect("an owner");
    let silent_since = silence_from(&platform, &names[owner], moment);
    platform.set_access(&names[owner], Access::Silent);
    let successor = silent_since
        .recv_timeout(SILENCE)
        .expect("another process takes over");
    println!("owner {}, successor {successor}", names[owner]);
    let machines = machines_by_load(&platform);
    if let Workers::Expired = workers {
        machines
            .iter()
            .for_each(|machine| platform.remove_entry(machine));
    }
    std::thread::sleep(SILENCE);
    if let Workers::Slow(delay) = workers {
        platform.delay_worker(&machines[2], delay);
    }
    platform.clear_trigger();
    // The successor has the store back first, else another process may take over from it.
    platform.set_access(&successor, Access::Open);
    let opened_at = Instant::now();
    if let Workers::Expired = workers {
        for (machine, after) in machines.iter().zip(ENTRY_RETURN) {
            std::thread::sleep(after.saturating_sub(opened_at.elapsed()));
            platform.restore_entry(machine);
        }
    }
    let line = format!("event=taken-over part={POOL} term=2 ");
    let position = names.iter().position(|name| *name == successor);
    let successor = &edges[position.expect("a known process")];
    wait_until("the failover is complete", || successor.has_logged(&line));
    platform.set_access_of_all(Access::Open);
    for path in PATHS {
        wait_until("the job is done", || edges[0].state(path) == "done");
    }
    let is_line = |line: &String| {
        let mut events = TAKEOVER_EVENTS.iter();
        events.any(|event| line.contains(event)) && line.contains(POOL)
    };
    for (name, edge) in names.iter().zip(&edges) {
        for line in edge.lines(is_line) {
            println!("{name}: {line}");
        }
    }
    assert_no_task_ran_twice(&platform);
}

/// Starts a platform with one pool without spare machines, so that it keeps its workers.
fn pool_of_three() -> Platform {
    let platform = Platform::start(&Shape {
        pools: vec![(POOL.to_owned(), ENTRY_RETURN.len())],
        spare: None,
    });
    configure(&platform, 2, &[("/a/", POOL)]);
    platform
}

/// Checks that no task has two runs at once and none starts after it was done.
fn assert_no_task_ran_twice(platform: &Platform) {
    let (after_done, earlier) = platform.repeated_tasks();
    assert_eq!(
        (platform.overlapping_tasks(), after_done),
        (Vec::new(), Vec::new()),
        "tasks with two runs at the same time and tasks started after they were done; runs that \
         were followed by another: {earlier:?}"
    );
}

/// Submits a job of three tasks that outlast the failover.
fn submit_long(edge: &Edge, path: &str, cpu: u64) {
    let mut long_job: Value = job(1, 3, TASK_MS);
    long_job["steps"][0]["cpu"] = cpu.into();
    edge.submit_until_accepted(path, &long_job);
}

/// Returns the machines, that whose worker runs the fewest tasks first.
fn machines_by_load(platform: &Platform) -> Vec<String> {
    let runs = platform.runs();
    let load = |machine: &String| {
        let prefix = format!("i-{machine}-");
        let is_there = |run: &&Run| run.ended_at.is_none() && run.worker.starts_with(&prefix);
        runs.iter().filter(is_there).count()
    };
    let mut machines: Vec<String> = platform.pools().into_keys().collect();
    machines.sort_by_key(load);
    machines
}

/// Lets the store be silent for all processes once a process other than `owner` reaches `moment` of
/// taking over the pool; the receiver gets that process's name.
fn silence_from(platform: &Platform, owner: &str, moment: Moment) -> mpsc::Receiver<String> {
    let (sender, receiver) = mpsc::channel();
    let owner = owner.to_owned();
    let successor = std::sync::Mutex::new(None);
    platform.set_trigger(move |doors: &Doors, call: &Call| {
        if call.process == owner {
            return;
        }
        let mut successor = successor.lock().expect("no trigger panics");
        let is_written = call.is_performed && call.concerns(OWNERS, POOL);
        if is_written && successor.is_none() {
            *successor = Some(call.process.clone());
        }
        let is_reached = match moment {
            Moment::Written => is_written,
            Moment::Reading(table, shard) => {
                successor.as_ref() == Some(&call.process)
                    && call.operation == Operation::Read
                    && call.concerns(table, shard)
            }
        };
        if is_reached {
            doors.set_all(Access::Silent);
            // Only the first moment counts; the receiver may be gone.
            let _ = sender.send(call.process.clone());
        }
    });
    receiver
}

#[test]
fn tasks_are_not_repeated_when_the_answer_to_a_takeover_outlasts_leases() {
    assert_no_task_is_repeated(4, Moment::Written, Workers::Expired);
}

#[test]
fn tasks_are_not_repeated_when_the_answer_to_a_takeover_outlasts_leases_among_seven() {
    assert_no_task_is_repeated(7, Moment::Written, Workers::Expired);
}

#[test]
fn tasks_are_not_repeated_when_the_rows_of_a_successor_outlast_leases() {
    assert_no_task_is_repeated(4, Moment::Reading(JOBS, POOL), Workers::Expired);
}

#[test]
fn tasks_are_not_repeated_when_the_workers_of_a_successor_outlast_leases() {
    assert_no_task_is_repeated(4, Moment::Reading(WORKERS, ""), Workers::Expired);
}

#[test]
fn tasks_are_not_repeated_when_a_worker_answers_late_after_a_long_takeover() {
    assert_no_task_is_repeated(4, Moment::Written, SLOW);
}

/// The previous owner opened an occurrence while it was cut off from the store; its successor opened
/// it again before the worker that ran it had reported.
#[test]
fn occurrences_opened_without_the_store_are_not_repeated_after_a_failover() {
    /// After the owner is cut off, and before a peer takes over.
    const START_DELAY: Duration = Duration::from_millis(500);
    const OCCURRENCE_MS: u64 = 5_000;
    const TASK_COUNT: usize = 3;
    let platform = pool_of_three();
    let names: Vec<String> = (0..4).map(|n| format!("e{n}")).collect();
    let edges: Vec<Edge> = names
        .iter()
        .map(|name| Edge::start(&platform, name))
        .collect();
    edges[0].submit_until_accepted(FIRST_PATH, &job(1, 1, 10));
    wait_until("the first job is done", || {
        edges[0].state(FIRST_PATH) == "done"
    });
    let owns_pool = |edge: &Edge| edge.owns(POOL);
    let owner = edges.iter().position(owns_pool).expect("an owner");
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let start_at = now.expect("a time after 1970") + START_DELAY;
    let mut scheduled: Value = job(1, TASK_COUNT as u32, OCCURRENCE_MS);
    scheduled["repetitions"] = 1.into();
    scheduled["start-at-ms"] = (start_at.as_millis() as u64).into();
    scheduled["interval-ms"] = 1_000.into();
    edges[0].submit_until_accepted(PATHS[0], &scheduled);
    platform.set_access(&names[owner], Access::Silent);
    let has_successor = || {
        let mut others = edges.iter().enumerate().filter(|(n, _)| *n != owner);
        others.any(|(_, edge)| edge.has_logged("event=owner-started pool=alpha term=2"))
    };
    // An owner may also leave the occurrence to its successor.
    wait_until("the occurrence runs or a peer takes over", || {
        platform.started_tasks().len() == 1 + TASK_COUNT || has_successor()
    });
    let machines = machines_by_load(&platform);
    platform.delay_worker(&machines[2], WORKER_DELAY);
    wait_until("a peer takes over", has_successor);
    wait_until("the job is done", || {
        let successor = (owner + 1) % edges.len();
        edges[successor].state(PATHS[0]) == "done"
    });
    assert_no_task_ran_twice(&platform);
}
