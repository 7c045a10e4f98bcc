use hyssop_policy::owner::learning::Accuracy;
use prometheus::{GaugeVec, IntGaugeVec, Opts, Registry};

const LABELS: [&str; 2] = ["pool", "queue"];

/// How the forecasts of durations compare with the durations, by queue of each owned pool. Queues are
/// those of the configuration.
pub(crate) struct Forecasts {
    runs: IntGaugeVec,
    under_high: GaugeVec,
    median_ratio: GaugeVec,
}

impl Forecasts {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics if a metric of another kind has the name of one of them.
    pub(super) fn new(registry: &Registry) -> Self {
        let runs = Opts::new(
            "hyssop_forecast_runs",
            "Runs of the owner's term whose duration was compared with its forecast",
        );
        let under_high = Opts::new(
            "hyssop_forecast_under_high_ratio",
            "Share of recent runs that ended within the high quantile of their forecast",
        );
        let median_ratio = Opts::new(
            "hyssop_forecast_median_ratio",
            "Median ratio of duration to forecast of recent runs",
        );
        let forecasts = Self {
            runs: IntGaugeVec::new(runs, &LABELS).expect("a valid name"),
            under_high: GaugeVec::new(under_high, &LABELS).expect("a valid name"),
            median_ratio: GaugeVec::new(median_ratio, &LABELS).expect("a valid name"),
        };
        let runs = Box::new(forecasts.runs.clone());
        registry.register(runs).expect("a unique name");
        for gauge in [&forecasts.under_high, &forecasts.median_ratio] {
            let gauge = Box::new(gauge.clone());
            registry.register(gauge).expect("a unique name");
        }
        forecasts
    }

    /// Removes the values of all queues.
    pub(crate) fn reset(&self) {
        self.runs.reset();
        self.under_high.reset();
        self.median_ratio.reset();
    }

    /// Sets the values of one queue.
    pub(crate) fn set(&self, pool: &str, queue: &str, accuracy: Accuracy) {
        let labels = [pool, queue];
        self.runs
            .with_label_values(&labels)
            .set(accuracy.runs as i64);
        self.under_high
            .with_label_values(&labels)
            .set(accuracy.under_high);
        self.median_ratio
            .with_label_values(&labels)
            .set(accuracy.median_ratio);
    }
}
