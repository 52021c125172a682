//! Weighted max-min fairness.

/// What one account asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight of the account.
    pub weight: f64,
    /// Cost of what it asks for.
    pub requested: f64,
}

/// Divides the capacity. An account that asks for less than its weighted share gets what it asks
/// for; the rest is divided among the others by weight.
pub fn shares(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let relative = |(i, claim): (usize, &Claim)| (claim.requested / claim.weight, i);
    let mut order: Vec<(f64, usize)> = claims.iter().enumerate().map(relative).collect();
    order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut weight_left: f64 = claims.iter().map(|c| c.weight).sum();
    let mut capacity_left = capacity;
    let mut shares = vec![0.0; claims.len()];
    for (_, i) in order {
        let Claim { weight, requested } = claims[i];
        let weighted = capacity_left.max(0.0) * weight / weight_left.max(weight);
        shares[i] = requested.min(weighted);
        capacity_left -= shares[i];
        weight_left -= weight;
    }
    shares
}
