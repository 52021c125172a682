//! Places at model engines: who is asked, who waits, who is refused.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Engine, Server, ServerId, Stage};
use ebonyloft_router::engines::{
    Advice, BAR_MAX, Engines, FULL_REST, Lack, Need, REJECT_REST, SCARCE, TIGHT, Ticket, View, bar,
};
use ebonyloft_router::forecast::{MARGIN, Profile};
use ebonyloft_router::growth::{Lengths, Usual};
use ebonyloft_router::share::Work;

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
fn need() -> Need {
    let (first_by, ends_at) = (after(900), after(14_000));
    Need { memory: Profile::flat(4_000), first_by, ends_at, gives: 1.0, begun: false }
}

fn advise(engines: &Engines, at: Timestamp, ticket: Ticket, servers: &[Server]) -> Advice {
    advise_with(engines, at, ticket, at.after(Duration::from_millis(100)), servers, Work::default())
}

/// The same with a moment at which the prompt is read, and peers' work at each engine.
fn advise_with(
    engines: &Engines,
    at: Timestamp,
    ticket: Ticket,
    read_at: Timestamp,
    servers: &[Server],
    peers: Work,
) -> Advice {
    let view = View { engine: &spec(), read_at, entries: 4 };
    engines.advise(at, ticket, &view, servers.iter(), |_| peers, || 0.5)
}

#[test]
fn two_that_come_at_once_are_both_served_when_there_is_room() {
    let servers = servers(2);
    let mut engines = Engines::default();
    let first = engines.join(NOW, need(), after(100));
    let second = engines.join(NOW, need(), after(100));
    assert!(matches!(advise(&engines, NOW, first, &servers), Advice::Ask(_)));
    assert!(matches!(advise(&engines, NOW, second, &servers), Advice::Wait(_)));
    engines.leave(first);
    assert!(matches!(advise(&engines, NOW, second, &servers), Advice::Ask(_)));
}

#[test]
fn the_engine_with_the_most_room_is_asked() {
    let servers = servers(3);
    let mut engines = Engines::default();
    engines.placed(&id(0), Profile::flat(12_000));
    engines.placed(&id(2), Profile::flat(8_000));
    let ticket = engines.join(NOW, need(), after(100));
    assert_eq!(advise(&engines, NOW, ticket, &servers), Advice::Ask(id(1)));
}

#[test]
fn peers_work_counts_too() {
    let servers = servers(1);
    let mut engines = Engines::default();
    let ticket = engines.join(NOW, need(), after(100));
    let full = Work { memory: Profile::flat(17_000), count: 4, ..Work::default() };
    let advice = advise_with(&engines, NOW, ticket, after(100), &servers, full);
    assert!(matches!(advice, Advice::Wait(_)));
}

#[test]
fn the_one_whose_goal_is_nearest_goes_first() {
    let servers = servers(1);
    let mut engines = Engines::default();
    let relaxed = engines.join(NOW, need(), after(100));
    let pressed = Need { first_by: after(600), ..need() };
    let pressed = engines.join(NOW, pressed, after(100));
    assert!(matches!(advise(&engines, NOW, pressed, &servers), Advice::Ask(_)));
    assert!(matches!(advise(&engines, NOW, relaxed, &servers), Advice::Wait(_)));
}

#[test]
fn a_late_one_goes_behind_all_that_can_be_in_time() {
    let servers = servers(1);
    let mut engines = Engines::default();
    let late = Need { first_by: NOW, ..need() };
    let late = engines.join(NOW, late, after(100));
    let fresh = engines.join(NOW, need(), after(100));
    assert!(matches!(advise(&engines, NOW, fresh, &servers), Advice::Ask(_)));
    assert!(matches!(advise(&engines, NOW, late, &servers), Advice::Wait(_)));
}

#[test]
fn a_prompt_that_is_read_too_late_is_refused_at_once() {
    let servers = servers(1);
    let mut engines = Engines::default();
    let ticket = engines.join(NOW, need(), after(2_000));
    let advice = advise_with(&engines, NOW, ticket, after(2_000), &servers, Work::default());
    let Advice::Refuse(at, Lack::Reader) = advice else { panic!("{advice:?}") };
    assert!(at > after(2_000));
}

#[test]
fn who_waits_in_vain_is_refused_while_there_is_time_to_say_so() {
    let servers = servers(1);
    let mut engines = Engines::default();
    engines.placed(&id(0), Profile::flat(18_000));
    let ticket = engines.join(NOW, need(), after(100));
    assert!(matches!(advise(&engines, NOW, ticket, &servers), Advice::Wait(_)));
    let advice = advise(&engines, after(700), ticket, &servers);
    assert!(matches!(advice, Advice::Refuse(_, Lack::Memory)), "{advice:?}");
}

#[test]
fn with_many_ahead_and_few_ends_nobody_waits() {
    let servers = servers(1);
    let mut engines = Engines::default();
    engines.placed(&id(0), Profile::flat(18_000));
    let mut last = engines.join(NOW, need(), after(100));
    for _ in 0..5 {
        last = engines.join(NOW, need(), after(100));
    }
    assert!(matches!(advise(&engines, NOW, last, &servers), Advice::Refuse(..)));
}

