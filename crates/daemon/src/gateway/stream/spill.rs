//! A place in another availability zone, for a request that the own one can't serve in time.
//!
//! A gateway there is asked. It knows what its engines have, reserves a place, names a reader, and counts
//! both among its own work until it hears that the request is over or its time is.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Moment;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::engines::{FIRST_EVENT, LATE_READ, Need, View};
use ebonyloft_router::forecast::Profile;
use ebonyloft_router::growth::Growth;
use ebonyloft_router::zones::Scope;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::flight::{Flight, Place};
use super::{place, read};
use crate::gateway::intake::Intake;
use crate::gateway::shared::{Basis, Shared};
use crate::http;

/// Path of places that are asked for, and behind it the number of one that is given back.
pub const PATH: &str = "/place";
/// Longest wait for a gateway of another zone: it asks one engine, which takes a few milliseconds.
const ASK_WAIT: Duration = Duration::from_millis(120);
/// Zones asked for one request.
const ZONES_MAX: usize = 2;
/// Pause between two looks at how far a guest's answer must have come.
const GUEST_LOOK: Duration = Duration::from_millis(400);
/// How many times its expected length a guest's answer may take, after which it counts as over: an end
/// that is not heard of must not keep memory from others for long.
const GUEST_LENGTHS: f64 = 3.0;
/// Beyond that, for the prompt and for an engine that is slow.
const GUEST_MORE: Duration = Duration::from_secs(2);

/// What is asked of a gateway of another zone.
#[derive(Debug, Deserialize, Serialize)]
struct Ask {
    /// Id of the caller's attempt, for the log.
    id: String,
    service: String,
    prompt: u64,
    made: u64,
    growth: Growth,
    gives: f64,
    begun: bool,
    /// Milliseconds until its first event is too late.
    first: u64,
}

/// What it granted.
#[derive(Debug, Deserialize, Serialize)]
struct Grant {
    /// Names it at the gateway that granted it.
    id: u64,
    server: Server,
    hold: String,
    /// The reader, and milliseconds until the prompt would be read.
    reader: Option<(Server, u64)>,
}

/// A place that another gateway counts.
pub struct Loan {
    addr: SocketAddr,
    id: u64,
    /// The reader that it named, and when the prompt would be read.
    pub reader: Option<(Server, Moment)>,
}

impl Loan {
    /// Tells the gateway that the place is not used any more.
    pub fn close(self, shared: &Shared) {
        let mut req = Request::new(Bytes::new());
        *req.method_mut() = Method::DELETE;
        *req.uri_mut() = format!("{PATH}/{}", self.id).parse().expect("a number is a valid path");
        let (pool, addr) = (shared.pool.clone(), self.addr);
        compio::runtime::spawn(async move {
            if let Err(e) = pool.call(addr, req, ASK_WAIT).await {
                // It counts as over by itself, later.
                tracing::debug!(%addr, error = %e, "could not give a place back");
            }
        })
        .detach();
    }
}

/// Places here that requests of other zones have.
#[derive(Default)]
pub struct Guests {
    next: u64,
    open: HashMap<u64, oneshot::Sender<()>>,
}

impl Guests {
    fn enter(&mut self) -> (u64, oneshot::Receiver<()>) {
        self.next += 1;
        let (over, done) = oneshot::channel();
        self.open.insert(self.next, over);
        (self.next, done)
    }
}

/// A gateway of another zone.
pub struct Neighbour {
    zone: String,
    addr: SocketAddr,
}

/// May another zone be asked for this request?
pub fn is_allowed(shared: &Shared, flight: &Flight) -> bool {
    shared.scope() == Scope::Zone && flight.zones.len() < ZONES_MAX
}

/// The zone to ask, if any may have room.
pub fn choose(shared: &Shared, intake: &Intake, flight: &Flight, need: &Need) -> Option<Neighbour> {
    let now = shared.now();
    let within = need.first_by.since(now).checked_sub(FIRST_EVENT).unwrap_or(LATE_READ);
    let digests = shared.digests.borrow();
    let to = digests.spill(now, &intake.service, within, &flight.zones, shared.draw())?;
    Some(Neighbour { zone: to.zone.clone(), addr: to.addr })
}

