//! Plans how many engines of a service are prefill engines, and which engine changes its stage.
//!
//! In bursts of twice the usual rate either prefill or the memory for answers runs out first. The
//! engines are divided so that both sustain the same rate of requests. Where engines are known to
//! differ in speed, their capacity is divided instead of their number, the fastest are prefill engines,
//! and pairs that stand the other way round are exchanged.

mod exchange;

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use self::exchange::Exchanges;
pub use self::exchange::{
    EVENTS_MIN, EXCHANGE_REST, Exchange, MISSING_WINDOW, PROMPTS_MIN, SLOWER_MIN, Side,
};
use crate::catalog::{Engine, Server, ServerId, Stage};
use crate::engine_speeds::SpeedSnapshot;
use crate::forecast::MemoryForecast;

/// Fraction of an engine's prefill speed to plan with; the rest absorbs bursts of arrivals.
pub const PLANNED_FRACTION: f64 = 0.85;
/// Weight of a new observation of the request shape: about the last hundred count.
pub const SHAPE_WEIGHT: f64 = 0.02;
/// Number of requests that the initial guess of the shape counts for.
pub const INITIAL_WEIGHT: f64 = 4.0;
/// Requests from which on the shape counts as known: some four seconds of one gateway.
const KNOWN_REQUESTS: f64 = 8.0;
/// Weight of a new observation of the time per token; there are twenty events a second.
const TOKEN_WEIGHT: f64 = 0.02;
/// How long a change must be wanted once requests were seen. The learned values move by a tenth
/// within seconds, and a change that is reverted costs an engine for twelve seconds.
pub const CHANGE_DELAY: Duration = Duration::from_secs(3);
/// Shortest time between two orders to one engine, beyond the time of its change, so that a change
/// is visible before the next decision.
pub const ORDER_SETTLE: Duration = Duration::from_secs(4);

/// Average shape of a service's requests. It is learned when requests arrive, because short answers
/// end first and would bias it for seconds.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Prompt tokens.
    prompt: f64,
    /// Output tokens.
    output: f64,
    /// Seconds per output token.
    token_seconds: f64,
    /// Requests observed.
    count: f64,
}

impl Default for Shape {
    /// Initial guess: the requests of one customer.
    fn default() -> Self {
        Shape { prompt: 3_200.0, output: 860.0, token_seconds: 0.004_6, count: 0.0 }
    }
}

/// Shape of a service's requests as one gateway reports it to others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShapeReport {
    /// Average prompt length in tokens.
    #[serde(rename = "p")]
    pub prompt: u32,
    /// Average expected answer in tokens.
    #[serde(rename = "o")]
    pub output: u32,
    /// Microseconds per output token.
    #[serde(rename = "t")]
    pub token_us: u32,
    /// Requests observed.
    #[serde(rename = "n")]
    pub count: u32,
}

impl ShapeReport {
    /// Requests that the averages stand for: later ones replace earlier ones.
    fn weight(&self) -> f64 {
        f64::from(self.count).min(1.0 / SHAPE_WEIGHT)
    }

    /// The average of what was observed, without the initial guess that is part of `mean`.
    fn observed(&self, mean: u32, guess: f64) -> f64 {
        let (mean, count) = (f64::from(mean), f64::from(self.count));
        if count >= 1.0 / SHAPE_WEIGHT - INITIAL_WEIGHT {
            return mean;
        }
        mean + (mean - guess) * (INITIAL_WEIGHT - 1.0) / count
    }
}

impl Shape {
    /// The shape as it is reported to other gateways; none before a request was observed.
    pub fn report(&self) -> Option<ShapeReport> {
        (self.count > 0.0).then_some(ShapeReport {
            prompt: self.prompt as u32,
            output: self.output as u32,
            token_us: (self.token_seconds * 1e6) as u32,
            count: self.count as u32,
        })
    }

