//! Names of handles and reservations belong to one life of an engine: they are used only while that
//! lasts.

use std::time::Duration;

use compio::runtime::JoinHandle;
use ebonyloft_platform::simulation::CallKind;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::{BackendServer, BackendSpec, Fault};
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::duplicates::{Duplicate, Moment};
use ebonyloft_standins::fleet::{
    Fleet, FleetSpec, PLAIN_SERVICE, SUMMARY, config, ownership, with_fleet,
};
use ebonyloftd::gateway::pool::ExchangeError;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a stream that goes on from what another incarnation keeps under the same handle.
#[test]
fn a_handle_is_not_used_once_another_engine_is_at_its_address() {
    let runner = BackendSpec { prefill_time: Duration::from_millis(300), ..BackendSpec::default() };
    let spec = FleetSpec { gateways: 1, decode_engines: 1, runner, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        let (prefill, decode) = (fleet.backends[0].clone(), fleet.backends[1].clone());
        let caller = fleet.caller(0);
        let task = compio::runtime::spawn(async move { caller.summary(SUMMARY, "a").await });
        assert!(eventually(SECOND, || prefill.running() == 1).await, "no prefill has begun");
        // Its own registration expires later.
        let successor = Server {
            id: ServerId::new("i-successor", 0),
            service: PLAIN_SERVICE.to_owned(),
            stage: None,
            ..prefill.server.borrow().clone()
        };
        fleet.store.register(&successor);
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert_eq!(prefill.observed.borrow().prefills.get("a"), Some(&1));
        assert_eq!(decode.observed.borrow().kv_sources.get("a"), None);
        assert!(answer.complete);
        assert_eq!(answer.events(), (1..=20).collect::<Vec<_>>());
    });
}

/// Guards against an engine that is never used again because another one was registered at its address
/// for a while.
#[test]
fn an_engine_is_used_again_once_the_other_one_at_its_address_is_gone() {
    let spec = FleetSpec { gateways: 1, decode_engines: 1, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        let (prefill, caller) = (fleet.backends[0].clone(), fleet.caller(0));
        let other = Server {
            id: ServerId::new("i-other", 0),
            service: PLAIN_SERVICE.to_owned(),
            stage: None,
            ..prefill.server.borrow().clone()
        };
        fleet.store.register(&other);
        compio::time::sleep(SECOND / 5).await;
        assert!(caller.summary(SUMMARY, "a").await.expect("an answer").complete);
        assert_eq!(prefill.observed.borrow().prefills.get("a"), None);
        fleet.store.unregister(&other);
        compio::time::sleep(SECOND / 5).await;
        assert!(caller.summary(SUMMARY, "b").await.expect("an answer").complete);
        assert_eq!(prefill.observed.borrow().prefills.get("b"), Some(&1));
    });
}

/// Two gateways and an engine of each stage. Prompts are kept for two seconds.
fn spec(prefill_time: Duration) -> FleetSpec {
    let runner = BackendSpec { prefill_time, handle_ttl: 2 * SECOND, ..BackendSpec::default() };
    FleetSpec { gateways: 2, decode_engines: 1, plain_servers: 0, runner, ..FleetSpec::default() }
}

async fn keep_handles_longer(fleet: &Fleet, spec: &FleetSpec) {
    let mut config = config(2, spec);
    config.services.iter_mut().flat_map(|service| &mut service.engine).for_each(|engine| {
        engine.handle_life = 2 * SECOND;
    });
    fleet.configure(&config);
    compio::time::sleep(SECOND / 2).await;
}

type Task = JoinHandle<Result<Answer, ExchangeError>>;

fn send(fleet: &Fleet, gateway: usize, attempt: &'static str) -> Task {
    let caller = fleet.caller(gateway);
    compio::runtime::spawn(async move { caller.summary(SUMMARY, attempt).await })
}

async fn assert_whole(task: Task) {
    let answer = task.await.expect("the caller's task").expect("an answer");
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.events(), (1..=20).collect::<Vec<_>>());
}

