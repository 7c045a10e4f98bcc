use super::share::{Share, WHOLE};
use std::collections::BTreeMap;

/// What one pool claims of an account's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// The share that its tasks would hold if none waited for quota.
    pub need: Share,
    /// The share that the largest task or gang takes that could start.
    pub unit: Share,
    /// The round in which the pool was granted its largest task last; 0 while it has not used that.
    pub served: u64,
}

/// Returns the share of the quota that each pool is to have.
///
/// If all needs fit, each pool gets its need and an equal part of the rest. Otherwise each pool first
/// gets its largest task as a whole, the one whose turn is the longest ago first, since no pool can use
/// fractions of a task; what is left is allocated max-min by need.
pub fn targets<'a>(claims: &BTreeMap<&'a str, Claim>) -> BTreeMap<&'a str, Share> {
    let total = claims
        .values()
        .fold(0, |sum: Share, claim| sum.saturating_add(claim.need));
    if total <= WHOLE {
        let rest = (WHOLE - total) / claims.len().max(1) as u64;
        let with_rest = |(pool, claim): (&&'a str, &Claim)| (*pool, claim.need + rest);
        return claims.iter().map(with_rest).collect();
    }
    let mut left = WHOLE;
    let mut targets: BTreeMap<&str, Share> = BTreeMap::new();
    let mut turns: Vec<(u64, &str)> = claims.iter().map(|(pool, c)| (c.served, *pool)).collect();
    turns.sort_unstable();
    for (_, pool) in turns {
        let claim = claims[pool];
        let first = claim.unit.min(claim.need);
        let granted = if first <= left { first } else { 0 };
        left -= granted;
        targets.insert(pool, granted);
    }
    // The pools that need the least more come first, so each gets its equal part or less.
    let mut open: Vec<(Share, &str)> = claims
        .iter()
        .map(|(pool, claim)| (claim.need - targets[pool], *pool))
        .collect();
    open.sort_unstable();
    let mut count = open.len() as u64;
    for (missing, pool) in open {
        let granted = missing.min(left / count);
        left -= granted;
        count -= 1;
        *targets.entry(pool).or_default() += granted;
    }
    targets
}
