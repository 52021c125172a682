//! How news that a backend server leaves reaches three gateways of a zone, in whole ticks of time.
//!
//! Two of them follow the store, the third hears of it from these. The store may fall silent to any of
//! them, and a configuration may be written that takes longer to read than a leaving server is served. The
//! invariant: once the bound is over, everybody knows of the leaving, if the store was silent to one
//! gateway at least at no time since; nobody has to know what nobody could hear.

use crate::explore::Spec;

/// A rule left out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// All rules hold.
    None,
    /// A watch is kept waiting for the bound of contact.
    LongWatch,
    /// Who has heard nothing for long goes on saying that it hears the store.
    SaysHeard,
    /// The list is not followed beside an answer that takes long to read.
    NoBypass,
    /// A peer is asked for nothing else while its configuration comes.
    OnePull,
    /// Long watches, and who leads asks no peer while it takes itself for well informed.
    TrustsItself,
}

/// All mutants.
pub const MUTANTS: [Mutant; 5] =
    [Mutant::LongWatch, Mutant::SaysHeard, Mutant::NoBypass, Mutant::OnePull, Mutant::TrustsItself];

/// Gateways.
const GATES: usize = 3;
/// Gateways that follow the store, as long as they hear it.
const DELEGATES: usize = 2;
/// Ticks, of some 0.15 s, until a leaving server must be sent nothing more.
const BOUND: u8 = 13;
/// Ticks for which a belief may stand without being heard to hold; the rest is needed to hear from others.
const SILENCE: u8 = 7;
/// Ticks that a watch waits where only the bound of contact counts.
const CONTACT: u8 = 18;
/// Ticks that a configuration takes over a slow link.
pub const BULK: u8 = 15;
/// Ticks after which who leads asks peers that know more.
const PATIENCE: u8 = 3;
/// Ticks after which another gateway takes a delegate's place.
const STEP: u8 = 1;
/// Times that the store may fall silent to some, or answer again.
const CHANGES: u8 = 2;
/// Last tick at which the server may say that it leaves: by then a belief may have stood for as long as it
/// may. The search ends when the bound is over after that.
const LEAVES_BY: u8 = SILENCE;

/// An answer whose body is being read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Reading {
    until: u8,
    /// It says that the server leaves.
    leaving: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Gate {
    follows: bool,
    away: bool,
    known_at: u8,
    reading: Option<Reading>,
    /// A configuration comes from a peer until then.
    pull: Option<u8>,
    has_config: bool,
    knows: bool,
    behind_since: Option<u8>,
    missed_since: Option<u8>,
    /// The store answers it, since when.
    open_since: Option<u8>,
}

impl Gate {
    fn new(follows: bool) -> Self {
        Gate {
            follows,
            away: false,
            known_at: 0,
            reading: None,
            pull: None,
            has_config: false,
            knows: false,
            behind_since: None,
            missed_since: None,
            open_since: Some(0),
        }
    }
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct News {
    mutant: Mutant,
    /// Ticks that a configuration takes from the store.
    reading: u8,
    now: u8,
    gates: [Gate; GATES],
    left_at: Option<u8>,
    configured: bool,
    changes: u8,
}

impl News {
    /// The first state: all hear the store and nothing happened. Who follows the store reads a
    /// configuration in so many ticks; from a peer it always takes long.
    pub fn new(mutant: Mutant, reading: u8) -> Self {
        let gates = [0, 1, 2].map(|n| Gate::new(n < DELEGATES));
        News { mutant, reading, now: 0, gates, left_at: None, configured: false, changes: 0 }
    }

    fn silence(&self) -> u8 {
        match self.mutant {
            Mutant::LongWatch | Mutant::TrustsItself => CONTACT,
            _ => SILENCE,
        }
    }

    /// Does it tell its zone that it hears the store?
    fn says_heard(&self, gate: &Gate) -> bool {
        let fresh = !gate.away && self.now - gate.known_at <= self.silence();
        gate.follows && (fresh || self.mutant == Mutant::SaysHeard)
    }

