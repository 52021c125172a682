//! The records of keys at their home.
//!
//! A home answers only for slots that it owns. A slot is owned after a hand-over from the earlier
//! home, or at once where the placement says that nothing is to be handed over. Records live in
//! memory and are forgotten after the retention; a key older than that counts as void.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, Digest, Key, Peer};
use crate::message::{Answer, Ended, Recorded, Repeat};
use crate::placement::Placement;
use crate::time::Moment;
use crate::verdict::Reason;

/// How long a key is remembered.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Most records a home holds; a claim beyond is refused.
pub const RECORD_LIMIT: usize = 400_000;

/// What is recorded of a key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// Digest of the body.
    pub digest: Digest,
    /// May it run more than once?
    pub repeat: Repeat,
    /// The attempt in force.
    pub attempt: Attempt,
    /// Where that attempt runs.
    pub executor: Peer,
    /// What is known of it.
    pub state: Recorded,
    /// No attempt before this one may have run.
    pub clean: bool,
    /// When the record is forgotten.
    pub forget_at: Moment,
}

/// What a home wants done after a new placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// The earlier home.
    pub from: Peer,
    /// The slots to take over.
    pub slots: Vec<u16>,
}

/// The ledger of one home.
#[derive(Clone, Debug)]
pub struct Ledger {
    me: Peer,
    placement: Placement,
    owned: BTreeSet<u16>,
    records: HashMap<Key, Record>,
    expiry: BTreeSet<(Moment, Key)>,
    counter: u64,
    /// Placements before this epoch are not put in force: slots were released for it.
    floor: u64,
}

impl Ledger {
    /// An empty ledger of this process.
    pub fn new(me: Peer) -> Self {
        Ledger {
            me,
            placement: Placement::default(),
            owned: BTreeSet::new(),
            records: HashMap::new(),
            expiry: BTreeSet::new(),
            counter: 0,
            floor: 0,
        }
    }

    /// The placement in force here.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Holds no record?
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Slots owned now.
    pub fn owned(&self) -> usize {
        self.owned.len()
    }

    /// The slots owned now.
    pub fn owned_slots(&self) -> impl Iterator<Item = u16> {
        self.owned.iter().copied()
    }

    /// Puts a placement in force, unless it is not newer; says what must be taken over.
    pub fn adopt(&mut self, placement: &Placement) -> Vec<Wanted> {
        if placement.epoch > self.placement.epoch && placement.epoch >= self.floor {
            let before = std::mem::replace(&mut self.placement, placement.clone());
            for slot in 0..self.placement.rows.len() {
                self.adopt_slot(slot as u16, &before);
            }
        }
        self.wanted()
    }

    fn adopt_slot(&mut self, slot: u16, before: &Placement) {
        let row = &self.placement.rows[usize::from(slot)];
        if row.owner != self.me {
            self.owned.remove(&slot);
            return;
        }
        let handed = before
            .rows
            .get(usize::from(slot))
            .is_some_and(|b| b.owner == self.me)
            && self.owned.contains(&slot);
        if handed || row.from.is_none() || row.from.as_ref() == Some(&self.me) {
            self.owned.insert(slot);
        }
    }

    /// Slots placed here that the earlier home has not handed over yet.
    pub fn wanted(&self) -> Vec<Wanted> {
        let mut by_home: BTreeMap<Peer, Vec<u16>> = BTreeMap::new();
        // What was released for a later epoch is not taken back in an earlier one.
        let stale = self.floor > self.placement.epoch;
        for (slot, row) in self.placement.rows.iter().enumerate() {
            let slot = slot as u16;
            if stale || row.owner != self.me || self.owned.contains(&slot) {
                continue;
            }
            if let Some(from) = &row.from {
                by_home.entry(from.clone()).or_default().push(slot);
            }
        }
        by_home
            .into_iter()
            .map(|(from, slots)| Wanted { from, slots })
            .collect()
    }

