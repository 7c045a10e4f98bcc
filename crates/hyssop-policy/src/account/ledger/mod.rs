//! The division of the accounts' quotas into grants, one per pool.
//!
//! The quota of an account holds over all pools, each of which has an owner of its own. Every owner
//! starts tasks only within its pool's grant. A row of the store holds the grants of an account; an
//! owner raises its pool's grant only by a write that depends on the row's version, and only as far as
//! the sum of all grants stays within the quota. docs/design/19-quota-grants.md has the reasons.

mod decision;
mod entry;
mod row;
mod share;
mod target;

pub use decision::Usage;
pub use row::{Grant, Row, Unreadable};
pub use share::{is_limited, share, Share, WHOLE};
pub use target::{targets, Claim};

use decision::{Decision, Urgency};
use entry::Entry;
use hyssop_model::work::{Account, Resources};
use hyssop_platform::rows::encode;
use std::collections::BTreeMap;
use std::time::Duration;
use strum::{Display, EnumIter};

/// The table of the rows with the grants.
pub const TABLE: &str = "account-grants";
/// The shard of the rows, in which one transaction may change those of several accounts.
pub const SHARD: &str = "accounts";

/// The minimum time between two transactions of a pool, which bounds the calls to the store.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum time between two transactions of a pool for each pool in the rows: a shard takes 200
/// transactions a second, refused ones included.
const POOL_INTERVAL: Duration = Duration::from_millis(8);
/// The minimum time before changes are written that let no task start by themselves.
const MINOR_INTERVAL: Duration = Duration::from_millis(1_000);
/// The pause after a transaction that others had forestalled, before jitter; doubles with each further
/// one. A transaction takes 6 ms, so that several owners take turns within it.
const CONFLICT_PAUSE: Duration = Duration::from_millis(8);
/// The pause after a transaction that was refused or lost; doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// The maximum number of accounts in a transaction: the store takes 100 entries per call, and each
/// account takes a condition and a row.
const MAX_ROWS: usize = 45;
/// The maximum size of the rows of a transaction, in bytes: the store takes 1 MB per call, base64.
const MAX_BYTES: usize = 500_000;
/// How long a process may have an earlier configuration. A job may come from one with a newer one, whose
/// account this process does not know yet.
const CONFIGURATION_LAG: Duration = Duration::from_millis(3_000);
/// The quota of an account that is not known yet, which no task fits.
const LEAST_QUOTA: Resources = Resources {
    cpu: 1,
    memory: 1,
    accelerators: 1,
};
/// How long no grant of an account is raised after its quota came to apply to tasks that run already, or
/// its row was found malformed: the owners write what their pools hold meanwhile.
const SETTLING_TIME: Duration = Duration::from_millis(1_000);

/// Why no task of an account may start in this pool beyond those that run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Wait {
    /// The rows have not been read yet.
    Unread,
    /// The account is neither in the configuration nor in a row, and the configuration may be behind.
    UnknownAccount,
    /// The row is malformed, or a later version has written it.
    Unreadable,
    /// The row shows that there is a newer configuration.
    OlderConfiguration,
    /// The pool has no grant yet, or only one of an earlier term.
    NoGrant,
    /// The grants of all pools exceed the quota, which was lowered.
    Exceeded,
    /// The pool's grant is used up.
    Grant,
    /// The pool uses more than its part, and others wait for theirs.
    Share,
}

/// What a pool may hold of an account's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The quota to which the shares refer.
    pub quota: Resources,
    /// The share that tasks may hold whose start has been decided.
    pub hard: Share,
    /// The share up to which starts are decided: less than `hard` while other pools wait for a part that
    /// this one has.
    pub soft: Share,
    /// Why it isn't more.
    pub wait: Wait,
}

/// A conditional write of one account's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The account, which is the row's key.
    pub account: String,
    /// The version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// The row's value.
    pub value: Vec<u8>,
}

