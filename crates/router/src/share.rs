//! What entries tell each other several times a second: the work that each has at model engines.
//!
//! Engines report their load with almost a second's delay, in which a burst fills their memory. The
//! sum of what the entries themselves placed is known within one round of datagrams.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::catalog::ServerId;
use crate::delegate::{Link, SILENT};
use crate::fleet::Fleet;
use crate::forecast::Profile;
use crate::limits::Named;
use crate::pack;
use crate::quarantine::Word;
use crate::quota::homes::{Missing, gateway_number};
use crate::quota::{Answer, Ask, Key};
use crate::zones::Digest;

/// Pause between two datagrams to each peer while there is work: a tenth of the delay with which
/// engines report.
pub const TELL: Duration = Duration::from_millis(100);
/// Peers up to which that pause holds, so that reading what they tell stays a small part of a weak VM's
/// work.
pub const TELL_PEERS: usize = 32;
/// That pause is added once more for each so many peers beyond: each of 410 gateways then sends fewer
/// datagrams a second than each of 33 does.
pub const TELL_MORE: usize = 16;
/// How long a peer's share counts without a newer one; ten rounds at the usual pace.
pub const SHARE_LIFE: Duration = Duration::from_millis(1_500);
/// How long a peer counts as live without a message.
pub const PEER_LIFE: Duration = Duration::from_millis(3_000);
/// Rounds that a share outlives at least, when rounds are long: one in a hundred datagrams is lost.
const ROUNDS: u32 = 4;

/// Pause between two rounds with so many peers.
pub fn pause(peers: usize) -> Duration {
    let more = peers.saturating_sub(TELL_PEERS);
    TELL + TELL.mul_f64(more as f64 / TELL_MORE as f64)
}

/// Work at one engine; in few bytes on the way, since those between availability zones are dear.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "Packed", into = "Packed")]
pub struct Work {
    /// Memory reserved, in use, and expected to be.
    pub memory: Profile,
    /// Requests.
    pub count: u32,
    /// Prompt tokens sent to be read, not read yet.
    pub unread: u64,
    /// Prompts sent to be read, not read yet.
    pub reads: u32,
}

#[serde_as]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
struct Packed(#[serde_as(as = "serde_with::Bytes")] Vec<u8>);

impl From<Work> for Packed {
    fn from(w: Work) -> Self {
        let mut out = Vec::with_capacity(PACKED_USUAL);
        pack::number(&mut out, w.count.into());
        pack::number(&mut out, w.unread);
        pack::number(&mut out, w.reads.into());
        w.memory.pack(&mut out);
        Packed(out)
    }
}

impl TryFrom<Packed> for Work {
    type Error = &'static str;

    fn try_from(Packed(bytes): Packed) -> Result<Self, Self::Error> {
        Work::unpack(&mut &bytes[..]).ok_or("work cut short")
    }
}

impl Work {
    fn unpack(bytes: &mut &[u8]) -> Option<Work> {
        let count = pack::read_number(bytes)?.try_into().ok()?;
        let unread = pack::read_number(bytes)?;
        let reads = pack::read_number(bytes)?.try_into().ok()?;
        Some(Work { memory: Profile::unpack(bytes)?, count, unread, reads })
    }

    /// The sum of both.
    pub fn plus(self, other: Work) -> Work {
        Work {
            memory: self.memory.plus(other.memory),
            count: self.count + other.count,
            unread: self.unread + other.unread,
            reads: self.reads + other.reads,
        }
    }
}

/// Bytes that the work at an engine takes, usually.
const PACKED_USUAL: usize = 24;

/// One message between entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// Name of the sender's VM.
    #[serde(rename = "n")]
    pub name: String,
    /// Start time of the sender's process, in microseconds; a later life has a larger one.
    #[serde(rename = "l")]
    pub life: u64,
    /// Grows with every message of this life.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Version of the sender's configuration.
    #[serde(rename = "c")]
    pub config: u64,
    /// Revision up to which the sender knows the list of backend servers.
    #[serde(rename = "r")]
    pub roster: u64,
    /// Revision up to which the sender knows the registered gateways.
    #[serde(rename = "g")]
    pub fleet: u64,
    /// How the sender hears of the store.
    #[serde(rename = "k")]
    pub link: Link,
    /// Requests waiting for a place at the sender.
    #[serde(rename = "q")]
    pub waiting: u32,
    /// Engines that the sender ordered to change their stage and that have not yet.
    #[serde(rename = "o")]
    pub changing: Vec<ServerId>,
    /// The sender's work, by the short number of the backend server.
    #[serde(rename = "w")]
    pub work: BTreeMap<u32, Work>,
    /// Sum over what the sender knows beside what the store says.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub notes: u64,
    /// Numbers of gateways that the sender does not hear.
    #[serde(rename = "m", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub missing: Missing,
    /// What a delegate heard of other availability zones.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub digests: Vec<Digest>,
}

/// What gateways know beside what the store says.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Notes {
    /// Of contents under which servers end.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub words: Vec<Word>,
    /// Lives of servers whose answers say that they leave.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<ServerId>,
    /// Limits that servers name.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Named>,
}

