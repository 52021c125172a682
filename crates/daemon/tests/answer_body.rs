//! Memory of the answers that a gateway reads.

use ebonyloftd::gateway::answer_body::{ANSWER_MAX, AnswerMemory, SMALL, TOTAL_MAX};

const PIECE: [u8; 4 << 10] = [0; 4 << 10];

/// Guards against many answers at once that exceed the memory although each of them is allowed.
#[test]
fn large_answers_share_a_bound_and_small_ones_always_fit() {
    let memory = AnswerMemory::default();
    let mut answers: Vec<_> = (0..20).map(|_| memory.begin(ANSWER_MAX)).collect();
    let mut taken = 0;
    for answer in &mut answers {
        while answer.push(&PIECE) {
            taken += PIECE.len();
        }
    }
    assert!(taken <= TOTAL_MAX + answers.len() * SMALL, "{taken} bytes");
    assert!(answers.iter().all(|answer| answer.len() <= ANSWER_MAX));
    let mut small = memory.begin(ANSWER_MAX);
    assert!((0..SMALL / PIECE.len()).all(|_| small.push(&PIECE)));
    assert!(!small.push(&PIECE), "the others take all");
    // What is given up or whole makes room.
    drop(answers);
    assert!(small.push(&PIECE));
    assert_eq!(small.close().len(), SMALL + PIECE.len());
    let mut next = memory.begin(ANSWER_MAX);
    assert!((0..ANSWER_MAX / PIECE.len()).all(|_| next.push(&PIECE)));
    assert!(!next.push(&PIECE));
}
