//! The retry budget: all gateways together keep the bound over any window.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::budget::{Arrivals, Budget, NextSend, RequiredRetries};
use ebonyloft_router::node::{Bounds, DEFAULT_HEARTBEAT, Excess};
use proptest::prelude::*;

fn bounds() -> Bounds {
    Bounds {
        budget_ratio: 0.2,
        budget_extra: 54.0,
        budget_window: Duration::from_secs(10),
        grace: Duration::from_secs(8),
        order_gap: Duration::from_secs(3),
        contact: Duration::from_secs(3),
        drain: Duration::from_secs(2),
        apply: Duration::from_secs(2),
        heartbeat: DEFAULT_HEARTBEAT,
        revoke: None,
        excess: Excess::default(),
    }
}

/// Reserves and commits one retry.
fn try_retry(budget: &mut Budget, now: Timestamp, gateways: usize) -> bool {
    let granted = budget.reserve(now, &bounds(), gateways, RequiredRetries::Sure(1));
    if granted {
        budget.commit(now);
    }
    granted
}

#[test]
fn a_process_that_just_started_has_no_fixed_budget() {
    // The previous process may have used its whole share of the window a moment ago, and so may the one before.
    let start = Timestamp::from_millis(1_000_000);
    let mut budget = Budget::new(start);
    let spent = (0..100)
        .filter(|_| try_retry(&mut budget, start.after(Duration::from_millis(50)), 1))
        .count();
    assert_eq!(spent, 0);
}

#[test]
fn a_share_of_the_requests_can_be_spent() {
    for (age, expected) in [
        // A fifth of a fifth of the requests, and of half of a quarter of 54.
        (5_000, 41),
        // 0.8 of a fifth of the requests, and of a quarter of 54.
        (10_000, 170),
    ] {
        let mut budget = Budget::new(Timestamp::from_millis(0));
        let now = Timestamp::from_millis(age);
        for _ in 0..1_000 {
            budget.on_request(now, &bounds());
        }
        let spent = (0..1_000).filter(|_| try_retry(&mut budget, now, 4)).count();
        assert_eq!(spent, expected);
    }
}

#[test]
fn the_budget_recovers_after_the_window() {
    let mut budget = Budget::new(Timestamp(0));
    let now = Timestamp::from_millis(20_000);
    while try_retry(&mut budget, now, 1) {}
    assert!(!try_retry(&mut budget, now.after(Duration::from_secs(9)), 1));
    assert!(try_retry(&mut budget, now.after(Duration::from_secs(11)), 1));
}

#[test]
fn a_lost_first_prompt_makes_the_run_a_retry() {
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.required_retries(NextSend::Run), None);
    assert_eq!(arrivals.required_retries(NextSend::Prompt), Some(RequiredRetries::Unlikely));
    arrivals.on_reserved(RequiredRetries::Unlikely);
    assert!(!arrivals.send());
    // After the loss the following run is covered, another prompt is not.
    assert_eq!(arrivals.required_retries(NextSend::Run), None);
    assert_eq!(arrivals.required_retries(NextSend::Prompt), Some(RequiredRetries::Sure(1)));
    assert!(arrivals.send());
    assert_eq!(arrivals.finish(), 0);
}

#[test]
fn an_accepted_first_prompt_is_no_retry() {
    let mut arrivals = Arrivals::default();
    arrivals.on_reserved(RequiredRetries::Unlikely);
    assert!(!arrivals.send());
    assert!(!arrivals.on_prompt_accepted());
    assert_eq!(arrivals.drop_unneeded(), 1);
    assert!(!arrivals.send());
    assert_eq!(arrivals.finish(), 0);
}

#[test]
fn an_accepted_second_prompt_is_one_retry() {
    let mut arrivals = Arrivals::default();
    arrivals.on_reserved(RequiredRetries::Unlikely);
    arrivals.send();
    arrivals.on_prompt_accepted();
    arrivals.drop_unneeded();
    assert_eq!(arrivals.required_retries(NextSend::Prompt), Some(RequiredRetries::Unlikely));
    arrivals.on_reserved(RequiredRetries::Unlikely);
    assert!(!arrivals.send());
    assert!(!arrivals.on_prompt_accepted());
    assert_eq!(arrivals.drop_unneeded(), 0);
    assert!(arrivals.send());
    assert_eq!(arrivals.finish(), 0);
}

/// Guards against budget that stays reserved after a migration that did not take place.
#[test]
fn a_reservation_for_a_send_that_does_not_take_place_is_dropped() {
    let mut arrivals = Arrivals::default();
    arrivals.send();
    let needed = arrivals.required_retries(NextSend::Run).expect("a second run is a retry");
    arrivals.on_reserved(needed);
    assert_eq!(arrivals.drop_unused(), 1);
    assert_eq!(arrivals.drop_unused(), 0);
    assert_eq!(arrivals.required_retries(NextSend::Run), Some(needed));
    arrivals.on_reserved(needed);
    assert!(arrivals.send());
    assert_eq!(arrivals.drop_unused(), 0);
    assert_eq!(arrivals.finish(), 0);
}

