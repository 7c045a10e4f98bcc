use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A connection whose headers take longer is closed, so that it ties up no resources.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The number of requests in flight, so that a stop can wait for them.
#[derive(Default)]
pub(crate) struct Traffic {
    pub(crate) active: Cell<usize>,
}

/// Accepts connections on `listener` and serves their requests with `handle`.
pub(crate) async fn serve<F, R>(
    node: Rc<Node>,
    listener: TcpListener,
    traffic: Rc<Traffic>,
    handle: F,
) where
    F: Fn(Rc<Node>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                let traffic = traffic.clone();
                tokio::task::spawn_local(serve_connection(node, stream, traffic, handle));
            }
            Err(error) => {
                log::warn!("event=accept-failed reason={error:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<F, R>(node: Rc<Node>, stream: TcpStream, traffic: Rc<Traffic>, handle: F)
where
    F: Fn(Rc<Node>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=option-failed reason={error:?}");
    }
    let service = service_fn(move |request| {
        let node = node.clone();
        let traffic = traffic.clone();
        traffic.active.set(traffic.active.get() + 1);
        async move {
            let response = handle(node, request).await;
            traffic.active.set(traffic.active.get() - 1);
            Ok::<_, Infallible>(response)
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("event=caller-gone reason={error:?}");
    }
}
