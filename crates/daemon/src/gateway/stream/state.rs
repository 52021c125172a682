//! What a stream holds at backend servers, so that all of it is released at the end.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::{engine, headers};
use ebonyloft_router::answer_length::LengthForecast;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::engine_load::Prompt;
use ebonyloft_router::engines::Ticket;
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::outcome::Progress;
use ebonyloft_router::stream_origin::Origin;
use ebonyloft_router::wasted_prefill::WastedPrefill;
use hyper::{HeaderMap, Request};

use super::migration::{self, Migration, MovableRun};
use super::overflow::RemoteReservation;
use super::{STALL_TIMEOUT, wasted_prefill};
use crate::gateway::announcements;
use crate::gateway::engine_life::EngineLife;
use crate::gateway::pool::loggable;
use crate::gateway::quarantine::{EARLY_WINDOW, RunStage, Sent};
use crate::gateway::send::{NamedMemory, NamedPrompt};
use crate::gateway::shared::Shared;

/// Timeout of releasing a reservation or a prompt handle; both also expire by themselves.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Memory reserved at a decode engine.
pub struct Reservation {
    /// The engine.
    pub server: Server,
    /// Its name at the engine; none if there is none or it was used.
    pub hold: Option<Hold>,
    /// Memory counted for the request.
    pub memory: MemoryForecast,
    /// Forecast of the answer's length.
    pub length_forecast: LengthForecast,
    /// Set if a gateway of another zone made the reservation.
    pub remote: Option<RemoteReservation>,
}

/// Name of a reservation.
pub struct Hold {
    /// Its id at the engine.
    pub id: String,
    /// The life of the engine in which it is valid.
    pub life: EngineLife,
}

/// A prompt read by a prefill engine.
pub struct PrefillHandle {
    /// The engine that named it: the prefill engine, or the one that a run has left.
    pub issuer: EngineLife,
    /// The engine that keeps the memory.
    pub keeper: EngineLife,
    /// Address of the issuer.
    pub addr: SocketAddr,
    /// Id of the prompt's memory at the engine.
    pub handle: String,
    /// Until when the engine keeps the memory for certain.
    pub until: Timestamp,
    /// It is the handle of a run that was moved, which only one engine can use.
    pub is_copy: bool,
    /// A decode engine rejected a request that named it.
    pub is_rejected: bool,
    /// Tokens of the prompt.
    pub tokens: u64,
}

/// State of one stream.
pub struct StreamState {
    /// Id of the caller's attempt, for the log.
    id: String,
    /// Attempts so far.
    pub progress: Progress,
    /// Its ticket in the admission queue.
    pub ticket: Option<Ticket>,
    /// The backend server that the request or its prompt was sent to and that has not finished,
    /// and when it was sent.
    pub open_attempt: Option<(Server, Timestamp)>,
    /// Its reservation.
    pub reservation: Option<Reservation>,
    /// Zones that were asked for a reservation.
    pub zones_asked: Vec<String>,
    /// The prefill engine that is reading the prompt, and the prompt.
    pub prefilling: Option<(ServerId, Prompt)>,
    /// The prompt read by a prefill engine.
    pub prefill_handle: Option<PrefillHandle>,
    /// The software that must write the next events.
    pub origin: Origin,
    /// Whether the caller has part of the answer, as of the current attempt.
    pub begun: bool,
    /// The run in progress, if it may be moved to another engine.
    pub movable: Option<MovableRun>,
    /// The migration in progress.
    pub migration: Option<Migration>,
    /// How often the run was moved.
    pub moves: u32,
    /// Tokens of the answer generated so far.
    pub generated: u64,
    /// When the first event of the current attempt came.
    pub first_event_at: Option<Timestamp>,
    /// When the head or the last event of the current attempt came.
    pub heard_at: Option<Timestamp>,
    /// The current attempt was accepted, which used the memory that it named.
    pub accepted: bool,
    /// The answer of the current attempt went on past its beginning.
    pub sound: bool,
    /// Longest gap before an event, including the gap between the response head and the first
    /// event.
    pub longest_gap: Duration,
}

