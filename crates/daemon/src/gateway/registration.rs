//! This gateway's registration in the store, and the registrations of the other gateways.
//!
//! The decisions are in `ebonyloft_router::membership`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::store::{Consistency, Item, StoreError, TXN_KEYS_MAX, Write};
use ebonyloft_router::fleet::Gateway;
use ebonyloft_router::membership::{self, JoinStep, Joining, SilenceTracker};
use ebonyloft_router::revision::Revision;
use ebonyloft_router::zones::Scope;

use super::orders;
use super::shared::Shared;
use super::state_sync;
use super::watch::{self, Sink};

/// Prefix of the system's own keys.
pub const PREFIX: &str = "ebonyloft/";
/// Prefix of gateway registrations.
const GATEWAY_PREFIX: &str = "ebonyloft/gateways/";
/// Interval between checks that this gateway is still registered and which others are silent.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Checks until a gateway that is not registered any more writes its registration, at the most;
/// each of a fleet draws its own, so that they don't write at once.
const SPREAD_CHECKS: f64 = 3.0;

/// Receives store items under [`PREFIX`]: gateway registrations and the leader lock.
pub struct FleetSink(pub Rc<Shared>);

impl Sink for FleetSink {
    fn replace(&self, items: Vec<Item>, revision: Revision) {
        let locked = items.iter().any(|i| i.key == orders::LOCK_KEY && i.value.is_some());
        self.0.lock_available.set(!locked);
        let list = decode_all(&items);
        tracing::info!(count = list.len(), %revision, "list of gateways loaded");
        self.0.fleet.borrow_mut().replace(self.0.now(), list, revision);
        self.0.request_report();
    }

    fn apply(&self, item: Item) {
        if item.key == orders::LOCK_KEY {
            self.0.lock_available.set(item.value.is_none());
            return;
        }
        let Some(name) = item.key.strip_prefix(GATEWAY_PREFIX) else {
            return;
        };
        let gateway = decode(&item);
        tracing::info!(
            peer = name,
            live = gateway.is_some(),
            revision = %item.revision,
            "gateway registration changed"
        );
        self.0.fleet.borrow_mut().apply(self.0.now(), name, gateway, item.revision);
        self.0.request_report();
    }
}

fn decode_all(items: &[Item]) -> BTreeMap<String, Gateway> {
    let parse = |item: &Item| {
        let name = item.key.strip_prefix(GATEWAY_PREFIX)?.to_owned();
        Some((name, decode(item)?))
    };
    items.iter().filter_map(parse).collect()
}

/// Decodes a registration; none if it was removed or is not valid.
fn decode(item: &Item) -> Option<Gateway> {
    let value = item.value.as_deref()?;
    match serde_json::from_slice(value) {
        Ok(gateway) => Some(gateway),
        Err(e) => {
            let revision = item.revision;
            tracing::warn!(
                key = item.key, %revision, error = %e, "can't decode gateway registration"
            );
            None
        }
    }
}

/// The registration of this gateway by its settings.
fn own_registration(shared: &Shared) -> Gateway {
    let node = shared.node();
    let addr = (node.ip, node.peer_port).into();
    Gateway { addr, zone: node.zone.clone(), power: node.power }
}

/// Joins the fleet, then keeps this gateway registered and removes, as a zone leader, the
/// registrations of gateways that are gone.
pub async fn keep_registered(shared: Rc<Shared>) {
    let mut seen_at = join(&shared).await;
    let mut own = own_registration(&shared);
    let mut silence = SilenceTracker::default();
    let mut write_after = 0;
    let mut failures = 0;
    loop {
        compio::time::sleep(CHECK_INTERVAL.mul_f64(0.9 + 0.2 * shared.random_fraction())).await;
        let settings = own_registration(&shared);
        if settings != own {
            (own, seen_at) = (settings, None);
        }
        let name = &shared.node().name;
        if !membership::must_register(&shared.fleet.borrow(), name, &own, seen_at) {
            write_after = (SPREAD_CHECKS * shared.random_fraction()) as u32;
        } else if write_after > 0 {
            write_after -= 1;
        } else {
            match register(&shared, &own).await {
                Ok(revision) => (seen_at, failures) = (Some(revision), 0),
                Err(e) => {
                    tracing::info!(error = %e, "can't write registration");
                    compio::time::sleep(membership::retry_pause(failures)).await;
                    failures += 1;
                }
            }
        }
        remove_silent(&shared, &mut silence).await;
    }
}

