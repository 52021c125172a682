//! Load reports that gateways send each other several times a second, with their load at each model
//! engine.
//!
//! Engines report their own load almost a second late, long enough for a burst to fill their
//! memory. The load that the gateways themselves admitted is known within one round of datagrams.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::budget::predecessors::{PastReport, WindowUses};
use crate::catalog::ServerId;
use crate::engine_load::EngineLoad;
use crate::engine_speeds::SpeedReport;
use crate::fair_share::AccountUses;
use crate::fleet::Fleet;
use crate::limits::LimitUpdate;
use crate::part_blame::PartUpdate;
use crate::precedence::Precedence;
use crate::quarantine::{HealthReport, QuarantineUpdate};
use crate::quota::ownership::{UnreachableGateways, gateway_number};
use crate::quota::{LeaseRequest, LeaseResponse, LimitKey};
use crate::report_timing::{LOAD_TIMEOUT, REPORT_INTERVAL};
use crate::revision::Revision;
use crate::stages::ShapeReport;
use crate::stream_origin::table::OriginRecord;
use crate::urgency::arrivals::ArrivalRates;
use crate::varint::{is_false, is_zero};
use crate::zone_leader::{HigherRanked, LEADER_TIMEOUT, StoreLink};
use crate::zones::ZoneSummary;

/// Peers up to which this interval applies, so that reading their reports stays a small part of a
/// weak VM's work.
pub const INTERVAL_PEERS: usize = 32;
/// The interval is added once more for each so many peers beyond: each of 410 gateways then sends
/// fewer datagrams a second than each of 33.
pub const INTERVAL_PEERS_STEP: usize = 16;
/// Time without a message after which a peer no longer counts as live.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Shortest time from the last report of a process to the first one of the next: far longer than a
/// datagram travels.
pub const RESTART_MIN: Duration = Duration::from_millis(300);
/// Number of rounds for which a report is kept at least when rounds are long: one datagram in a
/// hundred is lost.
const LOAD_ROUNDS: u32 = 4;

/// Returns the interval between two rounds with so many peers.
pub fn report_interval(peers: usize) -> Duration {
    let more = peers.saturating_sub(INTERVAL_PEERS);
    REPORT_INTERVAL + REPORT_INTERVAL.mul_f64(more as f64 / INTERVAL_PEERS_STEP as f64)
}

/// Shortest pause between two load reports, as a factor of the usual interval. A change is
/// reported at once unless a report was sent just before; without that, two gateways reserve an
/// engine's last memory, and one of both callers waits or is refused.
const MIN_PAUSE_FACTOR: f64 = 0.2;
/// Longest pause beyond that without changes, as a factor of the usual interval: answers grow by
/// some fifty tokens each in that time.
const IDLE_PAUSE_FACTOR: f64 = 1.6;
/// Longest time between two reports of a gateway that follows the store: two may be lost before
/// the others take it for gone, however many they are.
pub const FOLLOWER_INTERVAL: Duration = Duration::from_millis(300);

/// Pauses between two load reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pauses {
    /// Pause after each report.
    pub shortest: Duration,
    /// Longest pause beyond it while nothing changes.
    pub idle: Duration,
}

/// Returns the pauses of a gateway with so many peers that `follows` the store or not.
pub fn pauses(peers: usize, follows: bool) -> Pauses {
    let interval = report_interval(peers);
    let shortest = interval.mul_f64(MIN_PAUSE_FACTOR);
    let idle = interval.mul_f64(IDLE_PAUSE_FACTOR);
    match follows {
        true => {
            let shortest = shortest.min(FOLLOWER_INTERVAL / 2);
            Pauses { shortest, idle: idle.min(FOLLOWER_INTERVAL - shortest) }
        }
        false => Pauses { shortest, idle },
    }
}

