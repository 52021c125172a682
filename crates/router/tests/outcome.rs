//! Whether a request may have run, by the outcomes of its attempts.

use ebonyloft_core::verdict::Verdict;
use ebonyloft_router::outcome::{Fate, Progress, REJECTIONS_MAX, Reply};

fn reply(status: u16) -> Reply {
    Reply { status, attempt: Some("a".into()), stamped: true, ..Reply::default() }
}

#[test]
fn only_the_server_can_state_that_a_request_did_not_run() {
    let unmarked = reply(503);
    assert_eq!(Fate::of(&unmarked, Some("a")).verdict(), Verdict::MayHaveRun);
    let stated = Reply { not_run: true, ..reply(503) };
    assert_eq!(Fate::of(&stated, Some("a")), Fate::Rejected);
    let moved = Reply { moved: true, not_run: true, ..reply(421) };
    assert_eq!(Fate::of(&moved, Some("a")), Fate::Moved);
}

#[test]
fn an_answer_to_another_attempt_is_never_passed_on() {
    let late = Reply { attempt: Some("b".into()), ..reply(200) };
    assert_eq!(Fate::of(&late, Some("a")), Fate::Lost);
    // Its statement that the request did not run is ignored too.
    let stated = Reply { attempt: Some("b".into()), not_run: true, ..reply(503) };
    assert_eq!(Fate::of(&stated, Some("a")), Fate::Lost);
}

#[test]
fn a_success_needs_a_signature_and_an_unencoded_body() {
    assert_eq!(Fate::of(&Reply { stamped: false, ..reply(200) }, Some("a")), Fate::Lost);
    assert_eq!(Fate::of(&Reply { encoded: true, ..reply(200) }, Some("a")), Fate::Lost);
    assert_eq!(Fate::of(&reply(200), Some("a")), Fate::Answered(200));
}

#[test]
fn a_non_repeatable_request_is_sent_again_only_if_it_did_not_run() {
    let mut once = Progress::new(false, 3);
    once.note(Fate::Rejected);
    once.note(Fate::Unsent);
    assert!(once.may_send());
    assert_eq!(once.verdict(), Verdict::NotRun);
    once.note(Fate::Lost);
    assert!(!once.may_send());
    assert_eq!(once.verdict(), Verdict::MayHaveRun);
}

#[test]
fn a_repeatable_request_stops_at_the_configured_limit() {
    let mut repeatable = Progress::new(true, 2);
    repeatable.note(Fate::Answered(500));
    assert!(repeatable.may_send());
    repeatable.note(Fate::Lost);
    assert!(!repeatable.may_send());
}

#[test]
fn rejections_are_limited() {
    let mut once = Progress::new(false, 1);
    for _ in 0..REJECTIONS_MAX {
        assert!(once.may_send());
        once.note(Fate::Rejected);
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
    once.note(Fate::Rejected);
    assert_eq!(once.verdict(), Verdict::NotRun);
}
