//! The specifications hold at the stated bounds, and each rule is needed.

use ebonyloft_check::explore::{Found, Spec, search};
use ebonyloft_check::specs::ledger::{self, Bounds, Ledger};
use ebonyloft_check::specs::{config, leases, orders};

const LIMIT: usize = 3_000_000;

fn holds<S: Spec>(start: S) -> Found {
    let found = search(start, LIMIT);
    assert!(found.broken.is_none(), "{:#?}", found.broken);
    assert!(found.exhausted, "more than {LIMIT} states");
    found
}

fn is_caught<S: Spec>(start: S) {
    let found = search(start, LIMIT);
    assert!(
        found.broken.is_some(),
        "not caught in {} states",
        found.states
    );
}

fn bounds(crashes: u8, moves: u8, tries: u8) -> Bounds {
    Bounds {
        crashes,
        moves,
        tries,
    }
}

#[test]
fn a_call_that_runs_once_holds_with_a_crash() {
    let found = holds(Ledger::new(true, bounds(1, 0, 0), ledger::Mutant::None));
    assert_eq!(found.states, 191_529);
}

#[test]
fn an_idempotent_call_holds_with_a_crash() {
    holds(Ledger::new(false, bounds(1, 0, 0), ledger::Mutant::None));
}

#[test]
fn a_call_that_runs_once_holds_with_a_move() {
    let found = holds(Ledger::new(true, bounds(0, 1, 0), ledger::Mutant::None));
    assert_eq!(found.states, 681_653);
}

#[test]
fn an_idempotent_call_holds_with_a_move() {
    holds(Ledger::new(false, bounds(0, 1, 0), ledger::Mutant::None));
}

#[test]
fn each_rule_of_the_ledger_is_needed() {
    use ledger::Mutant::*;
    for mutant in ledger::MUTANTS {
        let (once, bounds) = match mutant {
            VoidClean => (false, bounds(1, 1, 0)),
            NoFloor => (true, bounds(0, 3, 0)),
            MovesOn => (true, bounds(0, 2, 0)),
            ForgetsRun => (false, bounds(0, 0, 1)),
            LostAgain => (true, bounds(0, 0, 1)),
            Unsettled | AnyAttempt | AttachOpen | RefusalOpen => (true, bounds(0, 0, 1)),
            AttachAnyLife | AnyLife => (true, bounds(1, 0, 1)),
            OldKeysValid => (true, bounds(1, 1, 0)),
            _ => (true, bounds(1, 1, 1)),
        };
        is_caught(Ledger::new(once, bounds, mutant));
    }
}

#[test]
fn leases_hold_and_each_rule_is_needed() {
    holds(leases::Leases::new(leases::Mutant::None));
    for mutant in leases::MUTANTS {
        is_caught(leases::Leases::new(mutant));
    }
}

#[test]
fn orders_hold_and_each_rule_is_needed() {
    holds(orders::Orders::new(orders::Mutant::None));
    for mutant in orders::MUTANTS {
        is_caught(orders::Orders::new(mutant));
    }
}

#[test]
fn configuration_holds_and_each_rule_is_needed() {
    holds(config::Config::new(config::Mutant::None));
    for mutant in config::MUTANTS {
        is_caught(config::Config::new(mutant));
    }
}
