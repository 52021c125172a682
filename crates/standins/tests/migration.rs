//! Live migration of streams over real sockets: a run moves from an engine that is about to run out
//! of memory to another one, also when an engine or a caller fails in between.

use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use ebonyloft_router::catalog::Stage;
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::{BackendServer, BackendSpec, Fault};
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::peer::Peer;
use ebonyloft_standins::fleet::unframed::Ending;
use ebonyloft_standins::fleet::{Fleet, FleetSpec, ONCE_SUMMARY, SUMMARY, config, with_fleet};
use ebonyloftd::gateway::pool::ExchangeError;
use ebonyloftd::settings::MigrationSetting;

const SECOND: Duration = Duration::from_secs(1);
const EVENTS: u64 = 40;
const ATTEMPT: &str = "s1";

/// Two decode engines and a gateway. Copies expire only long after a test has ended.
fn spec(migration: MigrationSetting) -> FleetSpec {
    let runner = BackendSpec {
        event_interval: Duration::from_millis(25),
        event_count: EVENTS,
        handle_ttl: Duration::from_secs(30),
        ..BackendSpec::default()
    };
    FleetSpec { gateways: 1, plain_servers: 0, runner, migration, ..FleetSpec::default() }
}

/// A stream whose engine is about to run out of memory.
struct Stream {
    task: Task,
    source: Rc<BackendServer>,
    target: Rc<BackendServer>,
}

type Task = JoinHandle<Result<Answer, ExchangeError>>;

/// Starts a peer of the gateway, and sends a request in a task of its own.
async fn send(fleet: &mut Fleet, path: &str) -> (Rc<Peer>, Task) {
    let peer = fleet.add_peer(10).await;
    compio::runtime::spawn(peer.clone().send_gossip(fleet.gateways[0].ip)).detach();
    let caller = fleet.caller(0);
    let request = caller.summary_request(path, ATTEMPT);
    (peer, compio::runtime::spawn(async move { caller.send(request).await }))
}

/// Sends a request, and once it runs, sets the engines' faults and lets a peer report that the
/// memory of the run's engine is nearly used up.
async fn begin(fleet: &mut Fleet, path: &str, source: Fault, target: Fault) -> Stream {
    let (peer, task) = send(fleet, path).await;
    let (at, other) = run_engines(fleet).await;
    at.set_fault(source);
    other.set_fault(target);
    fill(&peer, &at);
    Stream { task, source: at, target: other }
}

/// The decode engine that runs the request, and the other one.
async fn run_engines(fleet: &Fleet) -> (Rc<BackendServer>, Rc<BackendServer>) {
    let decode = &fleet.backends[1..3];
    let at = || decode.iter().position(|r| r.run_count(ATTEMPT) > 0);
    assert!(eventually(SECOND, || at().is_some()).await, "the request does not run");
    let at = at().expect("checked");
    (decode[at].clone(), decode[1 - at].clone())
}

fn fill(peer: &Peer, engine: &BackendServer) {
    fill_with(peer, engine, 0);
}

/// Makes the peer report `count` requests that take nearly all memory of an engine.
fn fill_with(peer: &Peer, engine: &BackendServer, count: u32) {
    let memory = MemoryForecast::constant(BackendSpec::default().memory_tokens - 1_000);
    let load = EngineLoad { memory, count, ..EngineLoad::default() };
    peer.set_load(&engine.server.borrow().id, load);
}

fn in_use(fleet: &Fleet) -> usize {
    fleet.backends[1..3].iter().map(|r| r.reservation_count() + r.running() as usize).sum()
}

fn moves(engine: &BackendServer, last: bool) -> usize {
    engine.observed.borrow().moves.iter().filter(|(_, l)| *l == last).count()
}

fn continued(engine: &BackendServer) -> usize {
    engine.observed.borrow().continued.get(ATTEMPT).copied().unwrap_or(0)
}

