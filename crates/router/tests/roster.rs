//! The list of backend servers: revisions never go back, and what a store outage hides is kept.

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId, Stage};
use ebonyloft_router::freshness::{Freshness, RETURN_TIME};
use ebonyloft_router::roster::{Change, Effect, Entry, Roster};
use proptest::prelude::*;

fn name(n: u32) -> String {
    format!("i-{n}")
}

fn id(n: u32) -> ServerId {
    ServerId::new(name(n), 0)
}

fn server(n: u32, draining: bool) -> Server {
    Server {
        id: id(n),
        service: "llm".into(),
        addr: ([127, 0, 0, 1], 9_000 + n as u16).into(),
        zone: "z".into(),
        slots: 4,
        draining,
        stage: Some(Stage::Decode),
    }
}

fn there(n: u32, revision: u64) -> Change {
    Change { name: name(n), entry: Entry::Server(server(n, false)), revision }
}

fn leaving(n: u32, revision: u64) -> Change {
    Change { name: name(n), entry: Entry::Server(server(n, true)), revision }
}

fn gone(n: u32, revision: u64) -> Change {
    Change { name: name(n), entry: Entry::Removed, revision }
}

/// An entry that another writer left there.
fn wrong(n: u32, revision: u64) -> Change {
    Change { name: name(n), entry: Entry::Wrong, revision }
}

/// The same name in another life.
fn reborn(n: u32, revision: u64) -> Change {
    let server = Server { id: ServerId::new(name(n), 9), ..server(n, false) };
    Change { name: name(n), entry: Entry::Server(server), revision }
}

fn ready(roster: &Roster) -> usize {
    roster.ready("llm").count()
}

/// Its own word outranks the store's, which may be silent, late or behind.
#[test]
fn a_server_that_said_that_it_leaves_gets_no_work_whatever_the_store_says() {
    let mut roster = Roster::default();
    roster.apply(there(1, 5), true);
    roster.apply(there(2, 6), true);
    assert!(roster.hear_leaving(&id(1)));
    assert!(!roster.hear_leaving(&id(1)), "no news");
    assert_eq!(ready(&roster), 1);
    assert!(roster.has_left(&name(1)));
    assert_eq!(roster.said().collect::<Vec<_>>(), [&id(1)]);
    // A heartbeat from before, and a whole list.
    roster.apply(there(1, 7), true);
    roster.replace(vec![there(1, 8), there(2, 8)], 9, true);
    assert_eq!(ready(&roster), 1);
    roster.apply(leaving(1, 10), true);
    assert_eq!(roster.said().count(), 0, "the store says it too");
    assert_eq!(ready(&roster), 1);
}

#[test]
fn what_a_life_said_ends_with_it() {
    let mut roster = Roster::default();
    roster.apply(there(1, 5), true);
    roster.hear_leaving(&id(1));
    roster.apply(reborn(1, 6), true);
    assert_eq!(ready(&roster), 1);
    assert!(!roster.has_left(&name(1)));
    // The word of the life before comes late, from a peer.
    roster.hear_leaving(&id(1));
    assert_eq!(ready(&roster), 1);
    roster.apply(gone(1, 7), true);
    assert!(!roster.hear_leaving(&id(1)), "it is known to be gone");
}

/// A peer tells of it before the store tells that there is such a server.
#[test]
fn a_word_may_come_before_the_registration() {
    let mut roster = Roster::default();
    assert!(roster.hear_leaving(&id(1)));
    assert!(roster.has_left(&name(1)));
    assert_eq!(roster.said().count(), 0);
    roster.apply(there(1, 5), true);
    assert_eq!(ready(&roster), 0);
    for n in 10..10_000 {
        roster.hear_leaving(&id(n));
    }
    assert!(roster.has_left(&name(1)), "of one that is registered it is not forgotten");
}

#[test]
fn a_leaving_server_gets_no_work_from_the_moment_it_is_heard() {
    let mut roster = Roster::default();
    assert_eq!(roster.apply(there(1, 5), true), Effect::Joined);
    assert_eq!(roster.apply(leaving(1, 6), false), Effect::Leaving);
    assert_eq!(ready(&roster), 0);
}

