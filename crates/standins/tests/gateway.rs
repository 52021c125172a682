//! The gateway over real sockets: responses to callers and arrivals at backend servers, also under faults.

use std::time::Duration;

use bytes::Bytes;
use compio::BufResult;
use compio::net::UdpSocket;
use compio::runtime::JoinHandle;
use ebonyloft_router::budget::predecessors::WindowUse;
use ebonyloft_router::catalog::{Split, Stage};
use ebonyloft_router::load_report::{GossipMessage, LoadReport};
use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::{BackendSpec, Fault};
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::store;
use ebonyloft_standins::fleet::{
    CHECK, ENGINE_SERVICE, Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, PLAIN_SERVICE, SUMMARY, config,
    with_fleet,
};
use ebonyloftd::gateway::pool::ExchangeError;
use hyper::Request;
use hyper::header::HeaderValue;

const SECOND: Duration = Duration::from_secs(1);

fn arrival_count(fleet: &Fleet) -> usize {
    fleet.backends.iter().map(|r| r.observed.borrow().arrivals.len()).sum()
}

/// Sends a summary with attempt id `s1` in a task of its own.
fn summary_task(fleet: &Fleet, path: &str) -> JoinHandle<Result<Answer, ExchangeError>> {
    let caller = fleet.caller(0);
    let request = caller.summary_request(path, "s1");
    compio::runtime::spawn(async move { caller.send(request).await })
}

fn in_use(fleet: &Fleet) -> usize {
    fleet.backends.iter().map(|r| r.reservation_count() + r.running() as usize).sum()
}

/// Guards against a request that runs although its answer can't be told from another's.
#[test]
fn a_request_whose_id_is_not_one_text_value_is_refused() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let caller = fleet.caller(0);
        let ids: [&[&[u8]]; 2] = [&[b"a", b"b"], &[b"\xe9"]];
        for values in ids {
            let mut req = caller.summary_request(SUMMARY, "s1");
            req.headers_mut().remove("attempt-id");
            for value in values {
                let value = HeaderValue::from_bytes(value).expect("a valid value");
                req.headers_mut().append("attempt-id", value);
            }
            assert_eq!(caller.send(req).await.expect("an answer").status, 400, "{values:?}");
        }
        assert_eq!(arrival_count(fleet), 0);
    });
}

#[test]
fn all_four_request_kinds_run_once_and_are_answered_completely() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let caller = fleet.caller(0);
        for (path, attempt) in [(CHECK, "c1"), (LOOKUP, "l1")] {
            let answer = caller.call(path, attempt).await.expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(answer.header("attempt-id"), Some(attempt));
            assert!(answer.header("server-stamp").is_some());
            assert!(String::from_utf8_lossy(&answer.body).contains(attempt));
            assert_eq!(fleet.run_count(attempt), 1);
        }
        for (path, attempt) in [(SUMMARY, "s1"), (ONCE_SUMMARY, "s2")] {
            let answer = caller.summary(path, attempt).await.expect("an answer");
            assert_eq!(answer.status, 200);
            assert!(answer.complete);
            assert_eq!(answer.events(), (1..=20).collect::<Vec<_>>());
            assert_eq!(fleet.run_count(attempt), 1);
        }
        // The prefill engine processed both prompts, and nothing stays reserved.
        assert_eq!(fleet.backends[0].observed.borrow().prefill_count, 2);
        assert!(eventually(SECOND, || in_use(fleet) == 0).await);
    });
}

#[test]
fn a_failed_lookup_is_retried_at_another_server() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.backends[3].set_fault(Fault::Errors);
        for i in 0..10 {
            let answer = fleet.caller(0).call(LOOKUP, &format!("l{i}")).await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn a_lookup_is_answered_in_time_despite_a_hanging_server() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.backends[3].set_fault(Fault::Hangs);
        for i in 0..10 {
            let answer = fleet.caller(0).call(LOOKUP, &format!("l{i}")).await.expect("an answer");
            assert_eq!(answer.status, 200);
            assert!(answer.total_time < Duration::from_millis(600), "{:?}", answer.total_time);
        }
    });
}

/// A check whose answer is lost may have run: it is not retried, and not reported as not run.
#[test]
fn a_lost_check_never_runs_twice() {
    with_fleet(FleetSpec::default(), async |fleet| {
        for backend in &fleet.backends[3..] {
            backend.set_fault(Fault::Loses);
        }
        for i in 0..6 {
            let attempt = format!("c{i}");
            let answer = fleet.caller(0).call(CHECK, &attempt).await.expect("an answer");
            assert_eq!(answer.status, 502);
            assert_eq!(answer.header("retry-after"), None);
            assert!(answer.header("server-stamp").is_none());
            assert_eq!(fleet.run_count(&attempt), 1);
        }
    });
}

