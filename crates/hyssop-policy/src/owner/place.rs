use super::job::State;
use super::rooms::Rooms;
use super::worker::Run;
use super::{Action, JobKey, Owner, TaskKey, WorkerKey};
use hyssop_model::work::{Resources, Step};
use std::collections::BTreeMap;
use std::time::Duration;

/// Runs of one term are numbered from here; a term has far fewer starts of one task.
const RUNS_PER_TERM: u64 = 10_000;

/// A worker that takes this much longer than expected gets tasks only when no other has room.
const SLOW: f64 = 2.0;

/// Ranks a worker for a task; lower is better.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Fit {
    is_avoided: bool,
    is_slow: bool,
    is_far: bool,
    /// A lasting task would have to move again.
    is_due: bool,
    /// Tasks of the same lasting step on the same rack.
    crowding: usize,
    room_left: f64,
}

impl Owner {
    /// Gives waiting tasks to workers, job by job in their order.
    pub(super) fn place(&mut self, now: Duration) {
        let mut rooms = Rooms::of(&self.workers, now);
        for key in self.ranked(now) {
            if rooms.is_empty() {
                return;
            }
            self.place_job(key, &mut rooms, now);
        }
    }

    fn place_job(&mut self, key: JobKey, rooms: &mut Rooms, now: Duration) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.phase.is_final() || !job.is_stored {
            return;
        }
        let mut waiting: Vec<TaskKey> = Vec::new();
        for (&occurrence, state) in &job.occurrences {
            for (number, step) in job.submission.steps.iter().enumerate() {
                let stage = &state.stages[number];
                if stage.is_done() || !state.is_open(&step.after) {
                    continue;
                }
                if step.gang && stage.tasks.iter().any(|t| t.state != State::Waiting) {
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
        let mut at = 0;
        while at < waiting.len() {
            let first = waiting[at];
            let same =
                |task: &&TaskKey| task.step == first.step && task.occurrence == first.occurrence;
            let until = at + waiting[at..].iter().take_while(same).count();
            self.place_step(&waiting[at..until], rooms, now);
            at = until;
        }
    }

    /// Places waiting tasks of one step: a gang whole or not at all, others as far as room goes.
    fn place_step(&mut self, tasks: &[TaskKey], rooms: &mut Rooms, now: Duration) {
        let first = tasks[0];
        let Some(job) = self.jobs.get(&first.job) else {
            return;
        };
        let Some(step) = job.step(first.step).cloned() else {
            return;
        };
        let need = step.reserved();
        if need.cpu > rooms.largest() {
            return;
        }
        let mut placed: Vec<(TaskKey, WorkerKey)> = Vec::new();
        let is_spread_bound = step.lasts || step.one_rack || step.most_per_worker > 0;
        let mut per_worker = if is_spread_bound {
            self.step_spread(first)
        } else {
            BTreeMap::new()
        };
        let needs_advice = self.needs_advice(first);
        for &task in tasks {
            let Some(worker) = self.choose(task, &step, &per_worker, rooms, now) else {
                if needs_advice {
                    self.seek_advice(first, now);
                }
                break;
            };
            *per_worker.entry(worker).or_insert(0) += 1;
            let number = self.assign(task, worker, need, now);
            rooms.update(&self.workers, worker);
            placed.push((task, worker));
            if !step.gang {
                self.actions.push(Action::Start {
                    worker,
                    task,
                    run: number,
                });
            }
        }
        if step.gang {
            self.finish_gang(tasks, &placed);
            for (_, worker) in placed {
                rooms.update(&self.workers, worker);
            }
        }
    }

    /// Starts a gang whose members all have a place, with one run number, or takes it back.
    fn finish_gang(&mut self, tasks: &[TaskKey], placed: &[(TaskKey, WorkerKey)]) {
        if placed.len() < tasks.len() {
            for &(task, worker) in placed {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.release(task);
                }
                if let Some(held) = self.task_mut(task) {
                    held.state = State::Waiting;
                }
            }
            return;
        }
        let number = placed
            .iter()
            .filter_map(|&(task, _)| self.task_mut(task).map(|held| held.run))
            .max()
            .unwrap_or(1);
        for &(task, worker) in placed {
            if let Some(held) = self.task_mut(task) {
                held.run = number;
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

    /// Counts the runs of a step on each worker, those that are being stopped too.
    fn step_spread(&self, of: TaskKey) -> BTreeMap<WorkerKey, u32> {
        let mut spread = BTreeMap::new();
        for (key, worker) in &self.workers {
            let count = worker.runs.range(of.siblings()).count() as u32;
            if count > 0 {
                spread.insert(*key, count);
            }
        }
        spread
    }

    /// Chooses the worker that fits best.
    ///
    /// The load that this answers: demand above the pool's room, where each core that lies
    /// between tasks is lost. So a task goes where the least is left over; lasting tasks go where
    /// the loss of a rack takes the fewest of their step.
    fn choose(
        &self,
        task: TaskKey,
        step: &Step,
        per_worker: &BTreeMap<WorkerKey, u32>,
        rooms: &Rooms,
        now: Duration,
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(&task.job)?;
        let stage = job.stage(task.occurrence, task.step)?;
        let held = stage.tasks.get(task.index as usize)?;
        let need = step.reserved();
        let home = if step.one_rack {
            per_worker
                .keys()
                .find_map(|key| self.workers.get(key))
                .map(|worker| worker.listing.rack().to_owned())
        } else {
            step.rack.clone()
        };
        let mut racks: BTreeMap<&str, usize> = BTreeMap::new();
        if step.lasts {
            for (key, count) in per_worker {
                if let Some(worker) = self.workers.get(key) {
                    *racks.entry(worker.listing.rack()).or_insert(0) += *count as usize;
                }
            }
        }
        let needs_advice = self.needs_advice(task);
        let permit = self.permits.get(&super::permit::step_of(task));
        let may_run = |key: &WorkerKey| {
            !needs_advice || permit.is_some_and(|permit| permit.ticket(*key, now).is_some())
        };
        let mut best: Option<(Fit, WorkerKey)> = None;
        for key in rooms.from(need.cpu) {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            if !may_run(key)
                || !worker.listing.capacity.fits(&worker.used, &need)
                || worker.runs.contains_key(&task)
            {
                continue;
            }
            if step
                .label
                .as_ref()
                .is_some_and(|label| !worker.listing.labels.contains(label))
            {
                continue;
            }
            let here = per_worker.get(key).copied().unwrap_or(0);
            if step.most_per_worker > 0 && here >= step.most_per_worker {
                continue;
            }
            let is_avoided = held.avoided == Some(*key) || !worker.strikes.is_empty();
            if held.avoided == Some(*key) && !held.failed_runs.is_empty() && self.workers.len() > 1
            {
                continue;
            }
            let rack = worker.listing.rack();
            let left = worker.listing.capacity.cpu - worker.used.cpu - need.cpu;
            let fit = Fit {
                is_avoided,
                is_slow: worker.slowness >= SLOW,
                is_far: home.as_deref().is_some_and(|home| home != rack),
                is_due: step.lasts && worker.is_due(now),
                crowding: racks.get(rack).copied().unwrap_or(0),
                room_left: left as f64 / worker.listing.capacity.cpu.max(1) as f64,
            };
            if best.is_none_or(|(other, _)| fit < other) {
                best = Some((fit, *key));
            }
            // The rooms come in their order, so the first without a fault leaves the least over.
            if !step.lasts && !fit.is_avoided && !fit.is_slow && !fit.is_far {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    /// Reserves room for a task on a worker and returns the number of its run.
    fn assign(&mut self, task: TaskKey, key: WorkerKey, need: Resources, now: Duration) -> u64 {
        let base = (self.term - 1) * RUNS_PER_TERM;
        let Some(held) = self.task_mut(task) else {
            return 0;
        };
        held.state = State::Placed(key);
        held.run = held.run.max(base) + 1;
        let number = held.run;
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.reserve(
                task,
                Run {
                    number,
                    reserved: need,
                    ordered_at: now,
                    asked_at: now,
                    may_exist: false,
                    is_confirmed: false,
                    is_reported: false,
                    stopping_at: None,
                    stop_confirmed_at: None,
                    percent: 0.0,
                    moved_at: now,
                    pace: 100,
                    serving_since: None,
                },
            );
        }
        number
    }
}
