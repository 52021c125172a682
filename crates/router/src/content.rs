//! What a request asks for, told apart from how often and by whom it is sent.
//!
//! Each attempt of a caller has an id of its own; what stays the same when the same thing is asked for again
//! is method, host, path and body. They are known by a keyed digest only: a body is never kept or logged.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Digest of what a request asks for; ids, deadlines and other headers are not part of it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Content(pub u64, pub u64);

impl Content {
    /// Of the digest's first 16 bytes.
    pub fn of(digest: [u8; 16]) -> Self {
        let all = u128::from_be_bytes(digest);
        Content((all >> 64) as u64, all as u64)
    }
}

impl fmt::Display for Content {
    /// The first digits: enough to find it in logs, not enough to confirm a guess of the body.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 32)
    }
}
