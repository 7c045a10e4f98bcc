use super::{Action, Arrival, Desk, Event, Fate, Pace, Running, Settings};
use crate::admission::{Reason, Refusal, Waiting};
use crate::attempt::{End, Verdict};
use crate::slot::{self, Allocator, Avoid, Choices, Home};
use crate::{demand, health};
use hyssop_config::fleet::Fleet;
use hyssop_config::settings::Allocation;
use hyssop_model::prelude::*;
use hyssop_wire::demand::Report;
use hyssop_wire::Body;
use xxhash_rust::xxh3::xxh3_64;

/// Decides for one entry which request starts when and where, and how each one ends.
pub struct Dispatcher {
    id: entry::Id,
    settings: Settings,
    allocator: Box<dyn Allocator>,
    health: health::Board,
    demand: demand::Board,
    allowance: demand::Allowance,
    pools: Names<pool::Key>,
    flows: Names<flow::Key>,
    desks: BTreeMap<pool::Key, Desk>,
    requests: BTreeMap<request::Key, Running>,
    members: BTreeSet<entry::Id>,
    /// The slots that rest after attempts that may still be running, by the end of their rest.
    cooling: BTreeSet<(Instant, slot::Grant)>,
    is_closed: bool,
    authority: Option<Instant>,
    next_health: Option<Instant>,
    draws: u64,
}

impl Dispatcher {
    /// Makes the dispatcher of entry `id`, which knows no pool yet.
    pub fn new(id: entry::Id, settings: Settings) -> Self {
        let allocator: Box<dyn Allocator> = match settings.allocation {
            Allocation::Loans => Box::new(Home::new(id, settings.slot)),
            Allocation::Fixed => {
                let fixed = slot::Settings {
                    is_lending: false,
                    ..settings.slot
                };
                Box::new(Home::new(id, fixed))
            }
            Allocation::TwoChoices => Box::new(Choices::new(settings.seed)),
        };
        Self {
            id,
            allocator,
            health: health::Board::new(settings.health),
            demand: demand::Board::default(),
            allowance: demand::Allowance::default(),
            pools: Names::default(),
            flows: Names::default(),
            desks: BTreeMap::new(),
            requests: BTreeMap::new(),
            members: BTreeSet::new(),
            cooling: BTreeSet::new(),
            is_closed: false,
            authority: None,
            next_health: None,
            draws: settings.seed,
            settings,
        }
    }

    /// Takes in one event and appends what follows from it to `out`.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::End { key, end } => self.end(now, key, end, out),
            Event::Cancel(key) => self.cancel(key),
            Event::Probe { instance, sample } => self.health.probe(instance, sample),
            Event::Frame { from, body } => self.hear(now, from, body, out),
            Event::PeerUp(peer) => self.greet(now, peer, out),
            Event::Epoch(epoch) => self.adopt(now, epoch, out),
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

    /// Returns how many of this entry's requests are in progress on an instance.
    pub fn in_flight(&self, key: instance::Key) -> u32 {
        self.allocator.in_flight(key)
    }

    /// Tells whether a request waits or is in progress.
    pub fn contains(&self, key: request::Key) -> bool {
        self.requests.contains_key(&key)
    }

    /// Returns the number of requests that wait or are in progress.
    pub fn load(&self) -> usize {
        self.requests.len()
    }

    /// Returns the present demand of all pools, for the planner.
    pub fn report(&self, now: Instant) -> Report {
        let pools = self.desks.values().map(|desk| {
            let usable = self.allocator.usable(&desk.pool.name);
            desk.report(now, usable)
        });
        Report {
            pools: pools.collect(),
        }
    }

