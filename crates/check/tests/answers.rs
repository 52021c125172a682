//! What answers and ends of servers tell, in made-up time: the promises hold, and each rule is needed.

use ebonyloft_check::answers::{AnswersSpec, MUTANTS, run};

/// First seeds at which each mutant is looked for; one of them must show it.
const SEEDS: u64 = 24;

fn broken(
    gateways: usize,
    seed: u64,
    mutant: Option<ebonyloft_check::answers::Mutant>,
) -> Option<String> {
    run(AnswersSpec { gateways, seed, mutant }).broken(seed)
}

#[test]
fn the_promises_hold() {
    for seed in 1..=12 {
        assert_eq!(broken(4, seed, None), None, "seed {seed}, 4 gateways");
    }
    for seed in 1..=4 {
        assert_eq!(broken(32, seed, None), None, "seed {seed}, 32 gateways");
    }
}

#[test]
fn each_rule_is_needed() {
    for mutant in MUTANTS {
        let found = (1..=SEEDS).find_map(|seed| broken(4, seed, Some(mutant)));
        assert!(found.is_some(), "nothing shows that {mutant:?} is left out");
    }
}
