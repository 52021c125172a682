//! Quarantine of requests that crash backend servers.
//!
//! A request that crashes every server which runs it is repeated by its caller, with another id and at any
//! gateway. Its history is therefore kept by request digest and shared by all gateways. A crash is recorded
//! as a fact (this digest, this incarnation of a server), so that all gateways count the same crashes, and
//! each only once. A request under which several servers crashed is refused at all gateways until a deadline.
//!
//! A crashing server takes all its requests down. One that had run for a while is hardly the cause. One that
//! had just started is a suspect: one gateway at a time sends it again as a probe, and one complete answer
//! clears it. Where two suspects have several crashes in common, either may be the cause, and these count less
//! for both. A crash that a confirmed request explains does not count for one that has had only few.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::catalog::ServerId;
use crate::divergence::mix;
use crate::request_digest::RequestDigest;

/// Points at which a request is refused: three crashes soon after its start, or five later ones.
pub const CONFIRM_POINTS: u32 = 5;
/// Points of a crash soon after the start of the request.
const EARLY_POINTS: u32 = 2;
/// Points of a later crash, or of one that another suspect may have caused.
const LATE_POINTS: u32 = 1;
/// Early crashes that two requests must have in common to be disputed: one alone is a coincidence wherever a
/// server runs many requests.
const DISPUTED_MIN: usize = 2;
/// From this many crashes on, a confirmed request no longer explains any of them: another one may crash the same
/// servers.
const EXPLAINED_BELOW: usize = 4;
/// How long a crash counts: longer than callers repeat a request, and short enough to forget a busy day.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// How long a confirmed request is refused; by then an operator has looked at it, or no caller sends it any
/// more.
pub const CONFIRMED_TTL: Duration = Duration::from_secs(3_600);
/// How long a probe of a suspect excludes other gateways if no result of it is received.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long a request is held back while one of its lost attempts is investigated.
pub const INVESTIGATION_HOLD: Duration = Duration::from_millis(600);
/// Most unconfirmed digests kept; with one or two crashes each they take less than 2 MB.
pub const SUSPECTS_MAX: usize = 8_192;
/// Most confirmed digests kept; a flood of suspects does not evict them.
pub const CONFIRMED_MAX: usize = 4_096;
/// How long a complete answer counts as evidence that a request is healthy: a request that many callers send
/// is in flight at any server that crashes, and no answer to it is complete while servers crash one after the
/// other.
pub const HEALTHY_TTL: Duration = Duration::from_secs(60);
/// Most healthy digests kept.
const HEALTHY_MAX: usize = 16_384;
/// Most healthy digests in one exchange between gateways; they take less than 32 KB.
const HEALTHY_SHARED_MAX: usize = 1_024;
/// New rows between two checks of the table size.
const CHECK_ROWS: usize = 512;
/// Most probes and investigations kept per digest; there are never more at a time.
const HOLDS_MAX: usize = 16;
/// Most crashes kept per digest; further ones change nothing.
const CRASHES_MAX: usize = CONFIRM_POINTS as usize;

/// A crash of a server while it ran a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The incarnation that crashed.
    pub server: ServerId,
    /// The request had only just started.
    pub early: bool,
    /// When the attempt was lost.
    pub at: Timestamp,
}

impl Crash {
    fn points(&self) -> u32 {
        if self.early { EARLY_POINTS } else { LATE_POINTS }
    }
}

/// Update about a request digest, exchanged between gateways.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuarantineUpdate {
    /// Digest of the request.
    #[serde(rename = "c")]
    pub digest: RequestDigest,
    /// Age of the fact in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// The fact.
    #[serde(rename = "f")]
    pub fact: Fact,
}

/// Event in the history of a request digest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// An attempt was lost soon after its start and is investigated under this number.
    #[serde(rename = "l")]
    Lost(u64),
    /// A suspect is probed, under this number.
    #[serde(rename = "t")]
    Trying(u64),
    /// The probe or investigation with this number has ended.
    #[serde(rename = "o")]
    Over(u64),
    /// A server crashed under the request; true if soon after its start.
    #[serde(rename = "e")]
    Ended(ServerId, bool),
    /// The request was answered completely.
    #[serde(rename = "s")]
    Served,
    /// The request is confirmed to crash servers.
    #[serde(rename = "p")]
    Proved,
    /// An operator released the request.
    #[serde(rename = "r")]
    Released,
}

