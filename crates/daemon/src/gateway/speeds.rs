//! Speeds of engines: what switches their use on for a service, and what load reports say of them.

use std::collections::HashMap;

use ebonyloft_router::catalog::{Server, ServerId, Stage};
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::engine_speeds::{EngineSpeed, EngineSpeeds, SpeedReport, SpeedSnapshot};
use ebonyloft_router::load_report::LoadReport;
use ebonyloft_router::prefill_speed::PrefillSpeed;
use ebonyloft_router::stages::{Exchange, SLOWER_MIN, Side};
use ebonyloft_router::zones::ZoneSummary;

use super::shared::Shared;

/// Records that a backend server of a service stated how long its work takes now.
pub fn on_slowness(shared: &Shared, service: &str) {
    enable(shared, service, "answer");
}

fn enable(shared: &Shared, service: &str, source: &str) {
    if shared.engine_speeds.borrow_mut().enable(service) {
        tracing::info!(service, source, "speeds of servers are taken into account");
        shared.metrics.count("gateway.speeds.enabled", 1);
    }
}

/// Applies the speed factors in a peer's load report. Their presence tells that a server of the
/// service has stated how long its work takes, which this gateway may not have seen.
pub fn on_load_report(shared: &Shared, report: &LoadReport) {
    if shared.load_reports.borrow().is_new(&report.name, report.incarnation) {
        shared.engine_speeds.borrow_mut().report_all_again();
    }
    apply(shared, &report.name, &report.speeds);
}

/// Applies the speed factors in another zone's summary, and removes them from it. The leaders of a zone
/// report the same observations, so that the latest report of a zone replaces those before.
pub fn on_zone_summary(shared: &Shared, summary: &mut ZoneSummary) {
    let speeds = std::mem::take(&mut summary.speeds);
    if summary.zone != shared.node().zone {
        apply(shared, &format!("zone {}", summary.zone), &speeds);
    }
}

/// Speed factors of this zone's engines, for other zones.
pub fn zone_report(shared: &Shared) -> SpeedReport {
    let (Some(config), node, registry) = (shared.config(), shared.node(), shared.registry.borrow())
    else {
        return SpeedReport::default();
    };
    let services = config.services.iter().filter(|s| s.engine.is_some());
    let engines = services.flat_map(|s| registry.ready(&s.name)).filter(|s| s.zone == node.zone);
    shared.engine_speeds.borrow_mut().zone_report(shared.now(), engines)
}

fn apply(shared: &Shared, from: &str, report: &SpeedReport) {
    if report.is_empty() {
        return;
    }
    shared.engine_speeds.borrow_mut().on_report(shared.now(), from, report);
    shared.metrics.count("gateway.speeds.received", report.rows.len() as u64);
    let Some(config) = shared.config() else {
        return;
    };
    for service in config.services.iter().filter(|s| s.engine.is_some()) {
        let is_reported = |speeds: &EngineSpeeds| {
            let registry = shared.registry.borrow();
            let mut engines = registry.ready(&service.name);
            !speeds.is_enabled(&service.name) && engines.any(|s| speeds.is_reported(&s.id))
        };
        if is_reported(&shared.engine_speeds.borrow()) {
            enable(shared, &service.name, "peer");
        }
    }
}

/// Speeds of a service's engines; `None` where they are all taken to be equal.
pub fn snapshot<'a>(
    shared: &Shared,
    service: &str,
    engines: impl Iterator<Item = &'a Server>,
) -> Option<SpeedSnapshot> {
    shared.engine_speeds.borrow().snapshot(shared.now(), service, engines)
}

/// Speed of an engine; unknown where all are taken to be equal.
pub fn of(shared: &Shared, service: &str, id: &ServerId) -> EngineSpeed {
    let speeds = shared.engine_speeds.borrow();
    let speed = speeds.is_enabled(service).then(|| speeds.relative(shared.now(), service, id));
    speed.unwrap_or_default()
}

/// Passes on the service's average prefill speed.
pub fn update_prefill_scale(shared: &Shared, service: &str) {
    let scale = {
        let stats = shared.service_estimates(service);
        let time = |speed: &PrefillSpeed| {
            speed.time(EngineLoad::default(), stats.shape.prompt()).as_secs_f64()
        };
        time(&stats.prefill_speed) / time(&PrefillSpeed::default())
    };
    shared.engine_speeds.borrow_mut().set_prefill_scale(service, scale);
}

/// Updates the averages, passes the decode factors to the choice of engines, and counts engines whose speed is known.
pub fn refresh(shared: &Shared) {
    let Some(config) = shared.config() else {
        return;
    };
    let (now, registry) = (shared.now(), shared.registry.borrow());
    for service in config.services.iter().filter(|s| s.engine.is_some()) {
        if shared.engine_speeds.borrow().is_enabled(&service.name) {
            update_prefill_scale(shared, &service.name);
            let engines = registry.ready(&service.name);
            shared.engine_speeds.borrow_mut().update_decode_scale(now, &service.name, engines);
        }
    }
    let speeds = shared.engine_speeds.borrow();
    let services = config.services.iter().filter(|s| speeds.is_enabled(&s.name));
    let factors: HashMap<ServerId, f64> = services
        .flat_map(|s| speeds.decode_factors(now, &s.name, registry.ready(&s.name)))
        .collect();
    if !factors.is_empty() {
        let slow = factors.values().filter(|factor| **factor >= SLOWER_MIN).count();
        shared.metrics.gauge("gateway.speeds.known", factors.len() as u64);
        shared.metrics.gauge("gateway.speeds.slow", slow as u64);
    }
    shared.engines.borrow_mut().set_decode_factors(factors);
}

/// Logs the inputs of an exchange of two engines with each of its two orders.
pub fn log_exchange(
    shared: &Shared,
    service: &str,
    to: &ServerId,
    stage: Stage,
    exchange: &Exchange,
) {
    let Exchange { slow, fast, engines, missing } = exchange;
    let ms = |side: &Side| side.speed.age.as_millis() as u64;
    tracing::info!(
        service, server = %to, ?stage,
        slow = %slow.id, slow_factor = slow.speed.factor, slow_relative = slow.relative,
        slow_prompts = slow.speed.weight, slow_age = ms(slow),
        fast = %fast.id, fast_factor = fast.speed.factor, fast_relative = fast.relative,
        fast_events = fast.speed.weight, fast_age = ms(fast),
        engines, missing, "engine exchanged by speed"
    );
    if *to == fast.id {
        shared.metrics.count("gateway.speeds.exchanged", 1);
    }
}
