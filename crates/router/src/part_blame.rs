//! Blame of parts of prompts for crashes of backend servers.
//!
//! A part of a prompt may crash every server that begins an answer on it, in requests no two of which are alike, so
//! that no request has a history. Each crash is therefore recorded as a fact with the parts of all runs that had
//! just begun at the server. All gateways share these facts, and derive the same from the same facts.
//!
//! The candidates of a crash are those parts, less the ones of which an answer went on past its beginning later. A
//! candidate is established once it was lost in several rounds of crashes. Servers that crash at the same moment make
//! one round, since one cause outside of the requests may crash them. A crash is caused by one of its established
//! candidates, so a request that holds all of them is refused; one that holds some of them is a probe, of which there
//! is one at a time in the fleet. A part that is the only established candidate of a crash is confirmed, and explains
//! all crashes in which it was a candidate: they no longer count for others. Whole requests are candidates as well:
//! one that crashes servers by itself does not bring blame on its parts, and is refused by `quarantine`.
//!
//! A part that was sound shortly before a crash is suspected only at the second round, and not at all while gateways
//! serve that report no crashes: the cause may be in a request of theirs. Evidence belongs to one
//! software: a part that is confirmed at another one is probed, and one crash suffices.

mod facts;
mod record;
mod sharing;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

pub use self::facts::{PartDigest, PartFact, PartUpdate, PromptParts};
use crate::catalog::ServerId;
use crate::load_report::PEER_TIMEOUT;
use crate::stream_origin::SoftwareId;

/// Time after its first event at which an answer counts as past its beginning; a run that breaks off before has
/// just begun.
pub const SOUND_AFTER: Duration = Duration::from_millis(500);
/// Rounds of crashes that establish a candidate.
const ESTABLISHED_ROUNDS: usize = 3;
/// Rounds that establish a part that was sound shortly before.
const ESTABLISHED_SOUND: usize = 5;
/// Crashes within this time of the first one of a round belong to it.
pub const ROUND: Duration = Duration::from_millis(250);
/// Rounds that make a suspect of a part that was sound shortly before.
const SOUND_ROUNDS: usize = 2;
/// How long a sound answer speaks for its parts at later crashes.
pub const SOUND_TTL: Duration = Duration::from_secs(60);
/// How long a crash counts.
pub const CRASH_TTL: Duration = Duration::from_secs(600);
/// How long a confirmed part is refused.
pub const CONFIRMED_TTL: Duration = Duration::from_secs(3_600);
/// How long a probe excludes others if no result of it is received.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time from the announcement of a probe to its beginning, in which gateways that announced one of the same parts learn
/// of each other.
pub const ANNOUNCE_TIME: Duration = Duration::from_millis(40);
/// How long a lost run holds back others while its server is investigated.
pub const INVESTIGATION_HOLD: Duration = Duration::from_millis(600);
/// How long all gateways take at most to report their runs at a crashed server; nothing is confirmed before.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Crashes up to which established candidates are searched at each change.
const CRASHES_FEW: usize = 32;
/// Shortest interval between two such searches beyond.
const ESTABLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Most parts taken of one request.
pub const PARTS_MAX: usize = 32;
/// Most parts kept of one crash.
const CANDIDATES_MAX: usize = 256;
/// Most crashes kept of one candidate, the latest: enough for all rounds.
const ROW_CRASHES_MAX: usize = 32;
/// Crashes from which a part may explain those of one that was sound shortly before.
const EXPLAINS_MIN: usize = 2;
/// How many times as many crashes the other one may have.
const EXPLAINS_RATIO: usize = 2;
/// Most crashes kept, the latest.
pub const CRASHES_MAX: usize = 1_024;
/// Most candidates with a history.
pub const ROWS_MAX: usize = 16_384;
/// Most confirmed parts.
pub const CONFIRMED_MAX: usize = 4_096;
/// Most parts known to be sound.
pub const SOUND_MAX: usize = 16_384;
/// Most sound parts in one exchange between gateways; they take less than 48 KB.
const SOUND_SHARED_MAX: usize = 1_024;
/// Most holds kept.
const HOLDS_MAX: usize = 1_024;

