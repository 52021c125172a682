//! Configuration under failure, on real sockets.

use std::time::{Duration, Instant};

use ebonyloft_standins::client::{Call, Client, Outcome};
use ebonyloft_standins::site::{
    CALLER_TOKEN, OPERATOR_TOKEN, Site, SiteSpec, admin_get, with_site,
};
use serde_json::{Value, json};

const SECOND: Duration = Duration::from_secs(1);

fn client() -> cyper::Client {
    cyper::Client::builder()
        .no_proxy()
        .build()
        .expect("plain client")
}

async fn apply(site: &Site, entry: usize, from: u64, change: &str, doc: &Value) -> (u16, Value) {
    let url = format!("http://{}/admin/config", site.admin(entry));
    let form = json!({ "from": from, "change": change, "document": doc });
    let req = client()
        .post(url)
        .expect("url")
        .bearer_auth(OPERATOR_TOKEN)
        .expect("token");
    let res = req.json(&form).expect("form").send().await.expect("answer");
    (res.status().as_u16(), res.json().await.unwrap_or_default())
}

/// A document that differs from the site's in one limit.
fn changed(site: &Site, burst: u32) -> Value {
    let mut doc = site.document();
    let bound = json!({ "rate": 100_000, "burst": burst });
    doc["limits"] = json!([{ "name": "all", "select": {}, "bound": bound }]);
    doc
}

/// Time until the revision is in force at all members, as each says itself.
async fn spread(site: &Site, entry: usize, revision: u64, limit: Duration) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() < limit {
        let rows = admin_get(&client(), site.admin(entry), "lag")
            .await
            .unwrap_or_default();
        let rows = rows.as_array().cloned().unwrap_or_default();
        if !rows.is_empty()
            && rows
                .iter()
                .all(|r| r["revision"].as_u64() >= Some(revision))
        {
            return Some(began.elapsed());
        }
        compio::time::sleep(SECOND / 20).await;
    }
    None
}

#[test]
fn a_change_with_its_answer_lost_and_a_peer_paused_is_in_force_in_seconds() {
    let relays = vec!["gate-0".to_owned()];
    with_site(
        SiteSpec {
            relays,
            ..SiteSpec::default()
        },
        async |site| {
            // The next writes are the new part and the manifest; both answers are lost.
            site.switches.lock().expect("switches").lose_answers = 2;
            site.relays["gate-0"]
                .mute_back
                .store(true, std::sync::atomic::Ordering::Relaxed);
            site.pause("write-1", 2 * SECOND);
            let (status, body) = apply(site, 0, 1, "c-1", &changed(site, 10)).await;
            site.relays["gate-0"]
                .mute_back
                .store(false, std::sync::atomic::Ordering::Relaxed);
            assert_eq!(
                (status, body["revision"].as_u64()),
                (200, Some(2)),
                "{body}"
            );
            assert!(spread(site, 1, 2, 5 * SECOND).await.is_some());
            let history = admin_get(&client(), site.admin(1), "history")
                .await
                .expect("history");
            let count = history
                .as_array()
                .expect("list")
                .iter()
                .filter(|r| r["change"] == "c-1")
                .count();
            assert_eq!(count, 1);
        },
    );
}

#[test]
fn of_two_operators_one_wins_and_the_other_is_told() {
    with_site(SiteSpec::default(), async |site| {
        let (mine, yours) = (changed(site, 10), changed(site, 20));
        let (a, b) = futures_util::join!(
            apply(site, 0, 1, "mine", &mine),
            apply(site, 1, 1, "yours", &yours)
        );
        let (won, lost) = if a.0 == 200 { (a, b) } else { (b, a) };
        assert_eq!((won.0, lost.0), (200, 409), "{won:?} {lost:?}");
        let detail = lost.1["detail"].as_str().unwrap_or_default();
        assert!(
            detail.contains("burst") || detail.contains("limits"),
            "{detail}"
        );
        let (again, body) = apply(site, 0, 1, "mine", &mine).await;
        let (other, _) = apply(site, 0, 1, "yours", &yours).await;
        // The winner's id is answered again with the revision it had; the loser's stays refused.
        assert!(
            [again, other].contains(&200) && [again, other].contains(&409),
            "{body}"
        );
    });
}

#[test]
fn bad_documents_are_refused_with_all_faults_and_change_nothing() {
    with_site(SiteSpec::default(), async |site| {
        let mut doc = site.document();
        doc["routes"][0]["target"] = json!({ "plain": { "pool": "nowhere" } });
        doc["weights"]["waste"] = json!(-1);
        let (status, body) = apply(site, 0, 1, "bad", &doc).await;
        assert_eq!(status, 422);
        let paths: Vec<&str> = body
            .as_array()
            .expect("faults")
            .iter()
            .filter_map(|f| f["path"].as_str())
            .collect();
        assert_eq!(paths, ["routes[0].target", "weights.waste"]);
        doc["colour"] = json!("black");
        let (status, body) = apply(site, 0, 1, "worse", &doc).await;
        assert_eq!(status, 422);
        assert!(
            body[0]["reason"]
                .as_str()
                .expect("reason")
                .contains("colour"),
            "{body}"
        );
        let shown = admin_get(&client(), site.admin(0), "config")
            .await
            .expect("config");
        assert_eq!(shown["revision"], 1);
    });
}

