//! HTTP for callers.
//!
//! `POST /v1/completions` in the shape that model clients speak, streamed or whole;
//! `/services/NAME/PATH` for plain services; `GET` and `DELETE /v1/answers/KEY` to join or stop a
//! run. Every refusal is a problem document with a verdict.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::config::{Document, Labels, Route, Target};
use ebonyloft_core::ids::{Account, Digest, Key, prefix_digest};
use ebonyloft_core::limits::Limiter;
use ebonyloft_core::message::{Completion, PlainCall, Repeat, Work};
use ebonyloft_core::placement::SKEW;
use ebonyloft_core::request::{Intent, Spec};
use ebonyloft_core::time::Moment;
use ebonyloft_core::verdict::{Reason, Refusal};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use uuid::Uuid;

use super::desk::{Reply, Submission};
use super::{Event, InForce};
use crate::clock::Clock;
use crate::http::{self, Body, Problem};
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

/// Longest idempotency key, in bytes.
pub const KEY_LIMIT: usize = 128;
/// Most output tokens a caller may ask for.
pub const TOKENS_LIMIT: u32 = 32_768;
/// Characters of prompt text taken for a token when lengths are estimated.
pub const TOKEN_CHARS: usize = 4;
/// Longest deadline a caller may state.
pub const DEADLINE_LIMIT: Duration = Duration::from_secs(3_600);

/// The caller's key for the request.
pub const KEY_HEADER: &str = "idempotency-key";
/// When the answer is of no use any more, in milliseconds since the Unix epoch.
pub const DEADLINE_HEADER: &str = "ebonyloft-deadline";
/// The same, in milliseconds from now.
pub const TIMEOUT_HEADER: &str = "ebonyloft-timeout-ms";
/// Event label.
pub const EVENT_HEADER: &str = "ebonyloft-event";
/// Kind-of-work label.
pub const KIND_HEADER: &str = "ebonyloft-kind";
/// `true`: the caller never sent this key before.
pub const FIRST_HEADER: &str = "ebonyloft-first";
/// `cancel`: stop the run when the caller hangs up.
pub const HANGUP_HEADER: &str = "ebonyloft-hangup";
/// The attempt that gave the answer.
pub const ATTEMPT_HEADER: &str = "ebonyloft-attempt";

#[derive(Debug, Deserialize)]
struct CompletionForm {
    model: String,
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

fn default_tokens() -> u32 {
    256
}

/// What is common to all requests of a caller.
struct Caller {
    account: Account,
    labels: Labels,
    doc: Rc<Document>,
}

/// Handles callers' requests.
#[derive(Clone)]
pub struct Callers {
    body_limit: usize,
    in_force: Rc<RefCell<InForce>>,
    events: UnboundedSender<Event>,
    clock: Clock,
    limiter: Rc<RefCell<Limiter>>,
    tokens: Rc<RefCell<TokenIndex>>,
    next_id: Rc<Cell<u64>>,
    metrics: Metrics,
}

/// Accounts by token digest, for one revision.
#[derive(Default)]
struct TokenIndex {
    revision: u64,
    accounts: std::collections::HashMap<Digest, Account>,
}

impl Callers {
    /// A handler with these settings.
    pub fn new(
        settings: &EntrySettings,
        in_force: Rc<RefCell<InForce>>,
        events: UnboundedSender<Event>,
        clock: Clock,
        metrics: Metrics,
    ) -> Self {
        Callers {
            body_limit: settings.body_limit,
            in_force,
            events,
            clock,
            limiter: Rc::default(),
            tokens: Rc::default(),
            next_id: Rc::default(),
            metrics,
        }
    }

