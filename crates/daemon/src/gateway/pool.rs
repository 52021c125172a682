//! Pool of HTTP connections to backend servers, to the store and to peers.
//!
//! A connection carries one exchange at a time and is kept for reuse. Dropping it closes the socket
//! at once, which tells the other end that the answer is no longer wanted.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use ebonyloft_core::time::Timestamp;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use snafu::Snafu;

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
/// Idle connections kept per address.
const IDLE_PER_ADDR: usize = 16;

/// Why an exchange gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ExchangeError {
    /// No byte of the request reached the other end.
    #[snafu(display("not sent"))]
    Unsent,
    /// The request was sent; whether it was received is unknown.
    #[snafu(display("sent, but not answered"))]
    Lost,
}

/// An open connection with no exchange on it.
pub struct Conn {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Drives the connection; dropping it closes the socket.
    task: JoinHandle<()>,
    idle_since: Timestamp,
}

impl Conn {
    /// Sends a request and waits for the head of its answer.
    pub async fn exchange(
        &mut self,
        req: Request<Bytes>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let req = req.map(Full::new);
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut e) => Err(match e.take_message() {
                Some(_) => ExchangeError::Unsent,
                None => ExchangeError::Lost,
            }),
        }
    }

    /// Closes the socket.
    pub fn close(self) {
        drop(self.task);
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

/// An answer whose head has arrived and whose body is unread.
pub struct PendingAnswer {
    conn: Conn,
    response: Response<Incoming>,
    head_at: Timestamp,
}

impl PendingAnswer {
    /// When the head arrived; the answer is true as of then, however long its body takes.
    pub fn head_at(&self) -> Timestamp {
        self.head_at
    }
}

/// Idle connections, by address.
pub struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<Conn>>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(clock: Clock) -> Self {
        Pool { clock, idle: RefCell::new(HashMap::new()) }
    }

    /// A connection that was idle for at most `idle_max`, or a new one.
    pub async fn take(&self, addr: SocketAddr, idle_max: Duration) -> Result<Conn, ExchangeError> {
        if let Some(conn) = self.take_idle(addr, idle_max) {
            return Ok(conn);
        }
        let opened = compio::time::timeout(CONNECT_TIMEOUT, self.open(addr)).await;
        opened.unwrap_or(Err(ExchangeError::Unsent))
    }

    /// Returns a connection to the pool if it is still open.
    pub fn put_back(&self, mut conn: Conn) {
        if conn.sender.is_closed() {
            return;
        }
        conn.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let idle_conns = idle.entry(conn.addr).or_default();
        idle_conns.push(conn);
        if idle_conns.len() > IDLE_PER_ADDR {
            idle_conns.remove(0);
        }
    }

    /// Performs an exchange and reads the complete answer; `limit` applies to the head and to each
    /// pause in the body.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let pending = self.start_call(addr, req, limit).await?;
        self.finish_call(pending, limit).await
    }

    /// Like `call`, and returns the answer's headers too.
    pub async fn call_with_headers(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<(HeaderMap, StatusCode, Bytes), ExchangeError> {
        let mut pending = self.start_call(addr, req, limit).await?;
        let headers = std::mem::take(pending.response.headers_mut());
        let (status, body) = self.finish_call(pending, limit).await?;
        Ok((headers, status, body))
    }

    /// First half of a call: waits for the head of the answer.
    pub async fn start_call(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<PendingAnswer, ExchangeError> {
        let started = compio::time::timeout(limit, self.begin_exchange(addr, req)).await;
        let (conn, response) = started.unwrap_or(Err(ExchangeError::Lost))?;
        Ok(PendingAnswer { conn, response, head_at: self.clock.now() })
    }

    /// Second half of a call: reads the body; `limit` applies to each part. A limit on the whole
    /// body kept VMs with links of 10 Mbit/s from ever reading a configuration of 1,400 routes: two
    /// of 32 used an old one for more than ten seconds.
    pub async fn finish_call(
        &self,
        pending: PendingAnswer,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let PendingAnswer { conn, response, head_at } = pending;
        let status = response.status();
        let mut body = BytesMut::new();
        let read =
            compio::time::timeout(BODY_TIMEOUT, read_body(response.into_body(), limit, &mut body));
        let read = read.await.unwrap_or(Err(ExchangeError::Lost));
        let took = self.clock.now().since(head_at);
        if took > BODY_SLOW || read.is_err() {
            let (addr, bytes, ms) = (conn.addr, body.len(), took.as_millis() as u64);
            tracing::info!(%addr, bytes, ms, whole = read.is_ok(), "slow answer");
        }
        read?;
        self.put_back(conn);
        Ok((status, body.freeze()))
    }

    /// Calls an address over a new connection, to see whether a server answers there.
    pub async fn check_address(&self, addr: SocketAddr, mut req: Request<Bytes>) -> Reachability {
        let stream = match TcpStream::connect(addr).await {
            Ok(stream) => stream,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => return Reachability::Refused,
            Err(_) => return Reachability::Broken,
        };
        let Ok(mut conn) = self.handshake(addr, stream).await else {
            return Reachability::Broken;
        };
        set_host(&mut req, addr);
        let Ok(response) = conn.exchange(req).await else {
            return Reachability::Broken;
        };
        let (parts, body) = response.into_parts();
        if body.collect().await.is_ok() {
            self.put_back(conn);
        }
        Reachability::Answered(parts.status, parts.headers)
    }

    /// Closes idle connections to an address whose server has ended.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes connections that were idle for too long.
    pub fn expire(&self, now: Timestamp) {
        let mut idle = self.idle.borrow_mut();
        for idle_conns in idle.values_mut() {
            idle_conns.retain(|c| now.since(c.idle_since) < IDLE_MAX && !c.sender.is_closed());
        }
        idle.retain(|_, idle_conns| !idle_conns.is_empty());
    }

    fn take_idle(&self, addr: SocketAddr, idle_max: Duration) -> Option<Conn> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let idle_conns = idle.get_mut(&addr)?;
        idle_conns.retain(|c| now.since(c.idle_since) < IDLE_MAX && !c.sender.is_closed());
        // The most recently used one is the least likely to have been closed by the other end.
        let conn = idle_conns.pop()?;
        if now.since(conn.idle_since) <= idle_max && conn.sender.is_ready() {
            return Some(conn);
        }
        None
    }

    async fn open(&self, addr: SocketAddr) -> Result<Conn, ExchangeError> {
        let stream = TcpStream::connect(addr).await.map_err(|_| ExchangeError::Unsent)?;
        self.handshake(addr, stream).await
    }

    async fn handshake(&self, addr: SocketAddr, stream: TcpStream) -> Result<Conn, ExchangeError> {
        // Without it small writes wait for acknowledgements; a failure to set it is harmless.
        let _ = stream.set_nodelay(true);
        let io = HyperStream::new_plain(stream);
        let (sender, conn) = http1::handshake(io).await.map_err(|_| ExchangeError::Unsent)?;
        let task = compio::runtime::spawn(async move {
            if let Err(e) = conn.await {
                tracing::debug!(%addr, error = %e, "connection failed");
            }
        });
        Ok(Conn { addr, sender, task, idle_since: self.clock.now() })
    }

    async fn begin_exchange(
        &self,
        addr: SocketAddr,
        mut req: Request<Bytes>,
    ) -> Result<(Conn, Response<Incoming>), ExchangeError> {
        set_host(&mut req, addr);
        let mut conn = self.take(addr, IDLE_MAX).await?;
        let response = conn.exchange(req).await?;
        Ok((conn, response))
    }
}

/// Reads a body; `limit` applies to each part.
async fn read_body(
    mut body: Incoming,
    limit: Duration,
    bytes: &mut BytesMut,
) -> Result<(), ExchangeError> {
    loop {
        match compio::time::timeout(limit, body.frame()).await {
            Ok(None) => return Ok(()),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(Some(Err(_))) | Err(_) => return Err(ExchangeError::Lost),
        }
    }
}

fn set_host(req: &mut Request<Bytes>, addr: SocketAddr) {
    if let Ok(host) = addr.to_string().parse() {
        req.headers_mut().insert(hyper::header::HOST, host);
    }
}
