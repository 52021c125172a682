//! What backend servers say with their answers beside the status, whatever was asked.
//!
//! An answer is the freshest news there is of the server that gave it. Who says that it leaves is sent
//! nothing more from here, also while the store is silent, and all gateways are told.

use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::headers;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::outcome::Reply;
use ebonyloft_router::pauses;
use hyper::{Request, StatusCode};

use super::limits;
use super::pool::ExchangeError;
use super::quarantine;
use super::shared::{Basis, Shared};

/// Takes what the head of an answer says of the server that was sent something at `sent`.
pub fn note(shared: &Shared, to: &ServerId, sent: Timestamp, reply: &Reply) {
    if reply.leaving
        && let Some(id) = speaker(shared, to, reply)
    {
        leaving(shared, &id, "answer");
    }
    if !reply.moved {
        limits::note(shared, to, sent, reply.limit);
    }
    if let Some(pause) = reply.pause.filter(|_| !reply.moved) {
        let now = shared.now();
        let (until, as_said) = shared.pauses.borrow_mut().note(now, to, pause);
        let ms = until.since(now).as_millis() as u64;
        tracing::info!(server = %to, ms, ?pause, as_said, "backend server wants nothing for a while");
        shared.metrics.count("gateway.paused", 1);
    }
}

/// Does a backend server want nothing now, or nothing more for a while?
pub fn rests(shared: &Shared, id: &ServerId) -> bool {
    rests_until(shared, id).is_some()
}

/// Until when it does.
fn rests_until(shared: &Shared, id: &ServerId) -> Option<Timestamp> {
    let paused = shared.pauses.borrow().until(shared.now(), id);
    paused.max(limits::used_up(shared, id))
}

/// When the first of these servers takes something again; none when one does now, or there is none.
pub fn soonest<'a>(
    shared: &Shared,
    servers: impl Iterator<Item = &'a Server>,
) -> Option<Timestamp> {
    pauses::soonest(servers.map(|s| rests_until(shared, &s.id)))
}

/// May a backend server still be sent what was taken of its limit? Asked again right before each send.
pub fn takes(shared: &Shared, id: &ServerId) -> bool {
    let paused = shared.pauses.borrow().until(shared.now(), id).is_some();
    !shared.roster.borrow().has_left(&id.name) && !paused
}

/// The life that answered: the one that was meant, unless it says that it is another one.
fn speaker(shared: &Shared, to: &ServerId, reply: &Reply) -> Option<ServerId> {
    match &reply.instance {
        Some(name) if *name != to.name => {
            let roster = shared.roster.borrow();
            Some(roster.named(name).map_or_else(|| ServerId::new(name, 0), |s| s.id.clone()))
        }
        _ => (!reply.moved).then(|| to.clone()),
    }
}

/// A life of a server leaves, by its own word or a peer's word of that.
pub fn leaving(shared: &Shared, id: &ServerId, from: &str) {
    if !shared.roster.borrow_mut().hear_leaving(id) {
        return;
    }
    let Basis { roster, age, .. } = shared.basis();
    tracing::info!(server = %id, from, roster, age, "backend server says that it leaves");
    shared.metrics.count("gateway.left_by_answer", 1);
    if from == "answer" {
        shared.notes.borrow_mut().leaving.push(id.clone());
        shared.inquiries.wake_all();
    }
    shared.wake_all();
    shared.line_waiters.wake_all();
}

/// A call to a backend server that is not a caller's request; none is made to one that leaves or wants
/// nothing.
pub async fn call(
    shared: &Shared,
    to: &Server,
    req: Request<Bytes>,
    limit: Duration,
) -> Result<(StatusCode, Bytes), ExchangeError> {
    if !takes(shared, &to.id) {
        tracing::info!(server = %to.id, "not asked: the backend server leaves, or wants nothing");
        return Err(ExchangeError::Unsent);
    }
    let sent = shared.now();
    let (headers, status, body) = shared.pool.call_headed(to.addr, req, limit).await?;
    let reply = headers::reply(status, &headers);
    if !reply.moved {
        quarantine::note_alive(shared, &to.id, sent);
    }
    note(shared, &to.id, sent, &reply);
    Ok((status, body))
}
