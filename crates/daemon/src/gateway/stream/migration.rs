//! Live migration: a run is moved from an engine that is about to run out of memory to another one,
//! within the same response to the caller.
//!
//! The first call copies the run's memory while the run goes on; the last call stops it, and the
//! request is then sent to the other engine with a handle of the copy. Decisions are made in
//! `ebonyloft_router::migration`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::engine::{self, MoveReply};
use ebonyloft_router::answer_length::LengthForecast;
use ebonyloft_router::budget::NextSend;
use ebonyloft_router::catalog::{Config, Engine, Server, ServerId};
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::migration::{self, MOVES_MAX, RunId};
use futures_channel::oneshot;
use hyper::Request;

use super::state::{PrefillHandle, Reservation, StreamState, send_release};
use super::{admission, prefill};
use crate::gateway::announcements;
use crate::gateway::engine_life::EngineLife;
use crate::gateway::intake::Intake;
use crate::gateway::pool::{ConnWatch, ExchangeError, ServerAnswer, loggable};
use crate::gateway::quarantine;
use crate::gateway::retries;
use crate::gateway::shared::{Shared, SnapshotVersion};
use crate::settings::MigrationSetting;

/// Timeout of a call; copies take 5 to 50 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a first call that has timed out is still waited for, so that its copy can be freed.
const LATE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Result of a call; the error tells whether the engine may have received it.
pub type CallResult = Result<MoveAnswer, ExchangeError>;

/// An engine's answer to a call.
#[derive(Debug)]
pub struct MoveAnswer {
    reply: MoveReply,
    /// The connection that it came over.
    watch: ConnWatch,
}

/// A run that may be moved.
pub struct MovableRun {
    /// The engine that it runs at.
    pub engine: ServerId,
    /// Its id in `Shared::migrations`.
    pub id: RunId,
}

/// A migration in progress.
pub struct Migration {
    source: Server,
    target: Server,
    /// Memory counted at the target.
    memory: MemoryForecast,
    length_forecast: LengthForecast,
    started_at: Timestamp,
    copy: Copy,
}

/// State of the copy at the target.
enum Copy {
    /// The first call is in progress.
    Pending(oneshot::Receiver<CallResult>),
    /// The copy was complete, and is kept until the time.
    Complete { handle: String, source: EngineLife, until: Timestamp },
}

/// What the result of the last call means for the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handover {
    /// It has stopped and continues at the engine of the reservation.
    Done,
    /// It was not stopped.
    RunGoesOn,
    /// Its state is unknown: it is taken for lost.
    Broken,
}

/// Are runs of a service moved?
fn is_enabled(shared: &Shared, config: &Config, service: &str, engine: &Engine) -> bool {
    engine.moves
        && match shared.migration_setting.get() {
            MigrationSetting::On => true,
            MigrationSetting::Off => false,
            MigrationSetting::Auto => has_uneven_demand_or_servers(shared, config, service),
        }
}

/// Do the requests of a service differ in urgency, or its servers in speed?
fn has_uneven_demand_or_servers(shared: &Shared, config: &Config, service: &str) -> bool {
    shared.urgency_levels(config, service).is_enabled()
        || shared.engine_speeds.borrow().is_enabled(service)
}

/// Adds a run to those that may be moved, once its first event was relayed.
pub fn on_first_event(shared: &Shared, intake: &Intake, state: &mut StreamState) {
    let Some(reservation) = &state.reservation else {
        return;
    };
    let Some(spec) = spec(intake) else {
        return;
    };
    // The run counts as an attempt when it ends; another one must be left if the migration fails.
    let attempts_left = state.progress.runs + 1 < state.progress.runs_max;
    let movable = intake.is_repeatable()
        && attempts_left
        && state.moves < MOVES_MAX
        && intake.caller.attempt.is_some()
        // Reports of engines in other zones are not received here.
        && reservation.remote.is_none()
        && is_enabled(shared, &intake.config, &intake.service, spec);
    if movable {
        let engine = reservation.server.id.clone();
        let id = shared.migrations.borrow_mut().add(&engine, intake.level);
        state.movable = Some(MovableRun { engine, id });
    }
}

