use super::moments::{Moments, MAX_LOGARITHM};
use super::residuals::Residuals;

/// A residual beyond this, in either direction, is one that few sound runs have: twice or half the
/// expected duration, or as many mean absolute residuals where runs vary by more.
const FAR: f32 = std::f32::consts::LN_2;
const FAR_SPREADS: f32 = 2.0;
/// The smallest limit of what one run adds to the mean; narrower ones would treat the usual spread of
/// tasks as outliers.
const MIN_LIMIT: f32 = std::f32::consts::LN_2;
/// The limit of what one run adds to the mean, in mean absolute residuals. A change of behaviour
/// raises the mean residual, so that the limit soon admits it.
const LIMIT_SPREADS: f32 = 3.0;
/// The runs before which no residual is limited, since the forecast may be off by any factor.
const FIRST_RUNS: f32 = 4.0;
/// The number of runs in a row that must be that far off, in one direction and, if they are long, each
/// on another worker than the one before, until the cause is taken to be the image and not the workers.
/// Of three sound runs of a spread of 0.5, one series in some thousands is.
const STREAK: i8 = 3;
/// The number of long runs in a row on one worker until the image is expected to take that long: it may
/// be one that no other worker can run.
const SAME_WORKER_STREAK: u8 = 16;

/// What is known of the runs of one image, or of all runs of one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Track {
    pub(super) moments: Moments,
    /// The mean absolute residual.
    pub(super) spread: f32,
    pub(super) residuals: Residuals,
    /// The worker of the last long run.
    pub(super) long_worker: u32,
    /// The number of long runs in a row.
    pub(super) long_runs: u8,
    /// The number of long runs in a row, each on another worker than the one before; of short ones if
    /// negative.
    pub(super) streak: i8,
}

impl Track {
    /// Notes a run's residual on a worker and returns whether the track's runs are long on several
    /// workers in a row, so that the worker isn't the cause.
    ///
    /// After such a streak, or one of short runs, earlier runs count for little.
    pub(super) fn note(&mut self, residual: f32, worker: u32) -> bool {
        let far = FAR.max(FAR_SPREADS * self.spread);
        if residual > far {
            if self.streak <= 0 {
                self.streak = 1;
            } else if self.long_worker != worker {
                self.streak = self.streak.saturating_add(1);
            }
            self.long_runs = self.long_runs.saturating_add(1);
            self.long_worker = worker;
        } else {
            self.streak = if residual < -far {
                self.streak.min(0).saturating_sub(1)
            } else {
                0
            };
            self.long_runs = 0;
        }
        let is_long = self.streak >= STREAK || self.long_runs >= SAME_WORKER_STREAK;
        if is_long || self.streak <= -STREAK {
            self.moments.runs = self.moments.runs.min(FIRST_RUNS - 1.0);
        }
        is_long
    }

    /// Adds a run with the logarithms `x` of its estimate, `y` of its duration and `forecast` of
    /// the duration that was expected. `window` is the number of runs that determine the mean.
    pub(super) fn observe(&mut self, x: f32, y: f32, forecast: f32, window: f32) {
        let residual = y - forecast;
        let limited = forecast + self.limited(residual);
        let limited = limited.clamp(0.0, MAX_LOGARITHM);
        self.moments.add(x, limited, window);
        self.spread += (residual.abs() - self.spread) / self.moments.runs;
        self.residuals.add(residual);
    }

    /// Replaces a lower bound of a run's duration that was observed by what is known now.
    pub(super) fn replace(&mut self, bound: f32, y: f32, forecast: f32) {
        let (before, after) = (bound - forecast, y - forecast);
        self.moments
            .shift(self.limited(after) - self.limited(before));
        self.residuals.remove(before);
        self.residuals.add(after);
    }

    fn limited(&self, residual: f32) -> f32 {
        if self.moments.runs < FIRST_RUNS {
            return residual;
        }
        let limit = (LIMIT_SPREADS * self.spread).max(MIN_LIMIT);
        residual.clamp(-limit, limit)
    }
}
