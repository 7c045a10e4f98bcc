//! A proxy whose network can be cut: what is sent during the cut is held up.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The end of a connection is passed on this much later: the server drops requests that it has not begun to
/// handle when it sees the end.
const CLOSE_DELAY: Duration = Duration::from_millis(100);
const BUFFER_BYTES: usize = 16_384;

/// A proxy on loopback. During a cut it passes nothing on; when the cut heals it delivers what it has held
/// up, unless the sender has reset the connection.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    is_cut: AtomicBool,
    /// Whether the next POST begins a cut.
    is_armed: AtomicBool,
}

impl Proxy {
    /// Starts a proxy for `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound address");
        let state: Arc<State> = Arc::default();
        let serving = state.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let state = serving.clone();
                std::thread::spawn(move || state.serve(near, target));
            }
        });
        Self { address, state }
    }

    /// Begins a cut when the next POST is sent.
    pub fn cut_at_next_post(&self) {
        self.state.is_armed.store(true, Ordering::SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.state.is_cut.load(Ordering::SeqCst)
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.state.is_cut.store(false, Ordering::SeqCst);
    }
}

impl State {
    fn serve(self: Arc<Self>, near: TcpStream, target: SocketAddr) {
        // The first packet of a connection does not arrive during a cut.
        if self.wait() {
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let back = self.clone();
        let answers = std::thread::spawn(move || back.pass_on(far_reader, near));
        self.pass_on(near_reader, far);
        let _ = answers.join();
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let count = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => count,
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            };
            let is_post = buffer[..count].starts_with(b"POST ");
            if is_post && self.is_armed.swap(false, Ordering::SeqCst) {
                self.is_cut.store(true, Ordering::SeqCst);
            }
            let is_lost = self.wait() && is_reset(&from);
            if is_lost || to.write_all(&buffer[..count]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
        self.wait();
        std::thread::sleep(CLOSE_DELAY);
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Waits for the end of a cut; returns whether there was one.
    fn wait(&self) -> bool {
        let was_cut = self.is_cut.load(Ordering::SeqCst);
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
        }
        was_cut
    }
}

/// Returns whether the other end has reset the connection, which one that has only closed it has not.
fn is_reset(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() != ErrorKind::WouldBlock)
}
