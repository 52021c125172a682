//! What backend servers announce in the head of any answer: that they are leaving, a limit or a
//! pause.
//!
//! An answer is the most recent information about its server. A server that announces its leaving
//! is sent nothing more by this gateway, even while the store is silent, and all gateways are told.

use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::headers;
use ebonyloft_router::back_offs;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::outcome::Reply;
use hyper::Request;

use super::call;
use super::limits;
use super::pool::{ExchangeError, ServerAnswer, loggable};
use super::quarantine;
use super::shared::{Shared, SnapshotVersion};

/// Applies the announcements in the head of an answer to something sent at `sent`.
pub fn on_answer(shared: &Shared, to: &ServerId, sent: Timestamp, reply: &Reply) {
    if reply.leaving
        && let Some(id) = answering_server(shared, to, reply)
    {
        on_leaving(shared, &id, "answer");
    }
    if !reply.moved {
        limits::on_answer(shared, to, sent, reply.limit);
    }
    if let Some(back_off) = reply.back_off.filter(|_| !reply.moved) {
        let now = shared.now();
        let (until, as_said) = shared.back_offs.borrow_mut().record(now, to, back_off);
        let ms = until.since(now).as_millis() as u64;
        tracing::info!(server = %to, ms, pause = ?back_off, as_said, "backend server asked for a pause");
        shared.metrics.count("gateway.paused", 1);
    }
}

/// Is a backend server paused, or its limit used up?
pub fn is_unavailable(shared: &Shared, id: &ServerId) -> bool {
    paused_until(shared, id).is_some()
}

/// Until when the server is paused or its limit used up.
fn paused_until(shared: &Shared, id: &ServerId) -> Option<Timestamp> {
    let paused = shared.back_offs.borrow().until(shared.now(), id);
    paused.max(limits::used_up_until(shared, id))
}

/// When the first of these servers is available again; `None` if one is available now, or if there
/// are none.
pub fn available_at<'a>(
    shared: &Shared,
    servers: impl Iterator<Item = &'a Server>,
) -> Option<Timestamp> {
    back_offs::first_available(servers.map(|s| paused_until(shared, &s.id)))
}

/// May a server be sent a request for which its limit was already acquired? Checked right before
/// each send.
pub fn accepts_requests(shared: &Shared, id: &ServerId) -> bool {
    let paused = shared.back_offs.borrow().until(shared.now(), id).is_some();
    !shared.registry.borrow().has_left(&id.name) && !paused
}

/// The incarnation that answered: the one addressed, unless the answer names another.
fn answering_server(shared: &Shared, to: &ServerId, reply: &Reply) -> Option<ServerId> {
    match &reply.instance {
        Some(name) if *name != to.name => {
            let registry = shared.registry.borrow();
            Some(registry.named(name).map_or_else(|| ServerId::new(name, 0), |s| s.id.clone()))
        }
        _ => (!reply.moved).then(|| to.clone()),
    }
}

/// Handles the announcement, by an answer or by a peer, that an incarnation of a server is leaving.
pub fn on_leaving(shared: &Shared, id: &ServerId, from: &str) {
    if !shared.registry.borrow_mut().on_leaving(id) {
        return;
    }
    let SnapshotVersion { roster, age, .. } = shared.snapshot_version();
    tracing::info!(server = %id, from, roster, age, "backend server announced that it is leaving");
    shared.metrics.count("gateway.left_by_answer", 1);
    if from == "answer" {
        shared.outgoing_gossip.borrow_mut().leaving.push(id.clone());
        shared.background_waiters.wake_all();
    }
    shared.wake_all();
    shared.queue_waiters.wake_all();
}

/// Calls a backend server for the gateway itself rather than for a caller. A server that is leaving
/// or paused is not called; one that has been replaced at its address is gone.
pub async fn call(
    shared: &Shared,
    to: &Server,
    req: Request<Bytes>,
    limit: Duration,
) -> Result<ServerAnswer, ExchangeError> {
    if !accepts_requests(shared, &to.id) {
        tracing::info!(server = %to.id, "not called: the backend server is leaving or paused");
        return Err(ExchangeError::Unsent);
    }
    let sent = shared.now();
    let answer = shared.pool.call_server(to.addr, req, limit).await?;
    let reply = headers::parse_reply(answer.status, &answer.headers);
    if reply.moved {
        // The registry forgets the server next.
        let registered = registered_beside(shared, to);
        tracing::info!(
            server = %to.id, addr = %to.addr, instance = reply.instance.as_deref().map(loggable),
            registered, "another server or stage at the address"
        );
        call::on_replaced(shared, &to.id);
    } else {
        quarantine::on_alive(shared, &to.id, sent);
    }
    on_answer(shared, &to.id, sent, &reply);
    Ok(answer)
}

/// Another server that is registered at the address of one, or the same one at another stage.
fn registered_beside(shared: &Shared, server: &Server) -> Option<String> {
    let registry = shared.registry.borrow();
    let is_other = |s: &&Server| s.id != server.id || s.stage != server.stage;
    let other = registry.all().filter(|s| s.addr == server.addr).find(is_other)?;
    Some(match other.stage {
        Some(stage) => format!("{} {stage:?}", other.id),
        None => other.id.to_string(),
    })
}
