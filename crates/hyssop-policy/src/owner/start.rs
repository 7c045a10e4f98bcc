use super::job::State;
use super::{Action, Owner, TaskKey, WorkerKey};
use hyssop_platform::dialect::Started;
use std::time::Duration;

/// A worker without room is asked again once something has ended there, or after this time.
const FULL_PAUSE: Duration = Duration::from_millis(300);
/// A worker that takes nothing is asked again after this time.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1_000);

/// An unanswered start is sent again after this time.
const RESEND_PAUSE: Duration = Duration::from_millis(250);
/// A start that was not even sent, for want of a connection's turn, is ordered again after this.
const UNSENT_PAUSE: Duration = Duration::from_millis(1_500);

/// Says what came back for a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The worker answered.
    Given(Started),
    /// No connection came about, so the worker has not heard of it.
    Unsent,
    /// No answer came; the start may be carried out, now or later.
    Lost,
}

impl Owner {
    /// Takes what came back for a start.
    pub fn started(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: u64,
        answer: Answer,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let is_held = worker
            .runs
            .get(&task)
            .is_some_and(|held| held.number == run && !held.is_confirmed);
        if !is_held {
            return;
        }
        match answer {
            Answer::Given(Started::Done(clock)) => {
                if let Some(held) = worker.runs.get_mut(&task) {
                    held.is_confirmed = true;
                    held.moved_at = now;
                }
                if let Some(clock) = clock {
                    worker.clock_offset_ms = Some(clock - now.as_millis() as i64);
                }
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.has_started = true;
                    job.begun_at.get_or_insert(now);
                }
            }
            Answer::Given(Started::Fenced) => {
                log::warn!(
                    "event=fenced pool={} term={} worker={}",
                    self.pool,
                    self.term,
                    worker.listing.id
                );
                self.is_deposed = true;
            }
            Answer::Given(Started::OtherIncarnation) => self.lose_worker(key, now),
            Answer::Given(refusal) => {
                match refusal {
                    Started::Full => worker.blocked_until = now + FULL_PAUSE,
                    Started::Unhealthy | Started::Invalid => {
                        worker.blocked_until = now + UNHEALTHY_PAUSE;
                    }
                    Started::Late(Some(clock)) => {
                        worker.clock_offset_ms = Some(clock - now.as_millis() as i64);
                    }
                    _ => {}
                }
                log::info!(
                    "event=start-refused pool={} worker={} run={run} reason={refusal}",
                    self.pool,
                    worker.listing.id
                );
                if refusal == Started::NoTicket {
                    self.drop_ticket(task, key);
                }
                let Some(worker) = self.workers.get_mut(&key) else {
                    return;
                };
                let may_exist = worker.runs.get(&task).is_some_and(|held| held.may_exist);
                if may_exist {
                    // An earlier order of the same run may have been carried out, or may be yet.
                    self.stop_task(key, task, now);
                } else {
                    worker.release(task);
                    self.requeue(task, key);
                }
            }
            Answer::Unsent | Answer::Lost => {
                let Some(held) = worker.runs.get_mut(&task) else {
                    return;
                };
                held.may_exist |= answer == Answer::Lost;
                // The same run is ordered again: if the first order took effect, or does so
                // later, the worker has just one run of that number.
                held.asked_at = now;
                if !held.may_exist {
                    worker.release(task);
                    worker.blocked_until = worker.blocked_until.max(now + FULL_PAUSE);
                    self.requeue(task, key);
                }
            }
        }
    }

    /// Takes the answer to a stop; without one it is ordered again while the worker answers holds.
    pub fn stopped(
        &mut self,
        key: WorkerKey,
        task: &str,
        run: u64,
        is_answered: bool,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if is_answered {
            let jobs = &self.jobs;
            let is_meant = |key: &TaskKey| {
                jobs.get(&key.job)
                    .is_some_and(|job| super::order::task_name(job, *key) == task)
            };
            for (key, held) in &mut worker.runs {
                if held.number == run && held.stopping_at.is_some() && is_meant(key) {
                    held.stop_confirmed_at.get_or_insert(now);
                }
            }
            return;
        }
        if worker.silent_since.is_some() {
            worker.doubtful.insert(task.to_owned(), run);
        } else {
            self.actions.push(Action::Stop {
                worker: key,
                task: task.to_owned(),
                run,
            });
        }
    }

    /// Orders again the starts that were left unanswered by workers that answer holds.
    pub(super) fn watch_starts(&mut self, now: Duration) {
        for (key, worker) in &mut self.workers {
            if worker.silent_since.is_some() {
                continue;
            }
            for (task, run) in &mut worker.runs {
                let pause = if run.may_exist {
                    RESEND_PAUSE
                } else {
                    UNSENT_PAUSE
                };
                if run.stopping_at.is_none()
                    && !run.is_confirmed
                    && now.saturating_sub(run.asked_at) >= pause
                {
                    // The call itself takes its time; it is not sent again meanwhile.
                    run.asked_at = now + UNSENT_PAUSE;
                    self.actions.push(Action::Start {
                        worker: *key,
                        task: *task,
                        run: run.number,
                    });
                }
            }
        }
    }

    /// Frees the room of runs that were stopped before they took effect: the worker has confirmed
    /// the stop, so that it rejects the run from then on, and a report asked for later than that
    /// tells of no such run.
    pub(super) fn release_never_begun(
        &mut self,
        key: WorkerKey,
        running: &[hyssop_model::work::Running],
        sent_at: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let jobs = &self.jobs;
        let is_running = |task: &TaskKey, number: u64| {
            jobs.get(&task.job).is_some_and(|job| {
                let name = super::order::task_name(job, *task);
                running
                    .iter()
                    .any(|entry| entry.run == number && entry.task.to_string() == name)
            })
        };
        let never_begun: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.stop_confirmed_at.is_some_and(|at| at <= sent_at))
            .filter(|(task, run)| !is_running(task, run.number))
            .map(|(task, _)| *task)
            .collect();
        for task in never_begun {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.release(task);
            }
            self.requeue(task, key);
        }
    }

    /// Orders the run of a task to stop.
    pub(super) fn stop_task(&mut self, key: WorkerKey, task: TaskKey, now: Duration) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let name = super::order::task_name(job, task);
        let Some(run) = self
            .workers
            .get_mut(&key)
            .and_then(|worker| worker.runs.get_mut(&task))
        else {
            return;
        };
        if run.stopping_at.is_some() {
            return;
        }
        run.stopping_at = Some(now);
        self.actions.push(Action::Stop {
            worker: key,
            task: name,
            run: run.number,
        });
    }

    /// Tells where a task runs.
    pub(super) fn holder(&self, task: TaskKey) -> Option<WorkerKey> {
        let stage = self
            .jobs
            .get(&task.job)?
            .stage(task.occurrence, task.step)?;
        match stage.tasks.get(task.index as usize)?.state {
            State::Placed(worker) => Some(worker),
            _ => None,
        }
    }
}
