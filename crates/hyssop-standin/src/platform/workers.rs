use hyssop_model::job::{Size, Worker};
use hyssop_platform::worker::{Phase, Signal, Start, Usage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// The simulated workers, which run tasks under leases and report their usage with a lag.
///
/// A command `sleep:MS` succeeds after that time, `fail` fails at once.
#[derive(Debug)]
pub(crate) struct Workers {
    workers: Vec<Worker>,
    tasks: BTreeMap<String, Task>,
    /// The highest fence with which each task was started.
    fences: BTreeMap<String, u64>,
    /// The number of starts of each task; a repeat with the same fence isn't counted.
    starts: BTreeMap<String, u32>,
    /// The workers on which every started task fails.
    failing: BTreeSet<String>,
    /// The usage of all tasks at each recent time, oldest first.
    reports: VecDeque<(Instant, Vec<Usage>)>,
}

#[derive(Debug)]
struct Task {
    start: Start,
    started_at: Instant,
    lease_expiry: Instant,
    finishes_at: Option<Instant>,
    final_phase: Phase,
    is_throttled: bool,
}

/// The time by which reported usage lags behind.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// The time for which an ended task stays in the reports.
const RETENTION: Duration = Duration::from_secs(20);
const WORKER_CPU_MILLIS: u64 = 64_000;
const WORKER_MEMORY_MIB: u64 = 131_072;
const TASK_CPU_MILLIS: u64 = 1000;
const TASK_MEMORY_MIB: u64 = 512;

impl Workers {
    pub(crate) fn new(count: u32, pools: &[String]) -> Self {
        let worker = |number: u32| Worker {
            name: format!("w-{number:04}"),
            pool: pools[number as usize % pools.len()].clone(),
            rack: format!("w-rack-{}", number / 4),
            size: Size {
                cpu_millis: WORKER_CPU_MILLIS,
                memory_mib: WORKER_MEMORY_MIB,
                accelerators: 2,
            },
        };
        let has_pools = !pools.is_empty();
        Self {
            workers: (0..count).filter(|_| has_pools).map(worker).collect(),
            tasks: BTreeMap::new(),
            fences: BTreeMap::new(),
            starts: BTreeMap::new(),
            failing: BTreeSet::new(),
            reports: VecDeque::new(),
        }
    }

    pub(crate) fn list(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the number of starts of each task.
    pub(crate) fn starts(&self) -> &BTreeMap<String, u32> {
        &self.starts
    }

    /// Sets whether every task started on a worker from now on fails.
    pub(crate) fn set_failing(&mut self, worker: &str, is_failing: bool) {
        if is_failing {
            self.failing.insert(worker.to_owned());
        } else {
            self.failing.remove(worker);
        }
    }

    /// Starts a task and returns whether it was accepted.
    ///
    /// A fence below the highest one of the task is rejected; a repeat of the highest one has no
    /// further effect.
    pub(crate) fn start(&mut self, start: Start) -> bool {
        let highest = self.fences.get(&start.task).copied().unwrap_or(0);
        if start.fence < highest {
            return false;
        }
        if start.fence == highest {
            return true;
        }
        self.fences.insert(start.task.clone(), start.fence);
        *self.starts.entry(start.task.clone()).or_default() += 1;
        let now = Instant::now();
        let is_failing = start.command == "fail" || self.failing.contains(&start.worker);
        let sleep_ms = start
            .command
            .strip_prefix("sleep:")
            .and_then(|ms| ms.parse().ok());
        let duration = if is_failing {
            Duration::ZERO
        } else {
            Duration::from_millis(sleep_ms.unwrap_or(0))
        };
        let task = Task {
            started_at: now,
            lease_expiry: now + Duration::from_millis(start.lease_ms),
            finishes_at: Some(now + duration),
            final_phase: if is_failing {
                Phase::Failed
            } else {
                Phase::Done
            },
            is_throttled: false,
            start,
        };
        self.tasks.insert(task.start.task.clone(), task);
        true
    }

    pub(crate) fn signal(&mut self, task: &str, signal: Signal) {
        let now = Instant::now();
        let Some(task) = self.tasks.get_mut(task).filter(|task| task.is_running(now)) else {
            return;
        };
        match signal {
            Signal::Renew => task.lease_expiry = now + Duration::from_millis(task.start.lease_ms),
            Signal::Throttle => task.is_throttled = true,
            Signal::Checkpoint => task.finish(now, Phase::Checkpointed),
            Signal::Stop => task.finish(now, Phase::Stopped),
        }
    }

    /// Records the current usage and drops ended tasks and reports that are no longer needed.
    pub(crate) fn record_usage(&mut self) {
        let now = Instant::now();
        self.tasks
            .retain(|_, task| task.ended_at(now).is_none_or(|at| at + RETENTION > now));
        let usages = self.tasks.values().map(|task| task.usage(now)).collect();
        self.reports.push_back((now, usages));
        while self
            .reports
            .get(1)
            .is_some_and(|(at, _)| *at + REPORT_LAG <= now)
        {
            self.reports.pop_front();
        }
    }

    /// Returns the usage of all tasks as it was before the report lag.
    pub(crate) fn usage(&self) -> Vec<Usage> {
        self.reports
            .front()
            .map(|(_, usages)| usages.clone())
            .unwrap_or_default()
    }
}

impl Task {
    /// Returns the time at which the task finished or its lease expired, if it has ended.
    fn ended_at(&self, now: Instant) -> Option<Instant> {
        let ended_at = self
            .finishes_at
            .map_or(self.lease_expiry, |at| at.min(self.lease_expiry));
        (ended_at <= now).then_some(ended_at)
    }

    fn is_running(&self, now: Instant) -> bool {
        self.ended_at(now).is_none()
    }

    fn finish(&mut self, now: Instant, phase: Phase) {
        self.finishes_at = Some(now);
        self.final_phase = phase;
    }

    fn usage(&self, now: Instant) -> Usage {
        let phase = match self.ended_at(now) {
            None => Phase::Running,
            Some(at) if self.finishes_at == Some(at) => self.final_phase,
            Some(_) => Phase::Stopped,
        };
        let throttle_divisor = if self.is_throttled { 2 } else { 1 };
        Usage {
            worker: self.start.worker.clone(),
            task: self.start.task.clone(),
            fence: self.start.fence,
            phase,
            cpu_millis: TASK_CPU_MILLIS / throttle_divisor,
            memory_mib: TASK_MEMORY_MIB,
            ran_ms: now.duration_since(self.started_at).as_millis() as u64,
        }
    }
}
