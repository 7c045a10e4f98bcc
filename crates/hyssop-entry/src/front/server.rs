use super::service;
use crate::backend;
use crate::core::Inbox;
use crate::jobs::Calls;
use crate::metric::Metrics;
use crate::operator::Operator;
use crate::state::State;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyssop_config::settings::Limits;
use hyssop_event::Recorder;
use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Is what the front works with.
pub(crate) struct Front {
    pub(crate) state: Arc<State>,
    pub(crate) limits: Limits,
    pub(crate) inbox: Inbox,
    pub(crate) backends: Arc<backend::Pool>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) recorder: Recorder,
    pub(crate) operator: Arc<Operator>,
    pub(crate) jobs: Arc<Calls>,
    pub(crate) requests: AtomicU64,
}

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

impl Front {
    /// Returns the number of the next request, from 1.
    pub(crate) fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Accepts callers until `stop` says so, then lets open connections finish their requests.
pub(crate) async fn serve(
    listener: TcpListener,
    front: Arc<Front>,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(tokio::sync::Semaphore::new(
        front.limits.connections as usize,
    ));
    let mut connections = tokio::task::JoinSet::new();
    while !*stop.borrow() {
        // A caller beyond the limit waits in the listener's backlog and costs no memory here.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            break;
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let connection = connect(stream, front.clone(), stop.clone());
                    connections.spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    log::warn!("event=accept-failed reason={:?}", error.to_string());
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = stop.changed() => {}
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connect(stream: TcpStream, front: Arc<Front>, mut stop: watch::Receiver<bool>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = front.limits.clone();
    let service = service_fn(move |request| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(service::answer(front, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head as usize)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_told = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("event=caller-connection-ended reason={:?}", error.to_string());
                }
                return;
            }
            changed = stop.changed(), if !is_told => {
                is_told = changed.is_err() || *stop.borrow();
                if is_told {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
