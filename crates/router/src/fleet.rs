//! The registered gateways.
//!
//! Holds the address, zone and power of each gateway. The rank of the gateways within an
//! availability zone follows from this alone, so all gateways agree on it without a message.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::revision::Revision;
use crate::zone_leader::LEADERS_PER_ZONE;

/// A gateway as registered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gateway {
    /// Address at which its peers reach it.
    pub addr: SocketAddr,
    /// Availability zone.
    #[serde(default)]
    pub zone: String,
    /// CPU of its VM in thousandths of a core.
    #[serde(default)]
    pub power: u32,
}

/// How long a gateway whose registration is gone still gets gossip messages and counts. One that
/// runs although it was silent to its zone leaders registers again within seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(10);

/// All gateways that count, and the store revision up to which they are known.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    gateways: BTreeMap<String, Gateway>,
    /// Gateways whose registration is gone, with the time until which they count.
    lapsed: BTreeMap<String, Timestamp>,
    revision: Revision,
    edition: u64,
}

impl Fleet {
    /// Replaces the list with that of a revision, unless a newer one is known.
    pub fn replace(&mut self, now: Timestamp, list: BTreeMap<String, Gateway>, revision: Revision) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let missing = self.gateways.keys().filter(|name| !list.contains_key(*name));
        for name in missing {
            self.lapsed.entry(name.clone()).or_insert(now.after(LAPSE_GRACE));
        }
        self.lapsed.retain(|name, _| !list.contains_key(name));
        for (name, gateway) in list {
            self.insert(&name, gateway);
        }
    }

    /// Applies a new or removed registration.
    pub fn apply(
        &mut self,
        now: Timestamp,
        name: &str,
        gateway: Option<Gateway>,
        revision: Revision,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        match gateway {
            Some(gateway) => {
                self.lapsed.remove(name);
                self.insert(name, gateway);
            }
            None if self.gateways.contains_key(name) => {
                self.lapsed.entry(name.to_owned()).or_insert(now.after(LAPSE_GRACE));
            }
            None => {}
        }
    }

    /// Forgets gateways whose registration has been gone for `LAPSE_GRACE`.
    pub fn expire(&mut self, now: Timestamp) {
        let expired = |name: &String| self.lapsed.get(name).is_some_and(|until| *until <= now);
        let before = self.gateways.len();
        self.gateways.retain(|name, _| !expired(name));
        self.edition += u64::from(self.gateways.len() != before);
        self.lapsed.retain(|_, until| *until > now);
    }

    /// Adds gateways from an incomplete list of unknown revision; any complete list replaces them.
    pub fn add(&mut self, list: BTreeMap<String, Gateway>) {
        if !self.revision.is_zero() {
            return;
        }
        for (name, gateway) in list {
            self.insert(&name, gateway);
        }
    }

    /// Returns the registration of a gateway, if it is registered now.
    pub fn registration(&self, name: &str) -> Option<&Gateway> {
        self.gateways.get(name).filter(|_| !self.lapsed.contains_key(name))
    }

    /// Returns the gateways that are registered now, to be passed to another gateway.
    pub fn registered(&self) -> BTreeMap<String, Gateway> {
        let is_registered = |(name, _): &(&String, &Gateway)| !self.lapsed.contains_key(*name);
        self.gateways.iter().filter(is_registered).map(|(n, g)| (n.clone(), g.clone())).collect()
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Grows with each change of the set of gateways.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    fn insert(&mut self, name: &str, gateway: Gateway) {
        let before = self.gateways.insert(name.to_owned(), gateway.clone());
        self.edition += u64::from(before.as_ref() != Some(&gateway));
    }

    /// Returns all gateways that count, by name.
    pub fn all(&self) -> &BTreeMap<String, Gateway> {
        &self.gateways
    }

    /// Returns the gateways of one availability zone, by name.
    pub fn of_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = (&'a String, &'a Gateway)> {
        self.gateways.iter().filter(move |(_, g)| g.zone == zone)
    }

    /// Returns the gateways of `name`'s availability zone that rank above it, or `None` when it is
    /// not registered. The VM with the most CPU ranks first, since a duty costs the same CPU time
    /// on every VM.
    pub fn higher_ranked<'a>(&'a self, name: &'a str) -> Option<impl Iterator<Item = &'a str>> {
        let own = self.gateways.get(name)?;
        let before =
            self.of_zone(&own.zone).filter(move |(n, g)| by_rank((n, g), (name, own)).is_lt());
        Some(before.map(|(n, _)| n.as_str()))
    }

    /// Returns the gateways that rank above `name` where all zones decide together, or `None` when
    /// it is not registered: those that come earlier in their own zone than it does in its zone,
    /// then those with more CPU. The first two are of different zones, if there are two.
    pub fn higher_ranked_of_all<'a>(
        &'a self,
        name: &'a str,
    ) -> Option<impl Iterator<Item = &'a str>> {
        let own = self.gateways.get(name)?;
        let places = self.places();
        let place = places.get(name).copied()?;
        let before = self.gateways.iter().filter(move |(n, g)| {
            let other = places.get(n.as_str()).copied().unwrap_or(usize::MAX);
            other.cmp(&place).then_with(|| by_rank((n, g), (name, own))).is_lt()
        });
        Some(before.map(|(n, _)| n.as_str()))
    }

    /// Returns the number of gateways that rank above each one in its own zone.
    fn places(&self) -> BTreeMap<&str, usize> {
        let mut ranked: Vec<(&str, &Gateway)> =
            self.gateways.iter().map(|(name, gateway)| (name.as_str(), gateway)).collect();
        ranked.sort_by(|a, b| by_rank(*a, *b));
        let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
        ranked
            .into_iter()
            .map(|(name, gateway)| {
                let count = in_zone.entry(gateway.zone.as_str()).or_default();
                *count += 1;
                (name, *count - 1)
            })
            .collect()
    }

    /// Returns the highest-ranked gateways of each zone, whether they are running or not.
    pub fn zone_leaders(&self) -> impl Iterator<Item = &Gateway> {
        let ranks_first = |name: &str| {
            self.higher_ranked(name).is_some_and(|ahead| ahead.count() < LEADERS_PER_ZONE)
        };
        self.gateways.iter().filter(move |(name, _)| ranks_first(name)).map(|(_, g)| g)
    }
}

/// Order of gateways by rank: the one with the most CPU first, then by name.
pub fn by_rank(a: (&str, &Gateway), b: (&str, &Gateway)) -> Ordering {
    b.1.power.cmp(&a.1.power).then_with(|| a.0.cmp(b.0))
}
