//! The budget of extra arrivals: the sum over all entries keeps the bound over any window.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::budget::{Arrivals, Budget, Lack, Next};
use ebonyloft_router::node::{Bounds, Excess};
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
        revoke: None,
        excess: Excess::default(),
    }
}

/// Takes one extra arrival that takes place at once.
fn spend(budget: &mut Budget, now: Timestamp, entries: usize) -> bool {
    let granted = budget.hold(now, &bounds(), entries, Lack::Sure(1));
    if granted {
        budget.spend(now);
    }
    granted
}

#[test]
fn a_process_that_just_started_spends_little() {
    // Its predecessor may have spent the whole window's part a moment ago.
    let start = Timestamp::from_millis(1_000_000);
    let mut budget = Budget::new(start);
    let spent =
        (0..100).filter(|_| spend(&mut budget, start.after(Duration::from_millis(50)), 1)).count();
    // A fifth of 54: what its predecessor left unused.
    assert_eq!(spent, 11);
}

#[test]
fn a_share_of_the_requests_can_be_spent() {
    let start = Timestamp::from_millis(0);
    let mut budget = Budget::new(start);
    let now = Timestamp::from_millis(5_000);
    for _ in 0..1_000 {
        budget.earn(now, &bounds());
    }
    let spent = (0..1_000).filter(|_| spend(&mut budget, now, 4)).count();
    // 0.8 of a fifth of the requests, and of three quarters of a quarter of 54.
    assert_eq!(spent, 168);
}

#[test]
fn what_was_spent_comes_back_after_the_window() {
    let mut budget = Budget::new(Timestamp(0));
    let now = Timestamp::from_millis(20_000);
    while spend(&mut budget, now, 1) {}
    assert!(!spend(&mut budget, now.after(Duration::from_secs(9)), 1));
    assert!(spend(&mut budget, now.after(Duration::from_secs(11)), 1));
}

#[test]
fn a_first_prompt_that_is_lost_makes_the_run_an_extra_arrival() {
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.lacks(Next::Run), None);
    assert_eq!(arrivals.lacks(Next::Prompt), Some(Lack::Unlikely));
    arrivals.take(Lack::Unlikely);
    assert!(!arrivals.send());
    // Lost: the run behind it is covered, another prompt is not.
    assert_eq!(arrivals.lacks(Next::Run), None);
    assert_eq!(arrivals.lacks(Next::Prompt), Some(Lack::Sure(1)));
    assert!(arrivals.send());
    assert_eq!(arrivals.close(), 0);
}

#[test]
fn a_first_prompt_that_is_accepted_costs_nothing() {
    let mut arrivals = Arrivals::default();
    arrivals.take(Lack::Unlikely);
    assert!(!arrivals.send());
    assert!(!arrivals.accept());
    assert_eq!(arrivals.spare(), 1);
    assert!(!arrivals.send());
    assert_eq!(arrivals.close(), 0);
}

#[test]
fn a_second_prompt_that_is_accepted_costs_one() {
    let mut arrivals = Arrivals::default();
    arrivals.take(Lack::Unlikely);
    arrivals.send();
    arrivals.accept();
    arrivals.spare();
    assert_eq!(arrivals.lacks(Next::Prompt), Some(Lack::Unlikely));
    arrivals.take(Lack::Unlikely);
    assert!(!arrivals.send());
    assert!(!arrivals.accept());
    assert_eq!(arrivals.spare(), 0);
    assert!(arrivals.send());
    assert_eq!(arrivals.close(), 0);
}

#[test]
fn a_send_that_reached_nobody_is_held_again() {
    let (now, mut budget) = (Timestamp::from_millis(20_000), Budget::new(Timestamp(0)));
    let left = budget.left(now, &bounds(), 1);
    assert!(budget.hold(now, &bounds(), 1, Lack::Sure(2)));
    budget.spend(now);
    budget.take_back();
    assert_eq!(budget.left(now, &bounds(), 1), left - 2.0);
    budget.release(2);
    assert_eq!(budget.left(now, &bounds(), 1), left);
}

/// How a played send ends.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Accepted,
    Lost,
    Unsent,
}

