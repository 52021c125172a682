//! Quarantine of requests that crash backend servers: observes crashes and refuses such requests.
//!
//! What crashes servers may be a whole request (`request_blame`) or a part of its prompt (`part_blame`); both share
//! what they know with all gateways. Whether a lost attempt was a crash is decided in
//! `ebonyloft_router::lost_attempts`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::Verdict;
use ebonyloft_platform::{engine, headers};
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::lost_attempts::{
    CALL_PROBE_DELAY, LostAttempt, ProbeResult, STREAM_PROBE_DELAY,
};
use ebonyloft_router::outcome::AttemptOutcome;
use ebonyloft_router::part_blame::PromptParts;
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::SoftwareId;
use futures_util::future::{Either, select};
use hyper::Response;

use super::announcements;
use super::answer::{self, Body, Cause};
use super::call;
use super::intake::Intake;
use super::part_blame;
use super::pool::Reachability;
use super::request_blame;
use super::shared::Shared;

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
/// Gateways that refute a reported crash, on average, if all of them can.
const REFUTATIONS: f64 = 8.0;
/// A run that broke off this soon after its first event counts as only just begun.
pub const EARLY_WINDOW: Duration = Duration::from_millis(1_000);

/// Why a request is not sent, and until when.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    cause: Cause,
    until: Timestamp,
}

impl Refused {
    /// Refuses a request until a time.
    pub fn new(cause: Cause, until: Timestamp) -> Self {
        Refused { cause, until }
    }

    /// The caller's answer: the request did not run, and may be sent again at that time.
    pub fn response(self, now: Timestamp) -> Response<Body> {
        answer::refusal(self.cause, Verdict::NotRun, Some(self.until.since(now)))
    }
}

/// The probes that a request is.
pub struct Probes {
    request: Option<request_blame::Probe>,
    parts: Option<part_blame::Probe>,
}

impl Probes {
    /// Ends the probes.
    pub fn close(self, shared: &Shared) {
        if let Some(probe) = self.request {
            probe.close(shared);
        }
        if let Some(probe) = self.parts {
            probe.close(shared);
        }
    }
}

/// Decides whether a request may be sent, by itself and by the parts of its prompt.
pub async fn admit(shared: &Shared, intake: &Intake) -> Result<Probes, Refused> {
    let parts = part_blame::admit(shared, intake).await?;
    match request_blame::admit(shared, intake).await {
        Ok(request) => Ok(Probes { request, parts }),
        Err(refused) => {
            Probes { request: None, parts }.close(shared);
            Err(refused)
        }
    }
}

/// Waits, for a limited time, while a request is held.
pub async fn wait_while(shared: &Shared, is_held: impl Fn() -> bool) {
    let until = shared.now().after(INQUIRY_WAIT);
    while shared.now() < until && is_held() {
        compio::time::sleep(INQUIRY_POLL).await;
    }
}

/// Must a request no longer be sent, because it or a part of its prompt crashes servers? Checked at each
/// step, since the request may have waited.
pub fn check(shared: &Shared, intake: &Intake) -> Result<(), Cause> {
    match request_blame::is_confirmed(shared, &intake.digest)
        || part_blame::refused_part(shared, intake).is_some()
    {
        true => Err(Cause::Quarantined),
        false => Ok(()),
    }
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
    /// Its parts may have crashed the server: it was to write an answer, which has not gone past its
    /// beginning.
    pub blames_parts: bool,
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
    let attempt = LostAttempt {
        digest: intake.digest,
        parts: if sent.blames_parts { intake.parts.clone() } else { PromptParts::default() },
        software: SoftwareId::shared(server),
        early,
        sent: sent.at,
        at,
        number,
    };
    if sent.run == RunStage::Begun {
        request_blame::on_lost(shared, &attempt);
        part_blame::on_lost(shared, &attempt);
    }
    shared.lost_attempts.borrow_mut().add(server, attempt, wait);
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
        AttemptOutcome::Answered(status) if status < 500 => {
            request_blame::on_served(shared, &intake.digest);
            if status < 300 {
                part_blame::on_sound(shared, intake, sent.server);
            }
        }
        AttemptOutcome::Answered(_)
        | AttemptOutcome::Moved
        | AttemptOutcome::Rejected
        | AttemptOutcome::Unsent => {}
    }
}

/// Waits, for a limited time, until it is known whether the server of a lost attempt of this
/// request crashed.
pub async fn wait_for_inquiry(shared: &Shared, digest: &RequestDigest) {
    wait_while(shared, || shared.lost_attempts.borrow().is_investigated(digest)).await;
}

/// Handles an answer to what was sent at `sent`, which shows that the server was alive.
pub fn on_alive(shared: &Shared, id: &ServerId, sent: Timestamp) {
    on_heard(shared, id);
    let cleared = shared.lost_attempts.borrow_mut().on_answer(id, sent);
    request_blame::on_alive(shared, &cleared);
    part_blame::on_alive(shared, &cleared);
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
    request_blame::on_crash(shared, id, &attempts, how);
    part_blame::on_crash(shared, id, &attempts);
}

/// Does this gateway refute a crash reported by a peer? In a large fleet only some of the gateways
/// that could do so do.
pub fn refutes(shared: &Shared) -> bool {
    shared.random_fraction() < REFUTATIONS / shared.gateway_count() as f64
}

/// Is this gateway the first by name? The first one writes what was confirmed only by reports of
/// several others.
pub fn is_first_gateway(shared: &Shared) -> bool {
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
    request_blame::write_unsaved(shared);
}

fn upkeep(shared: &Rc<Shared>) {
    let now = shared.now();
    for (server, attempt) in shared.lost_attempts.borrow_mut().expire(now) {
        tracing::info!(content = %attempt.digest, %server, "cannot tell whether the server crashed");
    }
    request_blame::upkeep(shared);
    part_blame::upkeep(shared);
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
    match result {
        ProbeResult::Other => call::on_replaced(&shared, &id),
        _ if ended => on_ended(&shared, &id, "port"),
        _ => {}
    }
}
