//! Links of a randomised run: ordered while they live, broken or silenced at any time.

use std::collections::HashMap;

use ebonyloft_core::ids::Peer;
use ebonyloft_core::message::{Answer, Ask};
use ebonyloft_core::time::Moment;

/// A link between an entry and a sidecar, each in one life.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LinkKey {
    /// The entry.
    pub entry: Peer,
    /// The sidecar.
    pub sidecar: Peer,
}

/// What is under way on a link.
#[derive(Clone, Debug)]
pub enum Parcel {
    /// A question; zero when no answer is awaited.
    Ask { id: u64, ask: Ask },
    /// An answer.
    Answer { id: u64, answer: Answer },
    /// A sign of life of the entry.
    Ping,
}

/// State of a link.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Grows when the link is made anew; parcels of an earlier one never arrive.
    pub generation: u64,
    /// Parcels to the sidecar vanish.
    pub mute_out: bool,
    /// Parcels to the entry vanish.
    pub mute_back: bool,
    /// No parcel overtakes an earlier one.
    pub last_out: Moment,
    /// The same, back.
    pub last_back: Moment,
    /// When the entry last heard anything while it had questions open.
    pub heard_at: Moment,
}

/// All links.
#[derive(Debug, Default)]
pub struct Net {
    /// By ends.
    pub links: HashMap<LinkKey, Link>,
}

impl Net {
    /// The link between two ends, made when first used.
    pub fn link(&mut self, key: &LinkKey, now: Moment) -> &mut Link {
        self.links.entry(key.clone()).or_insert_with(|| Link {
            heard_at: now,
            ..Link::default()
        })
    }

    /// Makes a link anew: all that is under way on it is lost.
    pub fn renew(&mut self, key: &LinkKey, now: Moment) {
        let link = self.link(key, now);
        link.generation += 1;
        link.mute_out = false;
        link.mute_back = false;
        link.heard_at = now;
    }
}
