use super::residuals::Residuals;
use super::track::Track;
use super::Tuning;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The most images of a pool that are remembered. Each takes about 130 bytes with its map entry, so
/// that ten pools of one process take 1.4 MB.
pub(super) const MAX_IMAGES: usize = 1_024;
/// The images that are forgotten at once when there are too many: the search for the least recently
/// used ones then costs a few steps for each new image.
const EVICTED: usize = MAX_IMAGES / 4;
/// The most queues of a pool that are learned about; operators configure fewer.
pub(super) const MAX_QUEUES: usize = 256;
/// The weight of the prior slope of durations over estimates, in runs of unit variance.
const SLOPE_WEIGHT: f32 = 1.0;
/// The same for one image, whose prior is the slope within all images of its queue.
const IMAGE_SLOPE_WEIGHT: f32 = 4.0;
/// The share of earlier runs in the sums of variances within images that one run leaves.
const WITHIN_DECAY: f32 = 0.995;
/// The number of residuals of an image that count as much as those of its queue for a quantile.
const QUANTILE_WEIGHT: f32 = 8.0;
/// The longest duration that is told apart, and expected unless the caller says so, in milliseconds:
/// some weeks. Callers may estimate any number.
const MAX_MS: f64 = 4e9;

/// What a task's duration is expected from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind<'a> {
    /// The queue's name.
    pub queue: &'a str,
    /// The image; empty if it is not known.
    pub image: &'a str,
    /// The caller's estimate in milliseconds, 0 for none.
    pub estimate_ms: u64,
}

/// How long a task is expected to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expectation {
    /// The expected duration in milliseconds; half of the runs take less.
    pub expected_ms: f64,
    /// The duration in milliseconds within which [`Tuning::high`] of the runs end.
    pub high_ms: f64,
    /// The number of recent runs of the image from which this was learned, or of the queue if the
    /// step names no image; 0 if only the caller's estimate is known. It starts again at a few after a
    /// change of behaviour.
    pub runs: u32,
}

/// What a run has shown beside its duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// What was expected before the run was observed.
    pub expectation: Expectation,
    /// Whether runs of the image were long on several workers in a row, so that the image is the cause
    /// and not the worker.
    pub is_image_long: bool,
}

/// Where a run took place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The worker's number.
    pub worker: u32,
    /// Whether the worker is known as slow or failing. Its runs teach only if other workers' runs of
    /// the image are long as well.
    pub is_suspect: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Image {
    pub(super) track: Track,
    /// The number of the latest observation of it.
    pub(super) used: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Queue {
    pub(super) track: Track,
    /// The sums of variances and covariances of estimates and durations within images.
    pub(super) within_xx: f32,
    pub(super) within_xy: f32,
    /// The residuals of images that were known.
    pub(super) within: Residuals,
}

impl Queue {
    /// Returns the slope of durations over estimates among the runs of one image.
    fn within_slope(&self) -> f32 {
        let slope = (self.within_xy + SLOPE_WEIGHT) / (self.within_xx + SLOPE_WEIGHT);
        slope.clamp(0.0, 1.0)
    }
}

/// The logarithms of what is expected of a task.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    estimate: f32,
    queue: f32,
    image: f32,
}

/// Learns from finished runs how long the tasks of each image take.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    tuning: Tuning,
    pub(super) images: BTreeMap<u64, Image>,
    pub(super) queues: BTreeMap<String, Queue>,
    /// The number of runs that were observed.
    pub(in crate::owner) observations: u64,
    /// Kept for the search for the least recently used images.
    ages: Vec<u64>,
}

pub(super) fn image_key(image: &str) -> Option<u64> {
    (!image.is_empty()).then(|| xxh3_64(image.as_bytes()))
}

fn log_ms(ms: f64) -> f32 {
    ms.clamp(1.0, MAX_MS).ln() as f32
}

impl Estimator {
    /// Creates an estimator that knows nothing.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Returns the number of images that are remembered.
    pub fn image_count(&self) -> usize {
        self.images.len()
    }