    /// The shape over the requests of this gateway and of others. One of hundreds of gateways has
    /// a request in seconds, too few to divide the engines by.
    pub fn merged(&self, others: impl Iterator<Item = ShapeReport>) -> Shape {
        let guess = Shape::default();
        let prior = INITIAL_WEIGHT - 1.0;
        let (mut total, mut count) = (0.0, 0.0);
        let (mut prompt, mut output) = (prior * guess.prompt, prior * guess.output);
        let mut token_us = 0.0;
        for r in self.report().into_iter().chain(others).filter(|r| r.count > 0) {
            total += r.weight();
            count += f64::from(r.count);
            prompt += r.weight() * r.observed(r.prompt, guess.prompt);
            output += r.weight() * r.observed(r.output, guess.output);
            token_us += r.weight() * f64::from(r.token_us);
        }
        if total == 0.0 {
            return *self;
        }
        let weight = prior + total;
        let token_seconds = token_us / total / 1e6;
        Shape { prompt: prompt / weight, output: output / weight, token_seconds, count }
    }

    /// Records a request that arrived, with the expected length of its answer.
    pub fn observe(&mut self, prompt: f64, output: f64) {
        let weight = SHAPE_WEIGHT.max(1.0 / (INITIAL_WEIGHT + self.count));
        self.count += 1.0;
        self.prompt += weight * (prompt - self.prompt);
        self.output += weight * (output - self.output);
    }

    /// Records the time that one output token took, in seconds.
    pub fn observe_token(&mut self, seconds: f64) {
        self.token_seconds += TOKEN_WEIGHT * (seconds - self.token_seconds);
    }

    /// Returns the average prompt length in tokens.
    pub fn prompt(&self) -> u64 {
        self.prompt as u64
    }

    /// Returns the memory that the average answer takes at its end.
    pub fn memory(&self) -> MemoryForecast {
        MemoryForecast::constant((self.prompt + self.output) as u64)
    }

    /// Returns the time per output token.
    pub fn token(&self) -> Duration {
        Duration::from_secs_f64(self.token_seconds)
    }

    /// Were enough requests observed to use the shape?
    pub fn is_known(&self) -> bool {
        self.count >= KNOWN_REQUESTS
    }

    /// Returns the requests a second that the memory and slots of one decode engine sustain; `read`
    /// is the prefill time of a prompt in seconds.
    pub fn decode_rate(&self, engine: &Engine, read: f64) -> f64 {
        let mean = self.prompt + self.output / 2.0;
        let capacity = (engine.tokens as f64 / mean.max(1.0)).min(f64::from(engine.slots));
        capacity / (self.output * self.token_seconds + read).max(0.1)
    }

    /// Returns the requests a second that one prefill engine sustains at `rate` prompt tokens a
    /// second.
    pub fn prefill_rate(&self, rate: f64) -> f64 {
        rate * PLANNED_FRACTION / self.prompt.max(1.0)
    }
}

/// Returns how many of `total` engines should be prefill engines, as a fraction; `rate` is the
/// prompt tokens that one processes in a second.
pub fn wanted_prefill_engines(total: usize, engine: &Engine, shape: &Shape, rate: f64) -> f64 {
    wanted_prefill_capacity(total as f64, engine, shape, rate)
}

/// Returns how much of the capacity `total` should be that of prefill engines; 1.0 is an engine of
/// average speed, which processes `rate` prompt tokens in a second.
fn wanted_prefill_capacity(total: f64, engine: &Engine, shape: &Shape, rate: f64) -> f64 {
    let prefill = shape.prefill_rate(rate);
    let decode = shape.decode_rate(engine, 1.0 / prefill.max(1e-3));
    let most = (total - 1.0).max(0.0);
    (decode / (prefill + decode) * total).clamp(most.min(1.0), most)
}

/// Tolerated difference from the wanted number of prefill engines before any request was seen:
/// rounds to the nearest number.
pub const TOLERANCE_INITIAL: f64 = 0.5;
/// The same afterwards. An engine that changes is absent for six seconds, so only a whole engine
/// too many or too few is worth it; 0.6 changes engines in vain after the first answers.
pub const TOLERANCE: f64 = 0.95;

