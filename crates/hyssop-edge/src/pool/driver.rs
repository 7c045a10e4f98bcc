use super::waiters::Waiters;
use crate::metric::Forecasts;
use crate::node::Node;
use crate::peer::Answer;
use crate::store::{follow, Committer, Scope, Update};
use hyssop_model::work::Configuration;
use hyssop_platform::rows::{Key, Row};
use hyssop_policy::owner::{Action, Scheduler};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The longest interval between two rounds of the scheduler, which checks leases, stalled runs and
/// excluded workers.
const TICK: Duration = Duration::from_millis(50);

/// Batches registry changes: every worker writes its row each 1.5 s, so changes arrive constantly.
/// A change is noticed at most this much later, well within the 2 s after which a leaving worker
/// gets no new tasks.
const REGISTRY_PAUSE: Duration = Duration::from_millis(120);

/// The driver of one pool's scheduler during one term.
pub(crate) struct Driver {
    pub(super) node: Rc<Node>,
    pub(crate) scheduler: RefCell<Scheduler>,
    pub(super) wake: Notify,
    pub(super) store_wake: Notify,
    pub(super) grants_wake: Notify,
    pub(super) accepting: Waiters,
    pub(super) cancelling: Waiters,
    /// When the unanswered batch was sent, `None` while no batch is in flight.
    pub(super) unanswered_since: Cell<Option<Duration>>,
    /// How long the last batch took to be stored.
    pub(super) commit_time: Cell<Duration>,
    /// Whether the pool is being released: no jobs are accepted and no runs are started.
    pub(super) is_leaving: Cell<bool>,
    pub(super) is_over: Cell<bool>,
    /// The latest time as of which the pool's transactions have confirmed the term.
    pub(super) confirmed_at: Cell<Duration>,
    /// Whether the process had authority when it was last checked.
    had_authority: Cell<bool>,
}

impl Driver {
    /// Starts the tasks that drive `scheduler`.
    ///
    /// `confirmed_at` is a time as of which this process owned the pool.
    pub(crate) fn start(
        node: Rc<Node>,
        scheduler: Scheduler,
        committer: Committer,
        confirmed_at: Duration,
    ) -> Rc<Self> {
        let configuration = node.configuration.borrow().clone();
        let driver = Rc::new(Self {
            node,
            scheduler: RefCell::new(scheduler),
            wake: Notify::new(),
            store_wake: Notify::new(),
            grants_wake: Notify::new(),
            accepting: Waiters::default(),
            cancelling: Waiters::default(),
            unanswered_since: Cell::new(None),
            commit_time: Cell::new(Duration::ZERO),
            is_leaving: Cell::new(false),
            is_over: Cell::new(false),
            confirmed_at: Cell::new(confirmed_at),
            had_authority: Cell::new(true),
        });
        driver.configure(&configuration);
        tokio::task::spawn_local(driver.clone().run());
        tokio::task::spawn_local(driver.clone().write(committer));
        if driver.node.timing.scheduler.enforces_quotas {
            tokio::task::spawn_local(driver.clone().follow_grants());
            tokio::task::spawn_local(driver.clone().write_grants());
        }
        let follower = driver.clone();
        tokio::task::spawn_local(async move { follower.follow_workers().await });
        driver
    }

