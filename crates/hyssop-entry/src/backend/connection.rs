use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// An HTTP/1.1 connection to a backend server.
pub(crate) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) idle_since: Instant,
}

/// Opens a connection, or returns `None` when connecting fails or exceeds `timeout`.
pub(super) async fn open(address: SocketAddr, timeout: Duration) -> Option<Connection> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // A connection error is also returned to the request that uses the sender.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        idle_since: Instant::now(),
    })
}
