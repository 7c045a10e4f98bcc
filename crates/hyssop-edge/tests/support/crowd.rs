use super::Edge;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The time without any progress after which a crowd has sent all that it can.
const STALL: Duration = Duration::from_millis(1_500);
/// The longest time that a crowd sends.
const SEND_TIME: Duration = Duration::from_secs(20);
const ROUND_PAUSE: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What each connection of a crowd sends, and how.
#[derive(Clone, Default)]
pub struct Form {
    pub bytes: Vec<u8>,
    /// The first bytes, after which a caller waits for the process's answer; 0 for none.
    pub opening: usize,
    /// The bytes of one piece; 0 sends as much as the connection takes.
    pub piece: usize,
    /// How often a connection that was closed is opened again.
    pub reopenings: usize,
}

/// What a process held while a crowd was connected.
#[derive(Clone, Copy, Debug)]
pub struct Peak {
    /// The highest resident memory since its start.
    pub memory_kib: usize,
    pub descriptors: usize,
}

struct Caller {
    stream: Option<TcpStream>,
    sent: usize,
    reopenings: usize,
}

/// Opens `count` connections to `address`, sends `form` on each of them without reading anything, and
/// keeps them until no connection makes progress; returns what the process held.
pub fn send(edge: &Edge, address: &str, count: usize, form: &Form) -> Peak {
    let address: SocketAddr = address.parse().expect("an address");
    let new = |reopenings| Caller {
        stream: open(&address),
        sent: 0,
        reopenings,
    };
    let mut callers: Vec<Caller> = (0..count).map(|_| new(form.reopenings)).collect();
    let mut descriptors = descriptors(edge);
    let started_at = Instant::now();
    let mut progress_at = started_at;
    while progress_at.elapsed() < STALL && started_at.elapsed() < SEND_TIME {
        for caller in &mut callers {
            let sent = advance(caller, form);
            if sent {
                progress_at = Instant::now();
            } else if caller.stream.is_none() && caller.reopenings > 0 {
                *caller = new(caller.reopenings - 1);
            }
        }
        descriptors = descriptors.max(self::descriptors(edge));
        std::thread::sleep(ROUND_PAUSE);
    }
    Peak {
        memory_kib: memory_kib(edge),
        descriptors,
    }
}

fn open(address: &SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(address, CONNECT_TIMEOUT).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Sends the next piece, and returns whether the connection took any of it.
fn advance(caller: &mut Caller, form: &Form) -> bool {
    let Some(stream) = &mut caller.stream else {
        return false;
    };
    let mut rest = &form.bytes[caller.sent..];
    if caller.sent < form.opening {
        rest = &rest[..form.opening - caller.sent];
    } else if form.opening > 0 && stream.peek(&mut [0]).is_err() {
        return false;
    }
    if form.piece > 0 {
        rest = &rest[..rest.len().min(form.piece)];
    }
    if rest.is_empty() {
        return false;
    }
    match stream.write(rest) {
        Ok(count) => caller.sent += count,
        Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
        Err(_) => {
            caller.stream = None;
            return false;
        }
    }
    true
}

/// Returns the number of descriptors that a process has open.
///
/// # Panics
///
/// Panics if the process has ended.
pub fn descriptors(edge: &Edge) -> usize {
    let entries = std::fs::read_dir(format!("/proc/{}/fd", edge.id()));
    entries.expect("the process lives").count()
}

/// Returns the highest resident memory of a process since its start.
///
/// # Panics
///
/// Panics if the process has ended.
pub fn memory_kib(edge: &Edge) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", edge.id()));
    let status = status.expect("the process lives");
    let field = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let digits = field.expect("the process has not ended").trim();
    let digits = digits.trim_end_matches(" kB");
    digits.parse().expect("a number")
}
