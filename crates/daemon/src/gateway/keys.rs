//! Identifies the account of a request by its key, and checks whether the key may still run work.
//!
//! A revoked key must not run anything after the configured bound, even at a gateway that was cut
//! off or suspended. The key is therefore checked when a request arrives and again before each
//! send, against a configuration that is known to have been the newest a short time ago
//! (`ebonyloft_router::staleness`).

use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::ids::Account as AccountName;
use ebonyloft_platform::headers::CallerHeaders;
use ebonyloft_router::accounts::{self, Account, Credential, Identity};
use ebonyloft_router::catalog::{Config, Route};
use ebonyloft_router::load_report::GossipMessage;
use ebonyloft_router::staleness::{VersionAge, WATCH_LAG_MAX};
use ebonyloft_router::zone_leader::StoreLink;

use super::answer::Cause;
use super::intake::Intake;
use super::shared::{Shared, SnapshotVersion};

/// Interval between checks of the configuration's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// An unknown key is rejected for good only if the configuration's age is below the bound for
/// applying changes by this much; otherwise the key may have been added since.
const UNKNOWN_KEY_MARGIN: Duration = Duration::from_millis(500);

/// The account of a request; `None` if the request needs none.
pub fn identify<'a>(
    shared: &Shared,
    config: &'a Config,
    route: &Route,
    caller: &CallerHeaders,
) -> Result<Option<&'a Account>, Cause> {
    let accounts = config.accounts.as_ref();
    match accounts::identify(accounts, route.public, &caller.credential) {
        Identity::Anyone => Ok(None),
        Identity::Account(account) if is_fresh(shared) => Ok(Some(account)),
        Identity::Account(_) if route.public => Ok(None),
        Identity::Account(_) => Err(Cause::Unconfirmed),
        Identity::Unidentified => Err(Cause::Unauthorized),
        Identity::Unknown => {
            let age =
                shared.config_staleness.borrow().age(shared.now()).saturating_sub(WATCH_LAG_MAX);
            let is_certain = age + UNKNOWN_KEY_MARGIN < shared.node().bounds.apply;
            Err(if is_certain { Cause::Unauthorized } else { Cause::Unconfirmed })
        }
    }
}

/// May a request still be sent? Checked again before each send, since the request may have waited.
pub fn check(shared: &Shared, intake: &Intake) -> Result<(), Cause> {
    let Some(name) = &intake.account else {
        return Ok(());
    };
    if !is_fresh(shared) {
        return Err(Cause::Unconfirmed);
    }
    let config = shared.config();
    let accounts = config.as_ref().and_then(|c| c.accounts.as_ref());
    let is_valid = match (accounts, &intake.caller.credential) {
        // Accounts were removed from the configuration: a request accepted under one may run.
        (None, _) => true,
        (Some(accounts), Credential::Key(key)) => {
            accounts.find_by_key(key).is_some_and(|a| a.name == *name)
        }
        (Some(_), _) => false,
    };
    if is_valid { Ok(()) } else { Err(Cause::Unauthorized) }
}

/// Like `check`, but logs the cause and returns false if the request may not be sent.
pub fn may_send(shared: &Shared, intake: &Intake) -> bool {
    let Err(cause) = check(shared, intake) else {
        return true;
    };
    let SnapshotVersion { config, .. } = shared.snapshot_version();
    let age = shared.config_staleness.borrow().age(shared.now()).as_millis() as u64;
    tracing::info!(
        id = intake.id(),
        account = intake.account.as_ref().map(AccountName::as_str),
        ?cause,
        config,
        config_age = age,
        "not sent: its key is revoked, or the configuration too old to tell"
    );
    false
}

/// Is the configuration fresh enough for requests with keys?
pub fn is_fresh(shared: &Shared) -> bool {
    shared.config_staleness.borrow().is_fresh(shared.now(), shared.node().bounds.revoke)
}

/// Time within which a revoked key must stop running work; `None` without such a bound or without
/// accounts.
pub fn revoke_bound(shared: &Shared) -> Option<Duration> {
    let has_accounts = shared.config().is_some_and(|c| c.accounts.is_some());
    shared.node().bounds.revoke.filter(|_| has_accounts)
}

/// Asks peers how old their configuration is while this gateway's may be stale.
pub async fn keep_fresh(shared: std::rc::Rc<Shared>) {
    let mut allowed = false;
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let Some(bound) = revoke_bound(&shared) else {
            continue;
        };
        let (now, number) = (shared.now(), shared.random_id());
        if shared.config_staleness.borrow_mut().ask(now, bound, number) {
            for addr in peers_to_ask(&shared) {
                shared.queue_message(addr, GossipMessage::Age(number));
            }
        }
        let age = shared.config_staleness.borrow().age(shared.now()).as_millis() as u64;
        shared.metrics.gauge("gateway.config_age_ms", age);
        if is_fresh(&shared) != allowed {
            allowed = !allowed;
            let config = shared.snapshot_version().config;
            tracing::info!(
                held = allowed,
                config,
                config_age = age,
                "permission to run requests with keys changed"
            );
        }
    }
}

/// Peers to ask: one that follows the store, preferably in the own availability zone; any peer if
/// none does.
fn peers_to_ask(shared: &Shared) -> Vec<SocketAddr> {
    let (now, node) = (shared.now(), shared.node());
    let (fleet, load_reports) = (shared.fleet.borrow(), shared.load_reports.borrow());
    let others: Vec<_> = fleet.all().iter().filter(|(name, _)| **name != node.name).collect();
    let follows_store =
        |name: &str| matches!(load_reports.link(now, name), Some(StoreLink::Heard { .. }));
    let followers: Vec<_> = others.iter().filter(|(name, _)| follows_store(name)).collect();
    let same_zone: Vec<_> = followers.iter().filter(|(_, g)| g.zone == node.zone).collect();
    let random_index = |len: usize| (shared.random_fraction() * len as f64) as usize;
    let mut peers = Vec::new();
    if let Some((_, gateway)) = same_zone.get(random_index(same_zone.len())) {
        peers.push(gateway.addr);
    } else if let Some((_, gateway)) = followers.get(random_index(followers.len())) {
        peers.push(gateway.addr);
    }
    if let Some((_, gateway)) = others.get(random_index(others.len()))
        && peers.is_empty()
    {
        peers.push(gateway.addr);
    }
    peers
}

/// Answers a peer that asks how old the configuration is here.
pub fn send_age(shared: &Shared, to: SocketAddr, number: u64) {
    let VersionAge { version, age } = held_config(shared);
    shared.queue_message(to, GossipMessage::Held(number, version, age.as_millis() as u64 + 1));
}

/// Handles a peer's answer about the age of its configuration.
pub fn on_age(shared: &Shared, number: u64, version: u64, age: u64) {
    let peer_config = VersionAge { version, age: Duration::from_millis(age) };
    let own_version = shared.snapshot_version().config;
    shared.config_staleness.borrow_mut().on_answer(number, own_version, peer_config);
}

/// Version and age of this gateway's configuration.
pub fn held_config(shared: &Shared) -> VersionAge {
    let version = shared.snapshot_version().config;
    VersionAge { version, age: shared.config_staleness.borrow().age(shared.now()) }
}
