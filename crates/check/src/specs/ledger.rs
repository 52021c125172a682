//! The ledger: one key, two submissions through two entries, two homes, two executors.
//!
//! The network is the set of all messages ever sent; any of them may be delivered at any time, any
//! number of times, or never: loss, delay, reordering and repetition at once. A message names the
//! life of its receiver, as a link does. Processes crash and come back empty; the platform moves the
//! slot; each process learns of that whenever it likes.

use std::collections::BTreeSet;

use crate::explore::Spec;

/// A rule left out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// All rules hold.
    None,
    /// A new home owns the slot before the old one handed over.
    OwnsAtOnce,
    /// Keys issued before a takeover without a hand-over stay valid.
    OldKeysValid,
    /// A refusal does not seal.
    RefusalOpen,
    /// An executor admits what was meant for its earlier life.
    AnyLife,
    /// A lost attempt that may run once is granted again.
    LostAgain,
    /// An unanswered claim is reported as not run.
    ClaimlessNotRun,
    /// A home is called gone while it lives.
    GoneEarly,
    /// An attach to an unknown attempt is answered as sealed without a seal.
    AttachOpen,
    /// `not-run` is said before the home confirmed.
    Unsettled,
    /// A home grants a second attempt whatever attempt it replaces.
    AnyAttempt,
    /// The old home goes on after it handed over.
    KeepsSlot,
    /// An executor answers for attempts of its earlier life.
    AttachAnyLife,
    /// A home puts an epoch in force that lies before one it released a slot for.
    NoFloor,
    /// A slot moves on before its hand-over is done.
    MovesOn,
    /// A key whose earlier records are lost is called clean.
    VoidClean,
    /// A home forgets a key that may have run when its last attempt is sealed.
    ForgetsRun,
}

/// All mutants.
pub const MUTANTS: [Mutant; 16] = [
    Mutant::OwnsAtOnce,
    Mutant::OldKeysValid,
    Mutant::RefusalOpen,
    Mutant::AnyLife,
    Mutant::LostAgain,
    Mutant::ClaimlessNotRun,
    Mutant::GoneEarly,
    Mutant::AttachOpen,
    Mutant::Unsettled,
    Mutant::AnyAttempt,
    Mutant::KeepsSlot,
    Mutant::AttachAnyLife,
    Mutant::NoFloor,
    Mutant::MovesOn,
    Mutant::VoidClean,
    Mutant::ForgetsRun,
];

type Id = u8;

/// A process in one of its lives.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Life {
    id: Id,
    life: u8,
}

/// An attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Try {
    home: Life,
    number: u8,
}

/// What a home records.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Record {
    Open {
        at: Try,
        executor: Life,
        clean: bool,
    },
    Lost,
    Vacant,
}

