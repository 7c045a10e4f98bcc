use super::{Clock, Member, Ownership, Route, Stage, TrackedWave};
use crate::front::Keyring;
use crate::http::Client;
use crate::intake::Guard;
use crate::metric::Metrics;
use crate::ownership::{Suspects, OWNERS_TABLE};
use crate::peer::{self, Answer, Inquiry, Link, Links, Operation, Status};
use crate::pool::Driver;
use crate::store::Store;
use hyssop_model::work::Configuration;
use hyssop_platform::dialect::Dialect;
use hyssop_policy::directory::Directory;
use hyssop_policy::failover::Series;
use hyssop_policy::fleet::RecentOrders;
use hyssop_policy::intake::Capacity;
use hyssop_policy::owner::{AccountState, Limits, Scheduler, Settings};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// The shard whose owner manages the fleet's instances; no pool may have this name.
pub(crate) const FLEET: &str = "fleet/";

/// The timeout of a question to a peer about the ownership of shards.
pub(crate) const INQUIRY_TIMEOUT: Duration = Duration::from_millis(450);
/// How long another process is tried on behalf of one that does not reach it; shorter than
/// [`INQUIRY_TIMEOUT`], so that the answer is in time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Timing parameters derived from the platform's settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// The settings of the pools' schedulers.
    pub(crate) scheduler: Settings,
    /// The time between the signal to stop and the kill of the process.
    pub(crate) grace_period: Duration,
    /// The minimum time between orders of two successive owners of the fleet shard.
    pub(crate) handover_gap: Duration,
}

/// State shared by all tasks of the process; they run on one thread, so there are no locks.
pub(crate) struct Node {
    pub(crate) name: String,
    /// Identifies this process among those that have run on its node.
    pub(crate) process: String,
    pub(crate) data_centre: String,
    /// The CPU share of this instance, in thousandths of a core.
    pub(crate) share: u64,
    /// The memory of this instance, in megabytes; `None` if it is not limited.
    pub(crate) memory_mb: Option<u64>,
    /// The address for links from peers.
    pub(crate) address: SocketAddr,
    /// The address of the API that moves and maintains instances.
    pub(crate) instance_api: Option<SocketAddr>,
    /// The address of the advice service.
    pub(crate) advice_address: Option<SocketAddr>,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) client: Client,
    pub(crate) store: Store,
    pub(crate) metrics: Metrics,
    /// What callers that are not trusted may hold.
    pub(crate) guard: Rc<Guard>,
    pub(crate) configuration: RefCell<Rc<Configuration>>,
    /// The admission of callers.
    pub(crate) keyring: Keyring,
    /// The pools that have jobs of each queue's address.
    pub(crate) directory: RefCell<Directory>,
    pub(crate) waves: RefCell<BTreeMap<u64, TrackedWave>>,
    pub(crate) members: RefCell<BTreeMap<String, Member>>,
    pub(crate) owners: RefCell<BTreeMap<String, Ownership>>,
    pub(crate) drivers: RefCell<BTreeMap<String, Rc<Driver>>>,
    /// The term in which this process owns the fleet shard.
    pub(crate) fleet_term: Cell<Option<u64>>,
    /// The recent orders of the fleet shard's controller, with its term.
    pub(crate) recent_orders: RefCell<Option<(u64, RecentOrders)>>,
    /// The newest version of the rows of members and owners that were followed so far.
    pub(crate) followed_version: Cell<u64>,
    /// Incremented on each change of a member or an owner.
    pub(crate) topology: Cell<u64>,
    pub(crate) suspects: Suspects,
    /// The series of planned stops under way.
    pub(crate) series: Cell<Series>,
    pub(crate) links: Links,
    /// Incremented on each change of an owner or a link, to wake its subscribers.
    pub(crate) changes: watch::Sender<u64>,
    /// Triggers a read of the configuration when a peer has a newer version.
    pub(crate) configuration_outdated: Notify,
    pub(crate) is_stopping: Cell<bool>,
    /// How far the stop has come, to wake those who wait for a stage.
    pub(crate) stage: watch::Sender<Stage>,
    /// Whether the store has confirmed this process's member row. Peers take an owner without one
    /// for lost, so a process takes over nothing before.
    pub(crate) is_registered: Cell<bool>,
    /// When the fleet's owner last asked a pool of this process for its demand.
    pub(crate) fleet_seen_at: Cell<Duration>,
    /// The shards whose takeover by this process is under way, each with whether the owner's row may
    /// have been written.
    pub(crate) acquiring: RefCell<BTreeMap<String, bool>>,
    /// The latest time as of which every other member had not taken over from this process.
    pub(crate) peers_confirmed_at: Cell<Duration>,
}

