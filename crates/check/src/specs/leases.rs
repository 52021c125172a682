//! Leases and cancel: a caller, an entry, a sidecar and its engine, in whole ticks of time.
//!
//! The entry renews while it lives and is not paused. The invariant: a tick that is later than the
//! last sign of the caller's entry by the lease and the window finds no memory held.

use crate::explore::Spec;

/// A rule left out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// All rules hold.
    None,
    /// A lapsed lease frees nothing.
    NoLapse,
    /// A restarted sidecar does not sweep its engine.
    NoSweep,
    /// A hang-up is not passed on.
    NoDetach,
    /// A renewal without an attach brings an orphan back.
    RenewRevives,
}

/// All mutants.
pub const MUTANTS: [Mutant; 4] = [
    Mutant::NoLapse,
    Mutant::NoSweep,
    Mutant::NoDetach,
    Mutant::RenewRevives,
];

/// Ticks a lease lasts.
const LEASE: u8 = 2;
/// Ticks slow work goes on without a caller.
const WINDOW: u8 = 2;
/// Ticks a cancel may take to reach the engine.
const SLACK: u8 = 1;
/// Ticks searched.
const HORIZON: u8 = 12;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Entry {
    Works,
    Paused { until: u8 },
    Dead,
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leases {
    mutant: Mutant,
    now: u8,
    entry: Entry,
    caller_gone: bool,
    /// The tick at which nobody wanted the answer any more.
    gone_at: Option<u8>,
    detach_sent: bool,
    lease_end: u8,
    owned: bool,
    orphan_at: Option<u8>,
    /// The sidecar knows of the run.
    known: bool,
    held: bool,
    restarts: u8,
    pauses: u8,
}

impl Leases {
    /// The first state: a run is under way.
    pub fn new(mutant: Mutant) -> Self {
        Leases {
            mutant,
            now: 0,
            entry: Entry::Works,
            caller_gone: false,
            gone_at: None,
            detach_sent: false,
            lease_end: LEASE,
            owned: true,
            orphan_at: None,
            known: true,
            held: true,
            restarts: 1,
            pauses: 1,
        }
    }

    fn leave(&mut self) {
        self.gone_at.get_or_insert(self.now);
    }

    fn tick(&self) -> Leases {
        let mut s = self.clone();
        s.now += 1;
        if s.entry == (Entry::Paused { until: s.now }) {
            s.entry = Entry::Works;
        }
        if s.entry == Entry::Works {
            // A heartbeat a tick; it arrives within the tick.
            s.lease_end = s.now + LEASE;
            if s.mutant == Mutant::RenewRevives && s.known {
                s.owned = true;
                s.orphan_at = None;
            }
        }
        if s.detach_sent && s.known && s.owned && s.mutant != Mutant::NoDetach {
            s.owned = false;
            s.orphan_at = Some(s.now + WINDOW);
        }
        if s.now >= s.lease_end && s.owned && s.mutant != Mutant::NoLapse {
            s.owned = false;
            s.orphan_at = Some(s.now + WINDOW);
        }
        if s.known && !s.owned && s.orphan_at.is_some_and(|at| at <= s.now) {
            s.known = false;
            s.held = false;
        }
        s
    }
}

impl Spec for Leases {
    type Label = String;

    fn next(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        if self.now < HORIZON {
            out.push((format!("tick {}", self.now + 1), self.tick()));
        }
        if self.entry == Entry::Works && !self.caller_gone {
            let mut s = self.clone();
            s.caller_gone = true;
            s.detach_sent = true;
            s.leave();
            out.push(("the caller hangs up".to_owned(), s));
        }
        if self.entry != Entry::Dead {
            let mut s = self.clone();
            s.entry = Entry::Dead;
            s.leave();
            out.push(("the entry dies".to_owned(), s));
        }
        if self.entry == Entry::Works && self.pauses > 0 {
            for length in [1, 3, 5] {
                let mut s = self.clone();
                s.pauses -= 1;
                s.entry = Entry::Paused {
                    until: s.now + length,
                };
                out.push((format!("the entry is paused for {length}"), s));
            }
        }
        if self.restarts > 0 {
            let mut s = self.clone();
            s.restarts -= 1;
            s.known = false;
            s.owned = false;
            s.orphan_at = None;
            s.leave();
            if s.mutant != Mutant::NoSweep {
                s.held = false;
            }
            out.push(("the sidecar restarts".to_owned(), s));
        }
        out
    }

    fn broken(&self) -> Option<&'static str> {
        let gone_at = self.gone_at?;
        let late = self.now > gone_at + LEASE + WINDOW + SLACK;
        (late && self.held).then_some("engine memory is held for nobody")
    }
}
