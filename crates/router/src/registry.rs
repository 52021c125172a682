//! Registry of the backend servers that this gateway uses.
//!
//! Registrations come from the store with revisions, and a lower revision never replaces a higher
//! one. A registration that vanishes while the store is not trusted is kept until it is, or until a
//! deadline.
//!
//! A store that comes back from an older copy begins a new era with a complete list. What is known of an
//! incarnation, that it is leaving or gone, outlives the era: the copy may be from before.
//!
//! A backend server also announces in its answers that it is leaving. This counts for the
//! incarnation that announced it, whatever a store that is unreachable or behind says, and ends
//! with that incarnation.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::catalog::{Server, ServerId};
use crate::revision::Revision;

/// Content of a registration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Registration {
    /// A backend server.
    Server(Server),
    /// An invalid entry: damaged, or written by another program.
    Wrong,
    /// The registration was removed.
    Removed,
}

/// One change of the registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Name of the registration.
    pub name: String,
    /// Its new content.
    pub entry: Registration,
    /// Revision of the change.
    pub revision: Revision,
}

#[derive(Clone, Debug)]
struct Registered {
    server: Server,
    revision: Revision,
    /// The registration vanished while the store was not trusted.
    unconfirmed: bool,
    /// When the server counts as gone in any case, while its registration is unconfirmed.
    kept_until: Timestamp,
}

/// Effect of a change on the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A new backend server.
    Joined,
    /// It announced that it is leaving.
    Leaving,
    /// A new incarnation of a known backend server, which has none of the state of the previous
    /// one.
    Reborn,
    /// Its registration is no longer valid.
    Wrong,
    /// Its registration is gone, and so is the backend server.
    Gone,
    /// Its registration is gone, but the store is not trusted yet.
    Unheard,
    /// Some other property changed.
    Changed,
    /// No change.
    Stale,
}

/// All known backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    /// By name.
    known: BTreeMap<String, Registered>,
    /// Revisions of removals, so that an older registration does not come back.
    removed: HashMap<String, Revision>,
    /// Removals up to this revision may have been dropped.
    dropped_revision: Revision,
    /// Ranges of revisions that were skipped by a complete list: what was registered and removed within
    /// one was never seen.
    skipped: Vec<(Revision, Revision)>,
    /// Incarnations that announced themselves that they are leaving.
    leaving: BTreeSet<ServerId>,
    /// Incarnations that are gone and had announced that they leave.
    departed: BTreeSet<ServerId>,
    revision: Revision,
    complete: bool,
    changed_at: Timestamp,
}

/// Highest number of removals remembered: ids are never reused, and a delayed registration arrives
/// within seconds.
const REMOVED_MAX: usize = 4_096;
/// Highest number of skipped ranges remembered: complete lists are rare.
const SKIPPED_MAX: usize = 16;
/// Number of leaving announcements after which those of unregistered incarnations are dropped.
const LEAVING_MAX: usize = 4_096;
/// Highest number of departures remembered: work on a server is given up within seconds of its end.
const DEPARTED_MAX: usize = 4_096;

impl ServerRegistry {
    /// Applies one change; `settled` when a removal means that the backend server is gone.
    pub fn apply(&mut self, change: Change, settled: bool) -> Effect {
        self.revision = self.revision.max(change.revision);
        self.apply_change(change, settled)
    }

    fn apply_change(&mut self, change: Change, settled: bool) -> Effect {
        if change.revision.era() < self.revision.era() {
            return Effect::Stale;
        }
        if self.removed.get(&change.name).is_some_and(|r| *r >= change.revision) {
            return Effect::Stale;
        }
        match change.entry {
            Registration::Server(server) => self.register(change.name, server, change.revision),
            Registration::Wrong => self.exclude(&change.name, change.revision),
            Registration::Removed => self.remove(&change.name, change.revision, settled),
        }
    }

