use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::Request;
use hyper_util::rt::TokioIo;
use hyssop_platform::dialect::{Call, Reply};
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// An open connection, reset when it is dropped.
///
/// After a mere close the network would still deliver what it has not acknowledged, when a cut heals for
/// example, and an order that was given up would take effect after those of the next owner.
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Connection {
    /// Opens a connection and spawns the task that drives it; returns `None` if that fails.
    ///
    /// The system drops the connection when what was sent is not acknowledged within `user_timeout`, also
    /// while this process is paused and can't give the call up.
    pub(super) async fn open(address: SocketAddr, user_timeout: Option<Duration>) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        // Closing the socket resets the connection.
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).ok()?;
        socket.set_tcp_user_timeout(user_timeout).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection-broken to={address} reason={error:?}");
            }
        });
        Some(Self {
            address,
            sender,
            driver: driver.abort_handle(),
        })
    }

    /// Returns whether the peer has closed the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a call and reads its whole answer; returns `None` if the connection breaks.
    pub(super) async fn exchange(&mut self, call: Call) -> Option<Reply> {
        self.sender.ready().await.ok()?;
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(HOST, self.address.to_string());
        if !call.body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(call.body))).ok()?;
        let response = self.sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(Reply {
            status,
            body: body.to_vec(),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Without this the task would shut the connection down in order, which delivers what was sent.
        self.driver.abort();
    }
}
