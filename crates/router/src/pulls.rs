//! What is fetched from which peer, and when.
//!
//! Peers tell the versions of what they know; what is newer there is asked for by a call. A configuration
//! may take seconds over a slow link and has a bound of seconds, while news of backend servers that leave is
//! small and can't wait: each of both has a call of its own, and one at a time, so that the same
//! configuration does not come from several peers at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Shortest time between two calls to one peer for the same part, so that one which is a step ahead all the
/// time is not asked at each of its messages.
const GAP: Duration = Duration::from_millis(150);
/// Shortest time until a part is asked for again after a peer had nothing to give: another one may.
const REST: Duration = Duration::from_millis(50);

/// How long a gateway that hears the store waits for its own answer when peers know newer lists: it gathers
/// changes for 0.15 s, and a slow store answers within 0.3.
const OWN_ANSWER: Duration = Duration::from_millis(500);

/// Versions of what a gateway knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// Version of the configuration.
    pub config: u64,
    /// Revision of the list of backend servers.
    pub roster: u64,
    /// Revision of the list of gateways.
    pub fleet: u64,
}

impl Versions {
    /// Nothing is newer than this.
    const ALL: Versions = Versions { config: u64::MAX, roster: u64::MAX, fleet: u64::MAX };

    /// As told to a peer that is asked for a part only: of the others everything is known.
    pub fn asking(self, part: Part) -> Versions {
        match part {
            Part::Config => Versions { config: self.config, ..Versions::ALL },
            Part::Lists => Versions { config: u64::MAX, ..self },
        }
    }

    /// Is a part newer at a peer that knows `theirs`?
    pub fn lacks(self, part: Part, theirs: Versions) -> bool {
        match part {
            Part::Config => theirs.config > self.config,
            Part::Lists => theirs.roster > self.roster || theirs.fleet > self.fleet,
        }
    }
}

/// What is fetched by one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The configuration.
    Config,
    /// The lists of backend servers and of gateways.
    Lists,
}

/// Calls that are under way or were lately.
#[derive(Clone, Debug, Default)]
pub struct Pulls {
    config: Calls,
    lists: Calls,
    /// Revisions of the lists that are known here, and since when peers know newer ones.
    lists_known: (u64, u64),
    behind_since: Option<Timestamp>,
}

#[derive(Clone, Debug, Default)]
struct Calls {
    under_way: bool,
    begun: HashMap<SocketAddr, Timestamp>,
    rests_until: Timestamp,
}

impl Pulls {
    /// Should the lists of a peer that knows `theirs` be fetched by a gateway that hears the store itself?
    /// Not for as long as its own answer from there may be on the way.
    pub fn is_behind(&mut self, now: Timestamp, own: Versions, theirs: Versions) -> bool {
        let lists = (own.roster, own.fleet);
        if self.lists_known != lists {
            (self.lists_known, self.behind_since) = (lists, None);
        }
        if !own.lacks(Part::Lists, theirs) {
            return false;
        }
        now.since(*self.behind_since.get_or_insert(now)) >= OWN_ANSWER
    }

    /// May this peer be asked for the part now? Notes that it is.
    pub fn begin(&mut self, now: Timestamp, part: Part, from: SocketAddr) -> bool {
        let calls = self.calls(part);
        calls.begun.retain(|_, at| now.since(*at) <= GAP);
        if calls.under_way || now < calls.rests_until || calls.begun.contains_key(&from) {
            return false;
        }
        calls.begun.insert(from, now);
        calls.under_way = true;
        true
    }

    /// The call for the part has ended; `got` when it brought something.
    pub fn end(&mut self, now: Timestamp, part: Part, got: bool) {
        let calls = self.calls(part);
        calls.under_way = false;
        if !got {
            calls.rests_until = now.after(REST);
        }
    }

    fn calls(&mut self, part: Part) -> &mut Calls {
        match part {
            Part::Config => &mut self.config,
            Part::Lists => &mut self.lists,
        }
    }
}
