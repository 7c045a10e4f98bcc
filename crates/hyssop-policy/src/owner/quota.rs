use super::job::State;
use super::worker::Run;
use super::{Scheduler, TaskKey, WorkerKey};
use crate::account::ledger::{
    share, Allowance, Change, Ledger, Outcome, Share, StoredRow, Usage, Wait, Write, WHOLE,
};
use hyssop_model::work::{Configuration, Resources, Step, Submission, Task};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long the count of waiting tasks is reused, which takes time for every waiting task.
const WAITING_MAX_AGE: Duration = Duration::from_millis(20);
/// The minimum time between two log lines about accounts whose tasks wait for their quota.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Key of an account, unique within one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AccountKey(u32);

/// What a run holds of its account's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Charge {
    pub(super) account: AccountKey,
    pub(super) amount: Resources,
}

/// The state of one account's quota in this pool, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountState {
    /// The account.
    pub account: String,
    /// The share of its quota that its tasks in this pool may hold, in millionths.
    pub grant: Share,
    /// The share that they hold.
    pub held: Share,
    /// Whether tasks wait for the quota.
    pub is_waiting: bool,
}

/// The quotas of the accounts, as far as this pool is concerned.
#[derive(Debug)]
pub(super) struct Quota {
    ledger: Ledger,
    keys: BTreeMap<String, AccountKey>,
    /// The account names, by key.
    names: Vec<String>,
    /// What the accounts' tasks use, by account.
    usage: BTreeMap<String, Usage>,
    waiting_counted_at: Option<Duration>,
    /// The accounts with waiting tasks that no worker could run when they were counted.
    unrunnable: BTreeSet<AccountKey>,
    /// The allowances computed in this placement pass.
    allowances: BTreeMap<AccountKey, Option<Allowance>>,
    /// Whether runs may have been added since the usage was counted.
    is_outdated: bool,
    /// The accounts whose tasks wait for their quota.
    blocked: BTreeMap<AccountKey, Blocked>,
    logged_at: Option<Duration>,
}

/// An account whose tasks wait for its quota.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    since: Duration,
    /// When a task was last held back.
    seen_at: Duration,
    logged_at: Option<Duration>,
    wait: Wait,
    /// What the task needs that was held back last.
    need: Share,
}

impl Quota {
    pub(super) fn new(pool: &str, term: u64) -> Self {
        Self {
            ledger: Ledger::new(pool, term),
            keys: BTreeMap::new(),
            names: Vec::new(),
            usage: BTreeMap::new(),
            waiting_counted_at: None,
            unrunnable: BTreeSet::new(),
            allowances: BTreeMap::new(),
            is_outdated: true,
            blocked: BTreeMap::new(),
            logged_at: None,
        }
    }

    fn key(&mut self, account: &str) -> AccountKey {
        if let Some(key) = self.keys.get(account) {
            return *key;
        }
        let key = AccountKey(self.names.len() as u32);
        self.names.push(account.to_owned());
        self.keys.insert(account.to_owned(), key);
        key
    }

    fn name(&self, key: AccountKey) -> &str {
        self.names.get(key.0 as usize).map_or("", String::as_str)
    }

    fn usage(&self, key: AccountKey) -> Usage {
        self.usage.get(self.name(key)).copied().unwrap_or_default()
    }

    fn usage_mut(&mut self, key: AccountKey) -> Option<&mut Usage> {
        let name = self.names.get(key.0 as usize)?;
        self.ledger.quota(name)?;
        if !self.usage.contains_key(name) {
            self.usage.insert(name.clone(), Usage::default());
        }
        self.usage.get_mut(name)
    }

    fn allowance(&mut self, key: AccountKey, now: Duration) -> Option<Allowance> {
        if let Some(allowance) = self.allowances.get(&key) {
            return *allowance;
        }
        if let Some(name) = self.names.get(key.0 as usize) {
            self.ledger.meet(name, now);
        }
        let allowance = self.ledger.allowance(self.name(key), &self.usage(key), now);
        self.allowances.insert(key, allowance);
        allowance
    }

