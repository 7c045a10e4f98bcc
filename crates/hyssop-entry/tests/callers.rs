//! Responses of an entry to valid, invalid and abusive callers.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::{read_response, TestEntry};

#[test]
fn returns_complete_response_with_outcome() {
    let entry = TestEntry::start();
    let body = vec![b'z'; 20_000];
    let response = entry.post("/echo", "hyssop-idempotent: true\r\n", &body);
    assert_eq!(response.status, 200);
    assert_eq!(response.outcome(), "answered");
    assert_eq!(response.body, body);
    assert!(response.header("hyssop-request").is_some());
    assert!(response
        .header("hyssop-instance")
        .unwrap()
        .starts_with("i-"));
}

#[test]
fn rejects_malformed_requests_without_running_them() {
    let entry = TestEntry::start();
    let starts = entry.sum_of("starts");
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
        let response = entry.get_with("/work", headers);
        assert_eq!(response.status, status, "{headers:?}");
        assert_eq!(response.outcome(), "refused", "{headers:?}");
        assert!(
            response.text().contains(remedy),
            "{headers:?}: {}",
            response.text()
        );
    }
    let response = entry.call("GET", "/v1/pools/none-such/work", "", b"");
    assert_eq!((response.status, response.outcome()), (404, "refused"));
    let response = entry.call("GET", "/v1/pools/clerks", "", b"");
    assert_eq!((response.status, response.outcome()), (404, "refused"));
    let response = entry.post("/work", "", &vec![b'x'; 70_000]);
    assert_eq!((response.status, response.outcome()), (413, "refused"));
    assert_eq!(entry.sum_of("starts"), starts, "a rejected request ran");
}

#[test]
fn rejects_oversized_heads_and_invalid_http() {
    let entry = TestEntry::start();
    let long = format!("x-long: {}\r\n", "y".repeat(40_000));
    assert_eq!(entry.get_with("/work", &long).status, 431);
    let mut stream = entry.connect();
    stream.write_all(b"this is not HTTP\r\n\r\n").unwrap();
    assert_eq!(read_response(&mut stream).status, 400);
    assert_eq!(entry.get("/work").status, 200);
}

#[test]
fn slow_callers_are_disconnected_and_use_no_slot() {
    let entry = TestEntry::start();
    let mut silent = entry.connect();
    silent
        .write_all(b"GET /v1/pools/clerks/work HTTP/1.1\r\nhost: t")
        .unwrap();
    let mut incomplete = entry.connect();
    incomplete
        .write_all(
            b"POST /v1/pools/clerks/work HTTP/1.1\r\nhost: t\r\ncontent-length: 100\r\n\r\nhalf",
        )
        .unwrap();
    assert_eq!(entry.get("/work?ms=1").status, 200);
    let response = read_response(&mut incomplete);
    assert_eq!((response.status, response.outcome()), (408, "refused"));
    let mut remaining = Vec::new();
    // The entry closes the connection, with or without a response.
    let _ = silent.read_to_end(&mut remaining);
    assert_eq!(entry.sum_of("in_progress"), 0);
}

#[test]
fn disconnected_callers_do_not_affect_others() {
    let entry = TestEntry::start();
    for _ in 0..6 {
        let mut stream = entry.connect();
        stream
            .write_all(b"GET /v1/pools/clerks/work?ms=300 HTTP/1.1\r\nhost: t\r\n\r\n")
            .unwrap();
    }
    let response = entry.get("/work?ms=1");
    assert_eq!((response.status, response.outcome()), (200, "answered"));
    entry.wait_until("every request has ended", || {
        entry.sum_of("in_progress") == 0
    });
    assert_eq!(entry.sum_of("over_slots"), 0);
}

#[test]
fn serves_requests_despite_thousand_idle_connections() {
    let entry = TestEntry::start();
    let idle: Vec<TcpStream> = (0..1000).map(|_| entry.connect()).collect();
    let response = entry.get("/work?ms=1");
    assert_eq!((response.status, response.outcome()), (200, "answered"));
    drop(idle);
}

#[test]
fn maps_backend_failures_to_outcomes() {
    let entry = TestEntry::start();
    let post = |path: &str, headers: &str| {
        let response = entry.post(path, headers, b"x");
        (response.status, response.outcome().to_owned())
    };
    assert_eq!(post("/fail", ""), (500, "answered".to_owned()));
    assert_eq!(post("/truncate", ""), (502, "unknown".to_owned()));
    let short_deadline = "hyssop-deadline-ms: 300\r\n";
    assert_eq!(post("/hang", short_deadline), (504, "unknown".to_owned()));
}

#[test]
fn refused_backend_connections_yield_not_run() {
    let entry = TestEntry::start();
    for instance in 0..3 {
        entry.inject_fault(instance, "refuse");
    }
    let response = entry.post("/work", "hyssop-deadline-ms: 2000\r\n", b"x");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(response.header("retry-after").is_some());
    let request = response.header("hyssop-request").unwrap();
    assert_eq!(entry.starts_of("requests", request), 0);
}