/// Asks another zone for a place.
pub async fn ask(
    shared: &Shared,
    intake: &Intake,
    flight: &mut Flight,
    need: &Need,
    growth: Growth,
    to: Neighbour,
) -> Option<Server> {
    let now = shared.now();
    let left = need.first_by.since(now);
    let Neighbour { zone, addr } = to;
    flight.zones.push(zone.clone());
    let ask = Ask {
        id: intake.id().to_owned(),
        service: intake.service.clone(),
        prompt: intake.caller.prompt,
        made: flight.made,
        growth,
        gives: need.gives,
        begun: need.begun,
        first: left.as_millis() as u64,
    };
    let grant = send(shared, addr, &ask).await;
    let ms = shared.now().since(now).as_millis() as u64;
    let server = grant.as_ref().map(|g| g.server.id.to_string());
    let Basis { config, roster, age } = shared.basis();
    tracing::info!(
        id = intake.id(), zone = zone.as_str(), peer = %addr, server, ms, config, roster, age, "place elsewhere"
    );
    shared.metrics.count("gateway.spilled", u64::from(grant.is_some()));
    if grant.is_none() {
        shared.digests.borrow_mut().full(shared.now(), &zone);
    }
    let Grant { id, server, hold, reader } = grant?;
    let reader = reader.map(|(s, ms)| (s, shared.now().after(Duration::from_millis(ms))));
    let memory = need.memory;
    shared.engines.borrow_mut().placed(&server.id, memory);
    let loan = Some(Loan { addr, id, reader });
    flight.place = Some(Place { server: server.clone(), hold: Some(hold), memory, growth, loan });
    Some(server)
}

async fn send(shared: &Shared, addr: SocketAddr, ask: &Ask) -> Option<Grant> {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(ask, &mut bytes) {
        tracing::error!(error = %e, "question not encoded");
        return None;
    }
    let mut req = Request::new(Bytes::from(bytes));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = PATH.parse().expect("a fixed path is valid");
    match shared.pool.call(addr, req, ASK_WAIT).await {
        Ok((StatusCode::OK, body)) => ciborium::from_reader(&body[..])
            .inspect_err(|e| tracing::warn!(%addr, error = %e, "grant unread"))
            .ok(),
        Ok(_) => None,
        Err(e) => {
            tracing::info!(%addr, error = %e, "gateway of another zone not reached");
            None
        }
    }
}

