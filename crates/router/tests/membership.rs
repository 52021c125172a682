//! How a gateway joins the fleet, stays registered, and is removed when it is gone.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fleet::{Fleet, Gateway};
use ebonyloft_router::membership::{
    JOIN_TIMEOUT, JoinStep, Joining, RELIST_PAUSE, SILENCE_MAX, SilenceTracker, must_register,
    peers_to_ask, retry_pause,
};

const NOW: Timestamp = Timestamp::from_millis(100_000);
const SECOND: Duration = Duration::from_secs(1);

fn gateway(n: u16, zone: &str) -> Gateway {
    let power = if n < 2 { 500 } else { 90 };
    Gateway { addr: ([127, 0, 0, 1], 7_000 + n).into(), zone: zone.into(), power }
}

/// Gateways `a-0` to `a-5` and `b-6` to `b-11`.
fn fleet(revision: u64) -> Fleet {
    let zone = |n| if n < 6 { "a" } else { "b" };
    let list: BTreeMap<String, Gateway> =
        (0..12).map(|n| (format!("{}-{n}", zone(n)), gateway(n, zone(n)))).collect();
    let mut fleet = Fleet::default();
    fleet.replace(NOW, list, revision.into());
    fleet
}

/// What was seen: all gateways of a fleet that started followed the store for seconds, each with
/// some ten calls, since none knew that others ranked higher.
#[test]
fn a_list_without_the_own_registration_decides_no_rank() {
    let mut joining = Joining::new(NOW);
    assert_eq!(joining.step(NOW, false, false), JoinStep::List);
    joining.on_list(NOW, false);
    assert_eq!(joining.step(NOW, false, false), JoinStep::Register);
    joining.on_registered(NOW, 0.0);
    let relist_at = NOW.after(RELIST_PAUSE);
    assert_eq!(joining.step(NOW, false, false), JoinStep::Wait(relist_at));
    assert_eq!(joining.step(relist_at, false, false), JoinStep::List);
    // The store's answer is older than the write.
    joining.on_list(relist_at, false);
    let next = relist_at.after(RELIST_PAUSE);
    assert_eq!(joining.step(relist_at, false, false), JoinStep::Wait(next));
    assert_eq!(joining.step(next, false, false), JoinStep::List);
    joining.on_list(next, true);
    assert_eq!(joining.step(next, false, false), JoinStep::Joined);
}

/// A restart costs one small read and no write.
#[test]
fn a_gateway_that_is_still_registered_joins_with_the_first_list() {
    let mut joining = Joining::new(NOW);
    joining.on_list(NOW, true);
    assert_eq!(joining.step(NOW, false, false), JoinStep::Joined);
}

#[test]
fn a_gateway_that_peers_gave_all_lists_needs_no_other() {
    let mut joining = Joining::new(NOW);
    joining.on_list(NOW, false);
    assert_eq!(joining.step(NOW, true, false), JoinStep::Register, "peers don't know it yet");
    joining.on_registered(NOW, 0.0);
    assert_eq!(joining.step(NOW, true, true), JoinStep::Joined);
}

/// With lists that never catch up the gateway ranks by what it knows; while the store is away it
/// keeps asking, ever more rarely, and is ready as soon as peers give it the lists.
#[test]
fn waiting_for_a_list_ends_but_waiting_for_the_store_does_not() {
    let mut joining = Joining::new(NOW);
    joining.on_list(NOW, false);
    joining.on_registered(NOW, 0.0);
    joining.on_list(NOW.after(SECOND), false);
    assert_eq!(joining.step(NOW.after(JOIN_TIMEOUT), false, false), JoinStep::Joined);

    let mut joining = Joining::new(NOW);
    let mut now = NOW;
    let mut calls = 0;
    while now < NOW.after(60 * SECOND) {
        match joining.step(now, false, false) {
            JoinStep::List => {
                calls += 1;
                joining.on_failure(now, 0.5);
            }
            JoinStep::Wait(until) => now = until,
            step => panic!("{step:?} although the store never answered"),
        }
    }
    assert!((55..75).contains(&calls), "{calls} calls in a minute");
    assert!(retry_pause(0) < SECOND / 10 && retry_pause(40) <= SECOND);
    assert_eq!(joining.step(now, true, true), JoinStep::Joined);
}

