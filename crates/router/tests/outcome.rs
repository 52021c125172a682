//! Whether a request may have run, by the outcomes of its attempts.

use ebonyloft_core::verdict::Verdict;
use ebonyloft_router::outcome::{AttemptOutcome, Progress, REJECTIONS_MAX, Reply};

fn reply(status: u16) -> Reply {
    Reply { status, signed: true, ..Reply::default() }
}

#[test]
fn only_the_server_can_state_that_a_request_did_not_run() {
    let unmarked = reply(503);
    assert_eq!(AttemptOutcome::from_reply(&unmarked).verdict(), Verdict::MayHaveRun);
    let stated = Reply { not_run: true, ..reply(503) };
    assert_eq!(AttemptOutcome::from_reply(&stated), AttemptOutcome::Rejected);
    let moved = Reply { moved: true, not_run: true, ..reply(421) };
    assert_eq!(AttemptOutcome::from_reply(&moved), AttemptOutcome::Moved);
}

#[test]
fn a_success_needs_a_signature_and_an_unencoded_body() {
    assert_eq!(
        AttemptOutcome::from_reply(&Reply { signed: false, ..reply(200) }),
        AttemptOutcome::Lost
    );
    assert_eq!(
        AttemptOutcome::from_reply(&Reply { encoded: true, ..reply(200) }),
        AttemptOutcome::Lost
    );
    assert_eq!(AttemptOutcome::from_reply(&reply(200)), AttemptOutcome::Answered(200));
}

#[test]
fn a_non_repeatable_request_is_sent_again_only_if_it_did_not_run() {
    let mut once = Progress::new(false, 3);
    once.record(AttemptOutcome::Rejected);
    once.record(AttemptOutcome::Unsent);
    assert!(once.may_send());
    assert_eq!(once.verdict(), Verdict::NotRun);
    once.record(AttemptOutcome::Lost);
    assert!(!once.may_send());
    assert_eq!(once.verdict(), Verdict::MayHaveRun);
}

#[test]
fn a_repeatable_request_stops_at_the_configured_limit() {
    let mut repeatable = Progress::new(true, 2);
    repeatable.record(AttemptOutcome::Answered(500));
    assert!(repeatable.may_send());
    repeatable.record(AttemptOutcome::Lost);
    assert!(!repeatable.may_send());
}

#[test]
fn rejections_are_limited() {
    let mut once = Progress::new(false, 1);
    for _ in 0..REJECTIONS_MAX {
        assert!(once.may_send());
        once.record(AttemptOutcome::Rejected);
    }
    assert!(!once.may_send());
    assert_eq!(once.verdict(), Verdict::NotRun);
}

/// The deadline may pass while an attempt is in flight.
#[test]
fn a_request_in_flight_may_be_running() {
    let mut once = Progress::new(false, 1);
    once.begin();
    assert_eq!(once.verdict(), Verdict::MayHaveRun);
    once.record(AttemptOutcome::Rejected);
    assert_eq!(once.verdict(), Verdict::NotRun);
}
