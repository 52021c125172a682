//! Gateways among themselves: what work each has at engines, and what one has heard that another one
//! has not.
//!
//! Both are told by datagram several times a second; what is newer elsewhere is then fetched.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, UdpSocket};
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::delegate::Link;
use ebonyloft_router::pulls::Versions;
use ebonyloft_router::share::{self, News, Share};
use ebonyloft_router::zones::{DIGEST_PAUSE, Digest, Room, Scope};
use futures_util::StreamExt;
use futures_util::future::select;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::belief;
use super::keys;
use super::notes;
use super::quota;
use super::shared::Shared;
use super::stream::{self, lend, spill};
use crate::http;

/// While there is no work only each second datagram is sent: often enough to count as live.
const IDLE_ROUNDS: u64 = 2;
/// Shortest pause between two datagrams, as a part of the usual one: news is told at once unless
/// there was some just before. An engine's last place is otherwise given away twice in the meantime,
/// and one of both callers waits or is refused.
const GAP_PART: f64 = 0.2;
/// Longest pause beyond that without news, as a part of the usual one: answers grow meanwhile, by
/// some fifty tokens each.
const REST_PART: f64 = 1.6;
/// Largest datagram.
const DATAGRAM_MAX: usize = 8 << 10;

/// Tells peers what work there is here.
pub async fn tell(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let life = shared.now().0;
    let mut seq = 0;
    let mut passed_at = Timestamp::default();
    loop {
        let peers = peers(&shared);
        let pause = share::pause(peers.len());
        compio::time::sleep(pause.mul_f64(GAP_PART)).await;
        let rest = std::pin::pin!(compio::time::sleep(pause.mul_f64(REST_PART)));
        select(shared.news(), rest).await;
        shared.told();
        seq += 1;
        let mut share = own_share(&shared, life, seq);
        // News of work comes several times as often as digests do.
        let now = shared.now();
        if now.since(passed_at) >= DIGEST_PAUSE && shared.role.borrow().follows() {
            passed_at = now;
            share.digests = shared.digests.borrow().passed_on(now).cloned().collect();
        }
        let idle = share.work.is_empty() && share.waiting == 0 && share.changing.is_empty();
        if idle && !seq.is_multiple_of(IDLE_ROUNDS) {
            continue;
        }
        let mut bytes = Vec::new();
        if let Err(e) = ciborium::into_writer(&News::Share(share), &mut bytes) {
            tracing::error!(error = %e, "share not encoded");
            continue;
        }
        send(&shared, &socket, "gateway.bytes.work", Bytes::from(bytes), &peers).await;
    }
}

/// Sends what is meant for single peers.
pub async fn post(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let Some(mut letters) = shared.letters() else {
        return;
    };
    while let Some((to, news)) = letters.next().await {
        let mut bytes = Vec::new();
        if let Err(e) = ciborium::into_writer(&news, &mut bytes) {
            tracing::error!(error = %e, "letter not encoded");
            continue;
        }
        send(&shared, &socket, "gateway.bytes.letters", Bytes::from(bytes), &[to]).await;
    }
}

/// Sends a datagram to some; its bytes are counted under `counter`.
pub async fn send(
    shared: &Shared,
    socket: &UdpSocket,
    counter: &'static str,
    bytes: Bytes,
    to: &[SocketAddr],
) {
    shared.metrics.count(counter, (bytes.len() * to.len()) as u64);
    for addr in to {
        let compio::BufResult(sent, _) = socket.send_to(bytes.clone(), *addr).await;
        if let Err(e) = sent {
            tracing::debug!(%addr, error = %e, "datagram not sent");
        }
    }
}

/// Who is told of the work here: those who place at the same engines, and all while engines that may be
/// theirs are changing their stage.
fn peers(shared: &Shared) -> Vec<SocketAddr> {
    let (node, fleet) = (shared.node(), shared.fleet.borrow());
    let all = shared.scope() == Scope::All || !shared.changing.borrow().is_empty();
    let others = fleet.all().iter().filter(|(name, _)| **name != node.name);
    others.filter(|(_, g)| all || g.zone == node.zone).map(|(_, g)| g.addr).collect()
}

/// Tells other zones of this one, for as long as this gateway is a delegate.
pub async fn tell_zones(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let life = shared.now().0;
    let mut seq = 0;
    loop {
        compio::time::sleep(DIGEST_PAUSE).await;
        if shared.scope() == Scope::All || !shared.role.borrow().follows() {
            continue;
        }
        seq += 1;
        let digest = own_digest(&shared, life, seq);
        let mut bytes = Vec::new();
        if let Err(e) = ciborium::into_writer(&News::Digest(digest), &mut bytes) {
            tracing::error!(error = %e, "digest not encoded");
            continue;
        }
        let to = delegates(&shared);
        send(&shared, &socket, "gateway.bytes.digests", Bytes::from(bytes), &to).await;
    }
}

