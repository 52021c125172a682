//! Which backend server of a plain service takes a request.
//!
//! Answers the load of short calls on a few servers, some of which fail, hang or turn slow while
//! their health check is good. Each server is judged by its own recent answers: time, failures, and
//! requests that it has kept for too long.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Server, ServerId};
use crate::outcome::{Fate, Load};

/// Weight of a new observation of time or failure: about the last ten answers count, half a second
/// at 20 checks a second and entry.
pub const NEW_WEIGHT: f64 = 0.15;
/// Expected time of a call of which nothing is known, in milliseconds; the calls' mean work.
pub const START_MS: f64 = 30.0;
/// What a certain failure costs in a comparison, in milliseconds: a call that fails is sent anew
/// or lost, some ten times its mean time.
pub const FAILURE_MS: f64 = 400.0;
/// A call kept this long counts as stuck; 99 in 100 end within 220 ms.
pub const STUCK: Duration = Duration::from_millis(300);
/// How long a server that could not be reached is passed over.
pub const REST: Duration = Duration::from_millis(1_000);
/// How long the load that a server told is believed.
pub const LOAD_LIFE: Duration = Duration::from_millis(400);
/// What another availability zone costs in a comparison, in milliseconds: there and back.
pub const ZONE_MS: f64 = 3.0;
/// How fast a failure rate is forgiven without an answer, so that a server that mended is tried
/// again: by half every two seconds.
pub const FORGIVEN: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Default)]
struct Record {
    open: Vec<Timestamp>,
    ms: Option<f64>,
    fails: f64,
    judged_at: Timestamp,
    rests_until: Timestamp,
    load: Option<(Timestamp, Load)>,
}

impl Record {
    fn close(&mut self, sent: Timestamp) {
        if let Some(i) = self.open.iter().position(|at| *at == sent) {
            self.open.swap_remove(i);
        }
    }
}

/// Records of all plain backend servers, as this entry saw them.
#[derive(Clone, Debug, Default)]
pub struct Plain {
    records: HashMap<ServerId, Record>,
}

impl Plain {
    /// The best backend server that was not tried yet; `draw` is uniform in 0..1 and breaks ties.
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

    /// Expected cost of a call at this server, in milliseconds.
    pub fn cost(&self, now: Timestamp, zone: &str, server: &Server) -> f64 {
        let apart = if server.zone == zone { 0.0 } else { ZONE_MS };
        let Some(record) = self.records.get(&server.id) else {
            return START_MS + apart;
        };
        let slots = f64::from(server.slots.max(1));
        let told = match record.load {
            Some((at, load)) if now.since(at) < LOAD_LIFE => f64::from(load.running + load.waiting),
            _ => 0.0,
        };
        let busy = told.max(record.open.len() as f64);
        let ms = record.ms.unwrap_or(START_MS);
        let stuck = record.open.iter().filter(|at| now.since(**at) > STUCK).count() as f64;
        let rests = if record.rests_until > now { FAILURE_MS * 10.0 } else { 0.0 };
        let age = now.since(record.judged_at).as_secs_f64() / FORGIVEN.as_secs_f64();
        let fails = record.fails * 0.5_f64.powf(age);
        // Up to its slots a server works side by side; beyond, each further call waits its turn.
        let queue = (busy + 1.0 - slots).max(0.0) / slots;
        ms * (1.0 + busy / slots * 0.5 + queue)
            + apart
            + fails * FAILURE_MS
            + stuck * FAILURE_MS
            + rests
    }

    /// A call was sent.
    pub fn sent(&mut self, now: Timestamp, id: &ServerId) {
        self.records.entry(id.clone()).or_default().open.push(now);
    }

    /// A call ended that was sent at `sent`.
    pub fn ended(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        sent: Timestamp,
        fate: Fate,
        load: Option<Load>,
    ) {
        let record = self.records.entry(id.clone()).or_default();
        record.close(sent);
        if let Some(load) = load {
            record.load = Some((now, load));
        }
        match fate {
            Fate::Unsent | Fate::Moved => record.rests_until = now.after(REST),
            Fate::Rejected => {}
            Fate::Answered(_) | Fate::Lost => {
                let failed = if fate.failed() { 1.0 } else { 0.0 };
                record.fails += NEW_WEIGHT * (failed - record.fails);
                record.judged_at = now;
                let took = now.since(sent).as_secs_f64() * 1e3;
                let ms = record.ms.get_or_insert(took);
                *ms += NEW_WEIGHT * (took - *ms);
            }
        }
    }

    /// A call was given up because its caller is gone.
    pub fn dropped(&mut self, id: &ServerId, sent: Timestamp) {
        if let Some(record) = self.records.get_mut(id) {
            record.close(sent);
        }
    }

    /// Forgets servers that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.records.retain(|id, r| alive(id) || !r.open.is_empty());
    }
}
