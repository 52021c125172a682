//! Bytes that are no answer and do not end until their caller closes the connection.

use std::time::{Duration, Instant};

use ebonyloft_router::catalog::Stage;
use ebonyloft_standins::fleet::unframed::{Ending, Flood};
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, SUMMARY, with_fleet,
};
use futures_util::future::{join, join_all};

/// Most bytes of one answer that a gateway may take in: the largest answer, and what sockets hold.
const TAKEN_MAX: usize = 12 << 20;
/// Time in which a caller is told that a call was lost, far below its deadline.
const TOLD_WITHIN: Duration = Duration::from_millis(600);
const PIECE: usize = 64 << 10;
/// Memory of a gateway, as its settings state it.
const MEMORY: usize = 110_000_000;
/// Requests of each kind that are sent at once.
const AT_ONCE: usize = 32;
/// Most requests sent until a server has been used twice, and the pause between two.
const ATTEMPTS: usize = 100;
const PAUSE: Duration = Duration::from_millis(50);

fn spec() -> FleetSpec {
    FleetSpec {
        gateways: 1,
        prefill_engines: 1,
        decode_engines: 2,
        plain_servers: 2,
        unframed: true,
        ..FleetSpec::default()
    }
}

fn flood(bytes: Vec<u8>) -> Flood {
    Flood { bytes, ..Flood::default() }
}

/// Bytes of several kinds without an end.
fn floods() -> Vec<(&'static str, Flood)> {
    vec![
        ("text without line ends", flood(vec![b'x'; PIECE])),
        ("no text, with blank lines", flood([vec![0xff; 100], b"\n\n".to_vec()].concat())),
        ("lines that end no event", flood(b"data: x\n".repeat(PIECE / 8))),
    ]
}

/// Bytes without an end in place of a head, or within one.
fn head_floods() -> Vec<(&'static str, Flood)> {
    let within = |start: &str, bytes: &[u8]| Flood {
        start: start.into(),
        bytes: bytes.repeat(PIECE / bytes.len()),
        replaces_head: true,
        ..Flood::default()
    };
    vec![
        ("bytes", within("", b"x")),
        ("a status line", within("HTTP/1.1 200 ", b"x")),
        ("a header", within("HTTP/1.1 200 OK\r\nX-Long: ", b"x")),
        ("headers", within("HTTP/1.1 200 OK\r\n", b"X-More: y\r\n")),
    ]
}

/// Answers that consist of a flood after their head.
fn without_end(flood: Flood) -> Ending {
    Ending { cut_at: Some(0), flood: Some(flood), ..Ending::default() }
}

/// Floods all answers to callers' requests from the server of a stage that has answered most.
fn flood_busiest(fleet: &Fleet, stage: Option<Stage>, flood: Flood) -> usize {
    let is_meant = |n: &usize| fleet.backends[*n].server.borrow().stage == stage;
    let servers = (0..fleet.backends.len()).filter(is_meant);
    let first = servers.max_by_key(|n| fleet.relays[*n].answers.get()).expect("a server");
    fleet.relays[first].end_requests(without_end(flood));
    fleet.relays[first].flooded.set(0);
    first
}

/// Asserts that no flood goes on.
async fn assert_closed(fleet: &Fleet, name: &str) {
    compio::time::sleep(Duration::from_millis(300)).await;
    for relay in &fleet.relays {
        assert_eq!(relay.open_floods.get(), 0, "{name}: a connection stays open");
    }
}

/// Asserts that the server behind a relay sent so many floods, at least one, and that each was given up early.
async fn assert_given_up(fleet: &Fleet, relay: usize, floods: usize, name: &str) {
    assert!(floods > 0, "{name}: the server was not used");
    assert_closed(fleet, name).await;
    let taken = fleet.relays[relay].flooded.get() / floods;
    assert!(taken < TAKEN_MAX, "{name}: {taken} bytes of each of {floods} answers");
}

