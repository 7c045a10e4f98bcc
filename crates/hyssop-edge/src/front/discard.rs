use crate::intake::Inbound;
use hyper::header::EXPECT;
use hyper::Request;
use std::time::Duration;

/// How long the rest of a body may take to arrive; long enough for one that is on its way.
const DISCARD_TIME: Duration = Duration::from_millis(250);

/// Reads and drops up to `limit` bytes of the body of a request that is refused.
///
/// The kernel resets a connection that is closed with unread bytes, and the response may be lost.
pub(crate) async fn discard(request: Request<Inbound>, limit: usize) {
    // The caller waits for permission to send its body.
    if request.headers().contains_key(EXPECT) {
        return;
    }
    discard_body(request.into_body(), limit).await;
}

/// Reads and drops up to `limit` bytes of the rest of a body that its caller sends without waiting.
pub(super) async fn discard_body(body: Inbound, limit: usize) {
    // What arrives later is lost with the connection.
    let _ = tokio::time::timeout(DISCARD_TIME, body.discard(limit)).await;
}
