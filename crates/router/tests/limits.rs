//! Limits stated by backend servers: which answers and updates apply, and when a limit ends.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::limits::{LIMIT_END_DELAY, LIMIT_MIN, Limit, LimitUpdate, ServerLimits};
use ebonyloft_router::quota::issuer::{LeaseIssuer, standby_share};
use ebonyloft_router::quota::leases::TokenLeases;
use ebonyloft_router::quota::{LEASE_TTL, LeaseDecision, LeaseRequest, LimitKey};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FIVE: Option<Limit> = Some(Limit(5_000));

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

fn id() -> ServerId {
    ServerId::new("i-1", 0)
}

fn update(version: u64, limit: Option<Limit>) -> LimitUpdate {
    LimitUpdate { server: id(), version, limit }
}

#[test]
fn a_limit_is_published_once() {
    let mut limits = ServerLimits::default();
    assert_eq!(limits.on_answer(at(0), &id(), at(0), None), None);
    assert_eq!(limits.checksum(), 0);
    assert_eq!(limits.on_answer(at(10), &id(), at(0), FIVE), Some(update(1, FIVE)));
    assert_eq!(limits.on_answer(at(20), &id(), at(5), FIVE), None);
    assert_eq!(limits.of(&id()), FIVE);
    assert_ne!(limits.checksum(), 0);
}

#[test]
fn a_changed_limit_is_published() {
    let mut limits = ServerLimits::default();
    limits.on_answer(at(10), &id(), at(0), FIVE);
    let lower = Some(Limit(4_000));
    assert_eq!(limits.on_answer(at(30), &id(), at(20), lower), Some(update(2, lower)));
}

#[test]
fn a_later_answer_without_a_limit_ends_it() {
    let mut limits = ServerLimits::default();
    limits.on_answer(at(100), &id(), at(90), FIVE);
    assert_eq!(limits.on_answer(at(110), &id(), at(95), None), None);
    let late = at(100).after(LIMIT_END_DELAY);
    assert_eq!(limits.on_answer(late.after(Duration::from_millis(9)), &id(), late, None), {
        Some(update(2, None))
    });
    assert_eq!(limits.of(&id()), None);
    // A second answer to an earlier request.
    assert_eq!(limits.on_answer(late.after(Duration::from_millis(12)), &id(), at(98), FIVE), None);
}

#[test]
fn outdated_updates_of_peers_have_no_effect() {
    let mut limits = ServerLimits::default();
    assert!(limits.on_update(at(0), &update(2, None)));
    assert!(!limits.on_update(at(1), &update(1, FIVE)));
    assert!(limits.on_update(at(2), &update(2, FIVE)), "the stricter of two updates wins");
    assert!(!limits.on_update(at(3), &update(2, Some(Limit(6_000)))));
    assert!(limits.on_update(at(4), &update(2, Some(Limit(4_000)))));
    assert!(limits.on_update(at(5), &update(3, None)));
    assert_eq!(limits.of(&id()), None);
}

#[test]
fn removed_servers_are_dropped() {
    let mut limits = ServerLimits::default();
    limits.on_update(at(0), &update(1, FIVE));
    limits.retain(|_| false);
    assert_eq!((limits.of(&id()), limits.checksum()), (None, 0));
}

#[test]
fn a_limit_of_zero_still_allows_an_occasional_request() {
    assert_eq!(Limit(0).rate(), LIMIT_MIN.rate());
    assert!(Limit(0).rate().rate > 0.0);
}

#[test]
fn a_standby_grants_less_than_a_server_tolerates_beside_the_owner() {
    for thousandths in [1_000, 5_000, 200_000] {
        let rate = Limit(thousandths).rate();
        assert!(standby_share(&rate, &ebonyloft_router::limits::EXCESS) <= 0.5);
    }
}

/// Sends requests at random gateways for a minute; returns how many reached the server, and the most of them
/// within four seconds.
fn simulate(gateways: usize, limit: Limit, per_second: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(gateways as u64);
    let (key, bound) = (LimitKey::Server(id()), limit.rate());
    let mut issuer = LeaseIssuer::new(at(0));
    let mut holders = vec![TokenLeases::default(); gateways];
    let mut sent = Vec::new();
    for n in 0..60 * per_second {
        let now = at(20_000 + n * 1_000 / per_second);
        issuer.tick(now, 1);
        let holder = &mut holders[rng.random_range(0..gateways)];
        if holder.exhausted(now, &key).is_some() {
            continue;
        }
        let mut held = holder.spend(now, &key, 1);
        if !held {
            let more = holder.prefetch(&key);
            let ask = LeaseRequest {
                number: n,
                key: key.clone(),
                need: 1,
                prefetch: more,
                limit: Some(limit),
            };
            match issuer.grant(now, &ask, &bound, 1.0, true) {
                LeaseDecision::Lent(tokens) => {
                    holder.on_granted(&key, now, tokens);
                    held = holder.spend_granted(now, &key, 1);
                }
                LeaseDecision::Over { back, .. } => {
                    let back = now.after(Duration::from_millis(back.into()));
                    holder.on_exhausted(&key, back, back);
                }
                LeaseDecision::Elsewhere => {}
            }
        }
        if held {
            sent.push(now);
        }
        for holder in &mut holders {
            for (key, tokens) in holder.take_expiring(now, Duration::from_millis(300)) {
                issuer.return_unused(&key, tokens, 1.0);
            }
        }
    }
    let window = Duration::from_secs(4);
    let within =
        |from: &Timestamp| sent.iter().filter(|s| *s >= from && **s < from.after(window)).count();
    (sent.len(), sent.iter().map(within).max().unwrap_or(0))
}

/// 4 to 300 gateways use most of a limit, and exceed it by less than the server tolerates.
#[test]
fn a_limit_is_kept_and_used_by_few_and_by_many_gateways() {
    for gateways in [4, 25, 68, 300] {
        let (sent, most) = simulate(gateways, Limit(5_000), 50);
        println!("{gateways} gateways: {sent} of 300 in a minute, {most} in 4 s");
        assert!(most <= 35, "{gateways}: {most}");
        assert!(sent >= 150, "{gateways}: {sent}");
    }
}

proptest! {
    /// Whichever gateways acquire tokens, and however late they use them, a server gets less than half more
    /// than its limit.
    #[test]
    fn granted_tokens_keep_the_limit(
        thousandths in 500_u32..50_000,
        asks in proptest::collection::vec((0_u64..60, 1_u64..4, 0_u64..3, 0_u64..1_000), 1..600),
    ) {
        let limit = Limit(thousandths);
        let (bound, mut issuer, mut used, mut now) =
            (limit.rate(), LeaseIssuer::new(at(0)), Vec::new(), 20_000);
        for (number, (pause, need, more, later)) in asks.into_iter().enumerate() {
            now += pause;
            issuer.tick(at(now), 1);
            let (number, key) = (number as u64, LimitKey::Server(id()));
            let ask = LeaseRequest { number, key, need, prefetch: more, limit: Some(limit) };
            if let LeaseDecision::Lent(tokens) = issuer.grant(at(now), &ask, &bound, 1.0, true) {
                let used_at = now + later.min(LEASE_TTL.as_millis() as u64);
                used.extend((0..tokens).map(|_| used_at));
            }
        }
        used.sort_unstable();
        let allowed = 1.5 * 4.0 * f64::from(thousandths) / 1_000.0 + 5.0;
        for (i, from) in used.iter().enumerate() {
            let count = used[i..].iter().take_while(|at| **at < from + 4_000).count();
            prop_assert!(count as f64 <= allowed, "{} of {}", count, allowed);
        }
    }
}