/// Those who speak for other zones: as they rank, and who was heard lately.
fn delegates(shared: &Shared) -> Vec<SocketAddr> {
    let (node, fleet, digests) = (shared.node(), shared.fleet.borrow(), shared.digests.borrow());
    let heard = digests.passed_on(shared.now()).map(|d| d.addr);
    let ranked = fleet.delegates().filter(|g| g.zone != node.zone).map(|g| g.addr);
    let all: BTreeSet<SocketAddr> = heard.chain(ranked).collect();
    all.into_iter().collect()
}

fn own_digest(shared: &Shared, life: u64, seq: u64) -> Digest {
    let node = shared.node();
    let Versions { config, roster, fleet } = belief::versions(shared);
    Digest {
        name: node.name.clone(),
        zone: node.zone.clone(),
        addr: (node.ip, node.peer_port).into(),
        life,
        seq,
        config,
        roster,
        fleet,
        notes: notes::sum(shared),
        rooms: rooms(shared),
    }
}

fn rooms(shared: &Shared) -> Vec<Room> {
    let Some(config) = shared.config() else {
        return Vec::new();
    };
    let engines = config.services.iter().filter_map(|s| Some((&s.name, s.engine.as_ref()?)));
    engines.map(|(name, spec)| stream::room(shared, name, spec)).collect()
}

fn own_share(shared: &Shared, life: u64, seq: u64) -> Share {
    let engines = shared.engines.borrow();
    let Versions { config, roster, fleet } = belief::versions(shared);
    Share {
        name: shared.node().name.clone(),
        life,
        seq,
        config,
        roster,
        fleet,
        link: link(shared),
        waiting: engines.waiting() as u32,
        changing: shared.changing.borrow().clone(),
        work: engines.work(),
        notes: notes::sum(shared),
        missing: quota::missing(shared),
        digests: Vec::new(),
    }
}

/// How this gateway hears of the store, for its peers; one that has not read the whole list yet is no
/// help to them.
fn link(shared: &Shared) -> Link {
    let helps = shared.role.borrow().follows() && shared.roster.borrow().is_complete();
    match helps {
        true => shared.fresh.borrow().link(shared.now(), shared.node().bounds.silence()),
        false => Link::Indirect,
    }
}

/// Hears peers.
pub async fn hear(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(DATAGRAM_MAX);
    loop {
        buffer.clear();
        let compio::BufResult(received, back) = socket.recv_from(buffer).await;
        buffer = back;
        let (len, from) = match received {
            Ok(received) => received,
            Err(e) => {
                tracing::debug!(error = %e, "datagram not received");
                compio::time::sleep(share::TELL).await;
                continue;
            }
        };
        match ciborium::from_reader::<News, _>(&buffer[..len]) {
            Ok(News::Share(share)) => take(&shared, from, share),
            Ok(News::Digest(digest)) => {
                let Digest { config, roster, fleet, .. } = digest;
                notes::compare(&shared, &digest.name, from, digest.notes);
                shared.digests.borrow_mut().hear(shared.now(), digest);
                belief::compare(&shared, from, Versions { config, roster, fleet });
            }
            Ok(News::Ask(ask)) => quota::serve(&shared, from, &ask),
            Ok(News::Answer(answer)) => quota::hear(&shared, answer),
            Ok(News::Unused(key, tokens)) => quota::take_back(&shared, &key, tokens),
            Ok(News::Age(number)) => keys::tell_age(&shared, from, number),
            Ok(News::Held(number, version, age)) => keys::hear_age(&shared, number, version, age),
            Ok(News::Notes(heard)) => notes::take(&shared, &heard, &from.to_string()),
            Err(e) => tracing::warn!(%from, len, error = %e, "datagram unread"),
        }
    }
}

fn take(shared: &Rc<Shared>, from: SocketAddr, share: Share) {
    let Share { config, roster, fleet, .. } = share;
    notes::compare(shared, &share.name, from, share.notes);
    shared.rest(&share.changing);
    let mut share = share;
    for digest in share.digests.drain(..).filter(|d| d.zone != shared.node().zone) {
        shared.digests.borrow_mut().hear(shared.now(), digest);
    }
    shared.shares.borrow_mut().hear(shared.now(), share);
    shared.judge_role();
    belief::compare(shared, from, Versions { config, roster, fleet });
}

/// Answers peers.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let handler = move |req| answer(shared.clone(), req);
    http::serve(listener, handler, Rc::new(std::cell::Cell::new(false))).await;
}

async fn answer(shared: Rc<Shared>, req: Request<Incoming>) -> Response<http::Body> {
    let path = req.uri().path();
    if path.starts_with(spill::PATH) {
        return lend::serve(shared, req).await;
    }
    match path {
        notes::PATH => notes::answer(shared, req).await,
        belief::PATH => belief::answer(&shared, req.uri().query()),
        _ => http::response(StatusCode::NOT_FOUND, "text/plain", http::full("not here\n")),
    }
}
