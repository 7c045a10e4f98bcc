use super::entry::Entry;
use super::row::{Grant, Row};
use super::share::{share, Share, WHOLE};
use hyssop_model::work::Resources;
use std::collections::BTreeMap;
use std::time::Duration;

/// What an account's tasks use in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// What the runs hold that are known and may exist.
    pub held: Resources,
    /// What the tasks would hold of which it is not known yet whether they run.
    pub orphaned: Resources,
    /// What the waiting tasks need for which the pool has free workers.
    pub waiting: Resources,
    /// The largest of these tasks, or the largest gang as a whole.
    pub unit: Resources,
}

impl Usage {
    /// Returns whether the account has no tasks in the pool.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns what the tasks may hold that are not certain to wait.
    pub fn occupied(&self) -> Resources {
        let mut occupied = self.held;
        occupied.add(&self.orphaned);
        occupied
    }

    /// Returns the share of `quota` that the tasks would hold if none waited for quota, at most all.
    pub(super) fn need(&self, quota: &Resources) -> Share {
        let mut need = self.occupied();
        need.add(&self.waiting);
        share(&need, quota).min(WHOLE)
    }

    /// Returns the largest waiting task as a share of `quota`. One that exceeds it may run alone.
    pub(super) fn unit(&self, quota: &Resources) -> Share {
        share(&self.unit, quota).min(WHOLE)
    }
}

/// How soon a change is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// A task waits for it, here or in another pool.
    Urgent,
    /// It lets no task start by itself.
    Minor,
}

/// A change of an account's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Decision {
    pub(super) row: Row,
    pub(super) urgency: Urgency,
    /// The share that the pool's tasks hold.
    pub(super) held: Share,
}

/// Returns whether a published share is no longer of use: it is off by more than a quarter, and by more
/// than `tolerance`. Owners write for each change of that size only, since needs change all the time.
fn is_outdated(published: Share, present: Share, tolerance: Share) -> bool {
    let difference = published.abs_diff(present);
    difference > tolerance && difference > published / 4
}

impl Entry {
    /// Returns the change of the row that the pool needs, `None` if there is none.
    pub(super) fn decide(
        &self,
        pool: &str,
        term: u64,
        version: u64,
        usage: &Usage,
        now: Duration,
    ) -> Option<Decision> {
        let own = self.row().and_then(|row| row.pools.get(pool));
        if own.is_none() && usage.is_empty() {
            return None;
        }
        let is_behind = self.row().is_some_and(|row| row.version > version)
            || own.is_some_and(|own| own.term > term);
        if !self.is_limited() || self.is_newer_layout() || is_behind {
            return None;
        }
        let quota = self.quota;
        let held = share(&usage.held, &quota).min(WHOLE);
        let (need, unit) = (usage.need(&quota), usage.unit(&quota));
        let current = own.map_or(0, |own| own.lower(&quota));
        let is_exceeded = self.sum() > WHOLE;
        let is_short = need > current;
        let mut grant = current;
        if is_short || is_exceeded || self.has_others_short() {
            let occupied = share(&usage.occupied(), &quota);
            let floor = held.max(occupied.min(current));
            let target = self.target(pool, usage, now);
            let free = WHOLE.saturating_sub(self.others());
            if target < current {
                grant = target.max(floor);
            } else if is_short && now >= self.settles_at {
                grant = target.min(free.max(current));
            }
        }
        // Tasks that started before the quota applied to them are in no grant.
        grant = grant.max(held);
        let entry = Grant {
            term,
            quota,
            grant,
            need,
            unit,
            served: own.map_or_else(|| self.newcomer_turn(), |own| own.served),
        };
        let urgency = self.urgency(own, &entry, current, held)?;
        let mut row = self.row().cloned().unwrap_or_default();
        row.version = version;
        row.quota = quota;
        row.quota_version = self.quota_version;
        let is_served = unit > 0 && current < unit && grant >= unit;
        let entry = if is_served {
            row.round += 1;
            let served = row.round;
            Grant { served, ..entry }
        } else {
            entry
        };
        row.pools.insert(pool.to_owned(), entry);
        if grant < current && now >= self.settles_at {
            let targets = self.targets(pool, usage, now);
            pass_on(&mut row, pool, &targets);
        }
        Some(Decision { row, urgency, held })
    }

    /// Returns how soon the pool's new entry is to replace `own`, `None` if it need not.
    fn urgency(
        &self,
        own: Option<&Grant>,
        new: &Grant,
        current: Share,
        held: Share,
    ) -> Option<Urgency> {
        let or_minor = |is_urgent| {
            Some(if is_urgent {
                Urgency::Urgent
            } else {
                Urgency::Minor
            })
        };
        let Some(own) = own else {
            return (new.need > 0).then_some(Urgency::Urgent);
        };
        let is_short = new.need > new.grant;
        let is_exceeded = self.sum() > WHOLE;
        if new.grant < current {
            let freed = current - new.grant;
            return or_minor(is_exceeded || freed >= self.smallest_short_unit());
        }
        if new.grant > current {
            let room = new.grant.saturating_sub(held);
            return or_minor(new.grant >= new.need || room >= new.unit || held > current);
        }
        let is_other_quota = own.quota != new.quota;
        if own.term != new.term && new.need > 0 || is_other_quota && (is_short || is_exceeded) {
            return Some(Urgency::Urgent);
        }
        if is_other_quota {
            return None;
        }
        if is_short {
            let is_outdated = !own.is_short()
                || is_outdated(own.need, new.need, new.unit)
                || is_outdated(own.unit, new.unit, 0);
            if is_outdated {
                return Some(Urgency::Urgent);
            }
        } else if own.is_short() {
            // The others would go on leaving this pool a part that it does not need.
            return or_minor(is_outdated(own.need, new.need, new.unit));
        }
        // A further write settles what became of one without an answer.
        if self.has_doubts() {
            return or_minor(is_short);
        }
        None
    }
}

/// Grants what is free to the pools that need more than they have, up to their parts: the one whose turn
/// is the longest ago first. That saves them a write.
fn pass_on(row: &mut Row, pool: &str, targets: &BTreeMap<&str, Share>) {
    let quota = row.quota;
    let mut free = WHOLE.saturating_sub(row.sum(&quota));
    let is_open =
        |name: &str, grant: &Grant| name != pool && grant.quota == quota && grant.is_short();
    let mut turns: Vec<(u64, String)> = row
        .pools
        .iter()
        .filter(|(name, grant)| is_open(name, grant))
        .map(|(name, grant)| (grant.served, name.clone()))
        .collect();
    turns.sort_unstable();
    for (_, name) in turns {
        let target = targets.get(name.as_str()).copied().unwrap_or(0);
        let Some(grant) = row.pools.get_mut(&name) else {
            continue;
        };
        let added = target.saturating_sub(grant.grant).min(free);
        if added == 0 {
            continue;
        }
        free -= added;
        let was_served = grant.grant >= grant.unit;
        grant.grant += added;
        if !was_served && grant.grant >= grant.unit {
            row.round += 1;
            grant.served = row.round;
        }
    }
}