/// Asked just before a request is sent that has waited; one that was never heard of may be new elsewhere.
#[test]
fn who_left_is_known_by_name() {
    let mut roster = Roster::default();
    roster.replace(vec![there(1, 1), leaving(2, 2), there(3, 3)], 3, true);
    roster.apply(gone(3, 4), true);
    let left: Vec<bool> = (1..=4).map(|n| roster.has_left(&name(n))).collect();
    assert_eq!(left, [false, true, true, false]);
    roster.apply(there(3, 5), true);
    assert!(!roster.has_left(&name(3)));
}

#[test]
fn an_older_revision_changes_nothing() {
    let mut roster = Roster::default();
    roster.apply(leaving(1, 6), true);
    assert_eq!(roster.apply(there(1, 5), true), Effect::Stale);
    assert_eq!(ready(&roster), 0);
    roster.apply(gone(1, 7), true);
    assert_eq!(roster.apply(there(1, 6), true), Effect::Stale);
    assert!(roster.is_empty());
}

#[test]
fn what_vanishes_while_the_store_is_away_is_kept_until_it_settles() {
    let mut roster = Roster::default();
    roster.replace(vec![there(1, 1), there(2, 2)], 2, true);
    assert_eq!(roster.apply(gone(1, 3), false), Effect::Unheard);
    assert_eq!(ready(&roster), 2);
    // One registers anew, the other does not.
    roster.apply(gone(2, 4), false);
    assert_eq!(roster.apply(there(2, 5), false), Effect::Changed);
    assert_eq!(roster.settle(), vec![name(1)]);
    assert_eq!(ready(&roster), 1);
}

#[test]
fn a_server_that_was_leaving_is_gone_even_while_the_store_is_away() {
    let mut roster = Roster::default();
    roster.apply(leaving(1, 1), true);
    assert_eq!(roster.apply(gone(1, 2), false), Effect::Gone);
}

#[test]
fn a_new_list_removes_what_it_does_not_name() {
    let mut roster = Roster::default();
    roster.replace(vec![there(1, 1), there(2, 2)], 2, true);
    let effects = roster.replace(vec![there(2, 2), there(3, 9)], 10, true);
    assert!(effects.contains(&(name(1), Effect::Gone)));
    assert!(effects.contains(&(name(3), Effect::Joined)));
    assert_eq!(ready(&roster), 2);
}

#[test]
fn a_list_does_not_remove_what_registered_after_it() {
    let mut roster = Roster::default();
    roster.apply(there(7, 20), true);
    roster.replace(vec![there(1, 1)], 10, true);
    assert_eq!(ready(&roster), 2);
}

#[test]
fn another_life_at_the_address_ends_the_one_before() {
    let mut roster = Roster::default();
    roster.apply(there(1, 1), true);
    assert!(roster.replaced(&id(1)));
    assert_eq!(roster.apply(there(1, 1), true), Effect::Stale);
    assert!(roster.is_empty());
}

#[test]
fn a_name_in_another_life_is_another_server() {
    let mut roster = Roster::default();
    roster.apply(there(1, 1), true);
    assert_eq!(roster.apply(reborn(1, 2), true), Effect::Reborn);
    assert_eq!(roster.get(&id(1)), None);
    assert!(roster.get(&ServerId::new(name(1), 9)).is_some());
    // News of the life before, and an answer meant for it, change nothing.
    assert_eq!(roster.apply(there(1, 1), true), Effect::Stale);
    assert!(!roster.replaced(&id(1)));
    assert_eq!(ready(&roster), 1);
}

#[test]
fn a_wrong_entry_names_nobody_and_the_others_hold() {
    let mut roster = Roster::default();
    roster.replace(vec![there(1, 1), wrong(2, 2), there(3, 3)], 3, true);
    assert_eq!(ready(&roster), 2);
    // A good one turns bad while the store can't be believed, and good again.
    assert_eq!(roster.apply(wrong(1, 4), false), Effect::Wrong);
    assert_eq!(ready(&roster), 1);
    assert!(roster.settle().is_empty());
    assert_eq!(roster.apply(there(1, 5), true), Effect::Joined);
    roster.replace(vec![there(1, 5), wrong(3, 6)], 6, false);
    assert_eq!(ready(&roster), 1);
    // A peer passes on what it uses: the wrong ones are missing from it.
    let mut peer = Roster::default();
    peer.replace(vec![there(1, 5), there(3, 3)], 3, true);
    peer.replace(roster.changes(), roster.revision(), true);
    assert_eq!(ready(&peer), 1);
}

