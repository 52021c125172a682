//! Admission to model engines: which engine is asked, and which requests wait or are refused.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::answer_length::{AnswerLengths, TypicalRequest};
use ebonyloft_router::catalog::{Engine, Server, ServerId, Stage};
use ebonyloft_router::demand::Demand;
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::engines::{
    AdmissionContext, AdmissionDecision, EngineAdmission, FULL_BACKOFF, REJECT_BACKOFF, Shortage,
    Ticket,
};
use ebonyloft_router::fair_share::ShareKey;
use ebonyloft_router::forecast::{MARGIN_SIGMAS, MemoryForecast};
use ebonyloft_router::memory_threshold::{FREE_SCARCE, FREE_TIGHT, THRESHOLD_MAX, value_threshold};
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::urgency::UrgencyContext;

use self::fleet::{engine, server};

const NOW: Timestamp = Timestamp::from_millis(100_000);

fn spec() -> Engine {
    engine(12, 20_000)
}

fn servers(n: usize) -> Vec<Server> {
    (0..n).map(|i| server(i, 12, Some(Stage::Decode))).collect()
}

fn id(i: usize) -> ServerId {
    ServerId::new(format!("i-{i}"), 0)
}

fn after(ms: u64) -> Timestamp {
    NOW.after(Duration::from_millis(ms))
}

/// A request that needs 4,000 tokens and is in time with its first event within 900 ms.
fn need() -> Demand {
    let (first_by, ends_at) = (after(900), after(14_000));
    Demand {
        memory: MemoryForecast::constant(4_000),
        read_time: Duration::ZERO,
        first_by,
        ends_at,
        value: 1.0,
        begun: false,
        precedence: Precedence::default(),
    }
}

fn advise(
    engines: &EngineAdmission,
    at: Timestamp,
    ticket: Ticket,
    servers: &[Server],
) -> AdmissionDecision {
    advise_with(
        engines,
        at,
        ticket,
        at.after(Duration::from_millis(100)),
        servers,
        EngineLoad::default(),
    )
}

/// The same with the time at which prefill would end, and the peers' load at each engine.
fn advise_with(
    engines: &EngineAdmission,
    at: Timestamp,
    ticket: Ticket,
    read_at: Timestamp,
    servers: &[Server],
    peers: EngineLoad,
) -> AdmissionDecision {
    let context = AdmissionContext {
        engine: &spec(),
        read_at,
        gateways: 4,
        urgency: UrgencyContext::default(),
    };
    engines.decide(at, ticket, &context, servers.iter(), |_| peers, || 0.5)
}

/// Decides on a prompt that an idle engine processes in `read_ms`, behind a queue of `queue_ms`.
fn decide_on_prompt(first_by: Timestamp, read_ms: u64, queue_ms: u64) -> AdmissionDecision {
    let servers = servers(2);
    let mut engines = EngineAdmission::default();
    let read_time = Duration::from_millis(read_ms);
    let read_at = after(read_ms + queue_ms);
    let ticket = engines.join(NOW, Demand { first_by, read_time, ..need() }, read_at);
    advise_with(&engines, NOW, ticket, read_at, &servers, EngineLoad::default())
}

/// A late request may wait for a prefill queue, and its own prompt is no part of that.
#[test]
fn the_own_prompt_is_no_queue() {
    let asks = |decision| matches!(decision, AdmissionDecision::Ask(_));
    assert!(asks(decide_on_prompt(NOW, 700, 100)));
    assert!(!asks(decide_on_prompt(NOW, 400, 400)), "a queue of 400 ms");
    assert!(asks(decide_on_prompt(after(900), 900, 100)));
}

/// A prompt that is too long to be in time waits for a queue that ends while its caller waits, and
/// is refused at once behind a longer one or where anything else is missing.
#[test]
fn a_prompt_too_long_to_be_in_time_waits_only_for_a_short_queue() {
    let waits = decide_on_prompt(after(900), 900, 800);
    assert!(matches!(waits, AdmissionDecision::Wait(_)), "{waits:?}");
    let refused = decide_on_prompt(after(900), 900, 1_600);
    assert!(matches!(refused, AdmissionDecision::Refuse(_, Shortage::Reader)), "{refused:?}");
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let read_time = Duration::from_millis(900);
    let ticket = engines.join(NOW, Demand { read_time, ..need() }, after(900));
    let full =
        EngineLoad { memory: MemoryForecast::constant(17_000), count: 4, ..EngineLoad::default() };
    let decision = advise_with(&engines, NOW, ticket, after(900), &servers, full);
    assert!(matches!(decision, AdmissionDecision::Refuse(..)), "{decision:?}");
    engines.join(NOW, need(), after(100));
    let decision = advise_with(&engines, NOW, ticket, after(900), &servers, EngineLoad::default());
    assert!(!matches!(decision, AdmissionDecision::Ask(_)), "one that can be in time goes first");
}

