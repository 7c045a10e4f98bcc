mod arrival;
mod attempt;
mod peers;

use super::{Action, Event, Request, Settings, Workload};
use crate::admission::WaitingRequest;
use crate::slot::{self, Allocator, HomeAllocator, TwoChoices};
use crate::{demand, health};
use hyssop_config::fleet::Fleet;
use hyssop_config::settings::Allocation;
use hyssop_model::prelude::*;
use hyssop_wire::demand::Report;

/// Scheduler of one entry's requests: decides when and on which instance each one starts, and
/// whether it is retried.
pub struct Dispatcher {
    id: entry::Id,
    settings: Settings,
    allocator: Box<dyn Allocator>,
    health: health::Monitor,
    demand: demand::Reports,
    report_bucket: demand::Bucket,
    pools: Names<pool::Key>,
    flows: Names<flow::Key>,
    workloads: BTreeMap<pool::Key, Workload>,
    requests: BTreeMap<request::Key, Request>,
    members: BTreeSet<entry::Id>,
    /// The slots in cool-down after attempts that may still be running, by the end of the
    /// cool-down.
    cooling: BTreeSet<(Instant, slot::Grant)>,
    is_closed: bool,
    /// The time until which the entry may start requests, if at all.
    authority: Option<Instant>,
    next_health_report: Option<Instant>,
    jitter_draws: u64,
}

impl Dispatcher {
    /// Creates the dispatcher of entry `id`, without pools.
    pub fn new(id: entry::Id, settings: Settings) -> Self {
        let allocator: Box<dyn Allocator> = match settings.allocation {
            Allocation::Loans => Box::new(HomeAllocator::new(id, settings.slot)),
            Allocation::Fixed => {
                let fixed = slot::Settings {
                    is_lending: false,
                    ..settings.slot
                };
                Box::new(HomeAllocator::new(id, fixed))
            }
            Allocation::TwoChoices => Box::new(TwoChoices::new(settings.seed)),
        };
        Self {
            id,
            allocator,
            health: health::Monitor::new(settings.health),
            demand: demand::Reports::default(),
            report_bucket: demand::Bucket::default(),
            pools: Names::default(),
            flows: Names::default(),
            workloads: BTreeMap::new(),
            requests: BTreeMap::new(),
            members: BTreeSet::new(),
            cooling: BTreeSet::new(),
            is_closed: false,
            authority: None,
            next_health_report: None,
            jitter_draws: settings.seed,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrival(arrival) => self.on_arrival(now, arrival, out),
            Event::AttemptEnd { key, end } => self.on_attempt_end(now, key, end, out),
            Event::Cancel(key) => self.cancel(key),
            Event::Probe { instance, sample } => self.health.record_probe(instance, sample),
            Event::Frame { from, body } => self.on_frame(now, from, body, out),
            Event::PeerUp(peer) => self.on_peer_up(now, peer, out),
            Event::Epoch(epoch) => self.on_epoch(now, epoch, out),
            Event::Instances(records) => self.insert_instances(now, records, out),
            Event::Fleet(fleet) => self.configure(&fleet),
            Event::Close => self.is_closed = true,
            Event::Leave => self.allocate(now, slot::Event::Leave, out),
            Event::Authority(until) => self.authority = until,
            Event::Tick => self.tick(now, out),
        }
    }

    /// Returns the row of an instance.
    pub fn instance(&self, key: instance::Key) -> Option<&instance::Record> {
        self.allocator.instance(key)
    }

    /// Returns the number of this entry's requests in flight on an instance.
    pub fn in_flight(&self, key: instance::Key) -> u32 {
        self.allocator.in_flight(key)
    }

    /// Returns whether a request is waiting or in flight.
    pub fn contains(&self, key: request::Key) -> bool {
        self.requests.contains_key(&key)
    }

    /// Returns the number of requests that are waiting or in flight.
    pub fn load(&self) -> usize {
        self.requests.len()
    }

    /// Returns the current demand of all pools, for the planner.
    pub fn report(&self, now: Instant) -> Report {
        let pools = self.workloads.values().map(|workload| {
            let usable = self.allocator.usable(&workload.pool.name);
            workload.report(now, usable)
        });
        Report {
            pools: pools.collect(),
        }
    }

    /// Returns the ejected instances, which get no requests.
    pub fn ejected(&self) -> Vec<instance::Key> {
        self.health.ejected()
    }

    fn allocate(&mut self, now: Instant, event: slot::Event, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.allocator.step(now, event, &mut actions);
        push_sends(actions, out);
    }

    fn configure(&mut self, fleet: &Fleet) {
        for pool in &fleet.pools {
            let key = self.pools.intern(&pool.name);
            let mut flows = BTreeMap::new();
            for queue in &pool.queues {
                let flow = self.flows.intern(&format!("{}/{}", pool.name, queue.name));
                flows.insert(queue.name.clone(), flow);
            }
            let admission = self.settings.admission;
            let workload = self
                .workloads
                .entry(key)
                .or_insert_with(|| Workload::new(pool.clone(), admission));
            workload.configure(pool.clone(), flows);
            let max_ejected = pool.size.saturating_sub(pool.budget).max(1);
            self.health
                .set_max_ejected(&pool.name, max_ejected as usize);
        }
        let names: BTreeSet<&str> = fleet.pools.iter().map(|pool| pool.name.as_str()).collect();
        self.workloads.retain(|_, workload| {
            names.contains(workload.pool.name.as_str())
                || !workload.queue.is_empty()
                || workload.in_flight() > 0
        });
    }

    fn insert_instances(
        &mut self,
        now: Instant,
        records: Vec<instance::Record>,
        out: &mut Vec<Action>,
    ) {
        for record in &records {
            self.health.insert(record.key, &record.pool);
        }
        self.allocate(now, slot::Event::Instances(records), out);
        self.dispatch_all(now, out);
    }

    fn on_epoch(&mut self, now: Instant, epoch: epoch::Record, out: &mut Vec<Action>) {
        self.members = epoch.members.iter().map(|member| member.id).collect();
        self.demand.retain(&self.members);
        self.allocate(now, slot::Event::Epoch(epoch), out);
        self.dispatch_all(now, out);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.release_cooled(now, out);
        self.update_health(now, out);
        self.report_health(now, out);
        self.allocate(now, slot::Event::Tick, out);
        let pools: Vec<pool::Key> = self.workloads.keys().copied().collect();
        for pool in pools {
            self.expire(now, pool, out);
            self.replan(now, pool);
            self.dispatch(now, pool, out);
            self.report_demand(now, pool, true, out);
        }
    }
}

/// Returns the approximate size of a pool's report in a frame, in bytes.
fn report_bytes(report: &hyssop_wire::demand::Pool) -> usize {
    const ENVELOPE_BYTES: usize = 40;
    const FLOW_BYTES: usize = 20;
    let queues: usize = report
        .flows
        .iter()
        .map(|flow| flow.queue.len() + FLOW_BYTES)
        .sum();
    ENVELOPE_BYTES + report.pool.len() + queues
}

fn push_sends(actions: Vec<slot::Action>, out: &mut Vec<Action>) {
    for action in actions {
        let slot::Action::Send { to, body } = action;
        out.push(Action::Send { to, body });
    }
}

fn waiting_request(key: request::Key, request: &Request) -> WaitingRequest {
    WaitingRequest {
        key,
        flow: request.flow,
        class: request.arrival.class,
        arrived_at: request.arrived_at,
        deadline: request.arrival.deadline,
        bytes: request.arrival.bytes,
        avoid: request.avoid.clone(),
    }
}
