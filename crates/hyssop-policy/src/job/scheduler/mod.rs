mod place;
mod preempt;
mod queue;
mod report;

use super::inventory;
use super::quota::Entry;
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
    /// The size of each pool's largest recent urgent job, and when the last urgent job was seen.
    urgent_sizes: BTreeMap<String, (Size, Instant)>,
    /// The pools in which capacity became free or a job was queued since the last placement.
    dirty_pools: BTreeSet<String>,
    /// When to check whether a job's lease has expired, one entry per job. Keyed by the sequence
    /// number, which compares faster than the id if many leases expire at the same time.
    expiries: BTreeMap<(Instant, u64), String>,
}

impl Scheduler {
    /// Creates a scheduler without workers.
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
            urgent_sizes: BTreeMap::new(),
            dirty_pools: BTreeSet::new(),
            expiries: BTreeMap::new(),
        }
    }

    /// Handles one event at `now`; `wall_ms` is the wall clock in milliseconds.
    pub fn step(&mut self, now: Instant, wall_ms: u64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Workers(workers) => self.set_workers(workers, out),
            Event::Teams(teams) => self.quota.set_teams(&teams),
            Event::Job(record) => self.insert(now, record, out),
            Event::Cancel(job) => self.cancel(&job, out),
            Event::Usage(usages) => self.on_usage(now, wall_ms, &usages, out),
            Event::NotStarted { job, fence } => self.on_start_refused(&job, fence, out),
            Event::Tick => self.tick(now, wall_ms, out),
        }
    }

    /// Returns a job's row.
    pub fn job(&self, id: &str) -> Option<&Record> {
        self.tasks.get(id).map(|task| &task.record)
    }

    /// Returns a team's dominant share of all workers: the fraction of the resource it uses most of.
    pub fn share(&self, team: &str) -> f64 {
        self.quota.share(team, self.inventory.capacity())
    }

    /// Returns the number of jobs that have not ended.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether every job has ended.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    fn tick(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        for worker in self.attribution.take_readmitted(now) {
            let worker = self.inventory.key(&worker);
            self.inventory.set_schedulable(worker, true);
            self.dirty_pools.extend(self.inventory.pools());
        }
        self.expire_leases(now, out);
        self.place_urgent(now, wall_ms, out);
        self.place_all(now, wall_ms, out);
    }
}

/// Returns the queue entry of a waiting job.
fn queue_entry(task: &Task) -> Entry {
    Entry {
        team: task.team,
        pool: task.record.pool.clone(),
        class: task.record.class,
        sequence: task.sequence,
        job: task.record.id.clone(),
        size: task.record.size,
    }
}

/// Returns the size to reserve for a job. The memory is at most that of its pool's largest worker,
/// unless the job declares more.
fn size_to_reserve(
    profile: &Profile,
    inventory: &Inventory,
    settings: &Settings,
    record: &Record,
) -> Size {
    let mut size = profile.size(&record.command, &record.size, settings.memory_headroom);
    let largest = inventory.largest_memory_mib(&record.pool);
    size.memory_mib = size.memory_mib.min(largest.max(record.size.memory_mib));
    size
}

/// Records an urgent job of a pool. Only the largest size is kept, and it is discarded if no urgent
/// job was seen for `settings.urgent_reserve`.
fn record_urgent(
    sizes: &mut BTreeMap<String, (Size, Instant)>,
    now: Instant,
    pool: &str,
    size: &Size,
    settings: &Settings,
) {
    let (largest, seen_at) = sizes.entry(pool.to_owned()).or_insert((*size, now));
    if *seen_at + settings.urgent_reserve < now {
        *largest = Size::default();
    }
    largest.raise_to(size);
    *seen_at = now;
}
