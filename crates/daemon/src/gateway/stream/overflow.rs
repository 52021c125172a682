//! Overflow: a request that this availability zone can't serve in time is placed in another zone.
//!
//! A gateway there is asked (`incoming` is its side). It knows its zone's engines, reserves
//! memory, names a prefill engine, and counts both as its own load until the request is released
//! or times out.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::answer_length::LengthForecast;
use ebonyloft_router::catalog::Server;
use ebonyloft_router::demand::{Demand, FIRST_EVENT, LATE_PREFILL_MAX};
use ebonyloft_router::part_blame::PromptParts;
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::stream_origin::SoftwareId;
use ebonyloft_router::zones::Scope;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use super::admission;
use super::state::{Hold, Reservation, StreamState};
use crate::gateway::engine_life::EngineLife;
use crate::gateway::intake::Intake;
use crate::gateway::pool::loggable;
use crate::gateway::shared::{Shared, SnapshotVersion};

/// Path for reservation requests, followed by `/` and the grant's id to release one.
pub const PATH: &str = "/place";
/// Timeout of a request to a gateway of another zone, which asks one engine; that takes a few
/// milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(120);
/// Most zones asked for one request.
const ZONES_MAX: usize = 3;

/// A request for a reservation, sent to a gateway of another zone.
#[derive(Debug, Deserialize, Serialize)]
pub struct ReservationRequest {
    /// Id of the caller's attempt, for the log.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer that the caller already has.
    pub made: u64,
    /// Forecast of the answer's length.
    pub growth: LengthForecast,
    /// Value of the request per memory, relative to a typical request.
    pub gives: f64,
    /// True if the caller already has part of the answer.
    pub begun: bool,
    /// Milliseconds until the first event is too late.
    pub first: u64,
    /// Order in which the request is admitted; if absent, it has the least urgent level.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub precedence: Option<Precedence>,
    /// The software that must write the next events, if the caller has some.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareId>,
    /// Shared parts of the prompt.
    #[serde(default, skip_serializing_if = "PromptParts::is_empty")]
    pub parts: PromptParts,
}

/// A reservation granted by a gateway of another zone.
#[derive(Debug, Deserialize, Serialize)]
pub struct Grant {
    /// Id of the reservation at the granting gateway.
    pub id: u64,
    /// The decode engine.
    pub server: Server,
    /// Id of the reservation at the decode engine.
    pub hold: String,
    /// The prefill engine, and milliseconds until the prompt would be read.
    pub reader: Option<(Server, u64)>,
}

/// A reservation made by a gateway of another zone.
pub struct RemoteReservation {
    addr: SocketAddr,
    id: u64,
    /// The prefill engine named in the grant, and when the prompt would be read.
    pub prefill_engine: Option<(Server, Timestamp)>,
}

impl RemoteReservation {
    /// Tells the granting gateway that the reservation is no longer used.
    pub fn close(self, shared: &Shared) {
        let mut req = Request::new(Bytes::new());
        *req.method_mut() = Method::DELETE;
        *req.uri_mut() = format!("{PATH}/{}", self.id).parse().expect("a number is a valid path");
        let (pool, addr) = (shared.pool.clone(), self.addr);
        compio::runtime::spawn(async move {
            if let Err(e) = pool.call(addr, req, REQUEST_TIMEOUT).await {
                // The granting gateway times the reservation out later.
                tracing::debug!(%addr, error = %e, "can't release reservation in another zone");
            }
        })
        .detach();
    }
}

/// A gateway of another zone that is asked.
pub struct TargetZone {
    zone: String,
    addr: SocketAddr,
}

/// True if another zone may be asked for this request.
pub fn is_allowed(shared: &Shared, state: &StreamState) -> bool {
    shared.scope() == Scope::Zone && state.zones_asked.len() < ZONES_MAX
}

