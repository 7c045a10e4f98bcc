/// The bound of the logarithms of durations in milliseconds, some weeks.
pub(super) const MAX_LOGARITHM: f32 = 22.5;

/// The means, variance and covariance of the logarithms of estimates (`x`) and durations (`y`) of a
/// stream of runs, in which each run counts less the more follow it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Moments {
    /// The number of runs, at most the window over which they are averaged.
    pub(super) runs: f32,
    pub(super) x: f32,
    pub(super) y: f32,
    pub(super) xx: f32,
    pub(super) xy: f32,
}

impl Moments {
    /// Adds a run, of which `y` may have been limited by the caller. `window` is the number of runs
    /// that determine most of the means.
    pub(super) fn add(&mut self, x: f32, y: f32, window: f32) {
        self.runs = (self.runs + 1.0).min(window);
        let weight = 1.0 / self.runs;
        let (dx, dy) = (x - self.x, y - self.y);
        self.x += weight * dx;
        self.y += weight * dy;
        self.xx = (1.0 - weight) * (self.xx + weight * dx * dx);
        self.xy = (1.0 - weight) * (self.xy + weight * dx * dy);
    }

    /// Moves the mean of the durations as if the last run had taken `by` longer.
    pub(super) fn shift(&mut self, by: f32) {
        let shifted = self.y + by / self.runs.max(1.0);
        self.y = shifted.clamp(0.0, MAX_LOGARITHM);
    }

    /// Returns the slope of the durations over the estimates, in which `prior` counts like `weight`
    /// runs of unit variance.
    pub(super) fn slope(&self, prior: f32, weight: f32) -> f32 {
        let slope = (self.xy * self.runs + prior * weight) / (self.xx * self.runs + weight);
        slope.clamp(0.0, 1.0)
    }
}
