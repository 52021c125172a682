//! How fast each engine reads prompts, as all entries together have seen it.
//!
//! Answers the load of engines that turn slow for some seconds. With 31 entries and eight readers an
//! entry sees a given reader once in four seconds, so each entry tells the others what it saw, and
//! what was seen is forgotten soon: an engine that is not chosen any more is never seen again.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonyloft_core::time::Moment;
use serde::{Deserialize, Serialize};

use crate::catalog::ServerId;

/// Least weight of a new observation: about the last five reads count.
pub const NEW_WEIGHT: f64 = 0.2;
/// Time over which an earlier observation loses half of its weight; engines were slow for some
/// seven seconds on the users' days.
pub const HALF_LIFE: Duration = Duration::from_secs(1);
/// How long an observation counts; then the engine is taken to be as fast as its sheet again, so
/// that one read in a while tries it.
pub const PACE_LIFE: Duration = Duration::from_secs(3);
/// Bounds of a pace: no engine is faster than its sheet by more, and one that is slower by more is
/// passed over for its queue alone.
pub const PACES: (f64, f64) = (0.5, 10.0);

/// What one entry saw of an engine; two numbers without names on the way.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(u16, u16)", into = "(u16, u16)")]
pub struct Seen {
    /// Reading time by that of the sheet; 2.0 is twice as slow.
    pub pace: f64,
    /// How long ago it was seen when it was told.
    pub age: Duration,
}

impl From<(u16, u16)> for Seen {
    fn from((percent, ms): (u16, u16)) -> Self {
        Seen { pace: f64::from(percent) / 100.0, age: Duration::from_millis(ms.into()) }
    }
}

impl From<Seen> for (u16, u16) {
    fn from(seen: Seen) -> Self {
        ((seen.pace * 100.0) as u16, seen.age.as_millis().min(u16::MAX.into()) as u16)
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Natural logarithm of the pace: queues that were not known make single ones far too large.
    log: f64,
    seen_at: Moment,
}

/// What this entry saw of each engine.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    records: HashMap<ServerId, Record>,
}

impl Paces {
    /// A read took `took`, or was given up after it, where an engine of the sheet's pace takes
    /// `plain`.
    pub fn observe(&mut self, now: Moment, id: &ServerId, took: Duration, plain: Duration) {
        let seen = took.as_secs_f64() / plain.as_secs_f64().max(1e-3);
        let seen = seen.clamp(PACES.0, PACES.1);
        // The first observation counts half.
        let first = Record { log: 0.0, seen_at: now.before(HALF_LIFE) };
        let record = self.records.entry(id.clone()).or_insert(first);
        let halves = now.since(record.seen_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = (1.0 - 0.5_f64.powf(halves)).max(NEW_WEIGHT);
        record.log += weight * (seen.ln() - record.log);
        record.seen_at = now;
    }

    /// What this entry saw of an engine lately.
    pub fn seen(&self, now: Moment, id: &ServerId) -> Option<Seen> {
        let record = self.records.get(id)?;
        let age = now.since(record.seen_at);
        (age < PACE_LIFE).then_some(Seen { pace: record.log.exp(), age })
    }

    /// What this entry saw of all engines lately. Fast ones are told too: the mean of slow
    /// sightings alone would call every engine slow in a burst.
    pub fn told(&self, now: Moment) -> BTreeMap<ServerId, Seen> {
        let seen = self.records.keys().filter_map(|id| Some((id.clone(), self.seen(now, id)?)));
        seen.collect()
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.records.retain(|id, _| alive(id));
    }
}

/// The pace that some observations say: the newer one counts more; 1.0 without any.
pub fn joint(seen: impl Iterator<Item = Seen>) -> f64 {
    let (mut sum, mut weights) = (0.0, 0.0);
    for s in seen.filter(|s| s.age < PACE_LIFE) {
        let weight = 0.5_f64.powf(s.age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        sum += weight * s.pace.max(PACES.0).ln();
        weights += weight;
    }
    if weights > 0.0 { (sum / weights).exp() } else { 1.0 }
}
