//! Leases of sessions: one a peer, not one a request.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Peer;
use crate::time::Moment;

/// How long a session lives without a sign of its peer.
pub const LEASE: Duration = Duration::from_secs(3);

/// The leases that this process grants.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    ends: HashMap<Peer, Moment>,
}

impl Leases {
    /// The peer showed a sign of life.
    pub fn renew(&mut self, now: Moment, peer: &Peer) {
        self.ends.insert(peer.clone(), now.after(LEASE));
    }

    /// Does the peer hold a lease?
    pub fn holds(&self, now: Moment, peer: &Peer) -> bool {
        self.ends.get(peer).is_some_and(|end| *end > now)
    }

    /// Removes and returns the peers whose lease lapsed.
    pub fn lapsed(&mut self, now: Moment) -> Vec<Peer> {
        let mut gone: Vec<Peer> =
            self.ends.iter().filter(|(_, end)| **end <= now).map(|(p, _)| p.clone()).collect();
        gone.sort();
        for peer in &gone {
            self.ends.remove(peer);
        }
        gone
    }

    /// The next moment at which a lease lapses.
    pub fn next(&self) -> Option<Moment> {
        self.ends.values().min().copied()
    }
}
