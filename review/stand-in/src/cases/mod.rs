pub mod kind;
pub mod label;
pub mod large;
pub mod limit;
pub mod past;
pub mod route;
pub mod takeover;
pub mod timed;

use crate::cluster::Cluster;
use crate::worker::{Course, Script, Shape};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

pub const POOL: &str = "renewals";
pub const QUEUE: &str = "/puxa400/";
pub const CANARY: &str = "00000000000000aa";

/// Every run takes as many milliseconds as its specification says and ends `done`; `lasts` lasts.
pub fn plain() -> Script {
    Arc::new(|_, _, specification| course(specification))
}

pub fn course(specification: &str) -> Course {
    let first = specification.split(' ').next().unwrap_or("");
    Course {
        duration: first.parse().ok().map(Duration::from_millis),
        how: "done",
    }
}

/// Workers of the pool with 64 cores each, two a rack, all of kind `a`.
pub fn shapes(count: usize) -> Vec<Shape> {
    (0..count)
        .map(|number| Shape {
            id: format!("3f{number:02x}c1d2e4a7b{number:03x}"),
            service: POOL.to_owned(),
            labels: vec!["a".to_owned(), format!("r1-{}", number / 2)],
            cpu: 64_000,
            guards: true,
            stop_time: Duration::from_millis(300),
        })
        .collect()
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let step = Duration::from_millis(5);
    let mut waited = Duration::ZERO;
    while waited < limit {
        if condition() {
            return true;
        }
        sleep(step);
        waited += step;
    }
    condition()
}

/// Returns the machine that owns the pool, or ends the case.
pub fn owner(cluster: &Cluster) -> usize {
    match cluster.owner(POOL) {
        Some(owner) => owner,
        None => crate::cluster::cannot_run("the pool has no owner"),
    }
}
