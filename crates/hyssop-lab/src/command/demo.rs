use crate::check::Violations;
use crate::cluster::{Cluster, Options as ClusterOptions};
use crate::error::{Error, SystemSnafu};
use crate::report::{print_summaries, print_violations};
use gumdrop::Options;
use hyssop_load::{run, Balancer, Record, Shape, Stream, Summary};
use hyssop_model::instance::State;
use nix::sys::signal::Signal;
use snafu::ResultExt;
use std::time::{Duration, Instant};

/// Demonstrates the main functions: requests are served while an instance drains, the configuration
/// changes and an entry fails.
#[derive(Debug, Options)]
pub(crate) struct Demo {
    #[options(help = "prints this help")]
    help: bool,
    #[options(
        help = "the operators' configuration",
        meta = "FILE",
        default = "settings/kilwa.ini"
    )]
    config: String,
    #[options(
        help = "the duration of the load, in seconds",
        meta = "S",
        default = "30"
    )]
    seconds: u64,
}

const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

impl Demo {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        println!("starting the stand-ins, 6 entries and 6 planners on loopback");
        let mut cluster = Cluster::start(ClusterOptions {
            config: self.config.clone(),
            ..ClusterOptions::default()
        })?;
        println!("logs and settings: {}", cluster.directory.display());
        let balancer = cluster.balancer();
        balancer.watch().context(SystemSnafu)?;
        let streams = streams(&cluster);
        let duration = Duration::from_secs(self.seconds);
        let load = start_load(streams.clone(), balancer.clone(), duration)?;
        std::thread::sleep(duration / 6);
        let is_drained = drain(&cluster)?;
        let is_applied = apply_change(&cluster)?;
        kill_entry(&mut cluster);
        let records = load.join().unwrap_or_default();
        print_summaries(&Summary::by_stream(&streams, &records));
        let violations = Violations::check(&cluster, &records)?;
        print_violations(&violations);
        let are_guarantees_kept = violations.is_acceptable(0);
        let is_clean = cluster.stop();
        let has_passed = is_drained && is_applied && are_guarantees_kept && is_clean;
        println!(
            "{}",
            if has_passed {
                "every check passed"
            } else {
                "a check FAILED"
            }
        );
        Ok(has_passed)
    }
}

/// Creates a stream for each pool, at a fifth of the pool's capacity.
fn streams(cluster: &Cluster) -> Vec<Stream> {
    const RATE: f64 = 60.0;
    let mut pools: Vec<String> = match cluster.instances() {
        Ok(instances) => instances.into_iter().map(|record| record.pool).collect(),
        Err(_) => Vec::new(),
    };
    pools.sort();
    pools.dedup();
    let stream = |pool: &String| Stream::new(pool, "default", "/work?ms=50", Shape::constant(RATE));
    pools.iter().map(stream).collect()
}

fn start_load(
    streams: Vec<Stream>,
    balancer: Balancer,
    duration: Duration,
) -> Result<std::thread::JoinHandle<Vec<Record>>, Error> {
    const SEED: u64 = 1;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    Ok(std::thread::spawn(move || {
        runtime.block_on(run(&streams, &balancer, duration, SEED))
    }))
}

fn drain(cluster: &Cluster) -> Result<bool, Error> {
    let Some(name) = cluster
        .instances()?
        .first()
        .map(|record| record.name.clone())
    else {
        return Ok(false);
    };
    let started = Instant::now();
    cluster.put(
        &format!("{}/v1/operator/drains/{name}", cluster.entries[0].url),
        "demo",
    )?;
    cluster.wait_for("the drain", DRAIN_TIMEOUT, || {
        let instances = cluster.instances()?;
        Ok(instances
            .iter()
            .any(|record| record.name == name && record.state == State::Out))
    })?;
    println!("{name} drained in {:.1} s", started.elapsed().as_secs_f64());
    let before = starts(cluster, &name)?;
    std::thread::sleep(Duration::from_secs(2));
    let after = starts(cluster, &name)?;
    println!(
        "{name} started {} requests within 2 s after its drain",
        after - before
    );
    Ok(after == before)
}

fn starts(cluster: &Cluster, name: &str) -> Result<u64, Error> {
    let views = cluster.views()?;
    Ok(views
        .iter()
        .find(|view| view.name == name)
        .map_or(0, |view| view.starts))
}

fn apply_change(cluster: &Cluster) -> Result<bool, Error> {
    let text = std::fs::read_to_string(&cluster.options.config).unwrap_or_default();
    let changed = text.replacen("move_interval = 60s", "move_interval = 90s", 1);
    let url = format!("{}/v1/operator", cluster.entries[1].url);
    let started = Instant::now();
    let (status, body) = cluster.post(&format!("{url}/config?expect=1&author=demo"), &changed)?;
    const ACCEPTED: i32 = 202;
    if status != ACCEPTED {
        println!("the configuration was rejected: {}", body.trim());
        return Ok(false);
    }
    cluster.wait_for("the roll-out", APPLY_TIMEOUT, || {
        let status: serde_json::Value = cluster.get(&format!("{url}/status"))?;
        let entries = status["entries"].as_array().cloned().unwrap_or_default();
        Ok(!entries.is_empty() && entries.iter().all(|entry| entry["config_version"] == 2))
    })?;
    println!(
        "configuration 2 in force at every entry in {:.1} s",
        started.elapsed().as_secs_f64()
    );
    Ok(true)
}

fn kill_entry(cluster: &mut Cluster) {
    let mut killed = cluster.entries.pop();
    if let Some(entry) = &mut killed {
        println!("killing {} (pid {})", entry.name, entry.pid);
        entry.signal(Signal::SIGKILL);
        entry.wait(Duration::from_secs(1));
    }
}
