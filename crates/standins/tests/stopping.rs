//! Requests that are being read while their gateway stops.

use std::time::Duration;

use bytes::Bytes;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use ebonyloft_platform::simulation::{self, CallerRequest};
use ebonyloft_standins::fleet::backend::BackendSpec;
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::{CHECK, Fleet, FleetSpec, HOST, ONCE_SUMMARY, config, with_fleet};
use ebonyloftd::gateway::pool::ExchangeError;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

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

/// Guards against calls that come late in the grace period, are passed on and are cut when the process ends: those
/// that can't be answered by then are refused at once.
#[test]
fn a_call_that_the_process_would_cut_is_refused_at_once() {
    // The summary keeps the process running.
    let event_interval = SECOND / 2;
    let runner =
        BackendSpec { call_time: SECOND * 14 / 10, event_interval, ..BackendSpec::default() };
    let spec = FleetSpec { threads: true, runner, ..FleetSpec::default() };
    with_fleet(spec.clone(), async |fleet| {
        let mut later = config(2, &spec);
        later.routes.iter_mut().for_each(|route| route.timeout = route.timeout.max(3 * SECOND));
        fleet.configure(&later);
        compio::time::sleep(SECOND).await;
        let caller = fleet.caller(0);
        let summary = caller.send_unread(caller.summary_request(ONCE_SUMMARY, "long"));
        let _summary = summary.await.expect("an answer");
        fleet.stop(0);
        // Taken, as their deadlines pass before the end at 7.7 s.
        let early = (0..4).map(|n| send_call(fleet, n, 4 * SECOND, 3 * SECOND));
        // Not taken: they have 1.5 or 3 s, and less is left.
        let late =
            (4..14).map(|n| send_call(fleet, n, SECOND * 63 / 10, SECOND * 3 / 2 * (1 + n % 2)));
        let mut calls: FuturesUnordered<_> = early.chain(late).collect();
        while let Some((n, attempt, answer)) = calls.next().await {
            let answer = answer.expect("an answer");
            let runs = fleet.run_count(&attempt);
            if n < 4 {
                assert_eq!((answer.status, runs), (200, 1), "{attempt}");
            } else {
                assert_eq!((answer.status, runs), (503, 0), "{attempt}");
                assert!(answer.total_time < SECOND, "{attempt}: {:?}", answer.total_time);
            }
        }
    });
}

/// Sends the call number `n`, which may run only once, 30 ms for each number after the pause.
async fn send_call(
    fleet: &Fleet,
    n: u32,
    pause: Duration,
    time_left: Duration,
) -> (u32, String, Result<Answer, ExchangeError>) {
    compio::time::sleep(pause + SECOND * 3 / 100 * n).await;
    let attempt = format!("call-{n}");
    let request = CallerRequest {
        host: HOST,
        path: CHECK,
        attempt: &attempt,
        time_left,
        tokens: None,
        body: Bytes::new(),
    };
    let answer = fleet.caller(0).send(simulation::caller_request(&request)).await;
    (n, attempt, answer)
}
