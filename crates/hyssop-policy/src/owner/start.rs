use super::job::State;
use super::order::task_name;
use super::worker::{Permission, Run};
use super::{Action, Scheduler, TaskKey, WorkerKey};
use hyssop_platform::dialect::StartOutcome;
use std::time::Duration;

/// How long a worker without free capacity gets no new starts.
const FULL_PAUSE: Duration = Duration::from_millis(300);
/// How long a worker that rejects every start gets no new ones.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1_000);

/// How long after an unanswered start the same run is ordered again.
const RESEND_PAUSE: Duration = Duration::from_millis(250);
/// How long after being ordered a start is repeated if it was never sent, for example because no
/// connection was free.
const UNSENT_PAUSE: Duration = Duration::from_millis(1_500);

/// The result of the call that starts a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The worker answered the call.
    Answered(StartOutcome),
    /// No connection was established, so the worker has not received the start.
    Unsent,
    /// The answer was lost; the start may have taken effect or may still do so.
    Lost,
}

impl Run {
    /// Lets its start be ordered again after a short pause.
    pub(super) fn defer_start(&mut self, now: Duration) {
        let pause = if self.may_have_started {
            RESEND_PAUSE
        } else {
            UNSENT_PAUSE
        };
        self.start_attempted_at = (now + RESEND_PAUSE).saturating_sub(pause);
    }
}

