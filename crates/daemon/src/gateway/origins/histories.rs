//! The softwares that services have had, while this gateway follows the store.
//!
//! They tell which software began a stream that no record is left of, and are kept in the store so that
//! they outlive all gateways.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::store::{Item, StoreError, Write};
use ebonyloft_router::catalog::{Config, Kind};
use ebonyloft_router::divergence::stable_hash;
use ebonyloft_router::revision::Revision;
use ebonyloft_router::stream_origin::history::SoftwareHistory;
use ebonyloft_router::stream_origin::{SoftwareId, Testimony};
use ebonyloft_router::zones::Scope;

use crate::gateway::shared::Shared;
use crate::gateway::watch::{ALL_KEYS, Sink};

/// Prefix of the store's histories, by hash of the service's name.
pub const HISTORY_PREFIX: &str = "ebonyloft/software/";
/// Interval at which histories are observed and written to the store.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Rounds after which the second gateway that follows the store writes what the first one did not.
const STANDBY_ROUNDS: u32 = 6;
/// Longest wait for the store to confirm that no other version has joined: as long as a watch.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Shortest interval between two polls of the store for that.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between checks of that.
const CONFIRM_POLL: Duration = Duration::from_millis(20);
/// How long a server that has left may still serve a gateway that does not know: until it exits.
const SERVES_ON: Duration = Duration::from_secs(60);
/// Streams of a service may be continued for at least so many times the timeout of its routes.
const TIMEOUTS: u32 = 2;

/// The softwares of services, by hash of the service's name.
pub type Histories = BTreeMap<u64, ServiceHistory>;

/// The softwares of one service.
#[derive(Debug, Default)]
pub struct ServiceHistory {
    own: SoftwareHistory,
    /// As read from the store, with its revision.
    saved: Option<(SoftwareHistory, Revision)>,
    /// Rounds for which the store has been without what this gateway knows.
    unsaved_rounds: u32,
}

impl ServiceHistory {
    /// Have its servers had several softwares of late?
    pub fn is_mixed(&self) -> bool {
        self.own.is_mixed()
    }
}

/// The only software that a service has had, as far as a gateway can tell that follows the store; none
/// if it can't tell. It must have been confirmed since the question that no other one has joined.
pub async fn sole_software(shared: &Shared, service: &str) -> Option<Testimony> {
    let asked_at = shared.now();
    while shared.role.borrow().follows() && shared.now() < asked_at.after(CONFIRM_TIMEOUT) {
        if is_confirmed_since(shared, asked_at) {
            observe(shared);
            let histories = shared.histories.borrow();
            let history = histories.get(&stable_hash(service));
            return history.map(|history| history.own.testimony(shared.now()));
        }
        poll_store(shared).await;
        compio::time::sleep(CONFIRM_POLL).await;
    }
    None
}

/// Has it been confirmed since `at` that no server has joined which this gateway does not know, by the
/// store, or while that is unreachable by all other gateways?
fn is_confirmed_since(shared: &Shared, at: Timestamp) -> bool {
    let state = shared.store_state.borrow();
    if !state.is_away() {
        return state.known_at() >= at || shared.polls.get().confirmed_at >= at;
    }
    let (node, fleet, revision) =
        (shared.node(), shared.fleet.borrow(), shared.registry.borrow().revision());
    let mut others = fleet.all().keys().filter(|name| **name != node.name);
    let load_reports = shared.load_reports.borrow();
    shared.scope() == Scope::All
        && load_reports.newest_roster() <= revision
        && others.all(|name| load_reports.received_at(name).is_some_and(|received| received >= at))
}

/// Polls of the store for changes that the watch has not brought yet, for all questions together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polls {
    /// When the last one began.
    begun_at: Timestamp,
    /// When the last one began that found no change.
    confirmed_at: Timestamp,
}

/// Asks the store whether anything has changed since the last answer to the watch, unless it was asked
/// just before. The watch itself may stay open for a second.
async fn poll_store(shared: &Shared) {
    let (now, polls) = (shared.now(), shared.polls.get());
    let Some(revision) = shared.watched_revision.get() else {
        return;
    };
    if now < polls.begun_at.after(POLL_INTERVAL) || shared.store_state.borrow().is_away() {
        return;
    }
    shared.polls.set(Polls { begun_at: now, ..polls });
    let changes = shared.store.poll_changes(ALL_KEYS, revision).await;
    let is_same = shared.watched_revision.get() == Some(revision);
    if changes.is_ok_and(|page| page.items.is_empty()) && is_same {
        shared.polls.set(Polls { confirmed_at: now, ..shared.polls.get() });
    }
}

