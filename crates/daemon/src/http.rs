//! HTTP plumbing shared by the listeners: serving, bodies, problem documents.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use ebonyloft_core::time::Moment;
use ebonyloft_core::verdict::Refusal;
use futures_util::stream::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;

/// Body of every response.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Longest time a peer may take over its request head.
const HEAD_WAIT: std::time::Duration = std::time::Duration::from_secs(10);
/// Largest request head, in bytes.
const HEAD_LIMIT: usize = 32 << 10;

/// Serves connections until `stop` is set; `open` counts connections.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: Rc<Cell<bool>>)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    while !stop.get() {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        compio::runtime::spawn(connection(stream, handler.clone())).detach();
    }
}

async fn connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let service = service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let served = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEAD_WAIT)
        .max_buf_size(HEAD_LIMIT.max(64 << 10))
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
    if let Err(e) = served {
        tracing::debug!(error = %e, "connection ended");
    }
}

/// Reads a body of at most `limit` bytes; `None` when it is larger or broken off.
pub async fn read_body(body: Incoming, limit: usize) -> Option<Bytes> {
    Limited::new(body, limit)
        .collect()
        .await
        .ok()
        .map(|b| b.to_bytes())
}

/// A body of these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// A body that streams these bytes.
pub fn streamed(stream: impl Stream<Item = Bytes> + Send + 'static) -> Body {
    use futures_util::StreamExt;
    let frames = stream.map(|b| Ok::<_, Infallible>(Frame::data(b)));
    StreamBody::new(frames).boxed_unsync()
}

/// A JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    response(status, "application/json", full(text))
}

/// A response of this type.
pub fn response(status: StatusCode, mime: &str, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    if let Ok(value) = mime.parse() {
        res.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    }
    res
}

/// A problem document (RFC 9457).
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// Identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The same text for the same kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What is wrong with this request.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Verdict on the key, and on this submission.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
    /// Seconds after which to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// A problem without a verdict: administration, or a request that was never understood.
    pub fn new(status: StatusCode, kind: &str, detail: impl Into<String>) -> Self {
        Problem {
            kind: format!("urn:ebonyloft:problem:{kind}"),
            title: status.canonical_reason().unwrap_or("error").to_owned(),
            status: status.as_u16(),
            detail: detail.into(),
            refusal: None,
            retry_after: None,
        }
    }

    /// The problem that a refusal makes for a caller.
    pub fn of(now: Moment, refusal: &Refusal) -> Self {
        use ebonyloft_core::verdict::Reason;
        let status = match refusal.reason {
            Reason::AnswerChanged | Reason::KeyReused => StatusCode::CONFLICT,
            Reason::Limit => StatusCode::TOO_MANY_REQUESTS,
            Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Reason::Upstream | Reason::Unknown | Reason::RecordLost => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let name = serde_json::to_value(refusal.reason).unwrap_or_default();
        let mut problem = Problem::new(status, name.as_str().unwrap_or("refused"), "");
        problem.title = refusal.reason.title().to_owned();
        problem.refusal = Some(*refusal);
        problem.retry_after = refusal
            .retry_at
            .filter(|at| *at != Moment::NEVER)
            .map(|at| at.since(now).as_secs_f64().ceil().max(1.0) as u64);
        problem
    }

    /// As a response.
    pub fn response(&self) -> Response<Body> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let text = serde_json::to_vec(self).unwrap_or_default();
        let mut res = response(status, "application/problem+json", full(text));
        if let Some(secs) = self.retry_after {
            res.headers_mut()
                .insert(hyper::header::RETRY_AFTER, secs.into());
        }
        res
    }
}
