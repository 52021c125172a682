//! Requests with invalid or ambiguous framing, sent as raw bytes: no request smuggled in them runs.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use ebonyloft_standins::fleet::{Fleet, FleetSpec, with_fleet};

/// Sends bytes and reads the response until the connection closes or is silent for 300 ms.
async fn send_raw(fleet: &Fleet, bytes: &str) -> String {
    let mut stream = TcpStream::connect((fleet.gateways[0].ip, 8_144)).await.expect("a connection");
    let BufResult(sent, _) = stream.write_all(bytes.as_bytes().to_vec()).await;
    sent.expect("the bytes are sent");
    let mut text = String::new();
    loop {
        let read = compio::time::timeout(Duration::from_millis(300), stream.read(vec![0; 4_096]));
        let Ok(BufResult(Ok(n), buffer)) = read.await else {
            return text;
        };
        if n == 0 {
            return text;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..n]));
    }
}

fn run_count(fleet: &Fleet, attempt: &str) -> usize {
    fleet.run_count(attempt)
}

#[test]
fn a_request_smuggled_by_two_lengths_does_not_run() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let hidden = "GET /lookup/b HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: hidden\r\n\r\n";
        for (first, second) in [
            ("Transfer-Encoding: chunked", "Content-Length: 5"),
            ("Content-Length: 5", "Transfer-Encoding: chunked"),
        ] {
            let text = format!(
                "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: outer\r\n{first}\r\n\
                 {second}\r\n\r\n0\r\n\r\n{hidden}"
            );
            send_raw(fleet, &text).await;
            assert_eq!(run_count(fleet, "hidden"), 0);
        }
    });
}

#[test]
fn lengths_that_contradict_each_other_are_refused() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let answer = send_raw(
            fleet,
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: x\r\n\
             Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(run_count(fleet, "x"), 0);
    });
}

#[test]
fn a_request_with_an_incomplete_body_does_not_run() {
    with_fleet(FleetSpec::default(), async |fleet| {
        send_raw(
            fleet,
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: half\r\n\
             Content-Length: 300\r\n\r\nabcd",
        )
        .await;
        assert_eq!(run_count(fleet, "half"), 0);
    });
}

#[test]
fn a_request_with_invalid_chunks_does_not_run() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let answer = send_raw(
            fleet,
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: chunk\r\n\
             Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(run_count(fleet, "chunk"), 0);
    });
}

#[test]
fn a_chunked_body_is_accepted() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let answer = send_raw(
            fleet,
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: good\r\n\
             Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(run_count(fleet, "good"), 1);
    });
}

#[test]
fn too_large_headers_are_refused() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let padding = "x".repeat(40_000);
        let answer = send_raw(
            fleet,
            &format!("GET /lookup/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: big\r\nPad: {padding}\r\n\r\n"),
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        assert_eq!(run_count(fleet, "big"), 0);
    });
}

#[test]
fn duplicate_host_headers_are_refused() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let answer = send_raw(
            fleet,
            "GET /lookup/a HTTP/1.1\r\nHost: desk.example\r\nHost: other.example\r\nAttempt-Id: two\r\n\r\n",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(run_count(fleet, "two"), 0);
    });
}
