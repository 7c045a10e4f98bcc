//! Callers' keys: which are accepted, and what changes of the configuration do to them.

mod support;

use platform_standin::{Access, Platform};
use serde_json::{json, Value};
use std::time::{Duration, Instant};
use support::caller::{Connection, Outcome};
use support::{configuration, job, platform, wait_until, Edge};

const FIRST: &str = "/a/5c0e7a21d94b36f8";
const SECOND: &str = "/a/5c0e7a21d94b36f9";
/// A job on the route that allows anonymous calls.
const OPEN: &str = "/b/5c0e7a21d94b36f7";
const CONTRACTS: &str = "contracts = [\"tenants\"]";
const STRICT: &str = "strict-revocation = true\nrevocation-ms = 5000";

/// Returns an account with these keys.
fn account(name: &str, keys: &[&str]) -> Value {
    json!({ "name": name, "api-keys": keys, "weight": 5.0 })
}

/// Writes a configuration with accounts, in which only the route `/b/` allows anonymous calls.
fn configure(platform: &Platform, version: u64, accounts: &[Value]) {
    let mut value = configuration(version, &[("/a/", "alpha"), ("/b/", "beta")]);
    value["routes"][1]["allow-anonymous"] = json!(true);
    value["tenants"] = json!(accounts);
    platform.write_operator_row("config", &value);
}

fn start(platform: &Platform, name: &str) -> Edge {
    Edge::start_as(platform, name, CONTRACTS, STRICT)
}

fn short_job() -> String {
    job(1, 1, 50).to_string()
}

/// Waits until a call with a key gets this status.
fn wait_for(edge: &Edge, key: &str, path: &str, status: i32) {
    let body = short_job();
    wait_until(&format!("{path} with {key} gets {status}"), || {
        edge.call_with_key(key, "POST", path, &body).0 == status
    });
}

/// Without the check, anybody could run jobs, see them and cancel them.
#[test]
fn every_operation_requires_valid_key() {
    let platform = platform();
    configure(&platform, 2, &[account("one", &["key-1"])]);
    let edge = start(&platform, "e1");
    wait_for(&edge, "key-1", FIRST, 200);
    for (method, path) in [
        ("POST", SECOND),
        ("GET", FIRST),
        ("GET", "/a/"),
        ("DELETE", FIRST),
    ] {
        let body = if method == "POST" {
            short_job()
        } else {
            String::new()
        };
        let (status, _) = edge.call(method, path, &body);
        assert_eq!(status, 401, "{method} {path} without a key");
        let (status, _) = edge.call_with_key("key-2", method, path, &body);
        assert_eq!(status, 401, "{method} {path} with an unknown key");
        let (status, _) = edge.call_with_key("key-1", method, path, &body);
        assert_eq!(status, 200, "{method} {path} with a key");
    }
    let large = "x".repeat(60_000);
    assert_eq!(edge.call("POST", SECOND, &large).0, 401, "before the body");
    assert_eq!(edge.call("GET", "/none/", "").0, 404, "an unknown route");
    assert_eq!(edge.call("POST", OPEN, &short_job()).0, 200);
    let (status, _) = edge.call_with_key("key-2", "POST", OPEN, &short_job());
    assert_eq!(status, 401, "an unknown key where none is needed");
}

/// Calls with a key until the status is `status`, and asserts that no call before got 200.
fn wait_without_success(edge: &Edge, key: &str, path: &str, status: i32) {
    let body = short_job();
    wait_until(&format!("{path} with {key} gets {status}"), || {
        let (answered, has_retry_after) = edge.call_for_retry(key, path, &body);
        assert_ne!(answered, 200, "{path} with {key} was accepted");
        assert_eq!(has_retry_after, answered == 503, "{answered}");
        answered == status
    });
}

/// A front without the store would go on to accept a withdrawn key.
#[test]
fn front_cut_off_from_store_refuses_keys_and_serves_anonymous_calls() {
    let platform = platform();
    configure(&platform, 2, &[account("one", &["key-1", "key-2"])]);
    let owner = start(&platform, "e1");
    wait_for(&owner, "key-1", FIRST, 200);
    owner.submit_until_accepted(OPEN, &job(1, 1, 50));
    let front = start(&platform, "e2");
    wait_for(&front, "key-1", SECOND, 200);
    wait_until("the front is ready", || front.probe() == 200);

    platform.set_access("e2", Access::Silent);
    wait_until("the front refuses the key", || {
        front.call_for_retry("key-1", FIRST, &short_job()) == (503, true)
    });
    assert_eq!(front.probe(), 503, "new callers go elsewhere");
    configure(&platform, 3, &[account("one", &["key-2"])]);
    for key in ["key-1", "key-2", "key-3"] {
        assert_eq!(
            front.call_for_retry(key, FIRST, &short_job()),
            (503, true),
            "{key} may be valid or not"
        );
    }
    assert_eq!(front.call("GET", FIRST, "").0, 401, "a key is required");
    wait_until("a call without a key is served", || {
        front.call("GET", OPEN, "").0 == 200
    });
    wait_for(&owner, "key-1", SECOND, 401);

    assert!(front.has_logged("event=configuration-trust trusted=false cause=age version=2"));

    platform.set_access("e2", Access::Open);
    wait_without_success(&front, "key-1", FIRST, 401);
    assert!(front.has_logged("event=configuration-trust trusted=true version=3"));
    wait_for(&front, "key-2", FIRST, 200);
    wait_until("the front is ready", || front.probe() == 200);
}