    /// Returns whether the tasks of one start may be assigned; `is_gang` if they start together.
    fn admits(&mut self, charge: Charge, is_gang: bool, now: Duration) -> bool {
        let Some(allowance) = self.allowance(charge.account, now) else {
            return true;
        };
        let occupied = self.usage(charge.account).occupied();
        let mut with_task = occupied;
        with_task.add(&charge.amount);
        // A single task that exceeds the whole quota may run alone.
        let is_alone = !is_gang && occupied == Resources::default() && allowance.soft >= WHOLE;
        if is_alone || share(&with_task, &allowance.quota) <= allowance.soft {
            return true;
        }
        let need = share(&charge.amount, &allowance.quota);
        let blocked = self.blocked.entry(charge.account).or_insert(Blocked {
            since: now,
            seen_at: now,
            logged_at: None,
            wait: allowance.wait,
            need,
        });
        (blocked.seen_at, blocked.wait, blocked.need) = (now, allowance.wait, need);
        false
    }

    /// Counts a task that was assigned as held.
    fn charge(&mut self, charge: Charge) {
        if let Some(usage) = self.usage_mut(charge.account) {
            usage.held.add(&charge.amount);
            usage.waiting.remove(&charge.amount);
            let usage = *usage;
            let name = self.names.get(charge.account.0 as usize);
            if let Some(name) = name {
                self.ledger.on_assigned(name, &usage);
            }
            self.allowances.remove(&charge.account);
        }
    }

    /// Returns whether the present grant covers what an account's tasks hold.
    fn covers(&self, charge: Charge, now: Duration) -> bool {
        let usage = self.usage(charge.account);
        let name = self.name(charge.account);
        let Some(allowance) = self.ledger.allowance(name, &usage, now) else {
            return true;
        };
        let occupied = usage.occupied();
        let is_alone = occupied == charge.amount && allowance.hard >= WHOLE;
        is_alone || share(&occupied, &allowance.quota) <= allowance.hard
    }

    /// Logs that tasks wait for the quota of one of the accounts, in turn.
    fn log_blocked(&mut self, pool: &str, term: u64, now: Duration) {
        /// The time after which an account without a further task held back counts as not waiting.
        const FORGET_AFTER: Duration = Duration::from_millis(500);
        self.blocked
            .retain(|_, blocked| now.saturating_sub(blocked.seen_at) < FORGET_AFTER);
        let is_due = self
            .logged_at
            .is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL);
        let others = self.blocked.len().saturating_sub(1);
        let next = self.blocked.iter().min_by_key(|(_, b)| b.logged_at);
        let Some((&key, &blocked)) = next.filter(|_| is_due) else {
            return;
        };
        let usage = self.usage(key);
        let allowance = self.ledger.allowance(self.name(key), &usage, now);
        if let Some(allowance) = allowance {
            let occupied = usage.occupied();
            log::info!(
                "event=quota-wait pool={pool} term={term} account={} reason={} for_ms={} held={} \
                 grant={} share={} task={} quota_cpu={} quota_memory={} quota_accelerators={} \
                 other_accounts={others}",
                self.name(key),
                blocked.wait,
                now.saturating_sub(blocked.since).as_millis(),
                share(&occupied, &allowance.quota),
                allowance.hard,
                allowance.soft,
                blocked.need,
                allowance.quota.cpu,
                allowance.quota.memory,
                allowance.quota.accelerators,
            );
        }
        self.logged_at = Some(now);
        if let Some(blocked) = self.blocked.get_mut(&key) {
            blocked.logged_at = Some(now);
        }
    }
}

impl Scheduler {
    /// Applies the accounts of a configuration to the quotas.
    pub(super) fn configure_quotas(&mut self, configuration: &Configuration) {
        if let Some(quota) = &mut self.quota {
            let accounts = configuration.accounts.as_ref();
            quota.ledger.configure(configuration.version, accounts);
            quota.allowances.clear();
            quota.is_outdated = true;
            quota.waiting_counted_at = None;
        }
    }

    /// Returns whether any account has a quota, so that the rows with the grants are needed.
    pub fn has_quotas(&self) -> bool {
        self.quota
            .as_ref()
            .is_some_and(|quota| quota.ledger.has_quotas())
    }

    /// Applies the rows of the table with the grants; `is_complete` if they are all.
    ///
    /// Until the first complete reading no task of an account with a quota starts.
    pub fn on_grant_rows(&mut self, rows: Vec<StoredRow>, is_complete: bool, now: Duration) {
        if let Some(quota) = &mut self.quota {
            if is_complete {
                quota.ledger.apply_all(rows, now);
            } else {
                quota.ledger.apply(rows, now);
            }
            quota.allowances.clear();
            // Tasks of an account are counted only once its quota is known.
            quota.is_outdated = true;
            self.is_placement_due = true;
        }
    }

