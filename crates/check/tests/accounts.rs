//! Client accounts in simulated time: the guarantees hold, and leaving out any rule breaks one.

use ebonyloft_check::accounts::{AccountsSpec, MUTANTS, Mutant, run};

/// Number of seeds tried for each mutant; at least one of them must show a violation.
const SEEDS: u64 = 20;

fn violation(gateways: usize, seed: u64, mutant: Option<Mutant>) -> Option<String> {
    run(AccountsSpec { gateways, accounts: 16, seed, mutant }).violation()
}

#[test]
fn the_guarantees_hold() {
    for seed in 1..=12 {
        assert_eq!(violation(4, seed, None), None, "seed {seed}, 4 gateways");
    }
    for seed in 1..=6 {
        assert_eq!(violation(32, seed, None), None, "seed {seed}, 32 gateways");
        assert_eq!(violation(68, seed, None), None, "seed {seed}, 68 gateways");
    }
}

#[test]
fn each_rule_is_needed() {
    for mutant in MUTANTS {
        // In smaller fleets an owner grants almost nothing until it has heard from others, even if it starts
        // with a full burst.
        let gateways = if mutant == Mutant::StartsFull { 68 } else { 32 };
        let found = (1..=SEEDS).find_map(|seed| violation(gateways, seed, Some(mutant)));
        assert!(found.is_some(), "no seed shows that {mutant:?} leaves out a rule");
    }
}