/// Longer than the time after which a withdrawn key must not work.
const FROZEN: Duration = Duration::from_secs(6);

/// Freezes the second of two processes while its key is withdrawn, and returns what a request gets that
/// was sent after the withdrawal and waits when the process wakes.
fn call_frozen(platform: &Platform, front: &Edge, is_cut_off: bool) -> Outcome {
    front.signal("STOP");
    if is_cut_off {
        // The answers that wait for the front tell of nothing either.
        platform.set_access("e2", Access::Silent);
    }
    configure(platform, 3, &[account("one", &["key-2"])]);
    std::thread::sleep(FROZEN);
    let mut caller = Connection::open(&front.front).expect("a connection");
    assert!(caller.send_with_key("key-1", "POST", SECOND, &short_job()));
    front.signal("CONT");
    caller.read_answer()
}

/// A request that waited in a frozen process was decided by the configuration of before the freeze.
#[test]
fn frozen_front_refuses_withdrawn_key_when_it_wakes() {
    for is_cut_off in [true, false] {
        let platform = platform();
        configure(&platform, 2, &[account("one", &["key-1", "key-2"])]);
        let owner = start(&platform, "e1");
        wait_for(&owner, "key-1", FIRST, 200);
        let front = start(&platform, "e2");
        wait_until("the job is done", || {
            front.call_with_key("key-1", "GET", FIRST, "").1["state"] == "done"
        });
        let started = platform.started_tasks().len();

        let outcome = call_frozen(&platform, &front, is_cut_off);
        // The answer of the store that waits may be read before the request.
        let is_refused = outcome.has_status(503) || (!is_cut_off && outcome.has_status(401));
        assert!(is_refused, "decided by the age on waking: {outcome:?}");

        platform.set_access("e2", Access::Open);
        wait_without_success(&front, "key-1", SECOND, 401);
        wait_for(&front, "key-2", FIRST, 200);
        assert_eq!(platform.started_tasks().len(), started, "it has not run");
    }
}

/// A newer configuration that can't be read may withdraw any key.
#[test]
fn unreadable_configuration_ends_trust_in_keys_until_next_one() {
    let platform = platform();
    let accounts = [account("one", &["key-1"])];
    configure(&platform, 2, &accounts);
    let edge = start(&platform, "e1");
    wait_for(&edge, "key-1", FIRST, 200);
    platform.write_own_row("op", "", "config", b"[[[");
    wait_until("the key is refused", || {
        edge.call_for_retry("key-1", FIRST, &short_job()) == (503, true)
    });
    assert_eq!(edge.probe(), 503, "new callers go elsewhere");
    configure(&platform, 3, &accounts);
    wait_for(&edge, "key-1", FIRST, 200);
}

/// Another account could follow and cancel a job whose identifier it knows, also after a failover.
#[test]
fn job_is_hidden_from_other_accounts_after_failover_too() {
    let platform = platform();
    let accounts = [
        account("one", &["key-1", "key-2"]),
        account("two", &["key-3"]),
    ];
    configure(&platform, 2, &accounts);
    let mut owner = start(&platform, "e1");
    wait_for(&owner, "key-1", FIRST, 200);
    let long = job(1, 1, 600_000).to_string();
    assert_eq!(owner.call_with_key("key-1", "POST", SECOND, &long).0, 200);
    assert_eq!(owner.call("POST", OPEN, &short_job()).0, 200);
    wait_until("the job is done", || {
        owner.call_with_key("key-2", "GET", FIRST, "").1["state"] == "done"
    });
    let front = start(&platform, "e2");
    wait_for(&front, "key-1", FIRST, 200);
    owner.kill();
    for path in [FIRST, SECOND] {
        // Another key of the account.
        wait_until("the job has an owner", || {
            front.call_with_key("key-2", "GET", path, "").0 == 200
        });
        for method in ["GET", "DELETE"] {
            assert_eq!(front.call_with_key("key-3", method, path, "").0, 410);
        }
        let (status, _) = front.call_with_key("key-3", "POST", path, &long);
        assert_eq!(status, 503, "the identifier is in use");
    }
    wait_until("a job without an account has an owner", || {
        front.call("GET", OPEN, "").0 == 200
    });
    assert_eq!(front.call_with_key("key-3", "GET", OPEN, "").0, 200);
    let hidden = "hyssop_denied_requests_total{reason=\"other-account\"}";
    // An owner without a recent confirmation is asked again.
    let count = front.metric(hidden).unwrap_or_default();
    assert!(count >= 4.0, "two calls for each job, {count} in all");
    // A job goes on after its key was withdrawn, and other keys of its account may cancel it.
    configure(
        &platform,
        3,
        &[account("one", &["key-2"]), account("two", &["key-3"])],
    );
    wait_for(&front, "key-1", SECOND, 401);
    let (_, running) = front.call_with_key("key-2", "GET", SECOND, "");
    assert_eq!(running["state"], "running");
    wait_until("the cancellation is stored", || {
        front.call_with_key("key-2", "DELETE", SECOND, "").0 == 200
    });
    assert!(platform.overlapping_tasks().is_empty());
}

