//! Routes by host and longest prefix, and services by weight.

use std::time::Duration;

use ebonyloft_router::catalog::{Config, Kind, Route, Split};
use ebonyloft_router::routes;

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(150),
        priority: 1,
        split: split.iter().map(|(s, w)| Split { service: (*s).into(), weight: *w }).collect(),
        attempts: 2,
        resumable: false,
        public: false,
    }
}

fn config() -> Config {
    let routes = vec![
        route("short", "gate.example", "/a/", &[("app", 1)]),
        route("long", "gate.example", "/a/b/", &[("app", 9), ("other", 1)]),
        route("elsewhere", "desk.example", "/a/b/c/", &[("app", 1)]),
    ];
    Config { version: 1, routes, ..Config::default() }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let config = config();
    let name = |host, path| routes::find(&config, host, path).map(|r| r.name.as_str());
    assert_eq!(name("gate.example", "/a/b/c/d"), Some("long"));
    assert_eq!(name("gate.example", "/a/x"), Some("short"));
    assert_eq!(name("GATE.example:8080", "/a/x"), Some("short"));
    assert_eq!(name("gate.example", "/b/"), None);
    assert_eq!(name("nowhere.example", "/a/"), None);
}

#[test]
fn a_prefix_ends_at_a_slash() {
    let config = config();
    assert!(routes::find(&config, "gate.example", "/a").is_none());
    assert!(routes::find(&config, "gate.example", "/ab/").is_none());
}

#[test]
fn services_are_selected_by_weight() {
    let config = config();
    let long = routes::find(&config, "gate.example", "/a/b/").expect("a route");
    let draws = (0..1_000).map(|i| f64::from(i) / 1_000.0);
    let app = draws.filter(|d| routes::service(long, *d) == Some("app")).count();
    assert_eq!(app, 900);
}

#[test]
fn a_service_without_weight_is_never_selected() {
    let route = route("r", "h", "/", &[("none", 0), ("all", 5), ("last", 0)]);
    assert_eq!(routes::service(&route, 0.0), Some("all"));
    assert_eq!(routes::service(&route, 0.999_999_999_999_999_9), Some("all"));
}
