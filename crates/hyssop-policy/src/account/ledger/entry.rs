use super::row::{Grant, Row, Unreadable};
use super::share::{is_limited, share, Share};
use super::target::{targets, Claim};
use super::{StoredRow, Usage};
use hyssop_model::work::Resources;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a pool that was granted its largest task keeps its turn without starting one; a start takes
/// some milliseconds. Without it, the pools would pass the quota on among themselves for ever.
const TURN_TIME: Duration = Duration::from_millis(300);
/// How long an owner waits for the store's feed to return a row that it wrote. It bounds how long an
/// interrupted feed keeps the owner from writing again.
const ROW_WAIT: Duration = Duration::from_millis(1_000);

/// What an owner knows of one account.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    /// The account's quota: that of the configuration, or the last known one of an account that isn't in
    /// it any more.
    pub(super) quota: Resources,
    /// The version of the configuration that the quota is from.
    pub(super) quota_version: u64,
    pub(super) is_configured: bool,
    /// When it first had tasks in this pool.
    pub(super) met_at: Option<Duration>,
    /// Whether a limit has come to apply to tasks that may run already.
    pub(super) must_settle: bool,
    /// Until when no grant is raised.
    pub(super) settles_at: Duration,
    version: u64,
    /// The version on which the own write depended whose result is `row`, until the store returns the row.
    /// The version that the answer to a write names may be newer than that of the row.
    provisional_base: Option<u64>,
    /// When that write's answer came.
    answered_at: Duration,
    stored: Stored,
    /// Own writes that may have taken effect or may still do so: the version on which they depend, and the
    /// pool's own grant in them.
    doubts: Vec<(u64, Grant)>,
    /// The round in which the pool was granted its largest task last, and until when it may use that.
    turn: Option<(u64, Duration)>,
    /// The sum of all grants, as a share of `quota`.
    sum: Share,
    /// The sum of the other pools' grants.
    others: Share,
    /// The smallest of the largest tasks of the other pools that need more than they have, `None` if none
    /// does.
    smallest_short_unit: Option<Share>,
}

/// The row of an account.
#[derive(Clone, Debug, Default)]
enum Stored {
    #[default]
    Absent,
    Present(Row),
    Unreadable(Unreadable),
}

impl Entry {
    /// Returns whether nothing tells the account's quota.
    pub(super) fn is_unknown(&self) -> bool {
        !self.is_configured && !self.is_limited() && self.row().is_none()
    }

    pub(super) fn is_limited(&self) -> bool {
        is_limited(&self.quota)
    }

    pub(super) fn set_quota(&mut self, quota: Resources, pool: &str) {
        if self.quota != quota {
            self.quota = quota;
            self.update(pool);
        }
    }

    /// Returns the version on which a write has to depend.
    ///
    /// The version that an answer names may be that of another owner's later write, which a write with this
    /// condition would overwrite. Until the row's version is known, the condition is the one of the write
    /// before, which can't hold again while the row exists, so that the store returns the row.
    pub(super) fn condition(&self) -> u64 {
        self.provisional_base.unwrap_or(self.version)
    }

    /// Returns whether the store is still to return the row of the latest own write.
    pub(super) fn awaits_row(&self, now: Duration) -> bool {
        self.provisional_base.is_some() && now < self.answered_at + ROW_WAIT
    }

    pub(super) fn row(&self) -> Option<&Row> {
        match &self.stored {
            Stored::Present(row) => Some(row),
            _ => None,
        }
    }

    pub(super) fn is_unreadable(&self) -> bool {
        matches!(self.stored, Stored::Unreadable(_))
    }

    /// Returns whether the row may not be replaced, since a later version has written it.
    pub(super) fn is_newer_layout(&self) -> bool {
        matches!(self.stored, Stored::Unreadable(Unreadable::NewerLayout))
    }

    /// Returns the sum of all grants, as a share of the quota.
    pub(super) fn sum(&self) -> Share {
        self.sum
    }

    /// Returns the sum of the other pools' grants, as a share of the quota.
    pub(super) fn others(&self) -> Share {
        self.others
    }

    /// Returns whether another pool needs more than it has.
    pub(super) fn has_others_short(&self) -> bool {
        self.smallest_short_unit.is_some()
    }

    /// Returns the smallest of the largest tasks of the other pools that need more than they have.
    pub(super) fn smallest_short_unit(&self) -> Share {
        self.smallest_short_unit.unwrap_or(0)
    }

