//! Orders to an engine that ignores fencing numbers: two holders, one sidecar, whole ticks of time.
//!
//! An order passes the sidecar's gate and reaches the engine up to `DELAY` ticks later. The
//! invariant: the engine never takes an order of an older number after one of a newer number.

use crate::explore::Spec;

/// A rule left out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// All rules hold.
    None,
    /// The gate does not wait for orders of the earlier holder.
    NoWait,
    /// The gate does not refuse old numbers.
    OldNumbers,
    /// A restarted sidecar takes orders before it has read the platform.
    NoRead,
    /// A restarted sidecar does not wait for orders that its earlier life sent.
    NoQuiet,
}

/// All mutants.
pub const MUTANTS: [Mutant; 4] = [
    Mutant::NoWait,
    Mutant::OldNumbers,
    Mutant::NoRead,
    Mutant::NoQuiet,
];

const DELAY: u8 = 2;
const HORIZON: u8 = 9;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Flying {
    fence: u8,
    until: u8,
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Orders {
    mutant: Mutant,
    now: u8,
    /// Highest number given out by the platform.
    given: u8,
    /// Highest number the gate saw; none until the platform was read.
    seen: Option<u8>,
    quiet_at: u8,
    flying: Vec<Flying>,
    taken: u8,
    restarts: u8,
    broken: bool,
}

impl Orders {
    /// The first state.
    pub fn new(mutant: Mutant) -> Self {
        Orders {
            mutant,
            now: 0,
            given: 0,
            seen: Some(0),
            quiet_at: 0,
            flying: Vec::new(),
            taken: 0,
            restarts: 1,
            broken: false,
        }
    }

    fn pass(&self, fence: u8) -> Option<Orders> {
        let mut s = self.clone();
        let seen = match (s.seen, s.mutant) {
            (Some(seen), _) => seen,
            (None, Mutant::NoRead) => 0,
            (None, _) => return None,
        };
        if fence < seen && s.mutant != Mutant::OldNumbers {
            return None;
        }
        if fence > seen && s.mutant != Mutant::NoWait {
            s.quiet_at = s.quiet_at.max(s.now + DELAY);
        }
        s.seen = Some(seen.max(fence));
        if s.now > s.quiet_at || s.quiet_at == 0 {
            s.flying.push(Flying {
                fence,
                until: s.now + DELAY,
            });
            s.flying.sort_unstable();
        }
        Some(s)
    }
}

impl Spec for Orders {
    type Label = String;

    fn next(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        if self.now < HORIZON && self.flying.iter().all(|f| f.until > self.now) {
            let mut s = self.clone();
            s.now += 1;
            out.push((format!("tick {}", s.now), s));
        }
        if self.given < 3 {
            let mut s = self.clone();
            s.given += 1;
            out.push((format!("number {} is given out", s.given), s));
        }
        // A paused holder may send its old number at any time.
        for fence in 1..=self.given {
            if self.flying.len() < 3
                && let Some(s) = self.pass(fence)
                && s != *self
            {
                out.push((format!("order {fence} comes to the gate"), s));
            }
        }
        for i in 0..self.flying.len() {
            let mut s = self.clone();
            let order = s.flying.remove(i);
            s.broken |= order.fence < s.taken;
            s.taken = s.taken.max(order.fence);
            out.push((format!("the engine takes order {}", order.fence), s));
        }
        if self.restarts > 0 {
            let mut s = self.clone();
            s.restarts -= 1;
            s.seen = None;
            s.quiet_at = 0;
            out.push(("the sidecar restarts".to_owned(), s));
        }
        if self.seen.is_none() {
            let mut s = self.clone();
            s.seen = Some(s.given);
            if s.mutant != Mutant::NoQuiet {
                s.quiet_at = s.now + DELAY;
            }
            out.push(("the sidecar reads the platform".to_owned(), s));
        }
        out
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
            .then_some("the engine took an older order after a newer one")
    }
}
