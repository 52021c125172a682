//! Backend servers that answer twice: a late second answer changes nothing at the exchange that
//! finds it.

use std::rc::Rc;
use std::time::Duration;

use ebonyloft_platform::simulation::CallKind;
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::store_state::REREGISTRATION_TIME;
use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::{BackendServer, BackendSpec, Fault};
use ebonyloft_standins::fleet::caller::{Answer, Caller};
use ebonyloft_standins::fleet::duplicates::{Delivery, Duplicate, Moment};
use ebonyloft_standins::fleet::{CHECK, Fleet, FleetSpec, LOOKUP, SUMMARY, ownership, with_fleet};
use ebonyloftd::settings::MigrationSetting;

const SECOND: Duration = Duration::from_secs(1);
const EVENTS: u64 = 20;

/// One gateway and one backend server of each kind, each behind a relay that can answer twice.
fn spec() -> FleetSpec {
    FleetSpec {
        gateways: 1,
        decode_engines: 1,
        plain_servers: 1,
        duplicators: true,
        ..FleetSpec::default()
    }
}

fn decode_engine(fleet: &Fleet) -> &Rc<BackendServer> {
    &fleet.backends[1]
}

fn plain_server(fleet: &Fleet) -> &Rc<BackendServer> {
    &fleet.backends[2]
}

/// Makes all servers answer calls of this kind a second time, ahead of the next answer on the
/// connection.
fn answer_twice(fleet: &Fleet, kind: CallKind, with_id: bool) {
    for duplicator in &fleet.duplicators {
        duplicator.set(&[Duplicate { kind, moment: Moment::BeforeNext, with_id }]);
    }
}

fn deliveries(fleet: &Fleet) -> Vec<Delivery> {
    fleet.duplicators.iter().flat_map(|duplicator| duplicator.deliveries()).collect()
}

/// Sends summaries one after the other; each must arrive whole and be its own.
async fn send_summaries(caller: &Caller, count: usize) {
    for n in 0..count {
        let attempt = format!("s{n}");
        let answer = caller.summary(SUMMARY, &attempt).await.expect("an answer");
        assert_whole(&answer, &attempt);
    }
}

fn assert_whole(answer: &Answer, attempt: &str) {
    let event = |id| format!("id: {id}\ndata: {attempt} tokens {id} v1\n\n");
    let expected: String = (1..=EVENTS).map(event).collect();
    assert_eq!(String::from_utf8_lossy(&answer.body), expected, "{}", answer.status);
    assert!(answer.complete);
}

/// Each run goes on from the prompt of its own request, and names its own reservation.
fn assert_own_prompts(fleet: &Fleet) {
    let decode = decode_engine(fleet).observed.borrow();
    assert!(!decode.kv_sources.is_empty(), "no run went on from a prompt");
    drop(decode);
    let violations = ownership::violations(fleet.backends.iter().map(|backend| &**backend));
    assert!(violations.is_empty(), "{violations:?}");
}

fn assert_prefill_is_not_mixed_up(with_id: bool) {
    with_fleet(spec(), async |fleet| {
        answer_twice(fleet, CallKind::Prefill, with_id);
        send_summaries(&fleet.caller(0), 6).await;
        assert_ne!(deliveries(fleet), [], "no second answer was sent");
        assert_own_prompts(fleet);
    });
}

/// Guards against a stream that goes on from the prompt of another request.
#[test]
fn a_second_answer_to_a_prefill_hands_out_no_handle() {
    assert_prefill_is_not_mixed_up(true);
}

/// Guards against the same where the second answer names no request.
#[test]
fn a_second_answer_to_a_prefill_without_an_id_hands_out_no_handle() {
    assert_prefill_is_not_mixed_up(false);
}

/// Guards against prompts that are kept from an engine that answers, only because it answers twice.
#[test]
fn a_second_answer_to_a_prefill_leaves_its_engine_in_use() {
    with_fleet(spec(), async |fleet| {
        answer_twice(fleet, CallKind::Prefill, true);
        send_summaries(&fleet.caller(0), 6).await;
        assert_ne!(deliveries(fleet), [], "no second answer was sent");
        let prefill = fleet.backends[0].observed.borrow();
        let is_read = |n: &usize| prefill.prefills.contains_key(&format!("s{n}"));
        assert_eq!((2..6).filter(is_read).count(), 4);
    });
}

