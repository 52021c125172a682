//! Retry-after that a gateway without a configuration gives to callers.
//!
//! When all gateways restart while the store is unavailable, none can serve until the store is back, and
//! callers retry only once or twice. A retry half a second later would fail again, so callers are asked to
//! wait as long as their time allows.

use std::time::Duration;

/// Retry-after while the store has not failed: it answers within some ten milliseconds, and by then one round
/// of the platform's readiness check, which selects other gateways, has passed.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// Smallest fraction of the caller's remaining time to wait while the store is unavailable; callers follow a
/// retry-after up to a third of that time.
const WAIT_FRACTION: f64 = 0.22;
/// Random spread added to that fraction, so that callers refused together don't retry together.
const WAIT_SPREAD: f64 = 0.10;

/// Retry-after for a caller with `remaining` of its deadline; `store_down` if the store does not answer.
/// `draw` is uniform in 0..1.
pub fn wait(remaining: Option<Duration>, store_down: bool, draw: f64) -> Duration {
    match remaining.filter(|_| store_down) {
        Some(remaining) => {
            remaining.mul_f64(WAIT_FRACTION + WAIT_SPREAD * draw).max(RETRY_AFTER_MIN)
        }
        None => RETRY_AFTER_MIN,
    }
}
