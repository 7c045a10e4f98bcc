use hyssop_config::fleet::Team;
use hyssop_model::job::Size;
use hyssop_model::prelude::*;

/// Keeps the teams' use and their waiting jobs, and tells whose turn it is in each pool.
///
/// The team that would have the least dominant share for its weight with its next job is first,
/// after Ghodsi et al., "Dominant Resource Fairness", NSDI 2011. Quota that a team does not use is
/// thereby borrowed by the others and comes back as jobs end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    teams: BTreeMap<String, Account>,
    /// The teams with waiting jobs in each pool, by their turn.
    turns: BTreeMap<String, BTreeSet<(u64, String)>>,
    /// The urgent jobs that wait, the oldest first.
    urgent: BTreeSet<(u64, String)>,
}

/// Is a waiting job's place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) team: String,
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
    pools: BTreeMap<String, Line>,
}

/// Is one team's waiting jobs in one pool.
#[derive(Clone, Debug, Default)]
struct Line {
    /// The most urgent and the oldest first.
    jobs: BTreeMap<(Class, u64), (String, Size)>,
    turn: Option<u64>,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            weight: 1.0,
            used: Size::default(),
            pools: BTreeMap::new(),
        }
    }
}

/// The steps into which a share is divided for ordering.
const STEPS: f64 = 1e12;

impl Ledger {
    pub(crate) fn set_teams(&mut self, teams: &[Team], whole: &Size) {
        for team in teams {
            self.teams.entry(team.name.clone()).or_default().weight = f64::from(team.weight);
            self.update_turns(&team.name, whole);
        }
    }

    pub(crate) fn push(&mut self, place: Place, whole: &Size) {
        if place.class == Class::Urgent {
            self.urgent.insert((place.sequence, place.job.clone()));
        }
        let account = self.teams.entry(place.team.clone()).or_default();
        let line = account.pools.entry(place.pool.clone()).or_default();
        line.jobs
            .insert((place.class, place.sequence), (place.job, place.size));
        self.update_turn(&place.team, &place.pool, whole);
    }

    pub(crate) fn remove(
        &mut self,
        team: &str,
        pool: &str,
        class: Class,
        sequence: u64,
        whole: &Size,
    ) {
        let line = self
            .teams
            .get_mut(team)
            .and_then(|account| account.pools.get_mut(pool));
        let removed = line.and_then(|line| line.jobs.remove(&(class, sequence)));
        if let (Some((job, _)), Class::Urgent) = (removed, class) {
            self.urgent.remove(&(sequence, job));
        }
        self.update_turn(team, pool, whole);
    }

    pub(crate) fn charge(&mut self, team: &str, size: &Size, whole: &Size) {
        self.teams
            .entry(team.to_owned())
            .or_default()
            .used
            .add(size);
        self.update_turns(team, whole);
    }

    pub(crate) fn refund(&mut self, team: &str, size: &Size, whole: &Size) {
        if let Some(account) = self.teams.get_mut(team) {
            account.used.subtract(size);
        }
        self.update_turns(team, whole);
    }

    /// Returns the first team behind `last` with waiting jobs in a pool, in the order of turns.
    pub(crate) fn next_turn(
        &self,
        pool: &str,
        last: Option<&(u64, String)>,
    ) -> Option<(u64, String)> {
        let turns = self.turns.get(pool)?;
        match last {
            None => turns.first().cloned(),
            Some(last) => {
                let behind = (std::ops::Bound::Excluded(last), std::ops::Bound::Unbounded);
                turns.range::<(u64, String), _>(behind).next().cloned()
            }
        }
    }

    /// Returns a team's waiting jobs in a pool, in their order.
    pub(crate) fn waiting<'a>(&'a self, team: &str, pool: &str) -> impl Iterator<Item = &'a str> {
        let line = self
            .teams
            .get(team)
            .and_then(|account| account.pools.get(pool));
        line.into_iter()
            .flat_map(|line| line.jobs.values().map(|(job, _)| job.as_str()))
    }

    /// Returns the urgent jobs that wait, the oldest first.
    pub(crate) fn urgent(&self) -> impl Iterator<Item = &str> {
        self.urgent.iter().map(|(_, job)| job.as_str())
    }

    /// Returns the part of the whole that a team uses.
    pub(crate) fn share(&self, team: &str, whole: &Size) -> f64 {
        self.teams
            .get(team)
            .map_or(0.0, |account| account.used.dominant_part(whole))
    }

    fn update_turns(&mut self, team: &str, whole: &Size) {
        let pools: Vec<String> = match self.teams.get(team) {
            Some(account) => account.pools.keys().cloned().collect(),
            None => return,
        };
        for pool in pools {
            self.update_turn(team, &pool, whole);
        }
    }

    fn update_turn(&mut self, team: &str, pool: &str, whole: &Size) {
        let Some(account) = self.teams.get_mut(team) else {
            return;
        };
        let (mut used, weight) = (account.used, account.weight);
        let Some(line) = account.pools.get_mut(pool) else {
            return;
        };
        let first = line.jobs.first_key_value().map(|(_, (_, size))| *size);
        let turn = first.map(|size| {
            used.add(&size);
            (used.dominant_part(whole) / weight * STEPS) as u64
        });
        if turn == line.turn {
            return;
        }
        let turns = self.turns.entry(pool.to_owned()).or_default();
        if let Some(old) = std::mem::replace(&mut line.turn, turn) {
            turns.remove(&(old, team.to_owned()));
        }
        if let Some(turn) = turn {
            turns.insert((turn, team.to_owned()));
        }
        if line.jobs.is_empty() {
            account.pools.remove(pool);
        }
    }
}