/// A message.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[allow(missing_docs)]
pub enum Message {
    Claim {
        entry: Id,
        home: Life,
        executor: Life,
    },
    Reassign {
        entry: Id,
        home: Life,
        at: Try,
        sealed: bool,
        executor: Life,
    },
    Settle {
        entry: Id,
        home: Life,
        at: Try,
    },
    Granted {
        entry: Id,
        at: Try,
        executor: Life,
    },
    Existing {
        entry: Id,
        at: Try,
        executor: Life,
    },
    NoAnswerHere {
        entry: Id,
    },
    Void {
        entry: Id,
    },
    Settled {
        entry: Id,
        at: Try,
        clean: bool,
    },
    Admit {
        entry: Id,
        at: Try,
        executor: Life,
    },
    Attach {
        entry: Id,
        at: Try,
        executor: Life,
    },
    Done {
        entry: Id,
        at: Try,
    },
    Sealed {
        entry: Id,
        at: Try,
    },
    OtherLife {
        entry: Id,
        at: Try,
    },
    TakeOver {
        from: Life,
        epoch: u8,
    },
    HandOver {
        to: Life,
        epoch: u8,
        record: Option<Record>,
    },
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Phase {
    Idle,
    Claiming { home: Life },
    Asking { home: Life, at: Try, executor: Life },
    Moving { home: Life, at: Try, sealed: bool },
    Settling { at: Try },
    Answered,
    NotRun,
    MayHaveRun,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Home {
    life: u8,
    epoch: u8,
    floor: u8,
    owned: bool,
    record: Option<Record>,
    count: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Executor {
    life: u8,
    sealed: BTreeSet<Try>,
    ran: BTreeSet<Try>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Entry {
    phase: Phase,
    tries: u8,
    used: BTreeSet<Try>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Placed {
    owner: Life,
    from: Option<Life>,
    void: bool,
}

/// A step, for traces.
#[derive(Clone, Copy, Debug)]
pub enum Label {
    /// An entry claims the key at a home, in its view of this epoch.
    Claims { entry: u8, home: u8, epoch: u8 },
    /// An entry asks its executor again.
    AttachesAgain { entry: u8 },
    /// An entry waits no longer.
    WaitsNoLonger { entry: u8 },
    /// A message is delivered.
    Delivered(Message),
    /// An admission is refused.
    Refused(Message),
    /// A home learns an epoch.
    Learns { home: u8, epoch: u8 },
    /// The platform confirms that a home is gone.
    Gone { home: u8 },
    /// The slot moves.
    Moves { to: u8 },
    /// The owner notes that it took over.
    Taken,
    /// A home crashes.
    HomeCrashes(u8),
    /// An executor crashes.
    ExecutorCrashes(u8),
}

type Out = Vec<(Label, Ledger)>;

/// Bounds of a search.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Bounds {
    /// Crashes, over all processes.
    pub crashes: u8,
    /// Moves of the slot.
    pub moves: u8,
    /// Attempts an entry asks for.
    pub tries: u8,
}

/// A state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ledger {
    mutant: Mutant,
    once: bool,
    bounds: Bounds,
    placements: Vec<Placed>,
    homes: [Home; 2],
    executors: [Executor; 2],
    entries: [Entry; 2],
    net: Vec<Message>,
    runs: u8,
    lied: bool,
}

impl Ledger {
    /// The first state: the slot lies with home 0.
    pub fn new(once: bool, bounds: Bounds, mutant: Mutant) -> Self {
        let home = |owned| Home {
            life: 0,
            epoch: 0,
            floor: 0,
            owned,
            record: None,
            count: 0,
        };
        let executor = Executor {
            life: 0,
            sealed: BTreeSet::new(),
            ran: BTreeSet::new(),
        };
        let entry = Entry {
            phase: Phase::Idle,
            tries: 0,
            used: BTreeSet::new(),
        };
        let owner = Life { id: 0, life: 0 };
        Ledger {
            mutant,
            once,
            bounds,
            placements: vec![Placed {
                owner,
                from: None,
                void: false,
            }],
            homes: [home(true), home(false)],
            executors: [executor.clone(), executor],
            entries: [entry.clone(), entry],
            net: Vec::new(),
            runs: 0,
            lied: false,
        }
    }

    fn is(&self, mutant: Mutant) -> bool {
        self.mutant == mutant
    }

    fn home_alive(&self, home: Life) -> bool {
        self.homes[usize::from(home.id)].life == home.life
    }

    fn executor_life(&self, id: Id) -> Life {
        Life {
            id,
            life: self.executors[usize::from(id)].life,
        }
    }

    fn send(&mut self, message: Message) {
        if let Err(at) = self.net.binary_search(&message) {
            self.net.insert(at, message);
        }
    }

    fn finish(&mut self, entry: Id, phase: Phase) {
        self.entries[usize::from(entry)].phase = phase;
    }

    /// Says `not-run` without the home's word.
    fn claim_not_run(&mut self, entry: Id) {
        self.lied |= self.runs > 0;
        self.finish(entry, Phase::NotRun);
    }

    /// Forgets messages that can change nothing any more.
    fn prune(&mut self) {
        let ended = |e: Id| {
            matches!(
                self.entries[usize::from(e)].phase,
                Phase::Answered | Phase::NotRun | Phase::MayHaveRun
            )
        };
        let home = |l: Life| self.homes[usize::from(l.id)].life == l.life;
        let executor = |l: Life| self.executors[usize::from(l.id)].life == l.life;
        let any_life = self.is(Mutant::AnyLife);
        let kept: Vec<Message> = self
            .net
            .iter()
            .copied()
            .filter(|m| match *m {
                Message::Claim { home: h, .. }
                | Message::Reassign { home: h, .. }
                | Message::Settle { home: h, .. } => home(h),
                Message::TakeOver { from, .. } => home(from),
                Message::HandOver { to, .. } => home(to),
                Message::Admit {
                    entry, executor: x, ..
                } => executor(x) || any_life || !ended(entry),
                Message::Attach {
                    entry, executor: x, ..
                } => executor(x) || !ended(entry),
                Message::Granted { entry, .. }
                | Message::Existing { entry, .. }
                | Message::NoAnswerHere { entry }
                | Message::Void { entry }
                | Message::Settled { entry, .. }
                | Message::Done { entry, .. }
                | Message::Sealed { entry, .. }
                | Message::OtherLife { entry, .. } => !ended(entry),
            })
            .collect();
        self.net = kept;
    }

    fn run(&mut self, executor: Id, at: Try) {
        self.runs = (self.runs + 1).min(3);
        self.executors[usize::from(executor)].ran.insert(at);
        let told_otherwise = |e: &Entry| e.phase == Phase::NotRun && e.used.contains(&at);
        if self.entries.iter().any(told_otherwise) {
            self.lied = true;
        }
    }

    fn begin(&self, out: &mut Out) {
        for (e, entry) in self.entries.iter().enumerate() {
            if entry.phase != Phase::Idle {
                continue;
            }
            // Any view, however old. Each entry prefers an executor of its own.
            for (epoch, placed) in self.placements.iter().enumerate() {
                let mut s = self.clone();
                let home = placed.owner;
                let executor = self.executor_life(e as Id);
                s.entries[e].phase = Phase::Claiming { home };
                s.send(Message::Claim {
                    entry: e as Id,
                    home,
                    executor,
                });
                let label = Label::Claims {
                    entry: e as u8,
                    home: home.id,
                    epoch: epoch as u8,
                };
                out.push((label, s));
            }
        }
    }

    /// An entry gives up waiting.
    fn time_out(&self, out: &mut Out) {
        for (e, entry) in self.entries.iter().enumerate() {
            let mut s = self.clone();
            match entry.phase {
                Phase::Claiming { .. } if self.is(Mutant::ClaimlessNotRun) => {
                    s.claim_not_run(e as Id);
                }
                Phase::Claiming { .. } | Phase::Settling { .. } | Phase::Moving { .. } => {
                    s.finish(e as Id, Phase::MayHaveRun);
                }
                Phase::Asking { home, at, executor } => {
                    let mut again = self.clone();
                    again.send(Message::Attach {
                        entry: e as Id,
                        at,
                        executor,
                    });
                    out.push((Label::AttachesAgain { entry: e as u8 }, again));
                    s.lose(e as Id, home, at);
                }
                _ => continue,
            }
            out.push((Label::WaitsNoLonger { entry: e as u8 }, s));
        }
    }

    /// The executor can't be reached, or its life has ended.
    fn lose(&mut self, e: Id, home: Life, at: Try) {
        if self.once && !self.is(Mutant::LostAgain) {
            return self.finish(e, Phase::MayHaveRun);
        }
        self.move_on(e, home, at, false);
    }

    fn move_on(&mut self, e: Id, home: Life, at: Try, sealed: bool) {
        let i = usize::from(e);
        if self.entries[i].tries >= self.bounds.tries {
            return self.settle(e, home, at, sealed);
        }
        self.entries[i].tries += 1;
        self.entries[i].phase = Phase::Moving { home, at, sealed };
        let executor = self.executor_life((e + self.entries[i].tries) % 2);
        self.send(Message::Reassign {
            entry: e,
            home,
            at,
            sealed,
            executor,
        });
    }

    fn settle(&mut self, e: Id, home: Life, at: Try, sealed: bool) {
        if !sealed {
            return self.finish(e, Phase::MayHaveRun);
        }
        if self.is(Mutant::Unsettled) {
            return self.claim_not_run(e);
        }
        self.entries[usize::from(e)].phase = Phase::Settling { at };
        self.send(Message::Settle { entry: e, home, at });
    }

    fn deliver(&self, out: &mut Out) {
        for message in &self.net {
            let mut s = self.clone();
            s.receive(*message);
            if s != *self {
                out.push((Label::Delivered(*message), s));
            }
            if let Message::Admit {
                entry,
                at,
                executor,
            } = *message
            {
                let mut s = self.clone();
                s.refuse(entry, at, executor);
                if s != *self {
                    out.push((Label::Refused(*message), s));
                }
            }
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Claim {
                entry,
                home,
                executor,
            } => self.at_claim(entry, home, executor),
            Message::Reassign {
                entry,
                home,
                at,
                sealed,
                executor,
            } => {
                self.at_reassign(entry, home, at, sealed, executor);
            }
            Message::Settle { entry, home, at } => self.at_settle(entry, home, at),
            Message::Admit {
                entry,
                at,
                executor,
            } => self.at_admit(entry, at, executor),
            Message::Attach {
                entry,
                at,
                executor,
            } => self.at_attach(entry, at, executor),
            Message::TakeOver { from, epoch } => self.at_take_over(from, epoch),
            Message::HandOver { to, epoch, record } => self.at_hand_over(to, epoch, record),
            answer => self.at_entry(answer),
        }
    }

    fn answers(&self, home: Life) -> bool {
        self.home_alive(home) && self.homes[usize::from(home.id)].owned
    }

    fn at_claim(&mut self, entry: Id, home: Life, executor: Life) {
        if !self.home_alive(home) {
            return;
        }
        if !self.answers(home) {
            return self.send(Message::NoAnswerHere { entry });
        }
        let h = usize::from(home.id);
        match self.homes[h].record {
            Some(Record::Vacant) => return self.grant(entry, home, executor, false),
            Some(record) => return self.send_record(entry, record),
            None => {}
        }
        let void = self.placements[usize::from(self.homes[h].epoch)].void;
        if void && self.once && !self.is(Mutant::OldKeysValid) {
            return self.send(Message::Void { entry });
        }
        self.grant(entry, home, executor, !void || self.is(Mutant::VoidClean));
    }

    fn send_record(&mut self, entry: Id, record: Record) {
        match record {
            Record::Open { at, executor, .. } => {
                self.send(Message::Existing {
                    entry,
                    at,
                    executor,
                });
            }
            Record::Lost | Record::Vacant => self.send(Message::Void { entry }),
        }
    }

    fn grant(&mut self, entry: Id, home: Life, executor: Life, clean: bool) {
        let h = &mut self.homes[usize::from(home.id)];
        if h.count >= 4 {
            return;
        }
        h.count += 1;
        let at = Try {
            home,
            number: h.count,
        };
        h.record = Some(Record::Open {
            at,
            executor,
            clean,
        });
        self.send(Message::Granted {
            entry,
            at,
            executor,
        });
    }

    fn at_reassign(&mut self, entry: Id, home: Life, at: Try, sealed: bool, executor: Life) {
        if !self.answers(home) {
            return;
        }
        let h = usize::from(home.id);
        match self.homes[h].record {
            Some(Record::Open {
                at: current, clean, ..
            }) if current == at || self.is(Mutant::AnyAttempt) => {
                if !sealed && self.once && !self.is(Mutant::LostAgain) {
                    self.homes[h].record = Some(Record::Lost);
                    return self.send(Message::Void { entry });
                }
                self.grant(entry, home, executor, clean && sealed);
            }
            Some(Record::Vacant) => self.grant(entry, home, executor, false),
            Some(record) => self.send_record(entry, record),
            None => self.send(Message::Void { entry }),
        }
    }

    fn at_settle(&mut self, entry: Id, home: Life, at: Try) {
        if !self.answers(home) {
            return;
        }
        let h = usize::from(home.id);
        let clean = match self.homes[h].record {
            Some(Record::Open {
                at: current, clean, ..
            }) if current == at => {
                let keeps = !clean && !self.is(Mutant::ForgetsRun);
                self.homes[h].record = keeps.then_some(Record::Vacant);
                clean
            }
            _ => false,
        };
        // The home's word covers all submissions that it recorded before; one that comes later
        // speaks for itself.
        self.lied |= clean && self.runs > 0;
        self.send(Message::Settled { entry, at, clean });
    }

    fn at_admit(&mut self, entry: Id, at: Try, executor: Life) {
        let x = usize::from(executor.id);
        if self.executors[x].life != executor.life && !self.is(Mutant::AnyLife) {
            return self.send(Message::OtherLife { entry, at });
        }
        if self.executors[x].sealed.contains(&at) {
            return self.send(Message::Sealed { entry, at });
        }
        if !self.executors[x].ran.contains(&at) {
            self.run(executor.id, at);
        }
        self.send(Message::Done { entry, at });
    }

    fn refuse(&mut self, entry: Id, at: Try, executor: Life) {
        let x = &mut self.executors[usize::from(executor.id)];
        if x.life != executor.life || x.ran.contains(&at) {
            return;
        }
        if self.mutant != Mutant::RefusalOpen {
            x.sealed.insert(at);
        }
        self.send(Message::Sealed { entry, at });
    }

    fn at_attach(&mut self, entry: Id, at: Try, executor: Life) {
        let x = usize::from(executor.id);
        if self.executors[x].life != executor.life && !self.is(Mutant::AttachAnyLife) {
            return self.send(Message::OtherLife { entry, at });
        }
        if self.executors[x].ran.contains(&at) {
            return self.send(Message::Done { entry, at });
        }
        if !self.is(Mutant::AttachOpen) {
            self.executors[x].sealed.insert(at);
        }
        self.send(Message::Sealed { entry, at });
    }

    fn at_entry(&mut self, answer: Message) {
        match answer {
            Message::Granted {
                entry,
                at,
                executor,
            } => self.on_granted(entry, at, executor),
            Message::Existing {
                entry,
                at,
                executor,
            } => self.on_existing(entry, at, executor),
            Message::NoAnswerHere { entry } | Message::Void { entry } => {
                let phase = self.entries[usize::from(entry)].phase;
                if matches!(phase, Phase::Claiming { .. } | Phase::Moving { .. }) {
                    self.finish(entry, Phase::MayHaveRun);
                }
            }
            Message::Done { entry, at } if self.asks(entry, at).is_some() => {
                self.finish(entry, Phase::Answered);
            }
            Message::Sealed { entry, at } => {
                if let Some((home, _)) = self.asks(entry, at) {
                    self.move_on(entry, home, at, true);
                }
            }
            Message::OtherLife { entry, at } => {
                if let Some((home, _)) = self.asks(entry, at) {
                    self.lose(entry, home, at);
                }
            }
            Message::Settled { entry, at, clean }
                if self.entries[usize::from(entry)].phase == (Phase::Settling { at }) =>
            {
                let phase = if clean {
                    Phase::NotRun
                } else {
                    Phase::MayHaveRun
                };
                self.finish(entry, phase);
            }
            _ => {}
        }
    }

    fn asks(&self, entry: Id, at: Try) -> Option<(Life, Life)> {
        match self.entries[usize::from(entry)].phase {
            Phase::Asking {
                home,
                at: current,
                executor,
            } if current == at => Some((home, executor)),
            _ => None,
        }
    }

    fn home_asked(&self, entry: Id) -> Option<(Life, Option<Try>)> {
        match self.entries[usize::from(entry)].phase {
            Phase::Claiming { home } => Some((home, None)),
            Phase::Moving { home, at, .. } => Some((home, Some(at))),
            _ => None,
        }
    }

    fn on_granted(&mut self, entry: Id, at: Try, executor: Life) {
        let Some((home, before)) = self.home_asked(entry) else {
            return;
        };
        // An answer to an earlier question of this entry is recognised by its number.
        let used = &self.entries[usize::from(entry)].used;
        if at.home != home || Some(at) == before || used.contains(&at) {
            return;
        }
        self.entries[usize::from(entry)].used.insert(at);
        self.entries[usize::from(entry)].phase = Phase::Asking { home, at, executor };
        self.send(Message::Admit {
            entry,
            at,
            executor,
        });
    }

    fn on_existing(&mut self, entry: Id, at: Try, executor: Life) {
        let Some((home, before)) = self.home_asked(entry) else {
            return;
        };
        if Some(at) == before {
            return;
        }
        self.entries[usize::from(entry)].phase = Phase::Asking { home, at, executor };
        self.send(Message::Attach {
            entry,
            at,
            executor,
        });
    }

    fn at_take_over(&mut self, from: Life, epoch: u8) {
        if !self.home_alive(from) {
            return;
        }
        let keeps = self.is(Mutant::KeepsSlot);
        let h = &mut self.homes[usize::from(from.id)];
        if epoch < h.epoch || (epoch == h.epoch && h.owned) {
            return;
        }
        h.floor = h.floor.max(epoch);
        if !keeps {
            h.owned = false;
        }
        let record = h.record;
        let to = self.placements[usize::from(epoch)].owner;
        self.send(Message::HandOver { to, epoch, record });
    }

    fn at_hand_over(&mut self, to: Life, epoch: u8, record: Option<Record>) {
        if !self.home_alive(to) {
            return;
        }
        let no_floor = self.is(Mutant::NoFloor);
        let h = &mut self.homes[usize::from(to.id)];
        if h.epoch == epoch && !h.owned && (epoch >= h.floor || no_floor) {
            h.owned = true;
            h.record = record;
        }
    }

    fn learn(&self, out: &mut Out) {
        for id in 0..2_u8 {
            let h = &self.homes[usize::from(id)];
            for epoch in h.epoch + 1..self.placements.len() as u8 {
                if epoch < h.floor && !self.is(Mutant::NoFloor) {
                    continue;
                }
                let mut s = self.clone();
                s.adopt(Life { id, life: h.life }, epoch);
                out.push((Label::Learns { home: id, epoch }, s));
            }
        }
    }

    fn adopt(&mut self, me: Life, epoch: u8) {
        let placed = self.placements[usize::from(epoch)];
        let at_once = placed.from.is_none() || self.is(Mutant::OwnsAtOnce);
        let h = &mut self.homes[usize::from(me.id)];
        h.epoch = epoch;
        if placed.owner != me {
            h.owned = false;
        } else if at_once || placed.from == Some(me) {
            h.owned = true;
        } else if !h.owned
            && let Some(from) = placed.from
        {
            self.send(Message::TakeOver { from, epoch });
        }
    }

    fn place(&self, out: &mut Out) {
        if self.placements.len() > usize::from(self.bounds.moves) {
            return;
        }
        let current = self.placements[self.placements.len() - 1];
        let other = 1 - current.owner.id;
        let to = Life {
            id: other,
            life: self.homes[usize::from(other)].life,
        };
        let dead = |l: Life| !self.home_alive(l) || self.is(Mutant::GoneEarly);
        let mut push = |label: Label, placed: Placed| {
            let mut s = self.clone();
            s.placements.push(placed);
            out.push((label, s));
        };
        if let Some(from) = current.from
            && dead(from)
        {
            let placed = Placed {
                from: None,
                void: true,
                ..current
            };
            push(Label::Gone { home: from.id }, placed);
        }
        if dead(current.owner) {
            let from = current.from.filter(|f| *f != to);
            let placed = Placed {
                owner: to,
                from,
                void: true,
            };
            push(
                Label::Gone {
                    home: current.owner.id,
                },
                placed,
            );
        }
        if self.home_alive(current.owner) && (current.from.is_none() || self.is(Mutant::MovesOn)) {
            let from = current.from.or(Some(current.owner));
            push(
                Label::Moves { to: other },
                Placed {
                    owner: to,
                    from,
                    void: current.void,
                },
            );
        }
        let h = &self.homes[usize::from(current.owner.id)];
        let newest = usize::from(h.epoch) + 1 == self.placements.len();
        if current.from.is_some() && self.home_alive(current.owner) && h.owned && newest {
            push(
                Label::Taken,
                Placed {
                    from: None,
                    ..current
                },
            );
        }
    }

    fn crash(&self, out: &mut Out) {
        if self.bounds.crashes == 0 {
            return;
        }
        for i in 0..2 {
            let mut s = self.clone();
            s.bounds.crashes -= 1;
            let life = s.homes[i].life + 1;
            let epoch = s.homes[i].epoch;
            s.homes[i] = Home {
                life,
                epoch,
                floor: 0,
                owned: false,
                record: None,
                count: 0,
            };
            out.push((Label::HomeCrashes(i as u8), s));
            let mut s = self.clone();
            s.bounds.crashes -= 1;
            let life = s.executors[i].life + 1;
            s.executors[i] = Executor {
                life,
                sealed: BTreeSet::new(),
                ran: BTreeSet::new(),
            };
            out.push((Label::ExecutorCrashes(i as u8), s));
        }
    }
}

impl Spec for Ledger {
    type Label = Label;

    fn next(&self) -> Vec<(Label, Self)> {
        let mut out = Vec::new();
        self.begin(&mut out);
        self.deliver(&mut out);
        self.time_out(&mut out);
        self.learn(&mut out);
        self.place(&mut out);
        self.crash(&mut out);
        for (_, state) in &mut out {
            state.prune();
        }
        out
    }

    fn broken(&self) -> Option<&'static str> {
        if self.once && self.runs > 1 {
            return Some("a call that runs once ran twice");
        }
        if self.lied {
            return Some("not-run was said of a key that ran");
        }
        if self.homes.iter().filter(|h| h.owned).count() > 1 {
            return Some("two homes own the slot");
        }
        None
    }
}
