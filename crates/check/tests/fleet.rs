//! Control traffic of a fleet, in made-up time.

use ebonyloft_check::fleet::{Fleet, FleetReport, FleetSpec};

const SPEC: FleetSpec = FleetSpec {
    nodes: 10,
    settle: 30,
    after: 30,
    loss: 0.01,
    outage: 0,
    cut: 0,
    restarts: 0,
    seed: 1,
};

fn run(spec: FleetSpec) -> FleetReport {
    Fleet::new(spec).run().expect("nothing goes back")
}

#[test]
fn bytes_and_calls_do_not_grow_with_the_fleet() {
    let few = run(FleetSpec { nodes: 40, ..SPEC });
    let many = run(FleetSpec { nodes: 240, ..SPEC });
    assert!(many.bytes < few.bytes * 1.2, "{few:?} {many:?}");
    assert!(many.calls < few.calls * 1.2, "{few:?} {many:?}");
    assert!(many.bytes < 3_000.0, "{many:?}");
}

#[test]
fn a_change_is_in_force_everywhere_in_seconds() {
    let report = run(FleetSpec { nodes: 240, ..SPEC });
    assert!(report.all_ms < 5_000, "{report:?}");
}

#[test]
fn an_outage_delays_a_change_and_reverts_nothing() {
    let spec = FleetSpec { nodes: 60, outage: 120, after: 150, restarts: 6, ..SPEC };
    let report = run(spec);
    assert!((120_000..135_000).contains(&report.all_ms), "{report:?}");
}

#[test]
fn a_zone_that_was_cut_off_comes_back() {
    let spec = FleetSpec { nodes: 80, cut: 60, after: 150, ..SPEC };
    let report = run(spec);
    assert_eq!(report.wrong, 0, "{report:?}");
    assert!(report.all_ms < 75_000, "{report:?}");
}

#[test]
fn restarted_members_know_the_change() {
    let report = run(FleetSpec { nodes: 100, restarts: 10, ..SPEC });
    assert!(report.all_ms < 30_000, "{report:?}");
}