    /// A tick in which messages that were sent in the one before arrive.
    fn tick(&self) -> News {
        let mut next = self.clone();
        next.now += 1;
        for n in 0..GATES {
            let mut gate = self.gates[n];
            if gate.follows {
                next.ask_store(&mut gate);
            }
            let heard = self.gates[..n].iter().filter(|g| self.says_heard(g)).count();
            next.judge_role(&mut gate, heard);
            self.ask_peers(&mut gate, n, heard, next.now);
            next.gates[n] = gate;
        }
        next
    }

    fn ask_store(&self, gate: &mut Gate) {
        if gate.open_since.is_none() {
            gate.reading = None;
            gate.away |= self.now - gate.known_at >= self.silence();
            return;
        }
        gate.away = false;
        let left = self.left_at.is_some();
        match gate.reading {
            Some(reading) if reading.until <= self.now => {
                gate.reading = None;
                gate.has_config = true;
                gate.knows |= reading.leaving;
                gate.known_at = self.now;
            }
            Some(_) if self.mutant == Mutant::NoBypass => {}
            Some(_) => {
                gate.knows |= left;
                gate.known_at = self.now;
            }
            None if self.configured && !gate.has_config => {
                let reading = Reading { until: self.now + self.reading, leaving: left };
                gate.reading = Some(reading);
                gate.known_at = self.now;
            }
            None => {
                gate.knows |= left;
                gate.known_at = self.now;
            }
        }
    }

    fn judge_role(&self, gate: &mut Gate, heard: usize) {
        if heard >= DELEGATES {
            gate.missed_since = None;
            gate.follows = false;
            gate.reading = None;
            return;
        }
        let since = *gate.missed_since.get_or_insert(self.now);
        if !gate.follows && self.now - since >= STEP {
            // Nothing is known of the store until it has answered.
            (gate.follows, gate.away, gate.known_at) = (true, true, self.now);
        }
    }

    fn ask_peers(&self, gate: &mut Gate, n: usize, heard: usize, now: u8) {
        let others = || self.gates.iter().enumerate().filter(|(m, _)| *m != n).map(|(_, g)| g);
        if gate.pull.is_some_and(|until| until <= now) {
            gate.pull = None;
            gate.has_config = true;
        }
        if !gate.knows && others().any(|g| g.knows) {
            let since = *gate.behind_since.get_or_insert(now);
            let direct = gate.follows && heard == 0 && !gate.away;
            let behind = now - since >= PATIENCE && self.mutant != Mutant::TrustsItself;
            let busy = self.mutant == Mutant::OnePull && gate.pull.is_some();
            gate.knows = (!direct || behind) && !busy;
        }
        if !gate.has_config && gate.pull.is_none() && others().any(|g| g.has_config) {
            gate.pull = Some(now + BULK);
        }
    }

    /// The store answers just those of a set from now on.
    fn answering(&self, set: usize) -> News {
        let mut next = self.clone();
        next.changes += 1;
        for (n, gate) in next.gates.iter_mut().enumerate() {
            let open = set & (1 << n) != 0;
            gate.open_since = open.then(|| gate.open_since.unwrap_or(self.now));
        }
        next
    }
}

impl Spec for News {
    type Label = String;

    fn next(&self) -> Vec<(String, Self)> {
        let over = self.left_at.map_or(self.now > LEAVES_BY, |at| self.now > at + BOUND);
        if over {
            return Vec::new();
        }
        let mut out = vec![(format!("tick {}", self.now + 1), self.tick())];
        if self.left_at.is_none() {
            let mut s = self.clone();
            s.left_at = Some(s.now);
            out.push(("the server says that it leaves".to_owned(), s));
        }
        if !self.configured {
            let mut s = self.clone();
            s.configured = true;
            out.push(("a large configuration is written".to_owned(), s));
        }
        if self.changes < CHANGES {
            for set in 0..1 << GATES {
                out.push((format!("the store answers {set:03b}"), self.answering(set)));
            }
        }
        out
    }

    fn broken(&self) -> Option<&'static str> {
        let left_at = self.left_at?;
        let audible = |g: &Gate| g.open_since.is_some_and(|since| since <= left_at);
        let late = self.now > left_at + BOUND && self.gates.iter().any(audible);
        let sends = self.gates.iter().any(|g| !g.knows);
        (late && sends).then_some("a server that left is sent requests")
    }
}
