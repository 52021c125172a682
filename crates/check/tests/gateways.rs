//! What a fleet of gateways says to each other and to the store, and how that grows.

use ebonyloft_check::gateways::{FleetReport, FleetSpec, Kind, Phase, power, simulate};

const SIZES: [usize; 3] = [48, 96, 192];

fn run(gateways: usize, phase: Phase) -> FleetReport {
    let servers = gateways * 6 / 5;
    simulate(FleetSpec { gateways, servers, zones: 6, phase, loss: 0.01, seed: 1 })
}

fn at_sizes(phase: Phase) -> Vec<FleetReport> {
    SIZES.into_iter().map(|gateways| run(gateways, phase)).collect()
}

/// Power of the growth from the smallest to the largest size.
fn growth(reports: &[FleetReport], value: impl Fn(&FleetReport) -> f64) -> f64 {
    let (first, last) = (&reports[0], &reports[reports.len() - 1]);
    power((first.gateways, last.gateways), (value(first), value(last)))
}

/// What was seen: some ten calls of each gateway that started, since all followed the store until
/// they heard that others did. Two calls a gateway are the bound, and they don't grow.
#[test]
fn a_start_costs_two_calls_a_gateway_at_any_size() {
    let reports = at_sizes(Phase::Start);
    let last = &reports[reports.len() - 1];
    let own = last.price - follower_price(last);
    assert!(own <= 2.0, "{last:?}");
    assert!(growth(&reports, |r| r.price) <= 0.1, "{reports:?}");
}

/// Price of the watches of two followers a zone, by gateway.
fn follower_price(report: &FleetReport) -> f64 {
    report.rows.get(&Kind::Watch).map_or(0.0, |row| row.mean)
}

/// In calm only the followers call, and their number does not grow.
#[test]
fn calls_in_calm_do_not_grow_with_the_fleet() {
    let reports = at_sizes(Phase::Calm);
    for r in &reports {
        assert!(r.followers <= 12, "{r:?}");
        assert!(r.price * r.gateways as f64 / r.seconds <= 12.0 * 0.5, "{r:?}");
    }
    assert!(growth(&reports, |r| r.price) < -0.8, "{reports:?}");
}

/// A restart needs no write: one small read, and lists from peers.
#[test]
fn gateways_that_restart_call_the_store_once() {
    for phase in [Phase::Restart, Phase::LossOfAll] {
        let report = run(96, phase);
        assert!(!report.rows.contains_key(&Kind::Write), "{report:?}");
        let pages = report.rows.get(&Kind::StalePage).map_or(0.0, |row| row.mean);
        assert!(pages <= 2.0, "{report:?}");
        assert!(report.complete_ms <= 1_500, "{report:?}");
    }
}

#[test]
fn a_leaving_server_is_known_everywhere_in_half_of_the_shortest_bound() {
    let report = run(192, Phase::Leaving);
    assert!(report.known_ms <= 2_500, "{report:?}");
}

/// No registration ends while the store is away, none is written at its return, and a zone calls
/// the store meanwhile as some ten gateways do.
#[test]
fn an_outage_of_the_store_costs_no_writes_and_few_calls() {
    let reports: Vec<FleetReport> =
        [96, 192, 384].into_iter().map(|n| run(n, Phase::StoreAway)).collect();
    for r in &reports {
        assert!(!r.rows.contains_key(&Kind::Write), "{r:?}");
        assert!(r.followers <= 6 * 20, "{r:?}");
    }
    let whole = |r: &FleetReport| r.price * r.gateways as f64;
    assert!(growth(&reports, whole) <= 0.5, "{reports:?}");
}
