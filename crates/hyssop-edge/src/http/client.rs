use super::{Failure, Lane};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::Request;
use hyper_util::rt::TokioIo;
use hyssop_platform::dialect::{Call, Reply};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The timeout of new connections: the network's delay is a few milliseconds, while a lost SYN is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

type Sender = SendRequest<Full<Bytes>>;
type Lanes = BTreeMap<(SocketAddr, Lane), Rc<Connections>>;

/// An HTTP client that reuses connections.
#[derive(Clone, Default)]
pub(crate) struct Client {
    lanes: Rc<RefCell<Lanes>>,
}

/// The connections of one lane to one address.
struct Connections {
    permits: std::sync::Arc<Semaphore>,
    idle: RefCell<Vec<Sender>>,
}

/// A permit for one call; the call's timeouts start after the slot is acquired.
pub(crate) struct Slot {
    address: SocketAddr,
    connections: Rc<Connections>,
    _permit: OwnedSemaphorePermit,
}

impl Client {
    /// Waits for a free slot in a lane.
    ///
    /// # Panics
    ///
    /// Panics if the semaphore is closed, which no code does.
    pub(crate) async fn slot(&self, address: SocketAddr, lane: Lane) -> Slot {
        let connections = self
            .lanes
            .borrow_mut()
            .entry((address, lane))
            .or_insert_with(|| {
                Rc::new(Connections {
                    permits: std::sync::Arc::new(Semaphore::new(lane.max_connections())),
                    idle: RefCell::default(),
                })
            })
            .clone();
        let permit = connections.permits.clone().acquire_owned().await;
        Slot {
            address,
            connections,
            _permit: permit.expect("lanes are never closed"),
        }
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
        let reused = loop {
            let reused = self.connections.idle.borrow_mut().pop();
            match reused {
                Some(sender) if sender.is_closed() => {}
                other => break other,
            }
        };
        let sender = match reused {
            Some(sender) => sender,
            None => tokio::time::timeout(CONNECT_TIMEOUT, connect(self.address))
                .await
                .map_err(|_| Failure::Unsent)?
                .ok_or(Failure::Unsent)?,
        };
        let (reply, sender) = tokio::time::timeout(timeout, exchange(sender, self.address, call))
            .await
            .map_err(|_| Failure::Lost)?
            .ok_or(Failure::Lost)?;
        if !sender.is_closed() {
            self.connections.idle.borrow_mut().push(sender);
        }
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
