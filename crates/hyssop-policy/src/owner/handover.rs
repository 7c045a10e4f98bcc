use super::budget::RELEASE_DURATION;
use super::order::task_name;
use super::unreported::{Unreported, RELISTING_TIME};
use super::worker::{Stretch, Worker};
use super::{Record, Scheduler, TaskKey, WorkerKey};
use hyssop_model::work;
use hyssop_platform::rows::{decode, encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use strum::Display;

/// Table of the rows in which an owner that stops as planned describes the pool to its successor.
pub(super) const HANDOVER: &str = "handover";
const HANDOVER_KEY: &str = "handover";
/// The layout of the row. Another one is refused, and the successor waits as after a crash.
const LAYOUT: u32 = 1;

/// What an owner that has stopped acting knows about the workers that may run tasks.
///
/// Times are durations from the moment at which the owner stopped acting, which no later reader can
/// overestimate, whatever its clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Handover {
    layout: u32,
    /// The term that ended.
    term: u64,
    /// Whether all workers' lists of tasks are complete: a task of an open job that is in no list
    /// doesn't run.
    has_placements: bool,
    /// How long the owner would still have waited before it interrupted tasks with a budget, in
    /// milliseconds.
    interrupt_pause_ms: u64,
    /// How long an earlier owner that doesn't know of its end may still act, in milliseconds.
    authority_ms: u64,
    /// The workers that may run tasks, have completions to report or are released. All others are idle.
    workers: Vec<Entry>,
}

/// One worker of a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    id: String,
    incarnation: i64,
    /// How long its leases may last, in milliseconds.
    lease_ms: u64,
    /// How long it may still return to the registry, in milliseconds, if that doesn't list it.
    returns_ms: Option<u64>,
    /// How long the fleet's owner may shut it down together with its tasks, in milliseconds.
    released_ms: u64,
    /// Whether it took the place of a previous incarnation.
    is_successor: bool,
    /// The names of the tasks that it may run.
    tasks: Vec<String>,
    /// Whether it may run tasks that are not in the list, or have ended some whose end isn't stored.
    may_run_others: bool,
    /// Those of them that were ordered to stop.
    stopping: Vec<String>,
}

/// Why a handover is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The pool has no such row.
    Missing,
    /// The row can't be decoded.
    Unreadable,
    /// The row has another layout.
    Layout,
    /// The row is that of another term.
    Term,
    /// The row names a worker twice.
    Doubled,
}

