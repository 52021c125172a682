//! Quarantine of requests that crash backend servers: observes crashes, shares them with all
//! gateways and refuses such requests.
//!
//! The rules are in `ebonyloft_router::quarantine` and `lost_attempts`. The digest of a confirmed request
//! is also written to the store, under a lease, so that it outlives the loss of all gateways. The
//! removal of a key is ignored, since keys also expire with the store. An operator releases a
//! request by writing a release record.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::Verdict;
use ebonyloft_platform::store::{Item, StoreError, Write};
use ebonyloft_platform::{engine, headers};
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::lost_attempts::{
    CALL_PROBE_DELAY, LostAttempt, ProbeResult, STREAM_PROBE_DELAY,
};
use ebonyloft_router::outcome::AttemptOutcome;
use ebonyloft_router::quarantine::{
    CONFIRMED_TTL, Change, Fact, HealthReport, QuarantineState, QuarantineUpdate, SUSPECT_TTL,
};
use ebonyloft_router::request_digest::RequestDigest;
use futures_util::future::{Either, select};
use hyper::Response;
use serde::{Deserialize, Serialize};

use super::announcements;
use super::answer::{self, Body, Cause};
use super::intake::Intake;
use super::pool::Reachability;
use super::shared::{Shared, SnapshotVersion};
use super::watch::Sink;

/// Prefix of the store's keys of confirmed requests.
pub const CONFIRMED_PREFIX: &str = "ebonyloft/quarantine/";
/// Prefix of the store's keys of requests that one more crash would confirm; stored in case all
/// gateways are lost before.
pub const SUSPECT_PREFIX: &str = "ebonyloft/suspects/";
/// Timeout of a server's liveness check: about a hundred times the latency between availability
/// zones.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a broken stream waits to learn whether its engine crashed, before it continues
/// elsewhere; identical requests wait as long.
const INQUIRY_WAIT: Duration = Duration::from_millis(300);
/// Poll interval while waiting for the result of an inquiry.
const INQUIRY_POLL: Duration = Duration::from_millis(10);
/// Interval between upkeep rounds.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Back-off before a failed write to the store is repeated; doubled each time.
const WRITE_BACKOFF: Duration = Duration::from_millis(500);
/// Longest such back-off: once the store is back, it stays for a few seconds at least.
const WRITE_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Gateways that refute a reported crash, on average, if all of them can.
const REFUTATIONS: f64 = 8.0;
/// A run that broke off this soon after its first event counts as only just begun.
pub const EARLY_WINDOW: Duration = Duration::from_millis(1_000);

/// A request digest's record in the store.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Record {
    /// Servers that crashed under the request.
    servers: Vec<String>,
    /// The same crashes, each with whether it came soon after the start, and when.
    #[serde(default)]
    endings: Vec<(ServerId, bool, Timestamp)>,
    /// The gateway that wrote the record.
    by: String,
    /// Set by an operator to release the request.
    #[serde(default)]
    release: bool,
}

/// The only probe of a suspected request in the whole system.
pub struct Probe {
    digest: RequestDigest,
    number: u64,
}

impl Probe {
    /// Ends the probe, so that the next one may begin if the request is still only suspected.
    pub fn close(self, shared: &Shared) {
        publish_fact(shared, self.digest, Fact::Over(self.number));
    }
}

/// Why a request is not sent, and until when.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    cause: Cause,
    until: Timestamp,
}

impl Refused {
    /// The caller's answer: the request did not run, and may be sent again at that time.
    pub fn response(self, now: Timestamp) -> Response<Body> {
        answer::refusal(self.cause, Verdict::NotRun, Some(self.until.since(now)))
    }
}

/// Decides whether a request may be sent. It waits briefly while a lost attempt of the same request
/// is being checked, since most are no crashes; any other refusal is immediate.
pub async fn admit(shared: &Shared, intake: &Intake) -> Result<Option<Probe>, Refused> {
    let until = shared.now().after(INQUIRY_WAIT);
    let state = loop {
        let now = shared.now();
        let state = shared.quarantine.borrow().state(now, &intake.digest);
        if !matches!(state, QuarantineState::Held(_)) || now >= until {
            break state;
        }
        compio::time::sleep(INQUIRY_POLL).await;
    };
    let now = shared.now();
    let (cause, until) = match state {
        QuarantineState::Free => return Ok(None),
        QuarantineState::Suspect => {
            let probe = Probe { digest: intake.digest, number: shared.random_id() };
            publish_fact(shared, probe.digest, Fact::Trying(probe.number));
            return Ok(Some(probe));
        }
        QuarantineState::Held(until) => (Cause::Suspect, until),
        QuarantineState::Confirmed(until) => (Cause::Quarantined, until),
    };
    let crashes = shared.quarantine.borrow().crashes(&intake.digest).len();
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    let ms = until.since(now).as_millis() as u64;
    tracing::info!(
        id = intake.id(), content = %intake.digest, ?cause, endings = crashes, ms, config, roster, age,
        "request refused"
    );
    shared.metrics.count("gateway.quarantine.refused", 1);
    Err(Refused { cause, until })
}

