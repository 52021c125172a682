//! Reservations at this zone's engines for requests of other zones, made when their gateways ask
//! (`overflow`).

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::answer_length::LengthForecast;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::demand::Demand;
use ebonyloft_router::engine_load::Prompt;
use ebonyloft_router::engines::AdmissionContext;
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::stream_origin::Origin;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::overflow::{Grant, ReservationRequest};
use super::urgency::UrgencySnapshot;
use super::{admission, prefill, urgency};
use crate::gateway::intake::digits;
use crate::gateway::part_blame;
use crate::gateway::shared::{Shared, SnapshotVersion};
use crate::http;

/// Interval at which the expected progress of such a request's answer is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);
/// How many times its expected length an answer may take before it counts as ended: if the release
/// is lost, the memory must not be counted for long.
const LENGTH_FACTOR_MAX: f64 = 3.0;
/// Largest request for a reservation, in bytes.
const REQUEST_MAX: usize = 1 << 20;
/// Added to that, for reading the prompt and for slow engines.
const EXTRA_TIME: Duration = Duration::from_secs(2);

/// Reservations here that serve requests of other zones.
#[derive(Default)]
pub struct IncomingReservations {
    /// By the ids of the grants, which the next life of this gateway must not give again.
    open: HashMap<u64, oneshot::Sender<()>>,
}

impl IncomingReservations {
    fn insert(&mut self, id: u64) -> oneshot::Receiver<()> {
        let (done_sender, done) = oneshot::channel();
        self.open.insert(id, done_sender);
        done
    }
}

