use super::HybridClock;
use crate::{Kind, Record};
use hyssop_model::clock::Clock;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

/// A recorder that logs events and keeps the newest ones in a ring buffer.
#[derive(Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

struct Shared {
    process: String,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    hybrid_clock: HybridClock,
    sequence: u64,
    ring: VecDeque<Record>,
}

impl Recorder {
    /// The maximum number of events kept.
    pub const CAPACITY: usize = 8192;

    /// Creates the recorder of `process`.
    pub fn new(process: &str, clock: Arc<dyn Clock>) -> Self {
        Self {
            shared: Arc::new(Shared {
                process: process.to_owned(),
                clock,
                state: Mutex::default(),
            }),
        }
    }

    /// Records an event and writes its log line.
    pub fn record(&self, kind: Kind, fields: &[(&str, &dyn std::fmt::Display)]) {
        let record = self.append(kind, fields);
        log::info!("event={kind}{}", record.pairs());
    }

    /// Records an event without logging it, because it is too frequent for the log.
    pub fn record_unlogged(&self, kind: Kind, fields: &[(&str, &dyn std::fmt::Display)]) {
        self.append(kind, fields);
    }

    /// Returns a new timestamp for a frame to another process.
    pub fn stamp(&self) -> u64 {
        let wall = self.wall_us();
        self.lock().hybrid_clock.next(wall)
    }

    /// Advances the clock past the timestamp of a frame from another process.
    pub fn observe(&self, stamp: u64) {
        self.lock().hybrid_clock.observe(stamp);
    }

    /// Returns the kept events with a sequence number above `after`.
    pub fn after(&self, after: u64) -> Vec<Record> {
        let state = self.lock();
        let newer = state.ring.iter().filter(|record| record.sequence > after);
        newer.cloned().collect()
    }

    fn append(&self, kind: Kind, fields: &[(&str, &dyn std::fmt::Display)]) -> Record {
        let wall = self.wall_us();
        let fields = fields
            .iter()
            .map(|(key, value)| ((*key).to_owned(), value.to_string()));
        let fields = fields.collect();
        let mut state = self.lock();
        state.sequence += 1;
        let record = Record {
            stamp: state.hybrid_clock.next(wall),
            sequence: state.sequence,
            process: self.shared.process.clone(),
            kind,
            fields,
        };
        if state.ring.len() == Self::CAPACITY {
            state.ring.pop_front();
        }
        state.ring.push_back(record.clone());
        record
    }

    fn wall_us(&self) -> u64 {
        let elapsed = self
            .shared
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
