//! Free memory of engines, and the engine that a request is placed at.

use ebonyloft_core::time::Timestamp;

use super::{AdmissionContext, EngineAdmission, FAULT_BACKOFF, FAULT_PAUSE};
use crate::catalog::{Engine, Server, ServerId};
use crate::demand::Demand;
use crate::engine_load::EngineLoad;
use crate::forecast::{MARGIN_SIGMAS, MemoryForecast, URGENT_MARGIN_SIGMAS};
use crate::sampling::sample_size;

impl EngineAdmission {
    /// Returns the free fraction of the memory of all engines that are not failing.
    pub fn free_fraction(
        &self,
        now: Timestamp,
        servers: &[&Server],
        engine: &Engine,
        peer_load: impl Fn(&ServerId) -> EngineLoad,
    ) -> f64 {
        let (mut free, mut all) = (0, 0);
        for s in servers.iter().filter(|s| !self.faulty(now, &s.id)) {
            let used = self.own_load(&s.id).plus(peer_load(&s.id)).memory;
            free += used.free_tokens(engine.tokens, MARGIN_SIGMAS).max(0) as u64;
            all += engine.tokens;
        }
        free as f64 / (all as f64).max(1.0)
    }

    /// Returns how many more answers with the forecast `typical` the engines can take now, with
    /// `margin` standard deviations of their use kept free.
    pub fn free_capacity(
        &self,
        now: Timestamp,
        servers: &[&Server],
        engine: &Engine,
        (typical, margin): (MemoryForecast, f64),
        peer_load: impl Fn(&ServerId) -> EngineLoad,
    ) -> u32 {
        let slots_left = |s: &&&Server| {
            let all = self.own_load(&s.id).plus(peer_load(&s.id));
            let free = all.memory.free_tokens(engine.tokens, margin).max(0) as u64;
            let slots = engine.slots.saturating_sub(all.count);
            slots.min((free / typical.peak().max(1)) as u32)
        };
        servers.iter().filter(|s| self.may_take(now, &s.id)).map(|s| slots_left(&s)).sum()
    }

    /// Returns free memory divided by the decode factor: a slow engine holds the memory of an answer
    /// for as long as the answer takes.
    fn weighted_free(&self, id: &ServerId, free: i64) -> f64 {
        let factor = self.decode_factors.get(id).copied().unwrap_or(1.0);
        if free > 0 { free as f64 / factor } else { free as f64 * factor }
    }

    /// Returns the engine to ask for a request, if one is expected to have enough memory and the
    /// others have the headroom for requests of higher precedence.
    pub(super) fn choose_engine(
        &self,
        now: Timestamp,
        servers: &[&Server],
        context: &AdmissionContext<'_>,
        peer_load: &impl Fn(&ServerId) -> EngineLoad,
        demand: &Demand,
        draw: &mut impl FnMut() -> f64,
    ) -> Option<ServerId> {
        let servers = &self.askable(now, servers, demand)[..];
        let usual = (demand.memory, MARGIN_SIGMAS);
        let found = self.most_free(servers, context, peer_load, usual, draw);
        if found.is_none() && context.urgency.reduces_margin(demand.precedence) {
            let reduced = (demand.memory, URGENT_MARGIN_SIGMAS);
            return self.most_free(servers, context, peer_load, reduced, draw);
        }
        let id = found?;
        let headroom = context.urgency.headroom(demand.precedence);
        // An answer that has begun must continue.
        if headroom == 0 || demand.begun {
            return Some(id);
        }
        let admitted = EngineLoad { memory: demand.memory, count: 1, ..EngineLoad::default() };
        let load_after = |s: &ServerId| match *s == id {
            true => peer_load(s).plus(admitted),
            false => peer_load(s),
        };
        let margin = context.urgency.headroom_margin(demand.precedence);
        let typical = (context.urgency.typical, margin);
        let left = self.free_capacity(now, servers, context.engine, typical, load_after);
        (left >= headroom).then_some(id)
    }

    /// Returns the engines that may be asked for a reservation. A stream that has begun may also go
    /// to one that failed, if no other is left: a few engines may be all that can continue it.
    fn askable<'a>(
        &self,
        now: Timestamp,
        servers: &[&'a Server],
        demand: &Demand,
    ) -> Vec<&'a Server> {
        let usable: Vec<&Server> =
            servers.iter().copied().filter(|s| self.may_take(now, &s.id)).collect();
        if !usable.is_empty() || !demand.begun {
            return usable;
        }
        let later = now.after(FAULT_BACKOFF - FAULT_PAUSE);
        let is_paused = |s: &&Server| {
            let record = self.records.get(&s.id);
            record.is_none_or(|r| r.full_until <= now && r.fault_until <= later)
        };
        servers.iter().copied().filter(is_paused).collect()
    }

    /// Returns the engine with the most free memory among a random sample of those that are
    /// expected to have enough, with `margin` standard deviations kept free.
    fn most_free(
        &self,
        servers: &[&Server],
        context: &AdmissionContext<'_>,
        peer_load: &impl Fn(&ServerId) -> EngineLoad,
        (memory, margin): (MemoryForecast, f64),
        draw: &mut impl FnMut() -> f64,
    ) -> Option<ServerId> {
        let free = |s: &Server| {
            let all = self.own_load(&s.id).plus(peer_load(&s.id));
            let free = all.memory.plus(memory).free_tokens(context.engine.tokens, margin);
            // An idle engine takes an answer that fits its memory now, even if it may outgrow it.
            let idle_fit = all.count == 0 && memory.reserved() <= context.engine.tokens;
            ((free >= 0 || idle_fit) && all.count < context.engine.slots).then_some(free)
        };
        let mut candidates: Vec<(f64, i64, &Server)> =
            servers.iter().filter_map(|s| Some((draw(), free(s)?, *s))).collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let sample_len = sample_size(candidates.len(), context.gateways).min(candidates.len());
        candidates[..sample_len]
            .iter()
            .map(|(_, free, s)| (self.weighted_free(&s.id, *free), s))
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, s)| s.id.clone())
    }
}
