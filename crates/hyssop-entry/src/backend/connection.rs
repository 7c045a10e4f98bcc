use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Is one connection to a backend server.
pub(crate) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) idle_since: Instant,
}

/// Opens a connection, or returns `None` when that fails or takes longer than `timeout`.
pub(super) async fn open(address: SocketAddr, timeout: Duration) -> Option<Connection> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // The sender learns of an error by its own request.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        idle_since: Instant::now(),
    })
}
