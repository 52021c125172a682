//! Revisions of the store, which may come back from an older copy.
//!
//! The store numbers its changes. When it comes back from a copy, it loses what was written since, and gives
//! the same numbers out again; its era then rises by one. A revision is the era and the number, in that order,
//! so that whatever is known of a later era is newer.
//!
//! Between gateways a revision is one number with the era in its upper bits. Gateways of the release before
//! compare such numbers, and send numbers without an era, which count as those of era 0.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of a number between gateways that hold the revision's own number.
const NUMBER_BITS: u32 = 44;
const NUMBER_MAX: u64 = (1 << NUMBER_BITS) - 1;

/// A revision of the store.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Revision {
    era: u64,
    number: u64,
}

impl Revision {
    /// Newer than any other.
    pub const MAX: Revision = Revision { era: u64::MAX >> NUMBER_BITS, number: NUMBER_MAX };

    /// A change with this number in an era; both are limited to what fits between gateways.
    pub const fn new(era: u64, number: u64) -> Self {
        let era = if era < Self::MAX.era { era } else { Self::MAX.era };
        Revision { era, number: if number < NUMBER_MAX { number } else { NUMBER_MAX } }
    }

    /// Returns the era of the store.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Returns the number that the store gave.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Is nothing known of the store?
    pub fn is_zero(&self) -> bool {
        *self == Revision::default()
    }
}

impl From<u64> for Revision {
    fn from(packed: u64) -> Self {
        Revision { era: packed >> NUMBER_BITS, number: packed & NUMBER_MAX }
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> Self {
        revision.era << NUMBER_BITS | revision.number
    }
}

/// As in log lines: the number, after the era if there is one.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}
