//! Planning of stages: how many prefill engines there are, and when an engine changes.

#[path = "support/fleet.rs"]
mod fleet;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, Stage};
use ebonyloft_router::stages::{CHANGE_DELAY, PlanContext, Planner, Shape, wanted_prefill_engines};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::fleet::{engine, server};

const NOW: Timestamp = Timestamp::from_millis(100_000);

/// Nine engines in three availability zones; the first `reading` are prefill engines.
fn servers(reading: usize) -> Vec<Server> {
    let stage = |i| if i < reading { Stage::Prefill } else { Stage::Decode };
    let zone = |i: usize| format!("z{}", i % 3);
    (0..9).map(|i| Server { zone: zone(i), ..server(i, 64, Some(stage(i))) }).collect()
}

/// A shape learned from requests with prompts of 5,200 tokens and answers of 4,500, at 0.7 ms per
/// token.
fn learned_shape(requests: usize) -> Shape {
    let mut shape = Shape::default();
    for _ in 0..requests {
        shape.observe(5_200.0, 4_500.0);
        for _ in 0..20 {
            shape.observe_token(0.000_7);
        }
    }
    shape
}

fn next_change(
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
    let context = PlanContext { service: "llm", groups: &groups, engine: &engine, shape, rate };
    planner.next(at, &context).map(|(_, stage)| stage)
}

#[test]
fn a_shape_is_learned_within_some_dozens_of_requests() {
    assert!(!Shape::default().is_known());
    assert!(learned_shape(12).is_known());
    let soon = wanted_prefill_engines(9, &engine(64, 103_424), &learned_shape(24), 55_556.0);
    assert!((2.2..3.4).contains(&soon), "{soon}");
    let wanted = wanted_prefill_engines(9, &engine(64, 103_424), &learned_shape(300), 55_556.0);
    assert!((2.4..3.3).contains(&wanted), "{wanted}");
}

#[test]
fn the_first_change_is_made_at_once() {
    let mut planner = Planner::default();
    assert_eq!(next_change(&mut planner, NOW, 6, None), Some(Stage::Decode));
}

/// Later a change must be wanted for a while, because the learned values fluctuate.
#[test]
fn a_change_is_made_after_it_was_wanted_for_a_while() {
    let mut planner = Planner::default();
    let shape = Some(learned_shape(200));
    assert_eq!(next_change(&mut planner, NOW, 5, shape), None);
    let soon = NOW.after(CHANGE_DELAY / 2);
    assert_eq!(next_change(&mut planner, soon, 3, shape), None);
    // It was not wanted in between, so the delay starts again.
    assert_eq!(next_change(&mut planner, NOW.after(CHANGE_DELAY), 5, shape), None);
    assert_eq!(
        next_change(&mut planner, NOW.after(CHANGE_DELAY * 2), 5, shape),
        Some(Stage::Decode)
    );
}

#[test]
fn an_engine_of_the_zone_with_the_most_prefill_engines_changes() {
    let mut all = servers(0);
    for i in [0, 1, 3, 6] {
        all[i].stage = Some(Stage::Prefill);
    }
    let servers: Vec<&Server> = all.iter().collect();
    let engine = engine(64, 103_424);
    let rate = 1e6;
    let groups = [servers];
    let context =
        PlanContext { service: "llm", groups: &groups, engine: &engine, shape: None, rate };
    let (id, stage) = Planner::default().next(NOW, &context).expect("a planned change");
    assert_eq!(stage, Stage::Decode);
    let picked = all.iter().find(|s| s.id == id).expect("the engine is listed");
    assert_eq!(picked.zone, "z0");
}

/// Zones of engines of one customer, with two prefill engines each.
fn zones(zones: usize, engines: usize) -> Vec<Server> {
    let stage = |i| if i % engines < 2 { Stage::Prefill } else { Stage::Decode };
    let zone = |i: usize| format!("z{}", i / engines);
    let server = |i| Server { zone: zone(i), ..server(i, 12, Some(stage(i))) };
    (0..zones * engines).map(server).collect()
}