impl Scheduler {
    /// Handles the result of a start.
    pub fn on_start_result(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: u64,
        result: StartResult,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if let (StartResult::Lost, Some(job)) = (result, self.jobs.get(&task.job)) {
            worker.record_unanswered_start(task_name(job, task), run, now);
        }
        let is_awaiting_result = worker
            .runs
            .get(&task)
            .is_some_and(|entry| entry.number == run && !entry.is_confirmed);
        if !is_awaiting_result {
            return;
        }
        match result {
            StartResult::Answered(StartOutcome::Done(clock)) => {
                if let Some(entry) = worker.runs.get_mut(&task) {
                    entry.is_confirmed = true;
                    entry.progressed_at = now;
                }
                if let Some(clock) = clock {
                    self.read_answered_clock(key, task, clock, now);
                }
                self.on_ticket_used(task);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.has_started = true;
                    job.first_started_at.get_or_insert(now);
                }
            }
            StartResult::Answered(StartOutcome::Fenced) => {
                log::warn!(
                    "event=fenced pool={} term={} worker={}",
                    self.pool,
                    self.term,
                    worker.listing.id
                );
                self.is_deposed = true;
            }
            StartResult::Answered(StartOutcome::OtherIncarnation) => self.remove_worker(key, now),
            StartResult::Answered(rejection) => {
                match rejection {
                    StartOutcome::Full => worker.excluded_until = now + FULL_PAUSE,
                    StartOutcome::Unhealthy | StartOutcome::Invalid => {
                        worker.excluded_until = now + UNHEALTHY_PAUSE;
                    }
                    StartOutcome::Late(Some(clock)) => {
                        worker.read_clock(clock, now);
                    }
                    _ => {}
                }
                log::info!(
                    "event=start-refused pool={} worker={} run={run} reason={rejection}",
                    self.pool,
                    worker.listing.id
                );
                if rejection == StartOutcome::NoTicket {
                    self.discard_ticket(task, key);
                }
                let Some(worker) = self.workers.get_mut(&key) else {
                    return;
                };
                let Some(entry) = worker.runs.get_mut(&task) else {
                    return;
                };
                if rejection == StartOutcome::Stale {
                    // The worker has had this run, perhaps by an order whose answer is still under
                    // way, and won't start it any more, as after a stop. It reports how it ended.
                    entry.stopping_at.get_or_insert(now);
                    entry.stop_confirmed_at.get_or_insert(now);
                } else if entry.may_have_started {
                    // An earlier order of the same run may have taken effect or may still do so.
                    self.stop_task(key, task, now);
                } else {
                    worker.unreserve(task);
                    self.requeue(task, key);
                }
            }
            StartResult::Unsent | StartResult::Lost => {
                let Some(entry) = worker.runs.get_mut(&task) else {
                    return;
                };
                entry.may_have_started |= result == StartResult::Lost;
                // The same run number is ordered again, which makes the start idempotent: the
                // worker has one run of that number even if the first order takes effect later.
                entry.start_attempted_at = now;
                if !entry.may_have_started {
                    worker.unreserve(task);
                    worker.excluded_until = worker.excluded_until.max(now + FULL_PAUSE);
                    self.requeue(task, key);
                }
            }
        }
    }

    /// Reads a worker's clock from the answer to a start. One that is behind shows that a later incarnation
    /// has answered, which the next report tells; the start has granted it a lease of the longest kind.
    fn read_answered_clock(&mut self, key: WorkerKey, task: TaskKey, clock_ms: i64, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let sent_at = worker.runs.get(&task).and_then(|run| run.sent_at);
        let drift = self.settings.clock_drift;
        let is_behind = sent_at.is_some_and(|at| worker.is_clock_behind(clock_ms, at, drift));
        worker.read_clock(clock_ms, now);
        if is_behind {
            worker.lease_end = worker.lease_end.max(now + self.settings.max_lease_span());
            worker.disputed_at = Some(now);
            log::info!(
                "event=clock-set-back pool={} worker={} incarnation={} clock_ms={clock_ms}",
                self.pool,
                worker.listing.id,
                worker.listing.incarnation
            );
        }
    }

    /// Handles the result of a stop. An unanswered stop is ordered again, at once if the worker is
    /// reachable and otherwise after its next report.
    pub fn on_stop_result(
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
            let has_name = |key: &TaskKey| {
                jobs.get(&key.job)
                    .is_some_and(|job| task_name(job, *key) == task)
            };
            for (key, entry) in &mut worker.runs {
                if entry.number == run && entry.stopping_at.is_some() && has_name(key) {
                    entry.stop_confirmed_at.get_or_insert(now);
                }
            }
            return;
        }
        if worker.unreachable_since.is_some() {
            worker.deferred_stops.insert(task.to_owned(), run);
        } else {
            self.actions.push(Action::Stop {
                worker: key,
                task: task.to_owned(),
                run,
            });
        }
    }

    /// Repeats unanswered starts on workers that may be given tasks, and gives up those on workers that
    /// may not be given any more.
    pub(super) fn review_starts(&mut self, now: Duration) {
        let mut withdrawn: Vec<(WorkerKey, TaskKey)> = Vec::new();
        for (key, worker) in &mut self.workers {
            let permission = worker.permission(now);
            for (task, run) in &mut worker.runs {
                if run.stopping_at.is_some() || run.is_confirmed || run.is_stray {
                    continue;
                }
                let pause = if run.may_have_started {
                    RESEND_PAUSE
                } else {
                    UNSENT_PAUSE
                };
                let is_due = now.saturating_sub(run.start_attempted_at) >= pause;
                match permission {
                    Permission::Granted if is_due => {
                        // Leaves time for the call, so that the start is not repeated meanwhile.
                        run.start_attempted_at = now + UNSENT_PAUSE;
                        self.actions.push(Action::Start {
                            worker: *key,
                            task: *task,
                            run: run.number,
                        });
                    }
                    Permission::Withdrawn if is_due || run.sent_at.is_none() => {
                        withdrawn.push((*key, *task));
                    }
                    _ => {}
                }
            }
        }
        for (key, task) in withdrawn {
            self.withdraw_start(key, task, now);
        }
    }

    /// Gives up an unanswered start, and with it those of all members of a gang, which work only
    /// together.
    pub(super) fn withdraw_start(&mut self, key: WorkerKey, task: TaskKey, now: Duration) {
        let Some(step) = self.jobs.get(&task.job).and_then(|job| job.step(task.step)) else {
            return;
        };
        let members: Vec<(WorkerKey, TaskKey)> = if step.gang {
            let workers = self.workers.iter();
            let of_gang = workers.flat_map(|(key, worker)| {
                let runs = worker.runs.range(task.siblings());
                runs.map(|(task, _)| (*key, *task))
            });
            of_gang.collect()
        } else {
            vec![(key, task)]
        };
        for (key, task) in members {
            self.withdraw_run(key, task, now);
        }
    }

    /// Requeues a task whose start was never sent; otherwise stops its run, so that the worker rejects
    /// the start if it has not arrived yet.
    fn withdraw_run(&mut self, key: WorkerKey, task: TaskKey, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let Some(run) = worker.runs.get(&task) else {
            return;
        };
        let was_sent = run.sent_at.is_some() || run.is_confirmed;
        log::info!(
            "event=start-withdrawn pool={} worker={} run={} sent={was_sent}",
            self.pool,
            worker.listing.id,
            run.number
        );
        if was_sent {
            self.stop_task(key, task, now);
        } else {
            worker.unreserve(task);
            self.requeue(task, key);
        }
    }

    /// Releases the capacity of runs that were stopped before they started, and requeues their
    /// tasks.
    ///
    /// These are runs whose stop the worker has confirmed, so that it rejects their start from then
    /// on, and that are missing from a report requested after the confirmation.
    pub(super) fn release_unstarted_runs(
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
                let name = task_name(job, *task);
                running
                    .iter()
                    .any(|entry| entry.run == number && entry.task.to_string() == name)
            })
        };
        let unstarted: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.stop_confirmed_at.is_some_and(|at| at <= sent_at))
            .filter(|(task, run)| !is_running(task, run.number))
            .map(|(task, _)| *task)
            .collect();
        for task in unstarted {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.unreserve(task);
            }
            self.requeue(task, key);
        }
    }

    /// Orders the run of a task on a worker to stop and returns whether it did; it doesn't if that
    /// is already ordered.
    pub(super) fn stop_task(&mut self, key: WorkerKey, task: TaskKey, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let name = task_name(job, task);
        let Some(worker) = self.workers.get_mut(&key) else {
            return false;
        };
        let has_departed = worker.has_departed;
        let Some(run) = worker.runs.get_mut(&task) else {
            return false;
        };
        if run.stopping_at.is_some() || has_departed {
            return false;
        }
        run.stopping_at = Some(now);
        self.actions.push(Action::Stop {
            worker: key,
            task: name,
            run: run.number,
        });
        true
    }

    /// Returns the worker to which a task is assigned.
    pub(super) fn assigned_worker(&self, task: TaskKey) -> Option<WorkerKey> {
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
