//! Blame of requests for crashes of backend servers: which requests aren't sent because servers crashed under the
//! same request before.
//!
//! The rules are in `ebonyloft_router::quarantine`; `quarantine` observes the crashes. The digest of a confirmed
//! request is also written to the store, under a lease, so that it outlives the loss of all gateways. The removal of a
//! key is ignored, since keys also expire with the store. An operator releases a request by writing a release record.

use std::rc::Rc;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::store::Item;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::lost_attempts::LostAttempt;
use ebonyloft_router::quarantine::{
    CONFIRMED_TTL, Change, Fact, HealthReport, QuarantineState, QuarantineUpdate, SUSPECT_TTL,
};
use ebonyloft_router::request_digest::RequestDigest;
use serde::{Deserialize, Serialize};

use super::answer::Cause;
use super::intake::{Intake, digits};
use super::leased_record::{self, Record};
use super::quarantine::{self, Refused};
use super::shared::{Shared, SnapshotVersion};
use super::watch::Sink;

/// Prefix of the store's keys of confirmed requests.
pub const CONFIRMED_PREFIX: &str = "ebonyloft/quarantine/";
/// Prefix of the store's keys of requests that one more crash would confirm; stored in case all
/// gateways are lost before.
pub const SUSPECT_PREFIX: &str = "ebonyloft/suspects/";

/// A request digest's record in the store.
#[derive(Debug, Default, Deserialize, Serialize)]
struct RequestRecord {
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

/// Decides whether a request may be sent. It waits briefly while a lost attempt of the same request
/// is being checked, since most are no crashes; any other refusal is immediate.
pub async fn admit(shared: &Shared, intake: &Intake) -> Result<Option<Probe>, Refused> {
    let state = || shared.quarantine.borrow().state(shared.now(), &intake.digest);
    quarantine::wait_while(shared, || matches!(state(), QuarantineState::Held(_))).await;
    let now = shared.now();
    let (cause, until) = match state() {
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
        id = intake.id(), content = %intake.digest, parts = intake.part_digits(), ?cause, endings = crashes, ms, config, roster, age,
        "request refused"
    );
    shared.metrics.count("gateway.quarantine.refused", 1);
    Err(Refused::new(cause, until))
}

/// Is a request confirmed to crash servers? Checked again before each send, since the request may
/// have waited.
pub fn is_confirmed(shared: &Shared, digest: &RequestDigest) -> bool {
    let state = shared.quarantine.borrow().state(shared.now(), digest);
    matches!(state, QuarantineState::Confirmed(_))
}

/// Handles a complete answer.
pub fn on_served(shared: &Shared, digest: &RequestDigest) {
    let is_new = shared.quarantine.borrow_mut().on_served(shared.now(), *digest);
    if is_new {
        publish_fact(shared, *digest, Fact::Served);
    }
}

/// Handles a run that was lost when it had just begun: the request is held back until it is known whether
/// its server crashed.
pub fn on_lost(shared: &Shared, attempt: &LostAttempt) {
    publish_fact(shared, attempt.digest, Fact::Lost(attempt.number));
}

/// Handles lost runs whose server turned out to be alive.
pub fn on_alive(shared: &Shared, attempts: &[LostAttempt]) {
    let early = attempts.iter().filter(|attempt| attempt.early);
    early.for_each(|attempt| publish_fact(shared, attempt.digest, Fact::Over(attempt.number)));
}

/// Handles the crash of a server under attempts; `how` is what showed it.
pub fn on_crash(shared: &Shared, id: &ServerId, attempts: &[LostAttempt], how: &'static str) {
    let mut reports = Vec::new();
    for attempt in attempts {
        if shared.quarantine.borrow().is_healthy(attempt.at, &attempt.digest) {
            continue;
        }
        let age = shared.now().since(attempt.at).as_millis() as u64;
        tracing::info!(
            content = %attempt.digest, parts = digits(&attempt.parts), server = %id, early = attempt.early, how, age,
            "backend server crashed under a request"
        );
        let LostAttempt { digest, early, number, .. } = *attempt;
        let fact = Fact::Ended(id.clone(), early);
        reports.push(QuarantineUpdate { digest, age, fact });
        if early {
            reports.push(QuarantineUpdate { digest, age: 0, fact: Fact::Over(number) });
        }
    }
    publish(shared, reports);
}

/// Writes what was confirmed to the store.
pub fn write_unsaved(shared: &Rc<Shared>) {
    for digest in shared.unsaved_confirmations.take() {
        compio::runtime::spawn(store_record(shared.clone(), digest)).detach();
    }
}

/// Expires old state.
pub fn upkeep(shared: &Shared) {
    for digest in shared.quarantine.borrow_mut().expire(shared.now()) {
        tracing::info!(content = %digest, "suspicion of a request expired");
    }
    let (suspects, confirmed) = shared.quarantine.borrow().counts();
    shared.metrics.gauge("gateway.quarantine.suspects", suspects as u64);
    shared.metrics.gauge("gateway.quarantine.contents", confirmed as u64);
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
            if close_to_confirmed && (peer.is_none() || quarantine::is_first_gateway(shared)) {
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
            if peer.is_none() || quarantine::is_first_gateway(shared) {
                shared.unsaved_confirmations.borrow_mut().push(digest);
            }
        }
        Change::Cleared => {
            tracing::info!(content = %digest, ?fact, age, peer, "request cleared of crashing servers")
        }
    }
}

/// Publishes a complete answer received here that contradicts a crash reported by a peer.
fn refute(shared: &Shared, report: &QuarantineUpdate) {
    let refutation = shared.quarantine.borrow().refutation(shared.now(), report);
    if let Some(refutation) = refutation.filter(|_| quarantine::refutes(shared)) {
        publish(shared, vec![refutation]);
    }
}

/// Should the store keep a record of this request?
fn should_store(shared: &Shared, digest: &RequestDigest) -> bool {
    is_confirmed(shared, digest) || shared.quarantine.borrow().is_nearly_confirmed(digest)
}

/// Writes the record of a confirmed request, or of one close to that, to the store while the request
/// stays so.
async fn store_record(shared: Rc<Shared>, digest: RequestDigest) {
    let record = || should_store(&shared, &digest).then(|| record(&shared, &digest));
    leased_record::write(&shared, record).await;
}

fn record(shared: &Shared, digest: &RequestDigest) -> Record {
    let (prefix, ttl) = match is_confirmed(shared, digest) {
        true => (CONFIRMED_PREFIX, CONFIRMED_TTL),
        false => (SUSPECT_PREFIX, SUSPECT_TTL),
    };
    let key = format!("{prefix}{:016x}{:016x}", digest.0, digest.1);
    let crashes = shared.quarantine.borrow().crashes(digest).to_vec();
    let servers = crashes.iter().map(|e| e.server.to_string()).collect();
    let endings = crashes.into_iter().map(|e| (e.server, e.early, e.at)).collect();
    let by = shared.node().name.clone();
    let record = RequestRecord { servers, endings, by, release: false };
    Record { key, value: serde_json::to_vec(&record).expect("plain strings serialise"), ttl }
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
        let fact = match serde_json::from_slice::<RequestRecord>(&value) {
            Ok(RequestRecord { release: true, .. }) => Fact::Released,
            Ok(_) => Fact::Proved,
            Err(e) => {
                let revision = item.revision;
                return tracing::warn!(
                    key = item.key, %revision, error = %e, "invalid quarantine record"
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
        let Ok(record) = serde_json::from_slice::<RequestRecord>(value) else {
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