fn assert_own(fleet: &Fleet) {
    let violations = ownership::violations(fleet.backends.iter().map(|backend| &**backend));
    assert!(violations.is_empty(), "{violations:?}");
}

fn prefills(engine: &BackendServer, attempt: &str) -> usize {
    engine.observed.borrow().prefills.get(attempt).copied().unwrap_or(0)
}

/// Guards against a stream that goes on from the prompt that a later life of the engine keeps under the
/// same handle, before the registration tells of that life.
#[test]
fn a_handle_is_not_used_once_its_engine_has_started_again_unheard() {
    let spec = FleetSpec { decode_engines: 2, ..spec(Duration::from_millis(40)) };
    with_fleet(spec.clone(), async |fleet| {
        keep_handles_longer(fleet, &spec).await;
        let [prefill, rejecting, full] = [0, 1, 2].map(|n| fleet.backends[n].clone());
        rejecting.set_fault(Fault::Changes);
        full.set_fault(Fault::Full);
        let first = send(fleet, 0, "a");
        let is_rejected = || rejecting.observed.borrow().arrivals.contains_key("a");
        assert!(eventually(SECOND, is_rejected).await, "no run was rejected");
        prefill.restart_unregistered().await;
        let second = send(fleet, 1, "b");
        assert!(eventually(SECOND, || prefills(&prefill, "b") == 1).await, "no prefill has ended");
        full.set_fault(Fault::None);
        assert_whole(first).await;
        assert_whole(second).await;
        assert_own(fleet);
        // The prompt is read again.
        assert_eq!((prefills(&prefill, "a"), prefills(&prefill, "b")), (2, 1));
    });
}

/// Guards against a release that frees what a later life of the engine keeps under the same handle.
#[test]
fn a_handle_is_not_released_once_its_engine_has_started_again_unheard() {
    let spec = spec(Duration::from_millis(40));
    with_fleet(spec.clone(), async |fleet| {
        keep_handles_longer(fleet, &spec).await;
        let (prefill, decode) = (fleet.backends[0].clone(), fleet.backends[1].clone());
        decode.set_fault(Fault::Changes);
        let first = send(fleet, 0, "a");
        let is_rejected = || decode.observed.borrow().arrivals.contains_key("a");
        assert!(eventually(SECOND, is_rejected).await, "no run was rejected");
        prefill.restart_unregistered().await;
        // Its caller disconnects.
        drop(first);
        compio::time::sleep(SECOND / 5).await;
        assert_eq!(prefill.observed.borrow().release_times.len(), 0);
    });
}

/// Guards against a run that uses up the reservation that a later life of the engine has given to another
/// one.
#[test]
fn a_reservation_is_not_used_once_its_engine_has_started_again_unheard() {
    with_fleet(spec(Duration::from_millis(300)), async |fleet| {
        let (prefill, decode) = (fleet.backends[0].clone(), fleet.backends[1].clone());
        let first = send(fleet, 0, "a");
        assert!(eventually(SECOND, || prefill.running() == 1).await, "no prefill has begun");
        decode.restart_unregistered().await;
        let second = send(fleet, 1, "b");
        assert!(eventually(SECOND, || decode.reservation_count() == 1).await, "none reserved");
        assert_whole(first).await;
        assert_whole(second).await;
        assert_own(fleet);
        assert_eq!(decode.observed.borrow().unknown_holds, 0);
    });
}

/// Guards against the same where the connections outlast the engine's life.
#[test]
fn a_reservation_is_not_used_at_a_next_life_behind_the_same_connections() {
    with_fleet(spec(Duration::from_millis(300)), async |fleet| {
        let (prefill, decode) = (fleet.backends[0].clone(), fleet.backends[1].clone());
        let first = send(fleet, 0, "a");
        assert!(eventually(SECOND, || prefill.running() == 1).await, "no prefill has begun");
        decode.restart();
        decode.repeat_names();
        let second = send(fleet, 1, "b");
        assert!(eventually(SECOND, || decode.reservation_count() == 1).await, "none reserved");
        assert_whole(first).await;
        assert_whole(second).await;
        assert_own(fleet);
    });
}

