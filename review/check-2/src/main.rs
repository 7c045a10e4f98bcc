//! Drives the cases of the second review. The first argument names the case, the second the file
//! for the record. With `TROUBLE=0` in the environment the disruption is left out.

mod support;
mod worker;

use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;
use worker::{Logged, Workers};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        cannot_run("usage: check-2 CASE RECORD");
    };
    let record = Record::create(path);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match case.as_str() {
        "moved-route-lost" => moved_route_lost(&record, has_trouble),
        "moved-route-twice" => moved_route_twice(&record, has_trouble),
        "moved-route-waiting" => moved_route_waiting(&record, has_trouble),
        "ended-life" => ended_life(&record, has_trouble),
        "gang-numbers" => gang_numbers(&record, has_trouble),
        other => cannot_run(&format!("no case {other}")),
    }
}

/// Returns a job of one step.
fn job(count: u32, cpu: u64, ms: u64) -> Value {
    json!({
        "specification": ms.to_string(),
        "steps": [{ "count": count, "cpu": cpu, "mem-mb": 256, "estimated-ms": ms }],
    })
}

fn platform(pools: &[(&str, usize)]) -> Platform {
    Platform::start(&Shape {
        pools: pools
            .iter()
            .map(|(name, count)| ((*name).to_owned(), *count))
            .collect(),
        spare: None,
    })
}

/// The services of the cases with a route that moves, and the prefix of its queue.
const SERVICES: [&str; 2] = ["renewals", "contractors"];
const PREFIX: &str = "/renew/";
const OTHER_ROUTE: Route<'_> = ("r-fees", "/fees/", "contractors");

/// Writes the first configuration, in which the queue belongs to the first service.
fn configure_first(record: &Record, platform: &Platform) {
    let route = ("r-renew", PREFIX, SERVICES[0]);
    configure(record, platform, 3, &[route, OTHER_ROUTE], &SERVICES);
}

/// Removes the queue's route, and adds one with the same host and prefix to the second service.
fn move_route(record: &Record, platform: &Platform) {
    configure(record, platform, 5, &[OTHER_ROUTE], &SERVICES);
    sleep(CONFIG_APPLY + Duration::from_millis(500));
    let route = ("r-renew-2", PREFIX, SERVICES[1]);
    configure(record, platform, 7, &[route, OTHER_ROUTE], &SERVICES);
}

/// A queue's route is removed, and all processes are killed right after it; later a route for the
/// queue is added, to another service.
fn moved_route_lost(record: &Record, has_trouble: bool) {
    /// Longer than a lease after the kill, and the 9 s after the last run of a lasting subtask.
    const UNSEEN: Duration = Duration::from_secs(18);
    const FINISH: Duration = Duration::from_secs(14);
    let platform = platform(&[("renewals", 4), ("contractors", 4)]);
    configure_first(record, &platform);
    let mut edges = start_edges(record, &platform, 3);
    // The second step has its turn after the first one's 5 s.
    let steps = json!({
        "specification": "5000",
        "steps": [
            { "count": 2, "cpu": 1_000, "mem-mb": 256, "estimated-ms": 5_000 },
            { "count": 2, "cpu": 1_000, "mem-mb": 256, "estimated-ms": 5_000, "after": [0] },
        ],
    });
    let lasting = json!({
        "specification": "lasts",
        "steps": [{
            "count": 2, "cpu": 1_000, "mem-mb": 256, "estimated-ms": 900, "long-running": true,
        }],
    });
    let paths = [
        format!("{PREFIX}5c0e7a21d94b36f8"),
        format!("{PREFIX}77aa7a21d94b36f9"),
    ];
    submit(record, &edges, &paths[0], &steps);
    submit(record, &edges, &paths[1], &lasting);
    sleep(Duration::from_secs(1));
    if has_trouble {
        configure(record, &platform, 5, &[OTHER_ROUTE], &SERVICES);
        for edge in &edges {
            edge.signal("KILL");
        }
        record.line("SIGKILL to all processes");
        sleep(Duration::from_secs(1));
        // The addresses of the processes before are free once these are gone.
        edges.clear();
        edges = start_edges(record, &platform, 3);
    }
    sleep(UNSEEN);
    let mut broken = idle_lasting(&platform, "77aa7a21d94b36f9", 2);
    if has_trouble {
        let route = ("r-renew-2", PREFIX, SERVICES[1]);
        configure(record, &platform, 7, &[route, OTHER_ROUTE], &SERVICES);
        sleep(CONFIG_APPLY + Duration::from_millis(500));
    }
    for edge in &edges {
        for path in &paths {
            if edge.call(record, "GET", path, "").0 == 410 {
                broken.push(format!(
                    "{} answers 410 for the accepted job {path}",
                    edge.name
                ));
            }
        }
    }
    sleep(FINISH);
    for path in &paths {
        edges[0].call(record, "GET", path, "");
    }
    record_runs(record, &platform.runs());
    verdict(record, edges, "LOST", &broken)
}

