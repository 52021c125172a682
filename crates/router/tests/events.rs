//! Complete events from bytes that are cut at any position.

use ebonyloft_router::events::{EVENT_MAX, Splitter};
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

/// Guards against the head and the events of another response that are passed on as events.
#[test]
fn nothing_is_passed_on_from_the_head_of_another_response_on() {
    let head = "HTTP/1.1 200 OK\r\nattempt-id: other\r\ncontent-length: 40\r\n\r\n";
    let tail = format!("{head}id: 30\ndata: other\n\n");
    let expected = stream(1..4);
    for cut in 0..=expected.len() {
        let bytes = [&expected[..cut], tail.as_bytes()].concat();
        for size in [1, 7, bytes.len()] {
            let mut splitter = Splitter::default();
            let out: Vec<u8> = bytes.chunks(size).flat_map(|part| splitter.push(part)).collect();
            assert!(expected[..cut].starts_with(&out), "{}", String::from_utf8_lossy(&out));
            assert!(splitter.is_partial(), "cut at {cut}");
        }
    }
}

/// Guards against taking text about HTTP for the head of another response.
#[test]
fn events_that_contain_status_lines_are_passed_on() {
    for text in [
        "id: 1\ndata: HTTP/1.1 200 OK\ndata: Attempt-Id: a\n\n",
        "id: 1\r\ndata: HTTP/1.1 200 OK\r\nid: 1\r\n\r\n",
        "id: 1\ndata: sends HTTP/1.1 and HTTP/1.1 503\n: comment\n\n",
        "lines: 3\nid: 1\nevent: x\ndata: HTTP/1.1 404 Not Found\n\n",
    ] {
        let mut splitter = Splitter::default();
        assert_eq!(splitter.push(text.as_bytes()), text.as_bytes());
        assert!(!splitter.is_partial());
    }
}

#[test]
fn the_stream_of_the_next_server_is_passed_on_after_another_response() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: x\n\nHTTP/1.1 200 OK\r\nattempt-id: other\r\n\r\n");
    splitter.discard_incomplete();
    assert_eq!(splitter.push(b"id: 2\ndata: y\n\n"), b"id: 2\ndata: y\n\n");
}

/// Guards against bytes that complete no event and are kept for as long as they come.
#[test]
fn an_event_without_an_end_ends_the_stream() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\n");
    let piece = [b'x'; 1_000];
    for _ in 0..=EVENT_MAX / piece.len() {
        assert!(splitter.push(&piece).is_empty());
    }
    assert!(splitter.is_ended());
    let kept = splitter.incomplete().len();
    assert!(splitter.push(b"\n\nid: 2\ndata: b\n\n").is_empty());
    assert_eq!(splitter.incomplete().len(), kept);
    // Another server resumes.
    splitter.discard_incomplete();
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n");
}

/// Guards against bytes that are no text and look like events because blank lines are among them.
#[test]
fn bytes_that_are_no_text_are_no_event() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"\xff\xfe\n\n").is_empty());
    assert!(splitter.is_ended() && splitter.is_partial());
    let mut splitter = Splitter::default();
    let text = "id: 1\ndata: señal\n\n".as_bytes();
    let out: Vec<u8> = text.iter().flat_map(|byte| splitter.push(&[*byte])).collect();
    assert_eq!(out, text, "a character may arrive in parts");
}
