//! Ways to the platform that can be cut silently: bytes that are under way when the cut begins are
//! held up, and arrive once it heals unless their sender has reset the connection meanwhile.

use crate::record::Record;
use crate::wire::{read_message, Message};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state of one machine's way to the platform, to the store and to the API for machines alike.
#[derive(Clone, Default)]
pub struct Cut {
    is_cut: Arc<AtomicBool>,
    /// How often the open channels have gone silent for good.
    silenced: Arc<AtomicU64>,
}

impl Cut {
    pub fn begin(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    /// Lets the channels that are open now go silent for good, while new ones work.
    pub fn silence(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    fn silenced(&self) -> u64 {
        self.silenced.load(Ordering::SeqCst)
    }

    /// Waits while the way is cut; returns whether it was.
    fn wait(&self) -> bool {
        let was_cut = self.is_cut();
        while self.is_cut() {
            thread::sleep(POLL_INTERVAL);
        }
        was_cut
    }
}

/// Returns whether the other end has reset the connection. One that has only closed it has not: the
/// network still owes the other side what was sent before.
fn is_reset(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Accepts connections and serves each on a thread; those opened during a cut lead nowhere, since
/// their first packet would not have arrived.
fn listen(cut: Cut, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Option<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").ok()?;
    let address = listener.local_addr().ok()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (cut, serve) = (cut.clone(), serve.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                if !cut.wait() {
                    serve(stream);
                }
            });
        }
    });
    Some(address)
}

/// Returns the address of a way to `target` that passes bytes on as they come, those that come back
/// `answer_time` later.
pub fn plain_way(target: SocketAddr, cut: &Cut, answer_time: Duration) -> Option<SocketAddr> {
    limited_way(target, cut, answer_time, None)
}

/// As `plain_way`, with at most so many bytes a second on each connection's way back.
pub fn limited_way(
    target: SocketAddr,
    cut: &Cut,
    answer_time: Duration,
    bytes_per_s: Option<u64>,
) -> Option<SocketAddr> {
    let way = cut.clone();
    listen(cut.clone(), move |near| {
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = far.set_nodelay(true);
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let back = way.clone();
        let answers =
            thread::spawn(move || pump(far_reader, near, &back, answer_time, bytes_per_s));
        pump(near_reader, far, &way, Duration::ZERO, None);
        let _ = answers.join();
    })
}

fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    cut: &Cut,
    delay: Duration,
    bytes_per_s: Option<u64>,
) {
    let mut buffer = [0; 16_384];
    let opened = cut.silenced();
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        };
        thread::sleep(delay);
        if let Some(rate) = bytes_per_s {
            thread::sleep(Duration::from_micros(count as u64 * 1_000_000 / rate));
        }
        if cut.silenced() != opened {
            // What comes is taken and goes nowhere.
            while from.read(&mut buffer).is_ok_and(|count| count > 0) {}
            return;
        }
        if cut.wait() && is_reset(&from) {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        if to.write_all(&buffer[..count]).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
    cut.wait();
    let _ = to.shutdown(Shutdown::Write);
}

/// What a way of requests does with one.
pub trait Requests: Send + Sync + 'static {
    /// Called with a whole request that has left its sender and has not arrived yet.
    fn on_sent(&self, request: &Message);
    /// Called with a request that arrives, and whether it was held up; returns the response.
    fn on_arrival(&self, request: &Message, was_held: bool) -> Option<Vec<u8>>;
}

/// Returns the address of a way that passes whole requests on.
pub fn request_way(cut: &Cut, requests: Arc<impl Requests>, record: &Record) -> Option<SocketAddr> {
    let (way, record) = (cut.clone(), record.clone());
    listen(cut.clone(), move |mut near| {
        while let Some(request) = read_message(&mut near) {
            requests.on_sent(&request);
            let was_held = way.wait();
            if was_held && is_reset(&near) {
                record.note(&format!("lost, its sender had reset it: {}", request.first));
                return;
            }
            let Some(response) = requests.on_arrival(&request, was_held) else {
                return;
            };
            way.wait();
            if near.write_all(&response).is_err() {
                return;
            }
        }
    })
}