/// How a request is treated because of its parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartState {
    /// Sent like any other.
    Free,
    /// To be sent as a probe, by one gateway at a time.
    Suspect,
    /// Being probed or investigated, at most until then.
    Held(Timestamp),
    /// Refused until then because of this part.
    Refused {
        /// The part, or one of several of which one crashes servers.
        part: PartDigest,
        /// When to ask again.
        until: Timestamp,
    },
}

/// Effect of a fact on a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartChange {
    /// The part was a candidate of a crash that was not known yet.
    Suspected(PartDigest),
    /// The part is confirmed.
    Confirmed(PartDigest, SoftwareId),
    /// Known crashes no longer count for the part.
    Cleared(PartDigest),
}

/// Numbers of parts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PartCounts {
    /// Parts with crashes that count.
    pub suspects: usize,
    /// Confirmed parts.
    pub confirmed: usize,
    /// Crashes with candidates.
    pub crashes: usize,
    /// Parts known to be sound.
    pub sound: usize,
}

/// What may have crashed a server.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Candidate {
    Part(PartDigest),
    Request(u64),
}

type Key = (Candidate, SoftwareId);

/// A crashed incarnation and what had just begun there.
#[derive(Clone, Debug)]
struct Crash {
    at: Timestamp,
    /// When this gateway learned of the latest candidate.
    known_at: Timestamp,
    software: SoftwareId,
    candidates: BTreeSet<Candidate>,
}

/// History of a candidate at one software.
#[derive(Clone, Debug, Default)]
struct Row {
    /// Crashes that count unless a confirmed part explains them.
    crashes: Vec<ServerId>,
    /// Crashes up to then don't count, since an answer went on later.
    sound_at: Timestamp,
    /// When anything last changed.
    changed_at: Timestamp,
}

/// Sound answers of a part at one software.
#[derive(Clone, Copy, Debug)]
struct Sound {
    at: Timestamp,
    /// The latest one received by this gateway.
    own_at: Option<Timestamp>,
    /// Another one came within `SOUND_TTL` before it.
    repeated: bool,
}

/// A running probe or investigation.
#[derive(Clone, Debug)]
struct Hold {
    since: Timestamp,
    until: Timestamp,
    parts: Vec<PartDigest>,
}

/// What is known of parts and crashes.
#[derive(Clone, Debug, Default)]
pub struct PartBlame {
    crashes: BTreeMap<ServerId, Crash>,
    rows: BTreeMap<Key, Row>,
    /// Confirmed parts, with the time of their last crash at each software.
    confirmed: BTreeMap<PartDigest, BTreeMap<SoftwareId, Timestamp>>,
    sound: BTreeMap<(PartDigest, SoftwareId), Sound>,
    released: BTreeMap<PartDigest, Timestamp>,
    /// Crashes up to then may lack the part that caused them.
    incomplete_until: Timestamp,
    /// Until when a peer that reports no crashes may serve.
    silent_until: Timestamp,
    /// Histories have changed since established candidates were last found.
    changed: bool,
    /// When they may be found again.
    establish_at: Timestamp,
    /// Candidates of each crash that have other crashes as well.
    repeated: HashMap<ServerId, Vec<Candidate>>,
    /// Established candidates with the crashes that count for each.
    established: HashMap<Key, Vec<ServerId>>,
    /// Those of them that alone explain all of their crashes.
    sole: HashSet<Key>,
    holds: HashMap<u64, Hold>,
    /// Holds that were ended before they were received.
    over: HashMap<u64, Timestamp>,
}

impl PartBlame {
    /// State of a gateway that starts: it cannot tell whether all gateways reported crashes before.
    pub fn new(now: Timestamp) -> Self {
        PartBlame { incomplete_until: now, ..PartBlame::default() }
    }

    /// How a request is treated; `software` is what its servers may run.
    pub fn state(&self, now: Timestamp, parts: &PromptParts, software: &[SoftwareId]) -> PartState {
        if let Some((part, until)) = self.refused(now, parts, software) {
            return PartState::Refused { part, until };
        }
        let is_suspect = self.suspects(parts, software).next().is_some();
        match self.held_until(now, parts, software) {
            Some(until) => PartState::Held(until),
            None if is_suspect => PartState::Suspect,
            None => PartState::Free,
        }
    }

