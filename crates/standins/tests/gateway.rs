//! The gateway on real sockets: what callers get and what backend servers see, also under faults.

use std::time::Duration;

use bytes::Bytes;
use compio::BufResult;
use compio::net::UdpSocket;
use compio::runtime::JoinHandle;
use ebonyloft_router::catalog::{Split, Stage};
use ebonyloft_router::load_report::{GossipMessage, LoadReport};
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::runner::{Fault, RunnerSpec};
use ebonyloft_standins::fleet::store;
use ebonyloft_standins::fleet::{
    CHECK, ENGINES, Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, PLAIN, SUMMARY, config, eventually,
    with_fleet,
};
use ebonyloftd::gateway::pool::ExchangeError;
use hyper::Request;

const SECOND: Duration = Duration::from_secs(1);

fn seen_arrivals(fleet: &Fleet) -> usize {
    fleet.runners.iter().map(|r| r.seen.borrow().arrivals.len()).sum()
}

/// A summary with the attempt `s1` that is sent meanwhile.
fn summary_task(fleet: &Fleet, path: &str) -> JoinHandle<Result<Answer, ExchangeError>> {
    let caller = fleet.caller(0);
    let request = caller.summary_request(path, "s1");
    compio::runtime::spawn(async move { caller.send(request).await })
}

fn held(fleet: &Fleet) -> usize {
    fleet.runners.iter().map(|r| r.held() + r.running() as usize).sum()
}

#[test]
fn all_four_kinds_are_answered_whole_and_once() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let caller = fleet.caller(0);
        for (path, attempt) in [(CHECK, "c1"), (LOOKUP, "l1")] {
            let answer = caller.call(path, attempt).await.expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(answer.header("attempt-id"), Some(attempt));
            assert!(answer.header("server-stamp").is_some());
            assert!(String::from_utf8_lossy(&answer.body).contains(attempt));
            assert_eq!(fleet.runs(attempt), 1);
        }
        for (path, attempt) in [(SUMMARY, "s1"), (ONCE_SUMMARY, "s2")] {
            let answer = caller.summary(path, attempt).await.expect("an answer");
            assert_eq!(answer.status, 200);
            assert!(answer.whole);
            assert_eq!(answer.events(), (1..=20).collect::<Vec<_>>());
            assert_eq!(fleet.runs(attempt), 1);
        }
        // The prompts were read by the reader, and nothing is left held.
        assert_eq!(fleet.runners[0].seen.borrow().reads, 2);
        assert!(eventually(SECOND, || held(fleet) == 0).await);
    });
}

#[test]
fn a_look_up_that_fails_is_tried_elsewhere() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.runners[3].set_fault(Fault::Errors);
        for i in 0..10 {
            let answer = fleet.caller(0).call(LOOKUP, &format!("l{i}")).await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn a_look_up_at_a_server_that_hangs_is_in_time() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.runners[3].set_fault(Fault::Hangs);
        for i in 0..10 {
            let answer = fleet.caller(0).call(LOOKUP, &format!("l{i}")).await.expect("an answer");
            assert_eq!(answer.status, 200);
            assert!(answer.took < Duration::from_millis(600), "{:?}", answer.took);
        }
    });
}

/// A check whose answer is lost may have run: it is not sent again, and not called unrun.
#[test]
fn a_lost_check_never_runs_twice() {
    with_fleet(FleetSpec::default(), async |fleet| {
        for runner in &fleet.runners[3..] {
            runner.set_fault(Fault::Loses);
        }
        for i in 0..6 {
            let attempt = format!("c{i}");
            let answer = fleet.caller(0).call(CHECK, &attempt).await.expect("an answer");
            assert_eq!(answer.status, 502);
            assert_eq!(answer.header("retry-after"), None);
            assert!(answer.header("server-stamp").is_none());
            assert_eq!(fleet.runs(&attempt), 1);
        }
    });
}

#[test]
fn a_failure_of_a_check_is_passed_on_as_the_server_gave_it() {
    with_fleet(FleetSpec { plain: 1, ..FleetSpec::default() }, async |fleet| {
        fleet.runners[3].set_fault(Fault::Errors);
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_slice()), (500, &b"failed"[..]));
        assert!(answer.header("server-stamp").is_some());
    });
}