/// Load report of one gateway.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Name of the sender's VM.
    #[serde(rename = "n")]
    pub name: String,
    /// Start time of the sender's process in microseconds; a later incarnation has a larger one.
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// Sequence number within this incarnation.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Version of the sender's configuration.
    #[serde(rename = "c")]
    pub config: u64,
    /// Revision up to which the sender knows the list of backend servers.
    #[serde(rename = "r")]
    pub roster: Revision,
    /// Revision up to which the sender knows the registered gateways.
    #[serde(rename = "g")]
    pub fleet: Revision,
    /// How the sender learns of changes in the store.
    #[serde(rename = "k")]
    pub link: StoreLink,
    /// Requests waiting for admission at the sender.
    #[serde(rename = "q")]
    pub waiting: u32,
    /// Engines that the sender ordered to change their stage and that have not done so yet.
    #[serde(rename = "o")]
    pub changing: Vec<ServerId>,
    /// Load of the sender, by short hash of the engine's id.
    #[serde(rename = "w")]
    pub engine_loads: BTreeMap<u32, EngineLoad>,
    /// Checksum of the sender's gossip state.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub gossip_checksum: u64,
    /// Checksum of what the sender knows of parts of prompts that crash servers; zero also of gateways that
    /// know no parts.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub part_checksum: u64,
    /// Whether the sender reports crashes with the parts of its prompts.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub part_facts: bool,
    /// Hashes of the gateways that the sender can't reach.
    #[serde(rename = "m", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unreachable: UnreachableGateways,
    /// Shape of the requests that the sender saw, by service, when it has changed.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub shapes: BTreeMap<String, ShapeReport>,
    /// Rates at which requests arrive at the sender, for services with urgency levels.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub arrivals: ArrivalRates,
    /// Speed factors of engines that the sender observed, of services whose servers report how long
    /// work takes now.
    #[serde(rename = "f", default, skip_serializing_if = "SpeedReport::is_empty")]
    pub speeds: SpeedReport,
    /// Summaries of other availability zones that a zone leader relays.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub zone_summaries: Vec<ZoneSummary>,
    /// Use of the sender's largest accounts by hash of the service's name, when it has changed.
    #[serde(rename = "a", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub account_uses: BTreeMap<u32, AccountUses>,
    /// Requests that the sender reads in a second, if they are many.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub read_rate: u64,
    /// Use of the retry budgets in the current window, of services with retries.
    #[serde(rename = "e", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub retry_uses: WindowUses,
    /// Whether the sender asks what its predecessors used of the retry budgets.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub asks_past: bool,
}

/// Gossip state: what gateways know besides the store and exchange with each other.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct GossipState {
    /// Observations of requests that crash backend servers.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub quarantine_updates: Vec<QuarantineUpdate>,
    /// Incarnations of backend servers that announced that they are leaving.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<ServerId>,
    /// Rate limits that backend servers announced.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitUpdate>,
    /// Requests that were answered completely, in full exchanges.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub healthy: Vec<HealthReport>,
    /// The software that began streams, for the gateways that follow the store.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub origins: Vec<OriginRecord>,
    /// Observations of parts of prompts that crash backend servers.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub part_updates: Vec<PartUpdate>,
}

impl GossipState {
    /// Is the gossip state empty?
    pub fn is_empty(&self) -> bool {
        self.quarantine_updates.is_empty()
            && self.leaving.is_empty()
            && self.limits.is_empty()
            && self.healthy.is_empty()
            && self.origins.is_empty()
            && self.part_updates.is_empty()
    }

    /// The same state after some time: its facts are that much older.
    pub fn aged(mut self, by: Duration) -> Self {
        for update in &mut self.quarantine_updates {
            update.age += by.as_millis() as u64;
        }
        for update in &mut self.part_updates {
            update.age += by.as_millis() as u64;
        }
        self
    }
}

/// A datagram between gateways.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GossipMessage {
    /// Gossip state, sent to all gateways at once.
    Notes(GossipState),
    /// Load report, sent to the gateways that share engines.
    Share(LoadReport),
    /// Zone summary, sent to another availability zone.
    Digest(ZoneSummary),
    /// Request for tokens, sent to the owner of a rate limit or quota.
    Ask(LeaseRequest),
    /// Reply of the owner.
    Answer(LeaseResponse),
    /// Returns unused tokens to the owner.
    Unused(LimitKey, u64),
    /// Queries the age of the configuration; carries the number of the query.
    Age(u64),
    /// Reply: the number of the query, the version in force, and the milliseconds since it was
    /// known to be the newest.
    Held(u64, u64, u64),
    /// What earlier processes of the recipient's VM used of the retry budgets.
    Past(PastReport),
}

