//! Crowds of callers that exceed the limits: the process keeps within its memory and descriptors, lives
//! on, and serves an ordinary request afterwards.

mod support;

use platform_standin::Platform;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use support::caller::{Connection, Outcome};
use support::crowd::{descriptors, memory_kib, send, Form, Peak};
use support::{configure_body_limit, job, platform, wait_until, Edge, HOST};

/// The connections of a crowd: more than the process may have open, and with their heads or bodies
/// more than its memory.
const CROWD: usize = 500;
/// The limits in the process's settings. A process of the debug build holds some 9 MB when idle. What
/// the crowd sends is 500 x 64 KiB = 32.8 MB or more, so that a process that keeps all of it exceeds
/// the bound, as one that accepts all connections exceeds the descriptors.
const MEMORY_MB: usize = 40;
const DESCRIPTORS: usize = 400;
/// `max-body-bytes` in the configuration.
const BODY_BYTES: usize = 65_536;
/// Far over the limit of heads, 16,384 bytes, and under what the library once kept, 409,600 bytes.
const ENDLESS_BYTES: usize = 380_000;
const FIRST: &str = "/a/00000000000000f1";

/// Crowds are measured one at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn start(platform: &Platform) -> Edge {
    let limits = format!("[limits]\nmemory-mb = {MEMORY_MB}\nfile-descriptors = {DESCRIPTORS}");
    let edge = Edge::start_with(platform, "e1", &limits);
    edge.submit_until_accepted(FIRST, &job(1, 1, 10));
    edge
}

/// Asserts that a process under a crowd keeps within its limits and serves an ordinary request after it.
fn assert_survives(address: fn(&Edge) -> &str, form: &Form) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let edge = start(&platform);
    let idle = (memory_kib(&edge), descriptors(&edge));
    let peak = send(&edge, address(&edge), CROWD, form);
    println!("idle (KiB, descriptors) {idle:?}, crowd {peak:?}");
    assert_within(peak);
    wait_until("an ordinary request is served", || {
        edge.state(FIRST) == "done"
    });
    edge.submit_until_accepted("/a/00000000000000f2", &job(1, 1, 10));
    wait_until("the descriptors are free again", || {
        descriptors(&edge) < idle.1 + CROWD / 10
    });
}

fn assert_within(peak: Peak) {
    assert!(
        peak.memory_kib <= MEMORY_MB * 1_000_000 / 1_024 && peak.descriptors <= DESCRIPTORS,
        "{peak:?}, allowed {MEMORY_MB} MB and {DESCRIPTORS} descriptors"
    );
}

fn front(edge: &Edge) -> &str {
    &edge.front
}

fn whole(bytes: Vec<u8>) -> Form {
    Form {
        bytes,
        ..Form::default()
    }
}

fn head(method: &str, fields: &str) -> Vec<u8> {
    format!("{method} /a/00000000000000e1 HTTP/1.1\r\nHost: {HOST}\r\n{fields}").into_bytes()
}

/// Returns a request whose body lacks its last byte.
fn partial_body() -> Vec<u8> {
    let mut bytes = head("POST", &format!("Content-Length: {BODY_BYTES}\r\n\r\n"));
    bytes.extend(vec![b' '; BODY_BYTES - 1]);
    bytes
}

