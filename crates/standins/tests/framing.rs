//! Requests whose framing is wrong or ambiguous, byte for byte: nothing hidden in them runs.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use ebonyloft_standins::fleet::{Fleet, FleetSpec, with_fleet};

/// Sends bytes and reads what comes within a short time.
async fn raw(fleet: &Fleet, bytes: &str) -> String {
    let mut stream = TcpStream::connect((fleet.gateways[0].ip, 8_144)).await.expect("a connection");
    let BufResult(sent, _) = stream.write_all(bytes.as_bytes().to_vec()).await;
    sent.expect("bytes that are sent");
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

fn ran(fleet: &Fleet, attempt: &str) -> usize {
    fleet.runs(attempt)
}

#[test]
fn a_request_hidden_behind_two_lengths_does_not_run() {
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
            raw(fleet, &text).await;
            assert_eq!(ran(fleet, "hidden"), 0);
        }
    });
}

#[test]
fn lengths_that_contradict_each_other_are_refused() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let answer = raw(
            fleet,
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: x\r\n\
             Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(ran(fleet, "x"), 0);
    });
}

#[test]
fn a_body_that_never_comes_does_not_run() {
    with_fleet(FleetSpec::default(), async |fleet| {
        raw(
            fleet,
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: half\r\n\
             Content-Length: 300\r\n\r\nabcd",
        )
        .await;
        assert_eq!(ran(fleet, "half"), 0);
    });
}

#[test]
fn broken_chunks_do_not_run() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let answer = raw(
            fleet,
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: chunk\r\n\
             Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(ran(fleet, "chunk"), 0);
    });
}

#[test]
fn a_chunked_body_is_passed_on_whole() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let answer = raw(
            fleet,
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: good\r\n\
             Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(ran(fleet, "good"), 1);
    });
}

#[test]
fn a_head_that_is_too_large_is_refused() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let pad = "x".repeat(40_000);
        let answer = raw(
            fleet,
            &format!("GET /lookup/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: big\r\nPad: {pad}\r\n\r\n"),
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        assert_eq!(ran(fleet, "big"), 0);
    });
}

#[test]
fn two_hosts_are_refused() {
    with_fleet(FleetSpec::default(), async |fleet| {
        let answer = raw(
            fleet,
            "GET /lookup/a HTTP/1.1\r\nHost: desk.example\r\nHost: other.example\r\nAttempt-Id: two\r\n\r\n",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(ran(fleet, "two"), 0);
    });
}
