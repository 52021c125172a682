//! Answers without a length that come while the request is still being written, and how their connections end.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_router::correlation::Exchange;
use ebonyloftd::clock::Clock;
use ebonyloftd::gateway::body_memory::ANSWER_MAX;
use ebonyloftd::gateway::pool::{IDLE_MAX, Pool};
use http_body_util::BodyExt;
use hyper::Request;

const LIMIT: Duration = Duration::from_secs(5);
/// Bytes of an upload that no socket buffer holds.
const LARGE: usize = 24 << 20;
/// Bytes of an upload that socket buffers hold.
const SMALL: usize = 64 << 10;
const ATTEMPT: &str = "attempt-id: a\r\n";
const PART: &str = "data: part of the answer\n\n";

/// How a server answers early and ends the connection.
#[derive(Clone, Copy, Debug)]
struct Early {
    /// Bytes of the request that it reads before it answers; at least its head.
    reads: usize,
    /// Whether the head announces the end of the connection.
    announced: bool,
    /// Pause between the head and the part of the body, and before the end.
    pause: Duration,
    end: End,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The socket is closed with bytes of the request unread, so that the connection is reset.
    Reset,
    /// The answer is ended, and the rest of the request is read after a pause.
    Closed { reads_after: Duration },
}

/// Starts a server that answers each connection so.
fn start(early: Early) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a caller");
            // The caller may have closed the connection.
            thread::spawn(move || answer(stream, early).ok());
        }
    });
    addr
}

fn answer(mut stream: TcpStream, early: Early) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    let mut read = stream.read(&mut buffer)?;
    let echo = if find(&buffer[..read], ATTEMPT.as_bytes()) { ATTEMPT } else { "" };
    while read < early.reads {
        read += stream.read(&mut buffer)?;
    }
    stream.set_nodelay(true)?;
    let close = if early.announced { "connection: close\r\n" } else { "" };
    let head = format!("HTTP/1.1 200 OK\r\n{echo}{close}\r\n");
    stream.write_all(head.as_bytes())?;
    thread::sleep(early.pause);
    stream.write_all(PART.as_bytes())?;
    thread::sleep(early.pause);
    if let End::Closed { reads_after } = early.end {
        stream.shutdown(Shutdown::Write)?;
        thread::sleep(reads_after);
        while stream.read(&mut buffer)? > 0 {}
    }
    Ok(())
}

fn find(bytes: &[u8], wanted: &[u8]) -> bool {
    bytes.windows(wanted.len()).any(|window| window == wanted)
}

/// A place that reads answers.
#[derive(Clone, Copy, Debug)]
enum Reader {
    /// The answer of a call, and of an error.
    Call,
    /// The frames of a stream.
    Stream,
    /// Reports, handles, reservations, moves.
    ServerCall,
    /// The store and peers.
    Trusted,
}

const READERS: [Reader; 4] = [Reader::Call, Reader::Stream, Reader::ServerCall, Reader::Trusted];

impl Reader {
    /// Sends an upload and reads the answer; `None` if it broke off.
    async fn read(self, pool: &Pool, addr: SocketAddr, upload: usize) -> Option<Bytes> {
        let mut req = Request::new(Bytes::from(vec![b'x'; upload]));
        *req.method_mut() = hyper::Method::POST;
        match self {
            Reader::ServerCall => pool.call_server(addr, req, LIMIT).await.ok().map(|a| a.body),
            Reader::Trusted => pool.call(addr, req, LIMIT).await.ok().map(|(_, body)| body),
            Reader::Call | Reader::Stream => {
                let exchange = Exchange::Attempt("a");
                req.headers_mut().insert("attempt-id", "a".parse().expect("a value"));
                let conn = pool.take(addr, IDLE_MAX, exchange).await.expect("a connection");
                let (_conn, response) = pool.exchange(conn, req, exchange).await.ok()?;
                let mut body = response.into_body();
                if matches!(self, Reader::Call) {
                    return pool.answers().read(body, ANSWER_MAX).await;
                }
                let mut bytes = Vec::new();
                while let Some(frame) = body.frame().await {
                    bytes.extend(frame.ok()?.into_data().unwrap_or_default());
                }
                Some(bytes.into())
            }
        }
    }
}

/// Reads the answers of a server in all places.
fn read_all(early: Early, upload: usize) -> Vec<(Reader, Option<Bytes>)> {
    let addr = start(early);
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut read = Vec::new();
        for reader in READERS {
            let pool = Pool::new(Clock::default());
            let answer = compio::time::timeout(LIMIT, reader.read(&pool, addr, upload)).await;
            read.push((reader, answer.expect("an answer in time")));
        }
        read
    })
}

/// Asserts that no place takes the part of an answer for a whole one.
fn assert_broken(early: Early, upload: usize) {
    for (reader, answer) in read_all(early, upload) {
        assert_eq!(answer, None, "{reader:?} {early:?}, {upload} bytes");
    }
}

fn assert_whole(early: Early, upload: usize) {
    for (reader, answer) in read_all(early, upload) {
        assert_eq!(answer.as_deref(), Some(PART.as_bytes()), "{reader:?} {early:?}");
    }
}

/// Resets after these pauses, announced or not.
fn resets(reads: usize, pauses: &[u64]) -> Vec<Early> {
    let of = |announced| {
        pauses.iter().map(move |ms| Early {
            reads,
            announced,
            pause: Duration::from_millis(*ms),
            end: End::Reset,
        })
    };
    [false, true].into_iter().flat_map(of).collect()
}

/// Guards against a write that takes the error of a reset, so that the next read looks like a proper end.
#[test]
fn an_answer_that_is_reset_while_the_upload_is_written_is_not_whole() {
    for early in resets(1, &[0, 1, 20]) {
        assert_broken(early, LARGE);
    }
}

/// The upload moves on when the reset comes.
#[test]
fn an_answer_that_is_reset_while_the_upload_is_read_is_not_whole() {
    for early in resets(LARGE / 2, &[0, 1, 20]) {
        assert_broken(early, LARGE);
    }
}

/// No write is under way that could take the error.
#[test]
fn an_answer_that_is_reset_after_the_upload_was_sent_is_not_whole() {
    for early in resets(1, &[5, 20]) {
        assert_broken(early, SMALL);
    }
}

/// Guards against a sound server's answer that is lost since the server had not read all of the upload.
#[test]
fn an_answer_that_ends_properly_before_the_upload_is_read_is_whole() {
    for announced in [false, true] {
        for (pause, reads_after) in [(0, 0), (10, 0), (0, 50), (0, 400)] {
            let reads_after = Duration::from_millis(reads_after);
            let (pause, end) = (Duration::from_millis(pause), End::Closed { reads_after });
            assert_whole(Early { reads: 1, announced, pause, end }, LARGE);
        }
    }
}
