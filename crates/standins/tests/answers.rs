//! Response headers of backend servers: the announcement that a server is leaving, and back-off times.

use std::time::{Duration, Instant};

use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::Fault;
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, SUMMARY, store, with_fleet,
};

/// Time after which a server that announced that it is leaving must receive no more requests.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// Sends `count` requests of each kind through each gateway.
async fn send_all_kinds(fleet: &Fleet, name: &str, count: usize) {
    for n in 0..count {
        for gateway in 0..fleet.gateways.len() {
            let caller = fleet.caller(gateway);
            for path in [CHECK, LOOKUP] {
                let _ = caller.call(path, &format!("{name}-{path}-{gateway}-{n}")).await;
            }
            for path in [SUMMARY, ONCE_SUMMARY] {
                let _ = caller.summary(path, &format!("{name}-{path}-{gateway}-{n}")).await;
            }
        }
    }
}

/// Requests, prompts and reservations that a server received after the given time.
fn taken_after(fleet: &Fleet, backend: usize, after: Instant) -> usize {
    let seen = fleet.backends[backend].observed.borrow();
    seen.call_times.iter().filter(|at| **at > after).count()
}

/// Guards against a gateway that ignores the announcement in a response and goes by its server registry alone.
///
/// The store was silent and acknowledged the server's own announcement only after 12 s. The gateway's registry,
/// 4.6 s old, still listed the server as ready, and the gateway sent it calls 2.1 s after passing on a response
/// that announced the leaving. Both calls ran; later ones would have been cut off.
#[test]
fn a_server_that_announces_leaving_in_a_response_gets_no_more_requests() {
    let spec = FleetSpec {
        gateways: 1,
        prefill_engines: 2,
        decode_engines: 3,
        plain_servers: 3,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        fleet.store.set_fault(store::Fault::Silent);
        // A prefill engine, a decode engine and a plain server.
        let leaving = [0, 2, 5];
        leaving.iter().for_each(|n| fleet.backends[*n].announce_leaving());
        send_all_kinds(fleet, "before", 6).await;
        let announced_at = Instant::now();
        compio::time::sleep(LEAVING_BOUND).await;
        send_all_kinds(fleet, "after", 6).await;
        for n in leaving {
            assert_eq!(taken_after(fleet, n, announced_at), 0, "server {n} received requests");
        }
    });
}

/// The announcement counts in any response, also in one to a reservation.
#[test]
fn an_engine_that_announces_leaving_in_a_reservation_response_gets_no_more_requests() {
    let spec = FleetSpec {
        gateways: 1,
        prefill_engines: 1,
        decode_engines: 2,
        plain_servers: 1,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        fleet.store.set_fault(store::Fault::Silent);
        let engine = &fleet.backends[1];
        engine.set_fault(Fault::Full);
        engine.announce_leaving();
        send_all_kinds(fleet, "before", 6).await;
        let announced_at = Instant::now();
        engine.set_fault(Fault::None);
        send_all_kinds(fleet, "after", 6).await;
        assert!(
            engine.observed.borrow().refused_holds > 0,
            "the engine was never asked for a reservation"
        );
        assert_eq!(taken_after(fleet, 1, announced_at), 0, "the engine was asked again");
    });
}

/// A gateway that learns of the leaving from a response passes it on to the other gateways.
#[test]
fn a_leaving_announced_to_one_gateway_reaches_all_gateways() {
    let spec = FleetSpec {
        gateways: 3,
        prefill_engines: 1,
        decode_engines: 1,
        plain_servers: 2,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        compio::time::sleep(LEAVING_BOUND / 2).await;
        fleet.store.set_fault(store::Fault::Silent);
        // The first gateway sends its next call to the server that it already knows.
        let _ = fleet.caller(0).call(CHECK, "first").await;
        let known =
            if fleet.run_count("first") == fleet.backends[2].run_count("first") { 2 } else { 3 };
        fleet.backends[known].announce_leaving();
        let _ = fleet.caller(0).call(CHECK, "second").await;
        assert_eq!(
            fleet.backends[known].run_count("second"),
            1,
            "the first gateway did not receive the announcement"
        );
        compio::time::sleep(LEAVING_BOUND / 4).await;
        let announced_at = Instant::now();
        send_all_kinds(fleet, "after", 6).await;
        assert_eq!(
            taken_after(fleet, known, announced_at),
            0,
            "another gateway sent requests to the leaving server"
        );
    });
}

/// Guards against a gateway that reads from the answer to its own check only that the server is alive.
#[test]
fn a_server_that_announces_leaving_in_the_answer_to_a_check_gets_no_more_requests() {
    let spec = FleetSpec { gateways: 1, plain_servers: 1, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        let index = fleet.backends.len() - 1;
        let plain = fleet.backends[index].clone();
        plain.set_fault(Fault::Hangs);
        plain.announce_leaving();
        // Callers that leave early make the gateway check whether the server is alive.
        for n in 0..2 {
            let caller = fleet.caller(0);
            let call = async { caller.call(LOOKUP, &format!("left{n}")).await.map(drop) };
            let _ = compio::time::timeout(Duration::from_millis(90), call).await;
        }
        assert!(
            eventually(LEAVING_BOUND * 2, || {
                !plain.observed.borrow().leaving_answers.is_empty()
            })
            .await
        );
        plain.set_fault(Fault::None);
        compio::time::sleep(LEAVING_BOUND / 8).await;
        let checked_at = Instant::now();
        send_all_kinds(fleet, "after", 10).await;
        assert_eq!(taken_after(fleet, index, checked_at), 0);
    });
}

