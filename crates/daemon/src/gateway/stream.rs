//! Streams: requests whose answer is an event stream written by a model engine.
//!
//! The gateway first reserves memory at a decode engine, then has a prefill engine read the
//! prompt, whose state the decode engine fetches from there, and then relays the events as they
//! come. If an engine fails, a resumable stream continues at another engine after its last event,
//! within the same response. A request that the gateway's own availability zone can't serve in
//! time is placed in another zone.

mod admission;
pub mod incoming;
mod migration;
pub mod overflow;
mod prefill;
mod relay;
mod response;
mod shares;
mod state;
pub mod urgency;
mod wasted_prefill;

use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::Verdict;
use ebonyloft_platform::headers;
use ebonyloft_router::budget::NextSend;
use ebonyloft_router::catalog::{Engine, Server, ServerId, SoftwareVersion};
use ebonyloft_router::engine_load::Prompt;
use ebonyloft_router::engines;
use ebonyloft_router::events::Splitter;
use ebonyloft_router::forecast::{MARGIN_SIGMAS, URGENT_MARGIN_SIGMAS};
use ebonyloft_router::outcome::{AttemptOutcome, Progress};
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::stream_origin::Origin;
use ebonyloft_router::wasted_prefill::WastedPrefill;
use ebonyloft_router::zones::{ServiceCapacity, UrgentCapacity};
use futures_channel::oneshot;
use hyper::Response;

use self::relay::RelayEnd;
use self::response::ResponseStream;
use self::state::StreamState;
use self::urgency::UrgencySnapshot;
use super::announcements;
use super::answer::{self, Body, Cause};
use super::body_memory::ANSWER_MAX;
use super::call;
use super::intake::Intake;
use super::keys;
use super::limits;
use super::part_blame;
use super::quarantine::{self, RunStage};
use super::retries;
use super::send::{self, Expect, Head};
use super::shared::{Shared, SnapshotVersion};
use crate::http;

/// Silence after which a resumable stream is continued at another engine: five times the longest
/// pause that is still in time, and well before callers give up.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a stream ended without a complete answer.
enum StreamError {
    /// Refuse the request; the caller may retry after the time, if there is one.
    Refused(Cause, Option<Timestamp>),
    /// Pass on an error response of a backend server.
    Failed(Box<send::CompleteAnswer>),
}

/// Serves a stream until its end; stops if the caller disconnects or the deadline passes.
pub async fn run(
    shared: &Rc<Shared>,
    intake: &Intake,
    gone: oneshot::Receiver<()>,
    reply: oneshot::Sender<Response<Body>>,
) {
    retries::begin(shared, intake);
    let progress = Progress::new(intake.is_repeatable(), intake.route().attempts);
    let mut state = StreamState::new(progress, intake.id(), intake.origin);
    let mut out = ResponseStream::new(reply);
    let left = intake.ends_at.since(shared.now());
    let work = deliver(shared, intake, &mut state, &mut out);
    let result = answer::unless_disconnected(gone, compio::time::timeout(left, work)).await;
    let events = out.batches();
    if let Some((server, at)) = state.open_attempt.take() {
        quarantine::on_abandoned(shared, intake, state.sent(&server, at, shared.now()));
    }
    let ending = send_result(shared, intake, &state, out, result);
    if ending == COMPLETE {
        learn_length(shared, intake, &state);
    }
    let pause = state.longest_gap.as_millis() as u64;
    let unused = match ending {
        CALLER_GONE | TIMEOUT => WastedPrefill::Caller,
        _ => WastedPrefill::Refused,
    };
    state.close(shared, ending == COMPLETE, unused);
    retries::close(shared, intake);
    let ms = shared.now().since(intake.came_at).as_millis() as u64;
    tracing::info!(
        id = intake.id(), route = %intake.route().name, word = ending, events, pause, ms, "stream ended"
    );
    shared.metrics.time("gateway.pause_ms", pause);
    shared.metrics.time("gateway.stream_ms", ms);
}

