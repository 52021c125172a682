//! Pool of HTTP connections to backend servers, to the store and to peers.
//!
//! A connection carries one exchange at a time and is kept for reuse. Dropping it closes the socket
//! at once, which tells the other end that the answer is no longer wanted. An answer that belongs to
//! another exchange ends its connection, and connections to that address are not reused for a while.

mod conn;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::headers;
use ebonyloft_router::correlation::{Correlation, Exchange};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response, StatusCode};
use snafu::Snafu;

pub use self::conn::{Conn, ConnUse, ConnWatch};
use super::body_memory::{BodyBuffer, BodyError, BodyMemory, CALL_MAX, TRUSTED_MAX};
use crate::answer_socket;
use crate::clock::Clock;

/// Connect timeout: about a hundred times the latency between availability zones, and short enough
/// to try another backend server within the goal of a check.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// Longest idle time of a pooled connection: the other ends close idle connections after whole
/// seconds, one at the least.
pub const IDLE_MAX: Duration = Duration::from_millis(900);
/// Longest idle time of a connection for a request that may run only once; no server is known
/// to close a connection earlier than this.
pub const IDLE_MAX_ONCE: Duration = Duration::from_millis(500);
/// Time limit for a whole body, however steadily it arrives: a megabyte takes two seconds over the
/// slowest link with its other traffic.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(6);
/// A body that takes longer than this after its head is logged, since other data on the same link
/// is delayed too.
const BODY_SLOW: Duration = Duration::from_millis(100);
/// Most bytes of an answer that are read at a time, and so the longest head.
const READ_BUFFER_MAX: usize = 64 << 10;
/// Idle connections kept per address.
const IDLE_PER_ADDR: usize = 16;
/// How long connections to an address that sent a stray answer are not reused.
const NO_REUSE: Duration = Duration::from_secs(10);

/// Longest part of an id that is logged, in bytes.
const LOGGED_ID_MAX: usize = 64;

/// Why an exchange gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ExchangeError {
    /// No byte of the request reached the other end.
    #[snafu(display("not sent"))]
    Unsent,
    /// The request was sent and not answered; whether it was received is unknown.
    #[snafu(display("sent, but not answered"))]
    Lost,
    /// The request was sent, and the answer was another exchange's; whether it was received is unknown.
    #[snafu(display("sent, but the answer was another exchange's"))]
    Mismatched,
}

/// Addresses whose servers sent an answer of another exchange, or bytes that no exchange waits for.
#[derive(Default)]
struct Strays {
    /// Until when connections to an address are not reused.
    until: RefCell<HashMap<SocketAddr, Timestamp>>,
    /// How often that happened since the count was taken.
    count: Cell<u64>,
}

impl Strays {
    fn record(&self, addr: SocketAddr, now: Timestamp) {
        self.until.borrow_mut().insert(addr, now.after(NO_REUSE));
        self.count.set(self.count.get() + 1);
    }

    fn has_recent(&self, addr: SocketAddr, now: Timestamp) -> bool {
        self.until.borrow().get(&addr).is_some_and(|until| *until > now)
    }
}

/// Result of a call that checks whether a server answers at an address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// A server answered with this status and these headers.
    Answered(StatusCode, HeaderMap),
    /// The connection was refused: no process listens there.
    Refused,
    /// The connection failed or broke.
    Broken,
}

/// A backend server's answer to a call of the gateway's own.
pub struct ServerAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The connection that it came over.
    pub watch: ConnWatch,
}

/// An answer whose head has arrived and whose body is unread.
pub struct PendingAnswer {
    conn: Conn,
    response: Response<Incoming>,
    head_at: Timestamp,
    body: BodyBuffer,
}

impl PendingAnswer {
    /// When the head was read; it may have arrived, and been written, long before.
    pub fn head_at(&self) -> Timestamp {
        self.head_at
    }

    /// The headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }
}

