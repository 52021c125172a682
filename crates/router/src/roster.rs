//! The backend servers that this process believes in.
//!
//! Registrations come from the store with revisions; a lower revision never replaces a higher one.
//! A registration that vanished while the store could not be believed is kept until it can.
//!
//! A backend server also says with its answers that it leaves. That holds for the life that said it, whatever
//! a store that is silent, late or behind says of it, and ends with that life.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::catalog::{Server, ServerId};

/// What a registration says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Entry {
    /// A backend server.
    Server(Server),
    /// Something that names none: another writer's, or damaged.
    Wrong,
    /// It was removed.
    Removed,
}

/// One change of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Name of the registration.
    pub name: String,
    /// What it says now.
    pub entry: Entry,
    /// Revision of the change.
    pub revision: u64,
}

#[derive(Clone, Debug)]
struct Known {
    server: Server,
    revision: u64,
    /// The registration vanished while the store could not be believed.
    unheard: bool,
}

/// What a change did to the belief.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A new backend server.
    Joined,
    /// It said that it is leaving.
    Leaving,
    /// Another life of it began, which knows nothing of the one before.
    Reborn,
    /// Its registration names no backend server any more.
    Wrong,
    /// Its registration is gone, and so is it.
    Gone,
    /// Its registration is gone, but the store can't be believed yet.
    Unheard,
    /// Something else about it changed.
    Changed,
    /// Nothing new.
    Stale,
}

/// All backend servers known.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// By name.
    known: BTreeMap<String, Known>,
    /// Revisions of removals, so that an older registration does not come back.
    removed: HashMap<String, u64>,
    /// Removals up to this revision may be forgotten.
    forgotten: u64,
    /// Lives that said themselves that they leave.
    said: BTreeSet<ServerId>,
    revision: u64,
    complete: bool,
    changed_at: Timestamp,
}

/// Removals remembered; ids are never used again, and a late registration is seconds late.
const REMOVED_MAX: usize = 4_096;
/// Lives remembered that said that they leave and are not registered, as far as is known.
const SAID_MAX: usize = 4_096;

impl Roster {
    /// Takes one change; `settled` says whether a removal means that the backend server is gone.
    pub fn apply(&mut self, change: Change, settled: bool) -> Effect {
        self.revision = self.revision.max(change.revision);
        self.take(change, settled)
    }

    fn take(&mut self, change: Change, settled: bool) -> Effect {
        if self.removed.get(&change.name).is_some_and(|r| *r >= change.revision) {
            return Effect::Stale;
        }
        match change.entry {
            Entry::Server(server) => self.register(change.name, server, change.revision),
            Entry::Wrong => self.exclude(&change.name, change.revision),
            Entry::Removed => self.remove(&change.name, change.revision, settled),
        }
    }

    /// Takes a whole list as of `revision`; what is not in it was removed.
    pub fn replace(
        &mut self,
        list: Vec<Change>,
        revision: u64,
        settled: bool,
    ) -> Vec<(String, Effect)> {
        let mut effects = Vec::new();
        let named: HashSet<&str> = list.iter().map(|c| c.name.as_str()).collect();
        let missing: Vec<String> = self
            .known
            .iter()
            .filter(|(name, k)| k.revision <= revision && !named.contains(name.as_str()))
            .map(|(name, _)| name.clone())
            .collect();
        for change in list {
            let name = change.name.clone();
            // Items may be newer than the list: what changed in between is still to come.
            effects.push((name, self.take(change, settled)));
        }
        for name in missing {
            let effect = self.remove(&name, revision, settled);
            effects.push((name, effect));
        }
        self.complete = true;
        self.revision = self.revision.max(revision);
        effects.retain(|(_, e)| *e != Effect::Stale);
        effects
    }

    /// Takes all changes behind some revision up to `revision`, as another process knows them.
    pub fn catch_up(
        &mut self,
        changes: Vec<Change>,
        revision: u64,
        settled: bool,
    ) -> Vec<(String, Effect)> {
        let mut effects = Vec::new();
        for change in changes {
            let name = change.name.clone();
            effects.push((name, self.take(change, settled)));
        }
        self.revision = self.revision.max(revision);
        effects.retain(|(_, e)| *e != Effect::Stale);
        effects
    }

    /// The store can be believed again: what is still missing is gone.
    pub fn settle(&mut self) -> Vec<String> {
        let gone: Vec<String> =
            self.known.iter().filter(|(_, k)| k.unheard).map(|(name, _)| name.clone()).collect();
        for name in &gone {
            let revision = self.known.remove(name).map_or(0, |k| k.revision);
            self.remember(name, revision);
        }
        gone
    }

    /// Another life answered at this backend server's address: it is gone.
    pub fn replaced(&mut self, id: &ServerId) -> bool {
        if self.get(id).is_none() {
            return false;
        }
        let revision = self.known.remove(&id.name).map_or(0, |k| k.revision);
        self.remember(&id.name, revision);
        true
    }

