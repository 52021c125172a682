//! Callers' connections: reads requests, finds their routes and starts a task for each.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use ebonyloft_core::ids::Account;
use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::Verdict;
use ebonyloft_platform::headers::{self, Resumes};
use ebonyloft_router::accounts::Credential;
use ebonyloft_router::catalog::{Config, Kind, Limits, Route};
use ebonyloft_router::correlation::Echo;
use ebonyloft_router::part_blame::PromptParts;
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::Origin;
use ebonyloft_router::{retry_after, routes};
use futures_channel::oneshot;
use futures_util::future::{Either, Shared as SharedFuture, select};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};

use super::answer::{self, Body, Cause};
use super::body_memory::{BodyBuffer, BodyError, Share};
use super::intake::Intake;
use super::shared::{Shared, SnapshotVersion};
use super::{call, keys, origins, quarantine, quota, shedding, stream};
use crate::http;

/// Hex digits of a key's digest in the log: enough to find the key, too few to confirm a guess.
const KEY_DIGITS: usize = 8;
/// Most headers of a caller's request; bounds the memory for it.
const HEADERS_MAX: usize = 100;
/// Smallest read buffer that hyper allows.
const BUFFER_MIN: usize = 8 << 10;

/// Resolves when callers' connections must be closed.
pub type Closing = SharedFuture<oneshot::Receiver<()>>;

/// Accepts callers until `closing` resolves.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener, closing: Closing) {
    let mut closing_here = closing.clone();
    loop {
        let accepted = {
            let accept = std::pin::pin!(listener.accept());
            match select(accept, &mut closing_here).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => return,
            }
        };
        match accepted {
            Ok((stream, _)) => {
                if shedding::closes(&shared) {
                    drop(stream);
                    continue;
                }
                let task = handle_connection(shared.clone(), stream, closing.clone());
                compio::runtime::spawn(task).detach();
            }
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept a connection");
                compio::time::sleep(http::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn handle_connection(shared: Rc<Shared>, stream: TcpStream, closing: Closing) {
    let _open = shared.open_connections.begin();
    // Without it small answers wait for acknowledgements; a failure to set it is harmless.
    let _ = stream.set_nodelay(true);
    let limits = shared.config().map_or_else(Limits::default, |c| c.limits.clone());
    let service = service_fn(move |req| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle(shared, req).await) }
    });
    // hyper has one timeout for idle connections and for slow heads; the longer setting applies.
    let served = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.idle.max(limits.head_time))
        .max_headers(HEADERS_MAX)
        .max_buf_size(limits.head.max(BUFFER_MIN))
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut served = std::pin::pin!(served);
    let result = match select(served.as_mut(), closing).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(e) = result {
        tracing::debug!(error = %e, "caller's connection failed");
    }
}

/// Answers one request; the future is dropped when the caller disconnects.
async fn handle(shared: Rc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let came_at = shared.now();
    shared.shedding.borrow_mut().on_read(came_at);
    // A content length that contradicts the chunks may hide a second request in the body (request
    // smuggling), so the connection is closed after the answer.
    let chunked = req.headers().contains_key(TRANSFER_ENCODING);
    let mut response = match read_request(&shared, req, came_at).await {
        Ok(intake) => process(&shared, intake).await,
        Err(refused) => refused,
    };
    if chunked || shared.is_stopping() || shedding::closes_after_answer(&shared) {
        answer::close_after(&mut response);
    }
    response
}

