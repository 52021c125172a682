//! The softwares that a service's servers have had of late.
//!
//! A stream whose record is lost can still be continued if its service has had only one software for
//! as long as any stream lasts. The history is observed in the server registry by the gateways that
//! follow the store, and is kept in the store so that it outlives all gateways: it is written when a
//! software joins or leaves, not by time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::{SoftwareId, Testimony};

/// Most softwares of a service remembered.
const SOFTWARES_MAX: usize = 64;
/// Growth of the lifetime that is written to the store, so that few longer deadlines cause a write.
const GROWTH_SAVED: f64 = 1.25;

/// The softwares of a service since a time.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SoftwareHistory {
    /// From when on the history is complete; `None` if nothing was observed yet.
    since: Option<Timestamp>,
    /// When the last server of each software left; `None` while one is registered.
    seen: BTreeMap<SoftwareId, Option<Timestamp>>,
    /// Longest time, in milliseconds, for which a stream may be continued.
    lifetime: u64,
}

impl SoftwareHistory {
    /// Marks the history as complete: the whole system starts for the first time.
    pub fn begin(&mut self) {
        self.since = Some(Timestamp::default());
    }

    /// Observes the softwares that are registered now. Forgets those that left `lifetime` ago, so that
    /// all their streams have ended.
    pub fn observe(
        &mut self,
        now: Timestamp,
        lifetime: Duration,
        registered: impl Iterator<Item = SoftwareId>,
    ) {
        let needed = lifetime.as_millis() as u64;
        if needed > self.lifetime {
            self.lifetime = (needed as f64 * GROWTH_SAVED) as u64;
        }
        let lifetime = self.lifetime();
        self.since.get_or_insert(now);
        let registered: BTreeSet<SoftwareId> = registered.collect();
        for (software, left_at) in &mut self.seen {
            if !registered.contains(software) {
                left_at.get_or_insert(now);
            }
        }
        self.seen.extend(registered.into_iter().map(|software| (software, None)));
        self.seen.retain(|_, left_at| left_at.is_none_or(|at| now.since(at) < lifetime));
        if self.seen.len() > SOFTWARES_MAX {
            // What is dropped is no longer known to be absent.
            self.seen.clear();
            self.since = Some(now);
        }
    }

    /// Would a process that reads `saved` know of all softwares that this history has?
    pub fn is_covered_by(&self, saved: &SoftwareHistory) -> bool {
        let is_same = |software: &SoftwareId, left_at: &Option<Timestamp>| {
            saved.seen.get(software).is_some_and(|known| known.is_some() == left_at.is_some())
        };
        saved.since.is_some()
            && saved.lifetime >= self.lifetime
            && self.seen.iter().all(|(software, left_at)| is_same(software, left_at))
    }

    /// Merges a history that was read from the store. A software that it has as registered, and that is
    /// not any more, may have left just now.
    pub fn merge(&mut self, saved: &SoftwareHistory) {
        self.lifetime = self.lifetime.max(saved.lifetime);
        self.since = match (self.since, saved.since) {
            (Some(own), Some(theirs)) => Some(own.min(theirs)),
            (own, theirs) => own.or(theirs),
        };
        for (software, left_at) in &saved.seen {
            let known = self.seen.entry(*software).or_insert(*left_at);
            *known = known.zip(*left_at).map(|(a, b)| a.max(b));
        }
    }

    /// Returns the software of all streams that may still be continued, if there is only one.
    pub fn testimony(&self, now: Timestamp) -> Testimony {
        let lifetime = self.lifetime();
        let is_complete = self.since.is_some_and(|since| now.since(since) >= lifetime);
        let recent =
            |left_at: &Option<Timestamp>| left_at.is_none_or(|at| now.since(at) < lifetime);
        let mut softwares = self.seen.iter().filter(|(_, left_at)| recent(left_at));
        match (softwares.next(), softwares.next()) {
            (Some((software, _)), None) if is_complete => Testimony::Sole(*software),
            _ => Testimony::Nothing,
        }
    }

    fn lifetime(&self) -> Duration {
        Duration::from_millis(self.lifetime)
    }

    /// Have the servers had several softwares of late?
    pub fn is_mixed(&self) -> bool {
        self.seen.len() > 1
    }
}
