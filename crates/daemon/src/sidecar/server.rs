//! The backend server beside the sidecar: a model engine or a plain service, over HTTP.
//!
//! Model engines are spoken to in the shape of the OpenAI completions interface, with the transfer
//! parameters that vLLM uses for separate prefill. Each run is a task; dropping it closes its
//! connection, which an engine takes as a cancel.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::runtime::JoinHandle;
use ebonyloft_core::affinity::head_of;
use ebonyloft_core::ids::{Attempt, MemberId};
use ebonyloft_core::message::{Admission, Completion, KvHandle, PlainCall, Work};
use ebonyloft_core::orders::{ORDER_DELAY, Order, OrderResult};
use ebonyloft_core::time::Moment;
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};

use crate::settings::{ServerKind, SidecarSettings};

/// Longest time a sweep or an order may take.
const CALL_WAIT: Duration = Duration::from_secs(10);
/// Pause before cache events are asked for again.
const EVENTS_PAUSE: Duration = Duration::from_millis(500);

/// What the backend server said.
pub enum ServerEvent {
    /// Answer bytes.
    Output { attempt: Attempt, text: String, tokens: u32 },
    /// The answer is whole.
    End { attempt: Attempt, status: u16, mime: String },
    /// The run failed; `ran` says that it may have taken effect.
    Failed { attempt: Attempt, ran: bool },
    /// A prefill was exported, or failed.
    Computed { attempt: Attempt, kv: Option<KvHandle> },
    /// A cache event.
    Cache { seq: u64, head: u64, stored: bool },
}

type Sink = Rc<dyn Fn(ServerEvent)>;

/// A completion request, in the published shape.
#[derive(Debug, Deserialize, Serialize)]
pub struct CompletionBody {
    /// Model name.
    pub model: String,
    /// Prompt, with the answer bytes that are held already behind it.
    pub prompt: String,
    /// Output bound.
    pub max_tokens: u32,
    /// Stream the answer?
    #[serde(default)]
    pub stream: bool,
    /// Lower goes first.
    #[serde(default)]
    pub priority: i32,
    /// Names the run.
    #[serde(default)]
    pub request_id: String,
    /// Answer bytes that are held already; the engine goes on behind them.
    #[serde(default)]
    pub resume: String,
    /// Where the KV cache lies, or that it is to be exported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<TransferParams>,
}

/// Parameters of a KV transfer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TransferParams {
    /// Export the result of this request.
    #[serde(default)]
    pub do_remote_decode: bool,
    /// Import before decoding.
    #[serde(default)]
    pub do_remote_prefill: bool,
    /// Base URL of the exporting engine.
    #[serde(default)]
    pub remote_host: String,
    /// Blocks there.
    #[serde(default)]
    pub remote_block_ids: String,
    /// Size, in bytes.
    #[serde(default)]
    pub bytes: u64,
    /// Prompt tokens computed.
    #[serde(default)]
    pub computed: u32,
    /// When the export is evicted.
    #[serde(default)]
    pub evicted_at: Moment,
}

/// A completion answer, streamed or whole.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct CompletionChunk {
    /// Always one.
    pub choices: Vec<Choice>,
    /// Set on exports.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<TransferParams>,
}

/// A piece of an answer.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Choice {
    /// Text.
    pub text: String,
    /// Set on the last piece.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// A cache event as engines publish it.
#[derive(Debug, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Grows by one.
    pub seq: u64,
    /// The prompt head.
    pub head: u64,
    /// Stored, or evicted.
    pub stored: bool,
}

/// The backend server.
pub struct ServerHandle {
    base: String,
    client: cyper::Client,
    sink: Sink,
    runs: HashMap<Attempt, JoinHandle<()>>,
    prefills: HashMap<Attempt, JoinHandle<()>>,
    kind: ServerKind,
}

impl ServerHandle {
    /// A handle on the backend server of these settings.
    pub fn new(settings: &SidecarSettings, _me: MemberId, sink: Sink) -> Self {
        // The builder sets no TLS, so building can't fail.
        let client = cyper::Client::builder().no_proxy().build().expect("plain client");
        let base = settings.server.trim_end_matches('/').to_owned();
        let kind = settings.server_kind;
        if kind == ServerKind::Prefill {
            let (client, base, sink) = (client.clone(), base.clone(), sink.clone());
            compio::runtime::spawn(async move { follow_cache(client, base, sink).await }).detach();
        }
        ServerHandle { base, client, sink, runs: HashMap::new(), prefills: HashMap::new(), kind }
    }

