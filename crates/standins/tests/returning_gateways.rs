//! Handles of prompts at gateways that have just started, next to engines that end and return and answer twice.

use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use ebonyloft_platform::simulation::CallKind;
use ebonyloft_standins::fleet::backend::BackendServer;
use ebonyloft_standins::fleet::duplicates::{Duplicate, Moment};
use ebonyloft_standins::fleet::{Fleet, FleetSpec, SUMMARY, ownership, with_fleet};

/// Within the time for which handles are kept, and beyond it.
const DOWNTIMES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(800)];
/// Time from the first requests to the loss of all gateways.
const UNTIL_LOSS: Duration = Duration::from_millis(600);
/// Time from the return of one engine to the end of the next.
const UNTIL_END: Duration = Duration::from_millis(300);
/// Callers of each gateway.
const CALLERS: usize = 3;
/// Summaries that each caller sends, one after the other.
const SUMMARIES: usize = 6;

fn spec() -> FleetSpec {
    FleetSpec {
        prefill_engines: 1,
        decode_engines: 2,
        plain_servers: 0,
        threads: true,
        duplicators: true,
        ..FleetSpec::default()
    }
}

/// Callers that send summaries through all gateways, several at a time, over connections that stay open.
fn start_callers(fleet: &Fleet, name: &str) -> Vec<JoinHandle<()>> {
    let start = |n: usize| {
        let (caller, name) = (fleet.caller(n % fleet.gateways.len()), format!("{name}{n}"));
        compio::runtime::spawn(async move {
            for k in 0..SUMMARIES {
                // An attempt that meets a second answer, or the end of a server, may be lost.
                let _ = caller.summary(SUMMARY, &format!("{name}-{k}")).await;
            }
        })
    };
    (0..fleet.gateways.len() * CALLERS).map(start).collect()
}

async fn join(callers: Vec<JoinHandle<()>>) {
    for caller in callers {
        caller.await.expect("a caller's task");
    }
}

/// Kills all gateways while prompts are kept for them, and starts them again.
async fn lose_power(fleet: &mut Fleet) {
    let callers = start_callers(fleet, "before");
    compio::time::sleep(UNTIL_LOSS).await;
    let all: Vec<usize> = (0..fleet.gateways.len()).collect();
    all.iter().for_each(|gateway| fleet.kill(*gateway));
    join(callers).await;
    fleet.restart_gateways(&all).await;
}

/// Sends summaries while these engines end and return.
async fn send_beside_ends(fleet: &Fleet, engines: &[Rc<BackendServer>]) {
    let ends = async {
        for (engine, downtime) in engines.iter().zip(DOWNTIMES.iter().cycle()) {
            compio::time::sleep(UNTIL_END).await;
            engine.end_for(*downtime).await;
        }
    };
    let callers = start_callers(fleet, "after");
    futures_util::join!(ends, join(callers));
}

/// Second answers so far that came where the answer to a prefill was due.
fn count_due(fleet: &Fleet) -> usize {
    let deliveries = fleet.duplicators.iter().flat_map(|duplicator| duplicator.deliveries());
    deliveries.filter(|delivery| delivery.due == Some(CallKind::Prefill)).count()
}

fn violations(fleet: &Fleet) -> Vec<String> {
    ownership::violations(fleet.backends.iter().map(|backend| &**backend))
}

fn assert_own_prompts(moment: Moment, with_id: bool) {
    with_fleet(spec(), async |fleet| {
        let rule = Duplicate { kind: CallKind::Prefill, moment, with_id };
        fleet.duplicators.iter().for_each(|duplicator| duplicator.set(&[rule]));
        lose_power(fleet).await;
        let before = count_due(fleet);
        send_beside_ends(fleet, &fleet.backends[1..]).await;
        assert!(count_due(fleet) > before, "no second answer came where one was due");
        assert_eq!(violations(fleet), [""; 0]);
    });
}

/// Guards against a stream that goes on from another request's prompt after all gateways were lost and came back.
#[test]
fn a_second_answer_to_a_prefill_hands_out_no_handle_at_gateways_that_came_back() {
    assert_own_prompts(Moment::BeforeNext, true);
}

/// Guards against the same where the second answer names no request.
#[test]
fn a_second_answer_without_an_id_hands_out_no_handle_at_gateways_that_came_back() {
    assert_own_prompts(Moment::BeforeNext, false);
}

/// Guards against the same where the next answer never comes.
#[test]
fn a_second_answer_instead_of_the_next_hands_out_no_handle_at_gateways_that_came_back() {
    assert_own_prompts(Moment::InsteadOfNext, true);
}