    /// Returns the instances that requests are kept away from.
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
            let desk = self
                .desks
                .entry(key)
                .or_insert_with(|| Desk::new(pool.clone(), admission));
            desk.configure(pool.clone(), flows);
            let spare = pool.size.saturating_sub(pool.budget).max(1);
            self.health.set_bound(&pool.name, spare as usize);
        }
        let names: BTreeSet<&str> = fleet.pools.iter().map(|pool| pool.name.as_str()).collect();
        self.desks.retain(|_, desk| {
            names.contains(desk.pool.name.as_str())
                || !desk.queue.is_empty()
                || desk.in_flight() > 0
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
        self.pump_all(now, out);
    }

    fn adopt(&mut self, now: Instant, epoch: epoch::Record, out: &mut Vec<Action>) {
        self.members = epoch.members.iter().map(|member| member.id).collect();
        self.demand.retain(&self.members);
        self.allocate(now, slot::Event::Epoch(epoch), out);
        self.pump_all(now, out);
    }

    fn greet(&mut self, now: Instant, peer: entry::Id, out: &mut Vec<Action>) {
        self.allocate(now, slot::Event::PeerUp(peer), out);
        for desk in self.desks.values_mut() {
            desk.forget_told();
        }
    }

    fn arrive(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Action>) {
        let key = arrival.key;
        let Some(pool) = self
            .pools
            .find(&arrival.pool)
            .filter(|pool| self.desks.contains_key(pool))
        else {
            out.push(Action::Finish {
                key,
                fate: Fate::UnknownPool,
            });
            return;
        };
        let flow = self
            .desks
            .get(&pool)
            .and_then(|desk| desk.flow(&arrival.queue));
        let Some(flow) = flow else {
            out.push(Action::Finish {
                key,
                fate: Fate::UnknownQueue,
            });
            return;
        };
        if let Some(refusal) = self.check(now, &arrival, pool, flow) {
            out.push(Action::Finish {
                key,
                fate: Fate::NotRun(refusal),
            });
            return;
        }
        let running = Running {
            arrival,
            pool,
            flow,
            arrived: now,
            attempt: None,
            attempts: 0,
            may_have_run: false,
            avoid: Avoid::default(),
        };
        if let Some(desk) = self.desks.get_mut(&pool) {
            desk.retries.earn();
            desk.queue.push(waiting(key, &running));
        }
        self.requests.insert(key, running);
        self.pump(now, pool, out);
    }

    /// Returns why a new request is refused at once, if it is.
    fn check(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        pool: pool::Key,
        flow: flow::Key,
    ) -> Option<Refusal> {
        let desk = self.desks.get(&pool)?;
        let usable = self.allocator.usable(&desk.pool.name);
        let wait = desk.projected_wait(flow, arrival.class, usable);
        let reason = if self.is_closed {
            Reason::Stopping
        } else if self.allocator.total(&desk.pool.name) == 0 {
            Reason::NoInstance
        } else if desk.queue.bytes() + arrival.bytes > desk.pool.queue_bytes {
            Reason::QueueFull
        } else if now + wait + desk.service(flow).bound() > arrival.deadline {
            Reason::WouldMissDeadline
        } else {
            return None;
        };
        Some(self.refuse(reason, wait))
    }

    /// Makes a refusal whose time to come back is spread over once to twice the wait.
    fn refuse(&mut self, reason: Reason, wait: Duration) -> Refusal {
        const SHORTEST: Duration = Duration::from_secs(1);
        self.draws = self.draws.wrapping_add(1);
        let part = xxh3_64(&self.draws.to_le_bytes()) as f64 / u64::MAX as f64;
        Refusal {
            reason,
            retry_after: wait.max(SHORTEST).mul_f64(1.0 + part),
        }
    }

    fn pump_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let pools: Vec<pool::Key> = self.desks.keys().copied().collect();
        for pool in pools {
            self.pump(now, pool, out);
        }
    }

    /// Starts the requests of a pool that slots are free for, then tells and lends.
    fn pump(&mut self, now: Instant, pool: pool::Key, out: &mut Vec<Action>) {
        while self.start_next(now, pool, out) {}
        self.tell_demand(now, pool, false, out);
        self.offer(now, pool, None, out);
    }

    fn start_next(&mut self, now: Instant, pool: pool::Key, out: &mut Vec<Action>) -> bool {
        let Some(desk) = self.desks.get(&pool) else {
            return false;
        };
        let Some(first) = desk.queue.peek(&desk.view) else {
            return false;
        };
        let (key, avoid) = (first.key, first.avoid.clone());
        if now + desk.service(first.flow).bound() > first.deadline {
            self.give_up_waiting(key, Reason::WouldMissDeadline, out);
            return true;
        }
        // Another entry may have the slots of one that was paused or cut off.
        if self.authority.is_none_or(|until| now >= until) {
            return false;
        }
        let is_over_due =
            desk.in_flight() >= self.keep(desk) && self.allocator.unmet(&desk.pool.name) > 0;
        if is_over_due {
            return false;
        }
        let pool_name = desk.pool.name.clone();
        let Some(grant) = self.acquire(now, &pool_name, &avoid) else {
            return false;
        };
        self.start(now, key, grant, out);
        true
    }

    /// Takes a slot, on an instance to avoid only when no other has a free one: a retry that holds
    /// back would hold back its whole lane.
    fn acquire(&mut self, now: Instant, pool: &str, avoid: &Avoid) -> Option<slot::Grant> {
        let grant = self.allocator.acquire(now, pool, avoid);
        if grant.is_some() || avoid.is_empty() {
            return grant;
        }
        self.allocator.acquire(now, pool, &Avoid::default())
    }

    fn start(
        &mut self,
        now: Instant,
        key: request::Key,
        grant: slot::Grant,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.requests.get_mut(&key) else {
            return;
        };
        running.attempt = Some((grant, now));
        running.attempts += 1;
        let Some(desk) = self.desks.get_mut(&running.pool) else {
            return;
        };
        desk.queue.remove(key);
        desk.count_start(running.flow, running.arrival.class);
        let left = running.arrival.deadline.saturating_duration_since(now);
        out.push(Action::Start {
            key,
            grant,
            attempt: running.attempts,
            timeout: left.min(desk.pool.answer_timeout),
            send_by: self.authority.unwrap_or(now),
        });
    }

    /// Ends a waiting request without another attempt.
    fn give_up_waiting(&mut self, key: request::Key, reason: Reason, out: &mut Vec<Action>) {
        let Some(running) = self.requests.remove(&key) else {
            return;
        };
        if let Some(desk) = self.desks.get_mut(&running.pool) {
            desk.queue.remove(key);
        }
        let fate = match Verdict::without_retry(running.may_have_run) {
            Outcome::NotRun => Fate::NotRun(self.refuse(reason, Duration::ZERO)),
            _ => Fate::Unknown,
        };
        out.push(Action::Finish { key, fate });
    }

    /// Forgets a request that has not started; one that has goes on to its end.
    fn cancel(&mut self, key: request::Key) {
        let Some(running) = self.requests.get(&key) else {
            return;
        };
        if running.attempt.is_some() {
            return;
        }
        let pool = running.pool;
        if let Some(desk) = self.desks.get_mut(&pool) {
            desk.queue.remove(key);
        }
        self.requests.remove(&key);
    }

    fn end(&mut self, now: Instant, key: request::Key, end: End, out: &mut Vec<Action>) {
        let Some(running) = self.requests.get_mut(&key) else {
            return;
        };
        let Some((grant, started)) = running.attempt.take() else {
            return;
        };
        let pool = running.pool;
        running.may_have_run |= !end.is_proof_of_not_run();
        running.avoid.instances.insert(grant.instance);
        if let Some(record) = self.allocator.instance(grant.instance) {
            running.avoid.racks.insert(record.rack.clone());
        }
        let took = now.saturating_duration_since(started);
        if let Some(desk) = self.desks.get_mut(&pool) {
            desk.count_end(running.flow, running.arrival.class);
            if end == (End::Answered { is_error: false }) {
                desk.learn_service(running.flow, took);
            }
        }
        if let Some(sample) = end.sample(took) {
            self.health.observe(grant.instance, sample);
            if !sample.is_good() {
                self.judge_health(now, out);
            }
        }
        if end.may_linger() {
            self.cooling
                .insert((now + self.settings.slot.cooling, grant));
        } else {
            self.release(now, grant, out);
        }
        self.conclude(now, key, end, out);
        self.pump(now, pool, out);
    }

    fn release(&mut self, now: Instant, grant: slot::Grant, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.allocator.release(now, grant, &mut actions);
        push_sends(actions, out);
    }

    fn release_cooled(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((until, grant)) = self.cooling.first().copied() {
            if until > now {
                return;
            }
            self.cooling.pop_first();
            self.release(now, grant, out);
        }
    }

    /// Ends a request after an attempt, or queues it for another one.
    fn conclude(&mut self, now: Instant, key: request::Key, end: End, out: &mut Vec<Action>) {
        let Some(running) = self.requests.get(&key) else {
            return;
        };
        match Verdict::judge(end, running.arrival.is_idempotent) {
            Verdict::Tell(Outcome::Answered) => {
                self.requests.remove(&key);
            }
            Verdict::Tell(_) => {
                self.requests.remove(&key);
                out.push(Action::Finish {
                    key,
                    fate: Fate::Unknown,
                });
            }
            Verdict::Retry => self.retry(now, key, out),
        }
    }

    fn retry(&mut self, now: Instant, key: request::Key, out: &mut Vec<Action>) {
        let Some(running) = self.requests.get(&key) else {
            return;
        };
        let Some(desk) = self.desks.get_mut(&running.pool) else {
            return;
        };
        let is_permitted = !running.arrival.is_retried_upstream
            && now < running.arrival.deadline
            && desk.retries.spend();
        if is_permitted {
            desk.queue.push(waiting(key, running));
        } else {
            self.give_up_waiting(key, Reason::RetriesExhausted, out);
        }
    }

    fn hear(&mut self, now: Instant, from: entry::Id, body: Body, out: &mut Vec<Action>) {
        match body {
            Body::Status(status) => self.allocate(now, slot::Event::Status { from, status }, out),
            Body::Lend(lend) => {
                self.allocate(now, slot::Event::Lend { from, lend }, out);
                self.pump_all(now, out);
            }
            Body::Return(returned) => {
                self.allocate(now, slot::Event::Return { from, returned }, out);
                self.pump_all(now, out);
            }
            Body::Demand(report) => self.hear_demand(now, from, report, out),
            Body::Health(report) => self.health.hear(now, from, &report),
            _ => {}
        }
    }

    fn hear_demand(
        &mut self,
        now: Instant,
        from: entry::Id,
        report: Report,
        out: &mut Vec<Action>,
    ) {
        if !self.members.contains(&from) {
            return;
        }
        for pool in report.pools {
            let key = self.pools.find(&pool.pool);
            self.demand.insert(from, pool);
            if let Some(key) = key {
                self.replan(now, key);
                self.offer(now, key, Some(from), out);
            }
        }
    }

    /// Divides a pool's slots anew.
    fn replan(&mut self, now: Instant, pool: pool::Key) {
        let Some(desk) = self.desks.get_mut(&pool) else {
            return;
        };
        let name = desk.pool.name.clone();
        let usable = self.allocator.usable(&name);
        self.demand.insert(self.id, desk.report(now, usable));
        let total = self.allocator.total(&name);
        let plan = self.demand.plan(self.id, &name, total, &desk.queues());
        desk.set_plan(plan, usable, self.settings.deferrable_part);
    }

    /// Returns the slots of a pool that this entry keeps for itself.
    fn keep(&self, desk: &Desk) -> u32 {
        let due = desk.plan.entries.get(&self.id).copied().unwrap_or(0.0);
        let is_short = self.demand.total(&desk.pool.name) >= self.allocator.total(&desk.pool.name);
        let reserve = u32::from(!is_short);
        due.ceil() as u32 + reserve
    }

    /// Lends slots of a pool beyond the own need to peers, `heard` one of which told its demand.
    fn offer(
        &mut self,
        now: Instant,
        pool: pool::Key,
        heard: Option<entry::Id>,
        out: &mut Vec<Action>,
    ) {
        let Some(desk) = self.desks.get(&pool) else {
            return;
        };
        let name = desk.pool.name.clone();
        if heard.is_none() && self.allocator.unmet(&name) == 0 {
            return;
        }
        let keep = self.keep(desk);
        let spare = self.allocator.usable(&name).saturating_sub(keep);
        let wanted = heard.map(|peer| {
            (
                peer,
                self.demand.wanted(self.id, peer, &name, &desk.plan, spare),
            )
        });
        let need = slot::Event::Need {
            pool: name,
            keep,
            wanted,
        };
        self.allocate(now, need, out);
    }

    /// Tells the peers a pool's demand, when it changed enough.
    fn tell_demand(&mut self, now: Instant, pool: pool::Key, is_tick: bool, out: &mut Vec<Action>) {
        let Some(desk) = self.desks.get_mut(&pool) else {
            return;
        };
        if !is_tick && desk.queue.is_empty() {
            return;
        }
        let pace = Pace {
            burst: self.settings.demand_burst,
            interval: self.settings.demand_interval,
            refresh: self.settings.demand_refresh,
        };
        let usable = self.allocator.usable(&desk.pool.name);
        let report = desk.report(now, usable);
        if !desk.is_worth_telling(now, &report, &pace) {
            return;
        }
        let bytes = self.members.len().saturating_sub(1) * report_bytes(&report);
        if !self.allowance.take(now, bytes) {
            return;
        }
        desk.note_told(now, &report);
        let body = Body::Demand(Report {
            pools: vec![report],
        });
        self.broadcast(&body, out);
    }

    fn broadcast(&self, body: &Body, out: &mut Vec<Action>) {
        for peer in self.members.iter().filter(|peer| **peer != self.id) {
            out.push(Action::Send {
                to: *peer,
                body: body.clone(),
            });
        }
    }

    fn judge_health(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (instance, is_usable) in self.health.tick(now) {
            self.allocate(
                now,
                slot::Event::Usable {
                    instance,
                    is_usable,
                },
                out,
            );
            out.push(Action::Health {
                instance,
                is_usable,
            });
        }
    }

    fn tell_health(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_health.is_some_and(|due| now < due) {
            return;
        }
        self.next_health = Some(now + self.settings.health_interval);
        let report = self.health.report();
        self.broadcast(&Body::Health(report), out);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.release_cooled(now, out);
        self.judge_health(now, out);
        self.tell_health(now, out);
        self.allocate(now, slot::Event::Tick, out);
        let pools: Vec<pool::Key> = self.desks.keys().copied().collect();
        for pool in pools {
            self.expire(now, pool, out);
            self.replan(now, pool);
            self.pump(now, pool, out);
            self.tell_demand(now, pool, true, out);
        }
    }

    fn expire(&mut self, now: Instant, pool: pool::Key, out: &mut Vec<Action>) {
        let Some(desk) = self.desks.get_mut(&pool) else {
            return;
        };
        for waiting in desk.queue.expire(now) {
            self.give_up_waiting(waiting.key, Reason::DeadlinePassed, out);
        }
    }
}

/// Returns about how many bytes a pool's report takes in a frame.
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

fn waiting(key: request::Key, running: &Running) -> Waiting {
    Waiting {
        key,
        flow: running.flow,
        class: running.arrival.class,
        arrived: running.arrived,
        deadline: running.arrival.deadline,
        bytes: running.arrival.bytes,
        avoid: running.avoid.clone(),
    }
}