/// Returns the lasting subtasks of a job that have not run for 9 s: 6 s after its last run, and 3 s.
fn idle_lasting(platform: &Platform, id: &str, count: u32) -> Vec<String> {
    const IDLE: Duration = Duration::from_secs(9);
    let runs = platform.runs();
    let now = platform.now();
    let mut idle = Vec::new();
    for index in 0..count {
        let task = format!("{id}.0.0.{index}");
        let of_task = runs.iter().filter(|run| run.task == task);
        let last_end = of_task.map(|run| run.ended_at.unwrap_or(now)).max();
        let since = now.saturating_sub(last_end.unwrap_or_default());
        if since >= IDLE {
            let ms = since.as_millis();
            idle.push(format!("{task}, which lasts, has not run for {ms} ms"));
        }
    }
    idle
}

/// A queue's route is replaced by one to another service; the requests of accepted jobs arrive again.
fn moved_route_twice(record: &Record, has_trouble: bool) {
    let platform = platform(&[("renewals", 4), ("contractors", 4)]);
    configure_first(record, &platform);
    let edges = start_edges(record, &platform, 3);
    let jobs = [
        ("/renew/5c0e7a21d94b36f8", job(2, 1_000, 600)),
        ("/renew/77aa7a21d94b36f9", job(2, 1_000, 9_000)),
    ];
    for (path, body) in &jobs {
        submit(record, &edges, path, body);
    }
    wait_until("the short job is done", Duration::from_secs(20), || {
        edges[0].call(record, "GET", jobs[0].0, "").1["state"] == "done"
    });
    if has_trouble {
        move_route(record, &platform);
    }
    sleep(CONFIG_APPLY + Duration::from_millis(500));
    for (path, body) in &jobs {
        edges[1].call(record, "POST", path, &body.to_string());
    }
    sleep(Duration::from_secs(4));
    for (path, _) in &jobs {
        edges[2].call(record, "GET", path, "");
    }
    sleep(Duration::from_secs(8));
    let runs = platform.runs();
    record_runs(record, &runs);
    verdict(record, edges, "TWICE", &twice(&runs))
}

/// A queue's route is replaced by one to another service while many of its jobs wait.
fn moved_route_waiting(record: &Record, has_trouble: bool) {
    const JOBS: usize = 40;
    /// `visible_ms` and 2 s more (RULES, MIXED), and what the calls take.
    const VISIBLE: Duration = Duration::from_millis(5_500);
    let platform = platform(&[("renewals", 2), ("contractors", 2)]);
    configure_first(record, &platform);
    let edges = start_edges(record, &platform, 3);
    let ids: Vec<String> = (0..JOBS)
        .map(|number| format!("5c0e7a21d94b{number:04x}"))
        .collect();
    for id in &ids {
        // Each takes a whole machine.
        submit(
            record,
            &edges,
            &format!("/renew/{id}"),
            &job(1, 16_000, 20_000),
        );
    }
    if has_trouble {
        move_route(record, &platform);
    }
    sleep(VISIBLE.max(CONFIG_APPLY));
    let mut broken = Vec::new();
    for edge in &edges {
        let begun_before = begun(&platform, &ids);
        let (status, body) = edge.call(record, "GET", "/renew/", "");
        let not_begun = ids.len() - begun(&platform, &ids);
        record.line(&format!(
            "begun before the call: {begun_before}; not begun after it: {not_begun}"
        ));
        if status != 200 {
            continue;
        }
        if body["waiting"].as_u64().unwrap_or(0) * 2 < not_begun as u64 {
            broken.push(format!(
                "{} shows {} as waiting of {not_begun}",
                edge.name, body["waiting"]
            ));
        }
    }
    record_runs(record, &platform.runs());
    verdict(record, edges, "MIXED", &broken)
}

/// Returns how many of the jobs have begun.
fn begun(platform: &Platform, ids: &[String]) -> usize {
    let started = platform.started_tasks();
    ids.iter()
        .filter(|id| started.iter().any(|task| task.starts_with(*id)))
        .count()
}

