use prometheus::IntCounterVec;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The most entries that are remembered as rejected, which bounds memory; more are counted and logged
/// each time they are read.
const MAX_KNOWN: usize = 1_000;
/// The most log lines in [`LINE_INTERVAL`]: other writers may change an entry several times a second.
const MAX_LINES: u32 = 10;
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The rejected entries of followed lists, each counted and logged once for each change.
#[derive(Clone)]
pub(crate) struct Rejections {
    counter: IntCounterVec,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    /// The hash of each rejected entry's bytes, by list and key.
    known: RefCell<BTreeMap<(&'static str, String), u64>>,
    interval_start: Cell<Duration>,
    lines: Cell<u32>,
    suppressed: Cell<u64>,
}

impl Rejections {
    pub(super) fn new(counter: IntCounterVec) -> Self {
        Self {
            counter,
            state: Rc::default(),
        }
    }

    /// Counts and logs an entry that was rejected, unless the same bytes were rejected before.
    pub(crate) fn reject(&self, list: &'static str, key: &str, bytes: &[u8], now: Duration) {
        self.reject_parts(list, key, bytes, 1, now);
    }

    /// Counts and logs `count` parts of an entry that were rejected, unless the same bytes were
    /// rejected before.
    pub(crate) fn reject_parts(
        &self,
        list: &'static str,
        key: &str,
        bytes: &[u8],
        count: usize,
        now: Duration,
    ) {
        let hash = xxh3_64(bytes);
        let known = &mut *self.state.known.borrow_mut();
        let name = (list, key.to_owned());
        if known.get(&name) == Some(&hash) {
            return;
        }
        if known.len() < MAX_KNOWN || known.contains_key(&name) {
            known.insert(name, hash);
        }
        self.counter.with_label_values(&[list]).inc_by(count as u64);
        if !self.may_log(now) {
            self.state.suppressed.set(self.state.suppressed.get() + 1);
            return;
        }
        let suppressed = self.state.suppressed.take();
        // The key may hold any characters, so it is quoted and escaped.
        log::warn!(
            "event=entry-rejected list={list} key={key:?} bytes={} parts={count} \
             suppressed={suppressed}",
            bytes.len()
        );
    }

    /// Records that an entry is valid or gone, so that it is logged again if it is rejected later.
    pub(crate) fn accept(&self, list: &'static str, key: &str) {
        let known = &mut *self.state.known.borrow_mut();
        if !known.is_empty() {
            known.remove(&(list, key.to_owned()));
        }
    }

    /// Returns whether there is room for a line in the current interval, and takes it.
    fn may_log(&self, now: Duration) -> bool {
        let state = &self.state;
        if now.saturating_sub(state.interval_start.get()) >= LINE_INTERVAL {
            state.interval_start.set(now);
            state.lines.set(0);
        }
        let may_log = state.lines.get() < MAX_LINES;
        state.lines.set(state.lines.get() + u32::from(may_log));
        may_log
    }
}
