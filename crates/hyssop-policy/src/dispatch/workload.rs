use super::Service;
use crate::admission::{Fair, Fifo, Order, Priority, Queue, View};
use crate::demand::{self, Plan};
use crate::retry;
use hyssop_config::fleet::Pool;
use hyssop_config::settings::Admission;
use hyssop_model::prelude::*;
use hyssop_wire::demand as report;

/// Is one pool at an entry.
pub(crate) struct Workload {
    pub(crate) pool: Pool,
    pub(crate) queue: Queue,
    pub(crate) retries: retry::Budget,
    pub(crate) view: View,
    pub(crate) plan: Plan,
    flows: BTreeMap<String, flow::Key>,
    service: BTreeMap<flow::Key, Service>,
    told: report::Pool,
    told_at: Option<Instant>,
}

impl Workload {
    pub(crate) fn new(pool: Pool, admission: Admission) -> Self {
        let order: Box<dyn Order> = match admission {
            Admission::Fair => Box::new(Fair),
            Admission::Fifo => Box::new(Fifo),
            Admission::Priority => Box::new(Priority),
        };
        Self {
            told: report::Pool {
                pool: pool.name.clone(),
                usable: 0,
                oldest_ms: 0,
                flows: Vec::new(),
            },
            pool,
            queue: Queue::new(order),
            retries: retry::Budget::default(),
            view: View::default(),
            plan: Plan::default(),
            flows: BTreeMap::new(),
            service: BTreeMap::new(),
            told_at: None,
        }
    }

    /// Takes in a new configuration of the pool and the keys of its queues.
    pub(crate) fn configure(&mut self, pool: Pool, flows: BTreeMap<String, flow::Key>) {
        self.pool = pool;
        self.flows = flows;
    }

    pub(crate) fn flow(&self, queue: &str) -> Option<flow::Key> {
        self.flows.get(queue).copied()
    }

    pub(crate) fn queues(&self) -> Vec<demand::Queue> {
        let queues = self.pool.queues.iter();
        queues
            .map(|queue| demand::Queue {
                name: queue.name.clone(),
                weight: f64::from(queue.weight),
            })
            .collect()
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.view.in_flight.values().sum()
    }

    pub(crate) fn count_start(&mut self, flow: flow::Key, class: Class) {
        *self.view.in_flight.entry(flow).or_default() += 1;
        if class == Class::Deferrable {
            self.view.deferrable += 1;
        }
    }

    pub(crate) fn count_end(&mut self, flow: flow::Key, class: Class) {
        if let Some(count) = self.view.in_flight.get_mut(&flow) {
            *count = count.saturating_sub(1);
        }
        if class == Class::Deferrable {
            self.view.deferrable = self.view.deferrable.saturating_sub(1);
        }
    }

    pub(crate) fn learn_service(&mut self, flow: flow::Key, took: Duration) {
        self.service.entry(flow).or_default().learn(took);
    }

    /// Returns the estimated time in service of a flow's requests.
    pub(crate) fn service(&self, flow: flow::Key) -> Service {
        self.service.get(&flow).copied().unwrap_or_default()
    }

    /// Returns how long a new request of `flow` would wait for its slot.
    pub(crate) fn projected_wait(&self, flow: flow::Key, class: Class, usable: u32) -> Duration {
        let ahead = self.queue.ahead(flow, class);
        if ahead == 0 {
            return Duration::ZERO;
        }
        let slots = self.slots_of(flow, usable).max(1.0);
        self.service(flow).mean().mul_f64(f64::from(ahead) / slots)
    }

    /// Returns the slots that `flow` can count on at this entry.
    fn slots_of(&self, flow: flow::Key, usable: u32) -> f64 {
        let total_weight: u32 = self.pool.queues.iter().map(|queue| queue.weight).sum();
        let queue = self
            .pool
            .queues
            .iter()
            .find(|queue| self.flow(&queue.name) == Some(flow));
        let weight = queue.map_or(1, |queue| queue.weight);
        let by_weight = f64::from(usable) * f64::from(weight) / f64::from(total_weight.max(1));
        let due = self.view.due.get(&flow).copied().unwrap_or(0.0);
        let in_use = self.view.in_flight.get(&flow).copied().unwrap_or(0);
        by_weight
            .max(due.min(f64::from(usable)))
            .max(f64::from(in_use))
    }

    /// Returns how many slots deferrable requests may hold.
    ///
    /// As long as slots become free often enough for urgent work, there is no need to keep any.
    fn deferrable_cap(&self, usable: u32, deferrable_part: f64) -> u32 {
        const LONGEST_GAP_S: f64 = 0.5;
        let longest = self
            .service
            .values()
            .map(|service| service.bound().as_secs_f64());
        let gap_s = longest.fold(0.0, f64::max) / f64::from(usable.max(1));
        if gap_s <= LONGEST_GAP_S && !self.service.is_empty() {
            return u32::MAX;
        }
        ((f64::from(usable) * deferrable_part) as u32).max(1)
    }

    /// Takes in the newest division of the pool's slots.
    pub(crate) fn set_plan(&mut self, plan: Plan, usable: u32, deferrable_part: f64) {
        self.view.due.clear();
        for queue in &self.pool.queues {
            let Some(flow) = self.flows.get(&queue.name) else {
                continue;
            };
            let due = plan.queues.get(&queue.name).copied();
            self.view
                .due
                .insert(*flow, due.unwrap_or(f64::from(queue.weight)));
        }
        self.view.deferrable_cap = self.deferrable_cap(usable, deferrable_part);
        self.plan = plan;
    }

    /// Returns the present demand.
    pub(crate) fn report(&self, now: Instant, usable: u32) -> report::Pool {
        let oldest = self
            .queue
            .oldest()
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let mut flows = Vec::new();
        for (queue, flow) in &self.flows {
            let waiting = self.queue.waiting(*flow);
            let in_flight = self.view.in_flight.get(flow).copied().unwrap_or(0);
            if in_flight > 0 || waiting.iter().any(|count| *count > 0) {
                flows.push(report::Flow {
                    queue: queue.clone(),
                    waiting,
                    in_flight,
                });
            }
        }
        report::Pool {
            pool: self.pool.name.clone(),
            usable,
            oldest_ms: oldest.as_millis() as u32,
            flows,
        }
    }

    /// Tells whether `report` is to be sent now.
    pub(crate) fn is_worth_telling(
        &self,
        now: Instant,
        report: &report::Pool,
        pace: &Pace,
    ) -> bool {
        let age = self.told_at.map(|at| now.saturating_duration_since(at));
        let waits = |pool: &report::Pool| {
            pool.flows
                .iter()
                .any(|flow| flow.waiting.iter().any(|count| *count > 0))
        };
        let is_edge = waits(report) != waits(&self.told);
        let is_changed = report.flows != self.told.flows || report.usable != self.told.usable;
        let least_age = match (is_edge, is_changed) {
            (true, _) => pace.burst,
            (false, true) => pace.interval,
            (false, false) => pace.refresh,
        };
        age.is_none_or(|age| age >= least_age)
    }

    /// Remembers the report that was sent.
    pub(crate) fn note_told(&mut self, now: Instant, report: &report::Pool) {
        self.told = report.clone();
        self.told_at = Some(now);
    }

    /// Makes the next report go out, whatever it says.
    pub(crate) fn forget_told(&mut self) {
        self.told_at = None;
    }
}

/// Holds the least pauses between two reports of demand.
pub(crate) struct Pace {
    pub(crate) burst: Duration,
    pub(crate) interval: Duration,
    pub(crate) refresh: Duration,
}
