use super::{JobKey, TaskKey};
use hyssop_model::work::{self, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One incarnation of a worker, as the pool's owner knows it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The registration in the worker registry.
    pub listing: work::Worker,
    /// Whether the registry still lists the worker.
    pub(super) is_listed: bool,
    /// Whether its row is stored, so that the next owner knows that it may run tasks.
    pub(super) is_recorded: bool,
    /// Whether it has reported in this term, and has therefore seen the term's fencing token.
    pub(super) is_known: bool,
    /// The worker's clock minus the owner's, in milliseconds, from the newest report.
    pub(super) clock_offset_ms: Option<i64>,
    /// The resources reserved by `runs`.
    pub(super) used: Resources,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// Completions up to this number have been applied to the jobs.
    pub(super) applied: u64,
    /// Completions up to this number are stored and may be acknowledged.
    pub(super) stored: u64,
    /// Completions up to this number were acknowledged in a call that the worker answered.
    pub(super) acknowledged: u64,
    /// When its leases have certainly expired unless they are extended, on the owner's clock.
    pub(super) lease_end: Duration,
    pub(super) is_polling: bool,
    pub(super) polled_at: Duration,
    /// Since when it has left calls unanswered.
    pub(super) silent_since: Option<Duration>,
    /// Until when it is excluded from placement.
    pub(super) blocked_until: Duration,
    /// Jobs of which a task failed here since the last success.
    pub(super) strikes: BTreeSet<JobKey>,
    /// The smoothed ratio of observed to expected durations on this worker.
    pub(super) slowness: f64,
    /// Until when it is being evacuated, as ordered by the fleet's owner.
    pub(super) vacating_until: Option<Duration>,
    /// Until when the fleet's owner may shut it down together with its long-running tasks.
    pub(super) cleared_until: Option<Duration>,
    /// Until when it counts as due for maintenance, as reported by the fleet's owner.
    pub(super) due_until: Option<Duration>,
    /// The target speed of best-effort tasks, in percent, and when it last changed.
    pub(super) pace: u32,
    pub(super) paced_at: Duration,
    /// Starts without an answer, by task name; the worker's next report triggers their stop.
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

    /// Returns the number up to which completions may be acknowledged.
    pub fn acknowledgeable(&self) -> u64 {
        self.stored
    }

    /// Returns the key of the worker's row, which is unique to this incarnation.
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

    /// Returns whether new tasks may be placed on the worker.
    ///
    /// A worker released for disruption accepts none even after its evacuation was cancelled,
    /// because the fleet's owner may still shut it down.
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

/// A run on a worker, from its start order until its outcome is reported.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) reserved: Resources,
    pub(super) ordered_at: Duration,
    /// When the start was last sent or last went unanswered.
    pub(super) asked_at: Duration,
    /// Whether an unanswered start may have taken effect, or may still do so.
    pub(super) may_exist: bool,
    /// Whether the worker has confirmed the run.
    pub(super) is_confirmed: bool,
    /// Whether a report has listed it, which proves that this incarnation runs it.
    pub(super) is_reported: bool,
    /// When it was first ordered to stop.
    pub(super) stopping_at: Option<Duration>,
    /// When the worker confirmed the stop. A report requested later lists the run or its
    /// completion if it ever took effect.
    pub(super) stop_confirmed_at: Option<Duration>,
    /// The progress in percent, and when it last changed.
    pub(super) percent: f64,
    pub(super) moved_at: Duration,
    /// The speed that was last ordered for it, in percent.
    pub(super) pace: u32,
    /// Since when a long-running task has been ready to serve.
    pub(super) serving_since: Option<Duration>,
}