impl Node {
    /// Returns the shards that need owners: every pool that a queue names or that the rows say was
    /// owned before, since it may have jobs, and the fleet.
    pub(crate) fn shards(&self) -> BTreeSet<String> {
        let configuration = self.configuration.borrow().clone();
        let mut shards: BTreeSet<String> = configuration
            .queues
            .values()
            .map(|queue| queue.pool.clone())
            .collect();
        shards.extend(self.owners.borrow().keys().cloned());
        if self.instance_api.is_some() && configuration.version > 0 {
            shards.insert(FLEET.to_owned());
        }
        shards
    }

    /// Returns whether the rows have been read that name every pool with jobs, and the addresses of these.
    pub(crate) fn knows_pools(&self) -> bool {
        let tables = [OWNERS_TABLE, Scheduler::addresses_table()];
        let is_read = |table: &&str| self.store.followed_at(table).is_some();
        tables.iter().all(is_read)
    }

    /// Notifies subscribers that an owner or a link has changed.
    pub(crate) fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns how far the stop of this process has come.
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until the stop of this process has come as far as `stage`.
    pub(crate) async fn reached(&self, stage: Stage) {
        let mut stages = self.stage.subscribe();
        // The sender lives as long as this node.
        let _ = stages.wait_for(|reached| *reached >= stage).await;
    }

    /// Returns whether a shard has no owner and no process to take it over: every process is
    /// stopping.
    pub(crate) fn is_abandoned(&self, shard: &str) -> bool {
        let owners = self.owners.borrow();
        let has_owner = owners.get(shard).is_some_and(|owner| !owner.is_released);
        let may_own = |member: &Member| !member.is_leaving && member.node != self.name;
        self.is_stopping.get() && !has_owner && !self.members.borrow().values().any(may_own)
    }

    /// Applies a configuration unless the current one is as new or newer.
    pub(crate) fn configure(&self, configuration: Configuration) {
        let current = self.configuration.borrow().version;
        if configuration.version <= current {
            return;
        }
        log::info!(
            "event=configuration version={} before={current} queues={} pools={}",
            configuration.version,
            configuration.queues.len(),
            configuration.pools.len()
        );
        self.directory.borrow_mut().reconfigure(
            &self.configuration.borrow(),
            &configuration,
            self.clock.now(),
        );
        self.keyring.configure(&configuration);
        *self.configuration.borrow_mut() = Rc::new(configuration);
        let configuration = self.configuration.borrow().clone();
        for driver in self.drivers.borrow().values() {
            driver.configure(&configuration);
        }
        self.notify_changed();
    }

    /// Requests a read of the configuration if a peer has a newer version.
    pub(crate) fn on_peer_version(&self, version: u64) {
        if version > self.configuration.borrow().version {
            self.configuration_outdated.notify_one();
        }
    }

    /// Returns the latest time as of which this process still owned all shards that it takes for its
    /// own, as the store or all other members have confirmed.
    pub(crate) fn confirmed_at(&self) -> Duration {
        let followed_at = self.store.followed_at(OWNERS_TABLE).unwrap_or_default();
        followed_at.max(self.peers_confirmed_at.get())
    }

