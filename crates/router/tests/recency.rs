//! As of when the configuration is known to be the newest: the age only grows, whatever the ways and clocks.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::recency::{ASK_GAP, ASK_PART, DEAF, Held, Recency};

const REVOKE: Duration = Duration::from_millis(5_000);
const BOUND: Option<Duration> = Some(REVOKE);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn nothing_is_known_at_a_start() {
    assert!(!Recency::default().holds(at(0), BOUND));
    assert!(Recency::default().holds(at(0), None));
}

#[test]
fn an_answer_holds_as_of_when_it_was_asked_for() {
    let mut recency = Recency::default();
    // A call that came back late says nothing of the time on its way back.
    recency.confirm(at(0));
    assert!(recency.holds(at(4_800), BOUND));
    assert!(!recency.holds(at(5_000), BOUND));
}

#[test]
fn a_watch_without_news_holds_as_of_its_end_less_the_time_in_which_it_may_be_deaf() {
    let mut recency = Recency::default();
    recency.on_watch(at(2_100), at(0), ms(2_000), true);
    assert_eq!(recency.held_at(), at(2_000).before(DEAF));
}

#[test]
fn a_watch_with_news_or_cut_short_holds_as_of_its_begin() {
    for (now, empty) in [(1_500, false), (1_500, true)] {
        let mut recency = Recency::default();
        recency.on_watch(at(now), at(0), ms(2_000), empty);
        assert_eq!(recency.held_at(), at(0).before(DEAF));
    }
}

#[test]
fn the_age_grows_on_its_way_from_peer_to_peer() {
    let mut recency = Recency::default();
    recency.confirm(at(0));
    assert!(recency.ask(at(3_000), REVOKE, 7));
    // The answer says two seconds; it took another one to come, and counts from the question.
    recency.on_answer(7, 4, Held { version: 4, age: ms(2_000) });
    assert_eq!(recency.age(at(4_000)), ms(3_000));
}

#[test]
fn what_was_not_asked_for_is_not_believed() {
    let mut recency = Recency::default();
    recency.on_answer(7, 4, Held { version: 4, age: ms(0) });
    assert!(!recency.holds(at(0), BOUND));
    // An answer that comes twice counts from its question too.
    assert!(recency.ask(at(0), REVOKE, 8));
    recency.on_answer(8, 4, Held { version: 4, age: ms(0) });
    recency.on_answer(8, 4, Held { version: 4, age: ms(0) });
    assert_eq!(recency.held_at(), at(0));
}

#[test]
fn a_newer_version_elsewhere_confirms_nothing_until_it_is_in_force() {
    let mut recency = Recency::default();
    assert!(recency.ask(at(0), REVOKE, 7));
    recency.on_answer(7, 4, Held { version: 6, age: ms(100) });
    assert!(!recency.holds(at(100), BOUND));
    recency.on_version(5);
    assert!(!recency.holds(at(100), BOUND));
    recency.on_version(6);
    assert_eq!(recency.held_at(), at(0).before(ms(100)));
}

#[test]
fn an_older_version_elsewhere_says_as_of_when_this_one_is_enough() {
    let mut recency = Recency::default();
    recency.on_held(at(500), 6, Held { version: 5, age: ms(200) });
    assert_eq!(recency.held_at(), at(300));
}

#[test]
fn others_are_asked_only_when_it_is_old_and_not_too_often() {
    let mut recency = Recency::default();
    recency.confirm(at(0));
    assert!(!recency.ask(at(100), REVOKE, 1));
    let old = at(0).after(REVOKE.mul_f64(ASK_PART));
    assert!(recency.ask(old, REVOKE, 2));
    assert!(!recency.ask(old.after(ms(10)), REVOKE, 3));
    assert!(recency.ask(old.after(ASK_GAP), REVOKE, 4));
}
