//! Splits the bytes of a stream into complete events.
//!
//! A backend server may stop in the middle of an event. Only complete events are passed on, so that another
//! server can continue the stream.

/// Splits a stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    last: Option<u64>,
    count: u64,
}

impl Splitter {
    /// A splitter for a stream that resumes after the event `last`.
    pub fn resuming_after(last: Option<u64>) -> Self {
        Splitter { buffer: Vec::new(), last, count: 0 }
    }

    /// Adds bytes and returns the events that they complete, concatenated. Events that were already passed on
    /// are skipped.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffer.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.buffer[start..]) {
            let event = &self.buffer[start..start + len];
            let id = event_id(event);
            if id.is_none() || id > self.last {
                out.extend_from_slice(event);
                self.count += 1;
            }
            self.last = self.last.max(id);
            start += len;
        }
        self.buffer.drain(..start);
        out
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Number of events passed on.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether the buffer holds an incomplete event.
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
    }
}

/// Length of the first event including its blank line, if it is complete.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut i = 0;
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

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
