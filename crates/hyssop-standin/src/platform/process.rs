use super::service::Control;
use super::{Faults, History, Limit, Service, Stats, Workers};
use hyssop_platform::fake::Store;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Says why the stand-in could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address can't be used.
    #[snafu(display("{address} can't be listened on: {reason}; choose a free address"))]
    Listen {
        /// The address.
        address: String,
        /// What the library said.
        reason: String,
    },
}

/// Holds what the stand-in was started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address.
    pub listen: String,
    /// Row writes a second.
    pub writes_per_second: u32,
    /// Row reads a second.
    pub reads_per_second: u32,
    /// The delay of the list of instances, in milliseconds.
    pub lag_ms: u64,
    /// The number of workers.
    pub workers: u32,
    /// The pools that the workers belong to, in turn.
    pub worker_pools: Vec<String>,
}

const THREADS: usize = 16;
const ROSTER_INTERVAL: Duration = Duration::from_millis(250);

/// Is a platform that listens and does not serve yet.
pub struct Platform {
    server: tiny_http::Server,
    service: Arc<Service>,
}

/// Plays the platform until the process is ended.
///
/// # Errors
///
/// Fails when the address can't be used.
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

/// Listens for calls.
///
/// # Errors
///
/// Fails when the address can't be used.
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
        control: Mutex::new(Control {
            faults: Faults::default(),
            reads: Limit::new(options.reads_per_second),
            writes: Limit::new(options.writes_per_second),
            history: History::new(Duration::from_millis(options.lag_ms)),
            source: None,
            own: BTreeMap::new(),
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

    /// Serves until the process ends.
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
                std::thread::sleep(ROSTER_INTERVAL);
                self.service.refresh_roster();
            }
        });
    }
}
