/// The weights of the estimator. The defaults are within a few hundredths of the lowest errors on each load
/// of the table of docs/design/18-expected-durations.md.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// The number of runs that determine most of an image's mean. A smaller one follows an image that
    /// changes sooner, and varies more.
    pub image_window: f32,
    /// The same of a queue, which changes as slowly as its mixture of images.
    pub queue_window: f32,
    /// The number of runs of an image that count as much as the forecast of its queue.
    pub queue_weight: f32,
    /// The number of runs of a queue that count as much as the caller's estimate.
    pub estimate_weight: f32,
    /// The share of runs that end within the high quantile.
    pub high: f32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            image_window: 32.0,
            queue_window: 200.0,
            queue_weight: 0.5,
            estimate_weight: 20.0,
            high: 0.95,
        }
    }
}
