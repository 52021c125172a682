//! Accounts of waiting requests: whether one is over its share changes while its requests wait.

use super::{EngineAdmission, Ticket};
use crate::fair_share::ShareKey;

impl EngineAdmission {
    /// Records the account of a waiting request, and the request's cost.
    pub fn set_claim(&mut self, ticket: Ticket, account: ShareKey, cost: f64) {
        if let Some(waiter) = self.waiting.get_mut(&ticket) {
            waiter.claim = Some((account, cost));
        }
    }

    /// Updates the precedence of all waiting requests whose account is known, by account and cost.
    pub fn update_over_share(&mut self, is_over: impl Fn(ShareKey, f64) -> bool) {
        for waiter in self.waiting.values_mut() {
            if let Some((account, cost)) = waiter.claim {
                waiter.demand.precedence.over_share = is_over(account, cost);
            }
        }
    }
}