#[test]
fn an_error_response_to_a_check_is_passed_on_unchanged() {
    with_fleet(FleetSpec { plain_servers: 1, ..FleetSpec::default() }, async |fleet| {
        fleet.backends[3].set_fault(Fault::Errors);
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_slice()), (500, &b"failed"[..]));
        assert!(answer.header("server-stamp").is_some());
    });
}

/// A request that every server rejected did not run: the caller gets that at once, with a retry-after.
#[test]
fn a_request_that_all_servers_reject_is_refused_at_once() {
    with_fleet(FleetSpec::default(), async |fleet| {
        for backend in &fleet.backends {
            backend.set_fault(Fault::Sheds);
        }
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 503);
        let retry_after: f64 =
            answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(retry_after > 0.0 && retry_after < 1.0, "{retry_after}");
        assert!(answer.total_time < Duration::from_millis(100), "{:?}", answer.total_time);
        assert_eq!(fleet.run_count("c1"), 0);
    });
}

/// An engine that leaves during a store outage refuses reservations but looks idle to the gateways. A back-off
/// limits them to some fifteen attempts while a caller waits, instead of some hundred.
#[test]
fn an_engine_that_refuses_a_reservation_is_asked_again_after_a_back_off() {
    let runner = BackendSpec { memory_tokens: 5_000, event_count: 400, ..BackendSpec::default() };
    with_fleet(FleetSpec { gateways: 1, runner, ..FleetSpec::default() }, async |fleet| {
        fleet.backends[1].set_fault(Fault::Full);
        let first = fleet.caller(0);
        let request = first.summary_request(SUMMARY, "s1");
        let _stream = first.send_unread(request).await.expect("an answer");
        let before = fleet.backends[1].observed.borrow().refused_holds;
        let answer = fleet.caller(0).summary(SUMMARY, "s2").await.expect("an answer");
        assert_eq!(answer.status, 503);
        let attempts = fleet.backends[1].observed.borrow().refused_holds - before;
        assert!((1..=20).contains(&attempts), "{attempts} times in {:?}", answer.total_time);
    });
}

/// With memory for one answer only, the second summary can't start in time and is refused early.
#[test]
fn a_summary_without_a_reservation_is_refused_before_its_latency_goal() {
    let runner = BackendSpec { memory_tokens: 5_000, event_count: 200, ..BackendSpec::default() };
    with_fleet(FleetSpec { decode_engines: 1, runner, ..FleetSpec::default() }, async |fleet| {
        let first = fleet.caller(0);
        let request = first.summary_request(SUMMARY, "s1");
        let _stream = first.send_unread(request).await.expect("an answer");
        let answer = fleet.caller(0).summary(SUMMARY, "s2").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.total_time < Duration::from_millis(900), "{:?}", answer.total_time);
        let retry_after: f64 =
            answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(retry_after > 2.0, "{retry_after}");
        assert_eq!(fleet.run_count("s2"), 0);
        assert_eq!(
            fleet.backends[0].observed.borrow().prefill_count,
            1,
            "no prompt is processed without a reservation"
        );
    });
}

/// An engine breaks off in the middle of an event: another one resumes after the last complete event.
#[test]
fn a_broken_summary_is_resumed_within_the_same_response() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.backends[1].set_fault(Fault::Breaks);
        let broken_runs =
            |fleet: &Fleet| fleet.backends[1].observed.borrow().runs.values().sum::<usize>();
        // Either of two equal engines may be selected: at least four summaries, and more until one broke off.
        for i in 0..40 {
            let attempt = format!("s{i}");
            let answer = fleet.caller(0).summary(SUMMARY, &attempt).await.expect("an answer");
            assert!(answer.complete);
            assert_eq!(answer.events(), (1..=20).collect::<Vec<_>>(), "{attempt}");
            if i >= 3 && broken_runs(fleet) > 0 {
                break;
            }
        }
        assert!(broken_runs(fleet) > 0);
    });
}

