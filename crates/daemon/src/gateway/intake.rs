//! A caller's request after it was read, with the route, service and deadlines resolved for it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::ids::Account;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::headers::{self, CallerHeaders, Resumes};
use ebonyloft_router::budget::Arrivals;
use ebonyloft_router::catalog::{Config, Kind, Route, ServerId};
use ebonyloft_router::part_blame::{PartDigest, PromptParts};
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::Origin;
use ebonyloft_router::urgency::{SendState, UrgencyLevels};
use http::HeaderMap;
use hyper::{Method, Request, Uri};

use super::body_memory::Share;

/// Deadlines sent to backend servers are this much earlier than the caller's, to leave time for the
/// answer to return.
const RETURN_MARGIN: Duration = Duration::from_millis(8);

/// A caller's request and its route.
pub struct Intake {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers that are forwarded.
    pub headers: HeaderMap,
    /// What the caller's own headers say about the request.
    pub caller: CallerHeaders,
    /// Keyed digest of the request.
    pub digest: RequestDigest,
    /// Digests of the shared parts of its prompt.
    pub parts: PromptParts,
    /// The complete body.
    pub body: Bytes,
    /// The memory that the body takes.
    pub share: Option<Share>,
    /// The account that its key belongs to, if any.
    pub account: Option<Account>,
    /// Its cost against the account's quota; zero without a quota.
    pub cost: u64,
    /// Urgency levels of its service.
    pub levels: Rc<UrgencyLevels>,
    /// Its urgency level.
    pub level: u8,
    /// Whether it may have begun to run at a backend server.
    pub maybe_ran: Cell<bool>,
    /// Its sends to backend servers, as counted for the retry budget.
    pub arrivals: Cell<Arrivals>,
    /// The configuration that applies to it until it ends.
    pub config: Rc<Config>,
    /// Index of its route in that configuration.
    pub route: usize,
    /// The software that its stream must be continued with, as far as its caller has events.
    pub origin: Origin,
    /// Name of the service that handles it.
    pub service: String,
    /// When its head was read.
    pub came_at: Timestamp,
    /// When the caller's deadline or the route's timeout ends it, whichever is earlier.
    pub ends_at: Timestamp,
    /// When its answer or first event is due, counted from the caller's first attempt.
    pub goal_at: Timestamp,
}

impl Intake {
    /// Its route in the configuration.
    pub fn route(&self) -> &Route {
        &self.config.routes[self.route]
    }

    /// What its next send to an engine is; `begun` if its caller has part of the answer.
    pub fn send_state(&self, now: Timestamp, begun: bool) -> SendState {
        match begun {
            true => SendState::Resumed,
            false if now > self.goal_at => SendState::Late,
            false => SendState::InTime,
        }
    }

    /// Id of the caller's attempt, for logs.
    pub fn id(&self) -> &str {
        self.caller.attempt.as_deref().unwrap_or("-")
    }

    /// Name of its client account; empty without one.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", Account::as_str)
    }

    /// The attempt whose answer it continues, if it names one.
    pub fn resumed_attempt(&self) -> Option<&str> {
        match &self.caller.resumes {
            Resumes::Attempt(id) => Some(id),
            Resumes::Malformed | Resumes::Unstated => None,
        }
    }

    /// The shared parts of its prompt, for logs.
    pub fn part_digits(&self) -> String {
        digits(&self.parts)
    }

    /// Can it safely run more than once?
    pub fn is_repeatable(&self) -> bool {
        let route = self.route();
        match route.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => route.resumable,
        }
    }

    /// Builds the request for one backend server, with the time left as its deadline.
    pub fn request(&self, now: Timestamp, to: &ServerId) -> Request<Bytes> {
        let mut req = Request::new(self.body.clone());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        headers::set_expected_instance(headers, to);
        if let Some(account) = &self.account {
            headers::set_account(headers, account);
        }
        headers::set_deadline(headers, self.ends_at.before(RETURN_MARGIN).since(now));
        req
    }
}

/// The first digits of digests of parts, for logs.
pub fn digits(parts: &PromptParts) -> String {
    let digits: Vec<String> = parts.parts().iter().map(PartDigest::to_string).collect();
    digits.join(" ")
}
