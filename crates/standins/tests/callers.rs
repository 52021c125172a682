//! What callers see, on real sockets.

use std::time::Duration;

use ebonyloft_standins::client::{Call, Client, Outcome, Problem, Whole};
use ebonyloft_standins::site::{CALLER_TOKEN, Site, SiteSpec, eventually, with_site};
use ebonyloft_standins::tokens;
use uuid::Uuid;

const SECOND: Duration = Duration::from_secs(1);

fn key() -> String {
    Uuid::now_v7().to_string()
}

async fn send(site: &Site, entry: usize, call: &Call) -> Outcome {
    Client::default()
        .send(site.entry(entry), call, |_| {})
        .await
}

fn whole(outcome: Outcome) -> Whole {
    match outcome {
        Outcome::Whole(whole) => whole,
        other => panic!("no whole answer: {other:?}"),
    }
}

fn refused(outcome: Outcome) -> Problem {
    match outcome {
        Outcome::Refused(problem) => problem,
        other => panic!("not refused: {other:?}"),
    }
}

fn summary(key: &str, prompt: &str, tokens: u32) -> Call {
    Call::completion(CALLER_TOKEN, key, "summary", prompt, tokens)
}

#[test]
fn a_key_sent_through_two_entries_at_once_runs_once() {
    with_site(SiteSpec::default(), async |site| {
        for i in 0..20 {
            let subject = format!("badge {i}");
            let call = Call::plain(CALLER_TOKEN, &key(), "badge-check", "gate", &subject);
            let (a, b) = futures_util::join!(send(site, 0, &call), send(site, 1, &call));
            assert_eq!(whole(a).text, whole(b).text);
            assert_eq!(site.runs_of(&subject), 1);
        }
    });
}

#[test]
fn a_repeat_of_a_summary_gets_the_same_answer() {
    with_site(SiteSpec::default(), async |site| {
        let prompt = "needs of attendees ".repeat(100);
        let call = summary(&key(), &prompt, 20);
        let first = whole(send(site, 0, &call).await);
        let again = whole(send(site, 1, &call).await);
        assert_eq!(first.text, again.text);
        assert_eq!(tokens::check(&prompt, &first.text, 20), Ok(()));
    });
}

#[test]
fn bad_requests_name_the_field_and_run_nothing() {
    with_site(SiteSpec::default(), async |site| {
        let good = Call::plain(CALLER_TOKEN, &key(), "badge-check", "gate", "s");
        let future = "0fffffff-ffff-7000-8000-000000000000";
        let cases = [
            (
                Call {
                    token: "wrong".into(),
                    ..good.clone()
                },
                401,
                "authorization",
            ),
            (summary(&key(), "", 5), 400, "prompt"),
            (summary(&key(), "p", 0), 400, "max_tokens"),
            (
                Call {
                    body: "{".into(),
                    ..summary(&key(), "p", 5)
                },
                400,
                "body",
            ),
            (
                Call {
                    body: "x".repeat(2 << 20),
                    ..good.clone()
                },
                413,
                "body",
            ),
            (
                Call::plain(CALLER_TOKEN, "k 1", "badge-check", "gate", "s"),
                400,
                "idempotency-key",
            ),
            (
                Call::plain(CALLER_TOKEN, "order-7", "badge-check", "gate", "s"),
                400,
                "idempotency-key",
            ),
            (
                Call::plain(CALLER_TOKEN, future, "badge-check", "gate", "s"),
                400,
                "future",
            ),
            (
                good.clone().with("ebonyloft-timeout-ms", "soon"),
                400,
                "ebonyloft-timeout-ms",
            ),
            (
                good.clone().with("last-event-id", "x-y"),
                400,
                "last-event-id",
            ),
            (
                Call {
                    path: "/v2/nothing".into(),
                    ..good.clone()
                },
                404,
                "/v2/nothing",
            ),
            (
                Call::plain(CALLER_TOKEN, &key(), "summary", "gate", "s"),
                400,
                "service",
            ),
        ];
        for (call, status, word) in cases {
            let problem = refused(send(site, 0, &call).await);
            assert_eq!(problem.status, status, "{problem:?}");
            assert!(problem.detail.contains(word), "{problem:?}");
        }
        assert_eq!(site.runs_of("s"), 0);
    });
}

