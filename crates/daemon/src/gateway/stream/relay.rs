//! Relays events from a backend server to the caller.

use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::headers;
use ebonyloft_router::events::Splitter;
use ebonyloft_router::outcome::AttemptOutcome;
use ebonyloft_router::part_blame::SOUND_AFTER;
use ebonyloft_router::stream_origin::{Origin, SoftwareId};
use ebonyloft_router::wasted_prefill::{WastedPrefill, is_preemption};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Frame, Incoming};

use super::migration::{self, CallResult, Handover};
use super::response::ResponseStream;
use super::state::StreamState;
use super::{STALL_TIMEOUT, prefill, tokens_per_event, wasted_prefill, with_stall_timeout};
use crate::gateway::intake::Intake;
use crate::gateway::origins::records;
use crate::gateway::part_blame;
use crate::gateway::pool::ExchangeError;
use crate::gateway::quarantine;
use crate::gateway::send::Head;
use crate::gateway::shared::Shared;
use crate::http;

/// How long the rest of a stream is read after its run was stopped.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// How relaying a stream ended.
pub enum RelayEnd {
    /// The attempt ended.
    Outcome(AttemptOutcome),
    /// The run has stopped, and continues at the engine of the reservation.
    Moved,
}

/// Relays events until the stream ends or its run was moved.
pub async fn relay(
    shared: &Rc<Shared>,
    intake: &Intake,
    head: Head,
    state: &mut StreamState,
    out: &mut ResponseStream,
    splitter: &mut Splitter,
) -> RelayEnd {
    let Head { response, conn, .. } = head;
    let is_framed = http::is_framed(response.headers());
    if !out.has_begun() {
        out.send_head(response.status(), headers::forwarded_to_caller(response.headers()));
    }
    let mut body = response.into_body();
    let last_event_at = shared.now();
    let waiting_since = last_event_at;
    let mut relay = Relay { shared, intake, state, out, splitter, last_event_at, waiting_since };
    let mut last_call = None;
    loop {
        let frame = match next_frame(intake, &mut body, last_call.as_mut()).await {
            Next::Frame(frame) => frame,
            Next::LastResult(result) => {
                last_call = None;
                match migration::on_last_result(shared, intake, relay.state, result) {
                    Handover::Done => {
                        relay.relay_rest(&mut body).await;
                        conn.close();
                        return RelayEnd::Moved;
                    }
                    Handover::RunGoesOn => continue,
                    Handover::Broken => {
                        conn.close();
                        return RelayEnd::Outcome(AttemptOutcome::Lost);
                    }
                }
            }
        };
        match frame {
            Some(Some(Ok(frame))) => {
                let has_events = match frame.into_data() {
                    Ok(bytes) => relay.relay_chunk(&bytes).await,
                    Err(_) => false,
                };
                if has_events && last_call.is_none() {
                    last_call = migration::on_event(shared, intake, relay.state);
                }
                if relay.splitter.is_ended() || !has_events && relay.is_stalled() {
                    let bytes = relay.splitter.incomplete().len();
                    tracing::warn!(id = intake.id(), bytes, "stream given up: no events any more");
                    conn.close();
                    return RelayEnd::Outcome(AttemptOutcome::Lost);
                }
            }
            closed => {
                let has_ended = matches!(closed, Some(None)) && !relay.splitter.is_partial();
                // Without framing a connection that is closed before the first event looks the same
                // as the end of a stream.
                let mut is_complete =
                    has_ended && (is_framed || relay.state.first_event_at.is_some());
                if let Some(result) = last_call {
                    let result = result.await.unwrap_or(Err(ExchangeError::Lost));
                    let handover = migration::on_last_result(shared, intake, relay.state, result);
                    if handover == Handover::Done {
                        conn.close();
                        return RelayEnd::Moved;
                    }
                    // So does the end of a run that was stopped.
                    is_complete &= is_framed || handover != Handover::Broken;
                }
                if is_complete {
                    shared.pool.put_back(conn);
                    return RelayEnd::Outcome(AttemptOutcome::Answered(200));
                }
                conn.close();
                return RelayEnd::Outcome(AttemptOutcome::Lost);
            }
        }
    }
}

/// A frame of a body; none if the body ended, or if none came in time.
type NextFrame = Option<Option<Result<Frame<Bytes>, hyper::Error>>>;

enum Next {
    Frame(NextFrame),
    LastResult(CallResult),
}

