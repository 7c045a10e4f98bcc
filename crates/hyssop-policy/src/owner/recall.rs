use super::Scheduler;
use crate::directory::Directory;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use strum::Display;

/// What a pool knows of a job that is about to be submitted to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Recall {
    /// The pool has accepted the job.
    Accepted,
    /// The pool accepts the job once the store has confirmed its row.
    Pending,
    /// The pool doesn't have the job, and does not accept it from then on.
    Unknown,
}

/// Jobs that this pool must not accept, since another pool may have accepted them.
#[derive(Clone, Debug, Default)]
pub(super) struct Barred {
    /// For each job the version of the configuration by which it belongs to another pool, and until
    /// when a process may have an earlier one.
    jobs: BTreeMap<String, (u64, Duration)>,
    /// The jobs in the order in which they were barred.
    order: VecDeque<String>,
}

impl Barred {
    fn insert(&mut self, id: &str, version: u64, now: Duration) {
        while let Some(oldest) = self.order.front() {
            let barred = self.jobs.get(oldest);
            if barred.is_some_and(|(_, until)| now < *until) {
                break;
            }
            self.jobs.remove(oldest);
            self.order.pop_front();
        }
        let until = now + Directory::CONFIGURATION_LAG;
        match self.jobs.get_mut(id) {
            Some((known, _)) => *known = version.max(*known),
            None => {
                self.jobs.insert(id.to_owned(), (version, until));
                self.order.push_back(id.to_owned());
            }
        }
    }
}

impl Scheduler {
    /// Returns whether this pool has a job which version `version` of the configuration assigns to
    /// another pool. If not, requests by processes with an earlier version are rejected from then on,
    /// so that no job is accepted by two pools.
    pub fn recall(&mut self, id: &str, version: u64, now: Duration) -> Recall {
        if self.ended.contains(id) {
            return Recall::Accepted;
        }
        match self.job_keys.get(id).and_then(|key| self.jobs.get(key)) {
            Some(job) if job.is_stored => Recall::Accepted,
            Some(_) => Recall::Pending,
            None => {
                self.barred.insert(id, version, now);
                Recall::Unknown
            }
        }
    }

    /// Returns whether a job must not be accepted from a process that has version `version` of the
    /// configuration.
    pub fn is_barred(&self, id: &str, version: u64) -> bool {
        let barred = self.barred.jobs.get(id);
        barred.is_some_and(|(barred, _)| version <= *barred)
    }
}
