//! Statistics of services and routes, learned from traffic instead of being fixed to the figures of
//! one customer.

use std::collections::{BTreeMap, HashMap};

use crate::answer_length::{AnswerLengths, TypicalRequest};
use crate::prefill_speed::PrefillSpeed;
use crate::stages::{Shape, ShapeReport};

/// Statistics of one service's engines and requests.
#[derive(Clone, Debug, Default)]
pub struct ServiceStats {
    /// Prefill speed of its engines.
    pub prefill_speed: PrefillSpeed,
    /// Average shape of its requests, from which engines are divided between the stages.
    pub shape: Shape,
    /// Average request, the reference for the value of others.
    pub typical_request: TypicalRequest,
}

/// Statistics of all services and routes.
#[derive(Clone, Debug, Default)]
pub struct TrafficStats {
    services: HashMap<String, ServiceStats>,
    lengths: HashMap<String, AnswerLengths>,
}

impl TrafficStats {
    /// Returns the statistics of a service, initially the default guesses.
    pub fn service(&mut self, name: &str) -> &mut ServiceStats {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), ServiceStats::default());
        }
        self.services.get_mut(name).expect("inserted above")
    }

    /// Returns the shape of each service's requests, for other gateways.
    pub fn shapes(&self) -> BTreeMap<String, ShapeReport> {
        let reports = self.services.iter().map(|(name, s)| (name, s.shape.report()));
        reports.filter_map(|(name, report)| Some((name.clone(), report?))).collect()
    }

    /// Returns the answer lengths of a route, initially the default guess.
    pub fn lengths(&mut self, route: &str) -> &mut AnswerLengths {
        if !self.lengths.contains_key(route) {
            self.lengths.insert(route.to_owned(), AnswerLengths::default());
        }
        self.lengths.get_mut(route).expect("inserted above")
    }

    /// Drops the statistics of routes and services that are gone.
    pub fn retain(&mut self, route: impl Fn(&str) -> bool, service: impl Fn(&str) -> bool) {
        self.lengths.retain(|name, _| route(name));
        self.services.retain(|name, _| service(name));
    }
}
