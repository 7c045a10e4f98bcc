use super::job::Job;
use super::{JobKey, Scheduler};
use hyssop_model::job::Size;
use hyssop_model::work::{Account, Resources, Submission};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The time over which the rate of the jobs that are owed is measured; a turn of a queue's demand lasts
/// some seconds.
const RATE_TIME: Duration = Duration::from_secs(1);

/// How long a deferred caller is remembered; those that come back at all do so within this time.
const RETURN_TIME: Duration = Duration::from_secs(15);

/// The longest wait that a deferred caller is told; the load may be over long before. It also bounds the
/// wait of an account with a tiny weight, which a duration could not hold.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// The maximum number of deferred jobs that are remembered, at about 80 bytes each.
const MAX_DEFERRED: usize = 4_096;

/// Whether a job is within the number of jobs a second that its account is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Entitlement {
    /// It is, or it has no account.
    Within,
    /// It is beyond that number; the account is owed it only after this time.
    Beyond(Duration),
}

/// The jobs that client accounts have submitted lately, counted against their weights.
///
/// An account that sends several times its usual load must not slow the others down. Its jobs beyond
/// its weight are served after all jobs that are owed, and are deferred if they can't end in time.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    balances: BTreeMap<String, Balance>,
    /// The deferred jobs, by identifier.
    deferred: BTreeMap<String, Deferred>,
    /// The work of the jobs that were owed lately, in thousandths of a core x milliseconds, by the
    /// time of their submission.
    owed_work: VecDeque<(Duration, f64)>,
    backlog: Option<Backlog>,
}

/// The work of the open jobs and the capacity of the pool, as of a time.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    /// In thousandths of a core x milliseconds.
    work: f64,
    /// In thousandths of a core.
    capacity: f64,
    counted_at: Duration,
}

/// A deferred job.
#[derive(Clone, Copy, Debug)]
struct Deferred {
    requested_at: Duration,
    /// When it will be owed, if a place is reserved for it.
    owed_at: Option<Duration>,
}

/// The jobs that an account is owed as of a time; negative while places are reserved ahead.
#[derive(Clone, Copy, Debug)]
struct Balance {
    jobs: f64,
    at: Duration,
}

impl Shares {
    /// Counts a job of `account` that was first requested at `requested_at`; an account that sends less
    /// than it is owed may make up for it within `window`.
    ///
    /// A deferred job whose deadline has passed is not owed any more: one that can still meet its
    /// deadline comes in its place.
    pub(super) fn count(
        &mut self,
        account: &Account,
        window: Duration,
        id: &str,
        requested_at: Duration,
        is_overdue: bool,
        now: Duration,
    ) -> Entitlement {
        if let Some(deferred) = self.deferred.get(id) {
            match deferred.owed_at {
                Some(owed_at) if now >= owed_at => return Entitlement::Within,
                Some(owed_at) => return Entitlement::Beyond(owed_at - now),
                None if is_overdue => return Entitlement::Beyond(Duration::ZERO),
                None => {}
            }
        }
        let limit = (account.weight * window.as_secs_f64()).max(1.0);
        let balance = self
            .balances
            .entry(account.name.clone())
            .or_insert(Balance {
                jobs: limit,
                at: requested_at,
            });
        let elapsed = requested_at.saturating_sub(balance.at);
        balance.jobs = (balance.jobs + elapsed.as_secs_f64() * account.weight).min(limit);
        balance.at = balance.at.max(requested_at);
        if balance.jobs >= 1.0 {
            balance.jobs -= 1.0;
            return Entitlement::Within;
        }
        let seconds = (1.0 - balance.jobs) / account.weight;
        let wait = Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()));
        Entitlement::Beyond((balance.at + wait).saturating_sub(now))
    }

    /// Records that a job is deferred, and reserves the next job that `account` will be owed for it
    /// if `owed_at` is given: those that came first return first. Does nothing while there are too
    /// many deferred jobs.
    fn defer(&mut self, account: &str, id: &str, deferred: Deferred, now: Duration) {
        if self.deferred.contains_key(id) {
            return;
        }
        if self.deferred.len() >= MAX_DEFERRED {
            self.deferred.retain(|_, deferred| {
                let from = deferred.owed_at.unwrap_or(deferred.requested_at);
                now < from + RETURN_TIME
            });
        }
        if self.deferred.len() >= MAX_DEFERRED {
            return;
        }
        if deferred.owed_at.is_some() {
            if let Some(balance) = self.balances.get_mut(account) {
                balance.jobs -= 1.0;
            }
        }
        self.deferred.insert(id.to_owned(), deferred);
    }

    /// Returns when a job was first requested: `requested_at`, or earlier if it was deferred.
    pub(super) fn first_request(&self, id: &str, requested_at: Duration) -> Duration {
        let deferred = self.deferred.get(id);
        deferred.map_or(requested_at, |deferred| {
            deferred.requested_at.min(requested_at)
        })
    }

    /// Forgets that a job was deferred, since it is accepted.
    pub(super) fn on_accepted(&mut self, id: &str) {
        self.deferred.remove(id);
    }

    /// Adds the work of an accepted job to the counted backlog.
    pub(super) fn add_to_backlog(&mut self, work: f64) {
        if let Some(backlog) = &mut self.backlog {
            backlog.work += work;
        }
    }

    /// Records the work of a job that is owed.
    pub(super) fn record_owed_work(&mut self, work: f64, now: Duration) {
        /// Jobs that come within this time are added up.
        const RESOLUTION: Duration = Duration::from_millis(50);
        match self.owed_work.back_mut() {
            Some((at, sum)) if now.saturating_sub(*at) < RESOLUTION => *sum += work,
            _ => self.owed_work.push_back((now, work)),
        }
        let is_old = |(at, _): &(Duration, f64)| now.saturating_sub(*at) > RATE_TIME;
        while self.owed_work.front().is_some_and(is_old) {
            self.owed_work.pop_front();
        }
    }

    /// Returns the CPU that the jobs which are owed need at present, in thousandths of a core.
    fn owed_cpu(&self, now: Duration) -> f64 {
        /// A turn of a queue's demand multiplies its rate within this time.
        const RISE_TIME: Duration = Duration::from_millis(250);
        let rate = |span: Duration| {
            let since = now.saturating_sub(span);
            let recent = self
                .owed_work
                .iter()
                .rev()
                .take_while(|(at, _)| *at >= since);
            recent.map(|(_, work)| work).sum::<f64>() / (span.as_secs_f64() * 1_000.0)
        };
        rate(RATE_TIME).max(rate(RISE_TIME))
    }

    /// Forgets accounts that the configuration has no longer.
    pub(super) fn retain(&mut self, accounts: &BTreeMap<String, Account>) {
        self.balances.retain(|name, _| accounts.contains_key(name));
    }
}

