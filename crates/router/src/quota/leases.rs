//! Token leases that this gateway holds.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use super::{LEASE_TTL, LimitKey};

/// Time constant of the average demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_000);
/// Demand for which tokens are leased in advance.
const PREFETCH_TIME: Duration = Duration::from_millis(300);
/// Idle time after which the state of a limit is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Tokens of one lease, and when they expire.
#[derive(Clone, Copy, Debug)]
struct Lease {
    tokens: u64,
    ends_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Row {
    leases: VecDeque<Lease>,
    /// Tokens per second, as of `seen_at`.
    demand: f64,
    seen_at: Timestamp,
    /// Until when the owner has no tokens, and when a refused caller should retry.
    exhausted: Option<(Timestamp, Timestamp)>,
}

/// Leased tokens by rate limit.
#[derive(Clone, Debug, Default)]
pub struct TokenLeases {
    rows: HashMap<LimitKey, Row>,
}

impl TokenLeases {
    /// Records the demand, and spends `need` leased tokens; false if there are fewer.
    pub fn spend(&mut self, now: Timestamp, key: &LimitKey, need: u64) -> bool {
        let row = self.row(key);
        row.record_demand(now, need);
        row.take(now, need)
    }

    /// Spends `need` tokens after a grant; false if there are fewer.
    pub fn spend_granted(&mut self, now: Timestamp, key: &LimitKey, need: u64) -> bool {
        self.row(key).take(now, need)
    }

    /// If the limit is known to be exhausted: until when, and when a refused caller should retry.
    pub fn exhausted(&self, now: Timestamp, key: &LimitKey) -> Option<(Timestamp, Timestamp)> {
        let (admit_at, retry_at) = self.rows.get(key)?.exhausted?;
        (now < admit_at).then_some((admit_at, retry_at))
    }

    /// Tokens to lease in advance, beside the request at hand.
    pub fn prefetch(&self, key: &LimitKey) -> u64 {
        self.rows.get(key).map_or(0, |row| (row.demand * PREFETCH_TIME.as_secs_f64()) as u64)
    }

    /// Adds tokens that the owner granted for a request made at `requested_at`.
    pub fn on_granted(&mut self, key: &LimitKey, requested_at: Timestamp, tokens: u64) {
        let row = self.row(key);
        row.exhausted = None;
        row.leases.push_back(Lease { tokens, ends_at: requested_at.after(LEASE_TTL) });
    }

    /// Records that the owner has no tokens.
    pub fn on_exhausted(&mut self, key: &LimitKey, admit_at: Timestamp, retry_at: Timestamp) {
        self.row(key).exhausted = Some((admit_at, retry_at));
    }

    /// Returns the tokens of a request that did not run, for use by another one.
    pub fn restore(&mut self, now: Timestamp, key: &LimitKey, tokens: u64) {
        self.row(key).leases.push_back(Lease { tokens, ends_at: now.after(LEASE_TTL) });
    }

    /// Unexpired tokens of a limit.
    pub fn held(&self, now: Timestamp, key: &LimitKey) -> u64 {
        let leases = self.rows.get(key).map(|row| &row.leases).into_iter().flatten();
        leases.filter(|lease| now < lease.ends_at).map(|lease| lease.tokens).sum()
    }

    /// Removes tokens that expire within `soon`, to be returned to the owner, which can grant them again.
    pub fn take_expiring(&mut self, now: Timestamp, soon: Duration) -> Vec<(LimitKey, u64)> {
        let end = now.after(soon);
        let rows = self.rows.iter_mut().map(|(key, row)| (key, row.remove_expiring(now, end)));
        rows.filter(|(_, tokens)| *tokens > 0).map(|(key, tokens)| (key.clone(), tokens)).collect()
    }

    /// Drops limits without recent demand.
    pub fn expire(&mut self, now: Timestamp) {
        self.rows.retain(|_, row| now.since(row.seen_at) < IDLE_TIMEOUT);
    }

    fn row(&mut self, key: &LimitKey) -> &mut Row {
        if !self.rows.contains_key(key) {
            self.rows.insert(key.clone(), Row::default());
        }
        self.rows.get_mut(key).expect("the row was inserted above")
    }
}

impl Row {
    fn record_demand(&mut self, now: Timestamp, need: u64) {
        let span = DEMAND_WINDOW.as_secs_f64();
        let decay = (-now.since(self.seen_at).as_secs_f64() / span).exp();
        self.demand = self.demand * decay + need as f64 / span;
        self.seen_at = now;
    }

    /// Removes leases that expire by `end`, and returns their unexpired tokens.
    fn remove_expiring(&mut self, now: Timestamp, end: Timestamp) -> u64 {
        let ends = |lease: &&Lease| now < lease.ends_at && lease.ends_at <= end;
        let tokens = self.leases.iter().filter(ends).map(|lease| lease.tokens).sum();
        self.leases.retain(|lease| lease.ends_at > end);
        tokens
    }

    fn take(&mut self, now: Timestamp, need: u64) -> bool {
        self.leases.retain(|lease| now < lease.ends_at);
        let held = self.leases.iter().fold(0_u64, |sum, lease| sum.saturating_add(lease.tokens));
        if held < need {
            return false;
        }
        let mut left = need;
        while let Some(lease) = self.leases.front_mut()
            && left > 0
        {
            let used = left.min(lease.tokens);
            lease.tokens -= used;
            left -= used;
            if lease.tokens == 0 {
                self.leases.pop_front();
            }
        }
        true
    }
}
