//! Token leases that this gateway grants for the limits it owns.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::limits::Bucket;
use ebonyloft_core::time::Timestamp;

use super::{LeaseDecision, LeaseRequest, LimitKey};
use crate::node::Excess;

/// Fraction of a full bucket that is granted for requests at hand only, not for expected demand.
const RESERVED_FRACTION: f64 = 0.5;
/// Longest time over which the retries of refused callers are spread.
const RETRY_SPREAD_MAX: Duration = Duration::from_secs(10);
/// A process that did not run for longer was paused; others may have granted tokens in its place.
const PAUSE_MIN: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug)]
struct Row {
    bucket: Bucket,
    /// Limit as configured.
    bound: Rate,
    /// Retry time given to the last refused caller.
    retry_at: Timestamp,
}

/// How long a repeated lease request gets the same reply, since its first reply may have been lost.
const REPLY_CACHE_TTL: Duration = Duration::from_millis(500);
/// Fraction of the tolerated excess over a quota that a standby may grant while the owner may be granting
/// too.
const STANDBY_FRACTION: f64 = 0.5;

/// Share of a limit that a standby grants beside an owner that may be alive.
pub fn standby_share(bound: &Rate, excess: &Excess) -> f64 {
    let allowed = bound.rate * excess.window.as_secs_f64() + bound.burst;
    STANDBY_FRACTION * (excess.fraction + excess.fixed / allowed.max(1.0)).min(1.0)
}

/// Limits that this gateway owns.
#[derive(Clone, Debug)]
pub struct LeaseIssuer {
    rows: HashMap<LimitKey, Row>,
    /// Recent grants with the number of the lease request.
    recent_grants: VecDeque<(Timestamp, u64, LeaseDecision)>,
    /// When the current ranks of gateways took effect.
    ranked_at: Timestamp,
    edition: u64,
    ticked_at: Timestamp,
    /// Fingerprint of which gateways each one can't reach, and since when it is the same.
    reachability: Option<(u64, Timestamp)>,
}

impl LeaseIssuer {
    /// State at process start, without tokens to grant.
    pub fn new(now: Timestamp) -> Self {
        LeaseIssuer {
            rows: HashMap::new(),
            recent_grants: VecDeque::new(),
            ranked_at: now,
            edition: 0,
            ticked_at: now,
            reachability: None,
        }
    }

    /// Takes note of the fingerprint of `ownership::reachability`; `None` where other gateways are not observed.
    pub fn observe(&mut self, now: Timestamp, reachability: Option<u64>) {
        if reachability != self.reachability.map(|(known, _)| known) {
            self.reachability = reachability.map(|known| (known, now));
        }
    }

    /// Updates the clock; `edition` is that of the gateway list.
    pub fn tick(&mut self, now: Timestamp, edition: u64) {
        if now.since(self.ticked_at) > PAUSE_MIN {
            self.rows.clear();
            self.ranked_at = now;
        }
        if self.edition != edition {
            self.edition = edition;
            self.ranked_at = now;
        }
        self.ticked_at = now;
    }

    /// Drops limits that another gateway owns now, since the grants of that gateway are not known here.
    pub fn retain(&mut self, mut is_owner: impl FnMut(&LimitKey) -> bool) {
        self.rows.retain(|key, _| is_owner(key));
    }

    /// Grants a lease. `part` is this gateway's share of the limit; `is_first` if it ranks first for the key.
    pub fn grant(
        &mut self,
        now: Timestamp,
        request: &LeaseRequest,
        bound: &Rate,
        part: f64,
        is_first: bool,
    ) -> LeaseDecision {
        if part <= 0.0 {
            return LeaseDecision::Elsewhere;
        }
        while self.recent_grants.front().is_some_and(|(at, ..)| now.since(*at) > REPLY_CACHE_TTL) {
            self.recent_grants.pop_front();
        }
        if let Some((.., reply)) =
            self.recent_grants.iter().find(|(_, number, _)| *number == request.number)
        {
            return *reply;
        }
        // A standby does not know which tokens were granted before its share was the one it has now; the first
        // ranked gateway has owned the limit since `ranked_at`.
        let standby_since = self.reachability.map_or(now, |(_, at)| at.max(self.ranked_at));
        let since = if is_first { self.ranked_at } else { standby_since };
        let rate = Rate { rate: bound.rate * part, burst: bound.burst * part };
        let row = self.rows.entry(request.key.clone()).or_insert_with(|| Row {
            bucket: Bucket::empty(since),
            bound: *bound,
            retry_at: now,
        });
        if bound.burst > row.bound.burst {
            row.bucket.refill(now, &rate);
            row.bucket.put(&rate, (bound.burst - row.bound.burst) * part);
        }
        row.bound = *bound;
        match row.bucket.take_many(now, &rate, request.need as f64) {
            Ok(()) => {
                let surplus = (row.bucket.level() - rate.burst * RESERVED_FRACTION).max(0.0);
                let extra = surplus.min(request.prefetch as f64).floor();
                row.bucket.put(&rate, -extra);
                let reply = LeaseDecision::Lent(request.need + extra as u64);
                self.recent_grants.push_back((now, request.number, reply));
                reply
            }
            Err(admit_at) => row.refuse(now, admit_at, request.need as f64 / rate.rate),
        }
    }

    /// Puts unused tokens of a lease back, if this gateway has granted any of the limit.
    pub fn return_unused(&mut self, key: &LimitKey, tokens: u64, part: f64) {
        if let Some(row) = self.rows.get_mut(key) {
            let rate = Rate { rate: row.bound.rate * part, burst: row.bound.burst * part };
            row.bucket.put(&rate, tokens as f64);
        }
    }

    /// Tokens in the bucket of a limit, as of its last use.
    pub fn level(&self, key: &LimitKey) -> Option<f64> {
        self.rows.get(key).map(|row| row.bucket.level())
    }

    /// Number of limits with grants.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no grants.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl Row {
    /// Refuses a request that could be admitted at `admit_at`; retries are spaced as fast as the limit
    /// allows.
    fn refuse(&mut self, now: Timestamp, admit_at: Timestamp, seconds: f64) -> LeaseDecision {
        let latest = now.after(RETRY_SPREAD_MAX);
        let retry_at = self.retry_at.max(admit_at).min(latest.max(admit_at));
        let interval = Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_SPREAD_MAX);
        self.retry_at = retry_at.after(interval).min(latest);
        let millis = |at: Timestamp| at.since(now).as_millis().min(u128::from(u32::MAX)) as u32;
        LeaseDecision::Over { room: millis(admit_at), back: millis(retry_at) }
    }
}
