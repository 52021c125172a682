//! Limits how many peers are sent the configuration at a time, by the rate of the link.

use std::cell::RefCell;
use std::sync::{Arc, Weak};

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use futures_util::stream;

use super::pool::BODY_TIMEOUT;
use crate::http;

/// Mbit/s of the link that each upload should have: the download rate of the weakest VMs. A
/// 10 Mbit/s link that is saturated by uploads delays connections to backend servers for seconds.
const MBITS_PER_UPLOAD: u32 = 10;
/// Most concurrent uploads over a link of unknown rate.
const UNKNOWN_LINK_MAX: usize = 4;
/// Bytes handed to a connection at a time.
const CHUNK: usize = 16 << 10;

/// Counts the uploads under way.
#[derive(Debug, Default)]
pub struct Uploads {
    open: RefCell<Vec<OpenUpload>>,
}

/// An upload under way, and when it stops counting at the latest.
#[derive(Debug)]
struct OpenUpload {
    upload: Weak<()>,
    until: Timestamp,
}

/// Permission for one upload.
pub struct Upload {
    _guard: Arc<()>,
}

impl Uploads {
    /// Permission for one more upload over a link of so many Mbit/s, if the link can carry it.
    pub fn begin(&self, now: Timestamp, link_mbits: u32) -> Option<Upload> {
        let max_open = match link_mbits {
            0 => UNKNOWN_LINK_MAX,
            link_mbits => (link_mbits / MBITS_PER_UPLOAD).max(1) as usize,
        };
        let mut open = self.open.borrow_mut();
        open.retain(|o| o.until > now && o.upload.strong_count() > 0);
        if open.len() >= max_open {
            return None;
        }
        let guard = Arc::new(());
        // By then the peer has given up, though a silent connection does not show it.
        open.push(OpenUpload { upload: Arc::downgrade(&guard), until: now.after(BODY_TIMEOUT) });
        Some(Upload { _guard: guard })
    }
}

impl Upload {
    /// A body of these bytes; the upload counts until the last of them is handed to the connection.
    pub fn body(self, bytes: Bytes) -> http::Body {
        let chunks = stream::unfold((self, bytes), |(upload, mut rest)| async move {
            let chunk = rest.split_to(rest.len().min(CHUNK));
            (!chunk.is_empty()).then_some((chunk, (upload, rest)))
        });
        http::streaming_body(chunks)
    }
}
