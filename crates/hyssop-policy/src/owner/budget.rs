use super::job::State;
use super::{Job, JobKey, Owner, TaskKey, WorkerKey};
use hyssop_model::work::Step;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long the holder may end a cleared worker. It is no longer than a successor's pause before
/// it interrupts anything.
const CLEARED: Duration = Duration::from_millis(2_500);
/// The holder is told of a cleared worker only while this much is left, which an order takes at
/// the most.
pub(super) const CLEARED_LEAST: Duration = Duration::from_millis(2_000);

/// Tells whether a task is of a lasting step.
pub(super) fn lasts(jobs: &BTreeMap<JobKey, Job>, task: TaskKey) -> bool {
    jobs.get(&task.job)
        .and_then(|job| job.step(task.step))
        .is_some_and(|step| step.lasts)
}

impl Owner {
    /// Empties a worker until `until`: nothing new is placed there, lasting tasks move as their
    /// budgets allow.
    pub fn vacate(&mut self, id: &str, until: Duration) {
        for worker in self.workers.values_mut() {
            if worker.listing.id == id {
                worker.vacating_until = Some(until);
            }
        }
    }

    /// Notes which workers are due for maintenance, until `until`: lasting tasks stay away from
    /// them, since they would have to move again.
    pub fn note_due(&mut self, ids: &[String], until: Duration) {
        let ids: BTreeSet<&str> = ids.iter().map(String::as_str).collect();
        for worker in self.workers.values_mut() {
            let is_due = ids.contains(worker.listing.id.as_str());
            worker.due_until = is_due.then_some(until);
        }
    }

    /// Lets a worker take tasks again.
    pub fn release(&mut self, id: &str) {
        for worker in self.workers.values_mut() {
            if worker.listing.id == id && worker.vacating_until.take().is_some() {
                self.is_placing_due = true;
            }
        }
    }

