use super::service::State;
use super::{Faults, History, RateLimiter, Service, Stats, Workers};
use hyssop_platform::fake::Store;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A failure to start the stand-in.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stand-in cannot listen on the address.
    #[snafu(display("cannot listen on {address}: {reason}; choose a free address"))]
    Listen {
        /// The address.
        address: String,
        /// The HTTP library's error message.
        reason: String,
    },
}

/// The start options of the platform stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on, `IP:PORT`.
    pub listen: String,
    /// The limit of row writes per second.
    pub writes_per_second: u32,
    /// The limit of row reads per second.
    pub reads_per_second: u32,
    /// The age of the served list of instances, in milliseconds.
    pub lag_ms: u64,
    /// The number of workers.
    pub workers: u32,
    /// The pools that the workers are assigned to in turn; without any, there are no workers.
    pub worker_pools: Vec<String>,
}

const THREADS: usize = 16;
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// A platform stand-in that is bound to its address and responds once `serve` is called.
pub struct Platform {
    server: tiny_http::Server,
    service: Arc<Service>,
}

/// Starts the platform stand-in and serves until the process ends.
///
/// # Errors
///
/// Fails when it cannot listen on the address.
pub fn run(options: Options) -> Result<(), Error> {
    let platform = listen(options)?;
    println!(
        "ready platform={} pid={}",
        platform.url(),
        std::process::id()
    );
    platform.serve();
    Ok(())
}

/// Binds the address without serving requests yet.
///
/// # Errors
///
/// Fails when it cannot listen on the address.
pub fn listen(options: Options) -> Result<Platform, Error> {
    let server = tiny_http::Server::http(&options.listen).map_err(|error| {
        ListenSnafu {
            address: &options.listen,
            reason: error.to_string(),
        }
        .build()
    })?;
    let service = Arc::new(Service {
        store: Store::default(),
        state: Mutex::new(State {
            faults: Faults::default(),
            reads: RateLimiter::new(options.reads_per_second),
            writes: RateLimiter::new(options.writes_per_second),
            history: History::new(Duration::from_millis(options.lag_ms)),
            roster_source: None,
            process_ids: BTreeMap::new(),
            stats: Stats::default(),
            workers: Workers::new(options.workers, &options.worker_pools),
        }),
    });
    Ok(Platform { server, service })
}

impl Platform {
    /// Returns the base address.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.server_addr())
    }

    /// Serves requests and refreshes the list of instances until the process ends.
    pub fn serve(&self) {
        std::thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| {
                    while let Ok(request) = self.server.recv() {
                        self.service.serve(request);
                    }
                });
            }
            loop {
                std::thread::sleep(REFRESH_INTERVAL);
                self.service.refresh_roster();
            }
        });
    }
}
