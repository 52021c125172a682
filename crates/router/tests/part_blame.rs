//! Parts of prompts that crash servers: what confirms them, what clears them, and that gateways agree.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{ServerId, SoftwareVersion};
use ebonyloft_router::part_blame::{
    PARTS_MAX, PartBlame, PartChange, PartDigest, PartFact, PartState, PromptParts, ROUND,
    SETTLE_TIME,
};
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::SoftwareId;

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
