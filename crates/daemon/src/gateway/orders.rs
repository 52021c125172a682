//! Orders to engines: which ones are prefill engines and which ones decode engines.
//!
//! One gateway is the leader and sends the orders; the others stand by. Leadership is a store key
//! under a lease. Its fencing token is a number that grows with each leader and is never reset.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_platform::engine::{self, OrderReply};
use ebonyloft_platform::store::{StoreError, Write};
use ebonyloft_router::catalog::{Server, ServerId, Stage};
use ebonyloft_router::leadership::{self, LeaderRecord, Leadership, Order};
use ebonyloft_router::registry::ServerRegistry;
use ebonyloft_router::revision::Revision;
use ebonyloft_router::stages::{Change, PlanContext, Planner, Shape};
use ebonyloft_router::zones::Scope;

use super::announcements;
use super::limits;
use super::shared::Shared;
use super::speeds;

/// Key of the leader lock; it exists for as long as the leader's lease.
pub const LOCK_KEY: &str = "ebonyloft/orders/lock";
/// Key of the leader record, which holds the last fencing token.
const LEADER_RECORD_KEY: &str = "ebonyloft/orders/record";
/// Interval at which the engines' stages are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// How long the server registry must have been unchanged before orders are sent. Backend servers
/// register within a second of a start, and stage ratios of a half-filled registry mean nothing.
const REGISTRY_QUIET: Duration = Duration::from_millis(1_000);
/// Timeout of an order; less than what is left of the lease when an order is sent.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before the next attempt after a failed one to acquire leadership.
const RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Acquires leadership when it is free, then renews it and sends orders.
pub async fn run(shared: Rc<Shared>) {
    let mut planner = Planner::default();
    loop {
        compio::time::sleep(CHECK_INTERVAL.mul_f64(0.8 + 0.4 * shared.random_fraction())).await;
        if shared.is_stopping() || !is_eligible(&shared) || !shared.lock_available.get() {
            continue;
        }
        match acquire(&shared).await {
            Ok(Some(leadership)) => {
                tracing::info!(
                    fence = leadership.fence,
                    "leadership acquired: this gateway orders engines"
                );
                lead(&shared, &mut planner, leadership).await;
            }
            Ok(None) => compio::time::sleep(RETRY_DELAY).await,
            Err(e) => {
                tracing::info!(error = %e, "can't acquire leadership");
                compio::time::sleep(RETRY_DELAY.mul_f64(0.5 + shared.random_fraction())).await;
            }
        }
    }
}

/// True if this gateway follows the store and any service has engines with stages. A gateway that
/// does not follow the store can't tell whether leadership is free.
fn is_eligible(shared: &Shared) -> bool {
    shared.role.borrow().follows()
        && shared.config().is_some_and(|c| c.services.iter().any(|s| s.engine.is_some()))
        && shared.registry.borrow().is_complete()
}

