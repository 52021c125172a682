//! A caller's request as it was read, with what was resolved for it once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::ids::Account;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::headers::{self, Caller};
use ebonyloft_router::budget::Arrivals;
use ebonyloft_router::catalog::{Config, Kind, Route, ServerId};
use ebonyloft_router::content::Content;
use http::HeaderMap;
use hyper::{Method, Request, Uri};

/// Deadlines sent to backend servers end this much before the caller's, for the way back.
const WAY_BACK: Duration = Duration::from_millis(8);

/// A request with its route.
pub struct Intake {
    /// How the request was sent.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers that are passed on.
    pub headers: HeaderMap,
    /// What the caller says of it.
    pub caller: Caller,
    /// Digest of what it asks for.
    pub content: Content,
    /// The whole body.
    pub body: Bytes,
    /// The account that its key belongs to.
    pub account: Option<Account>,
    /// What it counts of that account's quota; zero without one.
    pub weight: u64,
    /// It may have begun to run somewhere.
    pub ran: Cell<bool>,
    /// Its arrivals at backend servers.
    pub arrivals: Cell<Arrivals>,
    /// The configuration by which it is treated, to its end.
    pub config: Rc<Config>,
    /// Index of its route in that configuration.
    pub route: usize,
    /// Name of the service that takes it.
    pub service: String,
    /// When its head was read.
    pub came_at: Timestamp,
    /// When the caller, or the operator, stops waiting.
    pub ends_at: Timestamp,
    /// When its answer or first event is in time, counted from the caller's first attempt.
    pub goal_at: Timestamp,
}

impl Intake {
    /// Its route.
    pub fn route(&self) -> &Route {
        &self.config.routes[self.route]
    }

    /// Id of the attempt, for logs.
    pub fn id(&self) -> &str {
        self.caller.attempt.as_deref().unwrap_or("-")
    }

    /// May it run more than once?
    pub fn is_repeatable(&self) -> bool {
        let route = self.route();
        match route.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => route.resumable,
        }
    }

    /// The request for one backend server; its deadline is what is left now.
    pub fn request(&self, now: Timestamp, to: &ServerId) -> Request<Bytes> {
        let mut req = Request::new(self.body.clone());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        headers::set_expected(headers, to);
        if let Some(account) = &self.account {
            headers::set_account(headers, account);
        }
        headers::set_patience(headers, self.ends_at.before(WAY_BACK).since(now));
        req
    }
}
