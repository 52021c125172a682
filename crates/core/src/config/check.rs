//! Checks of a whole document; all faults are listed, each with its path.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::{Document, PoolKind, Rate, Right, Target};
use crate::ids::PoolName;

/// Longest deadline that a route may state.
pub const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);
/// Most accounts in a document.
pub const ACCOUNT_LIMIT: usize = 100_000;
/// Most routes in a document.
pub const ROUTE_LIMIT: usize = 1_000;

/// A fault in a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Where, such as `routes[2].target`.
    pub path: String,
    /// Why it is refused.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Reads a document from JSON text and checks it.
pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    let doc: Document = serde_json::from_str(text).map_err(|e| {
        vec![Fault {
            path: format!("line {} column {}", e.line(), e.column()),
            reason: e.to_string(),
        }]
    })?;
    let faults = check(&doc);
    if faults.is_empty() {
        Ok(doc)
    } else {
        Err(faults)
    }
}

/// All faults of a document; none means that it may be accepted.
pub fn check(doc: &Document) -> Vec<Fault> {
    let mut faults = Faults(Vec::new());
    check_routes(doc, &mut faults);
    check_limits(doc, &mut faults);
    check_accounts(doc, &mut faults);
    check_operators(doc, &mut faults);
    check_weights(doc, &mut faults);
    faults.0
}

struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Fault {
            path: path.into(),
            reason: reason.into(),
        });
    }
}

fn check_routes(doc: &Document, faults: &mut Faults) {
    if doc.routes.len() > ROUTE_LIMIT {
        faults.add("routes", format!("at most {ROUTE_LIMIT} routes"));
    }
    let mut names = BTreeSet::new();
    for (i, route) in doc.routes.iter().enumerate() {
        let at = |field: &str| format!("routes[{i}].{field}");
        if route.name.is_empty() {
            faults.add(at("name"), "must not be empty");
        }
        if !names.insert(&route.name) {
            faults.add(at("name"), format!("`{}` stands twice", route.name));
        }
        match &route.target {
            Target::Plain { pool } => check_pool(doc, pool, PoolKind::Plain, at("target"), faults),
            Target::Model {
                decode, prefill, ..
            } => {
                check_pool(doc, decode, PoolKind::Decode, at("target.decode"), faults);
                if let Some(p) = prefill {
                    check_pool(doc, p, PoolKind::Prefill, at("target.prefill"), faults);
                }
            }
        }
        if route.deadline_ms.is_zero() || route.deadline_ms > LONGEST_DEADLINE {
            let most = LONGEST_DEADLINE.as_millis();
            faults.add(at("deadline_ms"), format!("must lie from 1 to {most}"));
        }
        if route.first_ms.is_zero() {
            faults.add(at("first_ms"), "must be at least 1");
        }
        if route.token_ms.is_zero() {
            faults.add(at("token_ms"), "must be at least 1");
        }
    }
}

fn check_pool(doc: &Document, name: &PoolName, kind: PoolKind, path: String, faults: &mut Faults) {
    match doc.pools.get(name) {
        None => faults.add(path, format!("no pool is named `{name}`")),
        Some(p) if p.kind != kind => {
            faults.add(
                path,
                format!("pool `{name}` is not of the kind {kind:?}").to_lowercase(),
            );
        }
        Some(_) => {}
    }
}

fn check_rate(rate: &Rate, path: String, faults: &mut Faults) {
    if !rate.rate.is_finite() || rate.rate < 0.0 {
        faults.add(format!("{path}.rate"), "must be a number of at least 0");
    }
    if !rate.burst.is_finite() || rate.burst < 1.0 {
        faults.add(format!("{path}.burst"), "must be a number of at least 1");
    }
}

fn check_limits(doc: &Document, faults: &mut Faults) {
    let mut names = BTreeSet::new();
    for (i, limit) in doc.limits.iter().enumerate() {
        if !names.insert(&limit.name) {
            faults.add(
                format!("limits[{i}].name"),
                format!("`{}` stands twice", limit.name),
            );
        }
        check_rate(&limit.bound, format!("limits[{i}].bound"), faults);
    }
}

fn check_accounts(doc: &Document, faults: &mut Faults) {
    if doc.accounts.len() > ACCOUNT_LIMIT {
        faults.add("accounts", format!("at most {ACCOUNT_LIMIT} accounts"));
    }
    let mut tokens = BTreeSet::new();
    for (name, rule) in &doc.accounts {
        if !tokens.insert(rule.token) {
            faults.add(
                format!("accounts.{name}.token"),
                "another account has the same token",
            );
        }
        if let Some(bound) = &rule.bound {
            check_rate(bound, format!("accounts.{name}.bound"), faults);
        }
    }
}

fn check_operators(doc: &Document, faults: &mut Faults) {
    if !doc
        .operators
        .values()
        .any(|o| o.rights.contains(&Right::Write))
    {
        faults.add(
            "operators",
            "one operator at least needs the right to write",
        );
    }
    let mut tokens = BTreeSet::new();
    for (name, rule) in &doc.operators {
        if !tokens.insert(rule.token) {
            faults.add(
                format!("operators.{name}.token"),
                "another operator has the same token",
            );
        }
    }
}

fn check_weights(doc: &Document, faults: &mut Faults) {
    if doc.weight_loads == 0 {
        faults.add("weight_loads", "must be at least 1");
    }
    for (name, value) in [
        ("goodput", doc.weights.goodput),
        ("waste", doc.weights.waste),
    ] {
        if !(value.is_finite() && value > 0.0) {
            faults.add(format!("weights.{name}"), "must be a number above 0");
        }
    }
}
