/// The number of buckets.
pub(super) const BUCKETS: usize = 20;
/// The width of a bucket in the logarithm: a factor of the square root of two, which is finer than
/// forecasts of tasks that vary by half are exact.
const WIDTH: f32 = std::f32::consts::LN_2 / 2.0;
/// The lower bound of the first bucket in the logarithm, a factor of 1/8. Only high quantiles are
/// asked for, so most buckets are above 1; the last one ends at a factor of 128.
const FLOOR: f32 = -3.0 * std::f32::consts::LN_2;
/// All counts are halved when they add up to this, so that the newest few dozen runs determine the
/// distribution.
const MAX_TOTAL: u32 = 96;

/// A histogram of the logarithms of ratios of durations to forecasts, of a fixed size of some bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Residuals {
    pub(super) counts: [u8; BUCKETS],
}

fn bucket(residual: f32) -> usize {
    (((residual - FLOOR) / WIDTH).max(0.0) as usize).min(BUCKETS - 1)
}

impl Residuals {
    /// Creates the histogram that stands for what is not known: durations between a quarter and four
    /// times the forecast, as callers' estimates are off.
    pub(super) fn unknown() -> Self {
        let mut counts = [0; BUCKETS];
        counts[2..10].copy_from_slice(&[1, 2, 3, 4, 4, 3, 2, 1]);
        Self { counts }
    }

    pub(super) fn total(&self) -> u32 {
        self.counts.iter().map(|count| u32::from(*count)).sum()
    }

    pub(super) fn add(&mut self, residual: f32) {
        let count = &mut self.counts[bucket(residual)];
        *count = count.saturating_add(1);
        if self.total() >= MAX_TOTAL {
            self.counts.iter_mut().for_each(|count| *count /= 2);
        }
    }

    pub(super) fn remove(&mut self, residual: f32) {
        let count = &mut self.counts[bucket(residual)];
        *count = count.saturating_sub(1);
    }

    /// Returns the quantile `share` of these residuals, together with `prior`, which counts like
    /// `weight` of them.
    pub(super) fn quantile(&self, share: f32, prior: &Self, weight: f32) -> f32 {
        let prior_total = prior.total() as f32;
        let scale = if prior_total > 0.0 {
            weight / prior_total
        } else {
            0.0
        };
        let total = self.total() as f32 + scale * prior_total;
        let mut left = share * total;
        for (number, (own, other)) in self.counts.iter().zip(&prior.counts).enumerate() {
            let count = f32::from(*own) + scale * f32::from(*other);
            if count > 0.0 && left <= count {
                return FLOOR + WIDTH * (number as f32 + left / count);
            }
            left -= count;
        }
        FLOOR + WIDTH * BUCKETS as f32
    }
}