#[test]
fn two_simultaneous_requests_are_both_admitted_when_there_is_room() {
    let servers = servers(2);
    let mut engines = EngineAdmission::default();
    let first = engines.join(NOW, need(), after(100));
    let second = engines.join(NOW, need(), after(100));
    assert!(matches!(advise(&engines, NOW, first, &servers), AdmissionDecision::Ask(_)));
    assert!(matches!(advise(&engines, NOW, second, &servers), AdmissionDecision::Wait(_)));
    engines.leave(first);
    assert!(matches!(advise(&engines, NOW, second, &servers), AdmissionDecision::Ask(_)));
}

#[test]
fn the_engine_with_the_most_free_memory_is_asked() {
    let servers = servers(3);
    let mut engines = EngineAdmission::default();
    engines.on_reserved(&id(0), MemoryForecast::constant(12_000));
    engines.on_reserved(&id(2), MemoryForecast::constant(8_000));
    let ticket = engines.join(NOW, need(), after(100));
    assert_eq!(advise(&engines, NOW, ticket, &servers), AdmissionDecision::Ask(id(1)));
}

#[test]
fn the_load_of_peers_counts() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let ticket = engines.join(NOW, need(), after(100));
    let full =
        EngineLoad { memory: MemoryForecast::constant(17_000), count: 4, ..EngineLoad::default() };
    let advice = advise_with(&engines, NOW, ticket, after(100), &servers, full);
    assert!(matches!(advice, AdmissionDecision::Wait(_)));
}

#[test]
fn the_request_with_the_earliest_goal_goes_first() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let relaxed = engines.join(NOW, need(), after(100));
    let pressed = Demand { first_by: after(600), ..need() };
    let pressed = engines.join(NOW, pressed, after(100));
    assert!(matches!(advise(&engines, NOW, pressed, &servers), AdmissionDecision::Ask(_)));
    assert!(matches!(advise(&engines, NOW, relaxed, &servers), AdmissionDecision::Wait(_)));
}

#[test]
fn a_late_request_goes_behind_all_that_can_be_in_time() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let late = Demand { first_by: NOW, ..need() };
    let late = engines.join(NOW, late, after(100));
    let fresh = engines.join(NOW, need(), after(100));
    assert!(matches!(advise(&engines, NOW, fresh, &servers), AdmissionDecision::Ask(_)));
    assert!(matches!(advise(&engines, NOW, late, &servers), AdmissionDecision::Wait(_)));
}

/// A request of an account over its share took the next free memory because its goal was earlier.
#[test]
fn a_request_over_its_share_goes_behind_others_in_time_and_before_late_ones() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let over = Precedence { over_share: true, ..Precedence::default() };
    let large = Demand { precedence: over, first_by: after(500), ..need() };
    let large = engines.join(NOW, large, after(100));
    let late = engines.join(NOW, Demand { first_by: NOW, ..need() }, after(100));
    let small = engines.join(NOW, need(), after(100));
    let asks = |engines: &EngineAdmission, ticket| {
        matches!(advise(engines, NOW, ticket, &servers), AdmissionDecision::Ask(_))
    };
    assert!(asks(&engines, small) && !asks(&engines, large) && !asks(&engines, late));
    engines.leave(small);
    assert!(asks(&engines, large) && !asks(&engines, late));
}

