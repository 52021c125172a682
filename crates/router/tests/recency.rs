//! Age of the configuration: it never appears younger than it is, whatever the network and clocks
//! do.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::staleness::{
    ConfigStaleness, QUERY_FRACTION, QUERY_INTERVAL, VersionAge, WATCH_LAG_MAX, watched_until,
};

const REVOKE: Duration = Duration::from_millis(5_000);
const BOUND: Option<Duration> = Some(REVOKE);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn nothing_is_confirmed_at_the_start() {
    assert!(!ConfigStaleness::default().is_fresh(at(0), BOUND));
    assert!(ConfigStaleness::default().is_fresh(at(0), None));
}

#[test]
fn an_answer_is_valid_as_of_its_query() {
    let mut staleness = ConfigStaleness::default();
    // A late answer says nothing about the time that it took to arrive.
    staleness.confirm(at(0));
    assert!(staleness.is_fresh(at(4_800), BOUND));
    assert!(!staleness.is_fresh(at(5_000), BOUND));
}

#[test]
fn an_empty_watch_confirms_up_to_its_end_less_the_time_it_may_miss() {
    let mut staleness = ConfigStaleness::default();
    staleness.on_watch(at(2_100), at(0), ms(2_000), true);
    assert_eq!(staleness.confirmed_at(), at(2_000).before(WATCH_LAG_MAX));
}

#[test]
fn a_watch_with_changes_or_cut_short_confirms_up_to_its_start() {
    for (now, empty) in [(1_500, false), (1_500, true)] {
        let mut staleness = ConfigStaleness::default();
        staleness.on_watch(at(now), at(0), ms(2_000), empty);
        assert_eq!(staleness.confirmed_at(), at(0).before(WATCH_LAG_MAX));
    }
}

/// Guards against an answer that lay in a socket, while this process stood still or the path was silent, counting as
/// current as of when it was read.
#[test]
fn an_answer_to_a_watch_that_is_read_late_is_no_newer_for_that() {
    for late in [0, 1, 500, 3_400, 60_000] {
        let read_at = at(2_000 + late);
        assert_eq!(watched_until(read_at, at(0), ms(2_000), true), at(2_000));
        assert_eq!(watched_until(read_at, at(0), ms(2_000), false), at(0));
    }
    // One that came early was written at any time until then.
    assert_eq!(watched_until(at(1_999), at(0), ms(2_000), true), at(0));
}

#[test]
fn the_age_grows_in_transit_between_peers() {
    let mut staleness = ConfigStaleness::default();
    staleness.confirm(at(0));
    assert!(staleness.ask(at(3_000), REVOKE, 7));
    // The answer states two seconds and took another one to arrive; its age counts from the query.
    staleness.on_answer(7, 4, VersionAge { version: 4, age: ms(2_000) });
    assert_eq!(staleness.age(at(4_000)), ms(3_000));
}

#[test]
fn answers_without_a_query_are_ignored() {
    let mut staleness = ConfigStaleness::default();
    staleness.on_answer(7, 4, VersionAge { version: 4, age: ms(0) });
    assert!(!staleness.is_fresh(at(0), BOUND));
    // A duplicated answer counts from its query too.
    assert!(staleness.ask(at(0), REVOKE, 8));
    staleness.on_answer(8, 4, VersionAge { version: 4, age: ms(0) });
    staleness.on_answer(8, 4, VersionAge { version: 4, age: ms(0) });
    assert_eq!(staleness.confirmed_at(), at(0));
}

#[test]
fn a_newer_version_at_a_peer_confirms_nothing_until_it_is_in_force() {
    let mut staleness = ConfigStaleness::default();
    assert!(staleness.ask(at(0), REVOKE, 7));
    staleness.on_answer(7, 4, VersionAge { version: 6, age: ms(100) });
    assert!(!staleness.is_fresh(at(100), BOUND));
    staleness.on_version(5);
    assert!(!staleness.is_fresh(at(100), BOUND));
    staleness.on_version(6);
    assert_eq!(staleness.confirmed_at(), at(0).before(ms(100)));
}

#[test]
fn an_older_version_at_a_peer_confirms_this_one() {
    let mut staleness = ConfigStaleness::default();
    staleness.on_held(at(500), 6, VersionAge { version: 5, age: ms(200) });
    assert_eq!(staleness.confirmed_at(), at(300));
}

#[test]
fn peers_are_queried_only_when_it_is_old_and_not_too_often() {
    let mut staleness = ConfigStaleness::default();
    staleness.confirm(at(0));
    assert!(!staleness.ask(at(100), REVOKE, 1));
    let old = at(0).after(REVOKE.mul_f64(QUERY_FRACTION));
    assert!(staleness.ask(old, REVOKE, 2));
    assert!(!staleness.ask(old.after(ms(10)), REVOKE, 3));
    assert!(staleness.ask(old.after(QUERY_INTERVAL), REVOKE, 4));
}