    /// Returns the newest version of the configuration that a row with grants names.
    pub fn newest_granted_version(&self) -> u64 {
        let quota = self.quota.as_ref();
        quota.map_or(0, |quota| quota.ledger.newest_version())
    }

    /// Returns the next transaction of the table with the grants, `None` if there is nothing to change.
    /// The caller has to report its outcome.
    pub fn next_grant_writes(&mut self, now: Duration) -> Option<Vec<Write>> {
        if self.is_deposed || self.is_handing_over {
            return None;
        }
        let quota = self.quota.as_mut().filter(|q| q.ledger.has_quotas())?;
        if quota.is_outdated {
            return None;
        }
        quota.ledger.next_writes(&quota.usage, now)
    }

    /// Handles the outcome of a transaction of the table with the grants.
    pub fn on_grant_outcome(&mut self, outcome: Outcome, now: Duration) {
        let (pool, term) = (&self.pool, self.term);
        if let Some(quota) = &mut self.quota {
            for change in quota.ledger.on_outcome(outcome, now) {
                log_change(pool, term, &change);
            }
            quota.allowances.clear();
            quota.is_outdated = true;
            self.is_placement_due = true;
        }
    }

    /// Returns the state of the accounts with a quota that have tasks or a grant in this pool.
    pub fn account_states(&self, now: Duration) -> Vec<AccountState> {
        let Some(quota) = &self.quota else {
            return Vec::new();
        };
        let states = quota.usage.iter().filter_map(|(account, usage)| {
            let allowance = quota.ledger.allowance(account, usage, now)?;
            let key = quota.keys.get(account);
            Some(AccountState {
                account: account.clone(),
                grant: allowance.hard,
                held: share(&usage.occupied(), &allowance.quota),
                is_waiting: key.is_some_and(|key| quota.blocked.contains_key(key)),
            })
        });
        states.collect()
    }

    /// Returns why a job can never run within its account's quota, `None` if it can.
    pub(super) fn quota_refusal(&self, submission: &Submission) -> Option<String> {
        let account = submission.account.as_deref()?;
        let limit = self.quota.as_ref()?.ledger.quota(account)?;
        let gangs = submission
            .steps
            .iter()
            .filter(|step| step.gang && step.count > 1);
        let widest = gangs.map(|step| share(&step.need.times(step.count), &limit));
        let widest = widest.max().filter(|widest| *widest > WHOLE)?;
        log::info!(
            "event=gang-exceeds-quota pool={} account={account} share={widest}",
            self.pool
        );
        Some(format!(
            "the tasks of a gang run together and need {} % of the quota of the account; \
             split the gang or ask for a larger quota",
            widest.div_ceil(WHOLE / 100)
        ))
    }

    /// Returns what a run of a task holds of its account's quota, `None` if the job has no account or
    /// quotas aren't enforced.
    pub(super) fn charge_of(&mut self, task: TaskKey) -> Option<Charge> {
        let quota = self.quota.as_mut()?;
        let job = self.jobs.get(&task.job)?;
        let account = job.submission.account.as_deref()?;
        let amount = job.step(task.step)?.need;
        Some(Charge {
            account: quota.key(account),
            amount,
        })
    }

    /// Returns whether the quota of the account admits the next tasks of a step: all of a gang, or one.
    pub(super) fn quota_admits(&mut self, task: TaskKey, step: &Step, now: Duration) -> bool {
        let Some(charge) = self.charge_of(task) else {
            return true;
        };
        let amount = if step.gang {
            charge.amount.times(step.count)
        } else {
            charge.amount
        };
        let is_gang = step.gang && step.count > 1;
        let charge = Charge { amount, ..charge };
        let Some(quota) = &mut self.quota else {
            return true;
        };
        if quota.admits(charge, is_gang, now) {
            return true;
        }
        // The pool's part is none as long as no task was counted that waits for it.
        let is_uncounted = quota.usage(charge.account).waiting == Resources::default()
            && quota.waiting_counted_at != Some(now)
            && !quota.unrunnable.contains(&charge.account);
        if is_uncounted {
            quota.waiting_counted_at = Some(now);
            self.count_waiting(now);
        }
        let quota = self.quota.as_mut().filter(|_| is_uncounted);
        quota.is_some_and(|quota| quota.admits(charge, is_gang, now))
    }

