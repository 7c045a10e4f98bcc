//! Crowds at the planner's status address: the process keeps within its memory and descriptors, and
//! answers an ordinary request afterwards.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The connections of a crowd.
const CROWD: usize = 300;
/// What each connection sends; together 60 MB.
const ENDLESS_BYTES: usize = 200_000;
/// A planner of the debug build holds some 10 MB when idle.
const MAX_MEMORY_KIB: usize = 40_000;
const MAX_DESCRIPTORS: usize = 150;
/// The time without any progress after which a crowd has sent all that it can.
const STALL: Duration = Duration::from_millis(1_500);
const SEND_TIME: Duration = Duration::from_secs(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Crowds are measured one at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// A planner process, killed on drop.
struct Planner {
    address: String,
    child: Child,
    settings: std::path::PathBuf,
}

impl Planner {
    /// Starts a planner whose platform does not answer.
    fn start(name: &str) -> Self {
        let file = format!("hyssop-planner-{}-{name}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = "[process]\nname = p1\nregion = r\ndata_centre = d\n\
                    platform = http://127.0.0.1:9\nlog = error\n\n[planner]\nstatus = 127.0.0.1:0\n";
        std::fs::write(&settings, text).expect("settings can be written");
        let mut child = Command::new(
            std::env::var("PLANNER_BIN").unwrap_or(env!("CARGO_BIN_EXE_hyssop-planner").to_owned()),
        )
        .arg(&settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
        let output = child.stdout.take().expect("a piped output");
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let line = lines.find(|line| line.starts_with("ready "));
        let line = line.expect("the process tells its address");
        let address = line
            .split(' ')
            .find_map(|w| w.strip_prefix("planner=http://"));
        Self {
            address: address.expect("an address").to_owned(),
            child,
            settings,
        }
    }

    /// Returns the highest resident memory since the start, in KiB.
    fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process lives");
        let field = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let digits = field.expect("the process has not ended").trim();
        digits.trim_end_matches(" kB").parse().expect("a number")
    }

    fn descriptors(&self) -> usize {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        entries.expect("the process lives").count()
    }

    fn is_live(&self) -> bool {
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect(&self.address)?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream
                .write_all(b"GET /health/live HTTP/1.1\r\nHost: p1\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        };
        ask().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        // The process may have exited already; the errors of its clean-up do not matter.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Opens a crowd's connections, sends `bytes` on each without reading, and asserts that the process keeps
/// within its limits meanwhile and serves an ordinary request afterwards.
fn assert_survives(name: &str, bytes: &[u8]) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let planner = Planner::start(name);
    let open = || {
        let stream = TcpStream::connect(&planner.address).expect("a connection");
        stream.set_nonblocking(true).expect("a socket");
        stream
    };
    let mut crowd: Vec<(Option<TcpStream>, usize)> =
        (0..CROWD).map(|_| (Some(open()), 0)).collect();
    let started_at = Instant::now();
    let mut progress_at = started_at;
    let mut descriptors = planner.descriptors();
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
        descriptors = descriptors.max(planner.descriptors());
        std::thread::sleep(Duration::from_millis(5));
    }
    let memory = planner.peak_memory();
    println!("peak {memory} KiB, {descriptors} descriptors");
    assert!(memory <= MAX_MEMORY_KIB, "{memory} KiB");
    assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors");
    let waited_since = Instant::now();
    while !planner.is_live() {
        assert!(waited_since.elapsed() < WAIT_TIMEOUT, "no answer");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn heads_without_end_do_not_exhaust_memory() {
    let mut bytes = b"GET /metrics HTTP/1.1\r\nX-Filler: ".to_vec();
    bytes.resize(ENDLESS_BYTES, b'a');
    assert_survives("heads", &bytes);
}

#[test]
fn empty_lines_before_a_request_do_not_exhaust_memory() {
    assert_survives("lines", &b"\r\n".repeat(ENDLESS_BYTES / 2));
}

#[test]
fn bodies_that_do_not_end_do_not_exhaust_memory() {
    let mut bytes = b"POST /events HTTP/1.1\r\nHost: p1\r\nContent-Length: 300000\r\n\r\n".to_vec();
    bytes.resize(ENDLESS_BYTES, b'a');
    assert_survives("bodies", &bytes);
}

#[test]
fn pipelined_requests_without_a_reader_do_not_exhaust_memory() {
    let request = b"GET /metrics HTTP/1.1\r\nHost: p1\r\n\r\n";
    assert_survives("pipelined", &request.repeat(ENDLESS_BYTES / request.len()));
}

#[test]
fn silent_connections_do_not_exhaust_descriptors() {
    assert_survives("silent", b"");
}
