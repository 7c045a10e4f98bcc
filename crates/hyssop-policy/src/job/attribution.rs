use super::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Tells bad jobs from bad workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attribution {
    workers: BTreeMap<String, Suspicion>,
}

#[derive(Clone, Debug, Default)]
struct Suspicion {
    /// The jobs that failed there since one last ended well.
    failed: BTreeSet<String>,
    rest: Option<Duration>,
    until: Option<Instant>,
}

impl Attribution {
    /// Notes a failure, and returns whether the worker is to be left alone from now on.
    pub(crate) fn fail(
        &mut self,
        now: Instant,
        worker: &str,
        job: &str,
        settings: &Settings,
    ) -> bool {
        let suspicion = self.workers.entry(worker.to_owned()).or_default();
        suspicion.failed.insert(job.to_owned());
        // A worker that comes back from its rest is on trial: one failure is enough.
        let threshold = if suspicion.rest.is_some() {
            1
        } else {
            settings.failures_of_worker
        };
        if suspicion.until.is_some() || suspicion.failed.len() < threshold {
            return false;
        }
        let rest = suspicion
            .rest
            .map_or(settings.shortest_rest, |rest| rest * 2);
        let rest = rest.min(settings.longest_rest);
        suspicion.rest = Some(rest);
        suspicion.until = Some(now + rest);
        true
    }

    /// Notes that a job ended well.
    pub(crate) fn succeed(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Takes the workers whose rest is over.
    pub(crate) fn take_rested(&mut self, now: Instant) -> Vec<String> {
        let mut rested = Vec::new();
        for (worker, suspicion) in &mut self.workers {
            if suspicion.until.is_some_and(|until| now >= until) {
                suspicion.until = None;
                suspicion.failed.clear();
                rested.push(worker.clone());
            }
        }
        rested
    }
}
