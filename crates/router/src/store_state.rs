//! Tracks whether the store is reachable and whether its registrations can be trusted.
//!
//! A registration lapses when its server could not renew it for three heartbeat intervals, as in an outage
//! of the store. The server registers again within about two seconds of the store's return, so a
//! registration that is missing before then may have lapsed. One that vanishes at any other time was
//! removed by its owner.
//!
//! A failed call alone is no outage: a watch may be cut at any time, and the store may reject some VMs
//! while it serves the others. What counts is how long calls of this gateway were not answered. Peers that
//! can't reach the store tell nothing of the servers' access to it, unless it fails this gateway as well.
//!
//! A gateway that has just started knows of no silence before its start. Until lapsed servers have had time to
//! register again, or a peer vouches for the store, it does not tell others that a missing one is gone.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::node::DEFAULT_HEARTBEAT;
use crate::zone_leader::StoreLink;

/// How long after the store's return a missing backend server may still register again. The
/// platform states about two seconds; a tenth is added for the transfer of the change.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);
/// Heartbeat intervals without a renewal after which a registration lapses.
const LAPSE_INTERVALS: f64 = 3.0;
/// Longest time between two renewals, in heartbeat intervals: servers keep the interval approximately.
const RENEWAL_INTERVALS: f64 = 1.1;
/// Silence of the store, in heartbeat intervals, below which at most one renewal of a server can fail.
const BRIEF_INTERVALS: f64 = 0.25;
/// How long before the drain timeout a gateway stops sending: requests are on their way, and servers are
/// removed in rounds.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Reachability of the store and age of the list of backend servers.
#[derive(Clone, Copy, Debug)]
pub struct StoreState {
    heartbeat: Duration,
    unreachable_since: Option<Timestamp>,
    /// Only peers have reported so.
    by_report: bool,
    /// Neither the store nor a peer that reaches it was heard since this process started beside others.
    is_starting: bool,
    /// When this process started, if that was later than the whole system; its first list may be as old.
    started_at: Timestamp,
    /// Start and end of the last silence; silences with no time for a renewal between them are one.
    silent_from: Timestamp,
    silent_until: Timestamp,
    trusted_at: Timestamp,
    /// Until when registrations that a copy of the store lacks may be written again.
    restored_until: Timestamp,
    /// As of when the list of backend servers is known to be complete.
    known_at: Timestamp,
    /// When the last answer was read; what it says may be older.
    heard_at: Timestamp,
}

impl Default for StoreState {
    fn default() -> Self {
        StoreState::new(DEFAULT_HEARTBEAT)
    }
}

impl StoreState {
    /// State at the first start of the whole system, where servers renew their registrations each
    /// `heartbeat`: none can have lapsed.
    pub fn new(heartbeat: Duration) -> Self {
        let never = Timestamp::default();
        StoreState {
            heartbeat,
            unreachable_since: None,
            by_report: false,
            is_starting: false,
            started_at: never,
            silent_from: never,
            silent_until: never,
            trusted_at: never,
            restored_until: never,
            known_at: never,
            heard_at: never,
        }
    }

    /// State of a process that starts at any later time: the store may have been silent until `now`.
    pub fn restarted(heartbeat: Duration, now: Timestamp) -> Self {
        StoreState { is_starting: true, started_at: now, ..StoreState::new(heartbeat) }
    }

    /// Sets the interval at which servers renew their registrations.
    pub fn set_heartbeat(&mut self, heartbeat: Duration) {
        self.heartbeat = heartbeat;
    }

    /// Records an answer that the store gave at `at`, before its content is applied: whether removals in it
    /// are trusted depends on how long the store was silent before. True when it was unreachable.
    pub fn on_reached(&mut self, now: Timestamp, at: Timestamp) -> bool {
        let returned = self.is_away();
        let may_lapse = self.end_silence(at).is_some_and(|since| self.can_lapse_within(since, at));
        if std::mem::take(&mut self.is_starting) || may_lapse {
            self.trusted_at = self.trusted_at.max(now.after(REREGISTRATION_TIME));
        }
        returned
    }

    /// Records that the store came back from an older copy: registrations that it lacks are written again.
    pub fn on_restored(&mut self, now: Timestamp) {
        self.restored_until = now.after(REREGISTRATION_TIME);
        self.trusted_at = self.trusted_at.max(self.restored_until);
    }