    /// Returns the status of this process for its heartbeats.
    pub(crate) fn status(&self) -> Status {
        let now = self.clock.now();
        let failed = self
            .store
            .failed_since()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let mut owned: Vec<(String, u64)> = self
            .drivers
            .borrow()
            .iter()
            .filter(|(_, driver)| !driver.is_over())
            .map(|(shard, driver)| (shard.clone(), driver.term()))
            .collect();
        // A deposed controller may still wait for the store.
        let is_fleet_owner = self
            .owners
            .borrow()
            .get(FLEET)
            .is_some_and(|owner| owner.process == self.process && !owner.is_released);
        let fleet_term = self.fleet_term.get().filter(|_| is_fleet_owner);
        owned.extend(fleet_term.map(|term| (FLEET.to_owned(), term)));
        Status {
            owned,
            store_failed_ms: failed.as_millis() as u64,
        }
    }

    /// Records a shard's owner from its row, unless a newer one is known.
    pub(crate) fn record_owner(&self, shard: &str, ownership: Ownership) {
        let mut owners = self.owners.borrow_mut();
        let is_newer = owners.get(shard).is_none_or(|known| {
            ownership.term > known.term
                || (ownership.term == known.term && ownership.is_released && !known.is_released)
        });
        if !is_newer {
            if let Some(known) = owners.get_mut(shard) {
                if known.term == ownership.term {
                    known.version = known.version.max(ownership.version);
                }
            }
            return;
        }
        log::info!(
            "event=owner part={shard} node={} term={} released={}",
            ownership.node,
            ownership.term,
            ownership.is_released
        );
        if let Some(driver) = self.driver(shard) {
            if driver.term() < ownership.term {
                driver.depose("newer-owner");
            }
        }
        owners.insert(shard.to_owned(), ownership);
        drop(owners);
        if shard == FLEET {
            // Its new owner has not had the time to ask this process's pools yet.
            self.fleet_seen_at.set(self.clock.now());
        }
        self.on_topology_change();
    }

    /// Notifies subscribers that a member or an owner has changed.
    pub(crate) fn on_topology_change(&self) {
        self.topology.set(self.topology.get() + 1);
        self.notify_changed();
    }

    /// Records the owners that a peer's heartbeat announces, which also arrives while the store is
    /// unavailable, and tells the peer of its terms that have ended.
    pub(crate) fn record_announced_owners(self: &Rc<Self>, status: &Status, link: &Rc<Link>) {
        for (shard, term) in &status.owned {
            let known = self.owners.borrow().get(shard).cloned();
            match known {
                Some(known) if known.term == *term => {}
                Some(known) if known.term > *term => {
                    let operation = Operation::Inquire(Inquiry::Superseded {
                        part: shard.clone(),
                        ownership: known,
                    });
                    let link = link.clone();
                    tokio::task::spawn_local(async move {
                        // Repeated with the next heartbeat if it is lost.
                        let _ = link.request(operation, INQUIRY_TIMEOUT).await;
                    });
                }
                _ => self.record_owner(
                    shard,
                    Ownership {
                        term: *term,
                        node: link.peer.node.clone(),
                        process: link.peer.process.clone(),
                        address: link.peer.address,
                        is_released: false,
                        handover: None,
                        version: 0,
                    },
                ),
            }
        }
    }

    /// Returns the limits on the bytes of a pool's jobs.
    ///
    /// Any member may have to take the pool over and then holds all of its jobs, so the smallest one
    /// counts.
    pub(crate) fn job_limits(&self, shard: &str) -> Limits {
        let members = self.members.borrow();
        let staying = members.values().filter(|member| !member.is_leaving);
        let smallest = staying
            .filter_map(|member| member.memory_mb)
            .chain(self.memory_mb)
            .min();
        let own = self.driver(shard).map_or(0, |driver| driver.held_bytes());
        Limits {
            pool: Capacity::pool_jobs(smallest),
            process: self.guard.capacity().jobs,
            others: self.job_bytes().saturating_sub(own),
        }
    }

