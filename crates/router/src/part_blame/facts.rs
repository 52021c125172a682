//! Facts about parts of prompts, as gateways exchange them.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Candidate, PARTS_MAX};
use crate::catalog::ServerId;
use crate::divergence::mix;
use crate::request_digest::RequestDigest;
use crate::stream_origin::SoftwareId;

/// Keyed digest of a model and the id of a part.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct PartDigest(pub u64);

impl PartDigest {
    /// Takes the first eight bytes of a digest.
    pub fn of(digest: [u8; 8]) -> Self {
        PartDigest(u64::from_be_bytes(digest))
    }
}

impl fmt::Display for PartDigest {
    /// Writes the first eight digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 32)
    }
}

/// The parts of a request's prompt that may crash a server.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PromptParts {
    /// Digest of the whole request.
    #[serde(rename = "q")]
    pub(super) request: u64,
    /// Parts without the last one.
    #[serde(rename = "p")]
    pub(super) parts: Vec<PartDigest>,
}

impl PromptParts {
    /// Takes all parts of a prompt in their order; the last one belongs to the request alone and is left out.
    /// Repeated parts count once, and those beyond `PARTS_MAX` are ignored.
    pub fn new(request: RequestDigest, parts: &[PartDigest]) -> Self {
        let mut kept = Vec::new();
        for part in parts.split_last().map_or(&[][..], |(_, others)| others) {
            if kept.len() < PARTS_MAX && !kept.contains(part) {
                kept.push(*part);
            }
        }
        PromptParts { request: mix(request.0) ^ request.1, parts: kept }
    }

    /// The parts, without repetition.
    pub fn parts(&self) -> &[PartDigest] {
        &self.parts
    }

    /// Whether there is nothing to blame.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    pub(super) fn candidates(&self) -> impl Iterator<Item = Candidate> + '_ {
        let parts = self.parts.iter().take(PARTS_MAX).map(|part| Candidate::Part(*part));
        parts.chain([Candidate::Request(self.request)])
    }

    pub(super) fn holds(&self, candidate: Candidate) -> bool {
        match candidate {
            Candidate::Part(part) => self.parts.contains(&part),
            Candidate::Request(request) => self.request == request,
        }
    }
}

/// Update about parts of prompts, exchanged between gateways.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PartUpdate {
    /// Age of the fact in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// The fact.
    #[serde(rename = "f")]
    pub fact: PartFact,
}

/// Event in the history of parts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PartFact {
    /// A server crashed while a run of these parts had just begun there.
    #[serde(rename = "c")]
    Crashed(ServerId, SoftwareId, PromptParts),
    /// An answer went on past its beginning.
    #[serde(rename = "s")]
    Sound(SoftwareId, PromptParts),
    /// A probe of these parts was sent, under this number.
    #[serde(rename = "t")]
    Trying(u64, Vec<PartDigest>),
    /// A run of these parts was lost when it had just begun, and is investigated under this number.
    #[serde(rename = "l")]
    Lost(u64, Vec<PartDigest>),
    /// The probe or investigation with this number has ended.
    #[serde(rename = "o")]
    Over(u64),
    /// The part is confirmed to crash servers of this software.
    #[serde(rename = "p")]
    Confirmed(SoftwareId, PartDigest),
    /// An operator released the part.
    #[serde(rename = "r")]
    Released(PartDigest),
}

impl PartFact {
    /// The fact, observed just now.
    pub fn now(self) -> PartUpdate {
        PartUpdate { age: 0, fact: self }
    }
}