/// Engines whose speeds differ by less than this factor are chosen among by zone and name, so that
/// noise in the factors does not decide.
const SPEED_CLASS: f64 = 1.25;

/// Inputs for planning the stages of a service.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Its usable engines, in one group per set of gateways that share them: all engines, or those
    /// of each zone.
    pub groups: &'a [Vec<&'a Server>],
    /// Parameters of its engines.
    pub engine: &'a Engine,
    /// Shape of its requests; `None` until enough were observed.
    pub shape: Option<Shape>,
    /// Prompt tokens that one engine processes in a second.
    pub rate: f64,
}

/// A planned change of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The engine.
    pub id: ServerId,
    /// Its new stage.
    pub stage: Stage,
    /// The exchange that the change is half of.
    pub exchange: Option<Exchange>,
}

/// Plans stage changes and tracks orders that have not taken effect yet.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    orders: HashMap<ServerId, (Stage, Timestamp)>,
    /// The wanted change of each service, and since when it has been wanted.
    wanted: HashMap<String, (Stage, Timestamp)>,
    exchanges: Exchanges,
}

impl Planner {
    /// Returns the next engine of a service to change and its new stage; at most one.
    pub fn next(&mut self, now: Timestamp, context: &PlanContext<'_>) -> Option<(ServerId, Stage)> {
        self.next_by_speed(now, context, None).map(|change| (change.id, change.stage))
    }

    /// Returns the next change for engines of these speeds; without any, all count as equal.
    pub fn next_by_speed(
        &mut self,
        now: Timestamp,
        context: &PlanContext<'_>,
        speeds: Option<&SpeedSnapshot>,
    ) -> Option<Change> {
        self.drop_finished(now, context.groups);
        if let Some(speeds) = speeds {
            self.exchanges.observe(now, context, speeds, &self.orders);
            if let Some(change) = self.exchanges.second_half(context) {
                return Some(change);
            }
        }
        let change = self.change(context, speeds);
        let due = self.is_due(now, context, change.map(|(_, stage)| stage));
        match change {
            Some((group, stage)) if due => {
                let id = self.pick(&context.groups[group], stage, speeds)?;
                Some(Change { id, stage, exchange: None })
            }
            Some(_) => None,
            None => self.exchanges.next(now, context, speeds?, &self.orders),
        }
    }

    /// Picks the engine of a group that changes to a stage. Of engines that are known to differ in
    /// speed by a quarter or more, the slowest leaves prefill and the fastest takes it up.
    fn pick(
        &self,
        servers: &[&Server],
        stage: Stage,
        speeds: Option<&SpeedSnapshot>,
    ) -> Option<ServerId> {
        let available = servers.iter().filter(|s| !self.orders.contains_key(&s.id));
        let slowness = |s: &Server| {
            let factor: f64 = speeds.map_or(1.0, |all| exchange::factor(all, &s.id, stage.other()));
            (factor.ln() / SPEED_CLASS.ln()).round() as i32
        };
        let pick = match stage {
            // The engine comes from the availability zone with the most prefill engines.
            Stage::Decode => {
                available.filter(|s| s.stage == Some(Stage::Prefill)).max_by_key(|s| {
                    (slowness(s), self.prefill_count(servers, Some(&s.zone)), s.id.clone())
                })
            }
            Stage::Prefill => available
                .filter(|s| s.stage == Some(Stage::Decode))
                .min_by_key(|s| (slowness(s), s.id.clone())),
        };
        pick.map(|s| s.id.clone())
    }

    /// Returns the stage that an engine has or will soon have.
    fn next_stage(&self, server: &Server) -> Option<Stage> {
        self.orders.get(&server.id).map_or(server.stage, |(stage, _)| Some(*stage))
    }

    /// Counts the engines that are or will soon be prefill engines, in one availability zone or in
    /// all.
    fn prefill_count(&self, servers: &[&Server], zone: Option<&str>) -> usize {
        let in_zone = |s: &Server| zone.is_none_or(|z| s.zone == z);
        let is_prefill = |s: &Server| self.next_stage(s) == Some(Stage::Prefill);
        servers.iter().filter(|s| in_zone(s) && is_prefill(s)).count()
    }

