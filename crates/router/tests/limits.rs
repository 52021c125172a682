//! Limits that backend servers name: who is believed, and until when.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::limits::{LIMIT_END_DELAY, LIMIT_MIN, Limit, Named, ServerLimits};
use ebonyloft_router::quota::borrower::Borrower;
use ebonyloft_router::quota::lender::{Lender, spare};
use ebonyloft_router::quota::{Ask, Key, LEASE_TTL, Reply};
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

fn word(version: u64, limit: Option<Limit>) -> Named {
    Named { server: id(), version, limit }
}

#[test]
fn a_limit_is_news_once() {
    let mut limits = ServerLimits::default();
    assert_eq!(limits.answered(at(0), &id(), at(0), None), None);
    assert_eq!(limits.sum(), 0);
    assert_eq!(limits.answered(at(10), &id(), at(0), FIVE), Some(word(1, FIVE)));
    assert_eq!(limits.answered(at(20), &id(), at(5), FIVE), None);
    assert_eq!(limits.of(&id()), FIVE);
    assert_ne!(limits.sum(), 0);
}

#[test]
fn a_changed_limit_is_news() {
    let mut limits = ServerLimits::default();
    limits.answered(at(10), &id(), at(0), FIVE);
    let lower = Some(Limit(4_000));
    assert_eq!(limits.answered(at(30), &id(), at(20), lower), Some(word(2, lower)));
}

#[test]
fn an_answer_that_names_none_ends_it_unless_it_was_overtaken() {
    let mut limits = ServerLimits::default();
    limits.answered(at(100), &id(), at(90), FIVE);
    assert_eq!(limits.answered(at(110), &id(), at(95), None), None);
    let late = at(100).after(LIMIT_END_DELAY);
    assert_eq!(limits.answered(late.after(Duration::from_millis(9)), &id(), late, None), {
        Some(word(2, None))
    });
    assert_eq!(limits.of(&id()), None);
    // Another answer of the time before.
    assert_eq!(limits.answered(late.after(Duration::from_millis(12)), &id(), at(98), FIVE), None);
}

#[test]
fn late_words_of_peers_change_nothing() {
    let mut limits = ServerLimits::default();
    assert!(limits.hear(at(0), &word(2, None)));
    assert!(!limits.hear(at(1), &word(1, FIVE)));
    assert!(limits.hear(at(2), &word(2, FIVE)), "of two words the stricter one");
    assert!(!limits.hear(at(3), &word(2, Some(Limit(6_000)))));
    assert!(limits.hear(at(4), &word(2, Some(Limit(4_000)))));
    assert!(limits.hear(at(5), &word(3, None)));
    assert_eq!(limits.of(&id()), None);
}

#[test]
fn servers_that_are_gone_are_forgotten() {
    let mut limits = ServerLimits::default();
    limits.hear(at(0), &word(1, FIVE));
    limits.retain(|_| false);
    assert_eq!((limits.of(&id()), limits.sum()), (None, 0));
}

#[test]
fn a_server_that_takes_nothing_is_still_asked_now_and_then() {
    assert_eq!(Limit(0).rate(), LIMIT_MIN.rate());
    assert!(Limit(0).rate().rate > 0.0);
}

#[test]
fn a_deputy_lends_less_than_a_server_bears_beside_its_home() {
    for thousandths in [1_000, 5_000, 200_000] {
        let rate = Limit(thousandths).rate();
        assert!(spare(&rate, &ebonyloft_router::limits::EXCESS) <= 0.5);
    }
}

/// Sends arrivals at random gateways of so many for a minute; gives how many reached the server, and the most
/// of them in four seconds.
fn play(gateways: usize, limit: Limit, a_second: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(gateways as u64);
    let (key, bound) = (Key::Server(id()), limit.rate());
    let mut lender = Lender::new(at(0));
    let mut borrowers = vec![Borrower::default(); gateways];
    let mut sent = Vec::new();
    for n in 0..60 * a_second {
        let now = at(20_000 + n * 1_000 / a_second);
        lender.tick(now, 1);
        let borrower = &mut borrowers[rng.random_range(0..gateways)];
        if borrower.over(now, &key).is_some() {
            continue;
        }
        let mut held = borrower.take(now, &key, 1);
        if !held {
            let more = borrower.more(&key);
            let ask = Ask { number: n, key: key.clone(), need: 1, more, limit: Some(limit) };
            match lender.lend(now, &ask, &bound, 1.0, true) {
                Reply::Lent(tokens) => {
                    borrower.lent(&key, now, tokens);
                    held = borrower.take_lent(now, &key, 1);
                }
                Reply::Over { back, .. } => {
                    let back = now.after(Duration::from_millis(back.into()));
                    borrower.refused(&key, back, back);
                }
                Reply::Elsewhere => {}
            }
        }
        if held {
            sent.push(now);
        }
        for borrower in &mut borrowers {
            for (key, tokens) in borrower.unused(now, Duration::from_millis(300)) {
                lender.take_back(&key, tokens, 1.0);
            }
        }
    }
    let window = Duration::from_secs(4);
    let within =
        |from: &Timestamp| sent.iter().filter(|s| *s >= from && **s < from.after(window)).count();
    (sent.len(), sent.iter().map(within).max().unwrap_or(0))
}

/// Four gateways and three hundred use most of a limit and pass it by less than is borne.
#[test]
fn a_limit_is_kept_and_used_by_few_and_by_many_gateways() {
    for gateways in [4, 25, 68, 300] {
        let (sent, most) = play(gateways, Limit(5_000), 50);
        println!("{gateways} gateways: {sent} of 300 in a minute, {most} in 4 s");
        assert!(most <= 35, "{gateways}: {most}");
        assert!(sent >= 150, "{gateways}: {sent}");
    }
}

proptest! {
    /// Whoever borrows, and however late loans are used, a server gets less than half more than its limit.
    #[test]
    fn what_is_lent_of_a_limit_keeps_it(
        thousandths in 500_u32..50_000,
        asks in proptest::collection::vec((0_u64..60, 1_u64..4, 0_u64..3, 0_u64..1_000), 1..600),
    ) {
        let limit = Limit(thousandths);
        let (bound, mut lender, mut used, mut now) =
            (limit.rate(), Lender::new(at(0)), Vec::new(), 20_000);
        for (number, (pause, need, more, later)) in asks.into_iter().enumerate() {
            now += pause;
            lender.tick(at(now), 1);
            let (number, key) = (number as u64, Key::Server(id()));
            let ask = Ask { number, key, need, more, limit: Some(limit) };
            if let Reply::Lent(tokens) = lender.lend(at(now), &ask, &bound, 1.0, true) {
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
