//! Calls over slow links: a steady answer is read to its end, a stalled one times out.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloftd::clock::Clock;
use ebonyloftd::gateway::pool::{ExchangeError, Pool};
use hyper::Request;

const LIMIT: Duration = Duration::from_millis(300);
const PARTS: usize = 20;

/// Answers one call with up to twenty parts, 50 ms apart, and stalls after `parts` of them.
fn slow_server(parts: usize) -> SocketAddr {
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
        let answer = pool.call(addr, Request::new(Bytes::new()), LIMIT).await;
        answer.map(|(_, body)| body.len())
    })
}

/// The answer takes more than three times the limit, and no pause in it is as long as the limit.
#[test]
fn a_slow_steady_answer_is_read_to_its_end() {
    assert_eq!(call(slow_server(PARTS)), Ok(PARTS * 10));
}

#[test]
fn a_stalled_answer_times_out() {
    let started = Instant::now();
    assert_eq!(call(slow_server(3)), Err(ExchangeError::Lost));
    assert!(started.elapsed() < Duration::from_millis(1_500), "{:?}", started.elapsed());
}