impl Scheduler {
    /// Counts a submission against the weight of its account.
    pub(super) fn entitle(
        &mut self,
        id: &str,
        queue: &str,
        submission: &Submission,
        requested_at: Duration,
        now: Duration,
    ) -> Entitlement {
        let slack = self.slack(queue, submission);
        let is_overdue = now.saturating_sub(requested_at) > slack;
        let account = submission.account.as_ref();
        let window = self.settings.account_window;
        match account.and_then(|name| self.accounts.get(name)) {
            Some(account) => self
                .shares
                .count(account, window, id, requested_at, is_overdue, now),
            None => Entitlement::Within,
        }
    }

    /// Returns how long a job may wait in all without missing its deadline.
    pub(super) fn slack(&self, queue: &str, submission: &Submission) -> Duration {
        let rule = self.rules.get(queue).copied().unwrap_or_default();
        let work_ms =
            submission.critical_path_ms(|step| self.expected_ms(queue, &submission.steps[step]));
        let slack_ms = work_ms * (rule.stretch - 1.0).max(0.0);
        rule.objective + Duration::from_millis(slack_ms as u64)
    }

    /// Returns after which time a job beyond its account's weight should be submitted again, `None` if
    /// it may be accepted: there is room for it within its slack after all jobs that wait.
    ///
    /// The load is one account that sends several times its usual while its pool is full: accepted, its
    /// jobs would end late and take the store's and the workers' time from those that are owed.
    pub(super) fn deferral(
        &mut self,
        id: &str,
        queue: &str,
        submission: &Submission,
        entitlement: Entitlement,
        requested_at: Duration,
        now: Duration,
    ) -> Option<Duration> {
        /// Callers that come back sooner only find the same backlog.
        const MIN_DEFERRAL: Duration = Duration::from_millis(1_000);
        /// A returning job is stored, and each of its steps is started and reported, before it is done.
        const RETURN_MARGIN: Duration = Duration::from_millis(250);
        let Entitlement::Beyond(owed_in) = entitlement else {
            return None;
        };
        if submission.is_long_running() || submission.schedule.is_some() {
            return None;
        }
        let slack = self.slack(queue, submission);
        let wait = self.backlog_wait(now);
        if wait <= slack {
            return None;
        }
        let return_after = owed_in.max(MIN_DEFERRAL);
        let age = now.saturating_sub(requested_at);
        // A place at which the job would be late is better left to one that comes then.
        let has_place = age + return_after + RETURN_MARGIN <= slack;
        let deferred = Deferred {
            requested_at,
            owed_at: has_place.then_some(now + return_after),
        };
        let account = submission.account.as_deref().unwrap_or_default();
        self.shares.defer(account, id, deferred, now);
        Some(if has_place {
            return_after
        } else {
            wait.max(MIN_DEFERRAL)
        })
    }

