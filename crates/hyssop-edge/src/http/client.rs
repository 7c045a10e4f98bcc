use super::destination::{Destination, Idle};
use super::{Failure, Lane, Sender};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::Request;
use hyper_util::rt::TokioIo;
use hyssop_platform::dialect::{Call, Reply};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// The timeout of new connections: the network's delay is a few milliseconds, while a lost SYN is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval between searches for connections that have been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

type Destinations = BTreeMap<SocketAddr, Rc<Destination>>;

/// An HTTP client that reuses connections.
#[derive(Clone)]
pub(crate) struct Client {
    destinations: Rc<RefCell<Destinations>>,
    swept_at: Rc<Cell<Instant>>,
}

/// A permit for one call; the call's timeouts start after the slot is acquired.
pub(crate) struct Slot {
    address: SocketAddr,
    lane: Lane,
    destination: Rc<Destination>,
    _permit: OwnedSemaphorePermit,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            destinations: Rc::default(),
            swept_at: Rc::new(Cell::new(Instant::now())),
        }
    }
}

impl Client {
    /// Waits for a free slot in a lane.
    ///
    /// # Panics
    ///
    /// Panics if the semaphore is closed, which no code does.
    pub(crate) async fn slot(&self, address: SocketAddr, lane: Lane) -> Slot {
        self.close_idle();
        let destination = self
            .destinations
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| Destination::new(address))
            .clone();
        let permit = destination.permits(lane).acquire_owned().await;
        Slot {
            address,
            lane,
            destination,
            _permit: permit.expect("lanes are never closed"),
        }
    }

    /// Closes connections that have been idle for too long, and forgets the destinations without any.
    fn close_idle(&self) {
        let now = Instant::now();
        if now.duration_since(self.swept_at.get()) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at.set(now);
        let mut destinations = self.destinations.borrow_mut();
        destinations.retain(|_, destination| {
            let is_used = destination.close_idle(now);
            // A call that waits for its permit has a reference to the destination.
            is_used || Rc::strong_count(destination) > 1
        });
    }

    /// Waits for a free slot and makes a call in it.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        lane: Lane,
        call: Call,
        timeout: Duration,
    ) -> Result<Reply, Failure> {
        self.slot(address, lane).await.call(call, timeout).await
    }
}

impl Slot {
    /// Makes one call; the connection is reused only if the whole answer has arrived.
    pub(crate) async fn call(self, call: Call, timeout: Duration) -> Result<Reply, Failure> {
        let (sender, heard_at) = match self.destination.take_idle(self.lane) {
            Some(Idle { sender, heard_at }) => (sender, Some(heard_at)),
            None => {
                let sender = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.address))
                    .await
                    .map_err(|_| Failure::Unsent)?
                    .ok_or(Failure::Unsent)?;
                (sender, None)
            }
        };
        let sent_at = Instant::now();
        let answer = tokio::time::timeout(timeout, exchange(sender, self.address, call)).await;
        if let (Err(_), Some(heard_at)) = (&answer, heard_at) {
            self.destination.on_silence(self.lane, heard_at, sent_at);
        }
        let (reply, sender) = answer.map_err(|_| Failure::Lost)?.ok_or(Failure::Lost)?;
        self.destination.put_back(self.lane, sender, Instant::now());
        Ok(reply)
    }
}

/// Opens a connection and spawns the task that drives it.
async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection-broken to={address} reason={error:?}");
        }
    });
    Some(sender)
}

/// Sends a call and reads its whole answer; returns the connection along with it.
async fn exchange(mut sender: Sender, address: SocketAddr, call: Call) -> Option<(Reply, Sender)> {
    sender.ready().await.ok()?;
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, address.to_string());
    if !call.body.is_empty() {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(Bytes::from(call.body))).ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let reply = Reply {
        status,
        body: body.to_vec(),
    };
    Some((reply, sender))
}