/// A row as the store returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The account.
    pub account: String,
    /// The row's version; 0 if it doesn't exist.
    pub version: u64,
    /// The row's value; `None` if it doesn't exist.
    pub value: Option<Vec<u8>>,
}

/// The outcome of a transaction of conditional writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect; contains the store's latest version.
    Done(u64),
    /// A condition failed; contains the current rows of the failed conditions.
    Conflict(Vec<StoredRow>),
    /// It had no effect and never will.
    Refused,
    /// It may have taken effect, or still may as long as its conditions hold.
    Lost,
}

/// A change of a pool's own grant that has taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The account.
    pub account: String,
    /// The grant before.
    pub before: Share,
    /// The pool's entry from now on.
    pub grant: Grant,
    /// The share that the pool's tasks held when it was written.
    pub held: Share,
}

/// The grants of all accounts, as one pool's owner knows them in one term.
#[derive(Clone, Debug)]
pub struct Ledger {
    pool: String,
    term: u64,
    /// The version of the configuration in force.
    version: u64,
    /// Whether the configuration has accounts.
    has_accounts: bool,
    /// Whether all rows have been read in this term.
    is_read: bool,
    entries: BTreeMap<String, Entry>,
    /// The transaction under way: its accounts with the share held when it was issued.
    in_flight: Vec<(String, Row, Share)>,
    /// The largest number of pools in a row.
    pool_count: usize,
    written_at: Duration,
    writes_from: Duration,
    /// The number of transactions in a row that had no effect, or none that is known.
    failures: u32,
}

impl Ledger {
    /// Creates the ledger of a pool's owner, which knows no row yet.
    pub fn new(pool: &str, term: u64) -> Self {
        Self {
            pool: pool.to_owned(),
            term,
            version: 0,
            has_accounts: false,
            is_read: false,
            entries: BTreeMap::new(),
            in_flight: Vec::new(),
            pool_count: 0,
            written_at: Duration::ZERO,
            writes_from: Duration::ZERO,
            failures: 0,
        }
    }

    /// Applies the accounts of a configuration. An account that is not in it any more keeps the quota
    /// that it had, since its accepted jobs go on.
    pub fn configure(&mut self, version: u64, accounts: Option<&BTreeMap<String, Account>>) {
        let is_first = self.version == 0;
        let had_accounts = self.has_accounts;
        self.version = version;
        self.has_accounts = accounts.is_some();
        for entry in self.entries.values_mut() {
            entry.is_configured = false;
        }
        for (name, account) in accounts.into_iter().flatten() {
            let entry = self.entries.entry(name.clone()).or_default();
            // Tasks that started without a limit are in no grant, and may run in any pool.
            let was_limited = had_accounts && is_limited(&entry.quota);
            let is_new_limit = !was_limited && is_limited(&account.quota);
            entry.must_settle |= is_new_limit && !is_first;
            entry.is_configured = true;
            entry.quota_version = version;
            entry.set_quota(account.quota, &self.pool);
        }
    }

    /// Returns whether any quota has to be kept, or may have to be: that of an account which isn't in the
    /// configuration any more is known from its row only, which may be unreadable.
    pub fn has_quotas(&self) -> bool {
        let may_limit =
            |entry: &Entry| entry.is_limited() || entry.is_unknown() && entry.is_unreadable();
        self.has_accounts && (!self.is_read || self.entries.values().any(may_limit))
    }

    /// Returns the quota of an account, `None` if it has no limit.
    pub fn quota(&self, account: &str) -> Option<Resources> {
        let entry = self.entries.get(account).filter(|_| self.has_accounts)?;
        entry.is_limited().then_some(entry.quota)
    }

    /// Notes that an account has tasks here.
    pub fn meet(&mut self, account: &str, now: Duration) {
        if !self.entries.contains_key(account) {
            self.entries.insert(account.to_owned(), Entry::default());
        }
        if let Some(entry) = self.entries.get_mut(account) {
            entry.met_at.get_or_insert(now);
        }
    }

