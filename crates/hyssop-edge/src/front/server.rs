use crate::intake::{Inbound, Permit, Socket};
use crate::node::{Node, Stage};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use hyssop_policy::intake::{Listener, Reason};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// The maximum size of a head if the configuration sets no limit.
const DEFAULT_HEADER_BYTES: usize = 16_384;
/// The smallest read buffer that the library takes.
const MIN_BUFFER_BYTES: usize = 8_192;

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
    F: Fn(Rc<Node>, Request<Inbound>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let start = |stream, permit| {
        let (node, traffic) = (node.clone(), traffic.clone());
        tokio::task::spawn_local(serve_connection(node, stream, permit, traffic, handle));
    };
    let accept = async {
        loop {
            let (stream, permit) = node.guard.accept(Listener::Callers, &listener).await;
            start(stream, permit);
        }
    };
    tokio::select! {
        () = accept => {}
        () = node.reached(Stage::Closed) => {}
    }
    // The kernel would reset the connections that wait to be accepted, with their requests.
    match listener.into_std() {
        Ok(listener) => {
            while let Ok((stream, _)) = listener.accept() {
                let stream = stream.set_nonblocking(true).map(|()| stream);
                let permit = node.guard.open(Listener::Callers);
                match (stream.and_then(TcpStream::from_std), permit) {
                    (Ok(stream), Some(permit)) => start(stream, permit),
                    (Ok(_), None) => node.guard.count(Reason::Paused),
                    (Err(error), _) => log::warn!("event=accept-failed reason={error:?}"),
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
    F: Fn(Rc<Node>, Request<Inbound>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    loop {
        let (stream, permit) = node.guard.accept(Listener::Probes, &listener).await;
        let answering = node.clone();
        let answer = move |request| handle(answering.clone(), request);
        let node = node.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                served = connection(&node, stream, &permit, answer) => log_end(served),
                reason = permit.revoked() => log_revoked(reason),
            }
        });
    }
}

/// Serves a caller's connection, until the stop closes it if the caller doesn't.
async fn serve_connection<F, R>(
    node: Rc<Node>,
    stream: TcpStream,
    permit: Rc<Permit>,
    traffic: Rc<Traffic>,
    handle: F,
) where
    F: Fn(Rc<Node>, Request<Inbound>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let _counted = Counted::new(traffic.clone(), |traffic| &traffic.connections);
    // The state and the buffers for requests are allocated once there is something to read.
    let mut first = [0];
    tokio::select! {
        biased;
        count = stream.peek(&mut first) => if !matches!(count, Ok(1)) { return },
        reason = permit.revoked() => return log_revoked(reason),
        () = node.reached(Stage::Final) => return,
    }
    Box::pin(serve_requests(node, stream, permit, traffic, handle)).await;
}

/// Serves the requests of a caller's connection.
async fn serve_requests<F, R>(
    node: Rc<Node>,
    stream: TcpStream,
    permit: Rc<Permit>,
    traffic: Rc<Traffic>,
    handle: F,
) where
    F: Fn(Rc<Node>, Request<Inbound>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let answering = node.clone();
    let answer = move |request| {
        let node = answering.clone();
        let counted = Counted::new(traffic.clone(), |traffic| &traffic.active);
        async move {
            let mut response = handle(node.clone(), request).await;
            drop(counted);
            if node.stage() >= Stage::Parting {
                let value = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, value);
            }
            response
        }
    };
    let mut connection = pin!(connection(&node, stream, &permit, answer));
    let served = tokio::select! {
        // Requests that have arrived are read before the connection is closed.
        biased;
        served = connection.as_mut() => served,
        reason = permit.revoked() => return log_revoked(reason),
        () = node.reached(Stage::Final) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                served = connection => served,
                reason = permit.revoked() => return log_revoked(reason),
            }
        }
    };
    log_end(served);
}

/// Returns the server's side of a connection, whose requests are answered by `handle`.
fn connection<F, R>(
    node: &Node,
    stream: TcpStream,
    permit: &Rc<Permit>,
    handle: F,
) -> http1::Connection<TokioIo<Socket>, impl HttpService<Incoming, ResBody = Full<Bytes>>>
where
    F: Fn(Request<Inbound>) -> R + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=option-failed reason={error:?}");
    }
    let limit = node.configuration.borrow().max_header_bytes;
    let limit = limit.unwrap_or(DEFAULT_HEADER_BYTES);
    let serving = permit.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let permit = serving.clone();
        permit.begin();
        let answered = handle(request.map(|body| Inbound::new(body, permit.clone())));
        async move {
            let response = answered.await;
            permit.answer(response.status().is_success());
            Ok::<_, Infallible>(response)
        }
    });
    // The library's timeout would also run while a connection waits for its next request; the permit has
    // one for each.
    http1::Builder::new()
        .header_read_timeout(None)
        .max_header_size(limit)
        .max_buf_size(limit.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(Socket::new(stream, permit.clone())), service)
}

fn log_revoked(reason: Reason) {
    log::debug!("event=connection-closed reason={reason}");
}

fn log_end(served: hyper::Result<()>) {
    if let Err(error) = served {
        log::debug!("event=caller-gone reason={error:?}");
    }
}
