use super::Stamp;
use crate::{Kind, Record};
use hyssop_model::clock::Clock;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

/// Writes events to the log and keeps the newest ones.
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
    stamp: Stamp,
    sequence: u64,
    ring: VecDeque<Record>,
}

impl Recorder {
    /// The number of events that are kept.
    pub const CAPACITY: usize = 8192;

    /// Makes the recorder of `process`.
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
        let record = self.keep(kind, fields);
        log::info!("event={kind}{}", record.pairs());
    }

    /// Records an event that is too frequent for the log.
    pub fn record_quietly(&self, kind: Kind, fields: &[(&str, &dyn std::fmt::Display)]) {
        self.keep(kind, fields);
    }

    /// Returns a stamp for a frame to another process.
    pub fn stamp(&self) -> u64 {
        let wall = self.wall_us();
        self.lock().stamp.next(wall)
    }

    /// Takes in the stamp of another process's frame.
    pub fn observe(&self, stamp: u64) {
        self.lock().stamp.observe(stamp);
    }

    /// Returns the kept events whose sequence is above `after`.
    pub fn after(&self, after: u64) -> Vec<Record> {
        let state = self.lock();
        let newer = state.ring.iter().filter(|record| record.sequence > after);
        newer.cloned().collect()
    }

    fn keep(&self, kind: Kind, fields: &[(&str, &dyn std::fmt::Display)]) -> Record {
        let wall = self.wall_us();
        let fields = fields
            .iter()
            .map(|(key, value)| ((*key).to_owned(), value.to_string()));
        let fields = fields.collect();
        let mut state = self.lock();
        state.sequence += 1;
        let record = Record {
            stamp: state.stamp.next(wall),
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
