//! Who changes the placement, and when.
//!
//! Every change is one compare-and-swap of the whole document, so two members that act at once
//! cannot both succeed. Each rule can be applied again without harm, so a lost answer needs no care.

use std::time::Duration;

use super::{HOME_LIMIT, Placement, SLOT_COUNT};
use crate::ids::Peer;
use crate::members::{Members, Role, Standing};
use crate::time::Moment;

/// How long the membership must be known before a first placement is made.
pub const QUIET: Duration = Duration::from_millis(1_500);

/// A change that this process should make now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// No placement exists: make one.
    Found,
    /// A home is gone for certain.
    Gone(Peer),
    /// This process becomes a home.
    Join,
    /// This process stops being a home.
    Leave,
    /// This process took these slots over.
    Taken(Vec<u16>),
}

impl Change {
    /// The document after the change; `None` when nothing is to be changed.
    pub fn apply(
        &self,
        now: Moment,
        me: &Peer,
        homes: &[Peer],
        old: &Placement,
    ) -> Option<Placement> {
        match self {
            Change::Found if old.epoch == 0 => Placement::found(homes, SLOT_COUNT),
            Change::Found => None,
            Change::Gone(peer) if old.mentions(peer) => old.gone(peer, homes, now),
            Change::Gone(_) => None,
            Change::Join => old.join(me),
            Change::Leave if old.homes().contains(me) => old.leave(me, homes),
            Change::Leave => None,
            Change::Taken(slots) => old.taken(me, slots),
        }
    }
}

/// Sidecars that may own slots.
pub fn able_homes(members: &Members) -> Vec<Peer> {
    let mut homes: Vec<Peer> = members
        .usable(Role::Sidecar)
        .map(|c| c.peer.clone())
        .collect();
    homes.sort();
    homes
}

/// What this process should change in the placement in force.
pub fn wanted(
    members: &Members,
    placement: &Placement,
    checked: bool,
    up_since: Moment,
    now: Moment,
) -> Option<Change> {
    let me = members.me();
    if me.role != Role::Sidecar {
        return None;
    }
    if placement.epoch == 0 {
        let quiet = up_since.after(QUIET) <= now;
        let first = able_homes(members).first() == Some(&me.peer);
        return (checked && quiet && first).then_some(Change::Found);
    }
    let earlier = placement.earlier_lives(&me.peer.id, me.peer.life);
    if let Some(peer) = earlier.into_iter().next() {
        return Some(Change::Gone(peer));
    }
    let homes = placement.homes();
    if me.standing != Standing::Live {
        return homes.contains(&me.peer).then_some(Change::Leave);
    }
    if let Some(gone) = ended_home(members, placement)
        && able_homes(members).iter().take(2).any(|p| *p == me.peer)
    {
        return Some(Change::Gone(gone));
    }
    (!homes.contains(&me.peer) && homes.len() < HOME_LIMIT).then_some(Change::Join)
}

fn ended_home(members: &Members, placement: &Placement) -> Option<Peer> {
    let owners = placement
        .rows
        .iter()
        .flat_map(|r| std::iter::once(&r.owner).chain(r.from.as_ref()));
    let mut last: Option<&Peer> = None;
    for peer in owners {
        if last == Some(peer) {
            continue;
        }
        last = Some(peer);
        if members.ended(peer) {
            return Some(peer.clone());
        }
    }
    None
}