/// A summary that runs once can't be resumed: its response must end as incomplete.
#[test]
fn a_broken_summary_that_runs_once_ends_incomplete() {
    with_fleet(FleetSpec { decode_engines: 1, ..FleetSpec::default() }, async |fleet| {
        fleet.backends[1].set_fault(Fault::Breaks);
        let answer = fleet.caller(0).summary(ONCE_SUMMARY, "s1").await.expect("an answer");
        assert!(!answer.complete);
        assert!(answer.events().len() < 20);
        assert!(answer.body.ends_with(b"\n\n"), "only complete events are passed on");
        assert_eq!(fleet.run_count("s1"), 1);
    });
}

/// An engine about to change its stage grants reservations but rejects the requests that use them: another
/// engine fetches the processed prompt, and the first one is not selected again.
#[test]
fn an_engine_that_changes_its_stage_is_not_selected() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.backends[1].set_fault(Fault::Changes);
        for i in 0..8 {
            let answer =
                fleet.caller(0).summary(SUMMARY, &format!("s{i}")).await.expect("an answer");
            assert!(answer.complete);
        }
        let rejected = fleet.backends[1].observed.borrow().arrivals.len();
        assert!(rejected <= 3, "{rejected} of 8 summaries were sent to it");
        let reads = fleet.backends[0].observed.borrow().prefill_count;
        assert!(reads <= 9, "{reads} prefills for 8 summaries");
    });
}

/// A summary that times out at an engine that does not answer may have run.
#[test]
fn a_summary_that_times_out_at_an_engine_is_not_reported_as_not_run() {
    with_fleet(FleetSpec::default(), async |fleet| {
        for backend in &fleet.backends[1..3] {
            backend.set_fault(Fault::Stuck);
        }
        let caller = fleet.caller(0).with_timeout(SECOND);
        let answer = caller.summary(ONCE_SUMMARY, "s1").await.expect("an answer");
        assert_eq!(answer.status, 504);
        assert_eq!(answer.header("retry-after"), None);
        assert_eq!(fleet.run_count("s1"), 1);
    });
}

#[test]
fn a_caller_that_disconnects_ends_its_run_and_frees_the_memory() {
    let runner = BackendSpec { event_count: 1_000, ..BackendSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let caller = fleet.caller(0);
        let stream = caller.send_unread(caller.summary_request(ONCE_SUMMARY, "s1")).await;
        assert!(eventually(SECOND, || fleet.run_count("s1") == 1).await);
        drop(stream);
        assert!(eventually(SECOND / 2, || in_use(fleet) == 0).await, "{} held", in_use(fleet));
    });
}

#[test]
fn a_caller_that_disconnects_during_the_prefill_holds_nothing() {
    let runner = BackendSpec { prefill_time: Duration::from_millis(400), ..BackendSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let caller = fleet.caller(0);
        let request = caller.summary_request(SUMMARY, "s1");
        let timed_out = compio::time::timeout(SECOND / 10, caller.send_unread(request)).await;
        assert!(timed_out.is_err());
        drop(caller);
        assert!(eventually(SECOND / 2, || in_use(fleet) == 0).await, "{} held", in_use(fleet));
        assert_eq!(fleet.run_count("s1"), 0);
    });
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let leaving = fleet.backends[3].clone();
        leaving.server.borrow_mut().draining = true;
        fleet.store.register(&leaving.server.borrow());
        compio::time::sleep(SECOND / 5).await;
        for i in 0..10 {
            let answer = fleet.caller(0).call(CHECK, &format!("c{i}")).await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
        assert!(leaving.observed.borrow().arrivals.is_empty());
    });
}

/// The engine leaves between the reservation and the end of the prefill.
#[test]
fn a_reservation_at_a_leaving_engine_is_abandoned() {
    let runner = BackendSpec { prefill_time: Duration::from_millis(300), ..BackendSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let task = summary_task(fleet, ONCE_SUMMARY);
        let reserved_at = || fleet.backends[1..3].iter().position(|r| r.reservation_count() > 0);
        assert!(eventually(SECOND, || reserved_at().is_some()).await);
        let leaving = fleet.backends[1 + reserved_at().expect("a reservation")].clone();
        fleet.store.unregister(&leaving.server.borrow());
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert!(answer.complete);
        assert_eq!(leaving.run_count("s1"), 0);
        assert_eq!(
            fleet.backends[0].observed.borrow().prefill_count,
            1,
            "the prompt is processed once"
        );
    });
}

/// A different server runs at the address: it rejects the request, which then runs elsewhere.
#[test]
fn a_different_server_at_a_known_address_runs_nothing() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let id = ebonyloft_router::catalog::ServerId::new("i-new", 0);
        fleet.backends[3].server.borrow_mut().id = id;
        for i in 0..6 {
            let attempt = format!("c{i}");
            let answer = fleet.caller(0).call(CHECK, &attempt).await.expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(fleet.backends[3].run_count(&attempt), 0);
        }
    });
}

