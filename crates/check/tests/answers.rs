//! Reactions to answers and crashes of backend servers, in simulated time: the guarantees hold, and leaving
//! out any rule breaks one.

use ebonyloft_check::answers::{AnswersSpec, MUTANTS, run};

/// Number of seeds tried for each mutant; at least one of them must show a violation.
const SEEDS: u64 = 24;

fn violation(
    gateways: usize,
    seed: u64,
    mutant: Option<ebonyloft_check::answers::Mutant>,
) -> Option<String> {
    run(AnswersSpec { gateways, seed, mutant }).violation(seed)
}

#[test]
fn the_guarantees_hold() {
    for seed in 1..=12 {
        assert_eq!(violation(4, seed, None), None, "seed {seed}, 4 gateways");
    }
    for seed in 1..=4 {
        assert_eq!(violation(32, seed, None), None, "seed {seed}, 32 gateways");
    }
}

#[test]
fn each_rule_is_needed() {
    for mutant in MUTANTS {
        let found = (1..=SEEDS).find_map(|seed| violation(4, seed, Some(mutant)));
        assert!(found.is_some(), "no seed shows that {mutant:?} leaves out a rule");
    }
}
