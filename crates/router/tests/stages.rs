//! How many engines read prompts, and when one is told to change.

#[path = "support/fleet.rs"]
mod fleet;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, Stage};
use ebonyloft_router::stages::{Planner, Shape, View, WANTED_FOR, readers};

use self::fleet::{engine, server};

const NOW: Timestamp = Timestamp::from_millis(100_000);

/// Nine engines in three availability zones, the first of which read.
fn servers(reading: usize) -> Vec<Server> {
    let stage = |i| if i < reading { Stage::Prefill } else { Stage::Decode };
    let zone = |i: usize| format!("z{}", i % 3);
    (0..9).map(|i| Server { zone: zone(i), ..server(i, 64, Some(stage(i))) }).collect()
}

/// A shape learned from requests of 5,200 and 4,500 tokens, whose tokens take 0.7 ms.
fn learned(requests: usize) -> Shape {
    let mut shape = Shape::default();
    for _ in 0..requests {
        shape.observe(5_200.0, 4_500.0);
        for _ in 0..20 {
            shape.observe_token(0.000_7);
        }
    }
    shape
}

fn next(
    planner: &mut Planner,
    at: Timestamp,
    reading: usize,
    shape: Option<Shape>,
) -> Option<Stage> {
    let servers = servers(reading);
    let servers: Vec<&Server> = servers.iter().collect();
    let engine = engine(64, 103_424);
    let rate = 55_556.0;
    let groups = [servers];
    let view = View { service: "llm", groups: &groups, engine: &engine, shape, rate };
    planner.next(at, &view).map(|(_, stage)| stage)
}

#[test]
fn a_shape_is_learned_within_some_dozens_of_requests() {
    assert!(!Shape::default().is_known());
    assert!(learned(12).is_known());
    let soon = readers(9, &engine(64, 103_424), &learned(24), 55_556.0);
    assert!((2.2..3.4).contains(&soon), "{soon}");
    let wanted = readers(9, &engine(64, 103_424), &learned(300), 55_556.0);
    assert!((2.4..3.3).contains(&wanted), "{wanted}");
}

#[test]
fn the_first_change_is_made_at_once() {
    let mut planner = Planner::default();
    assert_eq!(next(&mut planner, NOW, 6, None), Some(Stage::Decode));
}

/// Later a change must have been wanted for a while: what is learned moves to and fro.
#[test]
fn a_change_is_made_once_it_was_wanted_for_a_while() {
    let mut planner = Planner::default();
    let shape = Some(learned(200));
    assert_eq!(next(&mut planner, NOW, 5, shape), None);
    let soon = NOW.after(WANTED_FOR / 2);
    assert_eq!(next(&mut planner, soon, 3, shape), None);
    // It was not wanted in between: the time begins anew.
    assert_eq!(next(&mut planner, NOW.after(WANTED_FOR), 5, shape), None);
    assert_eq!(next(&mut planner, NOW.after(WANTED_FOR * 2), 5, shape), Some(Stage::Decode));
}

#[test]
fn the_zone_with_the_most_readers_gives_one_up() {
    let mut all = servers(0);
    for i in [0, 1, 3, 6] {
        all[i].stage = Some(Stage::Prefill);
    }
    let servers: Vec<&Server> = all.iter().collect();
    let engine = engine(64, 103_424);
    let rate = 1e6;
    let groups = [servers];
    let view = View { service: "llm", groups: &groups, engine: &engine, shape: None, rate };
    let (id, stage) = Planner::default().next(NOW, &view).expect("a change");
    assert_eq!(stage, Stage::Decode);
    let picked = all.iter().find(|s| s.id == id).expect("it is of the list");
    assert_eq!(picked.zone, "z0");
}

/// So many zones of engines of one customer, the first two of each of which read.
fn zones(zones: usize, engines: usize) -> Vec<Server> {
    let stage = |i| if i % engines < 2 { Stage::Prefill } else { Stage::Decode };
    let zone = |i: usize| format!("z{}", i / engines);
    let server = |i| Server { zone: zone(i), ..server(i, 12, Some(stage(i))) };
    (0..zones * engines).map(server).collect()
}

/// Changes that are made one after the other while requests stay as they are.
fn changes(all: &[Server], zones: usize) -> Vec<(String, Stage)> {
    let groups: Vec<Vec<&Server>> =
        (0..zones).map(|z| all.iter().filter(|s| s.zone == format!("z{z}")).collect()).collect();
    let mut shape = Shape::default();
    for _ in 0..100 {
        shape.observe(3_200.0, 864.0);
        shape.observe_token(0.004_3);
    }
    let (engine, rate) = (engine(12, 27_077), 33_333.0);
    let view = View { service: "llm", groups: &groups, engine: &engine, shape: Some(shape), rate };
    let mut planner = Planner::default();
    let mut made = Vec::new();
    for round in 0..20 {
        let at = NOW.after(WANTED_FOR * round);
        if let Some((id, stage)) = planner.next(at, &view) {
            planner.given(NOW.after(WANTED_FOR * 100), &id, stage, &engine);
            let zone = all.iter().find(|s| s.id == id).expect("it is of the list").zone.clone();
            made.push((zone, stage));
        }
    }
    made
}

/// Each zone has a little less than one reader too many, all together have five: they give them up, and
/// no zone more than one.
#[test]
fn zones_that_are_all_a_little_off_change_together() {
    let made = changes(&zones(6, 6), 6);
    assert!(made.len() >= 4, "{made:?}");
    assert!(made.iter().all(|(_, stage)| *stage == Stage::Decode), "{made:?}");
    let mut changed: Vec<&String> = made.iter().map(|(zone, _)| zone).collect();
    changed.sort();
    changed.dedup();
    assert_eq!(changed.len(), made.len(), "{made:?}");
}

/// Zones that are as near to what is wanted as whole engines allow stay as they are.
#[test]
fn zones_that_no_change_brings_nearer_stay_as_they_are() {
    assert_eq!(changes(&zones(6, 10), 6), []);
}