/// Guards against an engine that is asked for each request although another one is at its address.
#[test]
fn a_replaced_engine_is_asked_for_one_reservation() {
    let spec = FleetSpec { decode_engines: 2, ..spec(Duration::from_millis(40)) };
    with_fleet(spec, async |fleet| {
        let replaced = fleet.backends[1].clone();
        replaced.server.borrow_mut().id = ServerId::new("i-other", 0);
        for attempt in ["a", "b", "c", "d", "e", "f"] {
            assert_whole(send(fleet, 0, attempt)).await;
        }
        let calls = replaced.observed.borrow().call_times.len();
        assert!(calls <= 1, "{calls} calls");
    });
}

/// Guards against the same where another request has reserved at the engine meanwhile.
#[test]
fn a_reservation_is_not_used_once_its_engine_has_started_again_after_another_reservation() {
    with_fleet(spec(Duration::from_millis(300)), async |fleet| {
        let (prefill, decode) = (fleet.backends[0].clone(), fleet.backends[1].clone());
        let first = send(fleet, 0, "a");
        assert!(eventually(SECOND, || prefill.running() == 1).await, "no prefill has begun");
        let other = send(fleet, 0, "c");
        assert!(eventually(SECOND, || prefill.running() == 2).await, "no second prefill");
        decode.restart_unregistered().await;
        let second = send(fleet, 1, "b");
        assert!(eventually(SECOND, || decode.reservation_count() == 1).await, "none reserved");
        for task in [first, other, second] {
            assert_whole(task).await;
        }
        assert_own(fleet);
        assert_eq!(decode.observed.borrow().unknown_holds, 0);
    });
}

/// Guards against a foreign prompt where the connection that brought the handle is not used again, because
/// the engine answers twice.
#[test]
fn a_handle_is_not_used_once_an_engine_that_answered_twice_has_started_again() {
    let spec = FleetSpec {
        gateways: 2,
        decode_engines: 2,
        duplicators: true,
        ..spec(Duration::from_millis(40))
    };
    with_fleet(spec.clone(), async |fleet| {
        keep_handles_longer(fleet, &spec).await;
        let [prefill, rejecting, full] = [0, 1, 2].map(|n| fleet.backends[n].clone());
        let moment = Moment::BeforeNext;
        let twice = Duplicate { kind: CallKind::Prefill, moment, with_id: true };
        fleet.duplicators[0].set(&[twice]);
        for attempt in ["s1", "s2"] {
            assert_whole(send(fleet, 0, attempt)).await;
        }
        assert_ne!(fleet.duplicators[0].deliveries().len(), 0, "no second answer was sent");
        fleet.duplicators[0].set(&[]);
        // The engine was left alone after its displaced answer.
        compio::time::sleep(2 * SECOND).await;
        rejecting.set_fault(Fault::Changes);
        full.set_fault(Fault::Full);
        let first = send(fleet, 0, "a");
        let is_rejected = || rejecting.observed.borrow().arrivals.contains_key("a");
        assert!(eventually(SECOND, is_rejected).await, "no run was rejected");
        assert_eq!(prefills(&prefill, "a"), 1);
        prefill.restart_unregistered().await;
        // Names that the handle of the first may have.
        let names = ["b1", "b2", "b3", "b4"];
        let tasks = names.map(|attempt| send(fleet, 1, attempt));
        let are_read = || names.iter().all(|attempt| prefills(&prefill, attempt) == 1);
        assert!(eventually(SECOND, are_read).await, "not all prefills have ended");
        full.set_fault(Fault::None);
        assert_whole(first).await;
        drop(tasks);
        assert_own(fleet);
    });
}
