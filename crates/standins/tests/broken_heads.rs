//! Answers whose head is none in the protocol: a status that is none, or a line that is no header.

use std::time::Duration;

use ebonyloft_router::catalog::Stage;
use ebonyloft_standins::fleet::unframed::{Ending, Flood};
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, SUMMARY, with_fleet,
};

/// Text of bodies behind broken heads.
const TEXT: &str = "{\"broken\":true}";

fn spec() -> FleetSpec {
    FleetSpec {
        gateways: 1,
        prefill_engines: 1,
        decode_engines: 1,
        plain_servers: 1,
        unframed: true,
        ..FleetSpec::default()
    }
}

/// Status lines and further lines of heads that are none.
const HEADS: [(&str, &str); 8] = [
    ("000 OK", "x-y: 1"),
    ("099 OK", "x-y: 1"),
    ("101 Switching Protocols", "upgrade: other"),
    ("600 OK", "x-y: 1"),
    ("200 OK", "x y: 1"),
    ("200 OK", "x-y : 1"),
    ("200 OK", "x\u{1}y: 1"),
    ("200 OK", "x-y: 1\r\n folded"),
];

/// An answer with this head in place of a server's own; it names the attempt, is signed and has a length.
fn broken(head: (&str, &str), attempt: &str) -> Ending {
    let (status, line) = head;
    let len = TEXT.len();
    let start = format!(
        "HTTP/1.1 {status}\r\nattempt-id: {attempt}\r\nserver-stamp: i-9\r\n{line}\r\n\
         content-length: {len}\r\n\r\n{TEXT}"
    );
    // Nothing follows; the connection stays open until the gateway closes it.
    let pause = Duration::from_millis(50);
    let flood = Flood { start: start.into(), pause, replaces_head: true, ..Flood::default() };
    Ending { flood: Some(flood), ..Ending::default() }
}

/// Number of answers that all servers have sent.
fn answer_count(fleet: &Fleet) -> usize {
    fleet.relays.iter().map(|relay| relay.answers.get()).sum()
}

/// Sends a request while all servers answer it with this head.
async fn assert_no_answer(fleet: &Fleet, path: &str, head: (&str, &str), attempt: &str) {
    for relay in &fleet.relays {
        relay.end_requests(broken(head, attempt));
    }
    let caller = fleet.caller(0);
    let answer = match path {
        CHECK | LOOKUP => caller.call(path, attempt).await,
        _ => caller.summary(path, attempt).await,
    };
    let answer = answer.expect("an answer");
    let text = String::from_utf8_lossy(&answer.body);
    assert!(matches!(answer.status, 502..=504), "{path} {head:?}: {} {text}", answer.status);
    assert!(!text.contains(TEXT) && answer.header("x-y").is_none(), "{path} {head:?}: {text}");
}

/// Guards against a head that is none and reaches callers as an answer.
#[test]
fn a_request_whose_answer_has_a_broken_head_gets_none_of_it() {
    with_fleet(spec(), async |fleet| {
        for (n, head) in HEADS.into_iter().enumerate() {
            let before = answer_count(fleet);
            for path in [CHECK, LOOKUP, SUMMARY, ONCE_SUMMARY] {
                let attempt = format!("{n}{path}").replace('/', "-");
                assert_no_answer(fleet, path, head, &attempt).await;
            }
            assert!(answer_count(fleet) > before, "{head:?}: no server was used");
        }
    });
}

/// Guards against prompts, reservations and reports that are taken from an answer with a broken head.
#[test]
fn calls_of_the_gateway_take_nothing_from_an_answer_with_a_broken_head() {
    with_fleet(spec(), async |fleet| {
        for (n, head) in HEADS.into_iter().enumerate() {
            for relay in &fleet.relays {
                relay.end_calls(broken(head, "none"));
            }
            for (backend, relay) in fleet.backends.iter().zip(&fleet.relays) {
                if backend.server.borrow().stage == Some(Stage::Prefill) {
                    relay.end_requests(broken(head, "none"));
                }
            }
            let attempt = format!("summary-{n}");
            let answer =
                fleet.caller(0).call(CHECK, &format!("check-{n}")).await.expect("an answer");
            assert_eq!(answer.status, 200, "{head:?}");
            let summary = fleet.caller(0).summary(SUMMARY, &attempt).await.expect("an answer");
            assert!(summary.status == 503 || summary.complete, "{head:?}: {}", summary.status);
            assert!(summary.status != 503 || fleet.run_count(&attempt) == 0, "{head:?}");
        }
    });
}