    /// Applies a complete list as of `revision`; a backend server that is not in it was removed.
    pub fn replace(
        &mut self,
        list: Vec<Change>,
        revision: Revision,
        settled: bool,
    ) -> Vec<(String, Effect)> {
        let mut effects = Vec::new();
        if revision.era() < self.revision.era() {
            return effects;
        }
        let before = self.revision;
        if revision.era() > self.revision.era() {
            self.begin_era(revision);
        }
        self.skip(before, revision);
        let named: HashSet<&str> = list.iter().map(|c| c.name.as_str()).collect();
        let missing: Vec<String> = self
            .known
            .iter()
            .filter(|(name, k)| k.revision <= revision && !named.contains(name.as_str()))
            .map(|(name, _)| name.clone())
            .collect();
        for change in list {
            let name = change.name.clone();
            // Entries may be newer than the list's revision; the changes in between are still to
            // come.
            effects.push((name, self.apply_change(change, settled)));
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

    /// Applies all changes between a known revision and `revision`, as fetched from another
    /// gateway.
    pub fn catch_up(
        &mut self,
        changes: Vec<Change>,
        revision: Revision,
        settled: bool,
    ) -> Vec<(String, Effect)> {
        let mut effects = Vec::new();
        for change in changes {
            let name = change.name.clone();
            effects.push((name, self.apply_change(change, settled)));
        }
        self.revision = self.revision.max(revision);
        effects.retain(|(_, e)| *e != Effect::Stale);
        effects
    }

    /// Sets until when a backend server is kept at most whose registration vanished while the store was
    /// not trusted.
    pub fn keep_until(&mut self, name: &str, until: Timestamp) {
        if let Some(known) = self.known.get_mut(name).filter(|k| k.unconfirmed) {
            known.kept_until = known.kept_until.min(until);
        }
    }

    /// Removes the backend servers whose registration is still missing now that the store is
    /// trusted.
    pub fn remove_missing(&mut self) -> Vec<String> {
        self.remove_unconfirmed(|_| true)
    }

    /// Removes the backend servers whose registration is missing and which are kept no longer.
    pub fn remove_overdue(&mut self, now: Timestamp) -> Vec<String> {
        self.remove_unconfirmed(|k| k.kept_until <= now)
    }

    fn remove_unconfirmed(&mut self, is_gone: impl Fn(&Registered) -> bool) -> Vec<String> {
        let unconfirmed = self.known.iter().filter(|(_, k)| k.unconfirmed && is_gone(k));
        let gone: Vec<String> = unconfirmed.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.end(name);
        }
        gone
    }

    /// Removes a backend server because another incarnation answered at its address; false when it
    /// was not known.
    pub fn replaced(&mut self, id: &ServerId) -> bool {
        if self.get(id).is_none() {
            return false;
        }
        self.end(&id.name);
        true
    }

    /// Records that an incarnation announced that it is leaving; true when this was not known.
    pub fn on_leaving(&mut self, id: &ServerId) -> bool {
        if self.removed.contains_key(&id.name) {
            // The announcement arrived after the removal.
            self.insert_departure(id.clone());
            return false;
        }
        if self.get(id).is_some_and(|s| s.draining) {
            return false;
        }
        if self.leaving.len() >= LEAVING_MAX {
            let known = &self.known;
            self.leaving.retain(|id| known.get(&id.name).is_some_and(|k| k.server.id == *id));
        }
        self.leaving.insert(id.clone())
    }

    /// Returns the incarnations that announced that they are leaving but are still registered as
    /// ready: peers may not know this from the store.
    pub fn announced_leaving(&self) -> impl Iterator<Item = &ServerId> {
        self.leaving.iter().filter(|id| self.get(id).is_some_and(|s| !s.draining))
    }

    /// Was a complete list ever applied?
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records that a backend server joined or left now.
    pub fn note_change(&mut self, now: Timestamp) {
        self.changed_at = now;
    }

    /// Returns when a backend server last joined or left.
    pub fn changed_at(&self) -> Timestamp {
        self.changed_at
    }

    /// Returns the highest revision seen.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the backend servers of a service that may be sent requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        let usable = move |s: &&Server| !s.draining && !self.leaving.contains(&s.id);
        self.known.values().map(|k| &k.server).filter(move |s| s.service == service).filter(usable)
    }

