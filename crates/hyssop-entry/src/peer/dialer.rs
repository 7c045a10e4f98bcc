use crate::core::{Inbox, Message};
use futures_util::SinkExt;
use hyssop_event::{Kind, Recorder};
use hyssop_model::entry::Member;
use hyssop_wire::{Body, Frame};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message as WebSocketMessage;
use tokio_tungstenite::{client_async, WebSocketStream};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// The connecting side of the link to one peer, which sends it frames and reconnects.
pub(super) struct Dialer {
    pub(super) own_member: Member,
    pub(super) peer: Member,
    pub(super) frames: flume::Receiver<Vec<u8>>,
    pub(super) is_member: Arc<AtomicBool>,
    pub(super) recorder: Recorder,
    pub(super) inbox: Inbox,
}

impl Dialer {
    /// Connects and reconnects until the peer leaves the membership or the process stops.
    pub(super) async fn run(self) {
        while self.is_member.load(Ordering::SeqCst) {
            if let Ok(Some(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, self.dial()).await {
                self.serve(stream).await;
                self.recorder
                    .record(Kind::PeerDown, &[("peer", &self.peer.name)]);
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn dial(&self) -> Option<WebSocketStream<TcpStream>> {
        let stream = TcpStream::connect(&self.peer.peer_address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{}/", self.peer.peer_address);
        let (socket, _) = client_async(url, stream).await.ok()?;
        Some(socket)
    }

    /// Sends frames until the connection fails.
    async fn serve(&self, mut socket: WebSocketStream<TcpStream>) {
        // Frames queued before the connection are outdated; the state machines send the current
        // state again when a peer connects.
        self.frames.drain().for_each(drop);
        let hello =
            Frame::new(self.recorder.stamp(), Body::Hello(self.own_member.clone())).encode();
        if socket.send(WebSocketMessage::binary(hello)).await.is_err() {
            return;
        }
        self.recorder
            .record(Kind::PeerUp, &[("peer", &self.peer.name)]);
        if self.inbox.send(Message::PeerUp(self.peer.id)).is_err() {
            return;
        }
        while let Ok(frame) = self.frames.recv_async().await {
            if socket.feed(WebSocketMessage::binary(frame)).await.is_err() {
                return;
            }
            if self.frames.is_empty() && socket.flush().await.is_err() {
                return;
            }
        }
    }
}
