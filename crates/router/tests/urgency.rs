//! Urgency levels: which requests are admitted first, and what engines are told of them.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::accounts::{Account, Accounts};
use ebonyloft_router::admission_queue::{AdmissionQueue, QueueDecision};
use ebonyloft_router::catalog::{Config, Kind, Route, Server, ServerId, Split, Stage};
use ebonyloft_router::demand::Demand;
use ebonyloft_router::engine_load::{EngineLoad, Prompt};
use ebonyloft_router::engines::{AdmissionContext, AdmissionDecision, EngineAdmission, Ticket};
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::load_report::{LoadReport, LoadReports};
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::prefill::{self, ChoiceContext, SpeedFactors};
use ebonyloft_router::prefill_speed::PrefillSpeed;
use ebonyloft_router::urgency::arrivals::{self, Arrivals};
use ebonyloft_router::urgency::share::UrgentShare;
use ebonyloft_router::urgency::{SendState, UrgencyContext, UrgencyLevels};
use ebonyloft_router::zones::{ServiceCapacity, UrgentCapacity, ZoneSummaries, ZoneSummary};

use self::fleet::{engine, server};

const NOW: Timestamp = Timestamp::from_millis(100_000);
const URGENT: Precedence = Precedence { level: 0, over_share: false };
const URGENT_OVER: Precedence = Precedence { level: 0, over_share: true };
const ROUTINE: Precedence = Precedence { level: 1, over_share: false };

fn after(ms: u64) -> Timestamp {
    NOW.after(Duration::from_millis(ms))
}

fn route(name: &str, priority: u8, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "gate.example".into(),
        prefix: format!("/{name}/"),
        kind: Kind::Stream,
        timeout: Duration::from_secs(14),
        goal: Duration::from_millis(800),
        priority,
        split: vec![Split { service: service.into(), weight: 1 }],
        attempts: 1,
        resumable: false,
        public: false,
    }
}

fn levels(routes: &[(u8, &str)], accounts: &[Option<u8>]) -> UrgencyLevels {
    let routes = routes.iter().enumerate();
    let routes = routes.map(|(i, (priority, service))| route(&format!("r{i}"), *priority, service));
    let account = |priority: &Option<u8>| Account { priority: *priority, ..Account::default() };
    let accounts: Vec<Account> = accounts.iter().map(account).collect();
    let accounts = (!accounts.is_empty()).then(|| Accounts::from(accounts));
    let config = Config { version: 1, routes: routes.collect(), accounts, ..Config::default() };
    UrgencyLevels::of(&config, "llm")
}

/// A service without different priorities must be served as before.
#[test]
fn levels_are_the_distinct_priorities_of_a_service() {
    assert!(!levels(&[(0, "llm"), (2, "other")], &[]).is_enabled());
    assert!(!levels(&[(2, "llm"), (2, "llm")], &[None]).is_enabled());
    assert!(!levels(&[(2, "llm"), (2, "llm")], &[Some(1)]).is_enabled(), "one account priority");
    let two = levels(&[(2, "llm"), (0, "llm"), (2, "llm")], &[]);
    assert!(two.is_enabled());
    assert_eq!((two.level(None, 0), two.level(None, 2), two.least()), (0, 1, 1));
    let four = levels(&[(0, "llm"), (7, "llm")], &[None, Some(3)]);
    let of_routes = |account| (four.level(account, 0), four.level(account, 7));
    assert_eq!((of_routes(None), of_routes(Some(3)), four.least()), ((0, 3), (1, 2), 3));
    assert!(four.is_urgent(ROUTINE) && !two.is_urgent(ROUTINE));
}

/// Where all accounts have a priority of their own, urgent routes must not be served like routine
/// ones of the same account.
#[test]
fn routes_order_the_requests_of_accounts_with_equal_priority() {
    let one = levels(&[(0, "llm"), (2, "llm")], &[Some(1)]);
    assert_eq!((one.level(Some(1), 0), one.level(Some(1), 2)), (0, 1));
    let two = levels(&[(0, "llm"), (2, "llm")], &[Some(1), Some(2)]);
    let order = [(1, 0), (1, 2), (2, 0), (2, 2)].map(|(a, r)| two.level(Some(a), r));
    assert_eq!(order, [0, 1, 2, 3]);
}

