//! What callers are told, good ones and bad ones.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::{read_answer, Running};

#[test]
fn a_whole_answer_comes_back_with_its_outcome() {
    let entry = Running::start();
    let body = vec![b'z'; 20_000];
    let answer = entry.post("/echo", "hyssop-idempotent: true\r\n", &body);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(answer.body, body);
    assert!(answer.header("hyssop-request").is_some());
    assert!(answer.header("hyssop-instance").unwrap().starts_with("i-"));
}

#[test]
fn malformed_requests_are_refused_with_a_remedy_and_run_nothing() {
    let entry = Running::start();
    let starts = entry.count("starts");
    let cases = [
        (
            "hyssop-class: soon\r\n",
            400,
            "urgent, normal or deferrable",
        ),
        ("hyssop-deadline-ms: never\r\n", 400, "whole milliseconds"),
        ("hyssop-deadline-ms: 0\r\n", 400, "whole milliseconds"),
        ("hyssop-idempotent: maybe\r\n", 400, "true or false"),
        ("hyssop-queue: none-such\r\n", 404, "no queue"),
        (
            "hyssop-queue: a\r\nhyssop-queue: b\r\n",
            400,
            "send it once",
        ),
        ("idempotency-key: \r\n", 400, "POST /v1/keys"),
    ];
    for (headers, status, remedy) in cases {
        let answer = entry.get_with("/work", headers);
        assert_eq!(answer.status, status, "{headers:?}");
        assert_eq!(answer.outcome(), "refused", "{headers:?}");
        assert!(
            answer.text().contains(remedy),
            "{headers:?}: {}",
            answer.text()
        );
    }
    let answer = entry.call("GET", "/v1/pools/none-such/work", "", b"");
    assert_eq!((answer.status, answer.outcome()), (404, "refused"));
    let answer = entry.call("GET", "/v1/pools/clerks", "", b"");
    assert_eq!((answer.status, answer.outcome()), (404, "refused"));
    let answer = entry.post("/work", "", &vec![b'x'; 70_000]);
    assert_eq!((answer.status, answer.outcome()), (413, "refused"));
    assert_eq!(entry.count("starts"), starts, "a refused request ran");
}

#[test]
fn oversized_heads_and_rubbish_get_a_clear_error() {
    let entry = Running::start();
    let long = format!("x-long: {}\r\n", "y".repeat(40_000));
    assert_eq!(entry.get_with("/work", &long).status, 431);
    let mut stream = entry.connect();
    stream.write_all(b"this is not HTTP\r\n\r\n").unwrap();
    assert_eq!(read_answer(&mut stream).status, 400);
    assert_eq!(entry.get("/work").status, 200);
}

#[test]
fn slow_and_silent_callers_are_cut_off_and_hold_no_slot() {
    let entry = Running::start();
    let mut silent = entry.connect();
    silent
        .write_all(b"GET /v1/pools/clerks/work HTTP/1.1\r\nhost: t")
        .unwrap();
    let mut half = entry.connect();
    half.write_all(
        b"POST /v1/pools/clerks/work HTTP/1.1\r\nhost: t\r\ncontent-length: 100\r\n\r\nhalf",
    )
    .unwrap();
    assert_eq!(entry.get("/work?ms=1").status, 200);
    let answer = read_answer(&mut half);
    assert_eq!((answer.status, answer.outcome()), (408, "refused"));
    let mut rest = Vec::new();
    // The connection ends, with or without a word.
    let _ = silent.read_to_end(&mut rest);
    assert_eq!(entry.count("in_progress"), 0);
}

#[test]
fn a_caller_that_leaves_midway_costs_the_others_nothing() {
    let entry = Running::start();
    for _ in 0..6 {
        let mut stream = entry.connect();
        stream
            .write_all(b"GET /v1/pools/clerks/work?ms=300 HTTP/1.1\r\nhost: t\r\n\r\n")
            .unwrap();
    }
    let answer = entry.get("/work?ms=1");
    assert_eq!((answer.status, answer.outcome()), (200, "answered"));
    entry.wait_until("every request has ended", || {
        entry.count("in_progress") == 0
    });
    assert_eq!(entry.count("over_slots"), 0);
}

