use super::Server;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, LocalSet};

/// The connections that are open at once; more wait in the listener's backlog. A few collectors and
/// operators have one each.
const MAX_CONNECTIONS: usize = 64;
/// The time of a connection, which carries one request. A collector sends it and takes the answer at once.
const CONNECTION_TIME: Duration = Duration::from_secs(3);
/// The maximum size of a request's head, in bytes, as that of an entry by default.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
/// The pause after a connection could not be accepted, for instance without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A bound status address that answers requests once it is served.
pub(crate) struct Listener {
    listener: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub(crate) fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address, with the port chosen by the system for port 0.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until the process ends.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the runtime can't be set up.
    pub(crate) fn serve(self, server: Server) -> std::io::Result<()> {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build()?;
        LocalSet::new().block_on(&runtime, accept(self.listener, Rc::new(server)))
    }
}

async fn accept(listener: TcpListener, server: Rc<Server>) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return Ok(());
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = server.clone();
                spawn_local(async move {
                    // A connection without progress ends with its time, whatever it has sent or taken.
                    let served = tokio::time::timeout(CONNECTION_TIME, serve(stream, server)).await;
                    if served.is_err() {
                        log::debug!("event=status-connection-ended reason=timeout");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("event=accept-failed reason={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the one request of a connection.
async fn serve(stream: TcpStream, server: Rc<Server>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = server.handle(request.uri());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(
            "event=status-connection-ended reason={:?}",
            error.to_string()
        );
    }
}

/// Returns a response with this status and body.
pub(super) fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
