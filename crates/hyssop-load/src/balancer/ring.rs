use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A round-robin balancer of targets with their readiness.
#[derive(Clone, Debug)]
pub struct Balancer {
    targets: Arc<Mutex<Vec<Target>>>,
    next_index: Arc<AtomicUsize>,
}

#[derive(Clone, Debug)]
struct Target {
    address: SocketAddr,
    is_ready: bool,
}

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT_S: u64 = 1;

impl Balancer {
    /// Creates a balancer of targets that are initially considered ready.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let targets = addresses.iter().map(|address| Target {
            address: *address,
            is_ready: true,
        });
        Self {
            targets: Arc::new(Mutex::new(targets.collect())),
            next_index: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Adds a target, which gets requests once a probe finds it ready.
    pub fn add(&self, address: SocketAddr) {
        self.lock().push(Target {
            address,
            is_ready: false,
        });
    }

    /// Removes a target.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().retain(|target| target.address != address);
    }

    /// Returns the next target among the ready ones, or among all if none is ready.
    pub fn next(&self) -> Option<SocketAddr> {
        let index = self.next_index.fetch_add(1, Ordering::Relaxed);
        let targets = self.lock();
        let ready: Vec<&Target> = targets.iter().filter(|target| target.is_ready).collect();
        if ready.is_empty() {
            let count = targets.len().max(1);
            return targets.get(index % count).map(|target| target.address);
        }
        ready.get(index % ready.len()).map(|target| target.address)
    }

    /// Starts a thread that periodically probes the readiness of the targets.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be spawned.
    pub fn watch(&self) -> std::io::Result<()> {
        let balancer = self.clone();
        std::thread::Builder::new()
            .name("balancer".to_owned())
            .spawn(move || balancer.probe_targets())?;
        Ok(())
    }

    fn probe_targets(&self) {
        // Stops after the last other clone is dropped, so that a finished run leaves no thread behind.
        while Arc::strong_count(&self.targets) > 1 {
            let addresses: Vec<SocketAddr> =
                self.lock().iter().map(|target| target.address).collect();
            std::thread::scope(|scope| {
                for address in addresses {
                    scope.spawn(move || {
                        let is_ready = is_ready(address);
                        let mut targets = self.lock();
                        if let Some(target) =
                            targets.iter_mut().find(|target| target.address == address)
                        {
                            target.is_ready = is_ready;
                        }
                    });
                }
            });
            std::thread::sleep(PROBE_INTERVAL);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Target>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_ready(address: SocketAddr) -> bool {
    const OK: i32 = 200;
    let url = format!("http://{address}/health/ready");
    let response = minreq::get(url).with_timeout(PROBE_TIMEOUT_S).send();
    response.is_ok_and(|response| response.status_code == OK)
}
