use super::Task;
use hdrhistogram::Histogram;
use hyssop_policy::owner::learning::{Estimator, Place, Tuning};
use std::collections::BTreeMap;

/// A way to forecast durations.
pub trait Alternative {
    /// Returns the expected duration and a high quantile of it.
    fn forecast(&self, task: &Task) -> (f64, f64);
    fn observe(&mut self, task: &Task, bound_ms: Option<f64>, place: Place);
    /// Teaches that a run takes at least `ms`; returns whether that was learned.
    fn observe_bound(&mut self, _: &Task, _: f64, _: Option<f64>, _: Place) -> bool {
        false
    }
}

/// The caller's estimate alone.
struct Estimate;

impl Alternative for Estimate {
    fn forecast(&self, task: &Task) -> (f64, f64) {
        (task.estimate_ms as f64, task.estimate_ms as f64)
    }

    fn observe(&mut self, _: &Task, _: Option<f64>, _: Place) {}
}

/// The median of the durations from which the task's was drawn, which no estimator can know better.
struct Known;

impl Alternative for Known {
    fn forecast(&self, task: &Task) -> (f64, f64) {
        (task.typical_ms, task.typical_ms)
    }

    fn observe(&mut self, _: &Task, _: Option<f64>, _: Place) {}
}

/// What is averaged.
#[derive(Clone, Copy)]
enum Measure {
    Ratio,
    Duration,
    LogDuration,
}

/// A moving average by queue or by image, which starts with the caller's estimate.
struct Average {
    by_image: bool,
    measure: Measure,
    /// The smallest weight of one run.
    weight: f64,
    bounds: (f64, f64),
    known: BTreeMap<String, (f64, f64)>,
}

impl Average {
    fn new(by_image: bool, measure: Measure) -> Self {
        Self {
            by_image,
            measure,
            weight: 1.0 / 32.0,
            bounds: (0.0, f64::MAX),
            known: BTreeMap::new(),
        }
    }

    fn key<'a>(&self, task: &'a Task) -> &'a String {
        if self.by_image {
            &task.image
        } else {
            &task.queue
        }
    }
}

impl Alternative for Average {
    fn forecast(&self, task: &Task) -> (f64, f64) {
        let estimate = task.estimate_ms as f64;
        let expected = match (self.known.get(self.key(task)), self.measure) {
            (None, _) => estimate,
            (Some((_, mean)), Measure::Ratio) => estimate * mean,
            (Some((_, mean)), Measure::Duration) => *mean,
            (Some((_, mean)), Measure::LogDuration) => mean.exp(),
        };
        (expected, expected)
    }

    fn observe(&mut self, task: &Task, _: Option<f64>, _: Place) {
        let value = match self.measure {
            Measure::Ratio => {
                (task.ms / task.estimate_ms as f64).clamp(self.bounds.0, self.bounds.1)
            }
            Measure::Duration => task.ms,
            Measure::LogDuration => task.ms.ln(),
        };
        let key = self.key(task).clone();
        let weight = self.weight;
        // The ratio of today starts at 1 and moves by a constant weight.
        let first = if weight == TODAY_WEIGHT { 1e9 } else { 0.0 };
        let (runs, mean) = self.known.entry(key).or_insert((first, 1.0));
        *runs += 1.0;
        *mean += (value - *mean) * weight.max(1.0 / *runs);
    }
}

const TODAY_WEIGHT: f64 = 0.05;

/// Median and 95th percentile of a histogram of the library for each image, without decay.
#[derive(Default)]
struct Quantiles {
    known: BTreeMap<String, Histogram<u16>>,
}

impl Alternative for Quantiles {
    fn forecast(&self, task: &Task) -> (f64, f64) {
        let estimate = task.estimate_ms as f64;
        let of_image = self.known.get(&task.image);
        of_image.map_or((estimate, estimate), |h| {
            let at = |share| h.value_at_quantile(share) as f64;
            (at(0.5), at(0.95))
        })
    }

    fn observe(&mut self, task: &Task, _: Option<f64>, _: Place) {
        let histogram = self
            .known
            .entry(task.image.clone())
            .or_insert_with(|| Histogram::new_with_bounds(1, 3_600_000, 1).expect("valid bounds"));
        histogram.saturating_record(task.ms as u64);
    }
}

impl Alternative for Estimator {
    fn forecast(&self, task: &Task) -> (f64, f64) {
        let expectation = self.expectation(task.kind());
        (expectation.expected_ms, expectation.high_ms)
    }

    fn observe(&mut self, task: &Task, bound_ms: Option<f64>, place: Place) {
        Self::observe(self, task.kind(), task.ms, bound_ms, place);
    }

    fn observe_bound(&mut self, task: &Task, ms: f64, bound: Option<f64>, place: Place) -> bool {
        Self::observe_bound(self, task.kind(), ms, bound, place)
    }
}

/// The chosen estimator, taught only by runs that have ended.
struct WithoutBounds(Estimator);

impl Alternative for WithoutBounds {
    fn forecast(&self, task: &Task) -> (f64, f64) {
        self.0.forecast(task)
    }

    fn observe(&mut self, task: &Task, _: Option<f64>, place: Place) {
        Alternative::observe(&mut self.0, task, None, place);
    }
}

pub const BEFORE: &str = "ratio by queue (before)";
pub const CHOSEN: &str = "chosen";

/// Returns the alternatives with their names.
pub fn alternatives() -> Vec<(String, Box<dyn Alternative>)> {
    let today = Average {
        weight: TODAY_WEIGHT,
        bounds: (0.2, 4.0),
        ..Average::new(false, Measure::Ratio)
    };
    let mut all: Vec<(String, Box<dyn Alternative>)> = vec![
        ("drawn median".into(), Box::new(Known)),
        ("caller's estimate".into(), Box::new(Estimate)),
        (BEFORE.into(), Box::new(today)),
        (
            "ratio by image".into(),
            Box::new(Average::new(true, Measure::Ratio)),
        ),
        (
            "mean by image".into(),
            Box::new(Average::new(true, Measure::Duration)),
        ),
        (
            "log mean by image".into(),
            Box::new(Average::new(true, Measure::LogDuration)),
        ),
        (
            "hdrhistogram by image".into(),
            Box::new(Quantiles::default()),
        ),
    ];
    let tuned = |change: fn(&mut Tuning)| {
        let mut tuning = Tuning::default();
        change(&mut tuning);
        Box::new(Estimator::new(tuning))
    };
    all.push(("chosen, window 8".into(), tuned(|t| t.image_window = 8.0)));
    all.push(("chosen, window 16".into(), tuned(|t| t.image_window = 16.0)));
    all.push(("chosen, window 64".into(), tuned(|t| t.image_window = 64.0)));
    all.push(("chosen, no decay".into(), tuned(|t| t.image_window = 1e9)));
    all.push((
        "chosen, queue weight 0.25".into(),
        tuned(|t| t.queue_weight = 0.25),
    ));
    all.push((
        "chosen, queue weight 1".into(),
        tuned(|t| t.queue_weight = 1.0),
    ));
    all.push((
        "chosen, queue weight 4".into(),
        tuned(|t| t.queue_weight = 4.0),
    ));
    all.push((
        "chosen, estimate weight 5".into(),
        tuned(|t| t.estimate_weight = 5.0),
    ));
    all.push((
        "chosen, estimate weight 60".into(),
        tuned(|t| t.estimate_weight = 60.0),
    ));
    all.push((
        "chosen, no lower bounds".into(),
        Box::new(WithoutBounds(Estimator::default())),
    ));
    all.push((CHOSEN.into(), tuned(|_| ())));
    all
}
