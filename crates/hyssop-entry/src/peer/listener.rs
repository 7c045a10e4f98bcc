use super::opening::Opening;
use crate::core::{Inbox, Message};
use crate::state::State;
use futures_util::StreamExt;
use hyssop_event::Recorder;
use hyssop_model::entry;
use hyssop_wire::{Body, Frame};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::Message as WebSocketMessage;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The time for a peer's first frame, which it sends at once after the handshake.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// The links from peers that are open at once; each other entry has one.
const MAX_LINKS: usize = 48;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from peers and forwards their frames to the core.
pub(crate) async fn listen(
    listener: TcpListener,
    inbox: Inbox,
    recorder: Recorder,
    state: Arc<State>,
) {
    let permits = Arc::new(Semaphore::new(MAX_LINKS));
    loop {
        // More peers wait in the listener's backlog.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = receive(stream, inbox.clone(), recorder.clone(), state.clone());
                tokio::spawn(async move {
                    link.await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("event=peer-accept-failed reason={error:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn receive(stream: TcpStream, inbox: Inbox, recorder: Recorder, state: Arc<State>) {
    let (stream, allowance) = Opening::new(stream);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, accept_async(stream));
    let Ok(Ok(mut socket)) = handshake.await else {
        return;
    };
    let mut peer: Option<entry::Id> = None;
    loop {
        let next = match peer {
            Some(_) => socket.next().await,
            None => match tokio::time::timeout(HELLO_TIMEOUT, socket.next()).await {
                Ok(next) => next,
                Err(_) => return,
            },
        };
        let Some(Ok(message)) = next else {
            return;
        };
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
            (Body::Hello(member), _) => {
                peer = Some(member.id);
                allowance.lift();
            }
            (body, Some(from)) => {
                if inbox.send(Message::Frame { from, body }).is_err() {
                    return;
                }
            }
            (_, None) => return,
        }
    }
}