#[test]
fn a_thousand_idle_connections_harm_nobody() {
    let entry = Running::start();
    let idle: Vec<TcpStream> = (0..1000).map(|_| entry.connect()).collect();
    let answer = entry.get("/work?ms=1");
    assert_eq!((answer.status, answer.outcome()), (200, "answered"));
    drop(idle);
}

#[test]
fn each_failure_of_a_backend_server_has_its_outcome() {
    let entry = Running::start();
    let post = |path: &str, headers: &str| {
        let answer = entry.post(path, headers, b"x");
        (answer.status, answer.outcome().to_owned())
    };
    assert_eq!(post("/fail", ""), (500, "answered".to_owned()));
    assert_eq!(post("/truncate", ""), (502, "unknown".to_owned()));
    let impatient = "hyssop-deadline-ms: 300\r\n";
    assert_eq!(post("/hang", impatient), (504, "unknown".to_owned()));
}

#[test]
fn instances_that_refuse_connections_end_in_not_run() {
    let entry = Running::start();
    for instance in 0..3 {
        entry.fault(instance, "refuse");
    }
    let answer = entry.post("/work", "hyssop-deadline-ms: 2000\r\n", b"x");
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert!(answer.header("retry-after").is_some());
    let request = answer.header("hyssop-request").unwrap();
    assert_eq!(entry.runs("requests", request), 0);
}

#[test]
fn a_key_runs_once_and_its_repeat_gets_the_first_answer() {
    let entry = Running::start();
    let (key, header) = entry.mint_key();
    let first = entry.post("/work?ms=1", &header, b"charge");
    assert_eq!((first.status, first.outcome()), (200, "answered"));
    let again = entry.post("/work?ms=1", &header, b"charge");
    assert_eq!((again.status, again.outcome()), (200, "repeated"));
    assert_eq!(again.body, first.body);
    let other = entry.post("/work?ms=1", &header, b"another charge");
    assert_eq!((other.status, other.outcome()), (400, "refused"));
    assert_eq!(entry.runs("keys", &key), 1);
}

#[test]
fn a_key_whose_request_may_have_run_is_never_sent_again() {
    let entry = Running::start();
    let (key, header) = entry.mint_key();
    let first = entry.post("/truncate", &header, b"charge");
    assert_eq!(first.outcome(), "unknown");
    let again = entry.post("/truncate", &header, b"charge");
    assert_eq!(again.outcome(), "unknown");
    assert_eq!(entry.runs("keys", &key), 1);
}

#[test]
fn a_running_key_is_in_progress_for_others() {
    let entry = Running::start();
    let (key, header) = entry.mint_key();
    std::thread::scope(|scope| {
        let first = scope.spawn(|| entry.post("/work?ms=1000", &header, b"charge"));
        entry.wait_until("the first one runs", || entry.runs("keys", &key) == 1);
        let second = entry.post("/work?ms=1000", &header, b"charge");
        assert_eq!((second.status, second.outcome()), (409, "in-progress"));
        assert_eq!(first.join().unwrap().outcome(), "answered");
    });
}

#[test]
fn rubbish_keys_are_refused_and_own_keys_run() {
    let entry = Running::start();
    for key in ["rubbish", "b1.zz", "6ba7b810-9dad-11d1-80b4-00c04fd430c8"] {
        let answer = entry.post("/work", &format!("idempotency-key: {key}\r\n"), b"x");
        assert_eq!((answer.status, answer.outcome()), (400, "refused"), "{key}");
    }
    // A key minted before the home had acted for the clock bound is `unknown`; a new one runs.
    entry.wait_until("a UUIDv7 runs", || {
        let key = uuid::Uuid::now_v7();
        let answer = entry.post("/work?ms=1", &format!("idempotency-key: {key}\r\n"), b"x");
        answer.outcome() == "answered"
    });
    let ahead = uuid::Uuid::new_v7(uuid::Timestamp::from_unix(
        uuid::NoContext,
        9_000_000_000,
        0,
    ));
    let answer = entry.post("/work", &format!("idempotency-key: {ahead}\r\n"), b"x");
    assert_eq!((answer.status, answer.outcome()), (400, "refused"));
    assert!(
        answer.text().contains("set your clock"),
        "{}",
        answer.text()
    );
}