    /// Whether a request must not be sent to servers of this software; asked before each send.
    pub fn is_refused(&self, now: Timestamp, parts: &PromptParts, software: SoftwareId) -> bool {
        self.refused(now, parts, &[software]).is_some()
    }

    fn refused(
        &self,
        now: Timestamp,
        parts: &PromptParts,
        software: &[SoftwareId],
    ) -> Option<(PartDigest, Timestamp)> {
        let keys = keys(parts, software);
        let confirmed = keys.clone().find_map(|(part, software)| {
            let at = self.confirmed_at(Candidate::Part(part), software)?;
            Some((part, at.after(CONFIRMED_TTL))).filter(|(_, until)| *until > now)
        });
        confirmed.or_else(|| {
            let mut keys = keys;
            let (part, _) = keys.find(|(part, software)| self.is_cause(*part, *software, parts))?;
            Some((part, now.after(PROBE_TIMEOUT)))
        })
    }

    /// Whether the request holds all established candidates of a crash, this part among them, or whether nothing but
    /// the part is likely to have caused all of its crashes.
    fn is_cause(&self, part: PartDigest, software: SoftwareId, parts: &PromptParts) -> bool {
        if self.sole.contains(&(Candidate::Part(part), software)) {
            return true;
        }
        let servers = self.established.get(&(Candidate::Part(part), software));
        servers.is_some_and(|servers| {
            let is_held = |server| self.causes(server).all(|candidate| parts.holds(candidate));
            servers.iter().any(is_held)
        })
    }

    fn confirmed_at(&self, candidate: Candidate, software: SoftwareId) -> Option<Timestamp> {
        let Candidate::Part(part) = candidate else {
            return None;
        };
        self.confirmed.get(&part)?.get(&software).copied()
    }

    /// Crashes that count for a candidate.
    fn counting(&self, key: Key) -> impl Iterator<Item = (&ServerId, &Crash)> {
        let servers = self.rows.get(&key).map_or(&[][..], |row| &row.crashes);
        let crashes = servers.iter().filter_map(|server| Some((server, self.crashes.get(server)?)));
        crashes.filter(move |(server, crash)| {
            !self.may_lack_cause(crash, key) && !self.is_explained(server, crash, key)
        })
    }

    /// Whether a part that was sound shortly before may have ended beside a cause that nobody reported.
    fn may_lack_cause(&self, crash: &Crash, key: Key) -> bool {
        crash.at <= self.incomplete_until && self.was_sound(key, crash.at)
    }

    /// Notes a gateway that serves and reports no crashes.
    pub fn on_silent_peer(&mut self, now: Timestamp) {
        self.silent_until = now.after(PEER_TIMEOUT);
        self.doubt_until(self.silent_until);
    }

    /// Notes an availability zone in which such a gateway serves.
    pub fn on_silent_zone(&mut self, now: Timestamp) {
        self.doubt_until(now.after(PEER_TIMEOUT));
    }

    /// Whether this gateway lately heard a gateway that reports no crashes.
    pub fn has_silent_peer(&self, now: Timestamp) -> bool {
        self.silent_until > now
    }

    fn doubt_until(&mut self, until: Timestamp) {
        self.incomplete_until = self.incomplete_until.max(until);
        self.changed |= !self.crashes.is_empty();
    }

    /// Whether another candidate explains the crash: one that is confirmed, or, for a part that was sound shortly
    /// before, one that wasn't and that has other crashes as well.
    fn is_explained(&self, server: &ServerId, crash: &Crash, key: Key) -> bool {
        let was_sound = self.was_sound(key, crash.at);
        let explains = |other: &Candidate| {
            let other = (*other, crash.software);
            other != key
                && (self.confirmed_at(other.0, other.1).is_some()
                    || was_sound
                        && self.may_explain(other, key)
                        && !self.was_sound(other, crash.at))
        };
        let repeated = self.repeated.get(server).into_iter().flatten();
        repeated.clone().any(explains)
            || !self.confirmed.is_empty()
                && crash.candidates.iter().any(|other| {
                    let is_other = *other != key.0;
                    is_other && self.confirmed_at(*other, crash.software).is_some()
                })
    }

