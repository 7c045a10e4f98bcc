/// Follows a pool's demand over minutes, so that bursts of seconds do not count.
///
/// The value rises over about two minutes and falls over about ten, so an instance that was given
/// is not taken back between two bursts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sustained {
    slots: f64,
    observed_ms: Option<u64>,
}

const RISE_MS: f64 = 120_000.0;
const FALL_MS: f64 = 600_000.0;

impl Sustained {
    /// Takes in the slots that the pool's requests use or wait for.
    pub fn observe(&mut self, wall_ms: u64, slots: f64) {
        let Some(observed_ms) = self.observed_ms.replace(wall_ms) else {
            self.slots = slots;
            return;
        };
        let elapsed_ms = wall_ms.saturating_sub(observed_ms) as f64;
        let time_ms = if slots > self.slots { RISE_MS } else { FALL_MS };
        let part = 1.0 - (-elapsed_ms / time_ms).exp();
        self.slots += part * (slots - self.slots);
    }

    /// Returns the sustained number of slots.
    pub fn slots(&self) -> f64 {
        self.slots
    }
}
