//! Client accounts over real sockets: keys, revocation, quotas.

use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloft_platform::simulation::AccountSpec;
use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::store::Fault;
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, LOOKUP, OPEN_PREFIX, SUMMARY, with_fleet,
};
use hyper::Request;
use hyper::header::HeaderValue;

/// Time after which a revoked key must run nothing.
const REVOKE_BOUND: Duration = Duration::from_millis(3_000);
const SECOND: Duration = Duration::from_secs(1);

fn account(name: &str, keys: &[&str], quota: Option<(u64, u64)>) -> AccountSpec {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    AccountSpec { name: name.to_owned(), keys, quota, plain: 200, ..AccountSpec::default() }
}

fn spec(gateways: usize, accounts: Vec<AccountSpec>) -> FleetSpec {
    let (accounts, revoke) = (Some(accounts), Some(REVOKE_BOUND));
    FleetSpec { gateways, accounts, revoke_bound: revoke, ..FleetSpec::default() }
}

fn two_accounts(gateways: usize) -> FleetSpec {
    spec(gateways, vec![account("one", &["k1", "k2"], None), account("two", &["k3"], None)])
}

fn status(answer: &Answer) -> u16 {
    answer.status
}

async fn call(fleet: &Fleet, gateway: usize, key: &str, attempt: &str) -> u16 {
    let caller = fleet.caller(gateway).with_key(key);
    status(&caller.call(CHECK, attempt).await.expect("an answer"))
}

/// Account headers that backend servers received for an attempt.
fn accounts_seen(fleet: &Fleet, attempt: &str) -> Vec<String> {
    let mut seen =
        fleet.backends.iter().filter_map(|r| r.observed.borrow().accounts.get(attempt).cloned());
    seen.next_back().unwrap_or_default()
}

/// Requests in which a backend server saw a key.
fn leaked_keys(fleet: &Fleet) -> u64 {
    fleet.backends.iter().map(|r| r.observed.borrow().key_leaks).sum()
}

#[test]
fn a_backend_server_receives_the_account_and_never_the_key() {
    with_fleet(two_accounts(1), async |fleet| {
        let caller = fleet.caller(0).with_key("k1");
        assert_eq!(status(&caller.call(CHECK, "c1").await.expect("an answer")), 200);
        assert_eq!(status(&caller.summary(SUMMARY, "s1").await.expect("an answer")), 200);
        assert_eq!(call(fleet, 0, "k3", "c2").await, 200);
        assert_eq!(accounts_seen(fleet, "c1"), ["one"]);
        assert_eq!(accounts_seen(fleet, "s1"), ["one"]);
        assert_eq!(accounts_seen(fleet, "c2"), ["two"]);
        assert_eq!(leaked_keys(fleet), 0);
    });
}

#[test]
fn an_account_header_from_a_caller_is_ignored() {
    with_fleet(two_accounts(1), async |fleet| {
        let caller = fleet.caller(0).with_key("k1");
        let mut req = caller.summary_request(SUMMARY, "s1");
        req.headers_mut().append("tenant", HeaderValue::from_static("two"));
        req.headers_mut().append("TENANT", HeaderValue::from_static("three"));
        assert_eq!(status(&caller.send(req).await.expect("an answer")), 200);
        assert_eq!(accounts_seen(fleet, "s1"), ["one"]);
        let caller = fleet.caller(0);
        let mut req = check_request(&caller, OPEN_PREFIX, "o1");
        req.headers_mut().append("tenant", HeaderValue::from_static("two"));
        assert_eq!(status(&caller.send(req).await.expect("an answer")), 200);
        assert!(accounts_seen(fleet, "o1").is_empty());
    });
}

/// A short call without a key.
fn check_request(
    caller: &ebonyloft_standins::fleet::caller::Caller,
    path: &str,
    attempt: &str,
) -> Request<Bytes> {
    let mut req = caller.summary_request(path, attempt);
    req.headers_mut().remove("token-count");
    req
}

#[test]
fn missing_wrong_and_duplicate_keys_are_refused_and_run_nothing() {
    with_fleet(two_accounts(1), async |fleet| {
        let plain = fleet.caller(0);
        assert_eq!(status(&plain.call(CHECK, "c1").await.expect("an answer")), 401);
        assert_eq!(call(fleet, 0, "k9", "c2").await, 401);
        for (attempt, values) in [
            ("c3", vec!["Bearer k1", "Bearer k1"]),
            ("c4", vec!["Basic k1"]),
            ("c5", vec!["Bearer"]),
            ("c6", vec!["Bearer k1 k2"]),
            ("c7", vec!["k1"]),
        ] {
            let mut req = check_request(&plain, CHECK, attempt);
            for value in values {
                req.headers_mut().append("authorization", HeaderValue::from_static(value));
            }
            assert_eq!(status(&plain.send(req).await.expect("an answer")), 401, "{attempt}");
        }
        for n in 1..=7 {
            assert_eq!(fleet.run_count(&format!("c{n}")), 0);
        }
    });
}