    /// Aborts whatever an earlier life of this process left running at an engine.
    pub async fn sweep(&self) {
        if self.kind == ServerKind::Plain {
            return;
        }
        let url = format!("{}/abort_all", self.base);
        let swept =
            async { self.client.post(&url).ok()?.body("{}").send().await.ok()?.text().await.ok() };
        match compio::time::timeout(CALL_WAIT, swept).await {
            Ok(Some(text)) => tracing::info!(swept = %text, "engine swept"),
            _ => tracing::warn!("engine could not be swept"),
        }
    }

    /// Starts a run.
    pub fn run(&mut self, admission: &Admission, kv: Option<KvHandle>) {
        let attempt = admission.attempt;
        let (client, sink) = (self.client.clone(), self.sink.clone());
        let task = match &admission.work {
            Work::Completion(work) => {
                let url = format!("{}/v1/completions", self.base);
                let body = completion_body(admission, work, kv);
                compio::runtime::spawn(complete(client, url, attempt, body, sink))
            }
            Work::Plain(call) => {
                let url = format!("{}/{}", self.base, call.path.trim_start_matches('/'));
                compio::runtime::spawn(call_plain(client, url, attempt, call.clone(), sink))
            }
        };
        self.runs.insert(attempt, task);
    }

    /// Stops a run: the dropped connection is its cancel, and an abort says so as well.
    pub fn stop(&mut self, attempt: &Attempt) {
        if self.runs.remove(attempt).is_some() {
            self.abort(attempt);
        }
    }

    /// A run ended by itself.
    pub fn forget(&mut self, attempt: &Attempt) {
        if let Some(task) = self.runs.remove(attempt) {
            task.detach();
        }
    }

    /// Starts a prefill.
    pub fn prefill(&mut self, attempt: Attempt, work: Completion) {
        let url = format!("{}/v1/completions", self.base);
        let (client, sink) = (self.client.clone(), self.sink.clone());
        let base = self.base.clone();
        let task = compio::runtime::spawn(async move {
            let kv = export(&client, &url, attempt, &work, base).await;
            sink(ServerEvent::Computed { attempt, kv });
        });
        self.prefills.insert(attempt, task);
    }

    /// A prefill ended by itself.
    pub fn forget_prefill(&mut self, attempt: &Attempt) {
        if let Some(task) = self.prefills.remove(attempt) {
            task.detach();
        }
    }

    /// Drops a prefill that nobody wants.
    pub fn drop_prefill(&mut self, attempt: &Attempt) {
        if self.prefills.remove(attempt).is_some() {
            self.abort(attempt);
        }
    }

    /// Sends an order.
    pub fn order(&self, order: Order) -> PendingOrder {
        let client = self.client.clone();
        let url = format!("{}/orders", self.base);
        Box::pin(async move {
            let sent = async {
                let body = serde_json::to_string(&order.action).map_err(|e| e.to_string())?;
                let req = client.post(&url).map_err(|e| e.to_string())?;
                let req = req.header("x-fencing-token", order.fence.to_string());
                let req = req.map_err(|e| e.to_string())?.body(body);
                let res = req.send().await.map_err(|e| e.to_string())?;
                match res.status().as_u16() {
                    200 => Ok(OrderResult::Done),
                    409 => Ok(OrderResult::Stale { seen: order.fence }),
                    status => Err(format!("the engine answered {status}")),
                }
            };
            // The gate counts on no order being under way for longer than this.
            match compio::time::timeout(ORDER_DELAY, sent).await {
                Ok(result) => result,
                Err(_) => Err("the engine did not answer".to_owned()),
            }
        })
    }

    fn abort(&self, attempt: &Attempt) {
        let (client, url) = (self.client.clone(), format!("{}/abort", self.base));
        let body = format!("{{\"request_id\":\"{attempt}\"}}");
        compio::runtime::spawn(async move {
            if let Ok(req) = client.post(&url) {
                let _ = compio::time::timeout(CALL_WAIT, req.body(body).send()).await;
            }
        })
        .detach();
    }
}

/// An order under way.
pub type PendingOrder = std::pin::Pin<Box<dyn Future<Output = Result<OrderResult, String>>>>;

fn completion_body(adm: &Admission, work: &Completion, kv: Option<KvHandle>) -> CompletionBody {
    let params = kv.map(|kv| TransferParams {
        do_remote_prefill: true,
        remote_host: kv.source,
        remote_block_ids: kv.blocks,
        bytes: kv.bytes,
        computed: kv.computed,
        evicted_at: kv.evicted_at,
        ..TransferParams::default()
    });
    CompletionBody {
        model: work.model.clone(),
        prompt: work.prompt.clone(),
        max_tokens: work.max_tokens,
        stream: true,
        priority: adm.class as i32,
        request_id: adm.attempt.to_string(),
        resume: adm.prefix.clone(),
        kv_transfer_params: params,
    }
}

