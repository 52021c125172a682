//! The gateways, as they registered themselves.
//!
//! Who there is, where it stands and what it can carry; the order in which the gateways of an
//! availability zone take duties for the others follows from that alone, so that all of them see the
//! same one without a message.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

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

/// All gateways that are registered, and the revision up to which they are known.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    gateways: BTreeMap<String, Gateway>,
    revision: u64,
}

impl Fleet {
    /// Takes the whole list as of a revision, unless a newer one is known.
    pub fn replace(&mut self, list: BTreeMap<String, Gateway>, revision: u64) {
        if revision >= self.revision {
            self.gateways = list;
            self.revision = revision;
        }
    }

    /// A gateway registered, or its registration is gone.
    pub fn apply(&mut self, name: &str, gateway: Option<Gateway>, revision: u64) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        match gateway {
            Some(gateway) => self.gateways.insert(name.to_owned(), gateway),
            None => self.gateways.remove(name),
        };
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All of them, by name.
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
        let rank = |name: &str, g: &Gateway| (std::cmp::Reverse(g.power), name.to_owned());
        let mine = rank(name, own);
        let before = self.of_zone(&own.zone).filter(move |(n, g)| rank(n, g) < mine);
        Some(before.map(|(n, _)| n.as_str()))
    }
}