/// Idle connections, by address.
pub struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<Conn>>>,
    /// Connections that carry no more exchanges and are open because they are watched.
    retired: RefCell<Vec<Conn>>,
    strays: Rc<Strays>,
    /// Connections opened so far.
    opened: Cell<u64>,
    answers: BodyMemory,
    connect_timeout: Duration,
}

impl Pool {
    /// An empty pool.
    pub fn new(clock: Clock) -> Self {
        Pool {
            clock,
            idle: RefCell::default(),
            retired: RefCell::default(),
            strays: Rc::default(),
            opened: Cell::default(),
            answers: BodyMemory::of_answers(0),
            connect_timeout: CONNECT_TIMEOUT,
        }
    }

    /// Sets the connect timeout, for callers with a single address to connect to.
    pub fn with_connect_timeout(self, timeout: Duration) -> Self {
        Pool { connect_timeout: timeout, ..self }
    }

    /// Sets the memory of the process in megabytes; zero if unknown.
    pub fn with_memory(self, megabytes: u32) -> Self {
        Pool { answers: BodyMemory::of_answers(megabytes), ..self }
    }

    /// Memory of the answers of servers that are being read.
    pub fn answers(&self) -> &BodyMemory {
        &self.answers
    }

    /// A connection that may carry the exchange and was idle for at most `idle_max`, or a new one.
    pub async fn take(
        &self,
        addr: SocketAddr,
        idle_max: Duration,
        exchange: Exchange<'_>,
    ) -> Result<Conn, ExchangeError> {
        if let Some(conn) = self.take_idle(addr, idle_max, exchange) {
            return Ok(conn);
        }
        if exchange == Exchange::Unnamed {
            // Such calls open a connection even where many are idle, and servers accept a limited number.
            self.close_oldest_idle(addr);
        }
        let opened = compio::time::timeout(self.connect_timeout, self.open(addr)).await;
        opened.unwrap_or(Err(ExchangeError::Unsent))
    }

    /// Returns a connection to the pool if it is still open.
    pub fn put_back(&self, mut conn: Conn) {
        let now = self.clock.now();
        conn.idle_since = now;
        if conn.sender.is_closed()
            || conn.correlation.is_exhausted()
            || self.strays.has_recent(conn.addr, now)
        {
            return self.retire(conn);
        }
        let mut idle = self.idle.borrow_mut();
        let idle_conns = idle.entry(conn.addr).or_default();
        idle_conns.push(conn);
        if idle_conns.len() > IDLE_PER_ADDR {
            self.retire(idle_conns.remove(0));
        }
    }

    /// Ends the use of a connection, and closes it unless it is watched.
    fn retire(&self, conn: Conn) {
        if conn.is_watched() && !conn.sender.is_closed() {
            self.retired.borrow_mut().push(conn);
        } else {
            conn.close();
        }
    }

    /// Sends a request and waits for the head of its answer. This is the only place that decides
    /// whether an answer belongs to the exchange; one that does not ends the connection.
    pub async fn exchange(
        &self,
        mut conn: Conn,
        req: Request<Bytes>,
        exchange: Exchange<'_>,
    ) -> Result<(Conn, Response<Incoming>), ExchangeError> {
        debug_assert!(conn.correlation.may_carry(exchange));
        let ConnUse { number, carried } = conn.usage();
        conn.correlation.begin(exchange);
        let response = conn.send(req).await?;
        conn.watch.on_head(response.headers());
        let echo = headers::parse_echo(response.headers());
        if conn.correlation.is_answer(exchange, echo) {
            return Ok((conn, response));
        }
        let status = response.status().as_u16();
        tracing::warn!(
            id = exchange.id().map(loggable), addr = %conn.addr, status,
            named = echo.id().map(loggable), conn = number, carried,
            "answer of another exchange ignored"
        );
        self.strays.record(conn.addr, self.clock.now());
        self.retire_idle(conn.addr);
        conn.close();
        Err(ExchangeError::Mismatched)
    }

    /// How often a server sent an answer of another exchange, or bytes that no exchange waits for,
    /// since the last call.
    pub fn take_stray_count(&self) -> u64 {
        self.strays.count.take()
    }