/// An account without keys stays: its jobs go on, and a new key gives access to them.
#[test]
fn last_key_of_account_is_removed_and_restored() {
    let platform = platform();
    configure(&platform, 2, &[account("one", &["key-1"])]);
    let edges = ["e1", "e2"].map(|name| start(&platform, name));
    wait_for(&edges[0], "key-1", FIRST, 200);
    configure(&platform, 3, &[account("one", &[])]);
    for edge in &edges {
        wait_for(edge, "key-1", FIRST, 401);
    }
    configure(&platform, 4, &[account("one", &["key-1"])]);
    for edge in &edges {
        wait_for(edge, "key-1", FIRST, 200);
        assert_eq!(edge.call_with_key("key-1", "GET", FIRST, "").0, 200);
    }
}

#[test]
fn added_key_works_beside_others() {
    let platform = platform();
    configure(&platform, 2, &[account("one", &["key-1"])]);
    let edge = start(&platform, "e1");
    wait_for(&edge, "key-1", FIRST, 200);
    assert_eq!(edge.call_with_key("key-2", "GET", FIRST, "").0, 401);
    assert_eq!(edge.call_with_key("key-3", "GET", FIRST, "").0, 401);
    configure(
        &platform,
        3,
        &[
            account("one", &["key-1", "key-2"]),
            account("two", &["key-3"]),
        ],
    );
    wait_for(&edge, "key-2", FIRST, 200);
    wait_for(&edge, "key-3", SECOND, 200);
    assert_eq!(edge.call_with_key("key-1", "GET", FIRST, "").0, 200);
}

/// A process that starts while the store is slow to answer must not serve by an older configuration.
#[test]
fn process_restarted_right_after_change_accepts_no_withdrawn_key() {
    let platform = platform();
    configure(&platform, 2, &[account("one", &["key-1", "key-2"])]);
    let other = start(&platform, "e1");
    let mut edge = start(&platform, "e2");
    wait_for(&edge, "key-1", FIRST, 200);
    configure(&platform, 3, &[account("one", &["key-2"])]);
    edge.kill();
    let edge = start(&platform, "e2");
    wait_without_success(&edge, "key-1", SECOND, 401);
    wait_for(&edge, "key-2", SECOND, 200);
    wait_for(&other, "key-1", SECOND, 401);
}

/// Nobody found out why callers got 401, and keys in a log let its readers call as the account.
#[test]
fn denials_are_logged_with_digests_and_counted() {
    const CALLS: usize = 40;
    let platform = platform();
    let accounts = [
        account("one", &["key-1"]),
        account("two", &["key-2"]),
        account("three", &["key-2"]),
    ];
    configure(&platform, 2, &accounts);
    let edge = start(&platform, "e1");
    wait_for(&edge, "key-1", FIRST, 200);
    for reason in ["unknown-key", "missing-key"] {
        let metric = format!("hyssop_denied_requests_total{{reason=\"{reason}\"}}");
        let before = edge.metric(&metric).unwrap_or_default();
        let is_line = |line: &String| {
            line.contains("event=request-denied") && line.contains(&format!("reason={reason} "))
        };
        let lines_before = edge.lines(is_line).len();
        let started_at = Instant::now();
        for _ in 0..CALLS {
            let (status, _) = match reason {
                "unknown-key" => edge.call_with_key("key-2", "GET", FIRST, ""),
                _ => edge.call("GET", FIRST, ""),
            };
            assert_eq!(status, 401);
        }
        // One line in each second, the first and the last of them begun.
        let max_lines = started_at.elapsed().as_secs() as usize + 2;
        assert_eq!(edge.metric(&metric), Some(before + CALLS as f64));
        let lines = edge.lines(is_line).len() - lines_before;
        assert!(lines <= max_lines, "{lines} lines");
    }
    for text in [
        "event=account-left-out account=\"two\" reason=shared-key version=2 left_out=2",
        "event=account-left-out account=\"three\" reason=shared-key version=2 left_out=2",
        // The start of the SHA-256 digest of the presented key.
        "reason=unknown-key host=\"127.0.0.1\" queue=ra key=7c36b0a9 ",
        "reason=missing-key host=\"127.0.0.1\" queue=ra key=none ",
    ] {
        assert!(edge.has_logged(text), "{text}");
    }
    for key in ["key-1", "key-2"] {
        assert!(!edge.has_logged(key), "{key} is in the log");
    }
}
