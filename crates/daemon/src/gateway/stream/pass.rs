//! Events, passed on to the caller as they come.

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::headers;
use ebonyloft_router::events::Splitter;
use ebonyloft_router::outcome::Fate;
use http_body_util::BodyExt;
use hyper::body::Bytes;

use super::flight::Flight;
use super::outlet::Outlet;
use super::{silence, stride};
use crate::gateway::intake::Intake;
use crate::gateway::send::Head;
use crate::gateway::shared::Shared;

/// Passes events on until the stream ends.
pub async fn pass_on(
    shared: &Shared,
    intake: &Intake,
    head: Head,
    flight: &mut Flight,
    out: &mut Outlet,
    splitter: &mut Splitter,
) -> Fate {
    let Head { response, conn, .. } = head;
    if !out.begun() {
        out.begin(response.status(), headers::returned(response.headers()));
    }
    let mut body = response.into_body();
    let last = shared.now();
    let mut passer = Passer { shared, intake, flight, out, splitter, last };
    loop {
        let frame = match silence(intake, body.frame()).await {
            Some(None) if passer.splitter.is_partial() => return Fate::Lost,
            Some(None) => break,
            Some(Some(Ok(frame))) => frame,
            Some(Some(Err(_))) | None => {
                conn.close();
                return Fate::Lost;
            }
        };
        if let Ok(bytes) = frame.into_data() {
            passer.pass(&bytes).await;
        }
    }
    shared.pool.give(conn);
    Fate::Answered(200)
}

struct Passer<'a> {
    shared: &'a Shared,
    intake: &'a Intake,
    flight: &'a mut Flight,
    out: &'a mut Outlet,
    splitter: &'a mut Splitter,
    /// When the last event came.
    last: Timestamp,
}

impl Passer<'_> {
    async fn pass(&mut self, bytes: &Bytes) {
        let events = self.splitter.push(bytes);
        if events.is_empty() {
            return;
        }
        let (shared, now) = (self.shared, self.shared.now());
        self.flight.advanced_at.get_or_insert(now);
        let pause = now.since(self.last);
        self.flight.pause = self.flight.pause.max(pause);
        self.last = now;
        // The engine holds what the caller got before, too.
        let made = self.intake.caller.after.unwrap_or(0) + self.splitter.count();
        let made = made * stride(self.intake);
        let tokens = made.saturating_sub(self.flight.made);
        self.flight.note_made(shared, self.intake.caller.prompt, made);
        if self.splitter.count() == 1 {
            let ms = now.since(self.intake.came_at).as_millis() as u64;
            shared.metrics.time("gateway.first_event_ms", ms);
            tracing::info!(id = self.intake.id(), ms, "first event");
        } else {
            let seconds = pause.as_secs_f64() / tokens.max(1) as f64;
            shared.service_estimates(&self.intake.service).shape.observe_token(seconds);
        }
        self.out.pass(events).await;
    }
}
