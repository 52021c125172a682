//! Response bodies sent at a limited rate, as over a slow link.

use std::time::Duration;

use bytes::Bytes;
use ebonyloftd::http::{self, Body};
use futures_channel::mpsc;
use futures_util::SinkExt;

/// Chunks of a body sent in a second.
const CHUNKS_PER_SEC: usize = 50;

/// Returns a body that is sent in chunks at `rate` bytes a second.
pub fn body(bytes: Vec<u8>, rate: usize) -> Body {
    let (mut sender, receiver) = mpsc::channel(0);
    compio::runtime::spawn(async move {
        for chunk in Bytes::from(bytes).chunks(rate.div_ceil(CHUNKS_PER_SEC)) {
            compio::time::sleep(Duration::from_secs(1) / CHUNKS_PER_SEC as u32).await;
            if sender.send(Bytes::copy_from_slice(chunk)).await.is_err() {
                return;
            }
        }
    })
    .detach();
    http::streaming_body(receiver)
}
