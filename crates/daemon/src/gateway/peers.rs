//! Gateways among themselves: what work each has at engines, and what one has heard that another one
//! has not.
//!
//! Both are told by datagram several times a second; what is newer elsewhere is then fetched.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, UdpSocket};
use ebonyloft_router::delegate::Link;
use ebonyloft_router::share::{self, Share};
use futures_util::future::select;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::belief::{self, Versions};
use super::shared::Shared;
use crate::http;

/// While there is no work only each second datagram is sent: often enough to count as live.
const IDLE_ROUNDS: u64 = 2;
/// Shortest pause between two datagrams, as a part of the usual one: news is told at once unless
/// there was some just before. Told in turn every 0.1 s instead, 31 gateways earned 0.625 of their
/// callers' worth instead of 0.660 on days of troubles, and 25 earned 0.584 instead of 0.600.
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
    loop {
        let peers = peers(&shared);
        let pause = share::pause(peers.len());
        compio::time::sleep(pause.mul_f64(GAP_PART)).await;
        let rest = std::pin::pin!(compio::time::sleep(pause.mul_f64(REST_PART)));
        select(shared.news(), rest).await;
        shared.told();
        seq += 1;
        let share = own_share(&shared, life, seq);
        let idle = share.work.is_empty() && share.waiting == 0 && share.changing.is_empty();
        if idle && !seq.is_multiple_of(IDLE_ROUNDS) {
            continue;
        }
        let mut bytes = Vec::new();
        if let Err(e) = ciborium::into_writer(&share, &mut bytes) {
            tracing::error!(error = %e, "share not encoded");
            continue;
        }
        send(&socket, Bytes::from(bytes), &peers).await;
    }
}

async fn send(socket: &UdpSocket, bytes: Bytes, to: &[SocketAddr]) {
    for addr in to {
        let compio::BufResult(sent, _) = socket.send_to(bytes.clone(), *addr).await;
        if let Err(e) = sent {
            tracing::debug!(%addr, error = %e, "datagram not sent");
        }
    }
}

/// Who is told of the work here.
fn peers(shared: &Shared) -> Vec<SocketAddr> {
    let (node, fleet) = (shared.node(), shared.fleet.borrow());
    let others = fleet.all().iter().filter(|(name, _)| **name != node.name);
    others.map(|(_, g)| g.addr).collect()
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
    }
}

fn link(shared: &Shared) -> Link {
    match shared.role.borrow().follows() {
        true => shared.fresh.borrow().link(shared.now()),
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
        let Ok(share) = ciborium::from_reader::<Share, _>(&buffer[..len]) else {
            tracing::warn!(%from, len, "datagram unread");
            continue;
        };
        take(&shared, from, share);
    }
}

fn take(shared: &Rc<Shared>, from: SocketAddr, share: Share) {
    let Share { config, roster, fleet, .. } = share;
    shared.rest(&share.changing);
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
    match req.uri().path() {
        belief::PATH => belief::answer(&shared, req.uri().query()),
        _ => http::response(StatusCode::NOT_FOUND, "text/plain", http::full("not here\n")),
    }
}