#[test]
fn retry_with_same_key_returns_first_response() {
    let entry = TestEntry::start();
    let (key, header) = entry.mint_key();
    let first = entry.post("/work?ms=1", &header, b"charge");
    assert_eq!((first.status, first.outcome()), (200, "answered"));
    let retry = entry.post("/work?ms=1", &header, b"charge");
    assert_eq!((retry.status, retry.outcome()), (200, "repeated"));
    assert_eq!(retry.body, first.body);
    let other = entry.post("/work?ms=1", &header, b"another charge");
    assert_eq!((other.status, other.outcome()), (400, "refused"));
    assert_eq!(entry.starts_of("keys", &key), 1);
}

#[test]
fn key_with_unknown_outcome_is_not_sent_again() {
    let entry = TestEntry::start();
    let (key, header) = entry.mint_key();
    let first = entry.post("/truncate", &header, b"charge");
    assert_eq!(first.outcome(), "unknown");
    let retry = entry.post("/truncate", &header, b"charge");
    assert_eq!(retry.outcome(), "unknown");
    assert_eq!(entry.starts_of("keys", &key), 1);
}

#[test]
fn concurrent_request_with_same_key_is_in_progress() {
    let entry = TestEntry::start();
    let (key, header) = entry.mint_key();
    std::thread::scope(|scope| {
        let first = scope.spawn(|| entry.post("/work?ms=1000", &header, b"charge"));
        entry.wait_until("the key is in use", || entry.starts_of("keys", &key) == 1);
        let second = entry.post("/work?ms=1000", &header, b"charge");
        assert_eq!((second.status, second.outcome()), (409, "in-progress"));
        assert_eq!(first.join().unwrap().outcome(), "answered");
    });
}

#[test]
fn rejects_invalid_keys_and_accepts_uuid_v7_keys() {
    let entry = TestEntry::start();
    for key in ["rubbish", "b1.zz", "6ba7b810-9dad-11d1-80b4-00c04fd430c8"] {
        let response = entry.post("/work", &format!("idempotency-key: {key}\r\n"), b"x");
        assert_eq!(
            (response.status, response.outcome()),
            (400, "refused"),
            "{key}"
        );
    }
    // The outcome is `unknown` for a key minted before its home has served for the maximum clock
    // skew, so new keys are tried until one runs.
    entry.wait_until("a request with a UUIDv7 key runs", || {
        let key = uuid::Uuid::now_v7();
        let response = entry.post("/work?ms=1", &format!("idempotency-key: {key}\r\n"), b"x");
        response.outcome() == "answered"
    });
    let ahead = uuid::Uuid::new_v7(uuid::Timestamp::from_unix(
        uuid::NoContext,
        9_000_000_000,
        0,
    ));
    let response = entry.post("/work", &format!("idempotency-key: {ahead}\r\n"), b"x");
    assert_eq!((response.status, response.outcome()), (400, "refused"));
    assert!(
        response.text().contains("set your clock"),
        "{}",
        response.text()
    );
}

#[test]
fn graceful_stop_completes_running_requests() {
    let mut entry = TestEntry::start();
    let address = entry.address.clone();
    let running = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        stream
            .write_all(b"GET /v1/pools/clerks/work?ms=1500 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n")
            .unwrap();
        read_response(&mut stream)
    });
    entry.wait_until("the request runs", || entry.sum_of("in_progress") == 1);
    entry.begin_stop();
    entry.wait_until("the entry is not ready", || {
        TcpStream::connect(&entry.address).is_err()
            || entry.call("GET", "/health/ready", "", b"").status != 200
    });
    let response = running.join().unwrap();
    assert_eq!((response.status, response.outcome()), (200, "answered"));
    entry.stop();
}

#[test]
fn serves_requests_while_store_is_down() {
    let entry = TestEntry::start();
    minreq::post(format!("{}/fault?kind=down&ms=3600000", entry.platform))
        .send()
        .unwrap();
    for _ in 0..20 {
        let response = entry.get("/work?ms=1");
        assert_eq!((response.status, response.outcome()), (200, "answered"));
    }
    let response = entry.call("GET", "/v1/operator/status", "", b"");
    assert_eq!(response.status, 503);
    assert!(
        response.text().contains("the platform is down"),
        "{}",
        response.text()
    );
}

#[test]
fn exposes_metrics_and_events() {
    let entry = TestEntry::start();
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
fn submits_lists_and_cancels_job_once() {
    let entry = TestEntry::start();
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
    let cancelled = entry.call("DELETE", "/v1/jobs/reprint-7", "", b"");
    assert!(
        cancelled.text().contains("\"is_cancelled\":true"),
        "{}",
        cancelled.text()
    );
    assert_eq!(entry.call("GET", "/v1/jobs/none-such", "", b"").status, 404);
    let invalid = entry.post("/jobs", "", b"rubbish");
    assert_eq!((invalid.status, invalid.outcome()), (400, "refused"));
}

#[test]
fn concurrent_job_submissions_share_transactions() {
    let entry = TestEntry::start();
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
    assert!(
        batches < 60,
        "every job was committed in a transaction of its own"
    );
}
