//! Whether a server ended when an answer broke off, and when to compare notes.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::content::Content;
use ebonyloft_router::drift::Drift;
use ebonyloft_router::losses::{
    CALL_WAIT, Found, INVESTIGATION_TIMEOUT, Loss, Losses, PROBE_INTERVAL, STREAM_WAIT,
};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
/// Time from a send to its loss.
const RUN: Duration = Duration::from_millis(20);

fn server(name: &str) -> Server {
    Server {
        id: ServerId::new(name, 0),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 4,
        draining: false,
        stage: None,
    }
}

fn loss(content: u64, at: Timestamp) -> Loss {
    Loss { content: Content(content, 0), early: true, sent: at.before(RUN), at, number: content }
}

fn asked(losses: &mut Losses, now: Timestamp) -> Vec<String> {
    losses.ask(now).into_iter().map(|(id, _)| id.name).collect()
}

#[test]
fn a_server_that_answers_later_did_not_end() {
    let mut losses = Losses::default();
    losses.lost(&server("a"), loss(1, NOW), STREAM_WAIT);
    // It was sent before: the server may have answered and then ended.
    let before = NOW.before(Duration::from_millis(1));
    assert_eq!(losses.alive(&ServerId::new("a", 0), before), []);
    assert!(losses.is_open(&Content(1, 0)));
    assert_eq!(losses.alive(&ServerId::new("a", 0), NOW), [loss(1, NOW)]);
    assert!(!losses.is_open(&Content(1, 0)));
    assert_eq!(losses.ended(&ServerId::new("a", 0)), []);
}

#[test]
fn a_server_is_asked_soon_for_streams_and_later_for_calls() {
    let mut losses = Losses::default();
    losses.lost(&server("a"), loss(1, NOW), STREAM_WAIT);
    losses.lost(&server("b"), loss(2, NOW), CALL_WAIT);
    assert!(asked(&mut losses, NOW).is_empty());
    assert_eq!(losses.next_ask(), Some(NOW.after(STREAM_WAIT)));
    assert_eq!(asked(&mut losses, NOW.after(STREAM_WAIT)), ["a"]);
    assert!(asked(&mut losses, NOW.after(STREAM_WAIT)).is_empty(), "one question at a time");
    assert_eq!(asked(&mut losses, NOW.after(CALL_WAIT)), ["a", "b"]);
}

/// A server with too many connections turns one away too.
#[test]
fn nobody_must_listen_twice() {
    let (mut losses, id) = (Losses::default(), ServerId::new("a", 0));
    losses.lost(&server("a"), loss(1, NOW), STREAM_WAIT);
    assert!(!losses.found(&id, Found::Nobody));
    losses.alive(&id, NOW.before(Duration::from_millis(1)));
    assert!(!losses.found(&id, Found::Nobody), "it answered in between");
    assert!(losses.found(&id, Found::Nobody));
    assert_eq!(losses.ended(&id), [loss(1, NOW)]);
}

#[test]
fn another_life_at_its_address_is_enough() {
    let (mut losses, id) = (Losses::default(), ServerId::new("a", 0));
    losses.lost(&server("a"), loss(1, NOW), STREAM_WAIT);
    assert!(!losses.found(&id, Found::Silence));
    assert!(losses.found(&id, Found::Other));
}

/// What operators would have seen: a content that many callers ask for refused, since each server that ended
/// was sent it once more before its registration lapsed, and closed the connection.
#[test]
fn what_was_sent_to_a_server_that_was_down_did_not_end_it() {
    let mut losses = Losses::default();
    let id = ServerId::new("a", 0);
    losses.lost(&server("a"), loss(1, NOW), STREAM_WAIT);
    // Both were lost later: one was there when it ended, one came behind.
    losses.lost(&server("a"), loss(2, NOW.after(RUN / 2)), STREAM_WAIT);
    losses.lost(&server("a"), loss(3, NOW.after(RUN * 2)), STREAM_WAIT);
    assert_eq!(losses.ended(&id), [loss(1, NOW), loss(2, NOW.after(RUN / 2))]);
}