/// Reads a complete request and finds its route.
async fn read_request(
    shared: &Rc<Shared>,
    req: Request<Incoming>,
    came_at: Timestamp,
) -> Result<Intake, Response<Body>> {
    let caller = headers::parse_caller(req.headers());
    let refuse = |cause: Cause| {
        let id = caller.attempt.as_deref().unwrap_or("-");
        shared.metrics.count("gateway.refused.unread", 1);
        let away = shared.store_state.borrow().is_away();
        let is_transient = matches!(cause, Cause::NotReady | Cause::Unconfirmed | Cause::Memory);
        let time_left = caller.time_left.filter(|_| is_transient);
        let retry_after = retry_after::wait(time_left, away, shared.random_fraction());
        let SnapshotVersion { config, roster, age } = shared.snapshot_version();
        let ms = retry_after.as_millis() as u64;
        tracing::info!(id, ?cause, away, ms, config, roster, age, "request refused unread");
        let mut response = answer::refusal(cause, Verdict::NotRun, Some(retry_after));
        if matches!(cause, Cause::Malformed | Cause::TooLarge | Cause::Memory | Cause::Timeout) {
            answer::close_after(&mut response);
        }
        response
    };
    let Some(config) = shared.config().filter(|_| shared.registry.borrow().is_complete()) else {
        return Err(refuse(Cause::NotReady));
    };
    if req.headers().contains_key(CONTENT_LENGTH) && req.headers().contains_key(TRANSFER_ENCODING) {
        return Err(refuse(Cause::Malformed));
    }
    let mut hosts = req.headers().get_all(HOST).iter();
    let host = hosts.next().and_then(|h| h.to_str().ok());
    let (Some(host), None) = (host, hosts.next()) else {
        return Err(refuse(Cause::Malformed));
    };
    // Its answer could not be told from others.
    if headers::parse_echo(req.headers()) == Echo::Malformed {
        return Err(refuse(Cause::Malformed));
    }
    let Some(route) =
        routes::find(&config, host, req.uri().path()).map(|r| route_index(&config, r))
    else {
        return Err(refuse(Cause::NoRoute));
    };
    let Charge { account, cost, priority } = match account_and_cost(shared, &config, route, &caller)
    {
        Ok(identified) => identified,
        Err(cause) => return Err(refuse(cause)),
    };
    if config.routes[route].kind == Kind::Stream && caller.resumes == Resumes::Malformed {
        return Err(refuse(Cause::Malformed));
    }
    let Some(times) = time_bounds(shared, came_at, &config.routes[route], &caller) else {
        return Err(refuse(Cause::Stopping));
    };
    let Some(service) = choose_service(shared, &config, route) else {
        return Err(refuse(Cause::NoServer));
    };
    let host = host.to_ascii_lowercase();
    let (parts, body) = req.into_parts();
    let read = read_body(body, shared.bodies.begin(config.limits.body));
    let read = compio::time::timeout(times.ends_at.since(shared.now()), read).await;
    let read = read.unwrap_or(Err(BodyError::Stalled));
    let (body, share) = read.map_err(|e| refuse(refused_body(e)))?;
    let account_name = account.as_ref().map_or("", Account::as_str);
    let digest =
        shared.digester.request_digest(account_name, &parts.method, &host, &parts.uri, &body);
    let target = Target { config, route, service };
    let mut intake = build_intake(times, target, parts, body, caller, digest);
    intake.share = Some(share);
    (intake.account, intake.cost) = (account, cost);
    intake.parts = prompt_parts(shared, digest, &intake.caller);
    intake.levels = shared.urgency_levels(&intake.config, &intake.service);
    intake.level = intake.levels.level(priority, intake.route().priority);
    Ok(intake)
}

/// Reads the body of a request. One that is too large or has no room beside the others is refused before it is
/// read, if its length is known.
async fn read_body(body: Incoming, mut buffer: BodyBuffer) -> Result<(Bytes, Share), BodyError> {
    if let Some(len) = body.size_hint().exact() {
        buffer.reserve(len as usize)?;
    }
    buffer.read(body, None).await?;
    Ok(buffer.close())
}

/// Why a request is refused whose body was not read.
fn refused_body(error: BodyError) -> Cause {
    match error {
        BodyError::Broken => Cause::Malformed,
        BodyError::TooLarge => Cause::TooLarge,
        BodyError::NoRoom => Cause::Memory,
        BodyError::Stalled => Cause::Timeout,
    }
}

/// Digests of the parts of a request's prompt.
fn prompt_parts(
    shared: &Shared,
    digest: RequestDigest,
    caller: &headers::CallerHeaders,
) -> PromptParts {
    let part = |id: &String| shared.digester.part_digest(&caller.model, id);
    let parts: Vec<_> = caller.prompt_parts.iter().map(part).collect();
    PromptParts::new(digest, &parts)
}

/// The account of a request, with the request's cost against the account's quota and the priority
/// that the account has of its own.
#[derive(Default)]
struct Charge {
    account: Option<Account>,
    cost: u64,
    priority: Option<u8>,
}

/// Identifies the account of a request, and computes the request's cost.
fn account_and_cost(
    shared: &Shared,
    config: &Config,
    route: usize,
    caller: &headers::CallerHeaders,
) -> Result<Charge, Cause> {
    let account =
        keys::identify(shared, config, &config.routes[route], caller).inspect_err(|cause| {
            let key = match caller.credential {
                Credential::Key(key) => key.to_string()[..KEY_DIGITS].to_owned(),
                Credential::Absent | Credential::Malformed => String::new(),
            };
            let id = caller.attempt.as_deref().unwrap_or("-");
            let age = shared.config_staleness.borrow().age(shared.now()).as_millis() as u64;
            tracing::info!(
                id,
                ?cause,
                key,
                config = config.version,
                config_age = age,
                "key not accepted"
            );
            shared.metrics.count("gateway.keys.refused", 1);
        })?;
    let Some(account) = account else {
        return Ok(Charge::default());
    };
    let cost = account.quota.map_or(Some(0), |quota| quota.unit.cost(caller.size));
    let cost = cost.ok_or(Cause::Malformed)?;
    Ok(Charge { account: Some(account.name.clone()), cost, priority: account.priority })
}