/// Answers a gateway of another zone.
pub async fn serve(shared: Rc<Shared>, req: Request<Incoming>) -> Response<http::Body> {
    let (parts, body) = req.into_parts();
    if parts.method == Method::DELETE {
        let id = parts.uri.path().rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        // The guest's task notices that its sender is gone.
        let known = id.and_then(|id| shared.guests.borrow_mut().open.remove(&id));
        let status = if known.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
        return http::response(status, "text/plain", http::full(""));
    }
    let refused = |status| http::response(status, "text/plain", http::full(""));
    let Ok(body) = body.collect().await else {
        return refused(StatusCode::BAD_REQUEST);
    };
    let Ok(ask) = ciborium::from_reader::<Ask, _>(&body.to_bytes()[..]) else {
        return refused(StatusCode::BAD_REQUEST);
    };
    // A task of its own: what it counts is given back also when the other gateway hangs up.
    let (tell, told) = oneshot::channel();
    compio::runtime::spawn(lend(shared, ask, tell)).detach();
    let Ok(grant) = told.await else {
        return refused(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut bytes = Vec::new();
    match ciborium::into_writer(&grant, &mut bytes) {
        Ok(()) => http::response(StatusCode::OK, "application/cbor", http::full(bytes)),
        Err(e) => {
            tracing::error!(error = %e, "grant not encoded");
            refused(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn lend(shared: Rc<Shared>, ask: Ask, tell: oneshot::Sender<Grant>) {
    let now = shared.now();
    let spec = shared.config().and_then(|c| c.service(&ask.service)?.engine.clone());
    let Some(spec) = spec.filter(|_| !shared.is_stopping()) else {
        return;
    };
    let memory = ask.growth.profile(ask.prompt, ask.made);
    let first_by = now.after(Duration::from_millis(ask.first));
    // It waits at the gateway that asks.
    let (gives, begun) = (ask.gives, ask.begun);
    let need = Need { memory, first_by, ends_at: first_by, gives, begun };
    let reader = read::nearest(&shared, &ask.service, ask.prompt, now);
    let read_at = match &reader {
        Some((_, at)) => *at,
        None => read::alone(&shared, &ask.service, ask.prompt, now),
    };
    let view = View { engine: &spec, read_at, entries: shared.neighbours() };
    let Some(server) = engine_for(&shared, &ask.service, &need, &view) else {
        return log(&shared, &ask, &view, None);
    };
    shared.engines.borrow_mut().placed(&server.id, memory);
    let Some(hold) = place::reserve(&shared, &spec, &server, memory).await else {
        shared.engines.borrow_mut().freed(now, &server.id, memory, false);
        return log(&shared, &ask, &view, None);
    };
    log(&shared, &ask, &view, Some(&server.id));
    if let Some((reader, _)) = &reader {
        shared.engines.borrow_mut().reading(&reader.id, ask.prompt);
    }
    shared.note_news();
    let (id, done) = shared.guests.borrow_mut().enter();
    let mut guest = Guest { server: server.id.clone(), memory, growth: ask.growth, reading: None };
    guest.reading = reader.as_ref().map(|(s, _)| (s.id.clone(), ask.prompt));
    let reader = reader.map(|(s, at)| (s, at.since(shared.now()).as_millis() as u64));
    if tell.send(Grant { id, server, hold, reader }).is_ok() {
        guest.stay(&shared, &ask, read_at, done).await;
    }
    shared.guests.borrow_mut().open.remove(&id);
    guest.close(&shared);
}

fn log(shared: &Shared, ask: &Ask, view: &View<'_>, server: Option<&ServerId>) {
    let free = (place::free(shared, &ask.service, view.engine) * 100.0) as u64;
    let waiting = shared.engines.borrow().waiting();
    let read = view.read_at.since(shared.now()).as_millis() as u64;
    let Basis { config, roster, age } = shared.basis();
    let server = server.map(ToString::to_string);
    let word = if server.is_some() { "place lent" } else { "no place lent" };
    let Ask { id, gives, .. } = ask;
    tracing::info!(id, server, gives, free, waiting, read, config, roster, age, "{word}");
}

fn engine_for(shared: &Shared, service: &str, need: &Need, view: &View<'_>) -> Option<Server> {
    let (now, roster, shares) = (shared.now(), shared.roster.borrow(), shared.shares.borrow());
    let servers = place::writers(shared, &roster, service);
    let work = |id: &ServerId| shares.work(now, id);
    let engines = shared.engines.borrow();
    let id = engines.lend(now, need, view, servers, work, || shared.draw())?;
    roster.get(&id).cloned()
}

/// A request of another zone at an engine of this one.
struct Guest {
    server: ServerId,
    memory: Profile,
    growth: Growth,
    /// Its prompt, until it should have been read.
    reading: Option<(ServerId, u64)>,
}

impl Guest {
    /// Follows how far its answer must have come, until it is over.
    async fn stay(
        &mut self,
        shared: &Shared,
        ask: &Ask,
        read_at: Moment,
        done: oneshot::Receiver<()>,
    ) {
        let token = shared.service(&ask.service).shape.token();
        let length = token.mul_f64(self.growth.length() * GUEST_LENGTHS);
        let until = read_at.after(length).after(GUEST_MORE);
        let mut done = done;
        while shared.now() < until {
            let timer = std::pin::pin!(compio::time::sleep(GUEST_LOOK));
            if let Either::Left(_) = select(&mut done, timer).await {
                return;
            }
            let now = shared.now();
            if now < read_at {
                continue;
            }
            self.read(shared);
            let written = now.since(read_at).as_secs_f64() / token.as_secs_f64().max(1e-6);
            let after = self.growth.profile(ask.prompt, ask.made + written as u64);
            shared.engines.borrow_mut().grown(&self.server, self.memory, after);
            self.memory = after;
        }
        tracing::info!(server = %self.server, "place of another zone counts as free: no end was heard");
    }

    fn read(&mut self, shared: &Shared) {
        if let Some((id, prompt)) = self.reading.take() {
            shared.engines.borrow_mut().read(&id, prompt);
        }
    }

    fn close(mut self, shared: &Shared) {
        self.read(shared);
        shared.engines.borrow_mut().freed(shared.now(), &self.server, self.memory, true);
        shared.note_news();
        shared.wake_all();
    }
}