    /// Returns how long a task is expected to take, without its high quantile.
    pub fn expected_ms(&self, kind: Kind<'_>) -> f64 {
        let image = image_key(kind.image).and_then(|key| self.images.get(&key));
        let forecast = self.forecast(kind, self.queues.get(kind.queue), image);
        forecast.map_or(0.0, |forecast| expected_ms(kind, forecast))
    }

    /// Returns how long a task is expected to take.
    pub fn expectation(&self, kind: Kind<'_>) -> Expectation {
        let key = image_key(kind.image);
        let image = key.and_then(|key| self.images.get(&key));
        let queue = self.queues.get(kind.queue);
        let Some(forecast) = self.forecast(kind, queue, image) else {
            return Expectation {
                expected_ms: 0.0,
                high_ms: 0.0,
                runs: 0,
            };
        };
        let expected_ms = expected_ms(kind, forecast);
        let unknown = Residuals::unknown();
        let high = self.tuning.high;
        let factor = match (image, queue) {
            (Some(image), Some(queue)) => {
                let prior = if queue.within.total() as f32 >= QUANTILE_WEIGHT {
                    &queue.within
                } else {
                    &unknown
                };
                image.track.residuals.quantile(high, prior, QUANTILE_WEIGHT)
            }
            (Some(image), None) => {
                let own = &image.track.residuals;
                own.quantile(high, &unknown, QUANTILE_WEIGHT)
            }
            (None, Some(queue)) => {
                let own = &queue.track.residuals;
                own.quantile(high, &unknown, QUANTILE_WEIGHT)
            }
            (None, None) => unknown.quantile(high, &unknown, QUANTILE_WEIGHT),
        };
        let track = match key {
            Some(_) => image.map(|image| &image.track),
            None => queue.map(|queue| &queue.track),
        };
        Expectation {
            expected_ms,
            high_ms: expected_ms * f64::from(factor.max(0.0)).exp(),
            runs: track.map_or(0, |track| track.moments.runs as u32),
        }
    }

    fn forecast(
        &self,
        kind: Kind<'_>,
        queue: Option<&Queue>,
        image: Option<&Image>,
    ) -> Option<Forecast> {
        let estimate = (kind.estimate_ms > 0).then(|| log_ms(kind.estimate_ms as f64));
        let of_queue = match (queue.map(|queue| &queue.track.moments), estimate) {
            (Some(known), Some(x)) => {
                let slope = known.slope(1.0, SLOPE_WEIGHT);
                let line = known.y + slope * (x - known.x);
                let weight = self.tuning.estimate_weight;
                Some(x + (line - x) * known.runs / (known.runs + weight))
            }
            (Some(known), None) => Some(known.y),
            (None, Some(x)) => Some(x),
            (None, None) => None,
        };
        let of_image = image.map(|image| {
            let known = &image.track.moments;
            let prior = queue.map_or(1.0, Queue::within_slope);
            let x = estimate.unwrap_or(known.x);
            let line = known.y + known.slope(prior, IMAGE_SLOPE_WEIGHT) * (x - known.x);
            match of_queue {
                Some(other) => {
                    let weight = self.tuning.queue_weight;
                    other + (line - other) * known.runs / (known.runs + weight)
                }
                None => line,
            }
        });
        let queue = of_queue.or(of_image)?;
        let image = of_image.unwrap_or(queue);
        Some(Forecast {
            estimate: estimate.unwrap_or(queue),
            queue,
            image,
        })
    }

