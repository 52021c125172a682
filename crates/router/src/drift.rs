//! When to compare notes with a peer that knows something else.
//!
//! News is told at once, but a datagram may be lost, a VM cut off, a process new. Peers tell a sum of what
//! they know with what they tell anyway; only a difference that lasts is worth a call.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// How long sums must differ: what was told by datagram is on its way to one of both for less.
const LASTS: Duration = Duration::from_millis(400);
/// Shortest time between two calls, whomever they go to.
const GAP: Duration = Duration::from_millis(400);
/// A peer that was not heard for longer is forgotten.
const FORGET: Duration = Duration::from_secs(10);

/// Since when each peer's sum differs from this process's.
#[derive(Clone, Debug, Default)]
pub struct Drift {
    since: HashMap<String, (Timestamp, Timestamp)>,
    next_at: Timestamp,
}

impl Drift {
    /// A peer told its sum; true when notes should be compared with it now.
    pub fn hear(&mut self, now: Timestamp, peer: &str, same: bool) -> bool {
        if same {
            self.since.remove(peer);
            return false;
        }
        let (since, heard_at) = self.since.entry(peer.to_owned()).or_insert((now, now));
        *heard_at = now;
        if now < since.after(LASTS) || now < self.next_at {
            return false;
        }
        *since = now;
        self.next_at = now.after(GAP);
        true
    }

    /// Forgets peers that fell silent.
    pub fn expire(&mut self, now: Timestamp) {
        self.since.retain(|_, (_, heard_at)| heard_at.after(FORGET) > now);
    }
}

/// Spreads a number's bits, so that sums over few of them differ.
pub fn mix(n: u64) -> u64 {
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

/// A number that hardly any other text has.
pub fn number(text: &str) -> u64 {
    let step = |n: u64, b: u8| (n ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}
