use super::{settings, Options};
use crate::error::{CallSnafu, ConfigSnafu, Error, FileSnafu, TimedOutSnafu};
use crate::process::{Child, Spec};
use hyssop_config::fleet::Fleet;
use hyssop_config::settings::Machines;
use hyssop_event::Record;
use hyssop_load::Balancer;
use hyssop_model::instance;
use hyssop_standin::platform::Stats;
use hyssop_standin::server::InstanceView;
use nix::sys::signal::Signal;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A running cluster, whose processes are killed when it is dropped.
pub(crate) struct Cluster {
    pub(crate) options: Options,
    pub(crate) machines: Machines,
    pub(crate) platform: Child,
    pub(crate) servers: Child,
    pub(crate) entries: Vec<Child>,
    pub(crate) planners: Vec<Child>,
    pub(crate) directory: PathBuf,
    started_entries: usize,
}

/// The number of executions per request ID and per idempotency key, counted by the stand-in
/// servers.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct Executions {
    pub(crate) requests: BTreeMap<String, u32>,
    pub(crate) keys: BTreeMap<String, u32>,
}

const CALL_TIMEOUT_S: u64 = 10;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Cluster {
    /// Starts every process, applies the configuration and waits until all entries are ready.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or the cluster does not become ready in time.
    pub(crate) fn start(options: Options) -> Result<Self, Error> {
        let machines = Machines::read(&options.machines()).context(ConfigSnafu)?;
        let directory = scratch_directory()?;
        let platform = Child::start(&Spec {
            name: "platform".to_owned(),
            program: "standin-platform",
            arguments: vec![
                "--workers".to_owned(),
                machines.workers.to_string(),
                "--worker-pools".to_owned(),
                pool_names(&options.config)?.join(","),
            ],
            directory: directory.clone(),
        })?;
        let servers = Child::start(&Spec {
            name: "servers".to_owned(),
            program: "standin-server",
            arguments: vec![
                "--platform".to_owned(),
                platform.url.clone(),
                "--reboot-ms".to_owned(),
                options.reboot_ms.to_string(),
                "--threads".to_owned(),
                options.server_threads.to_string(),
                options.machines(),
            ],
            directory: directory.clone(),
        })?;
        let mut cluster = Self {
            options,
            machines,
            platform,
            servers,
            entries: Vec::new(),
            planners: Vec::new(),
            directory,
            started_entries: 0,
        };
        for _ in 0..cluster.options.entries {
            cluster.add_entry()?;
            cluster.add_planner()?;
        }
        cluster.apply_initial_config()?;
        cluster.wait_until_ready()?;
        Ok(cluster)
    }

    /// Starts another entry and returns the address on which it accepts callers.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be started.
    pub(crate) fn add_entry(&mut self) -> Result<SocketAddr, Error> {
        self.started_entries += 1;
        let name = format!("entry-{}", self.started_entries);
        let data_centre = self.next_data_centre();
        let text = settings::entry(
            &self.options,
            &name,
            &self.machines.region,
            &data_centre,
            &self.platform.url,
        );
        let entry = self.spawn(&name, "hyssop-entry", &text)?;
        self.post(
            &format!("{}/own/{name}?pid={}", self.platform.url, entry.pid),
            "",
        )?;
        let address = parse_address(entry.address());
        self.entries.push(entry);
        Ok(address)
    }

    fn add_planner(&mut self) -> Result<(), Error> {
        let name = format!("planner-{}", self.planners.len() + 1);
        let data_centre = self.next_data_centre();
        let text = settings::planner(
            &self.options,
            &name,
            &self.machines.region,
            &data_centre,
            &self.platform.url,
        );
        let planner = self.spawn(&name, "hyssop-planner", &text)?;
        self.planners.push(planner);
        Ok(())
    }

    fn next_data_centre(&self) -> String {
        let names = &self.machines.data_centres;
        names[self.started_entries % names.len()].clone()
    }

    fn spawn(&self, name: &str, program: &'static str, text: &str) -> Result<Child, Error> {
        let path = self.directory.join(format!("{name}.ini"));
        let settings_path = path.display().to_string();
        std::fs::write(&path, text).context(FileSnafu {
            path: &settings_path,
        })?;
        Child::start(&Spec {
            name: name.to_owned(),
            program,
            arguments: vec![settings_path],
            directory: self.directory.clone(),
        })
    }

    fn apply_initial_config(&self) -> Result<(), Error> {
        let path = &self.options.config;
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let url = format!(
            "{}/v1/operator/config?expect=0&author=lab",
            self.entries[0].url
        );
        self.post(&url, &text).map(|_| ())
    }

    /// Waits until every entry is ready and uses every instance.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`READY_TIMEOUT`].
    pub(crate) fn wait_until_ready(&self) -> Result<(), Error> {
        self.wait_for("readiness of all entries", READY_TIMEOUT, || {
            let instances: Vec<instance::Record> =
                self.get(&format!("{}/v1/operator/instances", self.entries[0].url))?;
            let ready = self
                .entries
                .iter()
                .filter(|entry| self.is_ready(entry))
                .count();
            Ok(ready == self.entries.len() && instances.len() == self.machines.instances as usize)
        })?;
        // Slots become usable once the peers' statuses for the latest epoch have arrived, which
        // takes at most one heartbeat.
        const STATUS_DELAY: Duration = Duration::from_millis(2500);
        std::thread::sleep(STATUS_DELAY);
        Ok(())
    }

    /// Returns whether an entry is ready for requests.
    pub(crate) fn is_ready(&self, entry: &Child) -> bool {
        const OK: i32 = 200;
        let url = format!("{}/health/ready", entry.url);
        let response = minreq::get(url).with_timeout(1).send();
        response.is_ok_and(|response| response.status_code == OK)
    }

    /// Polls until `condition` holds; an error counts as not yet.
    ///
    /// # Errors
    ///
    /// Fails if the condition does not hold within `timeout`.
    pub(crate) fn wait_for(
        &self,
        what: &str,
        timeout: Duration,
        mut condition: impl FnMut() -> Result<bool, Error>,
    ) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        loop {
            if condition().unwrap_or(false) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let seconds = timeout.as_secs();
                return TimedOutSnafu { what, seconds }.fail();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns a balancer over all entries.
    pub(crate) fn balancer(&self) -> Balancer {
        Balancer::new(&self.addresses())
    }

    /// Returns the addresses on which the entries accept callers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| parse_address(entry.address()))
            .collect()
    }

    /// Reads the executions of the stand-in servers.
    ///
    /// # Errors
    ///
    /// Fails if the servers are unreachable.
    pub(crate) fn executions(&self) -> Result<Executions, Error> {
        self.get(&format!("{}/executed", self.servers.url))
    }

    /// Reads the counters of the instances from the stand-in servers.
    ///
    /// # Errors
    ///
    /// Fails if the servers are unreachable.
    pub(crate) fn views(&self) -> Result<Vec<InstanceView>, Error> {
        self.get(&format!("{}/instances", self.servers.url))
    }

    /// Reads the instance records from the first entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not respond.
    pub(crate) fn instances(&self) -> Result<Vec<instance::Record>, Error> {
        self.get(&format!("{}/v1/operator/instances", self.entries[0].url))
    }

    /// Reads the platform's counters.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unreachable.
    pub(crate) fn stats(&self) -> Result<Stats, Error> {
        self.get(&format!("{}/stats", self.platform.url))
    }

    /// Injects a fault into the platform, such as `kind=down&ms=5000`.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unreachable.
    pub(crate) fn platform_fault(&self, query: &str) -> Result<(), Error> {
        self.post(&format!("{}/fault?{query}", self.platform.url), "")
            .map(|_| ())
    }

    /// Injects a fault into an instance, such as `fail`.
    ///
    /// # Errors
    ///
    /// Fails if the servers are unreachable.
    pub(crate) fn instance_fault(&self, instance: &str, kind: &str) -> Result<(), Error> {
        let url = format!(
            "{}/instances/{instance}/fault?kind={kind}",
            self.servers.url
        );
        self.post(&url, "").map(|_| ())
    }

    /// Reads the events of all entries and planners, ordered by timestamp; unreachable processes
    /// are skipped.
    pub(crate) fn events(&self) -> Vec<Record> {
        let processes = self.entries.iter().chain(&self.planners);
        let mut events: Vec<Record> = processes
            .filter_map(|process| {
                self.get::<Vec<Record>>(&format!("{}/events?after=0", process.url))
                    .ok()
            })
            .flatten()
            .collect();
        events.sort_by_key(|event| event.stamp);
        events
    }

    /// Sends a GET and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or the response is not a `T`.
    pub(crate) fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, Error> {
        let call_error = |reason: String| CallSnafu { url, reason }.build();
        let response = minreq::get(url).with_timeout(CALL_TIMEOUT_S).send();
        let response = response.map_err(|error| call_error(error.to_string()))?;
        serde_json::from_slice(response.as_bytes()).map_err(|error| call_error(error.to_string()))
    }

    /// Sends a POST and returns the status and the body.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub(crate) fn post(&self, url: &str, body: &str) -> Result<(i32, String), Error> {
        send(minreq::post(url).with_body(body), url)
    }

    /// Sends a PUT and returns the status and the body.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub(crate) fn put(&self, url: &str, body: &str) -> Result<(i32, String), Error> {
        send(minreq::put(url).with_body(body), url)
    }

    /// Sends a DELETE and returns the status and the body.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub(crate) fn delete(&self, url: &str) -> Result<(i32, String), Error> {
        send(minreq::delete(url), url)
    }

    /// Stops all entries and planners with SIGTERM and returns whether all exited successfully.
    pub(crate) fn stop(mut self) -> bool {
        for process in self.entries.iter().chain(&self.planners) {
            process.signal(Signal::SIGTERM);
        }
        let mut are_all_clean = true;
        for process in self.entries.iter_mut().chain(&mut self.planners) {
            let is_clean = process.wait(STOP_TIMEOUT);
            if !is_clean {
                eprintln!(
                    "lab: {} (pid {}) did not exit cleanly",
                    process.name, process.pid
                );
            }
            are_all_clean &= is_clean;
        }
        are_all_clean
    }
}

/// Returns the names of the pools of a configuration.
fn pool_names(config: &str) -> Result<Vec<String>, Error> {
    let text = std::fs::read_to_string(config).context(FileSnafu { path: config })?;
    let fleet = Fleet::parse(config, &text).context(ConfigSnafu)?;
    Ok(fleet.pools.into_iter().map(|pool| pool.name).collect())
}

fn send(request: minreq::Request, url: &str) -> Result<(i32, String), Error> {
    let response = request.with_timeout(CALL_TIMEOUT_S).send();
    let response = response.map_err(|error| {
        CallSnafu {
            url,
            reason: error.to_string(),
        }
        .build()
    })?;
    let body = response.as_str().unwrap_or("").to_owned();
    Ok((response.status_code, body))
}

fn parse_address(text: &str) -> SocketAddr {
    let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
    text.parse().unwrap_or(fallback)
}

/// Creates a directory for settings and logs below the system's temporary directory.
fn scratch_directory() -> Result<PathBuf, Error> {
    static RUNS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let run = RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("hyssop-lab-{}-{run}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).context(FileSnafu {
        path: path.display().to_string(),
    })?;
    Ok(path)
}
