//! How a gateway joins the fleet, and how the registration of one that is gone is removed.
//!
//! A registration has no lease: it costs one write when a VM is new and nothing while it lives, and
//! it outlives a restart and an outage of the store. A gateway that starts reads the registrations
//! near its own, which tell it whom to ask for lists and how it ranks in its zone. If its own is
//! missing, it writes it and reads again: a list without it is too old to rank by, and a fleet that
//! starts for the first time would follow the store as a whole. Zone leaders remove the
//! registrations of gateways that have been silent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::fleet::{Fleet, Gateway, by_rank};
use crate::revision::Revision;
use crate::zone_leader::LEADERS_PER_ZONE;

/// Longest time, from the first list on, to wait for one with the own registration. After it the
/// gateway ranks by what it knows, as one that hears of no zone leader.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between the own write and the next read of the list. VMs of a fleet start within 0.3 s of
/// each other, and by then all of them have written theirs.
pub const RELIST_PAUSE: Duration = Duration::from_millis(600);
/// First pause after a failed call; doubled with each further one.
const RETRY_MIN: Duration = Duration::from_millis(60);
/// Longest pause after a failed call: a fleet that lost all its processes notices the store's
/// return within it.
const RETRY_MAX: Duration = Duration::from_secs(1);
/// Peers drawn at random among those that are asked for lists; zone leaders are asked after them.
const RANDOM_PEERS: usize = 2;
/// Time without a message after which the registration of a gateway of the same scope is removed:
/// a restart takes less.
pub const SILENCE_MAX: Duration = Duration::from_secs(10);
/// The same for gateways of other zones, of which only summaries are received. Their own zone
/// leaders come first; a zone that was lost as a whole has none.
pub const ZONE_SILENCE_MAX: Duration = Duration::from_secs(60);
/// Longest time between two observations. After a longer one this process was suspended, and has
/// received nothing for that reason.
const OBSERVATION_GAP_MAX: Duration = Duration::from_secs(3);

/// What a joining gateway does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JoinStep {
    /// Read the registrations near its own.
    List,
    /// Write its own registration.
    Register,
    /// Nothing before this time, unless it receives lists.
    Wait(Timestamp),
    /// It has joined: its rank may be decided.
    Joined,
}

/// Progress of a gateway that has just started.
#[derive(Clone, Copy, Debug)]
pub struct Joining {
    /// When it joins without a list that contains it; known once a first list was read.
    deadline: Option<Timestamp>,
    /// Its registration was found in the store, or written.
    registered: bool,
    /// A list contained its registration.
    listed: bool,
    next_call: Timestamp,
    failures: u32,
}

impl Joining {
    /// Begins to join.
    pub fn new(now: Timestamp) -> Self {
        Joining { deadline: None, registered: false, listed: false, next_call: now, failures: 0 }
    }

    /// Records a list; `current` when it contains this gateway's registration as it should be.
    pub fn on_list(&mut self, now: Timestamp, current: bool) {
        self.failures = 0;
        self.deadline.get_or_insert(now.after(JOIN_TIMEOUT));
        if self.registered && !current {
            self.next_call = now.after(RELIST_PAUSE);
        }
        self.listed = current;
        self.registered |= current;
    }

    /// Records that the registration was written; `draw` is uniform in 0..1.
    pub fn on_registered(&mut self, now: Timestamp, draw: f64) {
        self.failures = 0;
        self.registered = true;
        self.next_call = now.after(RELIST_PAUSE.mul_f64(1.0 + 0.5 * draw));
    }

    /// Records a failed call; `draw` is uniform in 0..1.
    pub fn on_failure(&mut self, now: Timestamp, draw: f64) {
        self.next_call = now.after(retry_pause(self.failures).mul_f64(0.5 + draw));
        self.failures += 1;
    }

    /// Decides the next step; `complete` when peers or the store have given all lists, `current`
    /// when the gateway list among them contains this gateway.
    pub fn step(&self, now: Timestamp, complete: bool, current: bool) -> JoinStep {
        let is_over = self.deadline.is_some_and(|deadline| now >= deadline);
        if self.listed || is_over || complete && current {
            return JoinStep::Joined;
        }
        if now < self.next_call {
            return JoinStep::Wait(self.next_call);
        }
        let was_read = self.deadline.is_some();
        match was_read && !self.registered {
            true => JoinStep::Register,
            false => JoinStep::List,
        }
    }
}

/// Pause after so many failed calls in a row.
pub fn retry_pause(failures: u32) -> Duration {
    (RETRY_MIN * 2_u32.pow(failures.min(6))).min(RETRY_MAX)
}

/// Must a gateway write its registration (again)? `seen_at` is the store's revision as of which it
/// was last known to be registered as `own`; a list that is not newer proves nothing.
pub fn must_register(fleet: &Fleet, name: &str, own: &Gateway, seen_at: Option<Revision>) -> bool {
    let is_newer = seen_at.is_none_or(|revision| fleet.revision() > revision);
    is_newer && fleet.registration(name) != Some(own)
}

/// Peers that a joining gateway asks for lists, in this order: some of its zone at random, so that
/// those who answer differ, then its zone leaders. `draw` is uniform in 0..1.
pub fn peers_to_ask(
    fleet: &Fleet,
    name: &str,
    zone: &str,
    mut draw: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
    let others = || fleet.all().iter().filter(|(n, _)| *n != name);
    let in_zone = others().any(|(_, g)| g.zone == zone);
    let usable = others().filter(|(_, g)| !in_zone || g.zone == zone);
    let mut drawn: Vec<(f64, &String, &Gateway)> = usable.map(|(n, g)| (draw(), n, g)).collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    let random: Vec<SocketAddr> = drawn.iter().take(RANDOM_PEERS).map(|(_, _, g)| g.addr).collect();
    drawn.sort_by(|a, b| by_rank((a.1, a.2), (b.1, b.2)));
    let leaders = drawn.iter().take(LEADERS_PER_ZONE).map(|(_, _, g)| g.addr);
    let leaders: Vec<SocketAddr> = leaders.filter(|addr| !random.contains(addr)).collect();
    random.into_iter().chain(leaders).collect()
}

/// Since when registered gateways have been silent, as observed by one zone leader.
#[derive(Clone, Debug, Default)]
pub struct SilenceTracker {
    silent_since: BTreeMap<String, Timestamp>,
    observed_at: Timestamp,
}

impl SilenceTracker {
    /// Records which registered gateways are `silent` now, each with the longest silence of one
    /// that is alive, and returns those whose registration should be removed.
    pub fn observe<'a>(
        &mut self,
        now: Timestamp,
        silent: impl Iterator<Item = (&'a str, Duration)>,
    ) -> Vec<String> {
        if now.since(self.observed_at) > OBSERVATION_GAP_MAX {
            self.silent_since.clear();
        }
        self.observed_at = now;
        let mut gone = Vec::new();
        let mut names = BTreeSet::new();
        for (name, limit) in silent {
            names.insert(name);
            let since = *self.silent_since.entry(name.to_owned()).or_insert(now);
            if now.since(since) >= limit {
                gone.push(name.to_owned());
            }
        }
        self.silent_since.retain(|name, _| names.contains(name.as_str()));
        gone
    }

    /// Starts over for gateways whose removal was requested, so that each is removed once.
    pub fn on_removed(&mut self, now: Timestamp, names: &[String]) {
        for name in names {
            self.silent_since.insert(name.clone(), now);
        }
    }
}
