//! Scheduling of one pool's jobs.
//!
//! A [`Scheduler`] receives submissions, worker registrations and reports, the results of its
//! actions and the commits of its rows, each with the current time. It returns actions to perform
//! and rows to store. It does no I/O, reads no clock and draws no random numbers, so a simulation
//! of stores and workers can drive it in a single thread.
//!
//! # Safety properties
//!
//! - The term is the fencing token of every order; a worker that has seen a newer term rejects it.
//! - A task is restarted only when its run has ended or its lease has certainly expired.
//! - An occurrence of a scheduled job is started only after a stored row names it, so a new owner
//!   knows that all others have not been started.
//! - A completion is acknowledged to its worker only after it is stored.
//! - Callers see `done`, `failed` and `cancelled` only after the phase is stored.

mod action;
mod addresses;
mod admission;
mod advice;
mod backlog;
mod batch;
mod budget;
mod capacity;
mod completion;
mod ended;
mod handover;
mod incarnation;
mod job;
mod key;
pub mod learning;
mod order;
mod pace;
mod placement;
mod progress;
mod quota;
mod recall;
mod recovery;
mod report;
mod residual;
mod roster;
mod rules;
mod settings;
mod share;
mod start;
mod unreported;
mod watch;
mod worker;

pub use action::{Action, Notification};
pub use admission::{retry_after, Admission, Cancellation, StorePace, IDENTIFIER_IN_USE};
pub use advice::Query;
pub use backlog::Limits;
pub use batch::Batch;
pub use capacity::{Demand, Load};
pub use handover::Refusal;
pub use job::{Job, Rule};
pub use key::{JobKey, TaskKey, WorkerKey};
pub use quota::AccountState;
pub use recall::Recall;
pub use recovery::{Record, Recovery};
pub use settings::Settings;
pub use start::StartResult;
pub use worker::Worker;

use hyssop_model::work::{Account, Configuration};
use learning::{Estimator, Scores, Stored};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Maximum time between placement passes. Excluded workers become available again without an
/// event, so placement is also retried periodically.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks of leases, stalled runs, schedules and budgets. The cost of a check
/// grows with the number of runs, and none of them is more precise than the delay of a report.
const WATCH_INTERVAL: Duration = Duration::from_millis(40);

/// The scheduler of one pool during one term of its owner.
#[derive(Debug)]
pub struct Scheduler {
    pool: String,
    term: u64,
    settings: Settings,
    rules: rules::Rules,
    /// The client accounts of the configuration, by name.
    accounts: BTreeMap<String, Account>,
    /// The quotas of the accounts, `None` where they aren't enforced.
    quota: Option<Box<quota::Quota>>,
    addresses: addresses::Addresses,
    barred: recall::Barred,
    jobs: BTreeMap<JobKey, Job>,
    job_keys: BTreeMap<String, JobKey>,
    next_job: u32,
    /// When the rules of removed queues were last checked for jobs.
    rules_checked_at: Duration,
    /// Unfinished jobs.
    open_jobs: BTreeSet<JobKey>,
    /// Finished jobs of which a worker may still run tasks.
    ended_jobs_with_runs: BTreeSet<JobKey>,
    /// The other finished jobs.
    ended: ended::Ended,
    /// All finished jobs, in the order in which their results were stored.
    finished_jobs: VecDeque<(Duration, Arc<str>)>,
    backlog: backlog::Backlog,
    workers: BTreeMap<WorkerKey, Worker>,
    next_worker: u32,
    /// What may still reach the next incarnations of removed workers, by identifier.
    late_orders: BTreeMap<String, incarnation::Inheritance>,
    /// Workers of an earlier term that may still run tasks.
    unreported_workers: BTreeMap<(String, i64), unreported::Unreported>,
    /// Whether orphaned tasks may have become known not to run.
    is_requeue_due: bool,
    /// The number of orphaned tasks that recovery has requeued.
    unlocated_tasks: usize,
    /// Whether this owner has stopped acting, to hand the pool over.
    is_handing_over: bool,
    /// When the previous owner's authority had certainly ended.
    predecessor_end: Duration,
    /// When the registry was first read completely in this term.
    registry_read_at: Option<Duration>,
    /// When the rows of the earlier term were recovered.
    recovered_at: Duration,
    /// Whether orphaned tasks of recovered jobs wait for `unreported_workers`.
    is_recovering: bool,
    /// Jobs with changes that are not in a batch yet.
    dirty: BTreeSet<JobKey>,
    /// The effects of the batch in flight.
    pending: Option<batch::Pending>,
    /// Workers known to be terminated although the registry may still list them.
    terminated_workers: BTreeSet<(String, i64)>,
    /// Finished jobs whose submissions are to be deleted from the store.
    finished_submissions: BTreeSet<String>,
    /// Row names of removed workers, to be deleted from the store.
    removed_workers: BTreeSet<String>,
    shares: share::Shares,
    /// Whether recovered jobs are to be counted against the weights of their accounts, once these are
    /// known.
    is_recount_due: bool,
    learning: Estimator,
    learning_stored: Stored,
    scores: Scores,
    /// Answers of the advice service, by step.
    permits: BTreeMap<TaskKey, advice::Permit>,
    /// The requests to the advice service.
    advice: advice::Requests,
    actions: Vec<Action>,
    is_deposed: bool,
    is_placement_due: bool,
    last_placement_at: Duration,
    last_check_at: Duration,
    /// Earliest time at which a task with a disruption budget may be interrupted.
    interrupts_from: Duration,
    /// Open jobs in placement order.
    ranking: Vec<JobKey>,
    /// When `ranking` was computed.
    ranked_at: Duration,
    is_ranking_stale: bool,
}

