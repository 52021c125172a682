//! Retries of requests, within the retry budget that all gateways share.
//!
//! Decisions are made in `ebonyloft_router::budget`.

use std::net::SocketAddr;

use ebonyloft_router::budget::predecessors::PastReport;
use ebonyloft_router::budget::{Arrivals, NextSend};
use ebonyloft_router::load_report::GossipMessage;

use super::intake::Intake;
use super::shared::Shared;

/// Starts a request, which adds to its service's budget.
pub fn begin(shared: &Shared, intake: &Intake) {
    let (now, node) = (shared.now(), shared.node());
    shared.retry_budget(&intake.service).on_request(now, &node.bounds);
}

/// Reserves what the next send may cost; false if too little of the budget is left.
pub fn reserve(shared: &Shared, intake: &Intake, next: NextSend) -> bool {
    let mut arrivals = intake.arrivals.get();
    let Some(shortfall) = arrivals.required_retries(next) else {
        return true;
    };
    let (now, node, entries) = (shared.now(), shared.node(), shared.gateway_count());
    let mut budget = shared.retry_budget(&intake.service);
    let granted = budget.reserve(now, &node.bounds, entries, shortfall);
    let (requests, extras, reserved) = budget.counts();
    if granted {
        arrivals.on_reserved(shortfall);
        intake.arrivals.set(arrivals);
    }
    if !granted || arrivals.count() > 0 {
        tracing::info!(
            id = intake.id(), service = %intake.service, ?next, arrivals = arrivals.count(),
            lack = ?shortfall, granted, requests, extras, held = reserved, entries,
            "retry budget checked"
        );
        let counter = if granted { "gateway.extra.granted" } else { "gateway.extra.refused" };
        shared.metrics.count(counter, 1);
    }
    granted
}

/// Tells a peer that has started what its predecessors used, if any are known.
pub fn send_past(shared: &Shared, to: SocketAddr, name: &str, incarnation: u64) {
    let window = shared.node().bounds.budget_window;
    let past = shared.peer_uses.borrow().past(shared.now(), window, name, incarnation);
    if let Some(past) = past {
        shared.queue_message(to, GossipMessage::Past(past));
    }
}

/// Handles what a peer knows of earlier processes of this VM.
pub fn on_past_report(shared: &Shared, from: SocketAddr, past: PastReport) {
    if shared.on_past_report(past.clone()) {
        tracing::info!(peer = %from, ?past, "retries of earlier processes");
    }
}

/// Commits the reserved budget as a request is sent.
pub fn commit(shared: &Shared, intake: &Intake) {
    if update_arrivals(intake, Arrivals::send) {
        shared.retry_budget(&intake.service).commit(shared.now());
        // The peers must know of it before this process can be killed.
        shared.request_report();
    }
}

/// Undoes the commit of a send that reached no server.
pub fn undo_commit(shared: &Shared, intake: &Intake) {
    if update_arrivals(intake, Arrivals::on_undelivered) {
        shared.retry_budget(&intake.service).uncommit();
    }
}

/// Handles a prompt that an engine accepted; budget that is no longer needed is released.
pub fn on_accepted(shared: &Shared, intake: &Intake) {
    if update_arrivals(intake, Arrivals::on_prompt_accepted) {
        shared.retry_budget(&intake.service).uncommit();
    }
    let unneeded = update_arrivals(intake, Arrivals::drop_unneeded);
    shared.retry_budget(&intake.service).release(unneeded);
}

/// Releases budget that was reserved for a send that does not take place.
pub fn release_unused(shared: &Shared, intake: &Intake) {
    let unused = update_arrivals(intake, Arrivals::drop_unused);
    shared.retry_budget(&intake.service).release(unused);
}

/// Ends a request and releases what it still has reserved.
pub fn close(shared: &Shared, intake: &Intake) {
    let reserved = intake.arrivals.take().finish();
    shared.retry_budget(&intake.service).release(reserved);
}

fn update_arrivals<T>(intake: &Intake, step: impl FnOnce(&mut Arrivals) -> T) -> T {
    let mut arrivals = intake.arrivals.get();
    let result = step(&mut arrivals);
    intake.arrivals.set(arrivals);
    result
}
