//! Rates at which requests of each precedence arrive, at this gateway and its peers.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::precedence::Precedence;

/// Time constant of the average: long enough for a class of a few requests a second, and far
/// shorter than a burst.
pub const RATE_TIME: Duration = Duration::from_secs(2);
/// Lowest rate, in requests a second, that counts as demand. An average never decays to zero; a
/// single request counts for five seconds.
pub const RATE_MIN: f64 = 0.05;
/// Most rates of one service in a report, the most urgent ones first. Headroom needs no others.
pub const REPORTED_MAX: usize = 8;

/// Rate of one precedence, as reported to other gateways.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArrivalRate {
    /// The precedence.
    #[serde(rename = "p")]
    pub precedence: Precedence,
    /// Thousandths of a request a second.
    #[serde(rename = "r")]
    pub rate: u32,
}

/// Rates of one gateway's services.
pub type ArrivalRates = BTreeMap<String, Vec<ArrivalRate>>;

/// Exponentially decaying count of the arrivals of one precedence.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sum: f64,
    at: Timestamp,
}

impl Count {
    fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64() / RATE_TIME.as_secs_f64();
        self.sum * (-age).exp()
    }
}

/// Arrivals of one service's requests at this gateway.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    counts: BTreeMap<Precedence, Count>,
}

impl Arrivals {
    /// Records a request that arrived.
    pub fn observe(&mut self, now: Timestamp, precedence: Precedence) {
        let count = self.counts.entry(precedence).or_default();
        *count = Count { sum: count.decayed(now) + 1.0, at: now };
        self.counts.retain(|_, c| c.decayed(now) / RATE_TIME.as_secs_f64() >= RATE_MIN);
    }

    /// Returns the arrivals a second by precedence.
    pub fn rates(&self, now: Timestamp) -> impl Iterator<Item = (Precedence, f64)> {
        let rate = move |c: &Count| c.decayed(now) / RATE_TIME.as_secs_f64();
        self.counts.iter().map(move |(p, c)| (*p, rate(c))).filter(|(_, rate)| *rate >= RATE_MIN)
    }

    /// Returns the rates for other gateways.
    pub fn report(&self, now: Timestamp) -> Vec<ArrivalRate> {
        let row = |(precedence, rate)| ArrivalRate { precedence, rate: (rate * 1e3) as u32 };
        self.rates(now).take(REPORTED_MAX).map(row).collect()
    }
}

/// Returns the sum of rates by precedence.
pub fn sum(rates: impl Iterator<Item = (Precedence, f64)>) -> Vec<(Precedence, f64)> {
    let mut total: BTreeMap<Precedence, f64> = BTreeMap::new();
    for (precedence, rate) in rates {
        *total.entry(precedence).or_default() += rate;
    }
    total.into_iter().collect()
}