/// Sends calls, one of each kind at a time, while the answers of one server are floods.
fn assert_calls_give_up(name: &str, flood: Flood) {
    with_fleet(spec(), async |fleet| {
        for n in 0..6 {
            let answer = fleet.caller(0).call(CHECK, &format!("before-{n}")).await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
        let first = flood_busiest(fleet, None, flood);
        let before = fleet.relays[first].answers.get();
        for n in 0..20 {
            let attempt = format!("once-{n}");
            let begun = Instant::now();
            let once = fleet.caller(0).call(CHECK, &attempt).await.expect("an answer");
            assert!(matches!(once.status, 200 | 502 | 503), "{name}: {}", once.status);
            assert!(begun.elapsed() < TOLD_WITHIN, "{name}: {:?}", begun.elapsed());
            assert!(fleet.run_count(&attempt) <= 1, "{name}: ran twice");
            let again = fleet.caller(0).call(LOOKUP, &format!("again-{n}")).await;
            assert_eq!(again.expect("an answer").status, 200, "{name}: the other server answers");
        }
        let floods = fleet.relays[first].answers.get() - before;
        assert_given_up(fleet, first, floods, name).await;
    });
}

/// Guards against an answer without an end that is read into memory until the deadline.
#[test]
fn a_call_gives_up_a_body_without_an_end() {
    // What a body holds does not matter to a call.
    let (name, flood) = floods().remove(0);
    assert_calls_give_up(name, flood);
}

/// The same for chunks without an end.
#[test]
fn a_call_gives_up_chunks_without_an_end() {
    let start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let bytes = b"10\r\n0123456789abcdef\r\n".repeat(2_000);
    assert_calls_give_up("chunks", Flood { start, replaces_head: true, ..flood(bytes) });
}

#[test]
fn a_call_gives_up_bytes_in_place_of_a_head() {
    let (name, flood) = head_floods().remove(0);
    assert_calls_give_up(name, flood);
}

#[test]
fn a_call_gives_up_a_status_line_without_an_end() {
    let (name, flood) = head_floods().remove(1);
    assert_calls_give_up(name, flood);
}

#[test]
fn a_call_gives_up_a_header_without_an_end() {
    let (name, flood) = head_floods().remove(2);
    assert_calls_give_up(name, flood);
}

#[test]
fn a_call_gives_up_headers_without_an_end() {
    let (name, flood) = head_floods().remove(3);
    assert_calls_give_up(name, flood);
}

/// Guards against interim answers without an end, which are skipped one by one until the deadline.
#[test]
fn a_call_gives_up_interim_answers_without_an_end() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
    let flood = Flood { replaces_head: true, ..flood(bytes) };
    assert_calls_give_up("interim answers", flood);
}

/// Sends summaries while the answers of one engine are floods.
fn assert_streams_go_on(name: &str, flood: Flood) {
    with_fleet(spec(), async |fleet| {
        let first = flood_busiest(fleet, Some(Stage::Decode), flood);
        // An engine that broke off is left alone for a while.
        for n in 0..ATTEMPTS {
            if fleet.relays[first].answers.get() >= 2 {
                break;
            }
            compio::time::sleep(PAUSE).await;
            let answer = fleet.caller(0).summary(SUMMARY, &format!("summary-{n}")).await;
            let answer = answer.expect("an answer");
            assert_eq!((answer.status, answer.complete), (200, true), "{name}");
            assert_eq!(answer.events(), (1..=20).collect::<Vec<u64>>(), "{name}");
        }
        let floods = fleet.relays[first].answers.get();
        assert_given_up(fleet, first, floods, name).await;
    });
}

/// Guards against a stream whose bytes complete no event: they are kept in memory, and its caller waits.
#[test]
fn a_stream_goes_on_elsewhere_when_text_without_an_end_comes() {
    let (name, flood) = floods().remove(0);
    assert_streams_go_on(name, flood);
}

/// Guards against bytes that are no text and are passed on as events.
#[test]
fn a_stream_goes_on_elsewhere_when_bytes_that_are_no_text_come() {
    let (name, flood) = floods().remove(1);
    assert_streams_go_on(name, flood);
}

#[test]
fn a_stream_goes_on_elsewhere_when_an_event_does_not_end() {
    let (name, flood) = floods().remove(2);
    assert_streams_go_on(name, flood);
}

#[test]
fn a_stream_goes_on_elsewhere_when_a_header_does_not_end() {
    let (name, flood) = head_floods().remove(2);
    assert_streams_go_on(name, flood);
}

/// Guards against a stream that may run only once and is held until its deadline by bytes without meaning.
#[test]
fn a_stream_that_may_run_once_is_broken_off_when_bytes_without_an_end_come() {
    let spec = FleetSpec { decode_engines: 1, ..spec() };
    with_fleet(spec, async |fleet| {
        let (name, flood) = floods().remove(1);
        flood_busiest(fleet, Some(Stage::Decode), flood);
        let begun = Instant::now();
        let answer = fleet.caller(0).summary(ONCE_SUMMARY, "once").await;
        assert!(begun.elapsed() < Duration::from_secs(3), "{name}: {:?}", begun.elapsed());
        assert!(answer.is_err() || answer.is_ok_and(|a| !a.complete || a.status != 200), "{name}");
        assert_eq!(fleet.run_count("once"), 1);
        assert_closed(fleet, name).await;
    });
}

/// Guards against bytes that come too slowly to fill anything and too often to count as silence.
#[test]
fn a_stream_goes_on_elsewhere_when_single_bytes_complete_no_event() {
    with_fleet(spec(), async |fleet| {
        let pause = Duration::from_millis(50);
        let trickle = Flood { pause, ..flood(b"data: x\n".to_vec()) };
        let first = flood_busiest(fleet, Some(Stage::Decode), trickle);
        for n in 0..6 {
            let attempt = format!("trickle-{n}");
            let begun = Instant::now();
            let answer = fleet.caller(0).summary(SUMMARY, &attempt).await.expect("an answer");
            assert_eq!((answer.status, answer.complete), (200, true));
            assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
        }
        assert!(fleet.relays[first].answers.get() > 0, "the engine was not used");
        assert_closed(fleet, "trickle").await;
    });
}

