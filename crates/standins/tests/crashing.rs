//! Requests that crash backend servers: they are quarantined before they reach every server.

use std::time::{Duration, Instant};

use ebonyloft_standins::fleet::backend::{
    BackendSpec, CRASH_PREFIX, Fault, PREFILL_CRASH_PREFIX, SILENT_CRASH_PREFIX,
};
use ebonyloft_standins::fleet::{
    Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, SUMMARY, store, with_fleet,
};

/// Number of servers that a request may crash before it must reach no others.
const CRASH_LIMIT: usize = 3;
/// Time after which every gateway must enforce the quarantine.
const CONTACT_BOUND: Duration = Duration::from_secs(3);
/// Sends after that time that may still have been in flight.
const MAX_LATE_SENDS: usize = 3;

/// Time between two sends of the same request.
const SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Repeatedly sends a request that crashes servers, through all gateways in turn.
async fn send_repeatedly(
    fleet: &Fleet,
    path: &str,
    name: &str,
    duration: Duration,
    pause: Duration,
) {
    send_body_repeatedly(fleet, path, name, &format!("{CRASH_PREFIX}{name}"), duration, pause)
        .await;
}

async fn send_body_repeatedly(
    fleet: &Fleet,
    path: &str,
    name: &str,
    body: &str,
    duration: Duration,
    pause: Duration,
) {
    let (end, mut n) = (Instant::now() + duration, 0);
    while Instant::now() < end {
        let caller = fleet.caller(n % fleet.gateways.len());
        let (path, attempt) = (path.to_owned(), format!("{name}-{n}"));
        let body = body.to_owned();
        compio::runtime::spawn(async move {
            // The answer does not matter: the test reads what the servers recorded.
            let _ = caller.send_body(&path, &attempt, body).await;
        })
        .detach();
        n += 1;
        compio::time::sleep(pause).await;
    }
}

/// Returns how many servers the request crashed, and how often it reached a server later than allowed.
fn crash_counts(fleet: &Fleet, name: &str) -> (usize, usize) {
    let seen = fleet.backends.iter().map(|r| r.observed.borrow().clone());
    let (mut crashes, mut arrivals) = (Vec::new(), Vec::new());
    for seen in seen {
        crashes.extend(seen.crashes.into_iter().filter(|(n, _)| n == name).map(|(_, at)| at));
        arrivals
            .extend(seen.crash_arrivals.into_iter().filter(|(n, _)| n == name).map(|(_, at)| at));
    }
    crashes.sort();
    let limit_reached_at = crashes.get(CRASH_LIMIT - 1);
    let late = limit_reached_at
        .map_or(0, |t| arrivals.iter().filter(|at| **at > *t + CONTACT_BOUND).count());
    println!("{name}: {} crashed, {late} late", crashes.len());
    (crashes.len(), late)
}

fn spec(gateways: usize) -> FleetSpec {
    let runner = BackendSpec::default();
    FleetSpec {
        gateways,
        prefill_engines: 2,
        decode_engines: 6,
        plain_servers: 4,
        runner,
        ..FleetSpec::default()
    }
}

/// Guards against gateways that forget what a request did to an engine together with the attempt.
///
/// One request crashed each engine 0.1 s after its run began, and its caller kept sending it again through any
/// gateway. Each attempt has an id of its own, so the gateways sent every repeat to the next engine as if it were
/// new: twenty engines crashed in thirteen seconds, and a tenth of the summaries were cut off with them.
#[test]
fn a_request_that_crashed_three_engines_reaches_no_others() {
    with_fleet(spec(3), async |fleet| {
        send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(7), SEND_INTERVAL).await;
        let (crashes, late) = crash_counts(fleet, "a");
        assert!(crashes >= CRASH_LIMIT, "{crashes} engines crashed: too few for a quarantine");
        assert!(
            late <= MAX_LATE_SENDS,
            "sent {late} times later than allowed; {crashes} engines crashed"
        );
    });
}

