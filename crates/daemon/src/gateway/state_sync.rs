//! Exchange of configuration, server registry and gateway list between gateways. A gateway that
//! learns of newer versions at a peer fetches them from there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_router::catalog::Config;
use ebonyloft_router::fetches::{FetchKind, Versions};
use ebonyloft_router::fleet::Gateway;
use ebonyloft_router::registry::Change;
use ebonyloft_router::staleness::VersionAge;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::gossip;
use super::keys;
use super::shared::Shared;
use super::watch::apply_effect;
use crate::http;

/// Timeout of a fetch from a peer, and of each part of the response body.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Path at which a gateway serves its state to peers.
pub const PATH: &str = "/belief";

/// The parts of a gateway's state that are newer than the versions in the request.
#[derive(Debug, Deserialize, Serialize)]
pub struct StateUpdate {
    /// The sender's versions.
    pub versions: Versions,
    /// The configuration, if it is newer.
    pub config: Option<Config>,
    /// Changes of the server registry, if there are any.
    pub roster: Option<RegistryUpdate>,
    /// The list of gateways, if it is newer.
    pub fleet: Option<BTreeMap<String, Gateway>>,
    /// True if a registration missing at the sender means that the backend server is gone.
    pub settled: bool,
    /// Milliseconds since the sender's configuration was known to be the newest.
    pub age: u64,
}

/// The server registry, in full or as changes.
#[derive(Debug, Deserialize, Serialize)]
pub enum RegistryUpdate {
    /// All backend servers.
    All(Vec<Change>),
    /// Changes after the requested revision.
    Changes(Vec<Change>),
}

/// Versions of this gateway's state.
pub fn versions(shared: &Shared) -> Versions {
    Versions {
        config: shared.config().map_or(0, |c| c.version),
        roster: shared.registry.borrow().revision(),
        fleet: shared.fleet.borrow().revision(),
    }
}

/// Compares a peer's versions with this gateway's and fetches what is newer there, from another
/// zone only if this gateway is to do so for its own. Lists are fetched only if this gateway does
/// not get them from the store.
pub fn fetch_newer(shared: &Rc<Shared>, from: SocketAddr, is_other_zone: bool, theirs: Versions) {
    let own = versions(shared);
    let may_fetch = |part| {
        let mut fetches = shared.fetches.borrow_mut();
        !is_other_zone || fetches.may_cross_zones(shared.now(), part, own, shared.rank_in_zone())
    };
    // The first leader of a zone gets its lists from the store. It still fetches them from a
    // peer that has been ahead for a while: the store may be silent to this gateway alone, which
    // it notices only when a watch times out.
    let uses_store = shared.role.borrow().leads() && !shared.store_state.borrow().is_away();
    let behind = shared.fetches.borrow_mut().is_behind(shared.now(), own, theirs);
    let is_older = |part| own.is_older(part, theirs);
    if is_older(FetchKind::Lists) && (!uses_store || behind) && may_fetch(FetchKind::Lists) {
        start_fetch(shared, from, FetchKind::Lists, own);
    }
    if is_older(FetchKind::Config) && may_fetch(FetchKind::Config) {
        start_fetch(shared, from, FetchKind::Config, own);
    }
}

fn start_fetch(shared: &Rc<Shared>, from: SocketAddr, part: FetchKind, own: Versions) {
    if shared.fetches.borrow_mut().begin(shared.now(), part, from) {
        compio::runtime::spawn(fetch_part(shared.clone(), from, part, own)).detach();
    }
}

/// Fetches lists and configuration from a peer, unless such a fetch is under way.
pub async fn fetch_from(shared: &Rc<Shared>, from: SocketAddr) {
    for part in [FetchKind::Lists, FetchKind::Config] {
        if shared.fetches.borrow_mut().begin(shared.now(), part, from) {
            fetch_part(shared.clone(), from, part, versions(shared)).await;
        }
    }
}

async fn fetch_part(shared: Rc<Shared>, from: SocketAddr, part: FetchKind, own: Versions) {
    let sent_at = shared.now();
    let mut update = request_state(&shared, from, own.asking(part)).await;
    // A gateway that has just started must not serve before it knows which requests are
    // quarantined and which backend servers are leaving.
    let is_first = update.as_ref().is_some_and(|u| u.roster.is_some())
        && !shared.registry.borrow().is_complete();
    if is_first && !gossip::exchange(&shared, from).await {
        update = None;
    }
    shared.fetches.borrow_mut().end(shared.now(), part, update.is_some());
    if let Some(update) = update {
        let theirs =
            VersionAge { version: update.versions.config, age: Duration::from_millis(update.age) };
        apply(&shared, from, update);
        shared.config_staleness.borrow_mut().on_held(
            sent_at,
            shared.snapshot_version().config,
            theirs,
        );
    }
}

