use super::{Config, Decision, Snapshot};
use crate::backend;
use crate::core::Inbox;
use crate::metric::Metrics;
use crate::peer::Links;
use crate::state::{ConfigText, State};
use hyssop_event::{Kind, Recorder};
use hyssop_model::hash;
use hyssop_model::prelude::*;
use hyssop_policy::claim;
use hyssop_policy::dispatch::{Action, Dispatcher, Event};
use hyssop_wire::claim::Verdict;
use hyssop_wire::{notice, Body};
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of the core thread: the dispatcher and the claim coordinator, with the handles
/// through which their actions reach peers and the other threads.
pub(super) struct Host {
    pub(super) state: Arc<State>,
    pub(super) links: Arc<Links>,
    pub(super) backends: Arc<backend::Pool>,
    pub(super) recorder: Recorder,
    pub(super) metrics: Arc<Metrics>,
    pub(super) inbox: Inbox,
    pub(super) dispatcher: Dispatcher,
    pub(super) claims: claim::Coordinator,
    /// Channels to the tasks that wait for the verdict on their claim.
    pub(super) claim_replies: BTreeMap<request::Key, flume::Sender<Verdict>>,
    /// Triggers a poll of the store thread before its interval has passed.
    pub(super) poll_trigger: flume::Sender<()>,
    /// The time until which the dispatcher may start requests, as last passed to it.
    pub(super) authority: Option<Instant>,
    /// Notified once all claims are handed over.
    pub(super) handover_reply: Option<flume::Sender<()>>,
    pub(super) clock: Arc<dyn Clock>,
    /// Channels to the tasks of the requests that the dispatcher knows.
    pub(super) decision_senders: BTreeMap<request::Key, flume::Sender<Decision>>,
    pub(super) instances: BTreeMap<instance::Key, instance::Record>,
    pub(super) epoch: epoch::Record,
    /// A buffer that [`step`](Self::step) reuses.
    pub(super) actions: Vec<Action>,
}

/// Number of entries that probe each instance.
const OBSERVERS_PER_INSTANCE: usize = 3;