#[test]
fn an_older_value_served_again_reverts_nothing() {
    with_site(SiteSpec::default(), async |site| {
        let (status, _) = apply(site, 0, 1, "c-2", &changed(site, 10)).await;
        assert_eq!(status, 200);
        assert!(spread(site, 0, 2, 5 * SECOND).await.is_some());
        site.switches.lock().expect("switches").older = true;
        site.kill("write-0", None);
        site.restart("write-0");
        compio::time::sleep(4 * SECOND).await;
        assert!(spread(site, 1, 2, 5 * SECOND).await.is_some());
        site.switches.lock().expect("switches").older = false;
    });
}

#[test]
fn a_process_that_starts_in_an_outage_gets_the_revision_from_its_peers() {
    with_site(SiteSpec::default(), async |site| {
        let (status, _) = apply(site, 0, 1, "c-3", &changed(site, 10)).await;
        assert_eq!(status, 200);
        assert!(spread(site, 0, 2, 5 * SECOND).await.is_some());
        site.switches.lock().expect("switches").outage = true;
        site.kill("entry-1", None);
        site.restart("entry-1");
        assert!(spread(site, 1, 2, 8 * SECOND).await.is_some());
        let key = uuid::Uuid::now_v7().to_string();
        let call = Call::plain(CALLER_TOKEN, &key, "badge-check", "gate", "o");
        let sent = Client::default().send(site.entry(1), &call, |_| {}).await;
        assert!(matches!(sent, Outcome::Whole(_)), "{sent:?}");
        let (status, _) = apply(site, 0, 2, "c-4", &changed(site, 30)).await;
        assert_ne!(status, 200, "nothing is accepted without the platform");
        site.switches.lock().expect("switches").outage = false;
    });
}

#[test]
fn eighteen_thousand_accounts_are_split_and_spread() {
    with_site(SiteSpec::default(), async |site| {
        let mut doc = site.document();
        for i in 0..18_000 {
            let token = ebonyloft_core::ids::Digest::of(format!("token {i}").as_bytes());
            doc["accounts"][format!("account-{i}")] =
                json!({ "token": token, "labels": { "team": "stall" }, "bound": null });
        }
        let (status, body) = apply(site, 0, 1, "many", &doc).await;
        assert_eq!(status, 200, "{body}");
        assert!(spread(site, 1, 2, 15 * SECOND).await.is_some());
        let key = uuid::Uuid::now_v7().to_string();
        let call = Call::plain("token 17999", &key, "badge-check", "gate", "m");
        let sent = Client::default().send(site.entry(1), &call, |_| {}).await;
        assert!(matches!(sent, Outcome::Whole(_)), "{sent:?}");
    });
}

#[test]
fn an_operator_needs_the_right_for_what_is_asked() {
    with_site(SiteSpec::default(), async |site| {
        let mut doc = site.document();
        let digest = ebonyloft_core::ids::Digest::of(b"reader");
        doc["operators"]["reader"] = json!({ "token": digest, "rights": ["read"] });
        assert_eq!(apply(site, 0, 1, "r", &doc).await.0, 200);
        assert!(spread(site, 0, 2, 5 * SECOND).await.is_some());
        let ask = async |token: &str, path: &str, post: bool| {
            let url = format!("http://{}/admin/{path}", site.admin(0));
            let client = client();
            let req = if post {
                client.post(url)
            } else {
                client.get(url)
            };
            let req = req
                .expect("url")
                .bearer_auth(token)
                .expect("token")
                .body("{}");
            req.send().await.expect("answer").status().as_u16()
        };
        assert_eq!(ask("reader", "config", false).await, 200);
        assert_eq!(ask("reader", "members/gate-0/drain", true).await, 403);
        assert_eq!(ask("nobody", "config", false).await, 401);
    });
}

#[test]
fn orders_are_fenced() {
    let mut spec = SiteSpec::default();
    spec.engine.fencing = false;
    with_site(spec, async |site| {
        let order = async |member: &str| {
            let url = format!("http://{}/admin/members/{member}/orders", site.admin(0));
            let form = json!({ "action": { "set-role": { "role": "decode" } } });
            let req = client()
                .post(url)
                .expect("url")
                .bearer_auth(OPERATOR_TOKEN)
                .expect("token");
            let res = req.json(&form).expect("form").send().await.expect("answer");
            (
                res.status().as_u16(),
                res.json::<Value>().await.unwrap_or_default(),
            )
        };
        // Flags of the site do not say that the engine refuses old numbers, so the gate waits.
        let (status, body) = order("write-0").await;
        assert_eq!(status, 409, "{body}");
        assert!(body["wait"].is_object(), "{body}");
        assert_eq!(order("nobody").await.0, 404);
        let taken = || {
            site.engines["decode-0"]
                .lock()
                .expect("stats")
                .orders
                .clone()
        };
        assert!(taken().is_empty());
        // The same holder goes on with its number once nothing else can be under way.
        compio::time::sleep(6 * SECOND).await;
        let (status, body) = order("write-0").await;
        assert_eq!(status, 200, "{body}");
        assert_eq!(taken(), [1]);
    });
}
