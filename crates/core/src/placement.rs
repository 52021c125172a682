//! Which sidecar is the home of which ledger slot.
//!
//! The placement is one bounded document in the platform's service, changed by compare-and-swap and
//! spread as configuration is. A slot has one owner at a time: the new home owns it after the old
//! one handed it over, or after the platform confirmed the old one gone; in the latter case all keys
//! that may have been issued before are void.

pub mod keeper;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Incarnation, MemberId, Peer};
use crate::time::Moment;

/// Ledger slots in all; bounds the document at any fleet size.
pub const SLOT_COUNT: u16 = 1_024;
/// Most homes; more sidecars than this never become homes.
pub const HOME_LIMIT: usize = 64;
/// How far two clocks may differ.
pub const SKEW: Duration = Duration::from_secs(2);

/// Who owns a slot.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SlotRow {
    /// The home.
    pub owner: Peer,
    /// The earlier home that must hand over first.
    pub from: Option<Peer>,
    /// Keys issued before this moment are void.
    pub void_before: Moment,
}

/// The document.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Placement {
    /// Grows by one with each change; zero means that none was founded.
    pub epoch: u64,
    /// A row a slot.
    pub rows: Vec<SlotRow>,
}

impl Placement {
    /// A first placement of `count` slots over `homes`.
    pub fn found(homes: &[Peer], count: u16) -> Option<Placement> {
        let homes = &homes[..homes.len().min(HOME_LIMIT)];
        let rows: Option<Vec<SlotRow>> = (0..count)
            .map(|slot| {
                let owner = best(slot, homes)?.clone();
                Some(SlotRow {
                    owner,
                    from: None,
                    void_before: Moment(0),
                })
            })
            .collect();
        Some(Placement {
            epoch: 1,
            rows: rows?,
        })
    }

    /// The home of a slot, if one is placed.
    pub fn home(&self, slot: u16) -> Option<&Peer> {
        self.rows.get(usize::from(slot)).map(|r| &r.owner)
    }

    /// All homes, each once.
    pub fn homes(&self) -> Vec<Peer> {
        let mut homes: Vec<Peer> = self.rows.iter().map(|r| r.owner.clone()).collect();
        homes.sort();
        homes.dedup();
        homes
    }

    /// Does this life of a member still appear, as owner or as one that must hand over?
    pub fn mentions(&self, peer: &Peer) -> bool {
        self.rows
            .iter()
            .any(|r| r.owner == *peer || r.from.as_ref() == Some(peer))
    }

    /// Lives of `id` before `life` that still appear: their records are lost for certain.
    pub fn earlier_lives(&self, id: &MemberId, life: Incarnation) -> Vec<Peer> {
        let mut lives: Vec<Peer> = self
            .rows
            .iter()
            .flat_map(|r| std::iter::once(&r.owner).chain(r.from.as_ref()))
            .filter(|p| p.id == *id && p.life < life)
            .cloned()
            .collect();
        lives.sort();
        lives.dedup();
        lives
    }

    /// A home leaves gracefully: its slots move to `others`, which wait for its hand-over. A slot
    /// whose own hand-over is still awaited stays until that is done.
    pub fn leave(&self, peer: &Peer, others: &[Peer]) -> Option<Placement> {
        let others: Vec<Peer> = others.iter().filter(|o| *o != peer).cloned().collect();
        let mut next = self.clone();
        let mut changed = false;
        let settled = |r: &SlotRow| r.owner == *peer && r.from.is_none();
        for (slot, row) in next.rows.iter_mut().enumerate().filter(|(_, r)| settled(r)) {
            row.owner = best(slot as u16, &others)?.clone();
            row.from = Some(peer.clone());
            changed = true;
        }
        next.epoch += 1;
        changed.then_some(next)
    }

    /// A home is confirmed gone: its slots move at once, and earlier keys become void.
    ///
    /// Where its own hand-over was still awaited nobody knows whether it happened: the earlier home
    /// must release the slot all the same, and its records do not count as complete.
    pub fn gone(&self, peer: &Peer, others: &[Peer], now: Moment) -> Option<Placement> {
        let others: Vec<Peer> = others.iter().filter(|o| *o != peer).cloned().collect();
        let void = now.after(SKEW);
        let mut next = self.clone();
        for (slot, row) in next.rows.iter_mut().enumerate() {
            if row.from.as_ref() == Some(peer) {
                row.from = None;
                row.void_before = void;
            }
            if row.owner == *peer {
                row.owner = best(slot as u16, &others)?.clone();
                row.void_before = void;
                // The earlier home may be the new owner again: it has nothing to wait for.
                row.from = row.from.take().filter(|f| *f != row.owner);
            }
        }
        next.epoch += 1;
        Some(next)
    }

    /// A sidecar becomes a home: it takes the slots that rendezvous hashing gives it.
    pub fn join(&self, peer: &Peer) -> Option<Placement> {
        let mut homes = self.homes();
        if homes.contains(peer) || homes.len() >= HOME_LIMIT {
            return None;
        }
        homes.push(peer.clone());
        let mut next = self.clone();
        for (slot, row) in next.rows.iter_mut().enumerate() {
            if row.from.is_none() && best(slot as u16, &homes) == Some(peer) {
                row.from = Some(std::mem::replace(&mut row.owner, peer.clone()));
            }
        }
        next.epoch += 1;
        Some(next)
    }

    /// The owner took over what `from` held: nothing is awaited for these slots any more.
    pub fn taken(&self, owner: &Peer, slots: &[u16]) -> Option<Placement> {
        let mut next = self.clone();
        let mut changed = false;
        for slot in slots {
            let row = next.rows.get_mut(usize::from(*slot))?;
            if row.owner == *owner && row.from.take().is_some() {
                changed = true;
            }
        }
        next.epoch += 1;
        changed.then_some(next)
    }
}

/// The home that rendezvous hashing names for a slot.
fn best(slot: u16, homes: &[Peer]) -> Option<&Peer> {
    homes
        .iter()
        .max_by_key(|h| xxh3_64_with_seed(h.id.0.as_bytes(), u64::from(slot)))
}
