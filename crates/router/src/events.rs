//! Splits the bytes of a stream into complete events.
//!
//! A backend server may stop in the middle of an event. Only complete events are passed on, so that another
//! server can continue the stream.
//!
//! A faulty one may send bytes that are no events for as long as they are read. An event is text and has
//! a largest size; what is neither ends the stream.

use crate::response_head;

/// Longest end of an event: the last line's, and a blank line with two bytes.
const EVENT_END_MAX: usize = 3;
/// Names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Largest event, in bytes.
pub const EVENT_MAX: usize = 256 << 10;

/// Splits a stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    last: Option<u64>,
    count: u64,
    /// Something that is no event has come: the head of another response, or bytes without meaning.
    is_ended: bool,
    /// Number of bytes at the start of the buffer in which no event ends.
    searched: usize,
}

impl Splitter {
    /// A splitter for a stream that resumes after the event `last`.
    pub fn resuming_after(last: Option<u64>) -> Self {
        Splitter { last, ..Splitter::default() }
    }

    /// Adds bytes and returns the events that they complete, concatenated. Events that were already passed on
    /// are skipped. Nothing is returned from the head of another response, or other bytes that are no event,
    /// on.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        if self.is_ended {
            return Vec::new();
        }
        self.buffer.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.buffer[start..], self.searched) {
            self.searched = 0;
            let event = &self.buffer[start..start + len];
            if contains_head(event) || len > EVENT_MAX || std::str::from_utf8(event).is_err() {
                self.is_ended = true;
                break;
            }
            let id = event_id(event);
            if id.is_none() || id > self.last {
                out.extend_from_slice(event);
                self.count += 1;
            }
            self.last = self.last.max(id);
            start += len;
        }
        self.buffer.drain(..start);
        self.is_ended |= self.buffer.len() > EVENT_MAX;
        // The end of an event is up to three bytes long, which may arrive apart.
        self.searched = self.buffer.len().saturating_sub(EVENT_END_MAX);
        out
    }

    /// Has something come that is no event? The rest of the stream is ignored.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Number of events passed on.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether the buffer holds bytes that are no complete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes of the incomplete event.
    pub fn incomplete(&self) -> &[u8] {
        &self.buffer
    }

    /// Drops the incomplete event; the next stream sends it again from its start.
    pub fn discard_incomplete(&mut self) {
        self.buffer.clear();
        self.searched = 0;
        self.is_ended = false;
    }
}

/// Length of the first event including its blank line, if it is complete; none ends within `searched` bytes.
fn event_len(bytes: &[u8], searched: usize) -> Option<usize> {
    let mut i = searched.min(bytes.len());
    while let Some(at) = bytes[i..].iter().position(|b| *b == b'\n') {
        let next = i + at + 1;
        match &bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => i = next,
        }
    }
    None
}

/// Is the head of another response among the lines up to a blank one? It may follow in the middle of a line,
/// where only a header in the next line tells it from text.
fn contains_head(event: &[u8]) -> bool {
    response_head::status_lines(event).any(|line| {
        let is_line_start = line.start == 0 || event[line.start - 1] == b'\n';
        let next = event[line.end..].split(|b| *b == b'\n').next().unwrap_or_default();
        is_line_start || response_head::is_header(next) && !is_field(next)
    })
}

/// Is the line a field of an event?
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    FIELDS.contains(&name)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
