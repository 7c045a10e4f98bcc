use super::job::State;
use super::residual::ResidualCapacity;
use super::worker::{Run, SLOWNESS_THRESHOLD};
use super::{Action, JobKey, Scheduler, TaskKey, WorkerKey};
use hyssop_model::work::{Resources, Step};
use std::collections::BTreeMap;
use std::time::Duration;

/// The first run number of a term is a multiple of this, so that run numbers grow over terms; a
/// term starts one task far fewer times than this.
const RUNS_PER_TERM: u64 = 10_000;

/// The rank of a worker for a task; lower is better.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Fit {
    is_avoided: bool,
    is_slow: bool,
    is_off_rack: bool,
    /// Whether the worker is due for maintenance, so that a long-running task would have to move
    /// again.
    is_due: bool,
    /// The number of tasks of the same long-running step on the same rack.
    rack_peers: usize,
    free_share: f64,
}

impl Scheduler {
    /// Assigns waiting tasks to workers, job by job in ranking order.
    pub(super) fn place(&mut self, now: Duration) {
        self.count_usage(now);
        self.begin_advice_pass();
        let mut free = ResidualCapacity::new(&self.workers, now);
        for key in self.ranked(now) {
            if free.is_empty() {
                break;
            }
            self.place_job(key, &mut free, now);
        }
        self.request_advice();
    }

