use super::job::State;
use super::{Job, JobKey, Scheduler, TaskKey, WorkerKey};
use hyssop_model::work::Step;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long after its release the fleet's owner may shut down a worker. Must not exceed
/// `Settings::interrupt_pause`, after which the pool's next owner may interrupt tasks.
pub(super) const RELEASE_DURATION: Duration = Duration::from_millis(2_500);
/// A released worker is reported to the fleet's owner only while at least this much time remains:
/// the maximum time that the order to shut it down takes.
pub(super) const MIN_RELEASE_LEFT: Duration = Duration::from_millis(2_000);

/// Returns whether a task belongs to a long-running step.
pub(super) fn is_long_running(jobs: &BTreeMap<JobKey, Job>, task: TaskKey) -> bool {
    jobs.get(&task.job)
        .and_then(|job| job.step(task.step))
        .is_some_and(|step| step.is_long_running)
}

impl Scheduler {
    /// Evacuates a worker until `until`: it is given no new tasks, and its long-running tasks move
    /// as their budgets allow.
    pub fn evacuate(&mut self, id: &str, until: Duration) {
        for worker in self.workers.values_mut() {
            if worker.listing.id == id {
                worker.evacuating_until = Some(until);
            }
        }
    }

    /// Sets which workers are due for maintenance, until `until`. Placement avoids them for
    /// long-running tasks, which would have to move again.
    pub fn set_maintenance_due(&mut self, ids: &[String], until: Duration) {
        let ids: BTreeSet<&str> = ids.iter().map(String::as_str).collect();
        for worker in self.workers.values_mut() {
            let is_due = ids.contains(worker.listing.id.as_str());
            worker.maintenance_due_until = is_due.then_some(until);
        }
    }

    /// Cancels the evacuation of a worker, which then accepts tasks again.
    pub fn cancel_evacuation(&mut self, id: &str) {
        for worker in self.workers.values_mut() {
            if worker.listing.id == id && worker.evacuating_until.take().is_some() {
                self.is_placement_due = true;
            }
        }
    }

