/// A pool's demand, averaged over minutes so that bursts of seconds do not count.
///
/// An exponential moving average with a time constant of two minutes. It rises as slowly as it
/// falls: otherwise a queue with bursts of seconds would count as constantly busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SustainedDemand {
    slots: f64,
    observed_ms: Option<u64>,
}

const TIME_CONSTANT_MS: f64 = 120_000.0;

impl SustainedDemand {
    /// Records the number of slots that the pool's requests use or wait for.
    pub fn observe(&mut self, wall_ms: u64, slots: f64) {
        let Some(observed_ms) = self.observed_ms.replace(wall_ms) else {
            return;
        };
        let elapsed_ms = wall_ms.saturating_sub(observed_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.slots += weight * (slots - self.slots);
    }

    /// Returns the sustained number of slots.
    pub fn slots(&self) -> f64 {
        self.slots
    }
}