#[test]
fn a_planned_stop_cuts_off_nothing() {
    let mut entry = Running::start();
    let address = entry.address.clone();
    let running = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        stream
            .write_all(b"GET /v1/pools/clerks/work?ms=1500 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n")
            .unwrap();
        read_answer(&mut stream)
    });
    entry.wait_until("it runs", || entry.count("in_progress") == 1);
    entry.begin_stop();
    entry.wait_until("it is not ready", || {
        TcpStream::connect(&entry.address).is_err()
            || entry.call("GET", "/health/ready", "", b"").status != 200
    });
    let answer = running.join().unwrap();
    assert_eq!((answer.status, answer.outcome()), (200, "answered"));
    entry.stop();
}

#[test]
fn requests_go_on_while_the_store_is_down() {
    let entry = Running::start();
    minreq::post(format!("{}/fault?kind=down&ms=3600000", entry.platform))
        .send()
        .unwrap();
    for _ in 0..20 {
        let answer = entry.get("/work?ms=1");
        assert_eq!((answer.status, answer.outcome()), (200, "answered"));
    }
    let answer = entry.call("GET", "/v1/operator/status", "", b"");
    assert_eq!(answer.status, 503);
    assert!(
        answer.text().contains("the platform is down"),
        "{}",
        answer.text()
    );
}

#[test]
fn metrics_and_events_can_be_read() {
    let entry = Running::start();
    let metrics = entry.call("GET", "/metrics", "", b"").text();
    assert!(
        metrics.contains("hyssop_requests_total{outcome=\"answered\""),
        "{metrics}"
    );
    let events = entry.call("GET", "/events?after=0", "", b"").text();
    assert!(events.contains("config-in-force"), "{events}");
    assert_eq!(entry.call("GET", "/events?after=x", "", b"").status, 400);
    assert_eq!(entry.call("GET", "/nothing", "", b"").status, 404);
}

#[test]
fn jobs_are_submitted_once_listed_and_withdrawn() {
    let entry = Running::start();
    let body = br#"{"command":"sleep:5","cpu_millis":100,"memory_mib":64,"idempotent":true}"#;
    let headers =
        "idempotency-key: reprint-7\r\nhyssop-team: archive\r\nhyssop-class: deferrable\r\n";
    let first = entry.post("/jobs", headers, body);
    assert_eq!(first.status, 202, "{}", first.text());
    assert_eq!(entry.post("/jobs", headers, body).body, first.body);
    let listed = entry.call("GET", "/v1/jobs?team=archive", "", b"");
    assert_eq!(
        listed.text().matches("reprint-7").count(),
        1,
        "{}",
        listed.text()
    );
    assert_eq!(
        entry.call("GET", "/v1/jobs?team=other", "", b"").text(),
        "[]"
    );
    let withdrawn = entry.call("DELETE", "/v1/jobs/reprint-7", "", b"");
    assert!(
        withdrawn.text().contains("\"is_cancelled\":true"),
        "{}",
        withdrawn.text()
    );
    assert_eq!(entry.call("GET", "/v1/jobs/none-such", "", b"").status, 404);
    let bad = entry.post("/jobs", "", b"rubbish");
    assert_eq!((bad.status, bad.outcome()), (400, "refused"));
}

#[test]
fn jobs_submitted_together_share_transactions() {
    let entry = Running::start();
    let body = br#"{"command":"sleep:5","cpu_millis":100,"memory_mib":64}"#;
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..60)
            .map(|_| scope.spawn(|| entry.post("/jobs", "", body).status))
            .collect();
        assert!(calls.into_iter().all(|call| call.join().unwrap() == 202));
    });
    let metrics = entry.call("GET", "/metrics", "", b"").text();
    let line = metrics
        .lines()
        .find(|line| line.starts_with("hyssop_job_batches_total "));
    let batches: u32 = line.unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    assert!(batches < 60, "each job took a transaction of its own");
}
