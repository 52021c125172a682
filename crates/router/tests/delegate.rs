//! Who follows the store for its availability zone.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::delegate::{KEEP, Link, PER_ZONE, Role, SILENT, STEP, STEPS_MAX};
use ebonyloft_router::fleet::{Fleet, Gateway, LAPSE};
use ebonyloft_router::freshness::Freshness;
use ebonyloft_router::share::{Share, Shares};

const NOW: Timestamp = Timestamp::from_millis(100_000);
const HEARD: Link = Link::Heard { settles: 0, age: 0 };
const SILENCE: Duration = Duration::from_millis(1_200);

fn gateway(n: usize, zone: &str, power: u32) -> (String, Gateway) {
    let addr = ([127, 0, 0, 1], 7_000 + n as u16).into();
    (format!("front-{zone}-{n}"), Gateway { addr, zone: zone.into(), power })
}

/// Six gateways in each of two zones; the last two of each are strong.
fn fleet() -> Fleet {
    let power = |n| if n >= 4 { 500 } else { 90 };
    let of = |zone| (0..6).map(move |n| gateway(n, zone, power(n)));
    let mut fleet = Fleet::default();
    fleet.replace(NOW, of("a").chain(of("b")).collect(), 9);
    fleet
}

fn ahead(fleet: &Fleet, name: &str) -> Vec<String> {
    fleet.ahead(name).expect("it is registered").map(str::to_owned).collect()
}

/// Delegates that each gateway of a zone hears, by what the others say of the store.
fn follow(fleet: &Fleet, said: &BTreeMap<&str, Link>, name: &str) -> usize {
    let heard = |n: &&str| matches!(said.get(n), Some(Link::Heard { .. }));
    fleet.ahead(name).map_or(0, |names| names.filter(heard).count())
}

#[test]
fn the_strongest_of_a_zone_go_first() {
    let fleet = fleet();
    assert!(ahead(&fleet, "front-a-4").is_empty());
    assert_eq!(ahead(&fleet, "front-a-5"), ["front-a-4"]);
    assert_eq!(ahead(&fleet, "front-a-0"), ["front-a-4", "front-a-5"]);
    assert_eq!(ahead(&fleet, "front-b-3").len(), 5);
    assert_eq!(fleet.delegates().count(), 2 * PER_ZONE);
    assert!(fleet.delegates().all(|g| g.power == 500));
}

#[test]
fn one_that_is_not_registered_follows_the_store() {
    assert!(fleet().ahead("front-c-0").is_none());
    assert!(Role::new(NOW).follows());
}

#[test]
fn an_older_list_of_gateways_changes_nothing() {
    let mut fleet = fleet();
    fleet.replace(NOW, BTreeMap::new(), 8);
    assert_eq!(fleet.all().len(), 12);
    fleet.apply(NOW, "front-a-4", None, 8);
    assert_eq!(fleet.all().len(), 12);
    fleet.apply(NOW, "front-a-4", None, 10);
    assert_eq!((fleet.registered().len(), fleet.revision()), (11, 10));
}

/// Registrations lapse with the store: the gateways that had them are told news and counted on.
#[test]
fn a_gateway_whose_registration_is_gone_counts_for_a_while() {
    let mut fleet = fleet();
    fleet.replace(NOW, BTreeMap::new(), 10);
    fleet.expire(NOW.after(LAPSE / 2));
    assert_eq!(fleet.all().len(), 12);
    let (name, again) = gateway(4, "a", 500);
    fleet.apply(NOW.after(LAPSE / 2), &name, Some(again), 11);
    fleet.expire(NOW.after(LAPSE));
    assert_eq!(fleet.all().keys().collect::<Vec<_>>(), [&name]);
    assert_eq!(fleet.registered().len(), 1);
}

/// A gateway stops following only after a while in which it need not.
#[test]
fn a_gateway_follows_unless_two_before_it_do() {
    let mut role = Role::new(NOW);
    role.judge(NOW.after(KEEP), 2, 2);
    assert!(role.follows());
    let later = NOW.after(KEEP + Duration::from_millis(1));
    role.judge(later, 2, 2);
    assert!(!role.follows());
    role.judge(later, 2, 1);
    role.judge(later.after(STEP), 2, 1);
    assert!(role.follows());
    role.judge(later.after(KEEP), 2, 2);
    assert!(role.follows(), "it goes on for a while");
}

/// The gateways of a zone begin one after the other when a delegate is missed, the first ones first.
#[test]
fn a_zone_does_not_list_the_store_all_at_once() {
    let missed = NOW.after(KEEP * 2);
    let begun = |ahead: usize, after: Duration| {
        let mut role = Role::new(NOW);
        role.judge(missed, ahead, 2);
        role.judge(missed, ahead, 1);
        role.judge(missed.after(after), ahead, 1);
        role.follows()
    };
    let leads = |heard: usize| {
        let mut role = Role::new(NOW);
        role.judge(NOW, 3, heard);
        role.leads()
    };
    assert!(begun(1, Duration::ZERO));
    assert!(!begun(2, STEP / 2) && begun(2, STEP));
    assert!(!begun(5, STEP * 3) && begun(5, STEP * 4));
    assert!(begun(50, STEP * STEPS_MAX));
    assert!(leads(0) && !leads(1));
    let mut role = Role::new(NOW);
    role.judge(missed, 5, 2);
    role.judge(missed, 5, 1);
    role.judge(missed.after(STEP), 5, 2);
    role.judge(missed.after(STEP * 4), 5, 1);
    assert!(!role.follows(), "another one took the place meanwhile");
}