    /// Applies a configuration to the scheduler.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        self.scheduler.borrow_mut().configure(configuration);
        self.wake.notify_one();
    }

    /// Returns the term of ownership.
    pub(crate) fn term(&self) -> u64 {
        self.scheduler.borrow().term()
    }

    /// Stops accepting jobs and starting runs, and waits until all changes are stored, at most
    /// `timeout`.
    pub(crate) async fn leave(&self, timeout: Duration) {
        self.is_leaving.set(true);
        self.flush(timeout).await;
    }

    /// Waits until all changes are stored, at most `timeout`.
    async fn flush(&self, timeout: Duration) {
        /// The interval between checks for unstored changes.
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        self.store_wake.notify_one();
        let deadline = self.node.clock.now() + timeout;
        while self.scheduler.borrow().has_uncommitted() && self.node.clock.now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops acting on workers, stores the last changes if the store answers soon, and returns the
    /// value of the row that describes the pool to its next owner; `None` if this process may have
    /// been replaced or the row would be too large.
    pub(crate) async fn hand_over(&self) -> Option<Vec<u8>> {
        /// Several times what a transaction takes usually. Leases are not extended any more, and
        /// the next owner can't extend them yet.
        const LAST_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);
        self.scheduler.borrow_mut().begin_handover();
        self.flush(LAST_FLUSH_TIMEOUT).await;
        let scheduler = self.scheduler.borrow();
        if self.is_over() || scheduler.is_deposed() {
            return None;
        }
        scheduler.hand_over(self.node.clock.now())
    }

    /// Returns the row with what was learned about durations and is not stored yet, for the transaction
    /// that releases the pool.
    pub(crate) fn last_learning_row(&self) -> Option<(Key, Vec<u8>)> {
        let scheduler = self.scheduler.borrow();
        let (table, name, value) = scheduler.last_learning_row()?;
        Some((Key::new(table, scheduler.pool(), &name), value))
    }

    /// Sets the metrics of the pool's forecasts, unless the term has ended.
    pub(crate) fn report_forecasts(&self, pool: &str, forecasts: &Forecasts) {
        if self.is_over() {
            return;
        }
        for (queue, accuracy) in self.scheduler.borrow().accuracies() {
            forecasts.set(pool, queue, accuracy);
        }
    }

    /// Returns the bytes that the pool's jobs hold.
    pub(crate) fn held_bytes(&self) -> usize {
        self.scheduler.borrow().held_bytes()
    }

    /// Returns whether the term has ended.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Ends the term in this process and answers all waiting requests.
    pub(crate) fn depose(&self, reason: &str) {
        if self.is_over.replace(true) {
            return;
        }
        let scheduler = &mut *self.scheduler.borrow_mut();
        scheduler.log_unfinished_recovery(self.node.clock.now());
        scheduler.depose();
        log::info!(
            "event=owner-deposed pool={} term={} reason={reason}",
            scheduler.pool(),
            scheduler.term()
        );
        // The processes that serve the callers repeat these requests at the next owner.
        // A job that was sent to the store may be stored, whatever the store answered.
        self.accepting
            .answer_all(|id| match scheduler.withdraw(id) {
                true => Answer::NotOwner,
                false => Answer::Uncertain,
            });
        self.cancelling.answer_all(|_| Answer::NotOwner);
        // The process may own other pools for long, and the driver is kept until it owns this one again.
        scheduler.forget_jobs();
        self.wake.notify_one();
        self.store_wake.notify_one();
        self.grants_wake.notify_one();
    }

    /// Runs the scheduler until the term ends.
    async fn run(self: Rc<Self>) {
        while !self.is_over() {
            // A tick and a wake-up coalesce; each round handles all events received so far.
            let _ = tokio::time::timeout(TICK, self.wake.notified()).await;
            self.log_authority();
            self.execute_actions();
        }
    }

    /// Returns the time since it was last confirmed that the term had not ended.
    pub(super) fn confirmation_age(&self) -> Duration {
        let confirmed_at = self.confirmed_at.get().max(self.node.confirmed_at());
        self.node.clock.now().saturating_sub(confirmed_at)
    }

    /// Returns whether this process may extend leases and start tasks.
    ///
    /// A successor counts on an owner without a confirmation for this long to do neither: it may
    /// have been replaced without its knowledge, and reach workers that its successor does not.
    pub(super) fn has_authority(&self) -> bool {
        self.confirmation_age() < self.node.timing.scheduler.authority
    }

    /// Logs a change of this process's authority over the pool.
    fn log_authority(&self) {
        let has_authority = self.has_authority();
        if self.had_authority.replace(has_authority) == has_authority {
            return;
        }
        let scheduler = self.scheduler.borrow();
        let event = if has_authority {
            "authority-regained"
        } else {
            "authority-lost"
        };
        log::warn!(
            "event={event} pool={} term={} confirmed_ms_ago={}",
            scheduler.pool(),
            scheduler.term(),
            self.confirmation_age().as_millis()
        );
    }

    /// Advances the scheduler and spawns a task for each of its actions.
    fn execute_actions(self: &Rc<Self>) {
        let now = self.node.clock.now();
        let wall_ms = self.node.clock.wall_ms();
        let actions = self.scheduler.borrow_mut().advance(now, wall_ms);
        if self.scheduler.borrow().is_deposed() {
            self.depose("fence");
            self.node.configuration_outdated.notify_one();
            return;
        }
        for action in actions {
            let driver = self.clone();
            match action {
                Action::Start { worker, task, run } => {
                    tokio::task::spawn_local(driver.start_run(worker, task, run));
                }
                Action::Stop { worker, task, run } => {
                    tokio::task::spawn_local(driver.stop_run(worker, task, run));
                }
                Action::Pace {
                    worker,
                    task,
                    run,
                    percent,
                } => {
                    tokio::task::spawn_local(driver.pace_run(worker, task, run, percent));
                }
                Action::RequestAdvice { step, workers } => {
                    tokio::task::spawn_local(driver.request_advice(step, workers));
                }
                Action::Renew {
                    worker,
                    wait,
                    extends,
                } => {
                    tokio::task::spawn_local(driver.renew_worker(worker, wait, extends));
                }
            }
        }
        self.store_wake.notify_one();
        self.grants_wake.notify_one();
    }

    /// Follows the registry of workers until the term ends.
    async fn follow_workers(self: &Rc<Self>) {
        let store = self.node.store.clone();
        let table = store.dialect.registry_table();
        let shards = || BTreeSet::from([String::new()]);
        follow(
            store,
            table,
            REGISTRY_PAUSE,
            Scope::Named,
            shards,
            |update| {
                if self.is_over() {
                    return false;
                }
                self.apply_registry_update(update);
                self.wake.notify_one();
                true
            },
        )
        .await;
    }

    /// Updates the scheduler's list of workers.
    fn apply_registry_update(&self, update: Update) {
        const LIST: &str = "workers";
        let now = self.node.clock.now();
        let scheduler = &mut *self.scheduler.borrow_mut();
        let is_snapshot = matches!(update, Update::Snapshot(_));
        let rows = match update {
            Update::Snapshot(rows) => {
                let present: BTreeSet<&str> =
                    rows.iter().map(|row: &Row| row.key.key.as_str()).collect();
                for id in scheduler.registered_workers() {
                    if !present.contains(id.as_str()) {
                        scheduler.deregister_worker(&id);
                    }
                }
                rows
            }
            Update::Changes(rows, _) => rows,
        };
        let rejections = &self.node.metrics.rejections;
        for row in rows {
            let id = &row.key.key;
            if row.is_removed {
                rejections.accept(LIST, id);
                scheduler.deregister_worker(id);
                continue;
            }
            match self.node.dialect.read_worker(id, &row.value) {
                Some(listing) => {
                    rejections.accept(LIST, id);
                    scheduler.register_worker(listing, now);
                }
                // The entry names no worker to use. What runs on a worker that it named before goes
                // on, and the worker's next valid entry brings it back.
                None => {
                    rejections.reject(LIST, id, &row.value, now);
                    scheduler.deregister_worker(id);
                }
            }
        }
        if is_snapshot {
            scheduler.on_registry_snapshot(now);
        }
    }
}
