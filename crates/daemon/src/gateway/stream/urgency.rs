//! Demand by precedence, as this gateway observes it and its peers report it.

use std::cell::RefMut;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::demand::Demand;
use ebonyloft_router::engine_load::Prompt;
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::urgency::arrivals::{self, ArrivalRates};
use ebonyloft_router::urgency::{SendState, ServiceUrgency, UrgencyContext, UrgencyLevels};

use super::shares;
use crate::gateway::intake::Intake;
use crate::gateway::shared::Shared;

/// Demand for a service's engines at one moment.
pub struct UrgencySnapshot {
    least: u8,
    typical: MemoryForecast,
    rates: Vec<(Precedence, f64)>,
    by_goal: bool,
}

impl UrgencySnapshot {
    /// The demand as known now.
    pub fn new(shared: &Shared, service: &str, levels: &UrgencyLevels) -> Self {
        let now = shared.now();
        let (own, by_goal) = {
            let state = state(shared, service);
            let by_goal = state.share.is_exceeded(now, shared.urgent_share.get());
            (state.arrivals.rates(now).collect::<Vec<_>>(), by_goal)
        };
        let load_reports = shared.load_reports.borrow();
        let rates = arrivals::sum(own.into_iter().chain(load_reports.peer_arrivals(now, service)));
        let least = levels.least();
        let by_goal = least > 0 && by_goal && shared.engines.borrow().is_waiting_at(least);
        let typical = shared.service_estimates(service).shape.memory();
        UrgencySnapshot { least, typical, rates, by_goal }
    }

    /// The view that decisions take.
    pub fn context(&self) -> UrgencyContext<'_> {
        let UrgencySnapshot { least, typical, by_goal, .. } = *self;
        UrgencyContext { least, typical, rates: &self.rates, by_goal }
    }
}

/// Observations of a service's demand.
fn state<'a>(shared: &'a Shared, service: &str) -> RefMut<'a, ServiceUrgency> {
    RefMut::map(shared.urgency.borrow_mut(), |all| all.entry(service.to_owned()).or_default())
}

/// Records a request that arrived at this gateway, from a caller or from another zone.
pub fn on_arrival(shared: &Shared, service: &str, now: Timestamp, precedence: Precedence) {
    state(shared, service).arrivals.observe(now, precedence);
}

/// Records that a request was admitted to an engine of this zone.
pub fn on_admitted(shared: &Shared, service: &str, levels: &UrgencyLevels, demand: &Demand) {
    if !levels.is_enabled() {
        return;
    }
    let (now, urgent) = (shared.now(), levels.is_urgent(demand.precedence));
    shared.metrics.count("gateway.urgency.admitted", u64::from(urgent));
    // The ticket of the admitted request is still in the queue.
    let least_waits = match urgent {
        true => shared.engines.borrow().is_waiting_at(levels.least()),
        false => true,
    };
    if least_waits {
        state(shared, service).share.on_admitted(now, urgent, demand.memory.peak());
    }
}

/// Arrival rates of the services whose requests differ in precedence, for load reports.
pub fn reported_rates(shared: &Shared, now: Timestamp) -> ArrivalRates {
    let Some(config) = shared.config() else {
        return ArrivalRates::new();
    };
    let urgency = shared.urgency.borrow();
    let has_shares = shares::are_enabled(shared);
    let enabled = urgency
        .iter()
        .filter(|(name, _)| has_shares || shared.urgency_levels(&config, name).is_enabled());
    let rows = enabled.map(|(name, state)| (name.clone(), state.arrivals.report(now)));
    rows.filter(|(_, rows)| !rows.is_empty()).collect()
}

/// The priority to state to an engine for prefill: none without urgency levels.
pub fn prefill_priority(intake: &Intake, now: Timestamp, begun: bool) -> Option<u8> {
    let state = intake.send_state(now, begun);
    intake.levels.engine_priority(intake.level, state).filter(|_| intake.levels.is_enabled())
}

/// Places in the queues of prefill engines that a prompt must leave for urgent ones.
pub fn prefill_headroom(shared: &Shared, service: &str, prompt: Prompt) -> u32 {
    let levels = shared.config().map(|config| shared.urgency_levels(&config, service));
    let Some(levels) = levels.filter(|levels| levels.is_enabled() && !prompt.urgent) else {
        return 0;
    };
    let least = Precedence { level: levels.least(), ..Precedence::default() };
    UrgencySnapshot::new(shared, service, &levels).context().prefill_headroom(least)
}

/// The prompt of a request, as engines will rank it.
pub fn prompt(intake: &Intake, now: Timestamp, begun: bool) -> Prompt {
    let state = intake.send_state(now, begun);
    Prompt {
        tokens: intake.caller.prompt_tokens,
        urgent: intake.levels.is_enabled()
            && (state == SendState::Resumed
                || state == SendState::InTime && intake.level < intake.levels.least()),
    }
}
