//! Names of the things the processes talk about.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::time::Moment;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                $name(s.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A process of the system, named by its settings.
    MemberId
);
name_type!(
    /// An availability zone.
    Zone
);
name_type!(
    /// A caller's account.
    Account
);
name_type!(
    /// A pool of backend servers.
    PoolName
);

/// One life of a process; a later life has a larger number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A process in one of its lives.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Peer {
    /// Its name.
    pub id: MemberId,
    /// Its life.
    pub life: Incarnation,
}

/// One try at running a request; unique over all homes, and later tries compare greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Attempt {
    /// Placement epoch in which the home granted it.
    pub epoch: u64,
    /// Incarnation of the home that granted it.
    pub home: u64,
    /// Counter of that home.
    pub number: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.epoch, self.home, self.number)
    }
}

/// A caller's idempotency key, scoped by account.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The account it belongs to.
    pub account: Account,
    /// The key as the caller wrote it.
    pub text: String,
}

impl Key {
    /// When the caller issued the key, if the key says so (a version 7 UUID).
    pub fn issued(&self) -> Option<Moment> {
        let id = Uuid::parse_str(&self.text).ok()?;
        if id.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = id.get_timestamp()?.to_unix();
        Some(Moment(secs * 1_000_000 + u64::from(nanos) / 1_000))
    }

    /// The ledger slot of this key, of `count` slots.
    pub fn slot(&self, count: u16) -> u16 {
        let mut bytes = Vec::with_capacity(self.account.0.len() + self.text.len() + 1);
        bytes.extend_from_slice(self.account.0.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(self.text.as_bytes());
        (xxh3_64(&bytes) % u64::from(count.max(1))) as u16
    }
}

/// SHA-256 digest, written as hexadecimal text.
#[serde_with::serde_as]
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 32]);

impl Digest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// Fast digest of an answer's first bytes; guards against joining two answers.
pub fn prefix_digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}
