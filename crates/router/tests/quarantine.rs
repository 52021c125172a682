//! Contents under which servers end: what proves them, what clears them, what all gateways agree on.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::content::Content;
use ebonyloft_router::quarantine::{
    CONFIRMED_MAX, Change, Fact, HEALTHY_TTL, PROBE_TIMEOUT, PROVED_LIFE, Quarantine, SUSPECT_LIFE,
    SUSPECTS_MAX, Standing, Word,
};
use proptest::prelude::*;

const NOW: Timestamp = Timestamp::from_millis(1_000_000_000);
const BAD: Content = Content(7, 7);

fn word(content: Content, fact: Fact) -> Word {
    Word { content, age: 0, fact }
}

fn ended(server: &str, early: bool) -> Fact {
    Fact::Ended(ServerId::new(server, 0), early)
}

fn told(quarantine: &mut Quarantine, facts: &[Fact]) -> Vec<Change> {
    facts.iter().map(|f| quarantine.take(NOW, &word(BAD, f.clone()))).collect()
}

#[test]
fn three_servers_that_ended_at_once_prove_a_content() {
    let mut all = Quarantine::default();
    assert_eq!(all.standing(NOW, &BAD), Standing::Free);
    let changes = told(&mut all, &[ended("a", true), ended("b", true)]);
    assert_eq!(changes, [Change::Suspected, Change::Suspected]);
    assert!(all.is_close(&BAD));
    assert_eq!(all.standing(NOW, &BAD), Standing::Suspect);
    assert_eq!(told(&mut all, &[ended("c", true)]), [Change::Proved]);
    assert_eq!(all.standing(NOW, &BAD), Standing::Proved(NOW.after(PROVED_LIFE)));
    assert_eq!(all.standing(NOW, &Content(7, 8)), Standing::Free);
}

/// The same ending is seen by each gateway that had the content there, and told by all of them.
#[test]
fn a_server_counts_once_whoever_tells() {
    let mut all = Quarantine::default();
    told(&mut all, &[ended("a", true), ended("a", true), ended("a", true), ended("b", true)]);
    assert_eq!(all.standing(NOW, &BAD), Standing::Suspect);
    assert_eq!(all.endings(&BAD).len(), 2);
}

/// What had run for a while when its server ended was most likely only there.
#[test]
fn five_servers_that_ended_later_prove_a_content_too() {
    let mut all = Quarantine::default();
    told(&mut all, &["a", "b", "c", "d"].map(|s| ended(s, false)));
    // It need not be tried alone either.
    assert_eq!(all.standing(NOW, &BAD), Standing::Free);
    assert_eq!(told(&mut all, &[ended("e", false)]), [Change::Proved]);
}

#[test]
fn a_suspect_is_tried_by_one_at_a_time() {
    let mut all = Quarantine::default();
    told(&mut all, &[ended("a", true), Fact::Trying(1)]);
    assert_eq!(all.standing(NOW, &BAD), Standing::Held(NOW.after(PROBE_TIMEOUT)));
    told(&mut all, &[Fact::Over(1)]);
    assert_eq!(all.standing(NOW, &BAD), Standing::Suspect);
    told(&mut all, &[Fact::Trying(2)]);
    assert_eq!(all.standing(NOW.after(PROBE_TIMEOUT), &BAD), Standing::Suspect, "its end was lost");
}

#[test]
fn a_loss_holds_others_back_until_it_is_judged() {
    let mut all = Quarantine::default();
    told(&mut all, &[Fact::Lost(1)]);
    assert!(matches!(all.standing(NOW, &BAD), Standing::Held(_)));
    told(&mut all, &[Fact::Over(1)]);
    assert_eq!(all.standing(NOW, &BAD), Standing::Free, "a loss alone proves nothing");
}

/// The end of one inquiry lets nobody try what another one is still looked into for.
#[test]
fn the_end_of_one_inquiry_ends_no_other() {
    let mut all = Quarantine::default();
    told(&mut all, &[Fact::Lost(1), Fact::Lost(2), ended("a", true), Fact::Over(1)]);
    assert!(matches!(all.standing(NOW, &BAD), Standing::Held(_)));
    told(&mut all, &[Fact::Over(2)]);
    assert_eq!(all.standing(NOW, &BAD), Standing::Suspect);
    told(&mut all, &[Fact::Trying(3), Fact::Over(2)]);
    assert!(matches!(all.standing(NOW, &BAD), Standing::Held(_)));
}

#[test]
fn a_whole_answer_clears_a_suspect_and_what_is_told_of_before() {
    let mut all = Quarantine::default();
    told(&mut all, &[ended("a", true), ended("b", true)]);
    let later = NOW.after(Duration::from_secs(1));
    assert_eq!(all.take(later, &word(BAD, Fact::Served)), Change::Cleared);
    let late = Word { content: BAD, age: 2_000, fact: ended("c", true) };
    assert_eq!(all.take(later, &late), Change::Nothing);
    assert_eq!(all.standing(later, &BAD), Standing::Free);
    // It counts from there on.
    let after = later.after(Duration::from_secs(1));
    assert_eq!(all.take(after, &word(BAD, ended("d", true))), Change::Suspected);
}

