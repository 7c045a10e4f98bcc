use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use hyper::Request;
use std::time::Duration;

/// How long the rest of a body may take to arrive; long enough for one that is on its way.
const DISCARD_TIME: Duration = Duration::from_millis(250);

/// Reads and drops up to `limit` bytes of the body of a request that is refused.
///
/// The kernel resets a connection that is closed with unread bytes, and the response may be lost.
pub(crate) async fn discard(request: Request<Incoming>, limit: usize) {
    // The caller waits for permission to send its body.
    if request.headers().contains_key(EXPECT) {
        return;
    }
    let mut body = request.into_body();
    let mut left = limit;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            let Some(rest) = left.checked_sub(frame.data_ref().map_or(0, bytes::Bytes::len)) else {
                return;
            };
            left = rest;
        }
    };
    // What arrives later is lost with the connection.
    let _ = tokio::time::timeout(DISCARD_TIME, read).await;
}