fn assert_rejection_is_not_believed(with_id: bool) {
    with_fleet(spec(), async |fleet| {
        let (caller, server) = (fleet.caller(0), plain_server(fleet).clone());
        answer_twice(fleet, CallKind::Work, with_id);
        server.set_fault(Fault::Sheds);
        let rejected = caller.call(CHECK, "a").await.expect("an answer");
        assert_eq!(rejected.status, 503);
        server.set_fault(Fault::None);
        let answer = caller.call(CHECK, "b").await.expect("an answer");
        assert_ne!(deliveries(fleet), [], "no second answer was sent");
        assert_eq!(server.run_count("b"), 1);
        // It may have run.
        assert!([200, 502, 504].contains(&answer.status), "{answer:?}");
    });
}

/// Guards against a request that ran being called "not run", or run twice.
#[test]
fn a_second_rejection_is_not_believed_for_the_next_request() {
    assert_rejection_is_not_believed(true);
}

/// Guards against the same where the second answer names no request.
#[test]
fn a_second_rejection_without_an_id_is_not_believed_for_the_next_request() {
    assert_rejection_is_not_believed(false);
}

/// Guards against an answer that belongs to another request reaching a caller.
#[test]
fn a_second_answer_without_an_id_is_not_returned_to_the_next_caller() {
    with_fleet(spec(), async |fleet| {
        answer_twice(fleet, CallKind::Work, false);
        let caller = fleet.caller(0);
        for n in 0..6 {
            let attempt = format!("l{n}");
            let answer = caller.call(LOOKUP, &attempt).await.expect("an answer");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(answer.status != 200 || body.contains(&format!("\"{attempt}\"")), "{body}");
        }
        assert_ne!(deliveries(fleet), [], "no second answer was sent");
    });
}

fn assert_answers_are_own(moment: Moment) {
    with_fleet(spec(), async |fleet| {
        let rule = Duplicate { kind: CallKind::Work, moment, with_id: false };
        fleet.duplicators.iter().for_each(|duplicator| duplicator.set(&[rule]));
        let caller = fleet.caller(0);
        for n in 0..6 {
            let attempt = format!("l{n}");
            let answer = caller.call(LOOKUP, &attempt).await.expect("an answer");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(answer.status != 200 || body.contains(&format!("\"{attempt}\"")), "{body}");
            assert!([200, 502, 504].contains(&answer.status), "{answer:?}");
            compio::time::sleep(Duration::from_millis(60)).await;
        }
        assert_ne!(deliveries(fleet), [], "no second answer was sent");
    });
}

/// Guards against the same where the second answer comes with the end of the first.
#[test]
fn a_second_answer_in_the_same_write_is_not_returned_to_the_next_caller() {
    assert_answers_are_own(Moment::SameWrite);
}

/// Guards against the same where the second answer comes while the connection is idle.
#[test]
fn a_second_answer_while_idle_is_not_returned_to_the_next_caller() {
    assert_answers_are_own(Moment::After(Duration::from_millis(30)));
}

/// Guards against the same where the next answer never comes.
#[test]
fn a_second_answer_instead_of_the_next_is_not_returned_to_its_caller() {
    assert_answers_are_own(Moment::InsteadOfNext);
}

/// Guards against a server that serves again but is paused by what it said before.
#[test]
fn a_second_answer_does_not_pause_a_server_again() {
    with_fleet(spec(), async |fleet| {
        let (caller, server) = (fleet.caller(0), plain_server(fleet).clone());
        answer_twice(fleet, CallKind::Work, true);
        server.set_back_off(Some("0.5"));
        assert_eq!(caller.call(LOOKUP, "a").await.expect("an answer").status, 503);
        server.set_back_off(None);
        compio::time::sleep(Duration::from_millis(600)).await;
        let _ = caller.call(LOOKUP, "b").await;
        assert_ne!(deliveries(fleet), [], "no second answer was sent");
        assert_eq!(caller.call(LOOKUP, "c").await.expect("an answer").status, 200);
    });
}

/// Sends summaries one after the other; one may fail because a second answer took the place of its
/// own, but no answer may be another's or be called "not run".
async fn send_summaries_that_may_be_lost(caller: &Caller, count: usize) {
    let mut lost = 0;
    for n in 0..count {
        let attempt = format!("s{n}");
        let answer = caller.summary(SUMMARY, &attempt).await.expect("an answer");
        match answer.status {
            200 => assert_whole(&answer, &attempt),
            502 => lost += 1,
            status => panic!("{status}"),
        }
        // An engine that lost a run is not asked for a while.
        compio::time::sleep(Duration::from_millis(400)).await;
    }
    assert!(lost <= 1, "{lost} lost");
}

