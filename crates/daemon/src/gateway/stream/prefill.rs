//! Prefill: a prompt is read by an engine that does nothing else.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::{engine, headers};
use ebonyloft_router::budget::NextSend;
use ebonyloft_router::catalog::{Server, ServerId, Stage};
use ebonyloft_router::engine_load::{EngineLoad, Prompt};
use ebonyloft_router::outcome::AttemptOutcome;
use ebonyloft_router::prefill::{self, ChoiceContext};
use ebonyloft_router::wasted_prefill::WastedPrefill;

use super::state::{PrefillHandle, StreamState};
use super::urgency;
use super::wasted_prefill;
use crate::gateway::announcements;
use crate::gateway::call;
use crate::gateway::engine_life::EngineLife;
use crate::gateway::intake::Intake;
use crate::gateway::limits;
use crate::gateway::pool::loggable;
use crate::gateway::quarantine::{self, RunStage, Sent};
use crate::gateway::retries;
use crate::gateway::send::{self, Expect};
use crate::gateway::shared::{Shared, SnapshotVersion};
use crate::gateway::speeds;

/// How much longer than predicted a prefill may take before the decode engine reads the prompt
/// itself.
const PREFILL_SLACK: Duration = Duration::from_millis(600);
/// How long before its expiry a handle is no longer used: the time on the network, and the wait
/// for memory.
const HANDLE_MARGIN: Duration = Duration::from_millis(60);
/// Prefill engines tried for one prompt; each attempt that is not accepted counts against the
/// retry budget.
const ENGINES_MAX: usize = 2;
/// How much longer a decode engine takes to read a prompt: it reads at half the speed.
const LOCAL_SLOWDOWN: u32 = 2;

/// When the prompt would be read if it were sent to a prefill engine now.
pub fn predicted_ready_at(
    shared: &Shared,
    intake: &Intake,
    state: &StreamState,
    now: Timestamp,
) -> Timestamp {
    if state.prefill_handle.is_some() {
        return now;
    }
    // All prefill engines are considered: whether any can be in time does not depend on the one
    // chosen.
    let prompt = urgency::prompt(intake, now, state.begun);
    match fastest_engine(shared, &intake.service, prompt, now) {
        Some((_, at)) => at,
        None => local_ready_at(shared, &intake.service, intake.caller.prompt_tokens, now),
    }
}

/// The prefill engine that would finish a prompt first, and when.
pub fn fastest_engine(
    shared: &Shared,
    service: &str,
    prompt: Prompt,
    now: Timestamp,
) -> Option<(Server, Timestamp)> {
    pick(shared, service, prompt, &shared.node().zone, now, 1, &[])
}

/// How long an idle prefill engine takes to read a prompt.
pub fn idle_read_time(shared: &Shared, service: &str, prompt: u64) -> Duration {
    shared.service_estimates(service).prefill_speed.time(EngineLoad::default(), prompt)
}

/// When a decode engine would have read a prompt.
pub fn local_ready_at(shared: &Shared, service: &str, prompt: u64, now: Timestamp) -> Timestamp {
    now.after(idle_read_time(shared, service, prompt) * LOCAL_SLOWDOWN)
}