/// Guards against reports, reservations and handles without an end, of which a gateway reads one after the other.
#[test]
fn calls_of_the_gateway_give_up_answers_without_an_end() {
    with_fleet(spec(), async |fleet| {
        for (name, flood) in floods().into_iter().chain(head_floods()) {
            for relay in &fleet.relays {
                relay.flooded.set(0);
                relay.end_calls(without_end(flood.clone()));
            }
            let before: usize = fleet.relays.iter().map(|relay| relay.answers.get()).sum();
            for n in 0..3 {
                let attempt = format!("calls-{name}-{n}").replace(' ', "-");
                let answer = fleet.caller(0).call(CHECK, &attempt).await.expect("an answer");
                assert_eq!(answer.status, 200, "{name}");
                let summary = fleet.caller(0).summary(SUMMARY, &attempt).await.expect("an answer");
                assert!(summary.status != 200 || summary.complete, "{name}");
            }
            for relay in &fleet.relays {
                relay.end_calls(Ending::default());
            }
            assert_closed(fleet, name).await;
            let after: usize = fleet.relays.iter().map(|relay| relay.answers.get()).sum();
            let taken: usize = fleet.relays.iter().map(|relay| relay.flooded.get()).sum();
            let floods = (after - before).max(1);
            assert!(taken / floods < TAKEN_MAX, "{name}: {taken} bytes in {floods} answers");
        }
    });
}

/// Memory that this process takes now, in bytes; its gateway and all stand-ins are in it.
fn memory_taken() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
    let kilobytes = line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number");
    kilobytes * 1_024
}

async fn send(fleet: &Fleet, path: &str, attempt: &str) -> u16 {
    let caller = fleet.caller(0);
    let answer = match path {
        CHECK | LOOKUP => caller.call(path, attempt).await,
        _ => caller.summary(path, attempt).await,
    };
    // A stream that is broken off has no answer that counts.
    answer.ok().filter(|answer| answer.complete).map_or(0, |answer| answer.status)
}

/// Sends requests of these kinds at once, whose answers are floods, and one after the other requests of `others`, which
/// go to other servers; returns the most memory taken meanwhile.
async fn flood_at_once(fleet: &Fleet, name: &str, paths: [&str; 2], others: &str) -> usize {
    let (mut most, done) = (0, std::cell::Cell::new(false));
    let attempt = |n: usize, path: &str| format!("{name}-{n}{path}").replace([' ', '/', ','], "-");
    let requests = (0..AT_ONCE).flat_map(|n| paths.map(|path| (n, path)));
    let flooded = async {
        let sent = requests.map(async |(n, path)| send(fleet, path, &attempt(n, path)).await);
        let statuses = join_all(sent).await;
        done.set(true);
        statuses
    };
    let watched = async {
        while !done.get() {
            most = most.max(memory_taken());
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let served = async {
        for n in 0.. {
            if done.get() {
                break;
            }
            assert_eq!(send(fleet, others, &attempt(n, others)).await, 200, "{name}: {others}");
        }
    };
    let (statuses, ..) = join(flooded, join(watched, served)).await;
    assert!(!statuses.contains(&200), "{name}: a flood looks like an answer");
    most
}

/// Guards against many answers without an end that together exhaust the memory of the process, or keep other
/// callers from their answers.
#[test]
fn many_answers_without_an_end_at_once_leave_memory_and_other_callers_alone() {
    with_fleet(spec(), async |fleet| {
        for path in [CHECK, LOOKUP, SUMMARY, ONCE_SUMMARY] {
            assert_eq!(send(fleet, path, &format!("before-{path}")).await, 200);
        }
        let before = memory_taken();
        // Plain servers first: engines that broke off are left alone for a while.
        for (stage, paths, others) in [
            (None, [CHECK, LOOKUP], SUMMARY),
            (Some(Stage::Decode), [SUMMARY, ONCE_SUMMARY], LOOKUP),
        ] {
            for (name, flood) in floods().into_iter().chain(head_floods()) {
                let servers = fleet.backends.iter().zip(&fleet.relays);
                for (_, relay) in servers.filter(|(b, _)| b.server.borrow().stage == stage) {
                    relay.end_requests(without_end(flood.clone()));
                }
                let taken = flood_at_once(fleet, name, paths, others).await.saturating_sub(before);
                assert!(taken < MEMORY / 2, "{name}: {taken} bytes more");
                fleet.relays.iter().for_each(|relay| relay.end_requests(Ending::default()));
                assert_closed(fleet, name).await;
            }
        }
        let flooded: usize = fleet.relays.iter().map(|relay| relay.flooded.get()).sum();
        assert!(flooded > TAKEN_MAX, "too few floods were sent");
    });
}