/// What many callers ask for is at some server whenever one ends.
#[test]
fn what_was_answered_lately_is_sound() {
    let mut all = Quarantine::default();
    assert!(!all.served_here(NOW, BAD), "nobody needs to hear of it");
    assert!(all.is_sound(NOW.after(HEALTHY_TTL / 2), &BAD));
    assert!(!all.is_sound(NOW.after(HEALTHY_TTL), &BAD));
    // It was answered after the loss.
    assert!(all.is_sound(NOW.before(HEALTHY_TTL * 2), &BAD));
    told(&mut all, &[ended("a", true)]);
    assert!(all.served_here(NOW, BAD));
    for n in 0..100_000 {
        all.served_here(NOW, Content(n, 2));
    }
    assert!(all.is_sound(NOW, &Content(99_999, 2)));
}

#[test]
fn a_proof_stands_until_its_deadline_or_an_operators_word() {
    let mut all = Quarantine::default();
    told(&mut all, &[Fact::Proved, Fact::Served]);
    assert!(matches!(all.standing(NOW, &BAD), Standing::Proved(_)));
    let end = NOW.after(PROVED_LIFE);
    assert_eq!(all.clone().expire(end), [BAD]);
    assert_eq!(all.standing(end, &BAD), Standing::Free);
    let later = NOW.after(Duration::from_secs(1));
    assert_eq!(all.take(later, &word(BAD, Fact::Released)), Change::Cleared);
    // The store may still have the old proof.
    let old = Word { content: BAD, age: 1_000, fact: Fact::Proved };
    assert_eq!(all.take(later, &old), Change::Nothing);
    assert_eq!(all.standing(later, &BAD), Standing::Free);
}

#[test]
fn what_is_old_is_forgotten() {
    let mut all = Quarantine::default();
    told(&mut all, &[ended("a", true)]);
    all.expire(NOW.after(SUSPECT_LIFE));
    assert!(!all.is_known(&BAD));
    assert_eq!(all.sum(), 0);
    let old = Word { content: BAD, age: SUSPECT_LIFE.as_millis() as u64, fact: ended("a", true) };
    assert_eq!(all.take(NOW, &old), Change::Nothing);
}

/// A hundred thousand contents that differ: memory is bounded, and what is proved stays.
#[test]
fn a_flood_pushes_out_no_proof() {
    let mut all = Quarantine::default();
    for n in 0..100 {
        all.take(NOW, &word(Content(n, 1), Fact::Proved));
    }
    for n in 0..100_000 {
        all.take(NOW, &word(Content(n, 2), ended(&format!("i-{n:010x}"), true)));
    }
    assert!((0..100).all(|n| matches!(all.standing(NOW, &Content(n, 1)), Standing::Proved(_))));
    let (suspects, proved) = all.counts();
    assert!(suspects <= SUSPECTS_MAX, "{suspects}");
    assert_eq!(proved, 100);
    for n in 0..20_000 {
        all.take(NOW, &word(Content(n, 3), Fact::Proved));
    }
    assert!(all.counts().1 <= CONFIRMED_MAX, "{}", all.counts().1);
}

fn facts() -> impl Strategy<Value = Fact> {
    prop_oneof![
        6 => ("[a-d]", any::<bool>()).prop_map(|(s, early)| ended(&s, early)),
        1 => (0_u64..3).prop_map(Fact::Lost),
        1 => (0_u64..3).prop_map(Fact::Trying),
        1 => (0_u64..3).prop_map(Fact::Over),
        1 => Just(Fact::Served),
        1 => Just(Fact::Proved),
    ]
}

proptest! {
    /// Whatever two gateways heard, and in which order: once they have compared notes both ways, they treat
    /// every content alike, and their sums say so.
    #[test]
    fn gateways_that_compared_notes_agree(
        one in proptest::collection::vec((0_u64..3, 0_u64..5_000, facts()), 0..24),
        other in proptest::collection::vec((0_u64..3, 0_u64..5_000, facts()), 0..24),
    ) {
        let later = NOW.after(PROBE_TIMEOUT * 3);
        let hear = |facts: &[(u64, u64, Fact)]| {
            let mut all = Quarantine::default();
            for (content, age, fact) in facts {
                let word = Word { content: Content(*content, 0), age: *age, fact: fact.clone() };
                all.take(NOW, &word);
            }
            all
        };
        let (mut a, mut b) = (hear(&one), hear(&other));
        for _ in 0..2 {
            for word in a.table(later) {
                b.take(later, &word);
            }
            for word in b.table(later) {
                a.take(later, &word);
            }
        }
        prop_assert_eq!(a.sum(), b.sum());
        for content in 0..3 {
            let content = Content(content, 0);
            let proved = |q: &Quarantine| matches!(q.standing(later, &content), Standing::Proved(_));
            prop_assert_eq!(proved(&a), proved(&b));
        }
    }
}