async fn acquire(shared: &Shared) -> Result<Option<Leadership>, StoreError> {
    let era = shared.store.era();
    if shared.store.get(LOCK_KEY).await?.is_some() {
        shared.lock_available.set(false);
        return Ok(None);
    }
    let before = shared.store.get(LEADER_RECORD_KEY).await?;
    let revision = before.as_ref().map_or_else(Revision::default, |i| i.revision);
    let first = before.is_none() && shared.restored_at.get().is_none();
    let record = match before.and_then(|i| i.value) {
        Some(value) => serde_json::from_slice::<LeaderRecord>(&value).map_err(|e| {
            StoreError::Unknown { detail: format!("can't decode the leader record: {e}") }
        })?,
        None => LeaderRecord::default(),
    };
    let sent = shared.now();
    let lease = shared.store.lease(leadership::LEASE).await?;
    let name = shared.node().name.clone();
    let fence = leadership::next_fence(record.fence, era);
    let next = LeaderRecord { fence, holder: name };
    let value = serde_json::to_vec(&next).expect("plain strings and numbers serialise");
    let writes = [
        Write { key: LOCK_KEY, value: &value, lease: lease.id },
        Write { key: LEADER_RECORD_KEY, value: &value, lease: 0 },
    ];
    let none = Revision::default();
    match shared.store.txn(&[(LOCK_KEY, none), (LEADER_RECORD_KEY, revision)], &writes).await {
        // The fencing token and the lease may be of the era before; the lease expires by itself.
        Ok(written) if written.era() != era => Ok(None),
        Ok(_) => {
            let now = shared.now();
            let gap = shared.node().bounds.order_gap;
            let gap = leadership::order_gap(gap, now, shared.restored_at.get());
            Ok(Some(Leadership::taken(sent, now, next.fence, lease.id, gap, first)))
        }
        Err(StoreError::Conflict) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Renews leadership and sends orders until leadership is lost.
async fn lead(shared: &Shared, planner: &mut Planner, leadership: Leadership) {
    renew_and_order(shared, planner, leadership).await;
    shared.stage_changes.borrow_mut().set_ordered(Vec::new());
}

async fn renew_and_order(shared: &Shared, planner: &mut Planner, mut leadership: Leadership) {
    let mut renew_at = shared.now().after(leadership::RENEW);
    let era = shared.store.era();
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        if may_be_lost(shared, era, &leadership) {
            return;
        }
        if shared.is_stopping() {
            return release(shared, leadership).await;
        }
        if now >= renew_at {
            renew_at = now.after(leadership::RENEW);
            match shared.store.renew(leadership.lease).await {
                Ok(_) => leadership.renewed(now),
                Err(StoreError::NotFound) => {
                    return tracing::info!(fence = leadership.fence, "leadership lease expired");
                }
                Err(e) => {
                    tracing::info!(
                        fence = leadership.fence, error = %e, "can't renew leadership lease"
                    )
                }
            }
        }
        if may_be_lost(shared, era, &leadership) {
            return;
        }
        let now = shared.now();
        if leadership.lapsed(now) {
            return tracing::info!(fence = leadership.fence, "leadership lease may have expired");
        }
        shared.back_off(shared.stage_changes.borrow().ordered());
        if leadership.may_order(now)
            && let Some((order, server)) = next_order(shared, planner, &leadership)
        {
            send(shared, order, server, planner).await;
        }
    }
}

/// Has the store come back from a copy since `era`? The lease may be gone, and its id given out again.
fn may_be_lost(shared: &Shared, era: u64, leadership: &Leadership) -> bool {
    let is_lost = shared.store.era() != era;
    if is_lost {
        let fence = leadership.fence;
        tracing::info!(fence, "the store may have lost the leadership lease");
    }
    is_lost
}

async fn release(shared: &Shared, leadership: Leadership) {
    if let Err(e) = shared.store.revoke(leadership.lease).await {
        tracing::info!(
            fence = leadership.fence, error = %e,
            "can't revoke leadership lease; it expires by itself"
        );
    }
}

fn next_order(
    shared: &Shared,
    planner: &mut Planner,
    leadership: &Leadership,
) -> Option<(Order, Server)> {
    let config = shared.config()?;
    let registry = shared.registry.borrow();
    if shared.now() < registry.changed_at().after(REGISTRY_QUIET) {
        return None;
    }
    for service in &config.services {
        let Some(spec) = &service.engine else {
            continue;
        };
        let (shape, rate) = {
            let learned = shared.service_estimates(&service.name);
            (learned.shape, learned.prefill_speed.rate())
        };
        let shape = shape.merged(shared.load_reports.borrow().shapes(&service.name));
        let groups = engine_groups(shared, &registry, &service.name);
        let engines = groups.iter().flatten().copied();
        let by_speed = shared.plan_by_speed.get();
        let speeds = speeds::snapshot(shared, &service.name, engines).filter(|_| by_speed);
        let context = PlanContext {
            service: &service.name,
            groups: &groups,
            engine: spec,
            shape: Some(shape).filter(Shape::is_known),
            rate,
        };
        let change = planner.next_by_speed(shared.now(), &context, speeds.as_ref());
        if let Some(Change { id: to, stage, exchange }) = change {
            if let Some(exchange) = &exchange {
                speeds::log_exchange(shared, &service.name, &to, stage, exchange);
            }
            planner.on_ordered(shared.now(), &to, stage, spec);
            shared.stage_changes.borrow_mut().set_ordered(planner.changing());
            let server = registry.get(&to)?.clone();
            let holder = shared.node().name.clone();
            return Some((Order { to, stage, holder, fence: leadership.fence }, server));
        }
    }
    shared.stage_changes.borrow_mut().set_ordered(planner.changing());
    None
}

/// Groups a service's engines by the gateways that place requests there: one group, or one for
/// each zone.
fn engine_groups<'a>(
    shared: &Shared,
    registry: &'a ServerRegistry,
    service: &'a str,
) -> Vec<Vec<&'a Server>> {
    let scope = shared.scope();
    let mut groups: BTreeMap<&str, Vec<&Server>> = BTreeMap::new();
    for server in registry.ready(service) {
        let group = match scope {
            Scope::All => "",
            Scope::Zone => server.zone.as_str(),
        };
        groups.entry(group).or_default().push(server);
    }
    groups.into_values().collect()
}

async fn send(shared: &Shared, order: Order, server: Server, planner: &mut Planner) {
    let req = engine::change_stage(&order);
    if !limits::acquire(shared, &server.id, 1).await {
        planner.on_refused(&order.to);
        return;
    }
    let reply = announcements::call(shared, &server, req, ORDER_TIMEOUT).await;
    let (to, stage): (&ServerId, Stage) = (&order.to, order.stage);
    match reply {
        Ok(answer) => {
            let result = engine::parse_order_reply(answer.status);
            tracing::info!(
                server = %to, ?stage, fence = order.fence, word = ?result, "order answered"
            );
            if matches!(result, OrderReply::Busy | OrderReply::Failed(_) | OrderReply::Moved) {
                planner.on_refused(to);
            }
        }
        // The engine may still carry the order out; the server registry will show it.
        Err(e) => {
            tracing::info!(
                server = %to, ?stage, fence = order.fence, error = %e, "order not answered"
            );
        }
    }
}
