use crate::cluster::{Cluster, Options as ClusterOptions};
use crate::error::{Error, SystemSnafu};
use gumdrop::Options;
use snafu::ResultExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Runs the stand-ins, entries and planners in the foreground until SIGTERM.
#[derive(Debug, Options)]
pub(crate) struct RunLocal {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "the number of entries", meta = "N", default = "6")]
    entries: usize,
    #[options(
        help = "the operators' configuration",
        meta = "FILE",
        default = "settings/kilwa.ini"
    )]
    config: String,
}

const POLL_INTERVAL: Duration = Duration::from_millis(100);

impl RunLocal {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let is_stopping = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, is_stopping.clone()).context(SystemSnafu)?;
        }
        let cluster = Cluster::start(ClusterOptions {
            entries: self.entries.max(1),
            config: self.config.clone(),
            ..ClusterOptions::default()
        })?;
        for entry in &cluster.entries {
            println!("ready entry={} pid={}", entry.url, entry.pid);
        }
        for planner in &cluster.planners {
            println!("ready planner={} pid={}", planner.url, planner.pid);
        }
        println!(
            "ready platform={} pid={}",
            cluster.platform.url, cluster.platform.pid
        );
        println!(
            "ready servers={} pid={}",
            cluster.servers.url, cluster.servers.pid
        );
        println!("ready all");
        while !is_stopping.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(cluster.stop())
    }
}
