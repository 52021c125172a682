//! Registry of the backend servers: revisions never go back, and registrations missed in a store
//! outage are kept.

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId, Stage};
use ebonyloft_router::registry::{Change, Effect, Registration, ServerRegistry};
use ebonyloft_router::revision::Revision;
use ebonyloft_router::store_state::{REREGISTRATION_TIME, StoreState};
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
        version: None,
    }
}

fn registered(n: u32, revision: u64) -> Change {
    Change {
        name: name(n),
        entry: Registration::Server(server(n, false)),
        revision: revision.into(),
    }
}

fn leaving(n: u32, revision: u64) -> Change {
    Change {
        name: name(n),
        entry: Registration::Server(server(n, true)),
        revision: revision.into(),
    }
}

fn removed(n: u32, revision: u64) -> Change {
    Change { name: name(n), entry: Registration::Removed, revision: revision.into() }
}

/// An invalid entry written by another program.
fn wrong(n: u32, revision: u64) -> Change {
    Change { name: name(n), entry: Registration::Wrong, revision: revision.into() }
}

/// A new incarnation under the same name.
fn restarted(n: u32, revision: u64) -> Change {
    let server = Server { id: ServerId::new(name(n), 9), ..server(n, false) };
    Change { name: name(n), entry: Registration::Server(server), revision: revision.into() }
}

fn ready(registry: &ServerRegistry) -> usize {
    registry.ready("llm").count()
}

/// Guards against the use of a handle that the server at the address no longer knows, or knows for
/// another request.
#[test]
fn an_incarnation_has_ended_once_it_is_gone_or_replaced() {
    let mut registry = ServerRegistry::default();
    assert!(!registry.has_ended(&id(1)), "a server of another zone was never seen");
    registry.apply(registered(1, 1), true);
    registry.apply(registered(2, 2), true);
    assert!(!registry.has_ended(&id(1)));
    registry.apply(leaving(1, 3), true);
    assert!(!registry.has_ended(&id(1)), "it keeps its handles until it ends");
    registry.apply(removed(1, 4), true);
    assert!(registry.has_ended(&id(1)));
    registry.apply(restarted(2, 5), true);
    assert!(registry.has_ended(&id(2)));
    assert!(!registry.has_ended(&ServerId::new(name(2), 9)));
}

/// Guards against the same while the old registration has not expired.
#[test]
fn an_incarnation_has_ended_once_another_one_is_at_its_address() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(1, 1), true);
    let successor = Server { addr: server(1, false).addr, ..server(2, false) };
    let entry = Registration::Server(successor);
    registry.apply(Change { name: name(2), entry, revision: 2.into() }, true);
    assert!(registry.has_ended(&id(1)));
    assert!(!registry.has_ended(&id(2)));
}

/// Guards against a live server that is taken for ended because the registration of the one before it at its
/// address vanishes later, while the store is not trusted.
#[test]
fn an_incarnation_has_not_ended_because_an_unconfirmed_one_was_at_its_address() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(1, 5), true);
    let successor = Server { addr: server(1, false).addr, ..server(2, false) };
    let entry = Registration::Server(successor);
    registry.apply(Change { name: name(2), entry, revision: 10.into() }, true);
    registry.apply(removed(1, 12), false);
    assert!(!registry.has_ended(&id(2)));
    assert!(registry.has_ended(&id(1)));
}

/// Guards against a handle of another zone's engine that is thrown away because its new registration is not
/// known here yet.
#[test]
fn an_incarnation_later_than_the_known_one_has_not_ended() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(1, 1), true);
    assert!(!registry.has_ended(&ServerId::new(name(1), 9)));
    registry.apply(restarted(1, 2), true);
    assert!(!registry.has_ended(&ServerId::new(name(1), 9)));
    assert!(registry.has_ended(&id(1)));
}

/// Guards against a prompt that is read again because its engine's registration could not be renewed.
#[test]
fn an_incarnation_has_not_ended_while_the_store_is_not_trusted() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(1, 1), true);
    registry.apply(removed(1, 2), false);
    assert!(!registry.has_ended(&id(1)));
    registry.remove_missing();
    assert!(registry.has_ended(&id(1)));
}