    /// A life said that it leaves; true when that is news.
    pub fn hear_leaving(&mut self, id: &ServerId) -> bool {
        if self.removed.contains_key(&id.name) || self.get(id).is_some_and(|s| s.draining) {
            return false;
        }
        if self.said.len() >= SAID_MAX {
            let known = &self.known;
            self.said.retain(|id| known.get(&id.name).is_some_and(|k| k.server.id == *id));
        }
        self.said.insert(id.clone())
    }

    /// Lives that are registered as ready and said that they leave: what a peer may not know from the
    /// store.
    pub fn said(&self) -> impl Iterator<Item = &ServerId> {
        self.said.iter().filter(|id| self.get(id).is_some_and(|s| !s.draining))
    }

    /// Was a whole list ever read?
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// A backend server joined or left at this moment.
    pub fn note_change(&mut self, now: Timestamp) {
        self.changed_at = now;
    }

    /// When a backend server joined or left last.
    pub fn changed_at(&self) -> Timestamp {
        self.changed_at
    }

    /// Highest revision seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The backend servers of a service that may be sent work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        let stays = move |s: &&Server| !s.draining && !self.said.contains(&s.id);
        self.known.values().map(|k| &k.server).filter(move |s| s.service == service).filter(stays)
    }

    /// One backend server, in this life.
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.named(&id.name).filter(|s| s.id == *id)
    }

    /// Did the backend server of this name say that it leaves, or is it gone? Not known of one that was
    /// never heard of.
    pub fn has_left(&self, name: &str) -> bool {
        match self.named(name) {
            Some(server) => server.draining || self.said.contains(&server.id),
            None => self.removed.contains_key(name) || self.said.iter().any(|id| id.name == name),
        }
    }

    /// The backend server that has this name now.
    pub fn named(&self, name: &str) -> Option<&Server> {
        self.known.get(name).map(|k| &k.server)
    }

    /// What changed behind a revision, for another process of the system; none when removals since
    /// then are forgotten.
    pub fn since(&self, after: u64) -> Option<Vec<Change>> {
        if after < self.forgotten || after == 0 {
            return None;
        }
        let removed = self.removed.iter().filter(|(_, revision)| **revision > after);
        let removed = removed.map(|(name, revision)| Change {
            name: name.clone(),
            entry: Entry::Removed,
            revision: *revision,
        });
        let known = self.known.iter().filter(|(_, k)| k.revision > after);
        Some(known.map(row).chain(removed).collect())
    }

    /// All registrations, for another process of the system.
    pub fn changes(&self) -> Vec<Change> {
        self.known.iter().map(row).collect()
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Is none known?
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn register(&mut self, name: String, server: Server, revision: u64) -> Effect {
        let effect = match self.known.get(&name) {
            Some(k) if k.revision > revision => return Effect::Stale,
            Some(k) if k.server == server && !k.unheard => Effect::Stale,
            Some(k) if server.id != k.server.id && !server.draining => Effect::Reborn,
            Some(k) if server.draining && !k.server.draining => Effect::Leaving,
            Some(_) => Effect::Changed,
            None if server.draining => Effect::Leaving,
            None => Effect::Joined,
        };
        self.removed.remove(&name);
        // Only what another life under this name said is over.
        self.said.retain(|id| id.name != name || *id == server.id);
        self.known.insert(name, Known { server, revision, unheard: false });
        effect
    }

    /// A wrong entry is not used, also while the store can't be believed: what it says is new.
    fn exclude(&mut self, name: &str, revision: u64) -> Effect {
        match self.remove(name, revision, true) {
            Effect::Gone => Effect::Wrong,
            other => other,
        }
    }

    fn remove(&mut self, name: &str, revision: u64, settled: bool) -> Effect {
        let Some(known) = self.known.get_mut(name) else {
            self.remember(name, revision);
            return Effect::Stale;
        };
        if known.revision > revision {
            return Effect::Stale;
        }
        known.revision = revision;
        if !settled && !known.server.draining {
            known.unheard = true;
            return Effect::Unheard;
        }
        self.known.remove(name);
        self.remember(name, revision);
        Effect::Gone
    }

    fn remember(&mut self, name: &str, revision: u64) {
        if self.removed.len() >= REMOVED_MAX {
            self.removed.clear();
            self.forgotten = self.revision;
        }
        self.said.retain(|id| id.name != name);
        self.removed.insert(name.to_owned(), revision);
    }
}

/// What is known of a backend server, for another process: one whose registration vanished while the
/// store could not be believed is passed on as removed, for the other one to judge.
fn row((name, known): (&String, &Known)) -> Change {
    let entry = match known.unheard {
        true => Entry::Removed,
        false => Entry::Server(known.server.clone()),
    };
    Change { name: name.clone(), entry, revision: known.revision }
}
