//! Admission: memory is reserved at a decode engine before the prompt is read.

use std::time::Duration;

use ebonyloft_core::ids::Account;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::engine;
use ebonyloft_router::answer_length::LengthForecast;
use ebonyloft_router::catalog::{Engine, Server, ServerId, SoftwareVersion, Stage};
use ebonyloft_router::demand::Demand;
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::engines::{AdmissionContext, AdmissionDecision, Shortage};
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::registry::ServerRegistry;
use ebonyloft_router::stream_origin::Origin;
use futures_util::future::select;
use hyper::StatusCode;

use super::shares::{self, ShareClaim};
use super::state::{Hold, Reservation, StreamState};
use super::urgency::{self, UrgencySnapshot};
use super::{StreamError, overflow, prefill, retry_at};
use crate::gateway::announcements;
use crate::gateway::answer::Cause;
use crate::gateway::engine_life::EngineLife;
use crate::gateway::intake::Intake;
use crate::gateway::limits;
use crate::gateway::pool::{ServerAnswer, loggable};
use crate::gateway::quarantine;
use crate::gateway::shared::{Shared, SnapshotVersion};
use crate::gateway::speeds;

/// Requests that an engine gets for one answer: the reservation, and the run that uses it.
const REQUESTS_PER_ANSWER: u64 = 2;
/// Timeout of a reservation; an engine answers within a few milliseconds.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Deadline for continuing an interrupted stream: callers give up after a few seconds without an
/// event.
const RESUME_WITHIN: Duration = Duration::from_millis(1_000);

/// Reserves memory at a decode engine; waits in the admission queue if that is worthwhile.
pub async fn admit(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    state: &mut StreamState,
    tried: &[ServerId],
) -> Result<Server, StreamError> {
    let joined_at = shared.now();
    let length_forecast = forecast_length(shared, intake);
    let cost = length_forecast.cost(intake.caller.prompt_tokens);
    let claim = ShareClaim::open(shared, intake, cost, joined_at);
    let is_over_share = |now| {
        shares::evaluate(shared, now);
        claim.is_some_and(|claim| claim.is_over(shared))
    };
    let mut demand = demand(shared, intake, state, length_forecast, joined_at);
    demand.precedence.over_share = is_over_share(joined_at);
    urgency::on_arrival(shared, &intake.service, joined_at, demand.precedence);
    let read_at = prefill::predicted_ready_at(shared, intake, state, joined_at);
    let ticket = shared.engines.borrow_mut().join(joined_at, demand, read_at);
    state.ticket = Some(ticket);
    if let Some(claim) = claim {
        claim.set_ticket(shared, ticket);
    }
    loop {
        let now = shared.now();
        demand.precedence.over_share = is_over_share(now);
        if let Err(cause) = quarantine::check(shared, intake) {
            leave_queue(shared, state);
            shares::on_refused(shared, &demand);
            return Err(StreamError::Refused(cause, retry_at(shared, intake, state)));
        }
        if let Some(at) = all_backed_off_until(shared, intake, state.origin, tried)
            .filter(|at| *at >= demand.first_by)
        {
            leave_queue(shared, state);
            shares::on_refused(shared, &demand);
            return Err(StreamError::Refused(Cause::Overload, Some(at)));
        }
        let decision = decide(shared, intake, spec, state, tried, now);
        let lacks_now = || lacks_capacity(shared, intake, spec, state, &demand, now);
        if !matches!(decision, AdmissionDecision::Ask(_))
            && overflow::is_allowed(shared, state)
            && lacks_now()
            && let Some(zone) = overflow::choose_zone(shared, intake, state, &demand)
        {
            if let Some(server) =
                overflow::reserve(shared, intake, state, &demand, length_forecast, zone).await
            {
                leave_queue(shared, state);
                shares::on_admitted(shared, claim, &demand);
                log_placed(shared, intake, spec, &demand, state, &server, joined_at);
                return Ok(server);
            }
            continue;
        }
        match decision {
            AdmissionDecision::Ask(id) => {
                if let Some(server) =
                    reserve_at(shared, spec, state, &id, demand.memory, length_forecast).await
                {
                    urgency::on_admitted(shared, &intake.service, &intake.levels, &demand);
                    leave_queue(shared, state);
                    shares::on_admitted(shared, claim, &demand);
                    log_placed(shared, intake, spec, &demand, state, &server, joined_at);
                    return Ok(server);
                }
            }
            AdmissionDecision::Wait(until) => {
                let timer = std::pin::pin!(compio::time::sleep(until.since(now)));
                select(shared.capacity_freed(), timer).await;
            }
            AdmissionDecision::Refuse(retry_at, shortage) => {
                leave_queue(shared, state);
                shares::on_refused(shared, &demand);
                log_refused(shared, intake, spec, &demand, state, joined_at, shortage);
                return Err(StreamError::Refused(Cause::Overload, Some(retry_at)));
            }
        }
    }
}

