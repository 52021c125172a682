//! One attempt at a backend server: sends a request and determines the outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::verdict::Verdict;
use ebonyloft_platform::headers;
use ebonyloft_router::catalog::{Kind, Server, ServerId};
use ebonyloft_router::correlation::Exchange;
use ebonyloft_router::outcome::{AttemptOutcome, Reply};
use ebonyloft_router::response_head;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};

use super::announcements;
use super::body_memory::ANSWER_MAX;
use super::engine_life::EngineLife;
use super::intake::Intake;
use super::keys;
use super::part_blame;
use super::pool::{Conn, ConnUse, ConnWatch, ExchangeError, IDLE_MAX, IDLE_MAX_ONCE, loggable};
use super::quarantine;
use super::request_blame;
use super::retries;
use super::shared::Shared;
use super::speeds;
use crate::http;

/// Largest body of a rejection that is read, in bytes.
const REJECTION_MAX: usize = 64 << 10;
/// Time in which the body of a rejection must arrive.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(100);

/// The head of an answer, and the connection that its body arrives on.
pub struct Head {
    /// What its status and headers say.
    pub reply: Reply,
    /// The answer, with its body unread.
    pub response: Response<Incoming>,
    /// Carries the body; dropping it cancels the work at the backend server.
    pub conn: Conn,
    /// The connection as it was before this exchange.
    pub conn_use: ConnUse,
}

/// Memory at engines that a request names.
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedMemory<'a> {
    /// Id of a reservation at the engine that it is sent to, and the life in which it is valid.
    pub hold: Option<(&'a str, &'a EngineLife)>,
    /// The prompt's memory.
    pub prompt: Option<NamedPrompt<'a>>,
}

/// The memory of a prompt that a request names.
#[derive(Clone, Copy, Debug)]
pub struct NamedPrompt<'a> {
    /// Its handle.
    pub handle: &'a str,
    /// The engine that issued the handle.
    pub issuer: &'a ServerId,
    /// Address of that engine.
    pub addr: SocketAddr,
    /// The life of the engine that keeps the memory.
    pub keeper: &'a EngineLife,
    /// It is the handle of a run that was moved.
    pub is_copy: bool,
}

impl NamedMemory<'_> {
    /// Logs that the request is sent; nothing if it names no memory.
    fn log_sent(&self, intake: &Intake, to: &Server, conn_use: ConnUse) {
        if self.hold.is_none() && self.prompt.is_none() {
            return;
        }
        let prompt = self.prompt.as_ref();
        tracing::info!(
            id = intake.id(), server = %to.id, hold = self.hold.map(|(id, _)| loggable(id)),
            handle = prompt.map(|p| loggable(p.handle)),
            source = prompt.map(|p| tracing::field::display(p.issuer)),
            addr = prompt.map(|p| tracing::field::display(p.addr)),
            copy = prompt.and_then(|p| p.is_copy.then_some(true)),
            conn = conn_use.number, carried = conn_use.carried, "run sent"
        );
    }
}

/// A complete answer.
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that are returned to the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What its status and headers say.
    pub reply: Reply,
    /// Where a handle in it comes from; none unless it was to carry one.
    pub origin: Option<HandleOrigin>,
}

/// Where a handle comes from.
pub struct HandleOrigin {
    /// Id of the attempt that the answer names.
    pub named: Option<String>,
    /// The connection as it was before this exchange.
    pub conn_use: ConnUse,
    /// Tells whether the connection has broken since.
    pub watch: ConnWatch,
}

