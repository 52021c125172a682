//! Choice of the zone leaders, which follow the store for their availability zone.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fleet::{Fleet, Gateway, LAPSE_GRACE};
use ebonyloft_router::load_report::{LoadReport, LoadReports, Pauses, pauses};
use ebonyloft_router::node::{Bounds, DEFAULT_HEARTBEAT, Excess};
use ebonyloft_router::store_state::StoreState;
use ebonyloft_router::zone_leader::{
    HigherRanked, JOIN_SPREAD, LEADER_TIMEOUT, LEADERS_PER_ZONE, LeaderState, STEP_DOWN_DELAY,
    StoreLink, TAKEOVER_STEP, TAKEOVER_STEPS_MAX, TRIED_MAX, TRIED_STEP,
};

const NOW: Timestamp = Timestamp::from_millis(100_000);
const SECOND: Duration = Duration::from_secs(1);
const HEARD: StoreLink = StoreLink::Heard { settles: 0, age: 0 };
const SILENCE: Duration = Duration::from_millis(1_200);

/// So many gateways rank above, of which `connected` reach the store and none says that it can't.
fn above(count: usize, connected: usize) -> HigherRanked {
    HigherRanked { count, connected, away: 0 }
}

/// Bounds by which changes must take effect within `shortest`.
fn bounds(shortest: Duration) -> Bounds {
    Bounds {
        budget_ratio: 0.2,
        budget_extra: 54.0,
        budget_window: 10 * SECOND,
        grace: 8 * SECOND,
        order_gap: 3 * SECOND,
        contact: shortest + SECOND,
        drain: shortest,
        apply: shortest,
        heartbeat: DEFAULT_HEARTBEAT,
        revoke: None,
        excess: Excess::default(),
    }
}

fn gateway(n: usize, zone: &str, power: u32) -> (String, Gateway) {
    let addr = ([127, 0, 0, 1], 7_000 + n as u16).into();
    (format!("front-{zone}-{n}"), Gateway { addr, zone: zone.into(), power })
}

/// Six gateways in each of two zones; the last two of each have the most CPU.
fn fleet() -> Fleet {
    let power = |n| if n >= 4 { 500 } else { 90 };
    let of = |zone| (0..6).map(move |n| gateway(n, zone, power(n)));
    let mut fleet = Fleet::default();
    fleet.replace(NOW, of("a").chain(of("b")).collect(), 9.into());
    fleet
}

fn ahead(fleet: &Fleet, name: &str) -> Vec<String> {
    fleet.higher_ranked(name).expect("a registered gateway").map(str::to_owned).collect()
}

/// Counts the higher-ranked gateways that reach the store, by what the gateways report.
fn connected_leaders(fleet: &Fleet, reports: &BTreeMap<&str, StoreLink>, name: &str) -> usize {
    let heard = |n: &&str| matches!(reports.get(n), Some(StoreLink::Heard { .. }));
    fleet.higher_ranked(name).map_or(0, |names| names.filter(heard).count())
}

#[test]
fn gateways_with_the_most_cpu_rank_first() {
    let fleet = fleet();
    assert!(ahead(&fleet, "front-a-4").is_empty());
    assert_eq!(ahead(&fleet, "front-a-5"), ["front-a-4"]);
    assert_eq!(ahead(&fleet, "front-a-0"), ["front-a-4", "front-a-5"]);
    assert_eq!(ahead(&fleet, "front-b-3").len(), 5);
    assert_eq!(fleet.zone_leaders().count(), 2 * LEADERS_PER_ZONE);
    assert!(fleet.zone_leaders().all(|g| g.power == 500));
}

/// What was seen: where all zones decide together, each of six zones had two followers of its own,
/// and a fleet of 18 gateways made as many calls as one of 468.
#[test]
fn two_followers_of_different_zones_serve_a_fleet_that_decides_together() {
    let fleet = fleet();
    let count = |name| fleet.higher_ranked_of_all(name).expect("a registered gateway").count();
    let mut names: Vec<&str> = fleet.all().keys().map(String::as_str).collect();
    names.sort_by_key(|name| count(name));
    let counts: Vec<usize> = names.iter().map(|name| count(name)).collect();
    assert_eq!(counts, (0..12).collect::<Vec<_>>(), "each has a rank of its own");
    assert_eq!(names[..LEADERS_PER_ZONE], ["front-a-4", "front-b-4"]);
    assert!(fleet.higher_ranked_of_all("front-c-0").is_none());
}

#[test]
fn an_unregistered_gateway_follows_the_store() {
    assert!(fleet().higher_ranked("front-c-0").is_none());
    assert!(LeaderState::new(NOW, 0).follows());
}

