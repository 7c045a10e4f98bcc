use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Holds the metrics that the threads count.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by outcome and reason.
    pub(crate) requests: IntCounterVec,
    /// Attempts by their end.
    pub(crate) attempts: IntCounterVec,
    /// Seconds from arrival to answer.
    pub(crate) latency: Histogram,
    /// Requests that wait or are in progress.
    pub(crate) load: IntGauge,
    /// Bytes of frames sent to peers.
    pub(crate) control_bytes: IntCounter,
    /// Frames sent to peers.
    pub(crate) control_frames: IntCounter,
    /// Frames that a full or closed link dropped.
    pub(crate) dropped_frames: IntCounter,
    /// Transactions that made jobs durable.
    pub(crate) job_batches: IntCounter,
    /// Calls to the platform by result.
    pub(crate) platform_calls: IntCounterVec,
}

impl Metrics {
    /// Makes the metrics.
    ///
    /// # Panics
    ///
    /// Panics when a name is registered twice, which the names below are not.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter =
            |name: &str, help: &str| IntCounter::new(name, help).expect("the name is valid");
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
        };
        let buckets =
            prometheus::exponential_buckets(0.0005, 2.0, 18).expect("the buckets are valid");
        let latency =
            HistogramOpts::new("hyssop_request_seconds", "Seconds from arrival to answer.");
        let metrics = Self {
            requests: counters(
                "hyssop_requests_total",
                "Requests by outcome.",
                &["outcome", "reason"],
            ),
            attempts: counters("hyssop_attempts_total", "Attempts by their end.", &["end"]),
            latency: Histogram::with_opts(latency.buckets(buckets)).expect("the name is valid"),
            load: IntGauge::new("hyssop_load", "Requests that wait or are in progress.")
                .expect("the name is valid"),
            control_bytes: counter(
                "hyssop_control_bytes_total",
                "Bytes of frames sent to peers.",
            ),
            control_frames: counter("hyssop_control_frames_total", "Frames sent to peers."),
            dropped_frames: counter("hyssop_dropped_frames_total", "Frames that a link dropped."),
            job_batches: counter(
                "hyssop_job_batches_total",
                "Transactions that made jobs durable.",
            ),
            platform_calls: counters(
                "hyssop_platform_calls_total",
                "Calls to the platform.",
                &["result"],
            ),
            registry,
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 9] = [
            Box::new(self.requests.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.latency.clone()),
            Box::new(self.load.clone()),
            Box::new(self.control_bytes.clone()),
            Box::new(self.control_frames.clone()),
            Box::new(self.dropped_frames.clone()),
            Box::new(self.job_batches.clone()),
            Box::new(self.platform_calls.clone()),
        ];
        for collector in collectors {
            self.registry
                .register(collector)
                .expect("each name is registered once");
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut text).is_err() {
            return String::new();
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
