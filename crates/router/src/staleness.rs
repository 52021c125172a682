//! Tracks as of when the configuration in force is known to be the newest.
//!
//! A revoked API key must stop working within a bound, also at a gateway that is cut off. So a
//! request with a key is only served while the configuration was confirmed more recently than that.
//! Gateways report this to each other as an age, which the gateway that asks counts from when it
//! sent its query: no clock of another VM is trusted, and the time in transit is always included.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// Before a store drops its history, watchers may miss changes for up to this long.
pub const WATCH_LAG_MAX: Duration = Duration::from_millis(1_000);
/// Fraction of the bound after which other gateways are queried.
pub const QUERY_FRACTION: f64 = 0.3;
/// Fraction of the bound after which a gateway that follows the store has asked it again; the rest
/// is for the answer to reach the others.
pub const CONFIRM_FRACTION: f64 = 0.65;
/// Shortest time between two queries.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Unanswered queries are forgotten after this time.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Subtracted from the bound, since the clocks of two VMs run at different speeds.
const CLOCK_DRIFT: Duration = Duration::from_millis(100);

/// Returns the time as of which the answer to a watch is known to be current: one that was sent at `sent`, that the
/// store was to hold open for `wait`, and whose answer was read at `now`. The answer may have been under way for
/// long, or this process may have stood still before it read it. An answer without changes was written when the
/// wait had passed; one with changes may have been written at any time since the watch was sent.
pub fn watched_until(now: Timestamp, sent: Timestamp, wait: Duration, is_empty: bool) -> Timestamp {
    let ends_at = sent.after(wait);
    if is_empty && now >= ends_at { ends_at } else { sent }
}

/// Age of the configuration of one gateway.
#[derive(Clone, Debug, Default)]
pub struct ConfigStaleness {
    confirmed_at: Timestamp,
    /// A newer version that another gateway has, and as of when that version is known to be the
    /// newest.
    newer: Option<(u64, Timestamp)>,
    queries: HashMap<u64, Timestamp>,
    next_query: Timestamp,
}

/// The configuration that another gateway reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionAge {
    /// Version in force there.
    pub version: u64,
    /// Time since that version was known to be the newest.
    pub age: Duration,
}

impl ConfigStaleness {
    /// Records that the configuration in force was the newest at `at`.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records the answer to a watch that was sent at `sent` and lasts at most `wait`; `empty` when
    /// it reported no change.
    pub fn on_watch(&mut self, now: Timestamp, sent: Timestamp, wait: Duration, empty: bool) {
        self.confirm(watched_until(now, sent, wait, empty).before(WATCH_LAG_MAX));
    }

    /// Records that a configuration of this version is in force now.
    pub fn on_version(&mut self, version: u64) {
        if let Some((newer, at)) = self.newer
            && version >= newer
        {
            self.newer = None;
            self.confirm(at);
        }
    }

    /// Returns the time as of which the configuration is known to be the newest.
    pub fn confirmed_at(&self) -> Timestamp {
        self.confirmed_at
    }

    /// Returns the time since then.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.confirmed_at)
    }

    /// May requests with API keys be served, when a revoked key must stop working within `bound`?
    pub fn is_fresh(&self, now: Timestamp, bound: Option<Duration>) -> bool {
        bound.is_none_or(|bound| self.age(now) < bound.saturating_sub(CLOCK_DRIFT))
    }

    /// Returns the time by which the store must be asked again.
    pub fn confirm_by(&self, bound: Duration) -> Timestamp {
        self.confirmed_at.after(bound.mul_f64(CONFIRM_FRACTION))
    }

    /// Records a query under this number and returns true, unless no other gateway need be queried
    /// now.
    pub fn ask(&mut self, now: Timestamp, bound: Duration, number: u64) -> bool {
        if self.age(now) < bound.mul_f64(QUERY_FRACTION) || now < self.next_query {
            return false;
        }
        self.next_query = now.after(QUERY_INTERVAL);
        self.queries.retain(|_, sent| now.since(*sent) < QUERY_TIMEOUT);
        self.queries.insert(number, now);
        true
    }

    /// Handles the answer to a query; `version` is in force here. Answers that match no query are
    /// ignored.
    pub fn on_answer(&mut self, number: u64, version: u64, theirs: VersionAge) {
        if let Some(sent) = self.queries.remove(&number) {
            self.on_held(sent, version, theirs);
        }
    }

    /// Handles the report of another gateway in reply to a message sent at `sent`.
    pub fn on_held(&mut self, sent: Timestamp, version: u64, theirs: VersionAge) {
        let at = sent.before(theirs.age);
        if theirs.version <= version {
            return self.confirm(at);
        }
        let is_newer = self.newer.is_none_or(|(v, t)| (theirs.version, at) > (v, t));
        if is_newer {
            self.newer = Some((theirs.version, at));
        }
    }
}
