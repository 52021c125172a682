//! Bodies that come slowly, as over a weak link.

use std::time::Duration;

use bytes::Bytes;
use ebonyloftd::http::{self, Body};
use futures_channel::mpsc;
use futures_util::SinkExt;

/// Parts a second in which a body comes.
const PARTS: usize = 50;

/// A body that comes in parts, at so many bytes a second.
pub fn body(bytes: Vec<u8>, rate: usize) -> Body {
    let (mut tell, parts) = mpsc::channel(0);
    compio::runtime::spawn(async move {
        for part in Bytes::from(bytes).chunks(rate.div_ceil(PARTS)) {
            compio::time::sleep(Duration::from_secs(1) / PARTS as u32).await;
            if tell.send(Bytes::copy_from_slice(part)).await.is_err() {
                return;
            }
        }
    })
    .detach();
    http::streaming_body(parts)
}