#[test]
fn a_new_life_of_a_name_ends_the_one_before_only() {
    let mut losses = Losses::default();
    let (old, new) = (ServerId::new("a", 1), ServerId::new("a", 2));
    for id in [&old, &new] {
        losses.lost(&Server { id: id.clone(), ..server("a") }, loss(1, NOW), STREAM_WAIT);
    }
    losses.lost(&server("b"), loss(2, NOW), STREAM_WAIT);
    assert_eq!(losses.ended_but("a", Some(&new)), [(old, vec![loss(1, NOW)])]);
    assert_eq!(losses.ended_but("a", None), [(new, vec![loss(1, NOW)])]);
    assert!(losses.is_open(&Content(2, 0)));
}

/// A server that crashed is back after some seconds: it is still asked then.
#[test]
fn questions_are_spread_over_seconds() {
    let mut losses = Losses::default();
    losses.lost(&server("a"), loss(1, NOW), STREAM_WAIT);
    let mut asked_at = Vec::new();
    for step in 0..(INVESTIGATION_TIMEOUT.as_millis() / 10) as u32 {
        let now = NOW.after(Duration::from_millis(10) * step);
        if !asked(&mut losses, now).is_empty() {
            asked_at.push(now.since(NOW));
        }
    }
    assert!(asked_at[2] < Duration::from_millis(500), "{asked_at:?}");
    assert!(asked_at.last() > Some(&(INVESTIGATION_TIMEOUT / 2)), "{asked_at:?}");
}

#[test]
fn another_registration_at_the_address_is_enough() {
    let mut losses = Losses::default();
    losses.lost(&server("a"), loss(1, NOW), STREAM_WAIT);
    let addr = server("a").addr;
    assert_eq!(losses.replaced(addr, &ServerId::new("a", 0)), []);
    assert_eq!(losses.replaced(addr, &ServerId::new("b", 0)), [ServerId::new("a", 0)]);
    assert_eq!(losses.replaced(([127, 0, 0, 2], 1).into(), &ServerId::new("b", 0)), []);
}

/// A path that is silent says nothing, and neither does the time that passes.
#[test]
fn what_is_not_learned_in_time_proves_nothing() {
    let mut losses = Losses::default();
    losses.lost(&server("a"), loss(1, NOW), STREAM_WAIT);
    let mut questions = 0;
    let mut now = NOW;
    while now < NOW.after(INVESTIGATION_TIMEOUT) {
        questions += asked(&mut losses, now).len();
        assert_eq!(losses.expire(now), []);
        now = now.after(PROBE_INTERVAL / 3);
    }
    assert!(questions <= 10, "{questions}");
    assert_eq!(losses.expire(now), [(ServerId::new("a", 0), loss(1, NOW))]);
    assert_eq!(losses.ended(&ServerId::new("a", 0)), []);
}

#[test]
fn notes_are_compared_with_a_peer_that_differs_for_long() {
    let (mut drift, step) = (Drift::default(), Duration::from_millis(100));
    let at = |n: u32| NOW.after(step * n);
    assert!(!drift.hear(at(0), "a", false));
    assert!(!drift.hear(at(3), "a", false));
    assert!(!drift.hear(at(4), "a", true), "what was on its way came");
    assert!(!drift.hear(at(5), "a", false));
    assert!(!drift.hear(at(5), "b", false));
    assert!(drift.hear(at(10), "a", false));
    assert!(!drift.hear(at(10), "b", false), "one call at a time");
    assert!(drift.hear(at(15), "b", false));
}

/// Half of the fleet knows, the other half does not: peers that know the same hide no difference.
#[test]
fn peers_that_agree_hide_no_difference() {
    let (mut drift, step) = (Drift::default(), Duration::from_millis(100));
    let mut called = false;
    for n in 0..10 {
        called |= drift.hear(NOW.after(step * n), "other", false);
        drift.hear(NOW.after(step * n), "same", true);
    }
    assert!(called);
}
