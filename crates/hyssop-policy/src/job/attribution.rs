use super::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The recent failures of each worker, which decide whether it is excluded from placement.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attribution {
    workers: BTreeMap<String, WorkerFailures>,
}

#[derive(Clone, Debug, Default)]
struct WorkerFailures {
    /// The jobs that failed on the worker since the last success there.
    failed_jobs: BTreeSet<String>,
    exclusion: Option<Duration>,
    excluded_until: Option<Instant>,
}

impl Attribution {
    /// Records a failure, and returns whether the worker is excluded from now on.
    pub(crate) fn on_failure(
        &mut self,
        now: Instant,
        worker: &str,
        job: &str,
        settings: &Settings,
    ) -> bool {
        let failures = self.workers.entry(worker.to_owned()).or_default();
        failures.failed_jobs.insert(job.to_owned());
        // A readmitted worker is on probation: a single failure excludes it again.
        let threshold = if failures.exclusion.is_some() {
            1
        } else {
            settings.worker_failure_threshold
        };
        if failures.excluded_until.is_some() || failures.failed_jobs.len() < threshold {
            return false;
        }
        let exclusion = failures
            .exclusion
            .map_or(settings.min_exclusion, |exclusion| exclusion * 2);
        let exclusion = exclusion.min(settings.max_exclusion);
        failures.exclusion = Some(exclusion);
        failures.excluded_until = Some(now + exclusion);
        true
    }

    /// Records a successful job, which clears the worker's failures.
    pub(crate) fn on_success(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Returns the workers whose exclusion has ended, and readmits them.
    pub(crate) fn take_readmitted(&mut self, now: Instant) -> Vec<String> {
        let mut readmitted = Vec::new();
        for (worker, failures) in &mut self.workers {
            if failures.excluded_until.is_some_and(|until| now >= until) {
                failures.excluded_until = None;
                failures.failed_jobs.clear();
                readmitted.push(worker.clone());
            }
        }
        readmitted
    }
}
