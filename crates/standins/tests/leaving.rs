//! Backend servers that leave while the store or the link delays their announcement.

use std::rc::Rc;
use std::time::Duration;

use ebonyloft_router::registry::Registration;
use ebonyloft_standins::fleet::peer::Peer;
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, SUMMARY, config, large_config, store, with_fleet,
};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which a leaving server must receive no more requests.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// Number of routes that makes the transfer of a configuration take seconds over the slow link.
const ROUTE_COUNT: usize = 400;
/// CPU capacity, in thousandths of a core, of a peer that ranks before the test gateways in following the store.
const STRONG_POWER: u32 = 8_000;
/// The same for a peer that ranks behind the test gateways.
const WEAK_POWER: u32 = 10;

/// Registers the first prefill engine as draining; a second one stays in service.
fn drain_first_engine(fleet: &Fleet) {
    let engine = &fleet.backends[0];
    engine.server.borrow_mut().draining = true;
    fleet.store.register(&engine.server.borrow());
}

/// Sends `count` summaries through each gateway; returns how many prompts the first prefill engine processed.
async fn prefills_at_first_engine(fleet: &Fleet, name: &str, count: usize) -> u64 {
    let before = fleet.backends[0].observed.borrow().prefill_count;
    for n in 0..count {
        for gateway in 0..fleet.gateways.len() {
            let attempt = format!("{name}-{gateway}-{n}");
            let answer = fleet.caller(gateway).summary(SUMMARY, &attempt).await;
            assert!(answer.expect("an answer").complete, "{attempt}");
        }
    }
    fleet.backends[0].observed.borrow().prefill_count - before
}

async fn assert_not_following(fleet: &Fleet) {
    let page = fleet.metrics(0).await;
    assert!(page.lines().any(|line| line == "ebonyloft_gateway_follows 0"), "{page}");
}

/// Guards against an urgent update that waits behind a large transfer on the same link.
///
/// A configuration of some thousand routes took seconds over an entry VM's link of 10 Mbit/s. The next watch,
/// which would have reported the leaving engine, was sent only after that response was complete: prompts still
/// went to the engine 3.1 and 3.2 s after its announcement, while bodies of 1 MB took 3.7 and 3.9 s.
#[test]
fn a_large_configuration_does_not_delay_a_leaving_announcement() {
    let spec = FleetSpec { gateways: 1, prefill_engines: 2, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        assert!(
            prefills_at_first_engine(fleet, "before", 10).await > 0,
            "the engine is used until it leaves"
        );
        // The transfer of the configuration takes about six seconds.
        fleet.store.limit_bandwidth(20 << 10);
        fleet.configure(&large_config(2, ROUTE_COUNT));
        compio::time::sleep(SECOND / 2).await;
        drain_first_engine(fleet);
        compio::time::sleep(LEAVING_BOUND).await;
        assert_eq!(
            prefills_at_first_engine(fleet, "after", 10).await,
            0,
            "prompts were sent to a leaving engine"
        );
    });
}

/// The same when the store has compacted its history and the gateway has to list everything again.
#[test]
fn a_slow_full_listing_does_not_delay_a_leaving_announcement() {
    let spec = FleetSpec { gateways: 1, prefill_engines: 2, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.configure(&large_config(2, ROUTE_COUNT));
        compio::time::sleep(SECOND).await;
        fleet.store.limit_bandwidth(20 << 10);
        drain_first_engine(fleet);
        fleet.store.compact();
        compio::time::sleep(LEAVING_BOUND).await;
        assert_eq!(
            prefills_at_first_engine(fleet, "after", 10).await,
            0,
            "prompts were sent to a leaving engine"
        );
    });
}

/// The same between gateways: a peer sends a new configuration slowly, and answers soon when it is asked for
/// registry changes alone.
#[test]
fn a_configuration_from_a_peer_does_not_delay_a_leaving_announcement() {
    with_peers(async |fleet, peers| {
        let mut engine = fleet.backends[0].server.borrow().clone();
        engine.draining = true;
        for peer in peers {
            peer.set_config(&config(2, &FleetSpec::default()));
            peer.add_change(&engine.id.name, Registration::Server(engine.clone()), 1_000);
        }
        compio::time::sleep(LEAVING_BOUND).await;
        assert_eq!(
            prefills_at_first_engine(fleet, "after", 10).await,
            0,
            "prompts were sent to a leaving engine"
        );
        assert_not_following(fleet).await;
    });
}

/// Guards against a gateway that never removes a server whose registration disappeared without an announcement.
///
/// The peers that follow the store had been cut off for a moment, so a missing registration was not conclusive
/// yet. Once they trusted the store again they reported the server as gone. The gateway, which does not follow
/// the store itself, compared each report with a time taken just before it learned that the store was trusted
/// again, and so never accepted one: it sent prompts there 3.1 and 3.4 s later.
#[test]
fn a_missing_registration_counts_as_soon_as_peers_trust_the_store() {
    with_peers(async |fleet, peers| {
        peers.iter().for_each(|peer| peer.set_settle_ms(500));
        compio::time::sleep(SECOND / 2).await;
        let engine = fleet.backends[0].server.borrow().id.name.clone();
        for peer in peers {
            peer.add_change(&engine, Registration::Removed, 1_000);
        }
        compio::time::sleep(SECOND).await;
        assert!(
            prefills_at_first_engine(fleet, "before", 10).await > 0,
            "the engine may still be alive"
        );
        peers.iter().for_each(|peer| peer.set_settle_ms(0));
        compio::time::sleep(LEAVING_BOUND / 2).await;
        assert_eq!(
            prefills_at_first_engine(fleet, "after", 10).await,
            0,
            "prompts were sent to an engine that is gone"
        );
        assert_not_following(fleet).await;
    });
}

