use super::socket::configuration;
use super::{Answer, Body, Frame, Operation, Status};
use crate::node::{Endpoint, Node};
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{client_async_with_config, WebSocketStream};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);
/// The interval between heartbeats of a watched peer, and between checks of a peer that owes an
/// answer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A link without a frame from a peer that owes one is closed after this time and reconnected.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a link that can't be opened is tried again after its last use.
const CONNECT_PERIOD: Duration = Duration::from_secs(2);

/// This process's connection to one peer, opened on demand and closed when it is not used.
pub(crate) struct Link {
    pub(crate) peer: Endpoint,
    /// When the last frame of the peer arrived, or the link was created.
    last_seen_at: Cell<Duration>,
    /// The status in the peer's last heartbeat.
    pub(crate) status: RefCell<Status>,
    /// Whether heartbeats are sent all the time, and not only while the peer owes an answer.
    is_watched: Cell<bool>,
    is_open: Cell<bool>,
    used_at: Cell<Duration>,
    /// Until when the link is kept open though it is not used.
    kept_until: Cell<Duration>,
    /// When the first frame was sent to which the peer owes an answer, `None` since its last frame.
    owed_since: Cell<Option<Duration>>,
    next_request_number: Cell<u64>,
    /// The requests without an answer, by their numbers.
    pending: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
    outgoing: flume::Sender<Body>,
}

impl Link {
    /// Creates the link and the queue of its outgoing frames.
    pub(super) fn new(peer: Endpoint, now: Duration) -> (Rc<Self>, flume::Receiver<Body>) {
        let (outgoing, queue) = flume::unbounded();
        let link = Rc::new(Self {
            peer,
            last_seen_at: Cell::new(now),
            status: RefCell::default(),
            is_watched: Cell::new(false),
            is_open: Cell::new(false),
            used_at: Cell::new(now),
            kept_until: Cell::new(now),
            owed_since: Cell::new(None),
            next_request_number: Cell::new(0),
            pending: RefCell::default(),
            outgoing,
        });
        (link, queue)
    }

    /// Returns whether the peer is connected.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.get()
    }

    /// Returns when the last frame of the peer arrived, or the link was created.
    pub(crate) fn last_seen_at(&self) -> Duration {
        self.last_seen_at.get()
    }

    /// Starts or stops the heartbeats of this link.
    pub(crate) fn set_watched(&self, is_watched: bool) {
        if !self.is_watched.replace(is_watched) && is_watched {
            self.ping();
        }
    }

    /// Requests a heartbeat, if the link is open.
    pub(super) fn ping(&self) {
        // The send fails if the link has been closed for good.
        let _ = self.outgoing.send(Body::Ping);
    }

    /// Records a use at `now`, after which an open link is kept for `keep` at least.
    pub(super) fn touch(&self, now: Duration, keep: Duration) {
        self.used_at.set(now);
        self.kept_until.set(self.kept_until.get().max(now + keep));
    }

    /// Requests an operation from the peer; returns `None` on a timeout or a broken link, after
    /// which the peer may or may not have performed the operation.
    pub(crate) async fn request(&self, operation: Operation, timeout: Duration) -> Option<Answer> {
        let number = self.next_request_number.get();
        self.next_request_number.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        if self
            .outgoing
            .send(Body::Request(number, operation))
            .is_err()
        {
            self.pending.borrow_mut().remove(&number);
            return None;
        }
        let answer = tokio::time::timeout(timeout, receiver).await;
        self.pending.borrow_mut().remove(&number);
        answer.ok()?.ok()
    }

    /// Returns whether heartbeats are needed: the peer is watched or owes an answer.
    fn is_expecting(&self) -> bool {
        self.is_watched.get()
            || self.owed_since.get().is_some()
            || !self.pending.borrow().is_empty()
    }

    /// Returns how long the peer has owed an answer.
    fn silence(&self, now: Duration) -> Duration {
        self.owed_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Removes the requests whose requester does not wait any more.
    fn drop_abandoned_requests(&self) {
        self.pending
            .borrow_mut()
            .retain(|_, sender| !sender.is_closed());
    }

    fn on_frame(&self, now: Duration) {
        self.last_seen_at.set(now);
        self.owed_since.set(None);
    }

    fn is_needed(&self, now: Duration) -> bool {
        let until = if self.is_open.get() {
            self.kept_until.get()
        } else {
            self.used_at.get() + CONNECT_PERIOD
        };
        self.is_expecting() || now < until
    }

    fn close(&self) {
        self.is_open.set(false);
        self.owed_since.set(None);
        // Dropping the senders ends the wait for the pending answers.
        self.pending.borrow_mut().clear();
    }
}

