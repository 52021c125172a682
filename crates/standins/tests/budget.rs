//! Retries (arrivals beyond the first of each request) stay within the retry budget that all gateways share.

use std::time::Duration;

use ebonyloft_standins::fleet::backend::Fault;
use ebonyloft_standins::fleet::{Fleet, FleetSpec, ONCE_SUMMARY, SUMMARY, with_fleet};

/// Retries allowed per request.
const RETRY_RATIO: f64 = 0.2;
/// Retries allowed in addition, whatever the number of requests.
const RETRY_BASE: f64 = 54.0;
/// Time between two requests.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Sends summaries through all gateways in turn; returns how many answers were complete.
async fn send_summaries(fleet: &Fleet, count: usize) -> usize {
    let mut tasks = Vec::new();
    for n in 0..count {
        let caller = fleet.caller(n % fleet.gateways.len());
        let path = [SUMMARY, ONCE_SUMMARY][n / fleet.gateways.len() % 2];
        tasks.push(compio::runtime::spawn(async move {
            let answer = caller.summary(path, &format!("s{n}")).await.expect("an answer");
            usize::from(answer.status == 200 && answer.complete)
        }));
        compio::time::sleep(SEND_INTERVAL).await;
    }
    let mut complete = 0;
    for task in tasks {
        complete += task.await.expect("a task");
    }
    complete
}

fn retry_limit(requests: usize) -> usize {
    (RETRY_RATIO * requests as f64 + RETRY_BASE) as usize
}

/// A prompt that an engine does not accept counts as an arrival, also the first of a request.
#[test]
fn lost_prompts_stay_within_the_retry_budget() {
    let spec =
        FleetSpec { gateways: 3, prefill_engines: 24, decode_engines: 4, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.backends[..24].iter().for_each(|r| r.set_fault(Fault::Resets));
        let count = 150;
        let complete = send_summaries(fleet, count).await;
        let retries = fleet.retry_count();
        println!("{retries} retries, {complete} of {count} complete");
        assert!(retries <= retry_limit(count), "{retries} retries, {} allowed", retry_limit(count));
        assert!(complete >= count * 9 / 10, "{complete} of {count} complete");
    });
}
