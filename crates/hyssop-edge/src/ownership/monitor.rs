use super::candidates::{rank, successors, window};
use super::suspects::report_owner;
use super::takeover;
use super::target::Target;
use super::watched::Watched;
use crate::node::{Endpoint, Node, Ownership, FLEET, INQUIRY_TIMEOUT};
use crate::peer::{request_from, Answer, Inquiry, Operation, MAX_IDLE};
use hyssop_policy::failover::{Turn, Verdict, WATCHER_COUNT};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The interval between checks while this process watches others.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between checks of a process that watches nobody; a changed row or a report of
/// another process wakes it earlier.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between computations of whom to watch; each takes time for every member.
const SELECTION_INTERVAL: Duration = Duration::from_millis(150);
/// All processes start within a third of a second; a longer delay lets each of them register before
/// shards are taken over, which spreads the shards.
const STARTUP_DELAY: Duration = Duration::from_millis(600);
/// An owner that can't reach the store for this long, while this process can, is replaced: with the
/// heartbeat that tells it and the turns of two candidates, within the 1.5 s in which urgent work
/// must start.
const STORE_OUTAGE_LIMIT: Duration = Duration::from_millis(500);
/// The fleet's owner is reported by a pool's owner that it has not asked for this long.
const FLEET_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The turn of a process whose own driver has ended: the pause bounds how often it starts again if the
/// store goes on refusing its transactions.
const OWN_POSITION: usize = 2;
/// How many other processes are asked at a time whether they reach a suspect owner.
const PROBE_COUNT: usize = 4;

/// The failure detector of one process: it watches the owners that it may have to replace, and the
/// candidates that come before it or after it.
struct Monitor {
    node: Rc<Node>,
    watched: RefCell<BTreeMap<String, Watched>>,
    vacant_since: RefCell<BTreeMap<String, Duration>>,
    /// Since when this process has owned any shard.
    owner_since: Cell<Option<Duration>>,
    /// The topology for which the watched processes were selected, and when.
    selected: Cell<(u64, Duration)>,
}

