//! Whether a server crashed when an attempt was lost, and when gateways exchange their full state.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::divergence::DivergenceDetector;
use ebonyloft_router::lost_attempts::{
    CALL_PROBE_DELAY, INVESTIGATION_TIMEOUT, LostAttempt, LostAttempts, PROBE_INTERVAL,
    ProbeResult, STREAM_PROBE_DELAY,
};
use ebonyloft_router::part_blame::PromptParts;
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::SoftwareId;

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
        version: None,
    }
}

fn lost_attempt(content: u64, at: Timestamp) -> LostAttempt {
    LostAttempt {
        digest: RequestDigest(content, 0),
        parts: PromptParts::default(),
        software: SoftwareId::default(),
        early: true,
        sent: at.before(RUN),
        at,
        number: content,
    }
}

fn probed(lost_attempts: &mut LostAttempts, now: Timestamp) -> Vec<String> {
    lost_attempts.due_probes(now).into_iter().map(|(id, _)| id.name).collect()
}

#[test]
fn a_server_that_answers_later_did_not_crash() {
    let mut lost_attempts = LostAttempts::default();
    lost_attempts.add(&server("a"), lost_attempt(1, NOW), STREAM_PROBE_DELAY);
    // Sent before the loss: the server may have answered and then crashed.
    let before = NOW.before(Duration::from_millis(1));
    assert_eq!(lost_attempts.on_answer(&ServerId::new("a", 0), before), []);
    assert!(lost_attempts.is_investigated(&RequestDigest(1, 0)));
    assert_eq!(lost_attempts.on_answer(&ServerId::new("a", 0), NOW), [lost_attempt(1, NOW)]);
    assert!(!lost_attempts.is_investigated(&RequestDigest(1, 0)));
    assert_eq!(lost_attempts.on_crash(&ServerId::new("a", 0)), []);
}

#[test]
fn servers_are_probed_soon_for_streams_and_later_for_calls() {
    let mut lost_attempts = LostAttempts::default();
    lost_attempts.add(&server("a"), lost_attempt(1, NOW), STREAM_PROBE_DELAY);
    lost_attempts.add(&server("b"), lost_attempt(2, NOW), CALL_PROBE_DELAY);
    assert!(probed(&mut lost_attempts, NOW).is_empty());
    assert_eq!(lost_attempts.next_probe_at(), Some(NOW.after(STREAM_PROBE_DELAY)));
    assert_eq!(probed(&mut lost_attempts, NOW.after(STREAM_PROBE_DELAY)), ["a"]);
    assert!(
        probed(&mut lost_attempts, NOW.after(STREAM_PROBE_DELAY)).is_empty(),
        "one probe at a time"
    );
    assert_eq!(probed(&mut lost_attempts, NOW.after(CALL_PROBE_DELAY)), ["a", "b"]);
}

/// A server with too many connections refuses one too.
#[test]
fn a_crash_needs_two_refused_connections() {
    let (mut lost_attempts, id) = (LostAttempts::default(), ServerId::new("a", 0));
    lost_attempts.add(&server("a"), lost_attempt(1, NOW), STREAM_PROBE_DELAY);
    assert!(!lost_attempts.on_probe_result(&id, ProbeResult::Nobody));
    lost_attempts.on_answer(&id, NOW.before(Duration::from_millis(1)));
    assert!(
        !lost_attempts.on_probe_result(&id, ProbeResult::Nobody),
        "the server answered in between"
    );
    assert!(lost_attempts.on_probe_result(&id, ProbeResult::Nobody));
    assert_eq!(lost_attempts.on_crash(&id), [lost_attempt(1, NOW)]);
}

#[test]
fn another_incarnation_at_the_address_means_a_crash() {
    let (mut lost_attempts, id) = (LostAttempts::default(), ServerId::new("a", 0));
    lost_attempts.add(&server("a"), lost_attempt(1, NOW), STREAM_PROBE_DELAY);
    assert!(!lost_attempts.on_probe_result(&id, ProbeResult::Silence));
    assert!(lost_attempts.on_probe_result(&id, ProbeResult::Other));
}

/// Guards against refusing a request that many callers send: each crashed server was sent it again before its
/// registration expired and closed the connection, which was taken for a crash caused by that request.
#[test]
fn an_attempt_sent_after_the_crash_did_not_cause_it() {
    let mut lost_attempts = LostAttempts::default();
    let id = ServerId::new("a", 0);
    lost_attempts.add(&server("a"), lost_attempt(1, NOW), STREAM_PROBE_DELAY);
    // Both were lost later: the first was running when the server crashed, the second was sent afterwards.
    lost_attempts.add(&server("a"), lost_attempt(2, NOW.after(RUN / 2)), STREAM_PROBE_DELAY);
    lost_attempts.add(&server("a"), lost_attempt(3, NOW.after(RUN * 2)), STREAM_PROBE_DELAY);
    assert_eq!(
        lost_attempts.on_crash(&id),
        [lost_attempt(1, NOW), lost_attempt(2, NOW.after(RUN / 2))]
    );
}

