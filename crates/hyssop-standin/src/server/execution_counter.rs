use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A counter of the started requests over all instances, by request id and by idempotency key.
#[derive(Debug, Default)]
pub(crate) struct ExecutionCounter {
    counts: Mutex<ExecutionCounts>,
}

/// The number of starts of each request id and of each idempotency key.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ExecutionCounts {
    requests: BTreeMap<String, u32>,
    keys: BTreeMap<String, u32>,
}

impl ExecutionCounter {
    /// Counts one start; an empty request id or key isn't counted.
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
    pub(crate) fn snapshot(&self) -> ExecutionCounts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, ExecutionCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
