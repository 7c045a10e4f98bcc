use std::time::Duration;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// How long an open link without any use is kept.
pub(crate) const MAX_IDLE: Duration = Duration::from_secs(30);
/// The size of a connection's read and write buffers; larger frames still pass. An owner has a
/// connection from every process that serves its pool's callers.
const BUFFER_BYTES: usize = 2 * 1_024;
/// The limit on a frame: a body of a caller's request and its fields.
const MAX_FRAME_BYTES: usize = 2 * 1_024 * 1_024;

/// Returns the configuration of all connections between peers.
pub(super) fn configuration() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