/// Waits for a frame or for the result of the last call of a migration.
async fn next_frame(
    intake: &Intake,
    body: &mut Incoming,
    last_call: Option<&mut oneshot::Receiver<CallResult>>,
) -> Next {
    let frame = with_stall_timeout(intake, body.frame());
    let Some(last_call) = last_call else {
        return Next::Frame(frame.await);
    };
    match select(std::pin::pin!(frame), last_call).await {
        Either::Left((frame, _)) => Next::Frame(frame),
        Either::Right((result, _)) => Next::LastResult(result.unwrap_or(Err(ExchangeError::Lost))),
    }
}

struct Relay<'a> {
    shared: &'a Rc<Shared>,
    intake: &'a Intake,
    state: &'a mut StreamState,
    out: &'a mut ResponseStream,
    splitter: &'a mut Splitter,
    /// When the last event came.
    last_event_at: Timestamp,
    /// Since when the next event is waited for; later than the last event if the caller is slow.
    waiting_since: Timestamp,
}

impl Relay<'_> {
    /// Relays what is left of a stream whose run was stopped.
    async fn relay_rest(&mut self, body: &mut Incoming) {
        let mut until = self.shared.now().after(CLOSE_TIMEOUT);
        while !self.splitter.is_ended() {
            let left = until.since(self.shared.now());
            let Ok(Some(Ok(frame))) = compio::time::timeout(left, body.frame()).await else {
                return;
            };
            if let Ok(bytes) = frame.into_data()
                && self.relay_chunk(&bytes).await
            {
                until = self.shared.now().after(CLOSE_TIMEOUT);
            }
        }
    }

    /// Have bytes come for long without an event that they complete? Silence is bounded elsewhere.
    fn is_stalled(&self) -> bool {
        self.intake.is_repeatable() && self.shared.now() >= self.waiting_since.after(STALL_TIMEOUT)
    }

    /// Relays the events that the bytes complete; true if there are any.
    async fn relay_chunk(&mut self, bytes: &Bytes) -> bool {
        let events = self.splitter.push(bytes);
        if events.is_empty() {
            return false;
        }
        let (shared, now) = (self.shared, self.shared.now());
        let is_first = self.state.first_event_at.is_none();
        self.state.first_event_at.get_or_insert(now);
        self.state.heard_at = Some(now);
        self.observe_sound(now);
        if let Some((server, _)) = &self.state.open_attempt {
            quarantine::on_heard(shared, &server.id);
        }
        let gap = now.since(self.last_event_at);
        self.state.longest_gap = self.state.longest_gap.max(gap);
        self.last_event_at = now;
        // The engine's context includes the part of the answer that the caller got in an earlier
        // request.
        let generated = self.intake.caller.last_event.unwrap_or(0) + self.splitter.count();
        let generated = generated * tokens_per_event(self.intake);
        let tokens = generated.saturating_sub(self.state.generated);
        self.state.record_generated(shared, self.intake.caller.prompt_tokens, generated);
        if self.splitter.count() == 1 {
            let ms = now.since(self.intake.came_at).as_millis() as u64;
            shared.metrics.time("gateway.first_event_ms", ms);
            tracing::info!(id = self.intake.id(), ms, "first event");
        } else {
            let seconds = gap.as_secs_f64() / tokens.max(1) as f64;
            shared.service_estimates(&self.intake.service).shape.observe_token(seconds);
            if let Some(reservation) = &self.state.reservation {
                let mut speeds = shared.engine_speeds.borrow_mut();
                speeds.observe_token(now, &self.intake.service, &reservation.server.id, seconds);
            }
        }
        if !is_first {
            self.count_preemption(now.since(self.waiting_since));
        }
        if let Some((server, _)) = &self.state.open_attempt
            && is_first
        {
            self.state.origin = Origin::Software(SoftwareId::of(server));
            records::on_first_event(shared, self.intake, server);
        }
        self.out.send_events(events).await;
        self.waiting_since = shared.now();
        if is_first {
            migration::on_first_event(shared, self.intake, self.state);
        }
        true
    }

    /// An answer that goes on past its beginning speaks for the parts of its prompt.
    fn observe_sound(&mut self, now: Timestamp) {
        let state = &mut *self.state;
        let is_past = state.first_event_at.is_some_and(|first| now >= first.after(SOUND_AFTER));
        if let Some((server, _)) = state.open_attempt.as_ref().filter(|_| is_past && !state.sound) {
            part_blame::on_sound(self.shared, self.intake, server);
            state.sound = true;
        }
    }

    /// Counts a prompt that the engine is likely to have processed again before this event.
    fn count_preemption(&self, gap: Duration) {
        let (shared, prompt) = (self.shared, self.intake.caller.prompt_tokens);
        let prefill_time = prefill::idle_read_time(shared, &self.intake.service, prompt);
        if is_preemption(gap, prefill_time) {
            wasted_prefill::count(shared, self.intake.id(), WastedPrefill::Preempted, prompt);
        }
    }
}