/// How a stream ended: none if its caller disconnected, an error if its deadline passed.
type StreamResult = Option<Result<Result<(), StreamError>, compio::time::Elapsed>>;

/// Value of the log field `word` for a stream that was relayed to its end.
const COMPLETE: &str = "whole";
/// Its value for a stream whose caller disconnected.
const CALLER_GONE: &str = "caller gone";
/// Its value for a stream whose deadline passed.
const TIMEOUT: &str = "timeout";

/// Sends the caller the end of the response; returns the value of the log field `word`.
fn send_result(
    shared: &Shared,
    intake: &Intake,
    state: &StreamState,
    mut out: ResponseStream,
    result: StreamResult,
) -> &'static str {
    let verdict = state.progress.verdict();
    let (cause, retry_at) = match result {
        None => return CALLER_GONE,
        Some(Ok(Ok(()))) => {
            out.finish();
            return COMPLETE;
        }
        Some(Ok(Err(StreamError::Failed(answer)))) => {
            out.send_failure(*answer);
            return "failed";
        }
        Some(Ok(Err(StreamError::Refused(cause, retry_at)))) => (cause, retry_at),
        Some(Err(_)) => (Cause::Timeout, retry_at(shared, intake, state)),
    };
    let retry = retry_at.map(|at| at.since(shared.now()));
    let part = part_blame::refused_part(shared, intake).filter(|_| cause == Cause::Quarantined);
    let part = part.map(|part| part.to_string());
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(), service = %intake.service, part, ?cause, ?verdict, config, roster, age,
        "request refused"
    );
    shared.metrics.count("gateway.refused", 1);
    out.send_refusal(cause, verdict, retry);
    if cause == Cause::Timeout { TIMEOUT } else { "refused" }
}