    /// Returns how long a job beyond its account's weight has to wait for the tasks before it, with
    /// the capacity that the jobs which are owed leave free.
    fn backlog_wait(&mut self, now: Duration) -> Duration {
        /// Some capacity is always free for a while, as tasks are not all of one size.
        const MIN_FREE_SHARE: f64 = 0.02;
        let Backlog { work, capacity, .. } = self.recent_backlog(now);
        let free = (capacity - self.shares.owed_cpu(now)).max(capacity * MIN_FREE_SHARE);
        if free <= 0.0 {
            return MAX_WAIT;
        }
        Duration::from_secs_f64((work / free / 1_000.0).min(MAX_WAIT.as_secs_f64()))
    }

    /// Returns how long the whole capacity of the pool takes for the tasks that wait or run.
    pub(super) fn backlog_time(&mut self, now: Duration) -> Duration {
        let Backlog { work, capacity, .. } = self.recent_backlog(now);
        let seconds = work / capacity.max(1.0) / 1_000.0;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn recent_backlog(&mut self, now: Duration) -> Backlog {
        /// How long a count of the backlog is reused; counting takes time for every open job.
        const MAX_AGE: Duration = Duration::from_millis(50);
        let is_recent = |backlog: &Backlog| now.saturating_sub(backlog.counted_at) < MAX_AGE;
        let backlog = match self.shares.backlog.filter(is_recent) {
            Some(backlog) => backlog,
            None => self.count_backlog(now),
        };
        self.shares.backlog = Some(backlog);
        backlog
    }

    fn count_backlog(&self, now: Duration) -> Backlog {
        let open = self.open_jobs.iter().filter_map(|key| self.jobs.get(key));
        let counted = open.filter(|job| !job.phase.is_final() && !job.submission.is_long_running());
        Backlog {
            work: counted.map(|job| self.remaining_work(job)).sum(),
            capacity: self.capacity().cpu as f64,
            counted_at: now,
        }
    }

    /// Returns the work left in the tasks of a job, in thousandths of a core x milliseconds.
    pub(super) fn remaining_work(&self, job: &Job) -> f64 {
        let steps = job.submission.steps.iter().enumerate();
        let open = job.occurrences.values().next();
        steps
            .map(|(number, step)| {
                let tasks = open.map_or(step.count as usize, |occurrence| {
                    let stage = &occurrence.stages[number];
                    stage.tasks.len() - stage.done
                });
                tasks as f64 * step.need.cpu as f64 * self.expected_ms(&job.queue, step)
            })
            .sum()
    }

    /// Returns the resources of the pool's listed workers.
    fn capacity(&self) -> Resources {
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        listed.fold(Resources::default(), |mut total, worker| {
            total.add(&worker.listing.capacity);
            total
        })
    }

    /// Returns the weighted dominant share of its account with which each job beyond its account's
    /// weight competes for free capacity; `excess` has these jobs in their order by deadline.
    ///
    /// A job counts what its account holds and what the jobs before it need, so that accounts take turns.
    pub(super) fn excess_shares(&self, excess: &[JobKey]) -> BTreeMap<JobKey, f64> {
        let mut held = self.held_by_account();
        let whole = Size::from(self.capacity());
        let mut shares = BTreeMap::new();
        for key in excess {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let account = job.submission.account.as_deref().unwrap_or_default();
            let weight = self.accounts.get(account).map_or(1.0, |a| a.weight);
            let used = held.entry(account).or_default();
            for step in &job.submission.steps {
                used.add(&step.reserved().times(step.count));
            }
            shares.insert(*key, Size::from(*used).dominant_share(&whole) / weight);
        }
        shares
    }

    /// Returns the resources that the runs of each account hold in this pool.
    fn held_by_account(&self) -> BTreeMap<&str, Resources> {
        let mut held: BTreeMap<&str, Resources> = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, run) in &worker.runs {
                let job = self.jobs.get(&task.job);
                if let Some(account) = job.and_then(|job| job.submission.account.as_deref()) {
                    held.entry(account).or_default().add(&run.reserved);
                }
            }
        }
        held
    }
}