/// Is a request confirmed to crash servers? Checked again before each send, since the request may
/// have waited.
pub fn is_confirmed(shared: &Shared, digest: &RequestDigest) -> bool {
    let state = shared.quarantine.borrow().state(shared.now(), digest);
    matches!(state, QuarantineState::Confirmed(_))
}

/// How far a run had come when it broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStage {
    /// A stream or a prefill that had only just begun.
    Begun,
    /// A stream that had been running for a while.
    Advanced,
    /// A short call.
    Call,
}

/// One send of a request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Sent<'a> {
    /// The server.
    pub server: &'a Server,
    /// How far the run has come.
    pub run: RunStage,
    /// When it was sent.
    pub at: Timestamp,
    /// It was given up because nothing came any more, while its connection stayed open.
    pub stalled: bool,
}

/// Starts an inquiry into a lost attempt: did its server crash?
pub fn on_lost(shared: &Shared, intake: &Intake, sent: Sent<'_>, outcome: AttemptOutcome) {
    let (now, server) = (shared.now(), sent.server);
    // A server that announced its leaving was not crashed by the request.
    let was_leaving = shared.registry.borrow().has_announced(&server.id);
    if was_leaving || shared.quarantine.borrow().is_healthy(now, &intake.digest) {
        return;
    }
    let heard_at = shared.lost_attempts.borrow().heard_since(sent.at, &server.id);
    // A server that wrote an answer runs, even if its registration is gone.
    let is_gone =
        outcome != AttemptOutcome::Mismatched && shared.registry.borrow().get(&server.id).is_none();
    if is_gone && sent.stalled && heard_at.is_none() {
        // The server may have been down already when this was sent.
        return;
    }
    let at = heard_at.filter(|_| sent.stalled).unwrap_or(now);
    let early = sent.run != RunStage::Advanced;
    let wait = if sent.run == RunStage::Call { CALL_PROBE_DELAY } else { STREAM_PROBE_DELAY };
    let number = shared.random_id();
    let attempt = LostAttempt { digest: intake.digest, early, sent: sent.at, at, number };
    shared.lost_attempts.borrow_mut().add(server, attempt, wait);
    if sent.run == RunStage::Begun {
        publish_fact(shared, intake.digest, Fact::Lost(number));
    }
    if is_gone {
        // A run that stalls is given up later than the registration of its server expires.
        on_ended(shared, &server.id, "registration");
    }
    shared.background_waiters.wake_all();
}

/// Handles an attempt abandoned by its caller. If it had only just begun, its server is checked as
/// well; otherwise a caller that disconnects early could crash one server after another unnoticed.
/// Other answers of the server usually show that it is alive.
pub fn on_abandoned(shared: &Shared, intake: &Intake, sent: Sent<'_>) {
    if sent.run != RunStage::Advanced {
        on_lost(shared, intake, Sent { run: RunStage::Call, ..sent }, AttemptOutcome::Lost);
    }
}

/// Handles the outcome of a send: a lost attempt is checked, and a complete answer clears the
/// request.
pub fn on_outcome(shared: &Shared, intake: &Intake, sent: Sent<'_>, outcome: AttemptOutcome) {
    match outcome {
        AttemptOutcome::Lost | AttemptOutcome::Mismatched => {
            on_lost(shared, intake, sent, outcome);
        }
        AttemptOutcome::Answered(status) if status < 500 => on_served(shared, &intake.digest),
        AttemptOutcome::Answered(_)
        | AttemptOutcome::Moved
        | AttemptOutcome::Rejected
        | AttemptOutcome::Unsent => {}
    }
}

fn on_served(shared: &Shared, digest: &RequestDigest) {
    let is_new = shared.quarantine.borrow_mut().on_served(shared.now(), *digest);
    if is_new {
        publish_fact(shared, *digest, Fact::Served);
    }
}

