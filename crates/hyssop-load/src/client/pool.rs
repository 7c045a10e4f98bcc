use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

/// The result of a call.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A complete response.
    Complete {
        status: u16,
        headers: HeaderMap,
        body: Bytes,
    },
    /// No response, or an incomplete one.
    Broken,
    /// The connection could not be established.
    NoConnection,
}

/// A pool of idle connections by target.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

impl Pool {
    /// Sends a call and waits up to `timeout` for the complete response.
    pub(crate) async fn send(&self, target: SocketAddr, call: Call, timeout: Duration) -> Reply {
        let Some(mut sender) = self.connection(target).await else {
            return Reply::NoConnection;
        };
        let exchange = async {
            sender.ready().await.ok()?;
            let response = sender.send_request(encode(target, call)?).await.ok()?;
            let reply = collect(response).await?;
            Some(reply)
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Some(reply)) => {
                self.lock().entry(target).or_default().push(sender);
                reply
            }
            _ => Reply::Broken,
        }
    }

    async fn connection(&self, target: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        loop {
            let pooled = self.lock().get_mut(&target).and_then(Vec::pop);
            match pooled {
                None => break,
                Some(sender) if !sender.is_closed() => return Some(sender),
                Some(_) => {}
            }
        }
        let connect = TcpStream::connect(target);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // The sender gets any error from its own request.
            let _ = connection.await;
        });
        Some(sender)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn encode(target: SocketAddr, call: Call) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(call.path)
        .header("host", target.to_string());
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(call.body)).ok()
}

async fn collect(response: Response<hyper::body::Incoming>) -> Option<Reply> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Reply::Complete {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
    })
}