    /// Answers one request.
    pub async fn handle(self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let res = match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => Ok(http::response(
                StatusCode::OK,
                "text/plain",
                http::full("ok\n"),
            )),
            (&Method::GET, "/ready") => Ok(self.ready()),
            (&Method::POST, "/v1/completions") => self.completion(req).await,
            (method, p) if p.starts_with("/v1/answers/") => {
                let key = p["/v1/answers/".len()..].to_owned();
                match *method {
                    Method::GET => self.find(req, key, Intent::Find).await,
                    Method::DELETE => self.find(req, key, Intent::Cancel).await,
                    _ => Err(Problem::new(
                        StatusCode::METHOD_NOT_ALLOWED,
                        "method",
                        "use GET or DELETE",
                    )),
                }
            }
            (_, p) if p.starts_with("/services/") => self.plain(req).await,
            _ => Err(Problem::new(
                StatusCode::NOT_FOUND,
                "path",
                format!("nothing is at {path}"),
            )),
        };
        let mut res = res.unwrap_or_else(|p| p.response());
        if self.in_force.borrow().leaving {
            res.headers_mut()
                .insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }

    fn ready(&self) -> Response<Body> {
        let f = self.in_force.borrow();
        let ready = f.revision > 0 && f.epoch > 0 && !f.leaving;
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let state = serde_json::json!({
            "ready": ready, "revision": f.revision, "epoch": f.epoch, "leaving": f.leaving,
        });
        http::json(status, &state)
    }

    async fn completion(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let (parts, body) = req.into_parts();
        let mut caller = self.authenticate(&parts.headers)?;
        let body = self.body(body).await?;
        let form: CompletionForm = serde_json::from_slice(&body)
            .map_err(|e| bad("body", format!("not a completion request: {e}")))?;
        if form.max_tokens == 0 || form.max_tokens > TOKENS_LIMIT {
            return Err(bad(
                "max_tokens",
                format!("must lie from 1 to {TOKENS_LIMIT}"),
            ));
        }
        if form.prompt.is_empty() {
            return Err(bad("prompt", "must not be empty"));
        }
        caller.labels.insert("model".to_owned(), form.model.clone());
        let route = self.route(&caller, &parts.headers)?;
        let Target::Model {
            prefill,
            short_prompt,
            ..
        } = &route.target
        else {
            return Err(bad(
                "model",
                "the route of these labels leads to a plain service",
            ));
        };
        let prompt_tokens = form.prompt.len().div_ceil(TOKEN_CHARS) as u32;
        let split = prefill.is_some() && prompt_tokens > *short_prompt;
        let work = Work::Completion(Completion {
            model: form.model,
            prompt: form.prompt,
            max_tokens: form.max_tokens,
            prompt_tokens,
        });
        let spec = self.spec(&caller, &parts.headers, &route, work, split)?;
        let stream = if form.stream {
            Shape::Stream
        } else {
            Shape::Completion
        };
        self.submit(spec, route, &parts.headers, stream).await
    }

    async fn plain(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let (parts, body) = req.into_parts();
        let mut caller = self.authenticate(&parts.headers)?;
        let rest = &parts.uri.path()["/services/".len()..];
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        caller
            .labels
            .insert("service".to_owned(), service.to_owned());
        let route = self.route(&caller, &parts.headers)?;
        if !matches!(route.target, Target::Plain { .. }) {
            return Err(bad(
                "service",
                "the route of these labels leads to model engines",
            ));
        }
        let body = self.body(body).await?;
        let mime = header(&parts.headers, "content-type")?.unwrap_or("application/json");
        let path = match parts.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        let work = Work::Plain(PlainCall {
            method: parts.method.to_string(),
            path,
            mime: mime.to_owned(),
            body: body.to_vec(),
        });
        let spec = self.spec(&caller, &parts.headers, &route, work, false)?;
        self.submit(spec, route, &parts.headers, Shape::Raw).await
    }

