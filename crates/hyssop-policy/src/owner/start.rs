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
                worker.release(task);
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
                self.requeue(task, key);
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
    pub fn stopped(&mut self, key: WorkerKey, task: &str, run: u64, is_answered: bool) {
        if is_answered {
            return;
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
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

    /// Orders again what was left unanswered by a worker that answers once more, and releases
    /// starts that were stopped before they took effect.
    pub(super) fn watch_starts(&mut self, now: Duration) {
        /// A confirmed stop of a run that never began frees its room after this time: the
        /// worker rejects that run from then on, so no ending will tell of it.
        const NEVER_BEGUN: Duration = Duration::from_millis(2_000);
        let mut freed = Vec::new();
        for (key, worker) in &mut self.workers {
            if worker.silent_since.is_some() {
                continue;
            }
            for (task, run) in &mut worker.runs {
                let is_stopped = run
                    .stopping_at
                    .is_some_and(|at| now.saturating_sub(at) >= NEVER_BEGUN);
                if is_stopped && !run.is_confirmed {
                    freed.push((*key, *task));
                } else if run.stopping_at.is_none()
                    && !run.is_confirmed
                    && now.saturating_sub(run.asked_at)
                        >= if run.may_exist {
                            RESEND_PAUSE
                        } else {
                            UNSENT_PAUSE
                        }
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
        for (key, task) in freed {
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