impl StreamState {
    /// State of a stream that holds nothing yet.
    pub fn new(progress: Progress, id: &str, origin: Origin) -> Self {
        StreamState {
            id: id.to_owned(),
            progress,
            ticket: None,
            open_attempt: None,
            reservation: None,
            zones_asked: Vec::new(),
            prefilling: None,
            prefill_handle: None,
            origin,
            begun: false,
            movable: None,
            migration: None,
            moves: 0,
            generated: 0,
            first_event_at: None,
            heard_at: None,
            accepted: false,
            sound: false,
            longest_gap: Duration::ZERO,
        }
    }

    /// Id of the caller's attempt.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The current attempt, sent at `at`, as it stands now. One that stalled got no further than its
    /// last event.
    pub fn sent<'a>(&self, server: &'a Server, at: Timestamp, now: Timestamp) -> Sent<'a> {
        let heard_at = self.heard_at.unwrap_or(at).max(at);
        let stalled = now >= heard_at.after(STALL_TIMEOUT);
        let until = if stalled { heard_at } else { now };
        let run = match self.first_event_at.filter(|first| *first >= at) {
            Some(first) if until >= first.after(EARLY_WINDOW) => RunStage::Advanced,
            _ => RunStage::Begun,
        };
        let blames_parts = !self.sound && self.prefilling.is_none();
        Sent { server, run, at, stalled, blames_parts }
    }

    /// Sets the headers that name the reservation and the prompt handle.
    pub fn set_headers(&self, headers: &mut HeaderMap) {
        if let Some(hold) = self.hold() {
            headers::set_reservation(headers, &hold.id);
        }
        if let Some(prefill_handle) = &self.prefill_handle {
            headers::set_kv_source(headers, prefill_handle.addr, &prefill_handle.handle);
        }
    }

    /// Keeps a handle until a run uses it.
    pub fn keep_handle(&mut self, shared: &Shared, handle: PrefillHandle) {
        shared.metrics.count("gateway.handle.made", 1);
        self.prefill_handle = Some(handle);
    }

    /// The memory that a request names now.
    pub fn named_memory(&self) -> NamedMemory<'_> {
        NamedMemory {
            hold: self.hold().map(|hold| (hold.id.as_str(), &hold.life)),
            prompt: self.prefill_handle.as_ref().map(|prompt| NamedPrompt {
                handle: &prompt.handle,
                issuer: prompt.issuer.id(),
                addr: prompt.addr,
                keeper: &prompt.keeper,
                is_copy: prompt.is_copy,
            }),
        }
    }

    /// The engine accepted the request, which uses up the reservation and the handle.
    pub fn mark_used(&mut self, shared: &Shared) {
        self.accepted = true;
        if self.prefill_handle.is_some() {
            shared.metrics.count("gateway.handle.used", 1);
        }
        if let Some(reservation) = &mut self.reservation {
            reservation.hold = None;
        }
        self.prefill_handle = None;
    }

    fn hold(&self) -> Option<&Hold> {
        self.reservation.as_ref()?.hold.as_ref()
    }

    /// Records how many tokens the answer has.
    pub fn record_generated(&mut self, shared: &Shared, prompt: u64, generated: u64) {
        self.generated = generated;
        if let Some(reservation) = &mut self.reservation {
            let after = reservation.length_forecast.memory_forecast(prompt, generated);
            shared.engines.borrow_mut().update_forecast(
                &reservation.server.id,
                reservation.memory,
                after,
            );
            reservation.memory = after;
            migration::update_forecast(shared, self, after);
        }
    }

    /// Releases everything; `complete` if the answer reached its end, `unused` is why a processed
    /// prompt was not used.
    pub fn release(
        &mut self,
        shared: &Shared,
        now: Timestamp,
        complete: bool,
        unused: WastedPrefill,
    ) {
        if let Some(ticket) = self.ticket.take() {
            shared.engines.borrow_mut().leave(ticket);
        }
        if let Some((id, prompt)) = self.prefilling.take() {
            shared.engines.borrow_mut().on_prefill_ended(&id, prompt);
            wasted_prefill::count(shared, &self.id, unused, prompt.tokens);
        }
        self.drop_prefill_handle(shared, unused);
        migration::abandon(shared, self, false);
        self.free_reservation(shared, now, complete);
        shared.wake_all();
    }

    /// Has it the unused copy of a run that was moved? Only one engine can use that.
    pub fn has_unused_copy(&self) -> bool {
        self.prefill_handle.as_ref().is_some_and(|handle| handle.is_copy)
    }

    /// Has the engine that keeps the prompt's memory ended?
    pub fn has_lost_prompt(&self, shared: &Shared) -> bool {
        self.prefill_handle.as_ref().is_some_and(|handle| handle.keeper.has_ended(shared))
    }

    /// Has the engine ended that gave the reservation its name?
    pub fn has_lost_hold(&self, shared: &Shared) -> bool {
        self.hold().is_some_and(|hold| hold.life.has_ended(shared))
    }

    /// Forgets the name of a reservation whose engine has ended: the next life of the engine doesn't
    /// know it, or has given it to another request.
    pub fn forget_lost_hold(&mut self, shared: &Shared) {
        if self.has_lost_hold(shared)
            && let Some(reservation) = &mut self.reservation
        {
            let id = self.id.as_str();
            tracing::info!(id, server = %reservation.server.id, "reservation lost: its engine has ended");
            reservation.hold = None;
        }
    }

    /// Releases the prompt handle, which was not used for the reason `unused`.
    pub fn drop_prefill_handle(&mut self, shared: &Shared, unused: WastedPrefill) {
        if let Some(prefill_handle) = self.prefill_handle.take() {
            let cause = match shared.registry.borrow().get(prefill_handle.issuer.id()) {
                None => WastedPrefill::Engine,
                Some(_) if prefill_handle.keeper.has_ended(shared) => WastedPrefill::Engine,
                Some(_) if prefill_handle.is_rejected => WastedPrefill::Refused,
                Some(_) if prefill_handle.until <= shared.now() => WastedPrefill::Expired,
                Some(_) => unused,
            };
            // The prompt of a run that was moved has been used.
            if !prefill_handle.is_copy {
                wasted_prefill::count(shared, &self.id, cause, prefill_handle.tokens);
            }
            let issuer = &prefill_handle.issuer;
            let req = engine::release_handle(issuer.id(), &prefill_handle.handle);
            let released = send_release(shared, issuer, prefill_handle.addr, req);
            shared.metrics.count("gateway.handle.dropped", 1);
            tracing::info!(
                id = self.id, server = %issuer.id(), addr = %prefill_handle.addr,
                handle = loggable(&prefill_handle.handle), wasted = ?cause,
                copy = prefill_handle.is_copy.then_some(true), released, "handle dropped"
            );
        }
    }

    /// Releases the reservation and keeps the prompt handle.
    pub fn drop_reservation(&mut self, shared: &Shared, now: Timestamp) {
        self.free_reservation(shared, now, false);
        shared.wake_all();
    }

    fn free_reservation(&mut self, shared: &Shared, now: Timestamp, complete: bool) {
        migration::remove_movable(shared, self);
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let Reservation { server, hold, memory, remote, .. } = reservation;
        if let Some(remote) = remote {
            remote.close(shared);
        }
        if let Some(hold) = hold {
            let req = engine::release_reservation(&server.id, &hold.id);
            send_release(shared, &hold.life, server.addr, req);
        }
        shared.engines.borrow_mut().on_released(now, &server.id, memory, complete);
        shared.request_report();
    }

    /// Ends the request and releases everything.
    pub fn close(mut self, shared: &Shared, complete: bool, unused: WastedPrefill) {
        self.release(shared, shared.now(), complete, unused);
    }
}

/// Releases memory that an engine named in this life, in a task of its own; false if the engine is not
/// called.
pub fn send_release(
    shared: &Shared,
    life: &EngineLife,
    addr: SocketAddr,
    req: Request<Bytes>,
) -> bool {
    if life.has_ended(shared) {
        // The next life may have given the name to another request.
        return false;
    }
    let id = life.id();
    if announcements::is_unavailable(shared, id) || shared.limits.borrow().of(id).is_some() {
        // The engine asked for a back-off or has a request limit, and the memory is freed when it
        // expires.
        return false;
    }
    let pool = shared.pool.clone();
    compio::runtime::spawn(async move {
        if let Err(e) = pool.notify(addr, req, RELEASE_TIMEOUT).await {
            // The memory is freed when it expires, within two seconds.
            tracing::debug!(%addr, error = %e, "can't release memory at engine");
        }
    })
    .detach();
    true
}