async fn complete(
    client: cyper::Client,
    url: String,
    attempt: Attempt,
    body: CompletionBody,
    sink: Sink,
) {
    let whole = stream_answer(client, &url, attempt, &body, &sink).await;
    match whole {
        Some(()) => sink(ServerEvent::End {
            attempt,
            status: 200,
            mime: "text/plain; charset=utf-8".to_owned(),
        }),
        None => sink(ServerEvent::Failed { attempt, ran: true }),
    }
}

/// Streams an answer; `None` when it broke off.
async fn stream_answer(
    client: cyper::Client,
    url: &str,
    attempt: Attempt,
    body: &CompletionBody,
    sink: &Sink,
) -> Option<()> {
    let res = client.post(url).ok()?.json(body).ok()?.send().await.ok()?;
    if res.status().as_u16() != 200 {
        return None;
    }
    let mut lines = Lines::default();
    let mut stream = Box::pin(res.bytes_stream());
    while let Some(bytes) = stream.next().await {
        lines.push(&bytes.ok()?);
        let mut text = String::new();
        let mut tokens = 0;
        let mut ended = false;
        for line in lines.by_ref() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                ended = true;
                break;
            }
            let chunk: CompletionChunk = serde_json::from_str(data).ok()?;
            tokens += 1;
            text.extend(chunk.choices.into_iter().map(|c| c.text));
        }
        if !text.is_empty() {
            sink(ServerEvent::Output { attempt, text, tokens });
        }
        if ended {
            return Some(());
        }
    }
    None
}

/// Splits a byte stream into lines.
#[derive(Default)]
pub struct Lines(Vec<u8>);

impl Lines {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
}

impl Iterator for Lines {
    type Item = String;

    fn next(&mut self) -> Option<String> {
        let end = self.0.iter().position(|b| *b == b'\n')?;
        let line: Vec<u8> = self.0.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line).trim_end().to_owned())
    }
}

async fn call_plain(
    client: cyper::Client,
    url: String,
    attempt: Attempt,
    call: PlainCall,
    sink: Sink,
) {
    let sent = async {
        let method = call.method.parse().ok()?;
        let req = client.request(method, &url).ok()?;
        let req = req.header("content-type", call.mime).ok()?;
        let req = req.header("idempotency-key", attempt.to_string()).ok()?;
        let res = req.body(Bytes::from(call.body)).send().await.ok()?;
        let status = res.status().as_u16();
        let mime = res.headers().get("content-type").and_then(|v| v.to_str().ok());
        let mime = mime.unwrap_or("application/octet-stream").to_owned();
        let body = res.bytes().await.ok()?;
        Some((status, mime, String::from_utf8(body.to_vec()).ok()?))
    };
    match sent.await {
        Some((status, mime, text)) => {
            if !text.is_empty() {
                sink(ServerEvent::Output { attempt, text, tokens: 1 });
            }
            sink(ServerEvent::End { attempt, status, mime });
        }
        // The call may have reached the service.
        None => sink(ServerEvent::Failed { attempt, ran: true }),
    }
}

async fn export(
    client: &cyper::Client,
    url: &str,
    attempt: Attempt,
    work: &Completion,
    source: String,
) -> Option<KvHandle> {
    let body = CompletionBody {
        model: work.model.clone(),
        prompt: work.prompt.clone(),
        max_tokens: 1,
        stream: false,
        priority: 0,
        request_id: attempt.to_string(),
        resume: String::new(),
        kv_transfer_params: Some(TransferParams { do_remote_decode: true, ..Default::default() }),
    };
    let res = client.post(url).ok()?.json(&body).ok()?.send().await.ok()?;
    let chunk: CompletionChunk = res.json().await.ok()?;
    let params = chunk.kv_transfer_params?;
    Some(KvHandle {
        source,
        blocks: params.remote_block_ids,
        bytes: params.bytes,
        computed: params.computed,
        evicted_at: params.evicted_at,
    })
}

/// Follows the engine's cache events; a broken stream is opened anew.
async fn follow_cache(client: cyper::Client, base: String, sink: Sink) {
    let url = format!("{base}/cache_events");
    loop {
        let opened = async { client.get(&url).ok()?.send().await.ok() };
        if let Some(res) = opened.await {
            let mut lines = Lines::default();
            let mut stream = Box::pin(res.bytes_stream());
            while let Some(Ok(bytes)) = stream.next().await {
                lines.push(&bytes);
                let events = lines.by_ref().filter_map(|l| serde_json::from_str(&l).ok());
                for CacheEvent { seq, head, stored } in events {
                    sink(ServerEvent::Cache { seq, head, stored });
                }
            }
        }
        compio::time::sleep(EVENTS_PAUSE).await;
    }
}

/// Digest of a prompt head, as engines of this shape publish it.
pub fn event_head(prompt: &str) -> u64 {
    head_of(prompt)
}
