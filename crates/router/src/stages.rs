//! How many engines of a service read prompts, and which change.
//!
//! Answers the load of bursts to twice the usual rate, in which either the reading or the memory
//! for answers runs out first. The shares are set so that both carry the same rate of requests.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Moment;

use crate::catalog::{Engine, Server, ServerId, Stage};

/// Prompt tokens that one engine reads in a second when it does nothing else.
pub const READ_RATE: f64 = 33_333.0;
/// Part of that rate that is planned with; the rest absorbs arrivals that clump.
pub const READ_PART: f64 = 0.85;
/// Weight of a new observation of a request's shape: about the last hundred count.
pub const NEW_WEIGHT: f64 = 0.02;
/// Shortest time between two orders to one engine beyond its switch, so that a change shows before
/// it is judged.
pub const SETTLE: Duration = Duration::from_secs(4);

/// The mean shape of a service's requests.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Prompt tokens.
    pub prompt: f64,
    /// Tokens of memory at the end of an answer beyond the prompt.
    pub growth: f64,
    /// Seconds from a place's reservation to the end of the answer.
    pub stay: f64,
}

impl Default for Shape {
    /// The sheets' kinds of request, until answers were seen.
    fn default() -> Self {
        Shape { prompt: 3_200.0, growth: 860.0, stay: 4.0 }
    }
}

impl Shape {
    /// An answer ended whole.
    pub fn observe(&mut self, prompt: f64, growth: f64, stay: f64) {
        self.prompt += NEW_WEIGHT * (prompt - self.prompt);
        self.growth += NEW_WEIGHT * (growth - self.growth);
        self.stay += NEW_WEIGHT * (stay - self.stay);
    }

    /// Requests a second that one engine's memory and slots carry.
    pub fn decode_rate(&self, engine: &Engine) -> f64 {
        let mean = self.prompt + self.growth / 2.0;
        let places = (engine.tokens as f64 / mean.max(1.0)).min(f64::from(engine.slots));
        places / self.stay.max(0.1)
    }

    /// Requests a second that one engine reads.
    pub fn prefill_rate(&self) -> f64 {
        READ_RATE * READ_PART / self.prompt.max(1.0)
    }
}

/// How many of `total` engines should read prompts, as a fraction.
pub fn readers(total: usize, engine: &Engine, shape: &Shape) -> f64 {
    let (read, write) = (shape.prefill_rate(), shape.decode_rate(engine));
    let most = total.saturating_sub(1) as f64;
    (write / (read + write) * total as f64).clamp(most.min(1.0), most)
}

/// How far the readers may be from what is wanted before any answer was seen: to the nearest number.
pub const SLACK_FIRST: f64 = 0.5;
/// The same later: an engine that changes is absent for six seconds, so only a whole engine too
/// many or too few is worth it.
pub const SLACK_LATER: f64 = 0.95;

/// Orders that were given and may not show yet.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    given: HashMap<ServerId, (Stage, Moment)>,
}

impl Planner {
    /// The next engine to change and its new stage; one at a time. `slack` is one of the two above.
    pub fn next(
        &mut self,
        now: Moment,
        servers: &[&Server],
        engine: &Engine,
        shape: &Shape,
        slack: f64,
    ) -> Option<(ServerId, Stage)> {
        self.forget_done(now, servers);
        let stage = |s: &Server| self.given.get(&s.id).map_or(s.stage, |(g, _)| Some(*g));
        let readers_now = servers.iter().filter(|s| stage(s) == Some(Stage::Prefill)).count();
        let wanted = readers(servers.len(), engine, shape);
        let free = |s: &&&Server| !self.given.contains_key(&s.id);
        if readers_now as f64 - wanted > slack {
            // The availability zone with the most readers gives one up.
            let crowd = |s: &Server| {
                servers
                    .iter()
                    .filter(|o| o.zone == s.zone && stage(o) == Some(Stage::Prefill))
                    .count()
            };
            let reads = servers.iter().filter(free).filter(|s| s.stage == Some(Stage::Prefill));
            let pick = reads.max_by_key(|s| (crowd(s), s.id.clone()))?;
            return Some((pick.id.clone(), Stage::Decode));
        }
        if wanted - readers_now as f64 > slack {
            let writes = servers.iter().filter(free).filter(|s| s.stage == Some(Stage::Decode));
            let pick = writes.min_by_key(|s| s.id.clone())?;
            return Some((pick.id.clone(), Stage::Prefill));
        }
        None
    }

    /// Engines whose orders do not show yet.
    pub fn changing(&self) -> Vec<ServerId> {
        self.given.keys().cloned().collect()
    }

    /// Forgets orders that show, and those that did not in time.
    fn forget_done(&mut self, now: Moment, servers: &[&Server]) {
        let shows = |id: &ServerId, stage: Stage| {
            servers.iter().any(|s| s.id == *id && s.stage == Some(stage))
        };
        self.given.retain(|id, (stage, until)| *until > now && !shows(id, *stage));
    }

    /// An order was sent; it may show late.
    pub fn given(&mut self, now: Moment, id: &ServerId, stage: Stage, engine: &Engine) {
        self.given.insert(id.clone(), (stage, now.after(engine.switch).after(SETTLE)));
    }

    /// An order was not taken; the engine may be asked again after a while.
    pub fn refused(&mut self, id: &ServerId) {
        self.given.remove(id);
    }
}
