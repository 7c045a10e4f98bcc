use hyssop_model::work::Phase;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The ended jobs of a pool that no worker runs any more, kept only for status queries.
///
/// A pool may end a hundred times as many jobs within their retention as are open at once, so each takes
/// little.
#[derive(Clone, Debug, Default)]
pub(super) struct Ended {
    jobs: BTreeMap<Arc<str>, EndedJob>,
    /// The names of queues and client accounts, which the jobs share.
    names: BTreeSet<Arc<str>>,
}

/// An ended job.
#[derive(Clone, Debug)]
pub(super) struct EndedJob {
    pub(super) queue: Arc<str>,
    /// The client account that submitted it, if callers have accounts.
    pub(super) account: Option<Arc<str>>,
    /// The stored final phase.
    pub(super) phase: Phase,
}

impl Ended {
    pub(super) fn get(&self, id: &str) -> Option<&EndedJob> {
        self.jobs.get(id)
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &EndedJob> {
        self.jobs.values()
    }

    pub(super) fn insert(
        &mut self,
        id: Arc<str>,
        queue: &str,
        account: Option<&str>,
        phase: Phase,
    ) {
        let job = EndedJob {
            queue: self.share(queue),
            account: account.map(|account| self.share(account)),
            phase,
        };
        self.jobs.insert(id, job);
    }

    /// Forgets a job, and the names that no other job has.
    pub(super) fn remove(&mut self, id: &str) -> Option<EndedJob> {
        /// The references from the set of names and from the removed job.
        const UNSHARED: usize = 2;
        let job = self.jobs.remove(id)?;
        for name in std::iter::once(&job.queue).chain(&job.account) {
            if Arc::strong_count(name) <= UNSHARED {
                self.names.remove(name);
            }
        }
        Some(job)
    }

    fn share(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        let name: Arc<str> = name.into();
        self.names.insert(name.clone());
        name
    }
}
