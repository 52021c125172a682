//! Requests that crash servers: what confirms them, what clears them, and that all gateways agree.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::load_report::GossipState;
use ebonyloft_router::quarantine::{
    CONFIRMED_MAX, CONFIRMED_TTL, Change, Fact, HEALTHY_TTL, PROBE_TIMEOUT, Quarantine,
    QuarantineState, QuarantineUpdate, SUSPECT_TTL, SUSPECTS_MAX,
};
use ebonyloft_router::request_digest::RequestDigest;
use proptest::prelude::*;

const NOW: Timestamp = Timestamp::from_millis(1_000_000_000);
const BAD: RequestDigest = RequestDigest(7, 7);

fn update(content: RequestDigest, fact: Fact) -> QuarantineUpdate {
    QuarantineUpdate { digest: content, age: 0, fact }
}

fn crash(server: &str, early: bool) -> Fact {
    Fact::Ended(ServerId::new(server, 0), early)
}

fn apply(quarantine: &mut Quarantine, facts: &[Fact]) -> Vec<Change> {
    facts.iter().map(|f| quarantine.apply(NOW, &update(BAD, f.clone()))).collect()
}

#[test]
fn three_early_crashes_confirm_a_request() {
    let mut all = Quarantine::default();
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Free);
    let changes = apply(&mut all, &[crash("a", true), crash("b", true)]);
    assert_eq!(changes, [Change::Suspected, Change::Suspected]);
    assert!(all.is_nearly_confirmed(&BAD));
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Suspect);
    assert_eq!(apply(&mut all, &[crash("c", true)]), [Change::Confirmed]);
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Confirmed(NOW.after(CONFIRMED_TTL)));
    assert_eq!(all.state(NOW, &RequestDigest(7, 8)), QuarantineState::Free);
}

/// Each gateway that had the request at the crashed server observes the same crash, and all of them report
/// it.
#[test]
fn a_crash_counts_once_whichever_gateways_report_it() {
    let mut all = Quarantine::default();
    apply(&mut all, &[crash("a", true), crash("a", true), crash("a", true), crash("b", true)]);
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Suspect);
    assert_eq!(all.crashes(&BAD).len(), 2);
}

/// A request that had run for a while when its server crashed is hardly the cause.
#[test]
fn five_later_crashes_confirm_a_request() {
    let mut all = Quarantine::default();
    apply(&mut all, &["a", "b", "c", "d"].map(|s| crash(s, false)));
    // It is not probed either.
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Free);
    assert_eq!(apply(&mut all, &[crash("e", false)]), [Change::Confirmed]);
}

#[test]
fn a_suspect_is_probed_by_one_gateway_at_a_time() {
    let mut all = Quarantine::default();
    apply(&mut all, &[crash("a", true), Fact::Trying(1)]);
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Held(NOW.after(PROBE_TIMEOUT)));
    apply(&mut all, &[Fact::Over(1)]);
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Suspect);
    apply(&mut all, &[Fact::Trying(2)]);
    assert_eq!(
        all.state(NOW.after(PROBE_TIMEOUT), &BAD),
        QuarantineState::Suspect,
        "the result of the probe was lost"
    );
}

#[test]
fn a_lost_attempt_holds_others_back_until_it_is_explained() {
    let mut all = Quarantine::default();
    apply(&mut all, &[Fact::Lost(1)]);
    assert!(matches!(all.state(NOW, &BAD), QuarantineState::Held(_)));
    apply(&mut all, &[Fact::Over(1)]);
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Free, "a lost attempt alone is no crash");
}

/// The end of one investigation must not admit a request that another one still investigates.
#[test]
fn the_end_of_one_investigation_ends_no_other() {
    let mut all = Quarantine::default();
    apply(&mut all, &[Fact::Lost(1), Fact::Lost(2), crash("a", true), Fact::Over(1)]);
    assert!(matches!(all.state(NOW, &BAD), QuarantineState::Held(_)));
    apply(&mut all, &[Fact::Over(2)]);
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Suspect);
    apply(&mut all, &[Fact::Trying(3), Fact::Over(2)]);
    assert!(matches!(all.state(NOW, &BAD), QuarantineState::Held(_)));
}

