//! Exchange of a slow prefill engine and a fast decode engine.
//!
//! Prefill on a slow engine uses up the latency goal of its requests; decode on it only lengthens
//! answers, whose pauses stay far below those that callers notice.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use super::{CHANGE_DELAY, Change, PlanContext};
use crate::catalog::{Server, ServerId, Stage};
use crate::engine_speeds::{Speed, SpeedSnapshot};

/// How much slower than a decode engine a prefill engine must be for an exchange: a smaller gain does
/// not pay for the six seconds that both are absent.
pub const SLOWER_MIN: f64 = 1.5;
/// Prompts from which on the prefill speed of an engine counts as observed.
pub const PROMPTS_MIN: u32 = 5;
/// Events from which on the decode speed of an engine counts as observed.
pub const EVENTS_MIN: u32 = 50;
/// Time for which engines that were exchanged are not exchanged again: ten times as long as they are
/// absent, so that noise costs at most a tenth of their time.
pub const EXCHANGE_REST: Duration = Duration::from_secs(60);
/// One pair for each so many engines of a group may change at a time.
const ENGINES_PER_PAIR: usize = 12;
/// Time for which engines that are gone count as missing. A restart of many engines takes some tens
/// of seconds.
pub const MISSING_WINDOW: Duration = Duration::from_secs(60);
/// Time after which an engine that was not seen as slow again no longer counts as such: several
/// checks of the planner.
const SLOW_TIMEOUT: Duration = Duration::from_secs(2);
/// Factors of prompts and of tokens are relative to the averages of different engines. Both are
/// therefore compared with what this fraction of the engines of the same stage in all groups reach:
/// where three of twelve prefill engines are fast, these are the measure, also in a zone without any.
const REFERENCE_QUANTILE: f64 = 0.2;

/// Returns from how many missing engines of a group on there is no exchange: a third.
fn missing_limit(engines: usize) -> usize {
    engines.div_ceil(3)
}

/// One engine of an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct Side {
    /// The engine.
    pub id: ServerId,
    /// Its observed speed.
    pub speed: Speed,
    /// Its factor relative to the fast engines of its stage.
    pub relative: f64,
}

/// An exchange, with the inputs that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// The slow prefill engine.
    pub slow: Side,
    /// The fast decode engine.
    pub fast: Side,
    /// Engines of the group that are present.
    pub engines: usize,
    /// Engines of the group that are missing.
    pub missing: usize,
}

/// Returns the factor of an engine at the work of a stage.
pub fn factor(speeds: &SpeedSnapshot, id: &ServerId, stage: Stage) -> f64 {
    speeds.get(id).map_or(1.0, |speed| speed.factor(stage))
}

/// Most engines of a group that were present within the window.
#[derive(Clone, Copy, Debug)]
struct Peak {
    engines: usize,
    seen_at: Timestamp,
}

/// Since when an engine is slow, and when this was seen last.
#[derive(Clone, Copy, Debug)]
struct Slow {
    since: Timestamp,
    seen_at: Timestamp,
}

/// Orders that have not taken effect, by engine.
type Orders = HashMap<ServerId, (Stage, Timestamp)>;

/// Decides on exchanges.
#[derive(Clone, Debug, Default)]
pub struct Exchanges {
    /// Prefill engines that are slower than a decode engine of their group.
    slow: HashMap<ServerId, Slow>,
    /// Engines that were exchanged, and until when they are not exchanged again.
    resting: HashMap<ServerId, Timestamp>,
    /// The second half of an exchange whose first half was ordered, by service.
    second: HashMap<String, Change>,
    /// By service and zone.
    peaks: HashMap<(String, String), Peak>,
}

impl Exchanges {
    /// Records the engines that are present, and which prefill engines are slow.
    pub fn observe(
        &mut self,
        now: Timestamp,
        context: &PlanContext<'_>,
        speeds: &SpeedSnapshot,
        orders: &Orders,
    ) {
        self.resting.retain(|_, until| *until > now);
        self.slow.retain(|_, slow| now.since(slow.seen_at) < SLOW_TIMEOUT);
        self.peaks.retain(|_, peak| now.since(peak.seen_at) <= MISSING_WINDOW);
        for servers in context.groups {
            let engines = servers.len();
            let peak = self.peaks.entry(group_key(context, servers));
            let peak = peak.or_insert(Peak { engines, seen_at: now });
            if engines >= peak.engines {
                *peak = Peak { engines, seen_at: now };
            }
            let fast = self.fastest(context, servers, speeds, orders);
            for slow in self.candidates(context, servers, Stage::Prefill, speeds, orders) {
                if fast.as_ref().is_some_and(|fast| is_slower(&slow, fast)) {
                    let entry =
                        self.slow.entry(slow.id).or_insert(Slow { since: now, seen_at: now });
                    entry.seen_at = now;
                } else {
                    self.slow.remove(&slow.id);
                }
            }
        }
    }

    /// Returns the second half of an exchange that has begun.
    pub fn second_half(&mut self, context: &PlanContext<'_>) -> Option<Change> {
        let change = self.second.remove(context.service)?;
        let mut servers = context.groups.iter().flatten();
        // Without the second engine, the numbers are made up for like any other.
        servers.any(|s| s.id == change.id && s.stage != Some(change.stage)).then_some(change)
    }