/// Report to another gateway that a request was answered completely more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct HealthReport {
    /// Digest of the request.
    #[serde(rename = "c")]
    pub digest: RequestDigest,
    /// Age of the last complete answer in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineState {
    /// Sent like any other.
    Free,
    /// To be sent as a probe, by one gateway at a time.
    Suspect,
    /// Being probed or investigated, at most until then.
    Held(Timestamp),
    /// Refused until then.
    Confirmed(Timestamp),
}

/// Effect of a fact.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No change of treatment.
    Nothing,
    /// The request became a suspect, or has more points than before.
    Suspected,
    /// The request is confirmed.
    Confirmed,
    /// The request is neither suspect nor confirmed any more.
    Cleared,
}

#[derive(Clone, Debug, Default)]
struct Row {
    crashes: Vec<Crash>,
    confirmed_at: Option<Timestamp>,
    /// Crashes up to then don't count, since the request was answered completely.
    served_at: Timestamp,
    /// Crashes and confirmations up to then don't count, since an operator released the request.
    released_at: Timestamp,
    /// Numbers of running probes and investigations, each with the time at which it expires.
    holds: Vec<(u64, Timestamp)>,
}

impl Row {
    fn points(&self) -> u32 {
        self.crashes.iter().map(Crash::points).sum()
    }

    /// Whether the request crashed this server soon after its start.
    fn has_early_crash(&self, server: &ServerId) -> bool {
        self.crashes.iter().any(|e| e.early && e.server == *server)
    }

    fn held_until(&self) -> Timestamp {
        self.holds.iter().map(|(_, until)| *until).max().unwrap_or_default()
    }

    fn is_suspect(&self) -> bool {
        self.crashes.iter().any(|e| e.early)
    }

    /// When the row can be dropped.
    fn ends_at(&self) -> Timestamp {
        let confirmed_until =
            self.confirmed_at.map_or(Timestamp::default(), |at| at.after(CONFIRMED_TTL));
        let crashes = self.crashes.iter().map(|e| e.at.after(SUSPECT_TTL)).max();
        let cleared = self.served_at.max(self.released_at);
        // A clearing must outlive the crashes that peers may still report.
        let cleared =
            if cleared > Timestamp::default() { cleared.after(SUSPECT_TTL) } else { cleared };
        confirmed_until.max(crashes.unwrap_or_default()).max(cleared).max(self.held_until())
    }

    fn state(&self, now: Timestamp) -> QuarantineState {
        if let Some(at) = self.confirmed_at
            && at.after(CONFIRMED_TTL) > now
        {
            return QuarantineState::Confirmed(at.after(CONFIRMED_TTL));
        }
        if self.held_until() > now {
            return QuarantineState::Held(self.held_until());
        }
        if self.is_suspect() { QuarantineState::Suspect } else { QuarantineState::Free }
    }
}

/// The complete answers of a request.
#[derive(Clone, Copy, Debug)]
struct Health {
    /// When the last one was received.
    served_at: Timestamp,
    /// Another one came within `HEALTHY_TTL` before it.
    repeated: bool,
}

/// History of all suspect and confirmed requests.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    rows: HashMap<RequestDigest, Row>,
    /// Requests that were answered completely, here or at a peer that said so.
    healthy: HashMap<RequestDigest, Health>,
    /// Row count at which the table size is checked again.
    check_at: usize,
}

impl Quarantine {
    /// How a request is treated.
    pub fn state(&self, now: Timestamp, digest: &RequestDigest) -> QuarantineState {
        self.rows.get(digest).map_or(QuarantineState::Free, |row| row.state(now))
    }

    /// Known crashes under a request.
    pub fn crashes(&self, digest: &RequestDigest) -> &[Crash] {
        self.rows.get(digest).map_or(&[], |row| &row.crashes)
    }

    /// Whether one more crash soon after the start would confirm the request. Other gateways then store it
    /// too.
    pub fn is_nearly_confirmed(&self, digest: &RequestDigest) -> bool {
        let close =
            |row: &Row| row.confirmed_at.is_none() && row.points() + EARLY_POINTS >= CONFIRM_POINTS;
        self.rows.get(digest).is_some_and(close)
    }

    /// Whether there is a history of the request.
    pub fn is_known(&self, digest: &RequestDigest) -> bool {
        self.rows.contains_key(digest)
    }

    /// Records a complete answer at this gateway; true if other gateways need the update.
    pub fn on_served(&mut self, now: Timestamp, digest: RequestDigest) -> bool {
        let repeated = self.is_healthy(now, &digest);
        self.insert_healthy(now, digest, Health { served_at: now, repeated });
        self.is_known(&digest)
    }