/// A server's own announcement outranks the store, which may be unreachable or behind.
#[test]
fn a_server_that_announced_leaving_gets_no_requests_whatever_the_store_says() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(1, 5), true);
    registry.apply(registered(2, 6), true);
    assert!(registry.on_leaving(&id(1)));
    assert!(!registry.on_leaving(&id(1)), "already known");
    assert_eq!(ready(&registry), 1);
    assert!(registry.has_left(&name(1)));
    assert_eq!(registry.announced_leaving().collect::<Vec<_>>(), [&id(1)]);
    // An older heartbeat, and a complete list.
    registry.apply(registered(1, 7), true);
    registry.replace(vec![registered(1, 8), registered(2, 8)], 9.into(), true);
    assert_eq!(ready(&registry), 1);
    registry.apply(leaving(1, 10), true);
    assert_eq!(registry.announced_leaving().count(), 0, "the store reports it too");
    assert_eq!(ready(&registry), 1);
}

#[test]
fn an_announcement_ends_with_its_incarnation() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(1, 5), true);
    registry.on_leaving(&id(1));
    registry.apply(restarted(1, 6), true);
    assert_eq!(ready(&registry), 1);
    assert!(!registry.has_left(&name(1)));
    // The announcement of the old incarnation arrives late, from a peer.
    registry.on_leaving(&id(1));
    assert_eq!(ready(&registry), 1);
    registry.apply(removed(1, 7), true);
    assert!(!registry.on_leaving(&id(1)), "the server is known to be gone");
}

/// A peer may report that a server is leaving before the store reports the server.
#[test]
fn an_announcement_may_come_before_the_registration() {
    let mut registry = ServerRegistry::default();
    assert!(registry.on_leaving(&id(1)));
    assert!(registry.has_left(&name(1)));
    assert_eq!(registry.announced_leaving().count(), 0);
    registry.apply(registered(1, 5), true);
    assert_eq!(ready(&registry), 0);
    for n in 10..10_000 {
        registry.on_leaving(&id(n));
    }
    assert!(registry.has_left(&name(1)), "kept for a registered server");
}

#[test]
fn a_leaving_server_gets_no_requests_at_once() {
    let mut registry = ServerRegistry::default();
    assert_eq!(registry.apply(registered(1, 5), true), Effect::Joined);
    assert_eq!(registry.apply(leaving(1, 6), false), Effect::Leaving);
    assert_eq!(ready(&registry), 0);
}

/// This is checked just before a request that has waited is sent; an unknown server may be new
/// elsewhere.
#[test]
fn servers_that_left_are_known_by_name() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), leaving(2, 2), registered(3, 3)], 3.into(), true);
    registry.apply(removed(3, 4), true);
    let left: Vec<bool> = (1..=4).map(|n| registry.has_left(&name(n))).collect();
    assert_eq!(left, [false, true, true, false]);
    registry.apply(registered(3, 5), true);
    assert!(!registry.has_left(&name(3)));
}

#[test]
fn an_older_revision_is_ignored() {
    let mut registry = ServerRegistry::default();
    registry.apply(leaving(1, 6), true);
    assert_eq!(registry.apply(registered(1, 5), true), Effect::Stale);
    assert_eq!(ready(&registry), 0);
    registry.apply(removed(1, 7), true);
    assert_eq!(registry.apply(registered(1, 6), true), Effect::Stale);
    assert!(registry.is_empty());
}

#[test]
fn a_server_that_vanishes_in_a_store_outage_is_kept_until_the_store_is_trusted() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), registered(2, 2)], 2.into(), true);
    assert_eq!(registry.apply(removed(1, 3), false), Effect::Unheard);
    assert_eq!(ready(&registry), 2);
    // One server registers again, the other does not.
    registry.apply(removed(2, 4), false);
    assert_eq!(registry.apply(registered(2, 5), false), Effect::Changed);
    assert_eq!(registry.remove_missing(), vec![name(1)]);
    assert_eq!(ready(&registry), 1);
}

/// Guards against a server that stays in use for as long as the store is not trusted.
#[test]
fn a_server_that_vanished_is_kept_until_its_deadline() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), registered(2, 2)], 2.into(), true);
    registry.apply(removed(1, 3), false);
    let deadline = Timestamp::from_millis(5_000);
    registry.keep_until(&name(1), deadline);
    // A registered server has no deadline, and a later one does not replace an earlier one.
    registry.keep_until(&name(2), deadline);
    registry.keep_until(&name(1), Timestamp::NEVER);
    assert!(registry.remove_overdue(Timestamp::from_millis(4_999)).is_empty());
    assert_eq!(registry.remove_overdue(deadline), vec![name(1)]);
    assert_eq!(ready(&registry), 1);
}

