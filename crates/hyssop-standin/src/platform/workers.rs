use hyssop_model::job::{Size, Worker};
use hyssop_platform::worker::{Phase, Signal, Start, Usage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Plays the workers: they run tasks under leases and report late.
///
/// A command `sleep:MS` runs for that long and ends well; `fail` ends badly at once.
#[derive(Debug)]
pub(crate) struct Workers {
    workers: Vec<Worker>,
    tasks: BTreeMap<String, Task>,
    /// The highest fence that was started for each task.
    fences: BTreeMap<String, u64>,
    starts: BTreeMap<String, u32>,
    /// The workers on which every task fails.
    failing: BTreeSet<String>,
    reports: VecDeque<(Instant, Vec<Usage>)>,
}

#[derive(Debug)]
struct Task {
    start: Start,
    began: Instant,
    lease_ends: Instant,
    ends: Option<Instant>,
    end: Phase,
    is_throttled: bool,
}

/// How late usage is reported.
const LAG: Duration = Duration::from_millis(500);
/// How long an ended task stays in the reports.
const KEPT: Duration = Duration::from_secs(20);
const CPU_MILLIS: u64 = 64_000;
const MEMORY_MIB: u64 = 131_072;
const TASK_CPU_MILLIS: u64 = 1000;
const TASK_MEMORY_MIB: u64 = 512;

impl Workers {
    pub(crate) fn new(count: u32, pools: &[String]) -> Self {
        let worker = |number: u32| Worker {
            name: format!("w-{number:04}"),
            pool: pools[number as usize % pools.len()].clone(),
            rack: format!("w-rack-{}", number / 4),
            size: Size {
                cpu_millis: CPU_MILLIS,
                memory_mib: MEMORY_MIB,
                accelerators: 2,
            },
        };
        let is_any = !pools.is_empty();
        Self {
            workers: (0..count).filter(|_| is_any).map(worker).collect(),
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

    /// Returns how often each task was started.
    pub(crate) fn starts(&self) -> &BTreeMap<String, u32> {
        &self.starts
    }

    /// Makes every task of a worker fail from now on, or not.
    pub(crate) fn set_failing(&mut self, worker: &str, is_failing: bool) {
        if is_failing {
            self.failing.insert(worker.to_owned());
        } else {
            self.failing.remove(worker);
        }
    }

    /// Starts a task, unless a higher fence was seen; a repeat has no further effect.
    pub(crate) fn start(&mut self, start: Start) -> bool {
        let seen = self.fences.get(&start.task).copied().unwrap_or(0);
        if start.fence < seen {
            return false;
        }
        if start.fence == seen {
            return true;
        }
        self.fences.insert(start.task.clone(), start.fence);
        *self.starts.entry(start.task.clone()).or_default() += 1;
        let now = Instant::now();
        let is_failing = start.command == "fail" || self.failing.contains(&start.worker);
        let sleep = start
            .command
            .strip_prefix("sleep:")
            .and_then(|ms| ms.parse().ok());
        let length = if is_failing {
            Duration::ZERO
        } else {
            Duration::from_millis(sleep.unwrap_or(0))
        };
        let task = Task {
            began: now,
            lease_ends: now + Duration::from_millis(start.lease_ms),
            ends: Some(now + length),
            end: if is_failing {
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
            Signal::Renew => task.lease_ends = now + Duration::from_millis(task.start.lease_ms),
            Signal::Throttle => task.is_throttled = true,
            Signal::Checkpoint => task.finish(now, Phase::Checkpointed),
            Signal::Stop => task.finish(now, Phase::Stopped),
        }
    }

    /// Takes a report, to be told later.
    pub(crate) fn observe(&mut self) {
        let now = Instant::now();
        self.tasks
            .retain(|_, task| task.ended(now).is_none_or(|at| at + KEPT > now));
        let usages = self.tasks.values().map(|task| task.usage(now)).collect();
        self.reports.push_back((now, usages));
        while self.reports.get(1).is_some_and(|(at, _)| *at + LAG <= now) {
            self.reports.pop_front();
        }
    }

    /// Returns the report of a while ago.
    pub(crate) fn usage(&self) -> Vec<Usage> {
        self.reports
            .front()
            .map(|(_, usages)| usages.clone())
            .unwrap_or_default()
    }
}

impl Task {
    /// Returns when the task ended, if it has.
    fn ended(&self, now: Instant) -> Option<Instant> {
        let ends = self
            .ends
            .map_or(self.lease_ends, |ends| ends.min(self.lease_ends));
        (ends <= now).then_some(ends)
    }

    fn is_running(&self, now: Instant) -> bool {
        self.ended(now).is_none()
    }

    fn finish(&mut self, now: Instant, end: Phase) {
        self.ends = Some(now);
        self.end = end;
    }

    fn usage(&self, now: Instant) -> Usage {
        let phase = match self.ended(now) {
            None => Phase::Running,
            Some(at) if self.ends == Some(at) => self.end,
            Some(_) => Phase::Stopped,
        };
        let divisor = if self.is_throttled { 2 } else { 1 };
        Usage {
            worker: self.start.worker.clone(),
            task: self.start.task.clone(),
            fence: self.start.fence,
            phase,
            cpu_millis: TASK_CPU_MILLIS / divisor,
            memory_mib: TASK_MEMORY_MIB,
            ran_ms: now.duration_since(self.began).as_millis() as u64,
        }
    }
}
