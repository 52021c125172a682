//! Several gateways per zone over real sockets: which of them follow the store, how the others receive its
//! changes, and how a zone without engines overflows to another zone.

use std::time::Duration;

use bytes::Bytes;
use ebonyloft_router::answer_length::AnswerLengths;
use ebonyloft_router::part_blame::PromptParts;
use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::BackendSpec;
use ebonyloft_standins::fleet::{
    CHECK, ENGINE_SERVICE, Fleet, FleetSpec, PEER_PORT, SUMMARY, config, store, with_fleet,
};
use ebonyloftd::clock::Clock;
use ebonyloftd::gateway::pool::Pool;
use ebonyloftd::gateway::stream::overflow::{Grant, PATH, ReservationRequest};
use hyper::{Method, Request, StatusCode};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which gateways that are not zone leaders have stopped following the store.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Most calls a second of a gateway that follows the store while nothing but gateways change: a
/// watch ends after the staleness bound of 1.1 s at the latest.
const FOLLOWER_CALLS_PER_SECOND: f64 = 2.0;

fn six_gateways() -> FleetSpec {
    FleetSpec { gateways: 6, ..FleetSpec::default() }
}

/// A configuration without the route of checks.
fn config_without_checks(version: u64) -> ebonyloft_router::catalog::Config {
    let mut next = config(version, &FleetSpec::default());
    next.routes.retain(|r| r.name != "check");
    next
}

async fn statuses(fleet: &Fleet, attempt: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for i in 0..fleet.gateways.len() {
        let answer = fleet.caller(i).call(CHECK, &format!("{attempt}-{i}")).await;
        statuses.push(answer.expect("an answer").status);
    }
    statuses
}

/// Six gateways of one zone make hardly more calls to the store than the two that follow it: about 25 instead of
/// 75 for ten changes a third of a second apart.
#[test]
fn two_gateways_of_a_zone_follow_the_store() {
    with_fleet(six_gateways(), async |fleet| {
        compio::time::sleep(SETTLE_TIME).await;
        let before = fleet.store.call_count();
        for i in 0..10_u8 {
            fleet.store.put("ebonyloft/other", &[i], 0);
            compio::time::sleep(SECOND / 3).await;
        }
        let calls = fleet.store.call_count() - before;
        assert!(calls <= 30, "{calls} calls");
    });
}

/// What was seen: each of 468 gateways made some ten calls when it started, and priced calls were
/// most of what the fleet lost. A start may cost two calls, of a new gateway as of one that was
/// registered before; twelve others start beside the two that follow the store.
#[test]
fn gateways_that_start_make_two_calls_each() {
    with_fleet(FleetSpec { gateways: 14, ..FleetSpec::default() }, async |fleet| {
        compio::time::sleep(SETTLE_TIME).await;
        let followers = 2.0 * (SETTLE_TIME.as_secs_f64() + 1.0) * FOLLOWER_CALLS_PER_SECOND;
        let price = fleet.store.price();
        assert!(price <= 14.0 * 2.0 + followers, "{price} calls for the first start of all");
        let before = fleet.store.price();
        for _ in 0..6 {
            fleet.add_gateway();
        }
        for i in 14..20 {
            fleet.wait_ready(i).await;
        }
        compio::time::sleep(2 * SECOND).await;
        let price = fleet.store.price() - before;
        let followers = 2.0 * 3.0 * FOLLOWER_CALLS_PER_SECOND;
        assert!(price <= 6.0 * 2.0 + followers, "{price} calls for six that joined");
    });
}

/// In calm only gateways that follow the store call it: no registration needs to be renewed. The
/// one lease is that of the gateway that orders engines.
#[test]
fn registrations_are_not_renewed() {
    with_fleet(FleetSpec { gateways: 14, ..FleetSpec::default() }, async |fleet| {
        compio::time::sleep(SETTLE_TIME).await;
        assert_eq!(fleet.store.keys("ebonyloft/gateways/").len(), 14);
        let leases = fleet.store.lease_count();
        assert!(leases <= 1, "{leases} leases");
    });
}

/// What was seen: registrations under leases ended in an outage of the store, and all gateways
/// wrote theirs again at its return.
#[test]
fn registrations_outlive_an_outage_and_need_no_call() {
    with_fleet(six_gateways(), async |fleet| {
        compio::time::sleep(SETTLE_TIME).await;
        let before = fleet.store.keys("ebonyloft/gateways/");
        assert_eq!(before.len(), 6);
        fleet.store.set_fault(store::Fault::Busy);
        compio::time::sleep(12 * SECOND).await;
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(SECOND).await;
        assert_eq!(fleet.store.keys("ebonyloft/gateways/"), before);
    });
}

