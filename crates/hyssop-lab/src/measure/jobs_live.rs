use super::Parameters;
use crate::cluster::{Cluster, Options};
use crate::error::{CallSnafu, Error};
use crate::report::write_json;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The results of the job measurements on the real programs.
#[derive(Debug, Default, Serialize)]
struct LiveResult {
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
const JOBS_PER_SUBMITTER: usize = 5;
const URGENT_JOBS: usize = 15;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Measures batched submission, urgent starts on full workers, and repeated submissions while
/// responses are lost.
pub(crate) fn jobs_live(parameters: &Parameters) -> Result<bool, Error> {
    let cluster = Cluster::start(Options {
        config: parameters.config.clone(),
        ..Options::default()
    })?;
    let mut result = LiveResult::default();
    submit_many(&cluster, &mut result)?;
    start_urgent(&cluster, &mut result)?;
    repeat_with_lost_responses(&cluster, &mut result)?;
    println!(
        "{} jobs submitted in {} transactions ({:.1} jobs each), {:.0} jobs/s; urgent start on full workers {} ms (median), \
         {} ms (worst); repeats started {}, non-idempotent jobs started twice {}",
        result.submitted,
        result.transactions,
        result.jobs_per_transaction,
        result.submissions_per_second,
        result.urgent_median_ms,
        result.urgent_worst_ms,
        result.repeats_started,
        result.non_idempotent_started_twice
    );
    write_json("jobs-live", &result)?;
    let is_stopped = cluster.stop();
    const BATCH_TARGET: f64 = 50.0;
    const URGENT_TARGET_MS: u64 = 1500;
    Ok(is_stopped
        && result.jobs_per_transaction >= BATCH_TARGET
        && result.urgent_worst_ms <= URGENT_TARGET_MS
        && result.repeats_started == 0
        && result.non_idempotent_started_twice == 0)
}

/// Submits a job and returns whether the entry accepted it, which makes it durable.
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

/// Submits many jobs concurrently through one entry, which batches them into few store
/// transactions.
fn submit_many(cluster: &Cluster, result: &mut LiveResult) -> Result<(), Error> {
    let before = cluster.stats()?;
    let started = Instant::now();
    let durable: usize = std::thread::scope(|scope| {
        let submitters: Vec<_> = (0..SUBMITTERS)
            .map(|submitter| {
                scope.spawn(move || {
                    let keys = (0..JOBS_PER_SUBMITTER).map(|job| format!("many-{submitter}-{job}"));
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
    // The commit counter includes leases and the planner's rows, so the figure can only be too low.
    result.submitted = durable;
    result.transactions = batch_count(cluster)?.unwrap_or(stats.commits - before.commits);
    result.jobs_per_transaction = durable as f64 / result.transactions.max(1) as f64;
    result.submissions_per_second = durable as f64 / elapsed;
    Ok(())
}

/// Returns the number of job batches that the first entry wrote, if its metrics are available.
fn batch_count(cluster: &Cluster) -> Result<Option<u64>, Error> {
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

/// Fills every worker of a pool with deferrable jobs and measures the time to start of urgent jobs.
fn start_urgent(cluster: &Cluster, result: &mut LiveResult) -> Result<(), Error> {
    const FILLER_JOBS: usize = 40;
    for job in 0..FILLER_JOBS {
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
    for job in 0..URGENT_JOBS {
        let key = format!("urgent-{job}");
        let submitted_at = Instant::now();
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
        times.push(submitted_at.elapsed().as_millis() as u64);
        std::thread::sleep(Duration::from_millis(700));
    }
    times.sort_unstable();
    result.urgent_worst_ms = times.last().copied().unwrap_or(0);
    result.urgent_median_ms = times[times.len() / 2];
    Ok(())
}

/// Submits each job several times while the platform drops half of its responses.
fn repeat_with_lost_responses(cluster: &Cluster, result: &mut LiveResult) -> Result<(), Error> {
    const JOBS: usize = 30;
    cluster.platform_fault("kind=lose&ms=20000")?;
    for job in 0..JOBS {
        for entry in 0..3 {
            // A failed submission is retried through the next entry, as a caller would do.
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
    let counts = |prefix: &str| {
        starts
            .iter()
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(_, count)| *count)
            .collect::<Vec<u32>>()
    };
    result.non_idempotent_started_twice = counts("once-")
        .into_iter()
        .filter(|count| *count > 1)
        .count();
    result.repeats_started = counts("many-")
        .into_iter()
        .filter(|count| *count > 1)
        .count();
    Ok(())
}

fn starts(cluster: &Cluster) -> Result<BTreeMap<String, u32>, Error> {
    cluster.get(&format!("{}/workers/starts", cluster.platform.url))
}
