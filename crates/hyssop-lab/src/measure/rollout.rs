use super::Parameters;
use crate::cluster::{Cluster, Options};
use crate::error::{Error, FileSnafu};
use crate::report::write_json;
use hyssop_event::Kind;
use nix::sys::signal::Signal;
use serde::Serialize;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Times from the acceptance of a configuration version until the last entry applies it.
#[derive(Debug, Serialize)]
struct Rollout {
    changes: usize,
    conflicts: usize,
    lost_changes: usize,
    p50_ms: u64,
    p99_ms: u64,
    worst_ms: u64,
    #[serde(rename = "whole_p50_ms")]
    total_p50_ms: u64,
    #[serde(rename = "whole_worst_ms")]
    total_worst_ms: u64,
    reversions: usize,
}

const ENTRIES: usize = 7;
const CHANGES: usize = 120;
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(60);

/// Applies many configuration changes while operators race, entries are replaced and the store
/// fails.
pub(crate) fn rollout(parameters: &Parameters) -> Result<bool, Error> {
    let mut cluster = Cluster::start(Options {
        config: parameters.config.clone(),
        entries: ENTRIES,
        ..Options::default()
    })?;
    let path = &parameters.config;
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let mut accepted_at: BTreeMap<u64, u64> = BTreeMap::new();
    let mut in_force_at: BTreeMap<u64, u64> = BTreeMap::new();
    let mut newest: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    let mut total_times = Vec::new();
    let (mut conflicts, mut reversions, mut lost_changes) = (0, 0, 0);
    let mut version = accepted_version(&cluster)?;
    for change in 0..CHANGES {
        disturb(&mut cluster, change)?;
        let changed = text.replacen(
            "move_interval = 60s",
            &format!("move_interval = {}s", 60 + change),
            1,
        );
        let started = Instant::now();
        let (winner, conflict_count) = propose(&cluster, version, &changed)?;
        conflicts += conflict_count;
        let Some(proposed) = winner else {
            lost_changes += 1;
            continue;
        };
        cluster.wait_for("acceptance", ACCEPT_TIMEOUT, || {
            Ok(accepted_version(&cluster)? >= proposed && in_force_everywhere(&cluster, proposed)?)
        })?;
        total_times.push(started.elapsed().as_millis() as u64);
        version = proposed;
        reversions += read_events(&cluster, &mut accepted_at, &mut in_force_at, &mut newest);
    }
    let mut times: Vec<u64> = accepted_at
        .iter()
        .filter_map(|(version, at)| Some(in_force_at.get(version)?.saturating_sub(*at) / 1000))
        .collect();
    times.sort_unstable();
    total_times.sort_unstable();
    let quantile = |times: &[u64], rank: f64| {
        times
            .get(((times.len() as f64 - 1.0) * rank) as usize)
            .copied()
            .unwrap_or(0)
    };
    let result = Rollout {
        changes: total_times.len(),
        conflicts,
        lost_changes,
        p50_ms: quantile(&times, 0.5),
        p99_ms: quantile(&times, 0.99),
        worst_ms: quantile(&times, 1.0),
        total_p50_ms: quantile(&total_times, 0.5),
        total_worst_ms: quantile(&total_times, 1.0),
        reversions,
    };
    println!(
        "{} changes: from acceptance to the last entry p50 {} ms, p99 {} ms, worst {} ms; from the operator's request p50 \
         {} ms, worst {} ms; {} proposals conflicted, {} changes could not be proposed, {} versions were reverted",
        result.changes,
        result.p50_ms,
        result.p99_ms,
        result.worst_ms,
        result.total_p50_ms,
        result.total_worst_ms,
        result.conflicts,
        result.lost_changes,
        result.reversions
    );
    write_json("rollout", &result)?;
    cluster.stop();
    const P99_TARGET_MS: u64 = 2000;
    const WORST_TARGET_MS: u64 = 8000;
    Ok(result.p99_ms < P99_TARGET_MS
        && result.worst_ms < WORST_TARGET_MS
        && reversions == 0
        && lost_changes == 0)
}

