//! Detects when a peer's gossip state stays different from this gateway's, so that the two should
//! be compared.
//!
//! Updates are announced by datagram at once, but a datagram may be lost, a VM cut off or a process
//! new. Peers therefore include a checksum of their gossip state in the messages that they send
//! anyway, and only a difference that lasts triggers a call.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

/// How long checksums must differ: an update in flight makes them differ for less.
const DIFFERS_MIN: Duration = Duration::from_millis(400);
/// Shortest time between two calls, to any peers.
const CALL_INTERVAL: Duration = Duration::from_millis(400);
/// Peers without a message for this long are forgotten.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

/// Tracks since when each peer's checksum has differed from this gateway's.
#[derive(Clone, Debug, Default)]
pub struct DivergenceDetector {
    peers: HashMap<String, (Timestamp, Timestamp)>,
    next_call: Timestamp,
}

impl DivergenceDetector {
    /// Records whether a peer's checksum equals this gateway's; true when the states should be
    /// compared now.
    pub fn observe(&mut self, now: Timestamp, peer: &str, same: bool) -> bool {
        if same {
            self.peers.remove(peer);
            return false;
        }
        let (since, last_seen) = self.peers.entry(peer.to_owned()).or_insert((now, now));
        *last_seen = now;
        if now < since.after(DIFFERS_MIN) || now < self.next_call {
            return false;
        }
        *since = now;
        self.next_call = now.after(CALL_INTERVAL);
        true
    }

    /// Forgets peers that have been silent for long.
    pub fn expire(&mut self, now: Timestamp) {
        self.peers.retain(|_, (_, last_seen)| last_seen.after(PEER_TIMEOUT) > now);
    }
}

/// Spreads the bits of a number, so that sums over a few such numbers rarely collide.
pub fn mix(n: u64) -> u64 {
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

/// Returns a 64-bit hash of a text that is the same on all gateways.
pub fn stable_hash(text: &str) -> u64 {
    let step = |n: u64, b: u8| (n ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}
