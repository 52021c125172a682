//! Reads bodies of answers into memory, with bounds.
//!
//! A faulty server may send bytes that are no answer for as long as its caller reads. An answer is
//! therefore given up when it grows too large, alone or together with all others that are being read.

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
/// Size up to which an answer may always be read, whatever the others take.
pub const SMALL: usize = 64 << 10;
/// Most pieces of an answer that are read: tiny ones cost far more processor time than their bytes.
const PIECES_MAX: usize = 16 << 10;
/// Most bytes that all answers take together beyond that.
pub const TOTAL_MAX: usize = 16 << 20;

/// Memory taken by the large answers that are being read; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct AnswerMemory(Rc<Cell<usize>>);

impl AnswerMemory {
    /// Starts to read an answer of a server, of at most `max` bytes.
    pub fn begin(&self, max: usize) -> AnswerBuffer {
        AnswerBuffer {
            bytes: BytesMut::new(),
            max,
            pieces: 0,
            taken: 0,
            memory: Some(self.clone()),
        }
    }
}

/// An answer that is being read.
#[derive(Debug)]
pub struct AnswerBuffer {
    bytes: BytesMut,
    max: usize,
    pieces: usize,
    /// Bytes counted in the memory of all answers.
    taken: usize,
    memory: Option<AnswerMemory>,
}

impl AnswerBuffer {
    /// Starts to read an answer of the store or of a peer, of at most `max` bytes, whatever others take.
    pub fn trusted(max: usize) -> AnswerBuffer {
        AnswerBuffer { bytes: BytesMut::new(), max, pieces: 0, taken: 0, memory: None }
    }

    /// Adds bytes; false if there is no room for them.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let len = self.bytes.len() + bytes.len();
        self.pieces += 1;
        if len > self.max || self.pieces > PIECES_MAX {
            return false;
        }
        let more = len.saturating_sub(SMALL).saturating_sub(self.taken);
        if let Some(AnswerMemory(taken)) = self.memory.as_ref().filter(|_| more > 0) {
            if taken.get() + more > TOTAL_MAX {
                return false;
            }
            taken.set(taken.get() + more);
            self.taken += more;
        }
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

    /// Ends the reading and returns the bytes.
    pub fn close(mut self) -> Bytes {
        std::mem::take(&mut self.bytes).freeze()
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        if let Some(AnswerMemory(taken)) = &self.memory {
            taken.set(taken.get() - self.taken);
        }
    }
}

/// Reads a whole body; `None` if it broke off or is too large.
pub async fn read(mut body: Incoming, mut buffer: AnswerBuffer) -> Option<Bytes> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if !buffer.push(&data) {
            tracing::warn!(bytes = buffer.len() + data.len(), "answer given up: it is too large");
            return None;
        }
    }
    Some(buffer.close())
}
