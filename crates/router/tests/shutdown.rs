//! What a stopping process takes, and when it ends.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::Kind;
use ebonyloft_router::shutdown::Shutdown;

const STOPPED_AT: Timestamp = Timestamp::from_millis(1_000_000);
const GRACE: Duration = Duration::from_secs(8);
const CALLS: [Kind; 2] = [Kind::Once, Kind::Idempotent];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The deadline with which a request is taken that comes `at` milliseconds after the signal and has `time` left.
fn admit(kind: Kind, at: u64, time: u64, grace: Duration) -> Option<Timestamp> {
    let now = STOPPED_AT.after(ms(at));
    Shutdown { stopped_at: STOPPED_AT }.admit(now, grace, kind, now.after(ms(time)))
}

/// Guards against calls that are taken, passed on, and cut when the process ends.
#[test]
fn what_is_taken_has_its_deadline_before_the_process_ends() {
    for grace in [GRACE, ms(1_000), ms(2_000), ms(20_000)] {
        let end = Shutdown { stopped_at: STOPPED_AT }.ends_at(grace);
        for at in (0..21_000).step_by(50) {
            for time in [1, 100, 600, 1_000, 1_500, 3_000, 14_000] {
                for kind in CALLS {
                    let deadline = admit(kind, at, time, grace);
                    assert!(deadline.is_none_or(|d| d < end), "{kind:?} at {at}, {time} ms");
                }
            }
        }
    }
}

/// Guards against the site's calls being refused while there is time for them.
#[test]
fn a_call_that_ends_before_the_process_is_taken_with_its_own_deadline() {
    for kind in CALLS {
        for (at, time) in [(0, 1_000), (5_000, 2_600), (6_600, 1_000), (7_000, 600)] {
            let deadline = Some(STOPPED_AT.after(ms(at + time)));
            assert_eq!(admit(kind, at, time, GRACE), deadline, "{kind:?} at {at}");
        }
        assert_eq!(admit(kind, 6_100, 3_000, GRACE), None);
        assert_eq!(admit(kind, 6_250, 1_500, GRACE), None);
        assert_eq!(admit(kind, 8_000, 1, GRACE), None);
    }
}

/// Guards against a restart that refuses long calls while callers are still sent here.
#[test]
fn a_long_call_is_taken_at_first_and_ends_with_the_process() {
    for kind in CALLS {
        let last = STOPPED_AT.after(ms(7_650));
        assert_eq!(admit(kind, 2_000, 14_000, GRACE), Some(last));
        assert_eq!(admit(kind, 3_000, 14_000, GRACE), None);
        assert_eq!(admit(kind, 1_000, 14_000, ms(2_000)), None);
    }
}

#[test]
fn streams_are_taken_until_callers_are_sent_elsewhere() {
    assert!(admit(Kind::Stream, 2_700, 14_000, GRACE).is_some());
    assert_eq!(admit(Kind::Stream, 2_900, 100, GRACE), None);
    assert_eq!(admit(Kind::Stream, 1_700, 14_000, ms(2_000)), None);
}

/// Guards against an end that was computed from a grace period that has changed since.
#[test]
fn the_end_and_what_is_taken_follow_the_grace_period() {
    let shutdown = Shutdown { stopped_at: STOPPED_AT };
    assert_eq!(shutdown.ends_at(GRACE), STOPPED_AT.after(ms(7_700)));
    assert_eq!(shutdown.ends_at(ms(20_000)), STOPPED_AT.after(ms(19_700)));
    assert_eq!(admit(Kind::Once, 7_300, 1_500, GRACE), None);
    assert!(admit(Kind::Once, 7_300, 1_500, ms(20_000)).is_some());
}
