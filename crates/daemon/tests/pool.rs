//! Calls over slow links, and answers that belong to another exchange on a kept connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloft_router::correlation::Exchange;
use ebonyloftd::clock::Clock;
use ebonyloftd::gateway::pool::{ExchangeError, IDLE_MAX, Pool, Reachability};
use http_body_util::BodyExt;
use hyper::Request;

const PAUSE_MAX: Duration = Duration::from_millis(300);
const PARTS: usize = 20;

/// Starts a server that promises twenty parts, sends `parts` of them 50 ms apart, and then stalls.
fn start_slow_server(parts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let _ = stream.read(&mut [0; 1_024]);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", PARTS * 10);
        stream.write_all(head.as_bytes()).expect("an open connection");
        for _ in 0..parts {
            thread::sleep(Duration::from_millis(50));
            if stream.write_all(b"0123456789").is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_secs(2));
    });
    addr
}

fn call(addr: SocketAddr) -> Result<usize, ExchangeError> {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let pool = Pool::new(Clock::default());
        let answer = pool.call(addr, Request::new(Bytes::new()), PAUSE_MAX).await;
        answer.map(|(_, body)| body.len())
    })
}

/// The limit bounds each pause, not the whole answer: this one takes more than three times as long.
#[test]
fn a_slow_steady_answer_is_read_completely() {
    assert_eq!(call(start_slow_server(PARTS)), Ok(PARTS * 10));
}

#[test]
fn a_stalled_answer_is_given_up() {
    let started_at = Instant::now();
    assert_eq!(call(start_slow_server(3)), Err(ExchangeError::Lost));
    assert!(started_at.elapsed() < Duration::from_millis(1_500), "{:?}", started_at.elapsed());
}