/// Starts a migration if one is due, or takes up the result of the first call. Returns the result
/// of the last call if that was started.
pub fn on_event(
    shared: &Rc<Shared>,
    intake: &Intake,
    state: &mut StreamState,
) -> Option<oneshot::Receiver<CallResult>> {
    if state.migration.is_none() {
        start(shared, intake, state);
        return None;
    }
    let complete = take_up_copy(shared, intake, state)?;
    let migration = state.migration.as_ref()?;
    // Without the last call the run goes on.
    let ends = [&migration.source.id, &migration.target.id];
    let is_admitted = admission::is_admitted_now(shared, state.origin, &migration.target);
    let accepts = ends.iter().all(|id| announcements::accepts_requests(shared, id));
    let is_refused = quarantine::check(shared, intake).is_err();
    if !complete || !accepts || !is_admitted || is_refused {
        abandon(shared, state, true);
        retries::release_unused(shared, intake);
        return None;
    }
    Some(call_engine(shared, intake, &migration.source, migration.target.addr, true))
}

/// Takes up the result of the first call: whether the copy is complete and still kept; none if there
/// is no new result.
fn take_up_copy(shared: &Shared, intake: &Intake, state: &mut StreamState) -> Option<bool> {
    let migration = state.migration.as_mut()?;
    let Copy::Pending(result) = &mut migration.copy else {
        return None;
    };
    let result = match result.try_recv() {
        Ok(None) => return None,
        Ok(Some(result)) => result,
        Err(oneshot::Canceled) => Err(ExchangeError::Lost),
    };
    let now = shared.now();
    let ms = now.since(migration.started_at).as_millis() as u64;
    let reply = result.as_ref().map(|answer| &answer.reply);
    let (handle, holder) = copied_memory(reply, &migration.source, &migration.target).unzip();
    tracing::info!(
        id = intake.id(), server = %migration.source.id, target = %migration.target.id, ms,
        result = ?reply, generated = state.generated, addr = %migration.source.addr,
        handle, holder = holder.map(tracing::field::display), "run copied"
    );
    let Ok(MoveAnswer { reply: MoveReply::Copied { handle, .. }, watch }) = result else {
        return Some(false);
    };
    // When the copy was complete is not known, only when it began.
    let until = prefill::handle_until(intake, migration.started_at);
    let source = EngineLife::new(migration.source.id.clone(), watch);
    migration.copy = Copy::Complete { handle, source, until };
    Some(until > now)
}

fn start(shared: &Rc<Shared>, intake: &Intake, state: &mut StreamState) {
    let (Some(run), Some(reservation), Some(spec)) =
        (&state.movable, &state.reservation, spec(intake))
    else {
        return;
    };
    if quarantine::check(shared, intake).is_err() {
        return;
    }
    let (now, source) = (shared.now(), &reservation.server);
    let load_reports = shared.load_reports.borrow();
    let own = || shared.engines.borrow().own_load(&source.id).count;
    let is_due = || {
        let peers = load_reports.loads_by_peer(now, &source.id).map(|(name, w)| (name, w.count));
        migration::runs_out(shared.engine_load(&source.id), spec)
            && migration::decides((&shared.node().name, own()), peers)
    };
    if !shared.migrations.borrow_mut().should_move(now, &source.id, run.id, is_due) {
        return;
    }
    let target = {
        let registry = shared.registry.borrow();
        let engines = shared.engines.borrow();
        // Calls count against the limit that a server announces, and a migration can't wait for it.
        let limits = shared.limits.borrow();
        let servers = admission::decode_engines(shared, &registry, &intake.service, state.origin)
            .filter(|s| limits.of(&s.id).is_none());
        let peer_load = |id: &ServerId| load_reports.peer_load(now, id);
        let memory = reservation.memory;
        let target =
            migration::choose_target(now, &source.id, servers, &engines, spec, peer_load, memory);
        target.filter(|_| limits.of(&source.id).is_none()).cloned()
    };
    let Some(target) = target.filter(|_| announcements::accepts_requests(shared, &source.id))
    else {
        shared.metrics.count("gateway.migration.no_target", 1);
        return;
    };
    let granted = retries::reserve(shared, intake, NextSend::Run);
    let (load, room) = (shared.engine_load(&source.id), shared.engine_load(&target.id));
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(), server = %source.id, target = %target.id, tokens = load.memory.now(),
        peak = load.memory.peak(), count = load.count, own = own(), target_tokens = room.memory.now(),
        target_peak = room.memory.peak(), generated = state.generated, granted, config, roster, age,
        "migration due"
    );
    if !granted {
        shared.metrics.count("gateway.migration.refused", 1);
        shared.migrations.borrow_mut().on_failure(now, &source.id);
        return;
    }
    let source = source.clone();
    let Reservation { memory, length_forecast, .. } = *reservation;
    shared.metrics.count("gateway.migration.started", 1);
    shared.migrations.borrow_mut().begin(&source.id);
    shared.engines.borrow_mut().on_reserved(&target.id, memory);
    shared.request_report();
    let copy = Copy::Pending(call_engine(shared, intake, &source, target.addr, false));
    let started_at = now;
    state.migration = Some(Migration { source, target, memory, length_forecast, started_at, copy });
}

