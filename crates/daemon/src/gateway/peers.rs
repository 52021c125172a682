//! Messages between gateways: load reports, zone summaries, gossip state, and questions about
//! quotas and configurations.
//!
//! Load reports and zone summaries are sent as datagrams several times a second and carry the
//! versions of the sender's state. A gateway that sees a newer version at a peer fetches it from
//! there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, UdpSocket};
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::engine_speeds::SpeedReport;
use ebonyloft_router::fetches::Versions;
use ebonyloft_router::load_report::{self, GossipMessage, LoadReport, Pauses};
use ebonyloft_router::report_timing;
use ebonyloft_router::zone_leader::StoreLink;
use ebonyloft_router::zones::{SUMMARY_INTERVAL, Scope, ServiceCapacity, ZoneSummary};
use futures_util::StreamExt;
use futures_util::future::select;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::gossip;
use super::keys;
use super::origins;
use super::quota;
use super::retries;
use super::shared::Shared;
use super::shedding;
use super::speeds;
use super::state_sync;
use super::stream::{self, incoming, overflow};
use crate::http;

/// An idle gateway sends only each second load report, which is often enough to count as live.
const IDLE_ROUNDS: u64 = 2;
/// Largest datagram.
const DATAGRAM_MAX: usize = 8 << 10;

/// Sends load reports to the gateways that use the same engines.
pub async fn send_load_reports(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let incarnation = shared.now().0;
    let mut seq = 0;
    let mut summaries_sent_at = Timestamp::default();
    let mut shapes_sent = BTreeMap::new();
    loop {
        let recipients = report_recipients(&shared);
        let follows = shared.role.borrow().follows();
        let Pauses { shortest, idle } = load_report::pauses(recipients.len(), follows);
        let due = shared.now().after(shortest);
        compio::time::sleep(shortest).await;
        shedding::on_task_delay(&shared, shared.now().since(due));
        let idle_pause = std::pin::pin!(compio::time::sleep(idle));
        select(shared.report_requested(), idle_pause).await;
        shared.clear_report_request();
        seq += 1;
        let mut report = own_report(&shared, incarnation, seq);
        // Load reports are sent several times as often as zone summaries are passed on.
        let now = shared.now();
        if now.since(summaries_sent_at) >= SUMMARY_INTERVAL && shared.role.borrow().follows() {
            summaries_sent_at = now;
            report.zone_summaries = shared.zone_summaries.borrow().relayed(now).cloned().collect();
        }
        let idle =
            report.engine_loads.is_empty() && report.waiting == 0 && report.changing.is_empty();
        if idle && !follows && !seq.is_multiple_of(IDLE_ROUNDS) {
            continue;
        }
        let shapes = shared.traffic_stats.borrow().shapes();
        if shapes != shapes_sent {
            report.shapes = shapes.clone();
            shapes_sent = shapes;
        }
        report.account_uses = shared.fair_shares.borrow_mut().report(now);
        report.speeds = shared.engine_speeds.borrow_mut().report(now);
        if !report.speeds.is_empty() {
            shared.metrics.count("gateway.speeds.sent", report.speeds.rows.len() as u64);
        }
        let message = GossipMessage::Share(report);
        send_datagram(&shared, &socket, "gateway.bytes.work", &message, &recipients).await;
    }
}

/// Sends the messages that are meant for a single peer.
pub async fn send_messages(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let Some(mut messages) = shared.take_outbox() else {
        return;
    };
    while let Some((to, message)) = messages.next().await {
        send_datagram(&shared, &socket, "gateway.bytes.letters", &message, &[to]).await;
    }
}

/// Sends a message to each address in `to`, as one datagram; `counter` counts its bytes.
pub async fn send_datagram(
    shared: &Shared,
    socket: &UdpSocket,
    counter: &'static str,
    message: &GossipMessage,
    to: &[SocketAddr],
) {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(message, &mut bytes) {
        return tracing::error!(error = %e, counter, "can't encode datagram");
    }
    let bytes = Bytes::from(bytes);
    shared.metrics.count(counter, (bytes.len() * to.len()) as u64);
    for addr in to {
        let compio::BufResult(sent, _) = socket.send_to(bytes.clone(), *addr).await;
        if let Err(e) = sent {
            tracing::debug!(%addr, error = %e, "can't send datagram");
        }
    }
}

/// Addresses that load reports go to: the gateways that use the same engines, and the leaders of
/// other zones while engines that may be theirs are changing their stage.
fn report_recipients(shared: &Shared) -> Vec<SocketAddr> {
    let node = shared.node();
    let all = shared.scope() == Scope::All;
    let mut recipients: Vec<SocketAddr> = {
        let fleet = shared.fleet.borrow();
        let others = fleet.all().iter().filter(|(name, _)| **name != node.name);
        others.filter(|(_, g)| all || g.zone == node.zone).map(|(_, g)| g.addr).collect()
    };
    if !all && !shared.stage_changes.borrow().ordered().is_empty() {
        recipients.extend(leaders_of_other_zones(shared));
    }
    recipients
}