/// The changes made one after the other while the request shape stays the same.
fn changes(all: &[Server], zones: usize) -> Vec<(String, Stage)> {
    let groups: Vec<Vec<&Server>> =
        (0..zones).map(|z| all.iter().filter(|s| s.zone == format!("z{z}")).collect()).collect();
    let mut shape = Shape::default();
    for _ in 0..100 {
        shape.observe(3_200.0, 864.0);
        shape.observe_token(0.004_3);
    }
    let (engine, rate) = (engine(12, 27_077), 33_333.0);
    let context =
        PlanContext { service: "llm", groups: &groups, engine: &engine, shape: Some(shape), rate };
    let mut planner = Planner::default();
    let mut changes_made = Vec::new();
    for round in 0..20 {
        let at = NOW.after(CHANGE_DELAY * round);
        if let Some((id, stage)) = planner.next(at, &context) {
            planner.on_ordered(NOW.after(CHANGE_DELAY * 100), &id, stage, &engine);
            let zone = all.iter().find(|s| s.id == id).expect("the engine is listed").zone.clone();
            changes_made.push((zone, stage));
        }
    }
    changes_made
}

/// Each zone has a little less than one prefill engine too many, all together five: these change,
/// in no zone more than one.
#[test]
fn zones_that_are_all_slightly_off_change_together() {
    let changes_made = changes(&zones(6, 6), 6);
    assert!(changes_made.len() >= 4, "{changes_made:?}");
    assert!(changes_made.iter().all(|(_, stage)| *stage == Stage::Decode), "{changes_made:?}");
    let mut changed: Vec<&String> = changes_made.iter().map(|(zone, _)| zone).collect();
    changed.sort();
    changed.dedup();
    assert_eq!(changed.len(), changes_made.len(), "{changes_made:?}");
}

/// Zones that are as near to the wanted number as whole engines allow stay as they are.
#[test]
fn zones_that_no_change_improves_stay_as_they_are() {
    assert_eq!(changes(&zones(6, 10), 6), []);
}

/// What was seen: on one customer's calm day the gateway that orders engines had 52 of them changed
/// by its own twenty requests; five too many wrote answers when a burst came, and 0.21 of what the
/// day was worth was lost. Which gateway orders is chance, so that days differed by that much.
#[test]
fn engines_are_divided_by_the_requests_of_all_gateways() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let spec = engine(24, 27_273);
    let wanted = |shape: &Shape| wanted_prefill_engines(52, &spec, shape, 33_333.0);
    // Prompts and answers of widely differing lengths, ten requests at each of 29 gateways.
    let mut all = Shape::default();
    let mut gateways = vec![Shape::default(); 29];
    for n in 0..290 {
        let mut length = |mean: f64| mean * (-rng.random::<f64>().max(1e-3).ln());
        let (prompt, output) = (length(4_400.0), length(1_100.0));
        gateways[n % 29].observe(prompt, output);
        all.observe(prompt, output);
    }
    let mean = wanted(&Shape::default().merged(gateways.iter().filter_map(Shape::report)));
    let far = gateways.iter().filter(|shape| (wanted(shape) - mean).abs() > 3.0).count();
    assert!(far > 0, "some alone would change four engines or more");
    for i in 0..29 {
        let others = gateways.iter().enumerate().filter(|(n, _)| *n != i);
        let merged = gateways[i].merged(others.filter_map(|(_, shape)| shape.report()));
        assert!((wanted(&merged) - mean).abs() < 0.1, "any of them plans the same");
        assert!(merged.is_known());
    }
}

#[test]
fn a_shape_without_reports_of_others_stays_as_it_is() {
    let own = learned_shape(200);
    let merged = own.merged(std::iter::empty());
    assert!(merged.prompt().abs_diff(own.prompt()) < 200, "{merged:?} {own:?}");
    assert!(!Shape::default().merged(std::iter::empty()).is_known());
}
