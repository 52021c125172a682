//! A request whose answer is an event stream, written by a model engine.
//!
//! A place in an engine's memory is reserved first, then the prompt is read by another engine and
//! fetched from there, then events are passed on as they come. A stream that may be resumed goes on
//! at another engine behind its last event, within the same answer. What the own availability zone can't
//! serve in time is placed by another one.

mod flight;
pub mod lend;
mod outlet;
mod pass;
mod place;
mod read;
pub mod spill;

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::Verdict;
use ebonyloft_platform::headers;
use ebonyloft_router::budget::Next;
use ebonyloft_router::catalog::{Engine, Server, ServerId};
use ebonyloft_router::engines;
use ebonyloft_router::events::Splitter;
use ebonyloft_router::outcome::{Fate, Progress};
use ebonyloft_router::zones::Room;
use futures_channel::oneshot;
use http_body_util::BodyExt;
use hyper::Response;

use self::flight::Flight;
use self::outlet::Outlet;
use super::answer::{self, Body, Cause};
use super::call;
use super::intake::Intake;
use super::keys;
use super::limits;
use super::quarantine::{self, Run, Sent};
use super::retries;
use super::said;
use super::send::{self, Expect, Head};
use super::shared::{Basis, Shared};

/// Silence after which a stream that may be resumed goes on elsewhere: five times the longest pause
/// that is still in time, and well before callers leave.
pub const SILENCE: Duration = Duration::from_millis(1_500);
/// Rank of a request that is too late for its goal; the usual rank is 5.
const LATE_RANK: u8 = 7;
/// Rank of a stream that goes on elsewhere: its caller has part of the answer.
const RESUME_RANK: u8 = 3;

/// Why no more can be done for a request.
enum Stop {
    /// Tell the caller why; come back after the moment, if there is one.
    Refused(Cause, Option<Timestamp>),
    /// Pass on a failure that a backend server answered with.
    Failed(Box<send::Whole>),
}

/// Serves a stream; stops when the caller is gone or the time is over.
pub async fn run(
    shared: &Shared,
    intake: &Intake,
    gone: oneshot::Receiver<()>,
    reply: oneshot::Sender<Response<Body>>,
) {
    retries::begin(shared, intake);
    let progress = Progress::new(intake.is_repeatable(), intake.route().attempts);
    let mut flight = Flight::new(progress);
    let mut out = Outlet::new(reply);
    let left = intake.ends_at.since(shared.now());
    let work = deliver(shared, intake, &mut flight, &mut out);
    let ended = answer::unless_gone(gone, compio::time::timeout(left, work)).await;
    let events = out.events();
    if let Some((server, at)) = flight.open.take() {
        let run = flight.run(shared.now());
        quarantine::note_left(shared, intake, Sent { server: &server, run, at });
    }
    let word = conclude(shared, intake, &flight, out, ended);
    if word == WHOLE {
        observe(shared, intake, &flight);
    }
    let pause = flight.pause.as_millis() as u64;
    flight.close(shared, word == WHOLE);
    retries::close(shared, intake);
    let ms = shared.now().since(intake.came_at).as_millis() as u64;
    tracing::info!(
        id = intake.id(), route = %intake.route().name, word, events, pause, ms, "stream ended"
    );
    shared.metrics.time("gateway.pause_ms", pause);
    shared.metrics.time("gateway.stream_ms", ms);
}

/// How a stream's work ended: none when its caller is gone, an error when its time is over.
type Ended = Option<Result<Result<(), Stop>, compio::time::Elapsed>>;

/// Log word of a stream that was passed on to its end.
const WHOLE: &str = "whole";

/// Gives the caller its final answer and a word for the log.
fn conclude(
    shared: &Shared,
    intake: &Intake,
    flight: &Flight,
    mut out: Outlet,
    ended: Ended,
) -> &'static str {
    let verdict = flight.progress.verdict();
    let (cause, retry_at) = match ended {
        None => return "caller gone",
        Some(Ok(Ok(()))) => {
            out.finish();
            return WHOLE;
        }
        Some(Ok(Err(Stop::Failed(answer)))) => {
            out.fail(*answer);
            return "failed";
        }
        Some(Ok(Err(Stop::Refused(cause, retry_at)))) => (cause, retry_at),
        Some(Err(_)) => (Cause::Timeout, retry_at(shared, intake, flight)),
    };
    let retry = retry_at.map(|at| at.since(shared.now()));
    let Basis { config, roster, age } = shared.basis();
    tracing::info!(
        id = intake.id(), service = %intake.service, ?cause, ?verdict, config, roster, age,
        "request refused"
    );
    shared.metrics.count("gateway.refused", 1);
    out.refuse(cause, verdict, retry);
    if cause == Cause::Timeout { "timeout" } else { "refused" }
}

