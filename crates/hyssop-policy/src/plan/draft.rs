use hyssop_model::instance::{Cause, State};
use hyssop_model::intent::{Phase, Wave};
use hyssop_model::pool::{self, Ticket};
use hyssop_model::prelude::*;

/// A change that a step made, or a disruption that it deferred, for the event log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new instance was registered in a pool.
    Registered {
        /// The instance.
        instance: String,
        /// The pool.
        pool: String,
    },
    /// The drain of an instance began.
    Draining {
        /// The instance.
        instance: String,
        /// The cause of the drain.
        cause: Cause,
    },
    /// A drain is complete.
    Drained {
        /// The instance.
        instance: String,
    },
    /// An instance returned to service, in its pool or in a new one.
    Serving {
        /// The instance.
        instance: String,
        /// The pool.
        pool: String,
    },
    /// A disruption was deferred.
    Deferred {
        /// The instance.
        instance: String,
        /// Why it was deferred.
        reason: String,
    },
    /// The wave has rebooted every instance that it covers.
    WaveDone,
}

/// The rows that a step works on, with a list of those that it changed.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// The instance rows by name.
    pub instances: BTreeMap<String, instance::Record>,
    /// The pool rows by name.
    pub pools: BTreeMap<String, pool::Record>,
    /// The number of instances that each pool's sustained demand keeps busy, which disruptions must
    /// leave in service.
    pub busy: BTreeMap<String, u32>,
    /// The names of the changed instance rows.
    pub changed_instances: BTreeSet<String>,
    /// The names of the changed pool rows.
    pub changed_pools: BTreeSet<String>,
    /// The wave, if it changed.
    pub changed_wave: Option<Wave>,
    /// The instances to reboot through the platform.
    pub reboots: BTreeSet<String>,
    /// The changes and deferred disruptions, for the event log.
    pub events: Vec<Event>,
}

impl Draft {
    /// Creates a draft of the rows as they were read.
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

    /// Returns whether no row changed.
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

    /// Adds a new instance.
    pub fn register(&mut self, record: instance::Record) {
        self.events.push(Event::Registered {
            instance: record.name.clone(),
            pool: record.pool.clone(),
        });
        self.changed_instances.insert(record.name.clone());
        self.instances.insert(record.name.clone(), record);
    }

    /// Begins the drain of an instance: adds a ticket to its pool and changes the instance's state
    /// together.
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
        self.events.push(Event::Draining {
            instance: name.to_owned(),
            cause,
        });
    }

    /// Marks a drained instance, which has no work left, as out of service.
    pub fn complete_drain(&mut self, name: &str, boots: u64) {
        if let Some(record) = self.instances.get_mut(name) {
            record.state = State::Out;
            record.boots = boots;
            self.changed_instances.insert(name.to_owned());
            self.events.push(Event::Drained {
                instance: name.to_owned(),
            });
        }
    }

    /// Returns an instance to service, in the pool that it moves to, if any.
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
        self.events.push(Event::Serving {
            instance: name.to_owned(),
            pool,
        });
    }

    /// Marks a wave as done.
    pub fn finish_wave(&mut self, wave: &Wave) {
        let mut wave = wave.clone();
        wave.phase = Phase::Done;
        self.changed_wave = Some(wave);
        self.events.push(Event::WaveDone);
    }

    /// Records that a disruption was deferred.
    pub fn defer(&mut self, name: &str, reason: String) {
        self.events.push(Event::Deferred {
            instance: name.to_owned(),
            reason,
        });
    }
}