/// Hardly more engines crash than the quarantine needs: a repeat waits until it is known whether the first send
/// crashed its engine.
#[test]
fn a_request_is_held_back_while_a_crash_is_unconfirmed() {
    with_fleet(spec(3), async |fleet| {
        send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(4), SEND_INTERVAL / 5).await;
        let (crashes, _) = crash_counts(fleet, "a");
        assert!(crashes <= CRASH_LIMIT + 3, "{crashes} engines crashed");
    });
}

/// An idempotent call is retried at a second server at once, and crashes that one too.
#[test]
fn a_call_that_crashed_three_servers_reaches_no_others() {
    with_fleet(spec(3), async |fleet| {
        send_repeatedly(fleet, LOOKUP, "a", Duration::from_secs(9), SEND_INTERVAL).await;
        let (crashes, late) = crash_counts(fleet, "a");
        assert!(crashes >= CRASH_LIMIT, "{crashes} servers crashed: too few for a quarantine");
        assert!(
            late <= MAX_LATE_SENDS,
            "sent {late} times later than allowed; {crashes} servers crashed"
        );
    });
}

/// Processing the prompt is enough to crash a prefill engine.
#[test]
fn a_prompt_that_crashed_three_prefill_engines_reaches_no_others() {
    let spec = FleetSpec { prefill_engines: 4, ..spec(2) };
    with_fleet(spec, async |fleet| {
        let body = format!("{PREFILL_CRASH_PREFIX}a");
        send_body_repeatedly(fleet, SUMMARY, "a", &body, Duration::from_secs(8), SEND_INTERVAL)
            .await;
        let (crashes, late) = crash_counts(fleet, "a");
        assert!(crashes >= CRASH_LIMIT, "{crashes} engines crashed: too few for a quarantine");
        assert!(
            late <= MAX_LATE_SENDS,
            "sent {late} times later than allowed; {crashes} engines crashed"
        );
    });
}

/// Requests that were running on engines when these crashed are served when they are sent again.
#[test]
fn other_requests_at_crashed_engines_are_served() {
    with_fleet(spec(2), async |fleet| {
        let others = async {
            let mut complete = 0;
            for n in 0..24 {
                let caller = fleet.caller(n % 2);
                let (attempt, body) = (format!("b{n}"), format!("other {n}"));
                let answer = caller.send_body(SUMMARY, &attempt, body).await.expect("an answer");
                complete += usize::from(answer.status == 200 && answer.complete);
            }
            complete
        };
        let crashing = send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(5), SEND_INTERVAL);
        let (_, complete) = futures_util::join!(crashing, others);
        assert!(complete >= 22, "{complete} of 24 complete while other requests crashed engines");
        for n in 0..24 {
            let (attempt, body) = (format!("again{n}"), format!("other {n}"));
            let answer = fleet.caller(n % 2).send_body(SUMMARY, &attempt, body).await;
            assert_eq!(answer.expect("an answer").status, 200, "{n}");
        }
    });
}

/// A request that all callers send is running on each server that crashes; it must not be quarantined.
#[test]
fn a_request_of_all_callers_is_not_quarantined() {
    with_fleet(spec(2), async |fleet| {
        let end = Instant::now() + Duration::from_secs(12);
        let crashing = async {
            let mut n = 0;
            while Instant::now() < end {
                // A different request each time: one server crashes after the other.
                send_repeatedly(
                    fleet,
                    LOOKUP,
                    &format!("bad{n}"),
                    SEND_INTERVAL * 2,
                    SEND_INTERVAL,
                )
                .await;
                n += 1;
            }
        };
        let common = async {
            let (mut n, mut quarantined) = (0, 0);
            while Instant::now() < end {
                n += 1;
                let (caller, attempt) = (fleet.caller(n % 2), format!("q{n}"));
                let answer = caller.send_body(LOOKUP, &attempt, "same".into()).await;
                let answer = answer.expect("an answer");
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                quarantined += usize::from(text.contains("quarantined"));
                compio::time::sleep(SEND_INTERVAL / 25).await;
            }
            quarantined
        };
        let (_, quarantined) = futures_util::join!(crashing, common);
        assert_eq!(quarantined, 0);
    });
}

