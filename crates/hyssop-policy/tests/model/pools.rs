use super::grants::Table;
use super::{configuration, World};
use hyssop_model::work::{Account, Configuration, Resources, Submission, Task};
use hyssop_policy::owner::Admission;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long an earlier configuration may be in force.
const CONFIGURATION_LAG_MS: i64 = 3_000;
/// The share by which an account may exceed its quota, besides by one task.
const OVERAGE_PERCENT: u64 = 10;

/// What several pools share: the store's table with the grants, the configuration, and what is checked.
#[derive(Debug, Default)]
pub struct Shared {
    pub table: Table,
    /// The quotas in thousandths of a core, by account, each with the time since which it counts.
    quotas: Vec<(i64, BTreeMap<String, u64>)>,
    /// The account of each job and what each of its tasks needs.
    jobs: BTreeMap<String, (String, u64)>,
    /// What the accounts' tasks hold, by pool.
    held: BTreeMap<String, BTreeMap<String, u64>>,
    /// The starts that brought an account above its quota, within what is allowed.
    pub exceeding_starts: usize,
    pub starts: usize,
}

impl Shared {
    pub fn with_quota(account: &str, cpu: u64) -> Self {
        let quotas = BTreeMap::from([(account.to_owned(), cpu)]);
        Self {
            quotas: vec![(0, quotas)],
            ..Self::default()
        }
    }

    pub fn configuration(&self) -> Configuration {
        let (_, quotas) = self.quotas.last().expect("a configuration");
        let accounts = quotas.iter().map(|(name, cpu)| {
            let account = Account {
                name: name.clone(),
                // High enough that only the quota holds back jobs.
                weight: 1_000.0,
                quota: Resources {
                    cpu: *cpu,
                    ..Resources::default()
                },
                ..Account::default()
            };
            (name.clone(), account)
        });
        Configuration {
            version: self.quotas.len() as u64,
            accounts: Some(accounts.collect()),
            ..configuration(None)
        }
    }

    /// Adds a configuration with another quota of an account, and returns it.
    pub fn lower(&mut self, account: &str, cpu: u64) -> Configuration {
        let (since, mut quotas) = self.quotas.last().cloned().expect("a configuration");
        quotas.insert(account.to_owned(), cpu);
        self.quotas.push((since, quotas));
        self.configuration()
    }

    pub fn set_held<'a>(&mut self, pool: &str, running: impl Iterator<Item = &'a str>) {
        let mut held: BTreeMap<String, u64> = BTreeMap::new();
        for task in running {
            let job = task.parse::<Task>().expect("a task name").job;
            if let Some((account, need)) = self.jobs.get(&job) {
                *held.entry(account.clone()).or_default() += need;
            }
        }
        self.held.insert(pool.to_owned(), held);
    }

    /// Returns what an account's tasks hold over all pools.
    pub fn held(&self, account: &str) -> u64 {
        let pools = self.held.values();
        pools.filter_map(|held| held.get(account)).sum()
    }

    /// # Panics
    ///
    /// Panics if the account of a job holds more than its quota allows after a start.
    pub fn check_start(&mut self, job: &str, task: &str, is_delayed: bool, now_ms: i64) {
        let Some((account, need)) = self.jobs.get(job).cloned() else {
            return;
        };
        self.starts += 1;
        let held = self.held(&account);
        let ends = self.quotas.iter().skip(1).map(|(since, _)| *since);
        let ends = ends.chain([i64::MAX]);
        let is_in_force = |end: i64| now_ms < end.saturating_add(CONFIGURATION_LAG_MS);
        let known: Vec<(bool, Option<u64>)> = self
            .quotas
            .iter()
            .zip(ends)
            .map(|((_, quotas), end)| (is_in_force(end), quotas.get(&account).copied()))
            .collect();
        // Nothing is said of an account that no configuration in force has.
        if !known
            .iter()
            .any(|(is_in_force, quota)| *is_in_force && quota.is_some())
        {
            return;
        }
        // One that was left out at times keeps the quota that its pools' owners knew last.
        let was_left_out = known.iter().any(|(_, quota)| quota.is_none());
        let counted = known
            .iter()
            .filter(|(is_in_force, _)| *is_in_force || was_left_out);
        let highest = counted.filter_map(|(_, quota)| *quota);
        let Some(highest) = highest.max() else {
            return;
        };
        self.exceeding_starts += usize::from(held > highest);
        let bound = highest + highest * OVERAGE_PERCENT / 100 + need;
        assert!(
            held <= bound,
            "{task} at {now_ms} ms, delayed {is_delayed}: {account} holds {held} of {highest}: {:?}",
            self.held
        );
    }
}

/// Several pools with owners of their own, whose accounts' quotas hold over all of them.
pub struct Pools {
    pub worlds: Vec<World>,
    pub shared: Rc<RefCell<Shared>>,
}

impl Pools {
    /// Creates `count` pools, each with two workers of `cores` cores, and accounts with these quotas, in
    /// thousandths of a core.
    pub fn new(seed: u64, count: usize, cores: u64, quotas: &[(&str, u64)]) -> Self {
        let shared = Rc::new(RefCell::new(Shared::default()));
        shared.borrow_mut().quotas.push((0, owned(quotas)));
        let worlds = (0..count)
            .map(|n| World::of_pool(&format!("p{n}"), seed * 100 + n as u64, cores, &shared))
            .collect();
        Self { worlds, shared }
    }

    /// Changes the quotas, which the owners learn within `lag_ms`.
    pub fn configure(&mut self, quotas: &[(&str, u64)], lag_ms: u64) {
        let now_ms = self.worlds[0].now_ms;
        self.shared
            .borrow_mut()
            .quotas
            .push((now_ms, owned(quotas)));
        let configuration = self.shared.borrow().configuration();
        for world in &mut self.worlds {
            world.configure(&configuration, lag_ms);
        }
    }

    /// Submits a job of an account to a pool.
    pub fn submit(
        &mut self,
        pool: usize,
        account: &str,
        id: &str,
        mut submission: Submission,
    ) -> Admission {
        submission.account = Some(account.to_owned());
        let need = submission.steps[0].need.cpu;
        let entry = (account.to_owned(), need);
        self.shared.borrow_mut().jobs.insert(id.to_owned(), entry);
        self.worlds[pool].submit(id, submission)
    }

    /// Advances the time of all pools in step.
    pub fn run(&mut self, ms: i64) {
        for _ in 0..ms / 5 {
            self.worlds.iter_mut().for_each(|world| world.run(5));
        }
    }

    /// Ends all faults and lets the pools finish the accepted jobs.
    ///
    /// # Panics
    ///
    /// Panics if an accepted job does not end.
    pub fn finish(&mut self) {
        self.worlds.iter_mut().for_each(World::end_faults);
        for world in &mut self.worlds {
            if !world.has_owner() {
                world.start_owner();
            }
        }
        self.run(90_000);
        self.worlds.iter_mut().for_each(World::check_finished);
    }

    /// Returns the number of running tasks in a pool.
    pub fn running(&self, pool: usize) -> usize {
        let workers = self.worlds[pool].workers.iter();
        workers.map(|worker| worker.running().count()).sum()
    }
}

fn owned(quotas: &[(&str, u64)]) -> BTreeMap<String, u64> {
    let quotas = quotas.iter();
    quotas
        .map(|(name, cpu)| ((*name).to_owned(), *cpu))
        .collect()
}
