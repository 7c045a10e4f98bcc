use super::budget::is_long_running;
use super::job::State;
use super::pace::UNKNOWN_PACE;
use super::worker::{Run, ORDER_LATENESS};
use super::{Action, Scheduler, TaskKey, WorkerKey};
use hyssop_model::work::{self, Report, Running};
use std::time::Duration;

/// How long completions may wait for the store before the worker is polled regardless.
const UNSTORED_PAUSE: Duration = Duration::from_millis(150);
/// How long a report may be delayed that shows whether a run has started, for which its task waits.
const SETTLE_WAIT: Duration = Duration::from_millis(40);

impl Scheduler {
    /// Handles the report that answers a renewal sent at `sent_at`, which acknowledged completions
    /// up to number `acknowledged`.
    pub fn receive(
        &mut self,
        key: WorkerKey,
        report: Report,
        sent_at: Duration,
        acknowledged: u64,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.is_polling = false;
        worker.polled_at = now;
        worker.extension_sent_at = None;
        if self.is_handing_over {
            return;
        }
        let other = report
            .incarnation
            .filter(|incarnation| *incarnation != worker.listing.incarnation);
        if let Some(incarnation) = other {
            self.on_other_incarnation(key, incarnation, acknowledged, now);
            return;
        }
        if worker.unreachable_since.take().is_some() {
            worker.heard_again_at = Some(now);
        }
        worker.report_requested_at = worker.report_requested_at.max(sent_at);
        if worker.disputed_at.is_some_and(|at| at <= sent_at) {
            worker.disputed_at = None;
            self.is_placement_due = true;
        }
        // Reports may arrive out of order, and the delay of a report makes the offset too small, so
        // an error only makes a lease expire earlier.
        worker.read_clock(report.clock_ms, now);
        worker.acknowledged = worker.acknowledged.max(acknowledged);
        // A run that is missing from an incomplete report may be among the completions that follow.
        let is_complete = !report.has_more_completions;
        let is_first_report = !worker.has_reported && is_complete;
        if is_first_report {
            worker.has_reported = true;
            worker.limit_inherited_lease(&report, self.settings.lease_span(), now);
            self.is_placement_due = true;
        }
        let had_unknown_runs = std::mem::take(&mut worker.has_unknown_runs);
        for running in &report.running {
            self.reconcile_run(key, running, sent_at, now);
        }
        self.on_unknown_runs(key, had_unknown_runs);
        self.pace(key, &report.running, now);
        let mut completions = report.completions;
        completions.sort_by_key(|completion| completion.number);
        for completion in completions {
            self.apply_completion(key, completion, now);
        }
        if is_complete {
            self.settle_strays(key, now);
            self.release_unstarted_runs(key, &report.running, sent_at);
            self.on_complete_report(key, now);
        }
        if let Some(worker) = self.workers.get_mut(&key) {
            let deferred_stops = std::mem::take(&mut worker.deferred_stops);
            for (task, run) in deferred_stops {
                self.actions.push(Action::Stop {
                    worker: key,
                    task,
                    run,
                });
            }
        }
    }

