use crate::node::{Node, Stage};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A connection whose headers take longer is closed, so that it ties up no resources.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The requests in flight and the open connections, so that a stop can wait for them.
#[derive(Default)]
pub(crate) struct Traffic {
    pub(crate) active: Cell<usize>,
    pub(crate) connections: Cell<usize>,
}

/// One request or connection in a count, until it is dropped: a caller that leaves ends its
/// request at any point.
struct Counted<F: Fn(&Traffic) -> &Cell<usize>> {
    traffic: Rc<Traffic>,
    count: F,
}

impl<F: Fn(&Traffic) -> &Cell<usize>> Counted<F> {
    fn new(traffic: Rc<Traffic>, count: F) -> Self {
        count(&traffic).set(count(&traffic).get() + 1);
        Self { traffic, count }
    }
}

impl<F: Fn(&Traffic) -> &Cell<usize>> Drop for Counted<F> {
    fn drop(&mut self) {
        let count = (self.count)(&self.traffic);
        count.set(count.get() - 1);
    }
}

/// Accepts callers' connections on `listener` until the stop closes it, and serves their requests
/// with `handle`.
pub(crate) async fn serve<F, R>(
    node: Rc<Node>,
    listener: TcpListener,
    traffic: Rc<Traffic>,
    handle: F,
) where
    F: Fn(Rc<Node>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let start = |stream| {
        let (node, traffic) = (node.clone(), traffic.clone());
        tokio::task::spawn_local(serve_connection(node, stream, traffic, handle));
    };
    tokio::select! {
        () = accept(&listener, start) => {}
        () = node.reached(Stage::Closed) => {}
    }
    // The kernel would reset the connections that wait to be accepted, with their requests.
    match listener.into_std() {
        Ok(listener) => {
            while let Ok((stream, _)) = listener.accept() {
                let stream = stream.set_nonblocking(true).map(|()| stream);
                match stream.and_then(TcpStream::from_std) {
                    Ok(stream) => start(stream),
                    Err(error) => log::warn!("event=accept-failed reason={error:?}"),
                }
            }
        }
        Err(error) => log::warn!("event=accept-failed reason={error:?}"),
    }
}

/// Accepts connections on `listener` and answers their probes with `handle` until the process
/// exits.
pub(crate) async fn serve_probes<F, R>(node: Rc<Node>, listener: TcpListener, handle: F)
where
    F: Fn(Rc<Node>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    accept(&listener, |stream| {
        let node = node.clone();
        let answer = move |request| {
            let probed = handle(node.clone(), request);
            async move { Ok::<_, Infallible>(probed.await) }
        };
        tokio::task::spawn_local(async move {
            log_end(connection(stream, service_fn(answer)).await);
        });
    })
    .await;
}

/// Accepts connections and passes them to `start`, without end.
async fn accept(listener: &TcpListener, start: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                log::warn!("event=accept-failed reason={error:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a caller's connection, until the stop closes it if the caller doesn't.
async fn serve_connection<F, R>(node: Rc<Node>, stream: TcpStream, traffic: Rc<Traffic>, handle: F)
where
    F: Fn(Rc<Node>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let _counted = Counted::new(traffic.clone(), |traffic| &traffic.connections);
    let answering = node.clone();
    let service = service_fn(move |request| {
        let node = answering.clone();
        let counted = Counted::new(traffic.clone(), |traffic| &traffic.active);
        async move {
            let mut response = handle(node.clone(), request).await;
            drop(counted);
            if node.stage() >= Stage::Parting {
                let value = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, value);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = pin!(connection(stream, service));
    let served = tokio::select! {
        // Requests that have arrived are read before the connection is closed.
        biased;
        served = connection.as_mut() => served,
        () = node.reached(Stage::Final) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    log_end(served);
}

/// Returns the server's side of a connection.
fn connection<S>(stream: TcpStream, service: S) -> http1::Connection<TokioIo<TcpStream>, S>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=option-failed reason={error:?}");
    }
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
}

fn log_end(served: hyper::Result<()>) {
    if let Err(error) = served {
        log::debug!("event=caller-gone reason={error:?}");
    }
}
