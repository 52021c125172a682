//! Which route and service a request belongs to.

use crate::catalog::{Config, Route};

/// The route with the longest prefix that begins the path, among those of the host.
pub fn find<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    let host = host.split(':').next().unwrap_or_default();
    config
        .routes
        .iter()
        .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix))
        .max_by_key(|r| r.prefix.len())
}

/// The service that takes this request; `draw` is uniform in 0..1.
pub fn service(route: &Route, draw: f64) -> Option<&str> {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    let mut left = draw * total as f64;
    for split in &route.split {
        left -= f64::from(split.weight);
        if left < 0.0 {
            return Some(&split.service);
        }
    }
    route.split.iter().rev().find(|s| s.weight > 0).map(|s| s.service.as_str())
}
