//! Exchange between availability zones, and overflow of requests that their own zone can't serve.
//!
//! When every gateway reports its load to every other, the traffic between zones grows with the
//! square of the fleet. From a certain size on, the gateways of a zone therefore share full load
//! reports and engines only with each other, and zone leaders exchange short summaries of free
//! capacity several times a second. A request that its own zone can't serve in time is admitted by
//! a gateway of another zone, which knows the load of its engines. Admission by a summary half a
//! second old would fill engines beyond what their answers grow to.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::engine_speeds::SpeedReport;
use crate::fleet::Fleet;
use crate::memory_threshold::FREE_TIGHT;
use crate::revision::Revision;
use crate::varint::{is_false, is_zero};

/// Number of gateways from which on zones decide separately, however small they are: reports among
/// all gateways then cost more than sharing all engines gains.
pub const ZONE_SCOPE_GATEWAYS: usize = 40;
/// Number of gateways below which all share all engines, since reports among them cost next to
/// nothing.
pub const ALL_SCOPE_GATEWAYS: usize = 16;
/// Memory in tokens from which on the engines of a zone suffice by themselves. With less, a burst
/// in one zone fills it while others have room.
pub const ZONE_SCOPE_TOKENS: u64 = 350_000;
/// How long engines that are gone still count: a restart of many engines must not change the scope.
const PEAK_WINDOW: Duration = Duration::from_secs(60);
/// Interval between two summaries to other zones; they only serve to choose a zone to ask.
pub const SUMMARY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a summary is valid: four more may be lost.
pub const SUMMARY_LIFETIME: Duration = Duration::from_millis(1_300);
/// Back-off after a zone granted no reservation, until its next two summaries show what it has.
/// Without it, nine of ten requests in a burst are refused there.
pub const FULL_BACKOFF: Duration = Duration::from_millis(400);
/// Free fraction of a zone's memory, in thousandths, below which the zone keeps it for its own
/// callers.
const OVERFLOW_FREE_MIN: u32 = (FREE_TIGHT * 1_000.0) as u32;

/// Which gateways exchange load reports and share engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// All gateways.
    All,
    /// The gateways of one availability zone.
    Zone,
}

/// Returns the scope of a fleet whose engines hold this many tokens; all gateways compute the same.
pub fn scope(fleet: &Fleet, tokens: u64) -> Scope {
    let gateways = fleet.all().len();
    let zones: BTreeSet<&str> = fleet.all().values().map(|g| g.zone.as_str()).collect();
    let large = tokens >= ZONE_SCOPE_TOKENS * zones.len().max(1) as u64;
    match gateways >= ZONE_SCOPE_GATEWAYS || gateways >= ALL_SCOPE_GATEWAYS && large {
        true => Scope::Zone,
        false => Scope::All,
    }
}

/// Returns the names of the gateways that rank above `name` among those that exchange load reports;
/// `None` when it is not registered.
pub fn ranked_above(fleet: &Fleet, scope: Scope, name: &str) -> Option<Rc<[String]>> {
    match scope {
        Scope::All => Some(fleet.higher_ranked_of_all(name)?.map(str::to_owned).collect()),
        Scope::Zone => Some(fleet.higher_ranked(name)?.map(str::to_owned).collect()),
    }
}

/// Highest total memory of a fleet's engines within the last minute, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    peak: u64,
    seen_at: Timestamp,
}

impl Memory {
    /// Records the total memory of the engines that are registered now.
    pub fn observe(&mut self, now: Timestamp, tokens: u64) {
        if tokens >= self.peak || now.since(self.seen_at) > PEAK_WINDOW {
            *self = Memory { peak: tokens, seen_at: now };
        }
    }

    /// Returns the highest total of the last minute.
    pub fn tokens(&self) -> u64 {
        self.peak
    }
}

/// Free capacity of a zone for one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCapacity {
    /// Name of the service.
    #[serde(rename = "s")]
    pub service: String,
    /// Fraction of the memory in which answers may still be admitted, in thousandths.
    #[serde(rename = "f")]
    pub free: u32,
    /// Average requests that can be admitted now; memory fragments that are too small don't count.
    #[serde(rename = "p")]
    pub free_slots: u32,
    /// Milliseconds until an average prompt would be processed.
    #[serde(rename = "r")]
    pub prefill_ms: u32,
    /// The same for the most urgent level, if the service has urgency levels.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub urgent: Option<UrgentCapacity>,
}

/// Free capacity of a zone for requests of the most urgent level of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UrgentCapacity {
    /// Average requests that can be admitted now.
    #[serde(rename = "p")]
    pub free_slots: u32,
    /// Milliseconds until an average prompt would be processed.
    #[serde(rename = "r")]
    pub prefill_ms: u32,
}

impl ServiceCapacity {
    /// Returns the requests that can be admitted and the milliseconds until a prompt would be
    /// processed, for the most urgent level or for others; `None` when the zone keeps its memory.
    fn available(&self, urgent: bool) -> Option<(u32, u32)> {
        match self.urgent.filter(|_| urgent) {
            Some(capacity) => Some((capacity.free_slots, capacity.prefill_ms)),
            None => (self.free > OVERFLOW_FREE_MIN).then_some((self.free_slots, self.prefill_ms)),
        }
    }
}