/// Sends summaries of this zone to other zones while this gateway is a zone leader.
pub async fn send_zone_summaries(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let incarnation = shared.now().0;
    let mut seq = 0;
    loop {
        compio::time::sleep(SUMMARY_INTERVAL).await;
        if shared.scope() == Scope::All || !shared.role.borrow().follows() {
            continue;
        }
        seq += 1;
        let summary = own_summary(&shared, incarnation, seq);
        let message = GossipMessage::Digest(summary);
        let to = leaders_of_other_zones(&shared);
        send_datagram(&shared, &socket, "gateway.bytes.digests", &message, &to).await;
    }
}

/// Addresses of the leaders of other zones: those that rank first, and those that sent a summary
/// lately.
pub fn leaders_of_other_zones(shared: &Shared) -> Vec<SocketAddr> {
    let (node, fleet, summaries) =
        (shared.node(), shared.fleet.borrow(), shared.zone_summaries.borrow());
    let senders = summaries.relayed(shared.now()).map(|d| d.addr);
    let ranked = fleet.zone_leaders().filter(|g| g.zone != node.zone).map(|g| g.addr);
    let all: BTreeSet<SocketAddr> = senders.chain(ranked).collect();
    all.into_iter().collect()
}

fn own_summary(shared: &Shared, incarnation: u64, seq: u64) -> ZoneSummary {
    let node = shared.node();
    let Versions { config, roster, fleet } = state_sync::versions(shared);
    ZoneSummary {
        name: node.name.clone(),
        zone: node.zone.clone(),
        addr: (node.ip, node.peer_port).into(),
        incarnation,
        seq,
        config,
        roster,
        fleet,
        gossip_checksum: gossip::checksum(shared),
        part_checksum: shared.part_blame.borrow().checksum(),
        part_facts: !shared.part_blame.borrow().has_silent_peer(shared.now()),
        capacities: capacities(shared),
        speeds: speeds::zone_report(shared),
    }
}

fn capacities(shared: &Shared) -> Vec<ServiceCapacity> {
    let Some(config) = shared.config() else {
        return Vec::new();
    };
    let engines = config.services.iter().filter_map(|s| Some((&s.name, s.engine.as_ref()?)));
    engines.map(|(name, spec)| stream::zone_capacity(shared, name, spec)).collect()
}

fn own_report(shared: &Shared, incarnation: u64, seq: u64) -> LoadReport {
    let engines = shared.engines.borrow();
    let Versions { config, roster, fleet } = state_sync::versions(shared);
    LoadReport {
        name: shared.node().name.clone(),
        incarnation,
        seq,
        config,
        roster,
        fleet,
        link: store_link(shared),
        waiting: engines.waiting() as u32,
        changing: shared
            .stage_changes
            .borrow_mut()
            .announced(shared.now(), shared.role.borrow().follows()),
        engine_loads: engines.engine_loads(),
        gossip_checksum: gossip::checksum(shared),
        part_checksum: shared.part_blame.borrow().checksum(),
        part_facts: true,
        unreachable: quota::unreachable_gateways(shared),
        shapes: BTreeMap::new(),
        arrivals: stream::urgency::reported_rates(shared, shared.now()),
        speeds: SpeedReport::default(),
        zone_summaries: Vec::new(),
        account_uses: BTreeMap::new(),
        read_rate: shared.shedding.borrow().reported_rate(shared.now()),
        retry_uses: shared.retry_uses(shared.now()),
        asks_past: shared.asks_past(shared.now()),
    }
}

/// This gateway's access to the store, as its peers see it. A gateway that has not read the whole
/// server registry yet is of no use to them.
fn store_link(shared: &Shared) -> StoreLink {
    let is_useful = shared.role.borrow().follows() && shared.registry.borrow().is_complete();
    match is_useful {
        true => {
            shared.store_state.borrow().link(shared.now(), shared.node().bounds.staleness_bound())
        }
        false => StoreLink::Indirect,
    }
}