/// Calls the engine of a run in a task of its own.
fn call_engine(
    shared: &Rc<Shared>,
    intake: &Intake,
    source: &Server,
    target: SocketAddr,
    last: bool,
) -> oneshot::Receiver<CallResult> {
    let (sender, receiver) = oneshot::channel();
    let id = intake.id().to_owned();
    let req = engine::move_run(&source.id, &id, target, last);
    let task = run_call(shared.clone(), id, source.clone(), req, last, sender);
    compio::runtime::spawn(task).detach();
    receiver
}

async fn run_call(
    shared: Rc<Shared>,
    id: String,
    source: Server,
    req: Request<Bytes>,
    last: bool,
    sender: oneshot::Sender<CallResult>,
) {
    let exchange = async {
        let answer = announcements::call(&shared, &source, req, LATE_TIMEOUT).await;
        answer.map(|ServerAnswer { status, body, watch, .. }| MoveAnswer {
            reply: engine::parse_move_reply(status, &body),
            watch,
        })
    };
    let mut exchange = std::pin::pin!(exchange);
    let unused = match compio::time::timeout(CALL_TIMEOUT, exchange.as_mut()).await {
        // An error means that the stream has ended meanwhile.
        Ok(result) => sender.send(result).err(),
        Err(_) => {
            let _ = sender.send(Err(ExchangeError::Lost));
            // After a last call that was not answered the first handle may be in use.
            if last { None } else { Some(exchange.await) }
        }
    };
    if let Some(Ok(MoveAnswer { reply: MoveReply::Copied { handle, .. }, watch })) = unused {
        release_copy(&shared, &id, &source, &EngineLife::new(source.id.clone(), watch), &handle);
    }
}

/// Applies the result of the last call.
pub fn on_last_result(
    shared: &Shared,
    intake: &Intake,
    state: &mut StreamState,
    result: CallResult,
) -> Handover {
    let Some(migration) = &state.migration else {
        return Handover::Broken;
    };
    let now = shared.now();
    let ms = now.since(migration.started_at).as_millis() as u64;
    let reply = result.as_ref().map(|answer| &answer.reply);
    let (handle, holder) = copied_memory(reply, &migration.source, &migration.target).unzip();
    tracing::info!(
        id = intake.id(), server = %migration.source.id, target = %migration.target.id, ms,
        result = ?reply, generated = state.generated, addr = %migration.source.addr,
        handle, holder = holder.map(tracing::field::display), "run stopped for migration"
    );
    let until = prefill::handle_until(intake, now);
    let (reply, watch) = match result {
        Ok(MoveAnswer { reply, watch }) => (Ok(reply), watch),
        Err(e) => (Err(e), ConnWatch::default()),
    };
    let issuer = EngineLife::new(migration.source.id.clone(), watch);
    match reply {
        Ok(MoveReply::Copied { handle, .. }) => {
            shared.metrics.count("gateway.migration.moved", 1);
            shared.metrics.time("gateway.migration_ms", ms);
            continue_at_target(shared, state, handle, issuer, until);
            Handover::Done
        }
        Ok(MoveReply::NoCapacity { handle: Some(handle) }) => {
            let addr = migration.source.addr;
            forget_target(shared, state, true);
            let keeper = issuer.clone();
            state.keep_handle(shared, copy_handle(addr, handle, issuer, keeper, until));
            state.moves += 1;
            remove_movable(shared, state);
            Handover::Done
        }
        Ok(MoveReply::NoRun | MoveReply::Busy) | Err(ExchangeError::Unsent) => {
            abandon(shared, state, true);
            retries::release_unused(shared, intake);
            Handover::RunGoesOn
        }
        _ => Handover::Broken,
    }
}

/// Is there a complete copy from which a lost run may be resumed?
pub fn has_copy(shared: &Shared, intake: &Intake, state: &mut StreamState) -> bool {
    let _ = take_up_copy(shared, intake, state);
    let copy = state.migration.as_ref().map(|m| &m.copy);
    matches!(copy, Some(Copy::Complete { until, .. }) if *until > shared.now())
}

/// Uses a copy to resume a run that was lost; returns the engine that has it.
pub fn resume_from_copy(shared: &Shared, state: &mut StreamState) -> Option<Server> {
    let migration = state.migration.as_ref()?;
    let target = migration.target.clone();
    match &migration.copy {
        Copy::Complete { handle, source, until }
            if *until > shared.now()
                && announcements::accepts_requests(shared, &target.id)
                && admission::is_admitted_now(shared, state.origin, &target) =>
        {
            let (handle, source, until) = (handle.clone(), source.clone(), *until);
            shared.metrics.count("gateway.migration.resumed", 1);
            shared.migrations.borrow_mut().on_failure(shared.now(), &migration.source.id);
            continue_at_target(shared, state, handle, source, until);
            Some(target)
        }
        _ => {
            abandon(shared, state, true);
            None
        }
    }
}

