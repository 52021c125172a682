//! Reads bodies into memory, with bounds: of requests, and of answers.
//!
//! Many callers may send large requests at once, and a faulty server may send bytes that are no answer for as
//! long as its caller reads. A body is therefore refused or given up when it grows too large, alone or together
//! with all others of its kind.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;

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

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BodyError {
    /// Its sender broke it off.
    #[snafu(display("the body broke off"))]
    Broken,
    /// It is larger than it may be, or in more pieces.
    #[snafu(display("the body is too large"))]
    TooLarge,
    /// It has no room in memory beside the others.
    #[snafu(display("the body has no room in memory"))]
    NoRoom,
    /// Its next part did not come in time.
    #[snafu(display("the body did not come in time"))]
    Stalled,
}

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
        let share = Share { taken: 0, memory: self.clone() };
        BodyBuffer { bytes: BytesMut::new(), max, pieces, share }
    }

    /// Reads a whole answer of at most `max` bytes; `None` if it broke off, is too large or has no room.
    pub async fn read(&self, body: Incoming, max: usize) -> Option<Bytes> {
        let mut buffer = self.begin(max);
        match buffer.read(body, None).await {
            Ok(()) => Some(buffer.close().0),
            Err(BodyError::Broken) => None,
            Err(error) => {
                tracing::warn!(%error, bytes = buffer.len(), "answer given up");
                None
            }
        }
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
    memory: BodyMemory,
}

impl Share {
    /// Takes what a body of `len` bytes needs.
    fn grow(&mut self, len: usize) -> Result<(), BodyError> {
        let more = len.saturating_sub(SMALL).saturating_sub(self.taken);
        let taken = self.memory.taken.get() + more;
        if more > 0 && taken > self.memory.max {
            return Err(BodyError::NoRoom);
        }
        self.memory.taken.set(taken);
        self.taken += more;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.taken.set(self.memory.taken.get() - self.taken);
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
    /// Takes the memory for a body whose length is known; fails if it is too large or has no room.
    pub fn reserve(&mut self, len: usize) -> Result<(), BodyError> {
        if len > self.max {
            return Err(BodyError::TooLarge);
        }
        self.share.grow(len)?;
        self.bytes.reserve(len);
        Ok(())
    }

    /// Adds bytes; fails if the body is too large with them or has no room.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let len = self.bytes.len() + bytes.len();
        if len > self.max || self.pieces == 0 {
            return Err(BodyError::TooLarge);
        }
        self.share.grow(len)?;
        self.pieces -= 1;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Reads a body to its end, of which each part must come within `pause`, if one is given.
    pub async fn read(
        &mut self,
        mut body: Incoming,
        pause: Option<Duration>,
    ) -> Result<(), BodyError> {
        loop {
            let frame = match pause {
                Some(pause) => compio::time::timeout(pause, body.frame()).await,
                None => Ok(body.frame().await),
            };
            let Some(frame) = frame.map_err(|_| BodyError::Stalled)? else {
                return Ok(());
            };
            if let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() {
                self.push(&data)?;
            }
        }
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