impl Scheduler {
    /// Creates a scheduler for `pool` and `term` without jobs.
    pub fn new(pool: &str, term: u64, settings: Settings) -> Self {
        Self {
            pool: pool.to_owned(),
            term,
            settings,
            rules: rules::Rules::default(),
            accounts: BTreeMap::new(),
            quota: settings
                .enforces_quotas
                .then(|| Box::new(quota::Quota::new(pool, term))),
            addresses: addresses::Addresses::default(),
            barred: recall::Barred::default(),
            jobs: BTreeMap::new(),
            job_keys: BTreeMap::new(),
            next_job: 0,
            rules_checked_at: Duration::ZERO,
            open_jobs: BTreeSet::new(),
            ended_jobs_with_runs: BTreeSet::new(),
            ended: ended::Ended::default(),
            finished_jobs: VecDeque::new(),
            backlog: backlog::Backlog::default(),
            workers: BTreeMap::new(),
            next_worker: 0,
            late_orders: BTreeMap::new(),
            unreported_workers: BTreeMap::new(),
            is_requeue_due: false,
            unlocated_tasks: 0,
            is_handing_over: false,
            predecessor_end: Duration::ZERO,
            registry_read_at: None,
            recovered_at: Duration::ZERO,
            is_recovering: false,
            dirty: BTreeSet::new(),
            pending: None,
            terminated_workers: BTreeSet::new(),
            finished_submissions: BTreeSet::new(),
            removed_workers: BTreeSet::new(),
            shares: share::Shares::default(),
            is_recount_due: false,
            learning: Estimator::default(),
            learning_stored: Stored::default(),
            scores: Scores::default(),
            permits: BTreeMap::new(),
            advice: advice::Requests::default(),
            actions: Vec::new(),
            is_deposed: false,
            is_placement_due: false,
            last_placement_at: Duration::ZERO,
            last_check_at: Duration::ZERO,
            interrupts_from: Duration::ZERO,
            ranking: Vec::new(),
            ranked_at: Duration::ZERO,
            is_ranking_stale: true,
        }
    }

    /// Returns the term, which is the fencing token of every order.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the pool's name.
    pub fn pool(&self) -> &str {
        &self.pool
    }

    /// Returns whether a newer term exists, after which this scheduler must not act.
    pub fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Marks the term as superseded and drops all pending actions.
    pub fn depose(&mut self) {
        self.is_deposed = true;
        self.actions.clear();
    }

    /// Drops all jobs, workers and rows of a term that has ended.
    pub fn forget_jobs(&mut self) {
        *self = Self::new(&self.pool, self.term, self.settings);
        self.depose();
    }

    /// Applies the queue rules of a configuration. Rules of removed queues are kept for the jobs
    /// accepted under them.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.rules.configure(configuration);
        self.accounts = configuration.accounts.clone().unwrap_or_default();
        self.shares.retain(&self.accounts);
        if std::mem::take(&mut self.is_recount_due) {
            self.count_recovered_jobs();
        }
        self.configure_quotas(configuration);
        self.addresses.configure(&self.pool, configuration);
        self.is_placement_due = true;
    }

    /// Returns a client account of the configuration.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.get(name)
    }

    /// Adds the rules of a queue that this owner may not know: the process that received a job may
    /// have a newer configuration.
    pub fn learn_rule(&mut self, queue: &str, rule: Rule) {
        if self.rules.learn(queue, rule) {
            log::info!(
                "event=rule-learned pool={} queue={queue} max_attempts={}",
                self.pool,
                rule.max_attempts
            );
        }
    }

    /// Runs all work due at `now` and returns the actions to perform, in order.
    ///
    /// `wall_ms` is the wall-clock time in Unix milliseconds, used only by scheduled jobs.
    pub fn advance(&mut self, now: Duration, wall_ms: i64) -> Vec<Action> {
        if self.is_deposed || self.is_handing_over {
            return Vec::new();
        }
        self.finish_recovery(now);
        if now.saturating_sub(self.last_check_at) >= WATCH_INTERVAL {
            self.last_check_at = now;
            self.expire_leases(now);
            self.watch_schedules(now, wall_ms);
            self.watch_runs(now);
            self.evacuate_workers(now);
            self.compact_ended_jobs(now);
        }
        let is_interval_over = now.saturating_sub(self.last_placement_at) >= PLACEMENT_INTERVAL;
        if self.is_placement_due || is_interval_over {
            self.is_placement_due = false;
            self.last_placement_at = now;
            self.place(now);
        }
        self.poll_workers(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of accepted jobs of `queue` without a started task.
    pub fn waiting(&self, queue: &str) -> usize {
        self.open_jobs
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .filter(|job| job.queue == queue && job.is_stored && !job.has_started)
            .filter(|job| !job.is_cancelled())
            .count()
    }

    /// Returns the key of the worker with this identifier and incarnation.
    fn worker_key(&self, id: &str, incarnation: i64) -> Option<WorkerKey> {
        self.workers
            .iter()
            .find(|(_, worker)| {
                worker.listing.id == id && worker.listing.incarnation == incarnation
            })
            .map(|(key, _)| *key)
    }

    /// Returns a worker by its key.
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(&key)
    }
}