    /// Returns all registered backend servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.known.values().map(|k| &k.server)
    }

    /// Returns the backend server of this incarnation, if it is registered.
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.named(&id.name).filter(|s| s.id == *id)
    }

    /// Has the backend server of this name announced that it is leaving, or is it gone? False for a
    /// name that was never seen.
    pub fn has_left(&self, name: &str) -> bool {
        match self.named(name) {
            Some(server) => server.draining || self.leaving.contains(&server.id),
            None => {
                self.removed.contains_key(name) || self.leaving.iter().any(|id| id.name == name)
            }
        }
    }

    /// Is this incarnation known to have ended? Either its registration is gone or names a later one,
    /// or another one has registered at its address since. False for a name that was never seen.
    pub fn has_ended(&self, id: &ServerId) -> bool {
        let Some(known) = self.known.get(&id.name) else {
            return self.removed.contains_key(&id.name);
        };
        if known.server.id != *id {
            return known.server.id.born >= id.born;
        }
        // The revision of an unconfirmed registration is that of its removal.
        let is_later_there = |other: &Registered| {
            !other.unconfirmed
                && other.server.addr == known.server.addr
                && (known.unconfirmed || other.revision > known.revision)
        };
        self.known.values().any(is_later_there)
    }

    /// Did this incarnation announce that it leaves, be it still registered or gone? If so, its end
    /// was to be expected, and nothing that ran there caused it.
    pub fn has_announced(&self, id: &ServerId) -> bool {
        self.get(id).is_some_and(|s| s.draining)
            || self.leaving.contains(id)
            || self.departed.contains(id)
    }

    /// Returns the backend server that is registered under this name.
    pub fn named(&self, name: &str) -> Option<&Server> {
        self.known.get(name).map(|k| &k.server)
    }

    /// Returns the changes after a revision, for another gateway; `None` when removals since then
    /// may have been dropped, or were never seen.
    pub fn since(&self, after: Revision) -> Option<Vec<Change>> {
        let is_older_era = after.era() < self.revision.era();
        if after < self.dropped_revision || after.is_zero() || is_older_era {
            return None;
        }
        if self.skipped.iter().any(|(from, to)| *from < after && after < *to) {
            return None;
        }
        let removed = self.removed.iter().filter(|(_, revision)| **revision > after);
        let removed = removed.map(|(name, revision)| Change {
            name: name.clone(),
            entry: Registration::Removed,
            revision: *revision,
        });
        let known = self.known.iter().filter(|(_, k)| k.revision > after);
        Some(known.map(to_change).chain(removed).collect())
    }

    /// Returns all registrations, for another gateway.
    pub fn changes(&self) -> Vec<Change> {
        self.known.iter().map(to_change).collect()
    }

    /// Returns the number of known backend servers.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Is no backend server known?
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Begins a new era with a list as of `revision`. Registrations up to there may be from before a server
    /// announced that it leaves, or before its end; one that has ended is used again only if it writes a new one.
    fn begin_era(&mut self, revision: Revision) {
        let draining = self.known.values().filter(|k| k.server.draining);
        self.leaving.extend(draining.map(|k| k.server.id.clone()));
        self.removed.values_mut().for_each(|removed| *removed = revision);
        self.revision = revision;
    }

    /// Remembers that changes between two revisions were not seen.
    fn skip(&mut self, from: Revision, to: Revision) {
        if from >= to {
            return;
        }
        if self.skipped.len() >= SKIPPED_MAX {
            let (_, end) = self.skipped.remove(0);
            self.dropped_revision = self.dropped_revision.max(end);
        }
        self.skipped.push((from, to));
    }

    fn register(&mut self, name: String, server: Server, revision: Revision) -> Effect {
        let effect = match self.known.get(&name) {
            Some(k) if k.revision > revision => return Effect::Stale,
            Some(k) if k.server == server && !k.unconfirmed => Effect::Stale,
            Some(k) if server.id != k.server.id && !server.draining => Effect::Reborn,
            Some(k) if server.draining && !k.server.draining => Effect::Leaving,
            Some(_) => Effect::Changed,
            None if server.draining => Effect::Leaving,
            None => Effect::Joined,
        };
        self.removed.remove(&name);
        if effect == Effect::Reborn {
            self.remember_departure(&name);
        }
        self.departed.remove(&server.id);
        // Drops only what other incarnations of this name announced.
        self.leaving.retain(|id| id.name != name || *id == server.id);
        let kept_until = Timestamp::NEVER;
        self.known.insert(name, Registered { server, revision, unconfirmed: false, kept_until });
        effect
    }

    /// An invalid entry is excluded even while the store is not trusted, because it is new
    /// information.
    fn exclude(&mut self, name: &str, revision: Revision) -> Effect {
        match self.remove(name, revision, true) {
            Effect::Gone => Effect::Wrong,
            other => other,
        }
    }

    fn remove(&mut self, name: &str, revision: Revision, settled: bool) -> Effect {
        let Some(known) = self.known.get_mut(name) else {
            self.remember_removal(name, revision);
            return Effect::Stale;
        };
        if known.revision > revision {
            return Effect::Stale;
        }
        known.revision = revision;
        if !settled && !known.server.draining {
            known.unconfirmed = true;
            return Effect::Unheard;
        }
        self.end(name);
        Effect::Gone
    }

    /// Removes the registered incarnation of this name as of its revision.
    fn end(&mut self, name: &str) {
        self.remember_departure(name);
        let revision = self.known.remove(name).map_or_else(Revision::default, |k| k.revision);
        self.remember_removal(name, revision);
    }

    /// Remembers that the registered incarnation of this name ends now, if it announced that.
    fn remember_departure(&mut self, name: &str) {
        let id = self.named(name).map(|s| s.id.clone());
        if let Some(id) = id.filter(|id| self.has_announced(id)) {
            self.insert_departure(id);
        }
    }

    fn insert_departure(&mut self, id: ServerId) {
        if self.departed.len() >= DEPARTED_MAX {
            self.departed.clear();
        }
        self.departed.insert(id);
    }

    fn remember_removal(&mut self, name: &str, revision: Revision) {
        if self.removed.len() >= REMOVED_MAX {
            self.removed.clear();
            self.dropped_revision = self.revision;
        }
        self.leaving.retain(|id| id.name != name);
        self.removed.insert(name.to_owned(), revision);
    }
}

/// Encodes a backend server for another gateway. One whose registration vanished while the store
/// was not trusted is passed on as removed, so that the other gateway decides for itself.
fn to_change((name, known): (&String, &Registered)) -> Change {
    let entry = match known.unconfirmed {
        true => Registration::Removed,
        false => Registration::Server(known.server.clone()),
    };
    Change { name: name.clone(), entry, revision: known.revision }
}