/// Guards against a stream that is given the reservation of another one.
#[test]
fn a_second_answer_to_a_reservation_reserves_nothing() {
    with_fleet(spec(), async |fleet| {
        answer_twice(fleet, CallKind::Reserve, false);
        send_summaries_that_may_be_lost(&fleet.caller(0), 6).await;
        assert_ne!(deliveries(fleet), [], "no second answer was sent");
        assert_eq!(decode_engine(fleet).observed.borrow().unknown_holds, 0);
        assert_eq!(reached_by_own_calls(fleet), []);
    });
}

/// The second answers that arrived where a call of the gateway waited for its own, which takes
/// effect. Nothing in the answer to such a call would tell them apart. Releases ignore their answer.
fn reached_by_own_calls(fleet: &Fleet) -> Vec<Delivery> {
    let own = [CallKind::Reserve, CallKind::Move, CallKind::Order, CallKind::Report];
    deliveries(fleet).into_iter().filter(|d| d.due.is_some_and(|due| own.contains(&due))).collect()
}

/// Moves a run while the answers to its calls are sent twice; returns the second answers.
fn second_answers_to_copies(moment: Moment) -> Vec<Delivery> {
    let mut delivered = Vec::new();
    let runner = BackendSpec {
        event_interval: Duration::from_millis(25),
        handle_ttl: Duration::from_secs(30),
        ..BackendSpec::default()
    };
    let migration = MigrationSetting::On;
    let spec = FleetSpec { decode_engines: 2, plain_servers: 0, runner, migration, ..spec() };
    with_fleet(spec, async |fleet| {
        let rule = Duplicate { kind: CallKind::Move, moment, with_id: false };
        fleet.duplicators.iter().for_each(|duplicator| duplicator.set(&[rule]));
        let peer = fleet.add_peer(10).await;
        compio::runtime::spawn(peer.clone().send_gossip(fleet.gateways[0].ip)).detach();
        let caller = fleet.caller(0);
        let task = compio::runtime::spawn(async move { caller.summary(SUMMARY, "a").await });
        let engines = fleet.backends[1..3].to_vec();
        let source = || engines.iter().find(|engine| engine.run_count("a") > 0);
        assert!(eventually(SECOND, || source().is_some()).await, "the request does not run");
        let source = source().expect("checked");
        let memory = MemoryForecast::constant(BackendSpec::default().memory_tokens - 1_000);
        let load = EngineLoad { memory, ..EngineLoad::default() };
        peer.set_load(&source.server.borrow().id, load);
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert_whole(&answer, "a");
        assert_eq!(source.observed.borrow().moves.len(), 2);
        assert_eq!(reached_by_own_calls(fleet), []);
        delivered = deliveries(fleet);
    });
    delivered
}

/// Guards against the result of one call of a migration being read as that of another.
#[test]
fn a_second_answer_to_a_copy_moves_no_run() {
    // Nothing else uses the connection of such a call by then.
    let _ = second_answers_to_copies(Moment::BeforeNext);
}

/// Guards against the same where the second answer comes while the connection is idle.
#[test]
fn a_second_answer_to_a_copy_while_idle_moves_no_run() {
    assert_ne!(second_answers_to_copies(Moment::After(Duration::from_millis(5))), []);
}