impl Notes {
    /// Is there nothing in it?
    pub fn is_empty(&self) -> bool {
        self.words.is_empty() && self.leaving.is_empty() && self.limits.is_empty()
    }
}

/// Left out on the way: most of the time most gateways know nothing beside what the store says.
pub(crate) fn is_zero(sum: &u64) -> bool {
    *sum == 0
}

/// A datagram between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum News {
    /// To all gateways, at once.
    Notes(Notes),
    /// To those who share engines.
    Share(Share),
    /// To another availability zone.
    Digest(Digest),
    /// To a bound's home.
    Ask(Ask),
    /// Its answer.
    Answer(Answer),
    /// To a bound's home: so much of what it lent is not used.
    Unused(Key, u64),
    /// Asks how old the configuration is there, under a number.
    Age(u64),
    /// The answer: the number, the version in force, and milliseconds since it was known to be the newest.
    Held(u64, u64, u64),
}

#[derive(Clone, Debug)]
struct Peer {
    heard_at: Timestamp,
    share: Share,
}

/// The latest share of each peer.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    peers: HashMap<String, Peer>,
}

impl Shares {
    /// A share arrived; false when it is older than what is known.
    pub fn hear(&mut self, now: Timestamp, share: Share) -> bool {
        if let Some(peer) = self.peers.get(&share.name)
            && (peer.share.life, peer.share.seq) >= (share.life, share.seq)
        {
            return false;
        }
        self.peers.insert(share.name.clone(), Peer { heard_at: now, share });
        true
    }

    /// Work of all peers at one engine.
    pub fn work(&self, now: Timestamp, id: &ServerId) -> Work {
        let life = SHARE_LIFE.max(pause(self.peers.len()) * ROUNDS);
        let number = id.short_number();
        self.peers
            .values()
            .filter(|p| now.since(p.heard_at) < life)
            .filter_map(|p| p.share.work.get(&number))
            .fold(Work::default(), |sum, w| sum.plus(*w))
    }

    /// Peers heard lately.
    pub fn live(&self, now: Timestamp) -> usize {
        let life = PEER_LIFE.max(pause(self.peers.len()) * 2 * ROUNDS);
        self.peers.values().filter(|p| now.since(p.heard_at) < life).count()
    }

    /// How the peer of this name hears of the store; none when it is silent.
    pub fn link(&self, now: Timestamp, name: &str) -> Option<Link> {
        let peer = self.peers.get(name)?;
        (now.since(peer.heard_at) < SILENT).then_some(peer.share.link)
    }

    /// Gateways that this one, called `own`, does not hear.
    pub fn missing(&self, now: Timestamp, fleet: &Fleet, own: &str) -> Missing {
        let others = fleet.all().keys().filter(|name| *name != own);
        others.filter(|name| self.lately(now, name).is_none()).map(|n| gateway_number(n)).collect()
    }

    /// Whom a gateway misses by its own word; none when it was not heard lately.
    pub fn missed_by(&self, now: Timestamp, name: &str) -> Option<&Missing> {
        self.lately(now, name).map(|share| &share.missing)
    }

    fn lately(&self, now: Timestamp, name: &str) -> Option<&Share> {
        let peer = self.peers.get(name)?;
        (now.since(peer.heard_at) < SILENT).then_some(&peer.share)
    }

    /// The best way in which any peer that was heard lately follows the store.
    pub fn best_link(&self, now: Timestamp) -> Link {
        let rank = |link: &Link| match link {
            Link::Heard { settles, .. } => (0, *settles),
            Link::Away => (1, 0),
            Link::Indirect => (2, 0),
        };
        let heard = self.peers.values().filter(|p| now.since(p.heard_at) < SILENT);
        heard.map(|p| p.share.link).min_by_key(rank).unwrap_or_default()
    }

    /// As of when a list of backend servers of this revision is known to hold: peers that follow the store
    /// and know nothing newer say so. None when no such peer was heard lately.
    pub fn known_at(&self, now: Timestamp, roster: u64) -> Option<Timestamp> {
        let heard = self.peers.values().filter(|p| now.since(p.heard_at) < SILENT);
        let knows_no_more = heard.filter(|p| p.share.roster <= roster);
        let at = knows_no_more.filter_map(|p| match p.share.link {
            Link::Heard { age, .. } => Some(p.heard_at.before(Duration::from_millis(age.into()))),
            Link::Away | Link::Indirect => None,
        });
        at.max()
    }

    /// Forgets peers that fell silent long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.peers.retain(|_, p| now.since(p.heard_at) < PEER_LIFE * 10);
    }
}

/// Engines compared by one choice, times the number of entries: with many entries that all hear the
/// same late news, the one shortest queue would be everybody's choice.
pub const COMPARED: usize = 4;
/// Fewest engines compared: the better of two random ones spreads late news well.
pub const COMPARED_MIN: usize = 2;

/// How many of `engines` one of `entries` compares.
pub fn compared(engines: usize, entries: usize) -> usize {
    (engines * COMPARED).div_ceil(entries.max(1)).clamp(COMPARED_MIN, engines.max(COMPARED_MIN))
}
