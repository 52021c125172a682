//! When callers are asked to come back to a process that knows nothing yet.

use std::time::Duration;

use ebonyloft_router::comeback::{SOON, wait};

const LEFT: Duration = Duration::from_secs(14);

#[test]
fn a_store_that_answers_is_known_soon() {
    assert_eq!(wait(Some(LEFT), false, 0.9), SOON);
    assert_eq!(wait(None, false, 0.9), SOON);
}

/// A wait beyond a third of the time left is not followed.
#[test]
fn callers_wait_for_a_store_that_is_away_as_long_as_they_can() {
    for draw in [0.0, 0.5, 1.0] {
        let asked = wait(Some(LEFT), true, draw);
        assert!(asked > Duration::from_secs(3) && asked < LEFT / 3, "{asked:?}");
        assert_eq!(wait(Some(Duration::from_millis(1_500)), true, draw), SOON);
        assert_eq!(wait(None, true, draw), SOON);
    }
}

/// Plays callers of an outage of two seconds after the loss of all processes, who come back once, as the
/// users' do: of 100 with 14 s to go 25 are served when they wait half a second, all when they wait for
/// the store.
#[test]
fn callers_of_an_outage_are_served_when_they_return() {
    let outage = Duration::from_secs(2);
    let served = |away: bool| {
        let callers = (0..100).map(|n| outage.mul_f64(f64::from(n) / 100.0));
        callers.filter(|came| *came + wait(Some(LEFT), away, 0.5) >= outage).count()
    };
    assert_eq!((served(false), served(true)), (25, 100));
}