    /// Whether a part has enough crashes to explain those of another one, and not far fewer than that.
    fn may_explain(&self, key: Key, other: Key) -> bool {
        let crashes = self.crash_count(key);
        matches!(key.0, Candidate::Part(_))
            && crashes >= EXPLAINS_MIN
            && crashes * EXPLAINS_RATIO >= self.crash_count(other)
    }

    fn crash_count(&self, key: Key) -> usize {
        self.rows.get(&key).map_or(0, |row| row.crashes.len())
    }

    /// Whether an answer with the part went on shortly before.
    fn was_sound(&self, key: Key, at: Timestamp) -> bool {
        match key.0 {
            Candidate::Part(part) => self.sound_at(part, key.1).after(SOUND_TTL) > at,
            Candidate::Request(_) => false,
        }
    }

    /// Rounds of crashes that count for a candidate.
    fn rounds(&self, key: Key) -> usize {
        let mut times: Vec<Timestamp> = self.counting(key).map(|(_, crash)| crash.at).collect();
        times.sort_unstable();
        let (mut rounds, mut round_end) = (0, Timestamp::default());
        for at in times {
            if rounds == 0 || at >= round_end {
                (rounds, round_end) = (rounds + 1, at.after(ROUND));
            }
        }
        rounds
    }

    fn is_established(&self, key: Key) -> bool {
        if self.crash_count(key) < ESTABLISHED_ROUNDS && !self.is_confirmed_elsewhere(key) {
            return false;
        }
        let last = self.counting(key).map(|(_, crash)| crash.at).max();
        let needed = match last {
            None => return false,
            Some(_) if self.is_confirmed_elsewhere(key) => 1,
            Some(at) if self.was_sound(key, at) => ESTABLISHED_SOUND,
            Some(_) => ESTABLISHED_ROUNDS,
        };
        self.crash_count(key) >= needed && self.rounds(key) >= needed
    }

    /// Whether the part is confirmed at another software.
    fn is_confirmed_elsewhere(&self, (candidate, software): Key) -> bool {
        let Candidate::Part(part) = candidate else {
            return false;
        };
        let mut others = self.confirmed.get(&part).into_iter().flat_map(BTreeMap::keys);
        others.any(|other| *other != software)
    }

    /// Established candidates of a crash.
    fn causes<'a>(&'a self, server: &'a ServerId) -> impl Iterator<Item = Candidate> + 'a {
        let crash = self.crashes.get(server);
        let candidates = crash.into_iter().flat_map(|crash| {
            crash.candidates.iter().map(|candidate| (*candidate, crash.software))
        });
        let is_cause =
            move |key: &Key| self.established.get(key).is_some_and(|all| all.contains(server));
        candidates.filter(is_cause).map(|(candidate, _)| candidate)
    }

    /// Finds the established candidates anew if histories have changed, but not with each of many facts that arrive
    /// together: this walks all histories.
    fn establish(&mut self, now: Timestamp) {
        let is_large = self.crashes.len() > CRASHES_FEW;
        if !self.changed || is_large && now < self.establish_at {
            return;
        }
        (self.changed, self.establish_at) = (false, now.after(ESTABLISH_INTERVAL));
        self.repeated = self.repeated_candidates();
        let keys = self.rows.keys().filter(|key| self.is_established(**key));
        let servers = |key: &Key| -> Vec<ServerId> {
            self.counting(*key).map(|(server, _)| server.clone()).collect()
        };
        self.established = keys.map(|key| (*key, servers(key))).collect();
        let sole = self.established.keys().filter(|key| self.is_sole(**key));
        self.sole = sole.copied().collect();
    }

    /// Whether no two other established candidates are enough to have caused all crashes of this one.
    fn is_sole(&self, key: Key) -> bool {
        let servers = &self.established[&key];
        let others: Vec<&Vec<ServerId>> = self
            .established
            .iter()
            .filter(|(other, _)| **other != key && other.1 == key.1)
            .map(|(_, servers)| servers)
            .collect();
        let covers = |a: &[ServerId], b: &[ServerId]| {
            servers.iter().all(|server| a.contains(server) || b.contains(server))
        };
        let mut pairs = others.iter().flat_map(|a| others.iter().map(move |b| (a, b)));
        !servers.is_empty() && !pairs.any(|(a, b)| covers(a, b))
    }