/// Guards against a request that is recorded as having crashed a server that has left silently and answered
/// an earlier request twice.
#[test]
fn a_second_answer_is_no_sign_that_a_request_crashed_its_server() {
    let runner = BackendSpec { call_time: Duration::from_millis(700), ..BackendSpec::default() };
    with_fleet(FleetSpec { runner, ..spec() }, async |fleet| {
        let moment = Moment::After(Duration::from_millis(500));
        let rule = Duplicate { kind: CallKind::Work, moment, with_id: true };
        fleet.duplicators.iter().for_each(|duplicator| duplicator.set(&[rule]));
        let (caller, server) = (fleet.caller(0), plain_server(fleet).clone());
        // A registration that vanishes is believed once the list of a new gateway is trusted.
        compio::time::sleep(REREGISTRATION_TIME + SECOND).await;
        assert_eq!(caller.call(LOOKUP, "a").await.expect("an answer").status, 200);
        let task = compio::runtime::spawn(async move { caller.call("/lookup/b", "b").await });
        assert!(eventually(SECOND, || server.running() == 1).await, "the request does not run");
        fleet.store.unregister(&server.server.borrow());
        let _ = task.await;
        let delivery = Delivery { kind: CallKind::Work, due: Some(CallKind::Work), with_id: true };
        assert_eq!(deliveries(fleet), [delivery]);
        compio::time::sleep(SECOND + SECOND / 2).await;
        let page = fleet.metrics(0).await;
        let has_none = |line| line == "ebonyloft_gateway_quarantine_suspects 0";
        assert!(page.lines().any(has_none), "{page}");
    });
}

/// Guards against a run that is closed because the call that was to stop it could not be sent.
#[test]
fn a_run_goes_on_where_the_last_call_of_its_migration_is_not_sent() {
    let runner = BackendSpec {
        event_interval: Duration::from_millis(100),
        handle_ttl: Duration::from_secs(30),
        ..BackendSpec::default()
    };
    let migration = MigrationSetting::On;
    let spec = FleetSpec { decode_engines: 2, plain_servers: 0, runner, migration, ..spec() };
    with_fleet(spec, async |fleet| {
        let peer = fleet.add_peer(10).await;
        compio::runtime::spawn(peer.clone().send_gossip(fleet.gateways[0].ip)).detach();
        let caller = fleet.caller(0);
        let task = compio::runtime::spawn(async move { caller.summary(SUMMARY, "a").await });
        let source = || (1..3).find(|n| fleet.backends[*n].run_count("a") > 0);
        assert!(eventually(SECOND, || source().is_some()).await, "the request does not run");
        let source = source().expect("checked");
        let (source, target) = (source, 3 - source);
        let memory = MemoryForecast::constant(BackendSpec::default().memory_tokens - 1_000);
        let load = EngineLoad { memory, ..EngineLoad::default() };
        let id = fleet.backends[source].server.borrow().id.clone();
        peer.set_load(&id, load);
        let moves = || fleet.backends[source].observed.borrow().moves.len();
        assert!(eventually(SECOND, || moves() == 1).await, "the run is not copied");
        fleet.duplicators[source].refuse_connections();
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert_whole(&answer, "a");
        assert_eq!(moves(), 1);
        assert_eq!(fleet.backends[target].observed.borrow().continued.get("a"), None);
    });
}

/// Guards against the answer to an order being read as that to a reservation, and the reverse.
#[test]
fn a_second_answer_to_an_order_refuses_no_reservation() {
    let spec = FleetSpec { prefill_engines: 0, decode_engines: 6, plain_servers: 0, ..spec() };
    with_fleet(spec, async |fleet| {
        answer_twice(fleet, CallKind::Order, false);
        let is_ordered = || fleet.backends.iter().any(|e| !e.observed.borrow().orders.is_empty());
        assert!(eventually(6 * SECOND, is_ordered).await, "no order was sent");
        let summaries = (0..12).map(|n| {
            let caller = fleet.caller(0);
            compio::runtime::spawn(async move { caller.summary(SUMMARY, &format!("s{n}")).await })
        });
        for task in summaries.collect::<Vec<_>>() {
            let answer = task.await.expect("the caller's task").expect("an answer");
            assert!([200, 502].contains(&answer.status), "{answer:?}");
        }
        assert_eq!(reached_by_own_calls(fleet), []);
    });
}

/// Guards against second answers of any kind, to any exchange, all at once.
#[test]
fn second_answers_of_all_kinds_mix_up_nothing() {
    with_fleet(spec(), async |fleet| {
        let rule = |kind| Duplicate { kind, moment: Moment::BeforeNext, with_id: false };
        for duplicator in &fleet.duplicators {
            duplicator.set(&CallKind::ALL.map(rule));
        }
        send_summaries_that_may_be_lost(&fleet.caller(0), 6).await;
        assert_ne!(deliveries(fleet), [], "no second answer was sent");
        assert_own_prompts(fleet);
        assert_eq!(decode_engine(fleet).observed.borrow().unknown_holds, 0);
        assert_eq!(reached_by_own_calls(fleet), []);
    });
}
