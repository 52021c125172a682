//! This gateway's registration in the store, and those of the others.

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
/// Prefix of the registrations.
const GATEWAYS: &str = "ebonyloft/gateways/";
/// Lease of a registration: three renewals and a short outage.
const LEASE: Duration = Duration::from_secs(10);
/// Pause between renewals.
const RENEW: Duration = Duration::from_secs(3);

/// Takes the registrations of all gateways.
pub struct FleetSink(pub Rc<Shared>);

impl Sink for FleetSink {
    fn replace(&self, items: Vec<Item>, revision: u64) {
        let locked = items.iter().any(|i| i.key == orders::LOCK_KEY && i.value.is_some());
        self.0.lock_free.set(!locked);
        let named = |item: &Item| {
            let name = item.key.strip_prefix(GATEWAYS)?.to_owned();
            Some((name, decode(item)?))
        };
        let list: BTreeMap<String, Gateway> = items.iter().filter_map(named).collect();
        tracing::info!(count = list.len(), revision, "gateways");
        self.0.fleet.borrow_mut().replace(self.0.now(), list, revision);
    }

    fn apply(&self, item: Item) {
        if item.key == orders::LOCK_KEY {
            self.0.lock_free.set(item.value.is_none());
            return;
        }
        let Some(name) = item.key.strip_prefix(GATEWAYS) else {
            return;
        };
        let gateway = decode(&item);
        tracing::info!(peer = name, live = gateway.is_some(), revision = item.revision, "peer");
        self.0.fleet.borrow_mut().apply(self.0.now(), name, gateway, item.revision);
        self.0.note_news();
    }
}

/// What a registration says; none when it is gone or another writer's.
fn decode(item: &Item) -> Option<Gateway> {
    let value = item.value.as_deref()?;
    match serde_json::from_slice(value) {
        Ok(gateway) => Some(gateway),
        Err(e) => {
            let revision = item.revision;
            tracing::warn!(key = item.key, revision, error = %e, "registration names no gateway");
            None
        }
    }
}

/// Keeps this gateway registered.
pub async fn keep(shared: Rc<Shared>) {
    let node = shared.node();
    let key = format!("{GATEWAYS}{}", node.name);
    let addr = (node.ip, node.peer_port).into();
    let gateway = Gateway { addr, zone: node.zone.clone(), power: node.power };
    let value = serde_json::to_vec(&gateway).expect("an address and a name serialise");
    let mut lease = None;
    loop {
        let step = match lease {
            Some(id) => shared.store.keep(id).await.map(|_| id),
            None => enter(&shared, &key, &value).await,
        };
        match step {
            Ok(id) => lease = Some(id),
            Err(e) => {
                tracing::debug!(error = %e, "registration not renewed");
                if matches!(e, StoreError::Missing) {
                    lease = None;
                    continue;
                }
            }
        }
        compio::time::sleep(RENEW.mul_f64(0.9 + 0.2 * shared.draw())).await;
    }
}

async fn enter(shared: &Shared, key: &str, value: &[u8]) -> Result<u64, StoreError> {
    let lease = shared.store.lease(LEASE).await?;
    shared.store.txn(&[], &[Write { key, value, lease: lease.id }]).await?;
    Ok(lease.id)
}