#[test]
fn an_older_list_of_gateways_is_ignored() {
    let mut fleet = fleet();
    fleet.replace(NOW, BTreeMap::new(), 8.into());
    assert_eq!(fleet.all().len(), 12);
    fleet.apply(NOW, "front-a-4", None, 8.into());
    assert_eq!(fleet.all().len(), 12);
    fleet.apply(NOW, "front-a-4", None, 10.into());
    assert_eq!((fleet.registered().len(), fleet.revision()), (11, 10.into()));
}

/// Registrations lapse when the store fails: the gateways still count and get gossip messages.
#[test]
fn a_gateway_with_a_lapsed_registration_counts_for_a_while() {
    let mut fleet = fleet();
    fleet.replace(NOW, BTreeMap::new(), 10.into());
    fleet.expire(NOW.after(LAPSE_GRACE / 2));
    assert_eq!(fleet.all().len(), 12);
    let (name, gateway) = gateway(4, "a", 500);
    fleet.apply(NOW.after(LAPSE_GRACE / 2), &name, Some(gateway), 11.into());
    fleet.expire(NOW.after(LAPSE_GRACE));
    assert_eq!(fleet.all().keys().collect::<Vec<_>>(), [&name]);
    assert_eq!(fleet.registered().len(), 1);
}

/// A gateway stops following the store only after a delay.
#[test]
fn a_gateway_follows_the_store_unless_two_higher_ranked_ones_do() {
    let mut role = LeaderState::new(NOW, 0);
    role.update(NOW.after(STEP_DOWN_DELAY), above(2, 2));
    assert!(role.follows());
    let later = NOW.after(STEP_DOWN_DELAY + Duration::from_millis(1));
    role.update(later, above(2, 2));
    assert!(!role.follows());
    role.update(later, above(2, 1));
    role.update(later.after(TAKEOVER_STEP), above(2, 1));
    assert!(role.follows());
    role.update(later.after(STEP_DOWN_DELAY), above(2, 2));
    assert!(role.follows(), "it keeps following for a while");
}

/// When a leader is missing, the gateways of a zone start to follow the store one after the other,
/// by rank.
#[test]
fn gateways_of_a_zone_take_over_one_after_the_other() {
    let missed = NOW.after(STEP_DOWN_DELAY * 2);
    let follows_after = |ahead: usize, after: Duration| {
        let mut role = LeaderState::new(NOW, 0);
        role.update(missed, above(ahead, 2));
        role.update(missed, above(ahead, 1));
        role.update(missed.after(after), above(ahead, 1));
        role.follows()
    };
    let leads = |heard: usize| {
        let mut role = LeaderState::new(NOW, 0);
        role.update(NOW, above(3, heard));
        role.leads()
    };
    assert!(follows_after(1, Duration::ZERO));
    assert!(!follows_after(2, TAKEOVER_STEP / 2) && follows_after(2, TAKEOVER_STEP));
    assert!(!follows_after(5, TAKEOVER_STEP * 3) && follows_after(5, TAKEOVER_STEP * 4));
    assert!(follows_after(50, TAKEOVER_STEP * TAKEOVER_STEPS_MAX));
    assert!(leads(0) && !leads(1));
    let mut role = LeaderState::new(NOW, 0);
    role.update(missed, above(5, 2));
    role.update(missed, above(5, 1));
    role.update(missed.after(TAKEOVER_STEP), above(5, 2));
    role.update(missed.after(TAKEOVER_STEP * 4), above(5, 1));
    assert!(!role.follows(), "another gateway took over meanwhile");
}

/// In every combination of lost and cut-off gateways, two of the gateways that reach the store
/// follow it.
#[test]
fn two_gateways_follow_the_store_in_any_state_of_a_zone() {
    let fleet = fleet();
    let names: Vec<String> = (0..6).map(|n| format!("front-a-{n}")).collect();
    // Each gateway is healthy, cut off from the store, or lost.
    for state in 0..3_usize.pow(6) {
        let of = |i: usize| state / 3_usize.pow(i as u32) % 3;
        let healthy: Vec<&str> =
            (0..6).filter(|i| of(*i) == 0).map(|i| names[i].as_str()).collect();
        let mut reports: BTreeMap<&str, StoreLink> = BTreeMap::new();
        // Each gateway decides by the latest reports of the others, until nothing changes.
        for _ in 0..8 {
            let before = reports.clone();
            for (i, name) in names.iter().enumerate().filter(|(i, _)| of(*i) < 2) {
                let link =
                    match (connected_leaders(&fleet, &before, name) < LEADERS_PER_ZONE, of(i)) {
                        (false, _) => StoreLink::Indirect,
                        (true, 0) => HEARD,
                        (true, _) => StoreLink::Away,
                    };
                reports.insert(name, link);
            }
        }
        let heard = reports.values().filter(|link| **link == HEARD).count();
        assert_eq!(heard, healthy.len().min(LEADERS_PER_ZONE), "{state}: {reports:?}");
    }
}

