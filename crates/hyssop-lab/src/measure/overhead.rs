use crate::cluster::{Cluster, Options};
use crate::error::{Error, SystemSnafu};
use crate::process::Usage;
use crate::report::{print_summaries, write_json};
use hyssop_load::{run, Balancer, Shape, Stream, Summary};
use serde::Serialize;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// The overhead that an entry adds to direct requests.
#[derive(Debug, Serialize)]
struct Overhead {
    entry_maximum_per_second: f64,
    rate_per_second: f64,
    direct: Summary,
    entry: Summary,
    added_p50_us: i64,
    added_p99_us: i64,
    entry_cpu_us_per_request: f64,
    entry_resident_mib: f64,
}

const BODY_BYTES: usize = 4096;
const STEP_DURATION: Duration = Duration::from_secs(4);
const LOAD_DURATION: Duration = Duration::from_secs(10);

/// Compares requests through an entry with requests sent directly to a stand-in server, at half of
/// the entry's maximum rate.
pub(crate) fn overhead(seed: u64) -> Result<bool, Error> {
    let cluster = Cluster::start(Options {
        entries: 1,
        threads: 2,
        server_threads: 1,
        log: "warn".to_owned(),
        ..Options::default()
    })?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    let through = Balancer::new(&cluster.addresses());
    let maximum = runtime.block_on(find_maximum(&through, seed));
    let rate = maximum / 2.0;
    let direct_targets: Vec<SocketAddr> = cluster
        .instances()?
        .iter()
        .filter(|record| record.pool == "permits")
        .filter_map(|record| record.address.parse().ok())
        .collect();
    let direct = Balancer::new(&direct_targets);
    let direct_summary = runtime.block_on(measure_once(
        "direct",
        None,
        &direct,
        rate,
        LOAD_DURATION,
        seed,
    ));
    let before = Usage::of(cluster.entries[0].pid).unwrap_or_default();
    let entry_summary = runtime.block_on(measure_once(
        "entry",
        Some("permits"),
        &through,
        rate,
        LOAD_DURATION,
        seed,
    ));
    let after = Usage::of(cluster.entries[0].pid).unwrap_or_default();
    let cpu = (after.cpu - before.cpu).as_secs_f64();
    const MIB: f64 = 1_048_576.0;
    let result = Overhead {
        entry_maximum_per_second: maximum,
        rate_per_second: rate,
        added_p50_us: entry_summary.p50_us as i64 - direct_summary.p50_us as i64,
        added_p99_us: entry_summary.p99_us as i64 - direct_summary.p99_us as i64,
        entry_cpu_us_per_request: cpu * 1e6 / entry_summary.requests.max(1) as f64,
        entry_resident_mib: after.resident as f64 / MIB,
        direct: direct_summary,
        entry: entry_summary,
    };
    print_summaries(&[result.direct.clone(), result.entry.clone()]);
    println!(
        "maximum {:.0}/s, measured at {:.0}/s: added p50 {} us, p99 {} us; {:.0} us of processor time per request, {:.0} MiB",
        result.entry_maximum_per_second,
        result.rate_per_second,
        result.added_p50_us,
        result.added_p99_us,
        result.entry_cpu_us_per_request,
        result.entry_resident_mib
    );
    write_json("overhead", &result)?;
    const P50_TARGET_US: i64 = 500;
    const P99_TARGET_US: i64 = 3000;
    let meets_targets = result.added_p50_us < P50_TARGET_US && result.added_p99_us < P99_TARGET_US;
    Ok(cluster.stop() && meets_targets)
}

/// Raises the rate until less than 99% of the requests are answered within 50 ms and returns the
/// last rate before that.
async fn find_maximum(balancer: &Balancer, seed: u64) -> f64 {
    const FIRST_RATE: f64 = 2000.0;
    const FACTOR: f64 = 1.25;
    const IN_TIME_TARGET: f64 = 0.99;
    let mut last_good = FIRST_RATE;
    let mut rate = FIRST_RATE;
    loop {
        let summary = measure_once(
            "maximum",
            Some("permits"),
            balancer,
            rate,
            STEP_DURATION,
            seed,
        )
        .await;
        if (summary.in_time as f64) < summary.requests as f64 * IN_TIME_TARGET {
            return last_good;
        }
        last_good = rate;
        rate *= FACTOR;
    }
}

async fn measure_once(
    name: &str,
    pool: Option<&str>,
    balancer: &Balancer,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> Summary {
    const DEADLINE: Duration = Duration::from_millis(50);
    let mut stream = Stream::new(
        pool.unwrap_or("direct"),
        "default",
        "/echo",
        Shape::constant(rate),
    );
    stream.name = name.to_owned();
    stream.pool = pool.map(str::to_owned);
    stream.method = "PUT".to_owned();
    stream.body = BODY_BYTES;
    stream.deadline = DEADLINE;
    let streams = [stream];
    let records = run(&streams, balancer, duration, seed).await;
    let mut summaries = Summary::by_stream(&streams, &records);
    summaries.pop().unwrap_or_default()
}
