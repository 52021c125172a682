//! Model of how two gateways learn that a backend server leaves, from a store that may come back from an older
//! copy.
//!
//! One gateway follows the store by lists and watches, the other fetches from it what is newer. The server
//! announces that it leaves, and its registration may then be removed; another server writes as well, which
//! only raises the revision. After the store came back, the server writes again what is true. Invariants: once
//! both gateways have nothing more to read, neither uses a server that the store says has left; and a gateway
//! that knew this once never uses the server again.

use crate::explore::Spec;

/// A rule of the model to leave out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// No rule is left out.
    None,
    /// Versions of lists are compared by number.
    VersionByNumber,
    /// A watch goes on in the next era.
    WatchGoesOn,
    /// Changes of a registration are compared by number.
    EntryByNumber,
    /// Changes after a revision are sent to a peer of another era in place of the list.
    ChangesByNumber,
    /// A list of the next era is taken for what is true of a server that was known to leave.
    ForgetsLeaving,
    /// The same for a server whose registration was removed.
    ForgetsEnd,
}

/// All mutants that leave out a rule.
pub const MUTANTS: [Mutant; 6] = [
    Mutant::VersionByNumber,
    Mutant::WatchGoesOn,
    Mutant::EntryByNumber,
    Mutant::ChangesByNumber,
    Mutant::ForgetsLeaving,
    Mutant::ForgetsEnd,
];

/// Writes of the other server, and of this one before it leaves.
const WRITES: u8 = 3;
/// Times that the store comes back from a copy.
const RESTORES: u8 = 2;

/// Era and number.
type Revision = (u8, u8);

/// What is registered of the server.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Entry {
    Ready,
    Leaving,
    Removed,
}

/// A registration, as of the number at which it changed.
type Registered = (u8, Entry);

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Store {
    era: u8,
    number: u8,
    server: Registered,
}

impl Store {
    fn revision(&self) -> Revision {
        (self.era, self.number)
    }

    fn write(&mut self, entry: Entry) {
        self.number += 1;
        self.server = (self.number, entry);
    }
}

/// What a gateway knows.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Gateway {
    version: Revision,
    /// The registration, if it is known to exist.
    known: Option<(Revision, Entry)>,
    removed: Option<Revision>,
    /// The incarnation is known to leave, whatever is registered.
    leaving: bool,
    /// It has known that the server leaves or is gone.
    knew: bool,
}

impl Gateway {
    fn uses_server(&self) -> bool {
        !self.leaving && matches!(self.known, Some((_, Entry::Ready)))
    }

    fn is_newer(mutant: Mutant, a: Revision, b: Revision) -> bool {
        match mutant {
            Mutant::VersionByNumber => a.1 > b.1,
            _ => a > b,
        }
    }

    fn raise(&mut self, mutant: Mutant, to: Revision) {
        if Self::is_newer(mutant, to, self.version) {
            self.version = to;
        }
    }

    fn apply(&mut self, mutant: Mutant, at: Revision, entry: Entry) {
        if self.removed.is_some_and(|removed| removed >= at) {
            return;
        }
        let is_older = |known: Revision| match mutant {
            Mutant::EntryByNumber => known.1 > at.1,
            _ => known > at,
        };
        if self.known.is_some_and(|(known, _)| is_older(known)) {
            return;
        }
        match entry {
            Entry::Removed => (self.known, self.removed) = (None, Some(at)),
            entry => (self.known, self.removed) = (Some((at, entry)), None),
        }
        self.knew |= !self.uses_server();
    }