#[derive(Clone, Debug)]
struct Peer {
    received_at: Timestamp,
    report: LoadReport,
}

impl Peer {
    /// Is the known report newer? Incarnations are start times, and the clock of a VM may have been
    /// set back between two of them, so after a pause any other incarnation is a later one.
    fn is_newer_than(&self, now: Timestamp, report: &LoadReport) -> bool {
        let known = &self.report;
        if known.incarnation == report.incarnation {
            return known.seq >= report.seq;
        }
        known.incarnation > report.incarnation && now.since(self.received_at) < RESTART_MIN
    }
}

/// The latest load report of each peer.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    peers: HashMap<String, Peer>,
    /// Highest revision of the server registry that any peer has reported.
    newest_roster: Revision,
}

impl LoadReports {
    /// Stores a load report; false when it is older than the one known.
    pub fn on_report(&mut self, now: Timestamp, mut report: LoadReport) -> bool {
        if let Some(peer) = self.peers.get(&report.name)
            && peer.is_newer_than(now, &report)
        {
            return false;
        }
        self.newest_roster = self.newest_roster.max(report.roster);
        // Shapes are sent when they have changed; until then the last ones hold.
        if let Some(before) = self.peers.remove(&report.name)
            && report.shapes.is_empty()
        {
            report.shapes = before.report.shapes;
        }
        self.peers.insert(report.name.clone(), Peer { received_at: now, report });
        true
    }

    /// Returns the highest revision of the server registry that any peer has reported.
    pub fn newest_roster(&self) -> Revision {
        self.newest_roster
    }

    /// Returns when the last report of a peer was received.
    pub fn received_at(&self, name: &str) -> Option<Timestamp> {
        self.peers.get(name).map(|peer| peer.received_at)
    }

    /// Is this incarnation of a peer unknown yet?
    pub fn is_new(&self, name: &str, incarnation: u64) -> bool {
        self.peers.get(name).is_none_or(|peer| peer.report.incarnation != incarnation)
    }

    /// Returns the load of all peers at one engine.
    pub fn peer_load(&self, now: Timestamp, id: &ServerId) -> EngineLoad {
        self.loads_by_peer(now, id).fold(EngineLoad::default(), |sum, (_, w)| sum.plus(w))
    }

    /// Returns the load of each peer that has any at one engine, with the peer's name.
    pub fn loads_by_peer(
        &self,
        now: Timestamp,
        id: &ServerId,
    ) -> impl Iterator<Item = (&str, EngineLoad)> {
        let number = id.short_hash();
        let load = move |r: &LoadReport| r.engine_loads.get(&number).copied();
        self.current(now).filter_map(move |r| Some((&*r.name, load(r)?)))
    }