async fn deliver(
    shared: &Shared,
    intake: &Intake,
    flight: &mut Flight,
    out: &mut Outlet,
) -> Result<(), Stop> {
    let engine = intake.config.service(&intake.service).and_then(|s| s.engine.clone());
    let mut splitter = Splitter::behind(intake.caller.after);
    let mut tried: Vec<ServerId> = Vec::new();
    let mut failure = None;
    let mut cause = Cause::NoServer;
    while flight.progress.may_send() {
        if quarantine::is_proved(shared, &intake.content) {
            cause = Cause::Quarantined;
            break;
        }
        if let Err(refused) = keys::check(shared, intake) {
            cause = refused;
            break;
        }
        if !retries::afford(shared, intake, Next::Run) {
            cause = Cause::Budget;
            break;
        }
        let server = match &engine {
            Some(engine) => prepare(shared, intake, engine, flight, &tried, out.begun()).await?,
            None => plain(shared, intake, &tried).await.ok_or(Stop::Refused(cause, None))?,
        };
        flight.progress.begin();
        flight.advanced_at = None;
        let begun = shared.now();
        flight.open = Some((server.clone(), begun));
        let (fate, answer) = attempt(shared, intake, &server, flight, out, &mut splitter).await;
        let now = shared.now();
        flight.progress.note(fate);
        let run = flight.run(now);
        flight.open = None;
        quarantine::note_fate(shared, intake, Sent { server: &server, run, at: begun }, fate);
        tracing::info!(
            id = intake.id(), content = %intake.content, server = %server.id, ?fate,
            events = splitter.count(), last = splitter.last(), "stream sent"
        );
        if matches!(fate, Fate::Answered(200)) {
            return Ok(());
        }
        if fate == Fate::Rejected {
            // The prompt that was read may still be fetched by another engine.
            flight.give_up_place(shared, now);
        } else {
            flight.release(shared, now, false);
        }
        tried.push(server.id.clone());
        match fate {
            Fate::Answered(_) => failure = answer,
            Fate::Moved => call::gone(shared, &server.id),
            // An engine that said how long it wants nothing is passed over until then.
            Fate::Rejected | Fate::Unsent if said::rests(shared, &server.id) => {
                cause = Cause::Overload;
            }
            Fate::Rejected => {
                cause = Cause::Overload;
                shared.engines.borrow_mut().rejected(now, &server.id);
            }
            Fate::Unsent | Fate::Lost => {
                cause = Cause::Lost;
                shared.engines.borrow_mut().fault(now, &server.id);
            }
        }
        splitter.restart();
        if (fate, run) == (Fate::Lost, Run::Begun) {
            quarantine::settled(shared, &intake.content).await;
        }
    }
    match failure {
        Some(answer) => Err(Stop::Failed(Box::new(answer))),
        None => Err(Stop::Refused(cause, retry_at(shared, intake, flight))),
    }
}

/// What this zone's engines of a service have left, for other zones.
pub fn room(shared: &Shared, service: &str, spec: &Engine) -> Room {
    let now = shared.now();
    let prompt = shared.service_estimates(service).shape.prompt();
    let read_at = match read::nearest(shared, service, prompt, now) {
        Some((_, at)) => at,
        None => read::alone(shared, service, prompt, now),
    };
    let free = place::free(shared, service, spec).max(0.0) * 1_000.0;
    let places = place::places(shared, service, spec);
    let read = read_at.since(now).as_millis() as u32;
    Room { service: service.to_owned(), free: free as u32, places, read }
}