/// Serves requests of gateways of other zones: POST makes a reservation, DELETE ends it.
pub async fn serve(shared: Rc<Shared>, req: Request<Incoming>) -> Response<http::Body> {
    let (parts, body) = req.into_parts();
    if parts.method == Method::DELETE {
        let id = parts.uri.path().rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        // Dropping the sender ends the task that tracks the reservation.
        let known = id.and_then(|id| shared.incoming.borrow_mut().open.remove(&id));
        let status = if known.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
        return http::response(status, "text/plain", http::full_body(""));
    }
    let refused = |status| http::response(status, "text/plain", http::full_body(""));
    let Some(body) = http::read_body(body, REQUEST_MAX).await else {
        return refused(StatusCode::BAD_REQUEST);
    };
    let Ok(request) = ciborium::from_reader::<ReservationRequest, _>(&body[..]) else {
        return refused(StatusCode::BAD_REQUEST);
    };
    // A task of its own releases what it counted even if the other gateway disconnects.
    let (grant_sender, grant_receiver) = oneshot::channel();
    compio::runtime::spawn(make_grant(shared, request, grant_sender)).detach();
    let Ok(grant) = grant_receiver.await else {
        return refused(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut bytes = Vec::new();
    match ciborium::into_writer(&grant, &mut bytes) {
        Ok(()) => http::response(StatusCode::OK, "application/cbor", http::full_body(bytes)),
        Err(e) => {
            tracing::error!(error = %e, "can't encode grant");
            refused(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn make_grant(
    shared: Rc<Shared>,
    request: ReservationRequest,
    grant_sender: oneshot::Sender<Grant>,
) {
    let now = shared.now();
    let Some(config) = shared.config().filter(|_| !shared.is_stopping()) else {
        return;
    };
    let Some(spec) = config.service(&request.service).and_then(|s| s.engine.clone()) else {
        return;
    };
    if part_blame::is_refused_by_any(&shared, &request.parts, &request.service) {
        tracing::info!(
            id = request.id,
            parts = digits(&request.parts),
            "reservation refused: a part of the prompt crashes servers"
        );
        return;
    }
    let levels = shared.urgency_levels(&config, &request.service);
    let memory = request.growth.memory_forecast(request.prompt, request.made);
    let first_by = now.after(Duration::from_millis(request.first));
    // The request waits at the gateway that asks, not here, so both deadlines are the same.
    let (value, begun) = (request.gives, request.begun);
    let read_time = prefill::idle_read_time(&shared, &request.service, request.prompt);
    let least = Precedence { level: levels.least(), ..Precedence::default() };
    let mut precedence = request.precedence.unwrap_or(least);
    // The other gateway may have another configuration.
    precedence.level = precedence.level.min(least.level);
    urgency::on_arrival(&shared, &request.service, now, precedence);
    let demand =
        Demand { memory, read_time, first_by, ends_at: first_by, value, begun, precedence };
    let urgent = levels.is_urgent(precedence) && !demand.is_late(now);
    let prompt = Prompt { tokens: request.prompt, urgent };
    let prefill_engine = prefill::fastest_engine(&shared, &request.service, prompt, now);
    let read_at = match &prefill_engine {
        Some((_, at)) => *at,
        None => prefill::local_ready_at(&shared, &request.service, request.prompt, now),
    };
    let gateways = shared.gateways_in_scope();
    let demand_now = UrgencySnapshot::new(&shared, &request.service, &levels);
    let context =
        AdmissionContext { engine: &spec, read_at, gateways, urgency: demand_now.context() };
    let Some(server) = choose_engine(&shared, &request, &demand, &context) else {
        return log_result(&shared, &request, &context, None);
    };
    let Some(hold) = admission::reserve(&shared, &spec, &server, memory).await else {
        return log_result(&shared, &request, &context, None);
    };
    urgency::on_admitted(&shared, &request.service, &levels, &demand);
    log_result(&shared, &request, &context, Some(&server.id));
    if let Some((prefill_engine, _)) = &prefill_engine {
        shared.engines.borrow_mut().on_prefill_sent(&prefill_engine.id, prompt);
    }
    shared.request_report();
    let id = shared.random_id();
    let done = shared.incoming.borrow_mut().insert(id);
    let mut reservation = IncomingReservation {
        server: server.id.clone(),
        memory,
        length_forecast: request.growth,
        prefilling: None,
    };
    reservation.prefilling = prefill_engine.as_ref().map(|(s, _)| (s.id.clone(), prompt));
    let prefill_engine =
        prefill_engine.map(|(s, at)| (s, at.since(shared.now()).as_millis() as u64));
    if grant_sender.send(Grant { id, server, hold: hold.id, reader: prefill_engine }).is_ok() {
        reservation.track(&shared, &request, read_at, done).await;
    }
    shared.incoming.borrow_mut().open.remove(&id);
    reservation.close(&shared);
}

fn log_result(
    shared: &Shared,
    request: &ReservationRequest,
    context: &AdmissionContext<'_>,
    server: Option<&ServerId>,
) {
    let free = (admission::free_fraction(shared, &request.service, context.engine) * 100.0) as u64;
    let waiting = shared.engines.borrow().waiting();
    let read = context.read_at.since(shared.now()).as_millis() as u64;
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    let server = server.map(ToString::to_string);
    let message = if server.is_some() {
        "reservation granted to another zone"
    } else {
        "reservation refused to another zone"
    };
    let ReservationRequest { id, gives, precedence, .. } = request;
    let level = precedence.map(|p| p.level);
    tracing::info!(id, level, server, gives, free, waiting, read, config, roster, age, "{message}");
}

fn choose_engine(
    shared: &Shared,
    request: &ReservationRequest,
    demand: &Demand,
    context: &AdmissionContext<'_>,
) -> Option<Server> {
    let (now, registry, load_reports) =
        (shared.now(), shared.registry.borrow(), shared.load_reports.borrow());
    let origin = request.software.map_or(Origin::Unstarted, Origin::Software);
    let servers = admission::decode_engines(shared, &registry, &request.service, origin);
    let peer_load = |id: &ServerId| load_reports.peer_load(now, id);
    let engines = shared.engines.borrow();
    let id =
        engines.grant(now, demand, context, servers, peer_load, || shared.random_fraction())?;
    registry.get(&id).cloned()
}

/// A request of another zone at an engine of this one.
struct IncomingReservation {
    server: ServerId,
    memory: MemoryForecast,
    length_forecast: LengthForecast,
    /// The prefill engine and the prompt, until the prompt should have been read.
    prefilling: Option<(ServerId, Prompt)>,
}

impl IncomingReservation {
    /// Updates the memory forecast by the expected progress of the answer until it ends.
    async fn track(
        &mut self,
        shared: &Shared,
        request: &ReservationRequest,
        read_at: Timestamp,
        done: oneshot::Receiver<()>,
    ) {
        let token = shared.service_estimates(&request.service).shape.token();
        let length = token.mul_f64(self.length_forecast.length() * LENGTH_FACTOR_MAX);
        let until = read_at.after(length).after(EXTRA_TIME);
        let mut done = done;
        while shared.now() < until {
            let timer = std::pin::pin!(compio::time::sleep(UPDATE_INTERVAL));
            if let Either::Left(_) = select(&mut done, timer).await {
                return;
            }
            let now = shared.now();
            if now < read_at {
                continue;
            }
            self.end_prefill(shared);
            let generated = now.since(read_at).as_secs_f64() / token.as_secs_f64().max(1e-6);
            let after = self
                .length_forecast
                .memory_forecast(request.prompt, request.made + generated as u64);
            shared.engines.borrow_mut().update_forecast(&self.server, self.memory, after);
            self.memory = after;
        }
        tracing::info!(
            server = %self.server,
            "reservation of another zone timed out: its release was not received"
        );
    }

    fn end_prefill(&mut self, shared: &Shared) {
        if let Some((id, prompt)) = self.prefilling.take() {
            shared.engines.borrow_mut().on_prefill_ended(&id, prompt);
        }
    }

    fn close(mut self, shared: &Shared) {
        self.end_prefill(shared);
        shared.engines.borrow_mut().on_released(shared.now(), &self.server, self.memory, true);
        shared.request_report();
        shared.wake_all();
    }
}
