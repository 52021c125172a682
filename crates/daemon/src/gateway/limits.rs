//! Rate limits that backend servers announce: acquired from before each send, and shared with all
//! gateways.
//!
//! Decisions are made in `ebonyloft_router::limits`. The owner of a limit grants tokens of it, as
//! for client accounts' quotas.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::limits::{Limit, LimitUpdate};
use ebonyloft_router::quota::LimitKey;

use super::quota::{self, Shortage};
use super::shared::{Shared, SnapshotVersion};

/// How long a server is skipped if no owner of its limit answers: by then another gateway owns the
/// limit, or the next request for tokens gets through.
const UNKNOWN_BACKOFF: Duration = Duration::from_millis(250);
/// Shortest time for which a server is skipped, so that a request does not spin on an owner in its
/// own process.
const BACKOFF_MIN: Duration = Duration::from_millis(5);

/// Acquires `need` requests of a server's limit, if it has one; false if the server must not be
/// sent anything now.
pub async fn acquire(shared: &Shared, id: &ServerId, need: u64) -> bool {
    let Some(limit) = shared.limits.borrow().of(id) else {
        return true;
    };
    let key = LimitKey::Server(id.clone());
    let acquired = quota::acquire(shared, &key, need, Some(limit), 1).await;
    if let Err(shortage) = acquired {
        let until = match shortage {
            Shortage::Over(at) => at.max(shared.now().after(BACKOFF_MIN)),
            Shortage::Unknown => shared.now().after(UNKNOWN_BACKOFF),
        };
        shared.token_leases.borrow_mut().on_exhausted(&key, until, until);
        tracing::info!(
            server = %id, limit = limit.0, need, short = ?shortage,
            "backend server skipped: its limit is used up or its owner silent"
        );
        shared.metrics.count("gateway.limit.used_up", 1);
    }
    acquired.is_ok()
}

/// Until when a server's limit is known to be used up, if it is.
pub fn used_up_until(shared: &Shared, id: &ServerId) -> Option<Timestamp> {
    shared.limits.borrow().of(id)?;
    let (until, _) =
        shared.token_leases.borrow().exhausted(shared.now(), &LimitKey::Server(id.clone()))?;
    Some(until)
}

/// Handles an answer to a request sent at `sent`, which names a limit or none.
pub fn on_answer(shared: &Shared, id: &ServerId, sent: Timestamp, limit: Option<Limit>) {
    let update = shared.limits.borrow_mut().on_answer(shared.now(), id, sent, limit);
    if let Some(report) = update {
        log_change(shared, &report, "answer");
        shared.outgoing_gossip.borrow_mut().limits.push(report);
        shared.background_waiters.wake_all();
    }
}

/// Applies a peer's report of a server's limit.
pub fn on_report(shared: &Shared, report: &LimitUpdate, peer: &str) {
    // Ignored for a server that is already gone, since nothing would remove its limit again.
    let known = shared.registry.borrow().get(&report.server).is_some();
    if known && shared.limits.borrow_mut().on_update(shared.now(), report) {
        log_change(shared, report, peer);
    }
}

/// Learns a server's limit from a peer's request for tokens, which may name a newer one than is
/// known here.
pub fn learn_from_request(shared: &Shared, key: &LimitKey, limit: Option<Limit>) {
    if let (LimitKey::Server(id), Some(limit)) = (key, limit) {
        on_report(
            shared,
            &LimitUpdate { server: id.clone(), version: 1, limit: Some(limit) },
            "question",
        );
    }
}

fn log_change(shared: &Shared, report: &LimitUpdate, from: &str) {
    let SnapshotVersion { roster, age, .. } = shared.snapshot_version();
    let LimitUpdate { server, version, limit } = report;
    let limit = limit.map(|limit| limit.0);
    tracing::info!(%server, version, limit, from, roster, age, "limit of a backend server changed");
    shared.metrics.count("gateway.limit.changed", 1);
    shared.wake_all();
    shared.queue_waiters.wake_all();
}