/// Guards against blame by gateways that have all been started since a request was answered.
#[test]
fn a_request_of_all_callers_is_not_quarantined_after_restarts() {
    with_fleet(FleetSpec { threads: true, ..spec(2) }, async |fleet| {
        let same = || "same".to_owned();
        for n in 0..6 {
            let answer = fleet.caller(n % 2).send_body(SUMMARY, &format!("whole{n}"), same()).await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
        for gateway in 0..2 {
            fleet.kill(gateway);
            fleet.restart_gateways(&[gateway]).await;
        }
        let end = Instant::now() + CONTACT_BOUND;
        let crashing = async {
            while Instant::now() < end {
                let running = fleet.backends.iter().filter(|r| r.running() > 0);
                running.for_each(|backend| backend.crash("unknown"));
                compio::time::sleep(SEND_INTERVAL / 5).await;
            }
        };
        let duration = CONTACT_BOUND - SEND_INTERVAL;
        let sending =
            send_body_repeatedly(fleet, SUMMARY, "hit", "same", duration, SEND_INTERVAL / 2);
        futures_util::join!(crashing, sending);
        let crashes: usize = fleet.backends.iter().map(|r| r.observed.borrow().crashes.len()).sum();
        assert!(crashes > CRASH_LIMIT, "{crashes} crashed");
        compio::time::sleep(CONTACT_BOUND).await;
        for gateway in 0..2 {
            let answer = fleet.caller(gateway).send_body(SUMMARY, "after", same()).await;
            let answer = answer.expect("an answer");
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(!text.contains("quarantined"), "{text}");
        }
    });
}

/// A server that loses every answer to a request has not crashed under it.
#[test]
fn lost_answers_do_not_count_as_crashes() {
    let spec = FleetSpec { gateways: 2, plain_servers: 4, ..spec(2) };
    with_fleet(spec, async |fleet| {
        let set_fault = |fault| fleet.backends.iter().for_each(|r| r.set_fault(fault));
        set_fault(Fault::Breaks);
        for n in 0..6 {
            let caller = fleet.caller(n % 2);
            let _ = caller.send_body(SUMMARY, &format!("s{n}"), "same".into()).await;
        }
        set_fault(Fault::Loses);
        for n in 0..6 {
            let caller = fleet.caller(n % 2);
            let _ = caller.send_body(LOOKUP, &format!("l{n}"), "same".into()).await;
            compio::time::sleep(SEND_INTERVAL).await;
        }
        set_fault(Fault::None);
        compio::time::sleep(SEND_INTERVAL * 4).await;
        for path in [SUMMARY, LOOKUP] {
            for n in 0..2 {
                let answer = fleet.caller(n).send_body(path, &format!("z{n}"), "same".into()).await;
                let answer = answer.expect("an answer");
                assert_eq!((answer.status, answer.complete), (200, true), "{path} at {n}");
            }
        }
    });
}

/// A repeat of a stream that broke off is served without delay when the engine is still alive.
#[test]
fn a_repeat_of_a_broken_stream_is_delayed_briefly_at_most() {
    with_fleet(spec(1), async |fleet| {
        let decode_engines = || fleet.backends.iter().skip(2).take(6);
        for n in 0..5 {
            let body = format!("story {n}");
            decode_engines().for_each(|r| r.set_fault(Fault::Breaks));
            let caller = fleet.caller(0);
            let first = caller.send_body(ONCE_SUMMARY, &format!("f{n}"), body.clone()).await;
            assert!(!first.expect("an answer").complete);
            decode_engines().for_each(|r| r.set_fault(Fault::None));
            let again = caller.send_body(ONCE_SUMMARY, &format!("g{n}"), body).await;
            let again = again.expect("an answer");
            assert_eq!((again.status, again.complete), (200, true), "{n}");
            // The run itself takes 250 ms.
            assert!(again.total_time < Duration::from_millis(700), "{n}: {:?}", again.total_time);
        }
    });
}

/// A new gateway learns of a quarantine from its peers, also when the store has no record of it.
#[test]
fn a_new_gateway_knows_what_its_peers_know() {
    with_fleet(spec(2), async |fleet| {
        send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(4), SEND_INTERVAL).await;
        // The store must not be the source.
        fleet.store.remove_silently("ebonyloft/quarantine/");
        fleet.add_gateway();
        fleet.wait_ready(2).await;
        compio::time::sleep(Duration::from_secs(1)).await;
        let (before, _) = crash_counts(fleet, "a");
        assert_quarantined(fleet, 2).await;
        assert_eq!(crash_counts(fleet, "a").0, before, "another engine crashed");
    });
}

