use crate::core::{Inbox, Message};
use crate::state::State;
use futures_util::StreamExt;
use hyssop_event::Recorder;
use hyssop_model::entry;
use hyssop_wire::{Body, Frame};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::Message as WebSocketMessage;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from peers and forwards their frames to the core.
pub(crate) async fn listen(
    listener: TcpListener,
    inbox: Inbox,
    recorder: Recorder,
    state: Arc<State>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(receive(
                    stream,
                    inbox.clone(),
                    recorder.clone(),
                    state.clone(),
                ));
            }
            Err(error) => {
                log::warn!("event=peer-accept-failed reason={error:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn receive(stream: TcpStream, inbox: Inbox, recorder: Recorder, state: Arc<State>) {
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, accept_async(stream));
    let Ok(Ok(mut socket)) = handshake.await else {
        return;
    };
    let mut peer: Option<entry::Id> = None;
    while let Some(Ok(message)) = socket.next().await {
        let WebSocketMessage::Binary(bytes) = message else {
            continue;
        };
        let frame = match Frame::decode(&bytes) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!("event=frame-refused reason={:?}", error.to_string());
                return;
            }
        };
        recorder.observe(frame.stamp);
        state.record_contact(Instant::now());
        match (frame.body, peer) {
            (Body::Hello(member), _) => peer = Some(member.id),
            (body, Some(from)) => {
                if inbox.send(Message::Frame { from, body }).is_err() {
                    return;
                }
            }
            (_, None) => return,
        }
    }
}