    async fn find(
        &self,
        req: Request<Incoming>,
        key: String,
        intent: Intent,
    ) -> Result<Response<Body>, Problem> {
        let headers = req.headers();
        let caller = self.authenticate(headers)?;
        check_key(&key)?;
        // The route is only needed for its times; the run has its own.
        let route = caller.doc.routes.first().cloned().map(Rc::new);
        let route = route.ok_or_else(|| bad("configuration", "no route is in force"))?;
        let now = self.clock.now();
        let work = Work::Plain(PlainCall {
            method: String::new(),
            path: String::new(),
            mime: String::new(),
            body: Vec::new(),
        });
        let spec = Spec {
            intent,
            waiter: 0,
            key: Key {
                account: caller.account,
                text: key,
            },
            first: false,
            class: route.class,
            first_by: now.after(DEADLINE_LIMIT),
            deadline: now.after(DEADLINE_LIMIT),
            repeat: Repeat::Idempotent,
            split: false,
            work,
            avoid: Vec::new(),
        };
        let query = req.uri().query().unwrap_or_default();
        let whole = query.split('&').any(|p| p == "stream=false");
        let shape = if whole {
            Shape::Completion
        } else {
            Shape::Stream
        };
        let offset = query.split('&').find_map(|p| p.strip_prefix("offset="));
        let mut headers = headers.clone();
        if let Some(offset) = offset {
            let value = HeaderValue::from_str(offset).map_err(|_| bad("offset", "not a number"))?;
            headers.insert("last-event-id", value);
        }
        self.submit(spec, route, &headers, shape).await
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Problem> {
        let f = self.in_force.borrow();
        if f.revision == 0 {
            let mut p = Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "not-ready",
                "no configuration is in force yet",
            );
            p.retry_after = Some(1);
            return Err(p);
        }
        let text = header(headers, "authorization")?;
        let token = text
            .and_then(|t| t.strip_prefix("Bearer "))
            .ok_or_else(unauthorized)?;
        let mut index = self.tokens.borrow_mut();
        if index.revision != f.revision {
            index.revision = f.revision;
            index.accounts = f
                .doc
                .accounts
                .iter()
                .map(|(a, r)| (r.token, a.clone()))
                .collect();
        }
        let account = index
            .accounts
            .get(&Digest::of(token.as_bytes()))
            .ok_or_else(unauthorized)?;
        let labels = f
            .doc
            .accounts
            .get(account)
            .map(|r| r.labels.clone())
            .unwrap_or_default();
        Ok(Caller {
            account: account.clone(),
            labels,
            doc: f.doc.clone(),
        })
    }

    /// Resolves the route once, at one revision, and applies the limits.
    fn route(&self, caller: &Caller, headers: &HeaderMap) -> Result<Rc<Route>, Problem> {
        let mut labels = caller.labels.clone();
        for (name, label) in [(EVENT_HEADER, "event"), (KIND_HEADER, "kind")] {
            if let Some(value) = header(headers, name)? {
                labels.insert(label.to_owned(), value.to_owned());
            }
        }
        let route = caller.doc.route(&labels).cloned().ok_or_else(|| {
            Problem::new(
                StatusCode::NOT_FOUND,
                "no-route",
                "no route takes a request with these labels",
            )
        })?;
        let now = self.clock.now();
        let entries = self.in_force.borrow().entries;
        let passed =
            self.limiter
                .borrow_mut()
                .pass(now, &caller.doc, &caller.account, &labels, entries);
        passed.map_err(|at| {
            self.metrics.count("entry.refused.not_run", 1);
            let first = is_first(headers);
            Problem::of(now, &Refusal::unsent(Reason::Limit, first, Some(at)))
        })?;
        Ok(Rc::new(route))
    }

    fn spec(
        &self,
        caller: &Caller,
        headers: &HeaderMap,
        route: &Route,
        work: Work,
        split: bool,
    ) -> Result<Spec, Problem> {
        let now = self.clock.now();
        let given = header(headers, KEY_HEADER)?;
        let text = match given {
            Some(text) => text.to_owned(),
            None => Uuid::now_v7().to_string(),
        };
        check_key(&text)?;
        let key = Key {
            account: caller.account.clone(),
            text,
        };
        if key.issued().is_some_and(|at| at > now.after(SKEW)) {
            return Err(bad(KEY_HEADER, "the key's time lies in the future"));
        }
        if route.repeat == Repeat::Once && key.issued().is_none() {
            let reason =
                "a call that runs once needs a version 7 UUID, whose time tells old keys from new";
            return Err(bad(KEY_HEADER, reason));
        }
        Ok(Spec {
            intent: Intent::Run,
            waiter: 0,
            key,
            first: is_first(headers),
            class: route.class,
            first_by: now.after(route.first_ms),
            deadline: deadline(headers, now, route)?,
            repeat: route.repeat,
            split,
            work,
            avoid: Vec::new(),
        })
    }

