use super::estimator::{Expectation, MAX_QUEUES};
use super::residuals::Residuals;
use std::collections::BTreeMap;
use std::time::Duration;

/// The shortest time between two log lines about a queue.
const LINE_INTERVAL: Duration = Duration::from_secs(10);
/// The counts of recent runs are halved when they reach this, so that a share tells of the last few
/// hundred runs.
const MAX_RECENT: u32 = 512;

/// How the forecasts of a queue's recent runs compare with the durations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accuracy {
    /// The number of runs in this term that were compared.
    pub runs: u64,
    /// The share of recent runs that ended within the high quantile.
    pub under_high: f64,
    /// The median ratio of duration to expected duration of recent runs.
    pub median_ratio: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Score {
    runs: u64,
    recent: u32,
    recent_under: u32,
    ratios: Residuals,
    logged_at: Option<Duration>,
}

impl Score {
    fn accuracy(&self) -> Accuracy {
        let median = self.ratios.quantile(0.5, &Residuals::default(), 0.0);
        Accuracy {
            runs: self.runs,
            under_high: f64::from(self.recent_under) / f64::from(self.recent.max(1)),
            median_ratio: f64::from(median).exp(),
        }
    }
}

/// Compares forecasts with durations, by queue.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct Scores {
    queues: BTreeMap<String, Score>,
}

impl Scores {
    /// Compares the forecast of a run with its duration and returns what is to be logged about the
    /// queue, if a line is due.
    pub(super) fn compare(
        &mut self,
        queue: &str,
        forecast: &Expectation,
        ms: f64,
        now: Duration,
    ) -> Option<Accuracy> {
        if forecast.expected_ms <= 0.0 {
            return None;
        }
        if !self.queues.contains_key(queue) {
            if self.queues.len() >= MAX_QUEUES {
                return None;
            }
            self.queues.insert(queue.to_owned(), Score::default());
        }
        let score = self.queues.get_mut(queue)?;
        score.runs += 1;
        score.recent += 1;
        score.recent_under += u32::from(ms <= forecast.high_ms);
        if score.recent >= MAX_RECENT {
            score.recent /= 2;
            score.recent_under /= 2;
        }
        score.ratios.add((ms / forecast.expected_ms).ln() as f32);
        let is_due = match score.logged_at {
            Some(at) => now.saturating_sub(at) >= LINE_INTERVAL,
            // The first line tells of more than the first run.
            None => {
                score.logged_at = Some(now);
                false
            }
        };
        is_due.then(|| {
            score.logged_at = Some(now);
            score.accuracy()
        })
    }

    pub(super) fn accuracies(&self) -> impl Iterator<Item = (&str, Accuracy)> {
        let queues = self.queues.iter();
        queues.map(|(queue, score)| (queue.as_str(), score.accuracy()))
    }
}
