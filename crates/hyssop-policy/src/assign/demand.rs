/// Follows a pool's demand over minutes, so that bursts of seconds do not count.
///
/// This is a moving mean over about two minutes. It must not follow rises faster than falls: a
/// queue that bursts for seconds would then count as if it always did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sustained {
    slots: f64,
    observed_ms: Option<u64>,
}

const MEAN_MS: f64 = 120_000.0;

impl Sustained {
    /// Takes in the slots that the pool's requests use or wait for.
    pub fn observe(&mut self, wall_ms: u64, slots: f64) {
        let Some(observed_ms) = self.observed_ms.replace(wall_ms) else {
            return;
        };
        let elapsed_ms = wall_ms.saturating_sub(observed_ms) as f64;
        let part = 1.0 - (-elapsed_ms / MEAN_MS).exp();
        self.slots += part * (slots - self.slots);
    }

    /// Returns the sustained number of slots.
    pub fn slots(&self) -> f64 {
        self.slots
    }
}
