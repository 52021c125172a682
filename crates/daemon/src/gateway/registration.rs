//! This gateway's registration in the store, and the registrations of the other gateways.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_platform::store::{Item, StoreError, Write};
use ebonyloft_router::fleet::Gateway;

use super::orders;
use super::shared::Shared;
use super::watch::Sink;

/// Prefix of the system's own keys.
pub const PREFIX: &str = "ebonyloft/";
/// Prefix of gateway registrations.
const GATEWAY_PREFIX: &str = "ebonyloft/gateways/";
/// Lease of a registration: three renewals and a short outage of the store.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Receives store items under [`PREFIX`]: gateway registrations and the leader lock.
pub struct FleetSink(pub Rc<Shared>);

impl Sink for FleetSink {
    fn replace(&self, items: Vec<Item>, revision: u64) {
        let locked = items.iter().any(|i| i.key == orders::LOCK_KEY && i.value.is_some());
        self.0.lock_available.set(!locked);
        let parse = |item: &Item| {
            let name = item.key.strip_prefix(GATEWAY_PREFIX)?.to_owned();
            Some((name, decode(item)?))
        };
        let list: BTreeMap<String, Gateway> = items.iter().filter_map(parse).collect();
        tracing::info!(count = list.len(), revision, "list of gateways loaded");
        self.0.fleet.borrow_mut().replace(self.0.now(), list, revision);
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
            revision = item.revision,
            "gateway registration changed"
        );
        self.0.fleet.borrow_mut().apply(self.0.now(), name, gateway, item.revision);
        self.0.request_report();
    }
}

/// Decodes a registration; none if it was removed or is not valid.
fn decode(item: &Item) -> Option<Gateway> {
    let value = item.value.as_deref()?;
    match serde_json::from_slice(value) {
        Ok(gateway) => Some(gateway),
        Err(e) => {
            let revision = item.revision;
            tracing::warn!(
                key = item.key, revision, error = %e, "can't decode gateway registration"
            );
            None
        }
    }
}

/// Registers this gateway and keeps the registration alive.
pub async fn keep_registered(shared: Rc<Shared>) {
    let node = shared.node();
    let key = format!("{GATEWAY_PREFIX}{}", node.name);
    let addr = (node.ip, node.peer_port).into();
    let gateway = Gateway { addr, zone: node.zone.clone(), power: node.power };
    let value = serde_json::to_vec(&gateway).expect("an address and strings serialise");
    let mut lease = None;
    loop {
        let step = match lease {
            Some(id) => shared.store.renew(id).await.map(|_| id),
            None => register(&shared, &key, &value).await,
        };
        match step {
            Ok(id) => lease = Some(id),
            Err(e) => {
                tracing::debug!(error = %e, "can't renew registration");
                if matches!(e, StoreError::NotFound) {
                    lease = None;
                    continue;
                }
            }
        }
        compio::time::sleep(RENEW_INTERVAL.mul_f64(0.9 + 0.2 * shared.random_fraction())).await;
    }
}

async fn register(shared: &Shared, key: &str, value: &[u8]) -> Result<u64, StoreError> {
    let lease = shared.store.lease(LEASE_TTL).await?;
    shared.store.txn(&[], &[Write { key, value, lease: lease.id }]).await?;
    Ok(lease.id)
}
