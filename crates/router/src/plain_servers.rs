//! Selects the backend server for a call of a plain service.
//!
//! Some servers fail, hang or become slow while their health check passes. Each server is therefore rated by
//! its own recent answers: duration, failures, and calls that are stuck.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Server, ServerId};
use crate::outcome::{AttemptOutcome, Load, USUAL_SLOWNESS};

/// Weight of a new duration or failure in the average: about the last ten answers count, which is half a
/// second at 20 checks per second and gateway.
pub const NEW_WEIGHT: f64 = 0.15;
/// Expected duration of a call at an unknown server, in milliseconds: the mean work of a call.
pub const INITIAL_MS: f64 = 30.0;
/// Cost of a certain failure, in milliseconds: a failed call is sent again or lost, which costs about ten
/// times its mean duration.
pub const FAILURE_COST_MS: f64 = 400.0;
/// Duration above which a call counts as stuck; 99 of 100 calls end within 220 ms.
pub const STUCK_AFTER: Duration = Duration::from_millis(300);
/// Back-off of a server that could not be reached.
pub const BACK_OFF: Duration = Duration::from_millis(1_000);
/// How long a reported load is used.
pub const LOAD_TTL: Duration = Duration::from_millis(400);
/// How long a reported slowness is used. A VM is slowed for some tenths of a second, and a false figure
/// costs at most the calls within this time.
pub const SLOWNESS_TTL: Duration = Duration::from_millis(200);
/// Cost of a call to another availability zone, in milliseconds: one round trip.
pub const ZONE_COST_MS: f64 = 3.0;
/// Half-life of a failure rate without new answers, so that a server that recovered is tried again.
pub const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Default)]
struct ServerStats {
    in_flight: Vec<Timestamp>,
    mean_ms: Option<f64>,
    failure_rate: f64,
    rated_at: Timestamp,
    back_off_until: Timestamp,
    load: Option<(Timestamp, Load)>,
}

impl ServerStats {
    /// How much longer than usual work takes now, as reported. A figure below the usual one does not
    /// count: a server that states one all the time would get most calls.
    fn slowdown(&self, now: Timestamp) -> f64 {
        let recent = self.load.filter(|(at, _)| now.since(*at) < SLOWNESS_TTL);
        let slowness = recent.and_then(|(_, load)| load.slowness).unwrap_or(USUAL_SLOWNESS);
        f64::from(slowness.max(USUAL_SLOWNESS)) / f64::from(USUAL_SLOWNESS)
    }

    /// Counts a call that failed (1) or not (0).
    fn rate(&mut self, now: Timestamp, failed: f64) {
        self.failure_rate += NEW_WEIGHT * (failed - self.failure_rate);
        self.rated_at = now;
    }

    fn close(&mut self, sent: Timestamp) {
        if let Some(i) = self.in_flight.iter().position(|at| *at == sent) {
            self.in_flight.swap_remove(i);
        }
    }
}

/// Statistics of all plain backend servers, as observed by this gateway.
#[derive(Clone, Debug, Default)]
pub struct PlainServers {
    by_server: HashMap<ServerId, ServerStats>,
}

impl PlainServers {
    /// Server with the lowest cost among those not in `tried`; `draw` is uniform in 0..1 and breaks ties.
    pub fn pick<'a>(
        &self,
        now: Timestamp,
        zone: &str,
        servers: impl Iterator<Item = &'a Server>,
        tried: &[ServerId],
        mut draw: impl FnMut() -> f64,
    ) -> Option<&'a Server> {
        servers
            .filter(|s| !tried.contains(&s.id))
            .map(|s| (self.cost(now, zone, s) * (1.0 + 0.1 * draw()), s))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, s)| s)
    }

    /// Expected cost of a call to a server, in milliseconds.
    pub fn cost(&self, now: Timestamp, zone: &str, server: &Server) -> f64 {
        let zone_cost = if server.zone == zone { 0.0 } else { ZONE_COST_MS };
        let Some(stats) = self.by_server.get(&server.id) else {
            return INITIAL_MS + zone_cost;
        };
        let slots = f64::from(server.slots.max(1));
        let reported = match stats.load {
            Some((at, load)) if now.since(at) < LOAD_TTL => f64::from(load.running + load.waiting),
            _ => 0.0,
        };
        let busy = reported.max(stats.in_flight.len() as f64);
        let mean_ms = stats.mean_ms.unwrap_or(INITIAL_MS) * stats.slowdown(now);
        let stuck =
            stats.in_flight.iter().filter(|at| now.since(**at) > STUCK_AFTER).count() as f64;
        let back_off = if stats.back_off_until > now { FAILURE_COST_MS * 10.0 } else { 0.0 };
        let half_lives = now.since(stats.rated_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        let failure_rate = stats.failure_rate * 0.5_f64.powf(half_lives);
        // A server runs as many calls in parallel as it has slots; further calls wait.
        let queue = (busy + 1.0 - slots).max(0.0) / slots;
        mean_ms * (1.0 + busy / slots * 0.5 + queue)
            + zone_cost
            + failure_rate * FAILURE_COST_MS
            + stuck * FAILURE_COST_MS
            + back_off
    }

    /// Records that a call was sent.
    pub fn on_sent(&mut self, now: Timestamp, id: &ServerId) {
        self.by_server.entry(id.clone()).or_default().in_flight.push(now);
    }

    /// Records the end of a call that was sent at `sent`.
    pub fn on_ended(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        sent: Timestamp,
        outcome: AttemptOutcome,
        load: Option<Load>,
    ) {
        let stats = self.by_server.entry(id.clone()).or_default();
        stats.close(sent);
        if let Some(load) = load {
            stats.load = Some((now, load));
        }
        match outcome {
            AttemptOutcome::Unsent | AttemptOutcome::Moved => {
                stats.back_off_until = now.after(BACK_OFF)
            }
            AttemptOutcome::Rejected => {}
            AttemptOutcome::Mismatched => stats.rate(now, 1.0),
            AttemptOutcome::Answered(_) | AttemptOutcome::Lost => {
                stats.rate(now, if outcome.failed() { 1.0 } else { 0.0 });
                let took = now.since(sent).as_secs_f64() * 1e3;
                let mean_ms = stats.mean_ms.get_or_insert(took);
                *mean_ms += NEW_WEIGHT * (took - *mean_ms);
            }
        }
    }

    /// Records that a call was abandoned by its caller.
    pub fn on_abandoned(&mut self, id: &ServerId, sent: Timestamp) {
        if let Some(stats) = self.by_server.get_mut(id) {
            stats.close(sent);
        }
    }

    /// Drops servers that are not `alive` and have no call in flight.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.by_server.retain(|id, r| alive(id) || !r.in_flight.is_empty());
    }
}