/// Waits, for a limited time, until it is known whether the server of a lost attempt of this
/// request crashed.
pub async fn wait_for_inquiry(shared: &Shared, digest: &RequestDigest) {
    let until = shared.now().after(INQUIRY_WAIT);
    while shared.now() < until && shared.lost_attempts.borrow().is_investigated(digest) {
        compio::time::sleep(INQUIRY_POLL).await;
    }
}

/// Handles an answer to what was sent at `sent`, which shows that the server was alive.
pub fn on_alive(shared: &Shared, id: &ServerId, sent: Timestamp) {
    on_heard(shared, id);
    let cleared = shared.lost_attempts.borrow_mut().on_answer(id, sent);
    let early = cleared.iter().filter(|attempt| attempt.early);
    early.for_each(|attempt| publish_fact(shared, attempt.digest, Fact::Over(attempt.number)));
}

/// Handles an event of a stream that is running at a server.
pub fn on_heard(shared: &Shared, id: &ServerId) {
    shared.lost_attempts.borrow_mut().on_heard(shared.now(), id);
}

/// Handles the end of a server's incarnation that did not announce its leaving.
pub fn on_ended(shared: &Shared, id: &ServerId, how: &'static str) {
    let attempts = shared.lost_attempts.borrow_mut().on_crash(id);
    record_crashes(shared, id, attempts, how);
}

/// Handles a registration that is gone, or that names another incarnation now.
pub fn on_unregistered(shared: &Shared, name: &str) {
    let current = shared.registry.borrow().named(name).map(|s| s.id.clone());
    let ended = shared.lost_attempts.borrow_mut().on_crash_except(name, current.as_ref());
    for (id, attempts) in ended {
        record_crashes(shared, &id, attempts, "registration");
    }
}

/// Handles a new registration: any other incarnation at its address has ended, even while the
/// store's state is not trusted yet.
pub fn on_registered(shared: &Shared, addr: SocketAddr, id: &ServerId) {
    let replaced = shared.lost_attempts.borrow().replaced(addr, id);
    replaced.iter().for_each(|previous| on_ended(shared, previous, "address"));
}

fn record_crashes(shared: &Shared, id: &ServerId, attempts: Vec<LostAttempt>, how: &'static str) {
    let mut reports = Vec::new();
    for attempt in attempts {
        if shared.quarantine.borrow().is_healthy(attempt.at, &attempt.digest) {
            continue;
        }
        let age = shared.now().since(attempt.at).as_millis() as u64;
        tracing::info!(
            content = %attempt.digest, server = %id, early = attempt.early, how, age,
            "backend server crashed under a request"
        );
        let LostAttempt { digest, early, number, .. } = attempt;
        let fact = Fact::Ended(id.clone(), early);
        reports.push(QuarantineUpdate { digest, age, fact });
        if early {
            reports.push(QuarantineUpdate { digest, age: 0, fact: Fact::Over(number) });
        }
    }
    publish(shared, reports);
}

fn publish_fact(shared: &Shared, digest: RequestDigest, fact: Fact) {
    publish(shared, vec![QuarantineUpdate { digest, age: 0, fact }]);
}

/// Applies observations made here and publishes them to all gateways.
fn publish(shared: &Shared, reports: Vec<QuarantineUpdate>) {
    apply_reports(shared, &reports, None);
    shared.outgoing_gossip.borrow_mut().quarantine_updates.extend(reports);
    shared.background_waiters.wake_all();
}

/// Applies what a peer knows of complete answers.
pub fn apply_health_reports(shared: &Shared, reports: &[HealthReport]) {
    let (now, mut quarantine) = (shared.now(), shared.quarantine.borrow_mut());
    reports.iter().for_each(|report| quarantine.on_health_report(now, report));
}

/// Applies observations made here, or reported by a peer or the store; one of a peer is refuted if
/// a complete answer here contradicts it.
pub fn apply_reports(shared: &Shared, reports: &[QuarantineUpdate], peer: Option<&str>) {
    let changes = shared.quarantine.borrow_mut().apply_all(shared.now(), reports);
    for (report, change) in reports.iter().zip(changes) {
        on_change(shared, report, change, peer);
    }
}