/// Observes the softwares of services and keeps in the store what outlives this process.
pub async fn keep(shared: Rc<Shared>) {
    loop {
        compio::time::sleep(SAVE_INTERVAL).await;
        shared.origins.borrow_mut().expire(shared.now());
        shared.metrics.gauge("gateway.origin.records", shared.origins.borrow().len() as u64);
        if !shared.role.borrow().follows() {
            // What was missed meanwhile is in the store, and is read when this gateway follows it again.
            shared.histories.borrow_mut().clear();
            continue;
        }
        observe(&shared);
        save_histories(&shared).await;
    }
}

/// The services that stream under a configuration, each with the longest timeout of its routes.
fn streaming_services(config: &Config) -> BTreeMap<&str, Duration> {
    let mut services = BTreeMap::new();
    for route in config.routes.iter().filter(|route| route.kind == Kind::Stream) {
        for split in &route.split {
            let longest: &mut Duration = services.entry(&*split.service).or_default();
            *longest = route.timeout.max(*longest);
        }
    }
    services
}

fn observe(shared: &Shared) {
    // Until the store has been listed, what other gateways observed before is not known here.
    let is_listed = shared.watched_revision.get().is_some();
    let Some(config) = shared.config().filter(|_| is_listed) else {
        return;
    };
    let (now, registry) = (shared.now(), shared.registry.borrow());
    let longest = shared.origins.borrow().longest_lifetime();
    let mut histories = shared.histories.borrow_mut();
    for (service, timeout) in streaming_services(&config) {
        let lifetime = longest.max(timeout * TIMEOUTS) + SERVES_ON;
        let servers = registry.all().filter(|server| server.service == service);
        let history = histories.entry(stable_hash(service)).or_default();
        if shared.node().first_start && history.saved.is_none() {
            history.own.begin();
        }
        history.own.observe(now, lifetime, servers.map(SoftwareId::of));
    }
}

/// Writes the histories that the store does not have. The second gateway that follows the store does
/// so only if the first one did not.
async fn save_histories(shared: &Shared) {
    let leads = shared.role.borrow().leads();
    let due: Vec<(u64, SoftwareHistory, Revision)> = {
        let mut histories = shared.histories.borrow_mut();
        let due = histories.iter_mut().filter_map(|(id, history)| {
            let saved = history.saved.as_ref();
            if saved.is_some_and(|(saved, _)| history.own.is_covered_by(saved)) {
                history.unsaved_rounds = 0;
                return None;
            }
            history.unsaved_rounds += 1;
            let is_due = leads || history.unsaved_rounds > STANDBY_ROUNDS;
            is_due.then(|| {
                (
                    *id,
                    history.own.clone(),
                    saved.map_or_else(Revision::default, |(_, revision)| *revision),
                )
            })
        });
        due.collect()
    };
    for (id, history, revision) in due {
        let key = format!("{HISTORY_PREFIX}{id:016x}");
        let Ok(value) = serde_json::to_vec(&history) else {
            continue;
        };
        let write = Write { key: &key, value: &value, lease: 0 };
        match shared.store.txn(&[(&key, revision)], &[write]).await {
            Ok(revision) => {
                let mut histories = shared.histories.borrow_mut();
                histories.entry(id).or_default().saved = Some((history, revision));
            }
            // Another gateway has written it; the watch brings what it wrote.
            Err(StoreError::Conflict) => {}
            Err(e) => tracing::info!(error = %e, "can't write the versions of a service"),
        }
    }
}

/// Handles the store's return from an older copy, before its list is applied: what it lacks is written again.
pub fn on_restored(shared: &Shared) {
    for history in shared.histories.borrow_mut().values_mut() {
        history.saved = None;
    }
}

/// Receives the store's histories.
pub struct HistorySink(pub Rc<Shared>);

impl Sink for HistorySink {
    fn apply(&self, item: Item) {
        let id =
            item.key.strip_prefix(HISTORY_PREFIX).and_then(|id| u64::from_str_radix(id, 16).ok());
        let (Some(id), Some(value)) = (id, item.value) else {
            return;
        };
        match serde_json::from_slice::<SoftwareHistory>(&value) {
            Ok(saved) => {
                let mut histories = self.0.histories.borrow_mut();
                let history = histories.entry(id).or_default();
                history.own.merge(&saved);
                history.saved = Some((saved, item.revision));
            }
            Err(e) => {
                let revision = item.revision;
                tracing::warn!(key = item.key, %revision, error = %e, "invalid versions of a service");
                // Overwritten by what this gateway observes.
                let mut histories = self.0.histories.borrow_mut();
                let history = histories.entry(id).or_default();
                history.saved = Some((SoftwareHistory::default(), revision));
            }
        }
    }
}