    /// Requests that were answered completely more than once, the latest first: for a gateway that has just
    /// started, whose own answers are lost.
    pub fn health_reports(&self, now: Timestamp) -> Vec<HealthReport> {
        let recent = |health: &Health| health.repeated && health.served_at.after(HEALTHY_TTL) > now;
        let mut reports: Vec<HealthReport> = self
            .healthy
            .iter()
            .filter(|(_, health)| recent(health))
            .map(|(digest, health)| {
                let age = now.since(health.served_at).as_millis() as u64;
                HealthReport { digest: *digest, age }
            })
            .collect();
        reports.sort_unstable_by_key(|report| report.age);
        reports.truncate(HEALTHY_SHARED_MAX);
        reports
    }

    /// Applies a report of a peer.
    pub fn on_health_report(&mut self, now: Timestamp, report: &HealthReport) {
        let served_at = now.before(Duration::from_millis(report.age));
        if served_at.after(HEALTHY_TTL) <= now {
            return;
        }
        let own = self.healthy.get(&report.digest).map(|health| health.served_at);
        let served_at = own.map_or(served_at, |own| own.max(served_at));
        self.insert_healthy(now, report.digest, Health { served_at, repeated: true });
    }

    fn insert_healthy(&mut self, now: Timestamp, digest: RequestDigest, health: Health) {
        if self.healthy.len() >= HEALTHY_MAX {
            self.evict_healthy(now);
        }
        self.healthy.insert(digest, health);
    }

    /// Drops healthy digests that have expired, and the older half if that is not enough.
    fn evict_healthy(&mut self, now: Timestamp) {
        self.healthy.retain(|_, health| health.served_at.after(HEALTHY_TTL) > now);
        if self.healthy.len() < HEALTHY_MAX {
            return;
        }
        let mut by_age: Vec<(Timestamp, RequestDigest)> =
            self.healthy.iter().map(|(digest, health)| (health.served_at, *digest)).collect();
        by_age.select_nth_unstable(HEALTHY_MAX / 2);
        for (_, digest) in &by_age[..HEALTHY_MAX / 2] {
            self.healthy.remove(digest);
        }
    }

    /// Whether the request is known to have been answered completely after, or shortly before, the given time.
    pub fn is_healthy(&self, at: Timestamp, digest: &RequestDigest) -> bool {
        self.healthy.get(digest).is_some_and(|health| health.served_at.after(HEALTHY_TTL) > at)
    }

    /// The update that voids a crash reported by a peer, if the request was answered completely at this gateway
    /// shortly before: the peer may have been started since.
    pub fn refutation(
        &self,
        now: Timestamp,
        report: &QuarantineUpdate,
    ) -> Option<QuarantineUpdate> {
        let QuarantineUpdate { digest, age, ref fact } = *report;
        let at = now.before(Duration::from_millis(age));
        let is_refuted = matches!(fact, Fact::Ended(..)) && self.is_healthy(at, &digest);
        is_refuted.then_some(QuarantineUpdate { digest, age, fact: Fact::Served })
    }

    /// Applies an update of this gateway or of a peer.
    pub fn apply(&mut self, now: Timestamp, update: &QuarantineUpdate) -> Change {
        self.apply_all(now, std::slice::from_ref(update)).pop().unwrap_or(Change::Nothing)
    }

    /// Applies updates that were received together, and returns their effects in the same order. Nothing is
    /// confirmed before all of them are applied: each may dispute the crashes of another.
    pub fn apply_all(&mut self, now: Timestamp, updates: &[QuarantineUpdate]) -> Vec<Change> {
        let mut changes: Vec<Change> =
            updates.iter().map(|update| self.apply_unconfirmed(now, update)).collect();
        for (change, update) in changes.iter_mut().zip(updates) {
            if *change == Change::Suspected && self.confirm(&update.digest) {
                *change = Change::Confirmed;
            }
        }
        changes
    }

    fn apply_unconfirmed(&mut self, now: Timestamp, update: &QuarantineUpdate) -> Change {
        let (digest, at) = (update.digest, now.before(Duration::from_millis(update.age)));
        match &update.fact {
            Fact::Lost(number) => self.hold(now, digest, *number, at.after(INVESTIGATION_HOLD)),
            Fact::Trying(number) => self.hold(now, digest, *number, at.after(PROBE_TIMEOUT)),
            Fact::Over(number) => self.release_hold(now, digest, *number),
            Fact::Ended(server, early) => {
                let crash = Crash { server: server.clone(), early: *early, at };
                return self.record_crash(now, digest, crash);
            }
            Fact::Served => return self.record_served(now, digest, at),
            Fact::Proved => return self.record_confirmed(now, digest, at),
            Fact::Released => return self.record_released(digest, at),
        }
        Change::Nothing
    }

