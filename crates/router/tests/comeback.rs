//! Retry-after of a gateway that has no configuration yet.

use std::time::Duration;

use ebonyloft_router::retry_after::{RETRY_AFTER_MIN, wait};

const LEFT: Duration = Duration::from_secs(14);

#[test]
fn the_wait_is_short_while_the_store_answers() {
    assert_eq!(wait(Some(LEFT), false, 0.9), RETRY_AFTER_MIN);
    assert_eq!(wait(None, false, 0.9), RETRY_AFTER_MIN);
}

/// Callers don't follow a retry-after beyond a third of their remaining time.
#[test]
fn callers_wait_as_long_as_they_can_while_the_store_is_unavailable() {
    for draw in [0.0, 0.5, 1.0] {
        let asked = wait(Some(LEFT), true, draw);
        assert!(asked > Duration::from_secs(3) && asked < LEFT / 3, "{asked:?}");
        assert_eq!(wait(Some(Duration::from_millis(1_500)), true, draw), RETRY_AFTER_MIN);
        assert_eq!(wait(None, true, draw), RETRY_AFTER_MIN);
    }
}

/// Simulates an outage of two seconds after the loss of all processes, with callers that retry once and have
/// 14 s left: 25 of 100 are served when they wait half a second, all when they wait for the store.
#[test]
fn callers_that_wait_for_the_store_are_served() {
    let outage = Duration::from_secs(2);
    let served = |store_down: bool| {
        let callers = (0..100).map(|n| outage.mul_f64(f64::from(n) / 100.0));
        callers
            .filter(|arrived_at| *arrived_at + wait(Some(LEFT), store_down, 0.5) >= outage)
            .count()
    };
    assert_eq!((served(false), served(true)), (25, 100));
}
