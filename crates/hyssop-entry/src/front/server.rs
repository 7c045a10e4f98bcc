use super::body::Memory;
use super::service;
use crate::backend;
use crate::core::Inbox;
use crate::jobs::JobStore;
use crate::metric::Metrics;
use crate::operator::CommandHandler;
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

/// The handles that request handlers use, shared by all connections.
pub(crate) struct Frontend {
    pub(crate) state: Arc<State>,
    pub(crate) limits: Limits,
    pub(crate) bodies: Memory,
    pub(crate) inbox: Inbox,
    pub(crate) backends: Arc<backend::Pool>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) recorder: Recorder,
    pub(crate) command_handler: Arc<CommandHandler>,
    pub(crate) jobs: Arc<JobStore>,
    /// The number of the last request to a pool.
    pub(crate) last_request_number: AtomicU64,
}

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Frontend {
    /// Returns the number of the next request, starting at 1.
    pub(crate) fn next_request_number(&self) -> u64 {
        self.last_request_number.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Accepts connections until `stop` becomes true, then lets open connections complete their
/// requests.
pub(crate) async fn serve(
    listener: TcpListener,
    frontend: Arc<Frontend>,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(tokio::sync::Semaphore::new(
        frontend.limits.connections as usize,
    ));
    let mut connections = tokio::task::JoinSet::new();
    while !*stop.borrow() {
        // A caller above the connection limit waits in the listener's backlog and uses no memory of
        // this process.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            break;
        };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let connection = serve_caller(stream, frontend.clone(), stop.clone());
                    connections.spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    log::warn!("event=accept-failed reason={:?}", error.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = stop.changed() => {}
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_caller(stream: TcpStream, frontend: Arc<Frontend>, mut stop: watch::Receiver<bool>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = frontend.limits.clone();
    let service = service_fn(move |request| {
        let frontend = frontend.clone();
        async move { Ok::<_, Infallible>(service::handle(frontend, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head as usize)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("event=caller-connection-ended reason={:?}", error.to_string());
                }
                return;
            }
            changed = stop.changed(), if !is_shutting_down => {
                is_shutting_down = changed.is_err() || *stop.borrow();
                if is_shutting_down {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
