use hyssop_model::work::Resources;

/// An amount as a share of an account's quota, in millionths: the largest of its shares of CPU,
/// memory and accelerators.
pub type Share = u64;

/// The whole quota.
pub const WHOLE: Share = 1_000_000;

/// Returns whether a quota limits anything; an amount of 0 is no limit.
pub fn is_limited(quota: &Resources) -> bool {
    limits(quota).iter().any(|limit| *limit > 0)
}

/// Returns the share of `quota` that `amount` takes, rounded down, but not to nothing.
///
/// Rounded up, three tasks of a third of a quota would not fit it if they ran in two pools. Rounded down,
/// the tasks in 72 pools exceed a quota by less than a ten-thousandth of it.
pub fn share(amount: &Resources, quota: &Resources) -> Share {
    let pairs = limits(amount).into_iter().zip(limits(quota));
    let limited = pairs.filter(|(_, limit)| *limit > 0);
    let shares =
        limited.map(|(amount, limit)| scale(amount, WHOLE, limit, |a, b| a / b).max(amount.min(1)));
    shares.max().unwrap_or(0)
}

/// Returns the most that a share of the quota `from` may be as a share of `to`.
pub(super) fn upper(share: Share, from: &Resources, to: &Resources) -> Share {
    if share == 0 || from == to {
        return share;
    }
    let pairs = limits(from).into_iter().zip(limits(to));
    let limited = pairs.filter(|(_, to)| *to > 0);
    let shares = limited.map(|(from, to)| match from {
        // Nothing is known of what the earlier quota didn't limit.
        0 => Share::MAX,
        from => scale(share, from, to, u128::div_ceil),
    });
    shares.max().unwrap_or(0)
}

/// Returns the least that a share of the quota `from` may be as a share of `to`.
pub(super) fn lower(share: Share, from: &Resources, to: &Resources) -> Share {
    if share == 0 || from == to {
        return share;
    }
    let pairs = limits(from).into_iter().zip(limits(to));
    let limited = pairs.filter(|(_, to)| *to > 0);
    let shares = limited.map(|(from, to)| scale(share, from, to, |a, b| a / b));
    shares.min().unwrap_or(0)
}

fn limits(amount: &Resources) -> [u64; 3] {
    [amount.cpu, amount.memory, amount.accelerators]
}

/// Returns `amount` x `numerator` / `denominator`, stopping at the largest share.
fn scale(
    amount: u64,
    numerator: u64,
    denominator: u64,
    divide: impl Fn(u128, u128) -> u128,
) -> Share {
    let product = u128::from(amount) * u128::from(numerator);
    Share::try_from(divide(product, u128::from(denominator))).unwrap_or(Share::MAX)
}
