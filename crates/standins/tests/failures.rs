//! The failures that users name, brought about on real sockets.

use std::time::{Duration, Instant};

use ebonyloft_standins::client::{Call, Client, Outcome, Whole};
use ebonyloft_standins::site::{CALLER_TOKEN, Site, SiteSpec, eventually, with_site};
use ebonyloft_standins::tokens;
use uuid::Uuid;

const SECOND: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(30);
const TOKENS: u32 = 120;

fn key() -> String {
    Uuid::now_v7().to_string()
}

fn prompt() -> String {
    "an application file with many pages ".repeat(60)
}

fn summary() -> Call {
    Call::completion(CALLER_TOKEN, &key(), "summary", &prompt(), TOKENS)
}

fn check(subject: &str) -> Call {
    Call::plain(CALLER_TOKEN, &key(), "badge-check", "gate", subject)
}

/// Sends a summary and does something to the site while it is written.
async fn summary_through(site: &mut Site, act: impl AsyncFnOnce(&mut Site)) -> Whole {
    let entries = site.entries();
    let task = compio::runtime::spawn(async move {
        let until = Instant::now() + PATIENCE;
        Client::default()
            .send_through(&entries, &summary(), until)
            .await
    });
    assert!(eventually(10 * SECOND, || site.writing().is_some()).await);
    compio::time::sleep(SECOND / 2).await;
    act(site).await;
    let outcome = task.await.expect("the caller's task");
    let Outcome::Whole(whole) = outcome else {
        panic!("no whole answer: {outcome:?}")
    };
    assert_eq!(tokens::check(&prompt(), &whole.text, TOKENS), Ok(()));
    whole
}

async fn send_once(site: &Site, entry: usize, call: &Call) -> Outcome {
    let sent = Client::default()
        .send(site.entry(entry), call, |_| {})
        .await;
    if let Outcome::Refused(p) = &sent {
        assert_ne!(p.verdict, "", "a refusal has a verdict: {p:?}");
    }
    sent
}

fn verdict(outcome: &Outcome) -> &str {
    match outcome {
        Outcome::Refused(p) => &p.verdict,
        Outcome::Whole(_) => "whole",
        Outcome::Broken { .. } => "broken",
    }
}

#[test]
fn a_summary_survives_the_death_of_its_entry() {
    with_site(SiteSpec::default(), async |site| {
        summary_through(site, async |site| site.kill("entry-0", Some(SECOND))).await;
        assert!(eventually(8 * SECOND, || site.held() == 0).await);
    });
}

#[test]
fn a_summary_survives_the_death_of_its_sidecar() {
    with_site(SiteSpec::default(), async |site| {
        summary_through(site, async |site| {
            let i = site.writing().expect("a writer");
            site.kill(&format!("write-{i}"), Some(SECOND));
        })
        .await;
    });
}

#[test]
fn a_summary_survives_the_death_of_its_engine() {
    with_site(SiteSpec::default(), async |site| {
        summary_through(site, async |site| {
            let i = site.writing().expect("a writer");
            site.kill(&format!("decode-{i}"), None);
        })
        .await;
    });
}

#[test]
fn a_summary_goes_on_when_its_links_go_silent() {
    let relays = vec!["write-0".to_owned(), "write-1".to_owned()];
    with_site(
        SiteSpec {
            relays,
            ..SiteSpec::default()
        },
        async |site| {
            summary_through(site, async |site| {
                use std::sync::atomic::Ordering::Relaxed;
                for relay in site.relays.values() {
                    relay.mute_forward.store(true, Relaxed);
                    relay.mute_back.store(true, Relaxed);
                }
                compio::time::sleep(SECOND / 2).await;
                for relay in site.relays.values() {
                    relay.mute_forward.store(false, Relaxed);
                    relay.mute_back.store(false, Relaxed);
                }
            })
            .await;
        },
    );
}

