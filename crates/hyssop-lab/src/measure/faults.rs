use super::load::Load;
use super::Parameters;
use crate::check::Violations;
use crate::cluster::{Cluster, Options};
use crate::error::{Error, SystemSnafu};
use crate::report::{print_summaries, print_violations, write_json};
use hyssop_load::stream::Keys;
use hyssop_load::{Balancer, Outcome, Record, Shape, Stream, Summary};
use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt;
use std::time::{Duration, Instant};

const LOAD_DURATION: Duration = Duration::from_secs(75);
const PAUSE_DURATION: Duration = Duration::from_secs(12);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Kills, pauses and replaces entries while callers retry requests with idempotency keys through
/// the others.
pub(crate) fn faults(parameters: &Parameters) -> Result<bool, Error> {
    let mut cluster = Cluster::start(Options {
        config: parameters.config.clone(),
        ..Options::default()
    })?;
    let mut random = ChaCha8Rng::seed_from_u64(parameters.seed);
    let balancer = cluster.balancer();
    balancer.watch().context(SystemSnafu)?;
    let streams = streams();
    let started = Instant::now();
    let load = Load::start(&streams, &balancer, LOAD_DURATION, parameters.seed)?;
    std::thread::sleep(Duration::from_secs(5));
    let graceful_from = started.elapsed();
    let has_exited_cleanly = replace_gracefully(&mut cluster, &balancer, &mut random)?;
    let graceful_until = started.elapsed();
    std::thread::sleep(Duration::from_secs(2));
    pause(&cluster, &mut random);
    kill(&mut cluster, &balancer, &mut random)?;
    std::thread::sleep(Duration::from_secs(10));
    pause(&cluster, &mut random);
    kill(&mut cluster, &balancer, &mut random)?;
    let records = load.finish();
    print_summaries(&Summary::by_stream(&streams, &records));
    let mut violations = Violations::check(&cluster, &records)?;
    violations.check_posts(&cluster, &records, |stream| {
        streams[stream].method == "POST"
    })?;
    let cut_off = count_cut_off(&records, graceful_from, graceful_until);
    println!("requests without a response while an entry was replaced gracefully: {cut_off}");
    print_violations(&violations);
    write_json("faults", &violations)?;
    let has_passed = violations.is_acceptable(0) && cut_off == 0 && has_exited_cleanly;
    if !has_passed {
        println!("logs: {}", cluster.directory.display());
    }
    cluster.stop();
    Ok(has_passed)
}

fn streams() -> Vec<Stream> {
    let new_stream = |name: &str, pool: &str, queue: &str, keys: Keys| {
        let mut stream = Stream::new(pool, queue, "/work?ms=100", Shape::constant(60.0));
        stream.name = name.to_owned();
        stream.method = "POST".to_owned();
        stream.keys = keys;
        stream.deadline = Duration::from_secs(8);
        stream
    };
    vec![
        new_stream("unbound keys", "fees", "charges", Keys::Unbound),
        new_stream("bound keys", "permits", "renewals", Keys::Bound),
        new_stream("POST without key", "notices", "street", Keys::None),
        Stream::new("hauliers", "calls", "/work?ms=50", Shape::constant(60.0)),
    ]
}

/// Starts a replacement, stops one entry with SIGTERM, and returns whether the entry exited
/// successfully.
fn replace_gracefully(
    cluster: &mut Cluster,
    balancer: &Balancer,
    random: &mut ChaCha8Rng,
) -> Result<bool, Error> {
    let added = cluster.add_entry()?;
    balancer.add(added);
    std::thread::sleep(Duration::from_secs(4));
    let index = random.random_range(0..cluster.entries.len() - 1);
    let mut entry = cluster.entries.remove(index);
    println!("stopping {} gracefully", entry.name);
    entry.signal(Signal::SIGTERM);
    let is_clean = entry.wait(STOP_TIMEOUT);
    balancer.remove(entry.address().parse().unwrap_or(added));
    println!(
        "{} ended {}",
        entry.name,
        if is_clean { "well" } else { "BADLY" }
    );
    Ok(is_clean)
}

fn pause(cluster: &Cluster, random: &mut ChaCha8Rng) {
    let entry = &cluster.entries[random.random_range(0..cluster.entries.len())];
    println!(
        "pausing {} for {} s, longer than its lease",
        entry.name,
        PAUSE_DURATION.as_secs()
    );
    entry.signal(Signal::SIGSTOP);
    std::thread::sleep(PAUSE_DURATION);
    entry.signal(Signal::SIGCONT);
}

fn kill(cluster: &mut Cluster, balancer: &Balancer, random: &mut ChaCha8Rng) -> Result<(), Error> {
    let index = random.random_range(0..cluster.entries.len());
    let mut entry = cluster.entries.remove(index);
    println!("killing {}", entry.name);
    entry.signal(Signal::SIGKILL);
    entry.wait(Duration::from_secs(1));
    let added = cluster.add_entry()?;
    balancer.add(added);
    Ok(())
}

/// Counts the requests due between two times that received no response.
fn count_cut_off(records: &[Record], from: Duration, until: Duration) -> usize {
    let is_due = |record: &&Record| record.due >= from && record.due < until;
    let is_cut_off = |record: &&Record| record.outcome == Outcome::Nothing;
    records.iter().filter(is_due).filter(is_cut_off).count()
}