/// Zone summary that a zone leader sends to other zones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneSummary {
    /// Name of the sender's VM.
    #[serde(rename = "n")]
    pub name: String,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Address at which the sender is reached.
    #[serde(rename = "a")]
    pub addr: SocketAddr,
    /// Start time of its process, in microseconds.
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// Sequence number within this incarnation.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Version of its configuration.
    #[serde(rename = "c")]
    pub config: u64,
    /// Revision up to which the sender knows the backend servers.
    #[serde(rename = "b")]
    pub roster: Revision,
    /// Revision up to which the sender knows the gateways.
    #[serde(rename = "g")]
    pub fleet: Revision,
    /// Checksum of the sender's gossip state.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub gossip_checksum: u64,
    /// Checksum of what the sender knows of parts of prompts that crash servers; zero also of gateways that
    /// know no parts.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub part_checksum: u64,
    /// Whether all gateways that the sender hears report crashes with the parts of their prompts.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub part_facts: bool,
    /// Free capacity of its zone, by service.
    #[serde(rename = "e")]
    pub capacities: Vec<ServiceCapacity>,
    /// Speed factors of engines of its zone, for the gateway that orders the engines of all zones.
    /// They are not relayed.
    #[serde(rename = "f", default, skip_serializing_if = "SpeedReport::is_empty")]
    pub speeds: SpeedReport,
}

/// The latest summaries of other zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneSummaries {
    summaries: HashMap<String, (Timestamp, ZoneSummary)>,
    /// Zones that granted no reservation to an urgent request or to another one, and until when they
    /// are not asked again for such a request.
    backoffs: HashMap<(String, bool), Timestamp>,
}

impl ZoneSummaries {
    /// Stores a summary, received from its sender or relayed; false when it is not newer than the
    /// one known.
    pub fn on_summary(&mut self, now: Timestamp, summary: ZoneSummary) -> bool {
        if let Some((_, before)) = self.summaries.get(&summary.name)
            && (before.incarnation, before.seq) >= (summary.incarnation, summary.seq)
        {
            return false;
        }
        self.summaries.insert(summary.name.clone(), (now, summary));
        true
    }

    /// Returns the summaries that are still valid.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &ZoneSummary> {
        let counts = move |at: &Timestamp| now.since(*at) < SUMMARY_LIFETIME;
        self.summaries.values().filter(move |(at, _)| counts(at)).map(|(_, summary)| summary)
    }

    /// Returns the latest summary of each zone, by zone, which a zone leader relays. The leaders of
    /// a zone report much the same, and in a fleet that starts all gateways are leaders.
    pub fn relayed(&self, now: Timestamp) -> impl Iterator<Item = &ZoneSummary> {
        let mut latest: BTreeMap<&str, (Timestamp, &ZoneSummary)> = BTreeMap::new();
        for (at, summary) in
            self.summaries.values().filter(|(at, _)| now.since(*at) < SUMMARY_LIFETIME)
        {
            let known = latest.entry(&summary.zone).or_insert((*at, summary));
            if (known.0, &known.1.name) < (*at, &summary.name) {
                *known = (*at, summary);
            }
        }
        latest.into_values().map(|(_, summary)| summary)
    }

    /// Records that a zone granted no reservation although its summary showed capacity.
    pub fn on_refused(&mut self, now: Timestamp, zone: &str, urgent: bool) {
        self.backoffs.insert((zone.to_owned(), urgent), now.after(FULL_BACKOFF));
    }

    /// Drops what is no longer valid.
    pub fn expire(&mut self, now: Timestamp) {
        self.summaries.retain(|_, (at, _)| now.since(*at) < SUMMARY_LIFETIME);
        self.backoffs.retain(|_, until| *until > now);
    }

    /// Picks the zone to ask for a reservation for a request, of the most urgent level or not, whose
    /// prompt must be processed within `within`, and the gateway there. Zones in `tried` are left out; `draw` is uniform in 0..1.
    /// Zones are drawn in proportion to their capacity: otherwise every gateway would choose the
    /// one with the most for as long as its summary is valid.
    pub fn overflow_target(
        &self,
        now: Timestamp,
        (service, urgent): (&str, bool),
        within: Duration,
        tried: &[String],
        draw: f64,
    ) -> Option<&ZoneSummary> {
        let weight = |summary: &ZoneSummary| {
            let capacity = summary.capacities.iter().find(|c| c.service == service)?;
            let (free_slots, prefill_ms) = capacity.available(urgent)?;
            let fits = free_slots > 0 && u128::from(prefill_ms) <= within.as_millis();
            fits.then(|| f64::from(free_slots))
        };
        let backing_off = |zone: &str| {
            self.backoffs.get(&(zone.to_owned(), urgent)).is_some_and(|until| *until > now)
        };
        let mut fit: Vec<(f64, &ZoneSummary)> = self
            .live(now)
            .filter(|d| !tried.contains(&d.zone))
            .filter(|d| !backing_off(&d.zone))
            .filter_map(|d| Some((weight(d)?, d)))
            .collect();
        fit.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        let mut left = draw * fit.iter().map(|(weight, _)| weight).sum::<f64>();
        let mut last = None;
        for (weight, summary) in fit {
            last = Some(summary);
            left -= weight;
            if left <= 0.0 {
                break;
            }
        }
        last
    }
}
