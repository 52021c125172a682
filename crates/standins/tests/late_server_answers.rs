//! Backend servers beside sidecars that answer twice: a late second answer changes nothing at the exchange
//! that finds it.

use std::time::Duration;

use ebonyloft_platform::simulation::CallKind;
use ebonyloft_standins::client::{Call, Client, Outcome};
use ebonyloft_standins::fleet::duplicates::{Duplicate, Moment};
use ebonyloft_standins::site::{CALLER_TOKEN, Site, SiteSpec, with_site};
use ebonyloft_standins::{eventually, new_key, tokens};

const SECOND: Duration = Duration::from_secs(1);
const REQUESTS: usize = 6;
const OUTPUT_TOKENS: u32 = 12;

/// All backend servers send each answer twice.
fn spec(moment: Moment) -> SiteSpec {
    let duplicate = Duplicate { kind: CallKind::Other, moment, with_id: true };
    SiteSpec { entries: 1, decode: 1, duplicates: vec![duplicate], ..SiteSpec::default() }
}

async fn send(site: &Site, call: &Call) -> Outcome {
    Client::default().send(site.entry_addr(0), call, |_| {}).await
}

/// Sends checks one after the other; each answer must be the check's own.
async fn send_checks(site: &Site) {
    for n in 0..REQUESTS {
        let subject = format!("badge {n}");
        let call = Call::plain(CALLER_TOKEN, &new_key(), "badge-check", "gate", &subject);
        let outcome = send(site, &call).await;
        let Outcome::Whole(answer) = outcome else { panic!("{subject}: {outcome:?}") };
        assert!(answer.text.contains(&format!("\"{subject}\"")), "{subject} got {}", answer.text);
        assert_eq!(site.run_count(&subject), 1);
    }
}

/// Sends summaries one after the other, with prefills of their own; each answer must be the summary's.
async fn send_summaries(site: &Site) {
    for n in 0..REQUESTS {
        let prompt = format!("application file {n} with many pages ").repeat(60);
        let call = Call::completion(CALLER_TOKEN, &new_key(), "summary", &prompt, OUTPUT_TOKENS);
        let outcome = send(site, &call).await;
        let Outcome::Whole(answer) = outcome else { panic!("summary {n}: {outcome:?}") };
        assert_eq!(tokens::check(&prompt, &answer.text, OUTPUT_TOKENS), Ok(()));
    }
}

fn deliveries(site: &Site) -> usize {
    site.deliveries.lock().expect("deliveries lock").len()
}

/// Guards against a call that gets the answer to another one.
#[test]
fn a_second_answer_to_a_call_is_not_read_as_the_answer_to_the_next() {
    for moment in [Moment::BeforeNext, Moment::InsteadOfNext] {
        with_site(spec(moment), async |site| send_checks(site).await);
    }
}

/// Guards against a completion that gets the text of another one, and a prefill that gets its handle.
#[test]
fn a_second_answer_to_a_completion_is_not_read_as_the_answer_to_the_next() {
    for moment in [Moment::BeforeNext, Moment::InsteadOfNext] {
        with_site(spec(moment), async |site| send_summaries(site).await);
    }
}

/// Guards against a site whose backend servers send no answer twice.
#[test]
fn a_second_answer_that_comes_at_once_is_read_by_nobody() {
    with_site(spec(Moment::SameWrite), async |site| {
        send_checks(site).await;
        send_summaries(site).await;
        assert!(eventually(SECOND, || deliveries(site) >= 2 * REQUESTS).await);
    });
}