    /// Returns the first half of the next exchange.
    pub fn next(
        &mut self,
        now: Timestamp,
        context: &PlanContext<'_>,
        speeds: &SpeedSnapshot,
        orders: &Orders,
    ) -> Option<Change> {
        let exchange = context
            .groups
            .iter()
            .find_map(|servers| self.exchange(now, context, servers, speeds, orders))?;
        for side in [&exchange.slow, &exchange.fast] {
            self.resting.insert(side.id.clone(), now.after(EXCHANGE_REST));
        }
        let half = |side: &Side, stage| Change {
            id: side.id.clone(),
            stage,
            exchange: Some(exchange.clone()),
        };
        let second = half(&exchange.slow, Stage::Decode);
        self.second.insert(context.service.to_owned(), second);
        Some(half(&exchange.fast, Stage::Prefill))
    }

    fn exchange(
        &self,
        now: Timestamp,
        context: &PlanContext<'_>,
        servers: &[&Server],
        speeds: &SpeedSnapshot,
        orders: &Orders,
    ) -> Option<Exchange> {
        let engines = servers.len();
        let peak = self.peaks.get(&group_key(context, servers)).map_or(engines, |p| p.engines);
        let missing = peak.saturating_sub(engines);
        // An engine that changes may be absent from its group.
        let elsewhere = |id: &ServerId| {
            !servers.iter().any(|s| s.id == *id)
                && context.groups.iter().flatten().any(|s| s.id == *id)
        };
        let changing = orders.keys().filter(|id| !elsewhere(id)).count();
        let pairs = (peak / ENGINES_PER_PAIR).max(1);
        if missing >= missing_limit(peak) || changing + 2 > pairs * 2 {
            return None;
        }
        let fast = self.fastest(context, servers, speeds, orders)?;
        let lasting = |id: &ServerId| {
            self.slow.get(id).is_some_and(|slow| now.since(slow.since) >= CHANGE_DELAY)
        };
        let slow = self.candidates(context, servers, Stage::Prefill, speeds, orders);
        let slow = slow.into_iter().filter(|slow| lasting(&slow.id));
        let slow = slow.max_by(|a, b| a.relative.total_cmp(&b.relative))?;
        is_slower(&slow, &fast).then_some(Exchange { slow, fast, engines, missing })
    }

    /// Gives up the rest of an exchange whose first half was refused.
    pub fn on_refused(&mut self, id: &ServerId) {
        self.second.retain(|_, change| change.exchange.as_ref().is_none_or(|e| e.fast.id != *id));
    }

    /// Returns the fastest decode engine that may be exchanged.
    fn fastest(
        &self,
        context: &PlanContext<'_>,
        servers: &[&Server],
        speeds: &SpeedSnapshot,
        orders: &Orders,
    ) -> Option<Side> {
        let all = self.candidates(context, servers, Stage::Decode, speeds, orders);
        all.into_iter().min_by(|a, b| a.relative.total_cmp(&b.relative))
    }

    /// Returns the engines in a stage that may be exchanged and whose speed was observed.
    fn candidates(
        &self,
        context: &PlanContext<'_>,
        servers: &[&Server],
        stage: Stage,
        speeds: &SpeedSnapshot,
        orders: &Orders,
    ) -> Vec<Side> {
        let all = context.groups.iter().flat_map(|servers| observed(servers, stage, speeds));
        let reference = reference(all.map(|(_, speed)| speed.factor).collect());
        let observed = observed(servers, stage, speeds);
        let free = |id: &ServerId| !orders.contains_key(id) && !self.resting.contains_key(id);
        let side = |(s, speed): (&Server, Speed)| {
            let relative = speed.factor / reference;
            Side { id: s.id.clone(), speed, relative }
        };
        observed.into_iter().filter(|(s, _)| free(&s.id)).map(side).collect()
    }
}

fn is_slower(slow: &Side, fast: &Side) -> bool {
    slow.relative >= fast.relative * SLOWER_MIN
}

/// Returns the engines in a stage whose speed at its work was observed.
fn observed<'a>(
    servers: &[&'a Server],
    stage: Stage,
    speeds: &SpeedSnapshot,
) -> Vec<(&'a Server, Speed)> {
    let min = if stage == Stage::Prefill { PROMPTS_MIN } else { EVENTS_MIN };
    let known = |s: &&'a Server| {
        let known = speeds.get(&s.id)?;
        let mut speed = known.at(stage).filter(|speed| speed.weight >= min)?;
        // An engine that was slow as a prefill engine is not taken for one again because its events
        // look fast.
        if let (Stage::Decode, Some(prefill)) = (stage, known.prefill) {
            speed.factor = speed.factor.max(prefill.factor);
        }
        Some((*s, speed))
    };
    servers.iter().filter(|s| s.stage == Some(stage)).filter_map(known).collect()
}

/// Returns the factor that the fast engines of a stage have.
fn reference(mut factors: Vec<f64>) -> f64 {
    factors.sort_by(f64::total_cmp);
    let index = (factors.len() as f64 * REFERENCE_QUANTILE) as usize;
    factors.get(index).copied().unwrap_or(1.0)
}

/// Identifies a group: the service, and the zone where each zone is a group.
fn group_key(context: &PlanContext<'_>, servers: &[&Server]) -> (String, String) {
    let zone = match context.groups {
        [_] => String::new(),
        _ => servers.first().map_or_else(String::new, |s| s.zone.clone()),
    };
    (context.service.to_owned(), zone)
}