/// The zone leader removes the registration of a gateway that is gone and of no other; one that
/// was removed although it runs writes it again.
#[test]
fn only_silent_gateways_are_removed_and_living_ones_register_again() {
    with_fleet(six_gateways(), async |fleet| {
        let registration = br#"{"addr":"127.0.0.1:9","zone":"a","power":90}"#;
        fleet.store.put("ebonyloft/gateways/gone", registration, 0);
        let names = || fleet.store.keys("ebonyloft/gateways/");
        let gone = || !names().contains(&"ebonyloft/gateways/gone".to_owned());
        assert!(eventually(20 * SECOND, gone).await);
        assert_eq!(names().len(), 6);
        let living = names()[3].clone();
        fleet.store.remove(&living);
        assert!(eventually(8 * SECOND, || names().contains(&living)).await);
        assert_eq!(statuses(fleet, "c1").await, [200; 6]);
    });
}

#[test]
fn a_configuration_change_reaches_gateways_that_do_not_follow_the_store() {
    with_fleet(six_gateways(), async |fleet| {
        compio::time::sleep(SETTLE_TIME).await;
        assert_eq!(statuses(fleet, "c1").await, [200; 6]);
        fleet.configure(&config_without_checks(2));
        compio::time::sleep(SECOND).await;
        assert_eq!(statuses(fleet, "c2").await, [404; 6]);
    });
}

/// All gateways learn of backend servers that left and of one that joined.
#[test]
fn registry_changes_reach_gateways_that_do_not_follow_the_store() {
    with_fleet(six_gateways(), async |fleet| {
        compio::time::sleep(SETTLE_TIME).await;
        let joined = fleet.add_backend(None, &BackendSpec::default()).await;
        for backend in &fleet.backends[3..5] {
            fleet.store.unregister(&backend.server.borrow());
        }
        compio::time::sleep(SECOND).await;
        assert_eq!(statuses(fleet, "c1").await, [200; 6]);
        assert_eq!(joined.observed.borrow().arrivals.len(), 6);
    });
}

/// When both zone leaders stop, two other gateways follow the store within two seconds, and updates reach all.
#[test]
fn other_gateways_follow_the_store_when_the_zone_leaders_are_gone() {
    with_fleet(six_gateways(), async |fleet| {
        compio::time::sleep(SETTLE_TIME).await;
        // Gateways of equal capacity rank by name; the first two are the zone leaders.
        for gateway in 0..2 {
            fleet.stop(gateway);
        }
        assert!(eventually(10 * SECOND, || fleet.has_stopped(0)).await);
        fleet.gateways.drain(..2);
        compio::time::sleep(2 * SECOND).await;
        fleet.configure(&config_without_checks(2));
        compio::time::sleep(SECOND).await;
        assert_eq!(statuses(fleet, "c1").await, [404; 4]);
    });
}

/// During a store outage all gateways keep their state; afterwards all receive what changed.
#[test]
fn a_zone_follows_the_store_again_after_its_return() {
    with_fleet(six_gateways(), async |fleet| {
        compio::time::sleep(SETTLE_TIME).await;
        fleet.store.set_fault(store::Fault::Busy);
        compio::time::sleep(2 * SECOND).await;
        assert_eq!(statuses(fleet, "c1").await, [200; 6]);
        fleet.configure(&config_without_checks(2));
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(3 * SECOND / 2).await;
        assert_eq!(statuses(fleet, "c2").await, [404; 6]);
    });
}

/// Gateways that report to each other need two followers together, not two for each zone: the calls
/// of twelve gateways in six zones are those of two.
#[test]
fn a_fleet_that_decides_together_has_two_followers() {
    with_fleet(FleetSpec { gateways: 0, ..FleetSpec::default() }, async |fleet| {
        for zone in ["a", "b", "c", "d", "e", "f"] {
            fleet.add_gateway_in(zone);
            fleet.add_gateway_in(zone);
        }
        for i in 0..12 {
            fleet.wait_ready(i).await;
        }
        compio::time::sleep(SETTLE_TIME).await;
        let mut followers = 0;
        for _ in 0..100 {
            followers = followers.max(fleet.store.open_watches());
            compio::time::sleep(SECOND / 50).await;
        }
        assert_eq!(followers, 2);
        fleet.configure(&config_without_checks(2));
        compio::time::sleep(SECOND).await;
        assert_eq!(statuses(fleet, "c1").await, [404; 12]);
    });
}

/// Starts a gateway in zone `a`, which has no engines, and one in zone `b` with a prefill and a decode engine.
/// Fifty gateways registered in zone `c` are enough for zones to decide on their own.
async fn two_zones(fleet: &mut Fleet, spec: &BackendSpec) {
    for i in 0..50 {
        let registration = br#"{"addr":"127.0.0.1:9","zone":"c","power":90}"#;
        fleet.store.put(&format!("ebonyloft/gateways/c{i}"), registration, 0);
    }
    use ebonyloft_router::catalog::Stage;
    fleet.add_backend_in("b", Some(Stage::Prefill), spec).await;
    fleet.add_backend_in("b", Some(Stage::Decode), spec).await;
    fleet.add_gateway_in("a");
    fleet.add_gateway_in("b");
    fleet.wait_ready(0).await;
    fleet.wait_ready(1).await;
    // Time for the zones to learn of each other.
    compio::time::sleep(SECOND).await;
}

fn empty_fleet() -> FleetSpec {
    FleetSpec { gateways: 0, prefill_engines: 0, decode_engines: 0, ..FleetSpec::default() }
}