/// Receives datagrams from peers.
pub async fn receive(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(DATAGRAM_MAX);
    loop {
        buffer.clear();
        let compio::BufResult(received, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        let (len, from) = match received {
            Ok(received) => received,
            Err(e) => {
                tracing::debug!(error = %e, "can't receive datagram");
                compio::time::sleep(report_timing::REPORT_INTERVAL).await;
                continue;
            }
        };
        match ciborium::from_reader::<GossipMessage, _>(&buffer[..len]) {
            Ok(GossipMessage::Share(report)) => on_load_report(&shared, from, report),
            Ok(GossipMessage::Digest(mut summary)) => {
                speeds::on_zone_summary(&shared, &mut summary);
                let ZoneSummary { config, roster, fleet, .. } = summary;
                let theirs = (summary.gossip_checksum, summary.part_checksum);
                gossip::compare_checksums(&shared, &summary.name, from, theirs);
                let is_other_zone = summary.zone != shared.node().zone;
                on_zone_summary(&shared, summary);
                let theirs = Versions { config, roster, fleet };
                state_sync::fetch_newer(&shared, from, is_other_zone, theirs);
            }
            Ok(GossipMessage::Ask(ask)) => quota::serve(&shared, from, &ask),
            Ok(GossipMessage::Answer(answer)) => quota::on_answer(&shared, answer),
            Ok(GossipMessage::Unused(key, tokens)) => quota::accept_returned(&shared, &key, tokens),
            Ok(GossipMessage::Age(number)) => keys::send_age(&shared, from, number),
            Ok(GossipMessage::Held(number, version, age)) => {
                keys::on_age(&shared, number, version, age)
            }
            Ok(GossipMessage::Notes(received)) => {
                gossip::apply(&shared, &received, &from.to_string())
            }
            Ok(GossipMessage::Past(past)) => retries::on_past_report(&shared, from, past),
            Err(e) => tracing::warn!(%from, len, error = %e, "can't decode datagram"),
        }
    }
}

fn on_zone_summary(shared: &Shared, summary: ZoneSummary) {
    if !summary.part_facts {
        shared.part_blame.borrow_mut().on_silent_zone(shared.now());
    }
    shared.zone_summaries.borrow_mut().on_summary(shared.now(), summary);
}

fn on_load_report(shared: &Rc<Shared>, from: SocketAddr, report: LoadReport) {
    let LoadReport { config, roster, fleet, .. } = report;
    let theirs = (report.gossip_checksum, report.part_checksum);
    gossip::compare_checksums(shared, &report.name, from, theirs);
    // A gateway that sends a checksum of parts but does not say that it reports crashes does report them.
    if !report.part_facts && report.part_checksum == 0 {
        shared.part_blame.borrow_mut().on_silent_peer(shared.now());
    }
    shared.back_off(&report.changing);
    let is_other_zone = {
        let (node, fleet) = (shared.node(), shared.fleet.borrow());
        fleet.all().get(&report.name).is_some_and(|peer| peer.zone != node.zone)
    };
    if is_other_zone && shared.scope() == Scope::Zone {
        let mut changes = shared.stage_changes.borrow_mut();
        changes.on_report_of_other_zone(shared.now(), &report.changing);
    }
    let mut report = report;
    for summary in report.zone_summaries.drain(..).filter(|d| d.zone != shared.node().zone) {
        on_zone_summary(shared, summary);
    }
    speeds::on_load_report(shared, &report);
    let (name, account_uses) = (report.name.clone(), std::mem::take(&mut report.account_uses));
    let incarnation = report.incarnation;
    let (retry_uses, asks_past) = (std::mem::take(&mut report.retry_uses), report.asks_past);
    let is_newest = shared.load_reports.borrow_mut().on_report(shared.now(), report);
    if is_newest {
        shared.peer_uses.borrow_mut().on_report(shared.now(), &name, incarnation, &retry_uses);
        if asks_past {
            retries::send_past(shared, from, &name, incarnation);
        }
    }
    // A repeated or overtaken report must not bring back older figures. Those of another zone are of
    // other engines.
    if is_newest && !(is_other_zone && shared.scope() == Scope::Zone) {
        shared.fair_shares.borrow_mut().on_report(shared.now(), &name, account_uses);
    }
    shared.update_role();
    state_sync::fetch_newer(shared, from, is_other_zone, Versions { config, roster, fleet });
}

/// Serves HTTP requests of peers.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let handler = move |req| handle(shared.clone(), req);
    http::serve(listener, handler, Rc::new(std::cell::Cell::new(false))).await;
}

async fn handle(shared: Rc<Shared>, req: Request<Incoming>) -> Response<http::Body> {
    let path = req.uri().path();
    if path.starts_with(overflow::PATH) {
        return incoming::serve(shared, req).await;
    }
    match path {
        gossip::PATH => gossip::handle_exchange(shared, req).await,
        origins::PATH => origins::serve(shared, req).await,
        state_sync::PATH => state_sync::handle_request(&shared, req.uri().query()),
        _ => http::response(StatusCode::NOT_FOUND, "text/plain", http::full_body("not here\n")),
    }
}
