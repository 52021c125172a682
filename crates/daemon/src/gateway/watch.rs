//! Follows the store by one watch, while this gateway has to do so (`ebonyloft_router::zone_leader`).
//!
//! All keys are listed once and then watched from that revision. If the store has compacted the
//! history, they are listed again; a key missing from the new list was removed. While the store is
//! unreachable the known state stays in force. While the body of an answer takes long to arrive,
//! the server registry is followed by a second watch (`roster_watch`).

mod roster_watch;

use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::store::{CONFIG_KEY, Consistency, Item, StoreError};
use ebonyloft_platform::{config, servers};
use ebonyloft_router::registry::{Change, Effect, Registration};
use ebonyloft_router::revision::Revision;
use ebonyloft_router::staleness::{ConfigStaleness, watched_until};

use super::origins::{histories, records};
use super::shared::Shared;
use super::store::WatchReply;
use super::{keys, part_blame, quarantine, registration, request_blame};

/// First back-off after a failed call; doubled with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(60);
/// Longest back-off: the store's return is noticed within a quarter of the time in which a change
/// must be in force.
const BACKOFF_MAX: Duration = Duration::from_millis(400);
/// Interval at which a gateway that does not follow the store checks whether it has to.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Number of higher-ranked gateways per step of the back-off factor. Of a zone's gateways that all
/// find the store unreachable, the first two call it as often as if they were alone.
const RANK_STEP: usize = 2;
/// Most steps; a gateway that alone can reach the store notices its return within two seconds.
const RANK_STEPS_MAX: u32 = 5;
/// Prefix of the operator's keys.
const CONFIG_PREFIX: &str = "op/";
/// Prefix of all keys.
pub const ALL_KEYS: &str = "";

/// Receives the items of one prefix.
pub trait Sink {
    /// Replaces all items of the prefix by those as of a revision. Unless a sink needs to know which
    /// items are gone, each one is applied.
    fn replace(&self, items: Vec<Item>, _revision: Revision) {
        items.into_iter().for_each(|item| self.apply(item));
    }
    /// Applies one change.
    fn apply(&self, item: Item);
}

