//! Distinguishes callers that retry from callers with a short deadline.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::caller_deadlines::{CallerDeadlines, HISTORY_PERIOD};

const NOW: Timestamp = Timestamp::from_millis(100_000);
const TIMEOUT: Duration = Duration::from_secs(14);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_first_attempt_with_a_shorter_deadline_has_spent_nothing() {
    let mut deadlines = CallerDeadlines::default();
    for left in [14_000, 12_400, 11_900, 13_100] {
        assert_eq!(deadlines.time_spent(NOW, "r", TIMEOUT, ms(left)), Duration::ZERO, "{left}");
    }
}

#[test]
fn a_retry_after_a_refusal_has_spent_time() {
    let mut deadlines = CallerDeadlines::default();
    deadlines.time_spent(NOW, "r", TIMEOUT, ms(13_800));
    assert_eq!(deadlines.time_spent(NOW, "r", TIMEOUT, ms(9_800)), ms(4_000));
}

/// The operator raises the timeout while the callers' deadlines stay as they were.
#[test]
fn a_timeout_beyond_all_deadlines_makes_no_caller_late() {
    let mut deadlines = CallerDeadlines::default();
    let timeout = Duration::from_secs(25);
    for left in [13_900, 12_000, 13_000] {
        assert_eq!(deadlines.time_spent(NOW, "r", timeout, ms(left)), Duration::ZERO, "{left}");
    }
}

#[test]
fn a_deadline_beyond_the_timeout_counts_as_the_timeout() {
    let mut deadlines = CallerDeadlines::default();
    assert_eq!(deadlines.time_spent(NOW, "r", TIMEOUT, ms(60_000)), Duration::ZERO);
    assert_eq!(deadlines.time_spent(NOW, "r", TIMEOUT, ms(12_000)), Duration::ZERO);
    assert_eq!(deadlines.time_spent(NOW, "r", TIMEOUT, ms(10_000)), ms(4_000));
}

#[test]
fn the_longest_deadline_is_forgotten_after_two_periods() {
    let mut deadlines = CallerDeadlines::default();
    deadlines.time_spent(NOW, "r", TIMEOUT, ms(14_000));
    let mut at = NOW;
    for _ in 0..2 {
        at = at.after(HISTORY_PERIOD).after(ms(1));
        deadlines.time_spent(at, "r", TIMEOUT, ms(8_000));
    }
    assert_eq!(deadlines.time_spent(at, "r", TIMEOUT, ms(7_500)), Duration::ZERO);
}

#[test]
fn routes_are_independent() {
    let mut deadlines = CallerDeadlines::default();
    deadlines.time_spent(NOW, "slow", TIMEOUT, ms(14_000));
    assert_eq!(deadlines.time_spent(NOW, "quick", TIMEOUT, ms(600)), Duration::ZERO);
}
