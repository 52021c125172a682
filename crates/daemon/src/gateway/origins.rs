//! The software version that began a stream, for requests that continue one.
//!
//! A gateway remembers the streams that it begins and reports them to the gateways that follow the
//! store, which answer the questions of all others. While servers of several versions serve, the first
//! of them also writes what it was told to the store once a second, and whenever a version joins or
//! leaves, which versions a service has had: so much outlives the loss of all gateways. What follows from
//! it is decided in `ebonyloft_router::stream_origin`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::ids::Account;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::headers::Resumes;
use ebonyloft_platform::store::{Item, StoreError, Write};
use ebonyloft_router::catalog::{Config, Kind, Server};
use ebonyloft_router::divergence::stable_hash;
use ebonyloft_router::load_report::{GossipMessage, GossipState};
use ebonyloft_router::stream_origin::history::SoftwareHistory;
use ebonyloft_router::stream_origin::table::OriginRecord;
use ebonyloft_router::stream_origin::{Origin, SoftwareId, StreamKey, Testimony, conclude};
use ebonyloft_router::zones::Scope;
use futures_util::StreamExt;
use futures_util::future::join;
use futures_util::stream::FuturesUnordered;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::intake::Intake;
use super::shared::{Shared, SnapshotVersion};
use super::watch::{ALL_KEYS, Sink};
use crate::http;

/// Path at which a gateway answers questions.
pub const PATH: &str = "/stream-origin";
/// Prefix of the store's records of streams, by zone and slot.
pub const RECORD_PREFIX: &str = "ebonyloft/origins/";
/// Prefix of the store's histories, by hash of the service's name.
pub const HISTORY_PREFIX: &str = "ebonyloft/software/";

/// Interval at which new records are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(30);
/// Most records in a datagram.
const RECORDS_MAX: usize = 128;
/// Interval at which histories are observed, and records written to the store.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Rounds of that interval between two writes of records.
const RECORD_ROUNDS: u64 = 2;
/// Rounds after which the second gateway that follows the store writes what the first one did not.
const STANDBY_ROUNDS: u32 = 6;
/// Most records of one write.
const SAVED_MAX: usize = 4_096;
/// Slots that records are written to in turn: half a minute of streams.
const SLOTS: u64 = 32;
/// Longest wait for the store to confirm that no other version has joined: as long as a watch.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Shortest interval between two polls of the store for that.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before peers are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Interval between checks of that.
const CONFIRM_POLL: Duration = Duration::from_millis(20);
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
/// How long a server that has left may still serve a gateway that does not know: until it exits.
const SERVES_ON: Duration = Duration::from_secs(60);
/// Streams of a service may be continued for at least so many times the timeout of its routes.
const TIMEOUTS: u32 = 2;

/// Asks which software began a stream.
#[derive(Debug, Deserialize, Serialize)]
struct Question {
    /// Key of the stream; without one the caller named no attempt.
    key: Option<StreamKey>,
    /// Name of the service.
    service: String,
}

/// The softwares of services, by hash of the service's name.
pub type Histories = BTreeMap<u64, ServiceHistory>;

/// The softwares of one service.
#[derive(Debug, Default)]
pub struct ServiceHistory {
    own: SoftwareHistory,
    /// As read from the store, with its revision.
    saved: Option<(SoftwareHistory, u64)>,
    /// Rounds for which the store has been without what this gateway knows.
    unsaved_rounds: u32,
}

/// A record in the store.
#[derive(Debug, Deserialize, Serialize)]
struct SavedRecord(StreamKey, SoftwareId, Timestamp);

