//! A process's clock beside a time of day that was set after the start, and the keys judged by it.

use std::time::Duration;

use ebonyloft_core::ids::{Account, Key};
use ebonyloft_core::placement::is_from_future;
use ebonyloft_core::time::Timestamp;
use ebonyloftd::clock::Clock;
use uuid::{ContextV7, Uuid};

const MINUTE: Duration = Duration::from_secs(60);

/// A clock that was started a minute ago, before the time of day was set forward or back by `step`.
fn stepped(step: Duration, forward: bool) -> Clock {
    let started_at = Clock::default().now().0 - MINUTE.as_micros() as u64;
    let step = step.as_micros() as u64;
    let shown = if forward { started_at - step } else { started_at + step };
    Clock::started(Timestamp(shown), MINUTE)
}

fn key_created_in(ahead: Duration) -> Key {
    let at = Clock::default().now().after(ahead).0;
    let time = uuid::Timestamp::from_unix(ContextV7::new(), at / 1_000_000, 0);
    Key { account: Account("a".to_owned()), text: Uuid::new_v7(time).to_string() }
}

/// Guards against the refusal of all callers' keys once an entry's time of day was set forward.
#[test]
fn new_keys_are_taken_after_the_time_of_day_was_set_forward() {
    let clock = stepped(MINUTE, true);
    assert!(!is_from_future(&key_created_in(Duration::ZERO), clock.latest()));
    assert!(is_from_future(&key_created_in(MINUTE / 2), clock.latest()));
}

/// Guards against a bound that follows a time of day that was set back: a key taken before is then too new.
#[test]
fn keys_are_taken_after_the_time_of_day_was_set_back() {
    let clock = stepped(MINUTE, false);
    assert!(!is_from_future(&key_created_in(MINUTE / 2), clock.latest()));
    assert!(is_from_future(&key_created_in(2 * MINUTE), clock.latest()));
}

/// Guards against leases that end early: a time of day that is set forward is no time that has passed.
#[test]
fn a_time_of_day_that_is_set_forward_does_not_move_the_clock() {
    let clock = stepped(MINUTE, true);
    let lag = clock.latest().0 - clock.now().0;
    assert!(lag.abs_diff(MINUTE.as_micros() as u64) < 1_000_000, "{lag}");
}
