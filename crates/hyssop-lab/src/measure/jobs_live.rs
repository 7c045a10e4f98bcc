use super::Call;
use crate::cluster::{Cluster, Options};
use crate::error::{CallSnafu, Error};
use crate::report::write_json;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Is what the real programs did with jobs.
#[derive(Debug, Default, Serialize)]
struct Live {
    submitted: usize,
    transactions: u64,
    jobs_per_transaction: f64,
    submissions_per_second: f64,
    urgent_worst_ms: u64,
    urgent_median_ms: u64,
    repeats_started: usize,
    non_idempotent_started_twice: usize,
}

const SUBMITTERS: usize = 200;
const JOBS_EACH: usize = 5;
const URGENT: usize = 15;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Measures submission in batches, urgent starts on full workers, and repeats under lost answers.
pub(crate) fn jobs_live(call: &Call) -> Result<bool, Error> {
    let cluster = Cluster::start(Options {
        config: call.config.clone(),
        ..Options::default()
    })?;
    let mut live = Live::default();
    submit_many(&cluster, &mut live)?;
    start_urgent(&cluster, &mut live)?;
    lose_answers(&cluster, &mut live)?;
    println!(
        "{} jobs submitted in {} transactions ({:.1} each), {:.0} a second; urgent start on full workers {} ms (median), \
         {} ms (worst); repeats started {}, non-idempotent jobs started twice {}",
        live.submitted,
        live.transactions,
        live.jobs_per_transaction,
        live.submissions_per_second,
        live.urgent_median_ms,
        live.urgent_worst_ms,
        live.repeats_started,
        live.non_idempotent_started_twice
    );
    write_json("jobs-live", &live)?;
    let is_stopped = cluster.stop();
    const BATCH_TARGET: f64 = 50.0;
    const URGENT_TARGET_MS: u64 = 1500;
    Ok(is_stopped
        && live.jobs_per_transaction >= BATCH_TARGET
        && live.urgent_worst_ms <= URGENT_TARGET_MS
        && live.repeats_started == 0
        && live.non_idempotent_started_twice == 0)
}

/// Submits a job and returns whether it is durable.
fn submit(
    cluster: &Cluster,
    entry: usize,
    pool: &str,
    key: &str,
    class: &str,
    body: &str,
) -> Result<bool, Error> {
    const ACCEPTED: i32 = 202;
    let url = format!("{}/v1/pools/{pool}/jobs", cluster.entries[entry].url);
    let request = minreq::post(&url)
        .with_header("idempotency-key", key)
        .with_header("hyssop-class", class)
        .with_header("hyssop-team", "archive")
        .with_body(body)
        .with_timeout(20);
    let response = request.send().map_err(|error| {
        CallSnafu {
            url: &url,
            reason: error.to_string(),
        }
        .build()
    })?;
    Ok(response.status_code == ACCEPTED)
}

fn body(command: &str, cpu_millis: u64, is_idempotent: bool) -> String {
    format!(
        "{{\"command\":\"{command}\",\"cpu_millis\":{cpu_millis},\"memory_mib\":256,\"idempotent\":{is_idempotent}}}"
    )
}

/// Submits many jobs at once through one entry: the store takes few writes of many.
fn submit_many(cluster: &Cluster, live: &mut Live) -> Result<(), Error> {
    let before = cluster.stats()?;
    let started = Instant::now();
    let durable: usize = std::thread::scope(|scope| {
        let submitters: Vec<_> = (0..SUBMITTERS)
            .map(|submitter| {
                scope.spawn(move || {
                    let keys = (0..JOBS_EACH).map(|job| format!("many-{submitter}-{job}"));
                    let body = body("sleep:10", 100, true);
                    keys.filter(|key| {
                        submit(cluster, 0, "notices", key, "deferrable", &body).unwrap_or(false)
                    })
                    .count()
                })
            })
            .collect();
        submitters
            .into_iter()
            .filter_map(|submitter| submitter.join().ok())
            .sum()
    });
    let elapsed = started.elapsed().as_secs_f64();
    let stats = cluster.stats()?;
    // Commits of leases and the planner's rows are in the count too, which only lowers the figure.
    live.submitted = durable;
    live.transactions = batches(cluster)?.unwrap_or(stats.commits - before.commits);
    live.jobs_per_transaction = durable as f64 / live.transactions.max(1) as f64;
    live.submissions_per_second = durable as f64 / elapsed;
    Ok(())
}

/// Returns the batches that the entries wrote.
fn batches(cluster: &Cluster) -> Result<Option<u64>, Error> {
    let url = format!("{}/metrics", cluster.entries[0].url);
    let Ok(response) = minreq::get(url).with_timeout(2).send() else {
        return Ok(None);
    };
    let text = response.as_str().unwrap_or("");
    let line = text
        .lines()
        .find(|line| line.starts_with("hyssop_job_batches_total "));
    Ok(line.and_then(|line| line.split(' ').nth(1)?.parse().ok()))
}

/// Fills every worker of a pool with deferrable jobs, then times urgent ones.
fn start_urgent(cluster: &Cluster, live: &mut Live) -> Result<(), Error> {
    const FILLING: usize = 40;
    for job in 0..FILLING {
        submit(
            cluster,
            job % 6,
            "permits",
            &format!("fill-{job}"),
            "deferrable",
            &body("sleep:120000", 8000, true),
        )?;
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut times = Vec::new();
    for job in 0..URGENT {
        let key = format!("urgent-{job}");
        let asked = Instant::now();
        submit(
            cluster,
            job % 6,
            "permits",
            &key,
            "urgent",
            &body("sleep:300", 8000, true),
        )?;
        cluster.wait_for("an urgent start", START_TIMEOUT, || {
            Ok(starts(cluster)?.contains_key(&key))
        })?;
        times.push(asked.elapsed().as_millis() as u64);
        std::thread::sleep(Duration::from_millis(700));
    }
    times.sort_unstable();
    live.urgent_worst_ms = times.last().copied().unwrap_or(0);
    live.urgent_median_ms = times[times.len() / 2];
    Ok(())
}

/// Submits each job several times while the platform loses half of its answers.
fn lose_answers(cluster: &Cluster, live: &mut Live) -> Result<(), Error> {
    const JOBS: usize = 30;
    cluster.platform_fault("kind=lose&ms=20000")?;
    for job in 0..JOBS {
        for entry in 0..3 {
            // A call that failed is repeated through the next entry, as a caller would.
            let _ = submit(
                cluster,
                entry,
                "fees",
                &format!("once-{job}"),
                "normal",
                &body("sleep:200", 100, false),
            );
        }
    }
    std::thread::sleep(Duration::from_secs(10));
    cluster.platform_fault("kind=none")?;
    std::thread::sleep(Duration::from_secs(5));
    let starts = starts(cluster)?;
    let of = |prefix: &str| {
        starts
            .iter()
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(_, count)| *count)
            .collect::<Vec<u32>>()
    };
    live.non_idempotent_started_twice = of("once-").into_iter().filter(|count| *count > 1).count();
    live.repeats_started = of("many-").into_iter().filter(|count| *count > 1).count();
    Ok(())
}

fn starts(cluster: &Cluster) -> Result<BTreeMap<String, u32>, Error> {
    cluster.get(&format!("{}/workers/starts", cluster.platform.url))
}
