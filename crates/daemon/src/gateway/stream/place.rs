//! A place in an engine's memory, reserved at the engine before anything is read.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::engine;
use ebonyloft_router::catalog::{Engine, Server, ServerId, Stage};
use ebonyloft_router::engines::{Advice, Lack, Need, View};
use ebonyloft_router::forecast::Profile;
use ebonyloft_router::growth::Growth;
use ebonyloft_router::roster::Roster;
use ebonyloft_router::share::Work;
use futures_util::future::select;

use super::flight::{Flight, Place};
use super::{Stop, read, spill};
use crate::gateway::answer::Cause;
use crate::gateway::intake::Intake;
use crate::gateway::limits;
use crate::gateway::said;
use crate::gateway::shared::{Basis, Shared};

/// Requests that an engine gets for one answer: the reservation, and the run that uses it.
const REQUESTS: u64 = 2;
/// Longest wait for an engine to reserve a place; it answers within a few milliseconds.
const HOLD_WAIT: Duration = Duration::from_millis(150);
/// How soon a stream that was broken off must go on: callers leave after a few seconds' silence.
const RESUME_WAIT: Duration = Duration::from_millis(1_000);

/// Reserves a place, waiting in line if that is worth it.
pub async fn take(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    flight: &mut Flight,
    tried: &[ServerId],
    begun: bool,
) -> Result<Server, Stop> {
    let joined = shared.now();
    let growth = expect(shared, intake);
    let need = need(shared, intake, flight, growth, joined, begun);
    let read_at = read::foretold(shared, intake, flight, joined);
    let ticket = shared.engines.borrow_mut().join(joined, need, read_at);
    flight.ticket = Some(ticket);
    loop {
        let now = shared.now();
        if let Some(at) = all_rest(shared, intake, tried).filter(|at| *at >= need.first_by) {
            leave(shared, flight);
            return Err(Stop::Refused(Cause::Overload, Some(at)));
        }
        let advice = advise(shared, intake, spec, flight, tried, now);
        let short = || is_short(shared, intake, spec, flight, &need, now);
        if !matches!(advice, Advice::Ask(_))
            && spill::is_allowed(shared, flight)
            && short()
            && let Some(zone) = spill::choose(shared, intake, flight, &need)
        {
            if let Some(server) = spill::ask(shared, intake, flight, &need, growth, zone).await {
                leave(shared, flight);
                log_placed(shared, intake, spec, &need, &server, joined);
                return Ok(server);
            }
            continue;
        }
        match advice {
            Advice::Ask(id) => {
                if let Some(server) = ask(shared, spec, flight, &id, need.memory, growth).await {
                    leave(shared, flight);
                    log_placed(shared, intake, spec, &need, &server, joined);
                    return Ok(server);
                }
            }
            Advice::Wait(until) => {
                let timer = std::pin::pin!(compio::time::sleep(until.since(now)));
                select(shared.capacity_freed(), timer).await;
            }
            Advice::Refuse(retry_at, lack) => {
                leave(shared, flight);
                log_refused(shared, intake, spec, &need, flight, joined, lack);
                return Err(Stop::Refused(Cause::Overload, Some(retry_at)));
            }
        }
    }
}

/// When the first engine that writes takes something again, if all that could be asked want nothing now;
/// other zones' may be asked where zones decide for themselves.
fn all_rest(shared: &Shared, intake: &Intake, tried: &[ServerId]) -> Option<Timestamp> {
    let roster = shared.roster.borrow();
    let writers = roster.ready(&intake.service).filter(|s| s.stage == Some(Stage::Decode));
    let left = writers.filter(|s| !tried.contains(&s.id));
    said::soonest(shared, left)
}

/// What is expected of the answer, by what was learned of its route.
fn expect(shared: &Shared, intake: &Intake) -> Growth {
    let mut learned = shared.learned.borrow_mut();
    learned.lengths(&intake.route().name).expect(intake.caller.output, intake.caller.hint)
}

fn need(
    shared: &Shared,
    intake: &Intake,
    flight: &Flight,
    growth: Growth,
    now: Timestamp,
    begun: bool,
) -> Need {
    let first_by = if begun { now.after(RESUME_WAIT) } else { intake.goal_at };
    let prompt = intake.caller.prompt;
    let mut learned = shared.service_estimates(&intake.service);
    learned.usual.observe(&growth, prompt);
    if !begun {
        learned.shape.observe(prompt as f64, growth.length());
    }
    let memory = growth.profile(prompt, flight.made);
    let gives = learned.usual.gives(&growth, prompt);
    Need { memory, first_by, ends_at: intake.ends_at, gives, begun }
}

fn advise(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    flight: &Flight,
    tried: &[ServerId],
    now: Timestamp,
) -> Advice {
    let read_at = read::foretold(shared, intake, flight, now);
    let entries = shared.gateways_in_scope();
    let roster = shared.roster.borrow();
    let servers = writers(shared, &roster, &intake.service).filter(|s| !tried.contains(&s.id));
    let shares = shared.shares.borrow();
    let ticket = flight.ticket.expect("a request in line has a ticket");
    let work = |id: &ServerId| shares.work(now, id);
    let view = View { engine: spec, read_at, entries };
    shared.engines.borrow().advise(now, ticket, &view, servers, work, || shared.draw())
}

/// Can the request not be served here now?
fn is_short(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    flight: &Flight,
    need: &Need,
    now: Timestamp,
) -> bool {
    let read_at = read::foretold(shared, intake, flight, now);
    let (roster, shares) = (shared.roster.borrow(), shared.shares.borrow());
    let view = View { engine: spec, read_at, entries: shared.gateways_in_scope() };
    let servers = writers(shared, &roster, &intake.service);
    let work = |id: &ServerId| shares.work(now, id);
    shared.engines.borrow().is_short(now, need, &view, servers, work)
}

