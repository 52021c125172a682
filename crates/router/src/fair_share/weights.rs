//! Weights of accounts, by their quotas.

use std::collections::HashMap;

use super::short_hash;
use crate::accounts::{Accounts, Quota, Unit};

/// Weight of an account without a quota: the mean of the others.
const MEAN_WEIGHT: f64 = 1.0;
/// Lowest weight; a quota of zero would otherwise divide by zero.
const WEIGHT_MIN: f64 = 1e-6;

/// Weight of each account, relative to the mean.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountWeights {
    /// By hash of the name; accounts without a quota are left out.
    weights: HashMap<u32, f64>,
}

impl AccountWeights {
    /// Returns the weights of a configuration's accounts; `None` when none of them has a quota.
    ///
    /// A weight is the rate of the quota divided by the mean rate of all quotas of the same unit,
    /// since requests and tokens can't be compared.
    pub fn of(accounts: &Accounts) -> Option<Self> {
        let quotas = || accounts.all().iter().filter_map(|a| Some((&a.name, a.quota?)));
        let [requests, tokens] =
            [false, true].map(|tokens| mean(quotas().filter(|(_, q)| is_tokens(q) == tokens)));
        let mut weights = HashMap::new();
        for (name, quota) in quotas() {
            let mean = if is_tokens(&quota) { tokens } else { requests };
            let weight = (quota.bound.rate / mean).max(WEIGHT_MIN);
            // Accounts of the same hash count as one, with the sum of their use.
            *weights.entry(short_hash(name.as_str())).or_insert(0.0) += weight;
        }
        (!weights.is_empty()).then_some(AccountWeights { weights })
    }

    /// Returns the weight of an account.
    pub fn weight(&self, account: u32) -> f64 {
        self.weights.get(&account).copied().unwrap_or(MEAN_WEIGHT)
    }
}

fn is_tokens(quota: &Quota) -> bool {
    matches!(quota.unit, Unit::Tokens { .. })
}

/// Mean rate of these quotas.
fn mean<T>(quotas: impl Iterator<Item = (T, Quota)>) -> f64 {
    let (sum, count) = quotas.fold((0.0, 0.0), |(sum, n), (_, q)| (sum + q.bound.rate, n + 1.0));
    (sum / f64::max(count, 1.0)).max(f64::MIN_POSITIVE)
}
