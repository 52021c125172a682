//! Callers that send requests one after the other, and checks of the answers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::{CHECK, LOOKUP, ONCE_SUMMARY, SUMMARY, ownership};
use ebonyloftd::gateway::pool::ExchangeError;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::Cluster;

/// Most attempts to take up one stream.
const TAKE_UPS_MAX: usize = 3;
/// Time after which a caller gives up an answer; longer than the timeout of any route.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(16);

/// Pause of a caller after a refusal: gateways that start while the store is away refuse all requests at once.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

/// What the answers promised, to be compared with what the backend servers ran.
#[derive(Default)]
pub struct Expectations {
    /// Attempts that were answered as not run.
    not_run: Vec<String>,
    /// Attempts that may run at most once.
    at_most_once: Vec<String>,
    /// Complete answers to the counted requests.
    served: usize,
    /// Requests sent while a backend server could serve them.
    counted: usize,
    /// Streams that callers took up, and how many of these attempts went on.
    taken_up: (usize, usize),
    /// Refused ones of them, by the stated cause.
    refused: BTreeMap<String, usize>,
    /// Answers with status 502 to requests that may run only once, by path.
    uncertain: BTreeMap<&'static str, usize>,
}

impl Expectations {
    /// Compares all promises with the runs of the backend servers, at the end.
    pub fn check(&self, cluster: &Cluster) {
        let seed = cluster.plan.seed;
        let foreign = ownership::violations(cluster.runners.iter().map(|(r, _)| &**r));
        assert!(foreign.is_empty(), "seed {seed}: {foreign:#?}");
        for attempt in &self.not_run {
            assert_eq!(
                cluster.runs(attempt),
                0,
                "seed {seed}: {attempt} ran, but was answered as not run"
            );
        }
        for attempt in &self.at_most_once {
            assert!(cluster.runs(attempt) <= 1, "seed {seed}: {attempt} ran more than once");
        }
        assert!(self.served * 4 > self.counted, "seed {seed}: {} of {}", self.served, self.counted);
        let (drains, crashes, accounts) = (
            cluster.drains_checked.get(),
            cluster.crash_contents.get(),
            cluster.account_checks.get(),
        );
        let removals = cluster.removals_checked.get();
        let (served, counted) = (self.served, self.counted);
        let (taken_up, continued) = self.taken_up;
        let (refused, uncertain) = (&self.refused, &self.uncertain);
        let misdirected: u64 =
            cluster.runners.iter().map(|(r, _)| r.observed.borrow().misdirected_holds).sum();
        if cluster.plan.has_ending_engines() {
            println!("seed {seed}: {misdirected} reservations asked of an engine that has ended");
        }
        println!(
            "seed {seed}: {served} of {counted} served, {continued} of {taken_up} take-ups went on \
             {refused:?}; run or not is unknown {uncertain:?}; \
             checked {drains} drains, {removals} removals, {crashes} crashing requests, {accounts} keys and quotas"
        );
    }

    /// Prints the second answers by what was due when they came, and returns how many came while
    /// another answer was due.
    pub fn count_second_answers(&self, cluster: &Cluster) -> usize {
        let (mut counts, mut while_due) = (BTreeMap::<String, usize>::new(), 0);
        for delivery in cluster.duplicators.iter().flat_map(|d| d.deliveries()) {
            let name = match delivery.due {
                None => format!("{:?} while idle", delivery.kind),
                Some(due) => format!("{:?} at {due:?}", delivery.kind),
            };
            *counts.entry(name).or_default() += 1;
            while_due += usize::from(delivery.due.is_some());
        }
        let seed = cluster.plan.seed;
        if cluster.plan.has_duplicates() {
            println!("seed {seed}: second answers {counts:?}");
        }
        while_due
    }
}

