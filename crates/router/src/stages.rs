//! How many engines of a service read prompts, and which change.
//!
//! Answers the load of bursts to twice the usual rate, in which either the reading or the memory
//! for answers runs out first. The shares are set so that both carry the same rate of requests.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Engine, Server, ServerId, Stage};
use crate::forecast::Profile;

/// Part of an engine's reading speed that is planned with; the rest absorbs arrivals that clump.
pub const READ_PART: f64 = 0.85;
/// Weight of a new observation of a request's shape: about the last hundred count.
pub const NEW_WEIGHT: f64 = 0.02;
/// Requests that the first guess of a shape counts for.
pub const FIRST_WEIGHT: f64 = 4.0;
/// Requests from which on a shape is known: some four seconds of one gateway.
const KNOWN: f64 = 8.0;
/// Weight of a new observation of a token's time: events come twenty a second.
const TOKEN_WEIGHT: f64 = 0.02;
/// How long another number of readers must have been wanted once requests were seen: what is learned
/// moves by a tenth within seconds, and a change that is taken back costs an engine for twelve.
pub const WANTED_FOR: Duration = Duration::from_secs(3);
/// Shortest time between two orders to one engine beyond its switch, so that a change shows before
/// it is judged.
pub const SETTLE: Duration = Duration::from_secs(4);

/// The mean shape of a service's requests, learned from those that come: answers that end first are the
/// short ones, and say so seconds later.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Prompt tokens.
    prompt: f64,
    /// Tokens of memory at the end of an answer beyond the prompt.
    growth: f64,
    /// Seconds of one token of an answer.
    token: f64,
    /// Requests seen.
    seen: f64,
}

impl Default for Shape {
    /// One customer's kinds of request, until requests were seen.
    fn default() -> Self {
        Shape { prompt: 3_200.0, growth: 860.0, token: 0.004_6, seen: 0.0 }
    }
}

impl Shape {
    /// A request came whose answer is expected to be so long.
    pub fn observe(&mut self, prompt: f64, growth: f64) {
        let weight = NEW_WEIGHT.max(1.0 / (FIRST_WEIGHT + self.seen));
        self.seen += 1.0;
        self.prompt += weight * (prompt - self.prompt);
        self.growth += weight * (growth - self.growth);
    }

    /// A token of an answer took so many seconds.
    pub fn observe_token(&mut self, seconds: f64) {
        self.token += TOKEN_WEIGHT * (seconds - self.token);
    }

    /// Tokens of the usual prompt.
    pub fn prompt(&self) -> u64 {
        self.prompt as u64
    }

    /// Memory of the usual answer at its end.
    pub fn memory(&self) -> Profile {
        Profile::flat((self.prompt + self.growth) as u64)
    }

    /// Time of one token of an answer.
    pub fn token(&self) -> Duration {
        Duration::from_secs_f64(self.token)
    }

    /// Have enough requests come to go by them?
    pub fn is_known(&self) -> bool {
        self.seen >= KNOWN
    }

    /// Requests a second that one engine's memory and slots carry; `read` is the time of a prompt.
    pub fn decode_rate(&self, engine: &Engine, read: f64) -> f64 {
        let mean = self.prompt + self.growth / 2.0;
        let places = (engine.tokens as f64 / mean.max(1.0)).min(f64::from(engine.slots));
        places / (self.growth * self.token + read).max(0.1)
    }

    /// Requests a second that one engine reads, of so many tokens a second.
    pub fn prefill_rate(&self, rate: f64) -> f64 {
        rate * READ_PART / self.prompt.max(1.0)
    }
}

/// How many of `total` engines should read prompts, as a fraction; `rate` is the prompt tokens that one
/// reads in a second.
pub fn readers(total: usize, engine: &Engine, shape: &Shape, rate: f64) -> f64 {
    let read = shape.prefill_rate(rate);
    let write = shape.decode_rate(engine, 1.0 / read.max(1e-3));
    let most = total.saturating_sub(1) as f64;
    (write / (read + write) * total as f64).clamp(most.min(1.0), most)
}

/// How far the readers may be from what is wanted before any answer was seen: to the nearest number.
pub const SLACK_FIRST: f64 = 0.5;
/// The same later: an engine that changes is absent for six seconds, so only a whole engine too
/// many or too few is worth it. At 0.6 what the first answers said had a site change one in vain.
pub const SLACK_LATER: f64 = 0.95;

/// What a plan is made of.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Its engines that may be sent work, by who places at them: all, or those of each zone.
    pub groups: &'a [Vec<&'a Server>],
    /// What is known of them.
    pub engine: &'a Engine,
    /// The shape of its requests; none until enough were seen.
    pub shape: Option<Shape>,
    /// Prompt tokens that one engine reads in a second.
    pub rate: f64,
}

