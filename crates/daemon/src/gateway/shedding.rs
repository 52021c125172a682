//! Closes new connections unread while this gateway gets far more requests than its peers.
//!
//! Decisions are made in `ebonyloft_router::shedding`.

use std::time::Duration;

use ebonyloft_router::shedding::{ReadLoad, even_share};

use super::shared::Shared;

/// Is a new connection to be closed unread?
pub fn closes(shared: &Shared) -> bool {
    if shared.shedding.borrow().share() == 0.0 {
        return false;
    }
    let draw = shared.random_fraction();
    let closes = shared.shedding.borrow_mut().closes(shared.now(), draw);
    if closes {
        shared.metrics.count("gateway.connections.closed", 1);
    }
    closes
}

/// Is an open connection to be closed after this answer? It would bring further requests past the choice of new
/// connections.
pub fn closes_after_answer(shared: &Shared) -> bool {
    let share = shared.shedding.borrow().share();
    share > 0.0 && shared.random_fraction() < share
}

/// Records that a task of this process ran `delay` late.
pub fn on_task_delay(shared: &Shared, delay: Duration) {
    let now = shared.now();
    let (reports, fleet) = (shared.load_reports.borrow(), shared.fleet.borrow());
    let power = |name: &str| fleet.all().get(name).map_or(0, |g| g.power);
    let rates = reports.read_rates(now);
    let peers = rates.map(|(name, rate)| ReadLoad { rate: rate as f64, power: power(name) });
    let mut shedding = shared.shedding.borrow_mut();
    let own = ReadLoad { rate: shedding.read_rate(now), power: shared.node().power };
    let even = even_share(own, peers);
    let before = shedding.share();
    shedding.on_delay(now, delay, even);
    let share = shedding.share();
    if (before > 0.0) != (share > 0.0) {
        let (delay, read) = (delay.as_millis() as u64, own.rate);
        tracing::info!(share, delay, read, even, "share of new connections that are closed");
    }
}