#[test]
fn a_configuration_takes_effect_soon_and_is_never_reverted() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let spec = FleetSpec::default();
        let mut next = config(9, &spec);
        next.routes.retain(|r| r.name != "check");
        fleet.configure(&next);
        compio::time::sleep(SECOND / 2).await;
        for gateway in 0..2 {
            let answer = fleet.caller(gateway).call(CHECK, "c1").await.expect("an answer");
            assert_eq!(answer.status, 404);
        }
        // An older version that arrives late changes nothing.
        fleet.configure(&config(5, &spec));
        compio::time::sleep(SECOND / 2).await;
        let answer = fleet.caller(0).call(CHECK, "c2").await.expect("an answer");
        assert_eq!(answer.status, 404);
    });
}

#[test]
fn a_route_moves_to_another_service() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let spec = FleetSpec::default();
        let mut next = config(2, &spec);
        for route in next.routes.iter_mut().filter(|r| r.name == "check") {
            route.split = vec![
                Split { service: ENGINE_SERVICE.into(), weight: 0 },
                Split { service: PLAIN_SERVICE.into(), weight: 3 },
            ];
        }
        fleet.configure(&next);
        compio::time::sleep(SECOND / 2).await;
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 200);
    });
}

/// Twenty changes within 0.6 s would cost three gateways 60 calls without the pause between watches.
#[test]
fn changes_in_quick_succession_are_fetched_together() {
    with_fleet(FleetSpec { gateways: 3, ..FleetSpec::default() }, async |fleet| {
        compio::time::sleep(SECOND).await;
        let before = fleet.store.call_count();
        for i in 0..20_u8 {
            fleet.store.put("ebonyloft/other", &[i], 0);
            compio::time::sleep(SECOND / 33).await;
        }
        compio::time::sleep(SECOND / 2).await;
        let calls = fleet.store.call_count() - before;
        assert!(calls <= 20, "{calls} calls");
    });
}

/// During a store outage gateways keep their state; a new gateway, which has none, reports that it is not ready.
#[test]
fn an_outage_of_the_store_stops_no_request() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.store.set_fault(store::Fault::Busy);
        compio::time::sleep(SECOND / 2).await;
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(fleet.caller(0).summary(SUMMARY, "s1").await.expect("an answer").complete);
        fleet.add_gateway();
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(fleet.readiness(2).await, 503);
        let answer = fleet.caller(2).call(CHECK, "c2").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        // A summary has a timeout of 14 s; the gateway waits for the store as long as that allows.
        let answer = fleet.caller(2).summary(SUMMARY, "s2").await.expect("an answer");
        let retry_after: f64 =
            answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(retry_after > 3.0 && retry_after < 14.0 / 3.0, "{retry_after}");
        fleet.store.set_fault(store::Fault::None);
        fleet.wait_ready(2).await;
        assert_eq!(fleet.caller(2).call(CHECK, "c3").await.expect("an answer").status, 200);
    });
}

/// A silent connection to the store is detected, and changes made meanwhile take effect.
#[test]
fn a_silent_store_is_followed_again_after_its_return() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.store.set_fault(store::Fault::Silent);
        compio::time::sleep(3 * SECOND).await;
        let mut next = config(2, &FleetSpec::default());
        next.routes.retain(|r| r.name != "check");
        fleet.configure(&next);
        fleet.store.compact();
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(3 * SECOND).await;
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 404);
    });
}

/// The return of the store is noticed within the timeout of one call, however long a watch may stay open.
#[test]
fn the_return_of_a_silent_store_is_noticed_soon() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.store.set_fault(store::Fault::Silent);
        compio::time::sleep(4 * SECOND).await;
        let mut next = config(2, &FleetSpec::default());
        next.routes.retain(|r| r.name != "check");
        fleet.configure(&next);
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(3 * SECOND / 2).await;
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 404);
    });
}

/// Guards against servers that were removed within an outage too short for registrations to expire, and stay in use.
#[test]
fn servers_that_were_removed_in_a_short_outage_are_not_used_after_it() {
    // Two servers remain: where a machine stops this process while a call connects to one, it has another.
    let spec = FleetSpec { plain_servers: 3, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.store.set_fault(store::Fault::Busy);
        compio::time::sleep(SECOND / 2).await;
        fleet.store.unregister(&fleet.backends[4].server.borrow());
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(SECOND).await;
        for i in 0..12 {
            let answer = fleet.caller(i % 2).call(CHECK, &format!("d{i}")).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        let arrivals = &fleet.backends[4].observed.borrow().arrivals;
        assert!(!arrivals.keys().any(|a| a.starts_with('d')), "the server left and is used");
    });
}

