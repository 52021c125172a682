//! Places at this zone's engines for requests of other zones, which their gateways ask for (`spill`).

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::engines::{Need, View};
use ebonyloft_router::forecast::Profile;
use ebonyloft_router::growth::Growth;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::spill::{Ask, Grant};
use super::{place, read};
use crate::gateway::shared::{Basis, Shared};
use crate::http;

/// Pause between two looks at how far a guest's answer must have come.
const GUEST_LOOK: Duration = Duration::from_millis(400);
/// How many times its expected length a guest's answer may take, after which it counts as over: an end
/// that is not heard of must not keep memory from others for long.
const GUEST_LENGTHS: f64 = 3.0;
/// Beyond that, for the prompt and for an engine that is slow.
const GUEST_MORE: Duration = Duration::from_secs(2);

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

/// Answers a gateway of another zone.
pub async fn serve(shared: Rc<Shared>, req: Request<Incoming>) -> Response<http::Body> {
    let (parts, body) = req.into_parts();
    if parts.method == Method::DELETE {
        let id = parts.uri.path().rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        // The guest's task notices that its sender is gone.
        let known = id.and_then(|id| shared.incoming.borrow_mut().open.remove(&id));
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
    let view = View { engine: &spec, read_at, entries: shared.gateways_in_scope() };
    let Some(server) = engine_for(&shared, &ask.service, &need, &view) else {
        return log(&shared, &ask, &view, None);
    };
    let Some(hold) = place::reserve(&shared, &spec, &server, memory).await else {
        return log(&shared, &ask, &view, None);
    };
    log(&shared, &ask, &view, Some(&server.id));
    if let Some((reader, _)) = &reader {
        shared.engines.borrow_mut().reading(&reader.id, ask.prompt);
    }
    shared.request_report();
    let (id, done) = shared.incoming.borrow_mut().enter();
    let mut guest = Guest { server: server.id.clone(), memory, growth: ask.growth, reading: None };
    guest.reading = reader.as_ref().map(|(s, _)| (s.id.clone(), ask.prompt));
    let reader = reader.map(|(s, at)| (s, at.since(shared.now()).as_millis() as u64));
    if tell.send(Grant { id, server, hold, reader }).is_ok() {
        guest.stay(&shared, &ask, read_at, done).await;
    }
    shared.incoming.borrow_mut().open.remove(&id);
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
        read_at: Timestamp,
        done: oneshot::Receiver<()>,
    ) {
        let token = shared.service_estimates(&ask.service).shape.token();
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
        shared.request_report();
        shared.wake_all();
    }
}
