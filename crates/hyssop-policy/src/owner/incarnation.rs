use super::job::State;
use super::order::task_name;
use super::worker::{has_open_start, Run, Stretch, UnansweredStart, IN_FLIGHT, ORDER_LATENESS};
use super::{Action, Scheduler, TaskKey, Worker, WorkerKey};
use hyssop_model::work;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Scheduler {
    /// Records that the registry lists another incarnation than the known one, whose next report
    /// decides: a worker's clock may have been set back before it started again.
    pub(super) fn dispute_incarnation(
        &mut self,
        key: WorkerKey,
        listing: work::Worker,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let is_known = worker
            .other_listing
            .as_ref()
            .is_some_and(|other_listing| other_listing.incarnation == listing.incarnation);
        if !is_known {
            log::info!(
                "event=registration-disputed pool={} worker={} incarnation={} listed={} at_ms={}",
                self.pool,
                listing.id,
                worker.listing.incarnation,
                listing.incarnation,
                now.as_millis()
            );
            worker.disputed_at = Some(now);
        }
        worker.other_listing = Some(listing);
    }

    /// Replaces a worker's known incarnation by the one that has reported, to a renewal that
    /// acknowledged completions up to number `acknowledged`.
    ///
    /// Its labels and capacity are unknown until the registry lists it, unless it has done so.
    pub(super) fn on_other_incarnation(
        &mut self,
        key: WorkerKey,
        incarnation: i64,
        acknowledged: u64,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let name = (worker.listing.id.clone(), incarnation);
        if self.terminated_workers.contains(&name) {
            worker.unreachable_since.get_or_insert(now);
            return;
        }
        let previous = worker.listing.clone();
        let other_listing = worker.other_listing.take();
        let listed = other_listing.filter(|other_listing| other_listing.incarnation == incarnation);
        let is_listed = listed.is_some();
        let listing = listed.unwrap_or_else(|| work::Worker {
            incarnation,
            ..previous.clone()
        });
        let is_previous = |other| other != incarnation;
        self.replace_unreported(&name, is_previous, now);
        let interruption = self.interruption(&listing.instance);
        let inheritance = self.replace_incarnations(&name.0, is_previous, Evidence::Reported, now);
        if acknowledged > 0 && !inheritance.strays.is_empty() {
            log::warn!(
                "event=completions-lost pool={} worker={} incarnation={incarnation} \
                 acknowledged={acknowledged} runs={} reason=acknowledged-to-next-incarnation",
                self.pool,
                name.0,
                inheritance.strays.len()
            );
        }
        self.insert_incarnation(listing, interruption, inheritance, now);
        let key = self.worker_key(&name.0, incarnation);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.is_listed &= is_listed;
            worker.other_listing = Some(previous);
            worker.record_succession(now, self.settings.stretched_lease_span(Stretch::Late));
        }
    }

    /// Removes the previous incarnations of a worker and returns what the new one, which has the same
    /// identifier, may still be reached by.
    ///
    /// All other runs of them are gone, unless only a registration tells of the new incarnation while the
    /// known one has been heard: it may be that of one that ended before, whose clock was ahead.
    pub(super) fn replace_incarnations(
        &mut self,
        id: &str,
        is_previous: impl Fn(i64) -> bool,
        evidence: Evidence,
        now: Duration,
    ) -> Inheritance {
        let previous: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listing.id == id)
            .filter(|(_, worker)| is_previous(worker.listing.incarnation))
            .map(|(key, _)| *key)
            .collect();
        let mut strays = Vec::new();
        let mut lease_end = Duration::ZERO;
        for key in previous {
            let Some(worker) = self.workers.get_mut(&key) else {
                continue;
            };
            let may_live = evidence == Evidence::Registered
                && worker.has_reported
                && worker.unreachable_since.is_none();
            if may_live {
                lease_end = lease_end.max(worker.lease_end);
            }
            let tasks: Vec<TaskKey> = worker
                .runs
                .iter()
                .filter(|(_, run)| {
                    run.is_stray || may_live && run.is_confirmed || run.may_reach_next(now)
                })
                .map(|(task, _)| *task)
                .collect();
            for task in tasks {
                if let Some(run) = worker.unreserve(task) {
                    strays.push(Stray {
                        task,
                        run,
                        previous: key,
                    });
                }
            }
            self.remove_worker(key, now);
        }
        let mut inheritance = self.late_orders.remove(id).unwrap_or_default();
        // The answers to these starts don't count for the new incarnation, so whether they come is unknown.
        for stray in &strays {
            let name = self.jobs.get(&stray.task.job);
            let name = name.map(|job| task_name(job, stray.task));
            if let (Some(name), Some(sent_at)) = (name, stray.run.sent_at) {
                let run = stray.run.number;
                let until = sent_at + ORDER_LATENESS;
                inheritance.add_unanswered_start(name, UnansweredStart { run, until });
            }
        }
        Inheritance {
            strays,
            lease_end,
            ..inheritance
        }
    }

    /// Keeps what may still reach the next incarnation of a worker that is removed.
    pub(super) fn keep_late_orders(&mut self, mut worker: Worker, now: Duration) {
        worker.give_up_extension(IN_FLIGHT);
        self.late_orders
            .retain(|_, inheritance| inheritance.is_needed(now));
        let mut kept = Inheritance {
            unanswered_starts: worker.unanswered_starts,
            late_orders_until: worker.late_orders_until,
            ..Inheritance::default()
        };
        if !kept.is_needed(now) {
            return;
        }
        let known = self.late_orders.remove(&worker.listing.id);
        let known = known.unwrap_or_default();
        kept.late_orders_until = kept.late_orders_until.max(known.late_orders_until);
        for (task, start) in known.unanswered_starts {
            kept.add_unanswered_start(task, start);
        }
        self.late_orders.insert(worker.listing.id, kept);
    }

    /// Passes what is left of the previous incarnations to the new one.
    ///
    /// The tasks of stray runs are not started elsewhere until it is certain that this incarnation neither
    /// runs them nor will. They are not ordered here: only placement gives tasks to an incarnation. An
    /// unanswered start of any other task is rejected by a stop in advance: its task may be running
    /// elsewhere, or be done.
    pub(super) fn bequeath(&mut self, key: WorkerKey, inheritance: Inheritance, now: Duration) {
        let Inheritance {
            strays,
            lease_end,
            mut unanswered_starts,
            late_orders_until,
        } = inheritance;
        unanswered_starts.retain(|_, start| now < start.until);
        self.assign_strays(key, strays, now);
        let max_lease_span = self.settings.max_lease_span();
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.lease_end = worker.lease_end.max(lease_end);
        if now < late_orders_until {
            worker.late_orders_until = late_orders_until;
            worker.lease_end = worker.lease_end.max(late_orders_until + max_lease_span);
        }
        let strays: BTreeSet<String> = worker
            .runs
            .keys()
            .filter_map(|task| Some(task_name(self.jobs.get(&task.job)?, *task)))
            .collect();
        if !worker.has_departed {
            for (task, start) in &unanswered_starts {
                if !strays.contains(task) {
                    self.actions.push(Action::Stop {
                        worker: key,
                        task: task.clone(),
                        run: start.run,
                    });
                }
            }
        }
        worker.unanswered_starts = unanswered_starts;
    }

    /// Assigns stray runs to the worker's new incarnation.
    ///
    /// Stops are repeated, so that a start that arrives later is rejected.
    fn assign_strays(&mut self, key: WorkerKey, strays: Vec<Stray>, now: Duration) {
        let max_lease_span = self.settings.max_lease_span();
        for stray in strays {
            let Stray {
                task,
                run,
                previous,
            } = stray;
            if let Some(entry) = self.task_mut(task) {
                if entry.state == State::Placed(previous) {
                    entry.state = State::Placed(key);
                }
            }
            let is_stopping = run.stopping_at.is_some();
            let Some(worker) = self.workers.get_mut(&key) else {
                return;
            };
            if let Some(until) = run.arrives_until() {
                worker.lease_end = worker.lease_end.max(until + max_lease_span);
            }
            worker.reserve(
                task,
                Run {
                    is_stray: true,
                    is_whole: false,
                    is_confirmed: false,
                    is_reported: false,
                    stopping_at: None,
                    stop_confirmed_at: None,
                    ..run
                },
            );
            if is_stopping && !worker.has_departed {
                self.stop_task(key, task, now);
            }
        }
    }

    /// Orders the stray runs to stop that are missing from a complete report, so that the worker rejects
    /// their starts from then on.
    pub(super) fn settle_strays(&mut self, key: WorkerKey, now: Duration) {
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        let missing: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_stray && run.stopping_at.is_none())
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.stop_task(key, task, now);
        }
    }

    /// Returns what the fleet's owner intends for an instance. It concerns the instance, whichever
    /// worker runs there.
    pub(super) fn interruption(&self, instance: &str) -> Interruption {
        let workers = self.workers.values().filter(|worker| {
            !instance.is_empty() && worker.listing.instance == instance && !worker.has_departed
        });
        workers.fold(Interruption::default(), |known, worker| Interruption {
            evacuating_until: known.evacuating_until.max(worker.evacuating_until),
            released_until: known.released_until.max(worker.released_until),
            maintenance_due_until: known
                .maintenance_due_until
                .max(worker.maintenance_due_until),
        })
    }
}