/// Requests kept the precedence that they had on arrival while their account's use changed.
#[test]
fn a_waiting_request_has_the_current_precedence_of_its_account() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let account = |name| ShareKey::new("llm", Some(name));
    let large = engines.join(NOW, Demand { first_by: after(500), ..need() }, after(100));
    engines.set_claim(large, account("large"), 1.0);
    let small = engines.join(NOW, need(), after(100));
    engines.set_claim(small, account("small"), 1.0);
    let asks = |engines: &EngineAdmission, ticket| {
        matches!(advise(engines, NOW, ticket, &servers), AdmissionDecision::Ask(_))
    };
    assert!(asks(&engines, large) && !asks(&engines, small));
    engines.update_over_share(|key, _| key == account("large"));
    assert!(asks(&engines, small) && !asks(&engines, large));
    engines.update_over_share(|_, _| false);
    assert!(asks(&engines, large) && !asks(&engines, small));
}

#[test]
fn a_request_whose_prefill_would_end_too_late_is_refused_at_once() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let ticket = engines.join(NOW, need(), after(2_000));
    let advice = advise_with(&engines, NOW, ticket, after(2_000), &servers, EngineLoad::default());
    let AdmissionDecision::Refuse(at, Shortage::Reader) = advice else { panic!("{advice:?}") };
    assert!(at > after(2_000));
}

#[test]
fn a_request_that_waits_in_vain_is_refused_before_its_goal() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    engines.on_reserved(&id(0), MemoryForecast::constant(18_000));
    let ticket = engines.join(NOW, need(), after(100));
    assert!(matches!(advise(&engines, NOW, ticket, &servers), AdmissionDecision::Wait(_)));
    let advice = advise(&engines, after(700), ticket, &servers);
    assert!(matches!(advice, AdmissionDecision::Refuse(_, Shortage::Memory)), "{advice:?}");
}

#[test]
fn with_many_requests_ahead_and_few_completions_a_request_is_refused() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    engines.on_reserved(&id(0), MemoryForecast::constant(18_000));
    let mut last = engines.join(NOW, need(), after(100));
    for _ in 0..5 {
        last = engines.join(NOW, need(), after(100));
    }
    assert!(matches!(advise(&engines, NOW, last, &servers), AdmissionDecision::Refuse(..)));
}

#[test]
fn a_full_engine_is_not_asked_until_an_answer_ends_there() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    engines.on_reserved(&id(0), MemoryForecast::constant(100));
    engines.on_full(NOW, &id(0));
    let ticket = engines.join(NOW, need(), after(100));
    assert!(matches!(advise(&engines, NOW, ticket, &servers), AdmissionDecision::Wait(_)));
    engines.on_released(NOW, &id(0), MemoryForecast::constant(100), true);
    assert!(matches!(advise(&engines, NOW, ticket, &servers), AdmissionDecision::Ask(_)));
}

#[test]
fn a_full_engine_is_asked_again_after_its_backoff() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    engines.on_full(NOW, &id(0));
    let ticket = engines.join(NOW, need(), after(100));
    let later = NOW.after(FULL_BACKOFF);
    assert!(matches!(advise(&engines, later, ticket, &servers), AdmissionDecision::Ask(_)));
}

#[test]
fn the_backoff_grows_with_each_rejected_reservation() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let long = Demand { first_by: after(60_000), ..need() };
    let ticket = engines.join(NOW, long, after(100));
    engines.rejected(NOW, &id(0));
    let once = NOW.after(REJECT_BACKOFF);
    assert!(matches!(advise(&engines, once, ticket, &servers), AdmissionDecision::Ask(_)));
    engines.rejected(once, &id(0));
    let again = once.after(REJECT_BACKOFF);
    assert!(matches!(advise(&engines, again, ticket, &servers), AdmissionDecision::Wait(_)));
    engines.on_accepted(&id(0));
    engines.rejected(after(10_000), &id(0));
    let later = after(10_000).after(REJECT_BACKOFF);
    assert!(matches!(advise(&engines, later, ticket, &servers), AdmissionDecision::Ask(_)));
}

#[test]
fn released_memory_is_free() {
    let mut engines = EngineAdmission::default();
    engines.on_reserved(&id(0), MemoryForecast::constant(4_000));
    engines.update_forecast(
        &id(0),
        MemoryForecast::constant(4_000),
        MemoryForecast::constant(4_700),
    );
    engines.on_prefill_sent(&id(1), 3_000);
    assert_eq!(engines.own_load(&id(0)).memory.peak(), 4_700);
    engines.on_prefill_ended(&id(1), 3_000);
    engines.on_released(NOW, &id(0), MemoryForecast::constant(4_700), true);
    assert!(engines.engine_loads().is_empty());
}

