//! The software version that began a stream, for requests that continue one.
//!
//! A gateway remembers the streams that it begins and reports them to the gateways that follow the
//! store, which answer the questions of all others. While servers of several versions serve, the first
//! of them also writes what it was told to the store, ten times a second at most, and whenever a version joins
//! or leaves, which versions a service has had: so much outlives the loss of all gateways. What follows from
//! it is decided in `ebonyloft_router::stream_origin`.

pub mod histories;
pub mod records;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_platform::headers::Resumes;
use ebonyloft_router::catalog::Kind;
use ebonyloft_router::stream_origin::{Origin, SoftwareId, StreamKey, Testimony, conclude};
use ebonyloft_router::zones::Scope;
use futures_util::StreamExt;
use futures_util::future::join;
use futures_util::stream::FuturesUnordered;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use self::histories::{CONFIRM_TIMEOUT, sole_software};
use super::intake::Intake;
use super::shared::{Shared, SnapshotVersion};
use crate::http;

/// Path at which a gateway answers questions.
pub const PATH: &str = "/stream-origin";

/// Pause before peers are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Timeout of a question to a gateway that follows the store.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Timeout of a question to any other gateway, which only looks into its table.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);
/// Most peers asked that do not follow the store.
const PEERS_MAX: usize = 40;
/// Most requests that ask peers at once.
const QUESTIONS_MAX: usize = 64;
/// Largest body of a question.
const BODY_MAX: usize = 4 << 10;

/// Asks which software began a stream.
#[derive(Debug, Deserialize, Serialize)]
struct Question {
    /// Key of the stream; without one the caller named no attempt.
    key: Option<StreamKey>,
    /// Name of the service.
    service: String,
}

/// The software that a request's stream must be continued with, and the route's service that has it.
pub async fn resolve(shared: &Rc<Shared>, intake: &mut Intake) {
    if intake.route().kind != Kind::Stream {
        return;
    }
    let key = match &intake.caller.resumes {
        Resumes::Attempt(id) => Some(StreamKey::new(intake.account_name(), id)),
        _ if intake.caller.last_event.is_none() => return,
        _ => None,
    };
    let asked_at = shared.now();
    intake.origin = lookup(shared, key, &intake.service).await;
    if let Some(software) = intake.origin.software() {
        use_service_with(shared, intake, software);
    }
    let ms = shared.now().since(asked_at).as_millis() as u64;
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    let version = version_name(shared, intake.origin);
    tracing::info!(
        id = intake.id(), resumes = intake.resumed_attempt(), last = intake.caller.last_event,
        service = %intake.service, origin = ?intake.origin,
        version, ms, config, roster, age, "stream resumed"
    );
    match (intake.origin, version) {
        (Origin::Unknown, _) => shared.metrics.count("gateway.origin.unknown", 1),
        (_, Some(version)) => shared.metrics.count_version("gateway.origin.version", &version),
        (_, None) => shared.metrics.count("gateway.origin.version_gone", 1),
    }
}

/// Changes the service of a request to the one of its route that has the software.
fn use_service_with(shared: &Shared, intake: &mut Intake, software: SoftwareId) {
    let registry = shared.registry.borrow();
    let has = |service: &str| registry.ready(service).any(|s| SoftwareId::of(s) == software);
    if has(&intake.service) {
        return;
    }
    let other = intake.route().split.iter().map(|split| &split.service).find(|name| has(name));
    if let Some(service) = other.cloned() {
        intake.levels = shared.urgency_levels(&intake.config, &service);
        intake.service = service;
    }
}

/// Name of the version that a stream must be continued with, if a known server has it.
fn version_name(shared: &Shared, origin: Origin) -> Option<String> {
    origin.software()?.version(shared.registry.borrow().all()).map(str::to_owned)
}

/// Concludes which software began a stream from what this gateway and its peers know. While no gateway
/// that follows the store answers, as after a loss of them, it asks again.
async fn lookup(shared: &Rc<Shared>, key: Option<StreamKey>, service: &str) -> Origin {
    if shared.origin_questions.get() >= QUESTIONS_MAX {
        return Origin::Unknown;
    }
    let _open = shared.origin_questions.begin();
    let asked_at = shared.now();
    let question = Question { key, service: service.to_owned() };
    loop {
        let own = recorded(shared, key);
        if own != Testimony::Nothing {
            return conclude([own].into_iter());
        }
        let followers = followers(shared);
        let asked = ask(shared, &followers, &question, QUESTION_TIMEOUT);
        let (own, mut known) = join(sole_software(shared, service), asked).await;
        known.extend(own);
        let is_answered = !known.is_empty();
        let mut origin = conclude(known.iter().copied());
        if origin == Origin::Unknown && key.is_some() {
            // A gateway that is cut off from those that follow the store may still be reached.
            let others = other_peers(shared, &followers);
            known.extend(ask(shared, &others, &question, PEER_TIMEOUT).await);
            origin = conclude(known.into_iter());
        }
        if origin != Origin::Unknown
            || is_answered
            || shared.now() >= asked_at.after(CONFIRM_TIMEOUT)
        {
            return origin;
        }
        compio::time::sleep(ASK_AGAIN).await;
    }
}