/// Has the prompt read by a prefill engine. Without one, the decode engine reads it.
pub async fn run(shared: &Shared, intake: &Intake, state: &mut StreamState) {
    let node = shared.node();
    let remote = state.reservation.as_ref().and_then(|reservation| reservation.remote.as_ref());
    let remote_engine = remote.map(|remote| remote.prefill_engine.clone());
    let mut excluded = Vec::new();
    for n in 0..ENGINES_MAX {
        let now = shared.now();
        let zone = state.reservation.as_ref().map_or_else(|| &node.zone, |r| &r.server.zone);
        let picked = match &remote_engine {
            // Of the prefill engines of another zone only the one named in the grant is known.
            Some(named) => named.clone().filter(|_| n == 0),
            None => {
                let prompt = urgency::prompt(intake, now, state.begun);
                pick(
                    shared,
                    &intake.service,
                    prompt,
                    zone,
                    now,
                    shared.gateways_in_scope(),
                    &excluded,
                )
            }
        };
        let Some((server, ready_at)) = picked else {
            return;
        };
        if shared.registry.borrow().has_ended(&server.id) {
            // Its registration has not expired, and its handles can't be used.
            excluded.push(server.id);
            continue;
        }
        if !limits::acquire(shared, &server.id, 1).await {
            continue;
        }
        if quarantine::check(shared, intake).is_err() {
            return;
        }
        if !retries::reserve(shared, intake, NextSend::Prompt) {
            return;
        }
        if prefill_at(shared, intake, state, &server, ready_at, remote_engine.is_some()).await {
            return;
        }
        excluded.push(server.id);
    }
}

/// Picks a prefill engine for an answer written in `zone`, as one of `gateways` gateways that do
/// so, apart from those `excluded`; returns it and when it would have read the prompt.
fn pick(
    shared: &Shared,
    service: &str,
    prompt: Prompt,
    zone: &str,
    now: Timestamp,
    gateways: usize,
    excluded: &[ServerId],
) -> Option<(Server, Timestamp)> {
    let headroom = urgency::prefill_headroom(shared, service, prompt);
    let (registry, engines) = (shared.registry.borrow(), shared.engines.borrow());
    let own = shared.zone();
    let prefill_engines: Vec<&Server> = registry
        .ready(service)
        .filter(|s| s.stage == Some(Stage::Prefill) && !engines.faulty(now, &s.id))
        .filter(|s| own.as_ref().is_none_or(|own| s.zone == *own))
        .filter(|s| !announcements::is_unavailable(shared, &s.id) && !excluded.contains(&s.id))
        .collect();
    let (load_reports, speeds) = (shared.load_reports.borrow(), shared.engine_speeds.borrow());
    let speed_factors = speeds.prefill_factors(now, service, prefill_engines.iter().copied());
    let load = |id: &_| engines.own_load(id).plus(load_reports.peer_load(now, id));
    let learned = shared.service_estimates(service);
    let choice = ChoiceContext {
        speed_factors: &speed_factors,
        prefill_speed: &learned.prefill_speed,
        prompt: prompt.tokens,
        urgent: prompt.urgent,
        headroom,
        zone,
        gateways,
    };
    let engines = prefill_engines.into_iter();
    let picked = prefill::pick(now, engines, load, &choice, || shared.random_fraction());
    picked.map(|(s, at)| (s.clone(), at))
}

/// How long the engine keeps a prefilled prompt.
fn handle_lifetime(intake: &Intake) -> Duration {
    let service = intake.config.service(&intake.service);
    service.and_then(|s| s.engine.as_ref()).map_or(Duration::ZERO, |e| e.handle_life)
}

/// Until when a handle received at `now` may be used.
pub fn handle_until(intake: &Intake, now: Timestamp) -> Timestamp {
    now.after(handle_lifetime(intake)).before(HANDLE_MARGIN)
}

