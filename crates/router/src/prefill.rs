//! Chooses the prefill engine for a prompt and predicts when prefill ends.
//!
//! When many prompts arrive at once, the engine is chosen whose queue, counting the load of all
//! gateways, lets it finish first. The predicted time decides whether a request can be in time at
//! all.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Server, ServerId};
use crate::engine_load::EngineLoad;
pub use crate::engine_speeds::SpeedFactors;
use crate::prefill_speed::PrefillSpeed;
use crate::sampling::sample_size;

/// Penalty for a prefill engine in another availability zone than the decode engine: the transfer
/// takes twice as long and costs up to three times as much, and prefill takes some 100 ms.
pub const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(40);
/// Random spread, so that equal prefill engines are all used.
const JITTER: Duration = Duration::from_millis(6);
/// Inputs for choosing a prefill engine.
pub struct ChoiceContext<'a> {
    /// Speed factor of each engine.
    pub speed_factors: &'a SpeedFactors,
    /// Prefill speed of the service's engines.
    pub prefill_speed: &'a PrefillSpeed,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Whether engines process it before prompts of the least urgent level.
    pub urgent: bool,
    /// Places in the queues of all engines that it must leave for urgent prompts. Without them,
    /// engines whose queues are full of routine prompts reject urgent ones.
    pub headroom: u32,
    /// Availability zone of the decode engine, or of the gateway while none is chosen.
    pub zone: &'a str,
    /// Live gateways.
    pub gateways: usize,
}

/// Returns the prefill engine with the earliest predicted end, and that time; `load_at` is the load of
/// all gateways at an engine, `draw` is uniform in 0..1.
pub fn pick<'a>(
    now: Timestamp,
    engines: impl Iterator<Item = &'a Server>,
    load_at: impl Fn(&ServerId) -> EngineLoad,
    context: &ChoiceContext<'_>,
    mut draw: impl FnMut() -> f64,
) -> Option<(&'a Server, Timestamp)> {
    let mut engines: Vec<(f64, &Server)> = engines.map(|s| (draw(), s)).collect();
    engines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let sample_len = sample_size(engines.len(), context.gateways);
    let kept = context.headroom.div_ceil(engines.len().max(1) as u32);
    let predict = |(draw, s): &(f64, &'a Server)| {
        let load = load_at(&s.id);
        // An engine queues hardly more prompts than it has slots and rejects the rest.
        if load.reads >= s.slots.saturating_sub(kept).max(1) {
            return None;
        }
        let took = context
            .prefill_speed
            .time(load.delaying(context.urgent), context.prompt)
            .mul_f64(context.speed_factors.of(&s.id));
        let penalty = if s.zone == context.zone { Duration::ZERO } else { CROSS_ZONE_PENALTY };
        let extra = penalty + JITTER.mul_f64(*draw);
        Some((now.after(took), now.after(took + extra), *s))
    };
    // One engine of the zone is always compared too; decode engines are spread over the zones.
    let (sample, others) = engines.split_at(sample_len.min(engines.len()));
    let same_zone = others.iter().find(|(_, s)| s.zone == context.zone);
    let penalized_end = |at: &(Timestamp, Timestamp, &Server)| at.1;
    let best = sample.iter().chain(same_zone).filter_map(predict).min_by_key(penalized_end);
    // When the whole sample is full, the other engines are considered too.
    let found = best.or_else(|| others.iter().filter_map(predict).min_by_key(penalized_end));
    found.map(|(at, _, s)| (s, at))
}