/// When the first decode engine accepts requests again, if all that could be asked have asked for
/// a back-off. Engines of other zones count too, since this zone's gateways may ask those zones.
fn all_backed_off_until(
    shared: &Shared,
    intake: &Intake,
    origin: Origin,
    tried: &[ServerId],
) -> Option<Timestamp> {
    let registry = shared.registry.borrow();
    let engines = registry.ready(&intake.service).filter(|s| s.stage == Some(Stage::Decode));
    let left = engines.filter(|s| origin.admits(s) && !tried.contains(&s.id));
    announcements::available_at(shared, left)
}

/// Forecast of the answer's length, as learned for its route.
fn forecast_length(shared: &Shared, intake: &Intake) -> LengthForecast {
    let mut learned = shared.traffic_stats.borrow_mut();
    learned.lengths(&intake.route().name).expect(intake.caller.max_output, intake.caller.hint)
}

/// Order in which the request is admitted.
fn precedence(intake: &Intake) -> Precedence {
    Precedence { level: intake.level, ..Precedence::default() }
}

fn demand(
    shared: &Shared,
    intake: &Intake,
    state: &StreamState,
    length_forecast: LengthForecast,
    now: Timestamp,
) -> Demand {
    let resumed = state.begun;
    let first_by = if resumed { now.after(RESUME_WITHIN) } else { intake.goal_at };
    let prompt = intake.caller.prompt_tokens;
    let read_time = prefill::idle_read_time(shared, &intake.service, prompt);
    let mut learned = shared.service_estimates(&intake.service);
    learned.typical_request.observe(&length_forecast, prompt);
    if !resumed {
        learned.shape.observe(prompt as f64, length_forecast.length());
    }
    let memory = length_forecast.memory_forecast(prompt, state.generated);
    let value = learned.typical_request.value(&length_forecast, prompt);
    let (ends_at, precedence) = (intake.ends_at, precedence(intake));
    Demand { memory, read_time, first_by, ends_at, value, begun: resumed, precedence }
}

fn decide(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    state: &StreamState,
    tried: &[ServerId],
    now: Timestamp,
) -> AdmissionDecision {
    let read_at = prefill::predicted_ready_at(shared, intake, state, now);
    let gateways = shared.gateways_in_scope();
    let registry = shared.registry.borrow();
    let servers = decode_engines(shared, &registry, &intake.service, state.origin)
        .filter(|s| !tried.contains(&s.id));
    let load_reports = shared.load_reports.borrow();
    let ticket = state.ticket.expect("a queued request has a ticket");
    let peer_load = |id: &ServerId| load_reports.peer_load(now, id);
    let demand_now = UrgencySnapshot::new(shared, &intake.service, &intake.levels);
    let urgency = demand_now.context();
    let context = AdmissionContext { engine: spec, read_at, gateways, urgency };
    shared
        .engines
        .borrow()
        .decide(now, ticket, &context, servers, peer_load, || shared.random_fraction())
}

/// True if this zone's engines can't serve the request now.
fn lacks_capacity(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    state: &StreamState,
    demand: &Demand,
    now: Timestamp,
) -> bool {
    let read_at = prefill::predicted_ready_at(shared, intake, state, now);
    let (registry, load_reports) = (shared.registry.borrow(), shared.load_reports.borrow());
    let gateways = shared.gateways_in_scope();
    let demand_now = UrgencySnapshot::new(shared, &intake.service, &intake.levels);
    let urgency = demand_now.context();
    let context = AdmissionContext { engine: spec, read_at, gateways, urgency };
    let servers = decode_engines(shared, &registry, &intake.service, state.origin);
    let peer_load = |id: &ServerId| load_reports.peer_load(now, id);
    shared.engines.borrow().is_short(now, demand, &context, servers, peer_load)
}

/// Checks that a server may write the next events of a stream: one that is ready, be it full, and at
/// an engine service one that decodes.
pub fn check_origin(shared: &Shared, intake: &Intake, origin: Origin) -> Result<(), Cause> {
    match origin {
        Origin::Unstarted => Ok(()),
        Origin::Unknown => Err(Cause::OriginUnknown),
        Origin::Software(_) if has_untried(shared, intake, origin, &[]) => Ok(()),
        Origin::Software(_) => Err(Cause::NoVersion),
    }
}