/// The zone to ask, if any may have capacity.
pub fn choose_zone(
    shared: &Shared,
    intake: &Intake,
    state: &StreamState,
    demand: &Demand,
) -> Option<TargetZone> {
    let now = shared.now();
    let within = demand.first_by.since(now).checked_sub(FIRST_EVENT).unwrap_or(LATE_PREFILL_MAX);
    let summaries = shared.zone_summaries.borrow();
    let to = summaries.overflow_target(
        now,
        (&intake.service, is_most_urgent(intake, demand)),
        within,
        &state.zones_asked,
        shared.random_fraction(),
    )?;
    Some(TargetZone { zone: to.zone.clone(), addr: to.addr })
}

/// True if the request has the most urgent of several levels.
fn is_most_urgent(intake: &Intake, demand: &Demand) -> bool {
    intake.levels.is_enabled() && demand.precedence == Precedence::default()
}

/// Asks another zone for a reservation.
pub async fn reserve(
    shared: &Shared,
    intake: &Intake,
    state: &mut StreamState,
    demand: &Demand,
    length_forecast: LengthForecast,
    to: TargetZone,
) -> Option<Server> {
    let now = shared.now();
    let left = demand.first_by.since(now);
    let TargetZone { zone, addr } = to;
    state.zones_asked.push(zone.clone());
    let request = ReservationRequest {
        id: intake.id().to_owned(),
        service: intake.service.clone(),
        prompt: intake.caller.prompt_tokens,
        made: state.generated,
        growth: length_forecast,
        gives: demand.value,
        begun: demand.begun,
        first: left.as_millis() as u64,
        precedence: (intake.levels.is_enabled() || demand.precedence.over_share)
            .then_some(demand.precedence),
        software: state.origin.software(),
        parts: intake.parts.clone(),
    };
    let grant = request_grant(shared, addr, &request).await;
    let ms = shared.now().since(now).as_millis() as u64;
    let server = grant.as_ref().map(|g| g.server.id.to_string());
    let hold = grant.as_ref().map(|g| loggable(&g.hold));
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(), zone = zone.as_str(), peer = %addr, server, hold, ms,
        config, roster, age, "reservation in another zone requested"
    );
    shared.metrics.count("gateway.spilled", u64::from(grant.is_some()));
    if grant.is_none() {
        let urgent = is_most_urgent(intake, demand);
        shared.zone_summaries.borrow_mut().on_refused(shared.now(), &zone, urgent);
    }
    let Grant { id, server, hold, reader } = grant?;
    // A gateway of an older release grants any engine, and does not name its version.
    let server = shared.registry.borrow().get(&server.id).cloned().unwrap_or(server);
    let prefill_engine = reader.map(|(s, ms)| (s, shared.now().after(Duration::from_millis(ms))));
    let memory = demand.memory;
    shared.engines.borrow_mut().on_reserved(&server.id, memory);
    let remote = Some(RemoteReservation { addr, id, prefill_engine });
    state.reservation = Some(Reservation {
        server: server.clone(),
        hold: Some(Hold { id: hold, life: EngineLife::unwatched(server.id.clone()) }),
        memory,
        length_forecast,
        remote,
    });
    if !admission::is_admitted_now(shared, state.origin, &server) {
        tracing::info!(
            id = intake.id(), zone = zone.as_str(), server = %server.id,
            "reservation not used: the engine has another version than the one that began the stream"
        );
        shared.metrics.count("gateway.origin.grants_unused", 1);
        state.drop_reservation(shared, shared.now());
        return None;
    }
    Some(server)
}

async fn request_grant(
    shared: &Shared,
    addr: SocketAddr,
    request: &ReservationRequest,
) -> Option<Grant> {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(request, &mut bytes) {
        tracing::error!(error = %e, "can't encode reservation request");
        return None;
    }
    let mut req = Request::new(Bytes::from(bytes));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = PATH.parse().expect("a fixed path is valid");
    match shared.pool.call(addr, req, REQUEST_TIMEOUT).await {
        Ok((StatusCode::OK, body)) => ciborium::from_reader(&body[..])
            .inspect_err(|e| tracing::warn!(%addr, error = %e, "can't decode grant"))
            .ok(),
        Ok(_) => None,
        Err(e) => {
            tracing::info!(%addr, error = %e, "can't reach gateway of another zone");
            None
        }
    }
}