/// Sends requests to one gateway until the run ends; connections are reused until they break.
pub async fn send_requests(cluster: Rc<Cluster>, n: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(cluster.plan.seed << 8 | n as u64);
    let usual = cluster.caller(n / cluster.plan.callers());
    let mut at_preferred = None;
    let mut count = 0;
    while cluster.callers_running.get() {
        count += 1;
        let attempt = format!("a{n}-{count}");
        let path = match cluster.plan.has_ending_engines() {
            true => [CHECK, SUMMARY, SUMMARY, ONCE_SUMMARY],
            false => [CHECK, LOOKUP, SUMMARY, ONCE_SUMMARY],
        }[rng.random_range(0..4)];
        if path == CHECK || path == ONCE_SUMMARY {
            cluster.expectations.borrow_mut().at_most_once.push(attempt.clone());
        }
        let servable = cluster.is_servable(path);
        // Some callers lose their connection in the middle of a stream, and take it up.
        let breaks_off = cluster.plan.has_versions() && path == SUMMARY && rng.random_bool(0.6);
        let read_max = if breaks_off { rng.random_range(1..10) } else { usize::MAX };
        let preferred = cluster.draw_preferred(&mut rng);
        if let Some(gateway) = preferred
            && !matches!(&at_preferred, Some((known, _)) if *known == gateway)
        {
            at_preferred = Some((gateway, cluster.caller(gateway)));
        }
        let caller = match &at_preferred {
            Some((_, caller)) if preferred.is_some() => caller,
            _ => &usual,
        };
        let request = async {
            match path {
                CHECK | LOOKUP => caller.call(path, &attempt).await,
                _ => {
                    let request =
                        caller.sized_request(path, &attempt, cluster.summary_tokens.get());
                    caller.send_until(request, read_max).await
                }
            }
        };
        // One in ten callers disconnects early.
        let timeout =
            if rng.random_range(0..10) == 0 { Duration::from_millis(90) } else { ANSWER_TIMEOUT };
        match compio::time::timeout(timeout, request).await {
            Ok(Ok(answer)) => {
                let is_too_early = cluster.plan.has_moves() && is_from_new_process(&answer);
                let is_counted = servable && cluster.is_servable(path) && !is_too_early;
                cluster.expectations.borrow_mut().counted += usize::from(is_counted);
                check_answer(&cluster, path, &attempt, &answer, is_counted);
                if cluster.plan.has_ending_engines() && answer.status == 503 {
                    compio::time::sleep(REFUSAL_PAUSE).await;
                }
                let breaks_off = answer.status == 200 && !answer.complete;
                if cluster.plan.has_versions() && path == SUMMARY && breaks_off {
                    take_up(&cluster, &mut rng, &attempt, answer).await;
                }
            }
            // The process was down, so that the connection failed; not counted.
            Ok(Err(ExchangeError::Unsent)) => {}
            Ok(Err(ExchangeError::Lost | ExchangeError::Mismatched)) | Err(_) => {
                let is_counted = servable && cluster.is_servable(path);
                cluster.expectations.borrow_mut().counted += usize::from(is_counted);
            }
        }
        compio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Is it the refusal of a process that has just started and can't know the configuration yet?
fn is_from_new_process(answer: &Answer) -> bool {
    answer.status == 503 && String::from_utf8_lossy(&answer.body).contains("\"not-ready\"")
}

/// Takes up a stream that broke off, at gateways drawn at random, and checks that all its events come
/// from one version, each of them once.
async fn take_up(cluster: &Cluster, rng: &mut ChaCha8Rng, attempt: &str, begun: Answer) {
    let seed = cluster.plan.seed;
    let (mut versions, mut events) = (begun.versions(), begun.events());
    for n in 0..TAKE_UPS_MAX {
        let Some(last) = events.last().copied() else {
            return;
        };
        compio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
        let caller = cluster.caller(rng.random_range(0..cluster.gateways.len()));
        let again = format!("{attempt}-{n}");
        let request = caller.take_up_request(&again, &[attempt], last);
        let Ok(Ok(answer)) = compio::time::timeout(ANSWER_TIMEOUT, caller.send(request)).await
        else {
            continue;
        };
        let mut expectations = cluster.expectations.borrow_mut();
        expectations.taken_up.0 += 1;
        if answer.status == 503 {
            expectations.not_run.push(again);
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            *expectations.refused.entry(body).or_default() += 1;
            continue;
        }
        expectations.taken_up.1 += usize::from(!answer.events().is_empty());
        versions.extend(answer.versions());
        events.extend(answer.events());
        assert!(versions.len() <= 1, "seed {seed}: {attempt} holds events of {versions:?}");
        check_owner(cluster, &again, &answer);
        let expected: Vec<u64> = (1..=events.len() as u64).collect();
        assert_eq!(events, expected, "seed {seed}: {attempt} has a gap");
        if answer.complete && answer.status == 200 {
            return;
        }
    }
}

/// Checks that an answer, or the part of it that arrived, belongs to the attempt.
fn check_owner(cluster: &Cluster, attempt: &str, answer: &Answer) {
    let seed = cluster.plan.seed;
    let body = String::from_utf8_lossy(&answer.body);
    let is_signed = answer.header("server-stamp").is_some();
    if answer.status == 200 || is_signed {
        assert_eq!(answer.header("attempt-id"), Some(attempt), "seed {seed}: {attempt} got {body}");
    }
    if answer.status != 200 {
        return;
    }
    let own_event = format!("data: {attempt} tokens ");
    let is_own = match body.starts_with('{') {
        true => call_body(attempt).starts_with(&*body),
        false => {
            let data = body.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
            data.filter_map(|event| event.lines().find(|line| line.starts_with("data")))
                .all(|data| data.starts_with(&own_event))
        }
    };
    assert!(is_own, "seed {seed}: {attempt} got {body}");
}

/// Body of the answer to a short call.
fn call_body(attempt: &str) -> String {
    format!("{{\"valid\":true,\"attempt\":\"{attempt}\"}}")
}

fn check_answer(
    cluster: &Cluster,
    path: &'static str,
    attempt: &str,
    answer: &Answer,
    is_counted: bool,
) {
    let seed = cluster.plan.seed;
    check_owner(cluster, attempt, answer);
    match answer.status {
        200 if answer.complete => {
            assert!(
                answer.header("server-stamp").is_some(),
                "seed {seed}: {attempt} has no server-stamp"
            );
            let body = String::from_utf8_lossy(&answer.body);
            if path == CHECK || path == LOOKUP {
                assert_eq!(body, call_body(attempt), "seed {seed}: {attempt}");
            }
            assert!(cluster.runs(attempt) > 0, "seed {seed}: {attempt} never ran");
            if path == SUMMARY || path == ONCE_SUMMARY {
                let versions = answer.versions();
                assert_eq!(
                    versions.len(),
                    1,
                    "seed {seed}: {attempt} holds events of {versions:?}"
                );
                let all: Vec<u64> = (1..=20).collect();
                assert_eq!(answer.events(), all, "seed {seed}: {attempt} misses events");
            }
            cluster.expectations.borrow_mut().served += usize::from(is_counted);
        }
        200 => {
            let versions = answer.versions();
            assert!(versions.len() <= 1, "seed {seed}: {attempt} holds events of {versions:?}");
            let events = answer.events();
            let expected: Vec<u64> = (1..=events.len() as u64).collect();
            assert_eq!(events, expected, "seed {seed}: {attempt} has a gap");
        }
        429 | 503 | 408 | 421 => {
            assert_eq!(
                cluster.runs(attempt),
                0,
                "seed {seed}: {attempt} ran, but was answered as not run"
            );
            cluster.expectations.borrow_mut().not_run.push(attempt.to_owned());
        }
        500 => {
            assert!(answer.header("server-stamp").is_some(), "seed {seed}: a 500 from the gateway")
        }
        502 => {
            assert!(
                answer.header("server-stamp").is_none(),
                "seed {seed}: a 502 with a server-stamp"
            );
            if path == CHECK || path == ONCE_SUMMARY {
                *cluster.expectations.borrow_mut().uncertain.entry(path).or_default() += 1;
            }
        }
        // A backend server itself answers 504 once the deadline of a request has passed.
        504 => {}
        other => panic!("seed {seed}: {attempt} got {other}"),
    }
}
