//! Complete events from bytes that are cut at any position.

use ebonyloft_router::events::Splitter;
use proptest::prelude::*;

fn stream(ids: std::ops::Range<u64>) -> Vec<u8> {
    ids.flat_map(|i| format!("id: {i}\ndata: tokens {i}\n\n").into_bytes()).collect()
}

proptest! {
    #[test]
    fn chunks_of_any_size_give_the_same_stream(cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let expected = stream(1..20);
        let mut splitter = Splitter::default();
        let (mut out, mut at) = (Vec::new(), 0);
        for cut in cuts.iter().cycle() {
            let end = (at + cut).min(expected.len());
            out.extend(splitter.push(&expected[at..end]));
            at = end;
            if at == expected.len() {
                break;
            }
        }
        prop_assert_eq!(out, expected);
        prop_assert_eq!(splitter.last_id(), Some(19));
        prop_assert!(!splitter.is_partial());
    }

    /// A stream breaks off anywhere, and another server resumes it and repeats some events: each event is
    /// passed on once.
    #[test]
    fn a_stream_resumed_by_another_server_is_complete(cut in 0_usize..300, repeated in 0_u64..4) {
        let expected = stream(1..15);
        let cut = cut.min(expected.len());
        let mut splitter = Splitter::default();
        let mut out = splitter.push(&expected[..cut]);
        splitter.discard_incomplete();
        let next = splitter.last_id().map_or(1, |l| l + 1);
        out.extend(splitter.push(&stream(next.saturating_sub(repeated).max(1)..15)));
        prop_assert_eq!(out, expected);
    }
}

#[test]
fn an_incomplete_event_is_not_passed_on() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: x\n").is_empty());
    assert!(splitter.is_partial());
    assert_eq!(splitter.push(b"\n"), b"id: 1\ndata: x\n\n");
}

#[test]
fn carriage_returns_end_events_too() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 4\r\ndata: x\r\n\r\n"), b"id: 4\r\ndata: x\r\n\r\n");
    assert_eq!(splitter.last_id(), Some(4));
}

#[test]
fn a_resuming_caller_gets_no_event_twice() {
    let mut splitter = Splitter::resuming_after(Some(3));
    assert_eq!(splitter.push(&stream(1..6)), stream(4..6));
}