#[test]
fn an_engine_that_is_full_is_left_alone_until_an_answer_ends_there() {
    let servers = servers(1);
    let mut engines = Engines::default();
    engines.placed(&id(0), Profile::flat(100));
    engines.full(NOW, &id(0));
    let ticket = engines.join(NOW, need(), after(100));
    assert!(matches!(advise(&engines, NOW, ticket, &servers), Advice::Wait(_)));
    engines.freed(NOW, &id(0), Profile::flat(100), true);
    assert!(matches!(advise(&engines, NOW, ticket, &servers), Advice::Ask(_)));
}

#[test]
fn an_engine_that_is_full_is_asked_again_after_a_while() {
    let servers = servers(1);
    let mut engines = Engines::default();
    engines.full(NOW, &id(0));
    let ticket = engines.join(NOW, need(), after(100));
    let later = NOW.after(FULL_REST);
    assert!(matches!(advise(&engines, later, ticket, &servers), Advice::Ask(_)));
}

#[test]
fn an_engine_that_turns_reserved_requests_away_rests_longer_each_time() {
    let servers = servers(1);
    let mut engines = Engines::default();
    let long = Need { first_by: after(60_000), ..need() };
    let ticket = engines.join(NOW, long, after(100));
    engines.rejected(NOW, &id(0));
    let once = NOW.after(REJECT_REST);
    assert!(matches!(advise(&engines, once, ticket, &servers), Advice::Ask(_)));
    engines.rejected(once, &id(0));
    let again = once.after(REJECT_REST);
    assert!(matches!(advise(&engines, again, ticket, &servers), Advice::Wait(_)));
    engines.took(&id(0));
    engines.rejected(after(10_000), &id(0));
    let later = after(10_000).after(REJECT_REST);
    assert!(matches!(advise(&engines, later, ticket, &servers), Advice::Ask(_)));
}

#[test]
fn what_is_given_back_is_free() {
    let mut engines = Engines::default();
    engines.placed(&id(0), Profile::flat(4_000));
    engines.grown(&id(0), Profile::flat(4_000), Profile::flat(4_700));
    engines.reading(&id(1), 3_000);
    assert_eq!(engines.own(&id(0)).memory.peak(), 4_700);
    engines.read(&id(1), 3_000);
    engines.freed(NOW, &id(0), Profile::flat(4_700), true);
    assert!(engines.work().is_empty());
}

/// The same name in its next life: an engine that holds and knows nothing.
#[test]
fn nothing_of_a_life_counts_for_the_next() {
    let mut engines = Engines::default();
    let next = ServerId::new(id(0).name, 7);
    engines.placed(&id(0), Profile::flat(18_000));
    engines.fault(NOW, &id(0));
    let servers = [Server { id: next.clone(), ..servers(1).remove(0) }];
    let ticket = engines.join(NOW, need(), after(100));
    assert_eq!(advise(&engines, NOW, ticket, &servers), Advice::Ask(next.clone()));
    // Once the answers of the life before are over, nothing of it is kept.
    engines.freed(NOW, &id(0), Profile::flat(18_000), false);
    engines.retain(|alive| *alive == next);
    assert!(engines.work().is_empty());
    assert!(!engines.faulty(NOW, &id(0)));
}

#[test]
fn the_bar_rises_as_memory_runs_out() {
    assert_eq!(bar(1.0), 0.0);
    assert_eq!(bar(SCARCE), 0.0);
    assert!(bar((SCARCE + TIGHT) / 2.0) > 0.4 * BAR_MAX);
    assert_eq!(bar(TIGHT), BAR_MAX);
    assert_eq!(bar(0.0), BAR_MAX);
}

/// Peers' work at 20 engines of 20,000 tokens, of which one has room: 5 in 100 of all memory are free.
fn scarce(s: &ServerId) -> Work {
    match *s == id(7) {
        true => Work { memory: Profile::flat(12_000), count: 3, ..Work::default() },
        false => Work { memory: Profile::flat(19_800), count: 6, ..Work::default() },
    }
}

/// What a request is told while memory is scarce.
fn advise_scarce(engines: &Engines, ticket: Ticket) -> Advice {
    let view = View { engine: &spec(), read_at: after(100), entries: 4 };
    engines.advise(NOW, ticket, &view, servers(20).iter(), scarce, || 0.5)
}

/// A request that gives little leaves scarce memory to others.
#[test]
fn scarce_memory_is_left_to_requests_that_give_more() {
    let advice = |gives: f64, late: bool, begun: bool| {
        let mut engines = Engines::default();
        let first_by = if late { NOW } else { after(900) };
        let need = Need { gives, begun, first_by, ..need() };
        let ticket = engines.join(NOW, need, after(100));
        advise_scarce(&engines, ticket)
    };
    assert_eq!(advice(2.5, false, false), Advice::Ask(id(7)));
    assert!(matches!(advice(0.5, false, false), Advice::Wait(_)));
    // A late answer is worth less; one that goes on must go on.
    assert!(matches!(advice(2.5, true, false), Advice::Wait(_)));
    assert_eq!(advice(0.5, false, true), Advice::Ask(id(7)));
}

