//! Rate limits that backend servers announce in their responses: all gateways together keep them.

use std::time::{Duration, Instant};

use ebonyloft_standins::fleet::backend::{BackendSpec, Fault};
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, SUMMARY, with_fleet,
};

/// Requests per second that a server announces.
const LIMIT: f64 = 5.0;
/// Time after which all gateways must keep the limit.
const CONTACT_BOUND: Duration = Duration::from_secs(3);
/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit that may arrive in a window.
const LIMIT_FACTOR: f64 = 1.5;
/// Requests allowed in a window in addition.
const SLACK: f64 = 5.0;
/// Time between two requests.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests to these paths through all gateways in turn; returns their statuses, 0 without an answer.
async fn send(fleet: &Fleet, name: &str, paths: &[&str], duration: Duration) -> Vec<u16> {
    let (end, mut n, mut tasks) = (Instant::now() + duration, 0, Vec::new());
    while Instant::now() < end {
        let (caller, path) = (fleet.caller(n % fleet.gateways.len()), paths[n % paths.len()]);
        let (path, attempt) = (path.to_owned(), format!("{name}{n}"));
        tasks.push(compio::runtime::spawn(async move {
            let answer = match path.as_str() {
                CHECK | LOOKUP => caller.call(&path, &attempt).await,
                _ => caller.summary(&path, &attempt).await,
            };
            answer.map_or(0, |a| a.status)
        }));
        n += 1;
        compio::time::sleep(SEND_INTERVAL).await;
    }
    let mut statuses = Vec::new();
    for task in tasks {
        statuses.push(task.await.expect("a task"));
    }
    statuses
}

/// Largest number of requests that a server received in any window starting at `since` or later.
fn max_in_window(fleet: &Fleet, backend: usize, since: Instant) -> usize {
    let seen = fleet.backends[backend].observed.borrow();
    let all = seen.call_times.iter().chain(&seen.release_times);
    let taken: Vec<Instant> = all.copied().filter(|at| *at >= since).collect();
    let count =
        |from: &Instant| taken.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    taken.iter().map(count).max().unwrap_or(0)
}

fn window_limit() -> usize {
    (LIMIT_FACTOR * LIMIT * WINDOW.as_secs_f64() + SLACK) as usize
}

#[test]
fn a_plain_server_that_announces_a_limit_gets_no_more_from_all_gateways() {
    // Slower than the estimate for an unknown server, so that all three servers are tried.
    let runner = BackendSpec { call_time: Duration::from_millis(45), ..BackendSpec::default() };
    let spec = FleetSpec { gateways: 4, plain_servers: 3, runner, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        let limited = fleet.backends.len() - 1;
        fleet.backends[limited].announce_limit(Some("5"));
        let since = Instant::now() + CONTACT_BOUND;
        let answers = send(fleet, "a", &[CHECK, LOOKUP], CONTACT_BOUND + WINDOW * 3 / 2).await;
        let most = max_in_window(fleet, limited, since);
        println!("{most} in a window, {} allowed", window_limit());
        assert!(most <= window_limit(), "{most} requests in a window, {} allowed", window_limit());
        assert!(most >= 8, "only {most} requests in a window: the server is not used");
        assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
    });
}

#[test]
fn engines_that_announce_a_limit_get_no_more_from_all_gateways() {
    let spec =
        FleetSpec { gateways: 4, prefill_engines: 2, decode_engines: 3, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        // A prefill engine and a decode engine.
        let limited = [0, 2];
        limited.iter().for_each(|n| fleet.backends[*n].announce_limit(Some("5")));
        let since = Instant::now() + CONTACT_BOUND;
        let answers =
            send(fleet, "a", &[SUMMARY, ONCE_SUMMARY], CONTACT_BOUND + WINDOW * 3 / 2).await;
        for n in limited {
            let most = max_in_window(fleet, n, since);
            println!("server {n}: {most} in a window, {} allowed", window_limit());
            assert!(
                most <= window_limit(),
                "server {n}: {most} in a window, {} allowed",
                window_limit()
            );
        }
        let served = answers.iter().filter(|status| **status == 200).count();
        assert!(served * 10 >= answers.len() * 9, "{served} of {} served", answers.len());
    });
}

/// An unused prompt is not released at a prefill engine that is at its limit: it expires by itself.
#[test]
fn releases_do_not_exceed_a_limit() {
    let spec =
        FleetSpec { gateways: 4, prefill_engines: 1, decode_engines: 6, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.backends[0].announce_limit(Some("5"));
        fleet.backends[1..7].iter().for_each(|r| r.set_fault(Fault::Errors));
        let since = Instant::now() + CONTACT_BOUND;
        send(fleet, "a", &[SUMMARY, ONCE_SUMMARY], CONTACT_BOUND + WINDOW * 3 / 2).await;
        let most = max_in_window(fleet, 0, since);
        println!("{most} in a window, {} allowed", window_limit());
        assert!(most <= window_limit(), "{most} in a window, {} allowed", window_limit());
    });
}