/// Engines that are told nothing process an urgent prompt behind the queue of all others.
#[test]
fn engines_are_told_a_priority_by_level() {
    use SendState::{InTime, Late, Resumed};
    let two = levels(&[(0, "llm"), (2, "llm")], &[]);
    let three = levels(&[(0, "llm"), (1, "llm"), (2, "llm")], &[]);
    let all = |levels: &UrgencyLevels, state| -> Vec<Option<u8>> {
        (0..=levels.least()).map(|l| levels.engine_priority(l, state)).collect()
    };
    assert_eq!(all(&two, InTime), [Some(2), None]);
    assert_eq!(all(&three, InTime), [Some(2), Some(3), None]);
    assert_eq!(all(&two, Resumed), [Some(2), Some(3)]);
    assert_eq!(all(&two, Late), [Some(6), Some(7)]);
    // With one level the values are those of earlier versions.
    let one = levels(&[(1, "llm")], &[]);
    assert_eq!((all(&one, InTime), all(&one, Late)), (vec![None], vec![Some(7)]));
    assert_eq!(all(&one, Resumed), [Some(3)]);
}

fn servers(n: usize) -> Vec<Server> {
    (0..n).map(|i| server(i, 12, Some(Stage::Decode))).collect()
}

fn need(precedence: Precedence, goal_ms: u64) -> Demand {
    Demand {
        memory: MemoryForecast::constant(4_000),
        read_time: Duration::ZERO,
        first_by: after(goal_ms),
        ends_at: after(14_000),
        value: 1.0,
        begun: false,
        precedence,
    }
}

fn decide(
    engines: &EngineAdmission,
    ticket: Ticket,
    servers: &[Server],
    peer_load: impl Fn(&ServerId) -> EngineLoad,
) -> AdmissionDecision {
    decide_with(engines, ticket, servers, UrgencyContext::default(), peer_load)
}

/// The same with the demand by precedence.
fn decide_with(
    engines: &EngineAdmission,
    ticket: Ticket,
    servers: &[Server],
    urgency: UrgencyContext<'_>,
    peer_load: impl Fn(&ServerId) -> EngineLoad,
) -> AdmissionDecision {
    let spec = engine(12, 20_000);
    let context = AdmissionContext { engine: &spec, read_at: after(100), gateways: 4, urgency };
    engines.decide(NOW, ticket, &context, servers.iter(), peer_load, || 0.5)
}

fn idle(_: &ServerId) -> EngineLoad {
    EngineLoad::default()
}

/// Routine requests that arrived earlier or have an earlier goal must not hold up an urgent one.
#[test]
fn waiting_requests_are_ordered_by_precedence_then_by_goal() {
    let (servers, mut engines) = (servers(1), EngineAdmission::default());
    let over = engines.join(NOW, need(URGENT_OVER, 700), after(100));
    let routine = engines.join(NOW, need(ROUTINE, 600), after(100));
    let urgent = engines.join(NOW, need(URGENT, 800), after(100));
    let late = engines.join(NOW, need(URGENT, 0), after(100));
    for ticket in [urgent, over, routine, late] {
        for behind in [urgent, over, routine, late].iter().filter(|t| **t != ticket) {
            let asks =
                matches!(decide(&engines, *behind, &servers, idle), AdmissionDecision::Ask(_));
            assert!(!asks || engines.waiting() == 1, "{behind:?} before {ticket:?}");
        }
        assert!(matches!(decide(&engines, ticket, &servers, idle), AdmissionDecision::Ask(_)));
        engines.leave(ticket);
    }
}