/// Waits for the answer; all of its events must arrive, each of them once.
async fn assert_complete(fleet: &Fleet, task: Task) {
    let answer = task.await.expect("the caller's task").expect("an answer");
    assert!(answer.complete, "{:?}", answer.events());
    let event = |id| format!("id: {id}\ndata: {ATTEMPT} tokens {id} v1\n\n");
    let expected: String = (1..=EVENTS).map(event).collect();
    assert_eq!(String::from_utf8_lossy(&answer.body), expected);
    assert!(eventually(SECOND, || in_use(fleet) == 0).await, "{} reserved", in_use(fleet));
}

/// Guards against events that are sent twice or left out, against a second run or prefill, and
/// against a continuation that the retry budget does not count.
#[test]
fn a_run_continues_at_another_engine_within_the_response() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let Stream { task, source, target } = begin(fleet, SUMMARY, Fault::None, Fault::None).await;
        assert_complete(fleet, task).await;
        assert_eq!((moves(&source, false), moves(&source, true)), (1, 1));
        assert_eq!((fleet.run_count(ATTEMPT), continued(&target)), (1, 1));
        assert_eq!(fleet.backends[0].observed.borrow().prefill_count, 1);
        assert_eq!(fleet.retry_count(), 1);
        let page = fleet.metrics(0).await;
        assert!(page.contains("ebonyloft_gateway_migration_moved 1"), "{page}");
        assert!(page.contains("ebonyloft_gateway_extra_granted 1"), "{page}");
    });
}

/// Guards against a run that ends or is moved again and again when the target has no memory.
#[test]
fn a_run_goes_on_when_its_copy_is_refused() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let Stream { task, source, target } = begin(fleet, SUMMARY, Fault::None, Fault::Full).await;
        assert_complete(fleet, task).await;
        // The stream takes a second; after a refusal the engine is left alone for as long.
        assert!((1..=2).contains(&moves(&source, false)), "{} calls", moves(&source, false));
        assert_eq!(moves(&source, true), 0);
        assert_eq!((fleet.run_count(ATTEMPT), continued(&target)), (1, 0));
    });
}

/// Guards against a copy that is kept at the target after the gateway has given up on it.
#[test]
fn a_copy_that_is_complete_too_late_is_freed() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let stream = begin(fleet, SUMMARY, Fault::CopiesLate, Fault::None).await;
        assert_complete(fleet, stream.task).await;
        assert!(moves(&stream.source, false) > 0);
        assert_eq!((moves(&stream.source, true), continued(&stream.target)), (0, 0));
    });
}

/// Guards against a stream that is held up by a call without an answer.
#[test]
fn a_run_goes_on_when_the_first_call_is_not_answered() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let stream = begin(fleet, SUMMARY, Fault::CopiesSilently, Fault::None).await;
        let answer = stream.task.await.expect("the caller's task").expect("an answer");
        assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
        assert!(moves(&stream.source, false) > 0);
        assert_eq!((fleet.run_count(ATTEMPT), continued(&stream.target)), (1, 0));
    });
}

/// Guards against a run that is lost, or runs at two engines, when it has been stopped and nothing
/// more is known. The copy is used if it is still kept, else the prompt is processed again.
#[test]
fn a_run_is_resumed_when_the_last_call_is_not_answered() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let stream = begin(fleet, SUMMARY, Fault::StopsSilently, Fault::None).await;
        assert_complete(fleet, stream.task).await;
        assert_eq!(moves(&stream.source, true), 1);
        let again = fleet.backends[0].observed.borrow().prefill_count - 1;
        assert_eq!(continued(&stream.target) as u64 + again, 1);
    });
}

/// Guards against taking the end of a stopped run's stream for that of the answer when it comes after a whole
/// event, without length or chunks.
#[test]
fn a_run_without_framing_is_resumed_when_the_last_call_is_not_answered() {
    let spec = FleetSpec { unframed: true, ..spec(MigrationSetting::On) };
    with_fleet(spec, async |fleet| {
        for relay in &fleet.relays {
            relay.end_requests(Ending { whole_events: true, ..Ending::default() });
        }
        let stream = begin(fleet, SUMMARY, Fault::StopsSilently, Fault::None).await;
        let answer = stream.task.await.expect("the caller's task").expect("an answer");
        assert_eq!(moves(&stream.source, true), 1);
        assert!(answer.complete, "{:?}", answer.events());
        assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
    });
}

