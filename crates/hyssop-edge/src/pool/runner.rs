use crate::node::Node;
use crate::peer::Answer;
use crate::store::{follow, Committer, Update};
use hyssop_model::work::Configuration;
use hyssop_platform::rows::Row;
use hyssop_policy::owner::{Action, Owner};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};

/// Leases, stalls and blocked workers are looked at this often while something is open.
const TICK: Duration = Duration::from_millis(50);

/// Every worker writes to the registry each 1.5 s, so its changes come all the time; a new worker
/// is noticed this much later, well within the 2 s after which a leaving one gets nothing new.
const REGISTRY_PAUSE: Duration = Duration::from_millis(120);

/// Holds those who wait until the store has what was done with a job, by its identifier.
pub(super) type Waiters = BTreeMap<String, Vec<oneshot::Sender<Answer>>>;

/// Drives the owner of one pool.
pub(crate) struct Runner {
    pub(super) node: Rc<Node>,
    pub(super) owner: RefCell<Owner>,
    pub(super) wake: Notify,
    pub(super) store_wake: Notify,
    pub(super) accepting: RefCell<Waiters>,
    pub(super) cancelling: RefCell<Waiters>,
    /// Since when the batch under way has gone unanswered, `None` while the store works.
    pub(super) unanswered_since: Cell<Option<Duration>>,
    /// Whether the pool is being given up: nothing new is accepted or started.
    pub(super) is_leaving: Cell<bool>,
    pub(super) is_over: Cell<bool>,
}

impl Runner {
    /// Starts driving `owner`.
    pub(crate) fn start(node: Rc<Node>, owner: Owner, committer: Committer) -> Rc<Self> {
        let configuration = node.configuration.borrow().clone();
        let runner = Rc::new(Self {
            node,
            owner: RefCell::new(owner),
            wake: Notify::new(),
            store_wake: Notify::new(),
            accepting: RefCell::default(),
            cancelling: RefCell::default(),
            unanswered_since: Cell::new(None),
            is_leaving: Cell::new(false),
            is_over: Cell::new(false),
        });
        runner.configure(&configuration);
        tokio::task::spawn_local(runner.clone().run());
        tokio::task::spawn_local(runner.clone().write(committer));
        let follower = runner.clone();
        tokio::task::spawn_local(async move { follower.follow_workers().await });
        runner
    }

    /// Puts the rules of a configuration in force.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        self.owner.borrow_mut().configure(configuration);
        self.wake.notify_one();
    }

    /// Returns the owner's term.
    pub(crate) fn term(&self) -> u64 {
        self.owner.borrow().term()
    }

    /// Gives the pool up: takes nothing new, and waits for the store to have what there is.
    pub(crate) async fn leave(&self, patience: Duration) {
        /// The pause between looks.
        const PAUSE: Duration = Duration::from_millis(10);
        self.is_leaving.set(true);
        self.store_wake.notify_one();
        let until = self.node.clock.now() + patience;
        while self.owner.borrow().has_unstored() && self.node.clock.now() < until {
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Tells whether the term is over.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Ends the term in this process: a newer owner exists.
    pub(crate) fn depose(&self, reason: &str) {
        if self.is_over.replace(true) {
            return;
        }
        let owner = &mut *self.owner.borrow_mut();
        owner.depose();
        log::info!(
            "event=owner-deposed pool={} term={} reason={reason}",
            owner.pool(),
            owner.term()
        );
        // Those who wait ask the next owner.
        for (id, waiters) in std::mem::take(&mut *self.accepting.borrow_mut()) {
            // What was sent to the store may be there, whatever came back.
            let told = if owner.withdraw(&id) {
                Answer::NotOwner
            } else {
                Answer::Uncertain
            };
            waiters
                .into_iter()
                .for_each(|waiter| answer(waiter, told.clone()));
        }
        for (_, waiters) in std::mem::take(&mut *self.cancelling.borrow_mut()) {
            waiters
                .into_iter()
                .for_each(|waiter| answer(waiter, Answer::NotOwner));
        }
        self.wake.notify_one();
        self.store_wake.notify_one();
    }

    async fn run(self: Rc<Self>) {
        while !self.is_over() {
            // A tick and a wake-up coalesce; each pass handles all that has come in.
            let _ = tokio::time::timeout(TICK, self.wake.notified()).await;
            self.pass();
        }
    }

    fn pass(self: &Rc<Self>) {
        let now = self.node.clock.now();
        let wall_ms = self.node.clock.wall_ms();
        let actions = self.owner.borrow_mut().advance(now, wall_ms);
        if self.owner.borrow().is_deposed() {
            self.depose("fence");
            self.node.configuration_wanted.notify_one();
            return;
        }
        for action in actions {
            let runner = self.clone();
            match action {
                Action::Start { worker, task, run } => {
                    tokio::task::spawn_local(runner.start_run(worker, task, run));
                }
                Action::Stop { worker, task, run } => {
                    tokio::task::spawn_local(runner.stop_run(worker, task, run));
                }
                Action::Pace {
                    worker,
                    task,
                    run,
                    percent,
                } => {
                    tokio::task::spawn_local(runner.pace_run(worker, task, run, percent));
                }
                Action::Advise { step, workers } => {
                    tokio::task::spawn_local(runner.seek_advice(step, workers));
                }
                Action::Hold {
                    worker,
                    wait,
                    extends,
                } => {
                    tokio::task::spawn_local(runner.hold_worker(worker, wait, extends));
                }
            }
        }
        self.store_wake.notify_one();
    }

    /// Follows the registry of workers for as long as the term lasts.
    async fn follow_workers(self: &Rc<Self>) {
        let store = self.node.store.clone();
        let table = store.dialect.registry_table();
        let parts = || BTreeSet::from([String::new()]);
        follow(store, table, REGISTRY_PAUSE, parts, |update| {
            if self.is_over() {
                return false;
            }
            self.take_workers(update);
            self.wake.notify_one();
            true
        })
        .await;
    }

    fn take_workers(&self, update: Update) {
        let now = self.node.clock.now();
        let owner = &mut *self.owner.borrow_mut();
        let rows = match update {
            Update::Whole(rows) => {
                let present: BTreeSet<&str> =
                    rows.iter().map(|row: &Row| row.key.key.as_str()).collect();
                for id in owner.listed() {
                    if !present.contains(id.as_str()) {
                        owner.unlist_worker(&id);
                    }
                }
                rows
            }
            Update::Changed(rows) => rows,
        };
        for row in rows {
            if row.is_removed {
                owner.unlist_worker(&row.key.key);
                continue;
            }
            match self.node.dialect.read_worker(&row.key.key, &row.value) {
                Some(listing) => owner.list_worker(listing, now),
                None => owner.unlist_worker(&row.key.key),
            }
        }
    }
}

/// Answers someone who may have stopped waiting.
pub(super) fn answer(waiter: oneshot::Sender<Answer>, answer: Answer) {
    // Whoever asked may have given up; then nobody needs the answer.
    let _ = waiter.send(answer);
}