#[test]
fn a_summary_goes_on_when_its_links_go_silent_one_way() {
    let relays = vec!["write-0".to_owned(), "write-1".to_owned()];
    with_site(
        SiteSpec {
            relays,
            ..SiteSpec::default()
        },
        async |site| {
            summary_through(site, async |site| {
                use std::sync::atomic::Ordering::Relaxed;
                for relay in site.relays.values() {
                    relay.mute_back.store(true, Relaxed);
                }
                compio::time::sleep(SECOND / 2).await;
                for relay in site.relays.values() {
                    relay.mute_back.store(false, Relaxed);
                }
            })
            .await;
        },
    );
}

#[test]
fn a_paused_entry_holds_no_memory_and_its_callers_get_whole_answers() {
    with_site(SiteSpec::default(), async |site| {
        summary_through(site, async |site| {
            site.pause("entry-0", 9 * SECOND);
            site.pause("entry-1", 9 * SECOND);
            compio::time::sleep(8 * SECOND).await;
            assert_eq!(site.held(), 0, "the lease and the window have passed");
        })
        .await;
    });
}

#[test]
fn a_paused_sidecar_wakes_and_its_callers_get_whole_answers() {
    with_site(SiteSpec::default(), async |site| {
        summary_through(site, async |site| {
            let i = site.writing().expect("a writer");
            site.pause(&format!("write-{i}"), 5 * SECOND);
        })
        .await;
        assert!(eventually(8 * SECOND, || site.held() == 0).await);
    });
}

#[test]
fn a_restarted_sidecar_sweeps_its_engine() {
    with_site(
        SiteSpec {
            entries: 1,
            decode: 1,
            ..SiteSpec::default()
        },
        async |site| {
            let call = Call::completion(CALLER_TOKEN, &key(), "summary", &prompt(), 2_000);
            let call = call.with("ebonyloft-timeout-ms", "120000");
            let entry = site.entry(0);
            let task = compio::runtime::spawn(async move {
                Client::default().send(entry, &call, |_| {}).await
            });
            assert!(eventually(10 * SECOND, || site.held() == 1).await);
            site.kill("entry-0", None);
            site.kill("write-0", None);
            site.restart("write-0");
            assert!(eventually(2 * SECOND, || site.held() == 0).await);
            drop(task);
        },
    );
}

#[test]
fn an_outage_of_the_platform_stops_no_request() {
    with_site(SiteSpec::default(), async |site| {
        site.switches.lock().expect("switches").outage = true;
        let until = Instant::now() + 15 * SECOND;
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let call = check(&format!("o{number}"));
            assert_eq!(verdict(&send_once(site, number % 2, &call).await), "whole");
            compio::time::sleep(SECOND / 5).await;
        }
        site.switches.lock().expect("switches").outage = false;
    });
}

#[test]
fn a_call_whose_executor_dies_may_have_run_and_never_runs_again() {
    let spec = SiteSpec {
        plain: 2,
        call: 3 * SECOND,
        ..SiteSpec::default()
    };
    with_site(spec, async |site| {
        let call = check("x").with("ebonyloft-timeout-ms", "20000");
        let (entry, sent) = (site.entry(0), call.clone());
        let task =
            compio::runtime::spawn(
                async move { Client::default().send(entry, &sent, |_| {}).await },
            );
        assert!(eventually(5 * SECOND, || site.runs_of("x") == 1).await);
        site.kill("gate-0", Some(SECOND));
        site.kill("gate-1", Some(SECOND));
        let first = task.await.expect("the caller's task");
        site.restart("gate-0");
        site.restart("gate-1");
        compio::time::sleep(2 * SECOND).await;
        let again = send_once(site, 1, &call).await;
        assert_eq!(
            (verdict(&first), verdict(&again)),
            ("may-have-run", "may-have-run")
        );
        assert_eq!(site.runs_of("x"), 1);
    });
}