    /// Owned slots whose row still names an earlier home: the document can be cleaned.
    pub fn taken(&self) -> Vec<u16> {
        let mine = |slot: &u16| self.placement.rows.get(usize::from(*slot));
        self.owned
            .iter()
            .copied()
            .filter(|s| mine(s).is_some_and(|r| r.owner == self.me && r.from.is_some()))
            .collect()
    }

    /// Old home: releases slots to the home of a later epoch. From now on it answers for none of
    /// them, even if it has not seen the new placement yet. May be asked again.
    pub fn hand_over(&mut self, epoch: u64, slots: &[u16]) -> Option<Vec<Record>> {
        if epoch < self.placement.epoch || (epoch == self.placement.epoch && self.owns_any(slots)) {
            return None;
        }
        // An epoch between may name this home: it must not own again what it released.
        self.floor = self.floor.max(epoch);
        for slot in slots {
            self.owned.remove(slot);
        }
        let count = self.placement.rows.len() as u16;
        let wanted: BTreeSet<u16> = slots.iter().copied().collect();
        let held = self
            .records
            .values()
            .filter(|r| wanted.contains(&r.key.slot(count)));
        Some(held.cloned().collect())
    }

    fn owns_any(&self, slots: &[u16]) -> bool {
        slots.iter().any(|s| self.owned.contains(s))
    }

    /// New home: takes records over and owns the slots, if the placement still says so.
    pub fn take_over(&mut self, epoch: u64, slots: &[u16], records: Vec<Record>) {
        if epoch != self.placement.epoch || epoch < self.floor {
            return;
        }
        let count = self.placement.rows.len() as u16;
        let mine: BTreeSet<u16> = slots
            .iter()
            .copied()
            .filter(|s| self.placement.home(*s) == Some(&self.me) && !self.owned.contains(s))
            .collect();
        for record in records
            .into_iter()
            .filter(|r| mine.contains(&r.key.slot(count)))
        {
            self.put(record);
        }
        self.owned.extend(mine);
    }

    /// Records the key, or says what is recorded.
    pub fn claim(
        &mut self,
        now: Moment,
        key: &Key,
        digest: Digest,
        repeat: Repeat,
        executor: &Peer,
    ) -> Answer {
        if !self.answers_for(key) {
            return Answer::NotOwner {
                epoch: self.placement.epoch,
            };
        }
        self.forget(now);
        if let Some(record) = self.records.get(key).cloned() {
            let vacant = record.state == Recorded::Vacant && record.digest == digest;
            return if vacant {
                self.regrant(now, record, executor)
            } else {
                existing(&record, digest)
            };
        }
        if repeat == Repeat::Once && self.is_void(now, key) {
            return Answer::Void;
        }
        if self.records.len() >= RECORD_LIMIT {
            return Answer::Refused {
                reason: Reason::Overload,
                retry_at: None,
            };
        }
        let attempt = self.next_attempt();
        self.put(Record {
            key: key.clone(),
            digest,
            repeat,
            attempt,
            executor: executor.clone(),
            state: Recorded::Open,
            // A key whose earlier records may be lost or forgotten is never called clean.
            clean: key.issued().is_some() && !self.is_void(now, key),
            forget_at: now.after(RETENTION),
        });
        Answer::Granted { attempt }
    }

    /// Says what is recorded of the key.
    pub fn find(&mut self, now: Moment, key: &Key) -> Answer {
        if !self.answers_for(key) {
            return Answer::NotOwner {
                epoch: self.placement.epoch,
            };
        }
        self.forget(now);
        match self.records.get(key) {
            Some(r) if r.state != Recorded::Vacant => existing(r, r.digest),
            _ => Answer::Absent,
        }
    }

    /// Grants another attempt in place of one that ended, if the rules allow one.
    pub fn reassign(
        &mut self,
        now: Moment,
        key: &Key,
        attempt: Attempt,
        ended: Ended,
        executor: &Peer,
    ) -> Answer {
        if !self.answers_for(key) {
            return Answer::NotOwner {
                epoch: self.placement.epoch,
            };
        }
        let Some(mut record) = self.records.get(key).cloned() else {
            return Answer::Void;
        };
        if record.state == Recorded::Vacant {
            return self.regrant(now, record, executor);
        }
        if record.attempt != attempt || record.state != Recorded::Open {
            return existing(&record, record.digest);
        }
        if ended != Ended::Sealed {
            record.clean = false;
            if record.repeat == Repeat::Once {
                record.state = Recorded::Lost;
                let answer = existing(&record, record.digest);
                self.put(record);
                return answer;
            }
        }
        self.regrant(now, record, executor)
    }