#[test]
fn a_public_route_needs_no_key() {
    with_fleet(two_accounts(1), async |fleet| {
        assert_eq!(status(&fleet.caller(0).call(OPEN_PREFIX, "o1").await.expect("an answer")), 200);
        let unknown_key = fleet.caller(0).with_key("k9");
        assert_eq!(status(&unknown_key.call(OPEN_PREFIX, "o2").await.expect("an answer")), 200);
        assert_eq!(leaked_keys(fleet), 0);
        assert!(accounts_seen(fleet, "o2").is_empty());
    });
}

#[test]
fn a_revoked_key_is_refused_and_a_new_one_accepted() {
    with_fleet(two_accounts(2), async |fleet| {
        assert_eq!(call(fleet, 0, "k1", "c1").await, 200);
        fleet.set_accounts(2, &[account("one", &["k2", "k4"], None)]);
        compio::time::sleep(SECOND).await;
        for gateway in 0..2 {
            assert_eq!(call(fleet, gateway, "k1", "c2").await, 401);
            assert_eq!(call(fleet, gateway, "k3", "c3").await, 401);
            assert_eq!(call(fleet, gateway, "k4", &format!("c4-{gateway}")).await, 200);
        }
    });
}

/// A key that is revoked while the gateways are cut off from the store must run nothing after the bound.
#[test]
fn a_gateway_cut_off_from_the_store_accepts_no_key_after_the_bound() {
    for fault in [Fault::Silent, Fault::Busy] {
        with_fleet(two_accounts(2), async |fleet| {
            assert_eq!(call(fleet, 0, "k1", "c0").await, 200);
            fleet.store.set_fault(fault);
            let cut_at = Instant::now();
            fleet.set_accounts(2, &[account("one", &["k2"], None)]);
            let mut last = None;
            for n in 1.. {
                let start = Instant::now();
                let attempt = format!("c{n}");
                let status = call(fleet, n % 2, "k1", &attempt).await;
                if fleet.run_count(&attempt) > 0 {
                    last = Some(start - cut_at);
                } else {
                    assert!(matches!(status, 503 | 401), "{status}");
                }
                if cut_at.elapsed() > REVOKE_BOUND + SECOND {
                    break;
                }
                compio::time::sleep(Duration::from_millis(40)).await;
            }
            assert!(last.is_none_or(|at| at < REVOKE_BOUND), "ran {last:?} after the revocation");
            let public = fleet.caller(0).call(OPEN_PREFIX, "o1").await.expect("an answer");
            assert_eq!(public.status, 200);
            assert_eq!(call(fleet, 0, "k2", "c-late").await, 503);
            fleet.store.set_fault(Fault::None);
            compio::time::sleep(SECOND).await;
            assert_eq!(call(fleet, 0, "k2", "c-back").await, 200);
            assert_eq!(call(fleet, 0, "k1", "c-gone").await, 401);
        });
    }
}

/// Sends calls with a key, one loop for each listed gateway; returns how many ran, and the refusals.
async fn send_for(
    fleet: &Fleet,
    gateways: &[usize],
    key: &str,
    duration: Duration,
) -> (usize, Vec<Answer>) {
    let until = Instant::now() + duration;
    let tasks: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(i, &gateway)| {
            let caller = fleet.caller(gateway).with_key(key);
            compio::runtime::spawn(async move {
                let mut refused = Vec::new();
                let mut ran = 0;
                for n in 0.. {
                    if Instant::now() > until {
                        break;
                    }
                    let attempt = format!("p-{i}-{n}");
                    let answer = caller.call(LOOKUP, &attempt).await.expect("an answer");
                    match answer.status {
                        200 => ran += 1,
                        _ => refused.push(answer),
                    }
                    compio::time::sleep(Duration::from_millis(5)).await;
                }
                (ran, refused)
            })
        })
        .collect();
    let (mut ran, mut refused) = (0, Vec::new());
    for task in tasks {
        let (ran_here, refused_here) = task.await.expect("the caller's task");
        ran += ran_here;
        refused.extend(refused_here);
    }
    (ran, refused)
}