    /// Records a failed call: `since` it was cut off or rejected, or since it was sent if it was not
    /// answered in time. True when the store counted as reachable before.
    pub fn on_failure(&mut self, since: Timestamp) -> bool {
        let was_reachable = self.unreachable_since.is_none();
        // Confirms what peers reported: the store has been silent since they last reached it.
        let since = if self.by_report { self.known_at.min(since) } else { since };
        self.by_report = false;
        self.unreachable_since = Some(self.unreachable_since.map_or(since, |s| s.min(since)));
        was_reachable
    }

    /// Adopts the state of the store that a peer reports, on a gateway that does not follow the
    /// store; true when the store became reachable or unreachable.
    pub fn adopt(&mut self, now: Timestamp, link: StoreLink) -> bool {
        let before = self.is_away();
        match link {
            StoreLink::Indirect => {}
            StoreLink::Away if before => {}
            StoreLink::Away => {
                self.unreachable_since = Some(now);
                self.by_report = true;
            }
            StoreLink::Heard { settles, .. } => {
                self.end_silence(now);
                self.is_starting = false;
                self.trusted_at = now.after(Duration::from_millis(settles.into()));
            }
        }
        self.is_away() != before
    }

    /// The list of backend servers is known to contain every change up to `at`.
    pub fn known(&mut self, at: Timestamp) {
        self.known_at = self.known_at.max(at);
        self.heard(at);
    }

    /// An answer of the store was read at `at`.
    pub fn heard(&mut self, at: Timestamp) {
        self.heard_at = self.heard_at.max(at);
    }

    /// Returns when the last answer of the store was read.
    pub fn heard_at(&self) -> Timestamp {
        self.heard_at
    }

    /// Returns what this gateway reports to its peers of the store. After `silence` without an
    /// answer it reports the store as unreachable, even while a call is pending, since its list no
    /// longer helps them.
    pub fn link(&self, now: Timestamp, silence: Duration) -> StoreLink {
        if self.is_away() || now.since(self.heard_at) > silence {
            return StoreLink::Away;
        }
        let age = now.since(self.known_at);
        let settles = self.trusted_at.since(now).as_millis() as u32;
        StoreLink::Heard { settles, age: age.as_millis() as u32 }
    }

    /// Returns the time as of which the list of backend servers is known to be complete.
    pub fn known_at(&self) -> Timestamp {
        self.known_at
    }

    /// Was the store never reached, or is it unreachable now?
    pub fn is_unconfirmed(&self) -> bool {
        self.is_away() || self.known_at == Timestamp::default()
    }

    /// Is the store unreachable, as far as this gateway knows?
    pub fn is_away(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Returns since when the store has been unreachable, as far as this gateway knows.
    pub fn unreachable_since(&self) -> Option<Timestamp> {
        self.unreachable_since
    }

    /// Does a missing registration mean that the backend server is gone?
    pub fn is_trusted(&self, now: Timestamp) -> bool {
        self.unreachable_since.is_none() && !self.is_starting && now >= self.trusted_at
    }

    /// Returns until when a server may be kept whose registration has just vanished while it is not
    /// known whether it lapsed; `None` if it may have vanished at any time of a silence. The list was
    /// complete with it at `known_at`, or read after the start, so the server left later than that.
    pub fn kept_until(&self, now: Timestamp, drain: Duration) -> Option<Timestamp> {
        let is_silent = self.unreachable_since.is_some_and(|since| !self.is_brief(since, now));
        let listed_at = self.known_at.max(self.started_at);
        let was_silent = listed_at < self.silent_until || listed_at == Timestamp::default();
        if is_silent || was_silent || now < self.restored_until {
            return None;
        }
        Some(listed_at.after(drain).before(DRAIN_MARGIN))
    }

    /// Ends a silence of the store and returns its start; `None` if there was none that matters.
    fn end_silence(&mut self, at: Timestamp) -> Option<Timestamp> {
        self.by_report = false;
        let since = self.unreachable_since.take().filter(|since| !self.is_brief(*since, at))?;
        let renewal = self.heartbeat.mul_f64(RENEWAL_INTERVALS);
        if since.since(self.silent_until) >= renewal {
            self.silent_from = since;
        }
        self.silent_until = at;
        Some(self.silent_from)
    }

    /// Can a registration lapse because its server could not renew it between these times?
    fn can_lapse_within(&self, since: Timestamp, at: Timestamp) -> bool {
        at.since(since) >= self.heartbeat.mul_f64(LAPSE_INTERVALS - RENEWAL_INTERVALS)
    }

    /// Is a silence between these times too short to matter to renewals?
    fn is_brief(&self, since: Timestamp, at: Timestamp) -> bool {
        at.since(since) < self.heartbeat.mul_f64(BRIEF_INTERVALS)
    }
}