/// A quarantine outlives the restart of all gateways.
#[test]
fn restarted_gateways_read_quarantines_from_the_store() {
    with_fleet(spec(2), async |fleet| {
        send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(4), SEND_INTERVAL).await;
        for gateway in 0..2 {
            fleet.stop(gateway);
        }
        compio::time::sleep(Duration::from_secs(4)).await;
        fleet.add_gateway();
        fleet.wait_ready(2).await;
        assert_quarantined(fleet, 2).await;
    });
}

/// All gateways restart after two servers have crashed: one more crash leads to the quarantine. Gateways that
/// have just started don't know each other yet, so both may try the request once.
#[test]
fn two_crashes_outlive_the_restart_of_all_gateways() {
    with_fleet(spec(2), async |fleet| {
        let body = format!("{CRASH_PREFIX}a");
        for n in 0..2 {
            let _ =
                fleet.caller(n).send_body(ONCE_SUMMARY, &format!("first{n}"), body.clone()).await;
            compio::time::sleep(SEND_INTERVAL * 2).await;
        }
        assert_eq!(crash_counts(fleet, "a").0, 2);
        for gateway in 0..2 {
            fleet.stop(gateway);
        }
        compio::time::sleep(Duration::from_secs(4)).await;
        fleet.gateways.clear();
        for gateway in 0..2 {
            fleet.add_gateway();
            fleet.wait_ready(gateway).await;
        }
        send_repeatedly(fleet, ONCE_SUMMARY, "a", Duration::from_secs(3), SEND_INTERVAL / 5).await;
        let (crashes, _) = crash_counts(fleet, "a");
        assert!(crashes <= CRASH_LIMIT + 1, "{crashes} engines crashed");
    });
}

/// A key that disappears from the store ends no quarantine: keys expire while the store is away.
#[test]
fn a_quarantine_outlives_its_key() {
    with_fleet(spec(1), async |fleet| {
        send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(4), SEND_INTERVAL).await;
        let keys = fleet.store.keys("ebonyloft/quarantine/");
        assert_eq!(keys.len(), 1, "{keys:?}");
        fleet.store.remove(&keys[0]);
        compio::time::sleep(SEND_INTERVAL * 2).await;
        assert_quarantined(fleet, 0).await;
    });
}

/// An operator releases a request from quarantine by overwriting its key.
#[test]
fn an_operator_releases_a_request_from_quarantine() {
    with_fleet(spec(2), async |fleet| {
        send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(4), SEND_INTERVAL).await;
        assert_quarantined(fleet, 0).await;
        let keys = fleet.store.keys("ebonyloft/quarantine/");
        let value = br#"{"servers":[],"by":"operator","release":true}"#;
        fleet.store.put(&keys[0], value, 0);
        compio::time::sleep(SEND_INTERVAL * 4).await;
        for gateway in 0..2 {
            let before = crash_counts(fleet, "a").0;
            let body = format!("{CRASH_PREFIX}a");
            let _ = fleet.caller(gateway).send_body(SUMMARY, &format!("in{gateway}"), body).await;
            assert!(
                crash_counts(fleet, "a").0 > before,
                "gateway {gateway} did not send the request again"
            );
            compio::time::sleep(SEND_INTERVAL * 4).await;
        }
    });
}

