//! Which gateway owns a rate limit and grants its tokens.
//!
//! Registered gateways are ranked for each limit by weighted rendezvous hashing, so that all agree without
//! messages, and the loss of a gateway moves only the limits that it owned. A gateway asks the first ranked
//! one that it can reach. Each gateway publishes which others it can't reach; an owner grants the share of
//! the limit that belongs to the gateways which ask it by this rule. However the network is partitioned, no
//! share is granted by two owners.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use super::LimitKey;
use crate::divergence::{mix, stable_hash};
use crate::fleet::Fleet;

/// Gateways ranked for a limit; when all of them are lost, no tokens are granted until the list changes.
const RANKED_MAX: usize = 4;

/// Numbers of the gateways that a gateway can't reach.
pub type UnreachableGateways = BTreeSet<u32>;

/// Compact number that identifies a gateway in `UnreachableGateways`.
pub fn gateway_number(name: &str) -> u32 {
    (stable_hash(name) >> 32) as u32
}

/// Access to the unreachable gateways that each gateway reports.
pub trait ReachabilityReports {
    /// Gateways that `name` can't reach; `None` without a recent report from it.
    fn unreachable(&self, name: &str) -> Option<&UnreachableGateways>;
}

/// Fingerprint of which gateways each one can't reach; while it stays the same, so do the shares of all limits.
pub fn reachability(fleet: &Fleet, reports: &impl ReachabilityReports) -> u64 {
    let report = |name: &String| {
        let unreachable = reports.unreachable(name)?.iter();
        let numbers = unreachable.fold(1, |sum, number| sum ^ mix(u64::from(*number)));
        Some(mix(stable_hash(name) ^ numbers))
    };
    fleet.all().keys().filter_map(report).fold(0, |sum, report| sum ^ report)
}

/// Cached ranks of gateways for one edition of the gateway list.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    edition: u64,
    ranks: HashMap<LimitKey, Rc<[String]>>,
}

impl Owners {
    /// The gateways with the highest ranks for a limit.
    pub fn ranked(&mut self, fleet: &Fleet, key: &LimitKey) -> Rc<[String]> {
        if self.edition != fleet.edition() {
            self.edition = fleet.edition();
            self.ranks.clear();
        }
        if let Some(ranked) = self.ranks.get(key) {
            return ranked.clone();
        }
        let ranked = rank(fleet, key);
        self.ranks.insert(key.clone(), ranked.clone());
        ranked
    }

    /// The owner for a gateway that can't reach the gateways in `unreachable`.
    pub fn owner(
        &mut self,
        fleet: &Fleet,
        key: &LimitKey,
        unreachable: &UnreachableGateways,
    ) -> Option<String> {
        let ranked = self.ranked(fleet, key);
        ranked.iter().find(|name| !unreachable.contains(&gateway_number(name))).cloned()
    }

    /// The share of a limit that the gateway `own` may grant.
    pub fn share(
        &mut self,
        fleet: &Fleet,
        key: &LimitKey,
        own: &str,
        reports: &impl ReachabilityReports,
    ) -> f64 {
        let ranked = self.ranked(fleet, key);
        let Some(rank) = ranked.iter().position(|name| name == own) else {
            return 0.0;
        };
        let higher_ranked: Vec<u32> =
            ranked[..rank].iter().map(|name| gateway_number(name)).collect();
        let own = gateway_number(own);
        let asks_here = |unreachable: &UnreachableGateways| {
            higher_ranked.iter().all(|n| unreachable.contains(n)) && !unreachable.contains(&own)
        };
        let all = fleet.all();
        let count = all
            .keys()
            .filter_map(|name| reports.unreachable(name))
            .filter(|m| asks_here(m))
            .count();
        count as f64 / all.len().max(1) as f64
    }
}

fn rank(fleet: &Fleet, key: &LimitKey) -> Rc<[String]> {
    let seed = key.number();
    let mut all: Vec<(f64, &String)> = fleet
        .all()
        .iter()
        .map(|(name, gateway)| {
            let sample = (mix(seed ^ stable_hash(name)) >> 11) as f64 / (1_u64 << 53) as f64;
            let power = f64::from(gateway.power.max(1));
            (-sample.max(f64::MIN_POSITIVE).ln() / power, name)
        })
        .collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    all.into_iter().take(RANKED_MAX).map(|(_, name)| name.clone()).collect()
}
