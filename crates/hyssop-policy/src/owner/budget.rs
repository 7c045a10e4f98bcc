use super::job::State;
use super::{Owner, TaskKey, WorkerKey};
use std::time::Duration;

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

    /// Lets a worker take tasks again.
    pub fn release(&mut self, id: &str) {
        for worker in self.workers.values_mut() {
            if worker.listing.id == id && worker.vacating_until.take().is_some() {
                self.is_placing_due = true;
            }
        }
    }

    /// Moves lasting tasks off workers that are being emptied or are leaving, one after the other
    /// within each step's budget.
    pub(super) fn watch_budgets(&mut self, now: Duration) {
        if now < self.interrupts_from {
            return;
        }
        let mut candidates: Vec<(WorkerKey, TaskKey)> = Vec::new();
        for (key, worker) in &self.workers {
            let is_leaving = worker.is_vacating(now) || worker.listing.is_draining;
            if !is_leaving || worker.silent_since.is_some() {
                continue;
            }
            for (task, run) in &worker.runs {
                let lasts = self
                    .jobs
                    .get(&task.job)
                    .and_then(|job| job.submission.steps.get(task.step as usize))
                    .is_some_and(|step| step.lasts);
                if lasts && run.stopping_at.is_none() {
                    candidates.push((*key, *task));
                }
            }
        }
        for (key, task) in candidates {
            // A leaving worker ends its tasks anyway, so their own budget is not at stake; but one
            // of the step that is being stopped under that budget ends first.
            let is_draining = self.workers[&key].listing.is_draining;
            let may_stop = if is_draining {
                !self.is_sibling_stopping(task)
            } else {
                self.may_interrupt(task)
            };
            if may_stop && self.has_room_beside(key, task, now) {
                self.stop_task(key, task, now);
            }
        }
    }

    /// Tells whether a lasting task may be stopped: fewer others of its step are away than the
    /// budget allows.
    fn may_interrupt(&self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(step) = job.submission.steps.get(task.step as usize) else {
            return false;
        };
        let Some(stage) = job.stage(task.occurrence, task.step) else {
            return false;
        };
        let away = (0..stage.tasks.len() as u32)
            .filter(|&index| index != task.index)
            .filter(|&index| !self.is_serving(TaskKey { index, ..task }))
            .count() as u32;
        step.may_miss.map_or(away == 0, |most| away < most)
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

    fn is_serving(&self, task: TaskKey) -> bool {
        self.holder(task)
            .and_then(|key| self.workers.get(&key))
            .filter(|worker| worker.silent_since.is_none() && !worker.listing.is_draining)
            .and_then(|worker| worker.runs.get(&task))
            .is_some_and(|run| run.serving_since.is_some() && run.stopping_at.is_none())
    }

    /// Tells whether another worker could take a task at once.
    fn has_room_beside(&self, key: WorkerKey, task: TaskKey, now: Duration) -> bool {
        let Some(step) = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.submission.steps.get(task.step as usize))
        else {
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
    pub(super) fn waiting_tasks(
        &self,
    ) -> impl Iterator<Item = (TaskKey, &hyssop_model::work::Step)> {
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