fn recorded(shared: &Shared, key: Option<StreamKey>) -> Testimony {
    let now = shared.now();
    key.map_or(Testimony::Nothing, |key| shared.origins.borrow().testimony(now, key))
}

/// Asks gateways at once; returns early with the first record.
async fn ask(
    shared: &Shared,
    to: &BTreeSet<SocketAddr>,
    question: &Question,
    limit: Duration,
) -> Vec<Testimony> {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(question, &mut bytes) {
        tracing::error!(error = %e, "can't encode question about a stream");
        return Vec::new();
    }
    let bytes = Bytes::from(bytes);
    let mut answers: FuturesUnordered<_> =
        to.iter().map(|addr| ask_one(shared, *addr, bytes.clone(), limit)).collect();
    let mut known = Vec::new();
    while let Some(testimony) = answers.next().await {
        let Some(testimony) = testimony else {
            continue;
        };
        known.push(testimony);
        if matches!(testimony, Testimony::Recorded(_) | Testimony::Contradictory) {
            break;
        }
    }
    known
}

/// Asks one gateway; none if it does not answer.
async fn ask_one(
    shared: &Shared,
    to: SocketAddr,
    body: Bytes,
    limit: Duration,
) -> Option<Testimony> {
    let mut req = Request::new(body);
    *req.method_mut() = Method::POST;
    *req.uri_mut() = PATH.parse().expect("a fixed path is valid");
    match shared.pool.call(to, req, limit).await {
        Ok((StatusCode::OK, body)) => ciborium::from_reader(&body[..])
            .inspect_err(|e| tracing::warn!(%to, error = %e, "can't decode answer about a stream"))
            .ok(),
        // A gateway of an older release does not know the path.
        Ok((status, _)) => {
            tracing::debug!(%to, %status, "peer knows nothing of streams");
            Some(Testimony::Nothing)
        }
        Err(e) => {
            tracing::info!(%to, error = %e, "can't ask peer about a stream");
            None
        }
    }
}

/// Answers a peer's question.
pub async fn serve(shared: Rc<Shared>, req: Request<Incoming>) -> Response<http::Body> {
    let reply =
        |status, body: Vec<u8>| http::response(status, "application/cbor", http::full_body(body));
    let body = http::read_body(req.into_body(), BODY_MAX).await;
    let question = body.and_then(|body| ciborium::from_reader::<Question, _>(&body[..]).ok());
    let Some(Question { key, service }) = question else {
        return reply(StatusCode::BAD_REQUEST, Vec::new());
    };
    let testimony = match recorded(&shared, key) {
        Testimony::Nothing => sole_software(&shared, &service).await.unwrap_or(Testimony::Nothing),
        recorded => recorded,
    };
    let mut bytes = Vec::new();
    match ciborium::into_writer(&testimony, &mut bytes) {
        Ok(()) => reply(StatusCode::OK, bytes),
        Err(e) => {
            tracing::error!(error = %e, "can't encode answer about a stream");
            reply(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// The peers that follow the store, of this gateway's scope and of other zones.
fn followers(shared: &Shared) -> BTreeSet<SocketAddr> {
    let mut followers: BTreeSet<SocketAddr> = followers_in_scope(shared).into_keys().collect();
    if shared.scope() == Scope::Zone {
        followers.extend(super::peers::leaders_of_other_zones(shared));
    }
    followers
}

/// The peers of this gateway's scope that follow the store, with their incarnations.
fn followers_in_scope(shared: &Shared) -> BTreeMap<SocketAddr, u64> {
    let (fleet, load_reports) = (shared.fleet.borrow(), shared.load_reports.borrow());
    let followers = load_reports.followers(shared.now());
    followers.filter_map(|(name, life)| Some((fleet.all().get(name)?.addr, life))).collect()
}

/// Peers of this gateway's scope that do not follow the store.
fn other_peers(shared: &Shared, followers: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
    let (node, fleet, zone) = (shared.node(), shared.fleet.borrow(), shared.zone());
    let others = fleet.all().iter().filter(|(name, _)| **name != node.name);
    let others = others.filter(|(_, g)| zone.as_ref().is_none_or(|zone| g.zone == *zone));
    let others = others.map(|(_, g)| g.addr).filter(|addr| !followers.contains(addr));
    others.take(PEERS_MAX).collect()
}