#[test]
fn a_registration_that_vanished_or_changed_is_written_again() {
    let own = gateway(3, "a");
    let must = |fleet: &Fleet, own: &Gateway, seen_at| must_register(fleet, "a-3", own, seen_at);
    assert!(!must(&fleet(9), &own, Some(9.into())));
    assert!(!must(&fleet(9), &own, None));
    let moved = Gateway { power: 200, ..own.clone() };
    assert!(must(&fleet(9), &moved, None), "the settings changed");
    assert!(!must(&fleet(9), &moved, Some(10.into())), "the list is older than the write");
    let mut without = fleet(9);
    without.apply(NOW, "a-3", None, 12.into());
    assert!(must(&without, &own, Some(9.into())));
    assert!(!must(&without, &own, Some(13.into())), "the list is older than the write");
    assert!(must(&Fleet::default(), &own, None));
}

#[test]
fn a_joining_gateway_asks_peers_of_its_zone_and_its_leaders() {
    let fleet = fleet(9);
    let leaders = [gateway(0, "a").addr, gateway(1, "a").addr];
    for draw in [0.1, 0.5, 0.9] {
        let mut n = 0.0;
        let peers = peers_to_ask(&fleet, "a-3", "a", || {
            n += draw;
            n % 1.0
        });
        assert!((2..=4).contains(&peers.len()), "{peers:?}");
        assert!(leaders.iter().all(|addr| peers.contains(addr)), "{peers:?}");
        assert!(peers.iter().all(|addr| addr.port() < 7_006 && addr.port() != 7_003), "{peers:?}");
    }
    assert!(!peers_to_ask(&fleet, "c-0", "c", || 0.5).is_empty(), "another zone's can answer too");
    assert!(peers_to_ask(&Fleet::default(), "c-0", "c", || 0.5).is_empty());
}

/// An incomplete list never replaces a complete one, and any complete one replaces it.
#[test]
fn gateways_found_nearby_yield_to_a_complete_list() {
    let nearby = || BTreeMap::from([("a-9".to_owned(), gateway(9, "a"))]);
    let mut known = Fleet::default();
    known.add(nearby());
    assert_eq!((known.all().len(), known.revision()), (1, 0.into()));
    known.replace(NOW, fleet(1).registered(), 1.into());
    assert_eq!(known.registered().len(), 12);
    known.add(nearby());
    assert_eq!(known.registered().len(), 12);
}

fn observe(tracker: &mut SilenceTracker, after: Duration, names: &[&str]) -> Vec<String> {
    tracker.observe(NOW.after(after), names.iter().map(|name| (*name, SILENCE_MAX)))
}

#[test]
fn only_gateways_that_stay_silent_are_removed() {
    let mut tracker = SilenceTracker::default();
    for second in 0..10 {
        let names: &[&str] = if second == 5 { &["a-1"] } else { &["a-1", "a-2"] };
        assert!(observe(&mut tracker, second * SECOND, names).is_empty(), "second {second}");
    }
    let gone = observe(&mut tracker, 10 * SECOND, &["a-1", "a-2"]);
    assert_eq!(gone, ["a-1"], "the other one was heard in between");
    tracker.on_removed(NOW.after(10 * SECOND), &gone);
    assert!(observe(&mut tracker, 11 * SECOND, &["a-1", "a-2"]).is_empty(), "asked for once");
}

/// A zone leader that was suspended has received nothing, which says nothing about its peers.
#[test]
fn a_suspended_leader_removes_nobody() {
    let mut tracker = SilenceTracker::default();
    observe(&mut tracker, Duration::ZERO, &["a-1"]);
    assert!(observe(&mut tracker, 30 * SECOND, &["a-1"]).is_empty());
    for second in 31..40 {
        assert!(observe(&mut tracker, second * SECOND, &["a-1"]).is_empty());
    }
    assert_eq!(observe(&mut tracker, 40 * SECOND, &["a-1"]), ["a-1"]);
}
