//! What one gateway believes, fetched by another one that heard of something newer.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Moment;
use ebonyloft_router::catalog::Config;
use ebonyloft_router::fleet::Gateway;
use ebonyloft_router::roster::Change;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::shared::Shared;
use super::watch::note_effect;
use crate::http;

/// Longest wait for a peer's beliefs, and for each part of them.
const PULL_WAIT: Duration = Duration::from_millis(500);
/// Shortest time between two pulls from one peer, so that one which is a step ahead all the time is not
/// asked at each of its messages.
const PULL_GAP: Duration = Duration::from_millis(150);
/// Path of a gateway's beliefs.
pub const PATH: &str = "/belief";

/// Versions of what a gateway knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versions {
    /// Version of the configuration.
    pub config: u64,
    /// Revision of the list of backend servers.
    pub roster: u64,
    /// Revision of the list of gateways.
    pub fleet: u64,
}

/// What a gateway knows beyond the versions that it was told.
#[derive(Debug, Deserialize, Serialize)]
pub struct Belief {
    /// What it knows.
    pub versions: Versions,
    /// A newer configuration.
    pub config: Option<Config>,
    /// News of the list of backend servers.
    pub roster: Option<Servers>,
    /// A newer list of gateways.
    pub fleet: Option<BTreeMap<String, Gateway>>,
    /// A missing registration means that the backend server is gone.
    pub settled: bool,
}

/// Backend servers, or what changed of them.
#[derive(Debug, Deserialize, Serialize)]
pub enum Servers {
    /// All that there are.
    All(Vec<Change>),
    /// What changed behind the revision that was asked for.
    Changes(Vec<Change>),
}

/// Pulls that are under way or were lately.
#[derive(Default)]
pub struct Pulls {
    under_way: bool,
    begun: HashMap<SocketAddr, Moment>,
}

impl Pulls {
    /// May this peer be asked now? Notes that it is.
    fn begin(&mut self, now: Moment, from: SocketAddr) -> bool {
        let due = self.begun.get(&from).is_none_or(|at| now.since(*at) > PULL_GAP);
        if self.under_way || !due {
            return false;
        }
        self.begun.retain(|_, at| now.since(*at) <= PULL_GAP);
        self.begun.insert(from, now);
        self.under_way = true;
        true
    }
}

/// What this gateway knows.
pub fn versions(shared: &Shared) -> Versions {
    Versions {
        config: shared.config().map_or(0, |c| c.version),
        roster: shared.roster.borrow().revision(),
        fleet: shared.fleet.borrow().revision(),
    }
}

/// A peer told its versions: fetches what is newer there, unless the store itself is followed and heard.
pub fn compare(shared: &Rc<Shared>, from: SocketAddr, theirs: Versions) {
    let own = versions(shared);
    let indirect = !shared.role.borrow().leads() || shared.fresh.borrow().is_away();
    let lists = theirs.roster > own.roster || theirs.fleet > own.fleet;
    if theirs.config <= own.config && !(indirect && lists) {
        return;
    }
    if shared.pulls.borrow_mut().begin(shared.now(), from) {
        compio::runtime::spawn(pull(shared.clone(), from, own)).detach();
    }
}

async fn pull(shared: Rc<Shared>, from: SocketAddr, own: Versions) {
    let mut req = Request::new(Bytes::new());
    let Versions { config, roster, fleet } = own;
    let path = format!("{PATH}?{config}.{roster}.{fleet}");
    *req.uri_mut() = path.parse().expect("numbers make a valid path");
    let belief = shared.pool.call(from, req, PULL_WAIT).await;
    shared.pulls.borrow_mut().under_way = false;
    let belief = match belief {
        Ok((StatusCode::OK, body)) => ciborium::from_reader::<Belief, _>(&body[..]),
        Ok((status, _)) => return tracing::debug!(%from, %status, "peer has no beliefs"),
        Err(e) => return tracing::debug!(%from, error = %e, "peer not reached"),
    };
    match belief {
        Ok(belief) => take(&shared, from, belief),
        Err(e) => tracing::warn!(%from, error = %e, "peer's beliefs unread"),
    }
}

fn take(shared: &Shared, from: SocketAddr, belief: Belief) {
    if let Some(config) = belief.config {
        let version = config.version;
        if shared.offer(config) {
            tracing::info!(version, peer = %from, "configuration in force");
        }
    }
    let away = shared.fresh.borrow().is_away();
    if shared.role.borrow().leads() && !away {
        return;
    }
    if let Some(fleet) = belief.fleet {
        let (now, revision) = (shared.now(), belief.versions.fleet);
        shared.fleet.borrow_mut().replace(now, fleet, revision);
    }
    let revision = belief.versions.roster;
    if revision <= shared.roster.borrow().revision() {
        return;
    }
    // Who can't believe the store itself goes by the peer's judgement.
    let settled = belief.settled && (away || shared.fresh.borrow().settled(shared.now()));
    let effects = match belief.roster {
        None => return,
        Some(Servers::All(list)) => shared.roster.borrow_mut().replace(list, revision, settled),
        Some(Servers::Changes(changes)) => {
            shared.roster.borrow_mut().catch_up(changes, revision, settled)
        }
    };
    for (name, effect) in effects {
        note_effect(shared, &name, effect, revision);
    }
    shared.note_news();
    shared.wake_all();
}

/// Answers a peer who asks for what is newer here than what it knows.
pub fn answer(shared: &Shared, query: Option<&str>) -> Response<http::Body> {
    let Some(theirs) = query.and_then(parse) else {
        return http::response(StatusCode::BAD_REQUEST, "text/plain", http::full("no versions\n"));
    };
    let belief = belief(shared, theirs);
    let mut bytes = Vec::new();
    match ciborium::into_writer(&belief, &mut bytes) {
        Ok(()) => http::response(StatusCode::OK, "application/cbor", http::full(bytes)),
        Err(e) => {
            tracing::error!(error = %e, "beliefs not encoded");
            http::response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", http::full(""))
        }
    }
}

fn parse(query: &str) -> Option<Versions> {
    let mut parts = query.split('.').map(|part| part.parse().ok());
    let mut next = || parts.next().flatten();
    Some(Versions { config: next()?, roster: next()?, fleet: next()? })
}

fn belief(shared: &Shared, theirs: Versions) -> Belief {
    let versions = versions(shared);
    let (roster, fleet) = (shared.roster.borrow(), shared.fleet.borrow());
    let servers = || match roster.since(theirs.roster) {
        Some(changes) => Servers::Changes(changes),
        None => Servers::All(roster.changes()),
    };
    let whole = roster.is_complete();
    Belief {
        versions,
        config: shared.config().filter(|c| c.version > theirs.config).map(|c| (*c).clone()),
        roster: (whole && versions.roster > theirs.roster).then(servers),
        fleet: (versions.fleet > theirs.fleet).then(|| fleet.registered()),
        settled: shared.fresh.borrow().settled(shared.now()),
    }
}
