//! One seed of the soak: a plan of faults and calls, its execution and the checks.

mod callers;
mod checks;
mod cluster;
mod fault;
mod plan;

use callers::Callers;
use cluster::Cluster;
use plan::Plan;
use std::time::{Duration, Instant};

/// How long accepted jobs may take to end once all faults are over.
const END_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What is added to the faults that a seed has always drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Extras {
    /// Nothing.
    None,
    /// Bursts on a pool that requires advice, and connections that go silent.
    BurstsAndSilence,
}

/// Runs a seed and returns the promises that were broken.
pub(crate) fn run_seed(seed: u64, extras: Extras) -> Vec<String> {
    let mut plan = Plan::draw(seed);
    let has_extras = extras == Extras::BurstsAndSilence;
    if has_extras {
        plan.add_bursts_and_silence(seed);
    }
    println!("seed {seed}: {} processes", plan.process_count);
    let mut cluster = Cluster::start(plan.process_count, has_extras);
    let mut callers = Callers::new(seed);
    let mut history = Vec::new();
    let started_at = Instant::now();
    let origin = cluster.platform.now();
    for (at, fault) in &plan.steps {
        std::thread::sleep(at.saturating_sub(started_at.elapsed()));
        let at = cluster.platform.now();
        history.push(format!("  {:6.2} {fault:?}", at.as_secs_f64()));
        cluster.apply(fault, &mut callers);
    }
    cluster.end_faults();
    callers.finish();
    let deadline = Instant::now() + END_TIMEOUT;
    let unfinished = loop {
        let unfinished = callers.cancel_and_poll(&cluster);
        if unfinished.is_empty() || Instant::now() > deadline {
            break unfinished;
        }
        std::thread::sleep(POLL_INTERVAL);
    };
    let runs = cluster.platform.runs();
    let jobs = callers.jobs();
    let mut failures = checks::broken_promises(&jobs, &runs);
    failures.extend(unfinished);
    println!(
        "seed {seed}: {} jobs, {} runs, failovers that took {:?} ms",
        jobs.len(),
        runs.len(),
        cluster.failover_times()
    );
    if !failures.is_empty() {
        println!("seed {seed}: times from {:.2} s on", origin.as_secs_f64());
        history.iter().for_each(|line| println!("{line}"));
        let is_named = |id: &&str| failures.iter().any(|failure| failure.contains(id));
        let ids: Vec<&str> = jobs.iter().map(callers::Job::id).filter(is_named).collect();
        for line in cluster.log(&ids) {
            println!("  {line}");
        }
    }
    failures
        .into_iter()
        .map(|failure| format!("seed {seed}: {failure}"))
        .collect()
}
