//! Following the store by one watch, for as long as this gateway has to (`ebonyloft_router::delegate`).
//!
//! Everything is listed once and then watched from that revision. When the history is gone it is
//! listed again; what is missing from the new list was removed. While the store is away the belief
//! stays as it is. While an answer takes long to read, the list of backend servers is followed beside it
//! (`bypass`).

mod bypass;

use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::store::{Age, CONFIG_KEY, Item, StoreError};
use ebonyloft_platform::{config, servers};
use ebonyloft_router::recency::Recency;
use ebonyloft_router::roster::{Change, Effect, Entry};

use super::shared::Shared;
use super::store::Watched;
use super::{keys, quarantine, register};

/// First pause after a failed call; doubled with each further failure.
const PAUSE_MIN: Duration = Duration::from_millis(60);
/// Longest such pause: the store's return is noticed within a quarter of the time in which a change
/// must be in force.
const PAUSE_MAX: Duration = Duration::from_millis(400);
/// Pause between an answer with changes and the next watch, so that changes which come together are
/// fetched by one call: a third fewer calls while backend servers come and go.
/// A tenth of the shortest time in which a change must be in force, and a leaving server is heard of
/// within 0.2 s.
const GATHER: Duration = Duration::from_millis(150);
/// The same for a gateway that hears of changes from another one before: it follows the store only in
/// case that the other one is cut from it, and is then that much later. A quarter of the shortest time in
/// which a change must be in force.
const GATHER_BEHIND: Duration = Duration::from_millis(500);
/// How often a gateway that hears of the store from others looks whether it has to follow it.
const ROLE_LOOK: Duration = Duration::from_millis(150);
/// Each so many gateways that go before this one lengthen the pause after a failure once more: of a
/// zone's gateways that all find the store away the first two ask it as often as if they were alone.
const RANK_STEP: usize = 2;
/// Most such lengthenings; a gateway that only itself can reach the store hears it within two seconds.
const RANK_STEPS_MAX: u32 = 5;
/// Prefix of the operator's keys.
const CONFIG_PREFIX: &str = "op/";
/// Prefix of all keys.
pub const EVERYTHING: &str = "";

/// Where the items of one prefix go.
pub trait Sink {
    /// All items of the prefix, as of a revision.
    fn replace(&self, items: Vec<Item>, revision: u64);
    /// One change.
    fn apply(&self, item: Item);
}

/// Follows a prefix for as long as the process runs.
pub async fn follow(shared: Rc<Shared>, prefix: &'static str, sink: Box<dyn Sink>) {
    let mut from: Option<u64> = None;
    let mut pause = PAUSE_MIN;
    // The first list of a life may be old, since the watch from its revision brings it up to date: when a
    // whole fleet starts at once the store's limit of calls would hold it up.
    let mut age = Age::Stale;
    loop {
        if !shared.role.borrow().follows() {
            from = None;
            compio::time::sleep(ROLE_LOOK).await;
            continue;
        }
        let step = match from {
            None => list(&shared, prefix, age, sink.as_ref()).await,
            Some(after) => watch(&shared, prefix, after, sink.as_ref()).await,
        };
        match step {
            Ok(revision) => {
                age = Age::Current;
                let changed = from.replace(revision).is_some_and(|before| before != revision);
                pause = PAUSE_MIN;
                if changed {
                    compio::time::sleep(gather(&shared)).await;
                }
            }
            Err(StoreError::Compacted) => {
                tracing::info!(prefix, after = from, "history is gone, listing again");
                from = None;
            }
            Err(e) => {
                unheard(&shared, prefix, &e);
                compio::time::sleep(pause.mul_f64(0.5 + shared.draw())).await;
                pause = (pause * 2).min(PAUSE_MAX * steps(&shared));
            }
        }
    }
}

fn gather(shared: &Shared) -> Duration {
    if shared.role.borrow().leads() { GATHER } else { GATHER_BEHIND }
}

/// How many times as long as the first gateways of its zone this one waits after a failure.
fn steps(shared: &Shared) -> u32 {
    let steps = shared.rank().map_or(0, |rank| rank / RANK_STEP);
    1 + RANK_STEPS_MAX.min(steps as u32)
}

async fn list(
    shared: &Rc<Shared>,
    prefix: &str,
    age: Age,
    sink: &dyn Sink,
) -> Result<u64, StoreError> {
    // Who knows no list yet sends nobody anything.
    let known = shared.roster.borrow().is_complete();
    let known_at = shared.now();
    let page = bypass::beside(shared, None, known, shared.store.list(prefix, age)).await?;
    sink.replace(page.items, page.revision);
    if age == Age::Current {
        heard(shared, prefix, known_at);
        confirm(shared, |recency| recency.confirm(known_at));
    }
    Ok(page.revision)
}

async fn watch(
    shared: &Rc<Shared>,
    prefix: &str,
    after: u64,
    sink: &dyn Sink,
) -> Result<u64, StoreError> {
    let mut known_at = shared.now();
    // Behind a stale list too: until it is brought up to date nothing is known to hold.
    let unsure = shared.fresh.borrow().is_unsure();
    let sent = shared.now();
    let (page, waited) = match unsure {
        true => (shared.store.news(prefix, after).await?, Duration::ZERO),
        false => {
            let Watched { coming, wait } =
                shared.store.watch(prefix, after, patience(shared)).await?;
            known_at = coming.head_at();
            let read = shared.store.read_watch(coming);
            (bypass::beside(shared, Some(after), true, read).await?, wait)
        }
    };
    let empty = page.items.is_empty();
    for item in page.items {
        sink.apply(item);
    }
    heard(shared, prefix, known_at);
    confirm(shared, |recency| recency.on_watch(known_at, sent, waited, empty));
    Ok(page.revision.max(after))
}