/// What was seen in a simulated outage of the store: all gateways of a zone followed it, 28 calls
/// each in 12 s at any size. Once eight that rank above say that it is unreachable, each further
/// one is a reason to wait, and a gateway that followed it stops.
#[test]
fn a_zone_calls_an_unreachable_store_as_ten_gateways_do() {
    let report = |count: usize, away: usize| HigherRanked { count, connected: 0, away };
    let mut zone = vec![LeaderState::new(NOW, 9); 333];
    let mut following = Vec::new();
    for tick in 0..200 {
        let now = NOW.after(Duration::from_millis(100) * tick);
        let follows: Vec<bool> = zone.iter().map(LeaderState::follows).collect();
        for (rank, role) in zone.iter_mut().enumerate() {
            let away = follows[..rank].iter().filter(|f| **f).count();
            role.update(now, report(rank, away));
        }
        following.push(zone.iter().filter(|role| role.follows()).count());
    }
    let (most, last) = (following.iter().max(), following.last());
    assert!(most.is_some_and(|n| *n <= 20), "{following:?}");
    assert!(last.is_some_and(|n| (TRIED_MAX..=16).contains(n)), "{following:?}");
    // Some of the first are turned away: the next ones try as before.
    let mut ninth = LeaderState::new(NOW, 8);
    ninth.update(NOW, report(8, TRIED_MAX));
    ninth.update(NOW.after(TAKEOVER_STEP * 7), report(8, TRIED_MAX));
    assert!(ninth.follows());
    let mut tenth = LeaderState::new(NOW, 9);
    tenth.update(NOW, report(9, TRIED_MAX + 1));
    tenth.update(NOW.after(TAKEOVER_STEP * 8), report(9, TRIED_MAX + 1));
    assert!(!tenth.follows());
    tenth.update(NOW.after(TAKEOVER_STEP * 8 + TRIED_STEP), report(9, TRIED_MAX + 1));
    assert!(tenth.follows());
}

/// What was seen: changes were gathered for 0.15 s where the shortest bound was 2 s and where it was
/// 5 s, and followers made three calls a second while backend servers came and went.
#[test]
fn changes_are_gathered_by_the_shortest_bound() {
    let first = LeaderState::new(NOW, 0);
    let mut standby = first;
    standby.update(NOW, above(1, 1));
    for seconds in [2, 5] {
        let bounds = bounds(Duration::from_secs(seconds));
        let gathered = (first.batch_delay(&bounds), standby.batch_delay(&bounds));
        assert!(gathered.0 < gathered.1, "{gathered:?}");
        // From the standby a change takes at most as long and a second more.
        assert!(gathered.1 + SECOND < bounds.shortest(), "{gathered:?}");
        assert!(gathered.0 * 10 >= bounds.shortest(), "{gathered:?}");
    }
}

/// What was seen: idle gateways with 77 peers reported every 1.4 s, zone leaders too, and others
/// took them for gone after one second. Three reports fit in that time at any size.
#[test]
fn zone_leaders_report_often_enough_at_any_size() {
    for peers in [1, 11, 32, 77, 333, 1_000, 2_000] {
        let Pauses { shortest, idle } = pauses(peers, true);
        assert!((shortest + idle) * 3 < LEADER_TIMEOUT, "{peers} peers: {shortest:?} {idle:?}");
    }
    let others = |peers| pauses(peers, false);
    assert!(others(333).shortest > others(77).shortest, "the others report more rarely");
}

#[test]
fn a_silent_zone_leader_does_not_count() {
    let mut load_reports = LoadReports::default();
    load_reports.on_report(
        NOW,
        LoadReport { name: "a".into(), seq: 1, link: HEARD, ..LoadReport::default() },
    );
    assert_eq!(load_reports.link(NOW, "a"), Some(HEARD));
    assert_eq!(load_reports.link(NOW.after(LEADER_TIMEOUT), "a"), None);
    assert_eq!(load_reports.best_link(NOW.after(LEADER_TIMEOUT)), StoreLink::Indirect);
}

#[test]
fn the_best_link_of_all_peers_counts() {
    let mut load_reports = LoadReports::default();
    let links =
        [StoreLink::Indirect, StoreLink::Away, StoreLink::Heard { settles: 900, age: 0 }, HEARD];
    for (n, link) in links.into_iter().enumerate() {
        load_reports.on_report(
            NOW,
            LoadReport { name: format!("p{n}"), seq: 1, link, ..LoadReport::default() },
        );
        assert_eq!(load_reports.best_link(NOW), link);
    }
}