async fn deliver(
    shared: &Rc<Shared>,
    intake: &Intake,
    state: &mut StreamState,
    out: &mut ResponseStream,
) -> Result<(), StreamError> {
    let engine = intake.config.service(&intake.service).and_then(|s| s.engine.clone());
    let mut splitter = Splitter::resuming_after(intake.caller.last_event);
    let mut tried: Vec<ServerId> = Vec::new();
    let mut failure = None;
    let mut cause = Cause::NoServer;
    // A run was lost whose prompt is to be processed again.
    let mut lost_run = false;
    while state.progress.may_send() {
        if let Err(refused) = admission::check_origin(shared, intake, state.origin) {
            cause = refused;
            break;
        }
        if engine.is_some() && !admission::has_untried(shared, intake, state.origin, &tried) {
            // The engines that failed are all that can continue the stream. Admission waits before it
            // asks one of them again; nothing does at a plain server.
            tried.clear();
        }
        if let Err(refused) = quarantine::check(shared, intake) {
            cause = refused;
            break;
        }
        if let Err(refused) = keys::check(shared, intake) {
            cause = refused;
            break;
        }
        if !retries::reserve(shared, intake, NextSend::Run) {
            cause = Cause::Budget;
            break;
        }
        state.begun = out.has_begun() || state.origin != Origin::Unstarted;
        let mut server = match &engine {
            Some(engine) => reserve_and_prefill(shared, intake, engine, state, &tried).await?,
            None => pick_plain_server(shared, intake, state.origin, &tried)
                .await
                .ok_or(StreamError::Refused(cause, None))?,
        };
        if let Err(refused) = quarantine::check(shared, intake) {
            cause = refused;
            break;
        }
        if std::mem::take(&mut lost_run) && !state.has_unused_copy() {
            let prompt = intake.caller.prompt_tokens;
            wasted_prefill::count(shared, intake.id(), WastedPrefill::Lost, prompt);
        }
        state.progress.begin();
        let mut is_continued = false;
        let (outcome, answer, started_at) = loop {
            (state.first_event_at, state.heard_at, state.sound) = (None, None, false);
            state.accepted = false;
            let started_at = shared.now();
            state.open_attempt = Some((server.clone(), started_at));
            match attempt(shared, intake, &server, state, out, &mut splitter).await {
                AttemptEnd::Outcome(outcome, answer) => break (outcome, answer, started_at),
                AttemptEnd::Moved(target) => server = target,
            }
            splitter.discard_incomplete();
            is_continued = true;
        };
        let now = shared.now();
        // A run that was moved has run, whatever the engine says that was to continue it.
        state.progress.record(if is_continued && outcome.verdict() == Verdict::NotRun {
            AttemptOutcome::Lost
        } else {
            outcome
        });
        state.open_attempt = None;
        let sent = state.sent(&server, started_at, now);
        let run = sent.run;
        let is_unsent = outcome == AttemptOutcome::Unsent;
        let has_lost_prompt = is_unsent && state.has_lost_prompt(shared);
        let has_lost_hold = is_unsent && state.has_lost_hold(shared);
        quarantine::on_outcome(shared, intake, sent, outcome);
        tracing::info!(
            id = intake.id(), content = %intake.digest, server = %server.id,
            version = server.version.as_ref().map(SoftwareVersion::as_str),
            resumes = intake.resumed_attempt(), fate = ?outcome, events = splitter.count(),
            last = splitter.last_id(), accepted = state.accepted, "stream attempt ended"
        );
        if matches!(outcome, AttemptOutcome::Answered(200)) {
            return Ok(());
        }
        lost_run = state.prefill_handle.is_none() && outcome.is_lost() || state.has_unused_copy();
        if state.has_unused_copy() {
            migration::on_continuation_failed(shared, state);
            state.release(shared, now, false, WastedPrefill::Lost);
        } else if outcome.is_lost() && migration::has_copy(shared, intake, state) {
            state.drop_reservation(shared, now);
        } else if outcome == AttemptOutcome::Rejected {
            // The prefilled prompt may still be fetched by another engine.
            if let Some(handle) = &mut state.prefill_handle {
                handle.is_rejected = true;
            }
            state.drop_reservation(shared, now);
        } else if has_lost_hold && !has_lost_prompt {
            state.drop_reservation(shared, now);
        } else {
            let unused = match outcome {
                AttemptOutcome::Lost | AttemptOutcome::Mismatched => WastedPrefill::Lost,
                _ => WastedPrefill::Refused,
            };
            state.release(shared, now, false, unused);
        }
        if !has_lost_prompt && !has_lost_hold {
            tried.push(server.id.clone());
        }
        match outcome {
            AttemptOutcome::Answered(_) => failure = answer,
            AttemptOutcome::Moved => call::on_replaced(shared, &server.id),
            // No fault of the engine that is there now, or that was to continue from the prompt.
            AttemptOutcome::Unsent if has_lost_prompt || has_lost_hold => cause = Cause::Lost,
            // An engine that asked for a back-off gets no requests until it is over.
            AttemptOutcome::Rejected | AttemptOutcome::Unsent
                if announcements::is_unavailable(shared, &server.id) =>
            {
                cause = Cause::Overload;
            }
            AttemptOutcome::Rejected => {
                cause = Cause::Overload;
                shared.engines.borrow_mut().rejected(now, &server.id);
            }
            // The engine answers, and a new connection carries no other answers.
            AttemptOutcome::Mismatched => cause = Cause::Lost,
            AttemptOutcome::Unsent | AttemptOutcome::Lost => {
                cause = Cause::Lost;
                shared.engines.borrow_mut().on_fault(now, &server.id);
            }
        }
        splitter.discard_incomplete();
        if outcome.is_lost() && run == RunStage::Begun {
            quarantine::wait_for_inquiry(shared, &intake.digest).await;
        }
    }
    match failure {
        Some(answer) => Err(StreamError::Failed(Box::new(answer))),
        None => Err(StreamError::Refused(cause, retry_at(shared, intake, state))),
    }
}

