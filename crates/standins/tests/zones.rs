//! Fleets of several gateways a zone on real sockets: who follows the store, how the others hear of it,
//! and what a zone does that has no engine left.

use std::time::Duration;

use ebonyloft_standins::fleet::runner::RunnerSpec;
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, SUMMARY, config, eventually, store, with_fleet,
};

const SECOND: Duration = Duration::from_secs(1);
/// Until those that need not follow the store have stopped.
const SETTLED: Duration = Duration::from_secs(4);

fn six() -> FleetSpec {
    FleetSpec { gateways: 6, ..FleetSpec::default() }
}

/// A configuration without the route of checks.
fn without_checks(version: u64) -> ebonyloft_router::catalog::Config {
    let mut next = config(version, &FleetSpec::default());
    next.routes.retain(|r| r.name != "check");
    next
}

async fn statuses(fleet: &Fleet, attempt: &str) -> Vec<u16> {
    let mut all = Vec::new();
    for i in 0..fleet.gateways.len() {
        let answer = fleet.caller(i).call(CHECK, &format!("{attempt}-{i}")).await;
        all.push(answer.expect("an answer").status);
    }
    all
}

/// Calls to the store while it changes: six gateways of one zone cost little more than the two that
/// follow it, 25 calls instead of 75 for each ten changes a third of a second apart.
#[test]
fn two_gateways_of_a_zone_follow_the_store() {
    with_fleet(six(), async |fleet| {
        compio::time::sleep(SETTLED).await;
        let before = fleet.store.calls();
        for i in 0..10_u8 {
            fleet.store.put("ebonyloft/other", &[i], 0);
            compio::time::sleep(SECOND / 3).await;
        }
        let calls = fleet.store.calls() - before;
        assert!(calls <= 30, "{calls} calls");
    });
}

#[test]
fn a_change_of_the_configuration_reaches_those_that_do_not_follow_the_store() {
    with_fleet(six(), async |fleet| {
        compio::time::sleep(SETTLED).await;
        assert_eq!(statuses(fleet, "c1").await, [200; 6]);
        fleet.configure(&without_checks(2));
        compio::time::sleep(SECOND).await;
        assert_eq!(statuses(fleet, "c2").await, [404; 6]);
    });
}

/// A backend server that leaves, and one that joins, is known to all.
#[test]
fn changes_of_the_list_reach_those_that_do_not_follow_the_store() {
    with_fleet(six(), async |fleet| {
        compio::time::sleep(SETTLED).await;
        let joined = fleet.add_runner(None, &RunnerSpec::default()).await;
        for runner in &fleet.runners[3..5] {
            fleet.store.unregister(&runner.server.borrow());
        }
        compio::time::sleep(SECOND).await;
        assert_eq!(statuses(fleet, "c1").await, [200; 6]);
        assert_eq!(joined.seen.borrow().arrivals.len(), 6);
    });
}

/// Both delegates stop: two others follow the store within two seconds, and news reaches all.
#[test]
fn others_follow_the_store_when_the_delegates_are_gone() {
    with_fleet(six(), async |fleet| {
        compio::time::sleep(SETTLED).await;
        // Equally strong gateways rank by name; these have the first addresses.
        for gateway in 0..2 {
            fleet.stop(gateway);
        }
        assert!(eventually(10 * SECOND, || fleet.ended(0)).await);
        fleet.gateways.drain(..2);
        compio::time::sleep(2 * SECOND).await;
        fleet.configure(&without_checks(2));
        compio::time::sleep(SECOND).await;
        assert_eq!(statuses(fleet, "c1").await, [404; 4]);
    });
}

/// While the store is away all keep what they know; after its return all hear of what changed.
#[test]
fn a_zone_follows_the_store_again_after_its_return() {
    with_fleet(six(), async |fleet| {
        compio::time::sleep(SETTLED).await;
        fleet.store.set_fault(store::Fault::Busy);
        compio::time::sleep(2 * SECOND).await;
        assert_eq!(statuses(fleet, "c1").await, [200; 6]);
        fleet.configure(&without_checks(2));
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(3 * SECOND / 2).await;
        assert_eq!(statuses(fleet, "c2").await, [404; 6]);
    });
}

