//! Which gateways follow the store and which hear of it from those.
//!
//! Answers the load that a fleet of hundreds is for the store: each follower costs it one to three calls
//! a second, all for the same news. Two gateways of each availability zone follow it, the delegates; the
//! others hear from them that there is something new and fetch it there. Nobody is elected: each gateway
//! follows the store unless it hears from two that go before it and follow it well. So a zone whose
//! delegates are lost, frozen or turned away has new ones as soon as that is noticed, and a gateway that
//! hears from nobody follows the store itself.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Delegates of an availability zone: one may be lost, or cut from the store without noticing yet,
/// while the other one passes news on.
pub const PER_ZONE: usize = 2;
/// How long a delegate counts without a message: it tells something three times in that time, and the
/// shortest bound in which a change must be in force is twice as long.
pub const SILENT: Duration = Duration::from_millis(1_000);
/// How long a gateway that had to follow the store goes on when it has not: delegates that come and go
/// then cost a few calls, not a list each.
pub const KEEP: Duration = Duration::from_millis(1_500);

/// How much longer each gateway waits than the one before it until it takes a delegate's place: one that
/// begins tells the others within two such steps, so that a zone does not list the store all at once.
pub const STEP: Duration = Duration::from_millis(100);
/// Most steps; the last gateway of a zone that lost all before it follows the store a second later.
pub const STEPS_MAX: u32 = 10;

/// How a gateway hears of the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Link {
    /// From delegates.
    #[default]
    Indirect,
    /// It follows the store and hears it.
    Heard {
        /// Milliseconds until a missing registration means that the backend server is gone.
        settles: u32,
        /// Milliseconds since its list of backend servers was known to hold.
        #[serde(default)]
        age: u32,
    },
    /// It follows the store and does not reach it.
    Away,
}

/// The part that one gateway has in following the store.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    follows: bool,
    /// Nobody that goes before it hears the store.
    leads: bool,
    /// When two delegates were last missed, while it follows.
    needed_at: Timestamp,
    /// Since when two are missed, while it does not.
    missed_since: Option<Timestamp>,
}

impl Role {
    /// A gateway that starts knows nobody: it follows the store.
    pub fn new(now: Timestamp) -> Self {
        Role { follows: true, leads: true, needed_at: now, missed_since: None }
    }

    /// Judges anew: `heard` delegates of the `ahead` gateways that go before this one hear the store.
    pub fn judge(&mut self, now: Timestamp, ahead: usize, heard: usize) {
        self.leads = self.follows && heard == 0;
        if heard >= PER_ZONE {
            self.missed_since = None;
            self.follows &= now.since(self.needed_at) <= KEEP;
            return;
        }
        let since = *self.missed_since.get_or_insert(now);
        let steps = (ahead + 1).saturating_sub(PER_ZONE).min(STEPS_MAX as usize);
        if self.follows || now.since(since) >= STEP * steps as u32 {
            self.follows = true;
            self.leads = heard == 0;
            self.needed_at = now;
        }
    }

    /// Is this the delegate from whom its zone hears first? The other ones follow the store in case that
    /// this one is cut from it without noticing.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Does this gateway follow the store?
    pub fn follows(&self) -> bool {
        self.follows
    }
}
