//! Simulation of what a fleet of gateways says to each other and to the platform's store, in
//! simulated time.
//!
//! The decisions are those of `ebonyloft-router`: joining, roles, ranks, pauses between load
//! reports, fetches and the removal of silent gateways. The store answers with its latency and the
//! rate of its link; datagrams are delayed and lost. Requests of callers are not simulated, only how
//! often a gateway has load to report. Each kind of call and message is counted by gateway.

mod simulation;
mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

pub use self::simulation::simulate;

/// What happens in the measured window.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The whole fleet starts for the first time.
    Start,
    /// Nothing changes.
    Calm,
    /// One backend server in fifty leaves.
    Leaving,
    /// One gateway in five restarts.
    Restart,
    /// All gateways end at once and start again.
    LossOfAll,
    /// The store is unreachable.
    StoreAway,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct FleetSpec {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// What happens.
    pub phase: Phase,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Determines the run.
    pub seed: u64,
}

/// A kind of call or message.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Page of a stale list, read from the store.
    StalePage,
    /// Watch of the store, or poll for changes.
    Watch,
    /// Write to the store.
    Write,
    /// Load report to one peer.
    LoadReport,
    /// Fetch of lists from a peer.
    ListFetch,
}

impl Kind {
    /// Price of a call to the store; 0 for messages between gateways.
    pub fn price(self) -> f64 {
        match self {
            Kind::StalePage => 0.1,
            Kind::Watch | Kind::Write => 1.0,
            Kind::LoadReport | Kind::ListFetch => 0.0,
        }
    }
}

/// Counts of one kind in the measured window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Row {
    /// Sent by a gateway in the mean.
    pub mean: f64,
    /// Sent by the busiest gateway.
    pub most: f64,
    /// Bytes sent by a gateway in the mean; for calls to the store, bytes received.
    pub bytes: f64,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// Number of gateways.
    pub gateways: usize,
    /// Length of the measured window in seconds.
    pub seconds: f64,
    /// Counts by kind.
    pub rows: BTreeMap<Kind, Row>,
    /// Price of all calls to the store, by gateway.
    pub price: f64,
    /// Most gateways that followed the store at once after the first second of the window.
    pub followers: usize,
    /// Milliseconds until all gateways had all lists, from the beginning of the window.
    pub complete_ms: u64,
    /// Milliseconds until all gateways had the last change of a backend server in the window.
    pub known_ms: u64,
}

/// Power of the growth of a value between two sizes; 0 when either value is 0.
pub fn power(sizes: (usize, usize), values: (f64, f64)) -> f64 {
    if values.0 <= 0.0 || values.1 <= 0.0 || sizes.0 == sizes.1 {
        return 0.0;
    }
    (values.1 / values.0).ln() / (sizes.1 as f64 / sizes.0 as f64).ln()
}

/// Delay of a message between two zones, one way.
const ZONE_DELAY: Duration = Duration::from_micros(500);
