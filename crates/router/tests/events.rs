//! Whole events from bytes that are cut anywhere.

use ebonyloft_router::events::Splitter;
use proptest::prelude::*;

fn stream(ids: std::ops::Range<u64>) -> Vec<u8> {
    ids.flat_map(|i| format!("id: {i}\ndata: tokens {i}\n\n").into_bytes()).collect()
}

proptest! {
    #[test]
    fn pieces_of_any_size_give_the_same_stream(cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let whole = stream(1..20);
        let mut splitter = Splitter::default();
        let (mut out, mut at) = (Vec::new(), 0);
        for cut in cuts.iter().cycle() {
            let end = (at + cut).min(whole.len());
            out.extend(splitter.push(&whole[at..end]));
            at = end;
            if at == whole.len() {
                break;
            }
        }
        prop_assert_eq!(out, whole);
        prop_assert_eq!(splitter.last(), Some(19));
        prop_assert!(!splitter.is_partial());
    }

    /// Broken off anywhere, and gone on with by a server that repeats some events: each comes once.
    #[test]
    fn a_stream_that_goes_on_elsewhere_is_whole(cut in 0_usize..300, back in 0_u64..4) {
        let whole = stream(1..15);
        let cut = cut.min(whole.len());
        let mut splitter = Splitter::default();
        let mut out = splitter.push(&whole[..cut]);
        splitter.restart();
        let next = splitter.last().map_or(1, |l| l + 1);
        out.extend(splitter.push(&stream(next.saturating_sub(back).max(1)..15)));
        prop_assert_eq!(out, whole);
    }
}

#[test]
fn a_part_of_an_event_is_held_back() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: x\n").is_empty());
    assert!(splitter.is_partial());
    assert_eq!(splitter.push(b"\n"), b"id: 1\ndata: x\n\n");
}

#[test]
fn carriage_returns_end_events_too() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 4\r\ndata: x\r\n\r\n"), b"id: 4\r\ndata: x\r\n\r\n");
    assert_eq!(splitter.last(), Some(4));
}

#[test]
fn a_caller_who_resumes_gets_nothing_twice() {
    let mut splitter = Splitter::behind(Some(3));
    assert_eq!(splitter.push(&stream(1..6)), stream(4..6));
}
