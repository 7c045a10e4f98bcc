use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A rate over time, in steps.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// The steps in order, each with its length and its rate in requests per second.
    pub steps: Vec<(Duration, f64)>,
    /// Whether the steps repeat after the last one.
    pub is_repeated: bool,
}

impl Shape {
    /// Creates a constant rate.
    pub fn constant(per_second: f64) -> Self {
        const STEP: Duration = Duration::from_secs(3600);
        Self {
            steps: vec![(STEP, per_second)],
            is_repeated: true,
        }
    }

    /// Creates the rate of queue `index` of `count` queues that burst in turn: `peak` times `mean` for
    /// the duration of its own `burst`, and `rest` times `mean` during the bursts of the others.
    pub fn rotating(
        mean: f64,
        peak: f64,
        rest: f64,
        burst: Duration,
        index: usize,
        count: usize,
    ) -> Self {
        let steps = (0..count).map(|turn| {
            let factor = if turn == index { peak } else { rest };
            (burst, mean * factor)
        });
        Self {
            steps: steps.collect(),
            is_repeated: true,
        }
    }

    /// Draws arrival times of a Poisson process within `length`, seeded with `seed`.
    pub fn arrivals(&self, length: Duration, seed: u64) -> Vec<Duration> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut start = 0.0;
        let end = length.as_secs_f64();
        loop {
            for (step, rate) in &self.steps {
                let step_end = (start + step.as_secs_f64()).min(end);
                draw(&mut random, start, step_end, *rate, &mut arrivals);
                start = step_end;
                if start >= end {
                    return arrivals;
                }
            }
            if !self.is_repeated {
                return arrivals;
            }
        }
    }
}

fn draw(random: &mut ChaCha8Rng, start: f64, end: f64, rate: f64, arrivals: &mut Vec<Duration>) {
    if rate <= 0.0 {
        return;
    }
    let mut at = start;
    loop {
        let unit: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at -= unit.ln() / rate;
        if at >= end {
            return;
        }
        arrivals.push(Duration::from_secs_f64(at));
    }
}