/// The name is reused by a new incarnation, an engine without any load.
#[test]
fn state_of_an_incarnation_does_not_apply_to_the_next() {
    let mut engines = EngineAdmission::default();
    let next = ServerId::new(id(0).name, 7);
    engines.on_reserved(&id(0), MemoryForecast::constant(18_000));
    engines.on_fault(NOW, &id(0));
    let servers = [Server { id: next.clone(), ..servers(1).remove(0) }];
    let ticket = engines.join(NOW, need(), after(100));
    assert_eq!(advise(&engines, NOW, ticket, &servers), AdmissionDecision::Ask(next.clone()));
    // Once the answers of the old incarnation have ended, its state is dropped.
    engines.on_released(NOW, &id(0), MemoryForecast::constant(18_000), false);
    engines.retain(|alive| *alive == next);
    assert!(engines.engine_loads().is_empty());
    assert!(!engines.faulty(NOW, &id(0)));
}

#[test]
fn the_value_threshold_rises_as_memory_runs_out() {
    assert_eq!(value_threshold(1.0), 0.0);
    assert_eq!(value_threshold(FREE_SCARCE), 0.0);
    assert!(value_threshold((FREE_SCARCE + FREE_TIGHT) / 2.0) > 0.4 * THRESHOLD_MAX);
    assert_eq!(value_threshold(FREE_TIGHT), THRESHOLD_MAX);
    assert_eq!(value_threshold(0.0), THRESHOLD_MAX);
}

/// Peers' load at 20 engines of 20,000 tokens, of which only one has room: 5 % of all memory is
/// free.
fn scarce(s: &ServerId) -> EngineLoad {
    match *s == id(7) {
        true => EngineLoad {
            memory: MemoryForecast::constant(12_000),
            count: 3,
            ..EngineLoad::default()
        },
        false => EngineLoad {
            memory: MemoryForecast::constant(19_800),
            count: 6,
            ..EngineLoad::default()
        },
    }
}

/// The decision for a request while memory is scarce.
fn advise_scarce(engines: &EngineAdmission, ticket: Ticket) -> AdmissionDecision {
    let context = AdmissionContext {
        engine: &spec(),
        read_at: after(100),
        gateways: 4,
        urgency: UrgencyContext::default(),
    };
    engines.decide(NOW, ticket, &context, servers(20).iter(), scarce, || 0.5)
}

/// A request of low value leaves scarce memory to others.
#[test]
fn scarce_memory_is_left_to_requests_of_higher_value() {
    let advice = |gives: f64, late: bool, begun: bool| {
        let mut engines = EngineAdmission::default();
        let first_by = if late { NOW } else { after(900) };
        let need = Demand { value: gives, begun, first_by, ..need() };
        let ticket = engines.join(NOW, need, after(100));
        advise_scarce(&engines, ticket)
    };
    assert_eq!(advice(2.5, false, false), AdmissionDecision::Ask(id(7)));
    assert!(matches!(advice(0.5, false, false), AdmissionDecision::Wait(_)));
    // A late answer is worth less; an answer that has begun must continue.
    assert!(matches!(advice(2.5, true, false), AdmissionDecision::Wait(_)));
    assert_eq!(advice(0.5, false, true), AdmissionDecision::Ask(id(7)));
}

/// A waiting request below the value threshold must not make others wait.
#[test]
fn a_request_below_the_threshold_does_not_block_others() {
    let mut engines = EngineAdmission::default();
    engines.join(NOW, Demand { value: 0.3, first_by: after(800), ..need() }, after(100));
    let second = engines.join(NOW, Demand { value: 2.5, ..need() }, after(100));
    assert_eq!(advise_scarce(&engines, second), AdmissionDecision::Ask(id(7)));
}

#[test]
fn a_shorter_answer_has_a_higher_value_for_its_memory() {
    let (lengths, usual) = (AnswerLengths::default(), TypicalRequest::default());
    let gives = |hint: u64, prompt: u64| usual.value(&lengths.expect(2_040, Some(hint)), prompt);
    let middle = gives(740, 3_200);
    assert!((0.9..1.15).contains(&middle), "{middle}");
    assert!(gives(200, 3_200) > 1.5 * middle);
    assert!(gives(2_000, 3_200) < 0.75 * middle);
    assert!(gives(740, 1_000) > gives(740, 6_000));
}

