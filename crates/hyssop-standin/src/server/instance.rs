use super::{work, Executed, Fault};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Is one played instance and what it counted.
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
    change: Notify,
    is_reboot_asked: AtomicBool,
}

/// Is what the instance's place in the fleet says of it.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) name: String,
    pub(crate) number: u32,
    pub(crate) rack: String,
    pub(crate) data_centre: String,
    pub(crate) slots: u32,
    pub(crate) connection_limit: u32,
}

const REBIND_PAUSE: Duration = Duration::from_millis(50);

impl Instance {
    pub(crate) fn new(place: Place, address: SocketAddr) -> Self {
        Self {
            name: place.name,
            number: place.number,
            address,
            rack: place.rack,
            data_centre: place.data_centre,
            slots: place.slots,
            connection_limit: place.connection_limit,
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
            change: Notify::new(),
            is_reboot_asked: AtomicBool::new(false),
        }
    }

    pub(crate) fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        self.change.notify_one();
    }

    pub(crate) fn reboot(&self) {
        self.is_reboot_asked.store(true, Ordering::SeqCst);
        self.change.notify_one();
    }

    /// Notes the start of a request, or returns whether it would be over the slots.
    pub(crate) fn start(&self) -> bool {
        let before = self.in_progress.fetch_add(1, Ordering::SeqCst);
        if before >= self.slots {
            self.in_progress.fetch_sub(1, Ordering::SeqCst);
            self.over_slots.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        self.most_in_progress
            .fetch_max(before + 1, Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.last_start_us.store(wall_us(), Ordering::SeqCst);
        true
    }

    /// Serves until the process ends, through faults and reboots.
    pub(crate) async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        executed: Arc<Executed>,
        reboot: Duration,
    ) {
        let mut listener = Some(listener);
        loop {
            let bound = match listener.take() {
                Some(bound) => bound,
                None => self.bind().await,
            };
            self.is_up.store(true, Ordering::SeqCst);
            self.serve_up(bound, &executed).await;
            self.is_up.store(false, Ordering::SeqCst);
            if self.is_reboot_asked.swap(false, Ordering::SeqCst) {
                self.boots.fetch_add(1, Ordering::SeqCst);
                tokio::time::sleep(reboot).await;
            }
            while self.fault() == Fault::Refuse {
                self.change.notified().await;
            }
        }
    }

    async fn bind(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
            }
        }
    }

    /// Accepts connections until a reboot or a refusal is asked for; then all are cut off.
    async fn serve_up(self: &Arc<Self>, listener: TcpListener, executed: &Arc<Executed>) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    connections.spawn(self.clone().connect(stream, executed.clone()));
                },
                () = self.change.notified() => {
                    if self.is_reboot_asked.load(Ordering::SeqCst) || self.fault() == Fault::Refuse {
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

    async fn connect(self: Arc<Self>, stream: TcpStream, executed: Arc<Executed>) {
        let open = Open::new(&self);
        if open.count > self.connection_limit {
            self.over_connections.fetch_add(1, Ordering::SeqCst);
            return;
        }
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let instance = self.clone();
        let service = service_fn(move |request| {
            let (instance, executed) = (instance.clone(), executed.clone());
            async move { Ok::<_, Infallible>(work::answer(instance, executed, request).await) }
        });
        // A connection that ends in an error is the caller's loss, which its own count shows.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }
}

/// Counts an open connection until it is dropped.
struct Open<'a> {
    instance: &'a Instance,
    count: u32,
}

impl<'a> Open<'a> {
    fn new(instance: &'a Instance) -> Self {
        let count = instance.connections.fetch_add(1, Ordering::SeqCst) + 1;
        instance.most_connections.fetch_max(count, Ordering::SeqCst);
        Self { instance, count }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.instance.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(crate) fn wall_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
