use super::{JobKey, TaskKey};
use hyssop_model::work::{self, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Holds one life of a worker, as its owner sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The registration.
    pub listing: work::Worker,
    /// Whether the registry still lists it.
    pub(super) is_listed: bool,
    /// Whether its row is stored, so that a next owner knows that it may run tasks.
    pub(super) is_recorded: bool,
    /// Whether it has reported in this term, and so has seen its fence.
    pub(super) is_known: bool,
    /// The worker's clock less the owner's, in milliseconds, from the newest report.
    pub(super) clock_offset_ms: Option<i64>,
    /// What the runs below reserve.
    pub(super) used: Resources,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// Endings up to this number have been applied to the jobs.
    pub(super) applied: u64,
    /// Endings up to this number are stored and may be acknowledged.
    pub(super) stored: u64,
    /// Endings up to this number were acknowledged in a call that was answered.
    pub(super) acknowledged: u64,
    /// When its leases have certainly run out, unless extended, on the owner's clock.
    pub(super) lease_end: Duration,
    pub(super) is_polling: bool,
    pub(super) polled_at: Duration,
    /// Since when it has not answered.
    pub(super) silent_since: Option<Duration>,
    /// Until when it gets no new tasks.
    pub(super) blocked_until: Duration,
    /// Jobs whose tasks failed here since the last success.
    pub(super) strikes: BTreeSet<JobKey>,
    /// Observed durations here, relative to what was expected; smoothed.
    pub(super) slowness: f64,
    /// Until when it is being emptied, by the fleet's word.
    pub(super) vacating_until: Option<Duration>,
    /// Until when the holder may end it with its lasting tasks.
    pub(super) cleared_until: Option<Duration>,
    /// Until when it counts as due for maintenance, by the fleet's word.
    pub(super) due_until: Option<Duration>,
    /// The share of their speed that filling tasks are to work at, and when it last changed.
    pub(super) pace: u32,
    pub(super) paced_at: Duration,
    /// Starts whose answers never came, by task name; stopped before anything else.
    pub(super) doubtful: BTreeMap<String, u64>,
}

impl Worker {
    pub(super) fn new(listing: work::Worker) -> Self {
        Self {
            listing,
            is_listed: true,
            is_recorded: false,
            is_known: false,
            clock_offset_ms: None,
            used: Resources::default(),
            runs: BTreeMap::new(),
            applied: 0,
            stored: 0,
            acknowledged: 0,
            lease_end: Duration::ZERO,
            is_polling: false,
            polled_at: Duration::ZERO,
            silent_since: None,
            blocked_until: Duration::ZERO,
            strikes: BTreeSet::new(),
            slowness: 1.0,
            vacating_until: None,
            cleared_until: None,
            due_until: None,
            pace: 100,
            paced_at: Duration::ZERO,
            doubtful: BTreeMap::new(),
        }
    }

    /// Returns the worker's clock at `now`, in milliseconds.
    pub fn clock_ms(&self, now: Duration) -> Option<i64> {
        self.clock_offset_ms
            .map(|offset| now.as_millis() as i64 + offset)
    }

    /// Returns the number up to which endings may be acknowledged.
    pub fn acknowledgeable(&self) -> u64 {
        self.stored
    }

    /// Returns the name that tells this life apart in the store.
    pub(super) fn row_name(&self) -> String {
        format!("{}@{}", self.listing.id, self.listing.incarnation)
    }

    pub(super) fn is_vacating(&self, now: Duration) -> bool {
        self.vacating_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_cleared(&self, now: Duration) -> bool {
        self.cleared_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.due_until.is_some_and(|until| now < until)
    }

    /// Tells whether new tasks may be placed here.
    ///
    /// Not on a worker that the holder may end, even where it is emptied no more.
    pub(super) fn takes_tasks(&self, now: Duration) -> bool {
        self.is_known
            && self.is_recorded
            && self.is_listed
            && !self.listing.is_draining
            && self.silent_since.is_none()
            && self.blocked_until <= now
            && !self.is_vacating(now)
            && !self.is_cleared(now)
    }

    pub(super) fn reserve(&mut self, task: TaskKey, run: Run) {
        self.used.add(&run.reserved);
        if let Some(earlier) = self.runs.insert(task, run) {
            self.used.remove(&earlier.reserved);
        }
    }

    pub(super) fn release(&mut self, task: TaskKey) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used.remove(&run.reserved);
        Some(run)
    }
}

/// Holds one run on a worker, from its order until its ending is reported.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) reserved: Resources,
    pub(super) ordered_at: Duration,
    /// When the start was last sent, or its answer was last missed.
    pub(super) asked_at: Duration,
    /// Whether an unanswered start may have been carried out, or may be yet.
    pub(super) may_exist: bool,
    /// Whether the worker has confirmed that it runs.
    pub(super) is_confirmed: bool,
    /// Whether a report has listed it, so that it is of this incarnation for certain.
    pub(super) is_reported: bool,
    /// When it was ordered to stop.
    pub(super) stopping_at: Option<Duration>,
    /// When the worker confirmed the stop; a report asked for later tells of the run, if it was
    /// ever there.
    pub(super) stop_confirmed_at: Option<Duration>,
    /// Progress, and when it last changed.
    pub(super) percent: f64,
    pub(super) moved_at: Duration,
    /// The share of its speed that it was last paced to.
    pub(super) pace: u32,
    /// Since when a lasting task has been at work.
    pub(super) serving_since: Option<Duration>,
}
