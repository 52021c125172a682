//! Prefill work that no answer used is counted, by cause.

use std::time::Duration;

use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::{BackendSpec, Fault};
use ebonyloft_standins::fleet::{Fleet, FleetSpec, ONCE_SUMMARY, SUMMARY, with_fleet};

const SECOND: Duration = Duration::from_secs(1);
/// Tokens of a summary's prompt.
const PROMPT: u64 = 3_000;

fn spec(runner: BackendSpec) -> FleetSpec {
    FleetSpec { gateways: 1, plain_servers: 0, runner, ..FleetSpec::default() }
}

/// Wasted tokens by cause, as the gateway's metrics page states them.
async fn wasted(fleet: &Fleet) -> Vec<(String, u64)> {
    let page = fleet.metrics(0).await;
    let counters = page.lines().filter_map(|line| {
        let (cause, tokens) =
            line.strip_prefix("ebonyloft_gateway_prefill_wasted_")?.split_once(' ')?;
        Some((cause.to_owned(), tokens.parse().expect("a number")))
    });
    counters.collect()
}

fn only(cause: &str, prompts: u64) -> Vec<(String, u64)> {
    vec![(cause.to_owned(), prompts * PROMPT)]
}

/// Guards against waste that is counted where there is none.
#[test]
fn an_answer_without_faults_wastes_nothing() {
    with_fleet(spec(BackendSpec::default()), async |fleet| {
        assert!(fleet.caller(0).summary(SUMMARY, "s1").await.expect("an answer").complete);
        assert_eq!(wasted(fleet).await, []);
    });
}

#[test]
fn a_prompt_that_no_decode_engine_takes_is_counted() {
    with_fleet(spec(BackendSpec::default()), async |fleet| {
        fleet.backends[1..3].iter().for_each(|engine| engine.set_fault(Fault::Changes));
        let answer = fleet.caller(0).summary(ONCE_SUMMARY, "s1").await.expect("an answer");
        assert_eq!(answer.status, 503);
        let prefills = fleet.backends[0].observed.borrow().prefill_count;
        assert_eq!(wasted(fleet).await, only("refused", prefills));
    });
}

#[test]
fn a_prompt_whose_caller_leaves_during_the_prefill_is_counted() {
    let runner = BackendSpec { prefill_time: Duration::from_millis(300), ..BackendSpec::default() };
    with_fleet(spec(runner), async |fleet| {
        let caller = fleet.caller(0);
        let request = caller.summary_request(SUMMARY, "s1");
        let timed_out = compio::time::timeout(SECOND / 10, caller.send_unread(request)).await;
        assert!(timed_out.is_err());
        drop(caller);
        assert!(eventually(SECOND, || fleet.backends[0].running() == 0).await);
        assert_eq!(wasted(fleet).await, only("caller", 1));
    });
}

#[test]
fn a_prompt_that_is_processed_again_after_a_lost_run_is_counted() {
    with_fleet(FleetSpec { decode_engines: 1, ..spec(BackendSpec::default()) }, async |fleet| {
        fleet.backends[1].set_fault(Fault::Breaks);
        let task = {
            let caller = fleet.caller(0);
            compio::runtime::spawn(async move { caller.summary(SUMMARY, "s1").await })
        };
        assert!(eventually(SECOND, || fleet.run_count("s1") == 1).await);
        let backup = fleet.backends[1].server.borrow().stage;
        fleet.add_backend(backup, &BackendSpec::default()).await;
        let answer = task.await.expect("the caller's task").expect("an answer");
        assert!(answer.complete);
        assert_eq!(wasted(fleet).await, only("lost", 1));
    });
}

/// Guards against preemptions that are not seen, and against a first event that is taken for one.
#[test]
fn a_long_gap_between_events_is_counted_as_a_preemption() {
    let event_interval = Duration::from_millis(320);
    let runner = BackendSpec { event_interval, event_count: 3, ..BackendSpec::default() };
    with_fleet(spec(runner), async |fleet| {
        assert!(fleet.caller(0).summary(SUMMARY, "s1").await.expect("an answer").complete);
        assert_eq!(wasted(fleet).await, only("preempted", 2));
    });
}