/// The same for the calls of a plain service.
#[test]
fn waiting_calls_are_ordered_by_level_then_by_goal() {
    let goal = Duration::from_millis(300);
    let mut queue = AdmissionQueue::default();
    for _ in 0..4 {
        queue.on_sent(NOW);
    }
    let routine = queue.enqueue(NOW, 1, after(200), goal);
    let later = queue.enqueue(NOW, 0, after(400), goal);
    let urgent = queue.enqueue(NOW, 0, after(300), goal);
    queue.on_abandoned(NOW);
    assert_eq!(queue.decide(NOW, urgent), QueueDecision::Go);
    assert!(matches!(queue.decide(NOW, later), QueueDecision::Wait(_)));
    queue.leave(urgent);
    assert_eq!(queue.decide(NOW, later), QueueDecision::Go);
    assert!(matches!(queue.decide(NOW, routine), QueueDecision::Wait(_)));
}

/// Demand of two levels with these arrivals a second.
fn demand_of(rates: &[(Precedence, f64)]) -> UrgencyContext<'_> {
    let typical = MemoryForecast::constant(4_000);
    UrgencyContext { least: 1, typical, rates, by_goal: false }
}

fn asks(decision: &AdmissionDecision) -> bool {
    matches!(decision, AdmissionDecision::Ask(_))
}

/// Decides on a lone request at two engines of five places each, `used` of them taken by peers.
fn decide_alone(precedence: Precedence, used: u64, urgency: UrgencyContext<'_>) -> bool {
    let (servers, mut engines) = (servers(2), EngineAdmission::default());
    let ticket = engines.join(NOW, need(precedence, 900), after(100));
    let load = |id: &ServerId| {
        let at_first = if *id == servers[0].id { used.min(5) } else { used.saturating_sub(5) };
        let memory = MemoryForecast::constant(4_000 * at_first);
        EngineLoad { memory, count: at_first as u32, ..EngineLoad::default() }
    };
    asks(&decide_with(&engines, ticket, &servers, urgency, load))
}

/// What was seen: 32 of 102 refusals of urgent requests lacked memory, which routine requests had
/// taken a moment before.
#[test]
fn headroom_is_left_for_requests_of_higher_precedence() {
    // 4 a second: one within the interval of load reports; in prefill queues one within 250 ms, and
    // two standard deviations.
    let rates = [(URGENT, 4.0), (ROUTINE, 60.0)];
    let urgency = demand_of(&rates);
    assert_eq!((urgency.headroom(URGENT), urgency.headroom(ROUTINE)), (0, 1));
    assert_eq!((urgency.prefill_headroom(URGENT), urgency.prefill_headroom(ROUTINE)), (0, 3));
    assert!(decide_alone(ROUTINE, 8, urgency));
    assert!(!decide_alone(ROUTINE, 9, urgency), "one place must be left");
    assert!(decide_alone(URGENT, 9, urgency));
    // Accounts over their share leave none for others of their level, which would keep a sixth of
    // the engines idle in a burst, but the same as others for more urgent levels.
    let over = [(URGENT, 4.0), (URGENT_OVER, 50.0)];
    assert!(decide_alone(URGENT_OVER, 9, demand_of(&over)));
    let routine_over = Precedence { over_share: true, ..ROUTINE };
    let over = [(URGENT, 4.0), (ROUTINE, 60.0), (routine_over, 50.0)];
    assert!(decide_alone(routine_over, 8, demand_of(&over)));
    assert!(!decide_alone(routine_over, 9, demand_of(&over)));
    // Without such demand nothing is kept.
    assert!(decide_alone(ROUTINE, 9, demand_of(&[(URGENT, 0.01), (ROUTINE, 60.0)])));
    assert!(decide_alone(ROUTINE, 9, UrgencyContext::default()));
    let by_goal = UrgencyContext { by_goal: true, ..urgency };
    assert!(decide_alone(ROUTINE, 9, by_goal));
}

/// A stream that continues elsewhere must not wait for headroom: its caller sees the pause.
#[test]
fn an_answer_that_has_begun_leaves_no_headroom() {
    let (servers, mut engines) = (servers(1), EngineAdmission::default());
    let rates = [(URGENT, 60.0)];
    let begun = Demand { begun: true, ..need(ROUTINE, 900) };
    let ticket = engines.join(NOW, begun, after(100));
    assert!(asks(&decide_with(&engines, ticket, &servers, demand_of(&rates), idle)));
}

