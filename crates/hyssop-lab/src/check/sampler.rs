use crate::cluster::Cluster;
use crate::error::{Error, SystemSnafu};
use hyssop_config::fleet::Fleet;
use hyssop_model::instance::{self, State};
use hyssop_platform::http::Client;
use hyssop_platform::keys;
use hyssop_platform::table::{Row, Table};
use hyssop_standin::server::InstanceView;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The findings of all samples of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Samples {
    /// The number of samples.
    pub(crate) count: u64,
    /// How often a pool had fewer serving instances than its budget.
    pub(crate) below_budget: u64,
    /// The number of samples in which an instance was missing or present twice.
    pub(crate) row_mismatches: u64,
    /// Requests that an instance started between two samples that both found it out of service.
    pub(crate) started_while_out: u64,
}

/// A background thread that periodically reads the platform's rows and the servers' counters.
pub(crate) struct Sampler {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Samples>,
}

const SAMPLE_INTERVAL: Duration = Duration::from_millis(300);

/// The endpoints of the sampler and its state between samples.
struct SamplerState {
    table: Client,
    servers: String,
    region: String,
    fleet: Fleet,
    instances: usize,
    /// The start counts of the instances that the last sample found out of service.
    out: BTreeMap<String, u64>,
}

impl Sampler {
    /// Starts sampling.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub(crate) fn start(cluster: &Cluster, fleet: &Fleet) -> Result<Self, Error> {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop_flag = is_stopped.clone();
        let mut state = SamplerState {
            table: Client::new(cluster.platform.url.clone(), 5),
            servers: cluster.servers.url.clone(),
            region: cluster.machines.region.clone(),
            fleet: fleet.clone(),
            instances: cluster.machines.instances as usize,
            out: BTreeMap::new(),
        };
        let thread = std::thread::Builder::new()
            .name("sampler".to_owned())
            .spawn(move || {
                let mut samples = Samples::default();
                while !stop_flag.load(Ordering::SeqCst) {
                    state.sample(&mut samples);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
                samples
            })
            .context(SystemSnafu)?;
        Ok(Self { is_stopped, thread })
    }

    /// Stops sampling and returns the findings.
    pub(crate) fn finish(self) -> Samples {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

impl SamplerState {
    fn sample(&mut self, samples: &mut Samples) {
        let Ok(rows) = self.table.scan(&keys::instances(&self.region)) else {
            // The store is down, so the rows cannot change.
            return;
        };
        let records: Vec<instance::Record> =
            rows.iter().filter_map(|row| Row::parse(row).ok()).collect();
        samples.count += 1;
        samples.row_mismatches += u64::from(records.len() != self.instances);
        for pool in &self.fleet.pools {
            let serving = records
                .iter()
                .filter(|record| record.pool == pool.name && record.state == State::Serving);
            samples.below_budget += u64::from((serving.count() as u32) < pool.budget);
        }
        self.sample_starts(&records, samples);
    }

    fn sample_starts(&mut self, records: &[instance::Record], samples: &mut Samples) {
        let response = minreq::get(format!("{}/instances", self.servers))
            .with_timeout(5)
            .send();
        let Ok(response) = response else {
            return;
        };
        let views: Vec<InstanceView> =
            serde_json::from_slice(response.as_bytes()).unwrap_or_default();
        let is_out = |name: &str| {
            records
                .iter()
                .any(|record| record.name == name && record.state == State::Out)
        };
        let mut out = BTreeMap::new();
        for view in views.iter().filter(|view| is_out(&view.name)) {
            if let Some(starts) = self.out.get(&view.name) {
                samples.started_while_out += view.starts - starts;
            }
            out.insert(view.name.clone(), view.starts);
        }
        self.out = out;
    }
}