fn on_change(shared: &Shared, report: &QuarantineUpdate, change: Change, peer: Option<&str>) {
    let (digest, fact, age) = (report.digest, &report.fact, report.age);
    match change {
        Change::Nothing => {}
        Change::Suspected => {
            if peer.is_some() {
                refute(shared, report);
            }
            let crashes = shared.quarantine.borrow().crashes(&digest).len();
            tracing::info!(
                content = %digest, ?fact, age, peer, endings = crashes, "request suspected of crashing servers"
            );
            let close_to_confirmed = shared.quarantine.borrow().is_nearly_confirmed(&digest);
            if close_to_confirmed && (peer.is_none() || is_first_gateway(shared)) {
                shared.unsaved_confirmations.borrow_mut().push(digest);
            }
        }
        Change::Confirmed => {
            let quarantine = shared.quarantine.borrow();
            let crashes = quarantine.crashes(&digest).iter().map(|e| e.server.to_string());
            let servers = crashes.collect::<Vec<_>>().join(" ");
            tracing::warn!(
                content = %digest, ?fact, age, peer, servers, "request confirmed to crash servers"
            );
            shared.metrics.count("gateway.quarantine.proved", 1);
            if peer.is_none() || is_first_gateway(shared) {
                shared.unsaved_confirmations.borrow_mut().push(digest);
            }
        }
        Change::Cleared => {
            tracing::info!(content = %digest, ?fact, age, peer, "request cleared of crashing servers")
        }
    }
}

/// Publishes a complete answer received here that contradicts a crash reported by a peer. In a
/// large fleet only some of the gateways that could do so do.
fn refute(shared: &Shared, report: &QuarantineUpdate) {
    let refutation = shared.quarantine.borrow().refutation(shared.now(), report);
    let share = REFUTATIONS / shared.gateway_count() as f64;
    if let Some(refutation) = refutation.filter(|_| shared.random_fraction() < share) {
        publish(shared, vec![refutation]);
    }
}

/// Is this gateway the first by name? The first one writes what was confirmed only by reports of
/// several others.
fn is_first_gateway(shared: &Shared) -> bool {
    shared.fleet.borrow().all().keys().next() == Some(&shared.node().name)
}

/// Checks lost attempts, writes confirmed requests to the store and expires old state.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let now = shared.now();
        let next_check = shared
            .lost_attempts
            .borrow()
            .next_probe_at()
            .map_or(UPKEEP_INTERVAL, |at| at.since(now));
        let timer = std::pin::pin!(compio::time::sleep(next_check.min(UPKEEP_INTERVAL)));
        if let Either::Left(_) = select(shared.background_waiters.wait(), timer).await {
            start_checks(&shared);
            continue;
        }
        start_checks(&shared);
        upkeep(&shared);
    }
}

fn start_checks(shared: &Rc<Shared>) {
    for (id, addr) in shared.lost_attempts.borrow_mut().due_probes(shared.now()) {
        compio::runtime::spawn(check_alive(shared.clone(), id, addr)).detach();
    }
    for digest in shared.unsaved_confirmations.take() {
        compio::runtime::spawn(store_record(shared.clone(), digest)).detach();
    }
}

fn upkeep(shared: &Shared) {
    let now = shared.now();
    for (server, attempt) in shared.lost_attempts.borrow_mut().expire(now) {
        tracing::info!(content = %attempt.digest, %server, "cannot tell whether the server crashed");
    }
    for digest in shared.quarantine.borrow_mut().expire(now) {
        tracing::info!(content = %digest, "suspicion of a request expired");
    }
    let (suspects, confirmed) = shared.quarantine.borrow().counts();
    shared.metrics.gauge("gateway.quarantine.suspects", suspects as u64);
    shared.metrics.gauge("gateway.quarantine.contents", confirmed as u64);
}

/// Checks whether a server is alive.
async fn check_alive(shared: Rc<Shared>, id: ServerId, addr: SocketAddr) {
    if announcements::is_unavailable(&shared, &id) {
        return;
    }
    let sent = shared.now();
    let result =
        timeout(LIVENESS_TIMEOUT, shared.pool.check_address(addr, engine::probe(&id))).await;
    let result = match result {
        Ok(Reachability::Answered(status, headers)) => {
            let reply = headers::parse_reply(status, &headers);
            announcements::on_answer(&shared, &id, sent, &reply);
            if reply.moved { ProbeResult::Other } else { ProbeResult::Alive }
        }
        Ok(Reachability::Refused) => ProbeResult::Nobody,
        Ok(Reachability::Broken) | Err(_) => ProbeResult::Silence,
    };
    let ended = shared.lost_attempts.borrow_mut().on_probe_result(&id, result);
    tracing::info!(server = %id, found = ?result, ended, "liveness of a backend server checked");
    shared.metrics.count("gateway.quarantine.asked", 1);
    if result == ProbeResult::Alive {
        on_alive(&shared, &id, sent);
    }
    if ended {
        on_ended(&shared, &id, if result == ProbeResult::Other { "address" } else { "port" });
    }
}