/// Peers' load at 20 engines of which one has room: some 2 % of all memory is free.
fn scarce(id: &ServerId) -> EngineLoad {
    let (used, count) = if id.name == "i-7" { (12_000, 3) } else { (19_900, 6) };
    EngineLoad { memory: MemoryForecast::constant(used), count, ..EngineLoad::default() }
}

/// An urgent request of low value must not lose scarce memory to a routine one of high value, but a
/// class that is alone still competes by value.
#[test]
fn the_value_threshold_compares_requests_of_one_precedence() {
    let (servers, mut engines) = (servers(20), EngineAdmission::default());
    let low = |precedence| Demand { value: 0.1, ..need(precedence, 900) };
    let urgent = engines.join(NOW, low(URGENT), after(100));
    let alone = demand_of(&[]);
    assert!(!asks(&decide_with(&engines, urgent, &servers, alone, scarce)), "alone");
    let high = engines.join(NOW, Demand { value: 9.0, ..need(ROUTINE, 800) }, after(100));
    assert!(asks(&decide_with(&engines, urgent, &servers, alone, scarce)));
    assert!(!asks(&decide_with(&engines, high, &servers, alone, scarce)));
    engines.leave(urgent);
    let routine = engines.join(NOW, low(ROUTINE), after(100));
    assert!(!asks(&decide_with(&engines, routine, &servers, alone, scarce)));
    assert!(asks(&decide_with(&engines, high, &servers, alone, scarce)));
}

/// Where the usual margin is used up, an urgent request must not be refused beside memory that is
/// free now.
#[test]
fn the_most_urgent_requests_are_admitted_with_a_reduced_margin() {
    let survival = |ahead: u64| 1.0 / (1.0 + ahead as f64 / 900.0);
    let answer = MemoryForecast::from_survival(|ahead| 3_000.0 + ahead as f64, survival);
    let used = |count: u32| {
        let memory = (0..count).fold(MemoryForecast::default(), |sum, _| sum.plus(answer));
        EngineLoad { memory, count, ..EngineLoad::default() }
    };
    let admitted = |precedence, urgency: UrgencyContext<'_>| {
        let (servers, mut engines) = (servers(1), EngineAdmission::default());
        let demand = Demand { memory: answer, ..need(precedence, 900) };
        let ticket = engines.join(NOW, demand, after(100));
        let fits = |n: &u32| asks(&decide_with(&engines, ticket, &servers, urgency, |_| used(*n)));
        (0..12).take_while(fits).count()
    };
    let (urgent, routine) = (admitted(URGENT, demand_of(&[])), admitted(ROUTINE, demand_of(&[])));
    assert!(urgent > routine, "{urgent} and {routine}");
    assert_eq!(admitted(URGENT_OVER, demand_of(&[])), routine);
    assert_eq!(admitted(URGENT, UrgencyContext::default()), routine, "without levels");
}

fn grants(engines: &EngineAdmission, demand: &Demand, urgency: UrgencyContext<'_>) -> bool {
    let (spec, servers) = (engine(12, 20_000), servers(1));
    let context = AdmissionContext { engine: &spec, read_at: after(100), gateways: 4, urgency };
    engines.grant(NOW, demand, &context, servers.iter(), idle, || 0.5).is_some()
}

/// A zone must not give its memory to routine requests of others before its own urgent ones, nor
/// refuse urgent requests of others because routine ones wait.
#[test]
fn other_zones_get_reservations_by_precedence() {
    let mut engines = EngineAdmission::default();
    let routine = engines.join(NOW, need(ROUTINE, 900), after(100));
    assert!(grants(&engines, &need(URGENT, 900), demand_of(&[])));
    assert!(!grants(&engines, &need(ROUTINE, 900), demand_of(&[])), "a local one waits");
    assert!(!grants(&engines, &need(URGENT, 0), demand_of(&[])), "a local one is in time");
    engines.leave(routine);
    engines.join(NOW, need(URGENT, 900), after(100));
    assert!(!grants(&engines, &need(ROUTINE, 900), demand_of(&[])));
    let engines = EngineAdmission::default();
    let rates = [(URGENT, 50.0)];
    assert!(!grants(&engines, &need(ROUTINE, 900), demand_of(&rates)), "headroom");
    assert!(grants(&engines, &need(URGENT, 900), demand_of(&rates)));
}