#[test]
fn a_complete_answer_clears_a_suspect_and_voids_earlier_crashes() {
    let mut all = Quarantine::default();
    apply(&mut all, &[crash("a", true), crash("b", true)]);
    let later = NOW.after(Duration::from_secs(1));
    assert_eq!(all.apply(later, &update(BAD, Fact::Served)), Change::Cleared);
    let late = QuarantineUpdate { digest: BAD, age: 2_000, fact: crash("c", true) };
    assert_eq!(all.apply(later, &late), Change::Nothing);
    assert_eq!(all.state(later, &BAD), QuarantineState::Free);
    // Later crashes count again.
    let after = later.after(Duration::from_secs(1));
    assert_eq!(all.apply(after, &update(BAD, crash("d", true))), Change::Suspected);
}

/// A request that many callers send is in flight at any server that crashes.
#[test]
fn a_recently_answered_request_is_healthy() {
    let mut all = Quarantine::default();
    assert!(!all.on_served(NOW, BAD), "no other gateway needs the update");
    assert!(all.is_healthy(NOW.after(HEALTHY_TTL / 2), &BAD));
    assert!(!all.is_healthy(NOW.after(HEALTHY_TTL), &BAD));
    // The answer came after the loss.
    assert!(all.is_healthy(NOW.before(HEALTHY_TTL * 2), &BAD));
    apply(&mut all, &[crash("a", true)]);
    assert!(all.on_served(NOW, BAD));
    for n in 0..100_000 {
        all.on_served(NOW, RequestDigest(n, 2));
    }
    assert!(all.is_healthy(NOW, &RequestDigest(99_999, 2)));
}

#[test]
fn a_confirmation_holds_until_its_deadline_or_release() {
    let mut all = Quarantine::default();
    apply(&mut all, &[Fact::Proved, Fact::Served]);
    assert!(matches!(all.state(NOW, &BAD), QuarantineState::Confirmed(_)));
    let end = NOW.after(CONFIRMED_TTL);
    assert_eq!(all.clone().expire(end), [BAD]);
    assert_eq!(all.state(end, &BAD), QuarantineState::Free);
    let later = NOW.after(Duration::from_secs(1));
    assert_eq!(all.apply(later, &update(BAD, Fact::Released)), Change::Cleared);
    // The store may still hold the old confirmation.
    let old = QuarantineUpdate { digest: BAD, age: 1_000, fact: Fact::Proved };
    assert_eq!(all.apply(later, &old), Change::Nothing);
    assert_eq!(all.state(later, &BAD), QuarantineState::Free);
}

#[test]
fn old_crashes_expire() {
    let mut all = Quarantine::default();
    apply(&mut all, &[crash("a", true)]);
    all.expire(NOW.after(SUSPECT_TTL));
    assert!(!all.is_known(&BAD));
    assert_eq!(all.checksum(), 0);
    let old = QuarantineUpdate {
        digest: BAD,
        age: SUSPECT_TTL.as_millis() as u64,
        fact: crash("a", true),
    };
    assert_eq!(all.apply(NOW, &old), Change::Nothing);
}

/// 100,000 different requests: memory is bounded, and confirmed requests are kept.
#[test]
fn a_flood_evicts_no_confirmed_request() {
    let mut all = Quarantine::default();
    for n in 0..100 {
        all.apply(NOW, &update(RequestDigest(n, 1), Fact::Proved));
    }
    for n in 0..100_000 {
        all.apply(NOW, &update(RequestDigest(n, 2), crash(&format!("i-{n:010x}"), true)));
    }
    assert!(
        (0..100)
            .all(|n| matches!(all.state(NOW, &RequestDigest(n, 1)), QuarantineState::Confirmed(_)))
    );
    let (suspects, confirmed) = all.counts();
    assert!(suspects <= SUSPECTS_MAX, "{suspects}");
    assert_eq!(confirmed, 100);
    for n in 0..20_000 {
        all.apply(NOW, &update(RequestDigest(n, 3), Fact::Proved));
    }
    assert!(all.counts().1 <= CONFIRMED_MAX, "{}", all.counts().1);
}

fn facts() -> impl Strategy<Value = Fact> {
    prop_oneof![
        6 => ("[a-d]", any::<bool>()).prop_map(|(s, early)| crash(&s, early)),
        1 => (0_u64..3).prop_map(Fact::Lost),
        1 => (0_u64..3).prop_map(Fact::Trying),
        1 => (0_u64..3).prop_map(Fact::Over),
        1 => Just(Fact::Served),
        1 => Just(Fact::Proved),
    ]
}