/// Tokens in one event of the service's engines.
fn stride(intake: &Intake) -> u64 {
    let service = intake.config.service(&intake.service);
    service.and_then(|s| s.engine.as_ref()).map_or(1, |e| u64::from(e.stride))
}

/// Learns lengths from an answer that ended.
fn observe(shared: &Shared, intake: &Intake, flight: &Flight) {
    let mut learned = shared.learned.borrow_mut();
    let lengths = learned.lengths(&intake.route().name);
    lengths.observe(intake.caller.output, intake.caller.hint, flight.made);
}

/// When a request that did not run is worth sending again.
fn retry_at(shared: &Shared, intake: &Intake, flight: &Flight) -> Option<Timestamp> {
    let at = engines::come_back(shared.now(), intake.ends_at, shared.draw());
    (flight.progress.verdict() == Verdict::NotRun).then_some(at)
}

/// A place, and the prompt read elsewhere if that is sooner.
async fn prepare(
    shared: &Shared,
    intake: &Intake,
    engine: &Engine,
    flight: &mut Flight,
    tried: &[ServerId],
    begun: bool,
) -> Result<Server, Stop> {
    loop {
        let server = place::take(shared, intake, engine, flight, tried, begun).await?;
        if flight.source.as_ref().is_some_and(|s| s.until <= shared.now()) {
            flight.drop_source(shared);
        }
        if flight.source.is_none() {
            read::elsewhere(shared, intake, flight).await;
        }
        // It may have begun to leave while the prompt was read.
        if said::takes(shared, &server.id) {
            return Ok(server);
        }
        tracing::info!(
            id = intake.id(), server = %server.id, "place given up: the engine leaves, or wants nothing"
        );
        flight.give_up_place(shared, shared.now());
    }
}

/// A backend server that is no model engine, as for a call.
async fn plain(shared: &Shared, intake: &Intake, tried: &[ServerId]) -> Option<Server> {
    loop {
        let server = call::pick(shared, intake, shared.now(), tried)?;
        if limits::take(shared, &server.id, 1).await {
            return Some(server);
        }
    }
}

/// One send, its events passed on as they come.
async fn attempt(
    shared: &Shared,
    intake: &Intake,
    server: &Server,
    flight: &mut Flight,
    out: &mut Outlet,
    splitter: &mut Splitter,
) -> (Fate, Option<send::Whole>) {
    let now = shared.now();
    let mut req = intake.request(now, &server.id);
    let headers = req.headers_mut();
    flight.decorate(headers);
    if out.begun() {
        headers::set_priority(headers, RESUME_RANK);
        if let Some(last) = splitter.last() {
            headers::set_after(headers, last);
        }
    } else if now > intake.goal_at {
        headers::set_priority(headers, LATE_RANK);
    }
    let sent = send::head(shared, intake, server, req, Expect::Signature);
    let head = match silence(intake, sent).await {
        Some(Ok(head)) => head,
        Some(Err(fate)) => return (fate, None),
        None => return (Fate::Lost, None),
    };
    let fate = Fate::of(&head.reply, intake.caller.attempt.as_deref());
    if fate != Fate::Answered(200) {
        return (fate, failure(shared, head, fate).await);
    }
    flight.used();
    shared.engines.borrow_mut().took(&server.id);
    let fate = pass::pass_on(shared, intake, head, flight, out, splitter).await;
    (fate, None)
}

/// Bounds a wait for a stream that may go on elsewhere.
async fn silence<F: Future>(intake: &Intake, wait: F) -> Option<F::Output> {
    if intake.is_repeatable() {
        return compio::time::timeout(SILENCE, wait).await.ok();
    }
    Some(wait.await)
}

/// Reads a failure whole, so that it can be passed on.
async fn failure(shared: &Shared, head: Head, fate: Fate) -> Option<send::Whole> {
    let Head { reply, response, conn } = head;
    let (status, headers) = (response.status(), headers::returned(response.headers()));
    let read = compio::time::timeout(SILENCE, response.into_body().collect()).await;
    let Ok(Ok(body)) = read else {
        conn.close();
        return None;
    };
    if fate != Fate::Lost {
        shared.pool.give(conn);
    }
    matches!(fate, Fate::Answered(_)).then(|| send::Whole {
        status,
        headers,
        body: body.to_bytes(),
        reply,
    })
}
