//! The gateways, as they registered themselves.
//!
//! Who there is, where it stands and what it can carry; the order in which the gateways of an
//! availability zone take duties for the others follows from that alone, so that all of them see the
//! same one without a message.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::delegate::PER_ZONE;

/// A gateway as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gateway {
    /// Where its peers reach it.
    pub addr: SocketAddr,
    /// Availability zone.
    #[serde(default)]
    pub zone: String,
    /// Thousandths of a core that its VM has.
    #[serde(default)]
    pub power: u32,
}

/// How long a gateway whose registration is gone is still told news and counted: registrations lapse
/// with the store, and a gateway that lives registers anew within seconds of its return.
pub const LAPSE: Duration = Duration::from_secs(10);

/// All gateways that are registered, and the revision up to which they are known.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    gateways: BTreeMap<String, Gateway>,
    /// Those of them whose registration is gone, and until when they count.
    lapsed: BTreeMap<String, Timestamp>,
    revision: u64,
    edition: u64,
}

impl Fleet {
    /// Takes the whole list as of a revision, unless a newer one is known.
    pub fn replace(&mut self, now: Timestamp, list: BTreeMap<String, Gateway>, revision: u64) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let missing = self.gateways.keys().filter(|name| !list.contains_key(*name));
        for name in missing {
            self.lapsed.entry(name.clone()).or_insert(now.after(LAPSE));
        }
        self.lapsed.retain(|name, _| !list.contains_key(name));
        for (name, gateway) in list {
            self.insert(&name, gateway);
        }
    }

    /// A gateway registered, or its registration is gone.
    pub fn apply(&mut self, now: Timestamp, name: &str, gateway: Option<Gateway>, revision: u64) {
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
                self.lapsed.entry(name.to_owned()).or_insert(now.after(LAPSE));
            }
            None => {}
        }
    }

    /// Forgets gateways whose registration has been gone for long.
    pub fn expire(&mut self, now: Timestamp) {
        let over = |name: &String| self.lapsed.get(name).is_some_and(|until| *until <= now);
        let before = self.gateways.len();
        self.gateways.retain(|name, _| !over(name));
        self.edition += u64::from(self.gateways.len() != before);
        self.lapsed.retain(|_, until| *until > now);
    }

    /// Those whose registration stands, for another process.
    pub fn registered(&self) -> BTreeMap<String, Gateway> {
        let stands = |(name, _): &(&String, &Gateway)| !self.lapsed.contains_key(*name);
        self.gateways.iter().filter(stands).map(|(n, g)| (n.clone(), g.clone())).collect()
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Grows with each change of who there is.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    fn insert(&mut self, name: &str, gateway: Gateway) {
        let before = self.gateways.insert(name.to_owned(), gateway.clone());
        self.edition += u64::from(before.as_ref() != Some(&gateway));
    }

    /// All that count, by name.
    pub fn all(&self) -> &BTreeMap<String, Gateway> {
        &self.gateways
    }

    /// Those of one availability zone, by name.
    pub fn of_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = (&'a String, &'a Gateway)> {
        self.gateways.iter().filter(move |(_, g)| g.zone == zone)
    }

    /// Gateways of `name`'s availability zone that take duties before it: the strongest first, since
    /// a duty takes the same time of any VM. None when it is not registered.
    pub fn ahead<'a>(&'a self, name: &'a str) -> Option<impl Iterator<Item = &'a str>> {
        let own = self.gateways.get(name)?;
        let goes_before =
            move |n: &str, g: &Gateway| g.power > own.power || g.power == own.power && n < name;
        let before = self.of_zone(&own.zone).filter(move |(n, g)| goes_before(n, g));
        Some(before.map(|(n, _)| n.as_str()))
    }

    /// The gateways of each zone that go first, whether they live or not.
    pub fn delegates(&self) -> impl Iterator<Item = &Gateway> {
        let first = |name: &str| self.ahead(name).is_some_and(|ahead| ahead.count() < PER_ZONE);
        self.gateways.iter().filter(move |(name, _)| first(name)).map(|(_, g)| g)
    }
}
