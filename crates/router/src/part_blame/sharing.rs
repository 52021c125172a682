//! What gateways tell each other: refutations, full state and its checksum.

use std::collections::BTreeSet;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use super::{
    Candidate, Key, PARTS_MAX, PartBlame, PartDigest, PartFact, PartUpdate, PromptParts,
    ROW_CRASHES_MAX, Row, SOUND_SHARED_MAX, SOUND_TTL, Sound,
};
use crate::divergence::mix;
use crate::stream_origin::SoftwareId;

impl PartBlame {
    /// The update by which peers learn that parts of a crash that one of them reported were sound at this gateway, or
    /// shortly before; asked before the update is applied, and only for what is not known yet. What peers reported is
    /// not repeated: its age does not include the time in transit, so that it would become later each time.
    pub fn refutation(&self, now: Timestamp, update: &PartUpdate) -> Option<PartUpdate> {
        let PartFact::Crashed(server, software, parts) = &update.fact else {
            return None;
        };
        let known = self.crashes.get(server);
        if known.is_some_and(|crash| parts.candidates().all(|one| crash.candidates.contains(&one)))
        {
            return None;
        }
        let crashed_at = now.before(Duration::from_millis(update.age));
        let sound_at = |part: &PartDigest| self.sound.get(&(*part, *software))?.own_at;
        let refutes = |part: &&PartDigest| {
            sound_at(part).is_some_and(|sound_at| sound_at.after(SOUND_TTL) > crashed_at)
        };
        let refuted: Vec<PartDigest> = parts.parts.iter().filter(refutes).copied().collect();
        let at = refuted.iter().filter_map(sound_at).min()?;
        let parts = PromptParts { request: 0, parts: refuted };
        let age = now.since(at).as_millis() as u64;
        Some(PartUpdate { age, fact: PartFact::Sound(*software, parts) })
    }

    /// Full state as updates, for a peer whose checksum differs.
    pub fn updates(&self, now: Timestamp) -> Vec<PartUpdate> {
        let update =
            |at: Timestamp, fact| PartUpdate { age: now.since(at).as_millis() as u64, fact };
        let released =
            self.released.iter().map(|(part, at)| update(*at, PartFact::Released(*part)));
        let mut updates: Vec<PartUpdate> = released.collect();
        updates.extend(self.sound_updates(now));
        for ((candidate, software), row) in &self.rows {
            if row.sound_at > Timestamp::default() {
                updates.push(update(row.sound_at, sound_fact(*candidate, *software)));
            }
        }
        for (part, confirmed) in &self.confirmed {
            let fact = |software: &SoftwareId| PartFact::Confirmed(*software, *part);
            updates.extend(confirmed.iter().map(|(software, at)| update(*at, fact(software))));
        }
        for (server, crash) in &self.crashes {
            let runs = runs(&crash.candidates);
            updates.extend(runs.into_iter().map(|parts| {
                update(crash.at, PartFact::Crashed(server.clone(), crash.software, parts))
            }));
        }
        updates
    }

    /// Parts that were sound more than once, the latest first: for a gateway that has just started.
    fn sound_updates(&self, now: Timestamp) -> Vec<PartUpdate> {
        let recent = |sound: &Sound| sound.repeated && sound.at.after(SOUND_TTL) > now;
        let sound = self.sound.iter().filter(|(_, sound)| recent(sound));
        let mut updates: Vec<PartUpdate> = sound
            .map(|((part, software), sound)| PartUpdate {
                age: now.since(sound.at).as_millis() as u64,
                fact: sound_fact(Candidate::Part(*part), *software),
            })
            .collect();
        updates.sort_unstable_by_key(|update| update.age);
        updates.truncate(SOUND_SHARED_MAX);
        updates
    }

    /// Checksum of what gateways must agree on, zero if there is nothing.
    pub fn checksum(&self) -> u64 {
        // Gateways may keep different crashes of a confirmed part; that makes no difference any more.
        let counts =
            |(candidate, software): &Key| self.confirmed_at(*candidate, *software).is_none();
        let rows = self.rows.iter().filter(|(key, _)| counts(key));
        let rows = rows.map(|(key, row)| row_checksum(*key, row));
        let confirmed = self.confirmed.iter().flat_map(|(part, confirmed)| {
            confirmed.keys().map(|software| mix(key_hash((Candidate::Part(*part), *software))))
        });
        let released = self.released.keys().map(|part| mix(!part.0));
        rows.chain(confirmed).chain(released).fold(0, |sum, n| sum ^ n)
    }
}

fn sound_fact(candidate: Candidate, software: SoftwareId) -> PartFact {
    let parts = match candidate {
        Candidate::Part(part) => PromptParts { request: 0, parts: vec![part] },
        Candidate::Request(request) => PromptParts { request, parts: Vec::new() },
    };
    PartFact::Sound(software, parts)
}

/// Candidates of a crash as runs; which parts belong to which request makes no difference.
fn runs(candidates: &BTreeSet<Candidate>) -> Vec<PromptParts> {
    let (mut parts, mut requests) = (Vec::new(), Vec::new());
    for candidate in candidates {
        match candidate {
            Candidate::Part(part) => parts.push(*part),
            Candidate::Request(request) => requests.push(*request),
        }
    }
    let chunks: Vec<&[PartDigest]> = parts.chunks(PARTS_MAX).collect();
    let run = |i: usize| PromptParts {
        request: requests.get(i).or(requests.first()).copied().unwrap_or_default(),
        parts: chunks.get(i).or(chunks.first()).map(|parts| parts.to_vec()).unwrap_or_default(),
    };
    (0..chunks.len().max(requests.len())).map(run).collect()
}

fn key_hash((candidate, software): Key) -> u64 {
    let hash = match candidate {
        Candidate::Part(part) => mix(part.0),
        Candidate::Request(request) => mix(!mix(request)),
    };
    mix(hash ^ software.number())
}

fn row_checksum(key: Key, row: &Row) -> u64 {
    let hash = key_hash(key);
    if row.crashes.len() >= ROW_CRASHES_MAX {
        // Gateways may keep different ones.
        return hash;
    }
    row.crashes.iter().map(|server| mix(hash ^ server.number())).fold(0, |sum, n| sum ^ n)
}