    /// Moves long-running tasks off workers that are evacuated or draining, within each step's
    /// budget.
    ///
    /// Tasks on a draining worker are stopped. An evacuated worker is released for disruption
    /// instead: for a limited time the fleet's owner may shut it down together with its tasks,
    /// which start elsewhere at once. That saves the time that stops take, and tasks of several
    /// steps move together.
    pub(super) fn evacuate_workers(&mut self, now: Duration) {
        if now < self.interrupts_from {
            return;
        }
        let departing: Vec<(WorkerKey, Vec<TaskKey>)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_evacuating(now) || worker.listing.is_draining)
            .filter(|(_, worker)| worker.unreachable_since.is_none() && !worker.is_released(now))
            .map(|(key, worker)| (*key, worker.runs.keys().copied().collect()))
            .collect();
        for (key, tasks) in departing {
            if self.workers[&key].listing.is_draining {
                self.stop_long_running(key, &tasks, now);
            } else {
                self.stop_excess_tasks(key, &tasks, now);
                self.release_worker(key, &tasks, now);
            }
        }
    }

    /// Stops the long-running tasks on a draining worker.
    ///
    /// The worker ends them anyway, so their budget need not allow it; but a task waits until no
    /// other task of its step is being stopped, or may be ended by the maintenance of a released
    /// worker.
    fn stop_long_running(&mut self, key: WorkerKey, tasks: &[TaskKey], now: Duration) {
        for &task in tasks {
            if self.is_long_running(task)
                && !self.is_sibling_stopping(task)
                && !self.is_sibling_released(key, task)
                && self.fits_elsewhere(key, task, now)
                && self.stop_task(key, task, now)
            {
                log::info!(
                    "event=task-leaves pool={} worker={} job={} step={} index={} reason=draining",
                    self.pool,
                    self.workers[&key].listing.id,
                    self.jobs[&task.job].id,
                    task.step,
                    task.index
                );
            }
        }
    }

    /// Stops long-running tasks of a step of which the worker runs more than may be unavailable at
    /// the same time.
    fn stop_excess_tasks(&mut self, key: WorkerKey, tasks: &[TaskKey], now: Duration) {
        for &task in tasks {
            if self.exceeds_budget(task, tasks)
                && self.may_interrupt(task, None)
                && self.fits_elsewhere(key, task, now)
            {
                self.stop_task(key, task, now);
            }
        }
    }

    /// Releases a worker for disruption if only long-running tasks are left on it and the budgets of
    /// all of them allow it.
    fn release_worker(&mut self, key: WorkerKey, tasks: &[TaskKey], now: Duration) {
        let may_release = !tasks.is_empty()
            && tasks.iter().all(|task| {
                self.is_long_running(*task)
                    && self.may_interrupt(*task, Some(key))
                    && self.fits_elsewhere(key, *task, now)
            });
        if !may_release {
            return;
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.released_until = Some(now + RELEASE_DURATION);
        log::info!(
            "event=worker-cleared pool={} worker={} lasting={} for_ms={}",
            self.pool,
            worker.listing.id,
            tasks.len(),
            RELEASE_DURATION.as_millis()
        );
    }

    /// Returns the steps of long-running tasks that must leave their worker and fit on no other.
    pub(super) fn unmovable_steps(&self, now: Duration) -> impl Iterator<Item = &Step> {
        self.workers
            .iter()
            .filter(move |(_, worker)| worker.is_evacuating(now))
            .flat_map(|(key, worker)| worker.runs.keys().map(|task| (*key, *task)))
            .filter(move |(key, t)| self.is_long_running(*t) && !self.fits_elsewhere(*key, *t, now))
            .filter_map(|(_, task)| self.step(task))
    }

    fn step(&self, task: TaskKey) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task.step)
    }

    fn is_long_running(&self, task: TaskKey) -> bool {
        is_long_running(&self.jobs, task)
    }

    /// Returns whether `tasks`, which run on one worker, include more long-running tasks of the
    /// task's step than may be unavailable at the same time.
    fn exceeds_budget(&self, task: TaskKey, tasks: &[TaskKey]) -> bool {
        let step = self.step(task).filter(|step| step.is_long_running);
        let running_here = tasks
            .iter()
            .filter(|other| task.siblings().contains(other))
            .count();
        step.is_some_and(|step| running_here > step.budget() as usize)
    }

    /// Returns whether a long-running task may be interrupted, together with all others of its step
    /// on the worker `with`: they and the unavailable ones must be within the budget.
    fn may_interrupt(&self, task: TaskKey, with: Option<WorkerKey>) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(step) = job.step(task.step) else {
            return false;
        };
        let Some(stage) = job.stage(task.occurrence, task.step) else {
            return false;
        };
        let unavailable = (0..stage.tasks.len() as u32)
            .map(|index| TaskKey { index, ..task })
            .filter(|&other| {
                let is_on_same_worker = with.is_some() && self.assigned_worker(other) == with;
                other == task || is_on_same_worker || !self.is_serving(other)
            })
            .count() as u32;
        unavailable <= step.budget()
    }

    /// Returns whether another task of the step has been ordered to stop and has not ended.
    fn is_sibling_stopping(&self, task: TaskKey) -> bool {
        self.workers.values().any(|worker| {
            worker
                .runs
                .range(task.siblings())
                .any(|(other, run)| *other != task && run.stopping_at.is_some())
        })
    }

    /// Returns whether another task of the step runs on a released worker other than `key`.
    fn is_sibling_released(&self, key: WorkerKey, task: TaskKey) -> bool {
        self.workers.iter().any(|(other, worker)| {
            *other != key
                && worker.may_be_shut_down()
                && worker.runs.range(task.siblings()).next().is_some()
        })
    }

    fn is_serving(&self, task: TaskKey) -> bool {
        self.assigned_worker(task)
            .and_then(|key| self.workers.get(&key))
            .filter(|worker| worker.unreachable_since.is_none() && !worker.listing.is_draining)
            .filter(|worker| !worker.may_be_shut_down())
            .and_then(|worker| worker.runs.get(&task))
            .is_some_and(|run| run.serving_since.is_some() && run.stopping_at.is_none())
    }

    /// Returns whether another worker could accept a task at once.
    fn fits_elsewhere(&self, key: WorkerKey, task: TaskKey, now: Duration) -> bool {
        let Some(step) = self.step(task) else {
            return false;
        };
        self.workers.iter().any(|(other, worker)| {
            let running_here = worker.runs.range(task.siblings()).count() as u32;
            *other != key
                && worker.accepts_tasks(now)
                && worker.listing.capacity.fits(&worker.used, &step.reserved())
                && (step.max_per_worker == 0 || running_here < step.max_per_worker)
                && step
                    .label
                    .as_ref()
                    .is_none_or(|label| worker.listing.labels.contains(label))
        })
    }

    /// Returns the waiting tasks of accepted jobs whose preceding steps are done.
    pub(super) fn waiting_tasks(&self) -> impl Iterator<Item = (TaskKey, &Step)> {
        self.open_jobs
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(key)?)))
            .flat_map(|(key, job)| {
                let is_runnable = job.is_stored && !job.phase.is_final();
                job.startable_occurrences()
                    .filter(move |_| is_runnable)
                    .flat_map(move |(&occurrence, state)| {
                        job.submission
                            .steps
                            .iter()
                            .enumerate()
                            .flat_map(move |(number, step)| {
                                let is_ready = state.are_steps_done(&step.after);
                                state.stages[number]
                                    .tasks
                                    .iter()
                                    .enumerate()
                                    .filter(move |(_, task)| {
                                        is_ready && task.state == State::Waiting
                                    })
                                    .map(move |(index, _)| {
                                        let task = TaskKey {
                                            job: key,
                                            occurrence,
                                            step: number as u32,
                                            index: index as u32,
                                        };
                                        (task, step)
                                    })
                            })
                    })
            })
    }
}
