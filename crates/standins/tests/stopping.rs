//! Requests that are being read while their gateway stops.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use ebonyloft_standins::fleet::{Fleet, FleetSpec, with_fleet};

const SECOND: Duration = Duration::from_secs(1);
/// Shortest time from the stop signal to the end of a gateway that has nothing to do.
const SHORTEST_STOP: Duration = Duration::from_secs(3);
const PIECES: usize = 12;
const PIECE: usize = 1_000;

/// Sends a request whose body arrives over `time` and returns the answer, as far as it comes.
async fn upload(fleet: &Fleet, attempt: &str, time: Duration) -> String {
    let mut stream = TcpStream::connect((fleet.gateways[0].ip, 8_144)).await.expect("a connection");
    let head = format!(
        "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\n\
         Content-Length: {}\r\n\r\n",
        PIECES * PIECE
    );
    let _ = stream.write_all(head.into_bytes()).await;
    for _ in 0..PIECES {
        compio::time::sleep(time / PIECES as u32).await;
        // Fails if the connection was cut; then there is no answer.
        let _ = stream.write_all(vec![b'x'; PIECE]).await;
    }
    let mut text = String::new();
    while let BufResult(Ok(n @ 1..), buffer) = stream.read(vec![0; 4_096]).await {
        text.push_str(&String::from_utf8_lossy(&buffer[..n]));
    }
    text
}

/// Guards against a request that is passed on and not answered because the process ends under it: one whose
/// body was still arriving did not count as open.
#[test]
fn a_request_whose_body_is_arriving_is_answered_before_the_gateway_ends() {
    with_fleet(FleetSpec { threads: true, ..FleetSpec::default() }, async |fleet| {
        fleet.stop(0);
        compio::time::sleep(SHORTEST_STOP - SECOND * 3 / 10).await;
        let answer = upload(fleet, "slow", SECOND * 6 / 10).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
        assert_eq!(fleet.run_count("slow"), 1);
        compio::time::sleep(SECOND / 2).await;
        assert!(fleet.has_stopped(0), "it ends as soon as it has nothing to do");
    });
}

/// Guards against a process that never ends because a body never does.
#[test]
fn a_body_that_does_not_end_holds_a_gateway_until_the_grace_period_ends() {
    with_fleet(FleetSpec { threads: true, ..FleetSpec::default() }, async |fleet| {
        fleet.stop(0);
        compio::time::sleep(SECOND).await;
        let ip = fleet.gateways[0].ip;
        let mut stream = TcpStream::connect((ip, 8_144)).await.expect("a connection");
        let head = "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: half\r\n\
                    Content-Length: 300\r\n\r\nabc";
        stream.write_all(head.as_bytes()).await.0.expect("the head is sent");
        compio::time::sleep(7 * SECOND).await;
        assert!(fleet.has_stopped(0));
        assert_eq!(fleet.run_count("half"), 0);
    });
}