    fn regrant(&mut self, now: Moment, mut record: Record, executor: &Peer) -> Answer {
        let attempt = self.next_attempt();
        record.attempt = attempt;
        record.executor = executor.clone();
        record.state = Recorded::Open;
        record.forget_at = now.after(RETENTION);
        self.put(record);
        Answer::Granted { attempt }
    }

    /// Notes how an attempt ended for good.
    pub fn settle(&mut self, now: Moment, key: &Key, attempt: Attempt, ended: Ended) -> Answer {
        if !self.answers_for(key) {
            return Answer::NotOwner {
                epoch: self.placement.epoch,
            };
        }
        let Some(mut record) = self.records.get(key).cloned() else {
            return Answer::Settled { clean: false };
        };
        if record.attempt != attempt {
            return Answer::Settled { clean: false };
        }
        match (ended, record.repeat) {
            (Ended::Sealed, _) if record.state == Recorded::Open && record.clean => {
                self.remove(key);
                Answer::Settled { clean: true }
            }
            (Ended::Sealed, _) if record.state == Recorded::Open => self.vacate(now, record),
            (Ended::Lost, Repeat::Idempotent) if record.state == Recorded::Open => {
                self.vacate(now, record)
            }
            (Ended::Done, _) => {
                record.state = Recorded::Done;
                record.forget_at = now.after(RETENTION);
                self.put(record);
                Answer::Settled { clean: false }
            }
            (Ended::Lost, _) if record.state == Recorded::Open => {
                record.state = Recorded::Lost;
                self.put(record);
                Answer::Settled { clean: false }
            }
            _ => Answer::Settled { clean: false },
        }
    }

    /// The key may have run: forgetting it would let the next claim look like the first.
    fn vacate(&mut self, now: Moment, mut record: Record) -> Answer {
        record.state = Recorded::Vacant;
        record.clean = false;
        record.forget_at = now.after(RETENTION);
        self.put(record);
        Answer::Settled { clean: false }
    }

    /// Forgets what is past its retention.
    pub fn forget(&mut self, now: Moment) {
        while let Some((at, key)) = self.expiry.first().cloned() {
            if at > now {
                return;
            }
            self.expiry.pop_first();
            self.records.remove(&key);
        }
    }

    fn answers_for(&self, key: &Key) -> bool {
        let count = self.placement.rows.len() as u16;
        count > 0 && self.owned.contains(&key.slot(count))
    }

    /// May this key have been recorded by somebody whose records are lost or forgotten?
    fn is_void(&self, now: Moment, key: &Key) -> bool {
        let count = self.placement.rows.len() as u16;
        let row = &self.placement.rows[usize::from(key.slot(count))];
        match key.issued() {
            Some(at) => at <= row.void_before || at.after(RETENTION) <= now,
            None => row.void_before > Moment(0) && now <= row.void_before.after(RETENTION),
        }
    }

    fn next_attempt(&mut self) -> Attempt {
        self.counter += 1;
        Attempt {
            epoch: self.placement.epoch,
            home: self.me.number(),
            number: self.counter,
        }
    }

    fn put(&mut self, record: Record) {
        self.remove(&record.key.clone());
        self.expiry.insert((record.forget_at, record.key.clone()));
        self.records.insert(record.key.clone(), record);
    }

    fn remove(&mut self, key: &Key) {
        if let Some(old) = self.records.remove(key) {
            self.expiry.remove(&(old.forget_at, old.key));
        }
    }
}

fn existing(record: &Record, digest: Digest) -> Answer {
    if record.digest != digest {
        return Answer::Conflict;
    }
    Answer::Existing {
        attempt: record.attempt,
        executor: record.executor.clone(),
        state: record.state,
    }
}
