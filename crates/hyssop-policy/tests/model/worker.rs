use hyssop_model::work::{self, Completion, Outcome, Report, Resources, Running, Task};
use hyssop_platform::dialect::{Renewal, Start, StartOutcome};
use std::collections::BTreeMap;

/// Runs tasks under a lease, as the platform's workers do.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub listing: work::Worker,
    /// Whether calls reach it; what runs goes on meanwhile.
    pub is_reachable: bool,
    pub is_up: bool,
    /// Whether everything that it runs fails.
    pub fails_all: bool,
    /// Whether what it runs stands still.
    pub hangs: bool,
    fence: u64,
    lease_end_ms: i64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or ended here.
    used_up: BTreeMap<String, u64>,
    ended: Vec<Completion>,
    next_ended: u64,
    /// When the lease was last seen to be over.
    pub lapsed_ms: i64,
}

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    began_ms: i64,
    end_ms: i64,
    stop_at_ms: Option<i64>,
}

/// Says what happened on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happening {
    Began(String, u64),
    Ended(String, u64, Outcome, u64),
}

/// The specification of a task that serves until it is stopped.
pub const LASTS: &str = "lasts";
/// A lasting task serves after this time.
const STARTUP_MS: i64 = 100;
const LEASE_MAX_MS: i64 = 6_000;
const STOP_MS: i64 = 200;

impl FakeWorker {
    pub fn new(id: &str, cores: u64, now_ms: i64) -> Self {
        Self {
            listing: work::Worker {
                id: id.to_owned(),
                incarnation: now_ms,
                pool: "pool".to_owned(),
                address: "127.0.0.1:1".parse().expect("an address"),
                data_centre: "a".to_owned(),
                labels: vec!["kind".to_owned(), format!("r-{id}")],
                capacity: Resources {
                    cpu: cores * 1_000,
                    memory: 100_000,
                    accelerators: 0,
                },
                is_draining: false,
                remaining_ms: None,
                instance: format!("m-{id}"),
            },
            is_reachable: true,
            is_up: true,
            fails_all: false,
            hangs: false,
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            used_up: BTreeMap::new(),
            ended: Vec::new(),
            next_ended: 1,
            lapsed_ms: 0,
        }
    }

    /// Crashes and starts again under the same identifier, knowing nothing of before.
    pub fn restart(&mut self, now_ms: i64) {
        let mut fresh = Self::new(&self.listing.id, 0, now_ms);
        fresh.listing.capacity = self.listing.capacity;
        *self = fresh;
    }

    pub fn running(&self) -> impl Iterator<Item = (&String, u64)> {
        self.runs.iter().map(|(task, run)| (task, run.number))
    }

    /// Counts the lasting tasks that are at work.
    pub fn serving(&self, now_ms: i64) -> usize {
        let is_serving = |run: &&Run| now_ms >= run.began_ms + STARTUP_MS;
        self.runs.values().filter(is_serving).count()
    }

    fn used(&self) -> u64 {
        self.runs.len() as u64 * 1_000
    }

    pub fn start(&mut self, order: &Start, now_ms: i64) -> (StartOutcome, Option<Happening>) {
        if order.fence < self.fence {
            return (StartOutcome::Fenced, None);
        }
        self.fence = order.fence;
        if let Some(run) = self.runs.get(&order.task) {
            let answer = if run.number == order.run {
                StartOutcome::Done(Some(now_ms))
            } else {
                StartOutcome::Stale
            };
            return (answer, None);
        }
        if self
            .used_up
            .get(&order.task)
            .is_some_and(|run| *run >= order.run)
        {
            return (StartOutcome::Stale, None);
        }
        if order.until_ms <= now_ms {
            return (StartOutcome::Late(Some(now_ms)), None);
        }
        let until = order.until_ms.min(now_ms + LEASE_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(until);
        if self.used() + 1_000 > self.listing.capacity.cpu {
            return (StartOutcome::Full, None);
        }
        let lasts_ms: i64 = match order.specification.as_str() {
            LASTS => i64::MAX / 2,
            specification => specification.parse().unwrap_or(100),
        };
        self.runs.insert(
            order.task.clone(),
            Run {
                number: order.run,
                began_ms: now_ms,
                end_ms: now_ms + lasts_ms,
                stop_at_ms: None,
            },
        );
        let began = Happening::Began(order.task.clone(), order.run);
        (StartOutcome::Done(Some(now_ms)), Some(began))
    }

    pub fn stop(&mut self, task: &str, number: u64, fence: u64, now_ms: i64) {
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        let highest = self.used_up.entry(task.to_owned()).or_insert(0);
        *highest = (*highest).max(number);
        if let Some(run) = self.runs.get_mut(task) {
            if run.number <= number {
                run.stop_at_ms.get_or_insert(now_ms + STOP_MS);
            }
        }
    }

    /// Answers a hold; `None` where a newer owner has spoken.
    pub fn hold(&mut self, hold: &Renewal, now_ms: i64) -> Option<Report> {
        if hold.fence < self.fence {
            return None;
        }
        self.fence = hold.fence;
        if let Some(until) = hold.until_ms {
            let until = until.min(now_ms + LEASE_MAX_MS);
            self.lease_end_ms = self.lease_end_ms.max(until);
        }
        self.ended.retain(|ended| ended.number > hold.acknowledged);
        let percent = |run: &Run| {
            if self.hangs {
                return 0.0;
            }
            if run.end_ms > i64::MAX / 4 {
                let is_serving = now_ms >= run.began_ms + STARTUP_MS;
                return if is_serving { 100.0 } else { 0.0 };
            }
            let whole = (run.end_ms - run.began_ms).max(1) as f64;
            (100.0 * (now_ms - run.began_ms) as f64 / whole).min(99.0)
        };
        Some(Report {
            clock_ms: now_ms,
            incarnation: Some(self.listing.incarnation),
            running: self
                .runs
                .iter()
                .map(|(task, run)| Running {
                    task: task.parse::<Task>().expect("a task's name"),
                    run: run.number,
                    checkpoint: String::new(),
                    percent: percent(run),
                    gauge: None,
                })
                .collect(),
            completions: self.ended.clone(),
        })
    }

    /// Lets time pass: runs end, lapse and stop.
    pub fn pass(&mut self, now_ms: i64) -> Vec<Happening> {
        let mut over = Vec::new();
        if self.lease_end_ms <= now_ms {
            self.lapsed_ms = now_ms;
        }
        for (task, run) in &self.runs {
            let outcome = if self.lease_end_ms <= now_ms {
                Some(Outcome::Expired)
            } else if run.stop_at_ms.is_some_and(|at| at <= now_ms) {
                Some(Outcome::Stopped)
            } else if run.end_ms <= now_ms && !self.hangs {
                Some(if self.fails_all {
                    Outcome::Failed
                } else {
                    Outcome::Done
                })
            } else {
                None
            };
            if let Some(outcome) = outcome {
                over.push((task.clone(), run.number, outcome));
            }
        }
        let mut happenings = Vec::new();
        for (task, run, outcome) in over {
            self.runs.remove(&task);
            self.used_up.insert(task.clone(), run);
            let number = self.next_ended;
            self.next_ended += 1;
            self.ended.push(Completion {
                number,
                task: task.parse().expect("a task's name"),
                run,
                outcome,
                checkpoint: String::new(),
            });
            happenings.push(Happening::Ended(task, run, outcome, number));
        }
        happenings
    }
}