/// Servers register again within two seconds after a store outage; until then expired ones are kept.
#[test]
fn servers_whose_registrations_expire_in_an_outage_are_kept_until_the_store_settles() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.store.set_fault(store::Fault::Busy);
        // Three heartbeat intervals and more: before that no registration expires.
        compio::time::sleep(4 * SECOND).await;
        for backend in &fleet.backends {
            fleet.store.unregister(&backend.server.borrow());
        }
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(SECOND).await;
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 200, "the servers may still register again");
        fleet.store.register(&fleet.backends[3].server.borrow());
        compio::time::sleep(2 * SECOND).await;
        for i in 0..6 {
            fleet.caller(0).call(CHECK, &format!("d{i}")).await.expect("an answer");
        }
        let arrivals = &fleet.backends[4].observed.borrow().arrivals;
        assert!(
            !arrivals.keys().any(|a| a.starts_with('d')),
            "the server that did not register again is not used"
        );
    });
}

/// On a stop, readiness fails at once, running requests complete, and new ones are still served for a while.
#[test]
fn a_graceful_stop_cuts_off_no_request() {
    let runner =
        BackendSpec { event_interval: Duration::from_millis(100), ..BackendSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let task = summary_task(fleet, SUMMARY);
        assert!(eventually(SECOND, || fleet.run_count("s1") == 1).await);
        fleet.stop(0);
        compio::time::sleep(SECOND / 20).await;
        assert_eq!(fleet.readiness(0).await, 503);
        let late = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(late.status, 200);
        assert_eq!(late.header("connection"), Some("close"));
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert_eq!(answer.events().len(), 20);
        assert!(eventually(8 * SECOND, || fleet.has_stopped(0)).await);
    });
}

/// Gateways may be stopped one after the other: one that still has a stream running accepts checks meanwhile,
/// and refuses summaries that it could not complete.
#[test]
fn a_stopping_gateway_accepts_requests_that_it_can_complete() {
    let runner =
        BackendSpec { event_interval: Duration::from_millis(300), ..BackendSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let task = summary_task(fleet, SUMMARY);
        assert!(eventually(SECOND, || fleet.run_count("s1") == 1).await);
        fleet.stop(0);
        compio::time::sleep(4 * SECOND).await;
        let check = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(check.status, 200);
        let summary = fleet.caller(0).summary(SUMMARY, "s2").await.expect("an answer");
        assert_eq!(summary.status, 503);
        assert!(summary.header("retry-after").is_some());
        assert_eq!(fleet.run_count("s2"), 0);
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert_eq!(answer.events().len(), 20);
    });
}

fn load_report(datagram: &[u8]) -> LoadReport {
    match ciborium::from_reader::<GossipMessage, _>(datagram).expect("a datagram that can be read")
    {
        GossipMessage::Share(load_report) => load_report,
        GossipMessage::Digest(_) => panic!("zone summaries are sent to other zones only"),
        GossipMessage::Notes(_) => panic!("no backend server crashed or is leaving"),
        GossipMessage::Ask(_) | GossipMessage::Answer(_) | GossipMessage::Unused(..) => {
            panic!("there are no client accounts")
        }
        GossipMessage::Age(_) | GossipMessage::Held(..) => panic!("there are no keys to revoke"),
        GossipMessage::Past(_) => panic!("no peer asked for its earlier processes"),
    }
}

