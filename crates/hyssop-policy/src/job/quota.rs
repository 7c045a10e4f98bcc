use hyssop_config::fleet::Team;
use hyssop_model::job::Size;
use hyssop_model::prelude::*;
use std::ops::Range;

hyssop_model::arena_key!(
    /// The key of a team within the scheduler.
    Key
);

/// The usage and the waiting jobs of each team, which decide the order of teams in each pool.
///
/// The team with the smallest weighted dominant share, counted with its next job, comes first, as in
/// Ghodsi et al., "Dominant Resource Fairness", NSDI 2011. Other teams thus borrow the quota that a
/// team does not use, and return it as their jobs end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quota {
    names: Names<Key>,
    accounts: BTreeMap<Key, Account>,
    /// The waiting jobs of each team in each pool.
    queues: BTreeMap<String, BTreeMap<Key, Queue>>,
    /// The waiting urgent jobs, the oldest first.
    urgent: BTreeSet<(u64, String)>,
}

/// A waiting job in the queue of its team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) team: Key,
    pub(crate) pool: String,
    pub(crate) class: Class,
    pub(crate) sequence: u64,
    pub(crate) job: String,
    pub(crate) size: Size,
}

#[derive(Clone, Debug)]
struct Account {
    weight: f64,
    used: Size,
}

/// The waiting jobs of one team in one pool, the most urgent first, then the oldest.
type Queue = BTreeMap<(Class, u64), (String, Size)>;

impl Default for Account {
    fn default() -> Self {
        Self {
            weight: 1.0,
            used: Size::default(),
        }
    }
}

/// The factor that turns a weighted share into an integer rank, which is `Ord`.
const RANK_SCALE: f64 = 1e12;

impl Quota {
    pub(crate) fn set_teams(&mut self, teams: &[Team]) {
        for team in teams {
            let key = self.key(&team.name);
            self.accounts.entry(key).or_default().weight = f64::from(team.weight);
        }
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if entry.class == Class::Urgent {
            self.urgent.insert((entry.sequence, entry.job.clone()));
        }
        let queues = self.queues.entry(entry.pool).or_default();
        let queue = queues.entry(entry.team).or_default();
        queue.insert((entry.class, entry.sequence), (entry.job, entry.size));
    }

    pub(crate) fn remove(&mut self, team: Key, pool: &str, class: Class, sequence: u64) {
        let Some(queues) = self.queues.get_mut(pool) else {
            return;
        };
        let Some(queue) = queues.get_mut(&team) else {
            return;
        };
        if let (Some((job, _)), Class::Urgent) = (queue.remove(&(class, sequence)), class) {
            self.urgent.remove(&(sequence, job));
        }
        if queue.is_empty() {
            queues.remove(&team);
        }
    }

    pub(crate) fn charge(&mut self, team: Key, size: &Size) {
        self.accounts.entry(team).or_default().used.add(size);
    }

    pub(crate) fn refund(&mut self, team: Key, size: &Size) {
        self.accounts.entry(team).or_default().used.subtract(size);
    }

    /// Returns the key of a team by its name.
    pub(crate) fn key(&mut self, team: &str) -> Key {
        self.names.intern(team)
    }

    /// Returns the teams with waiting jobs in a pool with their ranks, of which the lowest comes first.
    pub(crate) fn ranks(&self, pool: &str, capacity: &Size) -> Vec<(u64, Key)> {
        let queues = self.queues.get(pool).into_iter().flatten();
        queues
            .filter_map(|(team, queue)| Some((self.rank_of(*team, queue, capacity)?, *team)))
            .collect()
    }

    /// Returns a team's rank in a pool, if it has a waiting job there.
    pub(crate) fn rank(&self, team: Key, pool: &str, capacity: &Size) -> Option<u64> {
        self.rank_of(team, self.queues.get(pool)?.get(&team)?, capacity)
    }

    fn rank_of(&self, team: Key, queue: &Queue, capacity: &Size) -> Option<u64> {
        let (_, (_, size)) = queue.first_key_value()?;
        let empty = Account::default();
        let account = self.accounts.get(&team).unwrap_or(&empty);
        let mut used = account.used;
        used.add(size);
        Some((used.dominant_share(capacity) / account.weight * RANK_SCALE) as u64)
    }

    /// Returns the first of a team's waiting jobs in a pool whose size `accepts` permits, with its
    /// position in the queue and its size. Only the positions of `range`, from 0, are searched.
    pub(crate) fn first_waiting(
        &self,
        team: Key,
        pool: &str,
        range: Range<usize>,
        accepts: impl Fn(&Size) -> bool,
    ) -> Option<(usize, &str, Size)> {
        let queue = self.queues.get(pool)?.get(&team)?;
        queue
            .values()
            .enumerate()
            .take(range.end)
            .skip(range.start)
            .find(|(_, (_, size))| accepts(size))
            .map(|(position, (job, size))| (position, job.as_str(), *size))
    }

    /// Returns the waiting urgent jobs, the oldest first.
    pub(crate) fn urgent(&self) -> impl Iterator<Item = &str> {
        self.urgent.iter().map(|(_, job)| job.as_str())
    }

    /// Returns a team's dominant share of `capacity`.
    pub(crate) fn share(&self, team: &str, capacity: &Size) -> f64 {
        let account = self
            .names
            .find(team)
            .and_then(|key| self.accounts.get(&key));
        account.map_or(0.0, |account| account.used.dominant_share(capacity))
    }
}