    /// Returns the bytes that the jobs of this process's pools hold.
    pub(crate) fn job_bytes(&self) -> usize {
        let drivers = self.drivers.borrow();
        drivers.values().map(|driver| driver.held_bytes()).sum()
    }

    /// Returns the state of the accounts with a quota in each pool that this process owns.
    pub(crate) fn account_states(&self) -> Vec<AccountState> {
        let now = self.clock.now();
        let drivers = self.drivers.borrow();
        let owned = drivers.values().filter(|driver| !driver.is_over());
        let states = owned.flat_map(|driver| driver.scheduler.borrow().account_states(now));
        states.collect()
    }

    /// Returns the driver of a pool that this process owns.
    pub(crate) fn driver(&self, shard: &str) -> Option<Rc<Driver>> {
        self.drivers.borrow().get(shard).cloned()
    }

    /// Returns the route to a shard's owner, or `None` if the owner is unknown, has released the
    /// shard or is not connected yet. A link to it is opened then, and subscribers are notified once it is open.
    pub(crate) fn route_to(self: &Rc<Self>, shard: &str) -> Option<Route> {
        if self.driver(shard).is_some_and(|driver| !driver.is_over()) {
            return Some(Route::Local);
        }
        let owner = {
            let owners = self.owners.borrow();
            // A process that has released the shard may exit while it is asked, after which nobody
            // knows that it has not performed the operation.
            let owner = owners.get(shard).filter(|owner| !owner.is_released)?;
            owner.endpoint()
        };
        if owner.node == self.name {
            return None;
        }
        let link = self.links.open(self, &owner, peer::MAX_IDLE);
        link.is_open().then_some(Route::Link(link))
    }

    /// Performs an operation on a pool that this process owns, or answers an inquiry.
    pub(crate) async fn perform(self: &Rc<Self>, operation: Operation) -> Answer {
        if let Operation::Inquire(inquiry) = operation {
            return self.answer(inquiry).await;
        }
        match self.driver(operation.shard()) {
            Some(driver) => driver.perform(operation).await,
            None => Answer::NotOwner,
        }
    }

    async fn answer(self: &Rc<Self>, inquiry: Inquiry) -> Answer {
        match inquiry {
            Inquiry::Locate { part } => Answer::Owner(self.owners.borrow().get(&part).cloned()),
            Inquiry::Superseded { part, ownership } => {
                self.record_owner(&part, ownership);
                Answer::Done
            }
            Inquiry::Suspect { part, term } => {
                self.on_suspicion(&part, term);
                Answer::Done
            }
            Inquiry::Confirm { process, terms } => self.confirm(&process, &terms),
            Inquiry::Probe(peer) => Answer::Reached(peer::reach(self, &peer, PROBE_TIMEOUT).await),
        }
    }

    /// Answers an owner that the store does not confirm: with a newer owner of one of its shards, or
    /// whether this process can't have taken over any of them.
    fn confirm(&self, process: &str, terms: &[(String, u64)]) -> Answer {
        let owners = self.owners.borrow();
        let newer = terms.iter().find_map(|(shard, term)| {
            let known = owners.get(shard).filter(|known| known.term > *term)?;
            Some((shard.clone(), known.clone()))
        });
        if let Some((shard, ownership)) = newer {
            return Answer::Superseded(shard, ownership);
        }
        // A predecessor on this node may have written an owner's row that is not known yet.
        let is_asked = process == self.process;
        let acquiring = self.acquiring.borrow();
        let may_have_written =
            |shard: &String| acquiring.get(shard).is_some_and(|written| *written);
        Answer::Confirmed(is_asked && !terms.iter().any(|(shard, _)| may_have_written(shard)))
    }

    /// Watches a shard's owner for a while because another process reports it.
    fn on_suspicion(&self, shard: &str, term: u64) {
        let is_current = self
            .owners
            .borrow()
            .get(shard)
            .is_some_and(|owner| owner.term == term && owner.node != self.name);
        if is_current {
            self.suspects.on_report(shard, self.clock.now());
            self.on_topology_change();
        }
    }
}
