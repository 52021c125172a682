//! Configuration: two operators, one store whose answers get lost and whose writes may come late,
//! members that put revisions in force, restart, and are served older values.

use std::collections::BTreeSet;

use crate::explore::Spec;

/// A rule left out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// All rules hold.
    None,
    /// The manifest is written whatever its index.
    NoSwap,
    /// A lost answer is followed by another write.
    WriteAgain,
    /// A lost answer whose change is not seen by a read counts as refused.
    ReadSaysNo,
    /// A member puts any revision in force that it is given.
    AnyRevision,
    /// A change is called accepted before its answer.
    AcceptedEarly,
}

/// All mutants.
pub const MUTANTS: [Mutant; 5] = [
    Mutant::NoSwap,
    Mutant::WriteAgain,
    Mutant::ReadSaysNo,
    Mutant::AnyRevision,
    Mutant::AcceptedEarly,
];

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Write {
    operator: u8,
    /// Index that the writer saw.
    index: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Operator {
    Idle,
    Read {
        index: u8,
    },
    Sent {
        index: u8,
    },
    /// The answer is lost; only reading is left.
    Unsure,
    Accepted,
    Refused,
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Config {
    mutant: Mutant,
    /// Changes in the stored history, oldest first; the index is their number.
    history: Vec<u8>,
    operators: [Operator; 2],
    late: BTreeSet<Write>,
    members: [u8; 2],
    highest: [u8; 2],
    restarts: u8,
    reverted: bool,
}

impl Config {
    /// The first state: nothing is stored.
    pub fn new(mutant: Mutant) -> Self {
        Config {
            mutant,
            history: Vec::new(),
            operators: [Operator::Idle, Operator::Idle],
            late: BTreeSet::new(),
            members: [0, 0],
            highest: [0, 0],
            restarts: 1,
            reverted: false,
        }
    }

    fn apply(&mut self, write: Write) -> bool {
        let fits = usize::from(write.index) == self.history.len();
        if !fits && self.mutant != Mutant::NoSwap {
            return false;
        }
        if self.mutant == Mutant::NoSwap {
            self.history.truncate(usize::from(write.index));
        }
        self.history.push(write.operator);
        true
    }

    fn operate(&self, i: usize, out: &mut Vec<(String, Config)>) {
        let mut push = |label: &str, f: &dyn Fn(&mut Config)| {
            let mut s = self.clone();
            f(&mut s);
            if s != *self {
                out.push((format!("operator {i}: {label}"), s));
            }
        };
        let operator = i as u8;
        match self.operators[i] {
            Operator::Idle => push("reads", &|s| {
                s.operators[i] = Operator::Read {
                    index: s.history.len() as u8,
                };
            }),
            Operator::Read { index } => push("writes", &|s| {
                s.late.insert(Write { operator, index });
                s.operators[i] = match s.mutant {
                    Mutant::AcceptedEarly => Operator::Accepted,
                    _ => Operator::Sent { index },
                };
            }),
            Operator::Sent { index } => {
                let write = Write { operator, index };
                if self.late.contains(&write) {
                    push("gets an answer", &|s| {
                        s.late.remove(&write);
                        let ok = s.apply(write);
                        s.operators[i] = if ok {
                            Operator::Accepted
                        } else {
                            Operator::Refused
                        };
                    });
                }
                push("loses the answer", &|s| {
                    s.operators[i] = match s.mutant {
                        Mutant::WriteAgain => Operator::Idle,
                        _ => Operator::Unsure,
                    };
                });
            }
            Operator::Unsure => push("reads again", &|s| {
                if s.history.contains(&operator) {
                    s.operators[i] = Operator::Accepted;
                } else if s.mutant == Mutant::ReadSaysNo {
                    s.operators[i] = Operator::Refused;
                } else if !s
                    .late
                    .iter()
                    .any(|w| usize::from(w.index) == s.history.len())
                {
                    // The index has moved on: the write can't take effect any more.
                    s.operators[i] = Operator::Refused;
                }
            }),
            Operator::Accepted | Operator::Refused => {}
        }
    }

    fn spread(&self, out: &mut Vec<(String, Config)>) {
        for m in 0..2 {
            // From the store, an older value of it, or the other member.
            for given in 0..=self.history.len() as u8 {
                let mut s = self.clone();
                if given > s.members[m] || s.mutant == Mutant::AnyRevision {
                    s.members[m] = given;
                    s.reverted |= given < s.highest[m];
                    s.highest[m] = s.highest[m].max(given);
                }
                if s != *self {
                    out.push((format!("member {m} is given revision {given}"), s));
                }
            }
            if self.restarts > 0 && self.members[m] > 0 {
                let mut s = self.clone();
                s.restarts -= 1;
                // A new life answers nothing until it has a revision from peers or the store.
                s.members[m] = 0;
                s.highest[m] = 0;
                out.push((format!("member {m} restarts"), s));
            }
        }
    }
}

impl Spec for Config {
    type Label = String;

    fn next(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        for i in 0..2 {
            self.operate(i, &mut out);
        }
        for write in &self.late {
            let mut s = self.clone();
            s.late.remove(write);
            s.apply(*write);
            out.push((format!("{write:?} takes effect late"), s));
        }
        self.spread(&mut out);
        out
    }

    fn broken(&self) -> Option<&'static str> {
        for i in 0..2_u8 {
            let count = self.history.iter().filter(|o| **o == i).count();
            if count > 1 {
                return Some("a change was accepted twice");
            }
            match self.operators[usize::from(i)] {
                Operator::Accepted if count == 0 => return Some("an accepted change is gone"),
                Operator::Refused if count > 0 => return Some("a refused change took effect"),
                _ => {}
            }
        }
        self.reverted
            .then_some("a member went back to an older revision")
    }
}