#[test]
fn a_leaving_server_is_removed_even_in_a_store_outage() {
    let mut registry = ServerRegistry::default();
    registry.apply(leaving(1, 1), true);
    assert_eq!(registry.apply(removed(1, 2), false), Effect::Gone);
}

#[test]
fn a_new_list_removes_servers_that_are_not_in_it() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), registered(2, 2)], 2.into(), true);
    let effects = registry.replace(vec![registered(2, 2), registered(3, 9)], 10.into(), true);
    assert!(effects.contains(&(name(1), Effect::Gone)));
    assert!(effects.contains(&(name(3), Effect::Joined)));
    assert_eq!(ready(&registry), 2);
}

/// Guards against a removal that a peer never saw, as it started later, and so does not pass on: its changes
/// since the older revision would be complete without it.
#[test]
fn a_gateway_that_has_just_started_passes_on_its_whole_list() {
    let mut peer = ServerRegistry::default();
    peer.replace(vec![registered(1, 1), registered(2, 2)], 2.into(), true);
    // The first server is removed at revision 3; the gateway starts after that.
    let mut started = ServerRegistry::default();
    started.replace(vec![registered(2, 2), registered(3, 4)], 4.into(), true);
    match started.since(peer.revision()) {
        Some(changes) => peer.catch_up(changes, started.revision(), true),
        None => peer.replace(started.changes(), started.revision(), true),
    };
    assert_eq!(peer.named(&name(1)), None, "a removed server stays in use for good");
    // What it sees itself from then on, it passes on as changes.
    started.apply(removed(2, 5), true);
    assert_eq!(started.since(4.into()).map(|changes| changes.len()), Some(1));
}

/// The same for a gateway that lists everything again and never sees what came and went meanwhile.
#[test]
fn a_gateway_that_lists_again_passes_on_its_whole_list_for_what_it_skipped() {
    let mut behind = ServerRegistry::default();
    behind.replace(vec![registered(1, 1), registered(2, 2)], 2.into(), true);
    let mut peer = behind.clone();
    peer.apply(registered(3, 3), true);
    // The third server is gone again before the list.
    behind.replace(vec![registered(1, 1), registered(2, 2)], 5.into(), true);
    assert_eq!(behind.since(3.into()), None);
    assert_eq!(behind.since(2.into()), Some(Vec::new()), "who saw as much misses nothing");
}

#[test]
fn a_list_does_not_remove_servers_that_registered_after_it() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(7, 20), true);
    registry.replace(vec![registered(1, 1)], 10.into(), true);
    assert_eq!(ready(&registry), 2);
}

#[test]
fn a_new_incarnation_at_the_address_replaces_the_old_one() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(1, 1), true);
    assert!(registry.replaced(&id(1)));
    assert_eq!(registry.apply(registered(1, 1), true), Effect::Stale);
    assert!(registry.is_empty());
}

#[test]
fn a_new_incarnation_under_a_name_is_another_server() {
    let mut registry = ServerRegistry::default();
    registry.apply(registered(1, 1), true);
    assert_eq!(registry.apply(restarted(1, 2), true), Effect::Reborn);
    assert_eq!(registry.get(&id(1)), None);
    assert!(registry.get(&ServerId::new(name(1), 9)).is_some());
    // A change of the old incarnation, and an answer meant for it, have no effect.
    assert_eq!(registry.apply(registered(1, 1), true), Effect::Stale);
    assert!(!registry.replaced(&id(1)));
    assert_eq!(ready(&registry), 1);
}

#[test]
fn an_invalid_entry_does_not_affect_the_others() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), wrong(2, 2), registered(3, 3)], 3.into(), true);
    assert_eq!(ready(&registry), 2);
    // A valid entry becomes invalid while the store is not trusted, and valid again.
    assert_eq!(registry.apply(wrong(1, 4), false), Effect::Wrong);
    assert_eq!(ready(&registry), 1);
    assert!(registry.remove_missing().is_empty());
    assert_eq!(registry.apply(registered(1, 5), true), Effect::Joined);
    registry.replace(vec![registered(1, 5), wrong(3, 6)], 6.into(), false);
    assert_eq!(ready(&registry), 1);
    // A gateway passes on what it uses, so the invalid entries are left out.
    let mut peer = ServerRegistry::default();
    peer.replace(vec![registered(1, 5), registered(3, 3)], 3.into(), true);
    peer.replace(registry.changes(), registry.revision(), true);
    assert_eq!(ready(&peer), 1);
}