    fn hold(&mut self, now: Timestamp, digest: RequestDigest, number: u64, until: Timestamp) {
        let row = self.rows.entry(digest).or_default();
        row.holds.retain(|(_, until)| *until > now);
        if row.holds.len() < HOLDS_MAX && row.holds.iter().all(|(n, _)| *n != number) {
            row.holds.push((number, until));
        }
        self.evict();
    }

    /// Removes only the hold with this number; other investigations may be running.
    fn release_hold(&mut self, now: Timestamp, digest: RequestDigest, number: u64) {
        let Some(row) = self.rows.get_mut(&digest) else {
            return;
        };
        row.holds.retain(|(n, until)| *n != number && *until > now);
    }

    fn record_crash(&mut self, now: Timestamp, digest: RequestDigest, crash: Crash) -> Change {
        if crash.at.after(SUSPECT_TTL) <= now {
            return Change::Nothing;
        }
        let row = self.rows.entry(digest).or_default();
        let known = row.crashes.iter().any(|e| e.server == crash.server);
        let voided = crash.at <= row.served_at.max(row.released_at);
        if known || voided || row.crashes.len() >= CRASHES_MAX {
            return Change::Nothing;
        }
        row.crashes.push(crash);
        self.evict();
        Change::Suspected
    }

    /// Confirms a request that has enough points; true if it was not confirmed before.
    fn confirm(&mut self, digest: &RequestDigest) -> bool {
        let is_due = |row: &&Row| row.confirmed_at.is_none() && row.points() >= CONFIRM_POINTS;
        if self.rows.get(digest).filter(is_due).is_none()
            || self.undisputed_points(digest) < CONFIRM_POINTS
        {
            return false;
        }
        if let Some(row) = self.rows.get_mut(digest) {
            row.confirmed_at = row.crashes.iter().map(|e| e.at).max();
        }
        true
    }

    /// Points of a request, less those of crashes that one other request may have caused as well, and of the first
    /// few that a confirmed one explains. Walks all rows.
    fn undisputed_points(&self, digest: &RequestDigest) -> u32 {
        let Some(row) = self.rows.get(digest) else {
            return 0;
        };
        let others: Vec<&Row> =
            self.rows.iter().filter(|(other, _)| *other != digest).map(|(_, row)| row).collect();
        let is_explained = |crash: &Crash| {
            let mut confirmed = others.iter().filter(|other| other.confirmed_at.is_some());
            confirmed.any(|other| other.has_early_crash(&crash.server))
        };
        let mut crashes: Vec<&Crash> = row.crashes.iter().collect();
        if crashes.len() < EXPLAINED_BELOW {
            crashes.retain(|crash| !crash.early || !is_explained(crash));
        }
        let shared_with = |other: &&Row| {
            let early = crashes.iter().filter(|crash| crash.early);
            early.filter(|crash| other.has_early_crash(&crash.server)).count()
        };
        let shared = others.iter().map(shared_with).max().unwrap_or_default();
        let disputed = if shared >= DISPUTED_MIN { shared as u32 } else { 0 };
        let points: u32 = crashes.iter().map(|crash| crash.points()).sum();
        points - disputed * (EARLY_POINTS - LATE_POINTS)
    }

    /// A confirmed request stays confirmed, since the answer may have begun before. The answer is remembered also
    /// if no crash is known yet: an older one may still be reported.
    fn record_served(&mut self, now: Timestamp, digest: RequestDigest, at: Timestamp) -> Change {
        if at.after(SUSPECT_TTL) <= now {
            return Change::Nothing;
        }
        let row = self.rows.entry(digest).or_default();
        if row.confirmed_at.is_some() {
            return Change::Nothing;
        }
        let before = row.crashes.len();
        row.served_at = row.served_at.max(at);
        row.crashes.retain(|e| e.at > at);
        row.holds.clear();
        let change = if row.crashes.len() < before { Change::Cleared } else { Change::Nothing };
        self.evict();
        change
    }

