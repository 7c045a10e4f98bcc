//! A seeded simulation of a pool's owners, workers, store and callers with a fake clock.
//!
//! The scheduler is the real one; calls, time, workers and the store are simulated. The invariants
//! are checked at each start and acknowledgement.

// Each test binary uses only some of the model.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod availability;
mod grants;
mod invariants;
mod pools;
mod presence;
mod seeds;
mod store;
mod takeover;
mod worker;
mod world;

pub use grants::Table;
pub use pools::{Pools, Shared};
pub use seeds::play_seeds;
pub use store::{assert_within_limits, FakeStore};
pub use takeover::Takeover;
pub use worker::FakeWorker;
pub use world::{Faults, PlannedStop, World};

/// Returns a job of `count` long-running tasks, at most one per worker, of which one may be
/// unavailable.
pub fn long_running_job(count: u32) -> Submission {
    let mut submission = job(1, count, 900);
    submission.specification = worker::LONG_RUNNING.to_owned();
    submission.steps[0].is_long_running = true;
    submission.steps[0].max_per_worker = 1;
    submission.steps[0].max_unavailable = Some(1);
    submission
}

use hyssop_model::work::{AdviceTime, Configuration, Queue, Resources, Step, Submission};
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns a configuration of one queue.
pub fn configuration(advice: Option<AdviceTime>) -> Configuration {
    let queue = Queue {
        name: "queue".to_owned(),
        host: String::new(),
        prefix: "/".to_owned(),
        pool: "pool".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        objective: Duration::from_millis(600),
        advice,
        allows_anonymous: false,
    };
    Configuration {
        version: 1,
        queues: BTreeMap::from([("queue".to_owned(), queue)]),
        ..Configuration::default()
    }
}

/// Returns the registration of a worker.
pub fn worker(id: &str) -> hyssop_model::work::Worker {
    worker::FakeWorker::new(id, 8, 1_000).listing
}

/// Returns a job of `steps` consecutive steps, each of `count` tasks that take `ms` milliseconds.
pub fn job(steps: usize, count: u32, ms: u64) -> Submission {
    let step = |number: usize| Step {
        count,
        need: Resources {
            cpu: 1_000,
            memory: 100,
            accelerators: 0,
        },
        estimate_ms: ms,
        after: if number == 0 {
            Vec::new()
        } else {
            vec![number - 1]
        },
        ..Step::default()
    };
    Submission {
        specification: format!("{ms}"),
        steps: (0..steps).map(step).collect(),
        schedule: None,
        account: None,
    }
}