    pub(super) fn has_doubts(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// Returns the pool's entry in the row.
    pub(super) fn grant(&self, pool: &str) -> Option<Grant> {
        self.row()?.pools.get(pool).cloned()
    }

    /// Returns the share that the pool may hold under `term`, as a share of the quota; `None` if that
    /// term's owner has not written the row.
    ///
    /// An earlier owner of the pool may still write as long as the present one has not, and lower the
    /// grant without its knowledge. While writes of the own term are in doubt, the lowest grant counts.
    pub(super) fn own_grant(&self, pool: &str, term: u64) -> Option<Share> {
        let own = self.row()?.pools.get(pool)?;
        if own.term != term {
            return None;
        }
        let doubtful = self.doubts.iter().map(|(_, grant)| grant);
        let grants = doubtful.chain([own]).map(|grant| grant.lower(&self.quota));
        grants.min()
    }

    /// Applies a row of the store, unless a newer one is known; returns why it can't be read.
    pub(super) fn apply(
        &mut self,
        stored: &StoredRow,
        pool: &str,
        now: Duration,
    ) -> Option<Unreadable> {
        let is_newer = match self.provisional_base {
            Some(base) => stored.version > base,
            None => stored.version > self.version,
        };
        if !is_newer {
            return None;
        }
        self.version = stored.version;
        self.provisional_base = None;
        self.doubts.retain(|(base, _)| *base >= stored.version);
        let mut reason = None;
        self.stored = match stored.value.as_deref().map(Row::read) {
            None => Stored::Absent,
            Some(Ok(row)) => Stored::Present(row),
            Some(Err(unreadable)) => {
                reason = Some(unreadable);
                Stored::Unreadable(unreadable)
            }
        };
        self.update(pool);
        self.update_turn(pool, now);
        reason
    }

    /// Records that the store has no row.
    pub(super) fn forget_row(&mut self) {
        self.version = 0;
        self.provisional_base = None;
        self.stored = Stored::Absent;
        self.sum = 0;
        self.others = 0;
        self.smallest_short_unit = None;
    }

    /// Records a write of `row` that is about to be sent.
    pub(super) fn begin_write(&mut self, row: &Row, pool: &str) {
        let own = row.pools.get(pool).cloned().unwrap_or_default();
        self.doubts.push((self.condition(), own));
    }

    /// Records that the latest write took effect. No earlier one can any more.
    pub(super) fn end_write(&mut self, row: Row, version: u64, pool: &str, now: Duration) {
        // A newer row may be known from the feed already.
        let Some((base, _)) = self.doubts.last() else {
            return;
        };
        self.provisional_base = Some(*base);
        self.answered_at = now;
        self.version = version;
        self.doubts.clear();
        self.stored = Stored::Present(row);
        self.update(pool);
        self.update_turn(pool, now);
    }

    /// Notes that the pool was granted its largest task since.
    fn update_turn(&mut self, pool: &str, now: Duration) {
        let served = self.row().and_then(|row| row.pools.get(pool));
        let served = served.map_or(0, |grant| grant.served);
        if self.turn.is_none_or(|(known, _)| known != served) {
            self.turn = Some((served, now + TURN_TIME));
        }
    }

    /// Ends the pool's turn if its grant has no room left for the largest task.
    pub(super) fn use_turn(&mut self, pool: &str, usage: &Usage) {
        let grant = self.row().and_then(|row| row.pools.get(pool));
        let grant = grant.map_or(0, |grant| grant.lower(&self.quota));
        let mut next = usage.occupied();
        next.add(&usage.unit);
        if share(&next, &self.quota) > grant {
            if let Some((_, until)) = &mut self.turn {
                *until = Duration::ZERO;
            }
        }
    }

    /// Records that the latest write had no effect and never will.
    pub(super) fn withdraw_write(&mut self) {
        self.doubts.pop();
    }

    /// Returns the turn of a pool that has no entry yet: before those that were granted their largest task
    /// last, and after those that wait for longer.
    pub(super) fn newcomer_turn(&self) -> u64 {
        self.row()
            .map_or(1, |row| row.round.saturating_sub(1).max(1))
    }

    /// Returns the pool's part of the quota while its tasks use `usage`.
    pub(super) fn target(&self, pool: &str, usage: &Usage, now: Duration) -> Share {
        self.targets(pool, usage, now)
            .get(pool)
            .copied()
            .unwrap_or(0)
    }

    /// Returns the parts of all pools while the own one's tasks use `usage`.
    pub(super) fn targets<'a>(
        &'a self,
        pool: &'a str,
        usage: &Usage,
        now: Duration,
    ) -> BTreeMap<&'a str, Share> {
        let pools = self.row().map(|row| &row.pools);
        let mut claims: BTreeMap<&str, Claim> = BTreeMap::new();
        for (name, grant) in pools.into_iter().flatten() {
            let (need, unit) = grant.needs(&self.quota);
            let served = grant.served;
            claims.insert(name, Claim { need, unit, served });
        }
        let has_turn = self.turn.is_some_and(|(_, until)| now < until);
        let served = claims
            .get(pool)
            .map_or(self.newcomer_turn(), |claim| claim.served);
        let served = if has_turn { 0 } else { served };
        let own = Claim {
            need: usage.need(&self.quota),
            unit: usage.unit(&self.quota),
            served,
        };
        claims.insert(pool, own);
        targets(&claims)
    }

    /// Derives from the row and the quota what every decision needs.
    fn update(&mut self, pool: &str) {
        let newer = self
            .row()
            .filter(|row| row.quota_version > self.quota_version);
        if let (false, Some(row)) = (self.is_configured, newer) {
            (self.quota, self.quota_version) = (row.quota, row.quota_version);
        }
        let quota = self.quota;
        let (sum, others, unit) = self.row().map_or((0, 0, None), |row| {
            let others = row.pools.iter().filter(|(name, _)| *name != pool);
            let short = others.clone().filter(|(_, grant)| grant.is_short());
            let units = short.map(|(_, grant)| grant.needs(&quota).1);
            let granted = others.map(|(_, grant)| grant.upper(&quota));
            let others = granted.fold(0, Share::saturating_add);
            (row.sum(&quota), others, units.min())
        });
        (self.sum, self.others, self.smallest_short_unit) = (sum, others, unit);
    }
}
