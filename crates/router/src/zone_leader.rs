//! Decides which gateways follow the store; the others get its changes from those.
//!
//! Each gateway that follows the store costs it one to three calls a second for the same changes,
//! too much for a fleet of hundreds. So only two gateways per availability zone follow it, the zone
//! leaders, or two in all where zones decide together; they announce changes to the others, which
//! fetch them there. There is no election: a gateway follows the store unless two higher-ranked
//! ones report that they reach it. So a zone whose leaders crash, hang or lose the store gets new
//! ones as soon as this is noticed, and a gateway that hears from no leader follows the store
//! itself.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::node::Bounds;

/// Zone leaders per availability zone. With two, changes still arrive when one leader is lost or
/// cut off from the store without having noticed yet.
pub const LEADERS_PER_ZONE: usize = 2;
/// Time without a message after which a zone leader no longer counts. A leader sends three messages
/// in this time, and the shortest bound for a change to take effect is twice as long.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a gateway keeps following the store after two higher-ranked leaders are back. Leaders
/// that come and go then cost a few calls rather than a full list each time.
pub const STEP_DOWN_DELAY: Duration = Duration::from_millis(1_500);

/// How much later than one gateway another can join that registered at the same start: its VM started later,
/// drew a longer pause, and notices that it is a leader.
pub const JOIN_SPREAD: Duration = Duration::from_millis(750);
/// How much longer each gateway waits than the next higher-ranked one before it replaces a missing
/// leader. A new leader is known to the others within two steps, so a zone does not list the store
/// all at once.
pub const TAKEOVER_STEP: Duration = Duration::from_millis(100);
/// Highest number of steps: when a zone loses all its leaders, its lowest-ranked gateway follows
/// the store after one second.
pub const TAKEOVER_STEPS_MAX: u32 = 10;
/// Higher-ranked gateways that find the store unreachable, up to which this is no reason to wait: it
/// rejects at most some of the VMs, and one of so many others reaches it then.
pub const TRIED_MAX: usize = 8;
/// How much longer each gateway waits than the next higher-ranked one when more have tried. In an
/// outage of the store a zone calls it as some ten gateways do, whatever its size, and all its VMs
/// try in turn.
pub const TRIED_STEP: Duration = Duration::from_secs(1);

/// Delay between an answer with changes and the next watch, so that changes which come together are
/// fetched by one call, as a fraction of the shortest time in which a change must take effect.
const BATCH_FRACTION: f64 = 0.1;
/// The same for a leader that is not the first one. It gets changes from the first one and follows
/// the store only in case that the first one is cut from it, when changes arrive that much later.
const STANDBY_BATCH_FRACTION: f64 = 0.25;

/// How a gateway learns of changes in the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreLink {
    /// Through zone leaders.
    #[default]
    Indirect,
    /// It follows the store and reaches it.
    Heard {
        /// Milliseconds until a missing registration means that the backend server is gone.
        settles: u32,
        /// Milliseconds since its list of backend servers was last known to be complete.
        #[serde(default)]
        age: u32,
    },
    /// It follows the store but can't reach it.
    Away,
}

/// Gateways that rank above one, by what they report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HigherRanked {
    /// All of them.
    pub count: usize,
    /// Those that follow the store and reach it.
    pub connected: usize,
    /// Those that follow the store and can't reach it.
    pub away: usize,
}

/// Whether one gateway follows the store as a zone leader.
#[derive(Clone, Copy, Debug)]
pub struct LeaderState {
    follows: bool,
    /// No higher-ranked gateway reaches the store.
    is_primary: bool,
    /// While following: the last time at which fewer than two higher-ranked leaders reached the
    /// store.
    last_needed: Timestamp,
    /// While not following: since when fewer than two higher-ranked leaders reach the store.
    missed_since: Option<Timestamp>,
}

impl LeaderState {
    /// State before the rank is known: it does not follow the store.
    pub fn unranked() -> Self {
        LeaderState {
            follows: false,
            is_primary: false,
            last_needed: Timestamp::default(),
            missed_since: None,
        }
    }

    /// First state of a gateway below `higher_ranked` others of its zone: it follows the store at
    /// once if it is to be a leader, and else gives those time to report.
    pub fn new(now: Timestamp, higher_ranked: usize) -> Self {
        let follows = higher_ranked < LEADERS_PER_ZONE;
        LeaderState { follows, is_primary: follows, last_needed: now, missed_since: None }
    }

    /// The same for a gateway that has just registered, with others that may rank higher but have yet
    /// to join: no leader is missing before they can have.
    pub fn registered(now: Timestamp, higher_ranked: usize) -> Self {
        let state = LeaderState::new(now, higher_ranked);
        LeaderState { missed_since: Some(now.after(JOIN_SPREAD)), ..state }
    }

    /// Decides again whether to follow the store, by what higher-ranked gateways report.
    pub fn update(&mut self, now: Timestamp, higher_ranked: HigherRanked) {
        let HigherRanked { count, connected, away } = higher_ranked;
        self.is_primary = self.follows && connected == 0;
        if connected >= LEADERS_PER_ZONE {
            self.missed_since = None;
            self.follows &= now.since(self.last_needed) <= STEP_DOWN_DELAY;
            return;
        }
        let since = *self.missed_since.get_or_insert(now);
        if self.follows && away > TRIED_MAX {
            self.follows = now.since(self.last_needed) <= STEP_DOWN_DELAY;
            self.is_primary &= self.follows;
            if !self.follows {
                self.missed_since = Some(now);
            }
            return;
        }
        let steps =
            (count + 1).saturating_sub(LEADERS_PER_ZONE).min(TAKEOVER_STEPS_MAX as usize) as u32;
        let turns = if away > TRIED_MAX { count.saturating_sub(TRIED_MAX) as u32 } else { 0 };
        if self.follows || now.since(since) >= TAKEOVER_STEP * steps + TRIED_STEP * turns {
            self.follows = true;
            self.is_primary = connected == 0;
            self.last_needed = now;
        }
    }

    /// Is this the zone's primary leader? The other leaders follow the store in case the primary is
    /// cut off without noticing.
    pub fn leads(&self) -> bool {
        self.is_primary
    }

    /// How long changes are gathered before the next watch.
    pub fn batch_delay(&self, bounds: &Bounds) -> Duration {
        let fraction = if self.is_primary { BATCH_FRACTION } else { STANDBY_BATCH_FRACTION };
        bounds.shortest().mul_f64(fraction)
    }

    /// Does this gateway follow the store?
    pub fn follows(&self) -> bool {
        self.follows
    }
}
