//! Gossip state: what gateways know beside the store and exchange with each other.
//!
//! Changes are broadcast at once. A datagram may be lost, a VM cut off, or a process new, so each
//! gateway also publishes a checksum of its gossip state with its regular messages. A peer whose
//! checksum differs for long is asked for a full exchange.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::UdpSocket;
use ebonyloft_router::load_report::{GossipMessage, GossipState};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::shared::Shared;
use super::{announcements, limits, origins, part_blame, peers, request_blame};
use crate::http;

/// Path at which gateways exchange their gossip state.
pub const PATH: &str = "/notes";
/// Timeout of an exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest body of an exchange; 12,000 quarantine records take less.
const BODY_MAX: usize = 8 << 20;
/// Largest number of records of one kind in a datagram.
const RECORDS_MAX: usize = 32;
/// Largest number of records of parts in a datagram: a prompt may have dozens of parts.
const PART_RECORDS_MAX: usize = 4;
/// Delay until a datagram is sent a second time.
const RESEND_DELAY: Duration = Duration::from_millis(120);

/// Broadcasts local changes to all gateways, each datagram twice in case that one is lost.
pub async fn broadcast(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    loop {
        let state = shared.outgoing_gossip.take();
        if state.is_empty() {
            // The sender lives as long as the process, so this can't fail.
            let _ = shared.background_waiters.wait().await;
            continue;
        }
        for part in split(state) {
            send(&shared, &socket, part.clone()).await;
            let (socket, shared) = (socket.clone(), shared.clone());
            let sent_at = shared.now();
            compio::runtime::spawn(async move {
                compio::time::sleep(RESEND_DELAY).await;
                let part = part.aged(shared.now().since(sent_at));
                send(&shared, &socket, part).await;
            })
            .detach();
        }
    }
}

async fn send(shared: &Shared, socket: &UdpSocket, part: GossipState) {
    let message = GossipMessage::Notes(part);
    peers::send_datagram(shared, socket, "gateway.bytes.notes", &message, &all_peers(shared)).await;
}

/// Splits gossip state into parts that fit one datagram each.
fn split(state: GossipState) -> Vec<GossipState> {
    let words = state.quarantine_updates.chunks(RECORDS_MAX);
    let words = words
        .map(|words| GossipState { quarantine_updates: words.to_vec(), ..GossipState::default() });
    let leaving = state.leaving.chunks(RECORDS_MAX);
    let leaving =
        leaving.map(|leaving| GossipState { leaving: leaving.to_vec(), ..GossipState::default() });
    let limits = state.limits.chunks(RECORDS_MAX);
    let limits =
        limits.map(|limits| GossipState { limits: limits.to_vec(), ..GossipState::default() });
    let parts = state
        .part_updates
        .chunks(PART_RECORDS_MAX)
        .map(|updates| GossipState { part_updates: updates.to_vec(), ..GossipState::default() });
    words.chain(leaving).chain(limits).chain(parts).collect()
}

fn all_peers(shared: &Shared) -> Vec<SocketAddr> {
    let (node, fleet) = (shared.node(), shared.fleet.borrow());
    fleet.all().iter().filter(|(name, _)| **name != node.name).map(|(_, g)| g.addr).collect()
}

/// Applies gossip state received from a peer.
pub fn apply(shared: &Shared, state: &GossipState, peer: &str) {
    request_blame::apply_health_reports(shared, &state.healthy);
    request_blame::apply_reports(shared, &state.quarantine_updates, Some(peer));
    state.leaving.iter().for_each(|id| announcements::on_leaving(shared, id, peer));
    state.limits.iter().for_each(|word| limits::on_report(shared, word, peer));
    origins::records::on_records(shared, &state.origins);
    part_blame::apply(shared, &state.part_updates, Some(peer));
}

/// Checksum of the gossip state; zero if the state is empty.
pub fn checksum(shared: &Shared) -> u64 {
    let registry = shared.registry.borrow();
    let leaving = registry.announced_leaving().fold(0, |sum, id| sum ^ id.number());
    shared.quarantine.borrow().checksum() ^ leaving ^ shared.limits.borrow().checksum()
}

/// Compares a peer's checksums with this gateway's, and starts an exchange if they have differed
/// for long. A gateway without a checksum of parts may be of a release that knows no parts; one that
/// does asks by itself.
pub fn compare_checksums(shared: &Rc<Shared>, peer: &str, from: SocketAddr, theirs: (u64, u64)) {
    let (gossip, parts) = theirs;
    let same_parts = parts == 0 || parts == shared.part_blame.borrow().checksum();
    let (now, same) = (shared.now(), gossip == checksum(shared) && same_parts);
    if shared.divergence.borrow_mut().observe(now, peer, same) {
        let shared = shared.clone();
        compio::runtime::spawn(async move { exchange(&shared, from).await }).detach();
    }
}

fn full_state(shared: &Shared) -> GossipState {
    let (words, healthy) = {
        let (now, quarantine) = (shared.now(), shared.quarantine.borrow());
        (quarantine.updates(now), quarantine.health_reports(now))
    };
    let limits = shared.limits.borrow().updates();
    GossipState {
        quarantine_updates: words,
        leaving: shared.registry.borrow().announced_leaving().cloned().collect(),
        limits,
        healthy,
        origins: Vec::new(),
        part_updates: shared.part_blame.borrow().updates(shared.now()),
    }
}

fn encode(shared: &Shared) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(&full_state(shared), &mut bytes)
        .inspect_err(|e| tracing::error!(error = %e, "can't encode gossip state"))
        .ok()
        .map(|()| bytes)
}

/// Applies encoded gossip state; false if it can't be decoded.
fn apply_encoded(shared: &Shared, bytes: &[u8], peer: &str) -> bool {
    match ciborium::from_reader::<GossipState, _>(bytes) {
        Ok(state) => apply(shared, &state, peer),
        Err(e) => {
            tracing::warn!(peer, error = %e, "can't decode gossip state of peer");
            return false;
        }
    }
    true
}

/// Exchanges gossip state with a peer; true if this gateway has the peer's now.
pub async fn exchange(shared: &Shared, peer: SocketAddr) -> bool {
    let Some(bytes) = encode(shared) else {
        return false;
    };
    let mut req = Request::new(Bytes::from(bytes));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = PATH.parse().expect("a fixed path is valid");
    match shared.pool.call(peer, req, EXCHANGE_TIMEOUT).await {
        Ok((StatusCode::OK, body)) => return apply_encoded(shared, &body, &peer.to_string()),
        Ok((status, _)) => tracing::debug!(%peer, %status, "peer refused to exchange gossip state"),
        Err(e) => tracing::debug!(%peer, error = %e, "can't exchange gossip state with peer"),
    }
    false
}

/// Answers a peer's exchange: applies its state and returns this gateway's.
pub async fn handle_exchange(shared: Rc<Shared>, req: Request<Incoming>) -> Response<http::Body> {
    let refuse = |status| http::response(status, "text/plain", http::full_body(""));
    let Some(body) = http::read_body(req.into_body(), BODY_MAX).await else {
        return refuse(StatusCode::BAD_REQUEST);
    };
    apply_encoded(&shared, &body, "peer");
    match encode(&shared) {
        Some(bytes) => http::response(StatusCode::OK, "application/cbor", http::full_body(bytes)),
        None => refuse(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