/// Guards against refusing a request that all callers send: it is on every server that another request crashes,
/// and no answer to it is complete in between.
#[test]
fn a_request_beside_another_suspect_is_not_confirmed_with_it() {
    let (mut all, other) = (Quarantine::default(), RequestDigest(8, 8));
    for server in ["a", "b"] {
        all.apply(NOW, &update(other, crash(server, true)));
    }
    let changes = apply(&mut all, &[crash("a", true), crash("x", true), crash("b", true)]);
    assert_eq!(changes, [Change::Suspected; 3], "two of three crashes may be due to the other");
    // The other crashes servers alone, too.
    assert_eq!(all.apply(NOW, &update(other, crash("c", true))), Change::Suspected);
    assert_eq!(all.apply(NOW, &update(other, crash("d", true))), Change::Confirmed);
    assert_eq!(all.apply(NOW, &update(BAD, Fact::Served)), Change::Cleared);
}

/// Guards against refusing a request that all callers send: several others crash servers one after the other, and it
/// shares one crash with each.
#[test]
fn crashes_that_confirmed_requests_explain_confirm_no_other() {
    let mut all = Quarantine::default();
    let others = [["a", "d", "e"], ["b", "f", "g"]];
    for (n, servers) in others.iter().enumerate() {
        let other = RequestDigest(8, n as u64);
        let changes = servers.map(|server| all.apply(NOW, &update(other, crash(server, true))));
        assert_eq!(changes[2], Change::Confirmed);
    }
    let changes = apply(&mut all, &["a", "b", "x"].map(|server| crash(server, true)));
    assert_eq!(changes, [Change::Suspected; 3], "only one crash is its own");
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Suspect);
}

/// Guards against a request that goes on crashing servers because another one crashes the same: both were sent to the
/// only two servers, and the other was confirmed first.
#[test]
fn a_fourth_crash_confirms_beside_a_confirmed_request() {
    let (mut all, other) = (Quarantine::default(), RequestDigest(8, 8));
    for server in ["a", "c", "d"] {
        all.apply(NOW, &update(other, crash(server, true)));
    }
    let changes = apply(&mut all, &["b", "a", "d", "e"].map(|server| crash(server, true)));
    let expected = [Change::Suspected, Change::Suspected, Change::Suspected, Change::Confirmed];
    assert_eq!(changes, expected);
}

/// Guards against a gateway that confirms a request while it reads the table of a peer, before it knows which
/// crashes are disputed.
#[test]
fn updates_received_together_confirm_nothing_that_one_of_them_disputes() {
    let other = RequestDigest(8, 8);
    let own = ["a", "b", "x"].map(|s| update(BAD, crash(s, true)));
    let updates: Vec<QuarantineUpdate> =
        own.into_iter().chain(["a", "b"].map(|s| update(other, crash(s, true)))).collect();
    let mut all = Quarantine::default();
    assert_eq!(all.apply_all(NOW, &updates), [Change::Suspected; 5]);
}

/// Guards against a suspect that is never confirmed because it has company at every crash.
#[test]
fn five_disputed_crashes_confirm_a_request() {
    let (mut all, other) = (Quarantine::default(), RequestDigest(8, 8));
    let servers = ["a", "b", "c", "d", "e"];
    for server in servers {
        all.apply(NOW, &update(other, crash(server, true)));
    }
    let changes = apply(&mut all, &servers.map(|s| crash(s, true)));
    assert_eq!(changes.last(), Some(&Change::Confirmed));
    assert!(changes[..4].iter().all(|change| *change == Change::Suspected));
}

/// Guards against blame by a gateway that has just started and received no answers yet.
#[test]
fn a_complete_answer_refutes_a_crash_reported_by_a_peer() {
    let (mut all, mut peer) = (Quarantine::default(), Quarantine::default());
    all.on_served(NOW, BAD);
    let at = NOW.after(HEALTHY_TTL / 2);
    let report = QuarantineUpdate { digest: BAD, age: 1_500, fact: crash("a", true) };
    for quarantine in [&mut all, &mut peer] {
        assert_eq!(quarantine.apply(at, &report), Change::Suspected);
    }
    assert_eq!(peer.refutation(at, &report), None, "nothing was answered there");
    let refutation = all.refutation(at, &report).expect("a refutation");
    for quarantine in [&mut all, &mut peer] {
        assert_eq!(quarantine.apply(at, &refutation), Change::Cleared);
    }
    let later = QuarantineUpdate { age: 0, ..report };
    assert_eq!(all.refutation(NOW.after(HEALTHY_TTL), &later), None);
}