    async fn body(&self, body: Incoming) -> Result<Bytes, Problem> {
        http::read_body(body, self.body_limit).await.ok_or_else(|| {
            let detail = format!("body: at most {} bytes", self.body_limit);
            Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body", detail)
        })
    }

    async fn submit(
        &self,
        mut spec: Spec,
        route: Rc<Route>,
        headers: &HeaderMap,
        shape: Shape,
    ) -> Result<Response<Body>, Problem> {
        let (skip, prefix) = position(headers)?;
        let id = self.next_id.get() + 1;
        self.next_id.set(id);
        spec.waiter = id;
        let key = spec.key.text.clone();
        let model = match &spec.work {
            Work::Completion(c) => c.model.clone(),
            Work::Plain(_) => String::new(),
        };
        let (reply, replies) = unbounded();
        let cancel = header(headers, HANGUP_HEADER)? == Some("cancel");
        let submission = Submission {
            id,
            spec,
            route,
            skip,
            prefix,
            cancel,
            reply,
        };
        let _ = self
            .events
            .unbounded_send(Event::Submit(Box::new(submission)));
        let (gone, hangups) = unbounded();
        compio::runtime::spawn(report_hangup(hangups, self.events.clone())).detach();
        let waiting = Waiting {
            replies,
            _guard: Guard { id, gone },
        };
        let mut res = match shape {
            Shape::Stream => self.streamed(waiting).await?,
            Shape::Completion => self.whole(waiting, Some(model)).await?,
            Shape::Raw => self.whole(waiting, None).await?,
        };
        if let Ok(value) = HeaderValue::from_str(&key) {
            res.headers_mut()
                .insert(HeaderName::from_static(KEY_HEADER), value);
        }
        Ok(res)
    }

    /// Waits for the first word, so that a refusal has a status of its own.
    async fn streamed(&self, mut waiting: Waiting) -> Result<Response<Body>, Problem> {
        let clock = self.clock;
        let first = waiting.replies.next().await;
        if let Some(Reply::Refused(refusal)) = &first {
            return Err(Problem::of(clock.now(), refusal));
        }
        let Waiting {
            replies,
            _guard: guard,
        } = waiting;
        let events = futures_util::stream::iter(first)
            .chain(replies)
            .map(move |reply| {
                let _held = &guard;
                Bytes::from(event_text(clock.now(), reply))
            });
        let mut res = http::response(StatusCode::OK, "text/event-stream", http::streamed(events));
        res.headers_mut().insert(
            hyper::header::CACHE_CONTROL,
            HeaderValue::from_static("no-store"),
        );
        Ok(res)
    }

    async fn whole(
        &self,
        mut waiting: Waiting,
        model: Option<String>,
    ) -> Result<Response<Body>, Problem> {
        let mut text = String::new();
        while let Some(reply) = waiting.replies.next().await {
            match reply {
                Reply::Bytes { bytes, .. } => text.push_str(&bytes),
                Reply::Refused(refusal) => return Err(Problem::of(self.clock.now(), &refusal)),
                Reply::Complete {
                    status,
                    mime,
                    attempt,
                } => {
                    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                    let mut res = match model {
                        Some(model) => http::json(status, &whole_completion(&model, &text)),
                        None => http::response(status, &mime, http::full(text)),
                    };
                    if let Ok(value) = HeaderValue::from_str(&attempt) {
                        res.headers_mut()
                            .insert(HeaderName::from_static(ATTEMPT_HEADER), value);
                    }
                    return Ok(res);
                }
            }
        }
        Err(Problem::of(
            self.clock.now(),
            &Refusal::unknown(Reason::Unknown),
        ))
    }
}

#[derive(Clone, Copy)]
enum Shape {
    Stream,
    Completion,
    Raw,
}

struct Waiting {
    replies: UnboundedReceiver<Reply>,
    _guard: Guard,
}

/// Says that the caller hung up when it is dropped.
struct Guard {
    id: u64,
    gone: UnboundedSender<u64>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.gone.unbounded_send(self.id);
    }
}

