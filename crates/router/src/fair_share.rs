//! Shares of client accounts that compete for the engines of one service.
//!
//! Each gateway sums up what each account asked for and what was admitted of it, both decaying over
//! a few seconds, and tells its peers the largest sums. Weighted max-min fairness over the sums of
//! all gateways says which accounts got more than their share. Their requests are admitted after
//! those of others (`Precedence::over_share`); nothing is refused because of a share.

mod max_min;
mod report;
mod usage;
mod weights;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

pub use self::max_min::{Claim, shares};
pub use self::report::AccountUses;
pub use self::usage::{DECAY_TIME, UsageTable};
pub use self::weights::AccountWeights;
use crate::divergence::stable_hash;
use crate::report_timing::{LOAD_TIMEOUT, REPORT_INTERVAL};

/// Highest number of accounts whose use is kept for each service.
pub const ACCOUNTS_MAX: usize = 1_024;
/// Number of accounts of each service in a load report.
pub const REPORTED_MAX: usize = 16;
/// Use relative to the share from which on an account is over its share. The tenth above it keeps
/// an account at its share from changing its precedence with every request.
pub const OVER_SHARE: f64 = 1.1;
/// Time after its last request for which an account counts as one that asks.
pub const ASKING_TIME: Duration = Duration::from_secs(5);
/// Time after which unchanged figures are sent again: a third of their validity, so that one lost
/// report does not end it.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Identifies an account at a service by hashes, as in load reports.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShareKey {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the account's name.
    pub account: u32,
}

impl ShareKey {
    /// Returns the key of an account at a service. All callers without an account count as one.
    pub fn new(service: &str, account: Option<&str>) -> Self {
        ShareKey { service: short_hash(service), account: short_hash(account.unwrap_or_default()) }
    }
}

/// Returns a 32-bit hash of a name that is the same on all gateways.
fn short_hash(name: &str) -> u32 {
    (stable_hash(name) >> 32) as u32
}

/// Use of one account over all gateways in scope.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountUse {
    /// Cost of what it asked for.
    pub requested: f64,
    /// Cost of what was admitted of it.
    pub admitted: f64,
    /// Whether it has asked lately.
    pub asking: bool,
}

#[derive(Clone, Debug)]
struct PeerUses {
    received_at: Timestamp,
    /// Use by account, for each service.
    uses: BTreeMap<u32, Vec<(u32, AccountUse)>>,
}

/// Use of all accounts, and which of them are over their share.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    weights: Option<AccountWeights>,
    services: BTreeMap<u32, UsageTable>,
    peers: HashMap<String, PeerUses>,
    /// Accounts over their share, and by how much.
    over: HashMap<ShareKey, f64>,
    /// Whether use has changed since `over` was determined.
    changed: bool,
    /// When `over` may change without new use: figures of a peer expire, or an account no longer
    /// counts as one that asks.
    over_until: Option<Timestamp>,
    sent_at: Timestamp,
    sent: BTreeMap<u32, AccountUses>,
}

impl FairShares {
    /// Applies the accounts of a configuration; `None` disables shares and drops all use.
    pub fn configure(&mut self, weights: Option<AccountWeights>) {
        if weights.is_none() {
            *self = FairShares::default();
        }
        self.weights = weights;
        self.changed = true;
    }

    /// Are shares enabled?
    pub fn is_enabled(&self) -> bool {
        self.weights.is_some()
    }

    /// Records that an account asked for this cost.
    pub fn on_requested(&mut self, now: Timestamp, key: ShareKey, cost: f64) {
        if self.is_enabled() {
            self.services.entry(key.service).or_default().on_requested(now, key.account, cost);
            self.changed = true;
        }
    }

    /// Records that a request of this cost, which was made at `requested_at`, was admitted.
    pub fn on_admitted(
        &mut self,
        now: Timestamp,
        key: ShareKey,
        cost: f64,
        requested_at: Timestamp,
    ) {
        if let Some(table) = self.services.get_mut(&key.service) {
            table.on_admitted(now, key.account, cost, requested_at);
            self.changed = true;
        }
    }

    /// Stores the figures of a peer's load report, which must be its newest. A report without
    /// figures leaves those known until they expire.
    pub fn on_report(&mut self, now: Timestamp, peer: &str, uses: BTreeMap<u32, AccountUses>) {
        if self.is_enabled() && !uses.is_empty() {
            let decoded = uses.iter().map(|(service, uses)| (*service, uses.decode().collect()));
            let uses = decoded.collect();
            self.peers.insert(peer.to_owned(), PeerUses { received_at: now, uses });
            self.changed = true;
        }
    }