/// Is there a server that may write the next events and has not failed to?
pub fn has_untried(shared: &Shared, intake: &Intake, origin: Origin, tried: &[ServerId]) -> bool {
    let registry = shared.registry.borrow();
    let mut servers = registry.ready(&intake.service).filter(|s| s.stage != Some(Stage::Prefill));
    origin == Origin::Unstarted || servers.any(|s| origin.admits(s) && !tried.contains(&s.id))
}

/// May a server that was chosen before still write the next events? Another version may have started
/// under its name meanwhile.
pub fn is_admitted_now(shared: &Shared, origin: Origin, server: &Server) -> bool {
    let registry = shared.registry.borrow();
    origin.admits(server) && registry.named(&server.id.name).is_none_or(|now| origin.admits(now))
}

/// A service's decode engines that this gateway uses and that may write the next events of a stream,
/// without those that asked for a back-off.
pub fn decode_engines<'a>(
    shared: &'a Shared,
    registry: &'a ServerRegistry,
    service: &'a str,
    origin: Origin,
) -> impl Iterator<Item = &'a Server> {
    let zone = shared.zone();
    let here = move |s: &&Server| zone.as_ref().is_none_or(|zone| s.zone == *zone);
    let open = |s: &&Server| !announcements::is_unavailable(shared, &s.id);
    registry
        .ready(service)
        .filter(move |s| s.stage == Some(Stage::Decode) && origin.admits(s))
        .filter(here)
        .filter(open)
}

/// Free memory in percent, for the log.
fn free_percent(shared: &Shared, intake: &Intake, spec: &Engine) -> u64 {
    (free_fraction(shared, &intake.service, spec) * 100.0) as u64
}

/// Free fraction of the memory of all decode engines that this gateway uses.
pub fn free_fraction(shared: &Shared, service: &str, spec: &Engine) -> f64 {
    let (now, registry) = (shared.now(), shared.registry.borrow());
    let load_reports = shared.load_reports.borrow();
    let servers: Vec<&Server> =
        decode_engines(shared, &registry, service, Origin::Unstarted).collect();
    let engines = shared.engines.borrow();
    engines.free_fraction(now, &servers, spec, |id| load_reports.peer_load(now, id))
}

/// Number of typical requests that fit into the engines that this gateway uses, with `margin`
/// standard deviations kept free.
pub fn free_slots(shared: &Shared, service: &str, spec: &Engine, margin: f64) -> u32 {
    let typical_memory = shared.service_estimates(service).shape.memory();
    let (now, registry) = (shared.now(), shared.registry.borrow());
    let load_reports = shared.load_reports.borrow();
    let servers: Vec<&Server> =
        decode_engines(shared, &registry, service, Origin::Unstarted).collect();
    let engines = shared.engines.borrow();
    let typical = (typical_memory, margin);
    engines.free_capacity(now, &servers, spec, typical, |id| load_reports.peer_load(now, id))
}

fn leave_queue(shared: &Shared, state: &mut StreamState) {
    if let Some(ticket) = state.ticket.take() {
        shared.engines.borrow_mut().leave(ticket);
    }
    shared.wake_all();
}

/// Asks one engine for a reservation.
async fn reserve_at(
    shared: &Shared,
    spec: &Engine,
    state: &mut StreamState,
    id: &ServerId,
    memory: MemoryForecast,
    length_forecast: LengthForecast,
) -> Option<Server> {
    let server = shared.registry.borrow().get(id).cloned()?;
    state.reservation = Some(Reservation {
        server: server.clone(),
        hold: None,
        memory,
        length_forecast,
        remote: None,
    });
    let hold = reserve(shared, spec, &server, memory).await;
    if let (Some(reservation), Some(hold)) = (&mut state.reservation, hold) {
        reservation.hold = Some(hold);
        return Some(server);
    }
    state.reservation = None;
    None
}

