//! Parts of prompts that crash servers: what confirms them, what clears them, and that gateways agree.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{ServerId, SoftwareVersion};
use ebonyloft_router::load_report::PEER_TIMEOUT;
use ebonyloft_router::part_blame::{
    ANNOUNCE_TIME, PARTS_MAX, PartBlame, PartChange, PartDigest, PartFact, PartState, PartUpdate,
    PromptParts, ROUND, SETTLE_TIME,
};
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::SoftwareId;
use proptest::prelude::*;

const NOW: Timestamp = Timestamp::from_millis(1_000_000_000);
const FIRST: u64 = 1;
const BAD: u64 = 2;
const SHARED: u64 = 3;

fn software(version: &str) -> SoftwareId {
    SoftwareId::new("engines", &SoftwareVersion::new(version).expect("a valid version"))
}

/// A request with these parts before its last one, unlike any other with another number.
fn request(number: u64, parts: &[u64]) -> PromptParts {
    let all: Vec<PartDigest> =
        parts.iter().copied().chain([1_000 + number]).map(PartDigest).collect();
    PromptParts::new(RequestDigest(number, number), &all)
}

fn crash(server: u64, parts: &PromptParts) -> PartFact {
    PartFact::Crashed(ServerId::new(format!("s{server}"), 0), software("1"), parts.clone())
}

/// A gateway that gets facts as time goes on.
struct Gateway {
    now: Timestamp,
    blame: PartBlame,
}

impl Gateway {
    fn new() -> Self {
        Gateway { now: NOW, blame: PartBlame::default() }
    }

    fn apply(&mut self, fact: PartFact) -> Vec<PartChange> {
        self.blame.apply_all(self.now, &[fact.now()])
    }

