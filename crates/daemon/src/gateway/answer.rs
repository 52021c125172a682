//! Answers to callers: a backend server's response, or a refusal with its cause.

use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::verdict::Verdict;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{
    CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use hyper::{Response, StatusCode};
use serde::Serialize;
use snafu::Snafu;

/// The answer broke off: the caller's connection is closed before the end of the body.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub struct BodyAborted;

/// Body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// Why the gateway answers in place of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The request is not HTTP that can be forwarded.
    Malformed,
    /// The body is larger than the configured limit.
    TooLarge,
    /// No route matches the host and path.
    NoRoute,
    /// The request has no key where one is required, or a key that belongs to no account.
    Unauthorized,
    /// The configuration may be too old to know whether the key was revoked.
    Unconfirmed,
    /// The account exceeds its quota.
    OverQuota,
    /// No gateway that grants the account's quota can be reached.
    QuotaUnknown,
    /// The configuration or the server registry is not known yet.
    NotReady,
    /// The process is stopping, and the request would not finish before it exits.
    Stopping,
    /// No backend server of the service can be reached.
    NoServer,
    /// No backend server has the software version that began the stream.
    NoVersion,
    /// It is not known which software version began the stream.
    OriginUnknown,
    /// The body has no room in memory beside those of other requests.
    Memory,
    /// All backend servers stay full for longer than the caller waits.
    Overload,
    /// Backend servers rejected the request, and the retry budget is used up.
    Budget,
    /// The request is confirmed to crash backend servers and is no longer sent.
    Quarantined,
    /// A backend server may have crashed under the same request, which is being checked or probed.
    Suspect,
    /// The request was sent, and no complete answer arrived.
    Lost,
    /// The deadline passed after the request was sent.
    Timeout,
}

impl Cause {
    fn status(self, verdict: Verdict) -> StatusCode {
        match (self, verdict) {
            (Cause::Malformed, _) => StatusCode::BAD_REQUEST,
            (Cause::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (Cause::NoRoute, _) => StatusCode::NOT_FOUND,
            (Cause::Unauthorized, Verdict::NotRun) => StatusCode::UNAUTHORIZED,
            (Cause::OverQuota, Verdict::NotRun) => StatusCode::TOO_MANY_REQUESTS,
            (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (Cause::Timeout, Verdict::MayHaveRun) => StatusCode::GATEWAY_TIMEOUT,
            (_, Verdict::MayHaveRun) => StatusCode::BAD_GATEWAY,
        }
    }
}

#[derive(Serialize)]
struct Problem {
    cause: Cause,
    verdict: Verdict,
}

/// The final refusal or failure of a request; `retry` is the retry-after time, sent only if the
/// request did not run.
pub fn refusal(cause: Cause, verdict: Verdict, retry: Option<Duration>) -> Response<Body> {
    let text = serde_json::to_vec(&Problem { cause, verdict }).unwrap_or_default();
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = cause.status(verdict);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if cause == Cause::Unauthorized {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let (Verdict::NotRun, Some(retry)) = (verdict, retry)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", retry.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// A complete answer of a backend server.
pub fn complete(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A body with these bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}

/// Attaches a token to the body; it is dropped once the caller has the answer or has disconnected.
pub fn attach_token(response: Response<Body>, token: oneshot::Sender<()>) -> Response<Body> {
    response.map(|body| {
        body.map_frame(move |frame| {
            let _held = &token;
            frame
        })
        .boxed_unsync()
    })
}

/// Runs `work` to its end, or returns `None` as soon as the caller has disconnected.
pub async fn unless_disconnected<T>(
    gone: oneshot::Receiver<()>,
    work: impl Future<Output = T>,
) -> Option<T> {
    match select(gone, std::pin::pin!(work)).await {
        Either::Left(_) => None,
        Either::Right((done, _)) => Some(done),
    }
}

/// Closes the caller's connection after this answer.
pub fn close_after(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
