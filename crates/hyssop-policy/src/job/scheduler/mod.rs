mod place;
mod queue;
mod report;
mod room;

use super::inventory;
use super::quota::Place;
use super::{Action, Attribution, Event, Inventory, Profile, Quota, Settings, Task};
use hyssop_model::job::{Record, Size};
use hyssop_model::prelude::*;

/// Places the jobs of one region on its workers.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    inventory: Inventory,
    quota: Quota,
    profile: Profile,
    attribution: Attribution,
    tasks: BTreeMap<String, Task>,
    /// The jobs on each worker.
    on_worker: BTreeMap<inventory::Key, BTreeSet<String>>,
    sequence: u64,
    /// The largest urgent job that each pool had lately, and when it had one last.
    urgent_needs: BTreeMap<String, (Size, Instant)>,
    /// The pools in which something became free or began to wait.
    dirty: BTreeSet<String>,
    /// When to look whether a job's lease is over; one entry a job, by its sequence, which compares
    /// faster than its identifier where many leases end together.
    lapses: BTreeMap<(Instant, u64), String>,
}

impl Scheduler {
    /// Makes a scheduler without workers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            inventory: Inventory::default(),
            quota: Quota::default(),
            profile: Profile::default(),
            attribution: Attribution::default(),
            tasks: BTreeMap::new(),
            on_worker: BTreeMap::new(),
            sequence: 0,
            urgent_needs: BTreeMap::new(),
            dirty: BTreeSet::new(),
            lapses: BTreeMap::new(),
        }
    }

    /// Takes in one event, at `wall_ms` of the wall clock.
    pub fn step(&mut self, now: Instant, wall_ms: u64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Workers(workers) => self.set_workers(workers, out),
            Event::Teams(teams) => self.quota.set_teams(&teams),
            Event::Job(record) => self.insert(now, record, out),
            Event::Cancel(job) => self.cancel(&job, out),
            Event::Usage(usages) => self.hear_usage(now, wall_ms, &usages, out),
            Event::NotStarted { job, fence } => self.take_back(&job, fence, out),
            Event::Tick => self.tick(now, wall_ms, out),
        }
    }

    /// Returns a job's row.
    pub fn job(&self, id: &str) -> Option<&Record> {
        self.tasks.get(id).map(|task| &task.record)
    }

    /// Returns the part of all workers that a team uses, by the resource it uses most of.
    pub fn share(&self, team: &str) -> f64 {
        self.quota.share(team, self.inventory.whole())
    }

    /// Returns the number of jobs that have not ended.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Tells whether no job is open.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    fn tick(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        for worker in self.attribution.take_rested(now) {
            let worker = self.inventory.key(&worker);
            self.inventory.set_open(worker, true);
            self.dirty.extend(self.inventory.pools());
        }
        self.end_lapsed(now, out);
        self.place_urgent(now, wall_ms, out);
        self.place_all(now, wall_ms, out);
    }
}

/// Returns a waiting task's place in the quota.
fn place_of(task: &Task) -> Place {
    Place {
        team: task.team,
        pool: task.record.pool.clone(),
        class: task.record.class,
        sequence: task.sequence,
        job: task.record.id.clone(),
        size: task.record.size,
    }
}

/// Returns what to reserve for a job: never more than its pool's largest worker has.
fn size_to_reserve(
    profile: &Profile,
    inventory: &Inventory,
    settings: &Settings,
    record: &Record,
) -> Size {
    let mut size = profile.size(&record.command, &record.size, settings.memory_reserve);
    let largest = inventory.largest_memory_mib(&record.pool);
    size.memory_mib = size.memory_mib.min(largest.max(record.size.memory_mib));
    size
}

/// Remembers the largest urgent job of a pool for a while.
fn note_urgent(
    needs: &mut BTreeMap<String, (Size, Instant)>,
    now: Instant,
    pool: &str,
    size: &Size,
    settings: &Settings,
) {
    let (need, at) = needs.entry(pool.to_owned()).or_insert((*size, now));
    if *at + settings.urgent_memory < now {
        *need = Size::default();
    }
    need.raise_to(size);
    *at = now;
}
