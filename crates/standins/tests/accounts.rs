//! Client accounts on real sockets: keys, keys that were taken away, quotas.

use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloft_platform::simulation::AccountSpec;
use ebonyloft_standins::fleet::caller::Answer;
use ebonyloft_standins::fleet::store::Fault;
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, LOOKUP, OPEN, SUMMARY, eventually, with_fleet,
};
use hyper::Request;
use hyper::header::HeaderValue;

const REVOKE: Duration = Duration::from_millis(3_000);
const SECOND: Duration = Duration::from_secs(1);

fn account(name: &str, keys: &[&str], quota: Option<(u64, u64)>) -> AccountSpec {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    AccountSpec { name: name.to_owned(), keys, quota, plain: 200, ..AccountSpec::default() }
}

fn spec(gateways: usize, accounts: Vec<AccountSpec>) -> FleetSpec {
    let (accounts, revoke) = (Some(accounts), Some(REVOKE));
    FleetSpec { gateways, accounts, revoke, ..FleetSpec::default() }
}

fn two_keys(gateways: usize) -> FleetSpec {
    spec(gateways, vec![account("one", &["k1", "k2"], None), account("two", &["k3"], None)])
}

fn status(answer: &Answer) -> u16 {
    answer.status
}

async fn call(fleet: &Fleet, gateway: usize, key: &str, attempt: &str) -> u16 {
    let caller = fleet.caller(gateway).key(key);
    status(&caller.call(CHECK, attempt).await.expect("an answer"))
}

/// Accounts that backend servers were told for an attempt.
fn told(fleet: &Fleet, attempt: &str) -> Vec<String> {
    let mut seen =
        fleet.runners.iter().filter_map(|r| r.seen.borrow().accounts.get(attempt).cloned());
    seen.next_back().unwrap_or_default()
}

fn shown_keys(fleet: &Fleet) -> u64 {
    fleet.runners.iter().map(|r| r.seen.borrow().keyed).sum()
}

#[test]
fn a_backend_server_is_told_the_account_and_never_the_key() {
    with_fleet(two_keys(1), async |fleet| {
        let caller = fleet.caller(0).key("k1");
        assert_eq!(status(&caller.call(CHECK, "c1").await.expect("an answer")), 200);
        assert_eq!(status(&caller.summary(SUMMARY, "s1").await.expect("an answer")), 200);
        assert_eq!(call(fleet, 0, "k3", "c2").await, 200);
        assert_eq!(told(fleet, "c1"), ["one"]);
        assert_eq!(told(fleet, "s1"), ["one"]);
        assert_eq!(told(fleet, "c2"), ["two"]);
        assert_eq!(shown_keys(fleet), 0);
    });
}

#[test]
fn an_account_that_a_caller_names_is_not_believed() {
    with_fleet(two_keys(1), async |fleet| {
        let caller = fleet.caller(0).key("k1");
        let mut req = caller.summary_request(SUMMARY, "s1");
        req.headers_mut().append("tenant", HeaderValue::from_static("two"));
        req.headers_mut().append("TENANT", HeaderValue::from_static("three"));
        assert_eq!(status(&caller.send(req).await.expect("an answer")), 200);
        assert_eq!(told(fleet, "s1"), ["one"]);
        let caller = fleet.caller(0);
        let mut req = check_request(&caller, OPEN, "o1");
        req.headers_mut().append("tenant", HeaderValue::from_static("two"));
        assert_eq!(status(&caller.send(req).await.expect("an answer")), 200);
        assert!(told(fleet, "o1").is_empty());
    });
}

/// A short call without the headers of a key.
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
fn no_key_a_wrong_one_or_two_are_refused_at_once_and_run_nothing() {
    with_fleet(two_keys(1), async |fleet| {
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
            assert_eq!(fleet.runs(&format!("c{n}")), 0);
        }
    });
}

#[test]
fn a_public_route_needs_no_key() {
    with_fleet(two_keys(1), async |fleet| {
        assert_eq!(status(&fleet.caller(0).call(OPEN, "o1").await.expect("an answer")), 200);
        let wrong = fleet.caller(0).key("k9");
        assert_eq!(status(&wrong.call(OPEN, "o2").await.expect("an answer")), 200);
        assert_eq!(shown_keys(fleet), 0);
        assert!(told(fleet, "o2").is_empty());
    });
}