    /// Calls a peer or the store and reads the complete answer; `limit` applies to the head and to
    /// each pause in the body.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let pending = self.start_call(addr, req, limit, Exchange::Trusted).await?;
        self.finish_call(pending, limit).await
    }

    /// Calls a backend server; the answer has no effect here.
    pub async fn notify(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<(), ExchangeError> {
        let pending = self.start_call(addr, req, limit, Exchange::Unread).await?;
        self.finish_call(pending, limit).await.map(drop)
    }

    /// Calls a backend server over a new connection.
    pub async fn call_server(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<ServerAnswer, ExchangeError> {
        let mut pending = self.start_call(addr, req, limit, Exchange::Unnamed).await?;
        let headers = std::mem::take(pending.response.headers_mut());
        let watch = pending.conn.watch();
        let (status, body) = self.finish_call(pending, limit).await?;
        Ok(ServerAnswer { status, headers, body, watch })
    }

    /// First half of a call: waits for the head of the answer.
    pub async fn start_call(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        limit: Duration,
        exchange: Exchange<'_>,
    ) -> Result<PendingAnswer, ExchangeError> {
        let started = compio::time::timeout(limit, self.begin_exchange(addr, req, exchange)).await;
        let (conn, response) = started.unwrap_or(Err(ExchangeError::Lost))?;
        let body = match exchange {
            // The store and peers are read whatever the answers of servers take.
            Exchange::Trusted => BodyMemory::new(usize::MAX).begin(TRUSTED_MAX),
            _ => self.answers.begin(CALL_MAX),
        };
        Ok(PendingAnswer { conn, response, head_at: self.clock.now(), body })
    }

    /// Second half of a call: reads the body; `limit` applies to each part. A limit on the whole
    /// body kept VMs with links of 10 Mbit/s from ever reading a configuration of 1,400 routes: two
    /// of 32 used an old one for more than ten seconds.
    pub async fn finish_call(
        &self,
        pending: PendingAnswer,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let PendingAnswer { conn, response, head_at, mut body } = pending;
        let status = response.status();
        let read = body.read(response.into_body(), Some(limit));
        let read = compio::time::timeout(BODY_TIMEOUT, read).await;
        let read = read.unwrap_or(Err(BodyError::Stalled)).map_err(|_| ExchangeError::Lost);
        let took = self.clock.now().since(head_at);
        if took > BODY_SLOW || read.is_err() {
            let (addr, bytes, ms) = (conn.addr, body.len(), took.as_millis() as u64);
            tracing::info!(%addr, bytes, ms, whole = read.is_ok(), "slow answer");
        }
        read?;
        self.put_back(conn);
        Ok((status, body.close().0))
    }

    /// Calls an address over a new connection, to see whether a server answers there.
    pub async fn check_address(&self, addr: SocketAddr, mut req: Request<Bytes>) -> Reachability {
        let stream = match TcpStream::connect(addr).await {
            Ok(stream) => stream,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => return Reachability::Refused,
            Err(_) => return Reachability::Broken,
        };
        let Ok(conn) = self.handshake(addr, stream).await else {
            return Reachability::Broken;
        };
        set_host(&mut req, addr);
        let Ok((conn, response)) = self.exchange(conn, req, Exchange::Unnamed).await else {
            return Reachability::Broken;
        };
        let (parts, body) = response.into_parts();
        if self.answers.read(body, CALL_MAX).await.is_some() {
            self.put_back(conn);
        }
        Reachability::Answered(parts.status, parts.headers)
    }

    /// Closes idle connections to an address whose server has ended.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    fn retire_idle(&self, addr: SocketAddr) {
        let idle_conns = self.idle.borrow_mut().remove(&addr).unwrap_or_default();
        idle_conns.into_iter().for_each(|conn| self.retire(conn));
    }

    /// Closes the idle connection that was used least recently of those that are not watched.
    fn close_oldest_idle(&self, addr: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        let Some(idle_conns) = idle.get_mut(&addr) else {
            return;
        };
        if let Some(at) = idle_conns.iter().position(|conn| !conn.is_watched()) {
            idle_conns.remove(at).close();
        }
    }

    /// Closes connections that were idle for too long, and retired ones that are not watched any more.
    pub fn expire(&self, now: Timestamp) {
        self.retired.borrow_mut().retain(|c| c.is_watched() && c.is_recent(now));
        let mut idle = self.idle.borrow_mut();
        for idle_conns in idle.values_mut() {
            idle_conns.retain(|c| c.is_recent(now));
        }
        idle.retain(|_, idle_conns| !idle_conns.is_empty());
        self.strays.until.borrow_mut().retain(|_, until| *until > now);
    }

    fn take_idle(
        &self,
        addr: SocketAddr,
        idle_max: Duration,
        exchange: Exchange<'_>,
    ) -> Option<Conn> {
        if self.strays.has_recent(addr, self.clock.now()) {
            self.retire_idle(addr);
            return None;
        }
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let idle_conns = idle.get_mut(&addr)?;
        idle_conns.retain(|c| c.is_recent(now));
        // The most recently used one is the least likely to have been closed by the other end.
        let at = idle_conns.iter().rposition(|c| c.correlation.may_carry(exchange))?;
        let conn = idle_conns.remove(at);
        if now.since(conn.idle_since) <= idle_max && conn.sender.is_ready() {
            return Some(conn);
        }
        self.retire(conn);
        None
    }

    async fn open(&self, addr: SocketAddr) -> Result<Conn, ExchangeError> {
        let stream = TcpStream::connect(addr).await.map_err(|_| ExchangeError::Unsent)?;
        self.handshake(addr, stream).await
    }

    async fn handshake(&self, addr: SocketAddr, stream: TcpStream) -> Result<Conn, ExchangeError> {
        // Without it small writes wait for acknowledgements; a failure to set it is harmless.
        let _ = stream.set_nodelay(true);
        let (io, writes) = answer_socket::wrap(stream);
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_MAX).handshake(io).await;
        let (sender, conn) = handshake.map_err(|_| ExchangeError::Unsent)?;
        let (strays, clock) = (self.strays.clone(), self.clock);
        let watch = ConnWatch::default();
        let state = watch.0.clone();
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let task = compio::runtime::spawn(async move {
            if let Err(e) = conn.await {
                tracing::debug!(%addr, error = %e, "connection failed");
                if is_violation(&e) {
                    tracing::warn!(%addr, conn = number, "bytes ignored that belong to no exchange");
                    return strays.record(addr, clock.now());
                }
            }
            state.is_closed.set(true);
        });
        let correlation = Correlation::default();
        let idle_since = self.clock.now();
        Ok(Conn { addr, number, correlation, watch, sender, writes, task, idle_since })
    }

    async fn begin_exchange(
        &self,
        addr: SocketAddr,
        mut req: Request<Bytes>,
        exchange: Exchange<'_>,
    ) -> Result<(Conn, Response<Incoming>), ExchangeError> {
        set_host(&mut req, addr);
        let conn = self.take(addr, IDLE_MAX, exchange).await?;
        self.exchange(conn, req, exchange).await
    }
}

/// Did a connection end because of what the other end sent, rather than by a socket error or early
/// close? Only bytes that arrive while no answer is due end it so: other malformed ones are reported
/// to the exchange.
fn is_violation(e: &hyper::Error) -> bool {
    let is_socket_error = e.source().is_some_and(|source| source.is::<std::io::Error>());
    !is_socket_error && !e.is_incomplete_message() && !e.is_canceled()
}

/// The start of an id, as ids in answers may have any length.
pub fn loggable(id: &str) -> &str {
    id.get(..LOGGED_ID_MAX).unwrap_or(id)
}

fn set_host(req: &mut Request<Bytes>, addr: SocketAddr) {
    if let Ok(host) = addr.to_string().parse() {
        req.headers_mut().insert(hyper::header::HOST, host);
    }
}