#[test]
fn an_undelivered_send_is_reserved_again() {
    let (now, mut budget) = (Timestamp::from_millis(20_000), Budget::new(Timestamp(0)));
    let left = budget.available(now, &bounds(), 1);
    assert!(budget.reserve(now, &bounds(), 1, RequiredRetries::Sure(2)));
    budget.commit(now);
    budget.uncommit();
    assert_eq!(budget.available(now, &bounds(), 1), left - 2.0);
    budget.release(2);
    assert_eq!(budget.available(now, &bounds(), 1), left);
}

/// How a simulated send ends.
#[derive(Clone, Copy, Debug)]
enum SendResult {
    Accepted,
    Lost,
    Unsent,
}

/// Simulates one request; returns its retries by independent count, and the retries taken from the budget.
fn simulate(
    budget: &mut Budget,
    now: Timestamp,
    sends: &[(NextSend, SendResult)],
) -> (usize, usize) {
    let before = budget.counts().1;
    let mut arrivals = Arrivals::default();
    let (mut counted, mut prompt_accepted) = (0_usize, false);
    for (next, result) in sends {
        if let Some(required) = arrivals.required_retries(*next) {
            if !budget.reserve(now, &bounds(), 4, required) {
                continue;
            }
            arrivals.on_reserved(required);
        }
        if arrivals.send() {
            budget.commit(now);
        }
        let uncounted = *next == NextSend::Prompt && !prompt_accepted;
        match (result, next) {
            (SendResult::Unsent, _) => {
                if arrivals.on_undelivered() {
                    budget.uncommit();
                }
            }
            (SendResult::Accepted, NextSend::Prompt) => {
                counted += usize::from(!uncounted);
                prompt_accepted = true;
                if arrivals.on_prompt_accepted() {
                    budget.uncommit();
                }
                budget.release(arrivals.drop_unneeded());
            }
            (SendResult::Accepted, NextSend::Run) => {
                counted += 1;
                break;
            }
            (SendResult::Lost, _) => counted += 1,
        }
    }
    budget.release(arrivals.finish());
    (counted.saturating_sub(1), budget.counts().1 - before)
}

/// One of many gateways has less than one whole retry available before its first requests.
#[test]
fn a_first_prompt_needs_less_than_one_whole_retry() {
    let (now, mut budget) = (Timestamp::from_millis(20_000), Budget::new(Timestamp(0)));
    assert!(budget.available(now, &bounds(), 200) < 1.0);
    assert!(!budget.reserve(now, &bounds(), 200, RequiredRetries::Sure(1)));
    assert!(budget.reserve(now, &bounds(), 200, RequiredRetries::Unlikely));
    assert!(
        !budget.reserve(now, &bounds(), 200, RequiredRetries::Unlikely),
        "the first reservation is still held"
    );
    budget.commit(now);
    assert!(
        !budget.reserve(now, &bounds(), 200, RequiredRetries::Unlikely),
        "the first retry is committed"
    );
}

proptest! {
    /// However prompts and runs end, the retries taken from the budget equal an independent count.
    #[test]
    fn retries_equal_an_independent_count(
        requests in proptest::collection::vec(
            proptest::collection::vec((0_u8..2, 0_u8..3), 1..8), 1..60),
    ) {
        let now = Timestamp::from_millis(20_000);
        let mut budget = Budget::new(Timestamp(0));
        for sends in requests {
            budget.on_request(now, &bounds());
            let sends: Vec<(NextSend, SendResult)> = sends
                .into_iter()
                .map(|(next, result)| {
                    let next = [NextSend::Prompt, NextSend::Run][usize::from(next)];
                    (next, [SendResult::Accepted, SendResult::Lost, SendResult::Unsent][usize::from(result)])
                })
                .collect();
            let (counted, charged) = simulate(&mut budget, now, &sends);
            prop_assert_eq!(counted, charged, "{:?}", sends);
            prop_assert_eq!(budget.counts().2, 0);
        }
    }

    /// Four gateways that use every retry they can, under any pattern of requests, keep the bound over any
    /// window, where only requests of that window count.
    #[test]
    fn gateways_together_keep_the_bound(
        ticks in proptest::collection::vec((0_usize..4, 0_u32..4, 0_u32..6), 1..400),
    ) {
        let bounds = bounds();
        let start = Timestamp::from_millis(0);
        let mut budgets = vec![Budget::new(start); 4];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (i, (gateway, arrived, wanted)) in ticks.iter().enumerate() {
            let now = start.after(Duration::from_millis(10_000 + 37 * i as u64));
            for _ in 0..*arrived {
                budgets[*gateway].on_request(now, &bounds);
                requests.push(now);
            }
            for _ in 0..*wanted {
                if try_retry(&mut budgets[*gateway], now, 4) {
                    retries.push(now);
                }
            }
            let since = now.before(bounds.budget_window);
            let asked = requests.iter().filter(|at| **at >= since).count() as f64;
            let spent = retries.iter().filter(|at| **at >= since).count() as f64;
            prop_assert!(spent <= bounds.budget_ratio * asked + bounds.budget_extra);
        }
    }
}
