//! Limits that backend servers name in their answers: requests a second that one takes from all gateways.
//!
//! A server in need names its limit for as long as it holds. Who hears it tells all gateways, and the limit is
//! lent out like any other shared bound (`quota`). Each change of what is known of a server has a number that
//! only grows, so late words change nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::catalog::ServerId;
use crate::drift::mix;
use crate::node::Excess;

/// Thousandths of a request a second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Limit(pub u32);

/// Least limit that is acted on: a server that takes nothing is asked now and then, or nobody would hear that
/// it takes something again.
pub const LIMIT_MIN: Limit = Limit(100);
/// Time behind the last answer that named the limit after which an answer that names none ends it: answers
/// overtake each other.
pub const ENDS_AFTER: Duration = Duration::from_millis(500);
/// Requests that may come at once, as a time at the limit.
const BURST: Duration = Duration::from_millis(500);
/// Least burst: a reservation and the run that uses it.
const BURST_MIN: f64 = 2.0;
/// What a server bears beyond its limit for a while, where the home of its limit may be lost.
pub const EXCESS: Excess = Excess { part: 0.5, fixed: 0.0, window: Duration::from_secs(4) };

impl Limit {
    /// The limit as a shared bound.
    pub fn rate(self) -> Rate {
        let rate = f64::from(self.max(LIMIT_MIN).0) / 1_000.0;
        Rate { rate, burst: (rate * BURST.as_secs_f64()).max(BURST_MIN) }
    }
}

/// What is known of one server's limit, for other gateways.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Named {
    /// The server, in this life.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// Number of the change.
    #[serde(rename = "v")]
    pub version: u64,
    /// The limit; none when it ended.
    #[serde(rename = "l")]
    pub limit: Option<Limit>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    version: u64,
    limit: Option<Limit>,
    /// When an answer or a peer said so last.
    said_at: Timestamp,
}

/// The limits of all servers that named one.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    known: BTreeMap<ServerId, Known>,
}

impl ServerLimits {
    /// An answer to a request sent at `sent` names this limit, or none; gives what all should hear if that is
    /// news.
    pub fn answered(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        sent: Timestamp,
        limit: Option<Limit>,
    ) -> Option<Named> {
        let Some(known) = self.known.get_mut(id) else {
            limit?;
            return Some(self.change(now, id, 1, limit));
        };
        if known.limit == limit {
            known.said_at = now;
            return None;
        }
        // What was sent before this was known may have been answered before it held.
        let settled = match limit {
            Some(_) => known.said_at,
            None => known.said_at.after(ENDS_AFTER),
        };
        if sent < settled {
            return None;
        }
        let version = known.version + 1;
        Some(self.change(now, id, version, limit))
    }

    /// A peer's word; true when it is news. Of two words under one number the stricter one counts.
    pub fn hear(&mut self, now: Timestamp, word: &Named) -> bool {
        let strictness = |limit: Option<Limit>| limit.map_or(0, |l| u64::from(u32::MAX - l.0) + 1);
        let rank = |version, limit| (version, strictness(limit));
        let known = self.known.get(&word.server);
        if known.is_some_and(|k| rank(k.version, k.limit) >= rank(word.version, word.limit)) {
            return false;
        }
        self.change(now, &word.server, word.version, word.limit);
        true
    }

    /// The limit of a server, if it has one.
    pub fn of(&self, id: &ServerId) -> Option<Limit> {
        self.known.get(id)?.limit
    }

    /// All that is known, for other gateways.
    pub fn table(&self) -> Vec<Named> {
        let named = |(id, k): (&ServerId, &Known)| Named {
            server: id.clone(),
            version: k.version,
            limit: k.limit,
        };
        self.known.iter().map(named).collect()
    }

    /// A sum over all that is known, zero when nothing is.
    pub fn sum(&self) -> u64 {
        let number = |(id, k): (&ServerId, &Known)| {
            let limit = k.limit.map_or(0, |l| u64::from(l.0) + 1);
            mix(id.number() ^ mix(k.version ^ limit << 32))
        };
        self.known.iter().map(number).fold(0, |sum, n| sum ^ n)
    }

    /// Forgets servers that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.known.retain(|id, _| alive(id));
    }

    fn change(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        version: u64,
        limit: Option<Limit>,
    ) -> Named {
        self.known.insert(id.clone(), Known { version, limit, said_at: now });
        Named { server: id.clone(), version, limit }
    }
}