/// A gang waits for room in a busy pool, fails once, and waits again, while the pool's owner is
/// stopped as planned and started again.
fn gang_numbers(record: &Record, has_trouble: bool) {
    /// How long the gang waits, and until when the small jobs come.
    const BUSY_MS: u64 = 74_000;
    /// The number of workers, and of those with the label that the gang requires.
    const WORKERS: usize = 6;
    const LABELLED: usize = 2;
    /// What a member of the gang takes; three of them take most of a worker.
    const MEMBER_CPU: u64 = 5_000;
    const GANG: &str = "/renew/bbbb7a21d94b36f8";
    let platform = platform(&[]);
    let (workers, _) = Workers::start(&platform, "renewals", WORKERS, LABELLED);
    configure(
        record,
        &platform,
        3,
        &[("r-renew", "/renew/", "renewals")],
        &["renewals"],
    );
    let mut edges = start_edges(record, &platform, 3);
    let large = |cpu: u64, ms: u64| {
        json!({
            "specification": format!("cpu={cpu} ms={ms}"),
            "steps": [{
                "count": 1, "cpu": cpu, "mem-mb": 256, "estimated-ms": ms,
                "requirements": worker::LABEL,
            }],
        })
    };
    // Two members of the gang have room on the first worker, none on the second.
    submit(
        record,
        &edges,
        "/renew/aaaa7a21d94b0000",
        &large(6_000, BUSY_MS + 1_500),
    );
    submit(
        record,
        &edges,
        "/renew/aaaa7a21d94b0001",
        &large(12_000, BUSY_MS + 16_500),
    );
    let gang = json!({
        "specification": format!("cpu={MEMBER_CPU} ms=2500 gang=3 fails=1"),
        "steps": [{
            "count": 3, "cpu": MEMBER_CPU, "mem-mb": 256, "estimated-ms": 2_500, "gang": true,
            "requirements": worker::LABEL,
        }],
    });
    submit(record, &edges, GANG, &gang);
    let count = small_jobs(&edges, Duration::from_millis(BUSY_MS));
    record.line(&format!("{count} small jobs were handed in meanwhile"));
    let of_gang = || -> Vec<Logged> {
        let log = workers.log().into_iter();
        log.filter(|run| run.task.starts_with("bbbb")).collect()
    };
    wait_until("the gang has started", Duration::from_secs(20), || {
        of_gang().len() >= 3
    });
    submit(
        record,
        &edges,
        "/renew/dddd7a21d94b0000",
        &large(6_000, 9_000),
    );
    wait_until("the gang has failed once", Duration::from_secs(20), || {
        of_gang().iter().all(|run| run.ended_ms.is_some())
    });
    let traffic_end = workers.now_ms();
    sleep(Duration::from_secs(1));
    let Some(owner) = edges.iter().position(|edge| edge.owns("renewals")) else {
        cannot_run("no process owns the pool");
    };
    if has_trouble {
        record.line(&format!(
            "SIGTERM to {}, the owner of the pool",
            edges[owner].name
        ));
        edges[owner].signal("TERM");
        sleep(Duration::from_secs(7));
        edges[owner] = Edge::start(&platform, owner + 1);
        record.line(&format!("{} started again", edges[owner].name));
    }
    // finish_s after the end of the traffic jobs are asked for.
    while workers.now_ms() < traffic_end + 14_000 {
        sleep(Duration::from_millis(50));
    }
    let asked = &edges[(owner + 1) % edges.len()];
    let mut idle_since = None;
    let mut broken = Vec::new();
    let mut state = Value::Null;
    for round in 0..200 {
        if round % 20 == 0 {
            state = asked.call(record, "GET", GANG, "").1["state"].clone();
        }
        let now = workers.now_ms();
        let is_running = of_gang().iter().any(|run| run.ended_ms.is_none());
        // A worker has room for the gang once, so both with the label have it twice over.
        let has_room_twice = workers.with_room(3 * MEMBER_CPU, LABELLED) == LABELLED;
        let is_half_free = workers.used() * 2 < WORKERS as u64 * worker::CPU;
        if state == "done" || is_running || !has_room_twice || !is_half_free {
            idle_since = None;
        } else if now - *idle_since.get_or_insert(now) >= 3_000 {
            broken.push(format!(
                "{GANG} has had nothing running for 3 s until {now} ms, though there is room for it twice"
            ));
            break;
        }
        sleep(Duration::from_millis(50));
    }
    for run in of_gang() {
        record.line(&format!(
            "run {} of {} on {} from {} ms: {} at {:?}",
            run.number, run.task, run.worker, run.started_ms, run.how, run.ended_ms
        ));
    }
    record.line(&format!(
        "starts that workers rejected, by reason: {:?}",
        workers.rejected()
    ));
    asked.call(record, "GET", GANG, "");
    verdict(record, edges, "LOST", &broken)
}