/// An urgent prompt that engines process before 800 ms of routine ones must not be refused for them.
#[test]
fn an_urgent_prompt_waits_for_urgent_prompts_and_one_chunk() {
    let queue = EngineLoad { unread: 26_000, reads: 8, ..EngineLoad::default() };
    let (factors, speed) = (SpeedFactors::default(), PrefillSpeed::default());
    let servers = [server(0, 24, Some(Stage::Prefill))];
    let ready = |load: EngineLoad, urgent: bool| {
        let choice = ChoiceContext {
            speed_factors: &factors,
            prefill_speed: &speed,
            prompt: 3_200,
            urgent,
            headroom: 0,
            zone: "z",
            gateways: 1,
        };
        let picked = prefill::pick(NOW, servers.iter(), |_| load, &choice, || 0.5);
        picked.expect("a prefill engine").1.since(NOW)
    };
    assert!(ready(queue, false) > Duration::from_millis(800));
    let chunk = EngineLoad { unread: 2_048, reads: 1, ..EngineLoad::default() };
    assert_eq!(ready(queue, true), ready(chunk, false));
    let two = EngineLoad { unread_urgent: 6_400, ..queue };
    assert!(ready(two, true) > ready(queue, true) + Duration::from_millis(150));
    assert_eq!(ready(EngineLoad::default(), true), ready(EngineLoad::default(), false));
}

fn encoded(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoded");
    bytes
}

/// The count of urgent tokens must return to zero with the prompts, or urgent prompts would be
/// refused for a queue that is gone. Where there are no levels, the bytes are as before.
#[test]
fn urgent_tokens_are_counted_and_encoded_only_where_there_are_any() {
    let id = ServerId::new("i-0", 0);
    let urgent = Prompt { tokens: 3_000, urgent: true };
    let mut engines = EngineAdmission::default();
    engines.on_prefill_sent(&id, 2_000);
    let before = encoded(&engines.own_load(&id));
    engines.on_prefill_sent(&id, urgent);
    let load = engines.own_load(&id);
    assert_eq!((load.unread, load.unread_urgent), (5_000, 3_000));
    let decoded: EngineLoad = ciborium::from_reader(&encoded(&load)[..]).expect("decoded");
    assert_eq!(decoded, load);
    engines.on_prefill_ended(&id, urgent);
    assert_eq!(encoded(&engines.own_load(&id)), before);
    // The bytes of an earlier version: no answer, 2,000 tokens of one prompt, no memory.
    let earlier = [&[0x50, 0, 0xd0, 0x0f, 1][..], &[0; 12]].concat();
    assert_eq!(before, earlier);
}

/// A rate must follow a burst within its first seconds, be forgotten after it, and count the
/// arrivals of peers only while their reports are valid.
#[test]
fn arrival_rates_follow_the_demand_of_all_gateways() {
    let mut own = Arrivals::default();
    for i in 0..40 {
        own.observe(after(i * 250), URGENT);
    }
    let rate = |at: Timestamp| own.rates(at).map(|(_, rate)| rate).sum::<f64>();
    assert!((3.4..4.6).contains(&rate(after(10_000))), "{}", rate(after(10_000)));
    assert_eq!(rate(after(25_000)), 0.0);
    let mut reports = LoadReports::default();
    let rows = [("llm".to_owned(), own.report(after(10_000)))].into();
    let report = LoadReport { name: "a".into(), seq: 1, arrivals: rows, ..LoadReport::default() };
    reports.on_report(after(10_000), report);
    let both = |at| arrivals::sum(own.rates(at).chain(reports.peer_arrivals(at, "llm")));
    let [(URGENT, total)] = both(after(10_000))[..] else { panic!("one precedence") };
    assert!((total - 2.0 * rate(after(10_000))).abs() < 0.01, "{total}");
    let [(URGENT, alone)] = both(after(11_600))[..] else { panic!("one precedence") };
    assert_eq!(alone, rate(after(11_600)));
}