    /// Applies a list; `server` is the registration in it.
    fn replace(&mut self, mutant: Mutant, at: Revision, server: Option<(Revision, Entry)>) {
        if at.0 < self.version.0 {
            return;
        }
        if at.0 > self.version.0 {
            if mutant != Mutant::ForgetsLeaving {
                self.leaving |= matches!(self.known, Some((_, Entry::Leaving)));
            }
            if mutant != Mutant::ForgetsEnd {
                self.removed = self.removed.map(|_| at);
            }
        }
        match server {
            Some((changed, entry)) => self.apply(mutant, changed, entry),
            None => self.apply(mutant, at, Entry::Removed),
        }
        self.raise(mutant, at);
    }
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoreCopies {
    mutant: Mutant,
    store: Store,
    copy: Option<(u8, Registered)>,
    /// What is true of the server.
    truth: Entry,
    follower: Gateway,
    /// Revision that the follower watches from; none while it has to list.
    watched: Option<Revision>,
    /// A list that the store has sent and the follower has not received.
    sent: Option<(Revision, Registered)>,
    peer: Gateway,
    writes_left: u8,
    restores_left: u8,
}

impl StoreCopies {
    /// The initial state: both gateways know the server as ready.
    pub fn new(mutant: Mutant) -> Self {
        let known = Gateway {
            version: (0, 1),
            known: Some(((0, 1), Entry::Ready)),
            removed: None,
            leaving: false,
            knew: false,
        };
        StoreCopies {
            mutant,
            store: Store { era: 0, number: 1, server: (1, Entry::Ready) },
            copy: None,
            truth: Entry::Ready,
            follower: known.clone(),
            watched: Some((0, 1)),
            sent: None,
            peer: known,
            writes_left: WRITES,
            restores_left: RESTORES,
        }
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// Is there anything that the follower has not read?
    fn follower_is_behind(&self) -> bool {
        self.sent.is_some() || self.watched != Some(self.store.revision())
    }

    fn peer_is_behind(&self) -> bool {
        Gateway::is_newer(self.mutant, self.follower.version, self.peer.version)
    }

    /// The follower's watch is answered.
    fn answer_watch(&mut self, after: Revision) {
        let goes_on = self.mutant == Mutant::WatchGoesOn && after.1 <= self.store.number;
        if after.0 != self.store.era && !goes_on {
            self.watched = None;
            return;
        }
        let (changed, entry) = self.store.server;
        let revision = self.store.revision();
        if changed > after.1 {
            self.follower.apply(self.mutant, (self.store.era, changed), entry);
        }
        self.follower.raise(self.mutant, revision);
        self.watched = Some(revision);
    }

    fn receive_list(&mut self, at: Revision, (changed, entry): Registered) {
        let server = (entry != Entry::Removed).then_some(((at.0, changed), entry));
        self.follower.replace(self.mutant, at, server);
        self.watched = Some(at);
    }

    /// The peer fetches what is newer at the follower.
    fn fetch(&mut self) {
        let (from, mutant) = (self.follower.clone(), self.mutant);
        let is_same_era = from.version.0 == self.peer.version.0;
        if !is_same_era && mutant != Mutant::ChangesByNumber {
            return self.peer.replace(mutant, from.version, from.known);
        }
        let after = self.peer.version.1;
        let removed = from.removed.map(|at| (at, Entry::Removed));
        for (at, entry) in from.known.into_iter().chain(removed) {
            if at.1 > after {
                self.peer.apply(mutant, at, entry);
            }
        }
        self.peer.raise(mutant, from.version);
    }
}

impl Spec for StoreCopies {
    type Label = &'static str;

    fn successors(&self) -> Vec<(Self::Label, Self)> {
        let mut out = Vec::new();
        if self.writes_left > 0 {
            let write = |next: &mut Self| {
                next.writes_left -= 1;
                next.store.number += 1;
            };
            out.push(("another server writes", self.with(write)));
        }
        if self.writes_left > 0 && self.truth == Entry::Ready {
            let write = |next: &mut Self| {
                next.writes_left -= 1;
                next.store.write(Entry::Ready);
            };
            out.push(("the server writes that it is ready", self.with(write)));
        }
        match self.truth {
            Entry::Ready => out.push((
                "the server says that it leaves",
                self.with(|next| {
                    next.truth = Entry::Leaving;
                    next.store.write(Entry::Leaving);
                }),
            )),
            Entry::Leaving => out.push((
                "the registration is removed",
                self.with(|next| {
                    next.truth = Entry::Removed;
                    next.store.write(Entry::Removed);
                }),
            )),
            Entry::Removed => {}
        }
        if self.store.server.1 < self.truth {
            out.push(("the server writes again", self.with(|next| next.store.write(next.truth))));
        }
        if self.copy.is_none() {
            let copy = (self.store.number, self.store.server);
            out.push(("the store is copied", self.with(|next| next.copy = Some(copy))));
        }
        if let Some((number, server)) = self.copy.filter(|_| self.restores_left > 0) {
            let restore = |next: &mut Self| {
                next.restores_left -= 1;
                next.store = Store { era: next.store.era + 1, number, server };
            };
            out.push(("the store comes back from the copy", self.with(restore)));
        }
        match (self.watched, self.sent) {
            (_, Some((at, server))) => {
                let receive = |next: &mut Self| {
                    next.sent = None;
                    next.receive_list(at, server);
                };
                out.push(("the follower receives a list", self.with(receive)));
                if at != self.store.revision() && self.watched.is_none() {
                    // A second watch has read a list meanwhile.
                    let list = (self.store.revision(), self.store.server);
                    let read = self.with(|next| next.receive_list(list.0, list.1));
                    out.push(("the follower reads a later list first", read));
                }
            }
            (Some(after), None) if after != self.store.revision() => {
                out.push(("the watch is answered", self.with(|next| next.answer_watch(after))));
            }
            (Some(_), None) => {}
            (None, None) => {
                let list = (self.store.revision(), self.store.server);
                out.push(("the store sends a list", self.with(|next| next.sent = Some(list))));
            }
        }
        if self.peer_is_behind() {
            out.push(("the peer fetches", self.with(Self::fetch)));
        }
        out
    }

    fn violation(&self) -> Option<&'static str> {
        for gateway in [&self.follower, &self.peer] {
            if gateway.knew && gateway.uses_server() {
                return Some("a gateway uses a server again that it knew to have left");
            }
        }
        let has_left = self.store.server.1 != Entry::Ready;
        let is_read = !self.follower_is_behind() && !self.peer_is_behind();
        let uses = self.follower.uses_server() || self.peer.uses_server();
        (has_left && is_read && uses).then_some("a server that has left is used")
    }
}
