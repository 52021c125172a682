//! Decides what is fetched from which peer, and when.
//!
//! Peers announce the versions of what they know, and a gateway fetches what is newer. A
//! configuration may take seconds over a slow link and has a bound of seconds, while a list of
//! backend servers that leave is small and urgent. So each kind has its own call, and only one at a
//! time, so that the same configuration does not come from several peers at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::revision::Revision;

/// Shortest time between two calls of one kind to the same peer, so that a peer that is always
/// slightly ahead is not called after each of its messages.
const PEER_INTERVAL: Duration = Duration::from_millis(150);
/// Back-off of a kind after a peer had nothing newer; another peer may have it.
const BACKOFF: Duration = Duration::from_millis(50);

/// How long a gateway that reaches the store waits for the store's own update when peers have newer
/// lists: with the shortest of the usual bounds, 2 s, it gathers changes for 0.2 s, and a slow store
/// answers within 0.3 s.
const STORE_WAIT: Duration = Duration::from_millis(500);

/// How much longer each gateway of an availability zone waits than the next higher-ranked one before
/// it fetches from another zone, where bytes are expensive and one peer would be asked by all.
/// Those that wait get the state inside the zone from those that don't.
pub const CROSS_ZONE_STEP: Duration = Duration::from_millis(200);
/// Highest number of steps: the last one fetches a second after the first, when nobody of its zone
/// has the state.
const CROSS_ZONE_STEPS_MAX: usize = 5;

/// Versions of the state that a gateway has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// Version of the configuration.
    pub config: u64,
    /// Revision of the list of backend servers.
    pub roster: Revision,
    /// Revision of the list of gateways.
    pub fleet: Revision,
}

impl Versions {
    /// Nothing is newer than this.
    const ALL: Versions =
        Versions { config: u64::MAX, roster: Revision::MAX, fleet: Revision::MAX };

    /// The versions to send when only one kind is requested: the others are marked as up to date.
    pub fn asking(self, part: FetchKind) -> Versions {
        match part {
            FetchKind::Config => Versions { config: self.config, ..Versions::ALL },
            FetchKind::Lists => Versions { config: u64::MAX, ..self },
        }
    }

    /// Does a peer with the versions `theirs` have a newer state of this kind?
    pub fn is_older(self, part: FetchKind, theirs: Versions) -> bool {
        match part {
            FetchKind::Config => theirs.config > self.config,
            FetchKind::Lists => theirs.roster > self.roster || theirs.fleet > self.fleet,
        }
    }
}

/// What one call fetches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchKind {
    /// The configuration.
    Config,
    /// The lists of backend servers and of gateways.
    Lists,
}

/// Calls in progress and recent calls.
#[derive(Clone, Debug, Default)]
pub struct Fetches {
    config: CallState,
    lists: CallState,
    /// Revisions of the local lists, and since when peers have had newer ones.
    lists_known: (Revision, Revision),
    behind_since: Option<Timestamp>,
}

#[derive(Clone, Debug, Default)]
struct CallState {
    in_progress: bool,
    started: HashMap<SocketAddr, Timestamp>,
    backoff_until: Timestamp,
    /// Since when other zones have had something newer than these versions.
    newer_in_others: Option<(Versions, Timestamp)>,
}

impl Fetches {
    /// Should a gateway that reaches the store itself fetch the lists of a peer with the versions
    /// `theirs`? Not while the store's own update may still arrive.
    pub fn is_behind(&mut self, now: Timestamp, own: Versions, theirs: Versions) -> bool {
        let lists = (own.roster, own.fleet);
        if self.lists_known != lists {
            (self.lists_known, self.behind_since) = (lists, None);
        }
        if !own.is_older(FetchKind::Lists, theirs) {
            return false;
        }
        now.since(*self.behind_since.get_or_insert(now)) >= STORE_WAIT
    }

    /// May a gateway with `ahead` higher-ranked ones in its zone fetch from a peer of another zone
    /// that has something newer than `own`?
    pub fn may_cross_zones(
        &mut self,
        now: Timestamp,
        part: FetchKind,
        own: Versions,
        ahead: usize,
    ) -> bool {
        let known = &mut self.calls(part).newer_in_others;
        let since = match known {
            Some((versions, since)) if *versions == own => *since,
            _ => known.insert((own, now)).1,
        };
        now.since(since) >= CROSS_ZONE_STEP * ahead.min(CROSS_ZONE_STEPS_MAX) as u32
    }

    /// Records a call to this peer and returns true, unless none may be made now.
    pub fn begin(&mut self, now: Timestamp, part: FetchKind, from: SocketAddr) -> bool {
        let calls = self.calls(part);
        calls.started.retain(|_, at| now.since(*at) <= PEER_INTERVAL);
        if calls.in_progress || now < calls.backoff_until || calls.started.contains_key(&from) {
            return false;
        }
        calls.started.insert(from, now);
        calls.in_progress = true;
        true
    }

    /// Records the end of a call; `got` when it returned something newer.
    pub fn end(&mut self, now: Timestamp, part: FetchKind, got: bool) {
        let calls = self.calls(part);
        calls.in_progress = false;
        if !got {
            calls.backoff_until = now.after(BACKOFF);
        }
    }

    fn calls(&mut self, part: FetchKind) -> &mut CallState {
        match part {
            FetchKind::Config => &mut self.config,
            FetchKind::Lists => &mut self.lists,
        }
    }
}
