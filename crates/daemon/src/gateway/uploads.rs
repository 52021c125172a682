//! Configurations that are on their way to peers, as many at a time as the link carries.

use std::cell::RefCell;
use std::sync::{Arc, Weak};

use bytes::Bytes;
use ebonyloft_core::time::Timestamp;
use futures_util::stream;

use super::pool::BODY_WAIT;
use crate::http;

/// Megabits a second that each configuration under way should have: what the weakest VMs take in. A VM of
/// 10 Mbit/s that sent one to seven peers at once could not connect to any backend server for three
/// seconds.
const EACH: u32 = 10;
/// Most configurations under way over a link whose rate is not known.
const UNKNOWN: usize = 4;
/// Bytes handed to a connection at a time.
const PART: usize = 16 << 10;

/// Counts those under way.
#[derive(Debug, Default)]
pub struct Uploads {
    open: RefCell<Vec<Open>>,
}

/// One under way, and until when it counts at the most.
#[derive(Debug)]
struct Open {
    upload: Weak<()>,
    until: Timestamp,
}

/// Leave to send one.
pub struct Upload {
    _counts: Arc<()>,
}

impl Uploads {
    /// Leave to send one more over a link of so many megabits a second, if it carries that.
    pub fn begin(&self, now: Timestamp, link: u32) -> Option<Upload> {
        let most = match link {
            0 => UNKNOWN,
            link => (link / EACH).max(1) as usize,
        };
        let mut open = self.open.borrow_mut();
        open.retain(|o| o.until > now && o.upload.strong_count() > 0);
        if open.len() >= most {
            return None;
        }
        let counts = Arc::new(());
        // Beyond that its reader has given up, though a silent connection does not say so.
        open.push(Open { upload: Arc::downgrade(&counts), until: now.after(BODY_WAIT) });
        Some(Upload { _counts: counts })
    }
}

impl Upload {
    /// A body of these bytes; it counts as under way until the last of them is handed to the connection.
    pub fn body(self, bytes: Bytes) -> http::Body {
        let parts = stream::unfold((self, bytes), |(upload, mut left)| async move {
            let part = left.split_to(left.len().min(PART));
            (!part.is_empty()).then_some((part, (upload, left)))
        });
        http::streamed(parts)
    }
}
