//! The software that began recent streams, by key.
//!
//! A record is kept until the deadline of its caller, who does not resume the stream after that.
//! Records that a gateway makes are sent to the gateways that follow the store, twice because a
//! datagram may be lost, and all of them again to one that begins to follow it.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::{SoftwareId, StreamKey, Testimony};

/// Highest number of records; beyond it those that expire first are dropped.
pub const RECORDS_MAX: usize = 1 << 16;
/// Longest time for which a record is kept, whatever deadline a caller states.
pub const LIFETIME_MAX: Duration = Duration::from_secs(600);
/// Added to a caller's deadline, for clocks that differ and requests under way.
pub const EXPIRY_MARGIN: Duration = Duration::from_secs(2);
/// How often a record is sent to the gateways that follow the store.
const SENDS: u8 = 2;

/// A record as gateways send it to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(StreamKey, SoftwareId, u32)", into = "(StreamKey, SoftwareId, u32)")]
pub struct OriginRecord {
    /// Key of the stream.
    pub key: StreamKey,
    /// The software that began it.
    pub software: SoftwareId,
    /// Milliseconds until the record expires.
    pub ttl: u32,
}

impl From<(StreamKey, SoftwareId, u32)> for OriginRecord {
    fn from((key, software, ttl): (StreamKey, SoftwareId, u32)) -> Self {
        OriginRecord { key, software, ttl }
    }
}

impl From<OriginRecord> for (StreamKey, SoftwareId, u32) {
    fn from(record: OriginRecord) -> Self {
        (record.key, record.software, record.ttl)
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// None if records contradict each other.
    software: Option<SoftwareId>,
    until: Timestamp,
    /// Made by this gateway.
    own: bool,
}

/// Records of recent streams.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    by_expiry: BTreeSet<(Timestamp, StreamKey)>,
    /// Own records to send, with the number of times left.
    outgoing: VecDeque<(StreamKey, u8)>,
    /// Records that were not written to the store yet.
    unsaved: BTreeSet<StreamKey>,
    /// Longest time for which a record was to be kept.
    longest: Duration,
}

impl OriginTable {
    /// Records that this gateway sent the first event of a stream to its caller, whose deadline is
    /// `ends_at`.
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        software: SoftwareId,
        ends_at: Timestamp,
    ) {
        self.insert(now, key, software, ends_at.after(EXPIRY_MARGIN), true);
        self.outgoing.push_back((key, SENDS));
    }

    /// Adds a record of another gateway.
    pub fn on_record(&mut self, now: Timestamp, record: OriginRecord) {
        let until = now.after(Duration::from_millis(record.ttl.into()));
        self.insert(now, record.key, record.software, until, false);
    }

    fn insert(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        software: SoftwareId,
        until: Timestamp,
        own: bool,
    ) {
        self.expire(now);
        let until = until.min(now.after(LIFETIME_MAX));
        self.longest = self.longest.max(until.since(now));
        let known = self.entries.get(&key).copied();
        let entry = match known {
            None => Entry { software: Some(software), until, own },
            Some(known) => Entry {
                software: known.software.filter(|known| *known == software),
                until: known.until.max(until),
                own: known.own || own,
            },
        };
        if let Some(known) = known {
            self.by_expiry.remove(&(known.until, key));
        } else {
            self.unsaved.insert(key);
        }
        self.entries.insert(key, entry);
        self.by_expiry.insert((entry.until, key));
        while self.entries.len() > RECORDS_MAX
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.forget(first);
        }
    }

    /// Drops the records whose callers' deadlines have passed.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((until, key)) = self.by_expiry.first().copied()
            && until <= now
        {
            self.by_expiry.pop_first();
            self.forget(key);
        }
    }

    fn forget(&mut self, key: StreamKey) {
        self.entries.remove(&key);
        self.unsaved.remove(&key);
    }

    /// Returns what is recorded of a stream.
    pub fn testimony(&self, now: Timestamp, key: StreamKey) -> Testimony {
        match self.entries.get(&key).filter(|entry| entry.until > now) {
            None => Testimony::Nothing,
            Some(Entry { software: Some(software), .. }) => Testimony::Recorded(*software),
            Some(Entry { software: None, .. }) => Testimony::Contradictory,
        }
    }

    /// Is there anything to send?
    pub fn has_outgoing(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Takes at most `max` records to send to the gateways that follow the store. Those that are to
    /// be sent again remain.
    pub fn take_outgoing(&mut self, now: Timestamp, max: usize) -> Vec<OriginRecord> {
        let due: Vec<(StreamKey, u8)> =
            self.outgoing.drain(..max.min(self.outgoing.len())).collect();
        let again = due.iter().filter(|(_, left)| *left > 1);
        self.outgoing.extend(again.map(|(key, left)| (*key, left - 1)));
        due.iter().filter_map(|(key, _)| self.record(now, *key)).collect()
    }

    /// Returns the records that this gateway made, for one that begins to follow the store.
    pub fn own_records(&self, now: Timestamp) -> Vec<OriginRecord> {
        let own = self.entries.iter().filter(|(_, entry)| entry.own);
        own.filter_map(|(key, _)| self.record(now, *key)).collect()
    }

    /// Takes at most `max` records that the store does not have yet.
    pub fn take_unsaved(&mut self, now: Timestamp, max: usize) -> Vec<OriginRecord> {
        let keys: Vec<StreamKey> = self.unsaved.iter().take(max).copied().collect();
        keys.iter().for_each(|key| {
            self.unsaved.remove(key);
        });
        keys.iter().filter_map(|key| self.record(now, *key)).collect()
    }

    /// Marks records as not written to the store, after a write that failed.
    pub fn restore_unsaved(&mut self, records: &[OriginRecord]) {
        let known = records.iter().map(|r| r.key).filter(|key| self.entries.contains_key(key));
        self.unsaved.extend(known);
    }

    /// Marks a record as written to the store.
    pub fn on_saved(&mut self, key: StreamKey) {
        self.unsaved.remove(&key);
    }

    /// Returns the longest time for which a caller may still continue a stream.
    pub fn longest_lifetime(&self) -> Duration {
        self.longest
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Is there no record?
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record(&self, now: Timestamp, key: StreamKey) -> Option<OriginRecord> {
        let entry = self.entries.get(&key).filter(|entry| entry.until > now)?;
        let ttl = entry.until.since(now).as_millis() as u32;
        Some(OriginRecord { key, software: entry.software?, ttl })
    }
}