/// Returns a request with chunks of `size` bytes whose last chunk is missing.
fn chunked(size: usize, total: usize) -> Vec<u8> {
    let mut bytes = head("POST", "Transfer-Encoding: chunked\r\n\r\n");
    let chunk = [format!("{size:x}\r\n").into_bytes(), vec![b' '; size]].concat();
    for _ in 0..total / size {
        bytes.extend_from_slice(&chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn endless_head() -> Vec<u8> {
    let mut bytes = head("GET", "X-Filler: ");
    bytes.extend(vec![b'a'; ENDLESS_BYTES]);
    bytes
}

/// 1,500 heads without an end took 571 MB.
#[test]
fn heads_without_end_do_not_exhaust_memory() {
    assert_survives(front, &whole(endless_head()));
}

#[test]
fn heads_over_the_limit_do_not_exhaust_memory() {
    let mut bytes = head("GET", "X-Filler: ");
    bytes.extend(vec![b'a'; 200_000]);
    bytes.extend_from_slice(b"\r\n\r\n");
    assert_survives(front, &whole(bytes));
}

/// 1,500 connections with 300 KB of empty lines took 460 MB.
#[test]
fn empty_lines_before_a_request_do_not_exhaust_memory() {
    assert_survives(front, &whole(b"\r\n".repeat(150_000)));
}

/// 1,500 bodies of 64 KiB short of one byte took 126 MB.
#[test]
fn whole_bodies_that_do_not_end_do_not_exhaust_memory() {
    assert_survives(front, &whole(partial_body()));
}

#[test]
fn bodies_in_pieces_that_do_not_end_do_not_exhaust_memory() {
    let form = Form {
        bytes: partial_body(),
        piece: 2_048,
        ..Form::default()
    };
    assert_survives(front, &form);
}

#[test]
fn large_chunks_that_do_not_end_do_not_exhaust_memory() {
    assert_survives(front, &whole(chunked(8_192, BODY_BYTES - 8_192)));
}

/// 1,500 bodies of one-byte chunks took 142 MB, and their descriptors were open 2 s after.
#[test]
fn one_byte_chunks_that_do_not_end_do_not_exhaust_memory() {
    assert_survives(front, &whole(chunked(1, BODY_BYTES - 1)));
}

#[test]
fn chunk_extensions_without_end_do_not_exhaust_memory() {
    let mut bytes = head("POST", "Transfer-Encoding: chunked\r\n\r\n1;");
    bytes.extend(vec![b'a'; ENDLESS_BYTES]);
    assert_survives(front, &whole(bytes));
}

#[test]
fn trailers_without_end_do_not_exhaust_memory() {
    let mut bytes = head("POST", "Transfer-Encoding: chunked\r\n\r\n0\r\n");
    bytes.extend(b"X-Filler: a\r\n".repeat(ENDLESS_BYTES / 13));
    assert_survives(front, &whole(bytes));
}

#[test]
fn pipelined_requests_without_a_reader_do_not_exhaust_memory() {
    assert_survives(front, &whole(head("GET", "\r\n").repeat(4_000)));
}

#[test]
fn bodies_that_never_follow_their_head_do_not_exhaust_descriptors() {
    let fields = format!("Content-Length: {BODY_BYTES}\r\nExpect: 100-continue\r\n\r\n");
    assert_survives(front, &whole(head("POST", &fields)));
}

#[test]
fn silent_connections_do_not_exhaust_descriptors() {
    assert_survives(front, &Form::default());
}

#[test]
fn connections_that_are_opened_again_do_not_exhaust_memory() {
    let form = Form {
        bytes: partial_body(),
        reopenings: 3,
        ..Form::default()
    };
    assert_survives(front, &form);
}

#[test]
fn silent_probes_do_not_exhaust_descriptors() {
    assert_survives(|edge| &edge.ready, &Form::default());
}

#[test]
fn heads_of_probes_without_end_do_not_exhaust_memory() {
    assert_survives(|edge| &edge.ready, &whole(endless_head()));
}

#[test]
fn metrics_without_a_reader_do_not_exhaust_memory() {
    let request = format!("GET /metrics HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    assert_survives(|edge| &edge.ready, &whole(request.repeat(500).into_bytes()));
}

#[test]
fn silent_peers_do_not_exhaust_descriptors() {
    assert_survives(|edge| &edge.peers, &Form::default());
}

#[test]
fn heads_of_peers_without_end_do_not_exhaust_memory() {
    assert_survives(|edge| &edge.peers, &whole(endless_head()));
}

/// Returns the bytes of a peer's handshake.
fn handshake() -> Vec<u8> {
    let fields = "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
                  Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    format!("GET / HTTP/1.1\r\nHost: {HOST}\r\n{fields}").into_bytes()
}

/// A frame of a peer may have 2 MiB, and each connection kept its part of one.
#[test]
fn frames_of_peers_that_do_not_end_do_not_exhaust_memory() {
    let mut bytes = handshake();
    let opening = bytes.len();
    // A masked binary frame that announces 2,000,000 bytes.
    bytes.extend_from_slice(&[0x82, 0xff, 0, 0, 0, 0, 0, 0x1e, 0x84, 0x80, 0, 0, 0, 0]);
    bytes.extend(vec![0; ENDLESS_BYTES]);
    let form = Form {
        bytes,
        opening,
        ..Form::default()
    };
    assert_survives(|edge| &edge.peers, &form);
}

/// A peer that asks for heartbeats and takes none: each answer was kept.
#[test]
fn answers_to_peers_that_take_none_do_not_exhaust_memory() {
    // {"version": 0, "body": "Ping"} in a masked binary frame.
    let ping = b"\xa2\x67version\x00\x64body\x64Ping";
    let frame = [&[0x82, 0x80 | ping.len() as u8, 0, 0, 0, 0], &ping[..]].concat();
    let mut bytes = handshake();
    let opening = bytes.len();
    bytes.extend(frame.repeat(100_000));
    let form = Form {
        bytes,
        opening,
        ..Form::default()
    };
    assert_survives(|edge| &edge.peers, &form);
}

/// Parsing one-byte chunks takes the thread that also renews the owner's term.
#[test]
fn owner_under_one_byte_chunks_keeps_its_term() {
    const TERM: &str = "hyssop_owner_term{part=\"alpha\"}";
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let owner = start(&platform);
    wait_until("the process owns the pool", || owner.metric(TERM).is_some());
    let term = owner.metric(TERM);
    let standby = Edge::start(&platform, "e2");
    let mut bytes = chunked(1, BODY_BYTES - 1);
    bytes.extend_from_slice(b"0\r\n\r\n");
    let form = Form {
        bytes,
        reopenings: 2,
        ..Form::default()
    };
    let peak = send(&owner, &owner.front, CROWD, &form);
    println!("crowd {peak:?}");
    assert_within(peak);
    wait_until("the metrics are served", || owner.metric(TERM).is_some());
    assert_eq!(owner.metric(TERM), term);
    wait_until("the standby serves", || standby.state(FIRST) == "done");
    assert_eq!(standby.metric(TERM), None);
}

/// A body without a permit was read nevertheless.
#[test]
fn request_without_a_permit_for_its_body_is_refused_and_does_not_run() {
    /// A quarter of 1 MB is for bodies, and three quarters of that for large ones: 187,500 bytes.
    const LIMITS: &str = "[limits]\nmemory-mb = 1";
    const LARGE: usize = 200_000;
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    configure_body_limit(&platform, 2, 262_144);
    let edge = Edge::start_with(&platform, "e1", LIMITS);
    edge.submit_until_accepted(FIRST, &job(1, 1, 10));
    let mut body = job(1, 1, 10).to_string();
    body.extend(std::iter::repeat_n(' ', LARGE - body.len()));
    let mut connection = Connection::open(&edge.front).expect("a connection");
    connection.send_part("POST", "/a/00000000000000f3", &body, 0);
    let refusal = Outcome::Answered {
        status: 503,
        has_retry_after: true,
    };
    assert_eq!(connection.read_answer(), refusal);
    assert_eq!(edge.call("GET", "/a/00000000000000f3", "").0, 410);
    edge.submit_until_accepted("/a/00000000000000f2", &job(1, 1, 10));
}

/// The status says which limit a request has exceeded.
#[test]
fn requests_beyond_a_limit_are_refused_with_its_status() {
    /// `max-header-bytes` if the configuration names none.
    const HEADER_BYTES: usize = 16_384;
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let edge = start(&platform);
    let with_length = |bytes: usize| {
        let mut head = head("GET", "X-Filler: ");
        head.resize(bytes - 4, b'a');
        head.extend_from_slice(b"\r\n\r\n");
        head
    };
    let body = |length: usize| head("POST", &format!("Content-Length: {length}\r\n\r\n "));
    let requests = [
        (with_length(HEADER_BYTES), 410),
        (with_length(HEADER_BYTES + 1), 431),
        (body(BODY_BYTES + 1), 413),
        (body(2), 408),
        (head("POST", "Transfer-Encoding: chunked\r\n\r\nx\r\n"), 400),
    ];
    for (bytes, status) in requests {
        let mut stream = TcpStream::connect(&edge.front).expect("a connection");
        stream.write_all(&bytes).expect("the connection is open");
        let answer = Connection::of(stream).read_answer();
        assert!(answer.has_status(status), "{answer:?}, wanted {status}");
    }
}

/// Bytes that are no requests, or parts of some, left permits behind.
#[test]
fn connections_with_any_bytes_give_back_all_permits() {
    const CONNECTIONS: usize = 200;
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let edge = start(&platform);
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let body = job(1, 1, 10).to_string();
    let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
    let parts = [
        head("POST", &length),
        head("GET", "\r\n"),
        head("POST", "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n"),
        chunked(1, 300),
        b"0\r\nX: y\r\n\r\n".to_vec(),
        b"\r\n\r\n".to_vec(),
        handshake(),
        b"7;ext=1\r\n".to_vec(),
        vec![b'a'; 20_000],
    ];
    for _ in 0..CONNECTIONS {
        let address = [&edge.front, &edge.ready, &edge.peers][random.random_range(0..3)];
        let mut bytes: Vec<u8> = (0..random.random_range(1..5))
            .flat_map(|_| parts[random.random_range(0..parts.len())].clone())
            .collect();
        for _ in 0..random.random_range(0..3) {
            let index = random.random_range(0..bytes.len());
            bytes[index] = random.random();
        }
        bytes.truncate(random.random_range(1..=bytes.len()));
        let mut stream = TcpStream::connect(address).expect("a connection");
        // The process may close the connection before all is written.
        let _ = stream.write_all(&bytes);
    }
    let held = [
        "hyssop_intake_bytes ",
        "hyssop_intake_peer_bytes ",
        "hyssop_intake_connections{listener=\"callers\"}",
        "hyssop_intake_connections{listener=\"peers\"}",
    ];
    wait_until("all permits are back", || {
        held.iter().all(|name| edge.metric(name) == Some(0.0))
    });
    edge.submit_until_accepted("/a/00000000000000f2", &job(1, 1, 10));
}

/// Under calm conditions a slow request within the limits is served.
#[test]
fn slow_request_within_the_limits_is_served() {
    const PIECES: usize = 20;
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let edge = start(&platform);
    let mut stream = TcpStream::connect(&edge.front).expect("a connection");
    let body = job(3, 1, 10).to_string();
    let mut bytes = head("POST", &format!("Content-Length: {}\r\n", body.len()));
    bytes.extend_from_slice(b"X-Hyssopworks-Deadline-Ms: 20000\r\n\r\n");
    bytes.extend_from_slice(body.as_bytes());
    for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
        stream.write_all(piece).expect("the connection is open");
        std::thread::sleep(Duration::from_millis(120));
    }
    let answer = Connection::of(stream).read_answer();
    assert!(answer.has_status(200), "{answer:?}");
}

/// A chunked body ended its connection without an answer where the limit of bodies is below the first
/// part of a buffer, 4 KiB.
#[test]
fn chunked_request_under_a_small_limit_is_served() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    configure_body_limit(&platform, 2, 1_024);
    let edge = start(&platform);
    let body = job(1, 1, 10).to_string();
    let mut bytes = head("POST", "Transfer-Encoding: chunked\r\n\r\n");
    bytes.extend_from_slice(format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()).as_bytes());
    let mut stream = TcpStream::connect(&edge.front).expect("a connection");
    stream.write_all(&bytes).expect("the connection is open");
    let answer = Connection::of(stream).read_answer();
    assert!(answer.has_status(200), "{answer:?}");
}