/// What was turned away did not run: the caller hears so at once, with a time to come back.
#[test]
fn what_no_server_takes_is_refused_at_once() {
    with_fleet(FleetSpec::default(), async |fleet| {
        for runner in &fleet.runners {
            runner.set_fault(Fault::Sheds);
        }
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 503);
        let after: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(after > 0.0 && after < 1.0, "{after}");
        assert!(answer.took < Duration::from_millis(100), "{:?}", answer.took);
        assert_eq!(fleet.runs("c1"), 0);
    });
}

/// An engine that leaves while the store is away refuses what it is asked for, and looks idle to all: it is
/// asked again after a rest only, some fifteen times while a caller waits and not some hundred.
#[test]
fn an_engine_that_refuses_a_place_is_left_alone_for_a_while() {
    let runner = RunnerSpec { tokens: 5_000, events: 400, ..RunnerSpec::default() };
    with_fleet(FleetSpec { gateways: 1, runner, ..FleetSpec::default() }, async |fleet| {
        fleet.runners[1].set_fault(Fault::Full);
        let first = fleet.caller(0);
        let request = first.summary_request(SUMMARY, "s1");
        let _kept = first.begin(request).await.expect("an answer");
        let before = fleet.runners[1].seen.borrow().refused;
        let answer = fleet.caller(0).summary(SUMMARY, "s2").await.expect("an answer");
        assert_eq!(answer.status, 503);
        let asked = fleet.runners[1].seen.borrow().refused - before;
        assert!((1..=20).contains(&asked), "{asked} times in {:?}", answer.took);
    });
}

/// Memory for one answer only: the second summary can't be in time, and is told so early.
#[test]
fn a_summary_without_a_place_is_refused_before_its_goal() {
    let runner = RunnerSpec { tokens: 5_000, events: 200, ..RunnerSpec::default() };
    with_fleet(FleetSpec { writers: 1, runner, ..FleetSpec::default() }, async |fleet| {
        let first = fleet.caller(0);
        let request = first.summary_request(SUMMARY, "s1");
        let _kept = first.begin(request).await.expect("an answer");
        let answer = fleet.caller(0).summary(SUMMARY, "s2").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.took < Duration::from_millis(900), "{:?}", answer.took);
        let after: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(after > 2.0, "{after}");
        assert_eq!(fleet.runs("s2"), 0);
        assert_eq!(fleet.runners[0].seen.borrow().reads, 1, "no prompt is read without a place");
    });
}

/// An engine breaks off in the middle of an event: the stream goes on elsewhere behind its last.
#[test]
fn a_broken_summary_goes_on_within_the_same_answer() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.runners[1].set_fault(Fault::Breaks);
        let broken = |fleet: &Fleet| fleet.runners[1].seen.borrow().runs.values().sum::<usize>();
        // Of two equal engines either is drawn: four at least, and on until one broke off.
        for i in 0..40 {
            let attempt = format!("s{i}");
            let answer = fleet.caller(0).summary(SUMMARY, &attempt).await.expect("an answer");
            assert!(answer.whole);
            assert_eq!(answer.events(), (1..=20).collect::<Vec<_>>(), "{attempt}");
            if i >= 3 && broken(fleet) > 0 {
                break;
            }
        }
        assert!(broken(fleet) > 0);
    });
}

/// A summary that runs once can't go on: its answer must look broken.
#[test]
fn a_broken_summary_that_runs_once_looks_broken() {
    with_fleet(FleetSpec { writers: 1, ..FleetSpec::default() }, async |fleet| {
        fleet.runners[1].set_fault(Fault::Breaks);
        let answer = fleet.caller(0).summary(ONCE_SUMMARY, "s1").await.expect("an answer");
        assert!(!answer.whole);
        assert!(answer.events().len() < 20);
        assert!(answer.body.ends_with(b"\n\n"), "only whole events are passed on");
        assert_eq!(fleet.runs("s1"), 1);
    });
}