/// Free capacity of this zone's engines of a service, published to other zones.
pub fn zone_capacity(shared: &Shared, service: &str, spec: &Engine) -> ServiceCapacity {
    let now = shared.now();
    let tokens = shared.service_estimates(service).shape.prompt();
    let prefill_ms = |urgent: bool| {
        let prompt = Prompt { tokens, urgent };
        let read_at = match prefill::fastest_engine(shared, service, prompt, now) {
            Some((_, at)) => at,
            None => prefill::local_ready_at(shared, service, tokens, now),
        };
        read_at.since(now).as_millis() as u32
    };
    let free = admission::free_fraction(shared, service, spec).max(0.0) * 1_000.0;
    let levels = shared.config().map(|config| shared.urgency_levels(&config, service));
    let levels = levels.filter(|levels| levels.is_enabled());
    let reserved = levels.as_ref().map_or(0, |levels| {
        let least = Precedence { level: levels.least(), ..Precedence::default() };
        UrgencySnapshot::new(shared, service, levels).context().headroom(least)
    });
    let free_slots = |margin| admission::free_slots(shared, service, spec, margin);
    let urgent = levels.map(|_| UrgentCapacity {
        free_slots: free_slots(URGENT_MARGIN_SIGMAS),
        prefill_ms: prefill_ms(true),
    });
    ServiceCapacity {
        service: service.to_owned(),
        free: free as u32,
        free_slots: free_slots(MARGIN_SIGMAS).saturating_sub(reserved),
        prefill_ms: prefill_ms(false),
        urgent,
    }
}

/// Tokens in one event of the service's engines.
fn tokens_per_event(intake: &Intake) -> u64 {
    let service = intake.config.service(&intake.service);
    service.and_then(|s| s.engine.as_ref()).map_or(1, |e| u64::from(e.stride))
}

/// Updates the length estimates from a complete answer.
fn learn_length(shared: &Shared, intake: &Intake, state: &StreamState) {
    let mut learned = shared.traffic_stats.borrow_mut();
    let lengths = learned.lengths(&intake.route().name);
    lengths.observe(intake.caller.max_output, intake.caller.hint, state.generated);
}

/// When a caller should retry; none if the request may have run.
fn retry_at(shared: &Shared, intake: &Intake, state: &StreamState) -> Option<Timestamp> {
    let at = engines::retry_after(shared.now(), intake.ends_at, shared.random_fraction());
    (state.progress.verdict() == Verdict::NotRun).then_some(at)
}

/// Reserves memory at a decode engine, and has the prompt read by a prefill engine if that is
/// faster.
async fn reserve_and_prefill(
    shared: &Shared,
    intake: &Intake,
    engine: &Engine,
    state: &mut StreamState,
    tried: &[ServerId],
) -> Result<Server, StreamError> {
    if let Some(server) = migration::resume_from_copy(shared, state) {
        return Ok(server);
    }
    loop {
        let server = admission::admit(shared, intake, engine, state, tried).await?;
        if state.has_lost_prompt(shared) {
            state.drop_prefill_handle(shared, WastedPrefill::Engine);
        } else if state.prefill_handle.as_ref().is_some_and(|handle| handle.until <= shared.now()) {
            state.drop_prefill_handle(shared, WastedPrefill::Expired);
        }
        if state.prefill_handle.is_none() {
            prefill::run(shared, intake, state).await;
        }
        // The decode engine may have begun to leave while the prompt was read.
        if announcements::accepts_requests(shared, &server.id) {
            return Ok(server);
        }
        tracing::info!(
            id = intake.id(), server = %server.id,
            "reservation dropped: the engine is leaving or asked for a back-off"
        );
        state.drop_reservation(shared, shared.now());
    }
}

/// Picks a plain backend server, as for a call.
async fn pick_plain_server(
    shared: &Shared,
    intake: &Intake,
    origin: Origin,
    tried: &[ServerId],
) -> Option<Server> {
    loop {
        let server = call::pick(shared, intake, shared.now(), origin, tried)?;
        if limits::acquire(shared, &server.id, 1).await {
            return Some(server);
        }
    }
}

