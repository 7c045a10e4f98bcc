use super::Claim;

/// Divides `capacity` so that no party gets more than its demand and what is left over goes to the
/// others by weight.
///
/// This is progressive filling, after Bertsekas and Gallager, "Data Networks", 2nd edition, 1992,
/// section 6.5.2. The result has the order of `claims`.
pub fn max_min(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len())
        .filter(|&i| claims[i].weight > 0.0)
        .collect();
    let need = |i: &usize| claims[*i].demand / claims[*i].weight;
    order.sort_by(|a, b| need(a).total_cmp(&need(b)));
    let mut left = capacity.max(0.0);
    let mut weight_left: f64 = order.iter().map(|&i| claims[i].weight).sum();
    for i in order {
        let fair = left * claims[i].weight / weight_left;
        shares[i] = claims[i].demand.max(0.0).min(fair);
        left -= shares[i];
        weight_left -= claims[i].weight;
    }
    shares
}
