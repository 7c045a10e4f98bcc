use super::socket::{configuration, MAX_IDLE};
use super::{Body, Frame};
use crate::node::Node;
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::Message;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Closes a connection without a message for this long, some time after a live peer would have
/// closed it.
const IDLE_TIMEOUT: Duration = MAX_IDLE.saturating_add(Duration::from_secs(10));

/// Accepts peers' links and performs the operations that they request.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(node.clone(), stream));
            }
            Err(error) => {
                log::warn!("event=peer-accept-failed reason={error:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it breaks or times out.
async fn serve(node: Rc<Node>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=peer-option-failed reason={error:?}");
    }
    let handshake = tokio::time::timeout(
        HANDSHAKE_TIMEOUT,
        accept_async_with_config(stream, Some(configuration())),
    );
    let Ok(Ok(socket)) = handshake.await else {
        return;
    };
    let (mut sink, mut stream) = socket.split();
    let (answers, queue) = flume::unbounded::<Body>();
    let writer = node.clone();
    let sender = tokio::task::spawn_local(async move {
        while let Ok(body) = queue.recv_async().await {
            let version = writer.configuration.borrow().version;
            let frame = Frame { version, body }.encode();
            if sink.feed(Message::binary(frame)).await.is_err() {
                return;
            }
            if queue.is_empty() && sink.flush().await.is_err() {
                return;
            }
        }
    });
    while let Ok(Some(Ok(message))) = tokio::time::timeout(IDLE_TIMEOUT, stream.next()).await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        let Some(frame) = Frame::decode(&bytes) else {
            log::warn!("event=frame-refused bytes={}", bytes.len());
            break;
        };
        node.on_peer_version(frame.version);
        match frame.body {
            Body::Request(number, operation) => {
                let node = node.clone();
                let answers = answers.clone();
                tokio::task::spawn_local(async move {
                    let answer = node.perform(operation).await;
                    // The send fails if the connection is broken, which the requester detects.
                    let _ = answers.send(Body::Answer(number, answer));
                });
            }
            Body::Ping => {
                // As above, the peer detects a broken connection.
                let _ = answers.send(Body::Pong(node.status()));
            }
            Body::Answer(..) | Body::Pong(_) => {}
        }
    }
    sender.abort();
}
