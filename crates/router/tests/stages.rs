//! How many engines read prompts, and when one is told to change.

#[path = "support/fleet.rs"]
mod fleet;

use ebonyloft_core::time::Moment;
use ebonyloft_router::catalog::{Server, Stage};
use ebonyloft_router::stages::{Planner, Shape, View, WANTED_FOR, readers};

use self::fleet::{engine, server};

const NOW: Moment = Moment::from_millis(100_000);

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

fn next(planner: &mut Planner, at: Moment, reading: usize, shape: Option<Shape>) -> Option<Stage> {
    let servers = servers(reading);
    let servers: Vec<&Server> = servers.iter().collect();
    let engine = engine(64, 103_424);
    let rate = 55_556.0;
    let view = View { group: "llm", servers: &servers, engine: &engine, shape, rate };
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
    let view = View { group: "llm", servers: &servers, engine: &engine, shape: None, rate };
    let (id, stage) = Planner::default().next(NOW, &view).expect("a change");
    assert_eq!(stage, Stage::Decode);
    let picked = all.iter().find(|s| s.id == id).expect("it is of the list");
    assert_eq!(picked.zone, "z0");
}
