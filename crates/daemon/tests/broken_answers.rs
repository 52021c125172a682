//! Answers that are broken, at each place that reads answers: without a length and reset while the request is still
//! being written, and with heads that are none in the protocol.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_router::correlation::Exchange;
use ebonyloftd::answer_socket;
use ebonyloftd::clock::Clock;
use ebonyloftd::gateway::body_memory::ANSWER_MAX;
use ebonyloftd::gateway::pool::{IDLE_MAX, Pool, Reachability};
use http_body_util::BodyExt;
use hyper::Request;

/// Time in which an answer is read or given up.
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

/// Starts a server that serves each connection in a thread of its own.
fn serve(answer: impl Fn(TcpStream) -> std::io::Result<()> + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, answer) = (stream.expect("a caller"), answer.clone());
            // The caller may have closed the connection.
            thread::spawn(move || answer(stream).ok());
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
    /// Calls of a sidecar to its service.
    Sidecar,
}

const READERS: [Reader; 5] =
    [Reader::Call, Reader::Stream, Reader::ServerCall, Reader::Trusted, Reader::Sidecar];

impl Reader {
    /// Sends an upload and reads the answer; `None` if it broke off.
    async fn read(self, pool: &Pool, addr: SocketAddr, upload: usize) -> Option<Bytes> {
        let mut req = Request::new(Bytes::from(vec![b'x'; upload]));
        *req.method_mut() = hyper::Method::POST;
        match self {
            Reader::ServerCall => pool.call_server(addr, req, LIMIT).await.ok().map(|a| a.body),
            Reader::Trusted => pool.call(addr, req, LIMIT).await.ok().map(|(_, body)| body),
            Reader::Sidecar => {
                *req.uri_mut() = format!("http://{addr}/a?b").parse().expect("a URI");
                let answer = answer_socket::exchange(req, ANSWER_MAX).await;
                answer.map(hyper::Response::into_body)
            }
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
fn read_all(addr: SocketAddr, upload: usize) -> Vec<(Reader, Option<Bytes>)> {
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
    for (reader, answer) in read_all(serve(move |stream| answer(stream, early)), upload) {
        assert_eq!(answer, None, "{reader:?} {early:?}, {upload} bytes");
    }
}

fn assert_whole(early: Early, upload: usize) {
    for (reader, answer) in read_all(serve(move |stream| answer(stream, early)), upload) {
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

const CONTENT: &str = "content";

/// Answers with these bytes, with the attempt's id after the first line, and leaves the connection open.
fn answer_fixed(mut stream: TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    let len = stream.read(&mut buffer)?;
    let line_end = bytes.iter().position(|b| *b == b'\n').map_or(0, |at| at + 1);
    let (line, rest) = bytes.split_at(line_end);
    let echo = if find(&buffer[..len], ATTEMPT.as_bytes()) { ATTEMPT } else { "" };
    stream.write_all(&[line, echo.as_bytes(), rest].concat())?;
    // Until the caller closes it.
    stream.read(&mut buffer).map(drop)
}

/// An answer with this status line and these headers.
fn with_head(status_line: &[u8], headers: &[&[u8]]) -> Vec<u8> {
    let end = format!("content-length: {}", CONTENT.len());
    let mut lines = vec![status_line];
    lines.extend(headers);
    lines.extend([end.as_bytes(), b"", CONTENT.as_bytes()]);
    lines.join(&b"\r\n"[..])
}

const OK: &[u8] = b"HTTP/1.1 200 OK";

/// What the places make of an answer; `None` if it is none.
fn read_fixed(bytes: &[u8]) -> Vec<(String, Option<Bytes>)> {
    let fixed = bytes.to_vec();
    let addr = serve(move |stream| answer_fixed(stream, &fixed));
    let mut read: Vec<_> =
        read_all(addr, 0).into_iter().map(|(reader, body)| (format!("{reader:?}"), body)).collect();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let found = runtime.block_on(async {
        let pool = Pool::new(Clock::default());
        let check = pool.check_address(addr, Request::new(Bytes::new()));
        compio::time::timeout(LIMIT, check).await.expect("an answer in time")
    });
    let is_answered = matches!(found, Reachability::Answered(..));
    read.push(("liveness check".to_owned(), is_answered.then(|| CONTENT.into())));
    read
}

fn assert_no_answer(bytes: &[u8]) {
    for (reader, body) in read_fixed(bytes) {
        assert_eq!(body, None, "{reader}: {}", bytes.escape_ascii());
    }
}

/// Guards against a status that is none in the protocol, which callers get as an answer.
#[test]
fn an_answer_whose_status_is_none_is_no_answer() {
    let lines: [&[u8]; 12] = [
        b"HTTP/1.1 000 OK",
        b"HTTP/1.1 000",
        b"HTTP/1.1 099 OK",
        b"HTTP/1.1 101 Switching Protocols",
        b"HTTP/1.1 600 OK",
        b"HTTP/1.1 999 OK",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 2x0 OK",
        b"HTTP/1.1 +20 OK",
        b"HTTP/3.1 200 OK",
        b"200 OK",
    ];
    for line in lines {
        assert_no_answer(&with_head(line, &[]));
    }
}

/// Guards against a line that is no header and is passed on, or hides where the body begins.
#[test]
fn an_answer_with_a_line_that_is_no_header_is_no_answer() {
    let lines: [&[u8]; 15] = [
        b"X Y: 1",
        b"X-Y : 1",
        b"X-Y\t: 1",
        b"X\x01Y: 1",
        b"X\0Y: 1",
        b"X\x7fY: 1",
        b"X\rY: 1",
        b"\xc3\xa9: 1",
        b" X-Y: 1",
        b": 1",
        b"no colon",
        b"X-Y: a\x01b",
        b"X-Y: a\0b",
        b"X-Y: 1\r\n folded",
        b"Content Length: 2",
    ];
    for line in lines {
        assert_no_answer(&with_head(OK, &[line]));
        assert_no_answer(&with_head(OK, &[b"X-Before: 1", line, b"X-After: 1"]));
    }
    assert_no_answer(&with_head(OK, &[b"Content-Length : 2"]));
}

/// Guards against a check of heads that refuses sound ones.
#[test]
fn an_answer_without_a_reason_or_with_text_in_a_value_is_whole() {
    let plain = &[&b"X-Y: 1"[..]][..];
    let text = &[&b"X-Y: caf\xc3\xa9"[..], b"X-Empty:"][..];
    for (line, headers) in [(&b"HTTP/1.1 200 "[..], plain), (b"HTTP/1.1 200", plain), (OK, text)] {
        let bytes = with_head(line, headers);
        for (reader, body) in read_fixed(&bytes) {
            assert_eq!(
                body.as_deref(),
                Some(CONTENT.as_bytes()),
                "{reader}: {}",
                bytes.escape_ascii()
            );
        }
    }
}
