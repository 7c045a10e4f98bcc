//! One pool's jobs: which tasks run where, and what may be told to callers.
//!
//! An [`Owner`] is fed submissions, workers' registrations and reports, the answers to its orders
//! and the commits of its rows, each with the time; it returns orders and rows. It performs no
//! call, reads no clock and draws no random number, so a model of stores and workers can drive it
//! in one thread.
//!
//! # What keeps it safe
//!
//! - The term is the fence of every order; a worker that has heard a newer owner refuses.
//! - A task is started again only when its run has ended, or its lease has certainly run out.
//! - An ending is acknowledged to its worker only after it is stored.
//! - `done`, `failed` and `cancelled` are told to callers only after they are stored.

mod action;
mod admission;
mod batch;
mod budget;
mod capacity;
mod ending;
mod job;
mod key;
mod learning;
mod order;
mod pace;
mod permit;
mod place;
mod progress;
mod recovery;
mod report;
mod rooms;
mod roster;
mod settings;
mod start;
mod watch;
mod worker;

pub use action::{Action, Told};
pub use admission::{return_after, Admission, Cancellation};
pub use batch::Batch;
pub use capacity::{Demand, Load};
pub use job::Job;
pub use key::{JobKey, TaskKey, WorkerKey};
pub use recovery::Record;
pub use settings::Settings;
pub use start::Answer;
pub use worker::Worker;

use hyssop_model::work::Configuration;
use learning::Learning;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Blocked workers become free by time alone, so placing is tried again after this pause.
const PLACING_PAUSE: Duration = Duration::from_millis(100);

/// Leases, stalls, schedules and budgets are looked at this often: finding out costs as much as
/// there are runs, and none of them is more exact than a report's delay.
const WATCH_PAUSE: Duration = Duration::from_millis(40);

/// Decides for one pool during one term.
#[derive(Debug)]
pub struct Owner {
    pool: String,
    term: u64,
    settings: Settings,
    rules: BTreeMap<String, job::Rule>,
    jobs: BTreeMap<JobKey, Job>,
    names: BTreeMap<String, JobKey>,
    next_job: u32,
    /// Jobs with work left; the others are only kept to be told about.
    open: BTreeSet<JobKey>,
    /// Ended jobs that callers may still ask about, in the order in which their ends were stored.
    remembered: VecDeque<(Duration, JobKey)>,
    workers: BTreeMap<WorkerKey, Worker>,
    next_worker: u32,
    /// Workers of an earlier term that may still run tasks, with the time when their leases are
    /// over at the latest.
    unaccounted: BTreeMap<(String, i64), Duration>,
    /// Whether tasks of jobs that were read back wait for `unaccounted`.
    is_recovering: bool,
    dirty: BTreeSet<JobKey>,
    pending: Option<batch::Pending>,
    /// Workers that are known to have ended although the registry may still list them.
    ended_workers: BTreeSet<(String, i64)>,
    /// Rows of workers that are gone, to be removed.
    departed: BTreeSet<String>,
    learning: Learning,
    /// What the advice service has said, by step.
    permits: BTreeMap<TaskKey, permit::Permit>,
    actions: Vec<Action>,
    is_deposed: bool,
    is_placing_due: bool,
    placed_at: Duration,
    watched_at: Duration,
    /// From when on tasks of budgets may be interrupted.
    interrupts_from: Duration,
    /// The open jobs in the order in which they get room, and when that was found out.
    ranking: Vec<JobKey>,
    ranked_at: Duration,
    is_ranking_stale: bool,
}

impl Owner {
    /// Makes the owner of `pool` for `term`, with no jobs.
    pub fn new(pool: &str, term: u64, settings: Settings) -> Self {
        Self {
            pool: pool.to_owned(),
            term,
            settings,
            rules: BTreeMap::new(),
            jobs: BTreeMap::new(),
            names: BTreeMap::new(),
            next_job: 0,
            open: BTreeSet::new(),
            remembered: VecDeque::new(),
            workers: BTreeMap::new(),
            next_worker: 0,
            unaccounted: BTreeMap::new(),
            is_recovering: false,
            dirty: BTreeSet::new(),
            pending: None,
            ended_workers: BTreeSet::new(),
            departed: BTreeSet::new(),
            learning: Learning::default(),
            permits: BTreeMap::new(),
            actions: Vec::new(),
            is_deposed: false,
            is_placing_due: false,
            placed_at: Duration::ZERO,
            watched_at: Duration::ZERO,
            interrupts_from: Duration::ZERO,
            ranking: Vec::new(),
            ranked_at: Duration::ZERO,
            is_ranking_stale: true,
        }
    }

    /// Returns the term, which is the fence of every order.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the pool's name.
    pub fn pool(&self) -> &str {
        &self.pool
    }

    /// Tells whether a newer owner has been noticed; this one must do nothing more.
    pub fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Notes that a newer owner exists.
    pub fn depose(&mut self) {
        self.is_deposed = true;
        self.actions.clear();
    }

    /// Takes the rules of queues from a configuration; rules of removed queues stay for the jobs
    /// that were accepted under them.
    pub fn configure(&mut self, configuration: &Configuration) {
        for queue in configuration.queues.values() {
            self.rules.insert(queue.name.clone(), job::Rule::new(queue));
        }
        self.is_placing_due = true;
    }

    /// Finds out what is due at `now` and returns the orders to carry out, in their order.
    ///
    /// `wall_ms` is the time of day in Unix milliseconds, which only scheduled jobs use.
    pub fn advance(&mut self, now: Duration, wall_ms: i64) -> Vec<Action> {
        if self.is_deposed {
            return Vec::new();
        }
        self.settle_recovery(now);
        if now.saturating_sub(self.watched_at) >= WATCH_PAUSE {
            self.watched_at = now;
            self.expire_workers(now);
            self.open_occurrences(now, wall_ms);
            self.watch_runs(now);
            self.watch_budgets(now);
        }
        let is_stale = now.saturating_sub(self.placed_at) >= PLACING_PAUSE;
        if self.is_placing_due || is_stale {
            self.is_placing_due = false;
            self.placed_at = now;
            self.place(now);
        }
        self.poll(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns how many accepted jobs of `queue` have no task started.
    pub fn waiting(&self, queue: &str) -> usize {
        self.open
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .filter(|job| job.queue == queue && job.is_stored && !job.has_started)
            .filter(|job| !job.is_cancelled())
            .count()
    }

    /// Finds a worker by identifier and incarnation.
    fn worker_key(&self, id: &str, incarnation: i64) -> Option<WorkerKey> {
        self.workers
            .iter()
            .find(|(_, worker)| {
                worker.listing.id == id && worker.listing.incarnation == incarnation
            })
            .map(|(key, _)| *key)
    }

    /// Returns a worker for its calls.
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(&key)
    }
}