    /// Returns the capacity of the engines of a group that are or will soon be prefill engines, and
    /// that of all; an engine counts one, or less if it is slow.
    fn capacity(&self, servers: &[&Server], speeds: Option<&SpeedSnapshot>) -> (f64, f64) {
        servers.iter().fold((0.0, 0.0), |(prefill, total), s| {
            let stage = self.next_stage(s).unwrap_or(Stage::Decode);
            let capacity = speeds.map_or(1.0, |all| 1.0 / exchange::factor(all, &s.id, stage));
            let prefill = if stage == Stage::Prefill { prefill + capacity } else { prefill };
            (prefill, total + capacity)
        })
    }

    /// Returns the group in which an engine should change, and its new stage. This is the group
    /// farthest from the wanted number, if it is too far by itself, or if all groups together are
    /// and the change brings it nearer. Without the second rule, six zones of six engines that each
    /// kept a little less than one prefill engine too many had 24 decode engines where 30 were
    /// wanted.
    fn change(
        &self,
        context: &PlanContext<'_>,
        speeds: Option<&SpeedSnapshot>,
    ) -> Option<(usize, Stage)> {
        let shape = context.shape.unwrap_or_default();
        let tolerance = if context.shape.is_some() { TOLERANCE } else { TOLERANCE_INITIAL };
        let gap = |servers: &Vec<&Server>| {
            let (prefill, total) = self.capacity(servers, speeds);
            wanted_prefill_capacity(total, context.engine, &shape, context.rate) - prefill
        };
        let gaps: Vec<f64> = context.groups.iter().map(gap).collect();
        let total: f64 = gaps.iter().sum();
        [(1.0, Stage::Prefill), (-1.0, Stage::Decode)].into_iter().find_map(|(sign, stage)| {
            let farthest = gaps.iter().map(|gap| gap * sign).enumerate();
            let (group, gap) = farthest.max_by(|a, b| a.1.total_cmp(&b.1))?;
            let too_far = gap > tolerance || total * sign > tolerance && gap > TOLERANCE_INITIAL;
            too_far.then_some((group, stage))
        })
    }

    /// Has this change been wanted for long enough? Before requests were seen the plan is stable
    /// and there is no load yet, so the change is made at once.
    fn is_due(&mut self, now: Timestamp, context: &PlanContext<'_>, change: Option<Stage>) -> bool {
        let Some(stage) = change else {
            self.wanted.remove(context.service);
            return false;
        };
        let since = match self.wanted.get(context.service) {
            Some((before, since)) if *before == stage => *since,
            _ => now,
        };
        self.wanted.insert(context.service.to_owned(), (stage, since));
        context.shape.is_none() || now.since(since) >= CHANGE_DELAY
    }

    /// Returns the engines whose orders have not taken effect yet.
    pub fn changing(&self) -> Vec<ServerId> {
        self.orders.keys().cloned().collect()
    }

    /// Drops orders that have taken effect or have timed out.
    fn drop_finished(&mut self, now: Timestamp, groups: &[Vec<&Server>]) {
        let in_effect = |id: &ServerId, stage: Stage| {
            groups.iter().flatten().any(|s| s.id == *id && s.stage == Some(stage))
        };
        self.orders.retain(|id, (stage, until)| *until > now && !in_effect(id, *stage));
    }

    /// Records that an order was sent.
    pub fn on_ordered(&mut self, now: Timestamp, id: &ServerId, stage: Stage, engine: &Engine) {
        self.orders.insert(id.clone(), (stage, now.after(engine.switch).after(ORDER_SETTLE)));
    }

    /// Records that an engine refused an order, so that it may be ordered again.
    pub fn on_refused(&mut self, id: &ServerId) {
        self.orders.remove(id);
        self.exchanges.on_refused(id);
    }
}
