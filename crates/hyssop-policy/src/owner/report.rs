use super::budget::is_long_running;
use super::job::State;
use super::pace::UNKNOWN_PACE;
use super::worker::Run;
use super::{Action, Scheduler, TaskKey, WorkerKey};
use hyssop_model::work::{self, Report, Running};
use std::time::Duration;

/// How long completions may wait for the store before the worker is polled regardless.
const UNSTORED_PAUSE: Duration = Duration::from_millis(150);

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
        if report
            .incarnation
            .is_some_and(|incarnation| incarnation != worker.listing.incarnation)
        {
            let listing = work::Worker {
                incarnation: report.incarnation.unwrap_or_default(),
                ..worker.listing.clone()
            };
            self.register_worker(listing, now);
            return;
        }
        worker.unreachable_since = None;
        // Reports may arrive out of order, and the delay of a report makes the offset too small, so
        // an error only makes a lease expire earlier.
        worker.clock_offset_ms = Some(report.clock_ms - now.as_millis() as i64);
        worker.acknowledged = worker.acknowledged.max(acknowledged);
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        let is_first_report = !worker.has_reported;
        if is_first_report {
            worker.has_reported = true;
            self.is_placement_due = true;
        }
        for running in &report.running {
            self.reconcile_run(key, running, sent_at, now);
        }
        self.pace(key, &report.running, now);
        let mut completions = report.completions;
        completions.sort_by_key(|completion| completion.number);
        for completion in completions {
            self.apply_completion(key, completion, now);
        }
        if is_first_report {
            self.reconcile_inherited_runs(key, sent_at);
        }
        self.release_unstarted_runs(key, &report.running, sent_at);
        self.unreported_workers.remove(&name);
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

    /// Marks a worker as unreachable after a renewal without a usable report.
    pub fn on_report_failure(&mut self, key: WorkerKey, now: Duration) {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.is_polling = false;
            worker.polled_at = now;
            worker.unreachable_since.get_or_insert(now);
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
                if running.percent != run.percent {
                    run.percent = running.percent;
                    run.progressed_at = now;
                }
                if running.percent >= 100.0 {
                    run.serving_since.get_or_insert(now);
                } else {
                    run.serving_since = None;
                }
                return;
            }
            if run.number > running.run {
                return;
            }
        }
        let is_final = job.phase.is_final();
        let step = job.step(task.step).cloned();
        job.has_started = true;
        let entry = job
            .stage_mut(task.occurrence, task.step)
            .and_then(|stage| stage.tasks.get_mut(task.index as usize));
        let (Some(entry), Some(step)) = (entry, step) else {
            self.actions.push(stop());
            return;
        };
        let may_adopt = !is_final && matches!(entry.state, State::Orphaned | State::Waiting);
        if may_adopt {
            entry.state = State::Placed(key);
            entry.run = entry.run.max(running.run);
        }
        if may_adopt && !running.checkpoint.is_empty() {
            job.save_checkpoint(task, &running.checkpoint);
        }
        worker.reserve(
            task,
            Run {
                number: running.run,
                reserved: step.reserved(),
                ordered_at: sent,
                start_attempted_at: sent,
                may_have_started: false,
                is_confirmed: true,
                is_reported: true,
                stopping_at: (!may_adopt).then_some(now),
                stop_confirmed_at: None,
                percent: running.percent,
                progressed_at: now,
                pace: UNKNOWN_PACE,
                serving_since: (running.percent >= 100.0).then_some(now),
            },
        );
        if !may_adopt {
            self.actions.push(stop());
        }
    }

    /// Polls workers for reports: those with runs, those that have not reported in this term, and
    /// those with stored completions that are not acknowledged.
    pub(super) fn poll_workers(&mut self, now: Duration) {
        for (key, worker) in &mut self.workers {
            if worker.is_polling {
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
                extends || !worker.has_reported || worker.acknowledged < worker.stored
            };
            if !is_due {
                continue;
            }
            worker.is_polling = true;
            let jobs = &self.jobs;
            let is_starting = worker.runs.iter().any(|(task, run)| {
                run.is_confirmed && run.serving_since.is_none() && is_long_running(jobs, *task)
            });
            let wait = if extends && worker.has_reported && !is_unreachable {
                // Other tasks of a long-running step may have to wait until this one is serving.
                if is_starting {
                    self.settings.start_wait
                } else {
                    self.settings.report_wait
                }
            } else {
                Duration::ZERO
            };
            self.actions.push(Action::Renew {
                worker: *key,
                wait,
                extends,
            });
        }
    }
}
