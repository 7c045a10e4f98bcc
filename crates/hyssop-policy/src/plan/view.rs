use super::Report;
use hyssop_config::fleet::Fleet;
use hyssop_model::intent::{Drain, Wave};
use hyssop_model::prelude::*;
use hyssop_platform::roster::{Listing, Presence};

/// The planner's input besides the rows that it changes.
#[derive(Clone, Debug)]
pub struct View {
    /// The wall clock, in milliseconds.
    pub wall_ms: u64,
    /// The configuration in force.
    pub fleet: Fleet,
    /// The drains that operators requested, by instance.
    pub drains: BTreeMap<String, Drain>,
    /// The maintenance wave.
    pub wave: Option<Wave>,
    /// The platform's list of instances, by name.
    pub roster: BTreeMap<String, Listing>,
    /// The latest report of each entry, by name.
    pub reports: BTreeMap<String, Report>,
    /// The names of the entries that may still be serving.
    pub may_serve: BTreeSet<String>,
}

/// The number of entries that must have ejected an instance for it to count as failed; one is
/// enough if only one reports.
const MIN_EJECTIONS: usize = 2;

impl View {
    /// Returns whether the platform lists an instance as present and fewer entries have ejected it
    /// than count as a failure.
    pub fn is_healthy(&self, name: &str) -> bool {
        let is_live = self
            .roster
            .get(name)
            .is_some_and(|listing| listing.presence != Presence::Gone);
        let ejections = self
            .reports
            .values()
            .filter(|report| report.ejected.contains(name));
        let threshold = MIN_EJECTIONS.min(self.reports.len().max(1));
        is_live && ejections.count() < threshold
    }

    /// Returns whether every entry that may be serving has applied `revision` and has no requests in
    /// flight on an instance.
    pub fn is_drained(&self, name: &str, revision: u64) -> bool {
        self.may_serve.iter().all(|entry| {
            self.reports.get(entry).is_some_and(|report| {
                report.revision >= revision && report.in_flight.get(name).copied().unwrap_or(0) == 0
            })
        })
    }
}