/// Joins the fleet; returns the revision as of which this gateway is known to be registered.
async fn join(shared: &Rc<Shared>) -> Option<Revision> {
    let mut joining = Joining::new(shared.now());
    let (mut seen_at, mut is_new) = (None, false);
    loop {
        let own = own_registration(shared);
        let complete = shared.registry.borrow().is_complete();
        let current = shared.fleet.borrow().registration(&shared.node().name) == Some(&own);
        let now = shared.now();
        match joining.step(now, complete, current) {
            JoinStep::List => match list_nearby(shared).await {
                Ok((list, revision)) => {
                    let current = list.get(&shared.node().name) == Some(&own);
                    seen_at = if current { Some(revision) } else { seen_at };
                    let known = list.len();
                    shared.fleet.borrow_mut().add(list);
                    joining.on_list(shared.now(), current);
                    tracing::info!(known, %revision, current, "registrations read");
                    ask_peers(shared);
                }
                Err(e) => on_join_failure(shared, &mut joining, now, &e),
            },
            JoinStep::Register => match register(shared, &own).await {
                Ok(revision) => {
                    (seen_at, is_new) = (Some(revision), true);
                    joining.on_registered(shared.now(), shared.random_fraction());
                }
                Err(e) => on_join_failure(shared, &mut joining, now, &e),
            },
            JoinStep::Wait(until) => {
                let pause = until.since(now).min(membership::RELIST_PAUSE / 8);
                compio::time::sleep(pause).await;
            }
            JoinStep::Joined => {
                shared.on_joined(is_new);
                return seen_at;
            }
        }
    }
}

fn on_join_failure(shared: &Shared, joining: &mut Joining, sent: Timestamp, error: &StoreError) {
    watch::on_store_failure(shared, PREFIX, sent, error);
    joining.on_failure(shared.now(), shared.random_fraction());
    tracing::info!(%error, "can't read or write registrations");
}

/// Reads the registrations whose names begin as this gateway's does, up to the last number; those
/// of its zone are usually among them. The list may be stale and is not complete.
async fn list_nearby(shared: &Shared) -> Result<(BTreeMap<String, Gateway>, Revision), StoreError> {
    let own_key = format!("{GATEWAY_PREFIX}{}", shared.node().name);
    let start = own_key.trim_end_matches(|c: char| c.is_ascii_digit());
    let page = shared.store.list_until(GATEWAY_PREFIX, start, &own_key, Consistency::Stale).await?;
    Ok((decode_all(&page.items), page.revision))
}

/// Asks peers for lists, one after the other, until all lists are known.
fn ask_peers(shared: &Rc<Shared>) {
    let node = shared.node();
    let peers: Vec<SocketAddr> =
        membership::peers_to_ask(&shared.fleet.borrow(), &node.name, &node.zone, || {
            shared.random_fraction()
        });
    let shared = shared.clone();
    compio::runtime::spawn(async move {
        for peer in peers {
            if shared.is_ready() {
                return;
            }
            state_sync::fetch_from(&shared, peer).await;
        }
    })
    .detach();
}

/// Writes this gateway's registration; returns the revision of the write.
async fn register(shared: &Shared, own: &Gateway) -> Result<Revision, StoreError> {
    let key = format!("{GATEWAY_PREFIX}{}", shared.node().name);
    let value = serde_json::to_vec(own).expect("an address and strings serialise");
    let revision = shared.store.txn(&[], &[Write { key: &key, value: &value, lease: 0 }]).await?;
    tracing::info!(%revision, "registration written");
    Ok(revision)
}

/// Removes the registrations of silent gateways, if this gateway is the first leader of its zone.
async fn remove_silent(shared: &Shared, silence: &mut SilenceTracker) {
    let now = shared.now();
    if !shared.role.borrow().leads() || shared.store_state.borrow().is_unconfirmed() {
        return;
    }
    let silent = silent_gateways(shared, now);
    let gone = silence.observe(now, silent.iter().map(|(name, limit)| (name.as_str(), *limit)));
    for names in gone.chunks(TXN_KEYS_MAX) {
        let keys: Vec<String> = names.iter().map(|n| format!("{GATEWAY_PREFIX}{n}")).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        match shared.store.remove(&keys).await {
            Ok(revision) => {
                tracing::info!(?names, %revision, "registrations of silent gateways removed")
            }
            Err(e) => tracing::info!(?names, error = %e, "can't remove registrations"),
        }
        silence.on_removed(shared.now(), names);
    }
}

/// The registered gateways from which nothing is heard now, with the silence after which they are
/// gone: load reports within the scope, summaries from other zones.
fn silent_gateways(shared: &Shared, now: Timestamp) -> Vec<(String, Duration)> {
    let (node, fleet) = (shared.node(), shared.fleet.borrow());
    let (reports, summaries) = (shared.load_reports.borrow(), shared.zone_summaries.borrow());
    let scope = shared.scope();
    let live_zones: Vec<&str> = summaries.relayed(now).map(|s| s.zone.as_str()).collect();
    let limit = |name: &str, gateway: &Gateway| match scope {
        Scope::Zone if gateway.zone != node.zone => {
            (!live_zones.contains(&gateway.zone.as_str())).then_some(membership::ZONE_SILENCE_MAX)
        }
        _ => (!reports.is_live(now, name)).then_some(membership::SILENCE_MAX),
    };
    let registered = fleet.registered();
    let others = registered.iter().filter(|(name, _)| **name != node.name);
    others.filter_map(|(name, g)| Some((name.clone(), limit(name, g)?))).collect()
}
