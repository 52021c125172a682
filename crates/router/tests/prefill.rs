//! Which engine reads a prompt.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId, Stage};
use ebonyloft_router::prefill::{APART, Choice, Paces, pick};
use ebonyloft_router::reading::{FIRST_RATE, Reading};
use ebonyloft_router::share::Work;

use self::fleet::server;

const NOW: Timestamp = Timestamp::from_millis(100_000);

/// Readers 0 to 7, two in each of four availability zones, in turn.
fn readers() -> Vec<Server> {
    let zone = |i: usize| format!("z{}", i % 4);
    (0..8).map(|i| Server { zone: zone(i), ..server(i, 12, Some(Stage::Prefill)) }).collect()
}

/// The zone of the reader that one of `entries` picks for a writer in z0, with so many prompt tokens
/// queued at each reader of z0; each draw prefers the readers of the other zones.
fn zone(queued: u64, entries: usize) -> String {
    let readers = readers();
    let work = |id: &ServerId| match readers.iter().any(|s| s.id == *id && s.zone == "z0") {
        true => Work { unread: queued, reads: 1, ..Work::default() },
        false => Work::default(),
    };
    let paces = Paces::default();
    let reading = Reading::default();
    let choice = Choice { paces: &paces, reading: &reading, prompt: 3_200, zone: "z0", entries };
    let mut drawn = 0;
    let draw = || {
        drawn += 1;
        if drawn % 4 == 1 { 0.9 } else { f64::from(drawn) / 100.0 }
    };
    pick(NOW, readers.iter(), work, &choice, draw).expect("a reader").0.zone.clone()
}

#[test]
fn a_prompt_is_read_in_the_zone_of_its_writer() {
    assert_eq!(zone(0, 4), "z0");
}

/// One of 31 entries compares two readers, here of other zones, and one of the writer's zone.
#[test]
fn one_of_the_zone_is_compared_also_among_many_entries() {
    assert_eq!(zone(0, 31), "z0");
}

#[test]
fn a_longer_queue_in_the_zone_sends_the_prompt_elsewhere() {
    let tokens = |time: Duration| (FIRST_RATE * time.as_secs_f64()) as u64;
    assert_eq!(zone(tokens(APART / 2), 4), "z0");
    assert_ne!(zone(tokens(APART * 2), 4), "z0");
    assert_ne!(zone(tokens(APART * 2), 31), "z0");
}