/// Guards against attributing a silent crash to what was sent to the server while it was down: such attempts are
/// given up one by one, after its registration is gone.
#[test]
fn attempts_given_up_after_a_crash_count_only_if_sent_before_it() {
    let mut lost_attempts = LostAttempts::default();
    let (id, stall) = (ServerId::new("a", 0), RUN * 50);
    let given_up = |content, sent: Timestamp, at| LostAttempt { sent, ..lost_attempt(content, at) };
    lost_attempts.on_heard(NOW, &id);
    assert_eq!(lost_attempts.heard_since(NOW.before(RUN), &id), Some(NOW));
    assert_eq!(lost_attempts.heard_since(NOW.after(RUN), &id), None, "sent when it was down");
    lost_attempts.add(&server("a"), given_up(1, NOW.before(RUN), NOW), STREAM_PROBE_DELAY);
    assert_eq!(lost_attempts.on_crash(&id).len(), 1);
    lost_attempts.add(&server("a"), given_up(2, NOW.before(RUN), NOW), STREAM_PROBE_DELAY);
    assert_eq!(lost_attempts.on_crash(&id).len(), 1, "given up later than the first");
    let sent = NOW.after(RUN);
    lost_attempts.add(&server("a"), given_up(3, sent, sent.after(stall)), STREAM_PROBE_DELAY);
    assert_eq!(lost_attempts.on_crash(&id), [], "sent after the first loss");
}

#[test]
fn a_new_incarnation_ends_only_the_previous_one() {
    let mut lost_attempts = LostAttempts::default();
    let (old, new) = (ServerId::new("a", 1), ServerId::new("a", 2));
    for id in [&old, &new] {
        lost_attempts.add(
            &Server { id: id.clone(), ..server("a") },
            lost_attempt(1, NOW),
            STREAM_PROBE_DELAY,
        );
    }
    lost_attempts.add(&server("b"), lost_attempt(2, NOW), STREAM_PROBE_DELAY);
    assert_eq!(lost_attempts.on_crash_except("a", Some(&new)), [(old, vec![lost_attempt(1, NOW)])]);
    assert_eq!(lost_attempts.on_crash_except("a", None), [(new, vec![lost_attempt(1, NOW)])]);
    assert!(lost_attempts.is_investigated(&RequestDigest(2, 0)));
}

/// A crashed server is back after some seconds; probes must continue until then.
#[test]
fn probes_are_spread_over_seconds() {
    let mut lost_attempts = LostAttempts::default();
    lost_attempts.add(&server("a"), lost_attempt(1, NOW), STREAM_PROBE_DELAY);
    let mut probed_at = Vec::new();
    for step in 0..(INVESTIGATION_TIMEOUT.as_millis() / 10) as u32 {
        let now = NOW.after(Duration::from_millis(10) * step);
        if !probed(&mut lost_attempts, now).is_empty() {
            probed_at.push(now.since(NOW));
        }
    }
    assert!(probed_at[2] < Duration::from_millis(500), "{probed_at:?}");
    assert!(probed_at.last() > Some(&(INVESTIGATION_TIMEOUT / 2)), "{probed_at:?}");
}

#[test]
fn another_registration_at_the_address_ends_the_server() {
    let mut lost_attempts = LostAttempts::default();
    lost_attempts.add(&server("a"), lost_attempt(1, NOW), STREAM_PROBE_DELAY);
    let addr = server("a").addr;
    assert_eq!(lost_attempts.replaced(addr, &ServerId::new("a", 0)), []);
    assert_eq!(lost_attempts.replaced(addr, &ServerId::new("b", 0)), [ServerId::new("a", 0)]);
    assert_eq!(lost_attempts.replaced(([127, 0, 0, 2], 1).into(), &ServerId::new("b", 0)), []);
}

/// Neither a silent network path nor the passing of time shows that a server crashed.
#[test]
fn an_unexplained_loss_is_not_a_crash() {
    let mut lost_attempts = LostAttempts::default();
    lost_attempts.add(&server("a"), lost_attempt(1, NOW), STREAM_PROBE_DELAY);
    let mut probes = 0;
    let mut now = NOW;
    while now < NOW.after(INVESTIGATION_TIMEOUT) {
        probes += probed(&mut lost_attempts, now).len();
        assert_eq!(lost_attempts.expire(now), []);
        now = now.after(PROBE_INTERVAL / 3);
    }
    assert!(probes <= 10, "{probes}");
    assert_eq!(lost_attempts.expire(now), [(ServerId::new("a", 0), lost_attempt(1, NOW))]);
    assert_eq!(lost_attempts.on_crash(&ServerId::new("a", 0)), []);
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