fn lend(
    engines: &EngineAdmission,
    need: &Demand,
    read_ms: u64,
    servers: &[Server],
) -> Option<ServerId> {
    let context = AdmissionContext {
        engine: &spec(),
        read_at: after(read_ms),
        gateways: 4,
        urgency: UrgencyContext::default(),
    };
    engines.grant(NOW, need, &context, servers.iter(), |_| EngineLoad::default(), || 0.5)
}

/// An answer that may outgrow an engine's memory is admitted where nothing else runs.
#[test]
fn an_idle_engine_takes_what_it_can_hold() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let growth = AnswerLengths::default().expect(20_000, None);
    let long = Demand { memory: growth.memory_forecast(15_000, 0), ..need() };
    assert!(long.memory.free_tokens(spec().tokens, MARGIN_SIGMAS) < 0);
    let ticket = engines.join(NOW, long, after(100));
    assert_eq!(advise(&engines, NOW, ticket, &servers), AdmissionDecision::Ask(id(0)));
    engines.on_reserved(&id(0), MemoryForecast::constant(1_000));
    assert!(!matches!(advise(&engines, NOW, ticket, &servers), AdmissionDecision::Ask(_)));
}

/// A request that overflows from another zone is admitted where no local request waits for the
/// memory.
#[test]
fn memory_is_granted_to_other_zones_while_no_local_request_waits() {
    let servers = servers(2);
    let mut engines = EngineAdmission::default();
    assert!(lend(&engines, &need(), 100, &servers).is_some());
    assert_eq!(lend(&engines, &need(), 800, &servers), None, "prefill would end too late");
    let ticket = engines.join(NOW, need(), after(100));
    assert_eq!(lend(&engines, &need(), 100, &servers), None, "a local request waits for it");
    engines.leave(ticket);
    engines.on_reserved(&id(0), MemoryForecast::constant(20_000));
    engines.on_reserved(&id(1), MemoryForecast::constant(17_000));
    assert_eq!(lend(&engines, &need(), 100, &servers), None, "no memory is free");
}

/// For scarce memory a request of another zone needs the same value as a local one.
#[test]
fn scarce_memory_is_not_granted_to_other_zones_below_the_threshold() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    engines.on_reserved(&id(0), MemoryForecast::constant(19_300));
    let small = Demand { memory: MemoryForecast::constant(500), ..need() };
    assert_eq!(lend(&engines, &Demand { value: 0.5, ..small }, 100, &servers), None);
    assert!(lend(&engines, &Demand { value: THRESHOLD_MAX, ..small }, 100, &servers).is_some());
}

#[test]
fn a_zone_is_short_without_free_memory_or_prefill_engine() {
    let servers = servers(1);
    let mut engines = EngineAdmission::default();
    let short = |engines: &EngineAdmission, read_ms: u64| {
        let context = AdmissionContext {
            engine: &spec(),
            read_at: after(read_ms),
            gateways: 4,
            urgency: UrgencyContext::default(),
        };
        engines.is_short(NOW, &need(), &context, servers.iter(), |_| EngineLoad::default())
    };
    assert!(!short(&engines, 100));
    assert!(short(&engines, 800), "no prefill engine in time");
    engines.on_reserved(&id(0), MemoryForecast::constant(17_000));
    assert!(short(&engines, 100), "no free memory");
}

/// Memory fragments smaller than a request don't count.
#[test]
fn capacity_is_counted_by_engine() {
    let servers = servers(3);
    let servers: Vec<&Server> = servers.iter().collect();
    let mut engines = EngineAdmission::default();
    let places = |engines: &EngineAdmission| {
        engines.free_capacity(
            NOW,
            &servers,
            &spec(),
            (MemoryForecast::constant(4_000), MARGIN_SIGMAS),
            |_| EngineLoad::default(),
        )
    };
    assert_eq!(places(&engines), 15);
    for i in 0..3 {
        engines.on_reserved(&id(i), MemoryForecast::constant(17_000));
    }
    assert_eq!(places(&engines), 0);
    engines.on_released(NOW, &id(0), MemoryForecast::constant(17_000), true);
    assert_eq!(places(&engines), 5);
}
