//! Which servers may continue a stream.
//!
//! Servers of several software versions may serve side by side. What two versions write does not fit
//! together, and servers do not check this: once a caller has an event, only servers with the
//! software that wrote it may continue the stream, in the same answer or in a later attempt. Every
//! choice of a server for a stream asks [`Origin::admits`].
//!
//! A caller that resumes a stream names the attempt that brought its first event. Gateways remember
//! the software by attempt ([`table`]), or know that a service has had no other ([`history`]). Where
//! neither tells, no server is admitted: the software is never guessed.

pub mod history;
pub mod table;

use ebonyloft_core::ids::Digest;
use serde::{Deserialize, Serialize};

use crate::catalog::{Server, SoftwareVersion};
use crate::divergence::{mix, stable_hash};

/// Identifies the software of servers: a service and a version of it. A server without a valid
/// version has software of its own, which no other incarnation shares.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct SoftwareId(u64);

impl SoftwareId {
    /// Returns the software of a server.
    pub fn of(server: &Server) -> Self {
        match &server.version {
            Some(version) => Self::new(&server.service, version),
            None => Self::numbered(&server.service, !server.id.number()),
        }
    }

    /// Returns the software of the servers that have this version.
    pub fn new(service: &str, version: &SoftwareVersion) -> Self {
        Self::numbered(service, stable_hash(version.as_str()))
    }

    /// Returns the software of a server, where those of a service that state no version count as one.
    pub fn shared(server: &Server) -> Self {
        match &server.version {
            Some(version) => Self::new(&server.service, version),
            None => Self::numbered(&server.service, 0),
        }
    }

    /// Returns its number.
    pub fn number(self) -> u64 {
        self.0
    }

    fn numbered(service: &str, version: u64) -> Self {
        SoftwareId(mix(stable_hash(service)).rotate_left(1) ^ version)
    }

    /// Returns the name of the software's version, if one of these servers has it.
    pub fn version<'a>(self, servers: impl Iterator<Item = &'a Server>) -> Option<&'a str> {
        let mut same = servers.filter(|server| SoftwareId::of(server) == self);
        same.find_map(|server| Some(server.version.as_ref()?.as_str()))
    }
}

/// The software that a stream must be continued with.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Origin {
    /// The caller has no event yet.
    #[default]
    Unstarted,
    /// This software wrote the caller's first event.
    Software(SoftwareId),
    /// The caller has events, and it is not known which software wrote them.
    Unknown,
}

impl Origin {
    /// Returns the software, if it is known.
    pub fn software(self) -> Option<SoftwareId> {
        match self {
            Origin::Software(software) => Some(software),
            Origin::Unstarted | Origin::Unknown => None,
        }
    }

    /// May this server write the next events?
    pub fn admits(&self, server: &Server) -> bool {
        match self {
            Origin::Unstarted => true,
            Origin::Software(software) => SoftwareId::of(server) == *software,
            Origin::Unknown => false,
        }
    }
}

/// Identifies a stream by the attempt that brought its first event, and the attempt's client account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of an attempt; without client accounts `account` is empty.
    pub fn new(account: &str, attempt: &str) -> Self {
        // Account names have no line breaks, so that no two pairs make the same text.
        let digest = Digest::of(format!("{account}\n{attempt}").as_bytes());
        let (head, _) = digest.0.split_first_chunk().expect("a digest is longer");
        StreamKey(u64::from_be_bytes(*head))
    }
}

/// What one gateway knows of the software that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Testimony {
    /// This software wrote the first event.
    Recorded(SoftwareId),
    /// Streams of several softwares have this key.
    Contradictory,
    /// No other software can have written it: the service has had only this one.
    Sole(SoftwareId),
    /// Nothing is known.
    Nothing,
}

/// Concludes which software began a stream from what gateways know. A record counts for more than the
/// absence of another software.
pub fn conclude(testimonies: impl Iterator<Item = Testimony>) -> Origin {
    let (mut recorded, mut sole) = (Origin::Unstarted, Origin::Unstarted);
    for testimony in testimonies {
        match testimony {
            Testimony::Recorded(software) => recorded = merge(recorded, software),
            Testimony::Contradictory => recorded = Origin::Unknown,
            Testimony::Sole(software) => sole = merge(sole, software),
            Testimony::Nothing => {}
        }
    }
    match (recorded, sole) {
        (Origin::Unstarted, Origin::Unstarted) => Origin::Unknown,
        (Origin::Unstarted, sole) => sole,
        (recorded, _) => recorded,
    }
}

fn merge(known: Origin, software: SoftwareId) -> Origin {
    match known {
        Origin::Unstarted => Origin::Software(software),
        Origin::Software(other) if other == software => known,
        Origin::Software(_) | Origin::Unknown => Origin::Unknown,
    }
}