    fn record_confirmed(&mut self, now: Timestamp, digest: RequestDigest, at: Timestamp) -> Change {
        if at.after(CONFIRMED_TTL) <= now {
            return Change::Nothing;
        }
        let row = self.rows.entry(digest).or_default();
        if at <= row.released_at || row.confirmed_at.is_some_and(|before| before >= at) {
            return Change::Nothing;
        }
        let change = if row.confirmed_at.is_none() { Change::Confirmed } else { Change::Nothing };
        row.confirmed_at = Some(at);
        self.evict();
        change
    }

    fn record_released(&mut self, digest: RequestDigest, at: Timestamp) -> Change {
        let row = self.rows.entry(digest).or_default();
        if at <= row.released_at {
            return Change::Nothing;
        }
        row.released_at = at;
        row.crashes.retain(|e| e.at > at);
        row.holds.clear();
        row.confirmed_at = row.confirmed_at.filter(|confirmed| *confirmed > at);
        if row.confirmed_at.is_none() { Change::Cleared } else { Change::Nothing }
    }

    /// Full state as updates, for a peer whose checksum differs.
    pub fn updates(&self, now: Timestamp) -> Vec<QuarantineUpdate> {
        let mut updates = Vec::new();
        for (digest, row) in &self.rows {
            let mut add = |at: Timestamp, fact| {
                let age = now.since(at).as_millis() as u64;
                updates.push(QuarantineUpdate { digest: *digest, age, fact });
            };
            // Facts that void others come first.
            if row.released_at > Timestamp::default() {
                add(row.released_at, Fact::Released);
            }
            if row.served_at > Timestamp::default() {
                add(row.served_at, Fact::Served);
            }
            for e in &row.crashes {
                add(e.at, Fact::Ended(e.server.clone(), e.early));
            }
            if let Some(at) = row.confirmed_at {
                add(at, Fact::Proved);
            }
        }
        updates
    }

    /// Checksum of the state, zero if it is empty; gateways with equal checksums have the same state.
    pub fn checksum(&self) -> u64 {
        self.rows.iter().map(|(digest, row)| row_checksum(digest, row)).fold(0, |a, b| a ^ b)
    }

    /// Number of suspect and of confirmed requests.
    pub fn counts(&self) -> (usize, usize) {
        let confirmed = self.rows.values().filter(|r| r.confirmed_at.is_some()).count();
        let suspect = self.rows.values().filter(|r| r.confirmed_at.is_none() && r.is_suspect());
        (suspect.count(), confirmed)
    }

    /// Drops expired rows, and returns the confirmed requests among them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<RequestDigest> {
        let expired = |row: &Row| row.ends_at() <= now;
        let confirmed = |(digest, row): (&RequestDigest, &Row)| {
            (expired(row) && row.confirmed_at.is_some()).then_some(*digest)
        };
        let forgotten = self.rows.iter().filter_map(confirmed).collect();
        self.rows.retain(|_, row| !expired(row));
        for row in self.rows.values_mut() {
            row.crashes.retain(|e| e.at.after(SUSPECT_TTL) > now);
        }
        forgotten
    }

    /// Keeps both kinds of rows within their maximum; rows with the fewest points go first, then the oldest.
    /// This walks the whole table, so it runs once per `CHECK_ROWS` new rows and makes room for as many.
    fn evict(&mut self) {
        if self.rows.len() < self.check_at.max(CHECK_ROWS) {
            return;
        }
        for (confirmed, max) in [(false, SUSPECTS_MAX), (true, CONFIRMED_MAX)] {
            let mut rows: Vec<(u32, Timestamp, RequestDigest)> = self
                .rows
                .iter()
                .filter(|(_, row)| row.confirmed_at.is_some() == confirmed)
                .map(|(digest, row)| (row.points(), row.ends_at(), *digest))
                .collect();
            if rows.len() + CHECK_ROWS <= max {
                continue;
            }
            let surplus = (rows.len() + 2 * CHECK_ROWS - max).min(rows.len());
            rows.select_nth_unstable(surplus - 1);
            rows[..surplus].iter().for_each(|(.., digest)| drop(self.rows.remove(digest)));
        }
        self.check_at = self.rows.len() + CHECK_ROWS;
    }
}

fn row_checksum(digest: &RequestDigest, row: &Row) -> u64 {
    let digest_hash = mix(digest.0 ^ digest.1);
    if row.confirmed_at.is_some() {
        // Gateways may keep different crashes of a confirmed request; that makes no difference any more.
        return mix(digest_hash);
    }
    let crash = |e: &Crash| mix(digest_hash ^ e.server.number());
    row.crashes.iter().map(crash).fold(0, |a, b| a ^ b)
}
