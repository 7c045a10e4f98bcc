use super::completion::QUARANTINE_FAILED_JOBS;
use super::learning::Expectation;
use super::quota::{AccountKey, Charge};
use super::{JobKey, TaskKey};
use hyssop_model::work::{self, Completion, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

/// A worker whose runs take this many times the expected duration is chosen only when no other
/// worker fits.
pub(super) const SLOWNESS_THRESHOLD: f64 = 2.0;
/// Weight of one observation in the moving average of a worker's slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// The bounds of one observation. A single task that takes ten times as long, as a few do, leaves a
/// worker below the threshold; two in a row don't.
const MIN_RELATIVE: f64 = 0.3;
const MAX_RELATIVE: f64 = 3.0;

/// The most runs on one worker; each is listed in every report. A worker of 64 cores has room for as many
/// tasks of a sixteenth of a core.
const MAX_RUNS: usize = 1_024;
/// The most starts to one worker without an answer; each is a task of the owner's process. They are answered
/// within milliseconds, and a worker of 64 cores has room for as many tasks of half a core.
const MAX_OPEN_STARTS: usize = 128;

/// One incarnation of a worker, as the pool's owner knows it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The registration in the worker registry.
    pub listing: work::Worker,
    /// When this incarnation took the place of a previous one that the owner knew, `None` if it
    /// knew none.
    pub(super) succeeded_at: Option<Duration>,
    /// Until when leases may last that orders to a previous incarnation have granted it, whose clock was
    /// ahead; `None` if it took no other's place, or that time has passed.
    pub(super) stretched_until: Option<Duration>,
    /// Starts to it or to a previous incarnation that may still be carried out, by task name.
    pub(super) unanswered_starts: BTreeMap<String, UnansweredStart>,
    /// Until when an order that extends leases, to it or to a previous incarnation, may still be carried
    /// out without having been answered.
    pub(super) late_orders_until: Duration,
    /// When an extension of its lease was sent that has not been answered yet.
    pub(super) extension_sent_at: Option<Duration>,
    /// Whether the registry still lists the worker.
    pub(super) is_listed: bool,
    /// The last registration of another incarnation that no report has confirmed.
    pub(super) other_listing: Option<work::Worker>,
    /// When `other_listing` became known, until a report requested later shows which incarnation lives.
    pub(super) disputed_at: Option<Duration>,
    /// Whether this incarnation belongs to another pool and is kept only for its stray runs.
    pub(super) has_departed: bool,
    /// Whether its row is stored, so that the next owner knows that it may run tasks.
    pub(super) is_recorded: bool,
    /// Whether its stored row is outdated.
    pub(super) is_row_outdated: bool,
    /// Whether it has reported all its runs and completions in this term, and has therefore seen the
    /// term's fencing token.
    pub(super) has_reported: bool,
    /// The newest reading of the worker's clock, `None` before its first answer in this term.
    pub(super) clock: Option<ClockReading>,
    /// Whether its last report listed runs of which the owner doesn't know what they use: those of
    /// finished or unknown jobs.
    pub(super) has_unknown_runs: bool,
    /// The resources reserved by `runs`.
    pub(super) used: Resources,
    /// What `runs` hold of the accounts' quotas.
    pub(super) charges: BTreeMap<AccountKey, Resources>,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// Completions up to this number have been applied to the jobs.
    pub(super) applied: u64,
    /// Completions up to this number are stored and may be acknowledged.
    pub(super) stored: u64,
    /// The jobs of the completions after `stored` that changed one.
    pub(super) unstored: BTreeMap<u64, JobKey>,
    /// Completions of occurrences that are not open yet. They are applied once these are, and not
    /// acknowledged before.
    pub(super) deferred_completions: BTreeMap<u64, Completion>,
    /// Completions up to this number were acknowledged in a call that the worker answered.
    pub(super) acknowledged: u64,
    /// When its leases have certainly expired unless they are extended, on the owner's clock.
    pub(super) lease_end: Duration,
    pub(super) is_polling: bool,
    pub(super) polled_at: Duration,
    /// When its latest report was requested.
    pub(super) report_requested_at: Duration,
    /// When the first renewal after its last report failed, `None` while it is reachable.
    pub(super) unreachable_since: Option<Duration>,
    /// When it was last heard again after a renewal without a usable report.
    pub(super) heard_again_at: Option<Duration>,
    /// The end of its exclusion from placement.
    pub(super) excluded_until: Duration,
    /// Jobs of which a task failed here since the last success.
    pub(super) failed_jobs: BTreeSet<JobKey>,
    /// The smoothed ratio of observed to expected durations on this worker.
    pub(super) slowness: f64,
    /// The end of its evacuation, as ordered by the fleet's owner.
    pub(super) evacuating_until: Option<Duration>,
    /// The end of the period in which the fleet's owner may shut it down together with its
    /// long-running tasks.
    pub(super) released_until: Option<Duration>,
    /// The end of the period in which it counts as due for maintenance, as reported by the fleet's
    /// owner.
    pub(super) maintenance_due_until: Option<Duration>,
    /// The target speed of best-effort tasks, in percent, and when it last changed.
    pub(super) pace: u32,
    pub(super) paced_at: Duration,
    /// The runs to stop after the worker's next report, by task name: those whose lease has expired,
    /// and those whose stop went unanswered.
    pub(super) deferred_stops: BTreeMap<String, u64>,
}