/// Plays one request; gives its extra arrivals as a judge counts them, and what it took from the budget.
fn play(budget: &mut Budget, now: Timestamp, sends: &[(Next, Fate)]) -> (usize, usize) {
    let before = budget.counts().1;
    let mut arrivals = Arrivals::default();
    let (mut counted, mut read) = (0_usize, false);
    for (next, fate) in sends {
        if let Some(lack) = arrivals.lacks(*next) {
            if !budget.hold(now, &bounds(), 4, lack) {
                continue;
            }
            arrivals.take(lack);
        }
        if arrivals.send() {
            budget.spend(now);
        }
        let free = *next == Next::Prompt && !read;
        match (fate, next) {
            (Fate::Unsent, _) => {
                if arrivals.unsend() {
                    budget.take_back();
                }
            }
            (Fate::Accepted, Next::Prompt) => {
                counted += usize::from(!free);
                read = true;
                if arrivals.accept() {
                    budget.take_back();
                }
                budget.release(arrivals.spare());
            }
            (Fate::Accepted, Next::Run) => {
                counted += 1;
                break;
            }
            (Fate::Lost, _) => counted += 1,
        }
    }
    budget.release(arrivals.close());
    (counted.saturating_sub(1), budget.counts().1 - before)
}

/// An entry among many has less than a whole extra arrival before its first requests.
#[test]
fn a_first_prompt_is_sent_while_anything_is_left() {
    let (now, mut budget) = (Timestamp::from_millis(20_000), Budget::new(Timestamp(0)));
    assert!(budget.left(now, &bounds(), 200) < 1.0);
    assert!(!budget.hold(now, &bounds(), 200, Lack::Sure(1)));
    assert!(budget.hold(now, &bounds(), 200, Lack::Unlikely));
    assert!(!budget.hold(now, &bounds(), 200, Lack::Unlikely), "the first one is not over");
    budget.spend(now);
    assert!(!budget.hold(now, &bounds(), 200, Lack::Unlikely), "the first one was lost");
}

proptest! {
    /// Whatever becomes of prompts and runs, what is taken from the budget is what a judge counts.
    #[test]
    fn extra_arrivals_are_counted_as_a_judge_counts_them(
        requests in proptest::collection::vec(
            proptest::collection::vec((0_u8..2, 0_u8..3), 1..8), 1..60),
    ) {
        let now = Timestamp::from_millis(20_000);
        let mut budget = Budget::new(Timestamp(0));
        for sends in requests {
            budget.earn(now, &bounds());
            let sends: Vec<(Next, Fate)> = sends
                .into_iter()
                .map(|(next, fate)| {
                    let next = [Next::Prompt, Next::Run][usize::from(next)];
                    (next, [Fate::Accepted, Fate::Lost, Fate::Unsent][usize::from(fate)])
                })
                .collect();
            let (counted, taken) = play(&mut budget, now, &sends);
            prop_assert_eq!(counted, taken, "{:?}", sends);
            prop_assert_eq!(budget.counts().2, 0);
        }
    }

    /// Four entries that spend whatever they can, under any pattern of requests, keep the bound over
    /// any window of the judge, who counts requests of that window only.
    #[test]
    fn entries_together_keep_the_bound(
        ticks in proptest::collection::vec((0_usize..4, 0_u32..4, 0_u32..6), 1..400),
    ) {
        let bounds = bounds();
        let start = Timestamp::from_millis(0);
        let mut budgets = vec![Budget::new(start); 4];
        let (mut requests, mut extras) = (Vec::new(), Vec::new());
        for (i, (entry, came, wanted)) in ticks.iter().enumerate() {
            let now = start.after(Duration::from_millis(10_000 + 37 * i as u64));
            for _ in 0..*came {
                budgets[*entry].earn(now, &bounds);
                requests.push(now);
            }
            for _ in 0..*wanted {
                if spend(&mut budgets[*entry], now, 4) {
                    extras.push(now);
                }
            }
            let since = now.before(bounds.budget_window);
            let asked = requests.iter().filter(|at| **at >= since).count() as f64;
            let spent = extras.iter().filter(|at| **at >= since).count() as f64;
            prop_assert!(spent <= bounds.budget_ratio * asked + bounds.budget_extra);
        }
    }
}
