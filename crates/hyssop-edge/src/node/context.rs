use super::{Clock, Member, Notice, Ownership, Reach};
use crate::http::Client;
use crate::metric::Metrics;
use crate::peer::{Answer, Ask, Link, Standing};
use crate::pool::Runner;
use crate::store::Store;
use hyssop_model::work::Configuration;
use hyssop_platform::dialect::Dialect;
use hyssop_policy::owner::Settings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// The shard whose owner manages the fleet's instances; no pool may have this name.
pub(crate) const FLEET: &str = "fleet/";

/// Timing parameters derived from the platform's settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tuning {
    /// The settings of the pools' schedulers.
    pub(crate) owner: Settings,
    /// The time between the signal to stop and the kill of the process.
    pub(crate) grace: Duration,
    /// The minimum time between orders of two successive owners of the fleet shard.
    pub(crate) holder_gap: Duration,
}

/// State shared by all tasks of the process; they run on one thread, so there are no locks.
pub(crate) struct Node {
    pub(crate) name: String,
    /// Identifies this process among those that have run on its node.
    pub(crate) process: String,
    pub(crate) data_centre: String,
    /// The CPU share of this instance, in thousandths of a core.
    pub(crate) share: u64,
    /// The address for links from peers.
    pub(crate) address: SocketAddr,
    /// The address of the API that moves and maintains instances.
    pub(crate) instances: Option<SocketAddr>,
    /// The address of the advice service.
    pub(crate) advice: Option<SocketAddr>,
    pub(crate) tuning: Tuning,
    pub(crate) clock: Clock,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) client: Client,
    pub(crate) store: Store,
    pub(crate) metrics: Metrics,
    pub(crate) configuration: RefCell<Rc<Configuration>>,
    pub(crate) waves: RefCell<BTreeMap<u64, Notice>>,
    pub(crate) members: RefCell<BTreeMap<String, Member>>,
    pub(crate) owners: RefCell<BTreeMap<String, Ownership>>,
    pub(crate) runners: RefCell<BTreeMap<String, Rc<Runner>>>,
    /// The term in which this process owns the fleet shard.
    pub(crate) fleet_term: Cell<Option<u64>>,
    pub(crate) links: RefCell<BTreeMap<String, Rc<Link>>>,
    /// Incremented on each change of an owner or a link, to wake its subscribers.
    pub(crate) changes: watch::Sender<u64>,
    /// Triggers a read of the configuration when a peer has a newer version.
    pub(crate) configuration_wanted: Notify,
    pub(crate) is_stopping: Cell<bool>,
    /// When the last frame of any peer arrived.
    pub(crate) heard_at: Cell<Duration>,
}

impl Node {
    /// Returns the shards that need owners: every pool named by a queue or owned before, and the
    /// fleet.
    pub(crate) fn parts(&self) -> BTreeSet<String> {
        let configuration = self.configuration.borrow().clone();
        let mut parts: BTreeSet<String> = configuration
            .queues
            .values()
            .map(|queue| queue.pool.clone())
            .collect();
        parts.extend(self.owners.borrow().keys().cloned());
        if self.instances.is_some() && configuration.version > 0 {
            parts.insert(FLEET.to_owned());
        }
        parts
    }

    /// Notifies subscribers that an owner or a link has changed.
    pub(crate) fn announce(&self) {
        self.changes.send_modify(|count| *count += 1);
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
        *self.configuration.borrow_mut() = Rc::new(configuration);
        let configuration = self.configuration.borrow().clone();
        for runner in self.runners.borrow().values() {
            runner.configure(&configuration);
        }
        self.announce();
    }

    /// Requests a read of the configuration if a peer has a newer version.
    pub(crate) fn note_version(&self, version: u64) {
        if version > self.configuration.borrow().version {
            self.configuration_wanted.notify_one();
        }
    }

    /// Returns whether this process may extend leases and start tasks.
    ///
    /// An owner without contact to the store and to all peers must stop doing both, because a
    /// peer may have taken over without its knowledge and relies on it.
    pub(crate) fn has_authority(&self) -> bool {
        let contact = self.store.answered_at().max(self.heard_at.get());
        let is_alone = self.members.borrow().len() <= 1;
        is_alone || self.clock.now().saturating_sub(contact) < self.tuning.owner.authority
    }

    /// Returns the status of this process for its heartbeats.
    pub(crate) fn standing(&self) -> Standing {
        let now = self.clock.now();
        let failed = self
            .store
            .failed_since()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let mut owned: Vec<(String, u64)> = self
            .runners
            .borrow()
            .iter()
            .filter(|(_, runner)| !runner.is_over())
            .map(|(part, runner)| (part.clone(), runner.term()))
            .collect();
        owned.extend(self.fleet_term.get().map(|term| (FLEET.to_owned(), term)));
        Standing {
            owned,
            store_failed_ms: failed.as_millis() as u64,
        }
    }

    /// Records a shard's owner from its row, unless a newer one is known.
    pub(crate) fn put_owner(&self, part: &str, ownership: Ownership) {
        let mut owners = self.owners.borrow_mut();
        let is_newer = owners.get(part).is_none_or(|known| {
            ownership.term > known.term
                || (ownership.term == known.term && ownership.is_released && !known.is_released)
        });
        if !is_newer {
            return;
        }
        log::info!(
            "event=owner part={part} node={} term={} released={}",
            ownership.node,
            ownership.term,
            ownership.is_released
        );
        if let Some(runner) = self.runner(part) {
            if runner.term() < ownership.term {
                runner.depose("newer-owner");
            }
        }
        owners.insert(part.to_owned(), ownership);
        drop(owners);
        self.announce();
    }

    /// Records a shard's owner from a peer's heartbeat, which also arrives while the store is
    /// unavailable.
    pub(crate) fn note_owner(&self, part: &str, term: u64, peer: &Member) {
        let is_newer = self
            .owners
            .borrow()
            .get(part)
            .is_none_or(|known| known.term < term);
        if is_newer {
            let ownership = Ownership {
                term,
                node: peer.node.clone(),
                process: peer.process.clone(),
                address: peer.address,
                is_released: false,
            };
            self.put_owner(part, ownership);
        }
    }

    /// Returns the driver of a pool that this process owns.
    pub(crate) fn runner(&self, part: &str) -> Option<Rc<Runner>> {
        self.runners.borrow().get(part).cloned()
    }

    /// Returns the route to a shard's owner, or `None` if the owner is unknown or unreachable.
    pub(crate) fn reach(&self, part: &str) -> Option<Reach> {
        if self.runner(part).is_some_and(|runner| !runner.is_over()) {
            return Some(Reach::Here);
        }
        let owner = self.owners.borrow().get(part)?.node.clone();
        let link = self.links.borrow().get(&owner)?.clone();
        link.is_open().then_some(Reach::Link(link))
    }

    /// Performs an operation on a pool that this process owns.
    pub(crate) async fn answer(&self, ask: Ask) -> Answer {
        match self.runner(ask.part()) {
            Some(runner) => runner.answer(ask).await,
            None => Answer::NotOwner,
        }
    }
}
