//! Rate limits that backend servers state in their responses: requests per second that one accepts from all
//! gateways.
//!
//! An overloaded server states its limit for as long as it holds. The gateway that receives it publishes it
//! to all gateways, and the limit is leased out like any other shared rate limit (`quota`). Each change at a
//! server has an increasing version, so outdated updates have no effect.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::catalog::ServerId;
use crate::divergence::mix;
use crate::node::Excess;

/// Thousandths of a request per second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Limit(pub u32);

/// Lowest limit that is applied: a server that accepts nothing is still sent a request now and then, since no
/// gateway would otherwise see that it accepts requests again.
pub const LIMIT_MIN: Limit = Limit(100);
/// An answer that states no limit ends the limit only if its request was sent this long after the last answer
/// that stated one, because answers overtake each other.
pub const LIMIT_END_DELAY: Duration = Duration::from_millis(500);
/// Burst, as time at the limit.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Smallest burst: a reservation and the run that uses it.
const BURST_MIN: f64 = 2.0;
/// Load above its limit that a server tolerates for a short time, while the owner of the limit may be lost.
pub const EXCESS: Excess = Excess { fraction: 0.5, fixed: 0.0, window: Duration::from_secs(4) };

impl Limit {
    /// The limit as a shared rate limit.
    pub fn rate(self) -> Rate {
        let rate = f64::from(self.max(LIMIT_MIN).0) / 1_000.0;
        Rate { rate, burst: (rate * BURST_TIME.as_secs_f64()).max(BURST_MIN) }
    }
}

/// Update about the limit of one server, sent to other gateways.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitUpdate {
    /// The incarnation of the server.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// Version of the change.
    #[serde(rename = "v")]
    pub version: u64,
    /// The limit; `None` once it ended.
    #[serde(rename = "l")]
    pub limit: Option<Limit>,
}

#[derive(Clone, Copy, Debug)]
struct LimitState {
    version: u64,
    limit: Option<Limit>,
    /// Time of the last answer or peer update with this limit.
    seen_at: Timestamp,
}

/// Limits of all servers that stated one.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    states: BTreeMap<ServerId, LimitState>,
}

impl ServerLimits {
    /// Records that an answer to a request sent at `sent` stated this limit, or none. Returns the update for
    /// the other gateways if the limit changed.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        sent: Timestamp,
        limit: Option<Limit>,
    ) -> Option<LimitUpdate> {
        let Some(state) = self.states.get_mut(id) else {
            limit?;
            return Some(self.change(now, id, 1, limit));
        };
        if state.limit == limit {
            state.seen_at = now;
            return None;
        }
        // A request sent before then may have been answered before the known limit applied.
        let effective_from = match limit {
            Some(_) => state.seen_at,
            None => state.seen_at.after(LIMIT_END_DELAY),
        };
        if sent < effective_from {
            return None;
        }
        let version = state.version + 1;
        Some(self.change(now, id, version, limit))
    }

    /// Applies a peer's update; true if it changed anything. Of two updates with the same version the
    /// stricter one wins.
    pub fn on_update(&mut self, now: Timestamp, update: &LimitUpdate) -> bool {
        let strictness = |limit: Option<Limit>| limit.map_or(0, |l| u64::from(u32::MAX - l.0) + 1);
        let rank = |version, limit| (version, strictness(limit));
        let state = self.states.get(&update.server);
        if state.is_some_and(|k| rank(k.version, k.limit) >= rank(update.version, update.limit)) {
            return false;
        }
        self.change(now, &update.server, update.version, update.limit);
        true
    }

    /// Current limit of a server.
    pub fn of(&self, id: &ServerId) -> Option<Limit> {
        self.states.get(id)?.limit
    }

    /// Updates with the limits of all servers, for other gateways.
    pub fn updates(&self) -> Vec<LimitUpdate> {
        let to_update = |(id, k): (&ServerId, &LimitState)| LimitUpdate {
            server: id.clone(),
            version: k.version,
            limit: k.limit,
        };
        self.states.iter().map(to_update).collect()
    }

    /// Checksum over all limits and versions, zero if there are none.
    pub fn checksum(&self) -> u64 {
        let row_hash = |(id, k): (&ServerId, &LimitState)| {
            let limit = k.limit.map_or(0, |l| u64::from(l.0) + 1);
            mix(id.number() ^ mix(k.version ^ limit << 32))
        };
        self.states.iter().map(row_hash).fold(0, |sum, n| sum ^ n)
    }

    /// Drops servers that are not `alive`.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.states.retain(|id, _| alive(id));
    }

    fn change(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        version: u64,
        limit: Option<Limit>,
    ) -> LimitUpdate {
        self.states.insert(id.clone(), LimitState { version, limit, seen_at: now });
        LimitUpdate { server: id.clone(), version, limit }
    }
}
