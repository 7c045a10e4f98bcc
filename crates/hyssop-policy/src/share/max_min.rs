use super::Claim;

/// Divides `capacity` so that no party gets more than its demand, and the excess goes to the other
/// parties by weight. Returns the shares in the order of `claims`.
///
/// The algorithm is progressive filling, after Bertsekas and Gallager, "Data Networks", 2nd edition,
/// 1992, section 6.5.2.
pub fn max_min(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len())
        .filter(|&i| claims[i].weight > 0.0)
        .collect();
    let weighted_demand = |i: &usize| claims[*i].demand / claims[*i].weight;
    order.sort_by(|a, b| weighted_demand(a).total_cmp(&weighted_demand(b)));
    let mut remaining = capacity.max(0.0);
    let mut remaining_weight: f64 = order.iter().map(|&i| claims[i].weight).sum();
    for i in order {
        let fair_share = remaining * claims[i].weight / remaining_weight;
        shares[i] = claims[i].demand.max(0.0).min(fair_share);
        remaining -= shares[i];
        remaining_weight -= claims[i].weight;
    }
    shares
}
