//! Verdicts: what a send's end says about whether the request may have run.

use ebonyloft_core::verdict::Verdict;
use ebonyloft_router::outcome::{Fate, Progress, REJECTIONS_MAX, Reply};

fn reply(status: u16) -> Reply {
    Reply { status, attempt: Some("a".into()), stamped: true, ..Reply::default() }
}

#[test]
fn only_the_server_itself_says_that_it_did_not_run() {
    let plain = reply(503);
    assert_eq!(Fate::of(&plain, Some("a")).verdict(), Verdict::MayHaveRun);
    let said = Reply { not_run: true, ..reply(503) };
    assert_eq!(Fate::of(&said, Some("a")), Fate::Rejected);
    let moved = Reply { moved: true, not_run: true, ..reply(421) };
    assert_eq!(Fate::of(&moved, Some("a")), Fate::Moved);
}

#[test]
fn an_answer_to_another_attempt_is_never_passed_on() {
    let late = Reply { attempt: Some("b".into()), ..reply(200) };
    assert_eq!(Fate::of(&late, Some("a")), Fate::Lost);
    // Not even its word that something did not run.
    let said = Reply { attempt: Some("b".into()), not_run: true, ..reply(503) };
    assert_eq!(Fate::of(&said, Some("a")), Fate::Lost);
}

#[test]
fn a_success_needs_the_signature_and_the_plain_body() {
    assert_eq!(Fate::of(&Reply { stamped: false, ..reply(200) }, Some("a")), Fate::Lost);
    assert_eq!(Fate::of(&Reply { encoded: true, ..reply(200) }, Some("a")), Fate::Lost);
    assert_eq!(Fate::of(&reply(200), Some("a")), Fate::Answered(200));
}

#[test]
fn what_runs_once_is_sent_again_only_if_it_did_not_run() {
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
fn what_may_run_again_stops_at_the_operators_limit() {
    let mut again = Progress::new(true, 2);
    again.note(Fate::Answered(500));
    assert!(again.may_send());
    again.note(Fate::Lost);
    assert!(!again.may_send());
}

#[test]
fn rejections_end_too() {
    let mut once = Progress::new(false, 1);
    for _ in 0..REJECTIONS_MAX {
        assert!(once.may_send());
        once.note(Fate::Rejected);
    }
    assert!(!once.may_send());
    assert_eq!(once.verdict(), Verdict::NotRun);
}

/// The time may run out while a send is under way.
#[test]
fn a_send_under_way_may_be_running() {
    let mut once = Progress::new(false, 1);
    once.begin();
    assert_eq!(once.verdict(), Verdict::MayHaveRun);
    once.note(Fate::Rejected);
    assert_eq!(once.verdict(), Verdict::NotRun);
}