/// Guards against blame by gateways that have all been started since a request was answered, one after the other.
#[test]
fn a_repeated_answer_is_known_to_gateways_that_start_later() {
    let mut first = Quarantine::default();
    for seconds in 0..2 {
        first.on_served(NOW.after(Duration::from_secs(seconds)), BAD);
    }
    first.on_served(NOW, RequestDigest(8, 8));
    let mut last = first.clone();
    for restart in 1..=3 {
        let at = NOW.after(HEALTHY_TTL / 6 * restart);
        let reports = last.health_reports(at);
        assert_eq!(reports.iter().map(|report| report.digest).collect::<Vec<_>>(), [BAD]);
        last = Quarantine::default();
        reports.iter().for_each(|report| last.on_health_report(at, report));
    }
    let at = NOW.after(HEALTHY_TTL);
    assert!(last.is_healthy(at, &BAD));
    let report = QuarantineUpdate { digest: BAD, age: 0, fact: crash("a", true) };
    assert!(last.refutation(at, &report).is_some());
    // What is passed on grows no younger.
    assert!(!last.is_healthy(at.after(Duration::from_secs(1)), &BAD));
}

/// Guards against an exchange that grows with the number of requests, and keeps the oldest of them.
#[test]
fn the_latest_answers_are_passed_on() {
    let mut all = Quarantine::default();
    for n in 0..10_000 {
        for _ in 0..2 {
            all.on_served(NOW.after(Duration::from_millis(n)), RequestDigest(n, 2));
        }
    }
    let reports = all.health_reports(NOW.after(Duration::from_secs(10)));
    assert_eq!(reports.first().map(|report| report.digest), Some(RequestDigest(9_999, 2)));
    let mut bytes = Vec::new();
    ciborium::into_writer(&reports, &mut bytes).expect("encodable");
    assert!(bytes.len() < 32 * 1_024, "{}", bytes.len());
}

/// Guards against a crash that was voided long ago and counts at a gateway that has just started: it read the crash
/// from the store after the answer from a peer.
#[test]
fn a_complete_answer_voids_older_crashes_that_are_reported_later() {
    let mut all = Quarantine::default();
    assert_eq!(apply(&mut all, &[Fact::Served]), [Change::Nothing]);
    let old = QuarantineUpdate { digest: BAD, age: 1_000, fact: crash("a", true) };
    assert_eq!(all.apply(NOW, &old), Change::Nothing);
    assert_eq!(all.state(NOW, &BAD), QuarantineState::Free);
}

/// Guards against a crash that seems younger than the answer that voided it, as the datagram is sent twice.
#[test]
fn facts_that_are_sent_again_are_older() {
    let delay = Duration::from_millis(120);
    let report = QuarantineUpdate { digest: BAD, age: 1_500, fact: crash("a", true) };
    let state = GossipState { quarantine_updates: vec![report.clone()], ..GossipState::default() };
    let mut all = Quarantine::default();
    all.apply(NOW, &report);
    let served = QuarantineUpdate { digest: BAD, age: 1_500, fact: Fact::Served };
    assert_eq!(all.apply(NOW, &served), Change::Cleared);
    let again = state.aged(delay).quarantine_updates;
    assert_eq!(all.apply_all(NOW.after(delay), &again), [Change::Nothing]);
}

proptest! {
    /// Whatever updates two gateways received, and in which order: after exchanging their full state both
    /// ways they confirm the same requests, and their checksums are equal.
    #[test]
    fn gateways_agree_after_exchanging_their_state(
        one in proptest::collection::vec((0_u64..3, 0_u64..5_000, facts()), 0..24),
        other in proptest::collection::vec((0_u64..3, 0_u64..5_000, facts()), 0..24),
    ) {
        let later = NOW.after(PROBE_TIMEOUT * 3);
        let apply_all = |facts: &[(u64, u64, Fact)]| {
            let mut all = Quarantine::default();
            for (content, age, fact) in facts {
                let update = QuarantineUpdate { digest: RequestDigest(*content, 0), age: *age, fact: fact.clone() };
                all.apply(NOW, &update);
            }
            all
        };
        let (mut a, mut b) = (apply_all(&one), apply_all(&other));
        for _ in 0..2 {
            for update in a.updates(later) {
                b.apply(later, &update);
            }
            for update in b.updates(later) {
                a.apply(later, &update);
            }
        }
        prop_assert_eq!(a.checksum(), b.checksum());
        for content in 0..3 {
            let content = RequestDigest(content, 0);
            let confirmed = |q: &Quarantine| matches!(q.state(later, &content), QuarantineState::Confirmed(_));
            prop_assert_eq!(confirmed(&a), confirmed(&b));
        }
    }
}
