//! Answers that have neither a length nor chunks and end with their connection.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use ebonyloft_router::catalog::Stage;
use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::Fault;
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::unframed::Ending;
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, SUMMARY, with_fleet,
};

/// Most summaries sent until one runs, and the pause between two.
const ATTEMPTS: u32 = 100;
const PAUSE: Duration = Duration::from_millis(50);
/// Bytes of an upload that a server's socket does not hold, and the number of uploads.
const UPLOAD: usize = 3 << 20;
const UPLOADS: usize = 60;
/// Body of an answer that comes before the upload has been read.
const EARLY: &str = "{\"valid\":true}";
/// Number of events of a summary.
const EVENTS: u64 = 20;

/// Heads that may follow an answer: with the id of another attempt, of the same one, and without one.
const SECOND_HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: i-9\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\nattempt-id: same\r\nserver-stamp: i-9\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\n",
];

fn spec() -> FleetSpec {
    let (prefill_engines, decode_engines) = (1, 2);
    FleetSpec {
        gateways: 1,
        prefill_engines,
        decode_engines,
        unframed: true,
        ..FleetSpec::default()
    }
}

/// A spec with one server of each kind, so that nothing can be sent elsewhere.
fn single() -> FleetSpec {
    FleetSpec { decode_engines: 1, plain_servers: 1, ..spec() }
}

/// A second answer of these bytes after the whole first one.
fn followed_by(tail: &str) -> Ending {
    Ending { tail: tail.as_bytes().to_vec(), ..Ending::default() }
}

/// Sets how answers to callers' requests end at the servers of a stage.
fn end_requests(fleet: &Fleet, stage: Option<Stage>, ending: &Ending) {
    for (backend, relay) in fleet.backends.iter().zip(&fleet.relays) {
        if backend.server.borrow().stage == stage {
            relay.end_requests(ending.clone());
        }
    }
}

/// The events of a summary that a caller should have after the first `count`.
fn summary_text(attempt: &str, count: u64) -> String {
    (1..=count).map(|n| format!("id: {n}\ndata: {attempt} tokens {n} v1\n\n")).collect()
}

/// Asserts that an answer is the whole summary, or visibly broken off between two events.
fn assert_exact(answer: &Answer, attempt: &str) {
    let text = String::from_utf8_lossy(&answer.body);
    if answer.status != 200 {
        return;
    }
    let count = answer.events().len() as u64;
    assert_eq!(text, summary_text(attempt, count));
    assert!(count == EVENTS || !answer.complete, "{count} events look complete");
}

/// Sends a summary until one runs, because an engine that broke off is left alone for a while; returns
/// its attempt and its answer.
async fn run_summary(fleet: &Fleet, path: &str, name: &str) -> (String, Answer) {
    for n in 0..ATTEMPTS {
        let attempt = format!("{name}-{n}");
        let answer = fleet.caller(0).summary(path, &attempt).await.expect("an answer");
        if fleet.run_count(&attempt) > 0 {
            return (attempt, answer);
        }
        assert_eq!(answer.status, 503, "{path}");
        compio::time::sleep(PAUSE).await;
    }
    panic!("no summary was run");
}

fn call_text(attempt: &str) -> String {
    format!("{{\"valid\":true,\"attempt\":\"{attempt}\"}}")
}

#[test]
fn whole_answers_without_length_or_chunks_are_passed_on_whole() {
    with_fleet(single(), async |fleet| {
        let caller = fleet.caller(0);
        for n in 0..3 {
            for path in [CHECK, LOOKUP] {
                let attempt = format!("{n}{path}");
                let answer = caller.call(path, &attempt).await.expect("an answer");
                let text = String::from_utf8_lossy(&answer.body);
                assert_eq!((answer.status, &*text), (200, &*call_text(&attempt)), "{path}");
            }
            for path in [SUMMARY, ONCE_SUMMARY] {
                let attempt = format!("{n}{path}");
                let answer = caller.summary(path, &attempt).await.expect("an answer");
                assert_eq!((answer.status, answer.complete), (200, true), "{path}");
                assert_eq!(answer.body, summary_text(&attempt, EVENTS).into_bytes());
            }
        }
        assert!(fleet.relays.iter().all(|relay| relay.answers.get() > 0), "a server was not used");
    });
}

/// Guards against passing on the part of a body that arrived before a reset as the whole one.
#[test]
fn a_call_whose_answer_is_reset_gets_no_part_of_it() {
    with_fleet(single(), async |fleet| {
        for cut_at in [None, Some(0), Some(5)] {
            end_requests(fleet, None, &Ending { cut_at, reset: true, ..Ending::default() });
            for path in [CHECK, LOOKUP] {
                let attempt = format!("{cut_at:?}{path}");
                let answer = fleet.caller(0).call(path, &attempt).await.expect("an answer");
                assert!(answer.status == 502 || answer.status == 504, "{path}: {}", answer.status);
                assert_eq!(fleet.run_count(&attempt), 1, "{path}");
            }
        }
    });
}

