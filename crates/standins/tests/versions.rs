//! Backend servers of several software versions side by side over real sockets: what a caller's
//! stream holds, in one answer and over the caller's attempts.

use std::collections::BTreeSet;
use std::time::Duration;

use ebonyloft_router::catalog::Stage;
use ebonyloft_standins::fleet::backend::{BackendSpec, Fault};
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::{Fleet, FleetSpec, SUMMARY, with_fleet};

const SECOND: Duration = Duration::from_secs(1);
const EVENTS: u64 = 20;

fn engine(version: &str) -> BackendSpec {
    BackendSpec { version: version.to_owned(), event_count: EVENTS, ..BackendSpec::default() }
}

/// A fleet whose decode engines are only those that a test adds.
fn spec(gateways: usize) -> FleetSpec {
    FleetSpec { gateways, decode_engines: 0, plain_servers: 0, ..FleetSpec::default() }
}

async fn add_engines(fleet: &mut Fleet, versions: &[&str]) {
    for version in versions {
        fleet.add_backend(Some(Stage::Decode), &engine(version)).await;
    }
    // Time for all gateways to learn of them.
    compio::time::sleep(SECOND).await;
}

fn set_faults(fleet: &Fleet, fault: Fault) {
    fleet.backends.iter().skip(1).for_each(|engine| engine.set_fault(fault));
}

/// The version that began a stream.
fn version_of(answer: &Answer) -> String {
    let versions = answer.versions();
    assert_eq!(versions.len(), 1, "one answer holds events of {versions:?}");
    versions.into_iter().next().expect("checked")
}

/// Begins a stream that breaks off, with nothing left in this answer that could continue it.
async fn begin(fleet: &Fleet, gateway: usize, attempt: &str) -> Answer {
    set_faults(fleet, Fault::Breaks);
    let answer = fleet.caller(gateway).summary(SUMMARY, attempt).await.expect("an answer");
    set_faults(fleet, Fault::None);
    assert_eq!((answer.status, answer.complete), (200, false), "{attempt}");
    answer
}

/// Takes up a stream that `attempt` began, and returns the answer to the rest of it.
async fn take_up(fleet: &Fleet, gateway: usize, attempt: &str, begun: &Answer) -> Answer {
    let last = *begun.events().last().expect("events");
    let caller = fleet.caller(gateway);
    let request = caller.take_up_request(&format!("{attempt}-again"), &[attempt], last);
    caller.send(request).await.expect("an answer")
}

/// Checks that the rest of a stream was written by the version that began it.
fn assert_continued(begun: &Answer, rest: &Answer) {
    let last = *begun.events().last().expect("events");
    assert_eq!((rest.status, rest.complete), (200, true), "{rest:?}");
    assert_eq!(rest.events(), (last + 1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(rest.versions(), BTreeSet::from([version_of(begun)]));
}

/// Guards against a stream that a caller takes up being continued by another version than the one
/// that began it, at the gateway that began it or at another one.
#[test]
fn a_stream_taken_up_is_continued_by_the_version_that_began_it() {
    with_fleet(spec(2), async |fleet| {
        add_engines(fleet, &["v1", "v1", "v2", "v2"]).await;
        for n in 0..8 {
            let attempt = format!("s{n}");
            let begun = begin(fleet, 0, &attempt).await;
            let rest = take_up(fleet, n % 2, &attempt, &begun).await;
            assert_continued(&begun, &rest);
        }
    });
}

/// Guards against a lost run being continued by another version within the same answer.
#[test]
fn a_lost_run_is_continued_by_the_version_that_began_it() {
    with_fleet(spec(1), async |fleet| {
        add_engines(fleet, &["v1", "v1", "v2", "v2", "v2"]).await;
        let mut continued = 0;
        for n in 0..12 {
            let caller = fleet.caller(0);
            let request = caller.summary_request(SUMMARY, &format!("s{n}"));
            set_faults(fleet, Fault::Breaks);
            let task = compio::runtime::spawn(async move { caller.send(request).await });
            // The fault counts for the first half of the events only.
            compio::time::sleep(Duration::from_millis(170)).await;
            set_faults(fleet, Fault::None);
            let answer = task.await.expect("the caller's task").expect("an answer");
            assert_eq!(answer.versions().len(), 1, "{:?}", answer.versions());
            continued += usize::from(answer.complete && fleet.run_count(&format!("s{n}")) == 2);
        }
        assert!(continued >= 10, "{continued} of 12 lost runs were continued");
    });
}