/// The software that a request's stream must be continued with, and the route's service that has it.
pub async fn resolve(shared: &Rc<Shared>, intake: &mut Intake) {
    if intake.route().kind != Kind::Stream {
        return;
    }
    let account = intake.account.as_ref().map_or("", Account::as_str);
    let key = match &intake.caller.resumes {
        Resumes::Attempt(id) => Some(StreamKey::new(account, id)),
        _ if intake.caller.last_event.is_none() => return,
        _ => None,
    };
    let asked_at = shared.now();
    intake.origin = lookup(shared, key, &intake.service).await;
    if let Origin::Software(software) = intake.origin {
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
    let Origin::Software(software) = origin else {
        return None;
    };
    software.version(shared.registry.borrow().all()).map(str::to_owned)
}

/// Concludes which software began a stream from what this gateway and its peers know. While no gateway
/// that follows the store answers, as after a loss of them, it asks again.
async fn lookup(shared: &Rc<Shared>, key: Option<StreamKey>, service: &str) -> Origin {
    if shared.origin_questions.get() >= QUESTIONS_MAX {
        return Origin::Unknown;
    }
    let _open = OpenQuestion::new(shared.clone());
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

/// Counts a request that asks peers until it is dropped, which it also is if its caller disconnects.
struct OpenQuestion(Rc<Shared>);

impl OpenQuestion {
    fn new(shared: Rc<Shared>) -> Self {
        shared.origin_questions.set(shared.origin_questions.get() + 1);
        OpenQuestion(shared)
    }
}

impl Drop for OpenQuestion {
    fn drop(&mut self) {
        self.0.origin_questions.set(self.0.origin_questions.get() - 1);
    }
}

fn recorded(shared: &Shared, key: Option<StreamKey>) -> Testimony {
    let now = shared.now();
    key.map_or(Testimony::Nothing, |key| shared.origins.borrow().testimony(now, key))
}

/// The only software that a service has had, as far as a gateway can tell that follows the store; none
/// if it can't tell. It must have been confirmed since the question that no other one has joined.
async fn sole_software(shared: &Shared, service: &str) -> Option<Testimony> {
    let asked_at = shared.now();
    while shared.role.borrow().follows() && shared.now() < asked_at.after(CONFIRM_TIMEOUT) {
        if is_confirmed_since(shared, asked_at) {
            observe(shared);
            let histories = shared.histories.borrow();
            let history = histories.get(&stable_hash(service));
            return history.map(|history| history.own.testimony(shared.now()));
        }
        poll_store(shared).await;
        compio::time::sleep(CONFIRM_POLL).await;
    }
    None
}

/// Has it been confirmed since `at` that no server has joined which this gateway does not know, by the
/// store, or while that is unreachable by all other gateways?
fn is_confirmed_since(shared: &Shared, at: Timestamp) -> bool {
    let state = shared.store_state.borrow();
    if !state.is_away() {
        return state.known_at() >= at || shared.polls.get().confirmed_at >= at;
    }
    let (node, fleet, revision) =
        (shared.node(), shared.fleet.borrow(), shared.registry.borrow().revision());
    let mut others = fleet.all().keys().filter(|name| **name != node.name);
    let load_reports = shared.load_reports.borrow();
    shared.scope() == Scope::All
        && load_reports.newest_roster() <= revision
        && others.all(|name| load_reports.received_at(name).is_some_and(|received| received >= at))
}

/// Polls of the store for changes that the watch has not brought yet, for all questions together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polls {
    /// When the last one began.
    begun_at: Timestamp,
    /// When the last one began that found no change.
    confirmed_at: Timestamp,
}

/// Asks the store whether anything has changed since the last answer to the watch, unless it was asked
/// just before. The watch itself may stay open for a second.
async fn poll_store(shared: &Shared) {
    let (now, polls) = (shared.now(), shared.polls.get());
    let Some(revision) = shared.watched_revision.get() else {
        return;
    };
    if now < polls.begun_at.after(POLL_INTERVAL) || shared.store_state.borrow().is_away() {
        return;
    }
    shared.polls.set(Polls { begun_at: now, ..polls });
    let changes = shared.store.poll_changes(ALL_KEYS, revision).await;
    let is_same = shared.watched_revision.get() == Some(revision);
    if changes.is_ok_and(|page| page.items.is_empty()) && is_same {
        shared.polls.set(Polls { confirmed_at: now, ..shared.polls.get() });
    }
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

/// Records which server wrote the first event of a request's answer.
pub fn on_first_event(shared: &Shared, intake: &Intake, server: &Server) {
    let Some(attempt) = &intake.caller.attempt else {
        return;
    };
    let account = intake.account.as_ref().map_or("", Account::as_str);
    let key = StreamKey::new(account, attempt);
    let now = shared.now();
    let ends_at = intake.caller.time_left.map_or(intake.ends_at, |left| intake.came_at.after(left));
    shared.origins.borrow_mut().begin(now, key, SoftwareId::of(server), ends_at);
}

/// Applies records of a peer.
pub fn on_records(shared: &Shared, records: &[OriginRecord]) {
    let now = shared.now();
    let mut origins = shared.origins.borrow_mut();
    records.iter().for_each(|record| origins.on_record(now, *record));
}

/// Reports this gateway's records to the gateways that follow the store, and all of them to one that
/// is new.
pub async fn report(shared: Rc<Shared>) {
    let mut known = BTreeMap::new();
    loop {
        compio::time::sleep(REPORT_INTERVAL).await;
        let followers = followers_in_scope(&shared);
        let now = shared.now();
        for (addr, life) in &followers {
            if known.get(addr) != Some(life) {
                let own = shared.origins.borrow().own_records(now);
                own.chunks(RECORDS_MAX).for_each(|records| send(&shared, *addr, records.to_vec()));
            }
        }
        known = followers;
        while shared.origins.borrow().has_outgoing() {
            let records = shared.origins.borrow_mut().take_outgoing(now, RECORDS_MAX);
            known.keys().for_each(|addr| send(&shared, *addr, records.clone()));
            if records.len() < RECORDS_MAX {
                break;
            }
        }
    }
}

fn send(shared: &Shared, to: SocketAddr, origins: Vec<OriginRecord>) {
    if !origins.is_empty() {
        let state = GossipState { origins, ..GossipState::default() };
        shared.queue_message(to, GossipMessage::Notes(state));
    }
}

/// Observes the softwares of services and keeps in the store what outlives this process.
pub async fn keep_history(shared: Rc<Shared>) {
    let mut round = 0_u64;
    loop {
        compio::time::sleep(SAVE_INTERVAL).await;
        round += 1;
        shared.origins.borrow_mut().expire(shared.now());
        shared.metrics.gauge("gateway.origin.records", shared.origins.borrow().len() as u64);
        if !shared.role.borrow().follows() {
            // What was missed meanwhile is in the store, and is read when this gateway follows it again.
            shared.histories.borrow_mut().clear();
            continue;
        }
        observe(&shared);
        let work = async {
            save_histories(&shared).await;
            if round.is_multiple_of(RECORD_ROUNDS) {
                save_records(&shared, round / RECORD_ROUNDS).await;
            }
        };
        work.await;
    }
}

/// The services that stream under a configuration, each with the longest timeout of its routes.
fn streaming_services(config: &Config) -> BTreeMap<&str, Duration> {
    let mut services = BTreeMap::new();
    for route in config.routes.iter().filter(|route| route.kind == Kind::Stream) {
        for split in &route.split {
            let longest: &mut Duration = services.entry(&*split.service).or_default();
            *longest = route.timeout.max(*longest);
        }
    }
    services
}

fn observe(shared: &Shared) {
    let Some(config) = shared.config().filter(|_| shared.registry.borrow().is_complete()) else {
        return;
    };
    let (now, registry) = (shared.now(), shared.registry.borrow());
    let longest = shared.origins.borrow().longest_lifetime();
    let mut histories = shared.histories.borrow_mut();
    for (service, timeout) in streaming_services(&config) {
        let lifetime = longest.max(timeout * TIMEOUTS) + SERVES_ON;
        let servers = registry.all().filter(|server| server.service == service);
        let history = histories.entry(stable_hash(service)).or_default();
        if shared.node().first_start && history.saved.is_none() {
            history.own.begin();
        }
        history.own.observe(now, lifetime, servers.map(SoftwareId::of));
    }
}

/// Writes the histories that the store does not have. The second gateway that follows the store does
/// so only if the first one did not.
async fn save_histories(shared: &Shared) {
    let leads = shared.role.borrow().leads();
    let due: Vec<(u64, SoftwareHistory, u64)> = {
        let mut histories = shared.histories.borrow_mut();
        let due = histories.iter_mut().filter_map(|(id, history)| {
            let saved = history.saved.as_ref();
            if saved.is_some_and(|(saved, _)| history.own.is_covered_by(saved)) {
                history.unsaved_rounds = 0;
                return None;
            }
            history.unsaved_rounds += 1;
            let is_due = leads || history.unsaved_rounds > STANDBY_ROUNDS;
            is_due.then(|| (*id, history.own.clone(), saved.map_or(0, |(_, revision)| *revision)))
        });
        due.collect()
    };
    for (id, history, revision) in due {
        let key = format!("{HISTORY_PREFIX}{id:016x}");
        let Ok(value) = serde_json::to_vec(&history) else {
            continue;
        };
        let write = Write { key: &key, value: &value, lease: 0 };
        match shared.store.txn(&[(&key, revision)], &[write]).await {
            Ok(revision) => {
                let mut histories = shared.histories.borrow_mut();
                histories.entry(id).or_default().saved = Some((history, revision));
            }
            // Another gateway has written it; the watch brings what it wrote.
            Err(StoreError::Conflict) => {}
            Err(e) => tracing::info!(error = %e, "can't write the versions of a service"),
        }
    }
}

/// Writes new records while a service has had several softwares.
async fn save_records(shared: &Shared, round: u64) {
    let is_mixed = shared.histories.borrow().values().any(|history| history.own.is_mixed());
    if !is_mixed || !shared.role.borrow().leads() {
        return;
    }
    let now = shared.now();
    let records = shared.origins.borrow_mut().take_unsaved(now, SAVED_MAX);
    if records.is_empty() {
        return;
    }
    let saved: Vec<SavedRecord> = records.iter().map(|record| saved_record(now, record)).collect();
    let mut value = Vec::new();
    if let Err(e) = ciborium::into_writer(&saved, &mut value) {
        return tracing::error!(error = %e, "can't encode records of streams");
    }
    let key = format!("{RECORD_PREFIX}{}/{}", shared.node().zone, round % SLOTS);
    let write = Write { key: &key, value: &value, lease: 0 };
    if let Err(e) = shared.store.txn(&[], &[write]).await {
        tracing::info!(error = %e, count = records.len(), "can't write records of streams");
        shared.origins.borrow_mut().restore_unsaved(&records);
    }
}

fn saved_record(now: Timestamp, record: &OriginRecord) -> SavedRecord {
    let until = now.after(Duration::from_millis(record.ttl.into()));
    SavedRecord(record.key, record.software, until)
}

/// Receives the store's records of streams.
pub struct RecordSink(pub Rc<Shared>);

impl Sink for RecordSink {
    fn replace(&self, items: Vec<Item>, _revision: u64) {
        items.into_iter().for_each(|item| self.apply(item));
    }

    fn apply(&self, item: Item) {
        let Some(value) = item.value else {
            return;
        };
        let records = match ciborium::from_reader::<Vec<SavedRecord>, _>(&value[..]) {
            Ok(records) => records,
            Err(e) => {
                let revision = item.revision;
                return tracing::warn!(key = item.key, revision, error = %e, "invalid records of streams");
            }
        };
        let now = self.0.now();
        let mut origins = self.0.origins.borrow_mut();
        for SavedRecord(key, software, until) in records.into_iter().filter(|r| r.2 > now) {
            let ttl = u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX);
            origins.on_record(now, OriginRecord { key, software, ttl });
            origins.on_saved(key);
        }
    }
}

/// Receives the store's histories.
pub struct HistorySink(pub Rc<Shared>);

impl Sink for HistorySink {
    fn replace(&self, items: Vec<Item>, _revision: u64) {
        items.into_iter().for_each(|item| self.apply(item));
    }

    fn apply(&self, item: Item) {
        let id =
            item.key.strip_prefix(HISTORY_PREFIX).and_then(|id| u64::from_str_radix(id, 16).ok());
        let (Some(id), Some(value)) = (id, item.value) else {
            return;
        };
        match serde_json::from_slice::<SoftwareHistory>(&value) {
            Ok(saved) => {
                let mut histories = self.0.histories.borrow_mut();
                let history = histories.entry(id).or_default();
                history.own.merge(&saved);
                history.saved = Some((saved, item.revision));
            }
            Err(e) => {
                let revision = item.revision;
                tracing::warn!(key = item.key, revision, error = %e, "invalid versions of a service");
                // Overwritten by what this gateway observes.
                let mut histories = self.0.histories.borrow_mut();
                let history = histories.entry(id).or_default();
                history.saved = Some((SoftwareHistory::default(), revision));
            }
        }
    }
}