/// How one send to a backend server ended.
enum AttemptEnd {
    /// With this outcome, and the error response that may be passed on.
    Outcome(AttemptOutcome, Option<send::CompleteAnswer>),
    /// The run was moved to this engine, where it continues.
    Moved(Server),
}

/// Sends the request to one backend server and relays its events.
async fn attempt(
    shared: &Rc<Shared>,
    intake: &Intake,
    server: &Server,
    state: &mut StreamState,
    out: &mut ResponseStream,
    splitter: &mut Splitter,
) -> AttemptEnd {
    let now = shared.now();
    if !admission::is_admitted_now(shared, state.origin, server) {
        tracing::info!(
            id = intake.id(), server = %server.id, "not sent: another version has started there"
        );
        return AttemptEnd::Outcome(AttemptOutcome::Unsent, None);
    }
    if state.has_lost_prompt(shared) && !state.has_unused_copy() {
        state.drop_prefill_handle(shared, WastedPrefill::Engine);
    }
    state.forget_lost_hold(shared);
    let mut req = intake.request(now, &server.id);
    let headers = req.headers_mut();
    state.set_headers(headers);
    let send_state = intake.send_state(now, state.begun);
    if let Some(priority) = intake.levels.engine_priority(intake.level, send_state) {
        headers::set_priority(headers, priority);
    }
    if out.has_begun()
        && let Some(last) = splitter.last_id()
    {
        headers::set_last_event(headers, last);
    }
    let sent = send::head(shared, intake, server, req, state.named_memory(), Expect::Signature);
    let head = match with_stall_timeout(intake, sent).await {
        Some(Ok(head)) => head,
        Some(Err(outcome)) => return AttemptEnd::Outcome(outcome, None),
        None => return AttemptEnd::Outcome(AttemptOutcome::Lost, None),
    };
    let outcome = AttemptOutcome::from_reply(&head.reply);
    if outcome != AttemptOutcome::Answered(200) {
        return AttemptEnd::Outcome(
            outcome,
            read_failure(shared, intake, server, head, outcome).await,
        );
    }
    state.heard_at = Some(shared.now());
    state.mark_used(shared);
    shared.engines.borrow_mut().on_accepted(&server.id);
    let end = relay::relay(shared, intake, head, state, out, splitter).await;
    match (end, &state.reservation) {
        (RelayEnd::Moved, Some(reservation)) => AttemptEnd::Moved(reservation.server.clone()),
        (RelayEnd::Moved, None) => AttemptEnd::Outcome(AttemptOutcome::Lost, None),
        (RelayEnd::Outcome(outcome), _) => AttemptEnd::Outcome(outcome, None),
    }
}

/// Bounds a wait by the stall timeout if the stream may continue elsewhere.
async fn with_stall_timeout<F: Future>(intake: &Intake, wait: F) -> Option<F::Output> {
    if intake.is_repeatable() {
        return compio::time::timeout(STALL_TIMEOUT, wait).await.ok();
    }
    Some(wait.await)
}

/// Reads the whole body of an error response, so that it can be passed on.
async fn read_failure(
    shared: &Shared,
    intake: &Intake,
    server: &Server,
    head: Head,
    outcome: AttemptOutcome,
) -> Option<send::CompleteAnswer> {
    let Head { reply, response, conn, .. } = head;
    let (status, headers) = (response.status(), headers::forwarded_to_caller(response.headers()));
    let is_framed = http::is_framed(response.headers());
    let read = shared.pool.answers().read(response.into_body(), ANSWER_MAX);
    let Ok(Some(body)) = compio::time::timeout(STALL_TIMEOUT, read).await else {
        conn.close();
        return None;
    };
    if send::has_second_answer(intake, server, is_framed, &body) {
        conn.close();
        return None;
    }
    if outcome != AttemptOutcome::Lost {
        shared.pool.put_back(conn);
    }
    matches!(outcome, AttemptOutcome::Answered(_)).then(|| send::CompleteAnswer {
        status,
        headers,
        body,
        reply,
        origin: None,
    })
}