    /// Counts assigned tasks as held.
    pub(super) fn charge_tasks(&mut self, tasks: impl IntoIterator<Item = TaskKey>) {
        for task in tasks {
            let Some(charge) = self.charge_of(task) else {
                return;
            };
            if let Some(quota) = &mut self.quota {
                quota.charge(charge);
            }
        }
    }

    /// Returns whether the start of a run may be sent for the first time: the grant may have changed since
    /// it was decided.
    pub(super) fn is_start_covered(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        run: u64,
        now: Duration,
    ) -> bool {
        let is_first = |entry: &&Run| entry.number == run && entry.sent_at.is_none();
        let entry = self.workers.get(&worker).and_then(|w| w.runs.get(&task));
        let charge = entry.filter(is_first).and_then(|entry| entry.charge);
        let Some(charge) = charge else {
            return true;
        };
        let is_outdated = self.quota.as_ref().is_some_and(|quota| quota.is_outdated);
        let covers = |scheduler: &Self| {
            let quota = scheduler.quota.as_ref();
            quota.is_none_or(|quota| quota.covers(charge, now))
        };
        if !is_outdated && covers(self) {
            return true;
        }
        self.count_held();
        self.count_late_orders(now);
        covers(self)
    }

    /// Notes that runs were added other than by placement.
    pub(super) fn outdate_usage(&mut self) {
        if let Some(quota) = &mut self.quota {
            quota.is_outdated = true;
        }
    }

    /// Counts what the accounts' tasks use, before a placement pass.
    pub(super) fn count_usage(&mut self, now: Duration) {
        if !self.has_quotas() {
            return;
        }
        self.count_held();
        self.count_late_orders(now);
        let Some(quota) = &mut self.quota else {
            return;
        };
        let (pool, term) = (&self.pool, self.term);
        quota.log_blocked(pool, term, now);
        let is_due = quota
            .waiting_counted_at
            .is_none_or(|at| now.saturating_sub(at) >= WAITING_MAX_AGE);
        if is_due {
            quota.waiting_counted_at = Some(now);
            self.count_waiting(now);
        }
        if let Some(quota) = &mut self.quota {
            quota.usage.retain(|_, usage| !usage.is_empty());
        }
    }

    /// Counts what runs hold, and the tasks of which it is not known whether they run.
    fn count_held(&mut self) {
        let Some(mut quota) = self.quota.take() else {
            return;
        };
        for usage in quota.usage.values_mut() {
            usage.held = Resources::default();
            usage.orphaned = Resources::default();
        }
        let mut held: BTreeMap<AccountKey, Resources> = BTreeMap::new();
        for worker in self.workers.values() {
            for (account, amount) in &worker.charges {
                held.entry(*account).or_default().add(amount);
            }
        }
        for (account, amount) in held {
            if let Some(usage) = quota.usage_mut(account) {
                usage.held = amount;
            }
        }
        if self.is_recovering {
            let open = self.open_jobs.iter().filter_map(|key| self.jobs.get(key));
            for job in open {
                let Some(account) = job.submission.account.as_deref() else {
                    continue;
                };
                let key = quota.key(account);
                let Some(usage) = quota.usage_mut(key) else {
                    continue;
                };
                for occurrence in job.occurrences.values() {
                    for (step, stage) in job.submission.steps.iter().zip(&occurrence.stages) {
                        let tasks = stage.tasks.iter();
                        let count = tasks.filter(|task| task.state == State::Orphaned).count();
                        usage.orphaned.add(&step.need.times(count as u32));
                    }
                }
            }
        }
        quota.allowances.clear();
        quota.is_outdated = false;
        self.quota = Some(quota);
    }

    /// Counts the starts that may still be carried out by the next incarnations of removed workers.
    fn count_late_orders(&mut self, now: Duration) {
        let names: Vec<Task> = self
            .late_orders
            .values()
            .flat_map(|inheritance| inheritance.open_starts(now))
            .filter_map(|name| name.parse().ok())
            .collect();
        for name in names {
            let Some(&job) = self.job_keys.get(&name.job) else {
                continue;
            };
            let task = TaskKey {
                job,
                occurrence: name.occurrence,
                step: name.step,
                index: name.index,
            };
            let charge = self.charge_of(task);
            if let (Some(charge), Some(quota)) = (charge, &mut self.quota) {
                if let Some(usage) = quota.usage_mut(charge.account) {
                    usage.held.add(&charge.amount);
                }
            }
        }
    }