/// Takes over shards whose owners are lost.
pub(crate) async fn monitor_shards(node: Rc<Node>) {
    tokio::time::sleep(STARTUP_DELAY).await;
    let mut changes = node.changes.subscribe();
    let monitor = Rc::new(Monitor {
        node: node.clone(),
        watched: RefCell::default(),
        vacant_since: RefCell::default(),
        owner_since: Cell::new(None),
        selected: Cell::new((0, Duration::ZERO)),
    });
    while !node.is_stopping.get() {
        monitor.check();
        let interval = if monitor.is_busy() {
            CHECK_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        changes.mark_unchanged();
        // Both a change and the end of the interval lead to the same check.
        let _ = tokio::time::timeout(interval, changes.changed()).await;
        if monitor.is_busy() {
            // Changes of links come in quick succession.
            tokio::time::sleep(CHECK_INTERVAL / 5).await;
        }
    }
    monitor.release();
}

impl Monitor {
    /// Returns whether there is anything to check at short intervals.
    fn is_busy(&self) -> bool {
        let now = self.node.clock.now();
        !self.node.drivers.borrow().is_empty()
            || !self.watched.borrow().is_empty()
            || !self.vacant_since.borrow().is_empty()
            || self.node.suspects.has_reports(now)
            || self.selected.get().0 != self.node.topology.get()
    }

    /// Updates the watches and takes over vacant shards whose turn has come.
    fn check(self: &Rc<Self>) {
        let now = self.node.clock.now();
        self.select(now);
        self.update_watches(now);
        self.report_own_outage(now);
        self.report_silent_fleet_owner(now);
        let vacant: Vec<String> = self
            .node
            .shards()
            .into_iter()
            .filter(|shard| self.is_vacant(shard, now))
            .collect();
        {
            let mut vacant_since = self.vacant_since.borrow_mut();
            vacant_since.retain(|shard, _| vacant.contains(shard));
            for shard in &vacant {
                vacant_since.entry(shard.clone()).or_insert(now);
            }
        }
        if vacant.is_empty() || !self.node.is_registered.get() {
            return;
        }
        let orders = rank(&self.node, &vacant);
        for shard in vacant {
            // Nobody else takes over a shard from a process that is alive.
            let position = if self.is_own(&shard) {
                Some(OWN_POSITION)
            } else {
                self.position(&orders[&shard], now)
            };
            let Some(position) = position else {
                continue;
            };
            let turn = Turn {
                position: position as u32,
                vacant_for: now.saturating_sub(self.vacant_since.borrow()[&shard]),
                had_owner: self.node.owners.borrow().contains_key(&shard),
                owner_for: self.owner_for(),
            };
            if turn.has_come() {
                takeover::start(&self.node, &shard);
                self.vacant_since.borrow_mut().remove(&shard);
            }
        }
    }

    /// Returns how long this process has owned any shard, `None` if it owns none.
    fn owner_for(&self) -> Option<Duration> {
        let owners = self.node.owners.borrow();
        let is_owner = !self.node.acquiring.borrow().is_empty()
            || owners
                .values()
                .any(|owner| owner.process == self.node.process && !owner.is_released);
        let now = self.node.clock.now();
        let since = is_owner.then(|| self.owner_since.get().unwrap_or(now));
        self.owner_since.set(since);
        since.map(|since| now.saturating_sub(since))
    }

    /// Returns how many candidates that may be alive come before this process, `None` if it is no
    /// candidate.
    fn position(&self, order: &[String], now: Duration) -> Option<usize> {
        let watched = self.watched.borrow();
        let is_lost = |name: &&String| {
            watched
                .get(*name)
                .is_some_and(|watched| watched.watch.is_silent(now))
        };
        order
            .iter()
            .filter(|name| **name == self.node.name || !is_lost(name))
            .position(|name| *name == self.node.name)
    }

    /// Selects the processes to watch: the owners that this process may have to replace, and the
    /// candidates next to it.
    fn select(&self, now: Duration) {
        let topology = self.node.topology.get();
        let (selected, selected_at) = self.selected.get();
        let has_expired = !self.node.suspects.has_reports(now)
            && self
                .watched
                .borrow()
                .values()
                .any(|watched| watched.target.is_reported);
        if selected == topology && !has_expired
            || now.saturating_sub(selected_at) < SELECTION_INTERVAL
        {
            return;
        }
        self.selected.set((topology, now));
        let mut wanted: BTreeMap<String, Target> = BTreeMap::new();
        for shard in self.node.shards() {
            self.select_for(&shard, now, &mut wanted);
        }
        let mut watched = self.watched.borrow_mut();
        watched.retain(|name, old| {
            let is_kept = wanted
                .get(name)
                .is_some_and(|target| target.endpoint == old.target.endpoint);
            if !is_kept {
                old.link.set_watched(false);
            }
            is_kept
        });
        for (name, target) in wanted {
            if let Some(known) = watched.get_mut(&name) {
                known.target = target;
                continue;
            }
            let link = self.node.links.open(&self.node, &target.endpoint, MAX_IDLE);
            link.set_watched(true);
            watched.insert(name, Watched::new(target, link, now));
        }
    }

    /// Adds the processes to watch because of one shard.
    fn select_for(&self, shard: &str, now: Duration, wanted: &mut BTreeMap<String, Target>) {
        let Some(owner) = self.node.owners.borrow().get(shard).cloned() else {
            return;
        };
        if owner.is_released || owner.node == self.node.name {
            return;
        }
        let order = successors(&self.node, shard);
        let Some(position) = order.iter().position(|name| *name == self.node.name) else {
            return;
        };
        let is_watcher = position < WATCHER_COUNT;
        if !is_watcher && !self.node.suspects.is_reported(shard, now) {
            return;
        }
        let mut add = |name: &str, endpoint: Endpoint, shard: Option<&str>| {
            let target = wanted
                .entry(name.to_owned())
                .or_insert_with(|| Target::new(endpoint, !is_watcher));
            target.is_reported &= !is_watcher;
            target.shards.extend(shard.map(str::to_owned));
        };
        add(&owner.node, owner.endpoint(), Some(shard));
        let members = self.node.members.borrow();
        let fellows = order.iter().take(WATCHER_COUNT.max(position + 1));
        for member in fellows.filter_map(|name| members.get(name)) {
            if member.node != self.node.name {
                add(&member.node, member.endpoint(), None);
            }
        }
    }

    /// Records what the links have heard, and asks others about suspect owners.
    fn update_watches(self: &Rc<Self>, now: Duration) {
        let mut inquiries = Vec::new();
        for (name, watched) in self.watched.borrow_mut().iter_mut() {
            watched.watch.on_heard(watched.link.last_seen_at());
            let Some(shard) = watched.target.shards.first() else {
                continue;
            };
            if watched.watch.take_probe(now) {
                inquiries.push((name.clone(), shard.clone(), watched.probe_rounds));
                watched.probe_rounds += 1;
            }
        }
        for (name, shard, round) in inquiries {
            let order = successors(&self.node, &shard);
            for helper in window(&self.node, &order, PROBE_COUNT, round) {
                tokio::task::spawn_local(self.clone().inquire(helper, name.clone()));
            }
        }
    }

    /// Asks another process whether it reaches a watched one.
    async fn inquire(self: Rc<Self>, helper: Endpoint, name: String) {
        let Some(endpoint) = self
            .watched
            .borrow()
            .get(&name)
            .map(|watched| watched.target.endpoint.clone())
        else {
            return;
        };
        let operation = Operation::Inquire(Inquiry::Probe(endpoint.clone()));
        let answer = request_from(&self.node, &helper, operation, INQUIRY_TIMEOUT).await;
        let Some(Answer::Reached(is_reached)) = answer else {
            return;
        };
        log::info!(
            "event=owner-probed owner={name} helper={} reached={is_reached}",
            helper.node
        );
        let now = self.node.clock.now();
        if let Some(watched) = self.watched.borrow_mut().get_mut(&name) {
            if watched.target.endpoint == endpoint {
                watched.watch.on_probe_answer(is_reached, now);
            }
        }
    }

    /// Reports this process's own shards to further candidates while it can't reach the store:
    /// their watchers may be without it too.
    fn report_own_outage(&self, now: Duration) {
        let Some(since) = self.node.store.failed_since() else {
            return;
        };
        if now.saturating_sub(since) < STORE_OUTAGE_LIMIT {
            return;
        }
        for (shard, _) in self.node.status().owned {
            report_owner(&self.node, &shard);
        }
    }

    /// Reports the fleet's owner if it has not asked this process's pools for their demand, which it
    /// does several times a second.
    fn report_silent_fleet_owner(&self, now: Duration) {
        let owns_pool = !self
            .node
            .drivers
            .borrow()
            .values()
            .all(|pool| pool.is_over());
        let has_fleet_owner = self.node.owners.borrow().contains_key(FLEET);
        if !owns_pool || !has_fleet_owner {
            self.node.fleet_seen_at.set(now);
        }
        let silence = now.saturating_sub(self.node.fleet_seen_at.get());
        if silence >= FLEET_TIMEOUT && self.node.fleet_term.get().is_none() {
            report_owner(&self.node, FLEET);
        }
    }

    /// Returns whether a shard has no live owner with access to the store.
    fn is_vacant(&self, shard: &str, now: Duration) -> bool {
        if self.node.acquiring.borrow().contains_key(shard) {
            return false;
        }
        let owners = self.node.owners.borrow();
        let Some(owner) = owners.get(shard) else {
            return true;
        };
        if owner.is_released {
            return true;
        }
        if owner.process == self.node.process {
            // Its driver ended while the row still names this process.
            return !self.is_driven(shard);
        }
        if owner.node == self.node.name {
            return true;
        }
        if self.has_ended(owner) {
            return true;
        }
        let watched = self.watched.borrow();
        let Some(watched) = watched.get(&owner.node) else {
            return false;
        };
        if watched.target.endpoint.process != owner.process {
            return false;
        }
        if watched.watch.verdict(now) == Verdict::Lost {
            return true;
        }
        // A status that was not renewed may tell of an outage that has ended.
        let is_recent = !watched.watch.is_silent(now);
        let failed = Duration::from_millis(watched.link.status.borrow().store_failed_ms);
        is_recent && failed >= STORE_OUTAGE_LIMIT && self.node.store.failed_since().is_none()
    }

    /// Returns whether this process owns a shard according to the owner's row.
    fn is_own(&self, shard: &str) -> bool {
        let owners = self.node.owners.borrow();
        owners
            .get(shard)
            .is_some_and(|owner| owner.process == self.node.process && !owner.is_released)
    }

    /// Returns whether a driver of this process runs a shard that it owns.
    fn is_driven(&self, shard: &str) -> bool {
        if shard == FLEET {
            return self.node.fleet_term.get().is_some();
        }
        self.node
            .driver(shard)
            .is_some_and(|driver| !driver.is_over())
    }

    /// Returns whether the rows of members show that an owner's process has ended: another process
    /// of its node has registered since, or the node's row was removed.
    fn has_ended(&self, owner: &Ownership) -> bool {
        if owner.version == 0 {
            return false;
        }
        match self.node.members.borrow().get(&owner.node) {
            Some(member) => member.process != owner.process && member.version > owner.version,
            // While rows arrive late, an owner may be known before its member row.
            None => owner.version <= self.node.followed_version.get(),
        }
    }

    /// Ends all watches.
    fn release(&self) {
        for watched in self.watched.borrow().values() {
            watched.link.set_watched(false);
        }
    }
}