/// Whoever of a zone is lost or cut from the store, two of those that are left and hear it follow it.
#[test]
fn two_of_those_that_can_follow_the_store_in_any_state_of_a_zone() {
    let fleet = fleet();
    let names: Vec<String> = (0..6).map(|n| format!("front-a-{n}")).collect();
    // Each gateway is well, cut from the store, or lost.
    for state in 0..3_usize.pow(6) {
        let of = |i: usize| state / 3_usize.pow(i as u32) % 3;
        let well: Vec<&str> = (0..6).filter(|i| of(*i) == 0).map(|i| names[i].as_str()).collect();
        let mut said: BTreeMap<&str, Link> = BTreeMap::new();
        // Each judges by what the others said last, until nothing changes.
        for _ in 0..8 {
            let before = said.clone();
            for (i, name) in names.iter().enumerate().filter(|(i, _)| of(*i) < 2) {
                let link = match (follow(&fleet, &before, name) < PER_ZONE, of(i)) {
                    (false, _) => Link::Indirect,
                    (true, 0) => HEARD,
                    (true, _) => Link::Away,
                };
                said.insert(name, link);
            }
        }
        let heard = said.values().filter(|link| **link == HEARD).count();
        assert_eq!(heard, well.len().min(PER_ZONE), "{state}: {said:?}");
    }
}

#[test]
fn a_silent_delegate_does_not_count() {
    let mut shares = Shares::default();
    shares.hear(NOW, Share { name: "a".into(), seq: 1, link: HEARD, ..Share::default() });
    assert_eq!(shares.link(NOW, "a"), Some(HEARD));
    assert_eq!(shares.link(NOW.after(SILENT), "a"), None);
    assert_eq!(shares.best_link(NOW.after(SILENT)), Link::Indirect);
}

#[test]
fn the_best_link_of_all_counts() {
    let mut shares = Shares::default();
    let links = [Link::Indirect, Link::Away, Link::Heard { settles: 900, age: 0 }, HEARD];
    for (n, link) in links.into_iter().enumerate() {
        shares.hear(NOW, Share { name: format!("p{n}"), seq: 1, link, ..Share::default() });
        assert_eq!(shares.best_link(NOW), link);
    }
}

/// One that hears of the store from others keeps what vanished for as long as they do.
#[test]
fn the_store_is_believed_as_those_believe_it_who_follow_it() {
    let mut fresh = Freshness::default();
    assert!(fresh.adopt(NOW, Link::Away));
    assert!(!fresh.settled(NOW));
    assert!(fresh.adopt(NOW, Link::Heard { settles: 700, age: 0 }));
    assert!(!fresh.is_away() && !fresh.settled(NOW));
    let settled = NOW.after(Duration::from_millis(700));
    assert!(fresh.settled(settled));
    assert!(!fresh.adopt(settled, Link::Indirect), "nothing is heard, nothing changes");
    fresh.known(NOW);
    assert_eq!(fresh.link(NOW, SILENCE), Link::Heard { settles: 700, age: 0 });
}

/// Who waits for a watch that a silent store will not answer is no help to its zone, before the watch ends.
#[test]
fn who_heard_nothing_for_long_does_not_say_that_it_hears_the_store() {
    let mut fresh = Freshness::default();
    fresh.on_answer(NOW, NOW);
    let link = |at: Timestamp| fresh.link(at, SILENCE);
    assert_eq!(link(NOW.after(SILENCE)), Link::Heard { settles: 0, age: 1_200 });
    assert_eq!(link(NOW.after(SILENCE).after(Duration::from_millis(1))), Link::Away);
}

/// An answer that took long to read holds as of when it was given.
#[test]
fn an_answer_is_as_old_as_its_head() {
    let mut fresh = Freshness::default();
    fresh.on_answer(NOW.after(SILENCE), NOW);
    assert_eq!(fresh.known_at(), NOW);
    fresh.known(NOW.before(SILENCE));
    assert_eq!(fresh.known_at(), NOW, "it is never known to hold for less");
}

/// A list holds as of when somebody who knows nothing newer said so; who knows more says nothing of it.
#[test]
fn a_list_heard_from_peers_is_as_old_as_they_say() {
    let mut shares = Shares::default();
    assert_eq!(shares.known_at(NOW, 9), None);
    let link = |age| Link::Heard { settles: 0, age };
    let peers =
        [("a", 9, link(400)), ("b", 8, link(300)), ("c", 10, link(0)), ("d", 9, Link::Away)];
    for (name, roster, link) in peers {
        shares.hear(NOW, Share { name: name.into(), seq: 1, roster, link, ..Share::default() });
    }
    let ago = |ms| Some(NOW.before(Duration::from_millis(ms)));
    assert_eq!(shares.known_at(NOW, 9), ago(300));
    assert_eq!(shares.known_at(NOW, 10), ago(0));
    assert_eq!(shares.known_at(NOW, 7), None);
    assert_eq!(shares.known_at(NOW.after(SILENT), 9), None);
}
