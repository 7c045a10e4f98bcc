use super::{Decision, Fleet, Snapshot};
use crate::backend;
use crate::core::Inbox;
use crate::metric::Metrics;
use crate::peer::Links;
use crate::state::{Held, State};
use hyssop_event::{Kind, Recorder};
use hyssop_model::hash;
use hyssop_model::prelude::*;
use hyssop_policy::claim;
use hyssop_policy::dispatch::{Action, Dispatcher, Event};
use hyssop_wire::claim::Verdict;
use hyssop_wire::{notice, Body};
use std::net::SocketAddr;
use std::sync::Arc;

/// Binds the dispatcher to the threads around it.
pub(super) struct Host {
    pub(super) state: Arc<State>,
    pub(super) links: Arc<Links>,
    pub(super) backends: Arc<backend::Pool>,
    pub(super) recorder: Recorder,
    pub(super) metrics: Arc<Metrics>,
    pub(super) inbox: Inbox,
    pub(super) dispatcher: Dispatcher,
    pub(super) claims: claim::Coordinator,
    pub(super) claiming: BTreeMap<request::Key, flume::Sender<Verdict>>,
    /// Makes the store thread poll at once.
    pub(super) nudge: flume::Sender<()>,
    pub(super) authority: Option<Instant>,
    pub(super) handed_over: Option<flume::Sender<()>>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) waiting: BTreeMap<request::Key, flume::Sender<Decision>>,
    pub(super) instances: BTreeMap<instance::Key, instance::Record>,
    pub(super) epoch: epoch::Record,
    pub(super) actions: Vec<Action>,
}

/// How many entries probe each instance.
const OBSERVERS: usize = 3;

impl Host {
    /// Feeds the dispatcher and carries out what follows.
    pub(super) fn step(&mut self, now: Instant, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.step(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
        self.metrics.load.set(self.dispatcher.load() as i64);
    }

    /// Feeds the claim coordinator and carries out what follows.
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
                    if let Some(reply) = self.claiming.remove(&request) {
                        // The request's task always waits for its verdict; see the front.
                        let _ = reply.send(verdict);
                    }
                }
                claim::Action::Send { to, body } => self.links.send(to, body),
                claim::Action::HandedOver => {
                    self.recorder.record(Kind::ClaimsHandedOver, &[]);
                    if let Some(reply) = self.handed_over.take() {
                        // Whoever stops the entry may have stopped waiting.
                        let _ = reply.send(());
                    }
                }
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start {
                key,
                grant,
                attempt,
                timeout,
                send_by,
            } => self.start(key, grant.instance, attempt, timeout, send_by),
            Action::Finish { key, failure } => {
                if let Some(reply) = self.waiting.remove(&key) {
                    // The task is gone when its caller went away.
                    let _ = reply.send(Decision::Finish(failure));
                }
            }
            Action::Send { to, body } => self.links.send(to, body),
            Action::Health {
                instance,
                is_usable,
            } => self.note_health(instance, is_usable),
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
        if let Some(reply) = self.waiting.get(&key) {
            // A task whose caller went away still ends its attempts; see the front.
            let _ = reply.send(decision);
        }
    }

    fn note_health(&self, instance: instance::Key, is_usable: bool) {
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

    /// Adopts a newer epoch and passes it on when it came from the table service.
    pub(super) fn adopt(&mut self, now: Instant, epoch: epoch::Record, is_first_hand: bool) {
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
        if is_first_hand {
            self.broadcast(&Body::Epoch(epoch.clone()));
        }
        self.step_claims(now, claim::Event::Epoch(epoch.clone()));
        self.step(now, Event::Epoch(epoch));
    }

    /// Takes in newer instance rows and passes them on when they came from the table service.
    pub(super) fn insert_instances(
        &mut self,
        now: Instant,
        records: Vec<instance::Record>,
        is_first_hand: bool,
    ) {
        const MOST_PASSED_ON: usize = 16;
        let is_newer = |record: &instance::Record| match self.instances.get(&record.key) {
            None => true,
            Some(known) => record.revision > known.revision,
        };
        let newer: Vec<instance::Record> = records.into_iter().filter(is_newer).collect();
        if newer.is_empty() {
            return;
        }
        for record in &newer {
            self.note_instance(record);
            self.instances.insert(record.key, record.clone());
        }
        if is_first_hand && newer.len() <= MOST_PASSED_ON {
            self.broadcast(&Body::Instances(newer.clone()));
        }
        self.limit_idle_connections();
        self.step(now, Event::Instances(newer));
    }

    fn note_instance(&self, record: &instance::Record) {
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

    /// Puts a newer configuration in force and passes it on when it came from the table service.
    pub(super) fn configure(&mut self, now: Instant, fleet: Fleet, is_first_hand: bool) {
        if fleet.number <= self.state.in_force() {
            return;
        }
        self.state.hold(Held {
            number: fleet.number,
            text: fleet.text.clone(),
        });
        self.step(now, Event::Fleet(fleet.fleet));
        self.state.put_in_force(fleet.number);
        self.recorder
            .record(Kind::ConfigInForce, &[("version", &fleet.number)]);
        self.nudge_store();
        if is_first_hand {
            self.broadcast(&Body::Config(notice::Config {
                held: fleet.number,
                accepted: fleet.number,
                body: Some(fleet.text),
            }));
        }
    }

    /// Passes a proposal on, so that every entry can say soon that it holds it.
    pub(super) fn pass_on_proposal(&self, number: u64, text: String) {
        self.broadcast(&Body::Config(notice::Config {
            held: number,
            accepted: self.state.in_force(),
            body: Some(text),
        }));
    }

    /// Holds a proposal that a peer passed on.
    pub(super) fn hold(&self, number: u64, text: String) {
        if number > self.state.held() {
            self.state.hold(Held { number, text });
            self.nudge_store();
        }
    }

    /// Makes the store thread tell the entry's row what is held and in force.
    fn nudge_store(&self) {
        // A full channel means that it is about to poll anyway.
        let _ = self.nudge.try_send(());
    }

    fn broadcast(&self, body: &Body) {
        let own = self.state.member.id;
        for member in self.epoch.members.iter().filter(|member| member.id != own) {
            self.links.send(member.id, body.clone());
        }
    }

    /// Bounds the idle connections, so that all entries together stay within an instance's limit.
    fn limit_idle_connections(&self) {
        let Some(record) = self.instances.values().next() else {
            return;
        };
        let spare = record.connections.saturating_sub(record.slots) as usize;
        self.backends
            .set_most_idle(spare / self.epoch.members.len().max(1));
    }

    /// Returns the instances that this entry probes: those it is an observer of, and the ejected.
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

    fn is_observer(&self, instance: &str) -> bool {
        let score = |id: entry::Id| hash::score(instance.as_bytes(), id.0, 1.0);
        let own = score(self.state.member.id);
        let better = self
            .epoch
            .members
            .iter()
            .filter(|member| score(member.id) > own);
        better.count() < OBSERVERS
    }

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