fn in_use(fleet: &Fleet) -> usize {
    fleet.backends.iter().map(|r| r.reservation_count() + r.running() as usize).sum()
}

#[test]
fn a_request_that_a_zone_cannot_serve_overflows_to_another_zone() {
    with_fleet(empty_fleet(), async |fleet| {
        two_zones(fleet, &BackendSpec::default()).await;
        let answer = fleet.caller(0).summary(SUMMARY, "s1").await.expect("an answer");
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(fleet.run_count("s1"), 1);
        assert_eq!(
            fleet.backends[2].observed.borrow().prefill_count,
            1,
            "the prompt was processed in the other zone"
        );
        assert!(eventually(SECOND, || in_use(fleet) == 0).await);
    });
}

/// The other zone has memory for one answer, which is in use: it refuses, and so does the gateway at once.
#[test]
fn a_zone_without_free_memory_grants_no_reservation() {
    let runner = BackendSpec { memory_tokens: 5_000, event_count: 200, ..BackendSpec::default() };
    with_fleet(empty_fleet(), async |fleet| {
        two_zones(fleet, &runner).await;
        let first = fleet.caller(1);
        let request = first.summary_request(SUMMARY, "s1");
        let _stream = first.send_unread(request).await.expect("an answer");
        let answer = fleet.caller(0).summary(SUMMARY, "s2").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.total_time < Duration::from_millis(900), "{:?}", answer.total_time);
        assert_eq!(fleet.run_count("s2"), 0);
    });
}

/// A reservation for another zone is released when its request ends, and can be granted again at once.
#[test]
fn a_remote_reservation_is_released_after_its_request() {
    let runner = BackendSpec { memory_tokens: 5_000, ..BackendSpec::default() };
    with_fleet(empty_fleet(), async |fleet| {
        two_zones(fleet, &runner).await;
        for i in 0..3 {
            // Zones report their free capacity four times a second.
            compio::time::sleep(SECOND / 2).await;
            let answer =
                fleet.caller(0).summary(SUMMARY, &format!("s{i}")).await.expect("an answer");
            assert_eq!((answer.status, answer.complete), (200, true), "{i}");
        }
        assert!(eventually(SECOND, || in_use(fleet) == 0).await);
    });
}

/// A caller that disconnects frees the reservation in the other zone too.
#[test]
fn a_caller_that_disconnects_frees_the_remote_reservation() {
    let runner = BackendSpec { memory_tokens: 5_000, event_count: 400, ..BackendSpec::default() };
    with_fleet(empty_fleet(), async |fleet| {
        two_zones(fleet, &runner).await;
        let first = fleet.caller(0);
        let request = first.summary_request(SUMMARY, "s1");
        let stream = first.send_unread(request).await.expect("an answer");
        drop(stream);
        assert!(eventually(SECOND, || in_use(fleet) == 0).await);
        compio::time::sleep(SECOND / 2).await;
        let again = fleet.caller(0);
        let request = again.summary_request(SUMMARY, "s2");
        let (response, _conn) = again.send_unread(request).await.expect("an answer");
        assert_eq!(response.status(), 200);
    });
}

/// Calls the first gateway as one of another zone does.
async fn call_gateway(
    fleet: &Fleet,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> (StatusCode, Bytes) {
    let mut req = Request::new(Bytes::from(body));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().expect("a valid path");
    let addr = (fleet.gateways[0].ip, PEER_PORT).into();
    Pool::new(Clock::default()).call(addr, req, SECOND).await.expect("an answer")
}

async fn request_grant(fleet: &Fleet) -> Grant {
    let request = ReservationRequest {
        id: "a".to_owned(),
        service: ENGINE_SERVICE.to_owned(),
        prompt: 3_000,
        made: 0,
        growth: AnswerLengths::default().expect(500, None),
        gives: 1.0,
        begun: false,
        first: 900,
        precedence: None,
        software: None,
        parts: PromptParts::default(),
    };
    let mut body = Vec::new();
    ciborium::into_writer(&request, &mut body).expect("plain fields encode");
    let (status, body) = call_gateway(fleet, Method::POST, PATH, body).await;
    assert_eq!(status, StatusCode::OK);
    ciborium::from_reader(&body[..]).expect("a grant")
}

/// Guards against a release that ends the reservation of another request, which the next life of the
/// gateway has made.
#[test]
fn a_grant_of_an_earlier_life_of_a_gateway_releases_nothing() {
    let spec = FleetSpec { gateways: 1, decode_engines: 1, threads: true, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        let earlier = request_grant(fleet).await;
        fleet.kill(0);
        fleet.restart_gateways(&[0]).await;
        let grant = request_grant(fleet).await;
        let release = async |grant: &Grant| {
            call_gateway(fleet, Method::DELETE, &format!("{PATH}/{}", grant.id), Vec::new()).await.0
        };
        assert_eq!(release(&earlier).await, StatusCode::NOT_FOUND);
        assert_eq!(release(&grant).await, StatusCode::OK);
    });
}