/// While the store is away the gateways agree on a quarantine among themselves.
#[test]
fn gateways_agree_on_a_quarantine_without_the_store() {
    with_fleet(spec(3), async |fleet| {
        fleet.store.set_fault(store::Fault::Silent);
        send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(7), SEND_INTERVAL).await;
        let (crashes, late) = crash_counts(fleet, "a");
        assert!(crashes >= CRASH_LIMIT, "{crashes} engines crashed: too few for a quarantine");
        assert!(
            late <= MAX_LATE_SENDS,
            "sent {late} times later than allowed; {crashes} engines crashed"
        );
    });
}

/// The crash shows only by the missing registration, which may be gone before the gateway gives up the silent
/// run.
#[test]
fn a_request_under_which_engines_fall_silent_reaches_no_others() {
    let spec = FleetSpec { decode_engines: 10, ..spec(3) };
    with_fleet(spec, async |fleet| {
        let body = format!("{SILENT_CRASH_PREFIX}a");
        send_body_repeatedly(fleet, SUMMARY, "a", &body, Duration::from_secs(12), SEND_INTERVAL)
            .await;
        let (crashes, late) = crash_counts(fleet, "a");
        assert!(crashes >= CRASH_LIMIT, "{crashes} engines crashed: too few for a quarantine");
        assert!(
            late <= MAX_LATE_SENDS,
            "sent {late} times later than allowed; {crashes} engines crashed"
        );
    });
}

/// The caller disconnects before the server crashes, and sends the request again: the crash still counts.
#[test]
fn a_crash_counts_after_its_caller_disconnected() {
    with_fleet(spec(2), async |fleet| {
        let end = Instant::now() + Duration::from_secs(9);
        let (mut n, body) = (0, format!("{CRASH_PREFIX}a"));
        while Instant::now() < end {
            n += 1;
            for path in [SUMMARY, LOOKUP] {
                let caller = fleet.caller(n % 2);
                let (attempt, body) = (format!("{path}-{n}"), format!("{body}{path}"));
                let sent = caller.send_body(path, &attempt, body);
                // About 50 ms for the prefill, and 70 ms until the crash.
                let _ = compio::time::timeout(SEND_INTERVAL / 3, sent).await;
            }
            compio::time::sleep(SEND_INTERVAL).await;
        }
        for path in [SUMMARY, LOOKUP] {
            let (crashes, late) = crash_counts(fleet, &format!("a{path}"));
            assert!(
                crashes >= CRASH_LIMIT,
                "{crashes} servers crashed under {path}: too few for a quarantine"
            );
            assert!(
                late <= MAX_LATE_SENDS,
                "{path}: {late} sends too late; {crashes} servers crashed"
            );
        }
    });
}

/// A quarantine that could not be written during a store outage is written afterwards.
#[test]
fn a_quarantine_is_written_when_the_store_is_back() {
    with_fleet(spec(1), async |fleet| {
        fleet.store.set_fault(store::Fault::Silent);
        send_repeatedly(fleet, SUMMARY, "a", Duration::from_secs(4), SEND_INTERVAL).await;
        compio::time::sleep(Duration::from_secs(12)).await;
        assert!(fleet.store.keys("ebonyloft/quarantine/").is_empty());
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(Duration::from_secs(8)).await;
        assert_eq!(fleet.store.keys("ebonyloft/quarantine/").len(), 1);
    });
}

/// The request is refused at once: as quarantined, not run, and not to be sent again soon.
async fn assert_quarantined(fleet: &Fleet, gateway: usize) {
    let body = format!("{CRASH_PREFIX}a");
    let answer = fleet.caller(gateway).send_body(SUMMARY, "refused", body).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert_eq!(fleet.run_count("refused"), 0);
    assert!(answer.total_time < SEND_INTERVAL, "{:?}", answer.total_time);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(text.contains("quarantined") && text.contains("not-run"), "{text}");
    let wait: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
    assert!(wait > 600.0, "{wait}");
}