/// Engines of a service that write answers, of those that are placed at from here.
pub fn writers<'a>(
    shared: &'a Shared,
    roster: &'a Roster,
    service: &'a str,
) -> impl Iterator<Item = &'a Server> {
    let zone = shared.zone();
    let here = move |s: &&Server| zone.as_ref().is_none_or(|zone| s.zone == *zone);
    let open = |s: &&Server| !said::rests(shared, &s.id);
    roster.ready(service).filter(|s| s.stage == Some(Stage::Decode)).filter(here).filter(open)
}

/// The same in percent, for the log.
fn percent(shared: &Shared, intake: &Intake, spec: &Engine) -> u64 {
    (free(shared, &intake.service, spec) * 100.0) as u64
}

/// Free part of the memory of all engines that write and are placed at from here.
pub fn free(shared: &Shared, service: &str, spec: &Engine) -> f64 {
    let (now, roster) = (shared.now(), shared.roster.borrow());
    let shares = shared.shares.borrow();
    let servers: Vec<&Server> = writers(shared, &roster, service).collect();
    let engines = shared.engines.borrow();
    engines.free(now, &servers, spec, |id| shares.work(now, id))
}

/// Usual requests that find a place at engines that are placed at from here.
pub fn places(shared: &Shared, service: &str, spec: &Engine) -> u32 {
    let usual = shared.service_estimates(service).shape.memory();
    let (now, roster) = (shared.now(), shared.roster.borrow());
    let shares = shared.shares.borrow();
    let servers: Vec<&Server> = writers(shared, &roster, service).collect();
    let engines = shared.engines.borrow();
    engines.places(now, &servers, spec, usual, |id| shares.work(now, id))
}

fn leave(shared: &Shared, flight: &mut Flight) {
    if let Some(ticket) = flight.ticket.take() {
        shared.engines.borrow_mut().leave(ticket);
    }
    shared.wake_all();
}

/// Asks one engine for a place.
async fn ask(
    shared: &Shared,
    spec: &Engine,
    flight: &mut Flight,
    id: &ServerId,
    memory: Profile,
    growth: Growth,
) -> Option<Server> {
    let server = shared.roster.borrow().get(id).cloned()?;
    flight.place = Some(Place { server: server.clone(), hold: None, memory, growth, loan: None });
    let hold = reserve(shared, spec, &server, memory).await;
    if let (Some(place), Some(hold)) = (&mut flight.place, hold) {
        place.hold = Some(hold);
        return Some(server);
    }
    flight.place = None;
    None
}

/// Counts memory at an engine and has it reserved there; what is refused is not counted any more, and the
/// engine is left alone for a while.
pub async fn reserve(
    shared: &Shared,
    spec: &Engine,
    server: &Server,
    memory: Profile,
) -> Option<String> {
    let id = &server.id;
    if !limits::take(shared, id, REQUESTS).await {
        return None;
    }
    shared.engines.borrow_mut().placed(id, memory);
    shared.request_report();
    let req = engine::hold(id, memory.reserved(), spec.hold.as_millis() as u64);
    let answer = said::call(shared, server, req, HOLD_WAIT).await;
    let now = shared.now();
    let hold = answer.as_ref().ok().and_then(|(status, body)| engine::read_hold(*status, body));
    if hold.is_some() {
        return hold;
    }
    let work = shared.engine_load(id);
    let mut engines = shared.engines.borrow_mut();
    engines.freed(now, id, memory, false);
    match answer {
        Ok((status, _)) => {
            let Work { memory: all, count, .. } = work;
            let asked = memory.reserved();
            tracing::info!(
                server = %id, %status, asked, tokens = all.now(), peak = all.peak(), count,
                "no place at this engine"
            );
            shared.metrics.count("gateway.hold.full", 1);
            engines.full(now, id);
        }
        Err(e) => {
            tracing::info!(server = %id, error = %e, "engine cannot be reached");
            // Who leaves or wants nothing was not asked at all.
            if said::takes(shared, id) {
                engines.fault(now, id);
            }
        }
    }
    None
}

fn log_refused(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    need: &Need,
    flight: &Flight,
    joined: Timestamp,
    lack: Lack,
) {
    let free = percent(shared, intake, spec);
    let now = shared.now();
    let ms = now.since(joined).as_millis() as u64;
    let read = read::foretold(shared, intake, flight, now).since(now).as_millis() as u64;
    let left = intake.goal_at.since(now).as_millis() as u64;
    let waiting = shared.engines.borrow().waiting();
    let Basis { config, roster, age } = shared.basis();
    tracing::info!(
        id = intake.id(),
        ms,
        waiting,
        read,
        left,
        gives = need.gives,
        free,
        ?lack,
        config,
        roster,
        age,
        "no place in time"
    );
}

fn log_placed(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    need: &Need,
    server: &Server,
    joined: Timestamp,
) {
    let free = percent(shared, intake, spec);
    let work = shared.engine_load(&server.id);
    let ms = shared.now().since(joined).as_millis() as u64;
    let Basis { config, roster, age } = shared.basis();
    tracing::info!(
        id = intake.id(), server = %server.id, prompt = intake.caller.prompt,
        output = intake.caller.output, hint = intake.caller.hint, tokens = work.memory.now(),
        peak = work.memory.peak(),
        count = work.count, ms, gives = need.gives, free, config, roster, age, "placed"
    );
    shared.metrics.time("gateway.place_ms", ms);
}