/// The time on a worker's clock at a time on the owner's.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    clock_ms: i64,
    read_at: Duration,
}

/// Returns the key of the row of a worker's incarnation.
pub(super) fn row_name(id: &str, incarnation: i64) -> String {
    format!("{id}@{incarnation}")
}

/// Returns whether one of these starts may still be carried out, of a task whose name begins with `prefix`.
pub(super) fn has_open_start(
    starts: &BTreeMap<String, UnansweredStart>,
    prefix: &str,
    now: Duration,
) -> bool {
    let named = starts.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
    named
        .take_while(|(task, _)| task.starts_with(prefix))
        .any(|(_, start)| now < start.until)
}

impl Worker {
    pub(super) fn new(listing: work::Worker) -> Self {
        Self {
            listing,
            succeeded_at: None,
            stretched_until: None,
            unanswered_starts: BTreeMap::new(),
            late_orders_until: Duration::ZERO,
            extension_sent_at: None,
            is_listed: true,
            other_listing: None,
            disputed_at: None,
            has_departed: false,
            is_recorded: false,
            is_row_outdated: false,
            has_reported: false,
            clock: None,
            has_unknown_runs: false,
            used: Resources::default(),
            charges: BTreeMap::new(),
            runs: BTreeMap::new(),
            applied: 0,
            stored: 0,
            unstored: BTreeMap::new(),
            deferred_completions: BTreeMap::new(),
            acknowledged: 0,
            lease_end: Duration::ZERO,
            is_polling: false,
            polled_at: Duration::ZERO,
            report_requested_at: Duration::ZERO,
            unreachable_since: None,
            heard_again_at: None,
            excluded_until: Duration::ZERO,
            failed_jobs: BTreeSet::new(),
            slowness: 1.0,
            evacuating_until: None,
            released_until: None,
            maintenance_due_until: None,
            pace: 100,
            paced_at: Duration::ZERO,
            deferred_stops: BTreeMap::new(),
        }
    }

    /// Records that it took the place of a previous incarnation at `now`. The leases that orders to that
    /// one grant have certainly expired `span` later.
    pub(super) fn record_succession(&mut self, now: Duration, span: Duration) {
        self.succeeded_at.get_or_insert(now);
        self.stretched_until = self.stretched_until.max(Some(now + span));
    }

    /// Returns whether orders to a previous incarnation may have granted it leases of the longest kind.
    pub(super) fn is_successor(&self) -> bool {
        self.stretched_until.is_some()
    }

    /// Returns whether another start may be ordered: tasks that need nothing would all fit at once.
    pub(super) fn has_room_for_start(&self) -> bool {
        let is_open = |run: &&Run| !run.is_confirmed;
        self.runs.len() < MAX_RUNS
            && (self.runs.len() < MAX_OPEN_STARTS
                || self.runs.values().filter(is_open).count() < MAX_OPEN_STARTS)
    }

    /// Returns whether a start may still be carried out of a task whose name begins with `prefix`.
    pub(super) fn has_unanswered_start(&self, prefix: &str, now: Duration) -> bool {
        has_open_start(&self.unanswered_starts, prefix, now)
    }

    /// Records that a start got no answer.
    pub(super) fn record_unanswered_start(&mut self, task: String, run: u64, now: Duration) {
        self.unanswered_starts.retain(|_, start| now < start.until);
        let until = now + ORDER_LATENESS;
        let start = self
            .unanswered_starts
            .entry(task)
            .or_insert(UnansweredStart { run, until });
        start.run = start.run.max(run);
        start.until = until;
        self.late_orders_until = until;
    }