    /// Returns the newest version of the configuration that any row names.
    pub fn newest_version(&self) -> u64 {
        let rows = self.entries.values().filter_map(Entry::row);
        rows.map(|row| row.version).max().unwrap_or(0)
    }

    /// Applies a reading of all rows.
    pub fn apply_all(&mut self, rows: Vec<StoredRow>, now: Duration) {
        self.is_read = true;
        self.apply(rows, now);
    }

    /// Applies rows of the store, in any order.
    pub fn apply(&mut self, rows: Vec<StoredRow>, now: Duration) {
        for row in rows {
            let entry = self.entries.entry(row.account.clone()).or_default();
            let before = entry.grant(&self.pool);
            let reason = entry.apply(&row, &self.pool, now);
            let after = entry.grant(&self.pool);
            if let (Some(before), Some(after)) = (before, after) {
                if before.grant != after.grant {
                    log::info!(
                        "event=grant-changed pool={} term={} account={} before={} grant={} by_term={}",
                        self.pool,
                        self.term,
                        row.account,
                        before.grant,
                        after.grant,
                        after.term
                    );
                }
            }
            let pools = entry.row().map_or(0, |row| row.pools.len());
            self.pool_count = self.pool_count.max(pools);
            if let Some(reason) = reason {
                log::error!(
                    "event=grants-unreadable pool={} account={} version={} reason={reason}",
                    self.pool,
                    row.account,
                    row.version
                );
                entry.settles_at = now + SETTLING_TIME;
            }
        }
    }

    /// Returns what the pool may hold of an account's quota while its tasks use `usage`, `None` if the
    /// account has no limit.
    pub fn allowance(&self, account: &str, usage: &Usage, now: Duration) -> Option<Allowance> {
        if !self.has_accounts {
            return None;
        }
        let entry = self.entries.get(account);
        if entry.is_none_or(Entry::is_unknown) {
            let met_at = entry.and_then(|entry| entry.met_at).unwrap_or(now);
            let wait = if !self.is_read {
                Wait::Unread
            } else if entry.is_some_and(Entry::is_unreadable) {
                // The row may hold a quota.
                Wait::Unreadable
            } else if now < met_at + CONFIGURATION_LAG {
                Wait::UnknownAccount
            } else {
                return None;
            };
            return Some(Allowance {
                quota: LEAST_QUOTA,
                hard: 0,
                soft: 0,
                wait,
            });
        }
        let quota = self.quota(account)?;
        let entry = self.entries.get(account)?;
        let none = |wait| Allowance {
            quota,
            hard: 0,
            soft: 0,
            wait,
        };
        if !self.is_read {
            return Some(none(Wait::Unread));
        }
        if entry.is_unreadable() {
            return Some(none(Wait::Unreadable));
        }
        let own = entry.own_grant(&self.pool, self.term);
        let (Some(row), Some(own)) = (entry.row(), own) else {
            return Some(none(Wait::NoGrant));
        };
        if row.version > self.version {
            return Some(none(Wait::OlderConfiguration));
        }
        if entry.sum() > WHOLE {
            return Some(none(Wait::Exceeded));
        }
        let soft = if entry.has_others_short() {
            own.min(entry.target(&self.pool, usage, now))
        } else {
            own
        };
        Some(Allowance {
            quota,
            hard: own,
            soft,
            wait: if soft < own { Wait::Share } else { Wait::Grant },
        })
    }