/// One that waits below the bar is no reason for others to wait.
#[test]
fn a_request_below_the_bar_holds_up_nobody() {
    let mut engines = Engines::default();
    engines.join(NOW, Need { gives: 0.3, first_by: after(800), ..need() }, after(100));
    let second = engines.join(NOW, Need { gives: 2.5, ..need() }, after(100));
    assert_eq!(advise_scarce(&engines, second), Advice::Ask(id(7)));
}

#[test]
fn a_shorter_answer_gives_more_for_its_memory() {
    let (lengths, usual) = (Lengths::default(), Usual::default());
    let gives = |hint: u64, prompt: u64| usual.gives(&lengths.expect(2_040, Some(hint)), prompt);
    let middle = gives(740, 3_200);
    assert!((0.9..1.15).contains(&middle), "{middle}");
    assert!(gives(200, 3_200) > 1.5 * middle);
    assert!(gives(2_000, 3_200) < 0.75 * middle);
    assert!(gives(740, 1_000) > gives(740, 6_000));
}

fn lend(engines: &Engines, need: &Need, read_ms: u64, servers: &[Server]) -> Option<ServerId> {
    let view = View { engine: &spec(), read_at: after(read_ms), entries: 4 };
    engines.lend(NOW, need, &view, servers.iter(), |_| Work::default(), || 0.5)
}

/// What may become longer than an engine's memory is placed where nothing else is.
#[test]
fn an_idle_engine_takes_what_it_can_hold() {
    let servers = servers(1);
    let mut engines = Engines::default();
    let growth = Lengths::default().expect(20_000, None);
    let long = Need { memory: growth.profile(15_000, 0), ..need() };
    assert!(long.memory.room(spec().tokens, MARGIN) < 0);
    let ticket = engines.join(NOW, long, after(100));
    assert_eq!(advise(&engines, NOW, ticket, &servers), Advice::Ask(id(0)));
    engines.placed(&id(0), Profile::flat(1_000));
    assert!(!matches!(advise(&engines, NOW, ticket, &servers), Advice::Ask(_)));
}

/// What another zone can't serve is taken where there is room that nobody here waits for.
#[test]
fn room_is_lent_while_nobody_here_waits_for_it() {
    let servers = servers(2);
    let mut engines = Engines::default();
    assert!(lend(&engines, &need(), 100, &servers).is_some());
    assert_eq!(lend(&engines, &need(), 800, &servers), None, "its prompt would be read too late");
    let ticket = engines.join(NOW, need(), after(100));
    assert_eq!(lend(&engines, &need(), 100, &servers), None, "it is waited for");
    engines.leave(ticket);
    engines.placed(&id(0), Profile::flat(20_000));
    engines.placed(&id(1), Profile::flat(17_000));
    assert_eq!(lend(&engines, &need(), 100, &servers), None, "nothing is free");
}

/// Scarce memory is lent only to requests that give as much for it as those that come here must.
#[test]
fn scarce_memory_is_not_lent_for_less() {
    let servers = servers(1);
    let mut engines = Engines::default();
    engines.placed(&id(0), Profile::flat(19_300));
    let small = Need { memory: Profile::flat(500), ..need() };
    assert_eq!(lend(&engines, &Need { gives: 0.5, ..small }, 100, &servers), None);
    assert!(lend(&engines, &Need { gives: BAR_MAX, ..small }, 100, &servers).is_some());
}

#[test]
fn a_zone_is_short_without_room_or_reader() {
    let servers = servers(1);
    let mut engines = Engines::default();
    let short = |engines: &Engines, read_ms: u64| {
        let view = View { engine: &spec(), read_at: after(read_ms), entries: 4 };
        engines.is_short(NOW, &need(), &view, servers.iter(), |_| Work::default())
    };
    assert!(!short(&engines, 100));
    assert!(short(&engines, 800), "no reader in time");
    engines.placed(&id(0), Profile::flat(17_000));
    assert!(short(&engines, 100), "no room");
}

/// Memory that is left in pieces smaller than a request is no place.
#[test]
fn places_are_counted_by_engine() {
    let servers = servers(3);
    let servers: Vec<&Server> = servers.iter().collect();
    let mut engines = Engines::default();
    let places = |engines: &Engines| {
        engines.places(NOW, &servers, &spec(), Profile::flat(4_000), |_| Work::default())
    };
    assert_eq!(places(&engines), 15);
    for i in 0..3 {
        engines.placed(&id(i), Profile::flat(17_000));
    }
    assert_eq!(places(&engines), 0);
    engines.freed(NOW, &id(0), Profile::flat(17_000), true);
    assert_eq!(places(&engines), 5);
}
