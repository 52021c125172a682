//! Which engine reads a prompt, and when it would be read.
//!
//! Answers the load of prompts that clump: the engine whose queue, as all entries together know it,
//! has the prompt read first. The foretold moment decides whether a request can be in time at all.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Server, ServerId};
use crate::reading::Reading;
use crate::share::{Work, compared};

/// What a reader in another availability zone than the engine that writes costs in a comparison: its
/// transfer takes twice as long and up to three times the price, and a read takes some 100 ms.
pub const APART: Duration = Duration::from_millis(40);
/// Spread of a comparison, so that equal readers are all used.
const JITTER: Duration = Duration::from_millis(6);
/// Weight of a new observation of an engine's pace: about the last five reads count, so that an
/// engine that turned slow is known within half a second of reading.
pub const NEW_WEIGHT: f64 = 0.2;
/// Bounds of a pace: no engine is faster than the others by more, and one that is slower by more is
/// passed over for its queue alone.
pub const PACES: (f64, f64) = (0.8, 10.0);

/// How the pace of each engine compares with its service's; 2.0 is twice as slow.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    paces: HashMap<ServerId, f64>,
}

impl Paces {
    /// The pace of an engine.
    pub fn of(&self, id: &ServerId) -> f64 {
        self.paces.get(id).copied().unwrap_or(1.0)
    }

    /// A read took `took` where a pace of 1.0 makes `plain`.
    pub fn observe(&mut self, id: &ServerId, took: Duration, plain: Duration) {
        let seen = took.as_secs_f64() / plain.as_secs_f64().max(1e-3);
        let pace = self.paces.entry(id.clone()).or_insert(1.0);
        *pace += NEW_WEIGHT * (seen.clamp(PACES.0, PACES.1) - *pace);
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.paces.retain(|id, _| alive(id));
    }
}

/// What one choice of a reader is made of.
pub struct Choice<'a> {
    /// Pace of each engine.
    pub paces: &'a Paces,
    /// Reading speed of the service's engines.
    pub reading: &'a Reading,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Availability zone of the engine that writes the answer, or of the entry while there is none.
    pub zone: &'a str,
    /// Live entries.
    pub entries: usize,
}

/// The reader with the earliest end among some, and that moment; `work` is the work of all entries
/// at an engine, `draw` is uniform in 0..1.
pub fn pick<'a>(
    now: Timestamp,
    readers: impl Iterator<Item = &'a Server>,
    work: impl Fn(&ServerId) -> Work,
    choice: &Choice<'_>,
    mut draw: impl FnMut() -> f64,
) -> Option<(&'a Server, Timestamp)> {
    let mut readers: Vec<(f64, &Server)> = readers.map(|s| (draw(), s)).collect();
    readers.sort_by(|a, b| a.0.total_cmp(&b.0));
    let few = compared(readers.len(), choice.entries);
    let rank = |(draw, s): &(f64, &'a Server)| {
        let w = work(&s.id);
        // An engine queues hardly more reads than it has slots, and turns the rest away.
        if w.reads >= s.slots.max(1) {
            return None;
        }
        let took = choice.reading.time(w, choice.prompt).mul_f64(choice.paces.of(&s.id));
        let apart = if s.zone == choice.zone { Duration::ZERO } else { APART };
        let extra = apart + JITTER.mul_f64(*draw);
        Some((now.after(took), now.after(took + extra), *s))
    };
    // One of the zone is looked at besides; the engines that write are spread over the zones.
    let (few, others) = readers.split_at(few.min(readers.len()));
    let near = others.iter().find(|(_, s)| s.zone == choice.zone);
    let first = |at: &(Timestamp, Timestamp, &Server)| at.1;
    let some = few.iter().chain(near).filter_map(rank).min_by_key(first);
    // When all of the few are full, the others are looked at too.
    let found = some.or_else(|| others.iter().filter_map(rank).min_by_key(first));
    found.map(|(at, _, s)| (s, at))
}
