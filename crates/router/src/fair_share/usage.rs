//! Use of each account at one gateway, as sums that decay exponentially.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use super::{ACCOUNTS_MAX, ASKING_TIME, AccountUse, REPORTED_MAX};

/// Time constant of the decay: a burst of a few seconds counts, the use of a minute ago doesn't.
pub const DECAY_TIME: Duration = Duration::from_secs(5);
/// Time after its last request at which an account is forgotten; less than a hundredth of its use
/// is left.
const FORGET_TIME: Duration = Duration::from_secs(25);

/// Returns the fraction of a sum that is left after some time.
pub(super) fn fraction_left(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    requested: f64,
    admitted: f64,
    /// Time as of which both sums hold.
    at: Timestamp,
    asked_at: Timestamp,
}

impl Usage {
    fn decay(&mut self, now: Timestamp) {
        let left = fraction_left(now.since(self.at));
        self.requested *= left;
        self.admitted *= left;
        self.at = self.at.max(now);
    }

    fn at(mut self, now: Timestamp) -> AccountUse {
        self.decay(now);
        let asking = now.since(self.asked_at) < ASKING_TIME;
        AccountUse { requested: self.requested, admitted: self.admitted, asking }
    }
}

/// Use of the accounts of one service at one gateway.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    accounts: HashMap<u32, Usage>,
}

impl UsageTable {
    /// Records that an account asked for this cost.
    pub fn on_requested(&mut self, now: Timestamp, account: u32, cost: f64) {
        if !self.accounts.contains_key(&account) && self.accounts.len() >= ACCOUNTS_MAX {
            self.evict(now);
        }
        let new = Usage { requested: 0.0, admitted: 0.0, at: now, asked_at: now };
        let usage = self.accounts.entry(account).or_insert(new);
        usage.decay(now);
        usage.requested += cost;
        usage.asked_at = usage.asked_at.max(now);
    }

    /// Records that a request of this cost, which was made at `requested_at`, was admitted.
    ///
    /// The cost counts as of the request, as in the requested sum. If it counted as of the
    /// admission, the longer an account's requests wait, the sooner it would seem over its share.
    pub fn on_admitted(
        &mut self,
        now: Timestamp,
        account: u32,
        cost: f64,
        requested_at: Timestamp,
    ) {
        // An account that was evicted in the meantime has little use.
        if let Some(usage) = self.accounts.get_mut(&account) {
            usage.decay(now);
            let cost = cost * fraction_left(now.since(requested_at));
            usage.admitted = (usage.admitted + cost).min(usage.requested);
        }
    }

    /// Returns the use of all accounts.
    pub fn all(&self, now: Timestamp) -> impl Iterator<Item = (u32, AccountUse)> {
        self.accounts.iter().map(move |(account, usage)| (*account, usage.at(now)))
    }

    /// Returns until when each account counts as one that asks.
    pub fn asking_until(&self) -> impl Iterator<Item = Timestamp> {
        self.accounts.values().map(|usage| usage.asked_at.after(ASKING_TIME))
    }

    /// Returns the accounts of the highest use among those that ask, for a load report.
    pub fn largest(&self, now: Timestamp) -> Vec<(u32, AccountUse)> {
        let mut asking: Vec<(u32, AccountUse)> =
            self.all(now).filter(|(_, used)| used.asking).collect();
        let by_use = |(a, x): &(u32, AccountUse), (b, y): &(u32, AccountUse)| {
            let by_admitted = y.admitted.total_cmp(&x.admitted);
            by_admitted.then(y.requested.total_cmp(&x.requested)).then(a.cmp(b))
        };
        if asking.len() > REPORTED_MAX {
            asking.select_nth_unstable_by(REPORTED_MAX, by_use);
            asking.truncate(REPORTED_MAX);
        }
        asking.sort_unstable_by(by_use);
        asking
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Is no account known?
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Forgets accounts that have not asked for long.
    pub fn expire(&mut self, now: Timestamp) {
        self.accounts.retain(|_, usage| now.since(usage.asked_at) < FORGET_TIME);
    }

    /// Removes the account of the least use.
    fn evict(&mut self, now: Timestamp) {
        let least = self
            .all(now)
            .min_by(|(a, x), (b, y)| x.requested.total_cmp(&y.requested).then(a.cmp(b)));
        if let Some((account, _)) = least {
            self.accounts.remove(&account);
        }
    }
}
