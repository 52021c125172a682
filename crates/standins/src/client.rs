//! A caller: sends requests, reads streams, joins a run again after a lost connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ebonyloftd::sidecar::server::Lines;
use futures_util::StreamExt;
use serde_json::Value;

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The whole answer came.
    Whole(Whole),
    /// A problem document came.
    Refused(Problem),
    /// The connection ended without either.
    Broken {
        /// Answer bytes so far.
        text: String,
        /// Id of the last event.
        last: Option<String>,
    },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Its text.
    pub text: String,
    /// HTTP status.
    pub status: u16,
    /// When the first byte came.
    pub first_at: Instant,
    /// When the last byte came.
    pub last_at: Instant,
    /// Pieces.
    pub pieces: u32,
    /// The attempt that gave it.
    pub attempt: String,
}

/// What a refusal said.
#[derive(Clone, Debug, Default)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Verdict on the key; empty when none was given.
    pub verdict: String,
    /// Reason word.
    pub reason: String,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
    /// Answer bytes that came before it.
    pub text: String,
    /// The whole document.
    pub detail: String,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Bearer token.
    pub token: String,
    /// Headers beside the token.
    pub headers: Vec<(&'static str, String)>,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// JSON body.
    pub body: String,
}

impl Call {
    /// A streamed completion.
    pub fn completion(token: &str, key: &str, kind: &str, prompt: &str, tokens: u32) -> Self {
        let body = serde_json::json!({
            "model": "trinacria-8b", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let headers =
            vec![("idempotency-key", key.to_owned()), ("ebonyloft-kind", kind.to_owned())];
        Call {
            token: token.to_owned(),
            headers,
            method: "POST",
            path: "/v1/completions".to_owned(),
            body: body.to_string(),
        }
    }

    /// A call of a plain service.
    pub fn plain(token: &str, key: &str, kind: &str, service: &str, subject: &str) -> Self {
        let body = serde_json::json!({ "subject": subject });
        let headers = vec![
            ("idempotency-key", key.to_owned()),
            ("ebonyloft-kind", kind.to_owned()),
            ("content-type", "application/json".to_owned()),
        ];
        Call {
            token: token.to_owned(),
            headers,
            method: "POST",
            path: format!("/services/{service}/{kind}"),
            body: body.to_string(),
        }
    }

    /// With one more header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Sends requests.
#[derive(Clone)]
pub struct Client(cyper::Client);

impl Default for Client {
    fn default() -> Self {
        Client(cyper::Client::builder().no_proxy().build().expect("plain client"))
    }
}

impl Client {
    /// Sends a request and reads its answer to the end; `on_piece` hears of each piece.
    pub async fn send(
        &self,
        entry: SocketAddr,
        call: &Call,
        mut on_piece: impl FnMut(&str),
    ) -> Outcome {
        let broken = || Outcome::Broken { text: String::new(), last: None };
        let method = call.method.parse().unwrap_or(hyper::Method::POST);
        let url = format!("http://{entry}{}", call.path);
        let built = (|| {
            let mut req = self.0.request(method, url).ok()?;
            req = req.bearer_auth(&call.token).ok()?;
            for (name, value) in &call.headers {
                req = req.header(*name, value).ok()?;
            }
            Some(req.body(call.body.clone()))
        })();
        let Some(req) = built else { return broken() };
        let Ok(res) = req.send().await else {
            return broken();
        };
        let mime = res.headers().get("content-type").and_then(|v| v.to_str().ok());
        let mime = mime.unwrap_or_default().to_owned();
        if mime.starts_with("application/problem+json") {
            return match res.text().await {
                Ok(text) => Outcome::Refused(problem(&text, String::new())),
                Err(_) => broken(),
            };
        }
        if mime.starts_with("text/event-stream") {
            return read_events(res, &mut on_piece).await;
        }
        let status = res.status().as_u16();
        let attempt = res.headers().get("ebonyloft-attempt").and_then(|v| v.to_str().ok());
        let attempt = attempt.unwrap_or_default().to_owned();
        match res.text().await {
            Ok(text) => {
                let now = Instant::now();
                Outcome::Whole(Whole {
                    text,
                    status,
                    first_at: now,
                    last_at: now,
                    pieces: 1,
                    attempt,
                })
            }
            Err(_) => broken(),
        }
    }

    /// Sends a request; after a lost connection joins the run again through the other entries.
    pub async fn send_through(
        &self,
        entries: &[SocketAddr],
        call: &Call,
        until: Instant,
    ) -> Outcome {
        let mut held = String::new();
        let mut position = None;
        let mut first_at: Option<Instant> = None;
        let mut pieces = 0;
        let mut refused = None;
        let mut sent_before = false;
        for entry in entries.iter().cycle() {
            let mut again = call.clone();
            if !std::mem::replace(&mut sent_before, true) {
                again = again.with("ebonyloft-first", "true");
            }
            if let Some(last) = &position {
                again = again.with("last-event-id", last);
            }
            let sent = self.send(*entry, &again, |_| {
                first_at.get_or_insert_with(Instant::now);
            });
            let left = until.saturating_duration_since(Instant::now());
            let outcome = compio::time::timeout(left, sent).await;
            match outcome {
                Ok(Outcome::Whole(mut whole)) => {
                    whole.text.insert_str(0, &held);
                    whole.pieces += pieces;
                    whole.first_at = first_at.unwrap_or(whole.first_at);
                    return Outcome::Whole(whole);
                }
                Ok(Outcome::Refused(mut p)) => {
                    // Over the wire this means: come back soon with the same key.
                    let again = p.verdict == "may-have-run" && p.retry_after.is_some();
                    p.text.insert_str(0, &held);
                    if !again || Instant::now() >= until {
                        return Outcome::Refused(p);
                    }
                    held = p.text.clone();
                    refused = Some(p);
                    compio::time::sleep(RECONNECT).await;
                }
                Ok(Outcome::Broken { text, last }) => {
                    held.push_str(&text);
                    pieces += 1;
                    if last.is_some() {
                        position = last;
                    }
                    if Instant::now() >= until {
                        return Outcome::Broken { text: held, last: position };
                    }
                    compio::time::sleep(RECONNECT).await;
                }
                Err(_) if refused.is_some() => break,
                Err(_) => {
                    return Outcome::Broken { text: held, last: position };
                }
            }
        }
        match refused {
            Some(p) => Outcome::Refused(p),
            None => Outcome::Broken { text: held, last: position },
        }
    }
}

/// Pause before a lost connection is made again.
const RECONNECT: Duration = Duration::from_millis(200);

fn problem(text: &str, held: String) -> Problem {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let word = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
    Problem {
        status: value["status"].as_u64().unwrap_or_default() as u16,
        verdict: word("verdict"),
        reason: word("reason"),
        retry_after: value["retry_after"].as_u64(),
        text: held,
        detail: text.to_owned(),
    }
}

async fn read_events(res: cyper::Response, on_piece: &mut impl FnMut(&str)) -> Outcome {
    let mut lines = Lines::default();
    let mut text = String::new();
    let mut last = None;
    let mut is_error = false;
    let mut first_at = None;
    let mut last_at = Instant::now();
    let mut pieces = 0;
    let mut attempt = String::new();
    let mut stream = Box::pin(res.bytes_stream());
    while let Some(Ok(bytes)) = stream.next().await {
        lines.push(&bytes);
        for line in lines.by_ref() {
            if let Some(id) = line.strip_prefix("id: ") {
                last = Some(id.to_owned());
            } else if line == "event: error" {
                is_error = true;
            } else if let Some(data) = line.strip_prefix("data: ") {
                if is_error {
                    return Outcome::Refused(problem(data, text));
                }
                if data == "[DONE]" {
                    let first_at = first_at.unwrap_or(last_at);
                    return Outcome::Whole(Whole {
                        text,
                        status: 200,
                        first_at,
                        last_at,
                        pieces,
                        attempt,
                    });
                }
                let value: Value = serde_json::from_str(data).unwrap_or_default();
                if let Some(a) = value["attempt"].as_str() {
                    a.clone_into(&mut attempt);
                }
                let piece = value["choices"][0]["text"].as_str().unwrap_or_default();
                if !piece.is_empty() {
                    last_at = Instant::now();
                    first_at.get_or_insert(last_at);
                    pieces += 1;
                    text.push_str(piece);
                    on_piece(piece);
                }
            }
        }
    }
    Outcome::Broken { text, last }
}
