use hyssop_config::fleet::Team;
use hyssop_model::job::Size;
use hyssop_model::prelude::*;

/// Keeps the teams' use and their waiting jobs, and tells whose turn it is.
///
/// The team with the least dominant share for its weight is next, after Ghodsi et al., "Dominant
/// Resource Fairness", NSDI 2011. Quota that a team does not use is thereby borrowed by the others
/// and comes back as jobs end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    teams: BTreeMap<String, Account>,
    /// The teams with waiting jobs, by their share for their weight.
    turns: BTreeSet<(u64, String)>,
}

#[derive(Clone, Debug)]
struct Account {
    weight: f64,
    used: Size,
    /// The waiting jobs, the most urgent and the oldest first.
    waiting: BTreeSet<(Class, u64, String)>,
    turn: Option<u64>,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            weight: 1.0,
            used: Size::default(),
            waiting: BTreeSet::new(),
            turn: None,
        }
    }
}

/// The steps into which a share is divided for ordering.
const STEPS: f64 = 1e12;

impl Ledger {
    pub(crate) fn set_teams(&mut self, teams: &[Team], whole: &Size) {
        for team in teams {
            self.teams.entry(team.name.clone()).or_default().weight = f64::from(team.weight);
            self.update_turn(&team.name, whole);
        }
    }

    pub(crate) fn push(
        &mut self,
        team: &str,
        class: Class,
        sequence: u64,
        job: &str,
        whole: &Size,
    ) {
        let account = self.teams.entry(team.to_owned()).or_default();
        account.waiting.insert((class, sequence, job.to_owned()));
        self.update_turn(team, whole);
    }

    pub(crate) fn remove(
        &mut self,
        team: &str,
        class: Class,
        sequence: u64,
        job: &str,
        whole: &Size,
    ) {
        if let Some(account) = self.teams.get_mut(team) {
            account.waiting.remove(&(class, sequence, job.to_owned()));
        }
        self.update_turn(team, whole);
    }

    pub(crate) fn charge(&mut self, team: &str, size: &Size, whole: &Size) {
        self.teams
            .entry(team.to_owned())
            .or_default()
            .used
            .add(size);
        self.update_turn(team, whole);
    }

    pub(crate) fn refund(&mut self, team: &str, size: &Size, whole: &Size) {
        if let Some(account) = self.teams.get_mut(team) {
            account.used.subtract(size);
        }
        self.update_turn(team, whole);
    }

    /// Returns the teams with waiting jobs, the one whose turn it is first.
    pub(crate) fn turns(&self) -> impl Iterator<Item = &str> {
        self.turns.iter().map(|(_, team)| team.as_str())
    }

    /// Returns a team's waiting jobs in their order.
    pub(crate) fn waiting(&self, team: &str) -> impl Iterator<Item = &str> {
        let account = self.teams.get(team);
        account
            .into_iter()
            .flat_map(|account| account.waiting.iter().map(|(_, _, job)| job.as_str()))
    }

    /// Returns the teams whose next job is urgent.
    pub(crate) fn urgent_turns(&self) -> Vec<String> {
        let is_urgent = |team: &&str| {
            let account = self.teams.get(*team);
            let first = account.and_then(|account| account.waiting.first());
            first.is_some_and(|(class, _, _)| *class == Class::Urgent)
        };
        self.turns().filter(is_urgent).map(str::to_owned).collect()
    }

    /// Returns the part of the whole that a team uses.
    pub(crate) fn share(&self, team: &str, whole: &Size) -> f64 {
        self.teams
            .get(team)
            .map_or(0.0, |account| account.used.dominant_part(whole))
    }

    fn update_turn(&mut self, team: &str, whole: &Size) {
        let Some(account) = self.teams.get_mut(team) else {
            return;
        };
        if let Some(turn) = account.turn.take() {
            self.turns.remove(&(turn, team.to_owned()));
        }
        if account.waiting.is_empty() {
            return;
        }
        let share = account.used.dominant_part(whole) / account.weight;
        let turn = (share * STEPS) as u64;
        account.turn = Some(turn);
        self.turns.insert((turn, team.to_owned()));
    }
}
