//! Digest that identifies what a request asks for, whichever caller sends it and how often.
//!
//! Each attempt of a caller has an id of its own; method, host, path and body stay the same when the request
//! is repeated. Only their keyed digest is kept: a body is never stored or logged.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Keyed digest of method, host, path and body; ids, deadlines and other headers are left out.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestDigest(pub u64, pub u64);

impl RequestDigest {
    /// Takes the first 16 bytes of a digest.
    pub fn of(digest: [u8; 16]) -> Self {
        let value = u128::from_be_bytes(digest);
        RequestDigest((value >> 64) as u64, value as u64)
    }
}

impl fmt::Display for RequestDigest {
    /// Writes the first eight digits: enough to find the request in logs, too few to confirm a guess of its
    /// body.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 32)
    }
}
