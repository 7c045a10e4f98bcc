use super::StoppedWorker;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a stop is kept. An owner that doesn't know of it may record the worker again while the
/// registry still lists it, for some 5 s, and each next owner would wait for the authority of its
/// predecessor and a lease, some 7 s; this is long enough for two more owners in turn.
pub const RETENTION: Duration = Duration::from_secs(30);

/// The most stops that are kept, the newest ones: several times the instances that are changed
/// within [`RETENTION`].
pub const MAX_STOPS: usize = 1_024;

/// The stops of workers that the platform's list has confirmed, with the owners that know of them.
///
/// An owner that was told may end before it has stored anything, so each later owner of the pool is
/// told again.
#[derive(Clone, Debug, Default)]
pub struct StopNotices {
    /// By the order in which they were confirmed.
    stops: BTreeMap<u64, Notice>,
    next: u64,
}

/// One stop, and who was told.
#[derive(Clone, Debug)]
struct Notice {
    stopped: StoppedWorker,
    /// The latest term of the pool whose owner has acknowledged the stop.
    acknowledged_by: Option<u64>,
}

impl StopNotices {
    /// Adds stops, and drops the oldest ones beyond [`MAX_STOPS`].
    pub fn add(&mut self, stops: impl IntoIterator<Item = StoppedWorker>) {
        for stopped in stops {
            let notice = Notice {
                stopped,
                acknowledged_by: None,
            };
            self.stops.insert(self.next, notice);
            self.next += 1;
        }
        while self.stops.len() > MAX_STOPS {
            self.stops.pop_first();
        }
    }

    /// Drops the stops that are older than [`RETENTION`].
    pub fn expire(&mut self, now: Duration) {
        self.stops
            .retain(|_, notice| now.saturating_sub(notice.stopped.stopped_at) < RETENTION);
    }

    /// Returns the stops of workers of `pool` that its owner of `term` has not acknowledged.
    pub fn due(&self, pool: &str, term: u64) -> Vec<StoppedWorker> {
        self.stops
            .values()
            .filter(|notice| notice.stopped.pool == pool && notice.acknowledged_by != Some(term))
            .map(|notice| notice.stopped.clone())
            .collect()
    }

    /// Returns the pools with stops that are kept, each once.
    pub fn pools(&self) -> Vec<String> {
        let pools = self.stops.values().map(|notice| &notice.stopped.pool);
        let mut pools: Vec<String> = pools.cloned().collect();
        pools.sort_unstable();
        pools.dedup();
        pools
    }

    /// Records whether the owner of `term` has acknowledged the stops that it was told.
    ///
    /// A stop without an incarnation isn't repeated: a later owner may know the worker's next
    /// incarnation only, and would take it for the stopped one.
    pub fn on_told(&mut self, told: &[StoppedWorker], term: u64, is_acknowledged: bool) {
        self.stops.retain(|_, notice| {
            if !told.contains(&notice.stopped) {
                return true;
            }
            if is_acknowledged {
                notice.acknowledged_by = Some(term);
            }
            notice.stopped.incarnation.is_some()
        });
    }
}