/// Guards against a zone leader that trusts its own stale view against what all its peers report.
///
/// The store stopped answering the leader while a watch was open; the leader took the silence for "no changes"
/// until the watch timed out after 3.8 s, longer than the bound for a leaving engine. It asked no peer, although
/// all others had learned of the leaving within 0.2 s: prompts went to such engines 3.3 and 3.7 s after they had
/// announced that they were leaving.
#[test]
fn a_leader_with_an_unanswered_watch_learns_of_a_leaving_from_peers() {
    assert_leader_learns_from_peer(store::Fault::Deaf);
}

/// Open watches are cut off, and further calls to the store get no answer.
#[test]
fn a_leader_with_a_silent_store_learns_of_a_leaving_from_peers() {
    assert_leader_learns_from_peer(store::Fault::Silent);
}

#[test]
fn a_leader_with_a_busy_store_learns_of_a_leaving_from_peers() {
    assert_leader_learns_from_peer(store::Fault::Busy);
}

#[test]
fn a_leader_with_lost_store_answers_learns_of_a_leaving_from_peers() {
    assert_leader_learns_from_peer(store::Fault::Lost);
}

fn assert_leader_learns_from_peer(fault: store::Fault) {
    let spec = FleetSpec { gateways: 1, prefill_engines: 2, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        let peer = fleet.add_peer(WEAK_POWER).await;
        compio::runtime::spawn(peer.clone().send_gossip(fleet.gateways[0].ip)).detach();
        compio::time::sleep(SECOND).await;
        fleet.store.set_fault(fault);
        let mut engine = fleet.backends[0].server.borrow().clone();
        engine.draining = true;
        peer.add_change(&engine.id.name, Registration::Server(engine.clone()), 1_000);
        compio::time::sleep(LEAVING_BOUND).await;
        assert_eq!(
            prefills_at_first_engine(fleet, "after", 10).await,
            0,
            "prompts were sent to a leaving engine"
        );
    });
}

/// Without a better informed peer the gateway reports in time that the store is away, and goes on serving.
#[test]
fn a_silent_store_is_reported_within_the_leaving_bound() {
    let spec = FleetSpec { gateways: 1, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        compio::time::sleep(SECOND).await;
        fleet.store.set_fault(store::Fault::Deaf);
        compio::time::sleep(LEAVING_BOUND * 3 / 4).await;
        let page = fleet.metrics(0).await;
        let is_store_away = |line: &str| line.starts_with("ebonyloft_gateway_store_away");
        assert!(page.lines().any(is_store_away), "{page}");
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 200);
    });
}

/// Guards against a cut watch that is taken for an outage of the store, after which no removal is trusted.
///
/// Watches were cut every 1.5 s. Requests went to servers until they ended, 3 s after their removal.
#[test]
fn cut_watches_do_not_keep_a_removed_server_in_use() {
    let spec = FleetSpec { gateways: 2, prefill_engines: 2, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        compio::time::sleep(SECOND).await;
        assert!(prefills_at_first_engine(fleet, "before", 10).await > 0, "the engine is used");
        cut_watches_for(&fleet.store, SECOND * 3).await;
        let removed = fleet.backends[0].server.borrow().clone();
        fleet.store.unregister(&removed);
        cut_watches_for(&fleet.store, LEAVING_BOUND).await;
        assert_eq!(
            prefills_at_first_engine(fleet, "after", 10).await,
            0,
            "prompts were sent to an engine that was removed"
        );
    });
}

/// The same for a single cut just before the removal.
#[test]
fn a_watch_cut_just_before_a_removal_does_not_keep_the_server_in_use() {
    let spec = FleetSpec { gateways: 1, prefill_engines: 2, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        compio::time::sleep(SECOND).await;
        fleet.store.cut_watches();
        compio::time::sleep(SECOND / 20).await;
        let removed = fleet.backends[0].server.borrow().clone();
        fleet.store.unregister(&removed);
        compio::time::sleep(LEAVING_BOUND).await;
        assert_eq!(prefills_at_first_engine(fleet, "after", 10).await, 0);
    });
}

/// Cuts the waiting watches every half second.
async fn cut_watches_for(store: &store::Store, time: Duration) {
    for _ in 0..time.as_millis() / 500 {
        store.cut_watches();
        compio::time::sleep(SECOND / 2).await;
    }
}

/// Runs `body` with a gateway that follows two peers instead of the store; they have no updates yet.
fn with_peers(body: impl AsyncFnOnce(&Fleet, &[Rc<Peer>])) {
    let spec = FleetSpec { gateways: 0, prefill_engines: 2, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        let peers = [fleet.add_peer(STRONG_POWER).await, fleet.add_peer(STRONG_POWER).await];
        fleet.add_gateway();
        for peer in &peers {
            compio::runtime::spawn(peer.clone().send_gossip(fleet.gateways[0].ip)).detach();
        }
        fleet.wait_ready(0).await;
        // The gateway learns that both peers follow the store, and stops following it.
        compio::time::sleep(3 * SECOND).await;
        assert_not_following(fleet).await;
        body(fleet, &peers).await;
    });
}
