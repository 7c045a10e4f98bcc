//! Callers' keys: which are accepted, and what changes of the configuration do to them.

mod support;

use platform_standin::Platform;
use serde_json::{json, Value};
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
