use super::{Answer, Body, Frame, Operation, Status};
use crate::node::{Member, Node};
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{client_async, WebSocketStream};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);
/// The interval between heartbeats; a peer times out after three missing ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A link without a frame from the peer for this long is closed and reconnected.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// The interval between checks for changed members.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(100);

/// This process's connection to one peer.
pub(crate) struct Link {
    pub(crate) peer: Member,
    /// When the last frame of the peer arrived, or the link was created.
    pub(crate) last_seen_at: Cell<Duration>,
    /// The status in the peer's last heartbeat.
    pub(crate) status: RefCell<Status>,
    is_open: Cell<bool>,
    next_request_number: Cell<u64>,
    /// The requests without an answer, by their numbers.
    pending: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
    outgoing: flume::Sender<Body>,
}

impl Link {
    /// Returns whether the peer is connected.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.get()
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

    fn close(&self) {
        self.is_open.set(false);
        // Dropping the senders ends the wait for the pending answers.
        self.pending.borrow_mut().clear();
    }
}

/// Maintains a link to every other member.
pub(crate) async fn keep_links(node: Rc<Node>) {
    loop {
        let members = node.members.borrow().clone();
        for member in members.values().filter(|member| member.node != node.name) {
            let is_current = node
                .links
                .borrow()
                .get(&member.node)
                .is_some_and(|link| link.peer == *member);
            if is_current {
                continue;
            }
            let (outgoing, queue) = flume::unbounded();
            let link = Rc::new(Link {
                peer: member.clone(),
                last_seen_at: Cell::new(node.clock.now()),
                status: RefCell::default(),
                is_open: Cell::new(false),
                next_request_number: Cell::new(0),
                pending: RefCell::default(),
                outgoing,
            });
            node.links
                .borrow_mut()
                .insert(member.node.clone(), link.clone());
            tokio::task::spawn_local(keep_connected(node.clone(), link, queue));
        }
        tokio::time::sleep(MEMBERS_INTERVAL).await;
    }
}

/// Connects and reconnects until another link replaces this one.
async fn keep_connected(node: Rc<Node>, link: Rc<Link>, queue: flume::Receiver<Body>) {
    loop {
        let is_current = node
            .links
            .borrow()
            .get(&link.peer.node)
            .is_some_and(|current| Rc::ptr_eq(current, &link));
        if !is_current {
            link.close();
            return;
        }
        if let Ok(Some(socket)) = tokio::time::timeout(CONNECT_TIMEOUT, connect(&link)).await {
            queue.drain().for_each(drop);
            link.is_open.set(true);
            node.notify_changed();
            log::info!("event=peer-up peer={}", link.peer.node);
            serve(&node, &link, &queue, socket).await;
            link.close();
            node.notify_changed();
            log::info!("event=peer-down peer={}", link.peer.node);
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn connect(link: &Link) -> Option<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(link.peer.address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let url = format!("ws://{}/", link.peer.address);
    let (socket, _) = client_async(url, stream).await.ok()?;
    Some(socket)
}

/// Sends requests and heartbeats and receives answers, until the connection breaks or times out.
async fn serve(
    node: &Rc<Node>,
    link: &Rc<Link>,
    queue: &flume::Receiver<Body>,
    socket: WebSocketStream<TcpStream>,
) {
    let (mut sink, mut stream) = socket.split();
    link.last_seen_at.set(node.clock.now());
    let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let body = tokio::select! {
            message = stream.next() => {
                let Some(Ok(message)) = message else { return };
                receive(node, link, &message);
                continue;
            }
            body = queue.recv_async() => {
                let Ok(body) = body else { return };
                body
            }
            _ = heartbeat.tick() => {
                let silence = node.clock.now().saturating_sub(link.last_seen_at.get());
                if silence >= PEER_TIMEOUT {
                    return;
                }
                Body::Ping
            }
        };
        let version = node.configuration.borrow().version;
        let frame = Frame { version, body }.encode();
        let sent = tokio::time::timeout(PEER_TIMEOUT, sink.send(Message::binary(frame))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Handles a message of the peer.
fn receive(node: &Node, link: &Link, message: &Message) {
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
    link.last_seen_at.set(now);
    node.peer_last_seen_at.set(now);
    node.on_peer_version(frame.version);
    match frame.body {
        Body::Answer(number, answer) => {
            if let Some(sender) = link.pending.borrow_mut().remove(&number) {
                // The send fails if the request has timed out, and the answer is not needed then.
                let _ = sender.send(answer);
            }
        }
        Body::Pong(status) => {
            for (shard, term) in &status.owned {
                node.record_announced_owner(shard, *term, &link.peer);
            }
            link.status.replace(status);
        }
        Body::Request(..) | Body::Ping => {}
    }
}
