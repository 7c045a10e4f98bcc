use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The metrics that the threads of the entry update.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by outcome and reason.
    pub(crate) requests: IntCounterVec,
    /// Attempts by result.
    pub(crate) attempts: IntCounterVec,
    /// Seconds from arrival to response.
    pub(crate) latency: Histogram,
    /// Requests that are queued or in flight.
    pub(crate) load: IntGauge,
    /// Bytes of frames sent to peers.
    pub(crate) control_bytes: IntCounter,
    /// Frames sent to peers.
    pub(crate) control_frames: IntCounter,
    /// Frames dropped because their link was missing or its queue was full.
    pub(crate) dropped_frames: IntCounter,
    /// Transactions that committed submitted jobs.
    pub(crate) job_batches: IntCounter,
    /// Calls to the platform by result.
    pub(crate) platform_calls: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics when a name is invalid or registered twice, which none of the names below is.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter =
            |name: &str, help: &str| IntCounter::new(name, help).expect("the name is valid");
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
        };
        let buckets =
            prometheus::exponential_buckets(0.0005, 2.0, 18).expect("the buckets are valid");
        let latency = HistogramOpts::new(
            "hyssop_request_seconds",
            "Seconds from arrival to response.",
        );
        let metrics = Self {
            requests: counters(
                "hyssop_requests_total",
                "Requests by outcome and reason.",
                &["outcome", "reason"],
            ),
            attempts: counters("hyssop_attempts_total", "Attempts by result.", &["end"]),
            latency: Histogram::with_opts(latency.buckets(buckets)).expect("the name is valid"),
            load: IntGauge::new("hyssop_load", "Requests that are queued or in flight.")
                .expect("the name is valid"),
            control_bytes: counter(
                "hyssop_control_bytes_total",
                "Bytes of frames sent to peers.",
            ),
            control_frames: counter("hyssop_control_frames_total", "Frames sent to peers."),
            dropped_frames: counter(
                "hyssop_dropped_frames_total",
                "Frames to peers dropped because a link was missing or its queue was full.",
            ),
            job_batches: counter(
                "hyssop_job_batches_total",
                "Transactions that committed submitted jobs.",
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