    /// Moves lasting tasks off workers that are being emptied or are leaving, within each step's
    /// budget.
    ///
    /// Off a leaving worker they are stopped. A worker that is being emptied is cleared instead:
    /// for a while the holder may end it with all of its tasks, which start elsewhere at once. That
    /// saves the time that stops take, and tasks of several steps move together.
    pub(super) fn watch_budgets(&mut self, now: Duration) {
        if now < self.interrupts_from {
            return;
        }
        let leaving: Vec<(WorkerKey, Vec<TaskKey>)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_vacating(now) || worker.listing.is_draining)
            .filter(|(_, worker)| worker.silent_since.is_none() && !worker.is_cleared(now))
            .map(|(key, worker)| (*key, worker.runs.keys().copied().collect()))
            .collect();
        for (key, tasks) in leaving {
            if self.workers[&key].listing.is_draining {
                self.stop_lasting(key, &tasks, now);
            } else {
                self.thin_out(key, &tasks, now);
                self.clear(key, &tasks, now);
            }
        }
    }

    /// Stops the lasting tasks on a worker that is leaving.
    ///
    /// The worker ends them anyway, so their own budget is not at stake; but one of the step that is
    /// being stopped under that budget ends first.
    fn stop_lasting(&mut self, key: WorkerKey, tasks: &[TaskKey], now: Duration) {
        for &task in tasks {
            if self.lasts(task)
                && !self.is_sibling_stopping(task)
                && self.has_room_beside(key, task, now)
            {
                self.stop_task(key, task, now);
            }
        }
    }

    /// Stops lasting tasks of which a worker holds more than may be away together.
    fn thin_out(&mut self, key: WorkerKey, tasks: &[TaskKey], now: Duration) {
        for &task in tasks {
            if self.is_beyond_budget(task, tasks)
                && self.may_interrupt(task, None, now)
                && self.has_room_beside(key, task, now)
            {
                self.stop_task(key, task, now);
            }
        }
    }

    /// Lets the holder end a worker on which only lasting tasks are left, all within their budgets.
    fn clear(&mut self, key: WorkerKey, tasks: &[TaskKey], now: Duration) {
        let may_clear = !tasks.is_empty()
            && tasks.iter().all(|task| {
                self.lasts(*task)
                    && self.may_interrupt(*task, Some(key), now)
                    && self.has_room_beside(key, *task, now)
            });
        if !may_clear {
            return;
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.cleared_until = Some(now + CLEARED);
        log::info!(
            "event=worker-cleared pool={} worker={} lasting={} for_ms={}",
            self.pool,
            worker.listing.id,
            tasks.len(),
            CLEARED.as_millis()
        );
    }

    /// Returns the steps of lasting tasks that are to leave their workers and that no other worker
    /// has room for.
    pub(super) fn unmovable(&self, now: Duration) -> impl Iterator<Item = &Step> {
        self.workers
            .iter()
            .filter(move |(_, worker)| worker.is_vacating(now))
            .flat_map(|(key, worker)| worker.runs.keys().map(|task| (*key, *task)))
            .filter(move |(key, task)| self.lasts(*task) && !self.has_room_beside(*key, *task, now))
            .filter_map(|(_, task)| self.step(task))
    }

    fn step(&self, task: TaskKey) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task.step)
    }

    fn lasts(&self, task: TaskKey) -> bool {
        lasts(&self.jobs, task)
    }

    /// Tells whether more lasting tasks of a step are among `tasks`, which run on one worker, than
    /// may be away at a time, so that they can't be interrupted together.
    fn is_beyond_budget(&self, task: TaskKey, tasks: &[TaskKey]) -> bool {
        let step = self.step(task).filter(|step| step.lasts);
        let here = tasks
            .iter()
            .filter(|other| task.siblings().contains(other))
            .count();
        step.is_some_and(|step| here > step.budget() as usize)
    }

    /// Tells whether a lasting task may be interrupted, with all others of its step on the worker
    /// `with`: they and those that are away are no more than the budget allows.
    fn may_interrupt(&self, task: TaskKey, with: Option<WorkerKey>, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(step) = job.step(task.step) else {
            return false;
        };
        let Some(stage) = job.stage(task.occurrence, task.step) else {
            return false;
        };
        let away = (0..stage.tasks.len() as u32)
            .map(|index| TaskKey { index, ..task })
            .filter(|&other| {
                let is_with = with.is_some() && self.holder(other) == with;
                other == task || is_with || !self.is_serving(other, now)
            })
            .count() as u32;
        away <= step.budget()
    }

    /// Tells whether another task of the step has been ordered to stop and has not ended.
    fn is_sibling_stopping(&self, task: TaskKey) -> bool {
        self.workers.values().any(|worker| {
            worker
                .runs
                .range(task.siblings())
                .any(|(other, run)| *other != task && run.stopping_at.is_some())
        })
    }

    fn is_serving(&self, task: TaskKey, now: Duration) -> bool {
        self.holder(task)
            .and_then(|key| self.workers.get(&key))
            .filter(|worker| worker.silent_since.is_none() && !worker.listing.is_draining)
            .filter(|worker| !worker.is_cleared(now))
            .and_then(|worker| worker.runs.get(&task))
            .is_some_and(|run| run.serving_since.is_some() && run.stopping_at.is_none())
    }

    /// Tells whether another worker could take a task at once.
    fn has_room_beside(&self, key: WorkerKey, task: TaskKey, now: Duration) -> bool {
        let Some(step) = self.step(task) else {
            return false;
        };
        self.workers.iter().any(|(other, worker)| {
            let here = worker.runs.range(task.siblings()).count() as u32;
            *other != key
                && worker.takes_tasks(now)
                && worker.listing.capacity.fits(&worker.used, &step.reserved())
                && (step.most_per_worker == 0 || here < step.most_per_worker)
                && step
                    .label
                    .as_ref()
                    .is_none_or(|label| worker.listing.labels.contains(label))
        })
    }

    /// Counts tasks that wait although their turn has come.
    pub(super) fn waiting_tasks(&self) -> impl Iterator<Item = (TaskKey, &Step)> {
        self.open
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(key)?)))
            .flat_map(|(key, job)| {
                let is_live = job.is_stored && !job.phase.is_final();
                job.occurrences.iter().filter(move |_| is_live).flat_map(
                    move |(&occurrence, state)| {
                        job.submission
                            .steps
                            .iter()
                            .enumerate()
                            .flat_map(move |(number, step)| {
                                let is_open = state.is_open(&step.after);
                                state.stages[number]
                                    .tasks
                                    .iter()
                                    .enumerate()
                                    .filter(move |(_, task)| {
                                        is_open && task.state == State::Waiting
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
                    },
                )
            })
    }
}