    /// Records that the extension of its lease that was sent last may still be carried out for `span`
    /// after it was sent.
    pub(super) fn give_up_extension(&mut self, span: Duration) {
        if let Some(sent_at) = self.extension_sent_at.take() {
            self.late_orders_until = self.late_orders_until.max(sent_at + span);
        }
    }

    /// Returns the value of the worker's row, which tells the next owner how long its leases may be.
    pub(super) fn row_value(&self, now: Duration) -> Vec<u8> {
        let stretch = match self.stretched_until {
            None => Stretch::None,
            Some(_) if now < self.late_orders_until => Stretch::Late,
            Some(_) => Stretch::InFlight,
        };
        vec![stretch as u8]
    }

    /// Returns whether an order sent at `sent_at` was answered by another incarnation, whose clock is
    /// behind the one that is known.
    ///
    /// The clock of an incarnation counts from its start, so that orders for the known one grant leases
    /// of the longest kind to a later one.
    pub(super) fn is_clock_behind(&self, clock_ms: i64, sent_at: Duration, drift: f64) -> bool {
        let reading = self.clock.filter(|reading| reading.read_at <= sent_at);
        let earliest = reading.and_then(|_| self.clock_ms(sent_at, drift));
        earliest.is_some_and(|earliest| clock_ms < earliest)
    }

    /// Returns the earliest time that the worker's clock may show at `now`, in milliseconds.
    ///
    /// The clock may run slow by the factor `drift`, so the bound falls behind with the age of the
    /// last reading. A lease granted by a later time would outlast the one that its owner counts on.
    pub(super) fn clock_ms(&self, now: Duration, drift: f64) -> Option<i64> {
        let reading = self.clock?;
        let age = now.saturating_sub(reading.read_at);
        let lag = age.mul_f64((drift - 1.0).max(0.0));
        Some(reading.clock_ms + (age - lag.min(age)).as_millis() as i64)
    }

    /// Records the worker's clock as told in an answer that arrived at `now`.
    pub(super) fn read_clock(&mut self, clock_ms: i64, now: Duration) {
        self.clock = Some(ClockReading {
            clock_ms,
            read_at: now,
        });
    }

    /// Limits a lease that an earlier owner granted by the worker's first report to this one: from
    /// then on the worker refuses the earlier owner's orders, and a worker without runs and completions
    /// has no lease that matters. While the lease lasts in which a run ended, its completion counts.
    ///
    /// Start orders that were meant for a previous incarnation may grant longer ones.
    pub(super) fn limit_inherited_lease(
        &mut self,
        report: &work::Report,
        lease_span: Duration,
        now: Duration,
    ) {
        if self.is_successor() || !self.runs.is_empty() {
            return;
        }
        let span = if report.running.is_empty() && report.completions.is_empty() {
            Duration::ZERO
        } else {
            lease_span
        };
        self.lease_end = self.lease_end.min(now + span);
    }

    /// Returns whether the registration of another incarnation proves nothing: it is an earlier one, or
    /// did not live when this one reported.
    pub(super) fn is_outdated(&self, incarnation: i64) -> bool {
        let other_listing = self.other_listing.as_ref();
        incarnation < self.listing.incarnation
            || other_listing.is_some_and(|other_listing| other_listing.incarnation == incarnation)
    }

    /// Returns the number up to which completions may be acknowledged.
    pub fn acknowledgeable(&self) -> u64 {
        self.stored
    }

    /// Returns the number up to which completions are stored once all jobs but `dirty` are.
    pub(super) fn storable(&self, dirty: &BTreeSet<JobKey>) -> u64 {
        let unstored = self.unstored.iter().find(|(_, job)| dirty.contains(job));
        let deferred = self.deferred_completions.keys().next();
        let first = unstored
            .map(|(number, _)| number)
            .into_iter()
            .chain(deferred)
            .min();
        first.map_or(self.applied, |number| number - 1)
    }

    /// Returns the key of the worker's row, which is unique to this incarnation.
    pub(super) fn row_name(&self) -> String {
        row_name(&self.listing.id, self.listing.incarnation)
    }

