//! Finds the route and the service of a request.

use crate::catalog::{Config, Route};

/// Route of the host with the longest prefix of the path.
pub fn find<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    let host = host.split(':').next().unwrap_or_default();
    config
        .routes
        .iter()
        .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix))
        .max_by_key(|r| r.prefix.len())
}

/// Selects a service of the route by weight; `draw` is uniform in 0..1.
pub fn service(route: &Route, draw: f64) -> Option<&str> {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    let mut remaining = draw * total as f64;
    for split in &route.split {
        remaining -= f64::from(split.weight);
        if remaining < 0.0 {
            return Some(&split.service);
        }
    }
    route.split.iter().rev().find(|s| s.weight > 0).map(|s| s.service.as_str())
}
