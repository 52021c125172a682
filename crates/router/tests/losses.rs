//! Whether a server crashed when an attempt was lost, and when gateways exchange their full state.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::divergence::DivergenceDetector;
use ebonyloft_router::lost_attempts::{
    CALL_PROBE_DELAY, INVESTIGATION_TIMEOUT, LostAttempt, LostAttempts, PROBE_INTERVAL,
    ProbeResult, STREAM_PROBE_DELAY,
};
use ebonyloft_router::request_digest::RequestDigest;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
/// Time between sending an attempt and losing it.
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

fn loss(content: u64, at: Timestamp) -> LostAttempt {
    LostAttempt {
        digest: RequestDigest(content, 0),
        early: true,
        sent: at.before(RUN),
        at,
        number: content,
    }
}

fn probed(losses: &mut LostAttempts, now: Timestamp) -> Vec<String> {
    losses.due_probes(now).into_iter().map(|(id, _)| id.name).collect()
}

#[test]
fn a_server_that_answers_later_did_not_crash() {
    let mut losses = LostAttempts::default();
    losses.add(&server("a"), loss(1, NOW), STREAM_PROBE_DELAY);
    // Sent before the loss: the server may have answered and then crashed.
    let before = NOW.before(Duration::from_millis(1));
    assert_eq!(losses.on_answer(&ServerId::new("a", 0), before), []);
    assert!(losses.is_investigated(&RequestDigest(1, 0)));
    assert_eq!(losses.on_answer(&ServerId::new("a", 0), NOW), [loss(1, NOW)]);
    assert!(!losses.is_investigated(&RequestDigest(1, 0)));
    assert_eq!(losses.on_crash(&ServerId::new("a", 0)), []);
}

#[test]
fn servers_are_probed_soon_for_streams_and_later_for_calls() {
    let mut losses = LostAttempts::default();
    losses.add(&server("a"), loss(1, NOW), STREAM_PROBE_DELAY);
    losses.add(&server("b"), loss(2, NOW), CALL_PROBE_DELAY);
    assert!(probed(&mut losses, NOW).is_empty());
    assert_eq!(losses.next_probe_at(), Some(NOW.after(STREAM_PROBE_DELAY)));
    assert_eq!(probed(&mut losses, NOW.after(STREAM_PROBE_DELAY)), ["a"]);
    assert!(probed(&mut losses, NOW.after(STREAM_PROBE_DELAY)).is_empty(), "one probe at a time");
    assert_eq!(probed(&mut losses, NOW.after(CALL_PROBE_DELAY)), ["a", "b"]);
}

/// A server with too many connections refuses one too.
#[test]
fn a_crash_needs_two_refused_connections() {
    let (mut losses, id) = (LostAttempts::default(), ServerId::new("a", 0));
    losses.add(&server("a"), loss(1, NOW), STREAM_PROBE_DELAY);
    assert!(!losses.on_probe_result(&id, ProbeResult::Nobody));
    losses.on_answer(&id, NOW.before(Duration::from_millis(1)));
    assert!(!losses.on_probe_result(&id, ProbeResult::Nobody), "the server answered in between");
    assert!(losses.on_probe_result(&id, ProbeResult::Nobody));
    assert_eq!(losses.on_crash(&id), [loss(1, NOW)]);
}

#[test]
fn another_incarnation_at_the_address_means_a_crash() {
    let (mut losses, id) = (LostAttempts::default(), ServerId::new("a", 0));
    losses.add(&server("a"), loss(1, NOW), STREAM_PROBE_DELAY);
    assert!(!losses.on_probe_result(&id, ProbeResult::Silence));
    assert!(losses.on_probe_result(&id, ProbeResult::Other));
}

/// Guards against refusing a request that many callers send: each crashed server was sent it again before its
/// registration expired and closed the connection, which was taken for a crash caused by that request.
#[test]
fn an_attempt_sent_after_the_crash_did_not_cause_it() {
    let mut losses = LostAttempts::default();
    let id = ServerId::new("a", 0);
    losses.add(&server("a"), loss(1, NOW), STREAM_PROBE_DELAY);
    // Both were lost later: the first was running when the server crashed, the second was sent afterwards.
    losses.add(&server("a"), loss(2, NOW.after(RUN / 2)), STREAM_PROBE_DELAY);
    losses.add(&server("a"), loss(3, NOW.after(RUN * 2)), STREAM_PROBE_DELAY);
    assert_eq!(losses.on_crash(&id), [loss(1, NOW), loss(2, NOW.after(RUN / 2))]);
}