async fn prefill_at(
    shared: &Shared,
    intake: &Intake,
    state: &mut StreamState,
    server: &Server,
    ready_at: Timestamp,
    remote: bool,
) -> bool {
    let now = shared.now();
    let sent = urgency::prompt(intake, now, state.begun);
    let prompt = sent.tokens;
    let work = shared.engine_load(&server.id).delaying(sent.urgent);
    let base_time = shared.service_estimates(&intake.service).prefill_speed.time(work, prompt);
    shared.engines.borrow_mut().on_prefill_sent(&server.id, sent);
    shared.request_report();
    state.prefilling = Some((server.id.clone(), sent));
    let mut req = intake.request(now, &server.id);
    headers::set_prefill_only(req.headers_mut());
    if let Some(priority) = urgency::prefill_priority(intake, now, state.begun) {
        headers::set_priority(req.headers_mut(), priority);
    }
    let limit = ready_at.since(now) + PREFILL_SLACK;
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    state.open_attempt = Some((server.clone(), now));
    let (outcome, answer) =
        send::complete_exchange(shared, intake, server, req, limit, Expect::Handle).await;
    state.open_attempt = None;
    let done = shared.now();
    state.prefilling = None;
    let mut engines = shared.engines.borrow_mut();
    engines.on_prefill_ended(&server.id, sent);
    let ms = done.since(now).as_millis() as u64;
    let predicted_ms = ready_at.since(now).as_millis() as u64;
    let rate = shared.service_estimates(&intake.service).prefill_speed.rate() as u64;
    let slowness = answer.as_ref().and_then(|a| a.reply.load?.slowness);
    let speed = speeds::of(shared, &intake.service, &server.id).prefill;
    let (factor, factor_age) = (speed.map(|s| s.factor), speed.map(|s| s.age.as_millis() as u64));
    let is_read = outcome == AttemptOutcome::Answered(200);
    let prefilled = answer.as_ref().filter(|_| is_read);
    let handle = prefilled.and_then(|a| engine::parse_prefill_result(&a.body));
    let until = handle_until(intake, done);
    let kept_ms = handle.is_some().then(|| until.since(done).as_millis() as u64);
    let origin = answer.as_ref().and_then(|a| a.origin.as_ref());
    tracing::info!(
        id = intake.id(), server = %server.id, fate = ?outcome, prompt, queue = work.unread, ms, foretold = predicted_ms,
        rate, factor, factor_age, slowness, handle = handle.as_deref().map(loggable),
        addr = handle.is_some().then(|| tracing::field::display(server.addr)), kept_ms,
        named = origin.and_then(|o| o.named.as_deref()),
        conn = origin.map(|o| o.conn_use.number), carried = origin.map(|o| o.conn_use.carried),
        config, roster, age, "prefill ended"
    );
    if outcome != AttemptOutcome::Mismatched {
        shared.metrics.time("gateway.read_ms", ms);
    }
    if let Some(handle) = handle {
        // The queue of another zone's prefill engine is not known here, so its time is no measure
        // of speed.
        if !remote {
            speeds::update_prefill_scale(shared, &intake.service);
            let usual = shared.engine_speeds.borrow_mut().observe_prefill(
                done,
                &intake.service,
                &server.id,
                (done.since(now), base_time),
                slowness,
            );
            shared.service_estimates(&intake.service).prefill_speed.observe(work, prompt, usual);
        }
        let watch = origin.map(|o| o.watch.clone()).unwrap_or_default();
        let life = EngineLife::new(server.id.clone(), watch);
        let prefill_handle = PrefillHandle {
            keeper: life.clone(),
            issuer: life,
            addr: server.addr,
            handle,
            until,
            is_copy: false,
            is_rejected: false,
            tokens: prompt,
        };
        state.keep_handle(shared, prefill_handle);
        retries::on_accepted(shared, intake);
        return true;
    }
    // A back-off is no fault of the engine, and one whose answer was displaced does answer.
    let is_displaced = outcome == AttemptOutcome::Mismatched;
    if !is_displaced && !announcements::is_unavailable(shared, &server.id) {
        engines.on_fault(done, &server.id);
    }
    drop(engines);
    if outcome.is_lost() {
        wasted_prefill::count(shared, intake.id(), WastedPrefill::Engine, prompt);
        let stalled = answer.is_none() && done >= now.after(limit);
        let sent = Sent { server, run: RunStage::Begun, at: now, stalled, blames_parts: false };
        quarantine::on_lost(shared, intake, sent, outcome);
    }
    if outcome == AttemptOutcome::Moved {
        call::on_replaced(shared, &server.id);
    }
    false
}