/// A gateway in a zone without engines, one in a zone with a reader and a writer, and as many others
/// registered elsewhere as make zones decide for themselves.
async fn two_zones(fleet: &mut Fleet, runner: &RunnerSpec) {
    for i in 0..50 {
        let registration = br#"{"addr":"127.0.0.1:9","zone":"c","power":90}"#;
        fleet.store.put(&format!("ebonyloft/gateways/c{i}"), registration, 0);
    }
    use ebonyloft_router::catalog::Stage;
    fleet.add_runner_in("b", Some(Stage::Prefill), runner).await;
    fleet.add_runner_in("b", Some(Stage::Decode), runner).await;
    fleet.add_gateway_in("a");
    fleet.add_gateway_in("b");
    fleet.wait_ready(0).await;
    fleet.wait_ready(1).await;
    // Until zones have heard of each other.
    compio::time::sleep(SECOND).await;
}

fn nothing() -> FleetSpec {
    FleetSpec { gateways: 0, readers: 0, writers: 0, ..FleetSpec::default() }
}

fn held(fleet: &Fleet) -> usize {
    fleet.runners.iter().map(|r| r.held() + r.running() as usize).sum()
}

#[test]
fn what_a_zone_cannot_serve_is_placed_by_another_one() {
    with_fleet(nothing(), async |fleet| {
        two_zones(fleet, &RunnerSpec::default()).await;
        let answer = fleet.caller(0).summary(SUMMARY, "s1").await.expect("an answer");
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(fleet.runs("s1"), 1);
        assert_eq!(fleet.runners[2].seen.borrow().reads, 1, "its prompt was read there");
        assert!(eventually(SECOND, || held(fleet) == 0).await);
    });
}

/// Memory for one answer only, which is taken: the other zone says so, and the caller hears it at once.
#[test]
fn a_zone_without_room_lends_none() {
    let runner = RunnerSpec { tokens: 5_000, events: 200, ..RunnerSpec::default() };
    with_fleet(nothing(), async |fleet| {
        two_zones(fleet, &runner).await;
        let first = fleet.caller(1);
        let request = first.summary_request(SUMMARY, "s1");
        let _kept = first.begin(request).await.expect("an answer");
        let answer = fleet.caller(0).summary(SUMMARY, "s2").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.took < Duration::from_millis(900), "{:?}", answer.took);
        assert_eq!(fleet.runs("s2"), 0);
    });
}

/// A place that was lent is given back when its request ends, and may be lent again at once.
#[test]
fn a_place_that_was_lent_is_given_back() {
    let runner = RunnerSpec { tokens: 5_000, ..RunnerSpec::default() };
    with_fleet(nothing(), async |fleet| {
        two_zones(fleet, &runner).await;
        for i in 0..3 {
            // What is left is told four times a second.
            compio::time::sleep(SECOND / 2).await;
            let answer =
                fleet.caller(0).summary(SUMMARY, &format!("s{i}")).await.expect("an answer");
            assert_eq!((answer.status, answer.whole), (200, true), "{i}");
        }
        assert!(eventually(SECOND, || held(fleet) == 0).await);
    });
}

/// A caller that leaves frees the place in the other zone too.
#[test]
fn a_caller_that_leaves_frees_the_place_elsewhere() {
    let runner = RunnerSpec { tokens: 5_000, events: 400, ..RunnerSpec::default() };
    with_fleet(nothing(), async |fleet| {
        two_zones(fleet, &runner).await;
        let first = fleet.caller(0);
        let request = first.summary_request(SUMMARY, "s1");
        let kept = first.begin(request).await.expect("an answer");
        drop(kept);
        assert!(eventually(SECOND, || held(fleet) == 0).await);
        compio::time::sleep(SECOND / 2).await;
        let again = fleet.caller(0);
        let request = again.summary_request(SUMMARY, "s2");
        let (response, _conn) = again.begin(request).await.expect("an answer");
        assert_eq!(response.status(), 200);
    });
}
