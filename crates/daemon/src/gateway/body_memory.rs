//! Reads bodies into memory, with bounds: of requests, and of answers.
//!
//! Many callers may send large requests at once, and a faulty server may send bytes that are no answer for as
//! long as its caller reads. A body is therefore refused or given up when it grows too large, alone or together
//! with all others of its kind.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest answer that is read into memory, in bytes.
pub const ANSWER_MAX: usize = 4 << 20;
/// Largest answer to a call for the gateway itself: reports, handles, reservations.
pub const CALL_MAX: usize = 1 << 20;
/// Largest answer of the store and of peers: pages of the store hold a megabyte.
pub const TRUSTED_MAX: usize = 64 << 20;
/// Size up to which a body may always be read, whatever the others take.
pub const SMALL: usize = 64 << 10;
/// Most pieces of an answer that are read for each `SMALL` bytes of its largest size: tiny ones cost far more
/// processor time than their bytes. Callers may be behind slow links and send such pieces.
const PIECES: usize = 256;
/// Fraction of the process's memory that answers may take together, beyond small ones.
const ANSWERS_FRACTION: usize = 8;
/// The same for requests, which are kept until they have been answered.
const REQUESTS_FRACTION: usize = 2;
/// Memory of a process whose settings name none, in megabytes.
const UNKNOWN_MEMORY: u32 = 128;

/// Memory taken by the large bodies of one kind; cheap to clone.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    taken: Rc<Cell<usize>>,
    max: usize,
    /// Whether the number of pieces of a body is bounded.
    bounds_pieces: bool,
}

impl BodyMemory {
    /// Memory of at most `max` bytes beyond small bodies.
    pub fn new(max: usize) -> Self {
        BodyMemory { taken: Rc::default(), max, bounds_pieces: false }
    }

    /// Memory of answers, in a process with so many megabytes; zero if unknown.
    pub fn of_answers(process: u32) -> Self {
        let max = bytes_of(process) / ANSWERS_FRACTION;
        BodyMemory { bounds_pieces: true, ..BodyMemory::new(max) }
    }

    /// Memory of requests, in a process with so many megabytes; zero if unknown.
    pub fn of_requests(process: u32) -> Self {
        BodyMemory::new(bytes_of(process) / REQUESTS_FRACTION)
    }

    /// Starts to read a body of at most `max` bytes.
    pub fn begin(&self, max: usize) -> BodyBuffer {
        let pieces = if self.bounds_pieces { PIECES * max.div_ceil(SMALL) } else { usize::MAX };
        let share = Share { taken: 0, memory: Some(self.clone()) };
        BodyBuffer { bytes: BytesMut::new(), max, pieces, share }
    }
}

fn bytes_of(process: u32) -> usize {
    let megabytes = if process == 0 { UNKNOWN_MEMORY } else { process };
    megabytes as usize * 1_000_000
}

/// Part of the memory that is taken by one body.
#[derive(Debug)]
pub struct Share {
    taken: usize,
    memory: Option<BodyMemory>,
}

impl Share {
    /// Takes what a body of `len` bytes needs; false if there is no room for it.
    fn grow(&mut self, len: usize) -> bool {
        let more = len.saturating_sub(SMALL).saturating_sub(self.taken);
        let Some(BodyMemory { taken, max, .. }) = self.memory.as_ref().filter(|_| more > 0) else {
            return true;
        };
        if taken.get() + more > *max {
            return false;
        }
        taken.set(taken.get() + more);
        self.taken += more;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if let Some(BodyMemory { taken, .. }) = &self.memory {
            taken.set(taken.get() - self.taken);
        }
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: BytesMut,
    max: usize,
    /// Pieces that may still be added.
    pieces: usize,
    share: Share,
}

impl BodyBuffer {
    /// Starts to read an answer of the store or of a peer, of at most `max` bytes, whatever others take.
    pub fn trusted(max: usize) -> BodyBuffer {
        let share = Share { taken: 0, memory: None };
        BodyBuffer { bytes: BytesMut::new(), max, pieces: usize::MAX, share }
    }

    /// Takes the memory for a body whose length is known; false if there is no room for it.
    #[must_use]
    pub fn reserve(&mut self, len: usize) -> bool {
        let has_room = len <= self.max && self.share.grow(len);
        if has_room {
            self.bytes.reserve(len);
        }
        has_room
    }

    /// Adds bytes; false if there is no room for them.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let len = self.bytes.len() + bytes.len();
        if len > self.max || self.pieces == 0 || !self.share.grow(len) {
            return false;
        }
        self.pieces -= 1;
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Number of bytes read so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Is nothing read yet?
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Ends the reading and returns the bytes, and the share of the memory that they take.
    pub fn close(self) -> (Bytes, Share) {
        (self.bytes.freeze(), self.share)
    }
}

/// Reads a whole body; `None` if it broke off or is too large.
pub async fn read(mut body: Incoming, mut buffer: BodyBuffer) -> Option<Bytes> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if !buffer.push(&data) {
            tracing::warn!(bytes = buffer.len() + data.len(), "answer given up: it is too large");
            return None;
        }
    }
    Some(buffer.close().0)
}