    /// Notes that a task of an account was assigned, after which its tasks use `usage`.
    pub fn on_assigned(&mut self, account: &str, usage: &Usage) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.use_turn(&self.pool, usage);
        }
    }

    /// Returns the writes that the pool needs at present as one transaction, `None` if there are none or
    /// the latest one is too recent or still under way.
    ///
    /// `usage` has the accounts with tasks in this pool. The caller has to report the outcome.
    pub fn next_writes(
        &mut self,
        usage: &BTreeMap<String, Usage>,
        now: Duration,
    ) -> Option<Vec<Write>> {
        if !self.is_read || !self.has_accounts || !self.in_flight.is_empty() {
            return None;
        }
        for entry in self.entries.values_mut() {
            if std::mem::take(&mut entry.must_settle) {
                entry.settles_at = now + SETTLING_TIME;
            }
        }
        if now < self.writes_from {
            return None;
        }
        let accepts_minor = now >= self.written_at + MINOR_INTERVAL;
        let none = Usage::default();
        let mut writes = Vec::new();
        let mut bytes = 0;
        for (name, entry) in &mut self.entries {
            if entry.awaits_row(now) {
                continue;
            }
            let usage = usage.get(name).unwrap_or(&none);
            let decision = entry.decide(&self.pool, self.term, self.version, usage, now);
            let Some(Decision { row, urgency, held }) = decision else {
                continue;
            };
            if urgency == Urgency::Minor && !accepts_minor {
                continue;
            }
            let value = encode(&row);
            bytes += value.len();
            if writes.len() == MAX_ROWS || bytes > MAX_BYTES {
                break;
            }
            entry.begin_write(&row, &self.pool);
            writes.push(Write {
                account: name.clone(),
                expected: entry.condition(),
                value,
            });
            self.in_flight.push((name.clone(), row, held));
        }
        (!writes.is_empty()).then_some(writes)
    }

    /// Handles the outcome of the transaction under way, and returns the changes of the pool's grants.
    pub fn on_outcome(&mut self, outcome: Outcome, now: Duration) -> Vec<Change> {
        let in_flight = std::mem::take(&mut self.in_flight);
        let mut changes = Vec::new();
        for (account, row, held) in in_flight {
            let Some(entry) = self.entries.get_mut(&account) else {
                continue;
            };
            match &outcome {
                Outcome::Done(version) => {
                    let before = entry.grant(&self.pool);
                    entry.end_write(row, *version, &self.pool, now);
                    changes.extend(entry.grant(&self.pool).map(|grant| Change {
                        account,
                        before: before.map_or(0, |before| before.lower(&grant.quota)),
                        grant,
                        held,
                    }));
                }
                Outcome::Conflict(_) | Outcome::Refused => entry.withdraw_write(),
                Outcome::Lost => {}
            }
        }
        self.written_at = now;
        self.writes_from = now + self.pause(&outcome);
        self.failures = match outcome {
            Outcome::Done(_) => 0,
            _ => self.failures.saturating_add(1),
        };
        if let Outcome::Conflict(rows) = outcome {
            for row in rows {
                if row.version == 0 {
                    if let Some(entry) = self.entries.get_mut(&row.account) {
                        entry.forget_row();
                    }
                } else {
                    self.apply(vec![row], now);
                }
            }
        }
        changes
    }

    /// Returns the pause before the next transaction. The jitter lets the owners of several pools, which
    /// all react to the same row, write one after another.
    fn pause(&self, outcome: &Outcome) -> Duration {
        let doublings = self.failures.min(3);
        match outcome {
            Outcome::Done(_) => WRITE_INTERVAL.max(POOL_INTERVAL * self.pool_count as u32),
            Outcome::Conflict(_) => {
                let seed = format!("{}/{}/{}", self.pool, self.term, self.failures);
                let jitter = xxhash_rust::xxh3::xxh3_64(seed.as_bytes()) % 1_000;
                let longest = CONFLICT_PAUSE * 2_u32.pow(doublings);
                CONFLICT_PAUSE / 4 + longest.mul_f64(jitter as f64 / 1_000.0)
            }
            Outcome::Refused | Outcome::Lost => {
                (FAILURE_PAUSE * 2_u32.pow(doublings)).min(FAILURE_PAUSE_MAX)
            }
        }
    }
}
