use super::Report;
use hyssop_config::fleet::Fleet;
use hyssop_model::intent::{Drain, Wave};
use hyssop_model::prelude::*;
use hyssop_platform::roster::{Listing, Presence};

/// Is what the planner sees besides the rows that it changes.
#[derive(Clone, Debug)]
pub struct View {
    /// The wall clock, in milliseconds.
    pub wall_ms: u64,
    /// The configuration in force.
    pub fleet: Fleet,
    /// The drains that operators asked for, by instance.
    pub drains: BTreeMap<String, Drain>,
    /// The maintenance wave.
    pub wave: Option<Wave>,
    /// The platform's list, by instance.
    pub roster: BTreeMap<String, Listing>,
    /// The latest report of each entry, by name.
    pub reports: BTreeMap<String, Report>,
    /// The names of the entries that may be serving.
    pub may_serve: BTreeSet<String>,
}

/// How many entries must keep requests away from an instance for it to count as failing.
const OBSERVERS_TO_FAIL: usize = 2;

impl View {
    /// Tells whether an instance can serve, as far as the platform and the entries see.
    pub fn is_healthy(&self, name: &str) -> bool {
        let is_live = self
            .roster
            .get(name)
            .is_some_and(|listing| listing.presence != Presence::Gone);
        let against = self
            .reports
            .values()
            .filter(|report| report.ejected.contains(name));
        let quorum = OBSERVERS_TO_FAIL.min(self.reports.len().max(1));
        is_live && against.count() < quorum
    }

    /// Tells whether every entry that may be serving knows `revision` and has nothing in progress
    /// on an instance.
    pub fn is_drained(&self, name: &str, revision: u64) -> bool {
        self.may_serve.iter().all(|entry| {
            self.reports.get(entry).is_some_and(|report| {
                report.revision >= revision && report.in_flight.get(name).copied().unwrap_or(0) == 0
            })
        })
    }
}
