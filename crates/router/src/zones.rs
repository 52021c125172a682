//! What availability zones know of each other, and where a request goes that its own can't serve.
//!
//! Answers the load of fleets in which everybody telling everybody what work it has costs more than it
//! gains: the bytes between availability zones grow with the square of the fleet. From a size on, each
//! zone decides for itself: its gateways tell each other everything, and place, read and write there.
//! Zones tell each other only how much room they have, a few numbers by delegates several times a second.
//! A request that its own zone can't serve in time is placed by a gateway of another one, which knows
//! what its engines have: who placed there by a sum half a second old would fill engines beyond what
//! their answers grow to.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::engines::TIGHT;
use crate::fleet::Fleet;
use crate::share::is_zero;

/// Gateways from which on zones decide for themselves, however small they are: what all tell all costs more
/// than what is gained by sharing all engines.
pub const ZONE_FLEET: usize = 40;
/// Gateways below which all share all: they tell each other next to nothing.
pub const FEW: usize = 16;
/// Tokens that the engines of a zone hold together from which on it needs no others: with less, what comes
/// to one zone at once fills it while others have room.
pub const ZONE_TOKENS: u64 = 350_000;
/// For how long engines count that are gone: many that restart at once must not change who shares with whom.
const MEMORY_LIFE: Duration = Duration::from_secs(60);
/// Pause between two digests to other zones: what they say is only used to choose whom to ask.
pub const DIGEST_PAUSE: Duration = Duration::from_millis(250);
/// How long a digest counts: four more may be lost.
pub const DIGEST_LIFE: Duration = Duration::from_millis(1_300);
/// How long a zone that granted no place is not asked again, until the next two digests say what it has:
/// in a burst nine of ten questions were asked in vain.
pub const FULL_REST: Duration = Duration::from_millis(400);
/// Free part of a zone's memory, in thousandths, below which it keeps it for its own callers.
const SPILL_FREE: u32 = (TIGHT * 1_000.0) as u32;

/// Who shares all news, and each other's engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// All gateways.
    All,
    /// Those of one availability zone.
    Zone,
}

/// The scope of a fleet whose engines hold so many tokens; the same for all its gateways.
pub fn scope(fleet: &Fleet, tokens: u64) -> Scope {
    let gateways = fleet.all().len();
    let zones: BTreeSet<&str> = fleet.all().values().map(|g| g.zone.as_str()).collect();
    let large = tokens >= ZONE_TOKENS * zones.len().max(1) as u64;
    match gateways >= ZONE_FLEET || gateways >= FEW && large {
        true => Scope::Zone,
        false => Scope::All,
    }
}

/// The most memory that a fleet's engines had lately, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    most: u64,
    seen_at: Timestamp,
}

impl Memory {
    /// Engines that are registered hold so many tokens together.
    pub fn observe(&mut self, now: Timestamp, tokens: u64) {
        if tokens >= self.most || now.since(self.seen_at) > MEMORY_LIFE {
            *self = Memory { most: tokens, seen_at: now };
        }
    }

    /// The most of the last minute.
    pub fn tokens(&self) -> u64 {
        self.most
    }
}

/// What a zone has left of one service's engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Room {
    /// Name of the service.
    #[serde(rename = "s")]
    pub service: String,
    /// Part of the memory in which answers may still be placed, in thousandths.
    #[serde(rename = "f")]
    pub free: u32,
    /// Usual requests that find a place now; memory that is left in pieces is no place.
    #[serde(rename = "p")]
    pub places: u32,
    /// Milliseconds until a usual prompt would be read.
    #[serde(rename = "r")]
    pub read: u32,
}