/// A server that answers a request when it has read a part of its upload.
struct EarlyServer {
    addr: SocketAddr,
    answers: Arc<AtomicUsize>,
    /// Whether it resets connections after its answers, or ends them properly.
    resets: Arc<AtomicBool>,
}

impl EarlyServer {
    fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let server = EarlyServer {
            addr: listener.local_addr().expect("an address"),
            answers: Arc::default(),
            resets: Arc::default(),
        };
        let (answers, resets) = (server.answers.clone(), server.resets.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (answers, resets) = (answers.clone(), resets.clone());
                let stream = stream.expect("a caller");
                thread::spawn(move || answer_early(stream, &answers, &resets).ok());
            }
        });
        server
    }
}

fn answer_early(
    mut stream: TcpStream,
    answers: &AtomicUsize,
    resets: &AtomicBool,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    let mut len = stream.read(&mut buffer)?;
    let text = String::from_utf8_lossy(&buffer[..len]).into_owned();
    let echo = text.lines().find(|line| line.to_ascii_lowercase().starts_with("attempt-id:"));
    let echo = echo.unwrap_or("x: y").to_owned();
    while len < UPLOAD / 4 {
        len += stream.read(&mut buffer)?;
    }
    answers.fetch_add(1, Ordering::SeqCst);
    let head = format!("HTTP/1.1 200 OK\r\n{echo}\r\nserver-stamp: i-9\r\n\r\n{EARLY}");
    stream.write_all(head.as_bytes())?;
    if resets.load(Ordering::SeqCst) {
        // Closing the socket with unread bytes resets the connection.
        return Ok(());
    }
    stream.shutdown(Shutdown::Write)?;
    while stream.read(&mut buffer)? > 0 {}
    Ok(())
}

/// Guards against a write of the upload that takes the error of a reset, so that the part of an answer which came
/// early looks whole; an early answer that ends properly is passed on.
#[test]
fn a_call_whose_answer_is_reset_during_its_upload_gets_no_part_of_it() {
    with_fleet(single(), async |fleet| {
        let plain = fleet.backends.last().expect("a plain server").clone();
        let early = EarlyServer::start(plain.server.borrow().addr.ip());
        plain.server.borrow_mut().addr = early.addr;
        fleet.store.register(&plain.server.borrow());
        let body = "x".repeat(UPLOAD);
        for n in 0..UPLOADS {
            let resets = n % 3 > 0;
            early.resets.store(resets, Ordering::SeqCst);
            let path = [CHECK, LOOKUP][n % 2];
            let attempt = format!("upload-{n}");
            let before = early.answers.load(Ordering::SeqCst);
            let answer = fleet.caller(0).send_body(path, &attempt, body.clone()).await;
            let answer = answer.expect("an answer");
            let was_sent = early.answers.load(Ordering::SeqCst) > before;
            let text = String::from_utf8_lossy(&answer.body);
            if was_sent && !resets {
                assert_eq!((answer.status, &*text), (200, EARLY), "{path}");
            } else {
                assert!(matches!(answer.status, 502..=504), "{path}: {}", answer.status);
            }
        }
        assert!(early.answers.load(Ordering::SeqCst) > UPLOADS / 2);
    });
}