impl Host {
    /// Passes an event to the dispatcher and executes the resulting actions.
    pub(super) fn step(&mut self, now: Instant, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.step(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        self.metrics.load.set(self.dispatcher.load() as i64);
    }

    /// Passes an event to the claim coordinator and executes the resulting actions.
    pub(super) fn step_claims(&mut self, now: Instant, event: claim::Event) {
        let mut actions = Vec::new();
        self.claims
            .step(now, self.clock.wall_ms(), event, &mut actions);
        let authority = self.claims.slots_usable_until(now);
        if authority != self.authority {
            self.authority = authority;
            self.step(now, Event::Authority(authority));
        }
        for action in actions {
            match action {
                claim::Action::Decide { request, verdict } => {
                    if let Some(reply) = self.claim_replies.remove(&request) {
                        // A request's task always waits for the verdict, even after its caller has
                        // disconnected; see `front::task`.
                        let _ = reply.send(verdict);
                    }
                }
                claim::Action::Send { to, body } => self.links.send(to, body),
                claim::Action::HandedOver => {
                    self.recorder.record(Kind::ClaimsHandedOver, &[]);
                    if let Some(reply) = self.handover_reply.take() {
                        // The stopping entry waits for the hand-over only for a limited time.
                        let _ = reply.send(());
                    }
                }
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start {
                key,
                grant,
                attempt,
                timeout,
                send_by,
            } => self.start(key, grant.instance, attempt, timeout, send_by),
            Action::Finish { key, failure } => {
                if let Some(reply) = self.decision_senders.remove(&key) {
                    // The task waits for this decision even after its caller has disconnected; see
                    // `front::task`.
                    let _ = reply.send(Decision::Finish(failure));
                }
            }
            Action::Send { to, body } => self.links.send(to, body),
            Action::Health {
                instance,
                is_usable,
            } => self.record_health(instance, is_usable),
        }
    }

    fn start(
        &mut self,
        key: request::Key,
        instance: instance::Key,
        attempt: u32,
        timeout: Duration,
        send_by: Instant,
    ) {
        let Some(record) = self.instances.get(&instance) else {
            return;
        };
        let Ok(address) = record.address.parse() else {
            return;
        };
        let decision = Decision::Start {
            instance: record.name.clone(),
            address,
            attempt,
            timeout,
            send_by,
        };
        if let Some(reply) = self.decision_senders.get(&key) {
            // A task completes its attempts after its caller has disconnected; see
            // `front::task`.
            let _ = reply.send(decision);
        }
    }

    fn record_health(&self, instance: instance::Key, is_usable: bool) {
        let name = self
            .instances
            .get(&instance)
            .map_or("?", |record| record.name.as_str());
        let kind = if is_usable {
            Kind::InstanceReturned
        } else {
            Kind::InstanceEjected
        };
        self.recorder.record(kind, &[("instance", &name)]);
    }

    /// Applies a newer epoch, and forwards it to the peers if it was read from the table service.
    pub(super) fn apply_epoch(&mut self, now: Instant, epoch: epoch::Record, is_from_table: bool) {
        if epoch.number <= self.epoch.number {
            return;
        }
        self.recorder.record(
            Kind::EpochAdopted,
            &[("epoch", &epoch.number), ("members", &epoch.members.len())],
        );
        self.epoch = epoch.clone();
        self.state.set_member(epoch.contains(self.state.member.id));
        self.links.set_members(&epoch.members, &self.inbox);
        self.limit_idle_connections();
        if is_from_table {
            self.broadcast(&Body::Epoch(epoch.clone()));
        }
        self.step_claims(now, claim::Event::Epoch(epoch.clone()));
        self.step(now, Event::Epoch(epoch));
    }

    /// Stores newer instance rows, and forwards them to the peers if they were read from the table
    /// service.
    pub(super) fn insert_instances(
        &mut self,
        now: Instant,
        records: Vec<instance::Record>,
        is_from_table: bool,
    ) {
        const MAX_FORWARDED_ROWS: usize = 16;
        let is_newer = |record: &instance::Record| match self.instances.get(&record.key) {
            None => true,
            Some(known) => record.revision > known.revision,
        };
        let newer: Vec<instance::Record> = records.into_iter().filter(is_newer).collect();
        if newer.is_empty() {
            return;
        }
        for record in &newer {
            self.record_instance(record);
            self.instances.insert(record.key, record.clone());
        }
        if is_from_table && newer.len() <= MAX_FORWARDED_ROWS {
            self.broadcast(&Body::Instances(newer.clone()));
        }
        self.limit_idle_connections();
        self.step(now, Event::Instances(newer));
    }

    fn record_instance(&self, record: &instance::Record) {
        self.recorder.record_unlogged(
            Kind::InstanceChanged,
            &[
                ("instance", &record.name),
                ("pool", &record.pool),
                ("state", &record.state),
                ("revision", &record.revision),
            ],
        );
    }

    /// Activates a newer configuration, and forwards it to the peers if it was read from the table
    /// service.
    pub(super) fn apply_config(&mut self, now: Instant, config: Config, is_from_table: bool) {
        if config.number <= self.state.active_version() {
            return;
        }
        self.state.store_config(ConfigText {
            number: config.number,
            text: config.text.clone(),
        });
        self.step(now, Event::Fleet(config.fleet));
        self.state.activate_config(config.number);
        self.recorder
            .record(Kind::ConfigInForce, &[("version", &config.number)]);
        self.trigger_poll();
        if is_from_table {
            self.broadcast(&Body::Config(notice::Config {
                held: config.number,
                accepted: config.number,
                body: Some(config.text),
            }));
        }
    }

    /// Forwards a proposed configuration to the peers, so that every entry can soon report that it
    /// has stored it.
    pub(super) fn forward_proposal(&self, number: u64, text: String) {
        self.broadcast(&Body::Config(notice::Config {
            held: number,
            accepted: self.state.active_version(),
            body: Some(text),
        }));
    }

    /// Stores a proposed configuration that a peer forwarded.
    pub(super) fn store_proposal(&self, number: u64, text: String) {
        if number > self.state.stored_version() {
            self.state.store_config(ConfigText { number, text });
            self.trigger_poll();
        }
    }

    /// Triggers a poll, in which the store thread writes the stored and the active version into the
    /// entry's row.
    fn trigger_poll(&self) {
        // A full channel means that a poll is already pending.
        let _ = self.poll_trigger.try_send(());
    }

    fn broadcast(&self, body: &Body) {
        let own = self.state.member.id;
        for member in self.epoch.members.iter().filter(|member| member.id != own) {
            self.links.send(member.id, body.clone());
        }
    }

    /// Limits the idle connections per instance, so that all entries together stay within the
    /// instance's connection limit.
    fn limit_idle_connections(&self) {
        let Some(record) = self.instances.values().next() else {
            return;
        };
        let spare = record.connections.saturating_sub(record.slots) as usize;
        self.backends
            .set_max_idle(spare / self.epoch.members.len().max(1));
    }

    /// Returns the instances that this entry probes: those it observes and those it has ejected.
    pub(super) fn probe_targets(&self) -> Vec<(instance::Key, SocketAddr)> {
        let ejected = self.dispatcher.ejected();
        let is_target = |record: &&instance::Record| {
            let is_up = record.state != instance::State::Out;
            is_up && (self.is_observer(&record.name) || ejected.contains(&record.key))
        };
        let targets = self.instances.values().filter(is_target);
        targets
            .filter_map(|record| Some((record.key, record.address.parse().ok()?)))
            .collect()
    }

    /// Returns whether this entry is among the observers of an instance, by rendezvous hashing.
    fn is_observer(&self, instance: &str) -> bool {
        let score = |id: entry::Id| hash::score(instance.as_bytes(), id.0, 1.0);
        let own = score(self.state.member.id);
        let higher_ranked = self
            .epoch
            .members
            .iter()
            .filter(|member| score(member.id) > own);
        higher_ranked.count() < OBSERVERS_PER_INSTANCE
    }

    /// Returns the state that the planner and operators query.
    pub(super) fn snapshot(&self, now: Instant) -> Snapshot {
        let mut in_flight = BTreeMap::new();
        for record in self.instances.values() {
            let count = self.dispatcher.in_flight(record.key);
            if count > 0 {
                in_flight.insert(record.name.clone(), count);
            }
        }
        let ejected = self.dispatcher.ejected();
        let names = ejected.iter().filter_map(|key| self.instances.get(key));
        Snapshot {
            revision: self
                .instances
                .values()
                .map(|record| record.revision)
                .max()
                .unwrap_or(0),
            demand: Some(self.dispatcher.report(now)),
            in_flight,
            ejected: names.map(|record| record.name.clone()).collect(),
            load: self.dispatcher.load(),
        }
    }
}