    /// Returns the figures for the next load report: none unless they have changed, or were sent so
    /// long ago that they would expire.
    pub fn report(&mut self, now: Timestamp) -> BTreeMap<u32, AccountUses> {
        let age = now.since(self.sent_at);
        if age < REPORT_INTERVAL {
            return BTreeMap::new();
        }
        let uses: BTreeMap<u32, AccountUses> = self
            .services
            .iter()
            .map(|(service, table)| (*service, AccountUses::encode(table.largest(now))))
            .filter(|(_, uses)| !uses.is_empty())
            .collect();
        if uses == self.sent && age < REPEAT_INTERVAL {
            return BTreeMap::new();
        }
        self.sent_at = now;
        self.sent.clone_from(&uses);
        uses
    }

    /// Determines anew which accounts are over their share if what it depends on may have changed;
    /// true when it was determined anew.
    pub fn evaluate(&mut self, now: Timestamp) -> bool {
        if !self.changed && self.over_until.is_none_or(|until| now < until) {
            return false;
        }
        // Without own use of a service no request of it is decided here.
        let services: Vec<u32> = self.services.keys().copied().collect();
        self.over =
            services.into_iter().flat_map(|service| self.over_share(now, service)).collect();
        let ends = self.peers.values().map(|p| p.received_at.after(LOAD_TIMEOUT));
        let ends = ends.chain(self.services.values().flat_map(UsageTable::asking_until));
        self.over_until = ends.filter(|at| *at > now).min();
        self.changed = false;
        true
    }

    /// Returns the accounts of a service that are over their share, and by how much.
    fn over_share(&self, now: Timestamp, service: u32) -> Vec<(ShareKey, f64)> {
        let Some(weights) = &self.weights else {
            return Vec::new();
        };
        let uses = self.uses(now, service);
        let capacity = uses.iter().map(|(_, used)| used.admitted).sum();
        let asking: Vec<(u32, AccountUse)> =
            uses.into_iter().filter(|(_, used)| used.asking).collect();
        let claim = |(account, used): &(u32, AccountUse)| Claim {
            weight: weights.weight(*account),
            requested: used.requested,
        };
        let claims: Vec<Claim> = asking.iter().map(claim).collect();
        let with_shares = asking.into_iter().zip(shares(capacity, &claims));
        with_shares
            .filter(|((_, used), share)| used.admitted > share * OVER_SHARE)
            .map(|((account, used), share)| (ShareKey { service, account }, used.admitted - share))
            .collect()
    }

    /// Was the account over its share at the last evaluation?
    pub fn is_over(&self, key: ShareKey) -> bool {
        self.over.contains_key(&key)
    }

    /// Was the account over its share by more than this cost? Figures of peers lag behind by a
    /// request, and requests are not divisible: an account that is ahead by one is not ahead.
    pub fn is_over_by(&self, key: ShareKey, cost: f64) -> bool {
        self.over.get(&key).is_some_and(|excess| *excess > cost)
    }

    /// Returns the use of each account of a service over all gateways in scope, by account.
    pub fn uses(&self, now: Timestamp, service: u32) -> Vec<(u32, AccountUse)> {
        let mut all: Vec<(u32, AccountUse)> = Vec::new();
        all.extend(self.services.get(&service).into_iter().flat_map(|table| table.all(now)));
        for peer in self.peers.values() {
            let age = now.since(peer.received_at);
            let Some(uses) = peer.uses.get(&service).filter(|_| age < LOAD_TIMEOUT) else {
                continue;
            };
            let left = usage::fraction_left(age);
            all.extend(uses.iter().map(|(account, used)| {
                let (requested, admitted) = (used.requested * left, used.admitted * left);
                (*account, AccountUse { requested, admitted, ..*used })
            }));
        }
        all.sort_unstable_by_key(|(account, _)| *account);
        all.dedup_by(|(account, used), (kept, sum)| {
            let is_same = account == kept;
            if is_same {
                sum.requested += used.requested;
                sum.admitted += used.admitted;
                sum.asking |= used.asking;
            }
            is_same
        });
        all
    }

    /// Number of accounts whose use is kept, over all services.
    pub fn accounts(&self) -> usize {
        self.services.values().map(UsageTable::len).sum()
    }

    /// Drops accounts without use and figures of silent peers.
    pub fn expire(&mut self, now: Timestamp) {
        self.peers.retain(|_, p| now.since(p.received_at) < LOAD_TIMEOUT);
        self.services.retain(|_, table| {
            table.expire(now);
            !table.is_empty()
        });
    }
}
