//! When callers are asked to come back to a process that knows no configuration yet.
//!
//! Answers the load of a fleet that lost all its processes while the store is away, too: it can serve
//! nobody until the store is back, and a caller comes back once or twice only. Half a second later finds
//! the same state; later, as far as its time allows, finds the fleet at work.

use std::time::Duration;

/// The wait while the store has not failed to answer: it does within some ten milliseconds, and one round
/// of the platform's readiness check, by which other gateways are chosen, has passed.
pub const SOON: Duration = Duration::from_millis(500);
/// Part of its time left that a caller is asked to wait at least while the store is away; callers follow
/// a wait up to a third of it.
const PART: f64 = 0.22;
/// Spread of that part, so that those sent away together don't return together.
const SPREAD: f64 = 0.10;

/// How long a caller with so much time left is asked to wait; `away` when the store does not answer,
/// `draw` is uniform in 0..1.
pub fn wait(left: Option<Duration>, away: bool, draw: f64) -> Duration {
    match left.filter(|_| away) {
        Some(left) => left.mul_f64(PART + SPREAD * draw).max(SOON),
        None => SOON,
    }
}