/// Guards against a second answer's bytes at the end of a call's answer.
#[test]
fn a_call_whose_answer_is_followed_by_another_one_gets_neither_as_its_own() {
    with_fleet(single(), async |fleet| {
        let cut_heads = ["HTTP/1.1 200 OK\r\nAttempt-", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 20"];
        for (n, head) in SECOND_HEADS.into_iter().chain(cut_heads).enumerate() {
            end_requests(fleet, None, &followed_by(head));
            for path in [CHECK, LOOKUP] {
                let attempt = format!("{n}{path}");
                let answer = fleet.caller(0).call(path, &attempt).await.expect("an answer");
                assert_eq!(answer.status, 502, "{path} followed by {head:?}");
                assert_eq!(fleet.run_count(&attempt), 1, "{path}");
            }
        }
    });
}

/// An error of a server that is followed by a second answer is not passed on with its bytes either.
#[test]
fn an_error_that_is_followed_by_another_answer_is_not_passed_on() {
    with_fleet(single(), async |fleet| {
        for backend in &fleet.backends[1..] {
            backend.set_fault(Fault::Errors);
        }
        for stage in [None, Some(Stage::Decode)] {
            end_requests(fleet, stage, &followed_by(SECOND_HEADS[0]));
        }
        for path in [CHECK, ONCE_SUMMARY] {
            let answer = match path {
                CHECK => fleet.caller(0).call(path, path).await,
                _ => fleet.caller(0).summary(path, path).await,
            };
            let answer = answer.expect("an answer");
            let text = String::from_utf8_lossy(&answer.body);
            assert_eq!(answer.status, 502, "{path}: {text}");
        }
    });
}

#[test]
fn an_idempotent_call_whose_answer_is_followed_by_another_one_is_served_elsewhere() {
    with_fleet(spec(), async |fleet| {
        // The server that is tried first.
        let _ = fleet.caller(0).call(LOOKUP, "first").await;
        let first = fleet.backends.iter().position(|b| b.run_count("first") > 0).expect("a server");
        fleet.relays[first].end_requests(followed_by(SECOND_HEADS[0]));
        let answer = fleet.caller(0).call(LOOKUP, "second").await.expect("an answer");
        let text = String::from_utf8_lossy(&answer.body);
        assert_eq!((answer.status, &*text), (200, &*call_text("second")));
        assert_eq!((fleet.backends[first].run_count("second"), fleet.run_count("second")), (1, 2));
    });
}

/// Guards against taking a body that mentions HTTP for one with a second answer in it.
#[test]
fn a_body_that_contains_a_status_line_in_its_text_is_passed_on() {
    with_fleet(single(), async |fleet| {
        let texts = [
            " HTTP/1.1 200 OK\n",
            "\nHTTP/1.1 200 OK\nAttempt-Id: other\n\n",
            " GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n",
            " answers begin with HTTP/1.1 200 OK\r\nand a blank line ends their head\r\n",
        ];
        for (n, text) in texts.into_iter().enumerate() {
            end_requests(fleet, None, &followed_by(text));
            let attempt = format!("n{n}");
            let answer = fleet.caller(0).call(CHECK, &attempt).await.expect("an answer");
            let expected = call_text(&attempt) + text;
            assert_eq!((answer.status, &*answer.body), (200, expected.as_bytes()));
        }
    });
}

/// Cuts inside an event and before the first one, with a close or a reset, and a reset after all events.
fn breaks() -> Vec<Ending> {
    let cuts = [Some(0), Some(1), Some(30), Some(100)];
    let cut = |cut_at, reset| Ending { cut_at, reset, ..Ending::default() };
    let mut breaks: Vec<Ending> = cuts.iter().map(|at| cut(*at, false)).collect();
    breaks.extend(cuts.iter().chain([&None]).map(|at| cut(*at, true)));
    breaks
}

/// Guards against an end of the connection inside an event, or before the first one, that looks complete.
#[test]
fn a_stream_whose_connection_ends_inside_an_event_is_broken_off() {
    with_fleet(single(), async |fleet| {
        for (n, ending) in breaks().into_iter().enumerate() {
            end_requests(fleet, Some(Stage::Decode), &ending);
            let (attempt, answer) = run_summary(fleet, ONCE_SUMMARY, &format!("{n}")).await;
            assert!(answer.status != 200 || !answer.complete, "{ending:?} looks complete");
            assert_exact(&answer, &attempt);
            assert_eq!(fleet.run_count(&attempt), 1);
        }
    });
}

#[test]
fn a_resumable_stream_whose_connection_ends_inside_an_event_is_continued() {
    with_fleet(spec(), async |fleet| {
        let cuts = breaks().into_iter().filter(|ending| ending.cut_at.is_some());
        for (n, ending) in cuts.enumerate() {
            // The server that breaks off is the one that is used.
            let attempt = format!("n{n}");
            fleet.relays[1].end_requests(ending.clone());
            let answer = fleet.caller(0).summary(SUMMARY, &attempt).await.expect("an answer");
            assert_eq!((answer.status, answer.complete), (200, true), "{ending:?}");
            assert_eq!(answer.body, summary_text(&attempt, EVENTS).into_bytes(), "{ending:?}");
        }
    });
}

/// The engine that goes on has no event left, and nothing tells its end from a break.
#[test]
fn a_resumable_stream_that_is_reset_after_its_last_event_loses_none() {
    with_fleet(spec(), async |fleet| {
        end_requests(fleet, Some(Stage::Decode), &Ending { reset: true, ..Ending::default() });
        let answer = fleet.caller(0).summary(SUMMARY, "reset").await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, summary_text("reset", EVENTS).into_bytes());
    });
}

