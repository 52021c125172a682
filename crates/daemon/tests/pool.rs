//! Timeouts of calls over slow links: a steady answer is read fully, a stalled one is given up.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloftd::clock::Clock;
use ebonyloftd::gateway::pool::{ExchangeError, Pool};
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
