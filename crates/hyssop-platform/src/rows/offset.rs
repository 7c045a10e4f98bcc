use std::time::Duration;

/// The largest forward step between two answers that counts as a difference of the clocks' rates; a
/// larger one is a change of the store's clock.
const MAX_DRIFT_MS: i64 = 100;
/// The longest time between two answers over which the clocks stay together: at 1,000 parts in a
/// million they drift apart by less than [`MAX_DRIFT_MS`].
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// The most that the store's clock may be ahead of this process's.
///
/// A time of the store that is mapped with it is never later on this process's clock than it was, up
/// to the drift of the clocks and the fastest response of the last [`MAX_PAUSE`]. In particular, an
/// answer that was read long after it was sent, since the process was frozen or its instance suspended,
/// makes nothing look more recent: the bound follows from when its call was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offset {
    ahead_ms: Option<i64>,
    observed_at: Duration,
}

impl Offset {
    /// Records that a call sent at `sent_at` was answered with the time `store_ms`, and that the answer
    /// was read at `read_at`; so the store's clock showed that time in between.
    pub fn observe(&mut self, store_ms: i64, sent_at: Duration, read_at: Duration) {
        let ms = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        // Both clocks are cut off to whole milliseconds.
        let most = store_ms.saturating_sub(ms(sent_at)).saturating_add(1);
        let least = store_ms.saturating_sub(ms(read_at)).saturating_sub(1);
        let is_recent = sent_at <= self.observed_at + MAX_PAUSE;
        let known = self.ahead_ms.filter(|_| is_recent).unwrap_or(most);
        let behind = least.saturating_sub(known);
        let ahead = match behind {
            ..=0 => known.min(most),
            1..=MAX_DRIFT_MS => least,
            _ => most,
        };
        self.ahead_ms = Some(ahead);
        self.observed_at = read_at;
    }

    /// Returns the earliest time on this process's clock at which the store's may have shown `store_ms`,
    /// `None` before the first answer.
    pub fn earliest(&self, store_ms: i64) -> Option<Duration> {
        let ms = store_ms.saturating_sub(self.ahead_ms?);
        Some(Duration::from_millis(ms.max(0) as u64))
    }
}
