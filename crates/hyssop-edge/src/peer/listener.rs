use super::socket::{configuration, MAX_IDLE};
use super::{Body, Frame};
use crate::intake::{Hold, Permit, Socket};
use crate::node::Node;
use futures_util::{SinkExt, StreamExt};
use hyssop_policy::intake::Listener;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::Message;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Closes a connection without a message for this long, some time after a live peer would have
/// closed it.
const IDLE_TIMEOUT: Duration = MAX_IDLE.saturating_add(Duration::from_secs(10));
/// The copies of a request's frame until it is answered: its operation and the answer.
const COPIES: usize = 2;
/// What a request holds besides: its task and its place among the answers.
const REQUEST_BYTES: usize = 2 * 1_024;

/// Accepts peers' links and performs the operations that they request.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener) {
    loop {
        let (stream, permit) = node.guard.accept(Listener::Peers, &listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = serve(node, stream, permit.clone()) => {}
                reason = permit.revoked() => log::debug!("event=peer-closed reason={reason}"),
            }
        });
    }
}

/// Serves one connection until it breaks or times out.
async fn serve(node: Rc<Node>, stream: TcpStream, permit: Rc<Permit>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=peer-option-failed reason={error:?}");
    }
    let socket = Socket::new(stream, permit.clone());
    let handshake = tokio::time::timeout(
        HANDSHAKE_TIMEOUT,
        accept_async_with_config(socket, Some(configuration())),
    );
    let Ok(Ok(socket)) = handshake.await else {
        return;
    };
    // A peer may open a link some time before it sends anything.
    permit.rest();
    let (mut sink, mut stream) = socket.split();
    // Each answer holds its permit until it is written.
    let (answers, queue) = flume::unbounded::<(Body, Hold)>();
    let writer = node.clone();
    let write = async move {
        while let Ok((body, _hold)) = queue.recv_async().await {
            let version = writer.configuration.borrow().version;
            let frame = Frame { version, body }.encode();
            if sink.feed(Message::binary(frame)).await.is_err() {
                return;
            }
            if queue.is_empty() && sink.flush().await.is_err() {
                return;
            }
        }
    };
    let read = async move {
        while let Ok(Some(Ok(message))) = tokio::time::timeout(IDLE_TIMEOUT, stream.next()).await {
            let Message::Binary(bytes) = message else {
                permit.rest();
                continue;
            };
            let Some(frame) = Frame::decode(&bytes) else {
                log::warn!("event=frame-refused bytes={}", bytes.len());
                return;
            };
            permit.finish();
            let Ok(hold) = permit.hold(COPIES * bytes.len() + REQUEST_BYTES) else {
                return;
            };
            node.on_peer_version(frame.version);
            match frame.body {
                Body::Request(number, operation) => {
                    let node = node.clone();
                    let answers = answers.clone();
                    tokio::task::spawn_local(async move {
                        let answer = node.perform(operation).await;
                        // The send fails if the connection is broken, which the requester detects.
                        let _ = answers.send((Body::Answer(number, answer), hold));
                    });
                }
                Body::Ping => {
                    // As above, the peer detects a broken connection.
                    let _ = answers.send((Body::Pong(node.status()), hold));
                }
                Body::Answer(..) | Body::Pong(_) => {}
            }
        }
    };
    tokio::select! {
        () = read => {}
        // Once the writer has failed, the reader ends with the connection.
        () = async { write.await; std::future::pending().await } => {}
    }
}