/// What tells of a worker's new incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// Its registration.
    Registered,
    /// Its own report.
    Reported,
}

/// What may still reach a worker of the orders to its previous incarnations.
#[derive(Clone, Debug, Default)]
pub(super) struct Inheritance {
    /// Runs whose tasks were assigned to a previous incarnation.
    pub(super) strays: Vec<Stray>,
    /// When the leases of a previous incarnation that may still live have certainly expired.
    lease_end: Duration,
    /// Starts that got no answer, by task name.
    unanswered_starts: BTreeMap<String, UnansweredStart>,
    /// Until when an order that extends leases may still be carried out.
    late_orders_until: Duration,
}

impl Inheritance {
    /// Returns whether an order may still reach the next incarnation.
    fn is_needed(&self, now: Duration) -> bool {
        let mut starts = self.unanswered_starts.values();
        now < self.late_orders_until || starts.any(|start| now < start.until)
    }

    /// Returns the names of the tasks whose starts may still be carried out.
    pub(super) fn open_starts(&self, now: Duration) -> impl Iterator<Item = &str> {
        let starts = self.unanswered_starts.iter();
        let open = starts.filter(move |(_, start)| now < start.until);
        open.map(|(task, _)| task.as_str())
    }

    /// Returns whether a start may still be carried out of a task whose name begins with `prefix`.
    pub(super) fn has_unanswered_start(&self, prefix: &str, now: Duration) -> bool {
        has_open_start(&self.unanswered_starts, prefix, now)
    }

    fn add_unanswered_start(&mut self, task: String, start: UnansweredStart) {
        let known = self.unanswered_starts.entry(task).or_insert(start);
        known.run = known.run.max(start.run);
        known.until = known.until.max(start.until);
    }
}

/// A run whose start was sent to a previous incarnation of a worker.
#[derive(Clone, Debug)]
pub(super) struct Stray {
    task: TaskKey,
    run: Run,
    previous: WorkerKey,
}

/// The ends of the periods in which the fleet's owner may shut down an instance or wants it empty.
#[derive(Default)]
pub(super) struct Interruption {
    pub(super) evacuating_until: Option<Duration>,
    pub(super) released_until: Option<Duration>,
    pub(super) maintenance_due_until: Option<Duration>,
}