#[test]
fn a_quota_holds_over_all_gateways_and_all_of_it_can_be_used() {
    // Forty short calls a second, with a burst of forty.
    let accounts = vec![account("one", &["k1"], Some((8_000, 8_000)))];
    with_fleet(spec(4, accounts), async |fleet| {
        // A quota owner starts with an empty bucket, which takes a second to fill up to the burst.
        compio::time::sleep(2 * SECOND).await;
        let (ran, refused) = send_for(fleet, &[0, 1, 2, 3], "k1", 3 * SECOND).await;
        assert!((157..=162).contains(&ran), "{ran} ran");
        assert!(!refused.is_empty());
        for answer in &refused {
            assert_eq!(answer.status, 429);
            assert!(answer.total_time < Duration::from_millis(100), "{:?}", answer.total_time);
            let retry_after: f64 =
                answer.header("retry-after").expect("a time").parse().expect("seconds");
            assert!(retry_after > 0.0);
        }
    });
}

#[test]
fn one_gateway_can_use_all_of_a_quota() {
    let accounts = vec![account("one", &["k1"], Some((8_000, 8_000)))];
    with_fleet(spec(4, accounts), async |fleet| {
        // A quota owner starts with an empty bucket, which takes a second to fill up to the burst.
        compio::time::sleep(2 * SECOND).await;
        let (ran, _) = send_for(fleet, &[2, 2, 2, 2], "k1", 3 * SECOND).await;
        assert!((157..=162).contains(&ran), "{ran} ran");
    });
}

#[test]
fn a_lowered_and_a_raised_quota_take_effect() {
    let rate = |rate| vec![account("one", &["k1"], Some((rate, rate)))];
    with_fleet(spec(2, rate(40_000)), async |fleet| {
        compio::time::sleep(SECOND).await;
        fleet.set_accounts(2, &rate(2_000));
        compio::time::sleep(SECOND).await;
        let (ran, _) = send_for(fleet, &[0, 1], "k1", 2 * SECOND).await;
        assert!((25..=36).contains(&ran), "{ran} ran");
        fleet.set_accounts(3, &rate(40_000));
        compio::time::sleep(SECOND).await;
        let (ran, _) = send_for(fleet, &[0, 1], "k1", SECOND).await;
        assert!(ran > 50, "{ran} ran");
    });
}

#[test]
fn a_request_that_did_not_run_is_not_charged() {
    let accounts = vec![account("one", &["k1"], Some((200, 2_000)))];
    with_fleet(FleetSpec { plain_servers: 1, ..spec(1, accounts) }, async |fleet| {
        compio::time::sleep(10 * SECOND).await;
        let plain = fleet.backends.last().expect("a server").clone();
        plain.set_back_off(Some("0"));
        for n in 0..5 {
            assert_eq!(call(fleet, 0, "k1", &format!("c{n}")).await, 503);
        }
        plain.set_back_off(None);
        for n in 5..12 {
            assert_eq!(call(fleet, 0, "k1", &format!("c{n}")).await, 200, "c{n}");
        }
    });
}

#[test]
fn an_invalid_token_count_is_refused() {
    let accounts = vec![account("one", &["k1"], Some((1_000_000, 1_000_000)))];
    with_fleet(spec(1, accounts), async |fleet| {
        let caller = fleet.caller(0).with_key("k1");
        for (n, count) in
            ["x,3", "-4,10", "12", "1,2,3", "9223372036854775808,1", ""].iter().enumerate()
        {
            let mut req = caller.summary_request(SUMMARY, &format!("s{n}"));
            req.headers_mut().insert("token-count", HeaderValue::from_static(count));
            let answer = caller.send(req).await.expect("an answer");
            assert_eq!(answer.status, 400, "{count}");
        }
    });
}

/// Ends three of four gateways, one of which owns a quota, and calls the last one.
fn check_lost_quota_owner(threads: bool) {
    let accounts = vec![account("one", &["k1"], Some((8_000, 8_000)))];
    with_fleet(FleetSpec { threads, ..spec(4, accounts) }, async |fleet| {
        compio::time::sleep(SECOND).await;
        // The test does not know which gateway owns the quota, so it stops three of the four.
        assert_eq!(call(fleet, 3, "k1", "c0").await, 200);
        for gateway in 0..3 {
            fleet.stop(gateway);
        }
        let ended = eventually(10 * SECOND, || fleet.has_stopped(0)).await;
        assert!(ended);
        compio::time::sleep(2 * SECOND).await;
        assert_eq!(call(fleet, 3, "k1", "c1").await, 200);
    });
}

/// After the loss of a quota's owner others soon grant tokens in its place, without a second burst.
#[test]
fn a_lost_quota_owner_is_replaced() {
    check_lost_quota_owner(false);
}

/// The same where the processes of the lost gateways are gone, so that no server of theirs answers.
#[test]
fn a_quota_owner_whose_process_is_gone_is_replaced() {
    check_lost_quota_owner(true);
}