/// A server that answers from a script.
struct ScriptedServer {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl ScriptedServer {
    /// `answer` writes what follows a request; it gets the numbers of the connection and of the
    /// request on it, from 0.
    fn start(answer: fn(&mut TcpStream, usize, usize)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let connections = Arc::new(AtomicUsize::new(0));
        let opened = connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a caller");
                let connection = opened.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let mut request = 0;
                    while stream.read(&mut [0; 4_096]).is_ok_and(|n| n > 0) {
                        answer(&mut stream, connection, request);
                        request += 1;
                    }
                });
            }
        });
        ScriptedServer { addr, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// An answer that names an attempt, or none, and whose body is `body`.
fn answer(id: Option<&str>, body: &str) -> Vec<u8> {
    let id = id.map_or_else(String::new, |id| format!("attempt-id: {id}\r\n"));
    format!("HTTP/1.1 200 OK\r\n{id}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn write(stream: &mut TcpStream, parts: &[Vec<u8>]) {
    // The pool may have closed the connection.
    let _ = stream.write_all(&parts.concat());
}

/// Sends a request of an attempt, and keeps the connection; returns the body of its answer.
async fn send(pool: &Pool, addr: SocketAddr, id: &str) -> Result<String, ExchangeError> {
    let exchange = Exchange::Attempt(id);
    let conn = pool.take(addr, IDLE_MAX, exchange).await?;
    let req = Request::new(Bytes::new());
    let (conn, response) = pool.exchange(conn, req, exchange).await?;
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    pool.put_back(conn);
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends a call without an id, and keeps the connection; returns the body of its answer.
async fn send_unnamed(pool: &Pool, addr: SocketAddr) -> Result<String, ExchangeError> {
    let answer = pool.call_server(addr, Request::new(Bytes::new()), PAUSE_MAX).await?;
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

fn with_pool(test: impl AsyncFnOnce(&Pool)) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async { test(&Pool::new(Clock::default())).await });
}

/// Time in which bytes on the loopback interface arrive.
const SETTLE: Duration = Duration::from_millis(60);

fn answered(body: &str) -> Result<String, ExchangeError> {
    Ok(body.to_owned())
}

#[test]
fn a_second_answer_before_the_next_one_is_ignored() {
    let server = ScriptedServer::start(|stream, _, request| match request {
        0 => write(stream, &[answer(Some("a"), "1")]),
        _ => write(stream, &[answer(Some("a"), "1"), answer(Some("b"), "2")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("1"));
        assert_eq!(send(pool, server.addr, "b").await, Err(ExchangeError::Mismatched));
        assert_ne!(pool.take_stray_count(), 0);
    });
    assert_eq!(server.connections(), 1);
}

#[test]
fn a_second_answer_without_an_id_is_ignored() {
    let server = ScriptedServer::start(|stream, _, request| match request {
        0 => write(stream, &[answer(Some("a"), "1")]),
        _ => write(stream, &[answer(None, "1"), answer(Some("b"), "2")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("1"));
        assert_eq!(send(pool, server.addr, "b").await, Err(ExchangeError::Mismatched));
        assert_ne!(pool.take_stray_count(), 0);
    });
    assert_eq!(server.connections(), 1);
}

#[test]
fn a_second_answer_in_the_same_read_closes_the_connection() {
    let server = ScriptedServer::start(|stream, connection, _| match connection {
        0 => write(stream, &[answer(Some("a"), "1"), answer(Some("a"), "1")]),
        _ => write(stream, &[answer(Some("b"), "2")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("1"));
        compio::time::sleep(SETTLE).await;
        assert_eq!(send(pool, server.addr, "b").await, answered("2"));
        assert_eq!(pool.take_stray_count(), 1);
    });
    assert_eq!(server.connections(), 2);
}

/// The connection is reused before anything else has run.
#[test]
fn a_second_answer_in_the_same_read_is_never_taken_for_the_next_one() {
    let server = ScriptedServer::start(|stream, connection, _| match connection {
        0 => write(stream, &[answer(Some("a"), "1"), answer(Some("a"), "1")]),
        _ => write(stream, &[answer(Some("b"), "2")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("1"));
        let next = send(pool, server.addr, "b").await;
        assert!(next != answered("1"), "{next:?}");
    });
}

#[test]
fn a_second_answer_while_idle_closes_the_connection() {
    let server = ScriptedServer::start(|stream, connection, _| match connection {
        0 => {
            write(stream, &[answer(Some("a"), "1")]);
            thread::sleep(SETTLE / 2);
            write(stream, &[answer(Some("a"), "1")]);
        }
        _ => write(stream, &[answer(Some("b"), "2")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("1"));
        compio::time::sleep(SETTLE).await;
        assert_eq!(send(pool, server.addr, "b").await, answered("2"));
        assert_eq!(pool.take_stray_count(), 1);
    });
    assert_eq!(server.connections(), 2);
}

/// A prefill and a run of one attempt at one server, for example.
#[test]
fn two_exchanges_of_one_attempt_use_two_connections() {
    let server = ScriptedServer::start(|stream, connection, request| match (connection, request) {
        (0, 0) => write(stream, &[answer(Some("a"), "1")]),
        (0, _) => write(stream, &[answer(Some("a"), "1"), answer(Some("a"), "2")]),
        _ => write(stream, &[answer(Some("a"), "2")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("1"));
        assert_eq!(send(pool, server.addr, "a").await, answered("2"));
    });
    assert_eq!(server.connections(), 2);
}

#[test]
fn a_call_without_an_id_is_not_answered_by_an_earlier_exchange() {
    let server = ScriptedServer::start(|stream, connection, request| match (connection, request) {
        (_, 0) => write(stream, &[answer(None, &connection.to_string())]),
        _ => write(stream, &[answer(None, "late"), answer(None, "own")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("0"));
        assert_eq!(send_unnamed(pool, server.addr).await, answered("1"));
        assert_eq!(send_unnamed(pool, server.addr).await, answered("2"));
        // A connection that carried such a call may carry a request, whose id tells.
        assert_eq!(send(pool, server.addr, "b").await, Err(ExchangeError::Mismatched));
    });
    assert_eq!(server.connections(), 3);
}

#[test]
fn a_call_without_an_id_ignores_an_answer_to_an_attempt() {
    let server = ScriptedServer::start(|stream, _, _| write(stream, &[answer(Some("a"), "1")]));
    with_pool(async |pool| {
        assert_eq!(send_unnamed(pool, server.addr).await, Err(ExchangeError::Mismatched));
        let found = pool.check_address(server.addr, Request::new(Bytes::new())).await;
        assert_eq!(found, Reachability::Broken);
        assert_eq!(pool.take_stray_count(), 2);
    });
}

#[test]
fn connections_are_not_reused_after_an_answer_of_another_exchange() {
    let server = ScriptedServer::start(|stream, connection, request| match (connection, request) {
        (0, 0) => write(stream, &[answer(Some("a"), "1")]),
        (0, _) => write(stream, &[answer(Some("a"), "1")]),
        (1, _) => write(stream, &[answer(Some("c"), "3")]),
        _ => write(stream, &[answer(Some("d"), "4")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("1"));
        assert_eq!(send(pool, server.addr, "b").await, Err(ExchangeError::Mismatched));
        assert_eq!(send(pool, server.addr, "c").await, answered("3"));
        assert_eq!(send(pool, server.addr, "d").await, answered("4"));
    });
    assert_eq!(server.connections(), 3);
}

/// Guards against a call that reads a second answer as its own, and leaves its own to the next request.
#[test]
fn a_connection_is_not_reused_after_a_release_that_was_not_its_first_exchange() {
    let server = ScriptedServer::start(|stream, connection, request| match (connection, request) {
        (0, 0) => write(stream, &[answer(Some("a"), "1")]),
        (0, 1) => write(stream, &[answer(None, "late")]),
        (0, _) => write(stream, &[answer(None, ""), answer(Some("b"), "2")]),
        _ => write(stream, &[answer(Some("b"), "2")]),
    });
    with_pool(async |pool| {
        assert_eq!(send(pool, server.addr, "a").await, answered("1"));
        let release = Request::new(Bytes::new());
        assert_eq!(pool.notify(server.addr, release, PAUSE_MAX).await, Ok(()));
        assert_eq!(send(pool, server.addr, "b").await, answered("2"));
    });
    assert_eq!(server.connections(), 2);
}

/// Starts a server that closes connections beyond the first.
fn start_server_of_one_connection() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let open = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a caller");
            // The end of another connection may arrive just after the start of this one.
            thread::sleep(SETTLE);
            if open.load(Ordering::SeqCst) > 0 {
                continue;
            }
            open.fetch_add(1, Ordering::SeqCst);
            let open = open.clone();
            thread::spawn(move || {
                while stream.read(&mut [0; 4_096]).is_ok_and(|n| n > 0) {
                    write(&mut stream, &[answer(None, "1")]);
                }
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    addr
}

/// Guards against a call that a server refuses because of connections that are idle here.
#[test]
fn a_call_that_needs_a_new_connection_closes_an_idle_one() {
    let addr = start_server_of_one_connection();
    with_pool(async |pool| {
        assert_eq!(send(pool, addr, "a").await, answered("1"));
        assert_eq!(send_unnamed(pool, addr).await, answered("1"));
        assert_eq!(send_unnamed(pool, addr).await, answered("1"));
    });
}

/// Its cost: a connection is still kept for many exchanges of a server that answers once.
#[test]
fn a_server_that_answers_once_is_sent_many_requests_on_one_connection() {
    let server = ScriptedServer::start(|stream, _, request| {
        write(stream, &[answer(Some(&request.to_string()), "1")]);
    });
    with_pool(async |pool| {
        for request in 0..20 {
            assert_eq!(send(pool, server.addr, &request.to_string()).await, answered("1"));
        }
        assert_eq!(pool.take_stray_count(), 0);
    });
    assert_eq!(server.connections(), 1);
}

/// A server that closes an idle connection breaks no rule.
#[test]
fn a_closed_idle_connection_is_no_answer_of_another_exchange() {
    let server = ScriptedServer::start(|stream, connection, _| {
        write(stream, &[answer(Some(&connection.to_string()), "1")]);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
    with_pool(async |pool| {
        for connection in 0..3 {
            assert_eq!(send(pool, server.addr, &connection.to_string()).await, answered("1"));
            compio::time::sleep(SETTLE).await;
        }
        assert_eq!(pool.take_stray_count(), 0);
    });
}

/// Does the connection of a call count as broken some time after its answer?
fn breaks(answer: fn(&mut TcpStream, usize, usize)) -> bool {
    let server = ScriptedServer::start(answer);
    let mut has_broken = false;
    with_pool(async |pool| {
        let req = Request::new(Bytes::new());
        let answer = pool.call_server(server.addr, req, PAUSE_MAX).await.expect("an answer");
        assert!(!answer.watch.has_broken());
        compio::time::sleep(SETTLE).await;
        has_broken = answer.watch.has_broken();
    });
    has_broken
}

fn write_and_close(stream: &mut TcpStream, parts: &[Vec<u8>]) {
    write(stream, parts);
    thread::sleep(SETTLE / 3);
    // The pool may have closed the connection.
    let _ = stream.shutdown(Shutdown::Both);
}

#[test]
fn a_connection_that_the_other_end_closes_has_broken() {
    assert!(breaks(|stream, _, _| write_and_close(stream, &[answer(None, "1")])));
}

#[test]
fn a_connection_that_stays_open_has_not_broken() {
    assert!(!breaks(|stream, _, _| write(stream, &[answer(None, "1")])));
}

#[test]
fn a_connection_whose_close_was_announced_has_not_broken() {
    assert!(!breaks(|stream, _, _| {
        let head = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\n1";
        write_and_close(stream, &[head.to_vec()]);
    }));
}

#[test]
fn a_connection_whose_close_ends_an_answer_has_not_broken() {
    assert!(!breaks(|stream, _, _| {
        write_and_close(stream, &[b"HTTP/1.1 200 OK\r\n\r\n1".to_vec()]);
    }));
}

#[test]
fn a_connection_closed_here_after_a_second_answer_has_not_broken() {
    assert!(!breaks(|stream, _, _| {
        write(stream, &[answer(None, "1")]);
        thread::sleep(SETTLE / 3);
        write(stream, &[answer(None, "1")]);
    }));
}
