use super::stored::{read, StoredState, WaveRow};
use super::{BASE_KEY, RECENT_KEY, STOPS_KEY, TABLE};
use crate::http::Lane;
use crate::node::{Node, Route, FLEET};
use crate::ownership::report_owner;
use crate::peer::{Answer, Operation};
use crate::store::{Committer, Outcome};
use futures_util::future::join_all;
use hyssop_model::work::Instance;
use hyssop_platform::dialect::{self, Transfer};
use hyssop_platform::rows::{encode, Key, Transaction};
use hyssop_policy::fleet::{
    Decision, ExpectedStop, Fleet, RecentOrders, Settings, StopNotices, StoppedWorker,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The interval between decisions.
const TICK: Duration = Duration::from_millis(100);
/// Added to the platform's gap between two owners; the clocks of processes differ by less.
const GAP_SLACK: Duration = Duration::from_millis(500);
/// How long the store's confirmation of the term is valid; later orders are dropped.
const CONFIRMATION_TTL: Duration = Duration::from_millis(300);
/// How long the pools' reports of which workers may be stopped are valid; later orders are dropped.
const OBSERVATION_TTL: Duration = Duration::from_millis(1_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// A pool's owner without an answer for this long is reported to further candidates.
const REPORT_AFTER: Duration = Duration::from_millis(300);
/// The most pages of the list of instances: several times what the largest fleet takes, so that
/// tokens that never end hold up a decision for a bounded time.
const MAX_PAGES: usize = 500;
/// The timeout of a request for a pool's demand, so that a lost owner is reported in time.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval at which unchanged lists of workers due for maintenance are sent to pools again.
const DUE_PAUSE: Duration = Duration::from_secs(2);
/// How long an evacuation lasts unless it is requested again.
const EVACUATION_TTL: Duration = Duration::from_millis(1_500);

/// The controller that moves and maintains instances during one term.
pub(crate) struct Controller {
    pub(super) node: Rc<Node>,
    term: u64,
    pub(super) fleet: RefCell<Fleet>,
    /// When the pools' demand was last requested.
    observed_at: Duration,
    pub(super) committer: Committer,
    /// Since when each pool's owner has not answered.
    unanswered_since: BTreeMap<String, Duration>,
    /// The confirmed stops of workers, of which each pool's owners are told.
    stop_notices: StopNotices,
    /// The pools whose owner has not acknowledged stops yet, with its term.
    unacknowledged: BTreeMap<String, u64>,
    /// The workers that each pool was last requested to evacuate.
    evacuating: BTreeMap<String, BTreeSet<String>>,
    /// The workers due for maintenance as last acknowledged by each pool, and when.
    reported_due: BTreeMap<String, (Duration, BTreeSet<String>)>,
    is_base_stored: bool,
    /// The workers that recent orders stop, by instance.
    recent_stops: BTreeMap<String, ExpectedStop>,
    /// The waves as stored, by their numbers.
    pub(super) stored: BTreeMap<u64, WaveRow>,
    /// Whether each wave was last published as done.
    pub(super) reported: BTreeMap<u64, bool>,
}

impl Controller {
    /// Recovers the stored state and starts the controller.
    pub(crate) fn start(node: Rc<Node>, term: u64, committer: Committer) {
        tokio::task::spawn_local(async move {
            let acquired_at = node.clock.now();
            let Some(StoredState {
                base,
                waves,
                recent,
                stops,
            }) = read(&node, term, committer.version()).await
            else {
                if node.fleet_term.get() == Some(term) {
                    node.fleet_term.set(None);
                }
                return;
            };
            let progress = waves
                .iter()
                .map(|(number, wave)| (*number, wave.progress.clone()))
                .collect();
            let mut controller = Self {
                is_base_stored: !base.is_empty(),
                stored: waves,
                fleet: RefCell::new(Fleet::new(Settings::default(), base, progress)),
                observed_at: Duration::ZERO,
                unanswered_since: BTreeMap::new(),
                stop_notices: StopNotices::default(),
                unacknowledged: BTreeMap::new(),
                recent_stops: BTreeMap::new(),
                node,
                term,
                committer,
                evacuating: BTreeMap::new(),
                reported_due: BTreeMap::new(),
                reported: BTreeMap::new(),
            };
            let gap = controller.gap();
            controller
                .fleet
                .borrow_mut()
                .expect_stops(stops, acquired_at, acquired_at + gap);
            let mut orders = RecentOrders::new(gap);
            match recent {
                Some(recent) => {
                    let inherited = recent.len();
                    for (instance, left) in recent {
                        let until = orders.inherit(instance.clone(), left, acquired_at);
                        controller.fleet.borrow_mut().exclude([instance], until);
                    }
                    log::info!("event=holder-started term={term} recent={inherited}");
                }
                None => {
                    let wait = (acquired_at + gap).saturating_sub(controller.node.clock.now());
                    tokio::time::sleep(wait).await;
                }
            }
            *controller.node.recent_orders.borrow_mut() = Some((term, orders));
            controller.run().await;
        });
    }

    /// Returns whether this term is the latest known and the process is not stopping.
    fn is_current(&self) -> bool {
        self.node
            .owners
            .borrow()
            .get(FLEET)
            .is_some_and(|owner| owner.term == self.term && !owner.is_released)
            && !self.node.is_stopping.get()
    }

    /// Returns the minimum time between the orders of two owners to one instance.
    fn gap(&self) -> Duration {
        self.node.timing.handover_gap + GAP_SLACK
    }

    /// Observes, decides and executes until the term ends.
    async fn run(&mut self) {
        while self.is_current() {
            tokio::time::sleep(TICK).await;
            if !self.observe().await {
                continue;
            }
            let decision = {
                let now = self.node.clock.now();
                self.fleet.borrow_mut().decide(now)
            };
            if !self.execute(decision).await {
                log::info!("event=holder-deposed term={}", self.term);
                break;
            }
        }
        if self.node.fleet_term.get() == Some(self.term) {
            self.node.fleet_term.set(None);
        }
    }

    /// Reads the list of instances and the pools' demand into the fleet's state; returns whether
    /// the list was available.
    async fn observe(&mut self) -> bool {
        let configuration = self.node.configuration.borrow().clone();
        let spare = configuration
            .pools
            .values()
            .filter(|pool| pool.is_spare)
            .map(|pool| pool.name.clone())
            .collect();
        let requested_at = self.node.clock.now();
        let Some(instances) = self.list_instances().await else {
            return false;
        };
        {
            let fleet = &mut *self.fleet.borrow_mut();
            fleet.set_spare_pools(spare);
            fleet.on_instance_list(instances, requested_at);
        }
        self.observe_waves();
        self.notify_stopped_workers().await;
        self.observed_at = self.node.clock.now();
        let requests = configuration
            .pools
            .values()
            .filter(|pool| !pool.is_spare)
            .map(|pool| async {
                let operation = Operation::Demand {
                    part: pool.name.clone(),
                };
                let answer = tokio::time::timeout(DEMAND_TIMEOUT, self.request(operation)).await;
                (pool.name.clone(), answer.ok().flatten())
            });
        let answers = join_all(requests).await;
        for (pool, answer) in answers {
            let now = self.node.clock.now();
            match answer {
                Some(Answer::Demand(demand)) => {
                    self.unanswered_since.remove(&pool);
                    self.fleet.borrow_mut().on_demand_report(demand, now);
                }
                _ => self.on_unanswered_demand(pool),
            }
        }
        true
    }

    /// Reports the owner of a pool that has not answered for some time.
    fn on_unanswered_demand(&mut self, pool: String) {
        let now = self.node.clock.now();
        let since = *self
            .unanswered_since
            .entry(pool.clone())
            .or_insert(self.observed_at);
        if now.saturating_sub(since) >= REPORT_AFTER {
            report_owner(&self.node, &pool);
        }
    }

    /// Notifies the pools of workers that stopped because their instances changed, long before the
    /// registry shows it, and repeats it until each pool's present owner has acknowledged it.
    async fn notify_stopped_workers(&mut self) {
        let now = self.node.clock.now();
        self.stop_notices
            .add(self.fleet.borrow_mut().take_stopped_workers());
        self.stop_notices.expire(now);
        let due: Vec<(String, u64, Vec<StoppedWorker>)> = {
            let owners = self.node.owners.borrow();
            let term = |pool: &str| owners.get(pool).map_or(0, |owner| owner.term);
            let pools = self.stop_notices.pools().into_iter();
            pools
                .map(|pool| {
                    let term = term(&pool);
                    let stops = self.stop_notices.due(&pool, term);
                    (pool, term, stops)
                })
                .filter(|(_, _, stops)| !stops.is_empty())
                // One that doesn't answer must not hold up every round.
                .filter(|(pool, term, _)| {
                    !self.unanswered_since.contains_key(pool)
                        || self.unacknowledged.get(pool) != Some(term)
                })
                .collect()
        };
        let requests = due
            .iter()
            .map(|(pool, _, stops)| self.notify_stops(pool, stops, now));
        let answers = join_all(requests).await;
        for ((pool, term, stops), is_acknowledged) in due.iter().zip(answers) {
            self.stop_notices.on_told(stops, *term, is_acknowledged);
            // One line for each owner that learns of a stop, and one for the first failure.
            let is_repeated = self.unacknowledged.get(pool) == Some(term);
            if is_acknowledged {
                self.unacknowledged.remove(pool);
            } else {
                self.unacknowledged.insert(pool.clone(), *term);
            }
            if is_repeated && !is_acknowledged {
                continue;
            }
            for stopped in stops {
                log::info!(
                    "event=worker-stop-notified pool={pool} term={term} worker={} incarnation={:?} \
                     age_ms={} received={is_acknowledged}",
                    stopped.worker,
                    stopped.incarnation,
                    now.saturating_sub(stopped.stopped_at).as_millis()
                );
            }
        }
    }

    /// Notifies the owner of a pool of stopped workers; returns whether it has acknowledged them.
    async fn notify_stops(&self, pool: &str, stops: &[StoppedWorker], now: Duration) -> bool {
        let oldest = stops.iter().map(|stopped| stopped.stopped_at).min();
        let age = now.saturating_sub(oldest.unwrap_or(now));
        let operation = Operation::WorkersStopped {
            part: pool.to_owned(),
            workers: stops.iter().map(|stop| stop.worker.clone()).collect(),
            incarnations: stops.iter().map(|stop| stop.incarnation).collect(),
            age_ms: age.as_millis() as u64,
        };
        matches!(self.request(operation).await, Some(Answer::Done))
    }

    /// Returns the platform's list of instances, or `None` if a call fails.
    async fn list_instances(&self) -> Option<Vec<Instance>> {
        const LIST: &str = "instances";
        let address = self.node.instance_api?;
        let mut all = Vec::new();
        let mut page: Option<String> = None;
        let mut tokens = BTreeSet::new();
        let mut rejected = 0;
        let (rejections, now) = (&self.node.metrics.rejections, self.node.clock.now());
        loop {
            let call = self.node.dialect.instances(page.as_deref());
            let reply = self
                .node
                .client
                .call(address, Lane::Instance, call, CALL_TIMEOUT)
                .await
                .ok()?;
            let listed = self.node.dialect.read_instances(&reply)?;
            all.extend(listed.instances);
            rejected += listed.rejected;
            match listed.next {
                Some(next) if !tokens.contains(&next) && tokens.len() < MAX_PAGES => {
                    tokens.insert(next.clone());
                    page = Some(next);
                }
                Some(next) => {
                    rejections.reject(LIST, "page-token", next.as_bytes(), now);
                    return None;
                }
                None => {
                    rejections.accept(LIST, "page-token");
                    match rejected {
                        0 => rejections.accept(LIST, ""),
                        // The list changes all the time, its number of odd entries rarely.
                        count => {
                            rejections.reject_parts(LIST, "", &count.to_le_bytes(), count, now);
                        }
                    }
                    return Some(all);
                }
            }
        }
    }

    /// Requests an operation from a pool's owner; returns `None` if it is unreachable.
    async fn request(&self, operation: Operation) -> Option<Answer> {
        match self.node.route_to(operation.shard())? {
            Route::Local => Some(self.node.perform(operation).await),
            Route::Link(link) => link.request(operation, REQUEST_TIMEOUT).await,
        }
    }

    /// Notifies the pools which of their workers are due for maintenance, on a change and at a
    /// regular interval.
    async fn notify_maintenance_due(&mut self, due: &BTreeMap<String, BTreeSet<String>>) {
        let now = self.node.clock.now();
        let pools: BTreeSet<String> = due
            .keys()
            .chain(self.reported_due.keys())
            .cloned()
            .collect();
        for pool in pools {
            let workers = due.get(&pool).cloned().unwrap_or_default();
            let is_reported = self
                .reported_due
                .get(&pool)
                .is_some_and(|(at, ids)| *ids == workers && now.saturating_sub(*at) < DUE_PAUSE);
            if is_reported {
                continue;
            }
            let operation = Operation::MaintenanceDue {
                part: pool.clone(),
                workers: workers.iter().cloned().collect(),
            };
            if !matches!(self.request(operation).await, Some(Answer::Done)) {
                continue;
            }
            if workers.is_empty() {
                self.reported_due.remove(&pool);
            } else {
                self.reported_due.insert(pool, (now, workers));
            }
        }
    }

    /// Executes a decision; returns whether the term continues.
    async fn execute(&mut self, decision: Decision) -> bool {
        self.notify_maintenance_due(&decision.due).await;
        let pools: BTreeSet<String> = decision
            .evacuations
            .keys()
            .chain(self.evacuating.keys())
            .cloned()
            .collect();
        for pool in pools {
            let workers = decision.evacuations.get(&pool).cloned().unwrap_or_default();
            let operation = Operation::Evacuate {
                part: pool.clone(),
                workers: workers.iter().cloned().collect(),
                for_ms: EVACUATION_TTL.as_millis() as u64,
            };
            let is_acknowledged = matches!(self.request(operation).await, Some(Answer::Done));
            if is_acknowledged && workers.is_empty() {
                self.evacuating.remove(&pool);
            } else {
                self.evacuating.insert(pool, workers);
            }
        }
        if !decision.changes.is_empty() && !self.order(decision.changes).await {
            return false;
        }
        self.report_waves().await;
        true
    }

    /// Orders changes after the store has confirmed that the term continues; returns whether it
    /// does.
    async fn order(&mut self, mut changes: Vec<Transfer>) -> bool {
        let mut transaction = Transaction::default();
        if !self.is_base_stored {
            let value = encode(self.fleet.borrow().base_sizes());
            let key = Key::new(TABLE, FLEET, BASE_KEY);
            transaction.writes.push((key, value));
        }
        let requested_at = self.node.clock.now();
        // The commit is abandoned at this time, so no order is sent later.
        let until = requested_at + CALL_TIMEOUT;
        // The rest is decided again once earlier orders have left the row.
        let room = self.node.timing.scheduler.max_row_bytes;
        let Some(names) = self.with_recent_orders(|orders| {
            orders.expire(requested_at);
            changes.truncate(orders.announce(&changes, until, room));
            orders.names().cloned().collect::<BTreeSet<String>>()
        }) else {
            return false;
        };
        if changes.is_empty() {
            return true;
        }
        self.announce_stops(&changes, &names, &mut transaction);
        let key = Key::new(TABLE, FLEET, RECENT_KEY);
        transaction.writes.push((key, encode(&names)));
        let clock = self.node.clock.clone();
        let gives_up = move || clock.now() >= until;
        match self.committer.commit(transaction, gives_up).await {
            Outcome::Done => self.is_base_stored = true,
            Outcome::Refused => return true,
            Outcome::Deposed => return false,
        }
        if !self.may_order(requested_at) {
            return true;
        }
        let now = self.node.clock.now();
        for change in &changes {
            self.fleet.borrow_mut().on_ordered(change.clone(), now);
        }
        let transfers = changes.into_iter();
        join_all(transfers.map(|change| self.transfer(change, requested_at))).await;
        true
    }

    /// Applies `apply` to the list of recent orders; returns `None` if it is another term's.
    fn with_recent_orders<T>(&self, apply: impl FnOnce(&mut RecentOrders) -> T) -> Option<T> {
        let mut recent = self.node.recent_orders.borrow_mut();
        let (term, orders) = recent.as_mut()?;
        (*term == self.term).then(|| apply(orders))
    }

    /// Adds the workers that `changes` and the orders to the `recent` instances stop to a transaction,
    /// so that the next fleet's owner can notify the pools of them.
    fn announce_stops(
        &mut self,
        changes: &[Transfer],
        recent: &BTreeSet<String>,
        transaction: &mut Transaction,
    ) {
        let fleet = self.fleet.borrow();
        let stops = &mut self.recent_stops;
        stops.retain(|instance, _| recent.contains(instance));
        let expected = changes
            .iter()
            .filter_map(|change| fleet.expected_stop(change.instance()));
        stops.extend(expected.map(|stop| (stop.instance.clone(), stop)));
        if stops.is_empty() {
            return;
        }
        let value = encode(&stops.values().collect::<Vec<_>>());
        if value.len() > self.node.timing.scheduler.max_row_bytes {
            // The row keeps the earlier ones; the pools' owners wait for the leases of these.
            log::warn!(
                "event=stops-not-announced term={} bytes={}",
                self.term,
                value.len()
            );
            return;
        }
        let key = Key::new(TABLE, FLEET, STOPS_KEY);
        transaction.writes.push((key, value));
    }

    /// Returns whether orders may be sent by a confirmation of the term requested at `requested_at`
    /// and by the latest observations.
    fn may_order(&self, requested_at: Duration) -> bool {
        let now = self.node.clock.now();
        now.saturating_sub(requested_at) <= CONFIRMATION_TTL
            && now.saturating_sub(self.observed_at) <= OBSERVATION_TTL
            && self.is_current()
    }

    /// Orders one change from the platform and records its outcome.
    ///
    /// While the platform is slow, a change may wait for a connection. It is dropped if it may not be
    /// ordered any more once there is one.
    async fn transfer(&self, change: Transfer, requested_at: Duration) {
        let Some(address) = self.node.instance_api else {
            return;
        };
        let call = self
            .node
            .dialect
            .transfer(&change, &self.node.name, self.term);
        let slot = self.node.client.slot(address, Lane::Instance).await;
        if !self.may_order(requested_at) {
            log::info!("event=transfer-dropped change={change:?} reason=late");
            self.fleet.borrow_mut().on_unsent(change.instance());
            return;
        }
        let reply = slot.call(call, CALL_TIMEOUT).await;
        let outcome = reply
            .ok()
            .map(|reply| self.node.dialect.read_transfer(&reply));
        log::info!(
            "event=transfer change={change:?} term={} outcome={outcome:?}",
            self.term
        );
        let label = outcome.map_or_else(|| "lost".to_owned(), |outcome| outcome.to_string());
        self.node.metrics.count_transfer(&label);
        let now = self.node.clock.now();
        if outcome.is_some() {
            // Without the list the term has ended, and its successor counts from the stored one.
            self.with_recent_orders(|orders| orders.on_answered(change.instance(), now));
        }
        let fleet = &mut *self.fleet.borrow_mut();
        if outcome == Some(dialect::Change::Done) {
            fleet.on_accepted(change.instance(), now);
        }
        match (outcome, &change) {
            (Some(dialect::Change::Done), Transfer::Maintain { instance, wave }) => {
                fleet.on_maintenance_started(*wave, instance);
            }
            // Without an answer the change may be in progress; the next list shows it.
            (Some(dialect::Change::Done) | None, _) => {}
            (Some(_), _) => fleet.on_refused(change.instance(), now),
        }
    }
}