/// Timestamps that bound a request.
struct TimeBounds {
    came_at: Timestamp,
    ends_at: Timestamp,
    goal_at: Timestamp,
}

/// Where a request goes: a route of a configuration, and the service chosen for it.
struct Target {
    config: Rc<Config>,
    route: usize,
    service: String,
}

/// The times of a request; none if the process is stopping and would end before it.
fn time_bounds(
    shared: &Shared,
    came_at: Timestamp,
    route: &Route,
    caller: &headers::CallerHeaders,
) -> Option<TimeBounds> {
    let caller_timeout = caller.time_left.unwrap_or(route.timeout);
    let mut deadlines = shared.caller_deadlines.borrow_mut();
    let spent = deadlines.time_spent(came_at, &route.name, route.timeout, caller_timeout);
    let deadline = came_at.after(caller_timeout.min(route.timeout));
    let grace = shared.node().bounds.grace;
    let ends_at = match shared.shutdown.get() {
        Some(shutdown) => shutdown.admit(came_at, grace, route.kind, deadline)?,
        None => deadline,
    };
    Some(TimeBounds { came_at, ends_at, goal_at: came_at.before(spent).after(route.goal) })
}

fn build_intake(
    times: TimeBounds,
    target: Target,
    parts: hyper::http::request::Parts,
    body: Bytes,
    caller: headers::CallerHeaders,
    digest: RequestDigest,
) -> Intake {
    let TimeBounds { came_at, ends_at, goal_at } = times;
    let Target { config, route, service } = target;
    let mut headers = headers::forwarded_to_server(&parts.headers);
    if config.accounts.is_some() {
        headers::remove_api_key(&mut headers);
    }
    Intake {
        method: parts.method,
        uri: parts.uri,
        headers,
        account: None,
        cost: 0,
        levels: Rc::default(),
        level: 0,
        maybe_ran: Cell::new(false),
        arrivals: Cell::default(),
        caller,
        digest,
        parts: PromptParts::default(),
        body,
        share: None,
        config,
        route,
        origin: Origin::default(),
        service,
        came_at,
        ends_at,
        goal_at,
    }
}

fn route_index(config: &Config, route: &Route) -> usize {
    config.routes.iter().position(|r| std::ptr::eq(r, route)).unwrap_or(0)
}

/// Picks a service by weight, or another one of the route if that one has no ready server.
fn choose_service(shared: &Shared, config: &Config, route: usize) -> Option<String> {
    let route = &config.routes[route];
    let registry = shared.registry.borrow();
    let chosen = routes::service(route, shared.random_fraction())?;
    let has_server = |name: &str| registry.ready(name).next().is_some();
    if has_server(chosen) {
        return Some(chosen.to_owned());
    }
    let other = route.split.iter().find(|s| s.weight > 0 && has_server(&s.service));
    Some(other.map_or(chosen, |s| s.service.as_str()).to_owned())
}

/// Runs a request in its own task, which outlives the caller until its state is cleaned up.
async fn process(shared: &Rc<Shared>, mut intake: Intake) -> Response<Body> {
    origins::resolve(shared, &mut intake).await;
    let probes = match quarantine::admit(shared, &intake).await {
        Ok(probes) => probes,
        Err(refused) => return refused.response(shared.now()),
    };
    let charge = match quota::charge(shared, &intake).await {
        Ok(charge) => charge,
        Err(refused) => {
            probes.close(shared);
            return refused.response(shared.now());
        }
    };
    let (token, gone) = oneshot::channel();
    let (reply, answer) = oneshot::channel();
    let task_shared = shared.clone();
    shared.open_requests.set(shared.open_requests.get() + 1);
    compio::runtime::spawn(async move {
        match intake.route().kind {
            Kind::Stream => stream::run(&task_shared, &intake, gone, reply).await,
            Kind::Idempotent | Kind::Once => call::run(&task_shared, &intake, gone, reply).await,
        }
        if let Some(charge) = charge {
            charge.close(&task_shared, intake.maybe_ran.get());
        }
        probes.close(&task_shared);
        task_shared.open_requests.set(task_shared.open_requests.get() - 1);
    })
    .detach();
    match answer.await {
        Ok(response) => answer::attach_token(response, token),
        // The task ends without an answer only if the caller has disconnected.
        Err(_) => answer::refusal(Cause::Lost, Verdict::MayHaveRun, None),
    }
}