#[test]
fn the_store_is_believed_some_time_after_its_return() {
    let mut fresh = Freshness::default();
    let start = Timestamp::from_millis(1_000);
    fresh.on_answer(start, start);
    assert!(fresh.settled(start));
    assert!(fresh.on_failure(Timestamp::from_millis(2_000)));
    assert!(!fresh.on_failure(Timestamp::from_millis(2_100)));
    assert!(!fresh.settled(Timestamp::from_millis(60_000)));
    let back = Timestamp::from_millis(60_000);
    assert!(fresh.on_answer(back, back));
    assert!(!fresh.settled(back));
    assert!(fresh.settled(back.after(RETURN_TIME)));
}

proptest! {
    /// Changes may arrive in any order and more than once: the last revision of each server decides.
    #[test]
    fn the_order_of_arrival_does_not_matter(
        order in Just((1_u64..40).collect::<Vec<_>>()).prop_shuffle(),
        kinds in proptest::collection::vec(0_u8..5, 40),
        repeats in proptest::collection::vec(any::<bool>(), 40),
    ) {
        let change = |r: u64| {
            let n = (r % 4) as u32;
            match kinds[r as usize] {
                0 => there(n, r),
                1 => leaving(n, r),
                2 => reborn(n, r),
                3 => wrong(n, r),
                _ => gone(n, r),
            }
        };
        let mut roster = Roster::default();
        for r in order {
            roster.apply(change(r), true);
            if repeats[r as usize] {
                roster.apply(change(r), true);
            }
        }
        for n in 0..4_u32 {
            let last = (1..40).rev().find(|r| (r % 4) as u32 == n).expect("each has one");
            let want = match change(last).entry {
                Entry::Server(server) => Some(server),
                Entry::Removed | Entry::Wrong => None,
            };
            prop_assert_eq!(roster.named(&name(n)).cloned(), want);
        }
    }
}

/// Another process that knows everything up to a revision takes what changed since, and knows the same.
#[test]
fn what_changed_since_a_revision_brings_another_process_up_to_date() {
    let mut roster = Roster::default();
    roster.replace(vec![there(1, 1), there(2, 2), there(3, 3)], 3, true);
    let mut peer = Roster::default();
    assert_eq!(roster.since(0), None, "who knows nothing takes the whole list");
    peer.replace(roster.changes(), roster.revision(), true);
    roster.apply(gone(1, 4), true);
    roster.apply(leaving(2, 5), true);
    roster.apply(there(4, 6), true);
    roster.apply(wrong(3, 7), true);
    let changes = roster.since(3).expect("removals are remembered");
    assert_eq!(changes.len(), 4);
    peer.catch_up(changes, roster.revision(), true);
    assert_eq!(peer.changes(), roster.changes());
    assert_eq!(peer.revision(), 7);
    assert_eq!(roster.since(7), Some(Vec::new()));
}

/// A list that is read page by page may have items newer than its revision: what changed in between is
/// still to come, and nobody may be told that it is known.
#[test]
fn a_list_is_known_up_to_its_own_revision_only() {
    let mut roster = Roster::default();
    roster.replace(vec![there(1, 1), there(2, 9)], 5, true);
    assert_eq!(roster.revision(), 5);
    roster.apply(gone(1, 7), true);
    assert_eq!(roster.since(5).expect("remembered").len(), 2);
}

/// One that vanished while the store was away is passed on as removed: the other one judges by itself
/// whether that means that it is gone.
#[test]
fn who_vanished_while_the_store_was_away_is_judged_by_each() {
    let mut roster = Roster::default();
    roster.replace(vec![there(1, 1), there(2, 2)], 2, true);
    let mut peer = Roster::default();
    peer.replace(roster.changes(), 2, true);
    assert_eq!(roster.apply(gone(1, 3), false), Effect::Unheard);
    peer.catch_up(roster.since(2).expect("remembered"), 3, false);
    assert_eq!(ready(&peer), 2);
    roster.apply(there(1, 4), true);
    peer.catch_up(roster.since(3).expect("remembered"), 4, true);
    assert!(peer.settle().is_empty());
    assert_eq!(ready(&peer), 2);
}