/// An engine about to change its stage grants places and takes nothing: the prompt that was read is
/// fetched by another one, and the engine is left alone.
#[test]
fn an_engine_that_changes_its_stage_is_passed_over() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.runners[1].set_fault(Fault::Changes);
        for i in 0..8 {
            let answer =
                fleet.caller(0).summary(SUMMARY, &format!("s{i}")).await.expect("an answer");
            assert!(answer.whole);
        }
        let turned = fleet.runners[1].seen.borrow().arrivals.len();
        assert!(turned <= 3, "{turned} of 8 were sent to it");
        let reads = fleet.runners[0].seen.borrow().reads;
        assert!(reads <= 9, "{reads} reads for 8 summaries");
    });
}

/// The time runs out while a summary is at an engine that does not answer: it may have run.
#[test]
fn a_summary_whose_time_runs_out_is_not_called_unrun() {
    with_fleet(FleetSpec::default(), async |fleet| {
        for runner in &fleet.runners[1..3] {
            runner.set_fault(Fault::Stuck);
        }
        let caller = fleet.caller(0).patience(SECOND);
        let answer = caller.summary(ONCE_SUMMARY, "s1").await.expect("an answer");
        assert_eq!(answer.status, 504);
        assert_eq!(answer.header("retry-after"), None);
        assert_eq!(fleet.runs("s1"), 1);
    });
}

#[test]
fn a_caller_who_leaves_ends_the_work_and_frees_the_memory() {
    let runner = RunnerSpec { events: 1_000, ..RunnerSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let caller = fleet.caller(0);
        let begun = caller.begin(caller.summary_request(ONCE_SUMMARY, "s1")).await;
        assert!(eventually(SECOND, || fleet.runs("s1") == 1).await);
        drop(begun);
        assert!(eventually(SECOND / 2, || held(fleet) == 0).await, "{} held", held(fleet));
    });
}

#[test]
fn a_caller_who_leaves_while_the_prompt_is_read_holds_nothing() {
    let runner = RunnerSpec { read: Duration::from_millis(400), ..RunnerSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let caller = fleet.caller(0);
        let request = caller.summary_request(SUMMARY, "s1");
        let gave_up = compio::time::timeout(SECOND / 10, caller.begin(request)).await;
        assert!(gave_up.is_err());
        drop(caller);
        assert!(eventually(SECOND / 2, || held(fleet) == 0).await, "{} held", held(fleet));
        assert_eq!(fleet.runs("s1"), 0);
    });
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let leaving = fleet.runners[3].clone();
        leaving.server.borrow_mut().draining = true;
        fleet.store.register(&leaving.server.borrow());
        compio::time::sleep(SECOND / 5).await;
        for i in 0..10 {
            let answer = fleet.caller(0).call(CHECK, &format!("c{i}")).await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
        assert!(leaving.seen.borrow().arrivals.is_empty());
    });
}

/// Its place was reserved, then it began to leave while the prompt was read.
#[test]
fn a_place_at_an_engine_that_leaves_is_given_up() {
    let runner = RunnerSpec { read: Duration::from_millis(300), ..RunnerSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let task = summary_task(fleet, ONCE_SUMMARY);
        let placed = || fleet.runners[1..3].iter().position(|r| r.held() > 0);
        assert!(eventually(SECOND, || placed().is_some()).await);
        let leaving = fleet.runners[1 + placed().expect("a place")].clone();
        fleet.store.unregister(&leaving.server.borrow());
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert!(answer.whole);
        assert_eq!(leaving.runs("s1"), 0);
        assert_eq!(fleet.runners[0].seen.borrow().reads, 1, "the prompt is read once");
    });
}

/// The address belongs to another life now: it says so, and the request runs elsewhere.
#[test]
fn another_server_at_the_address_runs_nothing() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let id = ebonyloft_router::catalog::ServerId::new("i-new", 0);
        fleet.runners[3].server.borrow_mut().id = id;
        for i in 0..6 {
            let attempt = format!("c{i}");
            let answer = fleet.caller(0).call(CHECK, &attempt).await.expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(fleet.runners[3].runs(&attempt), 0);
        }
    });
}