/// The announcement ends with the incarnation that made it: the next one at the same address is used.
#[test]
fn the_next_incarnation_of_a_leaving_server_is_used() {
    let spec = FleetSpec {
        gateways: 2,
        prefill_engines: 1,
        decode_engines: 1,
        plain_servers: 1,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        let plain = fleet.backends[2].clone();
        plain.announce_leaving();
        send_all_kinds(fleet, "before", 1).await;
        let answer = fleet.caller(0).call(CHECK, "refused").await.expect("an answer");
        assert_eq!(answer.status, 503);
        plain.cancel_leaving();
        plain.crash("restart");
        compio::time::sleep(LEAVING_BOUND).await;
        for gateway in 0..2 {
            let answer = fleet.caller(gateway).call(CHECK, &format!("again{gateway}")).await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
    });
}

/// A server that rejects a request may give a back-off time. From half a second later until that time has
/// passed, one gateway may send it two requests at most.
///
/// Guards against a gateway that reads from the response headers only that nothing ran, and then selects the
/// server for the next request as if it had given no back-off.
#[test]
fn a_server_in_back_off_gets_no_requests() {
    let spec = FleetSpec {
        gateways: 1,
        prefill_engines: 1,
        decode_engines: 1,
        plain_servers: 1,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        fleet.backends.iter().for_each(|r| r.set_back_off(Some("5")));
        send_all_kinds(fleet, "before", 1).await;
        compio::time::sleep(LEAVING_BOUND / 4).await;
        let start = Instant::now();
        for n in 0..20 {
            for path in [CHECK, LOOKUP, SUMMARY, ONCE_SUMMARY] {
                let caller = fleet.caller(0);
                compio::runtime::spawn(async move {
                    let attempt = format!("after-{n}{path}");
                    // The responses do not matter: only arrivals at the servers are counted.
                    let _ = match path {
                        CHECK | LOOKUP => caller.call(path, &attempt).await,
                        _ => caller.summary(path, &attempt).await,
                    };
                })
                .detach();
            }
            compio::time::sleep(LEAVING_BOUND / 40).await;
        }
        for backend in 0..fleet.backends.len() {
            let sent = taken_after(fleet, backend, start);
            println!("server {backend}: {sent}");
            assert!(sent <= 2, "server {backend} received {sent} requests");
        }
    });
}

/// When the back-off of every suitable server is longer than the latency goal, the request is refused at once
/// with the earliest time at which a server accepts requests again.
#[test]
fn a_request_that_no_server_accepts_in_time_gets_the_earliest_retry_after() {
    let spec = FleetSpec {
        gateways: 1,
        prefill_engines: 1,
        decode_engines: 1,
        plain_servers: 2,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        fleet.backends[1].set_back_off(Some("7"));
        fleet.backends[2].set_back_off(Some("9"));
        fleet.backends[3].set_back_off(Some("5"));
        send_all_kinds(fleet, "before", 1).await;
        for (path, longest) in [(CHECK, 5.0), (LOOKUP, 5.0), (SUMMARY, 7.0)] {
            let caller = fleet.caller(0);
            let answer = match path {
                SUMMARY => caller.summary(path, path).await,
                _ => caller.call(path, path).await,
            };
            let answer = answer.expect("an answer");
            assert_eq!((answer.status, fleet.run_count(path)), (503, 0), "{path}");
            assert!(
                answer.total_time < Duration::from_millis(50),
                "{path}: {:?}",
                answer.total_time
            );
            let wait: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
            assert!(wait <= longest && wait > longest - 4.0, "{path}: {wait} of {longest}");
        }
    });
}

/// The gateway waits for a back-off that ends within the latency goal; it applies to its own server only.
#[test]
fn a_short_back_off_is_waited_for_and_other_servers_are_used() {
    let spec = FleetSpec {
        gateways: 1,
        prefill_engines: 1,
        decode_engines: 2,
        plain_servers: 1,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        fleet.backends[3].set_back_off(Some("0.1"));
        let _ = fleet.caller(0).call(CHECK, "before").await;
        fleet.backends[3].set_back_off(None);
        let answer = fleet.caller(0).call(CHECK, "after").await.expect("an answer");
        assert_eq!(answer.status, 200);
        fleet.backends[1].set_back_off(Some("60"));
        for n in 0..8 {
            let answer = fleet.caller(0).summary(SUMMARY, &format!("s{n}")).await;
            assert_eq!(answer.expect("an answer").status, 200, "{n}");
        }
    });
}

/// An invalid back-off time causes neither a long back-off nor a failure.
#[test]
fn an_invalid_back_off_time_is_ignored() {
    let spec = FleetSpec {
        gateways: 1,
        prefill_engines: 1,
        decode_engines: 1,
        plain_servers: 1,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        for (n, text) in ["-3", "NaN", "soon", "1e400", ""].into_iter().enumerate() {
            fleet.backends[2].set_back_off(Some(text));
            let answer = fleet.caller(0).call(CHECK, &format!("n{n}")).await.expect("an answer");
            assert_eq!(answer.status, 503, "{text}");
            fleet.backends[2].set_back_off(None);
            compio::time::sleep(Duration::from_millis(1_100)).await;
            let answer = fleet.caller(0).call(CHECK, &format!("a{n}")).await.expect("an answer");
            assert_eq!(answer.status, 200, "{text}");
        }
    });
}
