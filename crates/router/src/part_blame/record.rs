//! Records facts, which may come in any order and more than once.

use std::collections::BTreeSet;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use super::{
    CANDIDATES_MAX, CONFIRMED_MAX, CONFIRMED_TTL, CRASH_TTL, CRASHES_MAX, Candidate, Crash,
    HOLDS_MAX, Hold, INVESTIGATION_HOLD, Key, PARTS_MAX, PROBE_TIMEOUT, PartBlame, PartChange,
    PartDigest, PartFact, PartUpdate, PromptParts, ROW_CRASHES_MAX,
};
use crate::catalog::ServerId;
use crate::stream_origin::SoftwareId;

impl PartBlame {
    /// Applies updates of this gateway or of a peer that were received together.
    pub fn apply_all(&mut self, now: Timestamp, updates: &[PartUpdate]) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for update in updates {
            let at = now.before(Duration::from_millis(update.age));
            match &update.fact {
                PartFact::Crashed(server, software, parts) => {
                    self.record_crash(now, at, server, *software, parts, &mut changes);
                }
                PartFact::Sound(software, parts) => {
                    self.record_sound(now, at, *software, parts, &mut changes);
                }
                PartFact::Trying(number, parts) => {
                    self.hold(now, *number, parts, (at, at.after(PROBE_TIMEOUT)));
                }
                PartFact::Lost(number, parts) => {
                    self.hold(now, *number, parts, (at, at.after(INVESTIGATION_HOLD)));
                }
                PartFact::Over(number) => self.release_hold(now, *number),
                PartFact::Confirmed(software, part) => {
                    self.record_confirmed(now, at, *software, *part, &mut changes);
                }
                PartFact::Released(part) => self.record_released(at, *part, &mut changes),
            }
        }
        self.establish(now);
        changes
    }

    fn hold(
        &mut self,
        now: Timestamp,
        number: u64,
        parts: &[PartDigest],
        (since, until): (Timestamp, Timestamp),
    ) {
        if until <= now || self.over.contains_key(&number) || self.holds.len() >= HOLDS_MAX {
            return;
        }
        let parts = parts.iter().take(PARTS_MAX).copied().collect();
        self.holds.entry(number).or_insert(Hold { since, until, parts });
    }

    /// The end may be received before the beginning, which is sent twice.
    fn release_hold(&mut self, now: Timestamp, number: u64) {
        self.holds.remove(&number);
        if self.over.len() < HOLDS_MAX {
            self.over.insert(number, now.after(PROBE_TIMEOUT));
        }
    }

    fn record_crash(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        server: &ServerId,
        software: SoftwareId,
        parts: &PromptParts,
        changes: &mut Vec<PartChange>,
    ) {
        if at.after(CRASH_TTL) <= now || parts.is_empty() || !self.has_room(server, at) {
            return;
        }
        let crash = self.crashes.entry(server.clone()).or_insert_with(|| Crash {
            at,
            known_at: now,
            software,
            candidates: BTreeSet::new(),
        });
        crash.at = crash.at.min(at);
        let (at, software) = (crash.at, crash.software);
        for candidate in parts.candidates() {
            let crash = self.crashes.get_mut(server).expect("inserted above");
            if crash.candidates.len() >= CANDIDATES_MAX || !crash.candidates.insert(candidate) {
                continue;
            }
            crash.known_at = now;
            self.changed = true;
            if self.blame(now, at, server, (candidate, software))
                && let Candidate::Part(part) = candidate
            {
                changes.push(PartChange::Suspected(part));
            }
        }
        self.evict_rows();
    }

    /// Records a crash in the history of a candidate; false if it doesn't count.
    fn blame(&mut self, now: Timestamp, at: Timestamp, server: &ServerId, key: Key) -> bool {
        let (sound_at, released_at) = match key.0 {
            Candidate::Part(part) => {
                (self.sound_at(part, key.1), self.released.get(&part).copied().unwrap_or_default())
            }
            Candidate::Request(_) => (
                self.rows.get(&key).map_or(Timestamp::default(), |row| row.sound_at),
                Timestamp::default(),
            ),
        };
        let row = self.rows.entry(key).or_default();
        row.sound_at = row.sound_at.max(sound_at);
        row.changed_at = now;
        let counts = at > row.sound_at.max(released_at);
        if counts {
            row.crashes.push(server.clone());
            if row.crashes.len() > ROW_CRASHES_MAX {
                row.crashes.remove(0);
            }
        }
        counts
    }

    /// Makes room for a crash; false if all that are kept are later.
    fn has_room(&mut self, server: &ServerId, at: Timestamp) -> bool {
        if self.crashes.len() < CRASHES_MAX || self.crashes.contains_key(server) {
            return true;
        }
        let oldest = self.crashes.iter().min_by_key(|(id, crash)| (crash.at, *id));
        let Some((id, _)) = oldest.filter(|(_, crash)| crash.at < at) else {
            return false;
        };
        let id = id.clone();
        self.remove_crash(&id);
        true
    }

    pub(super) fn remove_crash(&mut self, id: &ServerId) {
        let Some(crash) = self.crashes.remove(id) else {
            return;
        };
        for candidate in crash.candidates {
            if let Some(row) = self.rows.get_mut(&(candidate, crash.software)) {
                row.crashes.retain(|server| server != id);
            }
        }
    }

    fn record_sound(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        software: SoftwareId,
        parts: &PromptParts,
        changes: &mut Vec<PartChange>,
    ) {
        if at.after(CRASH_TTL) <= now {
            return;
        }
        for candidate in parts.candidates() {
            let is_cleared = self.clear(now, at, (candidate, software));
            let Candidate::Part(part) = candidate else {
                continue;
            };
            self.insert_sound(now, part, software, at);
            if self.withdraw(at, part, Some(software)) || is_cleared {
                changes.push(PartChange::Cleared(part));
            }
        }
        // An answer from before a probe tells nothing about the probe.
        for hold in self.holds.values_mut().filter(|hold| hold.since <= at) {
            hold.parts.retain(|part| !parts.parts.contains(part));
        }
        self.holds.retain(|_, hold| !hold.parts.is_empty());
    }

    /// Voids the crashes of a candidate up to the given time; true if there were any.
    fn clear(&mut self, now: Timestamp, at: Timestamp, key: Key) -> bool {
        let Some(row) = self.rows.get_mut(&key) else {
            return false;
        };
        let before = row.crashes.len();
        row.sound_at = row.sound_at.max(at);
        row.changed_at = now;
        let crashes = &self.crashes;
        row.crashes.retain(|server| crashes.get(server).is_some_and(|crash| crash.at > at));
        self.changed |= before > 0;
        let is_cleared = row.crashes.len() < before;
        if let Some(servers) = self.established.get_mut(&key) {
            servers.retain(|server| crashes.get(server).is_some_and(|crash| crash.at > at));
            self.sole.remove(&key);
        }
        is_cleared
    }

    /// Withdraws confirmations of a part up to the given time; true if there were any.
    fn withdraw(&mut self, at: Timestamp, part: PartDigest, software: Option<SoftwareId>) -> bool {
        let Some(confirmed) = self.confirmed.get_mut(&part) else {
            return false;
        };
        let before = confirmed.len();
        confirmed.retain(|other, confirmed_at| {
            *confirmed_at > at || software.is_some_and(|software| software != *other)
        });
        let is_changed = confirmed.len() < before;
        self.changed |= is_changed;
        if confirmed.is_empty() {
            self.confirmed.remove(&part);
        }
        is_changed
    }

    fn record_confirmed(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        software: SoftwareId,
        part: PartDigest,
        changes: &mut Vec<PartChange>,
    ) {
        let released = self.released.get(&part).copied().unwrap_or_default();
        let voided = at <= released.max(self.sound_at(part, software));
        let is_full = self.confirmed.len() >= CONFIRMED_MAX && !self.confirmed.contains_key(&part);
        if at.after(CONFIRMED_TTL) <= now || voided || is_full {
            return;
        }
        let before = self.confirmed.entry(part).or_default().insert(software, at);
        if before.is_none() {
            self.changed = true;
            changes.push(PartChange::Confirmed(part, software));
        }
    }

    fn record_released(&mut self, at: Timestamp, part: PartDigest, changes: &mut Vec<PartChange>) {
        let released = self.released.entry(part).or_default();
        if at <= *released || self.released.len() > CONFIRMED_MAX {
            return;
        }
        self.released.insert(part, at);
        let crashes = &self.crashes;
        let rows = self.rows.iter_mut().filter(|((other, _), _)| *other == Candidate::Part(part));
        for (_, row) in rows {
            row.crashes.retain(|server| crashes.get(server).is_some_and(|crash| crash.at > at));
        }
        self.withdraw(at, part, None);
        self.changed = true;
        changes.push(PartChange::Cleared(part));
    }
}