#[test]
fn a_configuration_is_in_force_soon_and_never_goes_back() {
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
                Split { service: ENGINES.into(), weight: 0 },
                Split { service: PLAIN.into(), weight: 3 },
            ];
        }
        fleet.configure(&next);
        compio::time::sleep(SECOND / 2).await;
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 200);
    });
}

/// The store is away: what is known stays in force, and a new gateway says that it knows nothing.
/// Twenty changes within 0.6 s: one call each without a pause between watches, 60 in all.
#[test]
fn changes_that_come_together_are_fetched_together() {
    with_fleet(FleetSpec { gateways: 3, ..FleetSpec::default() }, async |fleet| {
        compio::time::sleep(SECOND).await;
        let before = fleet.store.calls();
        for i in 0..20_u8 {
            fleet.store.put("ebonyloft/other", &[i], 0);
            compio::time::sleep(SECOND / 33).await;
        }
        compio::time::sleep(SECOND / 2).await;
        let calls = fleet.store.calls() - before;
        assert!(calls <= 20, "{calls} calls");
    });
}

#[test]
fn an_outage_of_the_store_stops_no_request() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.store.set_fault(store::Fault::Busy);
        compio::time::sleep(SECOND / 2).await;
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(fleet.caller(0).summary(SUMMARY, "s1").await.expect("an answer").whole);
        fleet.add_gateway();
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(fleet.readiness(2).await, 503);
        let answer = fleet.caller(2).call(CHECK, "c2").await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        // A caller with 14 s to go waits for the store as long as it can.
        let answer = fleet.caller(2).summary(SUMMARY, "s2").await.expect("an answer");
        let after: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(after > 3.0 && after < 14.0 / 3.0, "{after}");
        fleet.store.set_fault(store::Fault::None);
        fleet.wait_ready(2).await;
        assert_eq!(fleet.caller(2).call(CHECK, "c3").await.expect("an answer").status, 200);
    });
}

/// A connection to the store that went silent is noticed, and what changed meanwhile is in force.
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

/// Its return is noticed within the time of a call, however long a watch would have waited.
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

/// Registrations that lapsed with the store are back within two seconds; until then all are kept.
#[test]
fn servers_that_lapse_with_the_store_are_kept_until_it_settles() {
    with_fleet(FleetSpec::default(), async |fleet| {
        fleet.store.set_fault(store::Fault::Busy);
        compio::time::sleep(SECOND / 2).await;
        for runner in &fleet.runners {
            fleet.store.unregister(&runner.server.borrow());
        }
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(SECOND).await;
        let answer = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(answer.status, 200, "they may still register anew");
        fleet.store.register(&fleet.runners[3].server.borrow());
        compio::time::sleep(2 * SECOND).await;
        for i in 0..6 {
            fleet.caller(0).call(CHECK, &format!("d{i}")).await.expect("an answer");
        }
        let arrivals = &fleet.runners[4].seen.borrow().arrivals;
        assert!(!arrivals.keys().any(|a| a.starts_with('d')), "the one still missing is gone");
    });
}

/// A stop: readiness says no at once, what runs ends whole, new callers are still served for a while.
#[test]
fn a_stop_cuts_off_no_request() {
    let runner = RunnerSpec { pace: Duration::from_millis(100), ..RunnerSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let task = summary_task(fleet, SUMMARY);
        assert!(eventually(SECOND, || fleet.runs("s1") == 1).await);
        fleet.stop(0);
        compio::time::sleep(SECOND / 20).await;
        assert_eq!(fleet.readiness(0).await, 503);
        let late = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(late.status, 200);
        assert_eq!(late.header("connection"), Some("close"));
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert_eq!(answer.events().len(), 20);
        assert!(eventually(8 * SECOND, || fleet.ended(0)).await);
    });
}

