//! A place in another availability zone, for a request that the own one can't serve in time.
//!
//! A gateway there is asked (`lend` is its part). It knows what its engines have, reserves a place, names a
//! reader, and counts both among its own work until it hears that the request is over or its time is.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::Server;
use ebonyloft_router::engines::{FIRST_EVENT, LATE_READ, Need};
use ebonyloft_router::growth::Growth;
use ebonyloft_router::zones::Scope;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use super::flight::{Flight, Place};
use crate::gateway::intake::Intake;
use crate::gateway::shared::{Basis, Shared};

/// Path of places that are asked for, and behind it the number of one that is given back.
pub const PATH: &str = "/place";
/// Longest wait for a gateway of another zone: it asks one engine, which takes a few milliseconds.
const ASK_WAIT: Duration = Duration::from_millis(120);
/// Zones asked for one request.
const ZONES_MAX: usize = 3;

/// What is asked of a gateway of another zone.
#[derive(Debug, Deserialize, Serialize)]
pub struct Ask {
    /// Id of the caller's attempt, for the log.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer that its caller has already.
    pub made: u64,
    /// What is expected of the answer.
    pub growth: Growth,
    /// What it gives for its memory, against the usual request.
    pub gives: f64,
    /// Its caller has a part of the answer already.
    pub begun: bool,
    /// Milliseconds until its first event is too late.
    pub first: u64,
}

/// What it granted.
#[derive(Debug, Deserialize, Serialize)]
pub struct Grant {
    /// Names it at the gateway that granted it.
    pub id: u64,
    /// The engine that writes the answer.
    pub server: Server,
    /// Names the reservation there.
    pub hold: String,
    /// The reader, and milliseconds until the prompt would be read.
    pub reader: Option<(Server, u64)>,
}

/// A place that another gateway counts.
pub struct Loan {
    addr: SocketAddr,
    id: u64,
    /// The reader that it named, and when the prompt would be read.
    pub reader: Option<(Server, Timestamp)>,
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