    /// Candidates of each crash that have other crashes as well.
    fn repeated_candidates(&self) -> HashMap<ServerId, Vec<Candidate>> {
        let repeated = |crash: &Crash| {
            let is_repeated = |one: &&Candidate| self.crash_count((**one, crash.software)) > 1;
            crash.candidates.iter().filter(is_repeated).copied().collect()
        };
        self.crashes.iter().map(|(server, crash)| (server.clone(), repeated(crash))).collect()
    }

    /// Parts of a request that a probe has to clear.
    fn suspects<'a>(
        &'a self,
        parts: &'a PromptParts,
        software: &'a [SoftwareId],
    ) -> impl Iterator<Item = PartDigest> + 'a {
        keys(parts, software)
            .filter(|(part, software)| self.is_suspect(*part, *software))
            .map(|(part, _)| part)
    }

    fn is_suspect(&self, part: PartDigest, software: SoftwareId) -> bool {
        let key = (Candidate::Part(part), software);
        let last = self.counting(key).map(|(_, crash)| crash.at).max();
        let Some(last) = last else {
            return self.is_suspect_elsewhere(part, software);
        };
        !self.was_sound(key, last) || self.rounds(key) >= SOUND_ROUNDS
    }

    /// Whether the part is confirmed at another software, and not known to be sound at this one.
    fn is_suspect_elsewhere(&self, part: PartDigest, software: SoftwareId) -> bool {
        self.sound_at(part, software) == Timestamp::default()
            && self.is_confirmed_elsewhere((Candidate::Part(part), software))
    }

    fn sound_at(&self, part: PartDigest, software: SoftwareId) -> Timestamp {
        let in_row = self.rows.get(&(Candidate::Part(part), software)).map(|row| row.sound_at);
        let known = self.sound.get(&(part, software)).map(|sound| sound.at);
        in_row.max(known).unwrap_or_default()
    }

    /// Until when probes and investigations hold a request back; those of a part that is known to be sound don't.
    fn held_until(
        &self,
        now: Timestamp,
        parts: &PromptParts,
        software: &[SoftwareId],
    ) -> Option<Timestamp> {
        let holds = self.holds.values().filter(|hold| hold.until > now);
        let applies = |hold: &&Hold| {
            let mut held = hold.parts.iter().filter(|part| parts.parts.contains(part));
            held.any(|part| self.may_be_held(now, *part, software))
        };
        holds.filter(applies).map(|hold| hold.until).max()
    }

    fn may_be_held(&self, now: Timestamp, part: PartDigest, software: &[SoftwareId]) -> bool {
        software.iter().any(|software| {
            self.sound_at(part, *software).after(SOUND_TTL) <= now
                || self.is_suspect(part, *software)
        })
    }

    /// The fact that a request is sent as a probe.
    pub fn probe(&self, parts: &PromptParts, software: &[SoftwareId], number: u64) -> PartFact {
        let mut suspects: Vec<PartDigest> = self.suspects(parts, software).collect();
        suspects.sort_unstable();
        suspects.dedup();
        PartFact::Trying(number, suspects)
    }

    /// Whether an announced probe leaves precedence to one of the same parts that another gateway announced as well;
    /// asked once `ANNOUNCE_TIME` has passed.
    pub fn yields(&self, now: Timestamp, number: u64) -> bool {
        let Some(own) = self.holds.get(&number) else {
            return false;
        };
        let mut others =
            self.holds.iter().filter(|(other, hold)| **other < number && hold.until > now);
        others.any(|(_, hold)| hold.parts.iter().any(|part| own.parts.contains(part)))
    }

    /// The fact that a run was lost when it had just begun, if any of its parts is to be held back while its server
    /// is investigated.
    pub fn loss(
        &self,
        now: Timestamp,
        parts: &PromptParts,
        software: SoftwareId,
        number: u64,
    ) -> Option<PartFact> {
        let is_held = |part: &&PartDigest| self.may_be_held(now, **part, &[software]);
        let held: Vec<PartDigest> = parts.parts.iter().filter(is_held).copied().collect();
        (!held.is_empty()).then_some(PartFact::Lost(number, held))
    }

    /// Records that an answer of this gateway went on past its beginning; returns the fact if other gateways need it.
    pub fn on_sound(
        &mut self,
        now: Timestamp,
        parts: &PromptParts,
        software: SoftwareId,
    ) -> Option<PartFact> {
        for part in &parts.parts {
            self.insert_sound(now, *part, software, now);
            if let Some(sound) = self.sound.get_mut(&(*part, software)) {
                sound.own_at = sound.own_at.max(Some(now));
            }
        }
        let mut needed = parts.clone();
        needed.parts.retain(|part| self.has_blame(Candidate::Part(*part), software));
        let request = self.has_blame(Candidate::Request(parts.request), software);
        (request || !needed.parts.is_empty()).then_some(PartFact::Sound(software, needed))
    }

    /// Whether a sound answer would change how a candidate is treated.
    fn has_blame(&self, candidate: Candidate, software: SoftwareId) -> bool {
        let row = self.rows.get(&(candidate, software));
        if row.is_some_and(|row| !row.crashes.is_empty()) {
            return true;
        }
        let Candidate::Part(part) = candidate else {
            return false;
        };
        let is_held = self.holds.values().any(|hold| hold.parts.contains(&part));
        is_held || self.confirmed.contains_key(&part)
    }

    fn insert_sound(
        &mut self,
        now: Timestamp,
        part: PartDigest,
        software: SoftwareId,
        at: Timestamp,
    ) {
        if at.after(SOUND_TTL) <= now {
            return;
        }
        let before = self.sound.get(&(part, software)).copied();
        if self.sound.len() >= SOUND_MAX && before.is_none() {
            self.evict_sound(now);
        }
        let repeated = before.is_some_and(|sound| sound.repeated || sound.at.after(SOUND_TTL) > at);
        let own_at = before.and_then(|sound| sound.own_at);
        let at = before.map_or(at, |sound| sound.at.max(at));
        self.sound.insert((part, software), Sound { at, own_at, repeated });
    }

    /// Drops sound parts that have expired, then those seen once, then the older half.
    fn evict_sound(&mut self, now: Timestamp) {
        self.sound.retain(|_, sound| sound.at.after(SOUND_TTL) > now);
        if self.sound.len() < SOUND_MAX {
            return;
        }
        let mut by_use: Vec<(bool, Timestamp, (PartDigest, SoftwareId))> =
            self.sound.iter().map(|(key, sound)| (sound.repeated, sound.at, *key)).collect();
        by_use.select_nth_unstable(SOUND_MAX / 2);
        for (.., key) in &by_use[..SOUND_MAX / 2] {
            self.sound.remove(key);
        }
    }

    /// Confirms the parts that are the only established candidate of a crash, and returns those that were not
    /// confirmed before. Called several times a second.
    pub fn confirm(&mut self, now: Timestamp) -> Vec<(PartDigest, SoftwareId)> {
        let mut confirmed = Vec::new();
        while let Some((part, software, at)) = self.next_confirmed(now) {
            let update = PartFact::Confirmed(software, part);
            let age = now.since(at).as_millis() as u64;
            if self.apply_all(now, &[PartUpdate { age, fact: update }]).is_empty() {
                break;
            }
            confirmed.push((part, software));
        }
        confirmed
    }

    fn next_confirmed(&self, now: Timestamp) -> Option<(PartDigest, SoftwareId, Timestamp)> {
        let settled = |(_, crash): &(&ServerId, &Crash)| crash.known_at.after(SETTLE_TIME) <= now;
        let mut due = self.crashes.iter().filter(settled).filter_map(|(server, crash)| {
            let mut causes = self.causes(server);
            let (Some(Candidate::Part(part)), None) = (causes.next(), causes.next()) else {
                return None;
            };
            let key = (Candidate::Part(part), crash.software);
            if !self.is_confirmed_elsewhere(key) && self.has_rival(server, key) {
                return None;
            }
            let at = self.counting(key).map(|(_, crash)| crash.at).max()?;
            self.confirmed_at(key.0, key.1).is_none().then_some((part, crash.software, at))
        });
        due.next()
    }

    /// Whether another candidate of the crash has more than half as many crashes.
    fn has_rival(&self, server: &ServerId, key: Key) -> bool {
        let mut others = self.repeated.get(server).into_iter().flatten();
        let crashes = self.crash_count(key);
        others.any(|other| *other != key.0 && self.crash_count((*other, key.1)) * 2 > crashes)
    }

    /// Numbers of what is known.
    pub fn counts(&self) -> PartCounts {
        let is_suspect = |(key, row): &(&Key, &Row)| {
            matches!(key.0, Candidate::Part(part) if !self.confirmed.contains_key(&part))
                && !row.crashes.is_empty()
        };
        PartCounts {
            suspects: self.rows.iter().filter(is_suspect).count(),
            confirmed: self.confirmed.len(),
            crashes: self.crashes.len(),
            sound: self.sound.len(),
        }
    }

    /// Whether nothing is suspected: all requests are free.
    pub fn is_quiet(&self) -> bool {
        self.crashes.is_empty() && self.confirmed.is_empty() && self.holds.is_empty()
    }

    /// Whether a part is confirmed to crash servers of this software.
    pub fn is_confirmed(&self, now: Timestamp, part: PartDigest, software: SoftwareId) -> bool {
        let at = self.confirmed_at(Candidate::Part(part), software);
        at.is_some_and(|at| at.after(CONFIRMED_TTL) > now)
    }

    /// Known crashes that count for a part, at any software.
    pub fn crashes(&self, part: PartDigest) -> Vec<ServerId> {
        let rows = self.rows.iter().filter(|((key, _), _)| *key == Candidate::Part(part));
        rows.flat_map(|(_, row)| row.crashes.iter().cloned()).collect()
    }

    /// Drops what has expired, and returns the confirmed parts among it.
    pub fn expire(&mut self, now: Timestamp) -> Vec<PartDigest> {
        let old: Vec<ServerId> = self
            .crashes
            .iter()
            .filter(|(_, crash)| crash.at.after(CRASH_TTL) <= now)
            .map(|(id, _)| id.clone())
            .collect();
        old.iter().for_each(|id| self.remove_crash(id));
        self.holds.retain(|_, hold| hold.until > now);
        self.over.retain(|_, until| *until > now);
        self.released.retain(|_, at| at.after(CONFIRMED_TTL) > now);
        self.sound.retain(|_, sound| sound.at.after(SOUND_TTL) > now);
        let is_recent = |row: &Row| row.sound_at.after(CRASH_TTL) > now;
        self.rows.retain(|_, row| !row.crashes.is_empty() || is_recent(row));
        let confirmed_before = self.confirmed.len();
        let mut expired = Vec::new();
        self.confirmed.retain(|part, confirmed| {
            confirmed.retain(|_, at| at.after(CONFIRMED_TTL) > now);
            if confirmed.is_empty() {
                expired.push(*part);
            }
            !confirmed.is_empty()
        });
        if !old.is_empty() || self.confirmed.len() < confirmed_before {
            self.changed = true;
        }
        self.establish(now);
        expired
    }

    /// Keeps histories within their maximum; those with the fewest crashes go first, then the oldest.
    fn evict_rows(&mut self) {
        if self.rows.len() <= ROWS_MAX {
            return;
        }
        let mut rows: Vec<(usize, Timestamp, Key)> =
            self.rows.iter().map(|(key, row)| (row.crashes.len(), row.changed_at, *key)).collect();
        let surplus = (ROWS_MAX / 8).min(rows.len());
        if surplus > 0 {
            rows.select_nth_unstable(surplus - 1);
        }
        rows[..surplus].iter().for_each(|(.., key)| drop(self.rows.remove(key)));
    }
}

/// Pairs of a part and a software.
fn keys<'a>(
    parts: &'a PromptParts,
    software: &'a [SoftwareId],
) -> impl Iterator<Item = (PartDigest, SoftwareId)> + Clone + 'a {
    let with = |part: &'a PartDigest| software.iter().map(|software| (*part, *software));
    parts.parts.iter().flat_map(with)
}