/// Sends a request and waits for the head of its answer. It is not sent if a life in which something
/// was named has ended by then.
pub async fn head(
    shared: &Shared,
    intake: &Intake,
    to: &Server,
    req: Request<Bytes>,
    memory: NamedMemory<'_>,
    expect: Expect,
) -> Result<Head, AttemptOutcome> {
    // A request that may run only once must not use a connection that the server may just be
    // closing.
    let idle_max = match intake.route().kind {
        Kind::Once => IDLE_MAX_ONCE,
        _ if intake.is_repeatable() => IDLE_MAX,
        _ => IDLE_MAX_ONCE,
    };
    let exchange = Exchange::of_attempt(intake.caller.attempt.as_deref());
    let taken = shared.pool.take(to.addr, idle_max, exchange).await;
    let conn = taken.map_err(exchange_outcome)?;
    // The server may have announced that it is leaving while the request waited for its prefill,
    // for another zone or for this connection.
    if !announcements::accepts_requests(shared, &to.id) {
        tracing::info!(
            id = intake.id(), server = %to.id, "not sent: the backend server is leaving or paused"
        );
        shared.pool.put_back(conn);
        return Err(AttemptOutcome::Unsent);
    }
    if let Some(life) = memory.prompt.map(|p| p.keeper).filter(|life| life.has_ended(shared)) {
        let (id, source) = (intake.id(), life.id());
        tracing::info!(id, server = %to.id, %source, "not sent: the engine with the prompt has ended");
        shared.pool.put_back(conn);
        return Err(AttemptOutcome::Unsent);
    }
    if memory.hold.is_some_and(|(_, life)| life.has_ended(shared)) {
        let id = intake.id();
        tracing::info!(id, server = %to.id, "not sent: the engine with the reservation has ended");
        shared.pool.put_back(conn);
        return Err(AttemptOutcome::Unsent);
    }
    if request_blame::is_confirmed(shared, &intake.digest) {
        tracing::info!(
            id = intake.id(), content = %intake.digest, parts = intake.part_digits(), server = %to.id,
            "not sent: confirmed to crash servers"
        );
        shared.pool.put_back(conn);
        return Err(AttemptOutcome::Unsent);
    }
    if part_blame::is_refused(shared, &intake.parts, to) {
        tracing::info!(
            id = intake.id(), content = %intake.digest, parts = intake.part_digits(), server = %to.id,
            "not sent: a part of the prompt crashes servers"
        );
        shared.pool.put_back(conn);
        return Err(AttemptOutcome::Unsent);
    }
    if !keys::may_send(shared, intake) {
        shared.pool.put_back(conn);
        return Err(AttemptOutcome::Unsent);
    }
    let sent_at = shared.now();
    // The request counts as run from here on, even if its caller disconnects before the outcome is
    // known.
    let ran_before =
        intake.maybe_ran.replace(intake.maybe_ran.get() || expect == Expect::Signature);
    retries::commit(shared, intake);
    let conn_use = conn.usage();
    memory.log_sent(intake, to, conn_use);
    let (conn, response) = match shared.pool.exchange(conn, req, exchange).await {
        Ok(answered) => answered,
        Err(e) => {
            if matches!(e, ExchangeError::Unsent) {
                intake.maybe_ran.set(ran_before);
                retries::undo_commit(shared, intake);
            }
            return Err(exchange_outcome(e));
        }
    };
    let reply = headers::parse_reply(response.status(), response.headers());
    if reply.not_run {
        intake.maybe_ran.set(ran_before);
    }
    if !reply.moved {
        quarantine::on_alive(shared, &to.id, sent_at);
    }
    announcements::on_answer(shared, &to.id, sent_at, &reply);
    if reply.load.is_some_and(|load| load.slowness.is_some()) {
        speeds::on_slowness(shared, &to.service);
    }
    Ok(Head { reply, response, conn, conn_use })
}

/// Which mark a complete answer must carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The backend server's signature: the answer is for the caller.
    Signature,
    /// The handle of a prefilled prompt: the answer is for the gateway and not signed.
    Handle,
}

/// Sends a request and reads its complete answer within `limit`; there is none if the attempt was
/// lost.
pub async fn complete_exchange(
    shared: &Shared,
    intake: &Intake,
    to: &Server,
    req: Request<Bytes>,
    limit: Duration,
    expect: Expect,
) -> (AttemptOutcome, Option<CompleteAnswer>) {
    let attempt = async {
        let head = head(shared, intake, to, req, NamedMemory::default(), expect).await?;
        let Head { mut reply, response, conn, conn_use } = head;
        reply.signed |= expect == Expect::Handle;
        let outcome = AttemptOutcome::from_reply(&reply);
        let (status, headers) =
            (response.status(), headers::forwarded_to_caller(response.headers()));
        let origin = (expect == Expect::Handle).then(|| HandleOrigin {
            named: headers::parse_echo(response.headers()).id().map(str::to_owned),
            conn_use,
            watch: conn.watch(),
        });
        let is_framed = http::is_framed(response.headers());
        let body = response.into_body();
        // A rejection is known from its head alone.
        if outcome == AttemptOutcome::Rejected || outcome == AttemptOutcome::Moved {
            drain_rejection(shared, conn, body).await;
            let body = Bytes::new();
            return Ok((outcome, CompleteAnswer { status, headers, body, reply, origin }));
        }
        let read = shared.pool.answers().read(body, ANSWER_MAX);
        let body = read.await.ok_or(AttemptOutcome::Lost)?;
        if outcome.verdict() == Verdict::MayHaveRun
            && has_second_answer(intake, to, is_framed, &body)
        {
            return Err(AttemptOutcome::Lost);
        }
        if outcome == AttemptOutcome::Lost {
            conn.close();
            return Err(outcome);
        }
        shared.pool.put_back(conn);
        Ok((outcome, CompleteAnswer { status, headers, body, reply, origin }))
    };
    match compio::time::timeout(limit, attempt).await {
        Ok(Ok((outcome, answer))) => (outcome, Some(answer)),
        Ok(Err(outcome)) => (outcome, None),
        Err(_) => (AttemptOutcome::Lost, None),
    }
}

/// Reads the body of a rejection, so that its connection can be used again; one that does not end is closed.
async fn drain_rejection(shared: &Shared, conn: Conn, body: Incoming) {
    let read = shared.pool.answers().read(body, REJECTION_MAX);
    match compio::time::timeout(REJECTION_TIMEOUT, read).await {
        Ok(Some(_)) => shared.pool.put_back(conn),
        _ => conn.close(),
    }
}

/// Does another answer follow in the body of one that ends with its connection?
pub fn has_second_answer(intake: &Intake, from: &Server, is_framed: bool, body: &[u8]) -> bool {
    let follows = !is_framed && response_head::follows_in(body);
    if follows {
        tracing::warn!(id = intake.id(), server = %from.id, "another answer follows in the body");
    }
    follows
}

fn exchange_outcome(e: ExchangeError) -> AttemptOutcome {
    match e {
        ExchangeError::Unsent => AttemptOutcome::Unsent,
        ExchangeError::Lost => AttemptOutcome::Lost,
        ExchangeError::Mismatched => AttemptOutcome::Mismatched,
    }
}