#[test]
fn a_key_that_was_taken_away_runs_nothing_and_a_new_one_does() {
    with_fleet(two_keys(2), async |fleet| {
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

/// Nobody hears the store: a key that was taken away meanwhile must not run anything behind its bound.
#[test]
fn a_gateway_that_hears_nothing_runs_nothing_with_a_key_behind_the_bound() {
    for fault in [Fault::Silent, Fault::Busy] {
        with_fleet(two_keys(2), async |fleet| {
            assert_eq!(call(fleet, 0, "k1", "c0").await, 200);
            fleet.store.set_fault(fault);
            let cut = Instant::now();
            fleet.set_accounts(2, &[account("one", &["k2"], None)]);
            let mut last = None;
            for n in 1.. {
                let begun = Instant::now();
                let attempt = format!("c{n}");
                let status = call(fleet, n % 2, "k1", &attempt).await;
                if fleet.runs(&attempt) > 0 {
                    last = Some(begun - cut);
                } else {
                    assert!(matches!(status, 503 | 401), "{status}");
                }
                if cut.elapsed() > REVOKE + SECOND {
                    break;
                }
                compio::time::sleep(Duration::from_millis(40)).await;
            }
            assert!(last.is_none_or(|at| at < REVOKE), "ran {last:?} behind the change");
            let open = fleet.caller(0).call(OPEN, "o1").await.expect("an answer");
            assert_eq!(open.status, 200);
            assert_eq!(call(fleet, 0, "k2", "c-late").await, 503);
            fleet.store.set_fault(Fault::None);
            compio::time::sleep(SECOND).await;
            assert_eq!(call(fleet, 0, "k2", "c-back").await, 200);
            assert_eq!(call(fleet, 0, "k1", "c-gone").await, 401);
        });
    }
}

/// Requests of an account at these gateways at once, for so long; counts what ran.
async fn press(
    fleet: &Fleet,
    gateways: &[usize],
    key: &str,
    time: Duration,
) -> (usize, Vec<Answer>) {
    let end = Instant::now() + time;
    let tasks: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(i, &gateway)| {
            let caller = fleet.caller(gateway).key(key);
            compio::runtime::spawn(async move {
                let mut refused = Vec::new();
                let mut ran = 0;
                for n in 0.. {
                    if Instant::now() > end {
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
        let (r, f) = task.await.expect("the caller's task");
        ran += r;
        refused.extend(f);
    }
    (ran, refused)
}

#[test]
fn a_quota_holds_over_all_gateways_and_all_of_it_can_be_used() {
    // Forty short calls a second, and as many at once.
    let accounts = vec![account("one", &["k1"], Some((8_000, 8_000)))];
    with_fleet(spec(4, accounts), async |fleet| {
        // A home begins with nothing; it takes a second until its account has its burst.
        compio::time::sleep(2 * SECOND).await;
        let (ran, refused) = press(fleet, &[0, 1, 2, 3], "k1", 3 * SECOND).await;
        assert!((157..=162).contains(&ran), "{ran} ran");
        assert!(!refused.is_empty());
        for answer in &refused {
            assert_eq!(answer.status, 429);
            assert!(answer.took < Duration::from_millis(100), "{:?}", answer.took);
            let wait: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
            assert!(wait > 0.0);
        }
    });
}

#[test]
fn one_gateway_can_use_all_of_a_quota() {
    let accounts = vec![account("one", &["k1"], Some((8_000, 8_000)))];
    with_fleet(spec(4, accounts), async |fleet| {
        // A home begins with nothing; it takes a second until its account has its burst.
        compio::time::sleep(2 * SECOND).await;
        let (ran, _) = press(fleet, &[2, 2, 2, 2], "k1", 3 * SECOND).await;
        assert!((157..=162).contains(&ran), "{ran} ran");
    });
}

#[test]
fn a_lowered_quota_binds_and_a_raised_one_is_there() {
    let rate = |rate| vec![account("one", &["k1"], Some((rate, rate)))];
    with_fleet(spec(2, rate(40_000)), async |fleet| {
        compio::time::sleep(SECOND).await;
        fleet.set_accounts(2, &rate(2_000));
        compio::time::sleep(SECOND).await;
        let (ran, _) = press(fleet, &[0, 1], "k1", 2 * SECOND).await;
        assert!((25..=36).contains(&ran), "{ran} ran");
        fleet.set_accounts(3, &rate(40_000));
        compio::time::sleep(SECOND).await;
        let (ran, _) = press(fleet, &[0, 1], "k1", SECOND).await;
        assert!(ran > 50, "{ran} ran");
    });
}

#[test]
fn what_did_not_run_gives_back_what_it_took() {
    let accounts = vec![account("one", &["k1"], Some((200, 2_000)))];
    with_fleet(FleetSpec { plain: 1, ..spec(1, accounts) }, async |fleet| {
        compio::time::sleep(10 * SECOND).await;
        let plain = fleet.runners.last().expect("a server").clone();
        plain.want_nothing(Some("0"));
        for n in 0..5 {
            assert_eq!(call(fleet, 0, "k1", &format!("c{n}")).await, 503);
        }
        plain.want_nothing(None);
        for n in 5..12 {
            assert_eq!(call(fleet, 0, "k1", &format!("c{n}")).await, 200, "c{n}");
        }
    });
}

#[test]
fn a_size_that_cannot_be_believed_is_refused() {
    let accounts = vec![account("one", &["k1"], Some((1_000_000, 1_000_000)))];
    with_fleet(spec(1, accounts), async |fleet| {
        let caller = fleet.caller(0).key("k1");
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

/// The account's home is lost: others lend in its place soon, and no second burst.
#[test]
fn a_lost_home_is_replaced() {
    let accounts = vec![account("one", &["k1"], Some((8_000, 8_000)))];
    with_fleet(spec(4, accounts), async |fleet| {
        compio::time::sleep(SECOND).await;
        // The one that ranks first for the account is not known here: each of three is lost in turn.
        assert_eq!(call(fleet, 3, "k1", "c0").await, 200);
        for gateway in 0..3 {
            fleet.stop(gateway);
        }
        let ended = eventually(10 * SECOND, || fleet.ended(0)).await;
        assert!(ended);
        compio::time::sleep(2 * SECOND).await;
        assert_eq!(call(fleet, 3, "k1", "c1").await, 200);
    });
}