    fn place_job(&mut self, key: JobKey, free: &mut ResidualCapacity, now: Duration) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.phase.is_final() || !job.is_stored {
            return;
        }
        let mut waiting: Vec<TaskKey> = Vec::new();
        for (&occurrence, state) in job.startable_occurrences() {
            for (number, step) in job.submission.steps.iter().enumerate() {
                let stage = &state.stages[number];
                if stage.is_done() || !state.are_steps_done(&step.after) {
                    continue;
                }
                if step.gang && stage.tasks.iter().any(|task| task.state != State::Waiting) {
                    continue;
                }
                waiting.extend(stage.tasks.iter().enumerate().filter_map(|(index, task)| {
                    (task.state == State::Waiting).then_some(TaskKey {
                        job: key,
                        occurrence,
                        step: number as u32,
                        index: index as u32,
                    })
                }));
            }
        }
        let mut start = 0;
        while start < waiting.len() {
            let first = waiting[start];
            let is_same_step =
                |task: &&TaskKey| task.step == first.step && task.occurrence == first.occurrence;
            let end = start + waiting[start..].iter().take_while(is_same_step).count();
            self.place_step(&waiting[start..end], free, now);
            start = end;
        }
    }

    /// Places waiting tasks of one step: a gang as a whole or not at all, other tasks as far as
    /// capacity allows.
    fn place_step(&mut self, tasks: &[TaskKey], free: &mut ResidualCapacity, now: Duration) {
        let first = tasks[0];
        let Some(job) = self.jobs.get(&first.job) else {
            return;
        };
        let Some(step) = job.step(first.step).cloned() else {
            return;
        };
        let need = step.reserved();
        if need.cpu > free.largest_free_cpu() {
            return;
        }
        if step.gang && !self.quota_admits(first, &step, now) {
            return;
        }
        let mut placed: Vec<(TaskKey, WorkerKey)> = Vec::new();
        let is_spread_limited = step.is_long_running || step.one_rack || step.max_per_worker > 0;
        let mut runs_per_worker = if is_spread_limited {
            self.count_runs_per_worker(first)
        } else {
            BTreeMap::new()
        };
        let mut is_incomplete = false;
        for &task in tasks {
            if !step.gang && !self.quota_admits(task, &step, now) {
                break;
            }
            let Some(worker) = self.choose_worker(task, &step, &runs_per_worker, free, now) else {
                is_incomplete = true;
                if !step.gang && self.has_exclusion(task) {
                    continue;
                }
                break;
            };
            *runs_per_worker.entry(worker).or_insert(0) += 1;
            let number = self.assign(task, worker, need, now);
            free.update(&self.workers, worker);
            placed.push((task, worker));
            if !step.gang {
                self.charge_tasks([task]);
                self.actions.push(Action::Start {
                    worker,
                    task,
                    run: number,
                });
            }
        }
        let unplaced = match step.gang {
            true => tasks.len(),
            false => tasks.len() - placed.len(),
        };
        if step.gang {
            self.finish_gang(tasks, &placed);
            for (_, worker) in placed {
                free.update(&self.workers, worker);
            }
        }
        if is_incomplete && self.needs_advice(first) {
            self.consider_advice(first, &step, unplaced, now);
        }
    }

    /// Starts a gang under one run number if all of its members are placed; otherwise undoes the
    /// placements.
    fn finish_gang(&mut self, tasks: &[TaskKey], placed: &[(TaskKey, WorkerKey)]) {
        if placed.len() < tasks.len() {
            for &(task, worker) in placed {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.unreserve(task);
                }
                if let Some(entry) = self.task_mut(task) {
                    entry.state = State::Waiting;
                    // The number was not ordered. A gang that waits for long would otherwise use up those
                    // of its term, and workers would reject the lower ones of the next.
                    entry.run -= 1;
                }
            }
            return;
        }
        let number = placed
            .iter()
            .filter_map(|&(task, _)| self.task_mut(task).map(|entry| entry.run))
            .max()
            .unwrap_or(1);
        self.charge_tasks(placed.iter().map(|(task, _)| *task));
        for &(task, worker) in placed {
            if let Some(entry) = self.task_mut(task) {
                entry.run = number;
            }
            if let Some(run) = self
                .workers
                .get_mut(&worker)
                .and_then(|worker| worker.runs.get_mut(&task))
            {
                run.number = number;
            }
            self.actions.push(Action::Start {
                worker,
                task,
                run: number,
            });
        }
    }

    pub(super) fn task_mut(&mut self, task: TaskKey) -> Option<&mut super::job::Task> {
        self.jobs
            .get_mut(&task.job)?
            .stage_mut(task.occurrence, task.step)?
            .tasks
            .get_mut(task.index as usize)
    }

    /// Counts the runs of the task's step on each worker, including those being stopped.
    fn count_runs_per_worker(&self, task: TaskKey) -> BTreeMap<WorkerKey, u32> {
        let mut counts = BTreeMap::new();
        for (key, worker) in &self.workers {
            let count = worker.runs.range(task.siblings()).count() as u32;
            if count > 0 {
                counts.insert(*key, count);
            }
        }
        counts
    }

    /// Returns whether a worker is left out for this task alone, so that another task of its step may
    /// fit where it doesn't.
    fn has_exclusion(&self, task: TaskKey) -> bool {
        let stage = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.stage(task.occurrence, task.step));
        let entry = stage.and_then(|stage| stage.tasks.get(task.index as usize));
        entry.is_some_and(|entry| entry.avoided.is_some())
            || self.workers.values().any(|w| w.runs.contains_key(&task))
    }

    /// Chooses the best worker for a task.
    ///
    /// A worker on which the task failed is chosen only if no other one could take it, or none has
    /// become free for some time.
    ///
    /// When demand exceeds the pool's capacity, every core stranded between tasks is lost, so a
    /// task goes to the worker that it leaves with the least free CPU. Long-running tasks are
    /// spread so that the loss of a rack takes the fewest tasks of a step.
    fn choose_worker(
        &self,
        task: TaskKey,
        step: &Step,
        runs_per_worker: &BTreeMap<WorkerKey, u32>,
        free: &ResidualCapacity,
        now: Duration,
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(&task.job)?;
        let stage = job.stage(task.occurrence, task.step)?;
        let entry = stage.tasks.get(task.index as usize)?;
        let need = step.reserved();
        let preferred_rack = if step.one_rack {
            runs_per_worker
                .keys()
                .find_map(|key| self.workers.get(key))
                .map(|worker| worker.listing.rack().to_owned())
        } else {
            step.rack.clone()
        };
        let mut racks: BTreeMap<&str, usize> = BTreeMap::new();
        if step.is_long_running {
            for (key, count) in runs_per_worker {
                if let Some(worker) = self.workers.get(key) {
                    *racks.entry(worker.listing.rack()).or_insert(0) += *count as usize;
                }
            }
        }
        let needs_advice = self.needs_advice(task);
        let permit = self.permits.get(&super::advice::step_of(task));
        let has_required_ticket = |key: &WorkerKey| {
            !needs_advice || permit.is_some_and(|permit| permit.ticket(*key, now).is_some())
        };
        let awaits_other_worker = entry.avoided.is_some_and(|(avoided, until)| {
            now < until
                && self.workers.iter().any(|(key, worker)| {
                    *key != avoided
                        && worker.accepts_tasks(now)
                        && has_required_ticket(key)
                        && worker.could_run(step)
                })
        });
        let mut best: Option<(Fit, WorkerKey)> = None;
        for key in free.with_at_least(need.cpu) {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            if !has_required_ticket(key)
                || !worker.listing.capacity.fits(&worker.used, &need)
                || worker.runs.contains_key(&task)
            {
                continue;
            }
            if !worker.could_run(step) {
                continue;
            }
            // The members of a gang are started together or not at all.
            let has_member = step.gang && runs_per_worker.contains_key(key);
            if !has_member && !worker.has_room_for_start() {
                continue;
            }
            let runs_here = runs_per_worker.get(key).copied().unwrap_or(0);
            if step.max_per_worker > 0 && runs_here >= step.max_per_worker {
                continue;
            }
            let is_avoided = entry.avoided.is_some_and(|(avoided, _)| avoided == *key);
            if is_avoided && awaits_other_worker {
                continue;
            }
            let rack = worker.listing.rack();
            let free_cpu = worker.listing.capacity.cpu - worker.used.cpu - need.cpu;
            let fit = Fit {
                is_avoided: is_avoided || !worker.failed_jobs.is_empty(),
                is_slow: worker.slowness >= SLOWNESS_THRESHOLD,
                is_off_rack: preferred_rack
                    .as_deref()
                    .is_some_and(|preferred| preferred != rack),
                is_due: step.is_long_running && worker.is_due_for_maintenance(now),
                rack_peers: racks.get(rack).copied().unwrap_or(0),
                free_share: free_cpu as f64 / worker.listing.capacity.cpu.max(1) as f64,
            };
            if best.is_none_or(|(other, _)| fit < other) {
                best = Some((fit, *key));
            }
            // Workers come in order of free CPU, so the first without a drawback is the best fit.
            if !step.is_long_running && !fit.is_avoided && !fit.is_slow && !fit.is_off_rack {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    /// Reserves capacity for a task on a worker and returns the number of its run.
    fn assign(&mut self, task: TaskKey, key: WorkerKey, need: Resources, now: Duration) -> u64 {
        let first_number = (self.term - 1) * RUNS_PER_TERM;
        let checkpoint = self.jobs.get(&task.job).and_then(|j| j.checkpoint(task));
        let is_whole = checkpoint.is_some_and(String::is_empty);
        let Some(entry) = self.task_mut(task) else {
            return 0;
        };
        entry.state = State::Placed(key);
        entry.run = entry.run.max(first_number) + 1;
        let number = entry.run;
        let charge = self.charge_of(task);
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.reserve(
                task,
                Run {
                    number,
                    reserved: need,
                    charge,
                    ordered_at: now,
                    start_attempted_at: now,
                    may_have_started: false,
                    is_confirmed: false,
                    is_reported: false,
                    sent_at: None,
                    is_stray: false,
                    stopping_at: None,
                    stop_confirmed_at: None,
                    percent: 0.0,
                    progressed_at: now,
                    pace: 100,
                    serving_since: None,
                    is_whole,
                    observed_ms: None,
                    overdue_after: Duration::ZERO,
                },
            );
        }
        number
    }
}