    pub(super) fn is_evacuating(&self, now: Duration) -> bool {
        self.evacuating_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_released(&self, now: Duration) -> bool {
        self.released_until.is_some_and(|until| now < until)
    }

    /// Returns whether the worker may have been shut down by a release, which may have expired since
    /// its latest report was requested.
    pub(super) fn may_be_shut_down(&self) -> bool {
        self.released_until
            .is_some_and(|until| until > self.report_requested_at)
    }

    pub(super) fn is_due_for_maintenance(&self, now: Duration) -> bool {
        self.maintenance_due_until.is_some_and(|until| now < until)
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(super) fn accepts_tasks(&self, now: Duration) -> bool {
        self.has_reported
            && self.is_recorded
            && self.excluded_until <= now
            && self.permission(now) == Permission::Granted
    }

    /// Returns whether a start that was ordered may be sent.
    ///
    /// A worker released for disruption gets none even after its evacuation was cancelled, because the
    /// fleet's owner may still shut it down.
    pub(super) fn permission(&self, now: Duration) -> Permission {
        if !self.is_listed
            || self.has_departed
            || self.listing.is_draining
            || self.is_evacuating(now)
            || self.is_released(now)
            || self.is_quarantined(now)
        {
            return Permission::Withdrawn;
        }
        let is_uncertain =
            self.unreachable_since.is_some() || self.disputed_at.is_some() || self.has_unknown_runs;
        if is_uncertain {
            Permission::Deferred
        } else {
            Permission::Granted
        }
    }

    /// Returns whether the worker is excluded because tasks of several jobs have failed there.
    fn is_quarantined(&self, now: Duration) -> bool {
        self.failed_jobs.len() >= QUARANTINE_FAILED_JOBS && now < self.excluded_until
    }

    /// Returns whether the worker has the label and, while it runs nothing else, the room for a task
    /// of a step.
    pub(super) fn could_run(&self, step: &work::Step) -> bool {
        let capacity = &self.listing.capacity;
        capacity.fits(&Resources::default(), &step.reserved())
            && step
                .label
                .as_ref()
                .is_none_or(|label| self.listing.labels.contains(label))
    }

    /// Compares the duration of a run here with the expected one.
    ///
    /// Where durations of an image vary by more than [`SLOWNESS_THRESHOLD`], the ratio is compressed so
    /// that its high quantile counts as that threshold: a worker is not blamed for the usual variation
    /// of what it runs.
    pub(super) fn record_duration(&mut self, ms: f64, expectation: &Expectation) {
        let Expectation {
            expected_ms,
            high_ms,
            ..
        } = *expectation;
        if expected_ms <= 0.0 {
            return;
        }
        let spread = (high_ms / expected_ms).max(SLOWNESS_THRESHOLD);
        let exponent = SLOWNESS_THRESHOLD.ln() / spread.ln();
        let relative = (ms / expected_ms).powf(exponent);
        let relative = relative.clamp(MIN_RELATIVE, MAX_RELATIVE);
        self.slowness += (relative - self.slowness) * SLOWNESS_WEIGHT;
    }

    pub(super) fn reserve(&mut self, task: TaskKey, run: Run) {
        self.used.add(&run.reserved);
        if let Some(charge) = run.charge {
            let held = self.charges.entry(charge.account).or_default();
            held.add(&charge.amount);
        }
        if let Some(earlier) = self.runs.insert(task, run) {
            self.used.remove(&earlier.reserved);
            self.discharge(&earlier);
        }
    }

    /// Returns whether the worker has the capacity for all of its runs but those being stopped.
    pub(super) fn has_room_for_runs(&self) -> bool {
        let mut used = work::Resources::default();
        for run in self.runs.values().filter(|run| run.stopping_at.is_none()) {
            used.add(&run.reserved);
        }
        self.listing
            .capacity
            .fits(&used, &work::Resources::default())
    }

    /// Returns whether the next report may show what became of a stray run, or of one that was stopped
    /// before it was known to have started.
    pub(super) fn has_unsettled_runs(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.is_stray || (run.stopping_at.is_some() && !run.is_confirmed))
    }

    pub(super) fn unreserve(&mut self, task: TaskKey) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used.remove(&run.reserved);
        self.discharge(&run);
        Some(run)
    }

    /// Removes a run from what the accounts hold.
    fn discharge(&mut self, run: &Run) {
        let Some(charge) = run.charge else {
            return;
        };
        if let Some(held) = self.charges.get_mut(&charge.account) {
            held.remove(&charge.amount);
            if *held == Resources::default() {
                self.charges.remove(&charge.account);
            }
        }
    }
}

