//! What a stream holds at backend servers at any moment, so that all of it is given back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::{engine, headers};
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::engines::Ticket;
use ebonyloft_router::forecast::Profile;
use ebonyloft_router::growth::Growth;
use ebonyloft_router::outcome::Progress;
use hyper::{HeaderMap, Request};

use super::spill::Loan;
use crate::gateway::quarantine::{EARLY, Run};
use crate::gateway::said;
use crate::gateway::shared::Shared;

/// Longest wait for a reservation or a handle to be given back; both also lapse by themselves.
const GIVE_BACK_WAIT: Duration = Duration::from_millis(300);

/// A reserved place.
pub struct Place {
    /// The engine.
    pub server: Server,
    /// Names the reservation; none when the engine was not asked for one.
    pub hold: Option<String>,
    /// Memory counted for it.
    pub memory: Profile,
    /// What is expected of the answer.
    pub growth: Growth,
    /// Set when a gateway of another zone counts it.
    pub loan: Option<Loan>,
}

/// A prompt that was read.
pub struct Source {
    /// The engine that read it.
    pub id: ServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// Names the memory there.
    pub handle: String,
    /// Until when it is surely there.
    pub until: Timestamp,
}

/// What one request holds.
pub struct Flight {
    /// Sends so far.
    pub progress: Progress,
    /// Its turn in the line for places.
    pub ticket: Option<Ticket>,
    /// Where a send is under way, of the request or of its prompt, and since when.
    pub open: Option<(Server, Timestamp)>,
    /// Its place.
    pub place: Option<Place>,
    /// Other zones that were asked for a place.
    pub zones: Vec<String>,
    /// Its prompt being read.
    pub reading: Option<(ServerId, u64)>,
    /// Its prompt, read.
    pub source: Option<Source>,
    /// Tokens of the answer made so far.
    pub made: u64,
    /// When the first event of the present run came.
    pub advanced_at: Option<Timestamp>,
    /// Longest pause before an event, the first one after the head of the answer included.
    pub pause: Duration,
}

impl Flight {
    /// Holds nothing.
    pub fn new(progress: Progress) -> Self {
        Flight {
            progress,
            ticket: None,
            open: None,
            place: None,
            zones: Vec::new(),
            reading: None,
            source: None,
            made: 0,
            advanced_at: None,
            pause: Duration::ZERO,
        }
    }

    /// How far the present run has come.
    pub fn run(&self, now: Timestamp) -> Run {
        match self.advanced_at {
            Some(at) if now >= at.after(EARLY) => Run::Advanced,
            _ => Run::Begun,
        }
    }

    /// Names the place and the prompt in the request for the engine.
    pub fn decorate(&self, headers: &mut HeaderMap) {
        if let Some(hold) = self.place.as_ref().and_then(|p| p.hold.as_deref()) {
            headers::set_hold(headers, hold);
        }
        if let Some(source) = &self.source {
            headers::set_source(headers, source.addr, &source.handle);
        }
    }

    /// The engine took the request: reservation and handle are used up.
    pub fn used(&mut self) {
        if let Some(place) = &mut self.place {
            place.hold = None;
        }
        self.source = None;
    }

    /// The answer has so many tokens now.
    pub fn note_made(&mut self, shared: &Shared, prompt: u64, made: u64) {
        self.made = made;
        if let Some(place) = &mut self.place {
            let after = place.growth.profile(prompt, made);
            shared.engines.borrow_mut().grown(&place.server.id, place.memory, after);
            place.memory = after;
        }
    }

    /// Gives everything back; `whole` when an answer ended.
    pub fn release(&mut self, shared: &Shared, now: Timestamp, whole: bool) {
        if let Some(ticket) = self.ticket.take() {
            shared.engines.borrow_mut().leave(ticket);
        }
        if let Some((id, tokens)) = self.reading.take() {
            shared.engines.borrow_mut().read(&id, tokens);
        }
        self.drop_source(shared);
        self.free_place(shared, now, whole);
        shared.wake_all();
    }

    /// Frees the prompt that was read.
    pub fn drop_source(&mut self, shared: &Shared) {
        if let Some(source) = self.source.take() {
            let req = engine::drop_handle(&source.id, &source.handle);
            give_back(shared, &source.id, source.addr, req);
        }
    }

    /// Gives the place back and keeps the prompt that was read.
    pub fn give_up_place(&mut self, shared: &Shared, now: Timestamp) {
        self.free_place(shared, now, false);
        shared.wake_all();
    }

    fn free_place(&mut self, shared: &Shared, now: Timestamp, whole: bool) {
        let Some(place) = self.place.take() else {
            return;
        };
        let Place { server, hold, memory, loan, .. } = place;
        if let Some(loan) = loan {
            loan.close(shared);
        }
        if let Some(hold) = hold {
            give_back(shared, &server.id, server.addr, engine::drop_hold(&server.id, &hold));
        }
        shared.engines.borrow_mut().freed(now, &server.id, memory, whole);
        shared.request_report();
    }

    /// The request is over.
    pub fn close(mut self, shared: &Shared, whole: bool) {
        self.release(shared, shared.now(), whole);
    }
}

fn give_back(shared: &Shared, id: &ServerId, addr: SocketAddr, req: Request<Bytes>) {
    if said::rests(shared, id) || shared.limits.borrow().of(id).is_some() {
        // It lapses by itself, and the engine wants nothing, or little.
        return;
    }
    let pool = shared.pool.clone();
    compio::runtime::spawn(async move {
        if let Err(e) = pool.call(addr, req, GIVE_BACK_WAIT).await {
            // It lapses by itself within two seconds.
            tracing::debug!(%addr, error = %e, "could not give memory back");
        }
    })
    .detach();
}