/// Where there are no levels, load reports and zone summaries have the fields that they had before.
#[test]
fn without_levels_messages_have_no_further_fields() {
    let keys = |bytes: Vec<u8>| {
        let value: ciborium::Value = ciborium::from_reader(&bytes[..]).expect("decoded");
        let map = value.into_map().expect("a map");
        map.into_iter().map(|(k, _)| k.into_text().expect("text")).collect::<String>()
    };
    assert_eq!(keys(encoded(&LoadReport::default())), "nlscrgkqow");
    let capacity = |urgent| ServiceCapacity {
        service: "llm".into(),
        free: 0,
        free_slots: 0,
        prefill_ms: 0,
        urgent,
    };
    assert_eq!(keys(encoded(&capacity(None))), "sfpr");
    let urgent = UrgentCapacity { free_slots: 2, prefill_ms: 60 };
    assert_eq!(keys(encoded(&capacity(Some(urgent)))), "sfpru");
}

/// A zone without memory for routine requests still takes urgent ones, and a refusal of one kind
/// says nothing of the other.
#[test]
fn an_urgent_request_goes_to_a_zone_with_capacity_for_its_level() {
    let capacity = ServiceCapacity {
        service: "llm".into(),
        free: 10,
        free_slots: 0,
        prefill_ms: 900,
        urgent: Some(UrgentCapacity { free_slots: 2, prefill_ms: 60 }),
    };
    let summary = ZoneSummary {
        name: "g".into(),
        zone: "a".into(),
        addr: ([127, 0, 0, 1], 7_000).into(),
        incarnation: 1,
        seq: 1,
        config: 1,
        roster: 1.into(),
        fleet: 1.into(),
        gossip_checksum: 0,
        part_checksum: 0,
        part_facts: true,
        speeds: Default::default(),
        capacities: vec![capacity],
    };
    let mut summaries = ZoneSummaries::default();
    summaries.on_summary(NOW, summary);
    let within = Duration::from_millis(500);
    let target = |summaries: &ZoneSummaries, urgent| {
        summaries.overflow_target(NOW, ("llm", urgent), within, &[], 0.5).is_some()
    };
    assert!(target(&summaries, true) && !target(&summaries, false));
    summaries.on_refused(NOW, "a", false);
    assert!(target(&summaries, true));
    summaries.on_refused(NOW, "a", true);
    assert!(!target(&summaries, true));
}

/// Urgent requests that take all memory for seconds must let routine ones through, and only then.
#[test]
fn above_their_share_urgent_levels_lose_their_precedence() {
    let mut share = UrgentShare::default();
    assert!(!share.is_exceeded(NOW, 0.8));
    share.on_admitted(NOW, true, 8_000);
    assert!(share.is_exceeded(NOW, 0.8));
    share.on_admitted(after(100), false, 2_000);
    assert!(!share.is_exceeded(after(100), 0.8), "exactly the share");
    share.on_admitted(after(2_000), true, 1_000);
    assert!(share.is_exceeded(after(2_000), 0.8));
    assert!(!share.is_exceeded(after(7_500), 0.8), "the period is over");
    let (servers, mut engines) = (servers(1), EngineAdmission::default());
    let routine = engines.join(NOW, need(ROUTINE, 600), after(100));
    let urgent = engines.join(NOW, need(URGENT, 800), after(100));
    let rates = [(URGENT, 60.0)];
    let by_goal = UrgencyContext { by_goal: true, ..demand_of(&rates) };
    assert!(asks(&decide_with(&engines, routine, &servers, by_goal, idle)));
    assert!(!asks(&decide_with(&engines, urgent, &servers, by_goal, idle)));
}