#[test]
fn the_store_is_trusted_some_time_after_its_return() {
    let mut fresh = StoreState::default();
    let start = Timestamp::from_millis(1_000);
    fresh.on_reached(start, start);
    fresh.known(start);
    assert!(fresh.is_trusted(start));
    assert!(fresh.on_failure(Timestamp::from_millis(2_000)));
    assert!(!fresh.on_failure(Timestamp::from_millis(2_100)));
    assert!(!fresh.is_trusted(Timestamp::from_millis(60_000)));
    let back = Timestamp::from_millis(60_000);
    assert!(fresh.on_reached(back, back));
    fresh.known(back);
    assert!(!fresh.is_trusted(back));
    assert!(fresh.is_trusted(back.after(REREGISTRATION_TIME)));
}

proptest! {
    /// Changes may arrive in any order and more than once: the last revision of each server counts.
    #[test]
    fn the_order_of_arrival_does_not_matter(
        order in Just((1_u64..40).collect::<Vec<_>>()).prop_shuffle(),
        kinds in proptest::collection::vec(0_u8..5, 40),
        repeats in proptest::collection::vec(any::<bool>(), 40),
    ) {
        let change = |r: u64| {
            let n = (r % 4) as u32;
            match kinds[r as usize] {
                0 => registered(n, r),
                1 => leaving(n, r),
                2 => restarted(n, r),
                3 => wrong(n, r),
                _ => removed(n, r),
            }
        };
        let mut registry = ServerRegistry::default();
        for r in order {
            registry.apply(change(r), true);
            if repeats[r as usize] {
                registry.apply(change(r), true);
            }
        }
        for n in 0..4_u32 {
            let last = (1..40).rev().find(|r| (r % 4) as u32 == n).expect("each server has a change");
            let want = match change(last).entry {
                Registration::Server(server) => Some(server),
                Registration::Removed | Registration::Wrong => None,
            };
            prop_assert_eq!(registry.named(&name(n)).cloned(), want);
        }
    }
}

/// A gateway that knows everything up to a revision and applies the changes since has the same
/// registry.
#[test]
fn changes_since_a_revision_bring_another_gateway_up_to_date() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), registered(2, 2), registered(3, 3)], 3.into(), true);
    let mut peer = ServerRegistry::default();
    assert_eq!(registry.since(0.into()), None, "a gateway without a list takes the complete one");
    peer.replace(registry.changes(), registry.revision(), true);
    registry.apply(removed(1, 4), true);
    registry.apply(leaving(2, 5), true);
    registry.apply(registered(4, 6), true);
    registry.apply(wrong(3, 7), true);
    let changes = registry.since(3.into()).expect("removals are remembered");
    assert_eq!(changes.len(), 4);
    peer.catch_up(changes, registry.revision(), true);
    assert_eq!(peer.changes(), registry.changes());
    assert_eq!(peer.revision(), 7.into());
    assert_eq!(registry.since(7.into()), Some(Vec::new()));
}

/// A list that is read page by page may have entries newer than its revision. The changes in
/// between are still to come, so they must not be reported as known.
#[test]
fn a_list_is_known_up_to_its_own_revision_only() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), registered(2, 9)], 5.into(), true);
    assert_eq!(registry.revision(), 5.into());
    registry.apply(removed(1, 7), true);
    assert_eq!(registry.since(5.into()).expect("remembered").len(), 2);
}

/// A registration that vanished while the store was unreachable is passed on as removed; each
/// gateway decides for itself whether the server is gone.
#[test]
fn a_server_that_vanished_in_a_store_outage_is_passed_on_as_removed() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), registered(2, 2)], 2.into(), true);
    let mut peer = ServerRegistry::default();
    peer.replace(registry.changes(), 2.into(), true);
    assert_eq!(registry.apply(removed(1, 3), false), Effect::Unheard);
    peer.catch_up(registry.since(2.into()).expect("remembered"), 3.into(), false);
    assert_eq!(ready(&peer), 2);
    registry.apply(registered(1, 4), true);
    peer.catch_up(registry.since(3.into()).expect("remembered"), 4.into(), true);
    assert!(peer.remove_missing().is_empty());
    assert_eq!(ready(&peer), 2);
}

