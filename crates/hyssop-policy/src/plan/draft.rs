use hyssop_model::instance::{Cause, State};
use hyssop_model::intent::{Phase, Wave};
use hyssop_model::pool::{self, Ticket};
use hyssop_model::prelude::*;

/// Is something that a step did or could not do, for the time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// An instance was taken into a pool.
    Registered {
        /// The instance.
        instance: String,
        /// The pool.
        pool: String,
    },
    /// A disruption began.
    Draining {
        /// The instance.
        instance: String,
        /// Why.
        cause: Cause,
    },
    /// A drain is complete.
    Drained {
        /// The instance.
        instance: String,
    },
    /// An instance serves again, or serves another pool.
    Serving {
        /// The instance.
        instance: String,
        /// The pool.
        pool: String,
    },
    /// A disruption waits.
    Waits {
        /// The instance.
        instance: String,
        /// Why it waits.
        reason: String,
    },
    /// A wave ended.
    WaveDone,
}

/// Holds the rows that a step works on, and which of them it changed.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// The instance rows by name.
    pub instances: BTreeMap<String, instance::Record>,
    /// The pool rows by name.
    pub pools: BTreeMap<String, pool::Record>,
    /// The instances that each pool's sustained demand keeps busy, for which no disruption is
    /// permitted.
    pub busy: BTreeMap<String, u32>,
    /// The names of the changed instance rows.
    pub changed_instances: BTreeSet<String>,
    /// The names of the changed pool rows.
    pub changed_pools: BTreeSet<String>,
    /// The wave, when it changed.
    pub changed_wave: Option<Wave>,
    /// The instances that the platform is to reboot.
    pub reboots: BTreeSet<String>,
    /// What happened.
    pub notes: Vec<Note>,
}

impl Draft {
    /// Starts from the rows as they were read.
    pub fn new(
        instances: BTreeMap<String, instance::Record>,
        pools: BTreeMap<String, pool::Record>,
    ) -> Self {
        Self {
            instances,
            pools,
            ..Self::default()
        }
    }

    /// Tells whether no row changed.
    pub fn is_unchanged(&self) -> bool {
        self.changed_instances.is_empty()
            && self.changed_pools.is_empty()
            && self.changed_wave.is_none()
    }

    /// Returns the instances of `pool`.
    pub fn of_pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a instance::Record> {
        self.instances
            .values()
            .filter(move |record| record.pool == pool)
    }

    /// Adds an instance that no pool had.
    pub fn register(&mut self, record: instance::Record) {
        self.notes.push(Note::Registered {
            instance: record.name.clone(),
            pool: record.pool.clone(),
        });
        self.changed_instances.insert(record.name.clone());
        self.instances.insert(record.name.clone(), record);
    }

    /// Begins a disruption: the ticket and the instance's state change together.
    pub fn drain(&mut self, name: &str, cause: Cause, moving_to: Option<String>, wall_ms: u64) {
        let Some(record) = self.instances.get_mut(name) else {
            return;
        };
        record.state = State::Draining;
        record.cause = Some(cause);
        record.moving_to = moving_to;
        let ticket = Ticket {
            reason: cause.to_string(),
            granted_ms: wall_ms,
        };
        let pool = record.pool.clone();
        self.pools
            .entry(pool.clone())
            .or_default()
            .tickets
            .insert(name.to_owned(), ticket);
        self.changed_pools.insert(pool);
        self.changed_instances.insert(name.to_owned());
        self.notes.push(Note::Draining {
            instance: name.to_owned(),
            cause,
        });
    }

    /// Notes that a drained instance holds no work.
    pub fn take_out(&mut self, name: &str, boots: u64) {
        if let Some(record) = self.instances.get_mut(name) {
            record.state = State::Out;
            record.boots = boots;
            self.changed_instances.insert(name.to_owned());
            self.notes.push(Note::Drained {
                instance: name.to_owned(),
            });
        }
    }

    /// Puts an instance into service, in the pool that it moves to if it moves.
    pub fn serve(&mut self, name: &str, maintained_ms: Option<u64>) {
        let Some(record) = self.instances.get_mut(name) else {
            return;
        };
        let old_pool = record.pool.clone();
        if let Some(pool) = record.moving_to.take() {
            record.pool = pool;
        }
        record.state = State::Serving;
        record.cause = None;
        record.maintained_ms = maintained_ms.unwrap_or(record.maintained_ms);
        let pool = record.pool.clone();
        if let Some(row) = self.pools.get_mut(&old_pool) {
            row.tickets.remove(name);
            self.changed_pools.insert(old_pool);
        }
        self.changed_instances.insert(name.to_owned());
        self.notes.push(Note::Serving {
            instance: name.to_owned(),
            pool,
        });
    }

    /// Ends a wave.
    pub fn finish_wave(&mut self, wave: &Wave) {
        let mut wave = wave.clone();
        wave.phase = Phase::Done;
        self.changed_wave = Some(wave);
        self.notes.push(Note::WaveDone);
    }

    /// Notes that a disruption waits.
    pub fn wait(&mut self, name: &str, reason: String) {
        self.notes.push(Note::Waits {
            instance: name.to_owned(),
            reason,
        });
    }
}