/// Follows a prefix for as long as the process runs.
pub async fn follow(shared: Rc<Shared>, prefix: &'static str, sink: Box<dyn Sink>) {
    let mut from: Option<Revision> = None;
    let mut backoff = BACKOFF_MIN;
    // The first list may be stale, since the watch from its revision brings it up to date. When
    // all gateways start at once, current lists would be delayed by the store's call limit.
    let mut age = Consistency::Stale;
    loop {
        if !shared.role.borrow().follows() {
            from = None;
            shared.watched_revision.set(None);
            compio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let sent = shared.now();
        let step = match from {
            None => list(&shared, prefix, age, sink.as_ref()).await,
            Some(after) => watch(&shared, prefix, after, sink.as_ref()).await,
        };
        match step {
            Ok(revision) => {
                shared.watched_revision.set(Some(revision));
                age = Consistency::Current;
                let changed = from.replace(revision).is_some_and(|before| before != revision);
                backoff = BACKOFF_MIN;
                if changed {
                    compio::time::sleep(batch_delay(&shared)).await;
                }
            }
            Err(StoreError::Compacted) => {
                let after = from.unwrap_or_default();
                tracing::info!(prefix, %after, "history was compacted, listing again");
                from = None;
                shared.watched_revision.set(None);
            }
            Err(e) => {
                on_store_failure(&shared, prefix, sent, &e);
                compio::time::sleep(backoff.mul_f64(0.5 + shared.random_fraction())).await;
                backoff = (backoff * 2).min(BACKOFF_MAX * backoff_factor(&shared));
            }
        }
    }
}

fn batch_delay(shared: &Shared) -> Duration {
    shared.role.borrow().batch_delay(&shared.node().bounds)
}

/// Factor of the longest back-off: 1 for the highest-ranked gateways of a zone, more for the
/// others.
fn backoff_factor(shared: &Shared) -> u32 {
    let steps = shared.rank().map_or(0, |rank| rank / RANK_STEP);
    1 + RANK_STEPS_MAX.min(steps as u32)
}

async fn list(
    shared: &Rc<Shared>,
    prefix: &str,
    age: Consistency,
    sink: &dyn Sink,
) -> Result<Revision, StoreError> {
    // A gateway without a complete registry sends no requests, so it needs no second watch.
    let known = shared.registry.borrow().is_complete();
    let known_at = shared.now();
    let page = roster_watch::during(shared, None, known, shared.store.list(prefix, age)).await?;
    let known = shared.registry.borrow().revision().era();
    if page.revision.era() < known {
        let detail = format!("a list of era {}, while {known} is known", page.revision.era());
        return Err(StoreError::Unknown { detail });
    }
    on_era(shared, page.revision.era());
    let replace = || sink.replace(page.items, page.revision);
    match age {
        Consistency::Current => {
            let dates = AnswerDates { read_at: known_at, known_at };
            apply_answer(shared, prefix, dates, replace);
            confirm_config(shared, |recency| recency.confirm(known_at));
        }
        Consistency::Stale => replace(),
    }
    Ok(page.revision)
}

async fn watch(
    shared: &Rc<Shared>,
    prefix: &str,
    after: Revision,
    sink: &dyn Sink,
) -> Result<Revision, StoreError> {
    // After a stale list, too, changes are polled: until the first answer nothing is known to be
    // current.
    let must_poll = shared.store_state.borrow().is_unconfirmed();
    let sent = shared.now();
    let (page, waited, read_at) = match must_poll {
        true => (shared.store.poll_changes(prefix, after).await?, Duration::ZERO, sent),
        false => {
            let WatchReply { reply, wait } =
                shared.store.watch(prefix, after, watch_timeout(shared)).await?;
            let read_at = reply.head_at();
            let read = shared.store.read_watch(reply, after);
            (roster_watch::during(shared, Some(after), true, read).await?, wait, read_at)
        }
    };
    let empty = page.items.is_empty();
    let known_at = watched_until(read_at, sent, waited, empty);
    let apply = || page.items.into_iter().for_each(|item| sink.apply(item));
    apply_answer(shared, prefix, AnswerDates { read_at, known_at }, apply);
    confirm_config(shared, |recency| recency.on_watch(read_at, sent, waited, empty));
    Ok(page.revision.max(after))
}

/// Handles a list of a later era, before it is applied: the store came back from an older copy. Registrations
/// that it lacks are written again, and what this gateway wrote may be gone.
pub fn on_era(shared: &Shared, era: u64) {
    let known = shared.registry.borrow().revision().era();
    if era <= known || !shared.registry.borrow().is_complete() {
        return;
    }
    tracing::warn!(era, known, "the store came back from an older copy");
    shared.metrics.count("gateway.store.restored", 1);
    shared.restored_at.set(Some(shared.now()));
    shared.store_state.borrow_mut().on_restored(shared.now());
    histories::on_restored(shared);
}

/// Marks the configuration as confirmed by the store, unless the newest one could not be decoded.
fn confirm_config(shared: &Shared, confirm: impl FnOnce(&mut ConfigStaleness)) {
    if !shared.config_unreadable.get() {
        confirm(&mut shared.config_staleness.borrow_mut());
    }
}

/// Timeout of a watch: the time until the state that it confirms is too old to be used.
fn watch_timeout(shared: &Shared) -> Duration {
    let (now, silence) = (shared.now(), shared.node().bounds.staleness_bound());
    let list = shared.store_state.borrow().heard_at().after(silence).since(now);
    match keys::revoke_bound(shared) {
        Some(bound) => list.min(shared.config_staleness.borrow().confirm_by(bound).since(now)),
        None => list,
    }
}

/// Dates of an answer of the store.
#[derive(Clone, Copy, Debug)]
struct AnswerDates {
    /// When its head was read, or its call sent.
    read_at: Timestamp,
    /// As of when it is known to be current.
    known_at: Timestamp,
}

/// Applies the content of an answer of the store. What a removal in it means depends on the silence that the answer
/// ends, and on how old the list was before.
fn apply_answer(shared: &Shared, prefix: &str, dates: AnswerDates, apply: impl FnOnce()) {
    on_store_reached(shared, prefix, dates.read_at);
    apply();
    let mut state = shared.store_state.borrow_mut();
    state.known(dates.known_at);
    state.heard(dates.read_at);
}

/// Records an answer of the store that was read at `at`.
fn on_store_reached(shared: &Shared, prefix: &str, at: Timestamp) {
    let now = shared.now();
    let away_since = shared.store_state.borrow().unreachable_since();
    if shared.store_state.borrow_mut().on_reached(now, at) {
        let silent_ms = away_since.map(|since| at.since(since).as_millis() as u64);
        let trusted = shared.store_state.borrow().is_trusted(now);
        let age = shared.snapshot_version().age;
        tracing::info!(prefix, silent_ms, age, trusted, "store is reachable again");
        shared.metrics.count("gateway.store.back", 1);
    }
}

/// Records a call that failed and was sent at `sent`.
pub fn on_store_failure(shared: &Shared, prefix: &str, sent: Timestamp, error: &StoreError) {
    let now = shared.now();
    let since = if matches!(error, StoreError::Silent) { sent } else { now };
    if shared.store_state.borrow_mut().on_failure(since) {
        let silent_ms = now.since(since).as_millis() as u64;
        tracing::warn!(prefix, error = %error, silent_ms, "store is unreachable");
        shared.metrics.count("gateway.store.away", 1);
    }
}

/// Routes items to the sinks of their prefixes; other items are ignored.
pub struct PrefixRouter(pub Vec<(&'static str, Box<dyn Sink>)>);

impl PrefixRouter {
    /// The sinks of a gateway.
    pub fn new(shared: &Rc<Shared>) -> Self {
        PrefixRouter(vec![
            (CONFIG_PREFIX, Box::new(ConfigSink(shared.clone()))),
            (servers::PREFIX, Box::new(RosterSink(shared.clone()))),
            (
                request_blame::CONFIRMED_PREFIX,
                Box::new(request_blame::QuarantineSink(shared.clone())),
            ),
            (
                request_blame::SUSPECT_PREFIX,
                Box::new(request_blame::QuarantineSink(shared.clone())),
            ),
            (part_blame::CONFIRMED_PREFIX, Box::new(part_blame::PartSink(shared.clone()))),
            (records::RECORD_PREFIX, Box::new(records::RecordSink(shared.clone()))),
            (histories::HISTORY_PREFIX, Box::new(histories::HistorySink(shared.clone()))),
            (registration::PREFIX, Box::new(registration::FleetSink(shared.clone()))),
        ])
    }
}

impl Sink for PrefixRouter {
    fn replace(&self, items: Vec<Item>, revision: Revision) {
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

/// Receives the operator's configuration.
pub struct ConfigSink(pub Rc<Shared>);

impl Sink for ConfigSink {
    fn apply(&self, item: Item) {
        let Some(value) = item.value.filter(|_| item.key == CONFIG_KEY) else {
            return;
        };
        let decoded = config::decode(&value);
        self.0.config_unreadable.set(decoded.is_err());
        match decoded {
            Ok(config) => {
                let version = config.version;
                if self.0.apply_config(config) {
                    tracing::info!(version, revision = %item.revision, "configuration in force");
                }
            }
            Err(e) => {
                tracing::error!(revision = %item.revision, error = %e, "can't decode configuration")
            }
        }
    }
}

/// Receives the server registry.
pub struct RosterSink(pub Rc<Shared>);

impl RosterSink {
    fn settled(&self) -> bool {
        self.0.store_state.borrow().is_trusted(self.0.now())
    }
}

impl Sink for RosterSink {
    fn replace(&self, items: Vec<Item>, revision: Revision) {
        let list: Vec<Change> = items.iter().map(change).collect();
        let settled = self.settled();
        let effects = self.0.registry.borrow_mut().replace(list, revision, settled);
        for (name, effect) in effects {
            apply_effect(&self.0, &name, effect, revision);
        }
        self.0.wake_all();
    }

    fn apply(&self, item: Item) {
        let change = change(&item);
        let (name, revision) = (change.name.clone(), change.revision);
        let settled = self.settled();
        let effect = self.0.registry.borrow_mut().apply(change, settled);
        apply_effect(&self.0, &name, effect, revision);
        self.0.wake_all();
    }
}

fn change(item: &Item) -> Change {
    let name = servers::server_name(&item.key).to_owned();
    let decoded = item.value.as_ref().map(|value| servers::decode(&item.key, value));
    let entry = match decoded {
        None => Registration::Removed,
        Some(Ok(server)) => Registration::Server(server),
        Some(Err(e)) => {
            let revision = item.revision;
            tracing::warn!(
                server = name, %revision, error = %e,
                "can't decode registration of a backend server"
            );
            Registration::Wrong
        }
    };
    Change { name, entry, revision: item.revision }
}

/// Applies the consequences of a change of the server registry: connections, quarantine and log.
pub fn apply_effect(shared: &Shared, name: &str, effect: Effect, revision: Revision) {
    if effect == Effect::Stale {
        return;
    }
    if effect != Effect::Changed {
        shared.registry.borrow_mut().note_change(shared.now());
    }
    let known = shared.registry.borrow().named(name).map(|s| (s.addr, s.id.born));
    if let (Effect::Reborn, Some((addr, _))) = (effect, known) {
        shared.pool.close_idle(addr);
    }
    if matches!(effect, Effect::Gone | Effect::Reborn) {
        quarantine::on_unregistered(shared, name);
    }
    let joined_server = shared.registry.borrow().named(name).map(|s| (s.addr, s.id.clone()));
    if let (Effect::Joined, Some((addr, id))) = (effect, joined_server) {
        quarantine::on_registered(shared, addr, &id);
    }
    if effect == Effect::Unheard {
        let (now, drain) = (shared.now(), shared.node().bounds.drain);
        let until = shared.store_state.borrow().kept_until(now, drain);
        if let Some(until) = until {
            shared.registry.borrow_mut().keep_until(name, until);
        }
        let kept_ms = until.map(|until| until.since(now).as_millis() as u64);
        tracing::info!(server = name, kept_ms, "registration may have lapsed: server is kept");
    }
    let born = known.map(|(_, born)| born);
    let age = shared.snapshot_version().age;
    tracing::info!(
        server = name, ?effect, born, %revision, age, "backend server registration changed"
    );
}