async fn request_state(shared: &Shared, from: SocketAddr, known: Versions) -> Option<StateUpdate> {
    let mut req = Request::new(Bytes::new());
    let Versions { config, roster, fleet } = known;
    let (roster, fleet) = (u64::from(roster), u64::from(fleet));
    let path = format!("{PATH}?{config}.{roster}.{fleet}");
    *req.uri_mut() = path.parse().expect("a path of numbers is valid");
    match shared.pool.call(from, req, FETCH_TIMEOUT).await {
        Ok((StatusCode::OK, body)) => ciborium::from_reader(&body[..])
            .inspect_err(
                |e| tracing::warn!(%from, error = %e, "can't decode state fetched from peer"),
            )
            .ok(),
        Ok((status, _)) => {
            tracing::debug!(%from, %status, "peer refused to send its state");
            None
        }
        Err(e) => {
            tracing::debug!(%from, error = %e, "can't fetch state from peer");
            None
        }
    }
}

fn apply(shared: &Shared, from: SocketAddr, update: StateUpdate) {
    if let Some(config) = update.config {
        let version = config.version;
        if shared.apply_config(config) {
            tracing::info!(version, peer = %from, "configuration in force");
        }
    }
    super::watch::on_era(shared, update.versions.roster.era());
    let store_away = shared.store_state.borrow().is_away();
    if let Some(fleet) = update.fleet {
        let (now, revision) = (shared.now(), update.versions.fleet);
        shared.fleet.borrow_mut().replace(now, fleet, revision);
    }
    let revision = update.versions.roster;
    if revision <= shared.registry.borrow().revision() {
        return;
    }
    // A gateway that can't reach the store relies on the peer's `settled` flag alone.
    let settled =
        update.settled && (store_away || shared.store_state.borrow().is_trusted(shared.now()));
    let effects = match update.roster {
        None => return,
        Some(RegistryUpdate::All(list)) => {
            shared.registry.borrow_mut().replace(list, revision, settled)
        }
        Some(RegistryUpdate::Changes(changes)) => {
            shared.registry.borrow_mut().catch_up(changes, revision, settled)
        }
    };
    for (name, effect) in effects {
        apply_effect(shared, &name, effect, revision);
    }
    shared.request_report();
    shared.wake_all();
}

/// Answers a peer's request for everything newer than the versions in the query.
pub fn handle_request(shared: &Shared, query: Option<&str>) -> Response<http::Body> {
    let Some(theirs) = query.and_then(parse_versions) else {
        return http::response(
            StatusCode::BAD_REQUEST,
            "text/plain",
            http::full_body("no versions\n"),
        );
    };
    let mut update = build_update(shared, theirs);
    let mut upload = None;
    if update.config.is_some() {
        upload = shared.uploads.begin(shared.now(), shared.node().link);
        if upload.is_none() && update.roster.is_none() && update.fleet.is_none() {
            // Upload slots are used up; the peer can fetch the configuration from another gateway.
            return service_unavailable("enough are being sent\n");
        }
        // Without an upload slot the response holds the lists only.
        update.config = update.config.filter(|_| upload.is_some());
    }
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(&update, &mut bytes) {
        tracing::error!(error = %e, "can't encode state for peer");
        return service_unavailable("not encoded\n");
    }
    let counter = if upload.is_some() { "gateway.bytes.config" } else { "gateway.bytes.lists" };
    shared.metrics.count(counter, bytes.len() as u64);
    let body = match upload {
        Some(upload) => upload.body(bytes.into()),
        None => http::full_body(bytes),
    };
    http::response(StatusCode::OK, "application/cbor", body)
}

fn service_unavailable(why: &'static str) -> Response<http::Body> {
    http::response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", http::full_body(why))
}

fn parse_versions(query: &str) -> Option<Versions> {
    let mut parts = query.split('.').map(|part| part.parse::<u64>().ok());
    let mut next = || parts.next().flatten();
    Some(Versions { config: next()?, roster: next()?.into(), fleet: next()?.into() })
}

fn build_update(shared: &Shared, theirs: Versions) -> StateUpdate {
    let versions = versions(shared);
    let (registry, fleet) = (shared.registry.borrow(), shared.fleet.borrow());
    let servers = || match registry.since(theirs.roster) {
        Some(changes) => RegistryUpdate::Changes(changes),
        None => RegistryUpdate::All(registry.changes()),
    };
    let complete = registry.is_complete();
    StateUpdate {
        versions,
        config: shared.config().filter(|c| c.version > theirs.config).map(|c| (*c).clone()),
        roster: (complete && versions.roster > theirs.roster).then(servers),
        fleet: (versions.fleet > theirs.fleet).then(|| fleet.registered()),
        settled: shared.store_state.borrow().is_trusted(shared.now()),
        age: keys::held_config(shared).age.as_millis() as u64 + 1,
    }
}