    /// Notes that a renewal got no answer, and may still be carried out.
    pub fn on_renewal_lost(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.give_up_extension(ORDER_LATENESS);
        }
    }

    /// Marks a worker as unreachable after a renewal without a usable report.
    pub fn on_report_failure(&mut self, key: WorkerKey, now: Duration) {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.is_polling = false;
            worker.polled_at = now;
            worker.extension_sent_at = None;
            if worker.unreachable_since.is_none() {
                worker.unreachable_since = Some(now);
                log::info!(
                    "event=worker-silent pool={} term={} worker={} incarnation={} runs={} \
                     leases_end_in_ms={}",
                    self.pool,
                    self.term,
                    worker.listing.id,
                    worker.listing.incarnation,
                    worker.runs.len(),
                    worker.lease_end.saturating_sub(now).as_millis()
                );
            }
        }
    }

    /// Reconciles a run that a worker reports as running: updates its progress if it is known,
    /// adopts it if its task is orphaned or waiting, and orders it to stop otherwise.
    fn reconcile_run(&mut self, key: WorkerKey, running: &Running, sent: Duration, now: Duration) {
        let stop = || Action::Stop {
            worker: key,
            task: running.task.to_string(),
            run: running.run,
        };
        let found = self.job_keys.get(&running.task.job).copied();
        if let Some(job_key) = found {
            self.open_reported_occurrence(job_key, running.task.occurrence, now);
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let Some((job_key, job)) = found.and_then(|k| Some((k, self.jobs.get_mut(&k)?))) else {
            // All accepted jobs are known, so this run does not belong to one.
            worker.has_unknown_runs = true;
            self.actions.push(stop());
            return;
        };
        let task = TaskKey {
            job: job_key,
            occurrence: running.task.occurrence,
            step: running.task.step,
            index: running.task.index,
        };
        if let Some(run) = worker.runs.get_mut(&task) {
            if run.number == running.run {
                run.is_confirmed = true;
                run.is_reported = true;
                let was_stray = std::mem::take(&mut run.is_stray);
                if running.percent != run.percent {
                    run.percent = running.percent;
                    run.progressed_at = now;
                }
                if running.percent >= 100.0 {
                    run.serving_since.get_or_insert(now);
                } else {
                    run.serving_since = None;
                }
                if was_stray && !self.is_suitable(key, task) {
                    self.stop_task(key, task, now);
                }
                return;
            }
            if run.number > running.run {
                return;
            }
        }
        let is_final = job.phase.is_final();
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        let unreported = self.unreported_workers.get(&name);
        let was_stopping = unreported.is_some_and(|known| known.stopping.contains(&task));
        let step = job.step(task.step).cloned();
        job.has_started = true;
        let entry = job
            .stage_mut(task.occurrence, task.step)
            .and_then(|stage| stage.tasks.get_mut(task.index as usize));
        let (Some(entry), Some(step)) = (entry, step) else {
            worker.has_unknown_runs = true;
            self.actions.push(stop());
            return;
        };
        let may_adopt = !is_final && matches!(entry.state, State::Orphaned | State::Waiting);
        let conflict = (!may_adopt && !is_final).then_some(entry.state);
        if may_adopt {
            entry.state = State::Placed(key);
            entry.run = entry.run.max(running.run);
        }
        if may_adopt && !running.checkpoint.is_empty() {
            job.save_checkpoint(task, &running.checkpoint);
        }
        let charge = self.charge_of(task);
        self.outdate_usage();
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.reserve(
            task,
            Run {
                number: running.run,
                reserved: step.reserved(),
                charge,
                ordered_at: sent,
                start_attempted_at: sent,
                may_have_started: false,
                is_confirmed: true,
                is_reported: true,
                sent_at: None,
                is_stray: false,
                stopping_at: (!may_adopt).then_some(now),
                stop_confirmed_at: None,
                percent: running.percent,
                progressed_at: now,
                pace: UNKNOWN_PACE,
                serving_since: (running.percent >= 100.0).then_some(now),
                is_whole: false,
                observed_ms: None,
                overdue_after: Duration::ZERO,
            },
        );
        if let Some(state) = conflict {
            self.log_run_conflict(key, &running.task, running.run, state);
        }
        if !may_adopt {
            self.actions.push(stop());
        } else if was_stopping || !self.is_suitable(key, task) {
            self.stop_task(key, task, now);
        }
    }

    /// Logs that a worker has begun or ceased to list runs of which the owner doesn't know what they
    /// use; it is given no tasks meanwhile.
    fn on_unknown_runs(&mut self, key: WorkerKey, had_unknown_runs: bool) {
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        if worker.has_unknown_runs == had_unknown_runs {
            return;
        }
        self.is_placement_due = true;
        log::info!(
            "event=unknown-runs pool={} term={} worker={} listed={}",
            self.pool,
            self.term,
            worker.listing.id,
            worker.has_unknown_runs
        );
    }

    /// Logs that a worker has reported a run of a task that is done or assigned to another worker.
    pub(super) fn log_run_conflict(
        &self,
        key: WorkerKey,
        task: &work::Task,
        run: u64,
        state: State,
    ) {
        let id = |key: WorkerKey| {
            let worker = self.workers.get(&key);
            worker.map_or("removed", |worker| worker.listing.id.as_str())
        };
        let (state, other) = match state {
            State::Placed(assigned) => ("assigned", id(assigned)),
            State::Done => ("done", "none"),
            State::Waiting | State::Orphaned => ("waiting", "none"),
        };
        log::warn!(
            "event=run-conflict pool={} term={} task={task} run={run} worker={} state={state} \
             other_worker={other}",
            self.pool,
            self.term,
            id(key)
        );
    }

    /// Returns whether a worker that runs a task satisfies the task's requirements.
    ///
    /// It need not if the start was sent to a previous incarnation, which may have been of another
    /// kind.
    fn is_suitable(&self, key: WorkerKey, task: TaskKey) -> bool {
        let (Some(worker), Some(job)) = (self.workers.get(&key), self.jobs.get(&task.job)) else {
            return false;
        };
        let Some(step) = job.step(task.step) else {
            return false;
        };
        let has_label = step
            .label
            .as_ref()
            .is_none_or(|label| worker.listing.labels.contains(label));
        let siblings = worker.runs.range(task.siblings());
        let siblings = siblings
            .filter(|(_, run)| run.stopping_at.is_none())
            .count();
        let is_spread = step.max_per_worker == 0 || siblings <= step.max_per_worker as usize;
        let is_suitable = has_label && is_spread && worker.has_room_for_runs();
        if !is_suitable {
            log::info!(
                "event=run-unsuitable pool={} worker={} incarnation={} job={} step={} index={} \
                 has_label={has_label} is_spread={is_spread}",
                self.pool,
                worker.listing.id,
                worker.listing.incarnation,
                job.id,
                task.step,
                task.index
            );
        }
        is_suitable
    }

    /// Polls workers for reports: those with runs, those that have not reported in this term, and
    /// those with stored completions that are not acknowledged.
    pub(super) fn poll_workers(&mut self, now: Duration) {
        for (key, worker) in &mut self.workers {
            if worker.is_polling || worker.has_departed {
                continue;
            }
            let since = now.saturating_sub(worker.polled_at);
            let is_unreachable = worker.unreachable_since.is_some();
            // Extending the leases of an unreachable worker would only delay their expiry.
            let extends = !worker.runs.is_empty() && !is_unreachable;
            let is_due = if is_unreachable {
                since >= self.settings.retry_pause
            } else if worker.stored < worker.applied {
                // The commit of the completion is in flight; the next renewal acknowledges it.
                since >= UNSTORED_PAUSE
            } else {
                extends
                    || !worker.has_reported
                    || worker.disputed_at.is_some()
                    || worker.has_unknown_runs
                    || worker.acknowledged < worker.stored
            };
            if !is_due {
                continue;
            }
            worker.is_polling = true;
            let jobs = &self.jobs;
            let is_starting = worker.runs.iter().any(|(task, run)| {
                run.is_confirmed && run.serving_since.is_none() && is_long_running(jobs, *task)
            });
            let is_incarnation_known = worker.has_reported && worker.disputed_at.is_none();
            let may_wait = extends || worker.has_unknown_runs;
            let wait = if may_wait && is_incarnation_known && !is_unreachable {
                // Other tasks of a long-running step may have to wait until this one is serving.
                if is_starting {
                    self.settings.start_wait
                } else {
                    self.settings.report_wait
                }
            } else {
                Duration::ZERO
            };
            let wait = if worker.has_unsettled_runs() {
                wait.min(SETTLE_WAIT)
            } else {
                wait
            };
            self.actions.push(Action::Renew {
                worker: *key,
                wait,
                extends,
            });
        }
    }
}