/// Guards against a run that is lost when the source keeps its memory because the target has none.
#[test]
fn a_run_continues_at_its_engine_when_that_keeps_the_memory() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let stream = begin(fleet, SUMMARY, Fault::KeepsMemory, Fault::None).await;
        assert_complete(fleet, stream.task).await;
        assert!(continued(&stream.source) >= 1);
        assert_eq!((fleet.run_count(ATTEMPT), continued(&stream.target)), (1, 0));
        assert_eq!(fleet.backends[0].observed.borrow().prefill_count, 1);
    });
}

/// Guards against a run that goes on from what a later life of its engine keeps under the same handle.
#[test]
fn kept_memory_is_not_used_once_its_engine_has_started_again() {
    let mut spec = spec(MigrationSetting::On);
    spec.runner.event_interval *= 3;
    with_fleet(spec, async |fleet| {
        let stream = begin(fleet, SUMMARY, Fault::KeepsMemory, Fault::None).await;
        let source = stream.source.clone();
        assert!(eventually(SECOND, || moves(&source, true) == 1).await, "no last call");
        // The run stops after its next event.
        source.server.borrow_mut().id.born += 1;
        fleet.store.register(&source.server.borrow());
        let answer = stream.task.await.expect("the caller's task").expect("an answer");
        assert!(answer.complete, "{:?}", answer.events());
        assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
        assert_eq!(continued(&source), 0);
    });
}

/// Guards against a response that breaks off when the target crashes before or while it continues
/// the run.
#[test]
fn a_run_is_resumed_when_the_target_dies_after_the_copy() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let stream = begin(fleet, SUMMARY, Fault::None, Fault::None).await;
        let target = stream.target.clone();
        assert!(eventually(SECOND, || target.reservation_count() > 0).await, "no copy");
        target.crash("after the copy");
        assert_complete(fleet, stream.task).await;
    });
}

/// Guards against a response that breaks off, or has events twice, when the engine crashes with a
/// copy of the run elsewhere.
#[test]
fn a_run_is_resumed_when_its_engine_dies_between_the_calls() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let stream = begin(fleet, SUMMARY, Fault::CrashesAfterCopy, Fault::None).await;
        let source = stream.source.clone();
        assert!(eventually(SECOND, || !source.is_up()).await, "no crash");
        assert_complete(fleet, stream.task).await;
        let again = fleet.backends[0].observed.borrow().prefill_count - 1;
        assert_eq!(continued(&stream.target) as u64 + again, 1);
    });
}

/// Guards against copies that no one uses or frees.
#[test]
fn nothing_stays_reserved_when_the_caller_disconnects_during_a_move() {
    for fault in [Fault::CopiesLate, Fault::StopsSilently] {
        with_fleet(spec(MigrationSetting::On), async |fleet| {
            let peer = fleet.add_peer(10).await;
            compio::runtime::spawn(peer.clone().send_gossip(fleet.gateways[0].ip)).detach();
            let caller = fleet.caller(0);
            let stream = caller.send_unread(caller.summary_request(SUMMARY, ATTEMPT)).await;
            let (source, target) = run_engines(fleet).await;
            source.set_fault(fault);
            fill(&peer, &source);
            let is_last = fault == Fault::StopsSilently;
            assert!(eventually(SECOND, || moves(&source, is_last) > 0).await, "no call");
            assert!(eventually(SECOND, || target.reservation_count() > 0).await, "no copy");
            drop(stream);
            assert!(eventually(SECOND, || in_use(fleet) == 0).await, "{fault:?} reserved");
        });
    }
}

/// Guards against a request that may run only once being sent to a second engine.
#[test]
fn a_stream_that_is_not_resumable_never_moves() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let stream = begin(fleet, ONCE_SUMMARY, Fault::None, Fault::None).await;
        assert_complete(fleet, stream.task).await;
        assert_eq!(moves(&stream.source, false), 0);
        assert_eq!(fleet.run_count(ATTEMPT), 1);
    });
}

