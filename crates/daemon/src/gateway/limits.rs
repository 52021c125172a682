//! Limits that backend servers name: taken of before each send, told to all gateways.
//!
//! Decisions are in `ebonyloft_router::limits`; a limit is lent by its home as client accounts' quotas are.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::limits::{Limit, Named};
use ebonyloft_router::quota::Key;

use super::quota::{self, Short};
use super::shared::{Basis, Shared};

/// How long a server is passed over whose limit nobody lends: another home does by then, or the question is
/// not lost again.
const UNKNOWN_REST: Duration = Duration::from_millis(250);
/// Shortest time for which a server is passed over, so that a request does not spin on a home in its own process.
const REST_MIN: Duration = Duration::from_millis(5);

/// Takes so many requests of a server's limit, if it has one; false when it must be sent nothing now.
pub async fn take(shared: &Shared, id: &ServerId, need: u64) -> bool {
    let Some(limit) = shared.limits.borrow().of(id) else {
        return true;
    };
    let key = Key::Server(id.clone());
    let taken = quota::take(shared, &key, need, Some(limit), 1).await;
    if let Err(short) = taken {
        let until = match short {
            Short::Over(at) => at.max(shared.now().after(REST_MIN)),
            Short::Unknown => shared.now().after(UNKNOWN_REST),
        };
        shared.borrower.borrow_mut().refused(&key, until, until);
        tracing::info!(server = %id, limit = limit.0, need, ?short, "passed over: its limit is used up");
        shared.metrics.count("gateway.limit.used_up", 1);
    }
    taken.is_ok()
}

/// Until when a server's limit is used up, as far as is known here.
pub fn used_up(shared: &Shared, id: &ServerId) -> Option<Timestamp> {
    shared.limits.borrow().of(id)?;
    let (until, _) = shared.borrower.borrow().over(shared.now(), &Key::Server(id.clone()))?;
    Some(until)
}

/// An answer to a request sent at `sent` names a limit, or none.
pub fn note(shared: &Shared, id: &ServerId, sent: Timestamp, limit: Option<Limit>) {
    let news = shared.limits.borrow_mut().answered(shared.now(), id, sent, limit);
    if let Some(word) = news {
        log(shared, &word, "answer");
        shared.notes.borrow_mut().limits.push(word);
        shared.inquiries.wake_all();
    }
}

/// A peer told what it knows of a server's limit.
pub fn hear(shared: &Shared, word: &Named, peer: &str) {
    // Nothing ends the limit of a server that is gone already.
    let known = shared.roster.borrow().get(&word.server).is_some();
    if known && shared.limits.borrow_mut().hear(shared.now(), word) {
        log(shared, word, peer);
    }
}

/// A question for a part of a limit tells that limit, of which this gateway may not have heard yet.
pub fn learn(shared: &Shared, key: &Key, limit: Option<Limit>) {
    if let (Key::Server(id), Some(limit)) = (key, limit) {
        hear(shared, &Named { server: id.clone(), version: 1, limit: Some(limit) }, "question");
    }
}

fn log(shared: &Shared, word: &Named, from: &str) {
    let Basis { roster, age, .. } = shared.basis();
    let Named { server, version, limit } = word;
    let limit = limit.map(|limit| limit.0);
    tracing::info!(%server, version, limit, from, roster, age, "limit of a backend server");
    shared.metrics.count("gateway.limit.changed", 1);
    shared.wake_all();
    shared.line_waiters.wake_all();
}
