//! Limits that hold across entries without a coordinator, retry budgets, and early refusal.
//!
//! The platform's balancer spreads callers evenly over the entries, so each entry allows its share:
//! the bound divided by the live entries it sees. Rates are refilled lazily from moments.

use std::collections::HashMap;
use std::time::Duration;

use crate::config::{Document, Labels, Rate};
use crate::ids::Account;
use crate::time::Moment;

/// Retries allowed for each request, on average.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries a second that are always allowed.
pub const RETRY_FLOOR: f64 = 2.0;
/// Retries that may be saved up.
pub const RETRY_BURST: f64 = 20.0;
/// Buckets kept at most; the fullest are dropped first, which loses nothing.
pub const BUCKET_LIMIT: usize = 50_000;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    filled_at: Moment,
}

impl Bucket {
    /// A full bucket.
    pub fn full(now: Moment, rate: &Rate) -> Self {
        Bucket {
            level: rate.burst,
            filled_at: now,
        }
    }

    /// Takes one token, or says when there is one.
    pub fn take(&mut self, now: Moment, rate: &Rate) -> Result<(), Moment> {
        self.refill(now, rate);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        if rate.rate <= 0.0 {
            return Err(Moment::NEVER);
        }
        let wait = (1.0 - self.level) / rate.rate;
        Err(now.after(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)))
    }

    fn refill(&mut self, now: Moment, rate: &Rate) {
        let gained = now.since(self.filled_at).as_secs_f64() * rate.rate;
        self.level = (self.level + gained).min(rate.burst);
        self.filled_at = self.filled_at.max(now);
    }
}

/// The limits of one entry.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    accounts: HashMap<Account, Bucket>,
    limits: HashMap<String, Bucket>,
}

impl Limiter {
    /// May this request pass? `entries` are the live entries, this one included.
    pub fn pass(
        &mut self,
        now: Moment,
        doc: &Document,
        account: &Account,
        labels: &Labels,
        entries: usize,
    ) -> Result<(), Moment> {
        if let Some(bound) = doc.accounts.get(account).and_then(|a| a.bound) {
            let rate = share(&bound, entries);
            if self.accounts.len() >= BUCKET_LIMIT && !self.accounts.contains_key(account) {
                self.drop_fullest();
            }
            let full = Bucket::full(now, &rate);
            self.accounts
                .entry(account.clone())
                .or_insert(full)
                .take(now, &rate)?;
        }
        for limit in doc.limits.iter().filter(|l| l.select.matches(labels)) {
            let rate = share(&limit.bound, entries);
            let full = Bucket::full(now, &rate);
            self.limits
                .entry(limit.name.clone())
                .or_insert(full)
                .take(now, &rate)?;
        }
        Ok(())
    }

    fn drop_fullest(&mut self) {
        let mut levels: Vec<f64> = self.accounts.values().map(|b| b.level).collect();
        levels.sort_unstable_by(f64::total_cmp);
        let middle = levels[levels.len() / 2];
        self.accounts.retain(|_, b| b.level < middle);
    }
}

fn share(bound: &Rate, entries: usize) -> Rate {
    let n = entries.max(1) as f64;
    Rate {
        rate: bound.rate / n,
        burst: (bound.burst / n).max(1.0),
    }
}

/// Bounds retries to a share of the requests, so that a fault ends without a storm.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    level: f64,
    filled_at: Moment,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(now: Moment) -> Self {
        RetryBudget {
            level: RETRY_BURST,
            filled_at: now,
        }
    }

    /// A request came in.
    pub fn earn(&mut self) {
        self.level = (self.level + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, now: Moment) -> bool {
        let gained = now.since(self.filled_at).as_secs_f64() * RETRY_FLOOR;
        self.level = (self.level + gained).min(RETRY_BURST);
        self.filled_at = self.filled_at.max(now);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