/// Connects and reconnects until the link is not needed.
pub(super) async fn keep_connected(node: Rc<Node>, link: Rc<Link>, queue: flume::Receiver<Body>) {
    while link.is_needed(node.clock.now()) {
        if let Ok(Some(socket)) = tokio::time::timeout(CONNECT_TIMEOUT, connect(&link)).await {
            queue.drain().for_each(drop);
            link.on_frame(node.clock.now());
            link.is_open.set(true);
            node.notify_changed();
            log::debug!("event=peer-up peer={}", link.peer.node);
            serve(&node, &link, &queue, socket).await;
            let is_idle = !link.is_needed(node.clock.now());
            link.close();
            if is_idle {
                break;
            }
            node.notify_changed();
            log::info!("event=peer-down peer={}", link.peer.node);
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
    link.close();
    node.links.remove(&link.peer);
}

async fn connect(link: &Link) -> Option<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(link.peer.address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let url = format!("ws://{}/", link.peer.address);
    let (socket, _) = client_async_with_config(url, stream, Some(configuration()))
        .await
        .ok()?;
    Some(socket)
}

/// Sends requests and heartbeats and receives answers, until the connection breaks, times out or is
/// not needed any more.
async fn serve(
    node: &Rc<Node>,
    link: &Rc<Link>,
    queue: &flume::Receiver<Body>,
    socket: WebSocketStream<TcpStream>,
) {
    let (mut sink, mut stream) = socket.split();
    let mut next_check_at = node.clock.now();
    loop {
        let now = node.clock.now();
        let body = tokio::select! {
            message = stream.next() => {
                let Some(Ok(message)) = message else { return };
                receive(node, link, &message);
                continue;
            }
            body = queue.recv_async() => {
                let Ok(body) = body else { return };
                next_check_at = next_check_at.min(node.clock.now() + HEARTBEAT_INTERVAL);
                body
            }
            () = tokio::time::sleep(next_check_at.saturating_sub(now)) => {
                let now = node.clock.now();
                link.drop_abandoned_requests();
                if !link.is_needed(now) {
                    return;
                }
                if !link.is_expecting() {
                    next_check_at = link.kept_until.get();
                    continue;
                }
                next_check_at = now + HEARTBEAT_INTERVAL;
                if link.silence(now) >= PEER_TIMEOUT {
                    return;
                }
                Body::Ping
            }
        };
        if link.owed_since.get().is_none() {
            link.owed_since.set(Some(node.clock.now()));
        }
        let version = node.configuration.borrow().version;
        let frame = Frame { version, body }.encode();
        let sent = tokio::time::timeout(PEER_TIMEOUT, sink.send(Message::binary(frame))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Handles a message of the peer.
fn receive(node: &Rc<Node>, link: &Rc<Link>, message: &Message) {
    let Message::Binary(bytes) = message else {
        return;
    };
    let Some(frame) = Frame::decode(bytes) else {
        log::warn!(
            "event=frame-refused peer={} bytes={}",
            link.peer.node,
            bytes.len()
        );
        return;
    };
    let now = node.clock.now();
    link.on_frame(now);
    node.on_peer_version(frame.version);
    match frame.body {
        Body::Answer(number, answer) => {
            if let Some(sender) = link.pending.borrow_mut().remove(&number) {
                // The send fails if the request has timed out, and the answer is not needed then.
                let _ = sender.send(answer);
            }
        }
        Body::Pong(status) => {
            node.record_announced_owners(&status, link);
            link.status.replace(status);
        }
        Body::Request(..) | Body::Ping => {}
    }
}