/// Makes the target's memory the reservation of the stream, and the copy its prompt handle.
fn continue_at_target(
    shared: &Shared,
    state: &mut StreamState,
    handle: String,
    issuer: EngineLife,
    until: Timestamp,
) {
    let Some(migration) = state.migration.take() else {
        return;
    };
    let Migration { source, target, memory, length_forecast, .. } = migration;
    state.drop_reservation(shared, shared.now());
    // The target answered the source.
    let keeper = EngineLife::unwatched(target.id.clone());
    state.reservation =
        Some(Reservation { server: target, hold: None, memory, length_forecast, remote: None });
    shared.migrations.borrow_mut().end(&source.id);
    state.keep_handle(shared, copy_handle(source.addr, handle, issuer, keeper, until));
    state.moves += 1;
}

/// The handle of a run's memory that the engine at `addr` issued when the run left it.
fn copy_handle(
    addr: SocketAddr,
    handle: String,
    issuer: EngineLife,
    keeper: EngineLife,
    until: Timestamp,
) -> PrefillHandle {
    let (is_copy, is_rejected, tokens) = (true, false, 0);
    PrefillHandle { issuer, keeper, addr, handle, until, is_copy, is_rejected, tokens }
}

/// Ends a migration without using its copy; `failed` if it was refused or failed.
pub fn abandon(shared: &Shared, state: &mut StreamState, failed: bool) {
    let Some(migration) = &state.migration else {
        return;
    };
    if let Copy::Complete { handle, source, .. } = &migration.copy {
        release_copy(shared, state.id(), &migration.source, source, handle);
    }
    forget_target(shared, state, failed);
}

/// Ends a migration and stops counting its memory at the target. Dropping the receiver of a call in
/// progress makes its task free the copy.
fn forget_target(shared: &Shared, state: &mut StreamState, failed: bool) {
    let Some(Migration { source, target, memory, .. }) = state.migration.take() else {
        return;
    };
    let now = shared.now();
    shared.engines.borrow_mut().on_released(now, &target.id, memory, false);
    shared.migrations.borrow_mut().end(&source.id);
    shared.request_report();
    shared.wake_all();
    if failed {
        shared.migrations.borrow_mut().on_failure(now, &source.id);
        shared.metrics.count("gateway.migration.failed", 1);
    }
}

/// Handles a copy that the engine which was to continue the run did not use.
pub fn on_continuation_failed(shared: &Shared, state: &StreamState) {
    if let Some(handle) = &state.prefill_handle {
        shared.migrations.borrow_mut().on_failure(shared.now(), handle.issuer.id());
        shared.metrics.count("gateway.migration.failed", 1);
    }
}

/// Counts the memory of a run that grows at the target too.
pub fn update_forecast(shared: &Shared, state: &mut StreamState, after: MemoryForecast) {
    if let Some(migration) = &mut state.migration {
        let (id, before) = (&migration.target.id, migration.memory);
        shared.engines.borrow_mut().update_forecast(id, before, after);
        migration.memory = after;
    }
}

/// Removes a run from those that may be moved.
pub fn remove_movable(shared: &Shared, state: &mut StreamState) {
    if let Some(run) = state.movable.take() {
        shared.migrations.borrow_mut().remove(&run.engine, run.id);
    }
}

fn release_copy(shared: &Shared, id: &str, source: &Server, life: &EngineLife, handle: &str) {
    let req = engine::release_handle(&source.id, handle);
    let released = send_release(shared, life, source.addr, req);
    tracing::info!(
        id, server = %source.id, addr = %source.addr, handle = loggable(handle), copy = true, released,
        "handle dropped"
    );
}

/// The handle that the result of a call brought and the engine that keeps its memory, for the log.
fn copied_memory<'a>(
    result: Result<&'a MoveReply, &ExchangeError>,
    source: &'a Server,
    target: &'a Server,
) -> Option<(&'a str, &'a ServerId)> {
    match result {
        Ok(MoveReply::Copied { handle, .. }) => Some((loggable(handle), &target.id)),
        Ok(MoveReply::NoCapacity { handle: Some(handle) }) => Some((loggable(handle), &source.id)),
        _ => None,
    }
}

fn spec(intake: &Intake) -> Option<&Engine> {
    intake.config.service(&intake.service)?.engine.as_ref()
}