/// Orders that were given and may not show yet.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    given: HashMap<ServerId, (Stage, Timestamp)>,
    /// The change that is wanted, and since when, by service.
    wanted: HashMap<String, (Stage, Timestamp)>,
}

impl Planner {
    /// The next engine of a service to change and its new stage; one at a time.
    pub fn next(&mut self, now: Timestamp, view: &View<'_>) -> Option<(ServerId, Stage)> {
        self.forget_done(now, view.groups);
        let change = self.change(view);
        if !self.lasts(now, view, change.map(|(_, stage)| stage)) {
            return None;
        }
        let (group, stage) = change?;
        let servers = &view.groups[group];
        let free = servers.iter().filter(|s| !self.given.contains_key(&s.id));
        let pick = match stage {
            // The availability zone with the most readers gives one up.
            Stage::Decode => free
                .filter(|s| s.stage == Some(Stage::Prefill))
                .max_by_key(|s| (self.readers(servers, Some(&s.zone)), s.id.clone())),
            Stage::Prefill => {
                free.filter(|s| s.stage == Some(Stage::Decode)).min_by_key(|s| s.id.clone())
            }
        };
        pick.map(|s| (s.id.clone(), stage))
    }

    /// Engines that read or will soon, of one availability zone or all.
    fn readers(&self, servers: &[&Server], zone: Option<&str>) -> usize {
        let stage = |s: &Server| self.given.get(&s.id).map_or(s.stage, |(g, _)| Some(*g));
        let here = |s: &Server| zone.is_none_or(|z| s.zone == z);
        servers.iter().filter(|s| here(s) && stage(s) == Some(Stage::Prefill)).count()
    }

    /// The group that should change, and the stage that one of its engines should have: the one that is
    /// farthest from what is wanted, if it is too far by itself, or if all together are and it is nearer
    /// after a change. Six zones of six engines that each kept one reader too many, by a little less than a
    /// whole one, wrote with 24 engines where 30 were wanted.
    fn change(&self, view: &View<'_>) -> Option<(usize, Stage)> {
        let shape = view.shape.unwrap_or_default();
        let slack = if view.shape.is_some() { SLACK_LATER } else { SLACK_FIRST };
        let gap = |servers: &Vec<&Server>| {
            let wanted = readers(servers.len(), view.engine, &shape, view.rate);
            wanted - self.readers(servers, None) as f64
        };
        let gaps: Vec<f64> = view.groups.iter().map(gap).collect();
        let total: f64 = gaps.iter().sum();
        [(1.0, Stage::Prefill), (-1.0, Stage::Decode)].into_iter().find_map(|(sign, stage)| {
            let farthest = gaps.iter().map(|gap| gap * sign).enumerate();
            let (group, gap) = farthest.max_by(|a, b| a.1.total_cmp(&b.1))?;
            let far = gap > slack || total * sign > slack && gap > SLACK_FIRST;
            far.then_some((group, stage))
        })
    }

    /// Has this change been wanted for long enough? Before answers were seen nothing moves what is
    /// wanted, and callers have not come yet: it is made at once.
    fn lasts(&mut self, now: Timestamp, view: &View<'_>, change: Option<Stage>) -> bool {
        let Some(stage) = change else {
            self.wanted.remove(view.service);
            return false;
        };
        let since = match self.wanted.get(view.service) {
            Some((before, since)) if *before == stage => *since,
            _ => now,
        };
        self.wanted.insert(view.service.to_owned(), (stage, since));
        view.shape.is_none() || now.since(since) >= WANTED_FOR
    }

    /// Engines whose orders do not show yet.
    pub fn changing(&self) -> Vec<ServerId> {
        self.given.keys().cloned().collect()
    }

    /// Forgets orders that show, and those that did not in time.
    fn forget_done(&mut self, now: Timestamp, groups: &[Vec<&Server>]) {
        let shows = |id: &ServerId, stage: Stage| {
            groups.iter().flatten().any(|s| s.id == *id && s.stage == Some(stage))
        };
        self.given.retain(|id, (stage, until)| *until > now && !shows(id, *stage));
    }

    /// An order was sent; it may show late.
    pub fn given(&mut self, now: Timestamp, id: &ServerId, stage: Stage, engine: &Engine) {
        self.given.insert(id.clone(), (stage, now.after(engine.switch).after(SETTLE)));
    }

    /// An order was not taken; the engine may be asked again after a while.
    pub fn refused(&mut self, id: &ServerId) {
        self.given.remove(id);
    }
}
