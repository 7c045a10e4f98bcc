use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Counts the starts by request and by key over all instances.
#[derive(Debug, Default)]
pub(crate) struct Executed {
    counts: Mutex<Counts>,
}

/// Is the number of starts of each request id and each key.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Counts {
    requests: BTreeMap<String, u32>,
    keys: BTreeMap<String, u32>,
}

impl Executed {
    /// Counts a start.
    pub(crate) fn count(&self, request: &str, key: &str) {
        let mut counts = self.lock();
        if !request.is_empty() {
            *counts.requests.entry(request.to_owned()).or_default() += 1;
        }
        if !key.is_empty() {
            *counts.keys.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Returns a copy of the counts.
    pub(crate) fn snapshot(&self) -> Counts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
