//! Memory of the bodies that a gateway reads.

use ebonyloftd::gateway::body_memory::{ANSWER_MAX, BodyError, BodyMemory, SMALL};

const PIECE: [u8; 4 << 10] = [0; 4 << 10];
const TOTAL_MAX: usize = 16 << 20;

/// Guards against many answers at once that exceed the memory although each of them is allowed.
#[test]
fn large_answers_share_a_bound_and_small_ones_always_fit() {
    let memory = BodyMemory::new(TOTAL_MAX);
    let mut answers: Vec<_> = (0..20).map(|_| memory.begin(ANSWER_MAX)).collect();
    let mut taken = 0;
    for answer in &mut answers {
        while answer.push(&PIECE).is_ok() {
            taken += PIECE.len();
        }
    }
    assert!(taken <= TOTAL_MAX + answers.len() * SMALL, "{taken} bytes");
    assert!(answers.iter().all(|answer| answer.len() <= ANSWER_MAX));
    let mut small = memory.begin(ANSWER_MAX);
    assert!((0..SMALL / PIECE.len()).all(|_| small.push(&PIECE).is_ok()));
    assert_eq!(small.push(&PIECE), Err(BodyError::NoRoom), "the others take all");
    // What is given up or whole makes room.
    drop(answers);
    assert_eq!(small.push(&PIECE), Ok(()));
    assert_eq!(small.close().0.len(), SMALL + PIECE.len());
    let mut next = memory.begin(ANSWER_MAX);
    assert!((0..ANSWER_MAX / PIECE.len()).all(|_| next.push(&PIECE).is_ok()));
    assert_eq!(next.push(&PIECE), Err(BodyError::TooLarge));
}

/// Guards against requests that are taken although their bodies will not fit beside the others.
#[test]
fn a_body_of_known_length_takes_its_memory_at_once_and_until_it_is_dropped() {
    let memory = BodyMemory::new(TOTAL_MAX);
    let mut first = memory.begin(TOTAL_MAX);
    assert_eq!(first.reserve(TOTAL_MAX), Ok(()));
    let mut second = memory.begin(TOTAL_MAX);
    assert_eq!(second.reserve(1 << 20), Err(BodyError::NoRoom));
    assert_eq!(second.reserve(SMALL), Ok(()));
    assert_eq!(first.reserve(TOTAL_MAX + 1), Err(BodyError::TooLarge));
    // The request is kept until it has been answered.
    let (_, share) = first.close();
    assert_eq!(second.reserve(1 << 20), Err(BodyError::NoRoom));
    drop(share);
    assert_eq!(second.reserve(1 << 20), Ok(()));
}

/// Guards against answers of many tiny pieces, which cost processor time, and against refusing a request whose
/// caller is behind a link that brings such pieces.
#[test]
fn an_answer_has_a_largest_number_of_pieces_and_a_request_none() {
    let mut answer = BodyMemory::of_answers(110).begin(ANSWER_MAX);
    let pieces = (0..ANSWER_MAX).take_while(|_| answer.push(b"x").is_ok()).count();
    assert!((10_000..40_000).contains(&pieces), "{pieces}");
    let mut request = BodyMemory::of_requests(110).begin(ANSWER_MAX);
    assert!((0..ANSWER_MAX).all(|_| request.push(b"x").is_ok()));
}