/// Whether starts may be sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    /// They may be sent.
    Granted,
    /// They have to wait until it is known whether the worker lives and what it runs.
    Deferred,
    /// The worker is leaving or excluded: they are given up.
    Withdrawn,
}

/// The longest time that an order takes to arrive and its answer to be given up.
pub(super) const IN_FLIGHT: Duration = Duration::from_millis(700);

/// How long after it was sent an order without an answer may still be carried out. The platform only
/// says that it may take seconds; a longer time only delays tasks of a worker that has started again
/// under its identifier and is silent.
pub(super) const ORDER_LATENESS: Duration = Duration::from_secs(15);

/// Which orders to a previous incarnation may have granted a worker leases of the longest kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum Stretch {
    /// There was no previous incarnation.
    None = 0,
    /// Those that were on their way when it started.
    InFlight = 1,
    /// Also those that got no answer.
    Late = 2,
}

impl Stretch {
    /// Reads the value of a worker's row.
    pub(super) fn read(value: &[u8]) -> Self {
        match value {
            [1] => Self::InFlight,
            [2] => Self::Late,
            _ => Self::None,
        }
    }

    /// Returns the time after an order was last entitled to be sent to the previous incarnation at which it
    /// is certainly not carried out any more.
    pub(super) fn span(self) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::InFlight => IN_FLIGHT,
            Self::Late => ORDER_LATENESS,
        }
    }
}

/// A start that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnansweredStart {
    /// The highest number of such a run of the task.
    pub(super) run: u64,
    /// Until when it may be carried out.
    pub(super) until: Duration,
}

/// A run on a worker, from its start order until its outcome is reported.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) reserved: Resources,
    /// What it holds of its account's quota.
    pub(super) charge: Option<Charge>,
    pub(super) ordered_at: Duration,
    /// When the start was last sent or last went unanswered.
    pub(super) start_attempted_at: Duration,
    /// Whether an unanswered start may have taken effect, or may still do so.
    pub(super) may_have_started: bool,
    /// Whether the worker has confirmed the run.
    pub(super) is_confirmed: bool,
    /// Whether a report has listed it, which proves that this incarnation runs it.
    pub(super) is_reported: bool,
    /// When its start was last sent in this term, `None` if never.
    pub(super) sent_at: Option<Duration>,
    /// Whether its start was sent to a previous incarnation of the worker and may have reached this
    /// one, which was not given the task.
    pub(super) is_stray: bool,
    /// When it was first ordered to stop.
    pub(super) stopping_at: Option<Duration>,
    /// When the worker confirmed the stop. A report requested later lists the run or its
    /// completion if it ever took effect.
    pub(super) stop_confirmed_at: Option<Duration>,
    /// The progress in percent, and when it last changed.
    pub(super) percent: f64,
    pub(super) progressed_at: Duration,
    /// The speed that was last ordered for it, in percent.
    pub(super) pace: u32,
    /// When its progress reached 100 percent; a long-running task serves from then on.
    pub(super) serving_since: Option<Duration>,
    /// Whether it was ordered in this term and without a checkpoint, so that its duration is that of
    /// the whole task.
    pub(super) is_whole: bool,
    /// The lower bound of its duration that was learned, in milliseconds.
    pub(super) observed_ms: Option<f64>,
    /// How long after its beginning it next teaches that it takes longer, zero if that is not known
    /// yet.
    pub(super) overdue_after: Duration,
}

impl Run {
    /// Returns when it began, as far as that is known.
    pub(super) fn began_at(&self) -> Duration {
        self.sent_at.unwrap_or(self.ordered_at)
    }

    /// Returns until when its start may be on its way, `None` if it was never sent in this term.
    pub(super) fn arrives_until(&self) -> Option<Duration> {
        self.sent_at.map(|sent_at| sent_at + IN_FLIGHT)
    }

    /// Returns whether its start may be carried out by the worker's next incarnation, which has the same
    /// identifier, or has been.
    pub(super) fn may_reach_next(&self, now: Duration) -> bool {
        self.sent_at.is_some_and(|sent_at| {
            let span = if self.is_reported && !self.may_have_started {
                IN_FLIGHT
            } else {
                ORDER_LATENESS
            };
            !self.is_reported || now < sent_at + span
        })
    }
}
