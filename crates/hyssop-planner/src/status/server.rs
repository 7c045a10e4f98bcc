use super::listener::respond;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Response, StatusCode, Uri};
use hyssop_event::Recorder;
use prometheus::{Encoder, IntCounter, IntGauge, Registry, TextEncoder};
use std::sync::Arc;

/// The planner's metrics.
pub struct Metrics {
    registry: Registry,
    /// The number of steps run while holding the lease.
    pub(crate) steps: IntCounter,
    /// The number of rows written.
    pub(crate) writes: IntCounter,
    /// The number of transactions rejected because a row had changed.
    pub(crate) conflicts: IntCounter,
    /// The number of failed calls to the platform.
    pub(crate) failures: IntCounter,
    /// The number of disruptions deferred by a budget.
    pub(crate) waiting: IntGauge,
    /// Whether the lease is held.
    pub(crate) is_leader: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics if a metric name is invalid or registered twice, which can't happen with these names.
    pub fn new() -> Self {
        let counter =
            |name: &str, help: &str| IntCounter::new(name, help).expect("the name is valid");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("the name is valid");
        let metrics = Self {
            registry: Registry::new(),
            steps: counter(
                "hyssop_planner_steps_total",
                "Steps run while holding the lease.",
            ),
            writes: counter("hyssop_planner_writes_total", "Rows written."),
            conflicts: counter(
                "hyssop_planner_conflicts_total",
                "Transactions rejected because a row had changed.",
            ),
            failures: counter(
                "hyssop_planner_failures_total",
                "Failed calls to the platform.",
            ),
            waiting: gauge(
                "hyssop_planner_waiting",
                "Disruptions deferred by a budget.",
            ),
            is_leader: gauge("hyssop_planner_is_leader", "Whether the lease is held."),
        };
        let collectors: [Box<dyn prometheus::core::Collector>; 6] = [
            Box::new(metrics.steps.clone()),
            Box::new(metrics.writes.clone()),
            Box::new(metrics.conflicts.clone()),
            Box::new(metrics.failures.clone()),
            Box::new(metrics.waiting.clone()),
            Box::new(metrics.is_leader.clone()),
        ];
        for collector in collectors {
            metrics
                .registry
                .register(collector)
                .expect("each name is registered once");
        }
        metrics
    }

    fn render(&self) -> String {
        let mut text = Vec::new();
        if TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .is_err()
        {
            return String::new();
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// The server of health, metrics and events.
pub(crate) struct Server {
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Arc<Metrics>,
}

impl Server {
    /// Answers a request by its target.
    pub(super) fn handle(&self, target: &Uri) -> Response<Full<Bytes>> {
        match target.path() {
            "/health/live" => respond(StatusCode::OK, "live\n"),
            "/metrics" => respond(StatusCode::OK, self.metrics.render()),
            "/events" => {
                let after = target.query().unwrap_or("").strip_prefix("after=");
                let after = after.and_then(|number| number.parse().ok());
                let events = self.recorder.after(after.unwrap_or(0));
                let body = serde_json::to_vec(&events).unwrap_or_default();
                respond(StatusCode::OK, body)
            }
            _ => respond(StatusCode::NOT_FOUND, "not found\n"),
        }
    }
}