/// Counts memory at an engine and reserves it there. If the engine refuses, the memory is no
/// longer counted, and the engine is not asked again for a while.
pub async fn reserve(
    shared: &Shared,
    spec: &Engine,
    server: &Server,
    memory: MemoryForecast,
) -> Option<Hold> {
    let id = &server.id;
    if !limits::acquire(shared, id, REQUESTS_PER_ANSWER).await {
        return None;
    }
    shared.engines.borrow_mut().on_reserved(id, memory);
    shared.request_report();
    let req = engine::reserve(id, memory.reserved(), spec.hold.as_millis() as u64);
    let answer = announcements::call(shared, server, req, RESERVE_TIMEOUT).await;
    let now = shared.now();
    let hold =
        answer.as_ref().ok().and_then(|a| Some((engine::parse_reservation(a.status, &a.body)?, a)));
    if let Some((hold, answer)) = hold {
        return Some(Hold { id: hold, life: EngineLife::new(id.clone(), answer.watch.clone()) });
    }
    let work = shared.engine_load(id);
    let mut engines = shared.engines.borrow_mut();
    engines.on_released(now, id, memory, false);
    match answer {
        Ok(ServerAnswer { status, .. }) => {
            let EngineLoad { memory: all, count, .. } = work;
            let asked = memory.reserved();
            tracing::info!(
                server = %id, addr = %server.addr, %status, asked, tokens = all.now(),
                peak = all.peak(), count, "engine refused reservation"
            );
            if status != StatusCode::MISDIRECTED_REQUEST {
                shared.metrics.count("gateway.hold.full", 1);
                engines.on_full(now, id);
            }
        }
        Err(e) => {
            tracing::info!(server = %id, error = %e, "can't reach engine");
            // An engine that is leaving or asked for a back-off got no request, so it has no
            // fault.
            if announcements::accepts_requests(shared, id) {
                engines.on_fault(now, id);
            }
        }
    }
    None
}

/// The headroom that a request had to leave, and whether latency goals alone decided, for the log.
fn log_urgency(shared: &Shared, intake: &Intake, demand: &Demand) -> (u32, bool) {
    let demand_now = UrgencySnapshot::new(shared, &intake.service, &intake.levels);
    let urgency = demand_now.context();
    let headroom = urgency.headroom(demand.precedence);
    if intake.levels.is_enabled() {
        if intake.level == intake.levels.least() {
            shared.metrics.gauge("gateway.urgency.headroom", headroom.into());
        }
        shared.metrics.count("gateway.urgency.by_goal", u64::from(urgency.by_goal));
    }
    (headroom, urgency.by_goal)
}

fn log_refused(
    shared: &Shared,
    intake: &Intake,
    spec: &Engine,
    demand: &Demand,
    state: &StreamState,
    joined_at: Timestamp,
    shortage: Shortage,
) {
    let free = free_percent(shared, intake, spec);
    let now = shared.now();
    let ms = now.since(joined_at).as_millis() as u64;
    let read =
        prefill::predicted_ready_at(shared, intake, state, now).since(now).as_millis() as u64;
    let left = intake.goal_at.since(now).as_millis() as u64;
    let waiting = shared.engines.borrow().waiting();
    let (level, over_share) = (demand.precedence.level, demand.precedence.over_share);
    let (headroom, by_goal) = log_urgency(shared, intake, demand);
    if intake.levels.is_urgent(demand.precedence) {
        shared.metrics.count("gateway.urgency.refused", 1);
    }
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(),
        level,
        over_share,
        headroom,
        by_goal,
        ms,
        waiting,
        read,
        left,
        gives = demand.value,
        free,
        account = intake.account.as_ref().map(Account::as_str),
        lack = ?shortage,
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
    demand: &Demand,
    state: &StreamState,
    server: &Server,
    joined_at: Timestamp,
) {
    let hold = state.named_memory().hold.map(|(id, _)| loggable(id));
    let free = free_percent(shared, intake, spec);
    let work = shared.engine_load(&server.id);
    let ms = shared.now().since(joined_at).as_millis() as u64;
    let (level, over_share) = (demand.precedence.level, demand.precedence.over_share);
    let (headroom, by_goal) = log_urgency(shared, intake, demand);
    let speed = speeds::of(shared, &intake.service, &server.id).decode;
    let (factor, factor_age) = (speed.map(|s| s.factor), speed.map(|s| s.age.as_millis() as u64));
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(), level, over_share, headroom, by_goal, server = %server.id, prompt = intake.caller.prompt_tokens,
        output = intake.caller.max_output, hint = intake.caller.hint, tokens = work.memory.now(),
        peak = work.memory.peak(),
        count = work.count, ms, gives = demand.value, free, factor, factor_age,
        version = server.version.as_ref().map(SoftwareVersion::as_str),
        resumes = intake.resumed_attempt(),
        account = intake.account.as_ref().map(Account::as_str), hold, config, roster, age, "placed"
    );
    shared.metrics.time("gateway.place_ms", ms);
}
