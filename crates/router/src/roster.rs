//! The backend servers that this process believes in.
//!
//! Registrations come from the store with revisions; a lower revision never replaces a higher one.
//! A registration that vanished while the store could not be believed is kept until it can.

use std::collections::{BTreeMap, HashMap};

use ebonyloft_core::time::Moment;
use serde::{Deserialize, Serialize};

use crate::catalog::{Server, ServerId};

/// One change of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Whose registration changed.
    pub id: ServerId,
    /// The registration; none when it was removed.
    pub server: Option<Server>,
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
    known: BTreeMap<ServerId, Known>,
    /// Revisions of removals, so that an older registration does not come back.
    removed: HashMap<ServerId, u64>,
    revision: u64,
    complete: bool,
    changed_at: Moment,
}

/// Removals remembered; ids are never used again, and a late registration is seconds late.
const REMOVED_MAX: usize = 4_096;

impl Roster {
    /// Takes one change; `settled` says whether a removal means that the backend server is gone.
    pub fn apply(&mut self, change: Change, settled: bool) -> Effect {
        self.revision = self.revision.max(change.revision);
        if self.removed.get(&change.id).is_some_and(|r| *r >= change.revision) {
            return Effect::Stale;
        }
        match change.server {
            Some(server) => self.register(change.id, server, change.revision),
            None => self.remove(&change.id, change.revision, settled),
        }
    }

    /// Takes a whole list as of `revision`; what is not in it was removed.
    pub fn replace(
        &mut self,
        list: Vec<Change>,
        revision: u64,
        settled: bool,
    ) -> Vec<(ServerId, Effect)> {
        let mut effects = Vec::new();
        let missing: Vec<ServerId> = self
            .known
            .iter()
            .filter(|(id, k)| k.revision <= revision && !list.iter().any(|c| c.id == **id))
            .map(|(id, _)| id.clone())
            .collect();
        for change in list {
            let id = change.id.clone();
            effects.push((id, self.apply(change, settled)));
        }
        for id in missing {
            let effect = self.remove(&id, revision, settled);
            effects.push((id, effect));
        }
        self.complete = true;
        self.revision = self.revision.max(revision);
        effects.retain(|(_, e)| *e != Effect::Stale);
        effects
    }

    /// The store can be believed again: what is still missing is gone.
    pub fn settle(&mut self) -> Vec<ServerId> {
        let gone: Vec<ServerId> =
            self.known.iter().filter(|(_, k)| k.unheard).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            let revision = self.known.remove(id).map_or(0, |k| k.revision);
            self.remember(id, revision);
        }
        gone
    }

    /// Another life answered at this backend server's address: it is gone.
    pub fn replaced(&mut self, id: &ServerId) -> bool {
        let Some(known) = self.known.remove(id) else {
            return false;
        };
        self.remember(id, known.revision);
        true
    }

    /// Was a whole list ever read?
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// A backend server joined or left at this moment.
    pub fn note_change(&mut self, now: Moment) {
        self.changed_at = now;
    }

    /// When a backend server joined or left last.
    pub fn changed_at(&self) -> Moment {
        self.changed_at
    }

    /// Highest revision seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The backend servers of a service that may be sent work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.known.values().map(|k| &k.server).filter(move |s| s.service == service && !s.draining)
    }

    /// One backend server.
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.known.get(id).map(|k| &k.server)
    }

    /// All registrations, for another process of the system.
    pub fn changes(&self) -> Vec<Change> {
        let row = |(id, k): (&ServerId, &Known)| Change {
            id: id.clone(),
            server: Some(k.server.clone()),
            revision: k.revision,
        };
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

    fn register(&mut self, id: ServerId, server: Server, revision: u64) -> Effect {
        let effect = match self.known.get(&id) {
            Some(k) if k.revision > revision => return Effect::Stale,
            Some(k) if k.server == server && !k.unheard => Effect::Stale,
            Some(k) if server.draining && !k.server.draining => Effect::Leaving,
            Some(_) => Effect::Changed,
            None if server.draining => Effect::Leaving,
            None => Effect::Joined,
        };
        self.removed.remove(&id);
        self.known.insert(id, Known { server, revision, unheard: false });
        effect
    }

    fn remove(&mut self, id: &ServerId, revision: u64, settled: bool) -> Effect {
        let Some(known) = self.known.get_mut(id) else {
            self.remember(id, revision);
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
        self.known.remove(id);
        self.remember(id, revision);
        Effect::Gone
    }

    fn remember(&mut self, id: &ServerId, revision: u64) {
        if self.removed.len() >= REMOVED_MAX {
            self.removed.clear();
        }
        self.removed.insert(id.clone(), revision);
    }
}
