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

/// Is what the samples of a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Samples {
    /// The samples taken.
    pub(crate) count: u64,
    /// The samples of pools with fewer serving instances than their budget.
    pub(crate) below_budget: u64,
    /// The samples in which an instance was missing or stood twice.
    pub(crate) wrong_rows: u64,
    /// The requests started at an instance between two samples that both found it out of service.
    pub(crate) started_while_out: u64,
}

/// Looks at the platform's rows and the servers' counts again and again.
pub(crate) struct Sampler {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Samples>,
}

const PAUSE: Duration = Duration::from_millis(300);

/// Is what the sampler looks at.
struct Watch {
    table: Client,
    servers: String,
    region: String,
    fleet: Fleet,
    instances: usize,
    /// The starts of the instances that the last sample found out of service.
    out: BTreeMap<String, u64>,
}

impl Sampler {
    /// Starts looking.
    ///
    /// # Errors
    ///
    /// Fails when the operating system gives no thread.
    pub(crate) fn start(cluster: &Cluster, fleet: &Fleet) -> Result<Self, Error> {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let mut watch = Watch {
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
                while !over.load(Ordering::SeqCst) {
                    watch.sample(&mut samples);
                    std::thread::sleep(PAUSE);
                }
                samples
            })
            .context(SystemSnafu)?;
        Ok(Self { is_over, thread })
    }

    /// Stops looking and returns what was seen.
    pub(crate) fn finish(self) -> Samples {
        self.is_over.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

impl Watch {
    fn sample(&mut self, samples: &mut Samples) {
        let Ok(rows) = self.table.scan(&keys::instances(&self.region)) else {
            // The store is down, so nothing changes.
            return;
        };
        let records: Vec<instance::Record> =
            rows.iter().filter_map(|row| Row::parse(row).ok()).collect();
        samples.count += 1;
        samples.wrong_rows += u64::from(records.len() != self.instances);
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