/// What a delegate tells other zones of its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Name of the sender's VM.
    #[serde(rename = "n")]
    pub name: String,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Where it is reached.
    #[serde(rename = "a")]
    pub addr: SocketAddr,
    /// Start time of its process, in microseconds.
    #[serde(rename = "l")]
    pub life: u64,
    /// Grows with every digest of this life.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Version of its configuration.
    #[serde(rename = "c")]
    pub config: u64,
    /// Revision up to which it knows the backend servers.
    #[serde(rename = "b")]
    pub roster: u64,
    /// Revision up to which it knows the gateways.
    #[serde(rename = "g")]
    pub fleet: u64,
    /// Sum over what it knows beside what the store says.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub notes: u64,
    /// Its zone's engines, by service.
    #[serde(rename = "e")]
    pub rooms: Vec<Room>,
}

/// The latest digests of other zones.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    heard: HashMap<String, (Timestamp, Digest)>,
    /// Zones that granted no place, and until when they are not asked again.
    full: HashMap<String, Timestamp>,
}

impl Digests {
    /// A digest arrived, from its sender or by another gateway; false when it is not news.
    pub fn hear(&mut self, now: Timestamp, digest: Digest) -> bool {
        if let Some((_, before)) = self.heard.get(&digest.name)
            && (before.life, before.seq) >= (digest.life, digest.seq)
        {
            return false;
        }
        self.heard.insert(digest.name.clone(), (now, digest));
        true
    }

    /// Those that still count.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &Digest> {
        let counts = move |at: &Timestamp| now.since(*at) < DIGEST_LIFE;
        self.heard.values().filter(move |(at, _)| counts(at)).map(|(_, digest)| digest)
    }

    /// The latest of each zone, by zone: what a delegate passes on. Whoever speaks for a zone says much the same,
    /// and in a fleet that starts all do.
    pub fn passed_on(&self, now: Timestamp) -> impl Iterator<Item = &Digest> {
        let mut latest: BTreeMap<&str, (Timestamp, &Digest)> = BTreeMap::new();
        for (at, digest) in self.heard.values().filter(|(at, _)| now.since(*at) < DIGEST_LIFE) {
            let known = latest.entry(&digest.zone).or_insert((*at, digest));
            if (known.0, &known.1.name) < (*at, &digest.name) {
                *known = (*at, digest);
            }
        }
        latest.into_values().map(|(_, digest)| digest)
    }

    /// A zone granted no place: its digest promised more than it has.
    pub fn full(&mut self, now: Timestamp, zone: &str) {
        self.full.insert(zone.to_owned(), now.after(FULL_REST));
    }

    /// Forgets those that don't count any more.
    pub fn expire(&mut self, now: Timestamp) {
        self.heard.retain(|_, (at, _)| now.since(*at) < DIGEST_LIFE);
        self.full.retain(|_, until| *until > now);
    }

    /// The zone to ask for a place at a service whose prompt must be read within `within`, and the
    /// gateway there; `tried` zones are left out, `draw` is uniform in 0..1. Zones are drawn by their
    /// places: the one with the most would be everybody's choice for as long as its digest counts.
    pub fn spill(
        &self,
        now: Timestamp,
        service: &str,
        within: Duration,
        tried: &[String],
        draw: f64,
    ) -> Option<&Digest> {
        let weigh = |digest: &Digest| {
            let room = digest.rooms.iter().find(|r| r.service == service)?;
            let fits = room.free > SPILL_FREE && u128::from(room.read) <= within.as_millis();
            (fits && room.places > 0).then(|| f64::from(room.places))
        };
        let mut fit: Vec<(f64, &Digest)> = self
            .live(now)
            .filter(|d| !tried.contains(&d.zone))
            .filter(|d| self.full.get(&d.zone).is_none_or(|until| *until <= now))
            .filter_map(|d| Some((weigh(d)?, d)))
            .collect();
        fit.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        let mut left = draw * fit.iter().map(|(weight, _)| weight).sum::<f64>();
        let mut last = None;
        for (weight, digest) in fit {
            last = Some(digest);
            left -= weight;
            if left <= 0.0 {
                break;
            }
        }
        last
    }
}