/// Hands small jobs in for a time, at all processes; returns their number.
fn small_jobs(edges: &[Edge], time: Duration) -> u64 {
    const CALLERS: u64 = 4;
    /// The least pause of a caller and the least work of a subtask, and by how much both vary.
    const PAUSE_MS: u64 = 3;
    const WORK_MS: u64 = 5;
    const SPREAD_MS: u64 = 16;
    let started_at = Instant::now();
    let fronts: Vec<String> = edges.iter().map(|edge| edge.front.clone()).collect();
    let callers = (0..CALLERS).map(|caller| {
        let fronts = fronts.clone();
        std::thread::spawn(move || {
            let small = |ms: u64| {
                json!({
                    "specification": format!("cpu=200 ms={ms}"),
                    "steps": [{ "count": 3, "cpu": 200, "mem-mb": 16, "estimated-ms": ms }],
                })
            };
            let mut number = 0_u64;
            while started_at.elapsed() < time {
                let front = &fronts[number as usize % fronts.len()];
                let path = format!("/renew/cc{caller:02x}7a21{number:08x}");
                let spread = (number * 7 + caller * 5) % SPREAD_MS;
                post(front, &path, &small(WORK_MS + spread).to_string());
                number += 1;
                sleep(Duration::from_millis(PAUSE_MS + spread / 2));
            }
            number
        })
    });
    let callers: Vec<_> = callers.collect();
    callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .sum()
}

/// The last word of a worker's ended life, whose time of day was ahead, reaches the store after the
/// worker is back and its pool has a new owner.
fn ended_life(record: &Record, has_trouble: bool) {
    /// How far the time of day of the worker's machine is ahead, and until when.
    const AHEAD_MS: u64 = 2_000;
    /// The worker.
    const BACK: usize = 0;
    let platform = platform(&[]);
    let (workers, entries) = Workers::start(&platform, "renewals", 8, 2);
    let route = ("r-renew", PREFIX, "renewals");
    configure(record, &platform, 3, &[route], &["renewals"]);
    let mut edges = start_edges(record, &platform, 3);
    sleep(Duration::from_secs(1));
    let labelled = |cpu: u64, ms: u64| {
        json!({
            "specification": format!("cpu={cpu} ms={ms}"),
            "steps": [{
                "count": 1, "cpu": cpu, "mem-mb": 256, "estimated-ms": ms,
                "requirements": worker::LABEL,
            }],
        })
    };
    workers.crash(BACK);
    workers.boot(BACK, if has_trouble { AHEAD_MS } else { 0 });
    let ended = workers.entry(BACK);
    entries.write(BACK, &ended);
    record.line(&format!("{} is up with born {}", ended.id, ended.born));
    if has_trouble {
        sleep(Duration::from_millis(300));
        workers.crash(BACK);
        record.line(&format!(
            "{} crashes; its last write gets no answer",
            ended.id
        ));
        sleep(Duration::from_millis(1_000));
        workers.boot(BACK, 0);
        let entry = workers.entry(BACK);
        entries.write(BACK, &entry);
        record.line(&format!(
            "{} is up again with born {}",
            entry.id, entry.born
        ));
    }
    // The other worker with the label is full for a while.
    sleep(Duration::from_millis(300));
    submit(
        record,
        &edges,
        "/renew/aaaa7a21d94b0000",
        &labelled(16_000, 2_500),
    );
    submit(
        record,
        &edges,
        "/renew/bbbb7a21d94b0000",
        &labelled(16_000, 15_000),
    );
    let Some(owner) = edges.iter().position(|edge| edge.owns("renewals")) else {
        cannot_run("no process owns the pool");
    };
    sleep(Duration::from_millis(300));
    if has_trouble {
        record.line(&format!(
            "SIGTERM to {}, the owner of the pool",
            edges[owner].name
        ));
        edges[owner].signal("TERM");
    }
    sleep(Duration::from_millis(3_000));
    if has_trouble {
        entries.write(BACK, &ended);
        record.line(&format!(
            "the last write of {} with born {} is done",
            ended.id, ended.born
        ));
    }
    sleep(Duration::from_secs(5));
    if has_trouble {
        edges[owner] = Edge::start(&platform, owner + 1);
    }
    sleep(Duration::from_secs(8));
    let log = workers.log();
    let mut broken = Vec::new();
    for (number, second) in log.iter().enumerate() {
        record.line(&format!(
            "run {} of {} on {} from {} ms: {} at {:?}",
            second.number,
            second.task,
            second.worker,
            second.started_ms,
            second.how,
            second.ended_ms
        ));
        let earlier = log[..number]
            .iter()
            .filter(|first| first.task == second.task);
        for first in earlier.filter(|first| first.ended_ms.is_none_or(|at| at > second.started_ms))
        {
            broken.push(format!(
                "{} runs on {} and on {}",
                second.task, first.worker, second.worker
            ));
        }
    }
    verdict(record, edges, "TWICE", &broken)
}
