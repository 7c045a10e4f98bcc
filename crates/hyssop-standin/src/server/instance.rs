use super::{work, ExecutionCounter, Fault};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// A simulated instance with its limits, state and counters.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) number: u32,
    pub(crate) address: SocketAddr,
    pub(crate) rack: String,
    pub(crate) data_centre: String,
    pub(crate) slots: u32,
    pub(crate) connection_limit: u32,
    pub(crate) in_progress: AtomicU32,
    pub(crate) most_in_progress: AtomicU32,
    pub(crate) over_slots: AtomicU64,
    pub(crate) connections: AtomicU32,
    pub(crate) most_connections: AtomicU32,
    pub(crate) over_connections: AtomicU64,
    pub(crate) starts: AtomicU64,
    pub(crate) busy_us: AtomicU64,
    pub(crate) last_start_us: AtomicU64,
    pub(crate) cut_off: AtomicU64,
    pub(crate) boots: AtomicU64,
    pub(crate) is_up: AtomicBool,
    fault: Mutex<Fault>,
    state_changed: Notify,
    is_reboot_pending: AtomicBool,
}

/// An instance's identity, location and limits.
#[derive(Clone, Debug)]
pub(crate) struct InstanceConfig {
    pub(crate) name: String,
    pub(crate) number: u32,
    pub(crate) rack: String,
    pub(crate) data_centre: String,
    pub(crate) slots: u32,
    pub(crate) connection_limit: u32,
}

const REBIND_INTERVAL: Duration = Duration::from_millis(50);

impl Instance {
    pub(crate) fn new(config: InstanceConfig, address: SocketAddr) -> Self {
        Self {
            name: config.name,
            number: config.number,
            address,
            rack: config.rack,
            data_centre: config.data_centre,
            slots: config.slots,
            connection_limit: config.connection_limit,
            in_progress: AtomicU32::new(0),
            most_in_progress: AtomicU32::new(0),
            over_slots: AtomicU64::new(0),
            connections: AtomicU32::new(0),
            most_connections: AtomicU32::new(0),
            over_connections: AtomicU64::new(0),
            starts: AtomicU64::new(0),
            busy_us: AtomicU64::new(0),
            last_start_us: AtomicU64::new(0),
            cut_off: AtomicU64::new(0),
            boots: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            fault: Mutex::default(),
            state_changed: Notify::new(),
            is_reboot_pending: AtomicBool::new(false),
        }
    }

    pub(crate) fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        self.state_changed.notify_one();
    }

    /// Blocks until the listener and all connections are closed, so that a request sent after a
    /// fault was acknowledged is refused. Gives up after some seconds.
    pub(crate) fn wait_until_down(&self) {
        const TIMEOUT: Duration = Duration::from_secs(5);
        const POLL_INTERVAL: Duration = Duration::from_millis(1);
        let started_at = Instant::now();
        while self.is_up.load(Ordering::SeqCst) && started_at.elapsed() < TIMEOUT {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    pub(crate) fn reboot(&self) {
        self.is_reboot_pending.store(true, Ordering::SeqCst);
        self.state_changed.notify_one();
    }

    /// Acquires a slot for a request and counts its start, or returns false when all slots are in
    /// use.
    pub(crate) fn try_start(&self) -> bool {
        let before = self.in_progress.fetch_add(1, Ordering::SeqCst);
        if before >= self.slots {
            self.in_progress.fetch_sub(1, Ordering::SeqCst);
            self.over_slots.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        self.most_in_progress
            .fetch_max(before + 1, Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.last_start_us.store(unix_time_us(), Ordering::SeqCst);
        true
    }

    /// Serves until the process ends, across faults and reboots.
    pub(crate) async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        executions: Arc<ExecutionCounter>,
        reboot_duration: Duration,
    ) {
        let mut listener = Some(listener);
        loop {
            let bound = match listener.take() {
                Some(bound) => bound,
                None => self.bind().await,
            };
            self.is_up.store(true, Ordering::SeqCst);
            self.serve_until_interrupted(bound, &executions).await;
            self.is_up.store(false, Ordering::SeqCst);
            if self.is_reboot_pending.swap(false, Ordering::SeqCst) {
                self.boots.fetch_add(1, Ordering::SeqCst);
                tokio::time::sleep(reboot_duration).await;
            }
            while self.fault() == Fault::Refuse {
                self.state_changed.notified().await;
            }
        }
    }

    async fn bind(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
        }
    }

    /// Accepts connections until a reboot or the fault `refuse` interrupts it, then closes all of
    /// them.
    async fn serve_until_interrupted(
        self: &Arc<Self>,
        listener: TcpListener,
        executions: &Arc<ExecutionCounter>,
    ) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    connections.spawn(self.clone().handle_connection(stream, executions.clone()));
                },
                () = self.state_changed.notified() => {
                    if self.is_reboot_pending.load(Ordering::SeqCst) || self.fault() == Fault::Refuse {
                        break;
                    }
                }
            }
            while connections.try_join_next().is_some() {}
        }
        let running = self.in_progress.load(Ordering::SeqCst);
        self.cut_off.fetch_add(u64::from(running), Ordering::SeqCst);
        connections.shutdown().await;
    }

    async fn handle_connection(
        self: Arc<Self>,
        stream: TcpStream,
        executions: Arc<ExecutionCounter>,
    ) {
        let connection = OpenConnection::new(&self);
        if connection.count > self.connection_limit {
            self.over_connections.fetch_add(1, Ordering::SeqCst);
            return;
        }
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let instance = self.clone();
        let service = service_fn(move |request| {
            let (instance, executions) = (instance.clone(), executions.clone());
            async move { Ok::<_, Infallible>(work::handle(instance, executions, request).await) }
        });
        // The client sees and counts a failed connection, so the error needs no handling here.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }
}

/// A guard that counts a connection as open until it is dropped.
struct OpenConnection<'a> {
    instance: &'a Instance,
    count: u32,
}

impl<'a> OpenConnection<'a> {
    fn new(instance: &'a Instance) -> Self {
        let count = instance.connections.fetch_add(1, Ordering::SeqCst) + 1;
        instance.most_connections.fetch_max(count, Ordering::SeqCst);
        Self { instance, count }
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.instance.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(crate) fn unix_time_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