#[test]
fn a_new_incarnation_ends_only_the_previous_one() {
    let mut losses = LostAttempts::default();
    let (old, new) = (ServerId::new("a", 1), ServerId::new("a", 2));
    for id in [&old, &new] {
        losses.add(&Server { id: id.clone(), ..server("a") }, loss(1, NOW), STREAM_PROBE_DELAY);
    }
    losses.add(&server("b"), loss(2, NOW), STREAM_PROBE_DELAY);
    assert_eq!(losses.on_crash_except("a", Some(&new)), [(old, vec![loss(1, NOW)])]);
    assert_eq!(losses.on_crash_except("a", None), [(new, vec![loss(1, NOW)])]);
    assert!(losses.is_investigated(&RequestDigest(2, 0)));
}

/// A crashed server is back after some seconds; probes must continue until then.
#[test]
fn probes_are_spread_over_seconds() {
    let mut losses = LostAttempts::default();
    losses.add(&server("a"), loss(1, NOW), STREAM_PROBE_DELAY);
    let mut probed_at = Vec::new();
    for step in 0..(INVESTIGATION_TIMEOUT.as_millis() / 10) as u32 {
        let now = NOW.after(Duration::from_millis(10) * step);
        if !probed(&mut losses, now).is_empty() {
            probed_at.push(now.since(NOW));
        }
    }
    assert!(probed_at[2] < Duration::from_millis(500), "{probed_at:?}");
    assert!(probed_at.last() > Some(&(INVESTIGATION_TIMEOUT / 2)), "{probed_at:?}");
}

#[test]
fn another_registration_at_the_address_ends_the_server() {
    let mut losses = LostAttempts::default();
    losses.add(&server("a"), loss(1, NOW), STREAM_PROBE_DELAY);
    let addr = server("a").addr;
    assert_eq!(losses.replaced(addr, &ServerId::new("a", 0)), []);
    assert_eq!(losses.replaced(addr, &ServerId::new("b", 0)), [ServerId::new("a", 0)]);
    assert_eq!(losses.replaced(([127, 0, 0, 2], 1).into(), &ServerId::new("b", 0)), []);
}

/// Neither a silent network path nor the passing of time shows that a server crashed.
#[test]
fn an_unexplained_loss_is_not_a_crash() {
    let mut losses = LostAttempts::default();
    losses.add(&server("a"), loss(1, NOW), STREAM_PROBE_DELAY);
    let mut probes = 0;
    let mut now = NOW;
    while now < NOW.after(INVESTIGATION_TIMEOUT) {
        probes += probed(&mut losses, now).len();
        assert_eq!(losses.expire(now), []);
        now = now.after(PROBE_INTERVAL / 3);
    }
    assert!(probes <= 10, "{probes}");
    assert_eq!(losses.expire(now), [(ServerId::new("a", 0), loss(1, NOW))]);
    assert_eq!(losses.on_crash(&ServerId::new("a", 0)), []);
}

#[test]
fn state_is_exchanged_with_a_peer_that_differs_for_long() {
    let (mut drift, step) = (DivergenceDetector::default(), Duration::from_millis(100));
    let at = |n: u32| NOW.after(step * n);
    assert!(!drift.observe(at(0), "a", false));
    assert!(!drift.observe(at(3), "a", false));
    assert!(!drift.observe(at(4), "a", true), "the update in flight arrived");
    assert!(!drift.observe(at(5), "a", false));
    assert!(!drift.observe(at(5), "b", false));
    assert!(drift.observe(at(10), "a", false));
    assert!(!drift.observe(at(10), "b", false), "one exchange at a time");
    assert!(drift.observe(at(15), "b", false));
}

/// Half of the gateways know a fact and the other half does not: agreement with some peers must not hide the
/// difference to others.
#[test]
fn agreeing_peers_do_not_hide_a_difference() {
    let (mut drift, step) = (DivergenceDetector::default(), Duration::from_millis(100));
    let mut exchanged = false;
    for n in 0..10 {
        exchanged |= drift.observe(NOW.after(step * n), "other", false);
        drift.observe(NOW.after(step * n), "same", true);
    }
    assert!(exchanged);
}