/// The store told everything that there is; a configuration that could not be read is not known.
fn confirm(shared: &Shared, confirm: impl FnOnce(&mut Recency)) {
    if !shared.unread.get() {
        confirm(&mut shared.recency.borrow_mut());
    }
}

/// How long a watch may be silent: until the belief that it renews has stood for as long as it may.
fn patience(shared: &Shared) -> Duration {
    let (now, silence) = (shared.now(), shared.node().bounds.silence());
    let list = shared.fresh.borrow().known_at().after(silence).since(now);
    match keys::bound(shared) {
        Some(bound) => list.min(shared.recency.borrow().confirm_by(bound).since(now)),
        None => list,
    }
}

/// The store answered; what it said holds as of `known_at`.
fn heard(shared: &Shared, prefix: &str, known_at: Timestamp) {
    if shared.fresh.borrow_mut().on_answer(shared.now(), known_at) {
        tracing::info!(prefix, "store is back");
        shared.metrics.count("gateway.store.back", 1);
    }
}

fn unheard(shared: &Shared, prefix: &str, error: &StoreError) {
    if shared.fresh.borrow_mut().on_failure(shared.now()) {
        tracing::warn!(prefix, error = %error, "store is away");
        shared.metrics.count("gateway.store.away", 1);
    }
}

/// Hands items to the sinks of their prefixes; others' items are left.
pub struct Prefixes(pub Vec<(&'static str, Box<dyn Sink>)>);

impl Prefixes {
    /// The sinks of a gateway.
    pub fn new(shared: &Rc<Shared>) -> Self {
        Prefixes(vec![
            (CONFIG_PREFIX, Box::new(ConfigSink(shared.clone()))),
            (servers::PREFIX, Box::new(RosterSink(shared.clone()))),
            (quarantine::PREFIX, Box::new(quarantine::ProofSink(shared.clone()))),
            (quarantine::SUSPECTS, Box::new(quarantine::ProofSink(shared.clone()))),
            (register::PREFIX, Box::new(register::FleetSink(shared.clone()))),
        ])
    }
}

impl Sink for Prefixes {
    fn replace(&self, items: Vec<Item>, revision: u64) {
        for (prefix, sink) in &self.0 {
            let own = items.iter().filter(|i| i.key.starts_with(prefix)).cloned().collect();
            sink.replace(own, revision);
        }
    }

    fn apply(&self, item: Item) {
        if let Some((_, sink)) = self.0.iter().find(|(prefix, _)| item.key.starts_with(prefix)) {
            sink.apply(item);
        }
    }
}

/// Takes the operator's configuration.
pub struct ConfigSink(pub Rc<Shared>);

impl Sink for ConfigSink {
    fn replace(&self, items: Vec<Item>, _revision: u64) {
        for item in items {
            self.apply(item);
        }
    }

    fn apply(&self, item: Item) {
        let Some(value) = item.value.filter(|_| item.key == CONFIG_KEY) else {
            return;
        };
        let decoded = config::decode(&value);
        self.0.unread.set(decoded.is_err());
        match decoded {
            Ok(config) => {
                let version = config.version;
                if self.0.offer(config) {
                    tracing::info!(version, revision = item.revision, "configuration in force");
                }
            }
            Err(e) => tracing::error!(revision = item.revision, error = %e, "configuration unread"),
        }
    }
}

/// Takes the list of backend servers.
pub struct RosterSink(pub Rc<Shared>);

impl RosterSink {
    fn settled(&self) -> bool {
        self.0.fresh.borrow().settled(self.0.now())
    }
}

impl Sink for RosterSink {
    fn replace(&self, items: Vec<Item>, revision: u64) {
        let list: Vec<Change> = items.iter().map(change).collect();
        let settled = self.settled();
        let effects = self.0.roster.borrow_mut().replace(list, revision, settled);
        for (name, effect) in effects {
            note_effect(&self.0, &name, effect, revision);
        }
        self.0.wake_all();
    }

    fn apply(&self, item: Item) {
        let change = change(&item);
        let (name, revision) = (change.name.clone(), change.revision);
        let settled = self.settled();
        let effect = self.0.roster.borrow_mut().apply(change, settled);
        note_effect(&self.0, &name, effect, revision);
        self.0.wake_all();
    }
}

fn change(item: &Item) -> Change {
    let name = servers::name(&item.key).to_owned();
    let decoded = item.value.as_ref().map(|value| servers::decode(&item.key, value));
    let entry = match decoded {
        None => Entry::Removed,
        Some(Ok(server)) => Entry::Server(server),
        Some(Err(e)) => {
            let revision = item.revision;
            tracing::warn!(server = name, revision, error = %e, "registration names no backend server");
            Entry::Wrong
        }
    };
    Change { name, entry, revision: item.revision }
}

/// Notes what the list of backend servers made this process believe.
pub fn note_effect(shared: &Shared, name: &str, effect: Effect, revision: u64) {
    if effect == Effect::Stale {
        return;
    }
    if effect != Effect::Changed {
        shared.roster.borrow_mut().note_change(shared.now());
    }
    let known = shared.roster.borrow().named(name).map(|s| (s.addr, s.id.born));
    if let (Effect::Reborn, Some((addr, _))) = (effect, known) {
        shared.pool.forget(addr);
    }
    if matches!(effect, Effect::Gone | Effect::Reborn) {
        quarantine::note_gone(shared, name);
    }
    let joined = shared.roster.borrow().named(name).map(|s| (s.addr, s.id.clone()));
    if let (Effect::Joined, Some((addr, id))) = (effect, joined) {
        quarantine::note_joined(shared, addr, &id);
    }
    let born = known.map(|(_, born)| born);
    tracing::info!(server = name, ?effect, born, revision, "backend server");
}
