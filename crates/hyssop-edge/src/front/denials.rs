use prometheus::IntCounterVec;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Callers without a valid key may be many, so a line a second is logged for each reason.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The denied requests, all of them counted and some logged, by reason.
pub(crate) struct Denials {
    counter: IntCounterVec,
    lines: RefCell<BTreeMap<String, Line>>,
}

/// The last log line for a reason.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    logged_at: Option<Duration>,
    /// The number of denials since then that were not logged.
    suppressed: u64,
}

impl Denials {
    pub(crate) fn new(counter: IntCounterVec) -> Self {
        Self {
            counter,
            lines: RefCell::default(),
        }
    }

    /// Counts a denial, and logs it with `details` unless one was logged for `reason` within the last
    /// second. `reason` must be one of a fixed set.
    pub(crate) fn record(&self, reason: &str, now: Duration, details: impl FnOnce() -> String) {
        self.counter.with_label_values(&[reason]).inc();
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(reason.to_owned()).or_default();
        let is_recent = |at: Duration| now.saturating_sub(at) < LINE_INTERVAL;
        if line.logged_at.is_some_and(is_recent) {
            line.suppressed += 1;
            return;
        }
        let suppressed = std::mem::take(&mut line.suppressed);
        line.logged_at = Some(now);
        log::warn!(
            "event=request-denied reason={reason} {} suppressed={suppressed}",
            details()
        );
    }
}