#[test]
fn a_call_whose_home_dies_runs_at_most_once() {
    let spec = SiteSpec {
        decode: 3,
        ..SiteSpec::default()
    };
    with_site(spec, async |site| {
        let calls: Vec<Call> = (0..40).map(|i| check(&format!("h{i}"))).collect();
        for call in &calls {
            assert_eq!(verdict(&send_once(site, 0, call).await), "whole");
        }
        site.kill("write-0", Some(SECOND));
        site.kill("write-1", Some(SECOND));
        compio::time::sleep(6 * SECOND).await;
        let mut lost = 0;
        for call in &calls {
            match verdict(&send_once(site, 1, call).await) {
                "whole" => {}
                "may-have-run" => lost += 1,
                other => panic!("{other}"),
            }
        }
        assert!(lost > 0, "two of five homes died");
        for i in 0..40 {
            assert_eq!(site.runs_of(&format!("h{i}")), 1);
        }
        // Keys issued after the takeover are served as before.
        compio::time::sleep(3 * SECOND).await;
        for i in 0..10 {
            let fresh = check(&format!("f{i}"));
            assert_eq!(verdict(&send_once(site, i % 2, &fresh).await), "whole");
        }
    });
}

#[test]
fn a_leaving_home_hands_its_records_over() {
    let spec = SiteSpec {
        decode: 3,
        ..SiteSpec::default()
    };
    with_site(spec, async |site| {
        let calls: Vec<Call> = (0..40).map(|i| check(&format!("l{i}"))).collect();
        for call in &calls {
            assert_eq!(verdict(&send_once(site, 0, call).await), "whole");
        }
        site.terminate("write-0");
        site.terminate("write-1");
        assert!(
            eventually(20 * SECOND, || site.ended("write-0")
                && site.ended("write-1"))
            .await
        );
        compio::time::sleep(SECOND).await;
        for call in &calls {
            assert_eq!(verdict(&send_once(site, 1, call).await), "whole");
        }
        for i in 0..40 {
            assert_eq!(site.runs_of(&format!("l{i}")), 1);
        }
    });
}

#[test]
fn a_graceful_stop_of_a_sidecar_cuts_off_nothing() {
    with_site(SiteSpec::default(), async |site| {
        summary_through(site, async |site| {
            let i = site.writing().expect("a writer");
            site.terminate(&format!("write-{i}"));
        })
        .await;
    });
}

#[test]
fn a_graceful_stop_of_an_entry_cuts_off_nothing() {
    with_site(SiteSpec::default(), async |site| {
        let entry = site.entry(0);
        let task = compio::runtime::spawn(async move {
            Client::default().send(entry, &summary(), |_| {}).await
        });
        assert!(eventually(10 * SECOND, || site.writing().is_some()).await);
        site.terminate("entry-0");
        let outcome = task.await.expect("the caller's task");
        assert_eq!(verdict(&outcome), "whole");
        assert!(eventually(8 * SECOND, || site.ended("entry-0")).await);
    });
}

#[test]
fn a_sidecar_leaves_gracefully_while_an_entry_dies() {
    with_site(SiteSpec::default(), async |site| {
        summary_through(site, async |site| {
            let i = site.writing().expect("a writer");
            site.terminate(&format!("write-{i}"));
            site.kill("entry-0", Some(SECOND));
        })
        .await;
        assert!(eventually(8 * SECOND, || site.held() == 0).await);
    });
}

#[test]
fn a_silent_link_and_an_outage_together_cut_off_nothing() {
    let relays = vec!["write-0".to_owned(), "write-1".to_owned()];
    with_site(
        SiteSpec {
            relays,
            ..SiteSpec::default()
        },
        async |site| {
            summary_through(site, async |site| {
                use std::sync::atomic::Ordering::Relaxed;
                site.switches.lock().expect("switches").outage = true;
                for relay in site.relays.values() {
                    relay.mute_forward.store(true, Relaxed);
                }
                compio::time::sleep(SECOND / 2).await;
                for relay in site.relays.values() {
                    relay.mute_forward.store(false, Relaxed);
                }
            })
            .await;
        },
    );
}

#[test]
fn a_leaving_sidecar_gets_no_new_work() {
    let spec = SiteSpec {
        plain: 2,
        ..SiteSpec::default()
    };
    with_site(spec, async |site| {
        site.terminate("gate-0");
        compio::time::sleep(2 * SECOND).await;
        for i in 0..20 {
            let call = check(&format!("n{i}"));
            assert_eq!(verdict(&send_once(site, i % 2, &call).await), "whole");
        }
    });
}