    /// Counts the waiting tasks that could start if the quota allowed it: as far as workers are free, and
    /// one task more, so that a grant is there when a worker becomes free. More would keep from other pools
    /// what can't be used here. Tasks that no worker could run don't count.
    fn count_waiting(&mut self, now: Duration) {
        let Some(mut quota) = self.quota.take() else {
            return;
        };
        let mut free = Resources::default();
        for worker in self.workers.values().filter(|w| w.accepts_tasks(now)) {
            let mut left = worker.listing.capacity;
            left.remove(&worker.used);
            free.add(&left);
        }
        let mut counts: BTreeMap<AccountKey, Waiting> = BTreeMap::new();
        let mut last: Option<(super::JobKey, Option<AccountKey>)> = None;
        quota.unrunnable.clear();
        let mut runnable: BTreeMap<(Option<&str>, [u64; 3]), bool> = BTreeMap::new();
        let mut last_step: Option<(&Step, bool)> = None;
        for (task, step) in self.waiting_tasks() {
            let account = match last {
                Some((job, account)) if job == task.job => account,
                _ => {
                    let job = self.jobs.get(&task.job);
                    let name = job.and_then(|job| job.submission.account.as_deref());
                    let account = name.map(|name| quota.key(name));
                    last = Some((task.job, account));
                    account
                }
            };
            let Some(account) = account else {
                continue;
            };
            let is_runnable = match last_step {
                Some((last, is_runnable)) if std::ptr::eq(last, step) => is_runnable,
                _ => {
                    let need = step.reserved();
                    let key = (
                        step.label.as_deref(),
                        [need.cpu, need.memory, need.accelerators],
                    );
                    let could_any = || self.workers.values().any(|w| w.could_run(step));
                    *runnable.entry(key).or_insert_with(could_any)
                }
            };
            last_step = Some((step, is_runnable));
            if !is_runnable {
                quota.unrunnable.insert(account);
                continue;
            }
            let count = counts.entry(account).or_default();
            if !step.gang {
                count.single.add(&step.need);
                count.largest = largest(&count.largest, &step.need);
            } else if task.index == 0 {
                let gang = step.need.times(step.count);
                if free.fits(&Resources::default(), &gang) {
                    count.gangs.add(&gang);
                    count.widest = largest(&count.widest, &gang);
                }
            }
        }
        for usage in quota.usage.values_mut() {
            usage.waiting = Resources::default();
            usage.unit = Resources::default();
        }
        for (account, count) in counts {
            let Some(usage) = quota.usage_mut(account) else {
                continue;
            };
            let mut startable = free;
            startable.add(&count.largest);
            usage.waiting = smallest(&startable, &count.single);
            usage.waiting.add(&count.gangs);
            usage.unit = largest(&count.largest, &count.widest);
        }
        quota.allowances.clear();
        self.quota = Some(quota);
    }
}

/// The waiting tasks of one account.
#[derive(Default)]
struct Waiting {
    /// The sum of the tasks that start one by one, and the largest of them.
    single: Resources,
    largest: Resources,
    /// The sum of the gangs, and the largest of them.
    gangs: Resources,
    widest: Resources,
}

fn log_change(pool: &str, term: u64, change: &Change) {
    let grant = &change.grant;
    if change.before == grant.grant {
        log::debug!(
            "event=need pool={pool} term={term} account={} need={}",
            change.account,
            grant.need
        );
        return;
    }
    log::info!(
        "event=grant pool={pool} term={term} account={} before={} grant={} need={} held={} unit={}",
        change.account,
        change.before,
        grant.grant,
        grant.need,
        change.held,
        grant.unit
    );
}

/// Returns `count` times an amount, stopping at the largest.
fn largest(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.max(b.cpu),
        memory: a.memory.max(b.memory),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

fn smallest(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.min(b.cpu),
        memory: a.memory.min(b.memory),
        accelerators: a.accelerators.min(b.accelerators),
    }
}
