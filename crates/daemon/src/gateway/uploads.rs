//! Configurations that are on their way to peers, as many at a time as the link carries.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;

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
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    /// Its other holders are the bodies under way.
    open: Arc<()>,
}

/// Leave to send one.
pub struct Upload {
    _open: Arc<()>,
}

impl Uploads {
    /// Leave to send one more over a link of so many megabits a second, if it carries that.
    pub fn begin(&self, link: u32) -> Option<Upload> {
        let most = match link {
            0 => UNKNOWN,
            link => (link / EACH).max(1) as usize,
        };
        let open = Arc::strong_count(&self.open) - 1;
        (open < most).then(|| Upload { _open: self.open.clone() })
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
