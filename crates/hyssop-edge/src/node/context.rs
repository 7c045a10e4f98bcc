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

/// The part whose owner holds the fleet's instances; no pool may bear this name.
pub(crate) const FLEET: &str = "fleet/";

/// Holds the bounds that the platform sets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tuning {
    /// The bounds of owners.
    pub(crate) owner: Settings,
    /// The time from the order to stop until the process is killed.
    pub(crate) grace: Duration,
    /// The time between the turns of two holders of the fleet's instances.
    pub(crate) holder_gap: Duration,
}

/// Is what all parts of the process share; there is one thread, so there are no locks.
pub(crate) struct Node {
    pub(crate) name: String,
    /// Tells this process apart from earlier ones of its node.
    pub(crate) process: String,
    pub(crate) data_centre: String,
    /// This instance's share of a processor, in thousandths of a core.
    pub(crate) share: u64,
    /// Where peers reach this process.
    pub(crate) address: SocketAddr,
    pub(crate) instances: Option<SocketAddr>,
    /// The advice service.
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
    /// The term in which this process holds the fleet's instances.
    pub(crate) fleet_term: Cell<Option<u64>>,
    pub(crate) links: RefCell<BTreeMap<String, Rc<Link>>>,
    /// Counts changes of owners and links, for those who wait for one.
    pub(crate) changes: watch::Sender<u64>,
    /// Wakes the reader of the configuration when a peer knows a newer one.
    pub(crate) configuration_wanted: Notify,
    pub(crate) is_stopping: Cell<bool>,
    /// When a peer was last heard.
    pub(crate) heard_at: Cell<Duration>,
}

impl Node {
    /// Returns the parts that have owners: every pool that a queue names, and the fleet.
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

    /// Tells everybody who waits that an owner or a link has changed.
    pub(crate) fn announce(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Puts a configuration in force; an older one than the one in force is passed over.
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

    /// Notes the version that a frame bore.
    pub(crate) fn note_version(&self, version: u64) {
        if version > self.configuration.borrow().version {
            self.configuration_wanted.notify_one();
        }
    }

    /// Tells whether this process may extend leases and start tasks: a peer that took over
    /// unnoticed counts on an owner without contact falling silent.
    pub(crate) fn has_authority(&self) -> bool {
        let contact = self.store.answered_at().max(self.heard_at.get());
        let is_alone = self.members.borrow().len() <= 1;
        is_alone || self.clock.now().saturating_sub(contact) < self.tuning.owner.authority
    }

    /// Says how this process stands.
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

    /// Takes a part's owner from its row.
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

    /// Takes a part's owner from its own word, which comes also while the store is away.
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

    /// Returns the owner that runs in this process.
    pub(crate) fn runner(&self, part: &str) -> Option<Rc<Runner>> {
        self.runners.borrow().get(part).cloned()
    }

    /// Tells where a part's owner is, if it can be asked.
    pub(crate) fn reach(&self, part: &str) -> Option<Reach> {
        if self.runner(part).is_some_and(|runner| !runner.is_over()) {
            return Some(Reach::Here);
        }
        let owner = self.owners.borrow().get(part)?.node.clone();
        let link = self.links.borrow().get(&owner)?.clone();
        link.is_open().then_some(Reach::Link(link))
    }

    /// Answers a question to a part that this process owns.
    pub(crate) async fn answer(&self, ask: Ask) -> Answer {
        match self.runner(ask.part()) {
            Some(runner) => runner.answer(ask).await,
            None => Answer::NotOwner,
        }
    }
}
