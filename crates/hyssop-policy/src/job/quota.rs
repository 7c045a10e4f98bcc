use hyssop_config::fleet::Team;
use hyssop_model::job::Size;
use hyssop_model::prelude::*;
use std::ops::Range;

hyssop_model::arena_key!(
    /// Names a team within the scheduler.
    Key
);

/// Keeps the teams' use and their waiting jobs, and tells whose turn it is in each pool.
///
/// The team that would have the least dominant share for its weight with its next job is first,
/// after Ghodsi et al., "Dominant Resource Fairness", NSDI 2011. Quota that a team does not use is
/// thereby borrowed by the others and comes back as jobs end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quota {
    names: Names<Key>,
    accounts: BTreeMap<Key, Account>,
    /// The waiting jobs of each team in each pool.
    lines: BTreeMap<String, BTreeMap<Key, Line>>,
    /// The urgent jobs that wait, the oldest first.
    urgent: BTreeSet<(u64, String)>,
}

/// Is a waiting job's place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Place {
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

/// Is one team's waiting jobs in one pool, the most urgent and the oldest first.
type Line = BTreeMap<(Class, u64), (String, Size)>;

impl Default for Account {
    fn default() -> Self {
        Self {
            weight: 1.0,
            used: Size::default(),
        }
    }
}

/// The steps into which a share is divided for ordering.
const STEPS: f64 = 1e12;

impl Quota {
    pub(crate) fn set_teams(&mut self, teams: &[Team]) {
        for team in teams {
            let key = self.key(&team.name);
            self.accounts.entry(key).or_default().weight = f64::from(team.weight);
        }
    }

    pub(crate) fn push(&mut self, place: Place) {
        if place.class == Class::Urgent {
            self.urgent.insert((place.sequence, place.job.clone()));
        }
        let lines = self.lines.entry(place.pool).or_default();
        let line = lines.entry(place.team).or_default();
        line.insert((place.class, place.sequence), (place.job, place.size));
    }

    pub(crate) fn remove(&mut self, team: Key, pool: &str, class: Class, sequence: u64) {
        let Some(lines) = self.lines.get_mut(pool) else {
            return;
        };
        let Some(line) = lines.get_mut(&team) else {
            return;
        };
        if let (Some((job, _)), Class::Urgent) = (line.remove(&(class, sequence)), class) {
            self.urgent.remove(&(sequence, job));
        }
        if line.is_empty() {
            lines.remove(&team);
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

    /// Returns the teams with waiting jobs in a pool and their turns, the lowest of which is first.
    pub(crate) fn turns(&self, pool: &str, whole: &Size) -> Vec<(u64, Key)> {
        let lines = self.lines.get(pool).into_iter().flatten();
        lines
            .filter_map(|(team, line)| Some((self.turn_of(*team, line, whole)?, *team)))
            .collect()
    }

    /// Returns a team's turn in a pool, if it has a waiting job there.
    pub(crate) fn turn(&self, team: Key, pool: &str, whole: &Size) -> Option<u64> {
        self.turn_of(team, self.lines.get(pool)?.get(&team)?, whole)
    }

    fn turn_of(&self, team: Key, line: &Line, whole: &Size) -> Option<u64> {
        let (_, (_, size)) = line.first_key_value()?;
        let empty = Account::default();
        let account = self.accounts.get(&team).unwrap_or(&empty);
        let mut used = account.used;
        used.add(size);
        Some((used.dominant_share(whole) / account.weight * STEPS) as u64)
    }

    /// Returns the first of a team's waiting jobs in a pool that `is_wanted`, among those of
    /// `numbers`, counted from 0, with its number and its size.
    pub(crate) fn first_waiting(
        &self,
        team: Key,
        pool: &str,
        numbers: Range<usize>,
        is_wanted: impl Fn(&Size) -> bool,
    ) -> Option<(usize, &str, Size)> {
        let line = self.lines.get(pool)?.get(&team)?;
        line.values()
            .enumerate()
            .take(numbers.end)
            .skip(numbers.start)
            .find(|(_, (_, size))| is_wanted(size))
            .map(|(number, (job, size))| (number, job.as_str(), *size))
    }

    /// Returns the urgent jobs that wait, the oldest first.
    pub(crate) fn urgent(&self) -> impl Iterator<Item = &str> {
        self.urgent.iter().map(|(_, job)| job.as_str())
    }

    /// Returns the part of the whole that a team uses.
    pub(crate) fn share(&self, team: &str, whole: &Size) -> f64 {
        let account = self
            .names
            .find(team)
            .and_then(|key| self.accounts.get(&key));
        account.map_or(0.0, |account| account.used.dominant_share(whole))
    }
}