async fn report_hangup(mut hangups: UnboundedReceiver<u64>, events: UnboundedSender<Event>) {
    if let Some(id) = hangups.next().await {
        let _ = events.unbounded_send(Event::Gone(id));
    }
}

fn whole_completion(model: &str, text: &str) -> serde_json::Value {
    serde_json::json!({
        "object": "text_completion",
        "model": model,
        "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
    })
}

fn event_text(now: Moment, reply: Reply) -> String {
    match reply {
        Reply::Bytes {
            offset,
            bytes,
            digest,
        } => {
            let end = offset + bytes.len() as u64;
            let data = serde_json::json!({
                "object": "text_completion",
                "choices": [{ "index": 0, "text": bytes, "finish_reason": null }],
            });
            format!("id: {end}-{digest:016x}\ndata: {data}\n\n")
        }
        Reply::Complete { attempt, .. } => {
            let data = serde_json::json!({
                "object": "text_completion",
                "attempt": attempt,
                "choices": [{ "index": 0, "text": "", "finish_reason": "stop" }],
            });
            format!("data: {data}\n\ndata: [DONE]\n\n")
        }
        Reply::Refused(refusal) => {
            let problem = serde_json::to_string(&Problem::of(now, &refusal)).unwrap_or_default();
            format!("event: error\ndata: {problem}\n\n")
        }
    }
}

fn unauthorized() -> Problem {
    Problem::new(
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        "authorization: a valid bearer token is needed",
    )
}

fn bad(field: &str, reason: impl std::fmt::Display) -> Problem {
    Problem::new(
        StatusCode::BAD_REQUEST,
        "bad-request",
        format!("{field}: {reason}"),
    )
}

fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Problem> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => value
            .to_str()
            .map(Some)
            .map_err(|_| bad(name, "must be plain text")),
    }
}

fn check_key(text: &str) -> Result<(), Problem> {
    let plain = text.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if text.is_empty() || text.len() > KEY_LIMIT || !plain {
        let reason = format!("must have 1 to {KEY_LIMIT} printable characters and no slash");
        return Err(bad(KEY_HEADER, reason));
    }
    Ok(())
}

/// No earlier submission of the key exists: the entry made the key, or the caller says so.
fn is_first(headers: &HeaderMap) -> bool {
    headers.get(KEY_HEADER).is_none() || headers.get(FIRST_HEADER).is_some_and(|v| v == "true")
}

fn deadline(headers: &HeaderMap, now: Moment, route: &Route) -> Result<Moment, Problem> {
    let number = |name| -> Result<Option<u64>, Problem> {
        let parse = |t: &str| {
            t.parse()
                .map_err(|_| bad(name, "must be a number of milliseconds"))
        };
        header(headers, name)?.map(parse).transpose()
    };
    let at = match (number(DEADLINE_HEADER)?, number(TIMEOUT_HEADER)?) {
        (Some(at), _) => Moment::from_millis(at),
        (None, Some(ms)) => now.after(Duration::from_millis(ms)),
        (None, None) => now.after(route.deadline_ms),
    };
    if at <= now {
        return Err(Problem::of(
            now,
            &Refusal::unsent(Reason::Deadline, is_first(headers), None),
        ));
    }
    Ok(at.min(now.after(DEADLINE_LIMIT)))
}

/// Where the caller's copy ends: `Last-Event-ID: OFFSET` or `OFFSET-DIGEST`.
fn position(headers: &HeaderMap) -> Result<(u64, Option<u64>), Problem> {
    let Some(text) = header(headers, "last-event-id")? else {
        return Ok((0, None));
    };
    let wrong = || {
        bad(
            "last-event-id",
            "must be an offset, or an offset and a digest",
        )
    };
    let (offset, digest) = match text.split_once('-') {
        Some((offset, digest)) => (
            offset,
            Some(u64::from_str_radix(digest, 16).map_err(|_| wrong())?),
        ),
        None => (text, None),
    };
    let offset: u64 = offset.parse().map_err(|_| wrong())?;
    let digest = if offset == 0 {
        Some(prefix_digest(b""))
    } else {
        digest
    };
    Ok((offset, digest))
}