/// Replaces an entry or injects a store fault before some of the changes.
fn disturb(cluster: &mut Cluster, change: usize) -> Result<(), Error> {
    match change % 30 {
        9 => cluster.platform_fault("kind=lose&ms=4000"),
        14 => cluster.platform_fault("kind=slow&ms=3000"),
        19 => cluster.platform_fault("kind=down&ms=3000"),
        24 => {
            let mut entry = cluster.entries.remove(1);
            entry.signal(Signal::SIGTERM);
            cluster.add_entry()?;
            entry.wait(Duration::from_secs(30));
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Proposes a change as two concurrent operators and returns the accepted version, if any, and the
/// number of conflicts.
fn propose(cluster: &Cluster, expect: u64, text: &str) -> Result<(Option<u64>, usize), Error> {
    const ACCEPTED: i32 = 202;
    const CONFLICT: i32 = 409;
    const MAX_ATTEMPTS: usize = 40;
    for _ in 0..MAX_ATTEMPTS {
        let send = |index: usize| {
            let entry = &cluster.entries[index];
            let url = format!(
                "{}/v1/operator/config?expect={expect}&author=lab-{index}",
                entry.url
            );
            cluster.post(&url, text)
        };
        let answers = std::thread::scope(|scope| {
            let second = scope.spawn(|| send(2));
            [send(0), second.join().unwrap_or_else(|_| send(2))]
        });
        let mut accepted_versions = Vec::new();
        let mut conflicts = 0;
        for (status, body) in answers.into_iter().flatten() {
            match status {
                ACCEPTED => accepted_versions.extend(
                    serde_json::from_str::<serde_json::Value>(&body)
                        .ok()
                        .and_then(|value| value["version"].as_u64()),
                ),
                CONFLICT => conflicts += 1,
                _ => {}
            }
        }
        if let Some(version) = accepted_versions.first() {
            return Ok((Some(*version), conflicts));
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    Ok((None, 0))
}

fn accepted_version(cluster: &Cluster) -> Result<u64, Error> {
    let response: serde_json::Value =
        cluster.get(&format!("{}/v1/operator/config", cluster.entries[0].url))?;
    Ok(response["head"]["accepted"]["number"].as_u64().unwrap_or(0))
}

fn in_force_everywhere(cluster: &Cluster, version: u64) -> Result<bool, Error> {
    let status: serde_json::Value =
        cluster.get(&format!("{}/v1/operator/status", cluster.entries[0].url))?;
    let entries = status["entries"].as_array().cloned().unwrap_or_default();
    let has = |entry: &serde_json::Value| entry["config_version"].as_u64().unwrap_or(0) >= version;
    Ok(!entries.is_empty() && entries.iter().all(has))
}

/// Records when versions were accepted and came into force, and returns the number of reversions.
fn read_events(
    cluster: &Cluster,
    accepted_at: &mut BTreeMap<u64, u64>,
    in_force_at: &mut BTreeMap<u64, u64>,
    newest: &mut BTreeMap<String, (u64, u64)>,
) -> usize {
    let mut reversions = 0;
    for event in cluster.events() {
        let Some(version) = event
            .field("version")
            .and_then(|version| version.parse::<u64>().ok())
        else {
            continue;
        };
        match event.kind {
            Kind::ConfigAccepted => {
                accepted_at.entry(version).or_insert(event.stamp);
            }
            Kind::ConfigInForce => {
                let (sequence, last) = newest.entry(event.process.clone()).or_default();
                if event.sequence > *sequence {
                    reversions += usize::from(version <= *last);
                    (*sequence, *last) = (event.sequence, version);
                    let is_first_start = !accepted_at.contains_key(&version);
                    let at = in_force_at.entry(version).or_default();
                    if !is_first_start {
                        *at = (*at).max(event.stamp);
                    }
                }
            }
            _ => {}
        }
    }
    reversions
}