/// All gateways may be stopping in turn: one that still has a stream to end takes checks meanwhile,
/// and refuses summaries that it could not end.
#[test]
fn a_stopping_gateway_takes_what_it_can_still_end() {
    let runner = RunnerSpec { pace: Duration::from_millis(300), ..RunnerSpec::default() };
    with_fleet(FleetSpec { runner, ..FleetSpec::default() }, async |fleet| {
        let task = summary_task(fleet, SUMMARY);
        assert!(eventually(SECOND, || fleet.runs("s1") == 1).await);
        fleet.stop(0);
        compio::time::sleep(4 * SECOND).await;
        let check = fleet.caller(0).call(CHECK, "c1").await.expect("an answer");
        assert_eq!(check.status, 200);
        let summary = fleet.caller(0).summary(SUMMARY, "s2").await.expect("an answer");
        assert_eq!(summary.status, 503);
        assert!(summary.header("retry-after").is_some());
        assert_eq!(fleet.runs("s2"), 0);
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert_eq!(answer.events().len(), 20);
    });
}

fn share(datagram: &[u8]) -> LoadReport {
    match ciborium::from_reader::<GossipMessage, _>(datagram).expect("a datagram that can be read")
    {
        GossipMessage::Share(share) => share,
        GossipMessage::Digest(_) => panic!("a digest goes to other zones only"),
        GossipMessage::Notes(_) => panic!("no backend server ended or leaves"),
        GossipMessage::Ask(_) | GossipMessage::Answer(_) | GossipMessage::Unused(..) => {
            panic!("there are no client accounts")
        }
        GossipMessage::Age(_) | GossipMessage::Held(..) => panic!("no key can be taken away"),
    }
}

/// Among 200 peers the usual round takes more than a second; work that begins is told at once.
#[test]
fn work_that_begins_is_told_at_once() {
    with_fleet(FleetSpec { gateways: 1, ..FleetSpec::default() }, async |fleet| {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let addr = socket.local_addr().expect("its address");
        for i in 0..200 {
            let registration = format!("{{\"addr\":\"{addr}\",\"zone\":\"a\"}}");
            fleet.store.put(&format!("ebonyloft/gateways/p{i}"), registration.as_bytes(), 0);
        }
        let hear = async || {
            let BufResult(len, buffer) = socket.recv_from(Vec::with_capacity(8 << 10)).await;
            let (len, _) = len.expect("a datagram");
            share(&buffer[..len])
        };
        // The one of work before the peers were known may be under way.
        compio::time::timeout(8 * SECOND, hear()).await.expect("a round");
        compio::time::sleep(SECOND * 6 / 10).await;
        let task = summary_task(fleet, SUMMARY);
        let told = async { while hear().await.work.is_empty() {} };
        compio::time::timeout(SECOND * 4 / 10, told).await.expect("the work is told");
        task.await.expect("the caller's task").expect("an answer");
    });
}

#[test]
fn orders_come_from_one_gateway_under_a_growing_fence() {
    // Six engines, all of which write: one or two should read.
    with_fleet(FleetSpec { readers: 0, writers: 6, ..FleetSpec::default() }, async |fleet| {
        let orders = |fleet: &Fleet| -> Vec<(Stage, u64)> {
            fleet.runners.iter().flat_map(|r| r.seen.borrow().orders.clone()).collect()
        };
        assert!(eventually(6 * SECOND, || !orders(fleet).is_empty()).await);
        let first = orders(fleet);
        assert!(first.iter().all(|o| *o == (Stage::Prefill, 1)), "{first:?}");
        assert!(fleet.store.value("ebonyloft/orders/lock").is_some());
    });
}

#[test]
fn bad_requests_reach_no_server() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let caller = fleet.caller(0);
        let nowhere = caller.call("/nowhere/a", "x1").await.expect("an answer");
        assert_eq!(nowhere.status, 404);
        let mut large = Request::new(Bytes::from(vec![b'x'; 5 << 20]));
        *large.method_mut() = hyper::Method::POST;
        *large.uri_mut() = CHECK.parse().expect("a path");
        large.headers_mut().insert("host", "desk.example".parse().expect("a host"));
        if let Ok(answer) = fleet.caller(0).send(large).await {
            assert_eq!(answer.status, 413);
        }
        assert_eq!(seen_arrivals(fleet), 0);
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