/// Guards against a second answer's head and events that are relayed as events of the first one.
#[test]
fn a_stream_that_is_followed_by_another_answer_ends_before_it() {
    with_fleet(single(), async |fleet| {
        let mut n = 0;
        for head in SECOND_HEADS {
            let tail = format!("{head}id: 21\ndata: other tokens 21 v1\n\n").into_bytes();
            for (cut_at, path) in [(None, ONCE_SUMMARY), (Some(30), ONCE_SUMMARY), (None, SUMMARY)]
            {
                let ending = Ending { cut_at, tail: tail.clone(), ..Ending::default() };
                end_requests(fleet, Some(Stage::Decode), &ending);
                n += 1;
                let (attempt, answer) = run_summary(fleet, path, &format!("{n}")).await;
                assert!(answer.status != 200 || !answer.complete, "{ending:?} looks complete");
                assert_exact(&answer, &attempt);
            }
        }
    });
}

/// Guards against taking text of an event for the head of another answer.
#[test]
fn an_event_that_contains_a_status_line_in_its_text_is_relayed() {
    with_fleet(single(), async |fleet| {
        let tail = "id: 21\ndata: a HTTP/1.1 200 OK\ndata: Attempt-Id: x\n\n\
                    id: 22\r\ndata: HTTP/1.1 200 OK\r\ndata: x\r\n\r\n";
        end_requests(fleet, Some(Stage::Decode), &followed_by(tail));
        let answer = fleet.caller(0).summary(ONCE_SUMMARY, "a").await.expect("an answer");
        assert!(answer.complete);
        assert_eq!(answer.body, (summary_text("a", EVENTS) + tail).into_bytes());
    });
}

/// A prompt whose handle did not arrive whole and alone is processed again or by the decode engine.
#[test]
fn a_prefill_answer_that_is_not_whole_or_followed_by_another_one_gives_no_wrong_answer() {
    with_fleet(spec(), async |fleet| {
        let second = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 55\r\n\r\n\
                      {\"prompt_handle\":\"other\",\"token_count\":3000,\"version\":1}";
        let mut endings = breaks();
        endings.push(followed_by(second));
        for (n, ending) in endings.into_iter().enumerate() {
            end_requests(fleet, Some(Stage::Prefill), &ending);
            let attempt = format!("n{n}");
            let answer = fleet.caller(0).summary(SUMMARY, &attempt).await.expect("an answer");
            assert_eq!((answer.status, answer.complete), (200, true), "{ending:?}");
            assert_eq!(answer.body, summary_text(&attempt, EVENTS).into_bytes(), "{ending:?}");
        }
    });
}

/// "Not run" stays true, and what was reserved by calls whose answers are not whole is freed.
#[test]
fn reservations_whose_answers_are_not_whole_leave_nothing_behind() {
    with_fleet(single(), async |fleet| {
        let second = "HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n{\"hold\":\"hold99\"}";
        let endings = [
            Ending { cut_at: Some(5), ..Ending::default() },
            Ending { reset: true, ..Ending::default() },
            followed_by(second),
        ];
        for (n, ending) in endings.into_iter().enumerate() {
            fleet.relays.iter().for_each(|relay| relay.end_calls(ending.clone()));
            for path in [SUMMARY, ONCE_SUMMARY] {
                let attempt = format!("{n}{path}");
                let answer = fleet.caller(0).summary(path, &attempt).await.expect("an answer");
                assert_exact(&answer, &attempt);
                assert!(answer.status != 503 || fleet.run_count(&attempt) == 0, "{attempt}");
            }
        }
        fleet.relays.iter().for_each(|relay| relay.end_calls(Ending::default()));
        let freed = || fleet.backends.iter().all(|b| b.reservation_count() == 0);
        assert!(eventually(Duration::from_secs(5), freed).await);
        compio::time::sleep(Duration::from_secs(1)).await;
        let answer = fleet.caller(0).summary(ONCE_SUMMARY, "after").await.expect("an answer");
        assert_eq!((answer.status, answer.complete), (200, true));
    });
}

#[test]
fn rejections_without_length_or_chunks_are_truthful() {
    with_fleet(single(), async |fleet| {
        fleet.backends.iter().for_each(|backend| backend.set_fault(Fault::Sheds));
        let endings = [Ending::default(), followed_by(SECOND_HEADS[0])];
        for (n, ending) in endings.into_iter().enumerate() {
            for stage in [None, Some(Stage::Prefill), Some(Stage::Decode)] {
                end_requests(fleet, stage, &ending);
            }
            for path in [CHECK, LOOKUP, SUMMARY, ONCE_SUMMARY] {
                let attempt = format!("{n}{path}");
                let answer = match path {
                    CHECK | LOOKUP => fleet.caller(0).call(path, &attempt).await,
                    _ => fleet.caller(0).summary(path, &attempt).await,
                };
                let answer = answer.expect("an answer");
                assert_eq!((answer.status, fleet.run_count(&attempt)), (503, 0), "{attempt}");
            }
        }
    });
}