/// Guards against taking the end of a server without an announcement for a departure: what ran there was never
/// suspected.
#[test]
fn a_server_that_vanishes_has_announced_nothing() {
    let mut registry = ServerRegistry::default();
    for n in 1..=5 {
        registry.apply(registered(n, u64::from(n)), true);
    }
    registry.apply(leaving(2, 10), true);
    registry.on_leaving(&id(3));
    registry.on_leaving(&id(5));
    for n in 1..=4 {
        registry.apply(removed(n, 10 + u64::from(n)), true);
    }
    // The news of a peer arrives after the removal.
    registry.on_leaving(&id(4));
    registry.apply(restarted(5, 20), true);
    let announced: Vec<bool> = (1..=5).map(|n| registry.has_announced(&id(n))).collect();
    assert_eq!(announced, [false, true, true, true, true]);
    assert!(registry.has_left(&name(1)), "it is gone all the same");
    assert!(!registry.has_announced(&ServerId::new(name(5), 9)), "the new incarnation stays");
}

/// A list of a later era as of `number`.
fn restored(registry: &mut ServerRegistry, list: Vec<Change>, number: u64, settled: bool) {
    let in_era =
        |change: Change| Change { revision: Revision::new(1, change.revision.number()), ..change };
    let list = list.into_iter().map(in_era).collect();
    registry.replace(list, Revision::new(1, number), settled);
}

fn ready_names(registry: &ServerRegistry) -> Vec<&str> {
    registry.ready("llm").map(|s| s.id.name.as_str()).collect()
}

/// Guards against a copy of the store that brings back what has left or ended.
#[test]
fn a_copy_of_the_store_makes_no_server_ready_that_has_left() {
    let mut registry = ServerRegistry::default();
    let list = || vec![registered(1, 1), registered(2, 2), registered(3, 3)];
    registry.replace(list(), 3.into(), true);
    registry.apply(leaving(1, 4), true);
    registry.apply(removed(2, 5), true);
    restored(&mut registry, list(), 3, false);
    assert_eq!(ready_names(&registry), [name(3)]);
    assert_eq!(registry.revision(), Revision::new(1, 3));
    let again = |n, number| Change { revision: Revision::new(1, number), ..registered(n, 0) };
    assert_eq!(registry.apply(again(2, 4), true), Effect::Joined);
    assert_eq!(ready_names(&registry), [name(2), name(3)]);
}

/// Guards against a list of the store that follows a peer's list of the same era and brings back what has ended.
#[test]
fn a_copy_read_after_the_list_of_a_peer_makes_no_server_ready_that_has_ended() {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![registered(1, 1), registered(2, 2)], 2.into(), true);
    registry.apply(removed(1, 3), true);
    restored(&mut registry, vec![registered(2, 2)], 2, false);
    restored(&mut registry, vec![registered(1, 1), registered(2, 2)], 2, false);
    assert_eq!(ready_names(&registry), [name(2)]);
}

/// Guards against a peer that passes on unchanged servers as of the era before, which a new gateway ignores.
#[test]
fn a_gateway_that_starts_after_the_store_came_back_gets_all_servers_from_a_peer() {
    let mut registry = ServerRegistry::default();
    let list = || vec![registered(1, 1), registered(2, 2)];
    registry.replace(list(), 3.into(), true);
    restored(&mut registry, list(), 2, false);
    let mut new = ServerRegistry::default();
    new.replace(registry.changes(), registry.revision(), true);
    assert_eq!(ready_names(&new), [name(1), name(2)]);
    assert_eq!(registry.since(registry.revision()), Some(Vec::new()));
}

/// Guards against revisions that are given out again and taken for old ones.
#[test]
fn a_change_of_a_later_era_is_newer_whatever_its_number() {
    let mut registry = ServerRegistry::default();
    let list = || vec![registered(1, 1), registered(2, 2)];
    registry.replace(list(), 2.into(), true);
    registry.apply(registered(3, 9), true);
    restored(&mut registry, list(), 2, false);
    let left = Change { revision: Revision::new(1, 3), ..leaving(1, 0) };
    assert_eq!(registry.apply(left, true), Effect::Leaving);
    assert_eq!(registry.revision(), Revision::new(1, 3));
    assert_eq!(registry.apply(registered(1, 10), true), Effect::Stale, "of the era before");
    assert!(registry.since(9.into()).is_none(), "a peer of the era before gets the whole list");
    assert_eq!(registry.since(Revision::new(1, 2)).map(|changes| changes.len()), Some(1));
    // The copy lacks the third one, which is used until it is known to be gone.
    assert_eq!(ready_names(&registry), [name(2), name(3)]);
    registry.replace(list(), 20.into(), true);
    assert_eq!(registry.revision(), Revision::new(1, 3), "a late list of the era before");
    registry.remove_missing();
    assert_eq!(ready_names(&registry), [name(2)]);
}
