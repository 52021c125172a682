//! Fetches from peers: each kind by itself, from one peer at a time.

use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fetches::{CROSS_ZONE_STEP, FetchKind, Fetches, Versions};

fn at(ms: u64) -> Timestamp {
    Timestamp::default().after(Duration::from_millis(ms))
}

fn peer(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

#[test]
fn lists_are_fetched_while_a_configuration_is_being_fetched() {
    let mut fetches = Fetches::default();
    assert!(fetches.begin(at(0), FetchKind::Config, peer(1)));
    assert!(fetches.begin(at(1), FetchKind::Lists, peer(1)));
    fetches.end(at(5), FetchKind::Lists, true);
    assert!(fetches.begin(at(300), FetchKind::Lists, peer(1)));
}

#[test]
fn a_configuration_comes_from_one_peer_at_a_time() {
    let mut fetches = Fetches::default();
    assert!(fetches.begin(at(0), FetchKind::Config, peer(1)));
    for n in 2..10 {
        assert!(!fetches.begin(at(2_000), FetchKind::Config, peer(n)));
    }
    fetches.end(at(2_500), FetchKind::Config, true);
    assert!(fetches.begin(at(2_501), FetchKind::Config, peer(2)));
}

#[test]
fn a_peer_is_asked_again_after_a_while() {
    let mut fetches = Fetches::default();
    assert!(fetches.begin(at(0), FetchKind::Lists, peer(1)));
    fetches.end(at(5), FetchKind::Lists, true);
    assert!(!fetches.begin(at(100), FetchKind::Lists, peer(1)));
    assert!(fetches.begin(at(100), FetchKind::Lists, peer(2)));
    fetches.end(at(105), FetchKind::Lists, true);
    assert!(fetches.begin(at(151), FetchKind::Lists, peer(1)));
}

/// After a peer had nothing newer another one is asked, but not dozens within a moment.
#[test]
fn a_peer_with_nothing_newer_is_followed_by_a_backoff() {
    let mut fetches = Fetches::default();
    assert!(fetches.begin(at(0), FetchKind::Config, peer(1)));
    fetches.end(at(2), FetchKind::Config, false);
    assert!(!fetches.begin(at(10), FetchKind::Config, peer(2)));
    assert!(fetches.begin(at(52), FetchKind::Config, peer(2)));
}

#[test]
fn a_call_requests_one_kind_only() {
    let own = Versions { config: 3, roster: 40.into(), fleet: 7.into() };
    let theirs = Versions { config: 4, roster: 41.into(), fleet: 7.into() };
    for (part, other) in
        [(FetchKind::Config, FetchKind::Lists), (FetchKind::Lists, FetchKind::Config)]
    {
        assert!(own.is_older(part, theirs));
        assert!(own.asking(part).is_older(part, theirs));
        assert!(!own.asking(part).is_older(other, theirs));
    }
    assert!(!theirs.is_older(FetchKind::Lists, own));
}

/// A gateway that reaches the store waits half a second for its own update, not until a watch ends.
#[test]
fn a_gateway_that_stays_behind_its_peers_fetches_from_them() {
    let mut fetches = Fetches::default();
    let own = Versions { config: 3, roster: 40.into(), fleet: 7.into() };
    let theirs = Versions { roster: 41.into(), ..own };
    assert!(!fetches.is_behind(at(0), own, own));
    assert!(!fetches.is_behind(at(1_000), own, theirs));
    assert!(!fetches.is_behind(at(1_200), own, own), "another peer has nothing newer");
    let own = Versions { config: 4, ..own };
    assert!(!fetches.is_behind(at(1_499), own, theirs));
    assert!(fetches.is_behind(at(1_500), own, theirs));
    assert!(!fetches.is_behind(at(1_510), theirs, theirs), "it is up to date");
    let newer = Versions { roster: 42.into(), ..own };
    assert!(!fetches.is_behind(at(1_600), theirs, newer));
    assert!(fetches.is_behind(at(2_100), theirs, newer));
}

/// What was seen: the gateway that orders engines reported to all 467 others, and all 390 of other
/// zones fetched a configuration of some hundred KB from it: 0.1 GB between zones in a day of 25 s.
#[test]
fn one_gateway_of_a_zone_fetches_from_another_zone() {
    let own = Versions { config: 3, roster: 40.into(), fleet: 7.into() };
    let mut gateways: Vec<Fetches> = vec![Fetches::default(); 78];
    let mut asked = |now| {
        let gateways = gateways.iter_mut().enumerate();
        gateways
            .filter_map(|(rank, f)| {
                f.may_cross_zones(now, FetchKind::Config, own, rank).then_some(rank)
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(asked(at(1_000)), [0]);
    assert_eq!(asked(at(1_000).after(CROSS_ZONE_STEP)), [0, 1], "the first one got no answer");
    assert_eq!(asked(at(2_000)).len(), 78, "none got one");
    // Later versions are waited for anew.
    let newer = Versions { config: 4, ..own };
    assert!(!gateways[5].may_cross_zones(at(2_100), FetchKind::Config, newer, 5));
    assert!(!gateways[5].may_cross_zones(at(2_100), FetchKind::Lists, own, 5));
}