    /// Returns the arrivals a second of a service's requests at each peer, by precedence.
    pub fn peer_arrivals<'a>(
        &'a self,
        now: Timestamp,
        service: &'a str,
    ) -> impl Iterator<Item = (Precedence, f64)> + 'a {
        let rows = self.current(now).filter_map(|report| report.arrivals.get(service)).flatten();
        rows.map(|row| (row.precedence, f64::from(row.rate) / 1e3))
    }

    /// Returns the requests that each peer reads in a second, with the peer's name.
    pub fn read_rates(&self, now: Timestamp) -> impl Iterator<Item = (&str, u64)> {
        self.current(now).map(|r| (&*r.name, r.read_rate))
    }

    /// Returns the reports whose load still counts.
    fn current(&self, now: Timestamp) -> impl Iterator<Item = &LoadReport> {
        let timeout = LOAD_TIMEOUT.max(report_interval(self.peers.len()) * LOAD_ROUNDS);
        let recent = self.peers.values().filter(move |p| now.since(p.received_at) < timeout);
        recent.map(|p| &p.report)
    }

    /// Returns the shape of a service's requests as each peer reported it last.
    pub fn shapes<'a>(&'a self, service: &'a str) -> impl Iterator<Item = ShapeReport> + 'a {
        self.peers.values().filter_map(move |p| p.report.shapes.get(service).copied())
    }

    /// Returns the number of live peers.
    pub fn live(&self, now: Timestamp) -> usize {
        let timeout = self.peer_timeout();
        self.peers.values().filter(|p| now.since(p.received_at) < timeout).count()
    }

    /// Was a report of this peer received lately?
    pub fn is_live(&self, now: Timestamp, name: &str) -> bool {
        let timeout = self.peer_timeout();
        self.peers.get(name).is_some_and(|p| now.since(p.received_at) < timeout)
    }

    fn peer_timeout(&self) -> Duration {
        PEER_TIMEOUT.max(report_interval(self.peers.len()) * 2 * LOAD_ROUNDS)
    }

    /// Returns how a peer learns of changes in the store; `None` when it is silent.
    pub fn link(&self, now: Timestamp, name: &str) -> Option<StoreLink> {
        let peer = self.peers.get(name)?;
        (now.since(peer.received_at) < LEADER_TIMEOUT).then_some(peer.report.link)
    }

    /// Returns the peers that report that they follow the store, with their incarnations.
    pub fn followers(&self, now: Timestamp) -> impl Iterator<Item = (&str, u64)> {
        let recent = self.peers.values().filter(move |p| now.since(p.received_at) < LEADER_TIMEOUT);
        let follows = |p: &&Peer| p.report.link != StoreLink::Indirect;
        recent.filter(follows).map(|p| (&*p.report.name, p.report.incarnation))
    }

    /// Counts what higher-ranked gateways of these names report of the store.
    pub fn higher_ranked(&self, now: Timestamp, names: &[String]) -> HigherRanked {
        let mut counts = HigherRanked { count: names.len(), ..HigherRanked::default() };
        for link in names.iter().filter_map(|name| self.link(now, name)) {
            match link {
                StoreLink::Heard { .. } => counts.connected += 1,
                StoreLink::Away => counts.away += 1,
                StoreLink::Indirect => {}
            }
        }
        counts
    }

    /// Returns the gateways from which this one, named `own`, receives nothing.
    pub fn unreachable(&self, now: Timestamp, fleet: &Fleet, own: &str) -> UnreachableGateways {
        let others = fleet.all().keys().filter(|name| *name != own);
        others
            .filter(|name| self.recent_report(now, name).is_none())
            .map(|n| gateway_number(n))
            .collect()
    }

    /// Returns the gateways that another gateway reports as unreachable; `None` when it is silent.
    pub fn unreachable_from(&self, now: Timestamp, name: &str) -> Option<&UnreachableGateways> {
        self.recent_report(now, name).map(|report| &report.unreachable)
    }

    fn recent_report(&self, now: Timestamp, name: &str) -> Option<&LoadReport> {
        let peer = self.peers.get(name)?;
        (now.since(peer.received_at) < LEADER_TIMEOUT).then_some(&peer.report)
    }

    /// Returns the best connection to the store that any peer reports.
    pub fn best_link(&self, now: Timestamp) -> StoreLink {
        let rank = |link: &StoreLink| match link {
            StoreLink::Heard { settles, .. } => (0, *settles),
            StoreLink::Away => (1, 0),
            StoreLink::Indirect => (2, 0),
        };
        let recent = self.peers.values().filter(|p| now.since(p.received_at) < LEADER_TIMEOUT);
        recent.map(|p| p.report.link).min_by_key(rank).unwrap_or_default()
    }

    /// Returns the time as of which a list of backend servers of this revision is known to be
    /// complete, by the reports of peers that follow the store and know nothing newer; `None` when
    /// there is no such report.
    pub fn known_at(&self, now: Timestamp, roster: Revision) -> Option<Timestamp> {
        let recent = self.peers.values().filter(|p| now.since(p.received_at) < LEADER_TIMEOUT);
        // A peer that knows an earlier era only has not heard what the store lists now.
        let has_era = |p: &&Peer| p.report.roster.era() == roster.era();
        let not_newer = recent.filter(has_era).filter(|p| p.report.roster <= roster);
        let at = not_newer.filter_map(|p| match p.report.link {
            StoreLink::Heard { age, .. } => {
                Some(p.received_at.before(Duration::from_millis(age.into())))
            }
            StoreLink::Away | StoreLink::Indirect => None,
        });
        at.max()
    }

    /// Drops peers that have been silent for long.
    pub fn expire(&mut self, now: Timestamp) {
        self.peers.retain(|_, p| now.since(p.received_at) < PEER_TIMEOUT * 10);
    }
}
