use super::ServiceTime;
use crate::admission::{Fair, Fifo, Order, Priority, Queue, SlotUsage};
use crate::demand::{self, Plan};
use crate::retry;
use hyssop_config::fleet::Pool;
use hyssop_config::settings::Admission;
use hyssop_model::prelude::*;
use hyssop_wire::demand as report;

/// State of one pool at this entry: its queue, slot usage, retry budget and demand reports.
pub(crate) struct Workload {
    pub(crate) pool: Pool,
    pub(crate) queue: Queue,
    pub(crate) retries: retry::Budget,
    pub(crate) usage: SlotUsage,
    pub(crate) plan: Plan,
    flows: BTreeMap<String, flow::Key>,
    service_times: BTreeMap<flow::Key, ServiceTime>,
    /// The last report sent to the peers.
    last_report: report::Pool,
    last_report_at: Option<Instant>,
}

impl Workload {
    pub(crate) fn new(pool: Pool, admission: Admission) -> Self {
        let order: Box<dyn Order> = match admission {
            Admission::Fair => Box::new(Fair),
            Admission::Fifo => Box::new(Fifo),
            Admission::Priority => Box::new(Priority),
        };
        Self {
            last_report: report::Pool {
                pool: pool.name.clone(),
                usable: 0,
                oldest_ms: 0,
                flows: Vec::new(),
            },
            pool,
            queue: Queue::new(order),
            retries: retry::Budget::default(),
            usage: SlotUsage::default(),
            plan: Plan::default(),
            flows: BTreeMap::new(),
            service_times: BTreeMap::new(),
            last_report_at: None,
        }
    }

    /// Applies a new configuration of the pool; `flows` are the keys of its queues.
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
        self.usage.in_flight.values().sum()
    }

    pub(crate) fn record_start(&mut self, flow: flow::Key, class: Class) {
        *self.usage.in_flight.entry(flow).or_default() += 1;
        if class == Class::Deferrable {
            self.usage.deferrable += 1;
        }
    }

    pub(crate) fn record_end(&mut self, flow: flow::Key, class: Class) {
        if let Some(count) = self.usage.in_flight.get_mut(&flow) {
            *count = count.saturating_sub(1);
        }
        if class == Class::Deferrable {
            self.usage.deferrable = self.usage.deferrable.saturating_sub(1);
        }
    }

    pub(crate) fn record_service_time(&mut self, flow: flow::Key, elapsed: Duration) {
        self.service_times.entry(flow).or_default().record(elapsed);
    }

    /// Returns the estimated service time of a flow's requests.
    pub(crate) fn service_time(&self, flow: flow::Key) -> ServiceTime {
        self.service_times.get(&flow).copied().unwrap_or_default()
    }

    /// Returns how long a new request of `flow` is expected to wait for a slot.
    pub(crate) fn projected_wait(&self, flow: flow::Key, class: Class, usable: u32) -> Duration {
        let ahead = self.queue.ahead(flow, class);
        if ahead == 0 {
            return Duration::ZERO;
        }
        let slots = self.expected_slots(flow, usable).max(1.0);
        self.service_time(flow)
            .mean()
            .mul_f64(f64::from(ahead) / slots)
    }

    /// Returns the number of this entry's slots that `flow` is expected to get: the largest of its
    /// share by weight, its fair share and the slots it already uses.
    fn expected_slots(&self, flow: flow::Key, usable: u32) -> f64 {
        let total_weight: u32 = self.pool.queues.iter().map(|queue| queue.weight).sum();
        let queue = self
            .pool
            .queues
            .iter()
            .find(|queue| self.flow(&queue.name) == Some(flow));
        let weight = queue.map_or(1, |queue| queue.weight);
        let by_weight = f64::from(usable) * f64::from(weight) / f64::from(total_weight.max(1));
        let fair_share = self.usage.fair_shares.get(&flow).copied().unwrap_or(0.0);
        let in_use = self.usage.in_flight.get(&flow).copied().unwrap_or(0);
        by_weight
            .max(fair_share.min(f64::from(usable)))
            .max(f64::from(in_use))
    }

    /// Returns how many slots deferrable requests may use.
    ///
    /// There is no limit while a slot is expected to become free at least every half second,
    /// because urgent requests then need no slots kept free for them.
    fn deferrable_cap(&self, usable: u32, deferrable_fraction: f64) -> u32 {
        const MAX_SLOT_GAP_S: f64 = 0.5;
        let upper_bounds = self
            .service_times
            .values()
            .map(|time| time.upper_bound().as_secs_f64());
        let gap_s = upper_bounds.fold(0.0, f64::max) / f64::from(usable.max(1));
        if gap_s <= MAX_SLOT_GAP_S && !self.service_times.is_empty() {
            return u32::MAX;
        }
        ((f64::from(usable) * deferrable_fraction) as u32).max(1)
    }

    /// Applies a new division of the pool's slots.
    pub(crate) fn set_plan(&mut self, plan: Plan, usable: u32, deferrable_fraction: f64) {
        self.usage.fair_shares.clear();
        for queue in &self.pool.queues {
            let Some(flow) = self.flows.get(&queue.name) else {
                continue;
            };
            let share = plan.queues.get(&queue.name).copied();
            self.usage
                .fair_shares
                .insert(*flow, share.unwrap_or(f64::from(queue.weight)));
        }
        self.usage.deferrable_cap = self.deferrable_cap(usable, deferrable_fraction);
        self.plan = plan;
    }

    /// Returns the current demand.
    pub(crate) fn report(&self, now: Instant, usable: u32) -> report::Pool {
        let oldest = self
            .queue
            .oldest()
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let mut flows = Vec::new();
        for (queue, flow) in &self.flows {
            let waiting = self.queue.waiting(*flow);
            let in_flight = self.usage.in_flight.get(flow).copied().unwrap_or(0);
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

    /// Returns whether `report` should be sent now.
    ///
    /// The minimum age of the last report depends on the change: it is the shortest when requests
    /// start or stop waiting, and the longest when nothing changed.
    pub(crate) fn is_report_due(
        &self,
        now: Instant,
        report: &report::Pool,
        intervals: &ReportIntervals,
    ) -> bool {
        let age = self
            .last_report_at
            .map(|at| now.saturating_duration_since(at));
        let has_waiting = |pool: &report::Pool| {
            pool.flows
                .iter()
                .any(|flow| flow.waiting.iter().any(|count| *count > 0))
        };
        let is_transition = has_waiting(report) != has_waiting(&self.last_report);
        let is_changed =
            report.flows != self.last_report.flows || report.usable != self.last_report.usable;
        let min_age = match (is_transition, is_changed) {
            (true, _) => intervals.burst,
            (false, true) => intervals.interval,
            (false, false) => intervals.refresh,
        };
        age.is_none_or(|age| age >= min_age)
    }

    /// Records that `report` was sent.
    pub(crate) fn record_report(&mut self, now: Instant, report: &report::Pool) {
        self.last_report = report.clone();
        self.last_report_at = Some(now);
    }

    /// Schedules the next report immediately, even if nothing changed.
    pub(crate) fn force_report(&mut self) {
        self.last_report_at = None;
    }
}

/// Minimum intervals between two demand reports of a pool.
pub(crate) struct ReportIntervals {
    /// When requests start or stop waiting.
    pub(crate) burst: Duration,
    /// When the demand changed in another way.
    pub(crate) interval: Duration,
    /// When the demand did not change.
    pub(crate) refresh: Duration,
}