    /// Applies crashes one after the other, each in a round of its own.
    fn crash_each(&mut self, servers: std::ops::Range<u64>, parts: &[u64]) {
        for server in servers {
            self.wait(ROUND);
            self.apply(crash(server, &request(server, parts)));
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now = self.now.after(time);
    }

    fn sound(&mut self, parts: &[u64]) -> Option<PartFact> {
        let fact = self.blame.on_sound(self.now, &request(99, parts), software("1"));
        fact.iter().for_each(|fact| drop(self.apply(fact.clone())));
        fact
    }

    fn state(&self, parts: &[u64]) -> PartState {
        self.blame.state(self.now, &request(77, parts), &[software("1")])
    }

    fn is_refused(&self, parts: &[u64]) -> bool {
        matches!(self.state(parts), PartState::Refused { .. })
    }

    fn confirmed(&mut self) -> Vec<u64> {
        self.wait(SETTLE_TIME);
        self.blame.confirm(self.now).into_iter().map(|(part, _)| part.0).collect()
    }
}

#[test]
fn a_part_of_requests_that_differ_is_refused_after_three_crashes() {
    let mut gateway = Gateway::new();
    gateway.sound(&[FIRST]);
    gateway.crash_each(0..1, &[FIRST, BAD]);
    assert_eq!(gateway.state(&[FIRST, BAD]), PartState::Suspect);
    assert_eq!(gateway.state(&[FIRST]), PartState::Free);
    gateway.crash_each(1..3, &[FIRST, BAD]);
    gateway.sound(&[FIRST]);
    assert!(gateway.is_refused(&[FIRST, BAD]));
    assert_eq!(gateway.confirmed(), [BAD]);
    assert_eq!(gateway.state(&[FIRST, SHARED]), PartState::Free);
}

#[test]
fn the_last_part_is_never_blamed() {
    let parts = PromptParts::new(RequestDigest(1, 1), &[PartDigest(BAD)]);
    assert!(parts.is_empty());
    assert!(PromptParts::new(RequestDigest(1, 1), &[]).is_empty());
}

#[test]
fn repeated_and_endless_parts_are_bounded() {
    let all: Vec<PartDigest> = (0..1_000).map(|n| PartDigest(n / 2)).collect();
    let parts = PromptParts::new(RequestDigest(1, 1), &all);
    assert_eq!(parts.parts().len(), PARTS_MAX);
    assert_eq!(parts.parts()[1], PartDigest(1));
}

#[test]
fn a_part_that_ended_beside_the_cause_is_not_blamed() {
    let mut gateway = Gateway::new();
    for server in 0..4 {
        gateway.wait(ROUND);
        gateway.apply(crash(server, &request(server, &[BAD])));
        if server > 0 {
            gateway.apply(crash(server, &request(10 + server, &[SHARED])));
        }
    }
    assert!(gateway.is_refused(&[BAD]));
    assert_eq!(gateway.state(&[SHARED]), PartState::Suspect);
    gateway.sound(&[SHARED]);
    assert_eq!(gateway.state(&[SHARED]), PartState::Free);
    assert_eq!(gateway.confirmed(), [BAD]);
}

#[test]
fn a_part_that_always_came_with_the_cause_is_probed_without_it() {
    let mut gateway = Gateway::new();
    gateway.crash_each(0..3, &[SHARED, BAD]);
    assert!(gateway.is_refused(&[SHARED, BAD]));
    assert_eq!(gateway.state(&[SHARED]), PartState::Suspect);
    gateway.sound(&[SHARED]);
    assert_eq!(gateway.confirmed(), [BAD]);
    assert_eq!(gateway.state(&[SHARED]), PartState::Free);
}

#[test]
fn servers_that_crash_at_the_same_moment_confirm_nothing() {
    let mut gateway = Gateway::new();
    for server in 0..12 {
        gateway.apply(crash(server, &request(server, &[SHARED])));
    }
    assert_eq!(gateway.state(&[SHARED]), PartState::Suspect);
    assert_eq!(gateway.confirmed(), [0; 0]);
}

#[test]
fn a_request_that_crashes_servers_by_itself_brings_no_blame_on_its_parts() {
    let mut gateway = Gateway::new();
    for server in 0..4 {
        gateway.wait(ROUND);
        gateway.apply(crash(server, &request(5, &[SHARED])));
    }
    assert!(!gateway.is_refused(&[SHARED]));
    assert_eq!(gateway.confirmed(), [0; 0]);
}

#[test]
fn a_sound_answer_of_another_version_clears_nothing() {
    let mut gateway = Gateway::new();
    gateway.crash_each(0..3, &[BAD]);
    gateway.confirmed();
    let run = request(50, &[BAD]);
    let fact = gateway.blame.on_sound(gateway.now, &run, software("2"));
    fact.into_iter().for_each(|fact| drop(gateway.apply(fact)));
    assert!(gateway.is_refused(&[BAD]));
    assert_eq!(gateway.blame.state(gateway.now, &run, &[software("2")]), PartState::Free);
}

#[test]
fn a_confirmed_part_is_probed_at_a_version_without_evidence() {
    let mut gateway = Gateway::new();
    gateway.crash_each(0..3, &[BAD]);
    gateway.confirmed();
    let state = gateway.blame.state(gateway.now, &request(50, &[BAD]), &[software("2")]);
    assert_eq!(state, PartState::Suspect);
}

#[test]
fn a_second_request_waits_while_a_suspect_is_probed() {
    let mut gateway = Gateway::new();
    gateway.crash_each(0..1, &[BAD]);
    let probe = gateway.blame.probe(&request(50, &[BAD]), &[software("1")], 7);
    gateway.apply(probe);
    assert!(matches!(gateway.state(&[BAD]), PartState::Held(_)));
    gateway.apply(PartFact::Over(7));
    assert_eq!(gateway.state(&[BAD]), PartState::Suspect);
}

#[test]
fn an_operator_releases_a_part() {
    let mut gateway = Gateway::new();
    gateway.crash_each(0..3, &[BAD]);
    gateway.confirmed();
    gateway.apply(PartFact::Released(PartDigest(BAD)));
    assert_eq!(gateway.state(&[BAD]), PartState::Free);
}

#[test]
fn a_gateway_that_starts_learns_everything_from_a_peer() {
    let mut peer = Gateway::new();
    peer.sound(&[FIRST]);
    peer.crash_each(0..4, &[FIRST, BAD]);
    peer.confirmed();
    let mut started = Gateway::new();
    started.now = peer.now;
    started.blame.apply_all(peer.now, &peer.blame.updates(peer.now));
    assert_eq!(started.blame.checksum(), peer.blame.checksum());
    assert!(started.is_refused(&[FIRST, BAD]));
}

proptest! {
    /// Facts arrive in any order, and more than once.
    #[test]
    fn gateways_with_the_same_facts_agree(
        facts in proptest::collection::vec((0_u64..6, 0_u64..8, 1_u64..5, 1_u64..5), 1..24),
        order in any::<u64>(),
    ) {
        let updates: Vec<PartUpdate> = facts
            .iter()
            .map(|(server, number, a, b)| PartUpdate {
                age: 10_000 - server * 1_000,
                fact: crash(*server, &request(*number, &[*a, *b])),
            })
            .collect();
        let mut others = updates.clone();
        others.sort_by_key(|update| ebonyloft_router::divergence::mix(update.age ^ order));
        others.extend(updates.iter().take(3).cloned());
        let (mut a, mut b) = (PartBlame::default(), PartBlame::default());
        a.apply_all(NOW, &updates);
        others.iter().for_each(|update| drop(b.apply_all(NOW, std::slice::from_ref(update))));
        prop_assert_eq!(a.checksum(), b.checksum());
        for part in 1..5 {
            let asked = request(99, &[part]);
            prop_assert_eq!(
                a.state(NOW, &asked, &[software("1")]),
                b.state(NOW, &asked, &[software("1")])
            );
        }
    }
}

#[test]
fn a_sound_answer_does_not_become_later_each_time_that_peers_repeat_it() {
    let (mut own, mut peer) = (Gateway::new(), Gateway::new());
    own.sound(&[BAD]);
    peer.apply(PartFact::Sound(software("1"), request(99, &[BAD])));
    let report = PartUpdate { age: 5, fact: crash(1, &request(1, &[BAD])) };
    let refuted = own.blame.refutation(own.now, &report).map(|update| update.fact);
    assert!(matches!(refuted, Some(PartFact::Sound(..))), "{refuted:?}");
    assert_eq!(peer.blame.refutation(peer.now, &report), None);
}

#[test]
fn a_sound_part_is_not_blamed_while_gateways_report_no_crashes() {
    let mut gateway = Gateway::new();
    gateway.sound(&[FIRST]);
    for server in 1..9 {
        gateway.wait(ROUND);
        gateway.blame.on_silent_peer(gateway.now);
        gateway.apply(crash(server, &request(server, &[FIRST])));
    }
    assert_eq!(gateway.state(&[FIRST]), PartState::Free);
    assert_eq!(gateway.confirmed(), [0; 0]);
    gateway.wait(PEER_TIMEOUT);
    gateway.crash_each(9..14, &[FIRST]);
    assert!(gateway.is_refused(&[FIRST]), "all gateways report crashes again");
}

#[test]
fn a_gateway_that_starts_blames_no_sound_part_for_crashes_before() {
    let (mut peer, start) = (Gateway::new(), NOW.after(ROUND * 9));
    peer.sound(&[FIRST]);
    peer.crash_each(1..8, &[FIRST]);
    peer.now = start;
    assert!(peer.is_refused(&[FIRST]));
    let mut started = Gateway { now: start, blame: PartBlame::new(start) };
    started.blame.apply_all(start, &peer.blame.updates(start));
    assert_eq!(started.state(&[FIRST]), PartState::Free);
    started.crash_each(8..13, &[FIRST]);
    assert!(started.is_refused(&[FIRST]));
}

#[test]
fn a_sound_answer_from_before_a_probe_does_not_end_it() {
    let mut gateway = Gateway::new();
    gateway.crash_each(1..3, &[BAD]);
    gateway.wait(ROUND);
    let fact = gateway.blame.probe(&request(3, &[BAD]), &[software("1")], 7);
    gateway.apply(fact);
    gateway.wait(ROUND);
    let held = gateway.state(&[BAD]);
    assert!(matches!(held, PartState::Held(_)), "{held:?}");
    let sound = PartFact::Sound(software("1"), request(4, &[BAD]));
    gateway.blame.apply_all(gateway.now, &[PartUpdate { age: 900, fact: sound.clone() }]);
    assert_eq!(gateway.state(&[BAD]), held);
    gateway.apply(sound);
    assert_eq!(gateway.state(&[BAD]), PartState::Free);
}

#[test]
fn of_two_probes_that_are_announced_at_once_one_begins() {
    let mut gateway = Gateway::new();
    gateway.crash_each(1..3, &[BAD]);
    for number in [7, 8] {
        let fact = gateway.blame.probe(&request(number, &[BAD]), &[software("1")], number);
        gateway.apply(fact);
    }
    gateway.wait(ANNOUNCE_TIME);
    assert!(!gateway.blame.yields(gateway.now, 7));
    assert!(gateway.blame.yields(gateway.now, 8));
    gateway.apply(PartFact::Over(7));
    assert!(!gateway.blame.yields(gateway.now, 8));
}