/// Should the store keep a record of this request?
fn should_store(shared: &Shared, digest: &RequestDigest) -> bool {
    is_confirmed(shared, digest) || shared.quarantine.borrow().is_nearly_confirmed(digest)
}

/// Writes the record of a confirmed request, or of one close to that, to the store; repeated on
/// failure while the request stays so. On a conflict another gateway has written it.
async fn store_record(shared: Rc<Shared>, digest: RequestDigest) {
    let mut backoff = WRITE_BACKOFF;
    while should_store(&shared, &digest) {
        match try_store_record(&shared, digest).await {
            Ok(()) | Err(StoreError::Conflict) => return,
            Err(e) => {
                tracing::info!(content = %digest, error = %e, "quarantine record not written")
            }
        }
        compio::time::sleep(backoff.mul_f64(0.5 + shared.random_fraction())).await;
        backoff = (backoff * 2).min(WRITE_BACKOFF_MAX);
    }
}

async fn try_store_record(shared: &Shared, digest: RequestDigest) -> Result<(), StoreError> {
    let (prefix, ttl) = match is_confirmed(shared, &digest) {
        true => (CONFIRMED_PREFIX, CONFIRMED_TTL),
        false => (SUSPECT_PREFIX, SUSPECT_TTL),
    };
    let key = format!("{prefix}{:016x}{:016x}", digest.0, digest.1);
    let crashes = shared.quarantine.borrow().crashes(&digest).to_vec();
    let servers = crashes.iter().map(|e| e.server.to_string()).collect();
    let endings = crashes.into_iter().map(|e| (e.server, e.early, e.at)).collect();
    let record = Record { servers, endings, by: shared.node().name.clone(), release: false };
    let value = serde_json::to_vec(&record).expect("plain strings serialise");
    let lease = shared.store.lease(ttl).await?;
    let write = Write { key: &key, value: &value, lease: lease.id };
    let written = shared.store.txn(&[(&key, 0)], &[write]).await;
    if matches!(written, Err(StoreError::Conflict)) {
        shared.store.revoke(lease.id).await?;
    }
    written.map(drop)
}

/// Applies the store's records of confirmed requests and of those close to it.
pub struct QuarantineSink(pub Rc<Shared>);

impl Sink for QuarantineSink {
    fn apply(&self, item: Item) {
        let Some(value) = item.value else {
            return;
        };
        if let Some(digest) = item.key.strip_prefix(SUSPECT_PREFIX).and_then(parse) {
            return self.suspect(digest, &value);
        }
        let Some(digest) = item.key.strip_prefix(CONFIRMED_PREFIX).and_then(parse) else {
            return;
        };
        let fact = match serde_json::from_slice::<Record>(&value) {
            Ok(Record { release: true, .. }) => Fact::Released,
            Ok(_) => Fact::Proved,
            Err(e) => {
                let revision = item.revision;
                return tracing::warn!(
                    key = item.key, revision, error = %e, "invalid quarantine record"
                );
            }
        };
        if fact == Fact::Proved && is_confirmed(&self.0, &digest) {
            return;
        }
        apply_reports(&self.0, &[QuarantineUpdate { digest, age: 0, fact }], Some("store"));
    }
}

impl QuarantineSink {
    fn suspect(&self, digest: RequestDigest, value: &[u8]) {
        let Ok(record) = serde_json::from_slice::<Record>(value) else {
            return tracing::warn!(content = %digest, "invalid record of a suspected request");
        };
        let report = |(server, early, at)| {
            let age = self.0.now().since(at).as_millis() as u64;
            QuarantineUpdate { digest, age, fact: Fact::Ended(server, early) }
        };
        let reports: Vec<QuarantineUpdate> = record.endings.into_iter().map(report).collect();
        apply_reports(&self.0, &reports, Some("store"));
    }
}

fn parse(digits: &str) -> Option<RequestDigest> {
    let all = u128::from_str_radix(digits, 16).ok().filter(|_| digits.len() == 32)?;
    Some(RequestDigest::of(all.to_be_bytes()))
}