    /// Learns from a run that took `ms` milliseconds, of which `bound_ms` had been observed as a lower
    /// bound.
    pub fn observe(
        &mut self,
        kind: Kind<'_>,
        ms: f64,
        bound_ms: Option<f64>,
        place: Place,
    ) -> Verdict {
        let expectation = self.expectation(kind);
        let y = log_ms(ms);
        let key = image_key(kind.image);
        let image = key.and_then(|key| self.images.get(&key)).copied();
        let queue = self.queues.get(kind.queue).copied();
        let forecast = self.forecast(kind, queue.as_ref(), image.as_ref());
        let forecast = forecast.unwrap_or(Forecast {
            estimate: y,
            queue: y,
            image: y,
        });
        let mut track = image.unwrap_or_default().track;
        let mut queue = queue.unwrap_or_default();
        let noted = if key.is_some() {
            track.note(y - forecast.image, place.worker)
        } else {
            queue.track.note(y - forecast.queue, place.worker)
        };
        let is_observed = !place.is_suspect || noted;
        if is_observed {
            let bound = bound_ms.map(log_ms);
            if key.is_some() {
                if track.moments.runs > 0.0 {
                    queue.learn_within(&track, y, forecast);
                }
                track.learn(
                    y,
                    bound,
                    forecast.estimate,
                    forecast.image,
                    self.tuning.image_window,
                );
            }
            let window = self.tuning.queue_window;
            queue
                .track
                .learn(y, bound, forecast.estimate, forecast.queue, window);
        }
        if let Some(known) = self.queues.get_mut(kind.queue) {
            *known = queue;
        } else if self.queues.len() < MAX_QUEUES {
            self.queues.insert(kind.queue.to_owned(), queue);
        }
        self.observations += 1;
        if let Some(key) = key {
            let used = self.observations;
            self.images.insert(key, Image { track, used });
            self.evict();
        }
        Verdict {
            expectation,
            is_image_long: noted,
        }
    }

    /// Learns that a run takes at least `ms` milliseconds, of which `bound_ms` had been observed before.
    ///
    /// Returns whether that was more than expected; a lower bound below tells nothing.
    pub fn observe_bound(
        &mut self,
        kind: Kind<'_>,
        ms: f64,
        bound_ms: Option<f64>,
        place: Place,
    ) -> bool {
        let expected_ms = self.expected_ms(kind);
        let is_longer = expected_ms > 0.0 && ms > expected_ms && bound_ms.is_none_or(|b| ms > b);
        if is_longer {
            self.observe(kind, ms, bound_ms, place);
        }
        is_longer
    }

    /// Forgets the least recently used images if there are too many.
    fn evict(&mut self) {
        if self.images.len() <= MAX_IMAGES {
            return;
        }
        self.ages.clear();
        self.ages
            .extend(self.images.values().map(|image| image.used));
        let (_, oldest_kept, _) = self.ages.select_nth_unstable(EVICTED);
        let oldest_kept = *oldest_kept;
        self.images.retain(|_, image| image.used >= oldest_kept);
    }
}

impl Track {
    fn learn(&mut self, y: f32, bound: Option<f32>, x: f32, forecast: f32, window: f32) {
        match bound {
            Some(bound) if self.moments.runs > 0.0 => self.replace(bound, y, forecast),
            _ => self.observe(x, y, forecast, window),
        }
    }
}

impl Queue {
    /// Adds a run of a known image to what is known of the variation within images.
    fn learn_within(&mut self, image: &Track, y: f32, forecast: Forecast) {
        let dx = forecast.estimate - image.moments.x;
        let dy = y - image.moments.y;
        // A change of the image's behaviour says nothing about the estimates.
        let dy = dy.clamp(-1.5, 1.5);
        self.within_xx = self.within_xx * WITHIN_DECAY + dx * dx;
        self.within_xy = self.within_xy * WITHIN_DECAY + dx * dy;
        self.within.add(y - forecast.image);
    }
}

fn expected_ms(kind: Kind<'_>, forecast: Forecast) -> f64 {
    if kind.estimate_ms == 0 {
        return f64::from(forecast.image).exp().min(MAX_MS);
    }
    // Exactly the estimate as long as nothing else is known.
    let estimate_ms = kind.estimate_ms as f64;
    let expected_ms = estimate_ms * f64::from(forecast.image - forecast.estimate).exp();
    expected_ms.min(MAX_MS.max(estimate_ms))
}