/// Guards against two gateways that move runs of one engine at the same time.
#[test]
fn a_gateway_with_fewer_requests_at_the_engine_moves_none() {
    with_fleet(spec(MigrationSetting::On), async |fleet| {
        let (peer, task) = send(fleet, SUMMARY).await;
        let (source, _) = run_engines(fleet).await;
        fill_with(&peer, &source, 2);
        assert_complete(fleet, task).await;
        assert_eq!(moves(&source, false), 0);
    });
}

/// Guards against a run that is moved to and fro.
#[test]
fn a_run_is_moved_twice_at_most() {
    let mut spec = spec(MigrationSetting::On);
    spec.runner.event_interval *= 3;
    with_fleet(spec, async |fleet| {
        let (peer, task) = send(fleet, SUMMARY).await;
        let (mut source, mut target) = run_engines(fleet).await;
        for _ in 0..2 {
            peer.set_load(&target.server.borrow().id, EngineLoad::default());
            fill(&peer, &source);
            let is_moved = || source.running() == 0 && target.running() == 1;
            assert!(eventually(SECOND, is_moved).await, "the run was not moved");
            (source, target) = (target, source);
        }
        peer.set_load(&target.server.borrow().id, EngineLoad::default());
        fill(&peer, &source);
        assert_complete(fleet, task).await;
        assert_eq!(moves(&source, true) + moves(&target, true), 2);
        assert_eq!((fleet.run_count(ATTEMPT), fleet.retry_count()), (1, 2));
    });
}

/// Guards against migrations where the deployment's configuration does not call for them.
#[test]
fn by_default_runs_move_only_where_requests_differ_in_priority() {
    for is_uneven in [false, true] {
        with_fleet(spec(MigrationSetting::Auto), async |fleet| {
            let mut next = config(2, &spec(MigrationSetting::Auto));
            next.routes[0].priority += u8::from(is_uneven);
            fleet.configure(&next);
            compio::time::sleep(SECOND / 2).await;
            let stream = begin(fleet, SUMMARY, Fault::None, Fault::None).await;
            assert_complete(fleet, stream.task).await;
            assert_eq!(moves(&stream.source, true), usize::from(is_uneven));
        });
    }
}

/// Starts decode engines of these versions and a run at the first of them, which is about to run out of
/// memory.
async fn begin_at_first(fleet: &mut Fleet, versions: &[&str]) -> (Rc<BackendServer>, Task) {
    let spec = spec(MigrationSetting::On).runner;
    for version in versions {
        let spec = BackendSpec { version: (*version).to_owned(), ..spec.clone() };
        let engine = fleet.add_backend(Some(Stage::Decode), &spec).await;
        engine.set_fault(Fault::Full);
    }
    fleet.backends[1].set_fault(Fault::None);
    compio::time::sleep(SECOND).await;
    let (peer, task) = send(fleet, SUMMARY).await;
    let source = fleet.backends[1].clone();
    assert!(eventually(SECOND, || source.run_count(ATTEMPT) > 0).await, "the request does not run");
    fleet.backends.iter().for_each(|engine| engine.set_fault(Fault::None));
    fill(&peer, &source);
    (source, task)
}

/// Guards against a run being moved to an engine of another version, whose copy would be continued.
#[test]
fn a_run_is_moved_only_to_an_engine_of_its_version() {
    let spec = FleetSpec { decode_engines: 0, ..spec(MigrationSetting::On) };
    with_fleet(spec.clone(), async |fleet| {
        let (source, task) = begin_at_first(fleet, &["v1", "v2"]).await;
        assert_complete(fleet, task).await;
        assert_eq!(moves(&source, false), 0);
    });
    with_fleet(spec, async |fleet| {
        let (source, task) = begin_at_first(fleet, &["v1", "v2", "v2", "v1"]).await;
        assert_complete(fleet, task).await;
        assert_eq!(moves(&source, true), 1);
        assert_eq!(continued(&fleet.backends[4]), 1);
    });
}
