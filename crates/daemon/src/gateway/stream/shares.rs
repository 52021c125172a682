//! Account shares of requests that ask for admission.

use ebonyloft_core::ids::Account;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::demand::Demand;
use ebonyloft_router::engines::Ticket;
use ebonyloft_router::fair_share::ShareKey;

use crate::gateway::intake::Intake;
use crate::gateway::shared::Shared;

/// Are account shares in force?
pub fn are_enabled(shared: &Shared) -> bool {
    shared.fair_shares.borrow().is_enabled()
}

/// A request for admission, as counted for its account's share.
#[derive(Clone, Copy, Debug)]
pub struct ShareClaim {
    key: ShareKey,
    cost: f64,
    requested_at: Timestamp,
}

impl ShareClaim {
    /// Counts what the request asks for; `None` when shares are disabled.
    pub fn open(shared: &Shared, intake: &Intake, cost: f64, now: Timestamp) -> Option<Self> {
        let mut shares = shared.fair_shares.borrow_mut();
        if !shares.is_enabled() {
            return None;
        }
        let key = ShareKey::new(&intake.service, intake.account.as_ref().map(Account::as_str));
        shares.on_requested(now, key, cost);
        Some(ShareClaim { key, cost, requested_at: now })
    }

    /// Records that the request waits for admission.
    pub fn set_ticket(&self, shared: &Shared, ticket: Ticket) {
        shared.engines.borrow_mut().set_claim(ticket, self.key, self.cost);
    }

    /// Is its account over its share now, by more than this request?
    pub fn is_over(&self, shared: &Shared) -> bool {
        shared.fair_shares.borrow().is_over_by(self.key, self.cost)
    }
}

/// Counts a request as admitted.
pub fn on_admitted(shared: &Shared, claim: Option<ShareClaim>, demand: &Demand) {
    let Some(ShareClaim { key, cost, requested_at }) = claim else {
        return;
    };
    let now = shared.now();
    shared.fair_shares.borrow_mut().on_admitted(now, key, cost, requested_at);
    if demand.precedence.over_share {
        shared.metrics.count("gateway.share.over.admitted", 1);
    }
}

/// Records that a request was refused.
pub fn on_refused(shared: &Shared, demand: &Demand) {
    if demand.precedence.over_share {
        shared.metrics.count("gateway.share.over.refused", 1);
    }
}

/// Determines which accounts are over their share, also for requests that wait already.
pub fn evaluate(shared: &Shared, now: Timestamp) {
    let mut shares = shared.fair_shares.borrow_mut();
    if shares.evaluate(now) {
        shared
            .engines
            .borrow_mut()
            .update_over_share(|account, cost| shares.is_over_by(account, cost));
    }
}
