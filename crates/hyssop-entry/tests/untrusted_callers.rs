//! Crowds at an entry's listeners: the process, which has the stand-ins in it, keeps within its memory and
//! answers an ordinary request afterwards.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use support::TestEntry;

/// The connections of a crowd, each of which sends up to 1 MiB.
const CROWD: usize = 150;
const BYTES: usize = 1 << 20;
/// By how much a crowd may raise the highest resident memory of the process.
const MAX_GROWTH_KIB: usize = 64_000;
/// The time without any progress after which a crowd has sent all that it can.
const STALL: Duration = Duration::from_millis(1_500);
const SEND_TIME: Duration = Duration::from_secs(20);

/// Crowds are measured one at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// Returns a value of this process's status, in KiB.
fn memory_kib(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let field = status.lines().find_map(|line| line.strip_prefix(name));
    let digits = field.expect("a value").trim().trim_end_matches(" kB");
    digits.parse().expect("a number")
}

fn assert_survives(address: fn(&TestEntry) -> &str, opening: &[u8], bytes: &[u8]) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let entry = TestEntry::start_with("");
    let open = || {
        let mut stream = TcpStream::connect(address(&entry)).expect("a connection");
        stream.write_all(opening).expect("the connection is open");
        stream.set_nonblocking(true).expect("a socket");
        stream
    };
    let before = memory_kib("VmRSS:");
    let mut peak = before;
    let mut crowd: Vec<(Option<TcpStream>, usize)> =
        (0..CROWD).map(|_| (Some(open()), 0)).collect();
    let started_at = Instant::now();
    let mut progress_at = started_at;
    while progress_at.elapsed() < STALL && started_at.elapsed() < SEND_TIME {
        for (slot, sent) in &mut crowd {
            let Some(stream) = slot else { continue };
            match stream.write(&bytes[*sent..]) {
                Ok(0) => {}
                Ok(count) => {
                    *sent += count;
                    progress_at = Instant::now();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => *slot = None,
            }
        }
        peak = peak.max(memory_kib("VmRSS:"));
        std::thread::sleep(Duration::from_millis(5));
    }
    println!("before {before} KiB, peak {peak} KiB");
    assert!(peak - before <= MAX_GROWTH_KIB, "{before} to {peak} KiB");
    drop(crowd);
    entry.wait_until("an ordinary request is answered", || {
        entry.post("/work?ms=1", "", b"{}").status == 200
    });
}

fn post(fields: &str) -> Vec<u8> {
    format!("POST /v1/pools/clerks/work HTTP/1.1\r\nhost: test\r\n{fields}\r\n\r\n").into_bytes()
}

#[test]
fn bodies_that_do_not_end_do_not_exhaust_memory() {
    let opening = post(&format!("content-length: {BYTES}"));
    assert_survives(|entry| &entry.address, &opening, &vec![b' '; BYTES - 1]);
}

#[test]
fn chunked_bodies_that_do_not_end_do_not_exhaust_memory() {
    const CHUNK: usize = 8_192;
    let mut chunk = format!("{CHUNK:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + CHUNK, b' ');
    chunk.extend_from_slice(b"\r\n");
    let bytes = chunk.repeat(BYTES / CHUNK - 1);
    assert_survives(
        |entry| &entry.address,
        &post("transfer-encoding: chunked"),
        &bytes,
    );
}

#[test]
fn frames_of_peers_that_do_not_end_do_not_exhaust_memory() {
    let opening = b"GET / HTTP/1.1\r\nhost: test\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
        sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    // A masked binary frame that announces 15,000,000 bytes.
    let mut bytes = vec![0x82, 0xff, 0, 0, 0, 0, 0, 0xe4, 0xe1, 0xc0, 0, 0, 0, 0];
    bytes.resize(BYTES, 0);
    assert_survives(|entry| &entry.peers, opening, &bytes);
}