#[test]
fn a_key_with_another_body_is_refused() {
    with_site(SiteSpec::default(), async |site| {
        let key = key();
        whole(
            send(
                site,
                0,
                &Call::plain(CALLER_TOKEN, &key, "renewal", "gate", "a"),
            )
            .await,
        );
        let other = Call::plain(CALLER_TOKEN, &key, "renewal", "gate", "b");
        let problem = refused(send(site, 1, &other).await);
        assert_eq!(
            (problem.status, problem.reason.as_str()),
            (409, "key-reused")
        );
        assert_eq!(site.runs_of("b"), 0);
    });
}

#[test]
fn a_caller_joins_its_run_by_key_and_offset() {
    with_site(SiteSpec::default(), async |site| {
        let (key, prompt) = (key(), "file ".repeat(300));
        let call = summary(&key, &prompt, 60);
        let sent = send(site, 0, &call);
        let cut = compio::time::timeout(Duration::from_millis(700), sent).await;
        assert!(cut.is_err(), "the answer takes longer");
        let get = Call {
            method: "GET",
            path: format!("/v1/answers/{key}"),
            body: String::new(),
            ..call
        };
        let rest = Call {
            path: format!("{}?offset=4", get.path),
            ..get.clone()
        };
        let (all, rest) = futures_util::join!(send(site, 1, &get), send(site, 1, &rest));
        let (all, rest) = (whole(all), whole(rest));
        assert_eq!(tokens::check(&prompt, &all.text, 60), Ok(()));
        assert_eq!(all.text[4..], rest.text);
        let wrong = get.with("last-event-id", "4-00000000000000aa");
        let problem = refused(send(site, 0, &wrong).await);
        assert_eq!(problem.reason, "answer-changed");
    });
}

#[test]
fn an_unknown_key_is_not_found() {
    with_site(SiteSpec::default(), async |site| {
        let path = format!("/v1/answers/{}", key());
        let get = Call {
            method: "GET",
            path,
            ..summary("k", "p", 1)
        };
        assert_eq!(refused(send(site, 0, &get).await).reason, "no-record");
    });
}

#[test]
fn delete_stops_a_run_and_frees_its_memory() {
    with_site(SiteSpec::default(), async |site| {
        let (key, prompt) = (key(), "file ".repeat(300));
        let call = summary(&key, &prompt, 500);
        let delete = Call {
            method: "DELETE",
            path: format!("/v1/answers/{key}"),
            ..call.clone()
        };
        let (outcome, stopped) = futures_util::join!(send(site, 0, &call), async {
            assert!(eventually(5 * SECOND, || site.held() == 1).await);
            compio::time::sleep(SECOND / 5).await;
            send(site, 1, &delete).await
        });
        assert_eq!(refused(stopped).reason, "cancelled");
        assert_eq!(refused(outcome).reason, "cancelled");
        assert!(eventually(SECOND, || site.held() == 0).await);
    });
}

#[test]
fn hanging_up_frees_engine_memory() {
    with_site(SiteSpec::default(), async |site| {
        for (kind, limit) in [("queue-slot", SECOND), ("summary", 5 * SECOND)] {
            let call = Call::completion(CALLER_TOKEN, &key(), kind, &"text ".repeat(80), 900);
            let call = call.with("ebonyloft-timeout-ms", "60000");
            let sent = compio::time::timeout(SECOND, send(site, 0, &call)).await;
            assert!(sent.is_err());
            assert!(
                eventually(limit, || site.held() == 0).await,
                "{kind}: {}",
                site.held()
            );
        }
    });
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once_and_runs_nothing() {
    with_site(SiteSpec::default(), async |site| {
        let call = summary(&key(), &"text ".repeat(900), 400).with("ebonyloft-timeout-ms", "300");
        let call = call.with("ebonyloft-first", "true");
        let began = std::time::Instant::now();
        let problem = refused(send(site, 0, &call).await);
        assert_eq!(problem.verdict, "not-run");
        assert!(problem.retry_after.is_some());
        assert!(began.elapsed() < SECOND);
        assert_eq!(site.held(), 0);
    });
}