/// A gateway that does not follow the store trusts its registrations when its leaders do.
#[test]
fn a_gateway_adopts_the_store_state_of_its_zone_leader() {
    let mut fresh = StoreState::default();
    assert!(fresh.adopt(NOW, StoreLink::Away));
    assert!(!fresh.is_trusted(NOW));
    assert!(fresh.adopt(NOW, StoreLink::Heard { settles: 700, age: 0 }));
    assert!(!fresh.is_away() && !fresh.is_trusted(NOW));
    let settled = NOW.after(Duration::from_millis(700));
    assert!(fresh.is_trusted(settled));
    assert!(!fresh.adopt(settled, StoreLink::Indirect), "no report, no change");
    fresh.known(NOW);
    assert_eq!(fresh.link(NOW, SILENCE), StoreLink::Heard { settles: 700, age: 0 });
}

/// A gateway that waits for a watch on a silent store must not keep its zone from replacing it
/// until the watch ends.
#[test]
fn a_gateway_without_an_answer_for_long_reports_the_store_as_unreachable() {
    let mut fresh = StoreState::default();
    fresh.on_reached(NOW, NOW);
    fresh.known(NOW);
    let link = |at: Timestamp| fresh.link(at, SILENCE);
    assert_eq!(link(NOW.after(SILENCE)), StoreLink::Heard { settles: 0, age: 1_200 });
    assert_eq!(link(NOW.after(SILENCE).after(Duration::from_millis(1))), StoreLink::Away);
}

/// Guards against a gateway that gets answers with changes, which may be old, counting as cut off from the store,
/// and against their age being hidden from its peers.
#[test]
fn a_gateway_reports_when_it_heard_the_store_and_how_old_that_may_be() {
    let mut state = StoreState::default();
    state.on_reached(NOW, NOW);
    state.known(NOW);
    state.heard(NOW.after(SILENCE));
    let now = NOW.after(SILENCE + Duration::from_millis(100));
    assert_eq!(state.link(now, SILENCE), StoreLink::Heard { settles: 0, age: 1_300 });
    assert_eq!(state.known_at(), NOW);
}

/// An answer that took long to read is valid as of when it was given.
#[test]
fn an_answer_is_valid_as_of_its_head() {
    let mut fresh = StoreState::default();
    fresh.on_reached(NOW.after(SILENCE), NOW);
    fresh.known(NOW);
    assert_eq!(fresh.known_at(), NOW);
    fresh.known(NOW.before(SILENCE));
    assert_eq!(fresh.known_at(), NOW, "it never goes back");
}

/// A list is known to be complete as of the report of a peer that knows nothing newer; peers that
/// know more don't count.
#[test]
fn a_list_from_peers_is_as_old_as_they_report() {
    let mut load_reports = LoadReports::default();
    assert_eq!(load_reports.known_at(NOW, 9.into()), None);
    let link = |age| StoreLink::Heard { settles: 0, age };
    let peers =
        [("a", 9, link(400)), ("b", 8, link(300)), ("c", 10, link(0)), ("d", 9, StoreLink::Away)];
    for (name, roster, link) in peers {
        load_reports.on_report(
            NOW,
            LoadReport {
                name: name.into(),
                seq: 1,
                roster: roster.into(),
                link,
                ..LoadReport::default()
            },
        );
    }
    let ago = |ms| Some(NOW.before(Duration::from_millis(ms)));
    assert_eq!(load_reports.known_at(NOW, 9.into()), ago(300));
    assert_eq!(load_reports.known_at(NOW, 10.into()), ago(0));
    assert_eq!(load_reports.known_at(NOW, 7.into()), None);
    assert_eq!(load_reports.known_at(NOW.after(LEADER_TIMEOUT), 9.into()), None);
}

/// Guards against third and fourth leaders at the first start of a fleet: those that read the list of gateways first
/// took the place of higher-ranked ones that had registered but not joined yet.
#[test]
fn a_new_gateway_waits_for_leaders_that_join_later() {
    let mut third = LeaderState::registered(NOW, 2);
    assert!(!third.follows());
    third.update(NOW, above(2, 0));
    third.update(NOW.after(JOIN_SPREAD), above(2, 0));
    assert!(!third.follows(), "they may just have joined");
    third.update(NOW.after(JOIN_SPREAD).after(TAKEOVER_STEP), above(2, 0));
    assert!(third.follows(), "they are missing");
    let mut second = LeaderState::registered(NOW, 1);
    assert!(second.follows());
    second.update(NOW, above(1, 0));
    assert!(second.follows());
}