impl Scheduler {
    /// Returns the table with the row that [`Scheduler::accept_handover`] needs.
    pub fn handover_table() -> &'static str {
        HANDOVER
    }

    /// Returns the key of that row.
    pub fn handover_key() -> &'static str {
        HANDOVER_KEY
    }

    /// Stops to place tasks, to extend leases and to apply reports, before a handover.
    ///
    /// Workers repeat to the successor what they report meanwhile, since it isn't acknowledged.
    /// Stops that were ordered earlier are still sent.
    pub fn begin_handover(&mut self) {
        self.is_handing_over = true;
    }

    /// Returns the value of the row that describes the pool to the next owner, `None` if it would
    /// be too large. [`Scheduler::begin_handover`] must have been called.
    pub fn hand_over(&self, now: Duration) -> Option<Vec<u8>> {
        let workers = self.handover_entries(now);
        let mut handover = Handover {
            layout: LAYOUT,
            term: self.term,
            has_placements: workers.iter().all(|entry| !entry.may_run_others),
            interrupt_pause_ms: left_ms(self.interrupts_from, now),
            authority_ms: left_ms(self.predecessor_end, now),
            workers,
        };
        let limit = self.settings.row_limit();
        let mut value = encode(&handover);
        if value.len() > limit {
            handover.has_placements = false;
            handover.interrupt_pause_ms = self.settings.interrupt_pause.as_millis() as u64;
            for entry in &mut handover.workers {
                entry.may_run_others = true;
                entry.tasks.clear();
                entry.stopping.clear();
            }
            value = encode(&handover);
        }
        let is_small = value.len() <= limit;
        log::info!(
            "event=handed-over pool={} term={} workers={} has_placements={} bytes={} stored={is_small}",
            self.pool,
            self.term,
            handover.workers.len(),
            handover.has_placements,
            value.len()
        );
        is_small.then_some(value)
    }

    fn handover_entries(&self, now: Duration) -> Vec<Entry> {
        let has_orphans = self.orphaned_tasks() > 0;
        let mut entries: BTreeMap<(String, i64), Entry> = BTreeMap::new();
        for (key, worker) in &self.workers {
            if self.is_idle(worker, now) {
                continue;
            }
            let (id, incarnation) = (worker.listing.id.clone(), worker.listing.incarnation);
            let names = |is_wanted: &dyn Fn(&super::worker::Run) -> bool| {
                let runs = worker.runs.iter().filter(|(_, run)| is_wanted(run));
                runs.filter_map(|(task, _)| self.name_of(*task)).collect()
            };
            let entry = Entry {
                id: id.clone(),
                incarnation,
                lease_ms: self.lease_left_ms(*key, now),
                returns_ms: (!worker.is_listed).then_some(0),
                released_ms: left_ms(worker.released_until.unwrap_or_default(), now),
                is_successor: worker.is_successor(),
                tasks: names(&|_| true),
                may_run_others: worker.applied > worker.stored
                    || !worker.deferred_completions.is_empty(),
                stopping: names(&|run| run.stopping_at.is_some()),
            };
            entries.insert((id, incarnation), entry);
        }
        for ((id, incarnation), unreported) in &self.unreported_workers {
            let name = (id.clone(), *incarnation);
            let entry = entries.entry(name).or_insert_with(|| Entry {
                id: id.clone(),
                incarnation: *incarnation,
                lease_ms: 0,
                returns_ms: self.returns_ms(unreported, now),
                released_ms: 0,
                is_successor: unreported.is_successor,
                tasks: Vec::new(),
                may_run_others: false,
                stopping: Vec::new(),
            });
            // Without orphaned tasks it is known of all where they may run.
            entry.may_run_others |= !unreported.is_known() && has_orphans;
            entry.lease_ms = entry.lease_ms.max(left_ms(unreported.lease_end, now));
            entry.released_ms = entry
                .released_ms
                .max(left_ms(unreported.released_until, now));
            let held = unreported.tasks.iter().flatten();
            entry
                .tasks
                .extend(held.filter_map(|task| self.name_of(*task)));
            let stopping = unreported.stopping.iter();
            entry
                .stopping
                .extend(stopping.filter_map(|task| self.name_of(*task)));
        }
        entries.into_values().collect()
    }

    /// Returns whether a worker can neither run tasks nor report completions that are not stored, and
    /// isn't released for disruption.
    fn is_idle(&self, worker: &Worker, now: Duration) -> bool {
        worker.has_reported
            && !worker.is_released(now)
            && worker.disputed_at.is_none()
            && !worker.has_unknown_runs
            && worker.runs.is_empty()
            && worker.acknowledged >= worker.applied
            && worker.deferred_completions.is_empty()
    }

    /// Returns how long a worker that isn't registered may still return to the registry.
    fn returns_ms(&self, unreported: &Unreported, now: Duration) -> Option<u64> {
        let until = match self.registry_read_at {
            Some(read_at) => unreported.returns_until(read_at),
            None => unreported.may_return_until?,
        };
        Some(left_ms(until, now))
    }

    /// Returns the longest lease that an owner may count on for a worker. A row can't hold up a task
    /// for longer.
    fn longest_lease(&self, entry: &Entry) -> Duration {
        let span = if entry.is_successor {
            self.settings.stretched_lease_span(Stretch::Late)
        } else {
            self.settings.lease_span()
        };
        self.settings.authority + span
    }

    fn lease_left_ms(&self, key: WorkerKey, now: Duration) -> u64 {
        let lease_end = self.workers.get(&key).map(|worker| worker.lease_end);
        left_ms(lease_end.unwrap_or_default(), now)
    }

    fn name_of(&self, task: TaskKey) -> Option<String> {
        Some(task_name(self.jobs.get(&task.job)?, task))
    }

    /// Returns the key of a task of an open job.
    fn task_of(&self, name: &str) -> Option<TaskKey> {
        let task: work::Task = name.parse().ok()?;
        Some(TaskKey {
            job: *self.job_keys.get(&task.job)?,
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
        })
    }

    /// Uses what the owner of `from_term` handed over, which was read from the store at `now`.
    ///
    /// The rows must have been recovered. The leases that the handover names end that of all earlier
    /// owners, so workers that it doesn't name are not waited for.
    ///
    /// # Errors
    ///
    /// Returns why the handover isn't used; the pool is then recovered as after a crash.
    pub fn accept_handover(
        &mut self,
        records: &[Record],
        from_term: u64,
        now: Duration,
    ) -> Result<(), Refusal> {
        let record = records
            .iter()
            .find(|record| record.table == HANDOVER && record.key == HANDOVER_KEY)
            .ok_or(Refusal::Missing)?;
        let handover: Handover = decode(&record.value).ok_or(Refusal::Unreadable)?;
        if handover.layout != LAYOUT {
            return Err(Refusal::Layout);
        }
        if handover.term != from_term {
            return Err(Refusal::Term);
        }
        let mut unreported = BTreeMap::new();
        for entry in handover.workers {
            let keys = |names: &[String]| -> BTreeSet<TaskKey> {
                names.iter().filter_map(|name| self.task_of(name)).collect()
            };
            let known = Unreported {
                lease_end: after_ms(now, entry.lease_ms, self.longest_lease(&entry)),
                may_return_until: entry.returns_ms.map(|ms| after_ms(now, ms, RELISTING_TIME)),
                released_until: after_ms(now, entry.released_ms, RELEASE_DURATION),
                is_successor: entry.is_successor,
                tasks: (!entry.may_run_others).then(|| keys(&entry.tasks)),
                stopping: keys(&entry.stopping),
            };
            let name = (entry.id, entry.incarnation);
            if unreported.insert(name, known).is_some() {
                return Err(Refusal::Doubled);
            }
        }
        let idle: Vec<(String, i64)> = self
            .unreported_workers
            .keys()
            .filter(|name| !unreported.contains_key(*name))
            .cloned()
            .collect();
        self.unreported_workers = unreported;
        for (id, incarnation) in &idle {
            self.forget_row(id, *incarnation);
        }
        self.predecessor_end = after_ms(now, handover.authority_ms, self.settings.authority);
        // The stops and releases of the previous owner are known.
        let pause = self.settings.interrupt_pause;
        self.interrupts_from = after_ms(now, handover.interrupt_pause_ms, pause);
        let wait_end = self.unreported_workers.values().map(|w| w.lease_end).max();
        log::info!(
            "event=handover-accepted pool={} term={} from={from_term} workers={} idle={} \
             has_placements={} wait_ms={}",
            self.pool,
            self.term,
            self.unreported_workers.len(),
            idle.len(),
            handover.has_placements,
            wait_end.unwrap_or(now).saturating_sub(now).as_millis()
        );
        self.is_requeue_due = true;
        Ok(())
    }
}

/// Returns the time from `now` until `end` in milliseconds, rounded up.
fn left_ms(end: Duration, now: Duration) -> u64 {
    end.saturating_sub(now).as_micros().div_ceil(1_000) as u64
}

/// Returns the time `ms` milliseconds after `now`, at most `longest` after it.
fn after_ms(now: Duration, ms: u64, longest: Duration) -> Duration {
    now + Duration::from_millis(ms).min(longest)
}
