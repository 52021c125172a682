//! A caller of a gateway, which can also disconnect before the answer has ended.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloft_platform::simulation::{self, CallerRequest};
use ebonyloft_router::correlation::Exchange;
use ebonyloftd::clock::Clock;
use ebonyloftd::gateway::pool::{Conn, ExchangeError, IDLE_MAX, Pool};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};

use super::{HOST, SUMMARY};

/// Connect timeout: callers wait as long as their shortest deadline.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Model named by requests whose prompts have parts.
const MODEL: &str = "m";

/// The answer as the caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The part of the body that arrived.
    pub body: Vec<u8>,
    /// The body arrived completely.
    pub complete: bool,
    /// Time from sending to the first byte of the body.
    pub first_byte: Duration,
    /// Time from sending to the end of the body or its break.
    pub total_time: Duration,
}

impl Answer {
    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the versions of the backend servers that wrote the events in the body.
    pub fn versions(&self) -> BTreeSet<String> {
        let text = String::from_utf8_lossy(&self.body);
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        events.filter_map(|data| Some(data.rsplit_once(' ')?.1.to_owned())).collect()
    }

    /// Returns the ids of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines().filter_map(|l| l.strip_prefix("id: ")?.trim().parse().ok()).collect()
    }
}

/// A client of one gateway.
pub struct Caller {
    addr: SocketAddr,
    pool: Pool,
    summary_timeout: Duration,
    key: Option<String>,
}

impl Caller {
    /// Creates a caller of the gateway at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let summary_timeout = Duration::from_secs(14);
        let pool = Pool::new(Clock::default()).with_connect_timeout(CONNECT_TIMEOUT);
        Caller { addr, pool, summary_timeout, key: None }
    }

    /// Sets the timeout that is sent with summaries.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.summary_timeout = timeout;
        self
    }

    /// Sets the API key that is sent with requests.
    pub fn with_key(mut self, with_key: &str) -> Self {
        self.key = Some(with_key.to_owned());
        self
    }

    /// Sends a GET request outside the configured routes.
    pub async fn get(&self, path: &str) -> Result<Answer, ExchangeError> {
        let mut req = Request::new(Bytes::new());
        *req.uri_mut() = path.parse().expect("a path");
        let host = self.addr.to_string().parse().expect("an address");
        req.headers_mut().insert(hyper::header::HOST, host);
        self.send(req).await
    }

    /// Sends a short call.
    pub async fn call(&self, path: &str, attempt: &str) -> Result<Answer, ExchangeError> {
        let body = Bytes::from_static(b"{\"badge\":114}");
        let patience = Duration::from_secs(1);
        let tokens = None;
        self.send(simulation::caller_request(&CallerRequest {
            host: HOST,
            path,
            attempt,
            time_left: patience,
            tokens,
            body,
        }))
        .await
    }

    /// Sends a request for a summary.
    pub async fn summary(&self, path: &str, attempt: &str) -> Result<Answer, ExchangeError> {
        self.send(self.summary_request(path, attempt)).await
    }

    /// Sends a summary or a short call, depending on the path, with this body.
    pub async fn send_body(
        &self,
        path: &str,
        attempt: &str,
        body: String,
    ) -> Result<Answer, ExchangeError> {
        let is_summary = path.starts_with("/summary");
        let patience = if is_summary { self.summary_timeout } else { Duration::from_secs(1) };
        let tokens = is_summary.then_some((3_000, 2_040));
        let sent = CallerRequest {
            host: HOST,
            path,
            attempt,
            time_left: patience,
            tokens,
            body: body.into(),
        };
        self.send(simulation::caller_request(&sent)).await
    }

    /// Sends a request for a summary whose prompt has these parts; the last one is its own.
    pub async fn send_parts(
        &self,
        path: &str,
        attempt: &str,
        body: &str,
        parts: &[&str],
    ) -> Result<Answer, ExchangeError> {
        let mut req = self.summary_request(path, attempt);
        *req.body_mut() = Bytes::copy_from_slice(body.as_bytes());
        simulation::set_prompt_parts(&mut req, MODEL, parts);
        self.send(req).await
    }

    /// Returns a request for a summary.
    pub fn summary_request(&self, path: &str, attempt: &str) -> Request<Bytes> {
        self.sized_request(path, attempt, (3_000, 2_040))
    }

    /// Returns a request for a summary with these tokens: in the prompt, and the most in the answer.
    pub fn sized_request(&self, path: &str, attempt: &str, tokens: (u64, u64)) -> Request<Bytes> {
        let body = Bytes::from(vec![b'x'; 3_000]);
        let (patience, tokens) = (self.summary_timeout, Some(tokens));
        simulation::caller_request(&CallerRequest {
            host: HOST,
            path,
            attempt,
            time_left: patience,
            tokens,
            body,
        })
    }

    /// Returns a request for the rest of a summary after the event `last`; `resumes` are the values
    /// of the header that names the attempt which brought its first event.
    pub fn take_up_request(&self, attempt: &str, resumes: &[&str], last: u64) -> Request<Bytes> {
        let mut req = self.summary_request(SUMMARY, attempt);
        simulation::set_take_up(&mut req, resumes, last);
        req
    }

    /// Sends a request and reads the answer until it ends or breaks off.
    pub async fn send(&self, req: Request<Bytes>) -> Result<Answer, ExchangeError> {
        self.send_until(req, usize::MAX).await
    }

    /// Like `send`, but disconnects once it has `events` events.
    pub async fn send_until(
        &self,
        req: Request<Bytes>,
        events: usize,
    ) -> Result<Answer, ExchangeError> {
        let sent = Instant::now();
        let (response, conn) = self.send_unread(req).await?;
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let mut answer = Answer {
            status,
            headers,
            body: Vec::new(),
            complete: false,
            first_byte: Duration::ZERO,
            total_time: Duration::ZERO,
        };
        let mut body = response.into_body();
        loop {
            match body.frame().await {
                None => {
                    answer.complete = true;
                    self.pool.put_back(conn);
                    break;
                }
                Some(Err(_)) => break,
                Some(Ok(frame)) => {
                    if answer.body.is_empty() {
                        answer.first_byte = sent.elapsed();
                    }
                    answer.body.extend(frame.into_data().unwrap_or_default());
                    if answer.events().len() >= events {
                        break;
                    }
                }
            }
        }
        answer.total_time = sent.elapsed();
        Ok(answer)
    }

    /// Sends a request and returns the unread answer with its connection; dropping both disconnects.
    pub async fn send_unread(
        &self,
        req: Request<Bytes>,
    ) -> Result<(Response<Incoming>, Conn), ExchangeError> {
        let mut req = req;
        if let Some(key) = &self.key {
            simulation::set_api_key(&mut req, key);
        }
        let conn = self.pool.take(self.addr, IDLE_MAX, Exchange::Trusted).await?;
        let (conn, response) = self.pool.exchange(conn, req, Exchange::Trusted).await?;
        Ok((response, conn))
    }
}