/// Guards against a process that starts again without knowing what its predecessor used of the retry budget.
#[test]
fn gateways_tell_a_process_what_its_predecessor_used() {
    with_fleet(FleetSpec { gateways: 1, ..FleetSpec::default() }, async |fleet| {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let addr = socket.local_addr().expect("its address");
        let registration = format!("{{\"addr\":\"{addr}\",\"zone\":\"a\"}}");
        fleet.store.put("ebonyloft/gateways/p0", registration.as_bytes(), 0);
        let receive = async || {
            let BufResult(received, buffer) = socket.recv_from(Vec::with_capacity(8 << 10)).await;
            let (len, from) = received.expect("a datagram");
            let message = ciborium::from_reader::<GossipMessage, _>(&buffer[..len]);
            (message.expect("a datagram that can be read"), from)
        };
        let send = async |message: GossipMessage, to| {
            let mut bytes = Vec::new();
            ciborium::into_writer(&message, &mut bytes).expect("an encodable message");
            socket.send_to(bytes, to).await.0.expect("a datagram that is sent");
        };
        let first = compio::time::timeout(8 * SECOND, receive()).await.expect("a first report");
        let (GossipMessage::Share(report), gateway) = first else { panic!("no load report") };
        assert!(!report.asks_past, "the whole fleet starts for the first time");

        let retry_uses = [("summaries".to_owned(), WindowUse { requests: 20, retries: 7 })]
            .into_iter()
            .collect();
        let report =
            LoadReport { name: "p0".into(), incarnation: 1, retry_uses, ..LoadReport::default() };
        send(GossipMessage::Share(report.clone()), gateway).await;
        let next = LoadReport { name: "p0".into(), incarnation: 2, asks_past: true, ..report };
        compio::time::sleep(SECOND * 4 / 10).await;
        send(GossipMessage::Share(next), gateway).await;
        let told = async {
            loop {
                if let (GossipMessage::Past(past), _) = receive().await {
                    return past;
                }
            }
        };
        let past = compio::time::timeout(SECOND, told).await.expect("what the predecessor used");
        let [process] = &past.processes[..] else { panic!("{past:?}") };
        assert_eq!(process.incarnation, 1);
        assert_eq!(process.uses["summaries"], WindowUse { requests: 20, retries: 7 });
    });
}

/// A gossip round among 200 peers takes more than a second; new work is reported without waiting for it.
#[test]
fn new_work_is_reported_at_once() {
    with_fleet(FleetSpec { gateways: 1, ..FleetSpec::default() }, async |fleet| {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let addr = socket.local_addr().expect("its address");
        for i in 0..200 {
            let registration = format!("{{\"addr\":\"{addr}\",\"zone\":\"a\"}}");
            fleet.store.put(&format!("ebonyloft/gateways/p{i}"), registration.as_bytes(), 0);
        }
        let receive_report = async || {
            let BufResult(len, buffer) = socket.recv_from(Vec::with_capacity(8 << 10)).await;
            let (len, _) = len.expect("a datagram");
            load_report(&buffer[..len])
        };
        // A report from before the peers were known may still be in flight.
        compio::time::timeout(8 * SECOND, receive_report()).await.expect("a first report");
        compio::time::sleep(SECOND * 6 / 10).await;
        let task = summary_task(fleet, SUMMARY);
        let reported = async { while receive_report().await.engine_loads.is_empty() {} };
        compio::time::timeout(SECOND * 4 / 10, reported).await.expect("the new work is reported");
        task.await.expect("the caller's task").expect("an answer");
    });
}

#[test]
fn orders_come_from_one_gateway_with_a_fencing_token() {
    // Six decode engines and no prefill engine: one or two should change their stage.
    with_fleet(
        FleetSpec { prefill_engines: 0, decode_engines: 6, ..FleetSpec::default() },
        async |fleet| {
            let orders = |fleet: &Fleet| -> Vec<(Stage, u64)> {
                fleet.backends.iter().flat_map(|r| r.observed.borrow().orders.clone()).collect()
            };
            assert!(eventually(6 * SECOND, || !orders(fleet).is_empty()).await);
            let first = orders(fleet);
            assert!(first.iter().all(|o| *o == (Stage::Prefill, 1)), "{first:?}");
            assert!(fleet.store.value("ebonyloft/orders/lock").is_some());
        },
    );
}

#[test]
fn bad_requests_reach_no_server() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let caller = fleet.caller(0);
        let not_found = caller.call("/nowhere/a", "x1").await.expect("an answer");
        assert_eq!(not_found.status, 404);
        let mut large = Request::new(Bytes::from(vec![b'x'; 5 << 20]));
        *large.method_mut() = hyper::Method::POST;
        *large.uri_mut() = CHECK.parse().expect("a path");
        large.headers_mut().insert("host", "desk.example".parse().expect("a host"));
        if let Ok(answer) = fleet.caller(0).send(large).await {
            assert_eq!(answer.status, 413);
        }
        assert_eq!(arrival_count(fleet), 0);
    });
}

#[test]
fn the_metrics_page_counts_requests() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        let page = fleet.metrics(0).await;
        assert!(page.contains("ebonyloft_gateway_call_ms_count 1"), "{page}");
    });
}
